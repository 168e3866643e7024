#include <elf.h>
#include <gtest/gtest.h>
#include <signal.h>
#include <sys/ptrace.h>
#include <sys/resource.h>
#include <sys/uio.h>
#include <sys/user.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "tests/system/support/cluster.h"
#include "tests/system/support/process.h"

namespace mimosastage::testing {
namespace {

using nlohmann::json;

constexpr int kRefusedStart = 2;

std::string ReadFile(const std::filesystem::path& path) {
  std::ifstream stream(path);
  return {std::istreambuf_iterator<char>(stream),
          std::istreambuf_iterator<char>()};
}

/// Makes a thread of a child process fault with a stack pointer at which no
/// signal handler can run, as after an overflow of its stack. Returns false if
/// the system doesn't allow it.
bool TakeStackAway(pid_t thread) {
  // No process has memory below its first page.
  constexpr std::uint64_t kNoMemory = 4'096;
  int status = 0;
  if (ptrace(PTRACE_SEIZE, thread, nullptr, nullptr) != 0 ||
      ptrace(PTRACE_INTERRUPT, thread, nullptr, nullptr) != 0 ||
      waitpid(thread, &status, __WALL) != thread || !WIFSTOPPED(status)) {
    return false;
  }
  user_regs_struct registers{};
  iovec area{&registers, sizeof(registers)};
  const auto set = reinterpret_cast<void*>(NT_PRSTATUS);
  if (ptrace(PTRACE_GETREGSET, thread, set, &area) != 0) {
    return false;
  }
#if defined(__aarch64__)
  registers.sp = kNoMemory;
  registers.pc = 0;
#else
  registers.rsp = kNoMemory;
  registers.rip = 0;
  // The system call in which the thread waits isn't started again.
  registers.orig_rax = ~decltype(registers.orig_rax){0};
#endif
  return ptrace(PTRACE_SETREGSET, thread, set, &area) == 0 &&
         ptrace(PTRACE_DETACH, thread, nullptr, nullptr) == 0;
}

/// One voter of each program, as a process. Both write to a file, in which the
/// line about the end of the process is looked up.
class ProcessEndTest : public ::testing::Test {
 protected:
  static std::string Program(const std::string& name) {
    return std::string(MIMOSASTAGE_BIN_DIR) + "/" + name;
  }

  /// Runs the program under a shell that first executes `setup`.
  std::unique_ptr<Process> StartProgram(const std::string& program,
                                        const std::string& settings,
                                        const std::string& setup = "") {
    std::filesystem::remove(this->Log());
    return std::make_unique<Process>(
        std::vector<std::string>{
            "/bin/sh", "-c",
            setup + " exec " + Program(program) + " --settings=" + settings},
        this->Log());
  }

  /// Settings of a voter of mimosastage_platform.
  std::string PlatformSettings(const std::string& cluster_port = "8345") {
    const std::string ip = this->cluster.Address();
    const std::string control = ip + ":" + cluster_port;
    std::string file = this->cluster.Folder() / "platform.json";
    std::ofstream(file) << json{
        {"node_name", "daemon-0"},
        {"ip", ip},
        {"internal_port_range", {7800, 7815}},
        {"seed_nodes", {control}},
        {"bootstrap", true},
        {"listen_addresses", {{"control_plane", control}}},
        {"data_directory",
         this->cluster.Folder() /
             "platform-data"}}.dump();
    return file;
  }

  std::string DaemonSettings() const { return this->cluster.SettingsPath(0); }

  std::string SettingsOf(const std::string& program) {
    return program == "mimosastaged" ? this->DaemonSettings()
                                     : this->PlatformSettings();
  }

  std::string Log() const { return this->cluster.Folder() / "process.log"; }

  bool WaitForLog(const std::string& text) const {
    return Eventually(
        [&] { return ReadFile(this->Log()).find(text) != std::string::npos; });
  }

  /// All threads by name; the main one is called "main".
  static std::map<std::string, pid_t> Threads(pid_t process) {
    std::map<std::string, pid_t> threads;
    for (const auto& thread : std::filesystem::directory_iterator(
             "/proc/" + std::to_string(process) + "/task")) {
      const pid_t id = std::stoi(thread.path().filename().string());
      std::string name = "main";
      if (id != process) {
        std::getline(std::ifstream(thread.path() / "comm"), name);
      }
      threads[name] = id;
    }
    return threads;
  }

