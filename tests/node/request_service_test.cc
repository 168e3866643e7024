#include "mimosastage/node/request_service.h"

#include <gtest/gtest.h>

#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace mimosastage {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// An entry with an open route that isn't repeatable, and one backend server of
/// which it holds slots.
class RequestServiceTest : public ::testing::Test {
 protected:
  RequestServiceTest() {
    this->route.name = RouteName("once");
    this->route.pool = PoolName("p");
    this->route.open = true;
    this->route.repeatable = false;
    this->route.deadline = seconds(10);
    Announcement server;
    server.name = BackendServerName("w0");
    server.address = "10.0.0.1";
    server.port = 7000;
    server.pool = this->route.pool;
    server.availability_zone = AvailabilityZone("z");
    server.instance_epoch = 1;
    server.slots = 8;
    server.connections = 64;
    EXPECT_TRUE(this->directory.OnAnnouncement(server, this->now).has_value());
    this->holder.Update(1, {{{ResourceKind::kBackendServerSlots, "w0"},
                             this->holder.session(),
                             4,
                             0}});
  }

  RequestService::Hooks MakeHooks() {
    RequestService::Hooks hooks;
    hooks.find_route = [this](const RouteName&) { return this->route; };
    hooks.serving_until = [this](TimePoint) { return this->lease_end; };
    hooks.session = [this] { return this->holder.session(); };
    hooks.wall_time = [] { return WallTime(0); };
    hooks.begin_intent = [this](const IntentBegin&,
                                std::function<void(RequestEvent &&)> done) {
      this->intents.push_back(std::move(done));
      return true;
    };
    hooks.end_intent = [this](const IntentEnd& command) {
      this->ended.push_back(command.outcome);
    };
    hooks.start_exchange = [this](ExchangeRequest&&) {
      ++this->exchanges;
      return true;
    };
    hooks.answer = [this](std::uint64_t request, HttpAnswer&& answer) {
      this->answers[request] = answer.status;
    };
    hooks.count_refusal = [this](std::string_view reason) {
      this->refusals.emplace_back(reason);
    };
    hooks.record_wait = [](const RouteName&, Duration) {};
    return hooks;
  }

  void Send(std::uint64_t id) {
    CallerRequest request;
    request.id = id;
    request.route = this->route.name;
    request.method = "POST";
    request.target = "/x";
    request.idempotency_key = "key-" + std::to_string(id);
    this->service.OnRequest(std::move(request), this->now);
    this->service.AdmitQueued(this->now);
  }

  TimePoint now{seconds(1'000)};
  TimePoint lease_end{this->now + seconds(2)};
  Route route;
  std::vector<std::function<void(RequestEvent&&)>> intents;
  std::vector<IntentOutcome> ended;
  int exchanges = 0;
  std::map<std::uint64_t, int> answers;
  std::vector<std::string> refusals;
  TimerService timers;
  BackendServerDirectory directory{BackendServerDirectory::Settings{}};
  AllowanceHolder holder{
      {}, Session{DaemonId{1}, SessionId{1}}, [](const Resource&) {}};
  RequestService service{
      {}, this->MakeHooks(), this->directory, this->holder, this->timers};
};

// Guards against a request that waits for its intent until its deadline,
// although the lease has lapsed and no quorum may be left to commit the intent,
// and against an attempt if the intent is committed after the refusal.
TEST_F(RequestServiceTest, LeaseLapses_IntentNotCommitted_IsRefusedAtOnce) {
  this->Send(1);
  ASSERT_EQ(this->intents.size(), 1U);
  this->now += milliseconds(1'900);
  this->service.AdmitQueued(this->now);
  EXPECT_TRUE(this->answers.empty()) << "the lease is still valid";
  this->now = this->lease_end;
  this->service.AdmitQueued(this->now);
  ASSERT_EQ(this->answers.count(1), 1U);
  EXPECT_EQ(this->answers[1], 503);
  EXPECT_EQ(this->refusals, std::vector<std::string>{"lease_lapsed"});
  this->lease_end = this->now + seconds(2);
  this->intents.front()(
      IntentBeginApplied{IntentBeginOutcome{IntentBeginResult::kStarted, {}}});
  EXPECT_EQ(this->exchanges, 0);
  EXPECT_EQ(this->ended, std::vector<IntentOutcome>{IntentOutcome::kNotRun});
}

// Guards against a lapse that refuses a request whose attempt has started, and
// which may therefore have run.
TEST_F(RequestServiceTest, LeaseLapses_AttemptStarted_GoesOn) {
  this->Send(1);
  ASSERT_EQ(this->intents.size(), 1U);
  this->intents.front()(
      IntentBeginApplied{IntentBeginOutcome{IntentBeginResult::kStarted, {}}});
  ASSERT_EQ(this->exchanges, 1);
  this->now = this->lease_end;
  this->service.AdmitQueued(this->now);
  EXPECT_TRUE(this->answers.empty());
}

}  // namespace
}  // namespace mimosastage
