#include "mimosastage/jobs/straggler_copies.h"

#include <gtest/gtest.h>

#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "tests/jobs/support/run_times_fleet.h"

namespace mimosastage::jobs {
namespace {

using std::chrono::milliseconds;

StragglerCopies::RunningOriginal MakeOriginal(std::uint32_t index,
                                              int elapsed_ms, int tail_ms,
                                              int remaining_ms) {
  return StragglerCopies::RunningOriginal{TaskId{"job", 0, 0, index},
                                          "worker-0",
                                          "rack-0",
                                          milliseconds(elapsed_ms),
                                          milliseconds(tail_ms),
                                          milliseconds(remaining_ms),
                                          milliseconds(500)};
}

CandidateWorker MakeCandidate(const std::string& id, const std::string& rack,
                              std::int64_t free_millicores) {
  CandidateWorker candidate;
  candidate.id = id;
  candidate.labels = {"kind", rack};
  candidate.free.millicores = free_millicores;
  candidate.free.memory_mb = 10'000;
  return candidate;
}

// Guards against copies that take more of a pool than was agreed.
TEST(StragglerCopiesTest, Room_CopiesExist_IsATenthLessThem) {
  const StragglerCopies copies(StragglerCopies::Config{});
  EXPECT_EQ(copies.Room(9, 0), 0U);
  EXPECT_EQ(copies.Room(10, 0), 1U);
  EXPECT_EQ(copies.Room(39, 2), 1U);
  EXPECT_EQ(copies.Room(39, 3), 0U);
  EXPECT_EQ(copies.Room(39, 10), 0U);
}

// Guards against copies of tasks that are about to end.
TEST(StragglerCopiesTest, Select_Mixed_LongestRemainingFirst) {
  const auto selected = StragglerCopies::Select({
      MakeOriginal(0, 900, 800, 700),
      MakeOriginal(1, 700, 800, 700),  // below its tail
      MakeOriginal(2, 900, 800, 100),  // ends before a new run would
      MakeOriginal(3, 900, 800, 2'000),
  });
  ASSERT_EQ(selected.size(), 2U);
  EXPECT_EQ(selected[0].task.index, 3U);
  EXPECT_EQ(selected[1].task.index, 0U);
}

// Guards against a copy that shares the cause of the original's delay.
TEST(StragglerCopiesTest, ChooseWorker_OnlyUnsuitableOnes_ChoosesNone) {
  const Step step = MakeStep(4, 1'000);
  const auto original = MakeOriginal(0, 900, 800, 700);
  CandidateWorker suspect = MakeCandidate("worker-3", "rack-1", 4'000);
  suspect.suspect = true;
  std::vector<CandidateWorker> candidates = {
      MakeCandidate("worker-0", "rack-1", 4'000),
      MakeCandidate("worker-1", "rack-0", 4'000),
      MakeCandidate("worker-2", "rack-1", 500),
      suspect,
      MakeCandidate("worker-4", "", 4'000),
  };
  EXPECT_FALSE(StragglerCopies::ChooseWorker(step, original, {}, candidates)
                   .has_value());
  candidates.push_back(MakeCandidate("worker-5", "rack-1", 4'000));
  candidates.push_back(MakeCandidate("worker-6", "rack-1", 2'000));
  EXPECT_EQ(StragglerCopies::ChooseWorker(step, original, {}, candidates), 6U);
}

TEST(StragglerCopiesTest, ChooseWorker_StepHasConditions_KeepsThem) {
  Step step = MakeStep(4, 1'000);
  step.most_per_worker = 1;
  const auto original = MakeOriginal(0, 900, 800, 700);
  const std::vector<CandidateWorker> candidates = {
      MakeCandidate("worker-1", "rack-1", 2'000),
      MakeCandidate("worker-2", "rack-2", 3'000),
  };
  EXPECT_EQ(StragglerCopies::ChooseWorker(step, original, {{"worker-1", 1}},
                                          candidates),
            1U);
  step.required_label = "rack-3";
  EXPECT_FALSE(StragglerCopies::ChooseWorker(step, original, {}, candidates)
                   .has_value());
}

/// A pool that has learned that tasks last 600 ms, and runs 20 tasks of other
/// jobs that last.
class StragglersTest : public ::testing::Test {
 protected:
  static constexpr milliseconds kDuration{600};
  static constexpr milliseconds kStated{600};

  static Dispatcher::Config CopyingConfig() {
    Dispatcher::Config config;
    config.learn_run_times = true;
    config.copy_stragglers = true;
    return config;
  }

  void Prepare() {
    this->load.Submit("earlier", 200, kStated);
    this->load.Run(milliseconds(5'000), kDuration);
    ASSERT_EQ(this->load.fleet.JobOf("earlier").phase, JobPhase::kCompleted);
    this->SubmitSteps("base", 20, false);
    this->load.fleet.Advance(milliseconds(50));
  }

  void SubmitSteps(const std::string& id, std::uint32_t tasks,
                   bool speculative) {
    std::vector<Step> steps;
    steps.push_back(RunTimesFleet::StepOf(tasks, kStated));
    steps.back().speculative = speculative;
    this->load.fleet.Submit(id, "render", std::move(steps));
  }

  std::set<std::string> RacksOf(const TaskId& task) {
    std::set<std::string> racks;
    for (const std::string& worker : this->load.fleet.WorkersOf(task)) {
      racks.insert(this->load.fleet.workers.at(worker).record.labels[1]);
    }
    return racks;
  }

  const TaskId straggler{"slow", 0, 0, 0};
  RunTimesFleet load{CopyingConfig()};
};

// Guards against a task that delays its job for as long as it straggles, and
// against copies that go on after the task was completed.
TEST_F(StragglersTest, SpeculativeTaskStraggles_CopyEnds_TaskIsDone) {
  this->Prepare();
  this->SubmitSteps("slow", 1, true);
  this->load.fleet.Advance(milliseconds(500));
  EXPECT_EQ(this->load.fleet.WorkersOf(this->straggler).size(), 1U);
  this->load.fleet.Advance(milliseconds(600));
  ASSERT_EQ(this->load.fleet.WorkersOf(this->straggler).size(), 2U);
  EXPECT_EQ(this->RacksOf(this->straggler).size(), 2U);
  EXPECT_EQ(this->load.fleet.reports["straggler_copied"], 1);
  // The copy ends first.
  for (const std::string& worker :
       this->load.fleet.WorkersOf(this->straggler)) {
    if (this->load.fleet.workers.at(worker).running.contains(
            {this->straggler, 2})) {
      this->load.fleet.EndRun(worker, this->straggler, RunOutcome::kDone);
    }
  }
  this->load.fleet.Advance(milliseconds(1'500));
  EXPECT_EQ(this->load.fleet.JobOf("slow").phase, JobPhase::kCompleted);
  EXPECT_TRUE(this->load.fleet.WorkersOf(this->straggler).empty());
}

TEST_F(StragglersTest, SpeculativeTaskStraggles_OriginalEnds_CopyIsStopped) {
  this->Prepare();
  this->SubmitSteps("slow", 1, true);
  this->load.fleet.Advance(milliseconds(1'100));
  ASSERT_EQ(this->load.fleet.WorkersOf(this->straggler).size(), 2U);
  for (const std::string& worker :
       this->load.fleet.WorkersOf(this->straggler)) {
    if (this->load.fleet.workers.at(worker).running.contains(
            {this->straggler, 1})) {
      this->load.fleet.EndRun(worker, this->straggler, RunOutcome::kDone);
    }
  }
  this->load.fleet.Advance(milliseconds(1'500));
  EXPECT_EQ(this->load.fleet.JobOf("slow").phase, JobPhase::kCompleted);
  EXPECT_TRUE(this->load.fleet.WorkersOf(this->straggler).empty());
}

// Guards against a task that runs twice although its step doesn't allow it.
TEST_F(StragglersTest, OtherTaskStraggles_HasNoCopy) {
  this->Prepare();
  this->SubmitSteps("slow", 1, false);
  this->load.fleet.Advance(milliseconds(5'000));
  EXPECT_EQ(this->load.fleet.WorkersOf(this->straggler).size(), 1U);
  EXPECT_EQ(this->load.fleet.reports["straggler_copied"], 0);
}

// Guards against copies that are made again and again, and against more copies
// than a tenth of the pool's running tasks.
TEST_F(StragglersTest, ManyStraggle_CopiesAreATenthOfTheTasksAndOnePerTask) {
  this->Prepare();
  this->SubmitSteps("slow", 10, true);
  this->load.fleet.Advance(milliseconds(3'000));
  // 30 tasks run. All copies fail; none is made again.
  EXPECT_EQ(this->load.fleet.RunningTasks(), 33U);
  EXPECT_EQ(this->load.fleet.reports["straggler_copied"], 3);
  std::set<TaskId> copied;
  for (const RunStart& start : this->load.fleet.proposed_starts) {
    if (start.run > 1) {
      copied.insert(
          TaskId{start.job, start.occurrence, start.step, start.index});
    }
  }
  for (const TaskId& task : copied) {
    for (const std::string& worker : this->load.fleet.WorkersOf(task)) {
      if (this->load.fleet.workers.at(worker).running.contains({task, 2})) {
        this->load.fleet.EndRun(worker, task, RunOutcome::kFailed);
      }
    }
  }
  this->load.fleet.Advance(milliseconds(3'000));
  for (const TaskId& task : copied) {
    EXPECT_EQ(this->load.fleet.WorkersOf(task).size(), 1U);
    EXPECT_EQ(this->load.fleet.JobOf("slow").At(task).runs, 2U);
  }
  EXPECT_EQ(this->load.fleet.reports["straggler_copied"], 6);
}

// Guards against copies that take the place of work that can be in time.
TEST_F(StragglersTest, WorkInTimeWaits_HasNoCopy) {
  this->Prepare();
  this->SubmitSteps("slow", 1, true);
  this->load.fleet.Advance(milliseconds(100));
  // Fits on no worker, and can be in time for long.
  Step large = MakeStep(1, 1'000'000);
  large.estimate_ms = 20'000;
  std::vector<Step> steps;
  steps.push_back(std::move(large));
  this->load.fleet.Submit("large", "render", std::move(steps));
  this->load.fleet.Advance(milliseconds(2'000));
  EXPECT_EQ(this->load.fleet.WorkersOf(this->straggler).size(), 1U);
  this->load.fleet.Cancel("large");
  this->load.fleet.Advance(milliseconds(500));
  EXPECT_EQ(this->load.fleet.WorkersOf(this->straggler).size(), 2U);
}

// Guards against a new leader that makes copies without knowing how long tasks
// take, or a second copy of a task that has one.
TEST_F(StragglersTest, LeaderChanges_CopiesStayAndNoneIsAdded) {
  this->Prepare();
  this->SubmitSteps("slow", 1, true);
  this->load.fleet.Advance(milliseconds(1'100));
  ASSERT_EQ(this->load.fleet.WorkersOf(this->straggler).size(), 2U);
  this->SubmitSteps("next", 10, true);
  this->load.fleet.Advance(milliseconds(100));
  this->load.fleet.BeginTerm();
  this->load.fleet.Advance(milliseconds(5'000));
  EXPECT_EQ(this->load.fleet.reports["straggler_copied"], 1);
  EXPECT_EQ(this->load.fleet.WorkersOf(this->straggler).size(), 2U);
  EXPECT_EQ(this->load.fleet.RunningTasks(), 32U);
  // It has learned the durations again, and adds copies to those that run.
  this->load.Submit("later", 20, kStated);
  this->load.Submit("last", 180, kStated);
  for (int i = 0; i < 1'500; ++i) {
    this->load.fleet.Advance(milliseconds(10));
    for (const char* job : {"later", "last"}) {
      for (auto& [id, worker] : this->load.fleet.workers) {
        std::vector<TaskId> due;
        for (const auto& [key, began] : worker.running) {
          if (key.first.job == job) {
            due.push_back(key.first);
          }
        }
        for (const TaskId& task : due) {
          this->load.fleet.EndRun(id, task, RunOutcome::kDone);
        }
      }
    }
  }
  // A tenth of 31 tasks, one of which is the copy from before.
  EXPECT_EQ(this->load.fleet.reports["straggler_copied"], 3);
  EXPECT_EQ(this->load.fleet.WorkersOf(this->straggler).size(), 2U);
}

// Guards against copies in a deployment that doesn't use them.
TEST(StragglersOffTest, FlagIsOff_HasNoCopy) {
  Dispatcher::Config config;
  config.learn_run_times = true;
  RunTimesFleet load(config);
  load.Submit("earlier", 200, milliseconds(600));
  load.Run(milliseconds(5'000), milliseconds(600));
  std::vector<Step> steps;
  steps.push_back(RunTimesFleet::StepOf(20, milliseconds(600)));
  steps.back().speculative = true;
  load.fleet.Submit("slow", "render", std::move(steps));
  load.fleet.Advance(milliseconds(5'000));
  EXPECT_EQ(load.fleet.RunningTasks(), 20U);
  EXPECT_EQ(load.fleet.reports["straggler_copied"], 0);
}

}  // namespace
}  // namespace mimosastage::jobs