  /// Names of all threads but the main one.
  static std::set<std::string> ThreadNames(pid_t process) {
    std::set<std::string> names;
    for (const auto& [name, id] : Threads(process)) {
      names.insert(name);
    }
    names.erase("main");
    return names;
  }

  /// Waits until all threads run. A thread that has just been created has the
  /// name of the process until it takes its own.
  bool WaitForThreads(const Process& process,
                      const std::string& program) const {
    constexpr std::size_t kMaxNameBytes = 15;
    return this->WaitForLog("daemon_started") && Eventually([&] {
             const std::set<std::string> names = ThreadNames(process.Pid());
             return names.contains("signals") &&
                    !names.contains(program.substr(0, kMaxNameBytes));
           });
  }

  /// The lines that name the end of the process: those with an exit status.
  std::vector<json> EndLines() const {
    std::vector<json> lines;
    std::ifstream stream(this->Log());
    for (std::string line; std::getline(stream, line);) {
      const json parsed = json::parse(line, nullptr, false);
      EXPECT_TRUE(parsed.is_object()) << "not a log line: " << line;
      if (parsed.is_object() &&
          parsed.value("fields", json::object()).contains("exit_status")) {
        lines.push_back(parsed);
      }
    }
    return lines;
  }

  void ExpectOneEndLine(const std::string& severity, const std::string& event,
                        int exit_status, const std::string& reason) const {
    const std::vector<json> lines = this->EndLines();
    ASSERT_EQ(lines.size(), 1U) << ReadFile(this->Log());
    const json& line = lines[0];
    EXPECT_EQ(line["severity"], severity);
    EXPECT_EQ(line["event"], event);
    EXPECT_EQ(line["fields"]["exit_status"], exit_status);
    EXPECT_NE(line["fields"]["thread"].get<std::string>(), "unnamed");
    EXPECT_NE(line["fields"]["reason"].get<std::string>().find(reason),
              std::string::npos)
        << line;
  }

  static const std::vector<std::string>& Programs() {
    static const std::vector<std::string> programs{"mimosastaged",
                                                   "mimosastage_platform"};
    return programs;
  }

