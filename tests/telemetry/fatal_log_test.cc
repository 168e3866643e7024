#include "mimosastage/telemetry/fatal_log.h"

#include <fcntl.h>
#include <glog/logging.h>
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <openssl/rand.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <csignal>
#include <cstring>
#include <functional>
#include <iostream>
#include <new>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>
#include <thread>
#include <vector>

#include "mimosastage/daemons/frame_authenticator.h"
#include "mimosastage/telemetry/log.h"

namespace mimosastage {
namespace {

using nlohmann::json;
using testing::HasSubstr;

constexpr const char* kSecret = "link-key-0123456789";

/// The fatal lines in the output of a process; glog writes plain text as well.
std::vector<json> FatalLines(const std::string& output) {
  std::vector<json> lines;
  std::istringstream stream(output);
  for (std::string line; std::getline(stream, line);) {
    if (const json parsed = json::parse(line, nullptr, false);
        parsed.is_object() && parsed.value("severity", "") == "fatal") {
      lines.push_back(parsed);
    }
  }
  return lines;
}

MATCHER_P3(HasOneFatalLine, thread, reason, exit_status, "") {
  const std::vector<json> lines = FatalLines(arg);
  if (lines.size() != 1) {
    *result_listener << lines.size() << " fatal lines";
    return false;
  }
  const json& line = lines[0];
  for (const char* name : {"time", "message"}) {
    if (!line.contains(name)) {
      return false;
    }
  }
  const json& fields = line.at("fields");
  return line.at("event") == "process_failed" &&
         line.at("daemon") == "entry-1" && fields.at("thread") == thread &&
         fields.at("exit_status") == exit_status &&
         testing::ExplainMatchResult(
             reason, fields.at("reason").get<std::string>(), result_listener);
}

int AlwaysFail(unsigned char* /*bytes*/, int /*count*/) { return 0; }

/// The child process of each test ends in a way that nobody planned; its parent
/// checks what it has written.
class FatalLogTest : public testing::Test {
 protected:
  static void Install(int descriptor = STDERR_FILENO) {
    InstallFatalLog({"entry-1", {kSecret, ""}, descriptor});
  }

