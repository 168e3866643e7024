#include <fcntl.h>
#include <gtest/gtest.h>
#include <signal.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <thread>

#include "mimosastage/base/daemon_id.h"
#include "tests/system/support/fake_platform_worker.h"
#include "tests/system/support/http.h"
#include "tests/system/support/process.h"

namespace mimosastage::testing {
namespace {

using nlohmann::json;

/// Three voters and an entry as separate processes, and two workers as threads,
/// on loopback. The settings files are like those that the users' platform
/// writes.
class JobClusterTest : public ::testing::Test {
 protected:
  void SetUp() override {
    const int pid = getpid();
    this->network = "127." + std::to_string(64 + (pid >> 8) % 128) + "." +
                    std::to_string(pid & 0xff) + ".";
    this->folder = std::filesystem::temp_directory_path() /
                   ("mimosastage-jobs-" + std::to_string(pid));
    std::filesystem::remove_all(this->folder);
    std::filesystem::create_directories(this->folder);
    for (int i = 0; i < kDaemons; ++i) {
      this->StartDaemon(i, true);
    }
    ASSERT_TRUE(Eventually([this] { return this->Configure(1) == 200; }));
    for (int i = 0; i < 2; ++i) {
      this->workers.push_back(
          std::make_unique<FakePlatformWorker>(FakePlatformWorker::Settings{
              "worker-" + std::to_string(i),
              this->Address(10 + i),
              "pool",
              {this->ControlAddress(0), this->ControlAddress(1),
               this->ControlAddress(2)}}));
    }
    ASSERT_TRUE(Eventually([this] {
      return Send({.url = "http://" + this->Address(3) + ":8343/-/readiness"})
                 .status == 200;
    }));
  }

  void TearDown() override {
    this->workers.clear();
    for (auto& daemon : this->daemons) {
      daemon.reset();
    }
    std::filesystem::remove_all(this->folder);
  }

  std::string Address(int host) const {
    const auto chosen = this->addresses.find(host);
    return chosen != this->addresses.end()
               ? chosen->second
               : this->network + std::to_string(100 + host);
  }
  std::string ControlAddress(int daemon) const {
    return this->Address(daemon) + ":8345";
  }

  void StartDaemon(int daemon, bool bootstrap,
                   const std::vector<int>& seeds = {0, 1, 2}) {
    const bool voter = daemon < kVoters || daemon == kReplacement;
    json seed_addresses = json::array();
    for (const int seed : seeds) {
      seed_addresses.push_back(this->ControlAddress(seed));
    }
    json settings{{"node_name", "daemon-" + std::to_string(daemon)},
                  {"ip", this->Address(daemon)},
                  {"internal_port_range", {7000, 7015}},
                  {"seed_nodes", seed_addresses},
                  {"bootstrap", bootstrap}};
    const std::string name = std::to_string(daemon);
    if (voter) {
      settings["listen_addresses"] = {
          {"control_plane", this->ControlAddress(daemon)}};
      settings["data_directory"] = this->folder / ("data-" + name);
    } else {
      settings["listen_addresses"] = {
          {"frontend", this->Address(daemon) + ":8340"},
          {"readiness", this->Address(daemon) + ":8343"}};
    }
    const std::string file = this->folder / ("settings-" + name + ".json");
    std::ofstream(file) << settings.dump();
    this->daemons[static_cast<std::size_t>(daemon)] = std::make_unique<Process>(
        std::vector<std::string>{
            std::string(MIMOSASTAGE_BIN_DIR) + "/mimosastage_platform",
            "--settings=" + file},
        this->folder / ("log-" + name));
  }

  void KillDaemon(int daemon) {
    auto& process = this->daemons[static_cast<std::size_t>(daemon)];
    process->Signal(SIGKILL);
    process->Wait();
  }

