#include "mimosastage/routing/request_tracker.h"

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <random>
#include <set>

#include "mimosastage/routing/retry_budget.h"

namespace mimosastage {
namespace {

using std::chrono::seconds;

/// Simulates the node, the log and the backend servers for one request, with a
/// random order of events, and checks each action against the attempts that
/// really ran.
class RequestTrackerTest : public ::testing::Test {
 protected:
  struct Attempt {
    bool cancelled = false;
    /// Whether the backend server ran the request; decided when the attempt
    /// ends.
    bool ended = false;
    bool ran = false;
    AttemptEnd end = AttemptEnd::kNotStarted;
  };

  void Begin(std::uint64_t seed) {
    this->random.seed(seed);
    this->now = TimePoint(seconds(1'000));
    this->repeatable = this->Chance(2);
    this->deadline = this->now + seconds(10);
    this->lease_end = this->now + seconds(2);
    this->attempts.clear();
    this->slots.clear();
    this->team_units = 0;
    this->answers = 0;
    this->disconnected = false;
    this->intent = Intent::kNone;
    this->lease_checked = false;
    this->MakeTracker();
  }

  void MakeTracker() {
    RequestArrival arrival;
    arrival.pool = PoolName("pool");
    arrival.repeatable = this->repeatable;
    arrival.deadline = this->deadline;
    if (!this->repeatable) {
      arrival.intent = IntentKey{TeamName("team"), "key"};
    }
    RequestTracker::Hooks hooks;
    hooks.serving_until = [this] {
      this->lease_checked = true;
      return this->lease_end;
    };
    hooks.reserve_another = [this](std::span<const BackendServerName> tried) {
      return this->ReserveAnother(tried);
    };
    hooks.take_retry_token = [this] { return !this->Chance(6); };
    hooks.on_first_attempt = [] {};
    this->tracker =
        std::make_unique<RequestTracker>(std::move(arrival), std::move(hooks));
    this->CarryOut(this->tracker->Start(this->now));
  }

  std::optional<BackendServerName> ReserveAnother(
      std::span<const BackendServerName> tried) {
    if (this->Chance(6)) {
      return std::nullopt;
    }
    BackendServerName name("server-" + std::to_string(tried.size()));
    EXPECT_EQ(std::count(tried.begin(), tried.end(), name), 0);
    this->slots.insert(name);
    return name;
  }

  bool Chance(std::uint64_t one_in) { return this->random() % one_in == 0; }

  void Send(RequestEvent event) {
    this->lease_checked = false;
    this->CarryOut(this->tracker->Handle(std::move(event), this->now));
  }

  void CarryOut(const std::vector<RequestAction>& actions) {
    for (const RequestAction& action : actions) {
      std::visit([this](const auto& content) { this->Do(content); }, action);
    }
  }

  bool AnyRan() const {
    return std::any_of(this->attempts.begin(), this->attempts.end(),
                       [](const auto& entry) { return entry.second.ran; });
  }
  bool AnyInProgress() const {
    return std::any_of(this->attempts.begin(), this->attempts.end(),
                       [](const auto& entry) { return !entry.second.ended; });
  }

  void Do(const CommitIntent&) {
    EXPECT_FALSE(this->repeatable);
    EXPECT_EQ(this->intent, Intent::kNone);
    EXPECT_TRUE(this->attempts.empty());
    this->intent = Intent::kCommitting;
  }

  void Do(const StartAttempt& start) {
    EXPECT_TRUE(this->lease_checked) << "each attempt must check the lease";
    EXPECT_LT(this->now, this->lease_end);
    EXPECT_LE(start.start_before, this->lease_end);
    EXPECT_LE(start.start_before, this->deadline);
    EXPECT_FALSE(this->AnyInProgress());
    EXPECT_TRUE(this->slots.contains(start.server));
    EXPECT_EQ(this->team_units, 1);
    EXPECT_EQ(this->answers, 0);
    EXPECT_LE(start.attempt, RequestTracker::kMaxAttempts);
    if (!this->repeatable) {
      EXPECT_EQ(this->intent, Intent::kBegun);
      for (const auto& [number, attempt] : this->attempts) {
        EXPECT_TRUE(ProvesNotRun(attempt.end))
            << "sent again although an earlier attempt may have run";
      }
    }
    EXPECT_TRUE(this->attempts.emplace(start.attempt, Attempt()).second);
  }

  void Do(const CancelAttempt& cancel) {
    EXPECT_FALSE(this->attempts.at(cancel.attempt).ended);
    this->attempts.at(cancel.attempt).cancelled = true;
  }

  void Do(const AnswerCaller& answer) {
    this->answers += 1;
    EXPECT_EQ(answer.answer.body, "whole");
  }

  void Do(const AnswerFromStore& answer) {
    this->answers += 1;
    EXPECT_EQ(answer.answer.body, "stored");
    EXPECT_TRUE(this->attempts.empty());
  }

  void Do(const RefuseCaller& refusal) {
    this->answers += 1;
    if (refusal.outcome == RefusalOutcome::kNotRun) {
      EXPECT_FALSE(this->AnyRan());
      EXPECT_FALSE(this->AnyInProgress()) << "an attempt may still run";
    }
  }

  void Do(const ReleaseSlot& slot) {
    const auto found = this->slots.find(slot.server);
    ASSERT_NE(found, this->slots.end()) << "a slot was released twice";
    this->slots.erase(found);
  }

  void Do(const ReleaseTeamUnit&) {
    // A second admission releases its own unit at once.
    EXPECT_TRUE(!this->AnyInProgress() || this->team_units > 1);
    this->team_units -= 1;
    EXPECT_GE(this->team_units, 0);
  }

  void Do(const CommitIntentEnd& end) {
    EXPECT_EQ(this->intent, Intent::kBegun)
        << "an intent must begin before it ends, and end once";
    this->intent = Intent::kEnded;
    EXPECT_FALSE(this->AnyInProgress());
    if (end.outcome == IntentOutcome::kNotRun) {
      EXPECT_FALSE(this->AnyRan());
    } else if (end.outcome == IntentOutcome::kCompleted) {
      EXPECT_EQ(end.answer.body, "whole");
    }
  }

  void Admit() {
    const BackendServerName name("server-0");
    this->slots.insert(name);
    this->team_units += 1;
    this->Send(RequestAdmitted{name});
  }

  void AnswerIntent() {
    if (this->intent != Intent::kCommitting) {
      return;
    }
    const auto result = this->Chance(3)
                            ? static_cast<IntentBeginResult>(this->random() % 6)
                            : IntentBeginResult::kStarted;
    const bool committed = !this->Chance(10);
    const bool started = committed && result == IntentBeginResult::kStarted;
    this->intent = started ? Intent::kBegun : Intent::kEnded;
    if (!committed) {
      this->Send(IntentNotCommitted{});
      return;
    }
    IntentBeginApplied answered;
    answered.outcome.result = result;
    answered.outcome.answer.body = "stored";
    this->Send(std::move(answered));
  }

  void EndAttempt() {
    for (auto& [number, attempt] : this->attempts) {
      if (attempt.ended) {
        continue;
      }
      constexpr std::uint64_t kEnds =
          static_cast<std::uint64_t>(AttemptEnd::kCancelled) + 1;
      attempt.ended = true;
      attempt.end = static_cast<AttemptEnd>(this->random() % kEnds);
      const bool whole = attempt.end == AttemptEnd::kWholeAnswer;
      attempt.ran = whole || (!ProvesNotRun(attempt.end) && this->Chance(2));
      AttemptEnded ended{number, attempt.end, {200, {}, whole ? "whole" : ""}};
      const AttemptEnded repeated = ended;
      this->Send(std::move(ended));
      this->Send(repeated);
      return;
    }
  }

  void RandomEvent() {
    switch (this->random() % 16) {
      case 0:
        return this->Send(DeadlinePassed{});
      case 1:
        this->lease_end = this->now;
        return this->Send(LeaseLapsed{});
      case 2:
        this->disconnected = true;
        return this->Send(RequestCancelled{});
      case 3:
        return this->Send(RequestCancelled{RequestCancelled::Kind::kRequested});
      case 4:
        return this->Send(RequestNotAdmitted{});
      case 5:
        this->now += std::chrono::milliseconds(this->random() % 1'500);
        return;
      case 6:
        this->lease_end = this->now + seconds(2);
        return;
      case 7:
      case 8:
        return this->Admit();
      case 9:
      case 10:
      case 11:
        return this->AnswerIntent();
      default:
        return this->EndAttempt();
    }
  }

  /// Delivers the outstanding events.
  void Drain() {
    this->Send(DeadlinePassed{});
    this->AnswerIntent();
    this->EndAttempt();
  }

  enum class Intent : std::uint8_t { kNone, kCommitting, kBegun, kEnded };

  std::mt19937_64 random;
  TimePoint now{};
  TimePoint deadline{};
  TimePoint lease_end{};
  bool repeatable = false;
  bool disconnected = false;
  bool lease_checked = false;
  Intent intent = Intent::kNone;
  std::map<std::uint32_t, Attempt> attempts;
  std::multiset<BackendServerName> slots;
  int team_units = 0;
  int answers = 0;
  std::unique_ptr<RequestTracker> tracker;
};

// Guards against a missing or second answer, a unit lost or released twice, a
// second run of a request that must not be repeated, and a "not run" outcome
// for a request that ran.
TEST_F(RequestTrackerTest, Handle_RandomEventOrders_KeepsAllInvariants) {
  constexpr std::uint64_t kSchedules = 40'000;
  std::map<std::size_t, int> by_attempts;
  for (std::uint64_t seed = 0; seed < kSchedules; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    this->Begin(seed);
    const std::uint64_t steps = this->random() % 24;
    for (std::uint64_t i = 0; i < steps; ++i) {
      this->RandomEvent();
    }
    this->Drain();
    EXPECT_TRUE(this->tracker->Done());
    EXPECT_TRUE(this->slots.empty()) << "a slot was not released";
    EXPECT_EQ(this->team_units, 0);
    EXPECT_LE(this->answers, 1);
    EXPECT_TRUE(this->answers == 1 || this->disconnected);
    EXPECT_NE(this->intent, Intent::kBegun) << "the intent was not ended";
    by_attempts[this->attempts.size()] += 1;
    ASSERT_FALSE(this->HasFailure());
  }
  for (std::size_t count = 0; count <= RequestTracker::kMaxAttempts; ++count) {
    EXPECT_GT(by_attempts[count], 0) << count << " attempts never happened";
  }
}

// Guards against retries that multiply the load while a whole pool fails.
TEST_F(RequestTrackerTest, Retry_FullOutage_AmplificationStaysUnderBound) {
  constexpr int kRequests = 20'000;
  const PoolName pool("pool");
  RetryBudget budget(8);
  int sent = 0;
  for (int i = 0; i < kRequests; ++i) {
    RequestArrival arrival{pool, true, TimePoint(seconds(60)), {}, 0};
    RequestTracker::Hooks hooks;
    hooks.serving_until = [] { return TimePoint(seconds(60)); };
    hooks.reserve_another = [](auto) { return BackendServerName("other"); };
    hooks.take_retry_token = [&] { return budget.TryTake(pool); };
    hooks.on_first_attempt = [&] { budget.OnFirstAttempt(pool); };
    RequestTracker request(arrival, hooks);
    request.Handle(RequestAdmitted{BackendServerName("one")}, TimePoint());
    std::uint32_t attempt = 0;
    while (!request.Done()) {
      ++sent;
      request.Handle(AttemptEnded{++attempt, AttemptEnd::kRefusedConnect, {}},
                     TimePoint());
    }
  }
  EXPECT_LE(sent, kRequests * 1.08 + RetryBudget::kMaxTokens);
  EXPECT_GT(sent, kRequests * 1.05) << "the budget must allow some retries";
}

// Guards against a request that must not be repeated but has no valid key for
// its intent, and against one whose deadline has passed.
TEST_F(RequestTrackerTest, Start_InvalidArrival_RefusesNotRun) {
  const TimePoint later(seconds(9));
  const std::string long_key(kMaxIdempotencyKeyLength + 1, 'k');
  const std::vector<std::pair<RequestArrival, RefusalReason>> cases = {
      {{PoolName("p"), false, later, {}, 0}, RefusalReason::kIntentKeyMissing},
      {{PoolName("p"), false, later, IntentKey{TeamName("t"), long_key}, 0},
       RefusalReason::kIntentKeyTooLong},
      {{PoolName("p"), true, TimePoint(), {}, 0},
       RefusalReason::kDeadlinePassed}};
  for (const auto& [arrival, reason] : cases) {
    RequestTracker request(arrival, {});
    const auto actions = request.Start(TimePoint(seconds(1)));
    ASSERT_EQ(actions.size(), 1U);
    const auto& refusal = std::get<RefuseCaller>(actions[0]);
    EXPECT_EQ(refusal.reason, reason);
    EXPECT_EQ(refusal.outcome, RefusalOutcome::kNotRun);
    EXPECT_TRUE(request.Done());
  }
}

}  // namespace
}  // namespace mimosastage
