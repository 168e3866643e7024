#include "mimosastage/backend_servers/exchange_client.h"

#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <condition_variable>
#include <cstdlib>
#include <map>
#include <mutex>
#include <random>
#include <thread>

#include "tests/stand_ins/fake_backend_server_process.h"

namespace mimosastage {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Maximum time that a test waits for a result.
constexpr seconds kResultTimeout{60};

class ExchangeClientTest : public ::testing::Test {
 protected:
  ExchangeClientTest() {
    // No exchange succeeds if the client uses a proxy from the environment.
    setenv("http_proxy", "http://127.0.0.1:1", 1);
    this->settings.request_id_prefix = "test";
  }

  void StartClient() {
    this->client = std::make_unique<ExchangeClient>(
        this->settings, ExchangeClient::Hooks{[this](ExchangeResult&& result) {
          std::unique_lock lock(this->mutex);
          if (result.id == this->paused_id) {
            this->paused = true;
            this->arrived.notify_all();
            this->arrived.wait_for(lock, kResultTimeout,
                                   [this] { return !this->paused; });
          }
          this->result_counts[result.id] += 1;
          this->results[result.id] = std::move(result);
          this->arrived.notify_all();
        }});
    this->client->Start();
  }

  ExchangeRequest MakeRequest(bool repeatable) {
    ExchangeRequest request;
    request.id = ++this->last_id;
    request.address = "127.0.0.1";
    request.port = this->server.Port();
    request.method = "POST";
    request.target = "/work?x=%2F..";
    request.body = "body";
    request.repeatable = repeatable;
    return request;
  }

  ExchangeResult Wait(std::uint64_t id) {
    std::unique_lock lock(this->mutex);
    const bool received = this->arrived.wait_for(
        lock, kResultTimeout, [&] { return this->results.contains(id); });
    EXPECT_TRUE(received) << "no result for exchange " << id;
    return this->results[id];
  }

  ExchangeResult Run(ExchangeRequest request) {
    const std::uint64_t id = request.id;
    EXPECT_TRUE(this->client->Submit(std::move(request)));
    return this->Wait(id);
  }

  /// Waits until the client's thread has stopped in the hook of `paused_id`.
  void WaitForPause() {
    std::unique_lock lock(this->mutex);
    EXPECT_TRUE(this->arrived.wait_for(lock, kResultTimeout,
                                       [this] { return this->paused; }));
  }

  void Resume() {
    const std::lock_guard lock(this->mutex);
    this->paused = false;
    this->arrived.notify_all();
  }

  /// Number of times that the server ran the exchange.
  std::uint32_t CountServerRuns(std::uint64_t id) {
    return this->server.Runs()["requests"].value("test-" + std::to_string(id),
                                                 0U);
  }

