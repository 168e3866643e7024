#include "mimosastage/fleet/maintenance_planner.h"

#include <gtest/gtest.h>

#include "mimosastage/fleet/fleet_error.h"
#include "tests/fleet/support/fake_fleet.h"

namespace mimosastage {
namespace {

using std::chrono::seconds;

constexpr int kSeeds = 2'000;
constexpr int kMaxSteps = 20'000;

class MaintenancePlannerTest : public ::testing::Test {
 protected:
  FakeFleet::Options options;

  static int StepsUntilDone(FakeFleet& fake) {
    int steps = 0;
    while (!fake.planner->WaveDone() && fake.violation.empty() &&
           steps < kMaxSteps) {
      fake.Step();
      ++steps;
    }
    return steps;
  }

  static bool Holds(const FakeFleet& fake, const std::string& text) {
    return std::any_of(fake.last.held.begin(), fake.last.held.end(),
                       [&](const auto& held) {
                         return held.reason.find(text) != std::string::npos;
                       });
  }

  static FakeFleet::Worker& WorkerAt(FakeFleet& fake, int i) {
    return fake.workers.at(InstanceName("i" + std::to_string(100 + i)));
  }
};

// Guards against drains beyond the budget, repeated drains or reboots of one
// instance, a reboot while a job runs, and a wave that never ends, while
// workers and racks crash, messages are lost and the leader changes during a
// wave.
TEST_F(MaintenancePlannerTest, Wave_SeededFailures_KeepsInvariantsAndEnds) {
  this->options.config.drain_timeout = seconds(30);
  this->options.config.return_timeout = seconds(90);
  for (int seed = 1; seed <= kSeeds; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    this->options.budget = 1 + seed % 3;
    this->options.crash_chance = seed % 2 == 0 ? 0.0004 : 0;
    this->options.rack_crash_chance = seed % 5 == 0 ? 0.002 : 0;
    this->options.leader_change_chance = seed % 3 == 0 ? 0.02 : 0;
    this->options.loss_chance = seed % 4 == 0 ? 0.1 : 0;
    FakeFleet fake(this->options, static_cast<std::uint64_t>(seed));
    const int steps = StepsUntilDone(fake);
    ASSERT_EQ(fake.violation, "");
    ASSERT_LT(steps, kMaxSteps);
    for (const auto& [name, worker] : fake.workers) {
      ASSERT_LE(worker.drains, 1 + worker.crashes) << name.str();
      ASSERT_LE(worker.reboots, 1 + worker.crashes) << name.str();
      ASSERT_GE(worker.reboots + worker.crashes, 1) << name.str();
    }
  }
}

// Guards against a planner that leaves budget unused: with a budget of 3, a
// wave must take less than half as long as with a budget of 1.
TEST_F(MaintenancePlannerTest, Wave_WithoutFailures_IsNearTheBudgetsBound) {
  this->options.instances_per_pool = 12;
  this->options.budget = 1;
  FakeFleet one_at_a_time(this->options, 7);
  const int naive = StepsUntilDone(one_at_a_time);
  this->options.budget = 3;
  FakeFleet parallel(this->options, 7);
  const int steps = StepsUntilDone(parallel);
  EXPECT_LT(steps * 2, naive);
}

// Guards against a wave that continues while a rack is failing, and against a
// stopped wave that doesn't resume without an operator.
TEST_F(MaintenancePlannerTest, TwoFailuresInARack_StopTheWaveUntilTheyReturn) {
  FakeFleet fake(this->options, 3);
  fake.Step();
  fake.Crash(WorkerAt(fake, 0), 150);
  fake.Crash(WorkerAt(fake, 1), 150);
  for (int i = 0; i < 12; ++i) fake.Step();
  EXPECT_TRUE(Holds(fake, "i100 and i101 failed together in rack r0"));
  int drains = 0;
  for (int i = 0; i < 55; ++i) {
    fake.Step();
    for (const auto& transition : fake.last.transitions) {
      drains += transition.state == InstanceState::kDraining ? 1 : 0;
    }
  }
  EXPECT_EQ(drains, 0);
  EXPECT_LT(StepsUntilDone(fake), kMaxSteps);
}

// Guards against a held drain whose reason doesn't name the budget and the
// instance that uses it.
TEST_F(MaintenancePlannerTest, HeldDrain_BudgetUsed_NamesTheUser) {
  this->options.pools = 1;
  this->options.budget = 1;
  FakeFleet fake(this->options, 3);
  fake.Step();
  fake.Step();
  EXPECT_TRUE(Holds(fake,
                    "drain of i101 waits: budget of pool p0 is 1, "
                    "used by i100"))
      << (fake.last.held.empty() ? "" : fake.last.held[0].reason);
}

// Guards against an instance that doesn't return from its reboot and isn't
// reported as failed, or isn't counted against the budget.
TEST_F(MaintenancePlannerTest, Reboot_NotBackInTime_IsReportedAsFailed) {
  this->options.pools = 1;
  this->options.budget = 1;
  this->options.reboot_seconds = 5'000;
  FakeFleet fake(this->options, 3);
  std::string reported;
  for (int i = 0; i < 600; ++i) {
    fake.Step();
    for (const auto& failure : fake.last.failures) reported = failure.reason;
  }
  EXPECT_EQ(reported, "instance i100 hasn't returned from its reboot in time");
  EXPECT_EQ(fake.committed.at(InstanceName("i100")).state,
            InstanceState::kFailed);
  EXPECT_EQ(WorkerAt(fake, 1).drains, 0);
}

class CommandFenceTest : public ::testing::Test {
 protected:
  static PlatformCommand Command(ViewNumber view, std::uint64_t epoch,
                                 CommandBody body) {
    return {view, InstanceName("i"), epoch, std::move(body)};
  }
  CommandFence fence{InstanceName("i"), 4, 9};
  TimePoint now{seconds(100)};
};

// Guards against a worker that executes commands from an earlier leader or for
// an earlier epoch or boot, duplicates, or starts whose lease has ended.
TEST_F(CommandFenceTest, Commands_OldRepeatedOrLate_AreNotExecuted) {
  const StartTask start{JobName("j"), 1, seconds(15), {}};
  const auto long_ago = this->now - seconds(15);
  struct Row {
    PlatformCommand command;
    TimePoint sent;
    Result<FenceDecision> expected;
  };
  const std::error_code old_view = FleetError::kOldView;
  const std::vector<Row> rows{
      {Command(2, 4, start), this->now, FenceDecision::kExecute},
      {Command(2, 4, start), this->now, FenceDecision::kRepeat},
      {Command(3, 4, start), this->now, FenceDecision::kRepeat},
      {Command(2, 4, DrainInstance{}), this->now, old_view},
      {Command(3, 3, DrainInstance{}), this->now,
       std::error_code(FleetError::kOldEpoch)},
      {Command(3, 4, RebootInstance{8}), this->now,
       std::error_code(FleetError::kWrongBootId)},
      {Command(3, 4, StartTask{JobName("k"), 1, seconds(15), {}}), long_ago,
       std::error_code(FleetError::kLeaseEnded)},
      {Command(3, 5, MoveInstance{PoolName("p")}), this->now,
       FenceDecision::kExecute},
      {Command(3, 4, StopTask{JobName("j"), 1}), this->now,
       std::error_code(FleetError::kOldEpoch)},
  };
  for (std::size_t i = 0; i < rows.size(); ++i) {
    const auto& row = rows[i];
    EXPECT_TRUE(this->fence.Admit(row.command, row.sent, this->now) ==
                row.expected)
        << "row " << i;
  }
}

}  // namespace
}  // namespace mimosastage
