#include "mimosastage/telemetry/fatal_log.h"

#include <cxxabi.h>
#include <poll.h>
#include <pthread.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <charconv>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <exception>
#include <memory>
#include <typeinfo>

#include "mimosastage/state/key_secret.h"

namespace mimosastage {
namespace {

constexpr std::size_t kMaxDaemonBytes = 64;
constexpr std::size_t kMaxReasonBytes = 1'024;
/// Limit after escaping. With it the whole line is shorter than PIPE_BUF, so
/// that one write to a pipe is never split by lines of other threads.
constexpr std::size_t kMaxEscapedReasonBytes = 2'048;
constexpr std::size_t kMaxLineBytes = 3'584;
/// Linux limits names of threads to this many bytes.
constexpr std::size_t kMaxDutyBytes = 15;
/// Room for the handler and for the registers that the kernel saves for it.
constexpr std::size_t kHandlerStackBytes = 16'384;
/// Longest wait for an output that accepts no bytes.
constexpr std::chrono::milliseconds kOutputTimeout{200};
/// Longest wait for the line of another thread that fails at the same time.
constexpr std::chrono::milliseconds kOtherLineTimeout{500};
constexpr int kSignalStatusBase = 128;

struct SignalName {
  int number;
  const char* name;
  /// The kernel raises it for an instruction of the thread itself, or abort
  /// does. Its handler is replaced even if there was one.
  bool always_handled;
};

constexpr std::array kSignals{
    SignalName{SIGSEGV, "SIGSEGV", true},
    SignalName{SIGBUS, "SIGBUS", true},
    SignalName{SIGILL, "SIGILL", true},
    SignalName{SIGFPE, "SIGFPE", true},
    SignalName{SIGABRT, "SIGABRT", true},
    SignalName{SIGTRAP, "SIGTRAP", false},
    SignalName{SIGSYS, "SIGSYS", false},
    SignalName{SIGHUP, "SIGHUP", false},
    SignalName{SIGQUIT, "SIGQUIT", false},
    SignalName{SIGUSR1, "SIGUSR1", false},
    SignalName{SIGUSR2, "SIGUSR2", false},
    SignalName{SIGALRM, "SIGALRM", false},
    SignalName{SIGVTALRM, "SIGVTALRM", false},
    SignalName{SIGPROF, "SIGPROF", false},
    SignalName{SIGXCPU, "SIGXCPU", false},
    SignalName{SIGXFSZ, "SIGXFSZ", false},
};

/// A text of limited length, built without allocations. What exceeds the limit
/// is dropped.
template <std::size_t capacity>
class FixedText {
 public:
  void Append(std::string_view text) {
    const std::size_t count = std::min(text.size(), capacity - this->length);
    std::copy_n(text.data(), count, this->bytes.data() + this->length);
    this->length += count;
  }

  template <class Int>
  void AppendNumber(Int number, int base = 10, std::size_t min_digits = 1) {
    std::array<char, 24> digits{};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(),
                                   number, base)
                         .ptr;
    const auto count = static_cast<std::size_t>(end - digits.data());
    for (std::size_t i = count; i < min_digits; ++i) {
      this->Append("0");
    }
    this->Append({digits.data(), count});
  }

  /// Appends the content of a JSON string, at most `limit` bytes of it. Bytes
  /// outside ASCII are replaced, because they may not be UTF-8.
  void AppendEscaped(std::string_view text, std::size_t limit) {
    const std::size_t end = this->length + limit;
    for (const char c : text) {
      constexpr std::size_t kLongestEscape = 6;
      if (this->length + kLongestEscape > end) {
        return;
      }
      const auto byte = static_cast<unsigned char>(c);
      if (c == '"' || c == '\\') {
        this->Append("\\");
        this->Append({&c, 1});
      } else if (byte < 0x20 || byte == 0x7F) {
        this->Append("\\u");
        this->AppendNumber(static_cast<unsigned>(byte), 16, 4);
      } else if (byte > 0x7F) {
        this->Append("?");
      } else {
        this->Append({&c, 1});
      }
    }
  }

  std::string_view View() const { return {this->bytes.data(), this->length}; }
  char* Begin() { return this->bytes.data(); }
  char* End() { return this->bytes.data() + this->length; }

 private:
  std::array<char, capacity> bytes{};
  std::size_t length = 0;
};

using Reason = FixedText<kMaxReasonBytes>;
using Line = FixedText<kMaxLineBytes>;

/// Replaced as a whole and never freed, because a signal handler may read it at
/// any time.
std::atomic<const FatalLogSettings*> installed_settings{nullptr};

std::array<struct sigaction, kSignals.size()> earlier_actions;

enum class LineState : int { kNone, kWriting, kWritten };
std::atomic<LineState> line_state{LineState::kNone};
static_assert(std::atomic<LineState>::is_always_lock_free,
              "signal handlers may only use lock-free atomics");

thread_local constinit std::array<char, kMaxDutyBytes + 1> current_duty{};

bool IsKeyCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '-' || c == '_';
}

