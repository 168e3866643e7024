#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include "mimosastage/jobs/dispatcher.h"
#include "tests/jobs/support/fake_fleet_leader.h"

namespace mimosastage::jobs {
namespace {

using std::chrono::milliseconds;

/// The acknowledgement of run ends in an order; 0 if there is none.
std::uint64_t AcknowledgedEnd(const WorkerOrder& order) {
  const auto* hold = std::get_if<HoldOrder>(&order.body);
  return hold == nullptr ? 0 : hold->last_durable_end;
}

/// A worker ends and the next one lives under its id, so that orders for the
/// first reach the second.
class DispatcherIncarnationTest : public ::testing::Test {
 protected:
  void SetUp() override {
    this->fleet.AddPool("render");
    this->fleet.AddTeam("crews", 64'000);
    this->fleet.AddWorker("worker-0", "render", 4'000);
    this->fleet.BeginTerm();
    this->fleet.Advance(milliseconds(100));
  }

  static TaskId TaskOf(const std::string& job) { return TaskId{job, 0, 0, 0}; }

  void Submit(const std::string& job) {
    this->fleet.Submit(job, "render", {MakeStep(1, 1'000)});
  }

  /// Runs a job until its end is listed and durable, and holds the
  /// acknowledgement of that end back.
  void HoldAcknowledgementBack() {
    this->Submit("first");
    this->fleet.Advance(milliseconds(100));
    this->fleet.EndRun("worker-0", TaskOf("first"), RunOutcome::kDone);
    this->HoldNextAcknowledgementBack();
    this->fleet.Advance(milliseconds(150));
    ASSERT_TRUE(this->held_back.has_value());
  }

  void HoldNextAcknowledgementBack() {
    this->fleet.hold_back = [this](const WorkerOrder& order) {
      if (this->held_back.has_value() || AcknowledgedEnd(order) == 0) {
        return false;
      }
      this->held_back = order;
      return true;
    };
  }

  /// Advances until a hold is executed.
  void AdvanceUntilHold() {
    bool executed = false;
    this->fleet.change_reply = [&](const WorkerOrder& order, WorkerReply&) {
      executed |= std::holds_alternative<HoldOrder>(order.body);
    };
    for (int i = 0; i < 100 && !executed; ++i) {
      this->fleet.Advance(milliseconds(10));
    }
    ASSERT_TRUE(executed);
    this->fleet.change_reply = {};
  }

  /// The worker ends once it has listed the end of a run; then `action` runs.
  void ReplaceWhenEndIsListed(std::function<void()> action) {
    this->fleet.change_reply = [this, action = std::move(action)](
                                   const WorkerOrder&,
                                   const WorkerReply& reply) {
      if (!this->replaced && !reply.ended.empty()) {
        this->replaced = true;
        this->fleet.ReplaceUnderItsId("worker-0");
        action();
      }
    };
  }

  /// The next incarnation runs the second job, and then executes an
  /// acknowledgement that was sent meanwhile.
  void RunSecondOnNextIncarnation() {
    this->HoldNextAcknowledgementBack();
    for (int i = 0; i < 100 && this->fleet.WorkersOf(TaskOf("second")).empty();
         ++i) {
      this->fleet.Advance(milliseconds(10));
    }
    ASSERT_TRUE(this->replaced);
    ASSERT_FALSE(this->fleet.WorkersOf(TaskOf("second")).empty());
    this->fleet.EndRun("worker-0", TaskOf("second"), RunOutcome::kDone);
    this->fleet.Advance(milliseconds(100));
    if (this->held_back.has_value()) {
      this->fleet.ExecuteHeldBack(*this->held_back, true);
    }
  }

  /// The start of the second job leaves just before the end of the first one is
  /// durable, and the next incarnation executes it.
  void SendStartBeforeEndsAreDurable() {
    this->Submit("first");
    this->fleet.Advance(milliseconds(100));
    // The next hold is sent 60 ms after this one.
    this->AdvanceUntilHold();
    this->fleet.Advance(milliseconds(40));
    this->fleet.EndRun("worker-0", TaskOf("first"), RunOutcome::kDone);
    this->ReplaceWhenEndIsListed([] {});
    this->Submit("second");
    this->RunSecondOnNextIncarnation();
  }

  /// Holds the first start back; the worker is silent from then on.
  void HoldStartBack() {
    this->fleet.hold_back = [this](const WorkerOrder& order) {
      if (!std::holds_alternative<StartOrder>(order.body) ||
          this->held_back.has_value()) {
        return false;
      }
      this->held_back = order;
      this->fleet.workers.at("worker-0").silent = true;
      return true;
    };
    this->Submit("second");
    this->fleet.Advance(milliseconds(100));
    ASSERT_TRUE(this->held_back.has_value());
  }

  /// Holds the first copy of the start of the second job back, and advances
  /// until the worker has executed the second copy.
  void HoldFirstCopyBack() {
    this->fleet.hold_back = [this](const WorkerOrder& order) {
      if (!std::holds_alternative<StartOrder>(order.body) ||
          this->held_back.has_value()) {
        return false;
      }
      this->held_back = order;
      return true;
    };
    this->Submit("second");
    for (int i = 0; i < 200 && this->fleet.WorkersOf(TaskOf("second")).empty();
         ++i) {
      this->fleet.Advance(milliseconds(10));
    }
    ASSERT_TRUE(this->held_back.has_value());
    ASSERT_FALSE(this->fleet.WorkersOf(TaskOf("second")).empty());
  }

  /// Checks that the job is complete, and that the worker's end isn't
  /// acknowledged for 11 s and is afterwards.
  void ExpectEndIsKeptForTheDelay() {
    const FakeWorker& worker = this->fleet.workers.at("worker-0");
    for (milliseconds passed{0}; passed < milliseconds(11'000);
         passed += milliseconds(100)) {
      this->fleet.Advance(milliseconds(100));
      ASSERT_EQ(worker.ended.size(), 1U);
    }
    EXPECT_EQ(this->fleet.JobOf("second").phase, JobPhase::kCompleted);
    this->fleet.Advance(milliseconds(6'000));
    EXPECT_TRUE(worker.ended.empty());
  }

  /// The next incarnation executes the start that was held back. On its clock,
  /// the deadline hasn't passed.
  void ExecuteStartOnNextIncarnation() {
    this->fleet.ReplaceUnderItsId("worker-0");
    std::get<StartOrder>(this->held_back->body).deadline = milliseconds::max();
    this->fleet.ExecuteHeldBack(*this->held_back, false);
  }

  std::size_t StartsOf(const std::string& job) const {
    std::size_t starts = 0;
    for (const StartOrder& start : this->fleet.starts) {
      starts += start.task.job == job ? 1 : 0;
    }
    return starts;
  }

  /// Announces the worker and checks that the job completes with one start.
  void ExpectRunsOnce(const std::string& job) {
    this->fleet.Announce("worker-0");
    this->fleet.Advance(milliseconds(8'000));
    EXPECT_EQ(this->fleet.JobOf(job).phase, JobPhase::kCompleted);
    EXPECT_EQ(this->StartsOf(job), 1U);
  }

  FakeFleetLeader fleet;
  std::optional<WorkerOrder> held_back;
  bool replaced = false;
};

// Guards against an acknowledgement for one incarnation that arrives at the
// next one after a later start, and drops the end of that run (TWICE).
TEST_F(DispatcherIncarnationTest, AcknowledgementIsLate_NextRanATask_KeepsEnd) {
  this->HoldAcknowledgementBack();
  this->fleet.ReplaceUnderItsId("worker-0");
  this->Submit("second");
  this->fleet.Advance(milliseconds(100));
  ASSERT_EQ(this->fleet.WorkersOf(TaskOf("second")).size(), 1U);
  this->fleet.EndRun("worker-0", TaskOf("second"), RunOutcome::kDone);
  this->fleet.ExecuteHeldBack(*this->held_back, false);
  EXPECT_EQ(this->fleet.workers.at("worker-0").ended.size(), 1U);
  this->ExpectRunsOnce("second");
}

// Guards against an acknowledgement that is sent after a start which the next
// incarnation executes, and drops the end of that run (TWICE).
TEST_F(DispatcherIncarnationTest,
       StartIsDurableWithTheEnds_NextRanIt_KeepsEnd) {
  this->Submit("first");
  this->fleet.Advance(milliseconds(100));
  this->fleet.EndRun("worker-0", TaskOf("first"), RunOutcome::kDone);
  this->ReplaceWhenEndIsListed([this] { this->Submit("second"); });
  this->RunSecondOnNextIncarnation();
  this->ExpectRunsOnce("second");
}

// The same for a start that left before the ends were durable, so that it isn't
// known which incarnation has confirmed it.
TEST_F(DispatcherIncarnationTest, StartPrecedesDurableEnds_NextRanIt_KeepsEnd) {
  this->SendStartBeforeEndsAreDurable();
  this->ExpectRunsOnce("second");
}

// The same at a worker that has ended many runs before the leader's term.
TEST_F(DispatcherIncarnationTest, WorkerHasEndedManyRuns_NextRanIt_KeepsEnd) {
  this->fleet.workers.at("worker-0").last_end_number = 1'000;
  this->SendStartBeforeEndsAreDurable();
  this->ExpectRunsOnce("second");
}

// Guards against a list of run ends that grows without bound while one start
// isn't listed.
TEST_F(DispatcherIncarnationTest, StartIsNeverListed_LongListIsAcknowledged) {
  constexpr int kJobs = 500;
  this->fleet.hold_back = [](const WorkerOrder& order) {
    const auto* start = std::get_if<StartOrder>(&order.body);
    return start != nullptr && start->task.job == "lost";
  };
  std::size_t most = 0;
  this->Submit("lost");
  FakeWorker& worker = this->fleet.workers.at("worker-0");
  for (int i = 0; i < kJobs; ++i) {
    const TaskId task = TaskOf("ended-" + std::to_string(i));
    worker.ended.push_back(
        EndedRun{++worker.last_end_number, task, 1, RunOutcome::kDone, ""});
    this->fleet.Advance(milliseconds(20));
    most = std::max(most, worker.ended.size());
  }
  EXPECT_LT(most, 450U);
}

// Guards against a worker that counts as silent because a start overtook an
// acknowledgement on its way.
TEST_F(DispatcherIncarnationTest,
       AcknowledgementIsOvertakenByAStart_WorkerStaysUsable) {
  this->HoldAcknowledgementBack();
  this->Submit("second");
  this->fleet.Advance(milliseconds(100));
  ASSERT_EQ(this->fleet.WorkersOf(TaskOf("second")).size(), 1U);
  this->fleet.ExecuteHeldBack(*this->held_back, true);
  this->fleet.Advance(milliseconds(300));
  EXPECT_EQ(this->fleet.reports["worker_silent"], 0);
  EXPECT_TRUE(this->fleet.workers.at("worker-0").ended.empty());
  this->fleet.EndRun("worker-0", TaskOf("second"), RunOutcome::kDone);
  this->fleet.Advance(milliseconds(200));
  EXPECT_EQ(this->fleet.JobOf("second").phase, JobPhase::kCompleted);
}

// Guards against ends that are never acknowledged because there is always a
// start that the worker hasn't listed yet.
TEST_F(DispatcherIncarnationTest, StartsNeverCease_EndsAreAcknowledged) {
  constexpr int kJobs = 400;
  constexpr milliseconds kWork{30};
  std::size_t most = 0;
  FakeWorker& worker = this->fleet.workers.at("worker-0");
  for (int i = 0; i < kJobs; ++i) {
    this->Submit("job-" + std::to_string(i));
    this->fleet.Advance(milliseconds(10));
    const auto running = worker.running;
    for (const auto& [key, began] : running) {
      if (milliseconds(began) + kWork <= this->fleet.now.time_since_epoch()) {
        this->fleet.EndRun("worker-0", key.first, RunOutcome::kDone);
      }
    }
    most = std::max(most, worker.ended.size());
  }
  // A hold is sent every 60 ms, and a start delays an acknowledgement for 500
  // ms at most.
  EXPECT_LE(most, 80U);
  EXPECT_GT(this->fleet.starts.size(), kJobs / 4);
}

// Guards against a task that starts elsewhere once its silent worker's lease
// has expired, while its unanswered start is still on the way to the next
// incarnation under the worker's id (TWICE).
TEST_F(DispatcherIncarnationTest, StartIsLate_LeaseHasExpired_TaskRunsOnce) {
  this->HoldStartBack();
  // The worker's lease expires after about 5 s.
  this->fleet.AddWorker("worker-1", "render", 4'000);
  this->fleet.Advance(milliseconds(8'000));
  this->ExecuteStartOnNextIncarnation();
  ASSERT_EQ(this->fleet.WorkersOf(TaskOf("second")).size(), 1U);
  this->fleet.Announce("worker-0");
  for (int i = 0; i < 200; ++i) {
    this->fleet.Advance(milliseconds(50));
    ASSERT_LE(this->fleet.WorkersOf(TaskOf("second")).size(), 1U);
  }
  EXPECT_EQ(this->fleet.WorkersOf(TaskOf("second")).size(), 1U);
}

// Guards against a task that starts elsewhere although a start of an earlier
// term may still reach the next incarnation under the worker's id (TWICE).
TEST_F(DispatcherIncarnationTest, StartOfEarlierTermIsLate_TaskRunsOnce) {
  this->HoldStartBack();
  this->fleet.BeginTerm();
  this->fleet.AddWorker("worker-1", "render", 4'000);
  this->fleet.Advance(milliseconds(8'000));
  this->ExecuteStartOnNextIncarnation();
  EXPECT_EQ(this->fleet.WorkersOf(TaskOf("second")).size(), 1U);
}

// Guards against an end that is acknowledged while an unanswered copy of its
// start may still reach the next incarnation, which runs the task again
// (TWICE).
TEST_F(DispatcherIncarnationTest,
       StartWasRepeated_FirstCopyMayBeLate_EndIsKept) {
  this->HoldFirstCopyBack();
  this->fleet.EndRun("worker-0", TaskOf("second"), RunOutcome::kDone);
  this->ExpectEndIsKeptForTheDelay();
  EXPECT_EQ(this->fleet.reports["end_withheld"], 1);
}

// The same after a change of the leader, for an end that the one before has
// withheld.
TEST_F(DispatcherIncarnationTest, EndIsWithheld_LeaderChanges_EndIsKept) {
  this->HoldFirstCopyBack();
  this->fleet.EndRun("worker-0", TaskOf("second"), RunOutcome::kDone);
  this->fleet.Advance(milliseconds(300));
  this->fleet.BeginTerm();
  this->ExpectEndIsKeptForTheDelay();
}

// The same for an end that comes in the next term.
TEST_F(DispatcherIncarnationTest,
       StartWasRepeated_LeaderChangesBeforeTheEnd_EndIsKept) {
  this->HoldFirstCopyBack();
  this->fleet.BeginTerm();
  this->fleet.Advance(milliseconds(300));
  this->fleet.EndRun("worker-0", TaskOf("second"), RunOutcome::kDone);
  this->ExpectEndIsKeptForTheDelay();
}

// The same for a copy whose worker ended: the run on another worker completes
// the task.
TEST_F(DispatcherIncarnationTest, CopyIsForAnotherWorker_MayBeLate_EndIsKept) {
  this->HoldFirstCopyBack();
  this->fleet.AddWorker("worker-1", "render", 4'000);
  this->fleet.workers.at("worker-0").replaced = true;
  FakeWorker& worker = this->fleet.workers.at("worker-1");
  for (int i = 0; i < 500 && worker.running.empty(); ++i) {
    this->fleet.Advance(milliseconds(10));
  }
  ASSERT_FALSE(worker.running.empty());
  this->fleet.EndRun("worker-1", TaskOf("second"), RunOutcome::kDone);
  this->fleet.Advance(milliseconds(1'000));
  EXPECT_EQ(worker.ended.size(), 1U);
}

// Guards against ends that wait although no copy of their start is left.
TEST_F(DispatcherIncarnationTest,
       StartWasRefusedAndRepeated_NoCopyIsLeft_EndIsAcknowledged) {
  bool refused = false;
  this->fleet.change_reply = [&](const WorkerOrder& order, WorkerReply& reply) {
    if (std::holds_alternative<StartOrder>(order.body) && !refused) {
      refused = true;
      reply.result = OrderResult::kNotStarted;
    }
  };
  this->Submit("second");
  this->fleet.Advance(milliseconds(300));
  ASSERT_TRUE(refused);
  this->fleet.EndRun("worker-0", TaskOf("second"), RunOutcome::kDone);
  this->fleet.Advance(milliseconds(300));
  EXPECT_TRUE(this->fleet.workers.at("worker-0").ended.empty());
}

// Guards against a list of run ends that grows without bound while one end is
// withheld.
TEST_F(DispatcherIncarnationTest, EndIsWithheld_LongListIsAcknowledged) {
  this->HoldFirstCopyBack();
  this->fleet.EndRun("worker-0", TaskOf("second"), RunOutcome::kDone);
  FakeWorker& worker = this->fleet.workers.at("worker-0");
  std::size_t most = 0;
  for (int i = 0; i < 1'000; ++i) {
    const TaskId task = TaskOf("ended-" + std::to_string(i));
    worker.ended.push_back(
        EndedRun{++worker.last_end_number, task, 1, RunOutcome::kDone, ""});
    this->fleet.Advance(milliseconds(10));
    most = std::max(most, worker.ended.size());
  }
  EXPECT_GT(most, 300U);
  EXPECT_LT(most, 450U);
}

}  // namespace
}  // namespace mimosastage::jobs