  Cluster cluster{1, 1};
};

// Guards against a process that a signal ends without a log line, and against a
// handler that changes how the process ends.
TEST_F(ProcessEndTest, FatalSignal_EachProgram_OneLineAndSameSignal) {
  for (const std::string& program : Programs()) {
    for (const int signal : {SIGSEGV, SIGBUS, SIGILL, SIGFPE, SIGABRT}) {
      SCOPED_TRACE(program + " " + std::to_string(signal));
      const auto process =
          this->StartProgram(program, this->SettingsOf(program));
      ASSERT_TRUE(this->WaitForThreads(*process, program));
      process->Signal(signal);
      EXPECT_EQ(process->Wait(), 128 + signal);
      this->ExpectOneEndLine("fatal", "process_failed", 128 + signal,
                             "sent by process " + std::to_string(getpid()));
    }
  }
}

// Guards against a thread whose overflow of the stack ends the process without
// a line, because its signals have no stack of their own.
TEST_F(ProcessEndTest, StackIsUsedUp_EachThread_OneLineNamesIt) {
  for (const std::string& program : Programs()) {
    std::set<std::string> names;
    {
      const auto process =
          this->StartProgram(program, this->SettingsOf(program));
      ASSERT_TRUE(this->WaitForThreads(*process, program));
      names = ThreadNames(process->Pid());
    }
    names.insert("main");
    EXPECT_GE(names.size(), 8U);
    for (const std::string& name : names) {
      SCOPED_TRACE(program);
      SCOPED_TRACE(name);
      const auto process =
          this->StartProgram(program, this->SettingsOf(program));
      ASSERT_TRUE(this->WaitForThreads(*process, program));
      ASSERT_TRUE(TakeStackAway(Threads(process->Pid()).at(name)));
      EXPECT_EQ(process->Wait(), 128 + SIGSEGV);
      this->ExpectOneEndLine("fatal", "process_failed", 128 + SIGSEGV,
                             "SIGSEGV at address 0x");
      const std::vector<json> lines = this->EndLines();
      ASSERT_EQ(lines.size(), 1U);
      EXPECT_EQ(lines[0]["fields"]["thread"], name);
    }
  }
}

// Guards against threads that a fatal line can't tell apart.
TEST_F(ProcessEndTest, Threads_EachProgram_NamedByDuty) {
  for (const std::string& program : Programs()) {
    SCOPED_TRACE(program);
    const auto process = this->StartProgram(program, this->SettingsOf(program));
    ASSERT_TRUE(this->WaitForThreads(*process, program));
    std::set<std::string> expected{"node", "links", "exchanges", "storage",
                                   "signals"};
    expected.merge(program == "mimosastaged"
                       ? std::set<std::string>{"callers", "operators"}
                       : std::set<std::string>{"listener-0", "listener-1"});
    EXPECT_EQ(ThreadNames(process->Pid()), expected);
  }
}

// Guards against a start that is refused with plain text, which the reader of
// the log doesn't see.
TEST_F(ProcessEndTest, BadSettings_EachProgram_OneErrorLine) {
  const std::string file = this->cluster.Folder() / "bad.json";
  std::ofstream(file) << R"({"node_name": 7, "cluster": 7})";
  for (const std::string& program : Programs()) {
    SCOPED_TRACE(program);
    EXPECT_EQ(this->StartProgram(program, file)->Wait(), kRefusedStart);
    this->ExpectOneEndLine("error", "settings_rejected", kRefusedStart, "");
    EXPECT_EQ(this->StartProgram(program, "/does/not/exist")->Wait(),
              kRefusedStart);
    this->ExpectOneEndLine("error", "settings_rejected", kRefusedStart,
                           "/does/not/exist");
  }
}

// Guards against a refused address without a line that names it.
TEST_F(ProcessEndTest, AddressInUse_EachProgram_OneErrorLine) {
  const auto owner = std::make_unique<Process>(
      std::vector<std::string>{Program("mimosastaged"),
                               "--settings=" + this->DaemonSettings()},
      this->cluster.Folder() / "owner.log");
  ASSERT_TRUE(Eventually([&] { return this->cluster.Ready(0); }));
  EXPECT_EQ(this->StartProgram("mimosastaged", this->DaemonSettings())->Wait(),
            kRefusedStart);
  this->ExpectOneEndLine("error", "settings_rejected", kRefusedStart,
                         this->cluster.Address());
  // The owner's port for callers.
  EXPECT_EQ(
      this->StartProgram("mimosastage_platform", this->PlatformSettings("7100"))
          ->Wait(),
      kRefusedStart);
  this->ExpectOneEndLine("error", "listener_failed", kRefusedStart,
                         this->cluster.Address() + ":7100");
}

// Guards against a refused data folder without a line that names it. The
// platform's daemon keeps running instead; see
// JobClusterTest.Start_FolderOfAnotherVoter_RunsAndLeavesItAlone.
TEST_F(ProcessEndTest, ForeignDataFolder_Daemon_OneErrorLine) {
  std::filesystem::remove_all(this->cluster.DataDir(0));
  std::filesystem::create_directories(this->cluster.DataDir(0));
  std::ofstream(this->cluster.DataDir(0) / "notes") << "not a data folder";
  EXPECT_EQ(this->StartProgram("mimosastaged", this->SettingsOf("mimosastaged"))
                ->Wait(),
            kRefusedStart);
  this->ExpectOneEndLine("error", "listener_failed", kRefusedStart,
                         "no identity file");
}

// Guards against an exit with status 1 that no fatal line explains, and against
// an end by SIGXFSZ instead of it.
TEST_F(ProcessEndTest, DiskRefusesWrites_Daemon_ExitsAfterFatalLine) {
  const auto process =
      this->StartProgram("mimosastaged", this->DaemonSettings());
  ASSERT_TRUE(this->WaitForLog("daemon_started"));
  ASSERT_TRUE(Eventually([&] { return this->cluster.Ready(0); }));
  // Also limits the file with the log lines, which has room for the last one.
  constexpr rlim_t kFileBytes = 16'384;
  const rlimit limit{kFileBytes, RLIM_INFINITY};
  ASSERT_EQ(prlimit(process->Pid(), RLIMIT_FSIZE, &limit, nullptr), 0);
  // Each change appends to the log of the voter until the limit is reached.
  for (int i = 0; i < 2'000 && process->Running(); ++i) {
    const json change{
        {"change_id", "change-" + std::to_string(i)},
        {"base_version", i},
        {"upserts",
         {{{"name", "team"}, {"share", 1}, {"upper_limit", 1 + i}}}}};
    this->cluster.SendOperatorRequest(0, "POST", "/v1/tables/teams",
                                      change.dump());
  }
  EXPECT_EQ(process->Wait(), 1);
  this->ExpectOneEndLine("fatal", "process_failed", 1, "the disk failed");
}

// Guards against a failure of the system's random numbers that leaves no line.
TEST_F(ProcessEndTest, NoRandomNumbers_EachProgram_AbortsAfterFatalLine) {
  const auto configuration = this->cluster.Folder() / "openssl.cnf";
  std::ofstream(configuration) << "openssl_conf = init\n[init]\n"
                                  "random = random_section\n"
                                  "[random_section]\nrandom = NOT-AVAILABLE\n";
  for (const std::string& program : Programs()) {
    SCOPED_TRACE(program);
    EXPECT_EQ(this->StartProgram(program, this->SettingsOf(program),
                                 "OPENSSL_CONF=" + configuration.string())
                  ->Wait(),
              128 + SIGABRT);
    this->ExpectOneEndLine("fatal", "process_failed", 128 + SIGABRT,
                           "no random numbers");
  }
}

// Guards against a descriptor limit that ends the process without a line.
TEST_F(ProcessEndTest, TooFewDescriptors_EachProgram_LineNamesTheCause) {
  for (const std::string& program : Programs()) {
    SCOPED_TRACE(program);
    const int status =
        this->StartProgram(program, this->SettingsOf(program), "ulimit -n 9;")
            ->Wait();
    EXPECT_NE(status, 0);
    const std::vector<json> lines = this->EndLines();
    ASSERT_EQ(lines.size(), 1U) << ReadFile(this->Log());
    EXPECT_EQ(lines[0]["fields"]["exit_status"], status);
    EXPECT_NE(lines[0].dump().find("Too many open files"), std::string::npos)
        << lines[0];
  }
}

// Guards against a descriptor limit that ends a running process, and against a
// listener that never accepts again after a connection that it couldn't accept.
TEST_F(ProcessEndTest, NoDescriptorsLeft_EachProgramRuns_GoesOnAfterwards) {
  for (const std::string& program : Programs()) {
    SCOPED_TRACE(program);
    const std::string url =
        program == "mimosastaged"
            ? this->cluster.OperatorUrl(0, "/readyz")
            : "http://" + this->cluster.Address() + ":8345/-/configuration";
    const auto process = this->StartProgram(program, this->SettingsOf(program));
    ASSERT_TRUE(this->WaitForThreads(*process, program));
    rlimit original{};
    ASSERT_EQ(prlimit(process->Pid(), RLIMIT_NOFILE, nullptr, &original), 0);
    const rlimit none{3, original.rlim_max};
    ASSERT_EQ(prlimit(process->Pid(), RLIMIT_NOFILE, &none, nullptr), 0);
    for (int i = 0; i < 5; ++i) {
      Send({.url = url, .timeout = std::chrono::milliseconds(200)});
    }
    EXPECT_TRUE(process->Running());
    ASSERT_EQ(prlimit(process->Pid(), RLIMIT_NOFILE, &original, nullptr), 0);
    EXPECT_TRUE(Eventually(
        [&] {
          return Send({.url = url, .timeout = std::chrono::seconds(2)})
                     .status != 0;
        },
        std::chrono::seconds(10)));
    EXPECT_TRUE(this->EndLines().empty()) << ReadFile(this->Log());
  }
}

}  // namespace
}  // namespace mimosastage::testing
