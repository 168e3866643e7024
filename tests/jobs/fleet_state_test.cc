#include "mimosastage/jobs/fleet_state.h"

#include <gtest/gtest.h>

#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "mimosastage/jobs/configuration_check.h"
#include "tests/jobs/support/fake_fleet_leader.h"

namespace mimosastage::jobs {
namespace {

/// Bytes that the release before the records of crashes wrote: a batch that
/// adds a worker and a job and starts its task there, and the snapshot of the
/// same.
constexpr std::string_view kEarlierBatch =
    "10000000000000000000060008000400060000000400000003000000f0000000"
    "68000000100000000c000a0000000000000004000c0000001800000000001200"
    "1c00040000000000000008000c00100012000000240000000100000010000000"
    "07000000000000000000000006000000776f726b65720000030000006a6f6200"
    "08000a0000000400080000001c00000000001600180004000800000000000c00"
    "000000000000100016000000480000003c0000000c000000e803000000000000"
    "010000000c00000008000c00040008000800000001000000040000008effffff"
    "6400000000000000000000000100000071000000030000006a6f620010000a00"
    "0000000000000000000004001000000018000000000012002600040018000800"
    "0c00100000001400120000005000000044000000380000002c00000018000000"
    "070000000000000000000000000006001000040006000000a00f000000000000"
    "0000000003000000613a31000100000070000000010000006d00000006000000"
    "776f726b65720000";
constexpr std::string_view kEarlierSnapshot =
    "140000000000000000000a001000040008000c000a0000007401000078000000"
    "0400000001000000180000000000120024000400180008000c00100000001400"
    "1200000044000000380000002c00000020000000100000000700000000000000"
    "00000000fefeffffa00f00000000000003000000613a31000100000070000000"
    "010000006d00000006000000776f726b65720000010000001400000000000e00"
    "100008000600070000000c000e000000000001017c0000000400000001000000"
    "1400000000000e000c00000004000000000008000e0000000100000004000000"
    "010000001000000000000a001800040008000c000a0000000100000010000000"
    "07000000000000000000000006000000776f726b657200000000160018000400"
    "0800000000000c000000000000001000160000004c000000400000000c000000"
    "e803000000000000010000000c00000008000e00040008000800000001000000"
    "0c000000000006000c0004000600000064000000000000000100000071000000"
    "030000006a6f62000400040004000000";

std::string FromHex(std::string_view text) {
  std::string bytes;
  for (std::size_t i = 0; i + 1 < text.size(); i += 2) {
    bytes.push_back(static_cast<char>(
        std::stoi(std::string(text.substr(i, 2)), nullptr, 16)));
  }
  return bytes;
}

class FleetStateTest : public ::testing::Test {
 protected:
  void Accept(const std::string& id, std::vector<Step> steps) {
    Command command;
    command.job = std::make_unique<JobRequest>();
    command.job->id = id;
    command.job->queue = "queue";
    command.job->accepted_ms = 1'000;
    for (Step& step : steps) {
      command.job->steps.push_back(std::make_unique<Step>(std::move(step)));
    }
    this->state.Apply(command);
  }

  void Start(const std::string& id, std::uint32_t index, std::uint32_t run) {
    Command command;
    command.start = std::make_unique<RunStart>();
    command.start->job = id;
    command.start->index = index;
    command.start->run = run;
    command.start->worker = "worker";
    this->state.Apply(command);
  }

  /// Records that a worker has begun a task of the job.
  void Begin(const std::string& id) {
    Batch batch;
    batch.commands.push_back(std::make_unique<Command>());
    batch.commands[0]->begun_job = id;
    this->state.Apply(*DecodeBatch(EncodeBatch(batch)));
  }

  void End(const std::string& id, std::uint32_t index, std::uint32_t run,
           RunOutcome outcome, const std::string& checkpoint = "") {
    Command command;
    command.end = std::make_unique<RunEnd>();
    command.end->job = id;
    command.end->index = index;
    command.end->run = run;
    command.end->outcome = static_cast<std::uint8_t>(outcome);
    command.end->checkpoint = checkpoint;
    this->state.Apply(command);
  }

