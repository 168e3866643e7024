#ifndef MIMOSASTAGE_TESTS_SYSTEM_SUPPORT_PROCESS_H_
#define MIMOSASTAGE_TESTS_SYSTEM_SUPPORT_PROCESS_H_

#include <sys/types.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace mimosastage::testing {

/// A program started by a test; killed when the object ends.
class Process {
 public:
  /// The program's output goes to `log`.
  Process(const std::vector<std::string>& command, const std::string& log);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Signal(int signal);
  /// The exit status, or nothing while it runs; 128 + n after signal n.
  std::optional<int> Poll();
  /// Waits for the end.
  int Wait();
  bool Running() { return !this->Poll().has_value(); }
  pid_t Pid() const { return this->pid; }

 private:
  pid_t pid = -1;
  std::optional<int> status;
};

/// Asks until the condition holds or a generous time has passed.
template <class Condition>
bool Eventually(Condition condition,
                std::chrono::seconds longest = std::chrono::seconds(60));

void SleepFor(std::chrono::milliseconds time);

template <class Condition>
bool Eventually(Condition condition, std::chrono::seconds longest) {
  const auto end = std::chrono::steady_clock::now() + longest;
  while (std::chrono::steady_clock::now() < end) {
    if (condition()) {
      return true;
    }
    SleepFor(std::chrono::milliseconds(20));
  }
  return condition();
}

}  // namespace mimosastage::testing

#endif  // MIMOSASTAGE_TESTS_SYSTEM_SUPPORT_PROCESS_H_
