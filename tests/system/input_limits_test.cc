#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "tests/system/support/cluster.h"
#include "tests/system/support/flood.h"
#include "tests/system/support/http.h"
#include "tests/system/support/process.h"

namespace mimosastage::testing {
namespace {

using nlohmann::json;

/// Memory and descriptors of the machine that the settings of these tests name.
/// They are the bounds that each process must keep to.
constexpr std::size_t kMemoryMb = 96;
constexpr std::size_t kDescriptors = 512;

/// Connections that hold several MiB each if nothing limits them.
constexpr std::size_t kLargeSenders = 48;
/// Connections that hold about one MiB each if nothing limits them.
constexpr std::size_t kSmallSenders = 120;
/// More connections than descriptors.
constexpr std::size_t kIdleConnections = 700;

/// Connections that send a body that takes many times its length if nothing
/// limits that.
constexpr std::size_t kManyValuesSenders = 8;

/// Largest bodies that must be served.
constexpr std::size_t kLargestClientBody = 1U << 20U;
constexpr std::size_t kLargestAnnouncement = 4U << 20U;

struct Crowd {
  const char* name;
  std::size_t connections;
  FloodPayload payload;
};

std::string Repeat(const std::string& text, std::size_t times) {
  std::string all;
  for (std::size_t i = 0; i < times; ++i) {
    all += text;
  }
  return all;
}

/// All ways in which clients exceed the limits. `target` is a path that the
/// listener answers.
std::vector<Crowd> MakeCrowds(const std::string& target) {
  const std::string request = "POST " + target + " HTTP/1.1\r\nHost: host\r\n";
  const std::string chunked = request + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string chunk = "10000\r\n" + std::string(0x10000, 'x') + "\r\n";
  const std::string kilobyte(1024, 'x');
  const std::string field = "X-Field: " + std::string(15'000, 'x') + "\r\n";
  return {
      {"chunked body of 7.5 MiB that never ends",
       kLargeSenders,
       {chunked, chunk, 120}},
      {"announced body of 8,000,000 bytes, cut short",
       kLargeSenders,
       {request + "Content-Length: 8000000\r\n\r\n", kilobyte, 7'680}},
      {"announced body of 8 GiB",
       kLargeSenders,
       {request + "Content-Length: 8589934592\r\n\r\n", kilobyte, 7'680}},
      {"chunked body of 960 KiB that never ends",
       kSmallSenders,
       {chunked, chunk, 15}},
      {"announced body of 1 MiB, 1 KiB short of its end",
       kSmallSenders,
       {request + "Content-Length: 1048576\r\n\r\n", kilobyte, 1'023}},
      {"150,000 chunks of one byte",
       kLargeSenders,
       {chunked, Repeat("1\r\nx\r\n", 1'000), 150}},
      {"1.3 MB of headers that never end", kSmallSenders, {request, field, 90}},
      {"answers that aren't read",
       kSmallSenders,
       {Repeat("GET " + target + " HTTP/1.1\r\nHost: host\r\n\r\n", 200),
        {},
        0}},
      {"headers that stop", kIdleConnections, {request, {}, 0}},
      {"nothing", kIdleConnections, {{}, {}, 0}},
  };
}

/// Complete bodies of `bytes` that are much longer once they are decoded.
/// `method` and `target` name a request that takes a JSON body.
std::vector<Crowd> MakeManyValuesCrowds(const std::string& method,
                                        const std::string& target,
                                        std::size_t bytes) {
  const auto make = [&](const char* name, const std::string& values) {
    const std::string begin = "{\"steps\":[";
    const std::string end = "0]}";
    std::string body =
        begin +
        Repeat(values, (bytes - begin.size() - end.size()) / values.size());
    body += end;
    return Crowd{
        name,
        kManyValuesSenders,
        {method + " " + target + " HTTP/1.1\r\nHost: host\r\nContent-Length: " +
             std::to_string(body.size()) + "\r\n\r\n" + body,
         {},
         0}};
  };
  return {make("empty objects", "{},"),
          make("empty arrays", "[],"),
          make("arrays of one number", "[0],"),
          make("objects of one number", "{\"\":0},"),
          make("numbers", "0,"),
          make("empty strings", "\"\",")};
}

/// Bounds on a process under test.
class InputLimitsTest : public ::testing::Test {
 protected:
  /// Lets each crowd send to the endpoint, and expects that the process keeps
  /// to its memory and descriptors and then still answers, while the crowd's
  /// connections stay open.
  static void ExpectBounded(Process& process, const std::string& endpoint,
                            const std::string& target,
                            const std::function<bool()>& answers) {
    ExpectBounded(process, endpoint, MakeCrowds(target), answers);
  }

  static void ExpectBounded(Process& process, const std::string& endpoint,
                            const std::vector<Crowd>& crowds,
                            const std::function<bool()>& answers) {
    for (const Crowd& crowd : crowds) {
      SCOPED_TRACE(crowd.name);
      std::size_t descriptors = 0;
      ResetPeakResidentBytes(process.Pid());
      Flood flood(endpoint, crowd.connections, crowd.payload);
      flood.Send([&] {
        descriptors = std::max(descriptors, OpenDescriptors(process.Pid()));
      });
      ASSERT_TRUE(process.Running()) << "status " << *process.Poll();
      ExpectWithinBounds(process, descriptors, crowd.name);
      const auto sent = std::chrono::steady_clock::now();
      EXPECT_TRUE(Eventually(answers))
          << "an ordinary request must be answered";
      std::cout << "answered after "
                << std::chrono::duration_cast<std::chrono::milliseconds>(
                       std::chrono::steady_clock::now() - sent)
                       .count()
                << " ms\n";
      ASSERT_TRUE(process.Running()) << "status " << *process.Poll();
    }
  }

  static void ExpectWithinBounds(Process& process, std::size_t descriptors,
                                 const char* load) {
    const std::size_t peak = PeakResidentBytes(process.Pid());
    std::cout << load << ": " << (peak >> 20U) << " MiB resident, "
              << descriptors << " descriptors\n";
    EXPECT_LE(peak, kMemoryMb << 20U);
    EXPECT_LE(descriptors, kDescriptors);
  }

  static json MakeLimits() {
    return {{"memory_mb", kMemoryMb}, {"max_file_descriptors", kDescriptors}};
  }
};

/// A voter and an entry of `mimosastage_platform`, each with the limits of a
/// small machine.
class PlatformInputLimitsTest : public InputLimitsTest {
 protected:
  void SetUp() override { this->Start(MakeLimits()); }

  void Start(const json& limits) {
    const int pid = getpid();
    this->network = "127." + std::to_string(64 + (pid >> 8) % 128) + "." +
                    std::to_string(pid & 0xff) + ".";
    this->folder = std::filesystem::temp_directory_path() /
                   ("mimosastage-limits-" + std::to_string(pid));
    std::filesystem::remove_all(this->folder);
    std::filesystem::create_directories(this->folder);
    this->control = this->network + "1:8345";
    this->frontend = this->network + "2:8340";
    this->readiness = this->network + "2:8343";
    this->metrics = this->network + "2:7001";
    this->voter = this->StartDaemon(
        "1", limits,
        {{"listen_addresses", {{"control_plane", this->control}}},
         {"data_directory", this->folder / "data"}});
    this->entry = this->StartDaemon(
        "2", limits,
        {{"listen_addresses",
          {{"frontend", this->frontend}, {"readiness", this->readiness}}}});
    ASSERT_TRUE(Eventually([this] { return this->Configure(); }));
    ASSERT_TRUE(Eventually([this] { return this->Submit("first"); }));
  }

  void TearDown() override {
    this->entry.reset();
    this->voter.reset();
    std::filesystem::remove_all(this->folder);
  }

  std::unique_ptr<Process> StartDaemon(const std::string& host,
                                       const json& limits, const json& role) {
    json settings{{"node_name", "daemon-" + host},
                  {"ip", this->network + host},
                  {"internal_port_range", {7000, 7015}},
                  {"seed_nodes", {this->control}},
                  {"bootstrap", true},
                  {"fault_tolerance", {{"machines", 0}}},
                  {"limits", limits}};
    settings.update(role);
    const std::string file = this->folder / ("settings-" + host + ".json");
    std::ofstream(file) << settings.dump();
    return std::make_unique<Process>(
        std::vector<std::string>{
            std::string(MIMOSASTAGE_BIN_DIR) + "/mimosastage_platform",
            "--settings=" + file},
        this->folder / ("log-" + host));
  }

  bool Configure() const {
    // Some hundred kilobytes, so that unread answers to GET are long.
    json routes = json::array();
    for (int i = 0; i < 800; ++i) {
      const std::string name = i == 0 ? "queue" : "queue-" + std::to_string(i);
      routes.push_back({{"name", name},
                        {"host", "host"},
                        {"path_prefix", "/" + name + "/"},
                        {"service", "pool"},
                        {"timeout_ms", 3'000},
                        {"max_attempts", 2},
                        {"stretch", 2.0},
                        {"public", true}});
    }
    const json body{{"version", 1},
                    {"routes", routes},
                    {"services", {{{"name", "pool"}}}},
                    {"tenants", json::array()}};
    return Send({.method = "PUT",
                 .url = "http://" + this->control + "/-/configuration",
                 .body = body.dump(),
                 .timeout = std::chrono::seconds(3)})
               .status == 200;
  }

  /// Submits a job; a text of `padding` bytes makes its body longer.
  int SubmitStatus(const std::string& id, std::size_t bytes = 0,
                   const std::vector<std::string>& headers = {}) const {
    std::vector<std::string> all{"Host: host"};
    all.insert(all.end(), headers.begin(), headers.end());
    const json body{
        {"specification", "text"},
        {"steps", {{{"count", 64}, {"cpu", 500}, {"estimated_ms", 300}}}}};
    return Send({.method = "POST",
                 .url = "http://" + this->frontend + "/queue/" + id,
                 .headers = all,
                 .body = Pad(body, bytes),
                 .timeout = std::chrono::seconds(10)})
        .status;
  }

  bool Submit(const std::string& id) const {
    return this->SubmitStatus(id) == 200;
  }

  int AnnounceStatus(const std::string& id, const std::string& address,
                     std::size_t bytes = 0,
                     const std::vector<std::string>& headers = {}) const {
    const json body{
        {"service", "pool"},
        {"address", address},
        {"zone", "zone-1"},
        {"state", "ready"},
        {"born", 1},
        {"machine", "machine-" + id},
        {"labels", {"kind", "rack-1"}},
        {"capacity", {{"cpu", 16'000}, {"memory_request_mb", 65'536}}},
        {"sequence", 1}};
    return Send({.method = "PUT",
                 .url = "http://" + this->control + "/-/instances/" + id,
                 .headers = headers,
                 .body = Pad(body, bytes),
                 .timeout = std::chrono::seconds(10)})
        .status;
  }

  /// The text of `body`, with spaces to a length of `bytes`.
  static std::string Pad(const json& body, std::size_t bytes) {
    std::string text = body.dump();
    text.resize(std::max(text.size(), bytes), ' ');
    return text;
  }

  static bool GetsAnswer(const std::string& endpoint,
                         const std::string& target) {
    return Send({.url = "http://" + endpoint + target,
                 .timeout = std::chrono::seconds(5)})
               .status == 200;
  }

  std::string network;
  std::filesystem::path folder;
  std::string control;
  std::string frontend;
  std::string readiness;
  std::string metrics;
  std::unique_ptr<Process> voter;
  std::unique_ptr<Process> entry;
};

// Guards against an entry whose memory grows with what clients have sent of
// requests that they never complete.
TEST_F(PlatformInputLimitsTest, Clients_ExceedLimits_EntryStaysBounded) {
  int job = 0;
  ExpectBounded(*this->entry, this->frontend, "/queue/flood",
                [&] { return this->Submit("job" + std::to_string(++job)); });
}

// Guards against the readiness listener as a way around the limits.
TEST_F(PlatformInputLimitsTest, Readiness_ExceedLimits_EntryStaysBounded) {
  ExpectBounded(*this->entry, this->readiness, "/-/readiness",
                [&] { return GetsAnswer(this->readiness, "/-/readiness"); });
}

// Guards against the metrics listener as a way around the limits.
TEST_F(PlatformInputLimitsTest, Metrics_ExceedLimits_EntryStaysBounded) {
  ExpectBounded(*this->entry, this->metrics, "/metrics",
                [&] { return GetsAnswer(this->metrics, "/metrics"); });
}

// Guards against a voter whose memory grows with what workers and operators
// have sent, or haven't read.
TEST_F(PlatformInputLimitsTest, ControlPlane_ExceedLimits_VoterStaysBounded) {
  ExpectBounded(*this->voter, this->control, "/-/configuration",
                [&] { return GetsAnswer(this->control, "/-/configuration"); });
}

// Guards against an entry that one client ends: a body within its limit takes
// many times its length once it is decoded.
TEST_F(PlatformInputLimitsTest, Clients_SendManyValues_EntryStaysBounded) {
  int job = 0;
  ExpectBounded(*this->entry, this->frontend,
                MakeManyValuesCrowds("POST", "/queue/many", kLargestClientBody),
                [&] { return this->Submit("job" + std::to_string(++job)); });
}

// Guards against the same on a voter, which takes larger bodies.
TEST_F(PlatformInputLimitsTest, Workers_SendManyValues_VoterStaysBounded) {
  ExpectBounded(
      *this->voter, this->control,
      MakeManyValuesCrowds("PUT", "/-/instances/many", kLargestAnnouncement),
      [&] { return GetsAnswer(this->control, "/-/configuration"); });
}

// Guards against an entry whose memory grows with accepted requests that no
// leader answers.
TEST_F(PlatformInputLimitsTest, VoterIsFrozen_LargestJobs_EntryStaysBounded) {
  const json body{{"specification", std::string(kLargestClientBody / 2, 'x')},
                  {"steps", {{{"count", 1}, {"cpu", 500}}}}};
  const std::string text = Pad(body, kLargestClientBody);
  const Crowd crowd{"largest jobs that wait for the leader",
                    kLargeSenders,
                    {"POST /queue/large HTTP/1.1\r\nHost: host\r\n"
                     "X-Deadline-Ms: 20000\r\nContent-Length: " +
                         std::to_string(text.size()) + "\r\n\r\n" + text,
                     {},
                     0}};
  this->voter->Signal(SIGSTOP);
  int job = 0;
  ExpectBounded(*this->entry, this->frontend, {crowd}, [&] {
    this->voter->Signal(SIGCONT);
    return this->Submit("job" + std::to_string(++job));
  });
}

// Guards against limits that refuse an ordinary request.
TEST_F(PlatformInputLimitsTest, Idle_LargestRequests_AreServed) {
  const std::vector<std::vector<std::string>> framings{
      {}, {"Transfer-Encoding: chunked"}};
  for (std::size_t i = 0; i < framings.size(); ++i) {
    EXPECT_EQ(this->SubmitStatus("large-" + std::to_string(i),
                                 kLargestClientBody, framings[i]),
              200);
    EXPECT_EQ(this->AnnounceStatus("worker-" + std::to_string(i),
                                   this->network + "3:9000",
                                   kLargestAnnouncement, framings[i]),
              200);
  }
}

/// As PlatformInputLimitsTest, with a larger limit on a client's body.
class LargerBodyLimitTest : public PlatformInputLimitsTest {
 protected:
  void SetUp() override {
    json limits = MakeLimits();
    limits["max_body_bytes"] = 2 * kLargestClientBody;
    this->Start(limits);
  }
};

// Guards against a default limit that hides a larger configured one.
TEST_F(LargerBodyLimitTest, Idle_LargestConfiguredBody_IsServed) {
  EXPECT_EQ(this->SubmitStatus("large", 2 * kLargestClientBody), 200);
}

// Guards against a voter whose memory grows with answers of workers that never
// end.
TEST_F(PlatformInputLimitsTest, Workers_AnswersNeverEnd_VoterStaysBounded) {
  constexpr std::size_t kWorkers = 8;
  constexpr std::size_t kAnswerBytes = 15U << 20U;
  std::vector<std::unique_ptr<EndlessAnswerServer>> workers;
  for (std::size_t i = 0; i < kWorkers; ++i) {
    workers.push_back(std::make_unique<EndlessAnswerServer>(this->network + "3",
                                                            kAnswerBytes));
  }
  for (int round = 0; round < 10; ++round) {
    for (std::size_t i = 0; i < kWorkers; ++i) {
      this->AnnounceStatus(
          "worker-" + std::to_string(i),
          this->network + "3:" + std::to_string(workers[i]->Port()));
    }
    this->SubmitStatus("job-" + std::to_string(round));
    SleepFor(std::chrono::milliseconds(300));
  }
  ASSERT_TRUE(this->voter->Running());
  ExpectWithinBounds(*this->voter, OpenDescriptors(this->voter->Pid()),
                     "answers that never end");
  EXPECT_TRUE(Eventually(
      [this] { return GetsAnswer(this->control, "/-/configuration"); }));
}

/// One `mimosastaged` with the limits of a small machine.
class DaemonInputLimitsTest : public InputLimitsTest {
 protected:
  void SetUp() override {
    const std::string path = this->cluster.SettingsPath(0);
    this->settings = json::parse(std::ifstream(path));
    this->settings["limits"] = MakeLimits();
    std::ofstream(path) << this->settings.dump();
    this->cluster.StartAllDaemons();
    this->cluster.StartBackendServer("p");
    ASSERT_TRUE(this->cluster.WaitReady());
    this->key = this->cluster.ApplyDefaultTables();
    ASSERT_FALSE(this->key.empty());
    ASSERT_TRUE(Eventually([this] { return this->Served(); }));
  }

  bool Served(std::size_t bytes = 1,
              const std::vector<std::string>& headers = {}) {
    std::vector<std::string> all{"Authorization: Bearer " + this->key};
    all.insert(all.end(), headers.begin(), headers.end());
    return this->cluster
               .SendCallerRequest(0, "/r/r/x", all, std::string(bytes, 'x'))
               .status == 200;
  }

  Cluster cluster{1, 1};
  json settings;
  std::string key;
};

// Guards against a daemon whose memory grows with what callers have sent of
// requests that they never complete.
TEST_F(DaemonInputLimitsTest, Callers_ExceedLimits_DaemonStaysBounded) {
  ExpectBounded(this->cluster.Daemon(0), this->settings["callers_listen"],
                "/r/r/x", [this] { return this->Served(); });
}

// Guards against the operators' listener as a way around the limits.
TEST_F(DaemonInputLimitsTest, Operators_ExceedLimits_DaemonStaysBounded) {
  ExpectBounded(this->cluster.Daemon(0), this->settings["operators_listen"],
                "/metrics", [this] { return this->cluster.Ready(0); });
}

// Guards against limits that refuse an ordinary request.
TEST_F(DaemonInputLimitsTest, Idle_LargestRequest_IsServed) {
  EXPECT_TRUE(this->Served(kLargestClientBody));
  EXPECT_TRUE(this->Served(kLargestClientBody, {"Transfer-Encoding: chunked"}));
}

}  // namespace
}  // namespace mimosastage::testing