  /// Records that the worker has crashed with task 0 of each job.
  void Crash(const std::string& worker, const std::vector<std::string>& jobs) {
    Batch batch;
    batch.commands.push_back(std::make_unique<Command>());
    batch.commands[0]->crash = std::make_unique<WorkerCrash>();
    batch.commands[0]->crash->worker = worker;
    batch.commands[0]->crash->confirmed = true;
    for (const std::string& job : jobs) {
      auto run = std::make_unique<CrashedRun>();
      run->job = job;
      batch.commands[0]->crash->runs.push_back(std::move(run));
    }
    this->state.Apply(*DecodeBatch(EncodeBatch(batch)));
  }

  static std::unique_ptr<Configuration> MakeConfiguration(
      std::uint64_t version) {
    auto configuration = std::make_unique<Configuration>();
    configuration->version = version;
    auto pool = std::make_unique<Pool>();
    pool->name = "pool";
    configuration->pools.push_back(std::move(pool));
    for (const char* prefix : {"/a/", "/a/b/", "/q/"}) {
      auto queue = std::make_unique<Queue>();
      queue->name = prefix == std::string("/q/") ? "queue" : prefix;
      queue->host = "host";
      queue->path_prefix = prefix;
      queue->pool = "pool";
      queue->timeout_ms = 1'000;
      configuration->queues.push_back(std::move(queue));
    }
    return configuration;
  }

  void Configure(std::uint64_t version) {
    Command command;
    command.configuration = MakeConfiguration(version);
    this->state.Apply(command);
  }

  /// Applies the record as it is read from the log.
  void ChangeEvacuation(const std::string& zone, bool withdrawn) {
    Batch batch;
    batch.commands.push_back(std::make_unique<Command>());
    batch.commands[0]->evacuation = std::make_unique<Evacuation>();
    batch.commands[0]->evacuation->zone = zone;
    batch.commands[0]->evacuation->withdrawn = withdrawn;
    this->state.Apply(*DecodeBatch(EncodeBatch(batch)));
  }