void OverwriteSecrets(const std::vector<std::string>& secrets, Reason& reason) {
  for (const std::string& secret : secrets) {
    if (secret.empty()) {
      continue;
    }
    for (char* at = reason.Begin();
         (at = std::search(at, reason.End(), secret.begin(), secret.end())) !=
         reason.End();
         at += secret.size()) {
      std::fill_n(at, secret.size(), '*');
    }
  }
  for (char* at = reason.Begin();
       (at = std::search(at, reason.End(), kKeySecretPrefix.begin(),
                         kKeySecretPrefix.end())) != reason.End();) {
    char* const end = std::find_if_not(at, reason.End(), IsKeyCharacter);
    std::fill(at, end, '*');
    at = end;
  }
}

/// Converts by arithmetic only, because gmtime_r isn't async-signal-safe.
void AppendTime(Line& line) {
  using std::chrono::days;
  using std::chrono::floor;
  using std::chrono::milliseconds;
  const auto now = floor<milliseconds>(std::chrono::system_clock::now());
  const auto day = floor<days>(now);
  const std::chrono::year_month_day date(day);
  const std::chrono::hh_mm_ss time(now - day);
  line.AppendNumber(static_cast<int>(date.year()), 10, 4);
  line.Append("-");
  line.AppendNumber(static_cast<unsigned>(date.month()), 10, 2);
  line.Append("-");
  line.AppendNumber(static_cast<unsigned>(date.day()), 10, 2);
  line.Append("T");
  line.AppendNumber(time.hours().count(), 10, 2);
  line.Append(":");
  line.AppendNumber(time.minutes().count(), 10, 2);
  line.Append(":");
  line.AppendNumber(time.seconds().count(), 10, 2);
  line.Append(".");
  line.AppendNumber(time.subseconds().count(), 10, 3);
  line.Append("Z");
}

void WriteWithTimeout(int descriptor, std::string_view text) {
  while (!text.empty()) {
    pollfd output{descriptor, POLLOUT, 0};
    if (poll(&output, 1, static_cast<int>(kOutputTimeout.count())) == 0) {
      return;
    }
    const ssize_t written = write(descriptor, text.data(), text.size());
    if (written < 0 && errno == EINTR) {
      continue;
    }
    if (written <= 0) {
      return;
    }
    text.remove_prefix(static_cast<std::size_t>(written));
  }
}

/// Async-signal-safe, as is all that it calls.
void WriteLine(const FatalLogSettings& settings, std::string_view message,
               Reason reason, int exit_status) {
  OverwriteSecrets(settings.secrets, reason);
  Line line;
  line.Append(R"({"daemon":")");
  line.AppendEscaped(settings.daemon, kMaxDaemonBytes);
  line.Append(R"(","event":")");
  line.Append(events::kProcessFailed.text);
  line.Append(R"(","fields":{"exit_status":)");
  line.AppendNumber(exit_status);
  line.Append(R"(,"reason":")");
  line.AppendEscaped(reason.View(), kMaxEscapedReasonBytes);
  line.Append(R"(","thread":")");
  line.AppendEscaped(ThreadDuty::Current(), kMaxLineBytes);
  line.Append(R"("},"message":")");
  line.Append(message);
  line.Append(R"(","severity":"fatal","time":")");
  AppendTime(line);
  line.Append("\"}\n");
  WriteWithTimeout(settings.descriptor, line.View());
}

/// Writes the line unless the process has one already, as when an uncaught
/// exception leads to SIGABRT. Waits for a line that another thread is writing,
/// because the process ends when this returns.
void WriteOnlyLine(std::string_view message, const Reason& reason,
                   int exit_status) {
  const FatalLogSettings* settings = installed_settings.load();
  if (settings == nullptr) {
    return;
  }
  LineState expected = LineState::kNone;
  if (line_state.compare_exchange_strong(expected, LineState::kWriting)) {
    WriteLine(*settings, message, reason, exit_status);
    line_state.store(LineState::kWritten);
    return;
  }
  constexpr std::chrono::milliseconds kStep{1};
  for (auto waited = kStep * 0;
       waited < kOtherLineTimeout && line_state.load() == LineState::kWriting;
       waited += kStep) {
    poll(nullptr, 0, static_cast<int>(kStep.count()));
  }
}

