#include "tests/system/support/process.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <stdexcept>
#include <thread>

extern char** environ;

namespace mimosastage::testing {

Process::Process(const std::vector<std::string>& command,
                 const std::string& log) {
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  std::vector<char*> arguments;
  arguments.reserve(command.size() + 1);
  for (const std::string& part : command) {
    arguments.push_back(const_cast<char*>(part.c_str()));
  }
  arguments.push_back(nullptr);
  const int error = posix_spawn(&this->pid, arguments[0], &actions, nullptr,
                                arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) {
    throw std::runtime_error("failed to start " + command[0]);
  }
}

Process::~Process() {
  if (this->Running()) {
    this->Signal(SIGKILL);
    this->Signal(SIGCONT);
    this->Wait();
  }
}

void Process::Signal(int signal) {
  if (this->status.has_value()) {
    return;
  }
  kill(this->pid, signal);
  if (signal == SIGSTOP) {
    // Threads of the process run on until the one that takes the signal is
    // scheduled, which takes a while on a busy machine.
    siginfo_t stopped{};
    waitid(P_PID, static_cast<id_t>(this->pid), &stopped,
           WSTOPPED | WEXITED | WNOWAIT);
  }
}

std::optional<int> Process::Poll() {
  int raw = 0;
  if (!this->status.has_value() &&
      waitpid(this->pid, &raw, WNOHANG) == this->pid) {
    this->status = WIFEXITED(raw) ? WEXITSTATUS(raw) : 128 + WTERMSIG(raw);
  }
  return this->status;
}

int Process::Wait() {
  while (!this->Poll().has_value()) {
    SleepFor(std::chrono::milliseconds(5));
  }
  return *this->status;
}

void SleepFor(std::chrono::milliseconds time) {
  std::this_thread::sleep_for(time);
}

}  // namespace mimosastage::testing