  FleetState state;
};

TEST_F(FleetStateTest, Accept_SameJobTwice_RemainsOne) {
  this->Accept("job", {MakeStep(2, 1'000)});
  this->Start("job", 0, 1);
  this->Accept("job", {MakeStep(2, 1'000)});
  EXPECT_EQ(this->state.FindJob("job")->active_runs, 1U);
}

TEST_F(FleetStateTest, End_ReportedTwice_CountsOnce) {
  this->Accept("job", {MakeStep(2, 1'000)});
  this->Start("job", 0, 1);
  this->End("job", 0, 1, RunOutcome::kDone);
  this->End("job", 0, 1, RunOutcome::kDone);
  EXPECT_EQ(this->state.FindJob("job")->phase, JobPhase::kRunning);
  EXPECT_EQ(this->state.FindJob("job")->OpenTasks(0, 0), 1U);
}

TEST_F(FleetStateTest, End_GangMemberIsDone_WholeGangIsDone) {
  Step step = MakeStep(3, 1'000);
  step.gang = true;
  this->Accept("job", {step});
  this->Start("job", 0, 1);
  this->End("job", 0, 1, RunOutcome::kDone);
  EXPECT_EQ(this->state.FindJob("job")->phase, JobPhase::kCompleted);
}

TEST_F(FleetStateTest, Snapshot_Restored_ContinuesWhereItWas) {
  this->Configure(4);
  this->Accept("job", {MakeStep(2, 1'000)});
  this->Start("job", 0, 1);
  this->End("job", 0, 1, RunOutcome::kDone);
  this->Start("job", 1, 1);
  this->End("job", 1, 1, RunOutcome::kStopped, "checkpoint");
  this->Start("job", 1, 2);
  FleetState copy;
  ASSERT_TRUE(copy.Restore(this->state.Snapshot()));
  EXPECT_EQ(copy.Config().version, 4U);
  const Job& job = *copy.FindJob("job");
  EXPECT_EQ(job.OpenTasks(0, 0), 1U);
  EXPECT_EQ(job.active_runs, 1U);
  EXPECT_EQ(job.At(TaskId{"job", 0, 0, 1}).checkpoint, "checkpoint");
  EXPECT_EQ(job.At(TaskId{"job", 0, 0, 1}).runs, 2U);
  EXPECT_EQ(copy.OpenJobs().size(), 1U);
}

// Guards against a schema that can't read the logs and snapshots of the release
// before the records of crashes.
TEST_F(FleetStateTest, EarlierRelease_LogAndSnapshot_AreReadable) {
  const auto batch = DecodeBatch(FromHex(kEarlierBatch));
  ASSERT_TRUE(batch.has_value());
  FleetState restored;
  ASSERT_TRUE(restored.Restore(FromHex(kEarlierSnapshot)));
  this->state.Apply(*batch);
  // That release took a job for running once its start was logged, and the log
  // doesn't tell whether the worker has begun it.
  EXPECT_EQ(this->state.FindJob("job")->phase, JobPhase::kQueued);
  EXPECT_EQ(restored.FindJob("job")->phase, JobPhase::kRunning);
  for (const FleetState* read : {&this->state, &restored}) {
    EXPECT_EQ(read->FindJob("job")->active_runs, 1U);
    EXPECT_EQ(read->Workers().at("worker").born_ms, 7);
    EXPECT_EQ(read->Workers().at("worker").sequence, 0U);
    EXPECT_TRUE(read->Crashes().Empty());
    EXPECT_TRUE(read->EvacuatedZones().empty());
  }
}

// Guards against an acknowledged evacuation that a restart, a lost disk or a
// later change of another zone undoes.
TEST_F(FleetStateTest, Evacuation_LoggedAndRestored_IsKept) {
  this->ChangeEvacuation("zone-1", false);
  this->ChangeEvacuation("zone-2", false);
  this->ChangeEvacuation("zone-2", false);
  this->ChangeEvacuation("zone-2", true);
  this->ChangeEvacuation("zone-3", true);
  const std::set<std::string> expected{"zone-1"};
  EXPECT_EQ(this->state.EvacuatedZones(), expected);
  FleetState copy;
  ASSERT_TRUE(copy.Restore(this->state.Snapshot()));
  EXPECT_EQ(copy.EvacuatedZones(), expected);
}

// Guards against a set of names that grows without bound in each replica.
TEST_F(FleetStateTest, Evacuation_AsManyZonesAsAllowed_FurtherOneIsIgnored) {
  const std::size_t limit = this->state.limits().evacuated_zones;
  for (std::size_t i = 0; i <= limit; ++i) {
    this->ChangeEvacuation("zone-" + std::to_string(i), false);
  }
  EXPECT_EQ(this->state.EvacuatedZones().size(), limit);
  this->ChangeEvacuation("zone-0", true);
  this->ChangeEvacuation("other", false);
  EXPECT_TRUE(this->state.EvacuatedZones().contains("other"));
}

// Guards against evidence that a snapshot or the log's format drops.
TEST_F(FleetStateTest, Crash_LoggedAndRestored_SecondOneFailsTheJob) {
  this->Accept("job", {MakeStep(2, 1'000)});
  this->Accept("other", {MakeStep(1, 1'000)});
  this->Start("job", 0, 1);
  this->Start("other", 0, 1);
  this->Begin("other");
  this->Crash("worker", {"job", "other"});
  this->End("job", 0, 1, RunOutcome::kLost);
  this->End("other", 0, 1, RunOutcome::kLost);
  ASSERT_TRUE(this->state.Restore(this->state.Snapshot()));
  EXPECT_TRUE(this->state.Crashes().IsImplicated(TaskId{"job", 0, 0, 0}));
  this->Start("job", 0, 2);
  this->Crash("second", {"job"});
  EXPECT_EQ(this->state.FindJob("job")->phase, JobPhase::kFailed);
  EXPECT_EQ(this->state.FindJob("other")->phase, JobPhase::kRunning);
  EXPECT_FALSE(this->state.Crashes().IsImplicated(TaskId{"other", 0, 0, 0}));
  this->End("job", 0, 2, RunOutcome::kLost);
  EXPECT_EQ(this->state.FindJob("job")->active_runs, 0U);
}

// Guards against a completed job that is shown as failed: the end that clears
// one task leaves another task of the same job to blame.
TEST_F(FleetStateTest, End_LeavesTheOtherTaskToBlame_JobFailsOnce) {
  this->Accept("job", {MakeStep(1, 1'000)});
  this->Accept("other", {MakeStep(1, 1'000)});
  this->Start("job", 0, 1);
  this->Start("other", 0, 1);
  this->Begin("job");
  this->Crash("worker", {"job", "other"});
  this->Crash("second", {"job", "other"});
  EXPECT_EQ(this->state.FindJob("job")->phase, JobPhase::kRunning);
  this->End("other", 0, 1, RunOutcome::kDone);
  EXPECT_EQ(this->state.FindJob("other")->phase, JobPhase::kCompleted);
  EXPECT_EQ(this->state.FindJob("job")->phase, JobPhase::kFailed);
  EXPECT_EQ(this->state.OpenJobs().size(), 0U);
}

// Guards against crashes that count against the neighbours of a job that was
// cancelled before it was cleared.
TEST_F(FleetStateTest, Cancel_JobIsImplicated_NeighboursAreCleared) {
  this->Accept("job", {MakeStep(1, 1'000)});
  this->Accept("other", {MakeStep(1, 1'000)});
  this->Start("job", 0, 1);
  this->Start("other", 0, 1);
  this->Crash("worker", {"job", "other"});
  Command cancel;
  cancel.cancelled_job = "job";
  this->state.Apply(cancel);
  EXPECT_FALSE(this->state.Crashes().IsImplicated(TaskId{"other", 0, 0, 0}));
  this->Crash("second", {"job", "other"});
  EXPECT_EQ(this->state.Crashes().CrashesUnder(TaskId{"other", 0, 0, 0}), 2U);
  EXPECT_TRUE(this->state.Crashes().JobsToBlame().empty());
}

TEST_F(FleetStateTest, Restore_BytesAreNoSnapshot_StateIsEmpty) {
  this->Configure(4);
  EXPECT_FALSE(this->state.Restore("no snapshot"));
  EXPECT_EQ(this->state.Config().version, 0U);
}

TEST_F(FleetStateTest, Configure_LowerVersion_ChangesNothing) {
  this->Configure(4);
  this->Configure(3);
  EXPECT_EQ(this->state.Config().version, 4U);
}

TEST_F(FleetStateTest, QueueForCall_TwoPrefixesMatch_LongestWins) {
  this->Configure(1);
  const QueueTable& queues = this->state.Queues();
  EXPECT_EQ(queues.ForCall("host", "/a/b/id")->name, "/a/b/");
  EXPECT_EQ(queues.ForCall("host", "/a/id")->name, "/a/");
  EXPECT_EQ(queues.ForCall("other", "/a/id"), nullptr);
}

// Guards against a leader that doesn't know which starts of the one before it
// may still be executed, and against records of them that pile up.
TEST_F(FleetStateTest, LateStart_LoggedAndRestored_IsKeptForItsTime) {
  const auto add = [this](std::uint32_t run, std::int64_t at_ms) {
    Batch batch;
    batch.commands.push_back(std::make_unique<Command>());
    batch.commands[0]->late_start = std::make_unique<RunStart>();
    batch.commands[0]->late_start->job = "job";
    batch.commands[0]->late_start->run = run;
    batch.commands[0]->late_start->at_ms = at_ms;
    this->state.Apply(*DecodeBatch(EncodeBatch(batch)));
  };
  add(1, 1'000'000);
  add(2, 1'020'000);
  ASSERT_TRUE(this->state.Restore(this->state.Snapshot()));
  ASSERT_EQ(this->state.LateStarts().size(), 2U);
  EXPECT_EQ(this->state.LateStarts()[1].run, 2U);
  add(3, 1'040'000);
  ASSERT_EQ(this->state.LateStarts().size(), 2U);
  EXPECT_EQ(this->state.LateStarts()[0].run, 2U);
  for (std::uint32_t run = 0; run < 30'000; ++run) {
    add(run, 1'040'000);
  }
  EXPECT_EQ(this->state.LateStarts().size(), this->state.limits().late_starts);
}

// Guards against an accepted job that nothing ever runs (LOST): the log has a
// version without its queue before it.
TEST_F(FleetStateTest, Accept_ConfigurationLacksTheQueue_JobIsNotStored) {
  this->Configure(1);
  Command command;
  command.configuration = MakeConfiguration(2);
  command.configuration->queues.pop_back();
  this->state.Apply(command);
  this->Accept("job", {MakeStep(1, 1'000)});
  EXPECT_EQ(this->state.FindJob("job"), nullptr);
  EXPECT_TRUE(this->state.OpenJobs().empty());
  this->Configure(3);
  EXPECT_EQ(this->state.FindJob("job"), nullptr);
}

/// A job with one task in a queue that changes.
class FleetStateQueueChangeTest : public FleetStateTest {
 protected:
  FleetStateQueueChangeTest() {
    this->Configure("queue", "/q/");
    this->Accept("job", {MakeStep(1, 100)});
  }

  /// Applies a configuration with one queue, which allows two attempts.
  void Configure(const std::string& name, const std::string& prefix) {
    Command command;
    command.configuration = MakeConfiguration(++this->version);
    command.configuration->queues.erase(
        command.configuration->queues.begin() + 1,
        command.configuration->queues.end());
    Queue& queue = *command.configuration->queues[0];
    queue.name = name;
    queue.path_prefix = prefix;
    queue.max_attempts = 2;
    this->state.Apply(command);
  }

  void FailRun(std::uint32_t run) {
    this->Start("job", 0, run);
    this->End("job", 0, run, RunOutcome::kFailed);
  }

  /// Replaces the state by its copy, as at a restart.
  void Restart() {
    const std::string snapshot = this->state.Snapshot();
    ASSERT_TRUE(this->state.Restore(snapshot));
    EXPECT_EQ(this->state.Snapshot(), snapshot);
  }

  std::uint64_t version = 0;
};

// Guards against a job that is failed after one of its attempts: its queue is
// out of the configuration when the run fails.
TEST_F(FleetStateQueueChangeTest, RunFails_QueueIsRemoved_AttemptsRemain) {
  this->Configure("other", "/o/");
  this->FailRun(1);
  EXPECT_EQ(this->state.FindJob("job")->phase, JobPhase::kRunning);
  this->Configure("queue", "/q/");
  this->FailRun(2);
  EXPECT_EQ(this->state.FindJob("job")->phase, JobPhase::kFailed);
}

// Guards against the same after a restart, which knows the configuration of the
// moment only.
TEST_F(FleetStateQueueChangeTest, RunFails_QueueIsRemoved_RestartKeepsLimit) {
  this->Configure("other", "/o/");
  this->Restart();
  this->FailRun(1);
  EXPECT_EQ(this->state.FindJob("job")->phase, JobPhase::kRunning);
  this->FailRun(2);
  EXPECT_EQ(this->state.FindJob("job")->phase, JobPhase::kFailed);
}

// Guards against daemons that disagree on the queue of a job: one has followed
// each change, the other has restarted between them.
TEST_F(FleetStateQueueChangeTest, QueueChangesTwice_RestartKeepsHolder) {
  this->Configure("renamed", "/q/");
  this->Restart();
  this->Configure("renamed", "/moved/");
  this->Restart();
  const auto& queue = this->state.FindJob("job")->queue;
  ASSERT_NE(queue, nullptr);
  EXPECT_EQ(queue->path_prefix, "/moved/");
  EXPECT_EQ(this->state.UnstartedJobs(*queue), 1U);
  EXPECT_TRUE(this->state.JobsOfRemovedQueues().empty());
}

// Guards against a count of waiting jobs that stays with the queue's old name.
TEST_F(FleetStateQueueChangeTest, QueueRenamed_WaitingJobsCountForIt) {
  this->Configure("renamed", "/q/");
  const Queue* queue = this->state.Queues().ForCall("host", "/q/");
  EXPECT_EQ(this->state.UnstartedJobs(*queue), 1U);
  this->Start("job", 0, 1);
  EXPECT_EQ(this->state.UnstartedJobs(*queue), 1U);
  this->Begin("job");
  EXPECT_EQ(this->state.UnstartedJobs(*queue), 0U);
}

// Guards against waiting jobs that are left out (MIXED): the start of a task is
// logged, and its worker ends before it has begun the task.
TEST_F(FleetStateQueueChangeTest, StartIsLost_JobStillWaits) {
  const Queue* queue = this->state.Queues().ForCall("host", "/q/");
  for (const RunOutcome outcome :
       {RunOutcome::kLost, RunOutcome::kLeaseExpired, RunOutcome::kStopped}) {
    this->Start("job", 0, 1);
    this->End("job", 0, 1, outcome);
    EXPECT_EQ(this->state.UnstartedJobs(*queue), 1U);
    EXPECT_EQ(this->state.FindJob("job")->phase, JobPhase::kQueued);
  }
  this->Restart();
  queue = this->state.Queues().ForCall("host", "/q/");
  EXPECT_EQ(this->state.UnstartedJobs(*queue), 1U);
}

// Guards against a job that waits again once it has begun: its run is lost, the
// queue is renamed, the daemon restarts, or the same is recorded twice.
TEST_F(FleetStateQueueChangeTest, JobHasBegun_RunIsLost_DoesNotWaitAgain) {
  this->Start("job", 0, 1);
  this->Begin("job");
  this->End("job", 0, 1, RunOutcome::kLost);
  this->Begin("job");
  this->Configure("renamed", "/q/");
  this->Restart();
  const Queue* queue = this->state.Queues().ForCall("host", "/q/");
  EXPECT_EQ(this->state.UnstartedJobs(*queue), 0U);
  EXPECT_EQ(this->state.FindJob("job")->phase, JobPhase::kRunning);
}

// Guards against jobs of an earlier release's log that wait for ever: it has no
// record of a begun job.
TEST_F(FleetStateQueueChangeTest, RunHasFailed_JobHasBegun) {
  this->FailRun(1);
  const Queue* queue = this->state.Queues().ForCall("host", "/q/");
  EXPECT_EQ(this->state.UnstartedJobs(*queue), 0U);
  EXPECT_EQ(this->state.FindJob("job")->phase, JobPhase::kRunning);
}

// Guards against a count that turns negative: the record of a begun job follows
// its end in the log.
TEST_F(FleetStateQueueChangeTest, JobIsCancelledBeforeItsRecord_CountHolds) {
  this->Accept("other", {MakeStep(1, 100)});
  Command cancel;
  cancel.cancelled_job = "job";
  this->state.Apply(cancel);
  this->Begin("job");
  const Queue* queue = this->state.Queues().ForCall("host", "/q/");
  EXPECT_EQ(this->state.UnstartedJobs(*queue), 1U);
  EXPECT_EQ(this->state.FindJob("job")->phase, JobPhase::kCancelled);
}

TEST_F(FleetStateTest, FindProblem_UnknownPool_IsNamed) {
  auto configuration = MakeConfiguration(1);
  EXPECT_FALSE(FindProblem(*configuration).has_value());
  configuration->queues[0]->pool = "missing";
  EXPECT_TRUE(FindProblem(*configuration).has_value());
}

TEST_F(FleetStateTest, FindProblem_SamePlaceTwice_IsNamed) {
  auto configuration = MakeConfiguration(1);
  configuration->queues[0]->path_prefix = "/a/b/";
  EXPECT_TRUE(FindProblem(*configuration).has_value());
}

TEST_F(FleetStateTest, FindProblem_TimeoutOfZero_IsNamed) {
  auto configuration = MakeConfiguration(1);
  configuration->queues[0]->timeout_ms = 0;
  EXPECT_TRUE(FindProblem(*configuration).has_value());
}

TEST_F(FleetStateTest, FindProblem_TeamsShareAKey_IsNamed) {
  auto configuration = MakeConfiguration(1);
  for (const char* name : {"one", "two"}) {
    auto team = std::make_unique<Team>();
    team->name = name;
    team->keys = {"shared"};
    configuration->teams.push_back(std::move(team));
  }
  EXPECT_TRUE(FindProblem(*configuration).has_value());
}

TEST_F(FleetStateTest, ParseTaskId_BackAndForth_IsTheSame) {
  const TaskId task{"5c0e7a21d94b36f8", 2, 1, 17};
  EXPECT_EQ(ParseTaskId(ToString(task)), task);
  EXPECT_FALSE(ParseTaskId("job.1.x.2").has_value());
  EXPECT_FALSE(ParseTaskId("job.1").has_value());
}

}  // namespace
}  // namespace mimosastage::jobs
