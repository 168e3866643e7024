#ifndef MIMOSASTAGE_HTTP_LIMIT_LOG_H_
#define MIMOSASTAGE_HTTP_LIMIT_LOG_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "mimosastage/base/time.h"

namespace mimosastage {

/// Decides which refusals at a limit are logged: the first of each reason, and
/// then at most one in an interval, with the number of those in between. Does
/// no I/O.
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

}  // namespace mimosastage

#endif  // MIMOSASTAGE_HTTP_LIMIT_LOG_H_
