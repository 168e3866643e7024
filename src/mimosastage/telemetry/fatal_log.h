#ifndef MIMOSASTAGE_TELEMETRY_FATAL_LOG_H_
#define MIMOSASTAGE_TELEMETRY_FATAL_LOG_H_

#include <csignal>
#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "mimosastage/telemetry/log.h"

namespace mimosastage {

namespace events {

/// The last line of a process that ends without a planned stop.
inline constexpr EventName kProcessFailed{"process_failed"};

}  // namespace events

struct FatalLogSettings {
  /// Name of the daemon in the line.
  std::string daemon;
  /// Overwritten with asterisks in the line.
  std::vector<std::string> secrets;
  /// File descriptor that the other log lines are written to.
  int descriptor = -1;
};

/// From now on, an uncaught exception, a fatal line of glog, or a signal that
/// ends the process by default leaves one `process_failed` line of severity
/// fatal. The process then ends as it would have without the line. Signals that
/// are ignored or handled already are left as they are, except SIGSEGV, SIGBUS,
/// SIGILL, SIGFPE and SIGABRT, whose earlier handlers run after the line.
///
/// The line has the fields `thread` (see ThreadDuty), `reason` and
/// `exit_status` (128 + n for signal n, as shells report it). It is dropped if
/// the output accepts no bytes for 200 ms, so that the process still ends.
///
/// A later call replaces the settings. Must not run concurrently with itself.
void InstallFatalLog(FatalLogSettings settings);

/// Writes the line, then aborts.
[[noreturn]] void AbortProcess(std::string_view reason);

/// Writes the line for a process that is about to exit with this status.
void LogFailedExit(std::string_view reason, int exit_status);

/// Logs, with severity error, that a process ends with this status instead of
/// starting. `problem` names the reason and the remedy, `settings_file` the
/// file that the process was given.
void LogRefusedStart(EventName event, const std::string& problem,
                     const std::string& settings_file, int exit_status);

/// Writes the line for a process that is about to abort. Returns false if
/// InstallFatalLog was never called.
bool LogAbort(std::string_view reason);

/// Names the calling thread by its duty while the object exists, in fatal lines
/// and in tools that list threads. Also gives the thread a stack for signal
/// handlers, without which a stack overflow leaves no line.
class ThreadDuty {
 public:
  /// Truncates `duty` to 15 bytes, the limit of Linux.
  explicit ThreadDuty(std::string_view duty);
  ~ThreadDuty();
  ThreadDuty(const ThreadDuty&) = delete;
  ThreadDuty& operator=(const ThreadDuty&) = delete;

  /// Duty of the calling thread; "unnamed" if it has none.
  static std::string_view Current();

 private:
  std::unique_ptr<std::byte[]> signal_stack;
  stack_t previous_stack{};
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_TELEMETRY_FATAL_LOG_H_