void OnSignal(int signal, siginfo_t* info, void* /*context*/) {
  const int saved_errno = errno;
  const auto* const found =
      std::find_if(kSignals.begin(), kSignals.end(),
                   [&](const SignalName& s) { return s.number == signal; });
  Reason reason;
  reason.Append(found->name);
  // Positive codes are those of the kernel.
  const bool from_kernel = info->si_code > 0;
  const bool fault = from_kernel && (signal == SIGSEGV || signal == SIGBUS ||
                                     signal == SIGILL || signal == SIGFPE);
  if (fault) {
    reason.Append(" at address 0x");
    reason.AppendNumber(reinterpret_cast<std::uintptr_t>(info->si_addr), 16);
  } else if (!from_kernel) {
    reason.Append(" sent by process ");
    reason.AppendNumber(info->si_pid);
  }
  WriteOnlyLine("a signal ends the process", reason,
                kSignalStatusBase + signal);
  sigaction(
      signal,
      &earlier_actions[static_cast<std::size_t>(found - kSignals.begin())],
      nullptr);
  // The instruction that caused a fault runs again when this returns, and
  // faults again. Any other signal must be sent again.
  if (!fault) {
    raise(signal);
  }
  errno = saved_errno;
}

void AppendTypeName(const std::type_info& type, Reason& reason) {
  int status = 0;
  // Null if the name can't be allocated.
  char* const name =
      abi::__cxa_demangle(type.name(), nullptr, nullptr, &status);
  reason.Append(name != nullptr ? name : type.name());
  std::free(name);  // NOLINT(cppcoreguidelines-no-malloc)
}

Reason DescribeCurrentException() {
  Reason reason;
  if (std::current_exception() == nullptr) {
    reason.Append("std::terminate was called without an exception");
    return reason;
  }
  if (const std::type_info* type = abi::__cxa_current_exception_type();
      type != nullptr) {
    AppendTypeName(*type, reason);
  }
  try {
    throw;
  } catch (const std::exception& error) {
    reason.Append(": ");
    reason.Append(error.what());
  } catch (...) {  // The type is all that is known of it.
  }
  return reason;
}

[[noreturn]] void OnTerminate() {
  WriteOnlyLine("an uncaught exception ends the process",
                DescribeCurrentException(), kSignalStatusBase + SIGABRT);
  std::abort();
}

void HandleSignals() {
  struct sigaction action {};
  action.sa_sigaction = OnSignal;
  action.sa_flags = SA_SIGINFO | SA_ONSTACK;
  sigemptyset(&action.sa_mask);
  for (std::size_t i = 0; i < kSignals.size(); ++i) {
    struct sigaction& earlier = earlier_actions[i];
    sigaction(kSignals[i].number, nullptr, &earlier);
    if (kSignals[i].always_handled || earlier.sa_handler == SIG_DFL) {
      sigaction(kSignals[i].number, &action, nullptr);
    }
  }
}

}  // namespace

void InstallFatalLog(FatalLogSettings settings) {
  const bool first = installed_settings.load() == nullptr;
  installed_settings.store(new FatalLogSettings(std::move(settings)));
  if (first) {
    std::set_terminate(OnTerminate);
    HandleSignals();
  }
}

bool LogAbort(std::string_view reason) {
  if (installed_settings.load() == nullptr) {
    return false;
  }
  Reason text;
  text.Append(reason);
  WriteOnlyLine("the process aborts", text, kSignalStatusBase + SIGABRT);
  return true;
}

void AbortProcess(std::string_view reason) {
  LogAbort(reason);
  std::abort();
}

void LogFailedExit(std::string_view reason, int exit_status) {
  if (const FatalLogSettings* settings = installed_settings.load();
      settings != nullptr) {
    Reason text;
    text.Append(reason);
    WriteLine(*settings, "the process exits", text, exit_status);
  }
}

void LogRefusedStart(EventName event, const std::string& problem,
                     const std::string& settings_file, int exit_status) {
  LogEvent(LogSeverity::kError, event, "the start was refused")
      .With("reason", problem)
      .With("settings", settings_file)
      .With("thread", ThreadDuty::Current())
      .With("exit_status", exit_status);
}

ThreadDuty::ThreadDuty(std::string_view duty) {
  // SIGSTKSZ is left for the handler of a library that interrupts this one. It
  // grows with the registers of the processor.
  const std::size_t stack_bytes =
      kHandlerStackBytes + static_cast<std::size_t>(SIGSTKSZ);
  this->signal_stack = std::make_unique_for_overwrite<std::byte[]>(stack_bytes);
  stack_t stack{};
  stack.ss_sp = this->signal_stack.get();
  stack.ss_size = stack_bytes;
  sigaltstack(&stack, &this->previous_stack);
  const std::size_t length = duty.copy(current_duty.data(), kMaxDutyBytes);
  current_duty[length] = '\0';
  // The name of the main thread is that of the process in tools. Others take
  // theirs last, so that a thread with a name has its signal stack.
  if (gettid() != getpid()) {
    pthread_setname_np(pthread_self(), current_duty.data());
  }
}

ThreadDuty::~ThreadDuty() {
  sigaltstack(&this->previous_stack, nullptr);
  current_duty[0] = '\0';
}

std::string_view ThreadDuty::Current() {
  return current_duty[0] == '\0' ? std::string_view("unnamed")
                                 : std::string_view(current_duty.data());
}

}  // namespace mimosastage
