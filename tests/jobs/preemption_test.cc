#include "mimosastage/jobs/preemption.h"

#include <gtest/gtest.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "mimosastage/jobs/placement.h"
#include "tests/jobs/support/fake_fleet_leader.h"

namespace mimosastage::jobs {
namespace {

using std::chrono::milliseconds;

Amount Cores(std::int64_t cores) {
  Amount amount;
  amount.millicores = 1'000 * cores;
  return amount;
}

// Guards against a stop that discards more than half of the work it saves.
TEST(ChoosePreemptionTest, LostWorkIsHalfOfTheSaved_NothingIsStopped) {
  const PreemptionDemand demand{Cores(4), 1, 1'000};
  EXPECT_FALSE(
      ChoosePreemption(demand, Amount(), {{Cores(4), 500}}, 2).has_value());
  EXPECT_TRUE(
      ChoosePreemption(demand, Amount(), {{Cores(4), 499}}, 2).has_value());
}

// Guards against runs that are stopped although the tasks still don't fit.
TEST(ChoosePreemptionTest, RoomIsTooSmall_NothingIsStopped) {
  const PreemptionDemand demand{Cores(4), 2, 1'000'000};
  EXPECT_FALSE(
      ChoosePreemption(demand, Cores(1), {{Cores(3), 1}, {Cores(3), 1}}, 2)
          .has_value());
  EXPECT_FALSE(
      ChoosePreemption(demand, Amount(), {{Cores(4), 1}, {Cores(4), 1}}, 1)
          .has_value());
}

// Guards against a choice that differs from the best of all subsets.
TEST(ChoosePreemptionTest, RandomCandidates_MatchesAllSubsets) {
  std::mt19937_64 random(1);
  const auto pick = [&](std::int64_t count) {
    return static_cast<std::int64_t>(random() %
                                     static_cast<std::uint64_t>(count));
  };
  int chosen = 0;
  for (int round = 0; round < 5'000; ++round) {
    PreemptionDemand demand;
    demand.need = Cores(pick(6));
    demand.need.memory_mb = pick(300);
    demand.tasks = 1 + static_cast<std::size_t>(pick(3));
    demand.saved_work = static_cast<double>(pick(1'000));
    Amount free = Cores(pick(4));
    free.memory_mb = pick(400);
    std::vector<PreemptionCandidate> candidates(
        static_cast<std::size_t>(pick(7)));
    for (PreemptionCandidate& candidate : candidates) {
      candidate.charge = Cores(pick(8));
      candidate.charge.memory_mb = pick(300);
      candidate.lost_work = static_cast<double>(pick(300));
    }
    const auto max_stops = static_cast<std::size_t>(pick(3));
    std::optional<double> least;
    for (unsigned subset = 1; subset < (1U << candidates.size()); ++subset) {
      Amount room = free;
      double lost = 0;
      std::size_t stops = 0;
      for (std::size_t i = 0; i < candidates.size(); ++i) {
        if ((subset >> i & 1U) != 0) {
          Add(room, candidates[i].charge);
          lost += candidates[i].lost_work;
          ++stops;
        }
      }
      const auto tasks = static_cast<std::int64_t>(demand.tasks);
      const bool fits = tasks * demand.need.millicores <= room.millicores &&
                        tasks * demand.need.memory_mb <= room.memory_mb;
      if (stops <= max_stops && fits && 2 * lost < demand.saved_work &&
          (!least.has_value() || lost < *least)) {
        least = lost;
      }
    }
    const auto choice = ChoosePreemption(demand, free, candidates, max_stops);
    ASSERT_EQ(choice.has_value(), least.has_value()) << round;
    if (choice.has_value()) {
      ASSERT_EQ(choice->lost_work, *least) << round;
      ASSERT_LE(choice->stops.size(), max_stops) << round;
      ++chosen;
    }
  }
  EXPECT_GT(chosen, 500);
}

// Guards against a flood of stops when all estimates are wrong.
TEST(PreemptionLimiterTest, Left_TwoStopsInASecond_NoneIsLeft) {
  PreemptionLimiter limiter;
  const TimePoint start{std::chrono::hours(1)};
  EXPECT_EQ(limiter.Left("a", start), 2U);
  limiter.OnStop("a", start);
  limiter.OnStop("a", start + milliseconds(400));
  EXPECT_EQ(limiter.Left("a", start + milliseconds(999)), 0U);
  EXPECT_EQ(limiter.Left("b", start + milliseconds(999)), 2U);
  EXPECT_EQ(limiter.Left("a", start + milliseconds(1'000)), 1U);
  EXPECT_EQ(limiter.Left("a", start + milliseconds(1'400)), 2U);
}

/// One worker of 8 cores, on which a late run of 2 cores keeps an urgent task
/// of 8 cores from starting.
class PreemptionTest : public ::testing::Test {
 protected:
  static Dispatcher::Config WithPreemption(bool preempt) {
    Dispatcher::Config config;
    config.preempt = preempt;
    return config;
  }

  static TaskId TaskOf(const std::string& job) { return TaskId{job, 0, 0, 0}; }

  static void Submit(FakeFleetLeader& fleet, const std::string& job,
                     Step step) {
    std::vector<Step> steps;
    steps.push_back(std::move(step));
    fleet.Submit(job, "render", std::move(steps));
  }

  static bool Runs(const FakeFleetLeader& fleet, const std::string& job) {
    return !fleet.WorkersOf(TaskOf(job)).empty();
  }

  static void End(FakeFleetLeader& fleet, const std::string& job) {
    for (const std::string& worker : fleet.WorkersOf(TaskOf(job))) {
      fleet.EndRun(worker, TaskOf(job), RunOutcome::kDone);
    }
  }

  /// Lets `late` become late while another job has the worker, then run.
  static void StartLate(FakeFleetLeader& fleet, Step late) {
    fleet.AddPool("render");
    fleet.AddWorker("worker", "render", 8'000);
    fleet.BeginTerm();
    fleet.Advance(milliseconds(50));
    Submit(fleet, "first", MakeStep(1, 8'000));
    fleet.Advance(milliseconds(100));
    Submit(fleet, "late", std::move(late));
    fleet.Advance(milliseconds(3'000));
    ASSERT_FALSE(Runs(fleet, "late"));
    End(fleet, "first");
    fleet.Advance(milliseconds(100));
    ASSERT_TRUE(Runs(fleet, "late"));
  }
};

// Guards against a late run, which is worth little, that makes a job late which
// could be in time. Its slack runs out 1,200 ms after its acceptance.
TEST_F(PreemptionTest, LateRunKeepsUrgentTaskOut_IsStopped) {
  FakeFleetLeader fleet(WithPreemption(true));
  ASSERT_NO_FATAL_FAILURE(StartLate(fleet, MakeStep(1, 2'000)));
  Submit(fleet, "urgent", MakeStep(1, 8'000));
  fleet.Advance(milliseconds(700));
  EXPECT_TRUE(Runs(fleet, "late"));
  fleet.Advance(milliseconds(450));
  EXPECT_FALSE(Runs(fleet, "late"));
  EXPECT_TRUE(Runs(fleet, "urgent"));
  EXPECT_EQ(fleet.reports["run_preempted"], 1);

  // The stopped task runs again, and isn't stopped a second time.
  End(fleet, "urgent");
  fleet.Advance(milliseconds(200));
  ASSERT_TRUE(Runs(fleet, "late"));
  Submit(fleet, "urgent-2", MakeStep(1, 8'000));
  fleet.Advance(milliseconds(1'500));
  EXPECT_TRUE(Runs(fleet, "late"));
  EXPECT_EQ(fleet.reports["run_preempted"], 1);
}

// Guards against stops without the flag.
TEST_F(PreemptionTest, FlagIsOff_LateRunGoesOn) {
  FakeFleetLeader fleet(WithPreemption(false));
  ASSERT_NO_FATAL_FAILURE(StartLate(fleet, MakeStep(1, 2'000)));
  Submit(fleet, "urgent", MakeStep(1, 8'000));
  fleet.Advance(milliseconds(1'500));
  EXPECT_TRUE(Runs(fleet, "late"));
  EXPECT_EQ(fleet.reports["run_preempted"], 0);
}

// Guards against a stop that discards more work than it saves.
TEST_F(PreemptionTest, UrgentTaskIsSmall_LateRunGoesOn) {
  FakeFleetLeader fleet(WithPreemption(true));
  ASSERT_NO_FATAL_FAILURE(StartLate(fleet, MakeStep(1, 8'000)));
  Submit(fleet, "urgent", MakeStep(1, 1'000));
  fleet.Advance(milliseconds(1'500));
  EXPECT_TRUE(Runs(fleet, "late"));
  EXPECT_EQ(fleet.reports["run_preempted"], 0);
}

// Guards against the stop of one member, which ends its whole gang.
TEST_F(PreemptionTest, LateRunIsGangMember_GoesOn) {
  FakeFleetLeader fleet(WithPreemption(true));
  Step gang = MakeStep(2, 1'000);
  gang.gang = true;
  ASSERT_NO_FATAL_FAILURE(StartLate(fleet, std::move(gang)));
  Submit(fleet, "urgent", MakeStep(1, 8'000));
  fleet.Advance(milliseconds(1'500));
  EXPECT_TRUE(Runs(fleet, "late"));
  EXPECT_EQ(fleet.reports["run_preempted"], 0);
}

// Guards against short jobs that stop a service.
TEST_F(PreemptionTest, RunIsLongRunning_GoesOn) {
  FakeFleetLeader fleet(WithPreemption(true));
  Step service = MakeStep(1, 2'000);
  service.long_running = true;
  service.may_miss = 1;
  ASSERT_NO_FATAL_FAILURE(StartLate(fleet, std::move(service)));
  Submit(fleet, "urgent", MakeStep(1, 8'000));
  fleet.Advance(milliseconds(1'500));
  EXPECT_TRUE(Runs(fleet, "late"));
  EXPECT_EQ(fleet.reports["run_preempted"], 0);
}

// Guards against the stop of a run whose work isn't late and as urgent.
TEST_F(PreemptionTest, RunIsInTime_GoesOn) {
  FakeFleetLeader fleet(WithPreemption(true));
  fleet.AddPool("render");
  fleet.AddWorker("worker", "render", 8'000);
  fleet.BeginTerm();
  fleet.Advance(milliseconds(50));
  Submit(fleet, "in-time", MakeStep(1, 2'000));
  fleet.Advance(milliseconds(100));
  ASSERT_TRUE(Runs(fleet, "in-time"));
  Submit(fleet, "urgent", MakeStep(1, 8'000));
  fleet.Advance(milliseconds(1'500));
  EXPECT_TRUE(Runs(fleet, "in-time"));
  EXPECT_EQ(fleet.reports["run_preempted"], 0);
}

/// A worker whose pool has the queues "queue-render" of priority 0 and
/// "queue-low" of priority 1.
class PreemptionByPriorityTest : public PreemptionTest {
 protected:
  PreemptionByPriorityTest() : fleet(WithPreemption(true)) {
    this->fleet.AddPool("render");
    this->fleet.AddWorker("worker", "render", 8'000);
    this->fleet.BeginTerm();
    Command command;
    command.configuration =
        std::make_unique<Configuration>(this->fleet.state.Config());
    ++command.configuration->version;
    auto low = std::make_unique<Queue>(*command.configuration->queues.front());
    low->name = "queue-low";
    low->path_prefix = "/low/";
    low->priority = 1;
    command.configuration->queues.push_back(std::move(low));
    this->fleet.state.Apply(command);
    this->fleet.Advance(milliseconds(50));
  }

  void SubmitLow(const std::string& job, Step step) {
    std::vector<Step> steps;
    steps.push_back(std::move(step));
    this->fleet.Submit(job, "low", std::move(steps));
  }

  FakeFleetLeader fleet;
};

// Guards against a run of a queue of lower priority that makes a job late which
// could be in time.
TEST_F(PreemptionByPriorityTest, RunHasLowerPriority_IsStopped) {
  this->SubmitLow("low", MakeStep(1, 2'000));
  this->fleet.Advance(milliseconds(100));
  ASSERT_TRUE(Runs(this->fleet, "low"));
  Submit(this->fleet, "urgent", MakeStep(1, 8'000));
  this->fleet.Advance(milliseconds(1'150));
  EXPECT_TRUE(Runs(this->fleet, "urgent"));
  EXPECT_EQ(this->fleet.reports["run_preempted"], 1);
}

// Guards against short jobs that stop a service of a queue of lower priority,
// even one that may miss a task.
TEST_F(PreemptionByPriorityTest, ServiceHasLowerPriority_GoesOn) {
  Step service = MakeStep(1, 2'000);
  service.long_running = true;
  service.may_miss = 1;
  this->SubmitLow("service", std::move(service));
  this->fleet.Advance(milliseconds(100));
  ASSERT_TRUE(Runs(this->fleet, "service"));
  Submit(this->fleet, "urgent", MakeStep(1, 8'000));
  this->fleet.Advance(milliseconds(1'500));
  EXPECT_TRUE(Runs(this->fleet, "service"));
  EXPECT_EQ(this->fleet.reports["run_preempted"], 0);
}

// Guards against work of a queue of lower priority that stops a late run of a
// queue of higher priority.
TEST_F(PreemptionByPriorityTest, LateRunHasHigherPriority_GoesOn) {
  Submit(this->fleet, "first", MakeStep(1, 8'000));
  this->fleet.Advance(milliseconds(100));
  Submit(this->fleet, "late", MakeStep(1, 2'000));
  this->fleet.Advance(milliseconds(3'000));
  End(this->fleet, "first");
  this->fleet.Advance(milliseconds(100));
  ASSERT_TRUE(Runs(this->fleet, "late"));
  this->SubmitLow("low", MakeStep(1, 8'000));
  this->fleet.Advance(milliseconds(1'500));
  EXPECT_TRUE(Runs(this->fleet, "late"));
  EXPECT_EQ(this->fleet.reports["run_preempted"], 0);
}

// Guards against a stop that discards a long run without a checkpoint.
TEST_F(PreemptionByPriorityTest, RunIsLong_GoesOn) {
  this->SubmitLow("low", MakeStep(1, 4'000));
  this->fleet.Advance(milliseconds(3'000));
  Submit(this->fleet, "urgent", MakeStep(1, 8'000));
  this->fleet.Advance(milliseconds(1'500));
  EXPECT_TRUE(Runs(this->fleet, "low"));
  EXPECT_EQ(this->fleet.reports["run_preempted"], 0);
}

// Guards against a checkpoint that doesn't count: only the work since then is
// lost.
TEST_F(PreemptionByPriorityTest, RunIsLongAndHasCheckpoint_IsStopped) {
  this->SubmitLow("low", MakeStep(1, 4'000));
  this->fleet.Advance(milliseconds(3'000));
  this->fleet.change_reply = [](const WorkerOrder&, WorkerReply& reply) {
    for (RunningTask& task : reply.running) {
      task.checkpoint = "checkpoint";
    }
  };
  Submit(this->fleet, "urgent", MakeStep(1, 8'000));
  this->fleet.Advance(milliseconds(1'150));
  EXPECT_TRUE(Runs(this->fleet, "urgent"));
  EXPECT_EQ(this->fleet.reports["run_preempted"], 1);
}

}  // namespace
}  // namespace mimosastage::jobs