  FakeBackendServerProcess server;
  ExchangeClient::Settings settings;
  std::unique_ptr<ExchangeClient> client;
  std::mutex mutex;
  std::condition_variable arrived;
  std::map<std::uint64_t, ExchangeResult> results;
  std::map<std::uint64_t, int> result_counts;
  std::uint64_t last_id = 0;
  /// The client's thread stops in the hook of this exchange until Resume; 0
  /// means no exchange.
  std::uint64_t paused_id = 0;
  bool paused = false;
};

// Guards against a crash when a new connection gets the descriptor number of
// one that was closed in the same iteration of the client's event loop.
// Watching the new socket then terminated the process.
TEST_F(ExchangeClientTest,
       Submit_ConnectionsCloseWhileOthersOpen_AllAreServed) {
  constexpr std::size_t kExchanges = 3'000;
  constexpr std::size_t kMaxInFlight = 16;
  this->settings.max_idle_connections = 1;
  this->server.SetFaults({{"close_idle", true}});
  this->StartClient();
  std::vector<std::uint64_t> ids;
  for (std::size_t i = 0; i < kExchanges; ++i) {
    ExchangeRequest request = this->MakeRequest(i % 2 == 0);
    ids.push_back(request.id);
    ASSERT_TRUE(this->client->Submit(std::move(request)));
    if (i >= kMaxInFlight) {
      this->Wait(ids[i - kMaxInFlight]);
    }
  }
  for (const std::uint64_t id : ids) {
    const ExchangeResult result = this->Wait(id);
    if (result.reused_connection &&
        result.end == AttemptEnd::kFailedAfterFirstByte) {
      // The server closed the connection while the request was on its way, and
      // must not have read the request.
      EXPECT_EQ(this->CountServerRuns(id), 0) << result.detail;
    } else {
      EXPECT_EQ(result.end, AttemptEnd::kWholeAnswer) << result.detail;
    }
  }
}

// Guards against a request that is sent again by the client, or reported as
// proved not run, after it was sent on a connection that the server was about
// to close. The client can't know whether the server read it.
TEST_F(ExchangeClientTest, Submit_ServerClosesReusedConnection_ReportsFailure) {
  this->server.SetFaults({{"close_idle", true}, {"close_delay_ms", 500}});
  this->StartClient();
  ASSERT_EQ(this->Run(this->MakeRequest(true)).end, AttemptEnd::kWholeAnswer);
  ExchangeRequest request = this->MakeRequest(true);
  const std::uint64_t id = request.id;
  const ExchangeResult result = this->Run(std::move(request));
  EXPECT_TRUE(result.reused_connection);
  EXPECT_EQ(result.end, AttemptEnd::kFailedAfterFirstByte) << result.detail;
  EXPECT_EQ(this->CountServerRuns(id), 0);
}

// Guards against a socket that is watched twice when an exchange takes over the
// connection of one that ended in the same iteration of the client's event
// loop. Watching it for the second exchange then terminated the process.
TEST_F(ExchangeClientTest,
       Submit_ConnectionTakenOverInSameIteration_AreServed) {
  this->StartClient();
  this->server.SetFaults({{"late_ms", 300}});
  ExchangeRequest first = this->MakeRequest(true);
  const std::uint64_t ending = first.id;
  ASSERT_TRUE(this->client->Submit(std::move(first)));
  while (this->CountServerRuns(ending) == 0) {
  }
  // This exchange ends while the first is in progress, and its connection is
  // closed, so that the second exchange can only reuse that of the first.
  this->server.SetFaults({{"late_ms", 0}, {"crossed", true}});
  ExchangeRequest pausing = this->MakeRequest(false);
  this->paused_id = pausing.id;
  ASSERT_TRUE(this->client->Submit(std::move(pausing)));
  this->WaitForPause();
  this->server.SetFaults({{"crossed", false}});
  while (this->server.Runs()["in_progress"] != 0) {
  }
  ExchangeRequest second = this->MakeRequest(true);
  const std::uint64_t reusing = second.id;
  ASSERT_TRUE(this->client->Submit(std::move(second)));
  this->Resume();
  EXPECT_EQ(this->Wait(ending).end, AttemptEnd::kWholeAnswer);
  const ExchangeResult result = this->Wait(reusing);
  EXPECT_EQ(result.end, AttemptEnd::kWholeAnswer);
  EXPECT_TRUE(result.reused_connection);
}

/// A listener on 127.0.0.1 that leaves further connections without an answer,
/// as a server does that a partition cuts off.
class UnansweringListener {
 public:
  UnansweringListener() {
    this->listener = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    auto* const any = reinterpret_cast<sockaddr*>(&address);
    EXPECT_EQ(bind(this->listener, any, size), 0);
    EXPECT_EQ(listen(this->listener, 0), 0);
    EXPECT_EQ(getsockname(this->listener, any, &size), 0);
    this->port = ntohs(address.sin_port);
    // The kernel drops connections beyond the backlog.
    for (int& waiting : this->waiting) {
      waiting = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      static_cast<void>(connect(waiting, any, size) == 0);
    }
  }
  ~UnansweringListener() {
    for (const int waiting : this->waiting) {
      close(waiting);
    }
    close(this->listener);
  }
  UnansweringListener(const UnansweringListener&) = delete;
  UnansweringListener& operator=(const UnansweringListener&) = delete;

  std::uint16_t Port() const { return this->port; }

