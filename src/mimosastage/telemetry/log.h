#ifndef MIMOSASTAGE_TELEMETRY_LOG_H_
#define MIMOSASTAGE_TELEMETRY_LOG_H_

#include <chrono>
#include <concepts>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>
#include <utility>
#include <variant>
#include <vector>

namespace mimosastage {

/// Stable identifier of a kind of log line, in snake_case. Alerts and tests
/// match it; the text of the message may change.
struct EventName {
  std::string_view text;
};

namespace events {

inline constexpr EventName kDaemonStarted{"daemon_started"};
inline constexpr EventName kDaemonStopping{"daemon_stopping"};
inline constexpr EventName kDaemonStopped{"daemon_stopped"};
inline constexpr EventName kRequestInterrupted{"request_interrupted"};
inline constexpr EventName kSettingsRejected{"settings_rejected"};
inline constexpr EventName kListenerFailed{"listener_failed"};
inline constexpr EventName kLeaseLapsed{"lease_lapsed"};
inline constexpr EventName kLeaseGained{"lease_gained"};
inline constexpr EventName kViewChanged{"view_changed"};
inline constexpr EventName kRecoveryStarted{"recovery_started"};
inline constexpr EventName kRecoveryFinished{"recovery_finished"};
inline constexpr EventName kStorageFailed{"storage_failed"};
inline constexpr EventName kLogTruncated{"log_truncated"};
inline constexpr EventName kSnapshotTaken{"snapshot_taken"};
inline constexpr EventName kSnapshotInstalled{"snapshot_installed"};
inline constexpr EventName kLinkOpened{"link_opened"};
inline constexpr EventName kLinkClosed{"link_closed"};
inline constexpr EventName kLinkRefused{"link_refused"};
inline constexpr EventName kLinkUnstable{"link_unstable"};
inline constexpr EventName kDaemonIdInUse{"daemon_id_in_use"};
inline constexpr EventName kTableChanged{"table_changed"};
inline constexpr EventName kKeyGranted{"key_granted"};
inline constexpr EventName kKeyRevoked{"key_revoked"};
inline constexpr EventName kBackendServerAnnounced{"backend_server_announced"};
inline constexpr EventName kBackendServerGone{"backend_server_gone"};
inline constexpr EventName kBackendServerEjected{"backend_server_ejected"};
inline constexpr EventName kBackendServerReturned{"backend_server_returned"};
inline constexpr EventName kInstanceChanged{"instance_changed"};
/// A line that was logged without an event name.
inline constexpr EventName kPlain{"log"};

}  // namespace events

enum class LogSeverity : std::uint8_t { kInfo, kWarning, kError };

/// One log line, written when the object is destroyed:
///
///     LogEvent(LogSeverity::kInfo, events::kLinkOpened, "link is open")
///         .With("peer", name);
///
/// Texts are truncated to 2 KiB and fields beyond 32 are dropped, so that no
/// line exceeds the limits of glog. Never pass a key.
class LogEvent {
 public:
  using Value =
      std::variant<std::string, std::int64_t, std::uint64_t, double, bool>;

  LogEvent(LogSeverity severity, EventName event, std::string_view message);
  ~LogEvent();
  LogEvent(const LogEvent&) = delete;
  LogEvent& operator=(const LogEvent&) = delete;

  LogEvent& With(std::string_view name, std::string_view value);
  LogEvent& With(std::string_view name, const char* value) {
    return this->With(name, std::string_view(value));
  }
  LogEvent& With(std::string_view name, std::error_code value) {
    const std::string text = value.message();
    return this->With(name, std::string_view{text});
  }
  LogEvent& With(std::string_view name, bool value) {
    return this->Add(name, Value(value));
  }
  LogEvent& With(std::string_view name, double value) {
    return this->Add(name, Value(value));
  }
  template <std::signed_integral Int>
  LogEvent& With(std::string_view name, Int value) {
    return this->Add(name, Value{static_cast<std::int64_t>(value)});
  }
  template <std::unsigned_integral Int>
  LogEvent& With(std::string_view name, Int value) {
    return this->Add(name, Value{static_cast<std::uint64_t>(value)});
  }
  /// Written as fractional milliseconds; the name must end with "_ms".
  template <class Rep, class Period>
  LogEvent& With(std::string_view name,
                 std::chrono::duration<Rep, Period> value) {
    using Milliseconds = std::chrono::duration<double, std::milli>;
    return this->With(name, Milliseconds(value).count());
  }

 private:
  friend class JsonLogSink;

  LogEvent& Add(std::string_view name, Value value);

  LogSeverity severity;
  EventName event;
  std::string message;
  std::vector<std::pair<std::string, Value>> fields;
};

/// Replaces glog's own output by one JSON object per line with `time` (RFC
/// 3339, UTC), `severity`, `event`, `message`, `daemon` and `fields`. Lines of
/// different threads don't interleave. One per process.
class JsonLogging {
 public:
  /// Receives each line with its newline. Called on the thread that logs; calls
  /// don't overlap.
  using Write = std::function<void(std::string_view line)>;

  /// `secrets` are redacted in every line, as are callers' keys, which are
  /// recognised by their prefix. This is a second line of defence: no code
  /// passes keys to the log.
  JsonLogging(const std::string& program, std::string daemon,
              std::vector<std::string> secrets, Write write = WriteToStderr);
  ~JsonLogging();
  JsonLogging(const JsonLogging&) = delete;
  JsonLogging& operator=(const JsonLogging&) = delete;

  static void WriteToStderr(std::string_view line);
  static void WriteToStdout(std::string_view line);

 private:
  std::unique_ptr<class JsonLogSink> sink;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_TELEMETRY_LOG_H_
