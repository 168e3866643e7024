#ifndef MIMOSASTAGE_HTTP_LIMIT_LOG_H_
#define MIMOSASTAGE_HTTP_LIMIT_LOG_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "mimosastage/base/time.h"
#include "mimosastage/telemetry/log.h"

namespace mimosastage {

/// Decides which refusals at a limit are logged: the first of each reason, and
/// then at most one in an interval, with the number of those in between. Does
/// no I/O itself.
class LimitLog {
 public:
  /// An attack lasts for minutes; one line every ten seconds shows its course.
  static constexpr std::chrono::seconds kInterval{10};

  /// Counts a refusal. Returns how many there were since the last line of the
  /// reason if a line is due.
  std::optional<std::uint64_t> Add(std::string_view reason, TimePoint now) {
    const auto [found, is_new] =
        this->reasons.try_emplace(std::string(reason), Reason{now, 0});
    Reason& entry = found->second;
    ++entry.unreported;
    if (!is_new && now - entry.reported < kInterval) {
      return std::nullopt;
    }
    const std::uint64_t count = entry.unreported;
    entry = Reason{now, 0};
    return count;
  }

 private:
  struct Reason {
    TimePoint reported{};
    std::uint64_t unreported = 0;
  };

  /// As many as there are identifiers of reasons in the code.
  std::map<std::string, Reason, std::less<>> reasons;
};

/// Logs that something that came over `source` was refused or cut off for
/// `reason`, unless the log says not to.
inline void LogInputLimit(LimitLog& log, std::string_view source,
                          std::string_view reason, std::size_t held_bytes) {
  constexpr EventName kInputLimited{"input_limited"};
  if (const auto count = log.Add(reason, LeaseClock::now());
      count.has_value()) {
    LogEvent(LogSeverity::kWarning, kInputLimited,
             "input was refused or cut off at a limit; check what its senders "
             "send")
        .With("source", source)
        .With("reason", reason)
        .With("count", *count)
        .With("held_bytes", held_bytes);
  }
}

}  // namespace mimosastage

#endif  // MIMOSASTAGE_HTTP_LIMIT_LOG_H_
