#ifndef MIMOSASTAGE_TESTS_SYSTEM_SUPPORT_PROCESS_H_
#define MIMOSASTAGE_TESTS_SYSTEM_SUPPORT_PROCESS_H_

#include <sys/types.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace mimosastage::testing {

/// A child process started by a test; the destructor kills it.
class Process {
 public:
  /// Appends the standard output and error of the process to the file `log`.
  Process(const std::vector<std::string>& command, const std::string& log);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  /// Returns after SIGSTOP only once all threads have stopped.
  void Signal(int signal);
  /// The exit status, 128 + n if signal n ended the process, or nothing while
  /// it runs.
  std::optional<int> Poll();
  /// Waits for the process to end; returns the status as Poll() does.
  int Wait();
  bool Running() { return !this->Poll().has_value(); }
  pid_t Pid() const { return this->pid; }

 private:
  pid_t pid = -1;
  std::optional<int> status;
};

/// Polls the condition until it holds or the timeout has passed; returns
/// whether it held.
template <class Condition>
bool Eventually(Condition condition,
                std::chrono::seconds timeout = std::chrono::seconds(60));

void SleepFor(std::chrono::milliseconds time);

template <class Condition>
bool Eventually(Condition condition, std::chrono::seconds timeout) {
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  while (std::chrono::steady_clock::now() < deadline) {
    if (condition()) {
      return true;
    }
    SleepFor(std::chrono::milliseconds(20));
  }
  return condition();
}

}  // namespace mimosastage::testing

#endif  // MIMOSASTAGE_TESTS_SYSTEM_SUPPORT_PROCESS_H_