  static void RunThread(const std::function<void()>& run) {
    Install();
    std::thread([&] {
      const ThreadDuty duty("node");
      run();
    }).join();
  }
};

constexpr int kAborted = 128 + SIGABRT;

// Guards against a thread whose exception ends the process without a line that
// names the thread, the exception's type and its text.
TEST_F(FatalLogTest, Thread_LeavesWithException_LineNamesItAndProcessAborts) {
  EXPECT_EXIT(
      this->RunThread([] { throw std::runtime_error("socket 7 is unknown"); }),
      testing::KilledBySignal(SIGABRT),
      HasOneFatalLine("node", "std::runtime_error: socket 7 is unknown",
                      kAborted));
}

// Guards against a handler that needs memory to report that there is none.
TEST_F(FatalLogTest, Thread_LacksMemory_LineNamesBadAlloc) {
  EXPECT_EXIT(
      this->RunThread([] { throw std::bad_alloc(); }),
      testing::KilledBySignal(SIGABRT),
      HasOneFatalLine("node", "std::bad_alloc: std::bad_alloc", kAborted));
}

// Guards against exceptions that aren't derived from std::exception.
TEST_F(FatalLogTest, Thread_ThrowsNumber_LineNamesItsType) {
  EXPECT_EXIT(this->RunThread([] { throw 7; }),
              testing::KilledBySignal(SIGABRT),
              HasOneFatalLine("node", "int", kAborted));
}

// Guards against ends by std::terminate that have no exception.
TEST_F(FatalLogTest, Terminate_NoException_LineSaysSo) {
  EXPECT_EXIT(
      this->RunThread([] { std::terminate(); }),
      testing::KilledBySignal(SIGABRT),
      HasOneFatalLine("node", HasSubstr("without an exception"), kAborted));
}

// Guards against keys in the last line, and against texts that break its JSON.
TEST_F(FatalLogTest, Exception_TextWithKeysAndControlBytes_LineIsCleanJson) {
  const std::string text =
      std::string("a \"b\"\n\x01\xff ") + kSecret + " msk_0123abcd end";
  EXPECT_EXIT(this->RunThread([&] { throw std::runtime_error(text); }),
              testing::KilledBySignal(SIGABRT),
              HasOneFatalLine("node",
                              "std::runtime_error: a \"b\"\n\x01? "
                              "******************* ************ end",
                              kAborted));
}

// Guards against a line that exceeds its buffer, or is cut within its JSON.
TEST_F(FatalLogTest, Exception_LongText_LineIsCutAndValid) {
  EXPECT_EXIT(
      this->RunThread([] { throw std::runtime_error(std::string(9'000, 1)); }),
      testing::KilledBySignal(SIGABRT),
      HasOneFatalLine("node", testing::SizeIs(testing::Ge(300)), kAborted));
}

// Guards against two lines, or a line that is lost because another thread ends
// the process while it is written.
TEST_F(FatalLogTest, ManyThreads_FailTogether_OneLine) {
  const auto fail_together = [] {
    Install();
    std::atomic<int> waiting{0};
    std::vector<std::thread> threads;
    threads.reserve(4);
    for (int i = 0; i < 4; ++i) {
      threads.emplace_back([&] {
        const ThreadDuty duty("node");
        ++waiting;
        while (waiting.load() < 4) {
        }
        throw std::runtime_error("together");
      });
    }
    for (std::thread& thread : threads) {
      thread.join();
    }
  };
  for (int i = 0; i < 20; ++i) {
    EXPECT_EXIT(
        fail_together(), testing::KilledBySignal(SIGABRT),
        HasOneFatalLine("node", "std::runtime_error: together", kAborted));
  }
}

// Guards against a fatal line of a library that is logged twice or not at all.
TEST_F(FatalLogTest, LibraryCheck_Fails_OneLineWithItsText) {
  const auto fail_check = [] {
    const JsonLogging logging("fatal_log_test", "entry-1", {});
    Install();
    const ThreadDuty duty("node");
    CHECK_EQ(1, 2) << "impossible";
  };
  EXPECT_EXIT(
      fail_check(), testing::KilledBySignal(SIGABRT),
      HasOneFatalLine("node", HasSubstr("Check failed: 1 == 2"), kAborted));
}

// Guards against a plain abort where the system gives no random numbers.
TEST_F(FatalLogTest, RandomNumbers_NotAvailable_LineNamesRemedy) {
  RAND_METHOD failing{};
  failing.bytes = &AlwaysFail;
  EXPECT_EXIT(
      this->RunThread([&] {
        RAND_set_rand_method(&failing);
        GenerateLinkNonce();
      }),
      testing::KilledBySignal(SIGABRT),
      HasOneFatalLine("node", HasSubstr("configuration of OpenSSL"), kAborted));
}

#if !defined(__SANITIZE_ADDRESS__) && !defined(__SANITIZE_THREAD__)
// Guards against a signal handler that has no stack when the thread's own is
// used up. The sanitizers' own handlers report this case instead.
TEST_F(FatalLogTest, Thread_OverflowsItsStack_LineNamesTheSignal) {
  std::function<int(int)> overflow = [&](int depth) {
    return depth < 0 ? 0 : overflow(depth + 1) + 1;
  };
  EXPECT_EXIT(
      this->RunThread([&] { overflow(0); }), testing::KilledBySignal(SIGSEGV),
      HasOneFatalLine("node", testing::StartsWith("SIGSEGV at address 0x"),
                      128 + SIGSEGV));
}

/// The calling thread's signal stack is filled with this.
constexpr unsigned char kUntouched = 0xA5;

/// Ends the process with status 0 if the handler before it has left SIGSTKSZ
/// bytes of the signal stack untouched, else 1.
void CheckSignalStack(int /*signal*/) {
  stack_t stack{};
  sigaltstack(nullptr, &stack);
  const auto* const begin = static_cast<const unsigned char*>(stack.ss_sp);
  const auto* const end = begin + stack.ss_size;
  const auto untouched = static_cast<std::size_t>(
      std::find_if(begin, end,
                   [](unsigned char byte) { return byte != kUntouched; }) -
      begin);
  std::cerr << untouched << " of " << stack.ss_size << " bytes untouched\n";
  _exit(untouched >= static_cast<std::size_t>(SIGSTKSZ) ? 0 : 1);
}

// Guards against a signal stack that the handler itself nearly uses up.
// SIGSTKSZ is what the system advises for a handler of its own, and covers the
// registers of the largest processors.
TEST_F(FatalLogTest, SignalStack_HandlerHasRun_RoomForAnotherOne) {
  EXPECT_EXIT(
      {
        std::signal(SIGSEGV, CheckSignalStack);
        RunThread([] {
          stack_t stack{};
          sigaltstack(nullptr, &stack);
          std::memset(stack.ss_sp, kUntouched, stack.ss_size);
          raise(SIGSEGV);
        });
      },
      testing::ExitedWithCode(0), "process_failed");
}

// Guards against a handler that hides the signal that ends the process.
TEST_F(FatalLogTest, Process_RaisesSignal_EndsBySameSignalAfterOneLine) {
  for (const int signal :
       {SIGSEGV, SIGBUS, SIGILL, SIGFPE, SIGABRT, SIGQUIT, SIGXFSZ, SIGUSR1}) {
    SCOPED_TRACE(signal);
    EXPECT_EXIT(
        this->RunThread([&] { raise(signal); }),
        testing::KilledBySignal(signal),
        HasOneFatalLine("node", HasSubstr(" sent by process "), 128 + signal));
  }
}
#endif

// Guards against a process that doesn't end because nobody reads its output.
TEST_F(FatalLogTest, Output_AcceptsNoBytes_ProcessStillEnds) {
  const auto fail_with_full_pipe = [] {
    std::array<int, 2> ends{};
    ASSERT_EQ(pipe2(ends.data(), O_NONBLOCK), 0);
    std::array<char, 4'096> bytes{};
    while (write(ends[1], bytes.data(), bytes.size()) > 0) {
    }
    fcntl(ends[1], F_SETFL, 0);
    Install(ends[1]);
    throw std::runtime_error("nobody reads this");
  };
  EXPECT_EXIT(std::thread(fail_with_full_pipe).join(),
              testing::KilledBySignal(SIGABRT), "");
}

// Guards against a handler that ends a process on a signal that it ignored.
TEST_F(FatalLogTest, IgnoredSignal_AfterInstall_StaysIgnored) {
  EXPECT_EXIT(
      {
        std::signal(SIGXFSZ, SIG_IGN);
        Install();
        raise(SIGXFSZ);
        _exit(0);
      },
      testing::ExitedWithCode(0), "^$");
}

// Guards against an exit by status that leaves no fatal line.
TEST_F(FatalLogTest, FailedExit_Status1_LineHasStatus) {
  EXPECT_EXIT(this->RunThread([] {
    LogFailedExit("the disk failed", 1);
    _exit(1);
  }),
              testing::ExitedWithCode(1),
              HasOneFatalLine("node", "the disk failed", 1));
}

}  // namespace
}  // namespace mimosastage
