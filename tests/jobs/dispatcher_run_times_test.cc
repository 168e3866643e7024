#include <gtest/gtest.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "tests/jobs/support/run_times_fleet.h"

namespace mimosastage::jobs {
namespace {

using std::chrono::milliseconds;

Dispatcher::Config LearningConfig(bool learn) {
  Dispatcher::Config config;
  config.learn_run_times = learn;
  return config;
}

// Guards against durations that are learned without the flag: a deployment that
// doesn't use it must be served as before.
TEST(DispatcherRunTimesTest, Learn_FlagIsOff_EstimatesAreUsed) {
  RunTimesFleet load(LearningConfig(false));
  load.Submit("job", 200, milliseconds(200));
  load.Run(milliseconds(4'000), milliseconds(600));
  ASSERT_EQ(load.fleet.JobOf("job").phase, JobPhase::kCompleted);
  EXPECT_EQ(load.fleet.reports["run_times_learned"], 0);
  EXPECT_EQ(load.ExpectedOfTask(milliseconds(200)), 800);
}

// Guards against a leader that learns nothing from the ends that it records,
// and against one that keeps what another leader has learned for it.
TEST(DispatcherRunTimesTest, Learn_RunsEnd_UsesTheirDurationUntilTheTermEnds) {
  RunTimesFleet load(LearningConfig(true));
  EXPECT_EQ(load.ExpectedOfTask(milliseconds(200)), 800);
  load.Submit("job", 200, milliseconds(200));
  load.Run(milliseconds(4'000), milliseconds(600));
  ASSERT_EQ(load.fleet.JobOf("job").phase, JobPhase::kCompleted);
  EXPECT_EQ(load.fleet.reports["run_times_learned"], 1);
  // The measured time exceeds the true one by the delay of the answers.
  EXPECT_GE(load.ExpectedOfTask(milliseconds(200)), 4 * 600);
  EXPECT_LE(load.ExpectedOfTask(milliseconds(200)), 4 * 680);
  load.fleet.BeginTerm();
  EXPECT_EQ(load.ExpectedOfTask(milliseconds(200)), 800);
}

// Guards against durations of runs that didn't do all the work of their task.
TEST(DispatcherRunTimesTest, Learn_RunsFailOrRepeat_TheyDoNotCount) {
  RunTimesFleet load(LearningConfig(true));
  load.Submit("job", 40, milliseconds(200));
  load.Run(milliseconds(300), milliseconds(100), RunOutcome::kStopped);
  load.Run(milliseconds(1'000), milliseconds(100), RunOutcome::kDone);
  ASSERT_EQ(load.fleet.JobOf("job").phase, JobPhase::kCompleted);
  EXPECT_EQ(load.fleet.reports["run_times_learned"], 0);
  EXPECT_EQ(load.ExpectedOfTask(milliseconds(200)), 800);
}

// Guards against ends of a worker that couldn't be reached: the leader reads
// them seconds after they have happened.
TEST(DispatcherRunTimesTest, Learn_WorkersWereSilent_TheirEndsDoNotCount) {
  RunTimesFleet load(LearningConfig(true));
  load.Submit("job", 40, milliseconds(200));
  load.fleet.Advance(milliseconds(150));
  ASSERT_EQ(load.fleet.RunningTasks(), 40U);
  for (auto& [id, worker] : load.fleet.workers) {
    worker.silent = true;
  }
  load.fleet.Advance(milliseconds(100));
  load.EndRunsAfter(milliseconds(0), RunOutcome::kDone);
  load.fleet.Advance(milliseconds(2'000));
  for (auto& [id, worker] : load.fleet.workers) {
    worker.silent = false;
  }
  load.fleet.Advance(milliseconds(1'000));
  ASSERT_EQ(load.fleet.JobOf("job").phase, JobPhase::kCompleted);
  EXPECT_EQ(load.fleet.reports["run_times_learned"], 0);
  EXPECT_EQ(load.ExpectedOfTask(milliseconds(200)), 800);
}

/// Jobs of one step of eight tasks of 600 ms, twice as many as the pool can
/// run. Callers expect an answer within twice the true duration and 600 ms.
int CountJobsInTime(bool learn, milliseconds stated) {
  RunTimesFleet load(LearningConfig(learn));
  constexpr milliseconds kDuration(600);
  constexpr milliseconds kObjective = 2 * kDuration + milliseconds(600);
  constexpr milliseconds kLength(8'000);
  std::map<std::string, TimePoint> submitted;
  std::map<std::string, bool> counted;
  int in_time = 0;
  for (milliseconds at(0); at < kLength + kObjective; at += milliseconds(10)) {
    while (at < kLength && static_cast<std::int64_t>(submitted.size()) * 1'000 <
                               at.count() * 16) {
      const std::string id = "job-" + std::to_string(submitted.size());
      load.Submit(id, 8, stated);
      submitted[id] = load.fleet.now;
    }
    load.Run(milliseconds(10), kDuration);
    for (const auto& [id, since] : submitted) {
      if (load.fleet.now - since <= kObjective && !counted[id] &&
          load.fleet.JobOf(id).phase == JobPhase::kCompleted) {
        counted[id] = true;
        ++in_time;
      }
    }
  }
  return in_time;
}

// Guards against an overload in which estimates that are far too long or short
// decide which jobs can still be in time: the pool then works on jobs that are
// late already, or gives up jobs that aren't.
TEST(DispatcherRunTimesTest, Peak_EstimatesAreWrong_CapacityIsUsedInTime) {
  // 40 tasks at a time for 8 s, of which a job has 8 of 600 ms.
  constexpr double kCapacity = 40.0 / 8 * 8'000 / 600;
  for (const int stated : {100, 200, 1'500, 4'000}) {
    const int without = CountJobsInTime(false, milliseconds(stated));
    const int with = CountJobsInTime(true, milliseconds(stated));
    RecordProperty("in_time_without_" + std::to_string(stated), without);
    RecordProperty("in_time_with_" + std::to_string(stated), with);
    // As in LoadPeakTest.
    EXPECT_GE(with, 0.75 * kCapacity) << stated << ", without: " << without;
  }
}

/// The steps of one job with a learned duration.
class LearnedStepsTest : public ::testing::Test {
 protected:
  static constexpr milliseconds kAccepted{1'000'000};

  void SetUp() override {
    Command command;
    command.configuration = std::make_unique<Configuration>();
    command.configuration->version = 1;
    command.configuration->pools.push_back(std::make_unique<Pool>());
    command.configuration->pools[0]->name = "render";
    auto queue = std::make_unique<Queue>();
    queue->name = "queue";
    queue->host = "host";
    queue->path_prefix = "/";
    queue->pool = "render";
    queue->max_attempts = 2;
    queue->stretch = 2;
    queue->target_ms = 600;
    command.configuration->queues.push_back(std::move(queue));
    this->state.Apply(command);
  }

  void Submit(const std::string& id) {
    Command command;
    command.job = std::make_unique<JobRequest>();
    command.job->id = id;
    command.job->queue = "queue";
    command.job->accepted_ms = kAccepted.count();
    command.job->steps.push_back(std::make_unique<Step>(MakeStep(2, 1'000)));
    this->state.Apply(command);
  }

  WaitingStep Find(const std::string& id) {
    WaitingStep found;
    this->steps.VisitJob("render", id, [&](const WaitingStep& step) {
      found.objective = step.objective;
      found.latest_start = step.latest_start;
      found.late = step.late;
    });
    return found;
  }

  FleetState state;
  milliseconds duration{1'000};
  WaitingSteps steps{state, [this](const Queue&, const JobRequest&,
                                   std::uint32_t) { return this->duration; }};
};

// Guards against an objective that follows from the stated estimate while the
// chain follows from the learned one.
TEST_F(LearnedStepsTest, Refresh_LearnedDuration_ReplacesTheEstimate) {
  this->duration = milliseconds(500);
  this->Submit("job");
  this->steps.Refresh(kAccepted);
  const WaitingStep step = this->Find("job");
  EXPECT_EQ(step.objective, milliseconds(1'600));
  EXPECT_EQ(step.latest_start, kAccepted + milliseconds(1'600 - 500 - 200));
}

// Guards against an order of waiting steps that changes with each sample.
TEST_F(LearnedStepsTest, Review_ChangeBelowAThird_KeepsTheStep) {
  this->Submit("job");
  this->steps.Refresh(kAccepted);
  const milliseconds before = this->Find("job").latest_start;
  this->duration = milliseconds(1'300);
  this->steps.OnExpectedChanged();
  this->steps.Refresh(kAccepted + milliseconds(10));
  EXPECT_EQ(this->Find("job").latest_start, before);
  EXPECT_EQ(this->Find("job").objective, milliseconds(2'600));
}

// Guards against jobs that stay late, or in time, by an estimate that is known
// to be wrong, and against sums that no longer fit their steps.
TEST_F(LearnedStepsTest, Review_ChangeOfAThird_MovesTheStepBothWays) {
  this->Submit("job");
  this->Submit("other");
  const milliseconds wall = kAccepted + milliseconds(1'400);
  this->steps.Refresh(wall);
  ASSERT_TRUE(this->Find("job").late);
  EXPECT_EQ(this->steps.SumsByPool().at("render").late_millicores, 4'000);
  this->duration = milliseconds(2'000);
  this->steps.OnExpectedChanged();
  this->steps.Refresh(wall);
  EXPECT_FALSE(this->Find("job").late);
  EXPECT_EQ(this->Find("job").objective, milliseconds(4'600));
  EXPECT_EQ(this->steps.SumsByPool().at("render").late_millicores, 0);
  EXPECT_EQ(this->steps.SumsByPool().at("render").millicores, 4'000);
  this->duration = milliseconds(100);
  this->steps.OnExpectedChanged();
  this->steps.Refresh(wall);
  EXPECT_TRUE(this->Find("job").late);
  EXPECT_EQ(this->steps.SumsByPool().at("render").late_millicores, 4'000);
  EXPECT_EQ(this->steps.SumsByPool().at("render").millicores, 4'000);
  int visited = 0;
  this->steps.Visit("render", [&](const WaitingStep&) {
    ++visited;
    return WaitingSteps::Next::kContinue;
  });
  EXPECT_EQ(visited, 2);
}

}  // namespace
}  // namespace mimosastage::jobs