  static json MakeRoute(const std::string& name, const std::string& host) {
    return json{{"name", name},
                {"host", host},
                {"path_prefix", "/" + name + "/"},
                {"service", "pool"},
                {"timeout_ms", 3'000},
                {"max_attempts", 2},
                {"stretch", 2.0},
                {"public", true}};
  }

  /// Sends a configuration with the route "queue" and `more_routes` others to
  /// the voters in turn. Returns the first status that isn't 0 or 5xx.
  int Configure(int version, const std::string& host = "host",
                int more_routes = 0) {
    json routes{MakeRoute("queue", host)};
    for (int i = 0; i < more_routes; ++i) {
      routes.push_back(MakeRoute("queue-" + std::to_string(i), host));
    }
    const json body{{"version", version},
                    {"routes", std::move(routes)},
                    {"services", {{{"name", "pool"}}}},
                    {"tenants", json::array()}};
    for (int i = 0; i < kVoters; ++i) {
      const int status =
          Send({.method = "PUT",
                .url = "http://" + this->ControlAddress(i) + "/-/configuration",
                .body = body.dump(),
                .timeout = std::chrono::seconds(2)})
              .status;
      if (status != 0 && status < 500) {
        return status;
      }
    }
    return 0;
  }

  /// The version that the daemon's configuration names, as the JSON text
  /// `"version":N`, or "".
  std::string ConfigurationVersionAt(int daemon) {
    const Reply reply = Send(
        {.url = "http://" + this->ControlAddress(daemon) + "/-/configuration",
         .timeout = std::chrono::seconds(3)});
    const std::size_t at = reply.body.find("\"version\"");
    return reply.status == 200 && at != std::string::npos
               ? reply.body.substr(at, reply.body.find_first_of(",}", at) - at)
               : std::string();
  }

  static void FlipByte(const std::filesystem::path& path, int offset) {
    std::fstream file(path, std::ios::binary | std::ios::in | std::ios::out);
    file.seekg(offset);
    const char flipped = static_cast<char>(file.get() ^ 1);
    file.seekp(offset);
    file.put(flipped);
    ASSERT_TRUE(file.good()) << path;
  }

  bool LogContains(int daemon, const std::string& text) const {
    std::ifstream log(this->folder / ("log-" + std::to_string(daemon)));
    const std::string content((std::istreambuf_iterator<char>(log)),
                              std::istreambuf_iterator<char>());
    return content.find(text) != std::string::npos;
  }

  /// Makes each start of the daemon hang when it reads its data folder, until
  /// ReleaseDataFolder.
  void HangDataFolder(int daemon) {
    const auto identity = this->IdentityFile(daemon);
    std::filesystem::rename(identity, this->folder / "identity");
    ASSERT_EQ(mkfifo(identity.c_str(), 0600), 0);
  }

  void ReleaseDataFolder(int daemon) {
    std::ifstream kept(this->folder / "identity", std::ios::binary);
    const std::string content((std::istreambuf_iterator<char>(kept)),
                              std::istreambuf_iterator<char>());
    int pipe = -1;
    ASSERT_TRUE(Eventually([&] {
      pipe = open(this->IdentityFile(daemon).c_str(), O_WRONLY | O_NONBLOCK);
      return pipe >= 0;
    })) << "the daemon doesn't read the folder";
    EXPECT_EQ(write(pipe, content.data(), content.size()),
              static_cast<ssize_t>(content.size()));
    close(pipe);
  }

  std::filesystem::path IdentityFile(int daemon) const {
    return this->folder / ("data-" + std::to_string(daemon)) / "identity";
  }

  bool WaitForLog(int daemon, const std::string& text) {
    return Eventually([&] { return this->LogContains(daemon, text); });
  }

  static bool HasThread(pid_t process, const std::string& name) {
    for (const auto& thread : std::filesystem::directory_iterator(
             "/proc/" + std::to_string(process) + "/task")) {
      std::string found;
      std::getline(std::ifstream(thread.path() / "comm"), found);
      if (found == name) {
        return true;
      }
    }
    return false;
  }

  Reply SendToQueue(const std::string& method, const std::string& id,
                    const std::string& body = "") {
    return Send({.method = method,
                 .url = "http://" + this->Address(3) + ":8340/queue/" + id,
                 .headers = {"Host: host"},
                 .body = body});
  }

  bool Submit(const std::string& id) {
    const json body{{"specification", "text"},
                    {"steps",
                     {{{"count", 2}, {"cpu", 500}, {"estimated_ms", 300}},
                      {{"count", 1}, {"cpu", 500}, {"after", {0}}}}}};
    return Eventually([&] {
      return this->SendToQueue("POST", id, body.dump()).status == 200;
    });
  }

  bool Completes(const std::string& id) {
    return Eventually([&] {
      return this->SendToQueue("GET", id).body.find("completed") !=
             std::string::npos;
    });
  }

  /// How many runs of each task have completed, over all workers.
  std::map<std::string, int> CompletionCounts() {
    std::map<std::string, int> counts;
    for (const auto& worker : this->workers) {
      for (const auto& [task, count] : worker->CompletionCounts()) {
        counts[task] += count;
      }
    }
    return counts;
  }

  void ExpectEachDoneOnce(int tasks) {
    const auto counts = this->CompletionCounts();
    EXPECT_EQ(static_cast<int>(counts.size()), tasks);
    for (const auto& [task, count] : counts) {
      EXPECT_EQ(count, 1) << task;
    }
  }

  void ExpectJobsCompleteWhileEachVoterIsKilled() {
    for (int victim = 0; victim < kVoters; ++victim) {
      const std::string id = "job" + std::to_string(victim);
      ASSERT_TRUE(this->Submit(id));
      this->KillDaemon(victim);
      EXPECT_TRUE(this->Completes(id));
      this->StartDaemon(victim, false);
    }
    this->ExpectEachDoneOnce(3 * kVoters);
  }

  static constexpr int kVoters = 3;
  static constexpr int kDaemons = 4;
  /// A voter with an empty data directory at another address. SetUp() doesn't
  /// start it.
  static constexpr int kReplacement = 4;
  std::string network;
  /// Addresses of hosts that aren't in `network`.
  std::map<int, std::string> addresses;
  std::filesystem::path folder;
  std::array<std::unique_ptr<Process>, kDaemons + 1> daemons;
  std::vector<std::unique_ptr<FakePlatformWorker>> workers;
};

// Guards against an evacuation that is acknowledged and lost when all daemons
// end, against tasks that start in the zone, and against a zone that gets no
// work after the withdrawal.
TEST_F(JobClusterTest, Evacuate_AllVotersAreKilled_ZoneGetsNoWork) {
  const auto change = [this](const char* method) {
    return Eventually([&] {
      return Send({.method = method,
                   .url = "http://" + this->ControlAddress(1) +
                          "/-/evacuations/zone-1",
                   .timeout = std::chrono::seconds(1)})
                 .status == 200;
    });
  };
  const auto zones = [this](int daemon) {
    return Send({.url = "http://" + this->ControlAddress(daemon) +
                        "/-/evacuations",
                 .timeout = std::chrono::seconds(1)})
        .body;
  };
  ASSERT_TRUE(change("POST"));
  EXPECT_EQ(zones(2), R"({"zones":["zone-1"]})");
  for (int i = 0; i < kVoters; ++i) {
    this->KillDaemon(i);
  }
  for (int i = 0; i < kVoters; ++i) {
    this->StartDaemon(i, false);
  }
  ASSERT_TRUE(this->Submit("job"));
  EXPECT_EQ(zones(0), R"({"zones":["zone-1"]})");
  std::this_thread::sleep_for(std::chrono::seconds(1));
  EXPECT_TRUE(this->CompletionCounts().empty());
  ASSERT_TRUE(change("DELETE"));
  EXPECT_TRUE(this->Completes("job"));
}

/// All daemons are at addresses whose legacy ids, hashes of 15 bits, are equal.
class EqualLegacyIdsTest : public JobClusterTest {
 protected:
  void SetUp() override {
    const auto legacy_id = [](const std::string& ip) {
      return LegacyDaemonId(*DaemonIdFromAddress(ip, 7000));
    };
    // Test programs that run at the same time have different first addresses.
    const int pid = getpid();
    this->addresses[0] = "127." + std::to_string(192 + pid % 60) + "." +
                         std::to_string((pid >> 8) & 0xff) + "." +
                         std::to_string(1 + (pid & 0x7f));
    const auto wanted = legacy_id(this->addresses[0]);
    for (int i = 0; i < 60 << 16 && this->addresses.size() < kAllDaemons; ++i) {
      const std::string ip = "127." + std::to_string(192 + i % 60) + "." +
                             std::to_string((i / 60) & 0xff) + "." +
                             std::to_string((i / 60) >> 8);
      if (legacy_id(ip) == wanted && ip != this->addresses[0]) {
        const int daemon = static_cast<int>(this->addresses.size());
        this->addresses[daemon] = ip;
      }
    }
    ASSERT_EQ(this->addresses.size(), kAllDaemons);
    JobClusterTest::SetUp();
  }