 private:
  int listener = -1;
  std::uint16_t port = 0;
  std::array<int, 4> waiting{};
};

// Guards against answers that aren't read, because the connection has the
// descriptor number of one that couldn't be opened. The poller took the new
// socket for the former one, which it had registered.
TEST_F(ExchangeClientTest, Submit_ConnectionsTimedOutBefore_IsAnswered) {
  const UnansweringListener cut_off;
  this->settings.connect_timeout = milliseconds(100);
  this->server.SetFaults({{"late_ms", 1'000}});
  this->StartClient();
  for (int i = 0; i < 3; ++i) {
    ExchangeRequest request = this->MakeRequest(true);
    request.port = cut_off.Port();
    EXPECT_EQ(this->Run(std::move(request)).end,
              AttemptEnd::kFailedBeforeFirstByte);
    ExchangeRequest next = this->MakeRequest(true);
    next.fresh_connection = true;
    next.timeout = seconds(5);
    const ExchangeResult result = this->Run(std::move(next));
    EXPECT_EQ(result.end, AttemptEnd::kWholeAnswer) << result.detail;
  }
}

/// Sets the limit on file descriptors of a voter while it exists.
class VoterDescriptorLimit {
 public:
  VoterDescriptorLimit() {
    getrlimit(RLIMIT_NOFILE, &this->previous);
    const rlimit voter{4'096, this->previous.rlim_max};
    EXPECT_EQ(setrlimit(RLIMIT_NOFILE, &voter), 0);
  }
  ~VoterDescriptorLimit() { setrlimit(RLIMIT_NOFILE, &this->previous); }
  VoterDescriptorLimit(const VoterDescriptorLimit&) = delete;
  VoterDescriptorLimit& operator=(const VoterDescriptorLimit&) = delete;

 private:
  rlimit previous{};
};

// Guards against a bound on idle connections below what a large fleet needs.
// Each exchange then closed a connection that another one soon needed again.
TEST_F(ExchangeClientTest, Submit_ManyServers_ConnectionsAreReused) {
  constexpr std::uint64_t kServers = 700;
  constexpr int kConnectionsPerServer = 2;
  const FakeBackendServerProcess any_address({"--address=0.0.0.0"});
  const VoterDescriptorLimit limit;
  this->settings = {};
  this->settings.request_id_prefix = "test";
  this->StartClient();
  // All exchanges of a round are in progress together, because the server holds
  // back its answers until it has received all requests.
  for (int round = 0; round < 3; ++round) {
    any_address.SetFaults({{"stall", true}});
    const std::uint64_t first = this->last_id + 1;
    for (std::uint64_t i = 0; i < kServers * kConnectionsPerServer; ++i) {
      const std::uint64_t server = i % kServers;
      ExchangeRequest request = this->MakeRequest(true);
      request.address = "127.1." + std::to_string(server / 250) + "." +
                        std::to_string(server % 250 + 1);
      request.port = any_address.Port();
      request.timeout = kResultTimeout;
      ASSERT_TRUE(this->client->Submit(std::move(request)));
    }
    while (any_address.Runs()["in_progress"] !=
           kServers * kConnectionsPerServer) {
      std::this_thread::sleep_for(milliseconds(10));
    }
    any_address.SetFaults({{"stall", false}});
    std::size_t reused = 0;
    for (std::uint64_t id = first; id <= this->last_id; ++id) {
      const ExchangeResult result = this->Wait(id);
      EXPECT_EQ(result.end, AttemptEnd::kWholeAnswer) << result.detail;
      reused += result.reused_connection ? 1 : 0;
    }
    EXPECT_EQ(reused, round == 0 ? 0 : kServers * kConnectionsPerServer);
  }
}

// Guards against a server fault that is reported as a different kind, which
// would allow a retry of a request that may have run.
TEST_F(ExchangeClientTest, Submit_FaultOnFreshConnection_ReportsItsKind) {
  struct Case {
    const char* faults;
    AttemptEnd end;
    std::uint32_t runs;
    seconds timeout = kResultTimeout;
  };
  const std::vector<Case> cases = {
      {R"({})", AttemptEnd::kWholeAnswer, 1},
      {R"({"fail": true})", AttemptEnd::kWholeAnswer, 1},
      {R"({"refuse": true})", AttemptEnd::kServerSaidNotRun, 0},
      {R"({"crossed": true})", AttemptEnd::kWrongRequestId, 1},
      {R"({"truncated": true})", AttemptEnd::kTruncated, 1},
      {R"({"no_length": true})", AttemptEnd::kTruncated, 1},
      {R"({"late_ms": 30000})", AttemptEnd::kStalledFresh, 1, seconds(3)},
      {R"({"stall": true})", AttemptEnd::kStalledFresh, 1, seconds(3)},
  };
  this->StartClient();
  for (const Case& test_case : cases) {
    SCOPED_TRACE(test_case.faults);
    json faults = {{"fail", false},      {"refuse", false},
                   {"crossed", false},   {"truncated", false},
                   {"no_length", false}, {"late_ms", 0}};
    faults.update(json::parse(test_case.faults));
    this->server.SetFaults(faults);
    ExchangeRequest request = this->MakeRequest(false);
    request.timeout = test_case.timeout;
    const std::uint64_t id = request.id;
    const ExchangeResult result = this->Run(std::move(request));
    EXPECT_STREQ(AttemptEndName(result.end), AttemptEndName(test_case.end))
        << result.detail;
    EXPECT_EQ(this->CountServerRuns(id), test_case.runs);
  }
}

// Guards against the reuse of a connection on which the rest of an earlier
// answer may still arrive.
TEST_F(ExchangeClientTest, Submit_AfterUncleanExchange_OpensNewConnection) {
  for (const json& fault : {json{{"crossed", true}}, json{{"stall", true}}}) {
    SCOPED_TRACE(fault.dump());
    this->StartClient();
    this->server.SetFaults(fault);
    ExchangeRequest request = this->MakeRequest(true);
    request.timeout = seconds(2);
    EXPECT_NE(this->Run(std::move(request)).end, AttemptEnd::kWholeAnswer);
    this->server.SetFaults({{"crossed", false}, {"stall", false}});
    const ExchangeResult next = this->Run(this->MakeRequest(true));
    EXPECT_EQ(next.end, AttemptEnd::kWholeAnswer);
    EXPECT_FALSE(next.reused_connection);
  }
}

// Guards against a request that is sent after its start_before time, when the
// lease may have lapsed, and against a request that is reported as possibly run
// although it was never sent.
TEST_F(ExchangeClientTest, Submit_NothingCanBeSent_ProvesNotRun) {
  this->StartClient();
  ExchangeRequest too_late = this->MakeRequest(true);
  too_late.start_before = LeaseClock::now();
  EXPECT_EQ(this->Run(too_late).end, AttemptEnd::kNotStarted);
  ExchangeRequest closed_port = this->MakeRequest(true);
  closed_port.port = 1;
  EXPECT_EQ(this->Run(closed_port).end, AttemptEnd::kRefusedConnect);
  EXPECT_EQ(this->server.Runs()["runs"], 0);
}

// Guards against libcurl's automatic resend of a request whose reused
// connection closed without an answer.
TEST_F(ExchangeClientTest, Submit_ReusedConnectionDropped_SentOnce) {
  this->StartClient();
  for (const bool repeatable : {true, false}) {
    this->server.SetFaults({{"drop_on_reused", false}});
    ASSERT_EQ(this->Run(this->MakeRequest(true)).end, AttemptEnd::kWholeAnswer);
    this->server.SetFaults({{"drop_on_reused", true}});
    ExchangeRequest request = this->MakeRequest(repeatable);
    const std::uint64_t id = request.id;
    const ExchangeResult result = this->Run(std::move(request));
    EXPECT_EQ(result.end, repeatable ? AttemptEnd::kFailedAfterFirstByte
                                     : AttemptEnd::kWholeAnswer);
    EXPECT_EQ(result.reused_connection, repeatable);
    EXPECT_EQ(this->CountServerRuns(id), 1);
  }
}

// Guards against repeated stalls on existing connections that have stopped
// responding, although new connections to the server work.
TEST_F(ExchangeClientTest, Submit_OpenConnectionsSilent_NextUsesFreshOne) {
  this->StartClient();
  std::vector<std::uint64_t> ids;
  for (int i = 0; i < 4; ++i) {
    ExchangeRequest request = this->MakeRequest(true);
    ids.push_back(request.id);
    ASSERT_TRUE(this->client->Submit(std::move(request)));
  }
  for (const std::uint64_t id : ids) {
    ASSERT_EQ(this->Wait(id).end, AttemptEnd::kWholeAnswer);
  }
  this->server.SetFaults({{"silent", true}});
  ExchangeRequest stalled = this->MakeRequest(true);
  stalled.reused_stall_limit = milliseconds(200);
  EXPECT_EQ(this->Run(stalled).end, AttemptEnd::kStalledReused);
  // libcurl compares connection ages in whole seconds, so the check is repeated
  // after more than one second.
  for (const milliseconds pause : {milliseconds(0), milliseconds(1'200)}) {
    std::this_thread::sleep_for(pause);
    for (int i = 0; i < 3; ++i) {
      EXPECT_EQ(this->Run(this->MakeRequest(true)).end,
                AttemptEnd::kWholeAnswer);
    }
  }
}

// Guards against an answer whose size isn't limited, and against a cancelled
// exchange that never reports a result.
TEST_F(ExchangeClientTest, Submit_LargeAnswerOrCancel_EndsExchange) {
  this->settings.max_answer_bytes = 10;
  this->StartClient();
  EXPECT_EQ(this->Run(this->MakeRequest(false)).end, AttemptEnd::kTooLarge);
  this->server.SetFaults({{"stall", true}});
  ExchangeRequest request = this->MakeRequest(false);
  const std::uint64_t id = request.id;
  ASSERT_TRUE(this->client->Submit(std::move(request)));
  while (this->CountServerRuns(id) == 0) {
  }
  ASSERT_TRUE(this->client->Cancel(id));
  EXPECT_EQ(this->Wait(id).end, AttemptEnd::kCancelled);
}

// Guards against a crash of the client's thread: libcurl keeps a pointer to the
// second exchange, which was destroyed because its id was in use. A result of
// the second one would end the open one for its owner.
TEST_F(ExchangeClientTest, Submit_IdOfAnOpenExchange_OnlyTheFirstHasAResult) {
  this->server.SetFaults({{"stall", true}});
  this->StartClient();
  ExchangeRequest first = this->MakeRequest(false);
  ExchangeRequest second = first;
  const std::uint64_t id = first.id;
  ASSERT_TRUE(this->client->Submit(std::move(first)));
  const auto end = std::chrono::steady_clock::now() + kResultTimeout;
  while (this->CountServerRuns(id) == 0 &&
         std::chrono::steady_clock::now() < end) {
  }
  ASSERT_TRUE(this->client->Submit(std::move(second)));
  ASSERT_TRUE(this->client->Cancel(id));
  this->client->Stop();
  EXPECT_EQ(this->results[id].end, AttemptEnd::kCancelled);
  EXPECT_EQ(this->result_counts[id], 1);
  EXPECT_EQ(this->CountServerRuns(id), 1U);
}

// Guards against lost, duplicated or swapped answers under random faults.
TEST_F(ExchangeClientTest, Submit_RandomFaults_OneResultAndAtMostOneRunEach) {
  constexpr int kRounds = 20;
  constexpr int kRequestsPerRound = 40;
  const json no_faults = {{"fail", false},       {"refuse", false},
                          {"crossed", false},    {"truncated", false},
                          {"close_idle", false}, {"drop_on_reused", false},
                          {"late_ms", 0}};
  const std::vector<json> faults = {
      {{"silent", true}},  {{"fail", true}},          {{"refuse", true}},
      {{"crossed", true}}, {{"truncated", true}},     {{"close_idle", true}},
      {{"late_ms", 150}},  {{"drop_on_reused", true}}};
  this->StartClient();
  std::mt19937_64 random(7);
  for (int round = 0; round < kRounds; ++round) {
    json change = no_faults;
    change.update(faults[random() % faults.size()]);
    this->server.SetFaults(change);
    for (int i = 0; i < kRequestsPerRound; ++i) {
      ExchangeRequest request = this->MakeRequest(random() % 2 == 0);
      request.timeout = milliseconds(100 + random() % 200);
      request.reused_stall_limit = milliseconds(50);
      const std::uint64_t id = request.id;
      ASSERT_TRUE(this->client->Submit(std::move(request)));
      if (random() % 8 == 0) {
        ASSERT_TRUE(this->client->Cancel(id));
      }
    }
    this->Wait(this->last_id);
  }
  for (std::uint64_t id = 1; id <= this->last_id; ++id) {
    this->Wait(id);
  }
  this->client->Stop();
  const json runs = this->server.Runs()["requests"];
  std::map<AttemptEnd, int> ends;
  for (const auto& [id, result] : this->results) {
    const std::string request_id = "test-" + std::to_string(id);
    const std::uint32_t count = runs.value(request_id, 0U);
    ends[result.end] += 1;
    EXPECT_EQ(this->result_counts[id], 1);
    EXPECT_LE(count, ProvesNotRun(result.end) ? 0U : 1U)
        << request_id << " " << AttemptEndName(result.end);
    if (result.end == AttemptEnd::kWholeAnswer) {
      EXPECT_EQ(json::parse(result.answer.body)["request_id"], request_id);
    }
  }
  EXPECT_EQ(this->results.size(), kRounds * kRequestsPerRound);
  EXPECT_GE(ends.size(), 5U)
      << "the random faults produced too few kinds of results";
}

}  // namespace
}  // namespace mimosastage
