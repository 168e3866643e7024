#include "mimosastage/jobs/fleet_state.h"

#include <gtest/gtest.h>

#include "mimosastage/jobs/configuration_check.h"
#include "tests/jobs/support/fake_fleet_leader.h"

namespace mimosastage::jobs {
namespace {

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

  static std::unique_ptr<Configuration> MakeConfiguration(
      std::uint64_t version) {
    auto configuration = std::make_unique<Configuration>();
    configuration->version = version;
    auto pool = std::make_unique<Pool>();
    pool->name = "pool";
    configuration->pools.push_back(std::move(pool));
    for (const char* prefix : {"/a/", "/a/b/"}) {
      auto queue = std::make_unique<Queue>();
      queue->name = prefix;
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

TEST_F(FleetStateTest, QueueFor_TwoPrefixesMatch_LongestWins) {
  this->Configure(1);
  EXPECT_EQ(this->state.QueueFor("host", "/a/b/id")->name, "/a/b/");
  EXPECT_EQ(this->state.QueueFor("host", "/a/id")->name, "/a/");
  EXPECT_EQ(this->state.QueueFor("other", "/a/id"), nullptr);
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