  static constexpr std::size_t kAllDaemons = kReplacement + 1;
};

// Guards against voters that take each other's links and votes because their
// addresses give one id: no configuration came into force, and no job was
// accepted.
TEST_F(EqualLegacyIdsTest, Submit_VotersAndEntry_JobsComplete) {
  this->ExpectJobsCompleteWhileEachVoterIsKilled();
}

// Guards against a replacement that never becomes a member because its address
// and that of a voter give one id.
TEST_F(EqualLegacyIdsTest, Replace_VoterAtAnotherAddress_BecomesMember) {
  ASSERT_EQ(this->Configure(5), 200);
  this->KillDaemon(0);
  this->StartDaemon(kReplacement, false, {kReplacement, 1, 2});
  ASSERT_TRUE(this->WaitForLog(kReplacement, "version 3: "));
  EXPECT_TRUE(Eventually([&] {
    return this->ConfigurationVersionAt(kReplacement) == "\"version\":5";
  }));
}

TEST_F(JobClusterTest, Submit_AllDaemonsRunning_EachTaskRunsOnce) {
  ASSERT_TRUE(this->Submit("job1"));
  EXPECT_TRUE(this->Completes("job1"));
  this->ExpectEachDoneOnce(3);
  EXPECT_EQ(this->SendToQueue("GET", "other").status, 410);
}

TEST_F(JobClusterTest, Kill_EachVoterInTurn_AcceptedJobsCompleteOnce) {
  this->ExpectJobsCompleteWhileEachVoterIsKilled();
}

// Guards against a leader that exchanges with the workers itself, which limits
// it to about 1,100 exchanges a second. A voter that doesn't lead logs its load
// only if it has sent orders.
TEST_F(JobClusterTest, Submit_OtherVotersCarryTheOrders) {
  ASSERT_TRUE(this->Submit("job1"));
  EXPECT_TRUE(this->Completes("job1"));
  EXPECT_TRUE(Eventually([this] {
    for (int i = 0; i < kVoters; ++i) {
      if (this->LogContains(i, "\"node_load\"") &&
          !this->LogContains(i, "\"term_began\"")) {
        return true;
      }
    }
    return false;
  }));
}

// Guards against tasks that wait, or that run twice, because a frozen voter has
// orders for workers in hand, and sends them once it runs again.
TEST_F(JobClusterTest, Freeze_EachVoterInTurn_AcceptedJobsCompleteOnce) {
  for (int victim = 0; victim < kVoters; ++victim) {
    SCOPED_TRACE(victim);
    const std::string id = "job" + std::to_string(victim);
    ASSERT_TRUE(this->Submit(id));
    auto& process = this->daemons[static_cast<std::size_t>(victim)];
    process->Signal(SIGSTOP);
    EXPECT_TRUE(this->Completes(id));
    process->Signal(SIGCONT);
    SleepFor(std::chrono::seconds(1));
  }
  this->ExpectEachDoneOnce(3 * kVoters);
}

TEST_F(JobClusterTest, Kill_AllVotersAtOnce_AcceptedJobIsKnown) {
  ASSERT_TRUE(this->Submit("job1"));
  for (int i = 0; i < kVoters; ++i) {
    this->KillDaemon(i);
  }
  for (int i = 0; i < kVoters; ++i) {
    this->StartDaemon(i, false);
  }
  EXPECT_TRUE(this->Completes("job1"));
}

TEST_F(JobClusterTest, DiskIsLost_VoterRecovers_ConfigurationIsKept) {
  ASSERT_EQ(this->Configure(5), 200);
  this->KillDaemon(0);
  std::filesystem::remove_all(this->folder / "data-0");
  this->StartDaemon(0, false);
  // The voter with the new disk and one other voter form a quorum only once the
  // first has recovered.
  ASSERT_TRUE(Eventually([this] {
    return Send(
               {.url = "http://" + this->ControlAddress(0) + "/-/configuration",
                .timeout = std::chrono::seconds(2)})
               .status == 200;
  }));
  SleepFor(std::chrono::milliseconds(1'500));
  this->KillDaemon(1);
  ASSERT_TRUE(Eventually([this] {
    const Reply reply =
        Send({.url = "http://" + this->ControlAddress(0) + "/-/configuration",
              .timeout = std::chrono::seconds(2)});
    return reply.status == 200 &&
           reply.body.find("\"version\":5") != std::string::npos;
  }));
}

// Guards against losing the state with a second disk: this happens if the
// replacement of the first voter doesn't become a member.
TEST_F(JobClusterTest, Replace_VoterAtAnotherAddress_SecondLossLosesNothing) {
  ASSERT_EQ(this->Configure(5), 200);
  this->KillDaemon(0);
  this->StartDaemon(kReplacement, false, {kReplacement, 1, 2});
  ASSERT_TRUE(this->WaitForLog(kReplacement, "version 3: "));
  ASSERT_TRUE(Eventually([&] {
    return this->ConfigurationVersionAt(kReplacement) == "\"version\":5";
  }));
  SleepFor(std::chrono::seconds(1));
  this->KillDaemon(1);
  std::filesystem::remove_all(this->folder / "data-1");
  ASSERT_TRUE(this->Submit("job1")) << "the replacement doesn't vote";
  this->StartDaemon(1, false, {kReplacement, 2, 0});
  EXPECT_TRUE(this->Completes("job1"));
  this->KillDaemon(2);
  EXPECT_TRUE(Eventually([&] {
    return this->ConfigurationVersionAt(1) == "\"version\":5" ||
           this->ConfigurationVersionAt(kReplacement) == "\"version\":5";
  }));
}

// Guards against a voter process that exits when a write to disk fails, and
// exits again at each start until writes succeed.
TEST_F(JobClusterTest, DiskRefusesWrites_VoterKeepsRunning_VotesAgainLater) {
  ASSERT_EQ(this->Configure(5), 200);
  for (const int voter : {0, 1, 2}) {
    SCOPED_TRACE(voter);
    const pid_t pid = this->daemons[static_cast<std::size_t>(voter)]->Pid();
    rlimit no_writes{0, RLIM_INFINITY};
    rlimit original{};
    ASSERT_EQ(prlimit(pid, RLIMIT_FSIZE, &no_writes, &original), 0);
    ASSERT_TRUE(this->Submit("job" + std::to_string(voter)));
    EXPECT_TRUE(this->Completes("job" + std::to_string(voter)));
    ASSERT_EQ(prlimit(pid, RLIMIT_FSIZE, &original, nullptr), 0);
    ASSERT_TRUE(this->WaitForLog(voter, "storage_opened"));
    EXPECT_TRUE(this->daemons[static_cast<std::size_t>(voter)]->Running());
  }
  this->ExpectEachDoneOnce(3 * kVoters);
}

// Guards against a voter that ends because its data folder became unusable
// while it ran: it would end at each further start as well.
TEST_F(JobClusterTest, DataFolder_ForeignWhenReopened_RunsAndVotesOnceItIsOwn) {
  Process& voter = *this->daemons[0];
  const rlimit no_writes{0, RLIM_INFINITY};
  rlimit original{};
  ASSERT_EQ(prlimit(voter.Pid(), RLIMIT_FSIZE, &no_writes, &original), 0);
  ASSERT_TRUE(this->Submit("job"));
  // The limit holds for the log file too, so that no line tells that the
  // storage thread has ended.
  ASSERT_TRUE(Eventually([&] { return !HasThread(voter.Pid(), "storage"); }));
  // The voter must not open the folder again before both the foreign identity
  // and the original limit are in place.
  voter.Signal(SIGSTOP);
  std::filesystem::copy_file(this->IdentityFile(0), this->folder / "identity");
  std::filesystem::copy_file(this->folder / "data-1" / "identity",
                             this->folder / "data-0" / "identity",
                             std::filesystem::copy_options::overwrite_existing);
  ASSERT_EQ(prlimit(voter.Pid(), RLIMIT_FSIZE, &original, nullptr), 0);
  voter.Signal(SIGCONT);
  ASSERT_TRUE(this->WaitForLog(0, "storage_unusable"));
  EXPECT_TRUE(voter.Running());
  EXPECT_FALSE(this->LogContains(0, "process_failed"));
  std::filesystem::copy_file(this->folder / "identity", this->IdentityFile(0),
                             std::filesystem::copy_options::overwrite_existing);
  EXPECT_TRUE(this->WaitForLog(0, "storage_opened"));
}

TEST_F(JobClusterTest, Start_DataFolderCantBeMade_VotesOnceItCan) {
  ASSERT_EQ(this->Configure(5), 200);
  this->KillDaemon(0);
  const auto folder = this->folder / "data-0";
  std::filesystem::remove_all(folder);
  std::ofstream(folder) << "in the way";
  this->StartDaemon(0, false);
  ASSERT_TRUE(this->WaitForLog(0, "storage_retried"));
  ASSERT_TRUE(Eventually([&] {
    return this->ConfigurationVersionAt(0) == "\"version\":5";
  })) << "a voter without storage must forward requests";
  std::filesystem::remove(folder);
  ASSERT_TRUE(this->WaitForLog(0, "storage_opened"));
  SleepFor(std::chrono::milliseconds(1'500));
  this->KillDaemon(1);
  EXPECT_TRUE(Eventually(
      [&] { return this->ConfigurationVersionAt(0) == "\"version\":5"; }));
}

// Guards against a voter process that ends at each start because of a damaged
// file, and against one that votes without the state that it lost.
TEST_F(JobClusterTest, Start_LogIsDamaged_VoterRecoversFromTheOthers) {
  ASSERT_EQ(this->Configure(5), 200);
  this->KillDaemon(0);
  this->FlipByte(this->folder / "data-0" / "log-00000000000000000001", 10);
  this->StartDaemon(0, false);
  ASSERT_TRUE(this->WaitForLog(0, "storage_set_aside"));
  ASSERT_TRUE(this->WaitForLog(0, "recovery_started"));
  ASSERT_TRUE(Eventually(
      [this] { return this->ConfigurationVersionAt(0) == "\"version\":5"; }));
  SleepFor(std::chrono::milliseconds(1'500));
  this->KillDaemon(1);
  EXPECT_TRUE(Eventually([this] {
    return this->ConfigurationVersionAt(0) == "\"version\":5";
  })) << "the recovered voter and one other are a quorum";
}

// Guards against a voter process that ends at each start because of another
// voter's folder, and against one that puts that voter's files out of use.
TEST_F(JobClusterTest, Start_FolderOfAnotherVoter_RunsAndLeavesItAlone) {
  ASSERT_EQ(this->Configure(5), 200);
  this->KillDaemon(0);
  const auto folder = this->folder / "data-0";
  std::filesystem::rename(folder, this->folder / "own");
  std::filesystem::copy(this->folder / "data-1", folder,
                        std::filesystem::copy_options::recursive);
  this->StartDaemon(0, false);
  ASSERT_TRUE(this->WaitForLog(0, "storage_unusable"));
  ASSERT_TRUE(Eventually([this] {
    return this->ConfigurationVersionAt(0) == "\"version\":5";
  })) << "a voter without storage must forward requests";
  EXPECT_TRUE(this->daemons[0]->Running());
  for (const auto& item : std::filesystem::directory_iterator(folder)) {
    EXPECT_NE(item.path().extension(), ".damaged") << item.path();
  }
  std::filesystem::remove_all(folder);
  std::filesystem::rename(this->folder / "own", folder);
  ASSERT_TRUE(this->WaitForLog(0, "storage_opened"));
  SleepFor(std::chrono::milliseconds(1'500));
  this->KillDaemon(1);
  EXPECT_TRUE(Eventually(
      [this] { return this->ConfigurationVersionAt(0) == "\"version\":5"; }));
}

// Guards against a daemon that doesn't serve while a disk hangs at its start.
TEST_F(JobClusterTest, DiskHangsAtStart_VoterForwardsRequests_VotesLater) {
  ASSERT_EQ(this->Configure(5), 200);
  this->KillDaemon(0);
  this->HangDataFolder(0);
  this->StartDaemon(0, false);
  ASSERT_TRUE(Eventually([this] {
    return this->ConfigurationVersionAt(0) == "\"version\":5";
  })) << "a voter without storage must forward requests";
  this->ReleaseDataFolder(0);
  ASSERT_TRUE(this->WaitForLog(0, "storage_opened"));
  SleepFor(std::chrono::milliseconds(1'500));
  this->KillDaemon(1);
  EXPECT_TRUE(Eventually(
      [this] { return this->ConfigurationVersionAt(0) == "\"version\":5"; }));
}

// Guards against a daemon that stops serving while a disk that failed hangs in
// the attempt to open the data folder again.
TEST_F(JobClusterTest, DiskHangsWhenReopened_VoterForwardsRequests) {
  ASSERT_EQ(this->Configure(5), 200);
  this->HangDataFolder(0);
  const pid_t pid = this->daemons[0]->Pid();
  rlimit no_writes{0, RLIM_INFINITY};
  rlimit original{};
  ASSERT_EQ(prlimit(pid, RLIMIT_FSIZE, &no_writes, &original), 0);
  ASSERT_TRUE(this->Submit("job1"));
  // The folder is opened again after 500 ms. The daemon can't write its log
  // meanwhile.
  SleepFor(std::chrono::milliseconds(1'500));
  ASSERT_EQ(prlimit(pid, RLIMIT_FSIZE, &original, nullptr), 0);
  ASSERT_TRUE(Eventually([this] {
    return this->ConfigurationVersionAt(0) == "\"version\":5";
  })) << "a voter without storage must forward requests";
  this->ReleaseDataFolder(0);
  EXPECT_TRUE(this->WaitForLog(0, "storage_opened"));
}

// Guards against a voter that forms a smaller group when its seeds name only
// some of the voters.
TEST_F(JobClusterTest, Restart_OtherSeeds_VotersStayTheSame) {
  ASSERT_EQ(this->Configure(5), 200);
  this->KillDaemon(0);
  this->StartDaemon(0, false, {0});
  this->KillDaemon(1);
  this->KillDaemon(2);
  SleepFor(std::chrono::seconds(2));
  EXPECT_NE(this->ConfigurationVersionAt(0), "\"version\":5")
      << "one of three voters isn't a quorum";
  this->StartDaemon(1, false, {0});
  EXPECT_TRUE(Eventually(
      [&] { return this->ConfigurationVersionAt(0) == "\"version\":5"; }));
}

TEST_F(JobClusterTest, Configure_SameVersionOtherContent_IsRefused) {
  EXPECT_EQ(this->Configure(7), 200);
  EXPECT_EQ(this->Configure(7), 200) << "a resent change must be acknowledged";
  EXPECT_EQ(this->Configure(7, "elsewhere"), 409);
  EXPECT_EQ(this->Configure(6), 200)
      << "an outdated change must be acknowledged without effect";
}

// Guards against a configuration that is valid and too long for the log or the
// links: the leader lost its term to it, and no voter ever acknowledged it.
TEST_F(JobClusterTest, Configure_TenThousandRoutes_IsAcknowledgedAndReadBack) {
  ASSERT_EQ(this->Configure(5, "host", 10'000), 200);
  for (int voter = 0; voter < kVoters; ++voter) {
    EXPECT_TRUE(Eventually([&] {
      return this->ConfigurationVersionAt(voter) == "\"version\":5";
    }));
  }
}

// Guards against a log entry that is longer than what may wait on a link: the
// leader's links were closed by the messages that followed it.
TEST_F(JobClusterTest, Configure_NearlyLargestBody_OneLeaderAcknowledgesIt) {
  ASSERT_EQ(this->Configure(5, "host", 28'500), 200);
  for (int voter = 0; voter < kVoters; ++voter) {
    EXPECT_TRUE(Eventually([&] {
      return this->ConfigurationVersionAt(voter) == "\"version\":5";
    }));
    EXPECT_FALSE(this->LogContains(voter, "term_ended"));
  }
}

TEST_F(JobClusterTest, Stop_EveryDaemonInTurn_EndsWithinTheGracePeriod) {
  for (int i = 0; i < kDaemons; ++i) {
    auto& process = this->daemons[static_cast<std::size_t>(i)];
    process->Signal(SIGTERM);
    EXPECT_TRUE(Eventually([&] { return !process->Running(); },
                           std::chrono::seconds(6)));
    EXPECT_EQ(process->Wait(), 0);
    this->StartDaemon(i, false);
  }
}

}  // namespace
}  // namespace mimosastage::testing
