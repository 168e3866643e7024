#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "mimosastage/jobs/dispatcher.h"
#include "tests/jobs/support/fake_fleet_leader.h"

namespace mimosastage::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Kind = InstanceRequest::Kind;

/// Load while an availability zone gets no more work. The workers "a-0", "a-1"
/// and so on are in "zone-a", the others in "zone-b".
class DispatcherEvacuationTest : public ::testing::Test {
 protected:
  void SetUp() override {
    this->fleet.AddPool("render");
    this->fleet.AddTeam("crews", 64'000);
  }

  void AddWorkers(const std::string& zone, int workers,
                  std::int64_t millicores = 4'000) {
    for (int i = 0; i < workers; ++i) {
      this->fleet.AddWorker(zone + "-" + std::to_string(i), "render",
                            millicores, "zone-" + zone);
    }
  }

  void StartTerm() {
    this->fleet.BeginTerm();
    this->Advance(milliseconds(500));
  }

  static TaskId TaskOf(const std::string& job, std::uint32_t index = 0,
                       std::uint32_t step = 0) {
    return TaskId{job, 0, step, index};
  }

  static Step LastingStep(std::uint32_t tasks, std::uint32_t may_miss) {
    Step step = MakeStep(tasks, 1'000);
    step.long_running = true;
    step.may_miss = may_miss;
    step.most_per_worker = 1;
    return step;
  }

  /// Advances, answers requests for the list of instances, and carries out the
  /// other requests without any effect on the workers.
  void Advance(milliseconds time) {
    for (milliseconds passed{0}; passed < time; passed += milliseconds(10)) {
      this->fleet.Advance(milliseconds(10));
      for (InstanceRequest& request :
           std::exchange(this->fleet.instance_requests, {})) {
        InstanceReply reply;
        reply.number = request.number;
        reply.result = InstanceReply::Result::kOk;
        if (request.kind == Kind::kList) {
          reply.instances = this->off;
          for (const auto& [id, worker] : this->fleet.workers) {
            reply.instances.push_back(InstanceListEntry{
                worker.record.machine, worker.record.pool, InstanceStatus::kUp,
                id, worker.record.availability_zone});
          }
        } else if (this->refuses_requests) {
          reply.result = InstanceReply::Result::kBusy;
        }
        if (request.kind == Kind::kMove) {
          this->moves[request.instance] = request.pool;
        } else if (request.kind == Kind::kUpkeep) {
          this->upkeeps.insert(request.instance);
        }
        this->fleet.dispatcher->OnInstanceReply(reply, this->fleet.now);
      }
    }
  }

  /// Number of tasks that run on the workers of the zone.
  std::size_t RunningIn(const std::string& zone) const {
    std::size_t count = 0;
    for (const auto& [id, worker] : this->fleet.workers) {
      count += id.starts_with(zone) ? worker.running.size() : 0;
    }
    return count;
  }

  /// Number of starts that were proposed for workers of the zone.
  std::size_t ProposedIn(const std::string& zone) const {
    return static_cast<std::size_t>(std::count_if(
        this->fleet.proposed_starts.begin(), this->fleet.proposed_starts.end(),
        [&](const RunStart& start) { return start.worker.starts_with(zone); }));
  }

  void StartWave(std::vector<std::string> instances) {
    Command command;
    command.wave = std::make_unique<Wave>();
    command.wave->number = 1;
    command.wave->most_at_once = 10;
    command.wave->machines = std::move(instances);
    command.wave->accepted_ms = this->fleet.wall.count();
    this->fleet.state.Apply(command);
  }

  FakeFleetLeader fleet;
  /// Instances that are switched off.
  std::vector<InstanceListEntry> off;
  std::map<std::string, std::string> moves;
  std::set<std::string> upkeeps;
  bool refuses_requests = false;
};

// Guards against starts in the zone once its evacuation is acknowledged: its
// workers come first, because they are the fullest.
TEST_F(DispatcherEvacuationTest, Evacuate_TasksWait_StartInTheOtherZone) {
  this->AddWorkers("a", 1);
  this->AddWorkers("b", 1);
  this->StartTerm();
  this->fleet.Submit("first", "render", {MakeStep(1, 1'000)});
  this->Advance(milliseconds(100));
  const bool in_a = this->RunningIn("a") == 1;
  const std::string zone = in_a ? "a" : "b";
  this->fleet.Evacuate("zone-" + zone);
  this->fleet.Submit("second", "render", {MakeStep(6, 1'000)});
  this->Advance(seconds(2));
  EXPECT_EQ(this->RunningIn(zone), 1U) << "what runs there goes on";
  EXPECT_EQ(this->RunningIn(in_a ? "b" : "a"), 4U);
  this->fleet.WithdrawEvacuation("zone-" + zone);
  this->Advance(milliseconds(200));
  EXPECT_EQ(this->fleet.RunningTasks(), 7U);
}

// Guards against work that ignores the evacuation: each kind of step that is
// placed by other rules than the order of workers.
TEST_F(DispatcherEvacuationTest, Evacuate_EachKindOfStep_StaysOutOfTheZone) {
  this->AddWorkers("a", 2);
  this->AddWorkers("b", 2);
  for (int i = 0; i < 2; ++i) {
    const std::string id = "a-" + std::to_string(i);
    Command command;
    this->fleet.workers.at(id).record.labels = {"kind", "rack-a"};
    command.worker =
        std::make_unique<Worker>(this->fleet.workers.at(id).record);
    this->fleet.state.Apply(command);
  }
  this->StartTerm();
  this->fleet.Evacuate("zone-a");
  Step gang = MakeStep(2, 2'000);
  gang.gang = true;
  Step large_gang = MakeStep(3, 3'000);
  large_gang.gang = true;
  Step apart = MakeStep(3, 100);
  apart.most_per_worker = 1;
  Step near_data = MakeStep(1, 100);
  near_data.data_rack = "rack-a";
  Step labelled = MakeStep(1, 100);
  labelled.required_label = "rack-a";
  Step filler = MakeStep(1, 100);
  filler.filler = true;
  this->fleet.Submit("gang", "render", {gang});
  this->fleet.Submit("large_gang", "render", {large_gang});
  this->fleet.Submit("apart", "render", {apart});
  this->fleet.Submit("near_data", "render", {near_data});
  this->fleet.Submit("labelled", "render", {labelled});
  this->fleet.Submit("filler", "render", {filler});
  this->fleet.Submit("lasting", "render", {LastingStep(3, 1)});
  this->Advance(seconds(2));
  EXPECT_EQ(this->ProposedIn("a"), 0U);
  EXPECT_EQ(this->fleet.JobOf("gang").active_runs, 2U);
  EXPECT_EQ(this->fleet.JobOf("large_gang").active_runs, 0U);
  EXPECT_EQ(this->fleet.WorkersOf(TaskOf("near_data")).size(), 1U);
  EXPECT_TRUE(this->fleet.WorkersOf(TaskOf("labelled")).empty());
  EXPECT_EQ(this->fleet.JobOf("apart").active_runs, 2U);
  EXPECT_EQ(this->fleet.JobOf("lasting").active_runs, 2U);
}

// Guards against approvals that are asked for workers that get no work.
TEST_F(DispatcherEvacuationTest, Evacuate_AdviceIsAsked_NamesOtherZonesOnly) {
  this->fleet.AddPool("advised", false, true);
  this->fleet.AddWorker("a-0", "advised", 4'000, "zone-a");
  this->fleet.AddWorker("b-0", "advised", 4'000, "zone-b");
  this->StartTerm();
  this->fleet.Evacuate("zone-a");
  this->fleet.Submit("job", "advised", {MakeStep(1, 1'000)});
  this->Advance(milliseconds(100));
  ASSERT_EQ(this->fleet.advice_requests.size(), 1U);
  EXPECT_EQ(this->fleet.advice_requests[0].workers,
            std::vector<std::string>{"b-0"});
}

// Guards against a task that may crash its worker and is tried in the zone.
TEST_F(DispatcherEvacuationTest, Evacuate_TaskIsImplicated_RunsElsewhere) {
  this->AddWorkers("a", 3);
  this->AddWorkers("b", 2);
  this->StartTerm();
  this->fleet.crashing.insert(TaskOf("bad"));
  this->fleet.Submit("bad", "render", {MakeStep(1, 1'000)});
  this->Advance(milliseconds(100));
  ASSERT_EQ(this->fleet.crashes, 1);
  this->fleet.Evacuate("zone-a");
  const std::size_t before = this->ProposedIn("a");
  this->Advance(seconds(10));
  EXPECT_EQ(this->ProposedIn("a"), before);
}

// Guards against a start that is sent to the zone after the evacuation, because
// it was logged before.
TEST_F(DispatcherEvacuationTest, Evacuate_StartWaitsForTheLog_IsNeverSent) {
  this->AddWorkers("a", 1);
  this->StartTerm();
  this->fleet.log_stalled = true;
  this->fleet.Submit("job", "render", {MakeStep(1, 1'000)});
  this->Advance(milliseconds(100));
  ASSERT_EQ(this->ProposedIn("a"), 1U);
  this->fleet.Evacuate("zone-a");
  this->fleet.log_stalled = false;
  this->Advance(seconds(1));
  EXPECT_TRUE(this->fleet.starts.empty());
  EXPECT_EQ(this->fleet.JobOf("job").active_runs, 0U);
}

// Guards against a start that is repeated in the zone, or that stays there as a
// copy which is executed late.
TEST_F(DispatcherEvacuationTest, Evacuate_StartIsUnanswered_IsStopped) {
  this->AddWorkers("a", 1);
  this->AddWorkers("b", 1);
  this->StartTerm();
  std::optional<WorkerOrder> start;
  int copies = 0;
  this->fleet.hold_back = [&](const WorkerOrder& order) {
    if (order.worker != "a-0" ||
        !std::holds_alternative<StartOrder>(order.body)) {
      return false;
    }
    start = order;
    ++copies;
    return true;
  };
  this->fleet.workers.at("b-0").record.capacity->millicores = 0;
  this->fleet.Announce("b-0");
  this->fleet.Submit("job", "render", {MakeStep(1, 1'000)});
  this->Advance(milliseconds(100));
  ASSERT_EQ(copies, 1);
  this->fleet.Evacuate("zone-a");
  this->Advance(seconds(3));
  EXPECT_EQ(copies, 1);
  EXPECT_EQ(this->fleet.reports["run_stopped"], 1);
  EXPECT_EQ(this->fleet.JobOf("job").active_runs, 0U);
  this->fleet.ExecuteHeldBack(*start, false);
  EXPECT_EQ(this->RunningIn("a"), 0U) << "the worker refuses the late copy";
}

// Guards against a start that is withdrawn although it was carried out before
// the evacuation.
TEST_F(DispatcherEvacuationTest, Evacuate_StartIsAnsweredLater_TaskGoesOn) {
  this->AddWorkers("a", 1);
  this->StartTerm();
  this->fleet.Submit("job", "render", {MakeStep(1, 1'000)});
  this->fleet.Advance(milliseconds(10));
  this->fleet.Evacuate("zone-a");
  this->Advance(seconds(3));
  EXPECT_LE(this->fleet.starts.size(), 1U);
  EXPECT_EQ(this->RunningIn("a"), this->fleet.starts.size());
}

// Guards against a leader that places tasks in the zone because it doesn't know
// the evacuation which its predecessor has acknowledged.
TEST_F(DispatcherEvacuationTest, NewTerm_ZoneIsEvacuated_NothingStartsThere) {
  this->AddWorkers("a", 2);
  this->StartTerm();
  this->fleet.Evacuate("zone-a");
  ASSERT_TRUE(this->fleet.state.Restore(this->fleet.state.Snapshot()));
  this->StartTerm();
  this->fleet.Submit("job", "render", {MakeStep(1, 1'000)});
  this->Advance(seconds(1));
  EXPECT_EQ(this->ProposedIn("a"), 0U);
  this->fleet.AddWorker("a-joins", "render", 4'000, "zone-a");
  this->Advance(seconds(1));
  EXPECT_EQ(this->ProposedIn("a"), 0U) << "a worker that joins later";
  this->fleet.AddWorker("b-joins", "render", 4'000, "zone-b");
  this->Advance(seconds(1));
  EXPECT_EQ(this->RunningIn("b"), 1U);
}

// Guards against a worker that gets work although it has announced itself in
// the zone, and one that gets none after it has named another zone.
TEST_F(DispatcherEvacuationTest, WorkerNamesAnotherZone_ThatOneCounts) {
  this->AddWorkers("b", 1);
  this->StartTerm();
  this->fleet.Evacuate("zone-a");
  Worker& record = this->fleet.workers.at("b-0").record;
  record.availability_zone = "zone-a";
  this->fleet.dispatcher->Announce(record, 2, this->fleet.now, [] {});
  this->fleet.Submit("job", "render", {MakeStep(1, 1'000)});
  this->Advance(milliseconds(500));
  EXPECT_EQ(this->RunningIn("b"), 0U);
  record.availability_zone = "zone-b";
  this->fleet.dispatcher->Announce(record, 3, this->fleet.now, [] {});
  this->Advance(milliseconds(500));
  EXPECT_EQ(this->RunningIn("b"), 1U);
}

// Guards against work that is stopped, or started, while no zone may get any.
TEST_F(DispatcherEvacuationTest, Evacuate_AllZones_NothingStopsOrStarts) {
  this->AddWorkers("a", 2);
  this->AddWorkers("b", 2);
  this->StartTerm();
  this->fleet.Submit("lasting", "render", {LastingStep(4, 2)});
  this->fleet.Submit("short", "render", {MakeStep(4, 1'000)});
  this->Advance(milliseconds(500));
  ASSERT_EQ(this->fleet.RunningTasks(), 8U);
  this->fleet.Evacuate("zone-a");
  this->fleet.Evacuate("zone-b");
  const std::size_t starts = this->fleet.starts.size();
  this->fleet.Submit("later", "render", {MakeStep(1, 1'000)});
  this->Advance(seconds(6));
  EXPECT_EQ(this->fleet.RunningTasks(), 8U);
  EXPECT_EQ(this->fleet.starts.size(), starts);
  EXPECT_EQ(this->fleet.reports["run_stopped"], 0);
  this->fleet.WithdrawEvacuation("zone-b");
  this->Advance(milliseconds(300));
  EXPECT_EQ(this->fleet.WorkersOf(TaskOf("later")).size(), 1U);
}

// Guards against a drain that stops several tasks of a step at once, or more
// than its step allows, and against short tasks that it stops.
TEST_F(DispatcherEvacuationTest, Drain_RoomElsewhere_MovesOneTaskAtATime) {
  this->AddWorkers("a", 3);
  this->StartTerm();
  this->fleet.Submit("lasting", "render", {LastingStep(3, 2)});
  this->fleet.Submit("fixed", "render", {LastingStep(2, 0)});
  this->fleet.Submit("short", "render", {MakeStep(2, 1'000)});
  this->Advance(milliseconds(500));
  ASSERT_EQ(this->RunningIn("a"), 7U);
  for (int i = 0; i < 3; ++i) {
    this->fleet.AddWorker("b-" + std::to_string(i), "render", 4'000, "zone-b");
  }
  this->Advance(milliseconds(500));
  this->fleet.Evacuate("zone-a");
  std::size_t least = 3;
  for (int i = 0; i < 500; ++i) {
    this->Advance(milliseconds(10));
    std::size_t running = 0;
    for (std::uint32_t task = 0; task < 3; ++task) {
      running += this->fleet.WorkersOf(TaskOf("lasting", task)).size();
    }
    least = std::min(least, running);
  }
  EXPECT_EQ(least, 2U);
  for (std::uint32_t task = 0; task < 3; ++task) {
    const auto workers = this->fleet.WorkersOf(TaskOf("lasting", task));
    ASSERT_EQ(workers.size(), 1U);
    EXPECT_TRUE(workers[0].starts_with("b")) << workers[0];
  }
  EXPECT_EQ(this->fleet.reports["evacuation_task_moved"], 3);
  EXPECT_EQ(this->fleet.reports["run_stopped"], 3);
  EXPECT_EQ(this->RunningIn("a"), 4U) << "\"fixed\" and \"short\" go on";
}

// Guards against a task that is stopped and then waits: no worker of the other
// zone has room, holds few enough tasks of the step, or has the label.
TEST_F(DispatcherEvacuationTest, Drain_NoRoomElsewhere_StopsNothing) {
  this->AddWorkers("a", 1);
  this->AddWorkers("b", 1);
  this->StartTerm();
  this->fleet.Submit("apart", "render", {LastingStep(2, 2)});
  this->Advance(milliseconds(500));
  ASSERT_EQ(this->RunningIn("a"), 1U);
  this->fleet.Evacuate("zone-a");
  this->Advance(seconds(3));
  EXPECT_EQ(this->fleet.reports["run_stopped"], 0);
  this->fleet.AddWorker("b-full", "render", 500, "zone-b");
  this->Advance(seconds(2));
  EXPECT_EQ(this->fleet.reports["run_stopped"], 0);
  this->fleet.AddWorker("b-free", "render", 4'000, "zone-b");
  this->Advance(seconds(2));
  EXPECT_EQ(this->fleet.reports["run_stopped"], 1);
  EXPECT_EQ(this->RunningIn("a"), 0U);
  EXPECT_EQ(this->fleet.workers.at("b-free").running.size(), 1U);
}

// Guards against tasks of two steps that are stopped for the same room.
TEST_F(DispatcherEvacuationTest, Drain_RoomForOne_StopsOne) {
  this->AddWorkers("a", 1);
  this->StartTerm();
  this->fleet.Submit("one", "render", {LastingStep(1, 1)});
  this->fleet.Submit("two", "render", {LastingStep(1, 1)});
  this->Advance(milliseconds(500));
  ASSERT_EQ(this->RunningIn("a"), 2U);
  this->fleet.AddWorker("b-0", "render", 1'500, "zone-b");
  this->Advance(milliseconds(500));
  this->fleet.Evacuate("zone-a");
  this->Advance(seconds(3));
  EXPECT_EQ(this->fleet.reports["run_stopped"], 1);
  EXPECT_EQ(this->RunningIn("a"), 1U);
  EXPECT_EQ(this->RunningIn("b"), 1U);
}

// Guards against room that is given again while the task it is meant for is
// still being stopped.
TEST_F(DispatcherEvacuationTest, Drain_StopIsUnanswered_RoomIsGivenOnce) {
  this->AddWorkers("a", 1);
  this->StartTerm();
  this->fleet.Submit("one", "render", {LastingStep(1, 1)});
  this->fleet.Submit("two", "render", {LastingStep(1, 1)});
  this->Advance(milliseconds(500));
  this->fleet.AddWorker("b-0", "render", 1'500, "zone-b");
  this->Advance(milliseconds(500));
  this->fleet.hold_back = [](const WorkerOrder& order) {
    return std::holds_alternative<StopOrder>(order.body);
  };
  this->fleet.Evacuate("zone-a");
  this->Advance(seconds(2));
  EXPECT_EQ(this->fleet.reports["run_stopped"], 1);
  EXPECT_EQ(this->RunningIn("a"), 2U);
}

// Guards against a gang that ends as a whole because one of its members was
// stopped.
TEST_F(DispatcherEvacuationTest, Drain_LongRunningGang_IsLeftAlone) {
  this->AddWorkers("a", 2);
  this->StartTerm();
  Step gang = LastingStep(2, 1);
  gang.gang = true;
  this->fleet.Submit("gang", "render", {gang});
  this->Advance(milliseconds(500));
  ASSERT_EQ(this->RunningIn("a"), 2U);
  this->fleet.AddWorker("b-0", "render", 4'000, "zone-b");
  this->fleet.AddWorker("b-1", "render", 4'000, "zone-b");
  this->Advance(milliseconds(500));
  this->fleet.Evacuate("zone-a");
  this->Advance(seconds(3));
  EXPECT_EQ(this->RunningIn("a"), 2U);
}

// Guards against a task that is stopped and can't start again, because its team
// is above a limit that was lowered.
TEST_F(DispatcherEvacuationTest, Drain_TeamIsAboveItsLimit_StopsNothing) {
  this->fleet.AddTeam("small", 1'500);
  this->AddWorkers("a", 1);
  this->StartTerm();
  this->fleet.Submit("lasting", "render", {LastingStep(1, 1)}, "small");
  this->Advance(milliseconds(500));
  ASSERT_EQ(this->RunningIn("a"), 1U);
  Command lower;
  lower.configuration =
      std::make_unique<Configuration>(this->fleet.state.Config());
  ++lower.configuration->version;
  for (auto& team : lower.configuration->teams) {
    team->upper_limit->millicores = 500;
  }
  this->fleet.state.Apply(lower);
  this->fleet.dispatcher->OnChange("", this->fleet.now);
  this->fleet.AddWorker("b-0", "render", 4'000, "zone-b");
  this->Advance(milliseconds(500));
  this->fleet.Evacuate("zone-a");
  this->Advance(seconds(2));
  EXPECT_EQ(this->RunningIn("a"), 1U);
}

// Guards against tasks that are stopped by each leader anew, before it knows
// which others of their step run.
TEST_F(DispatcherEvacuationTest, Drain_TermsChange_StaysWithinMayMiss) {
  this->AddWorkers("a", 4);
  this->StartTerm();
  this->fleet.Submit("lasting", "render", {LastingStep(4, 1)});
  this->Advance(milliseconds(500));
  for (int i = 0; i < 4; ++i) {
    this->fleet.AddWorker("b-" + std::to_string(i), "render", 4'000, "zone-b");
  }
  this->Advance(milliseconds(300));
  this->fleet.Evacuate("zone-a");
  for (int i = 0; i < 300; ++i) {
    this->Advance(milliseconds(10));
    if (i % 37 == 36) {
      this->fleet.BeginTerm();
    }
    ASSERT_GE(this->fleet.RunningTasks(), 3U) << i;
  }
  this->Advance(seconds(3));
  EXPECT_EQ(this->RunningIn("b"), 4U);
}

// Guards against a wave that waits for the end of an evacuation, and against
// one that empties the workers which still get work because those of the zone
// count as the pool's share.
TEST_F(DispatcherEvacuationTest, Upkeep_ZoneIsEvacuated_GoesOnThere) {
  this->refuses_requests = true;
  this->AddWorkers("a", 6);
  this->AddWorkers("b", 2);
  this->StartTerm();
  this->Advance(seconds(4));
  this->fleet.Submit("short", "render", {MakeStep(32, 1'000)});
  this->Advance(milliseconds(300));
  ASSERT_EQ(this->fleet.RunningTasks(), 32U);
  this->fleet.Evacuate("zone-a");
  std::vector<std::string> instances;
  for (const auto& [id, worker] : this->fleet.workers) {
    instances.push_back(worker.record.machine);
  }
  this->StartWave(instances);
  this->Advance(seconds(8));
  EXPECT_GE(this->RunningIn("b"), 4U)
      << "half of the workers that get work go on";
  EXPECT_EQ(this->RunningIn("a"), 0U);
  for (int i = 0; i < 6; ++i) {
    EXPECT_TRUE(this->upkeeps.contains("machine-a-" + std::to_string(i))) << i;
  }
  EXPECT_EQ(this->upkeeps.size(), 7U) << "one of the others is emptied, too";
}

// Guards against short tasks of the zone that are stopped at once for an
// upkeep, as those of a pool's only worker are, whose others wait for it.
TEST_F(DispatcherEvacuationTest, Upkeep_OneWorkerGetsWork_ShortTasksMayEnd) {
  this->refuses_requests = true;
  this->AddWorkers("a", 1);
  this->StartTerm();
  this->fleet.Submit("short", "render", {MakeStep(1, 1'000)});
  this->Advance(seconds(4));
  this->fleet.AddWorker("b-0", "render", 4'000, "zone-b");
  this->fleet.Evacuate("zone-a");
  this->StartWave({"machine-a-0"});
  this->Advance(seconds(2));
  EXPECT_EQ(this->fleet.reports["run_stopped"], 0);
  this->Advance(seconds(1));
  EXPECT_EQ(this->fleet.reports["run_stopped"], 1);
}

// Guards against upkeep that waits for the end of the evacuations, because no
// worker that gets work would be left.
TEST_F(DispatcherEvacuationTest, Upkeep_AllZonesAreEvacuated_GoesOn) {
  this->refuses_requests = true;
  this->AddWorkers("a", 2);
  this->StartTerm();
  this->Advance(seconds(4));
  this->fleet.Submit("job", "render", {MakeStep(1, 1'000)});
  this->Advance(milliseconds(300));
  this->fleet.Evacuate("zone-a");
  this->StartWave({"machine-a-0", "machine-a-1"});
  this->Advance(seconds(4));
  EXPECT_EQ(this->upkeeps.size(), 2U);
}

// Guards against an idle instance of the zone that is switched on for a pool,
// and against a pool that gets no replacement for those that it can't use.
TEST_F(DispatcherEvacuationTest, Moves_ZoneIsEvacuated_OthersReplaceIt) {
  this->fleet.AddPool("spare", true);
  for (const char* zone : {"a", "b"}) {
    // Too few of the other zone, so that one of this would be chosen.
    const int count = std::string(zone) == "a" ? 8 : 2;
    for (int i = 0; i < count; ++i) {
      this->off.push_back(InstanceListEntry{
          std::string("off-") + zone + std::to_string(i), "spare",
          InstanceStatus::kUp, "", std::string("zone-") + zone});
    }
  }
  this->AddWorkers("a", 3);
  this->AddWorkers("b", 3);
  this->StartTerm();
  this->fleet.Submit("lasting", "render", {LastingStep(6, 1)});
  this->Advance(seconds(4));
  this->moves.clear();
  this->fleet.Evacuate("zone-a");
  this->Advance(milliseconds(500));
  // The six tasks must run on six workers, of which three remain.
  EXPECT_EQ(this->moves.size(), 2U);
  for (const auto& [instance, pool] : this->moves) {
    EXPECT_TRUE(instance.starts_with("off-b")) << instance;
    EXPECT_EQ(pool, "render");
  }
}

// Guards against instances that are switched on in place of those whose short
// tasks end without them.
TEST_F(DispatcherEvacuationTest, Moves_ShortTasksRunInTheZone_NoneReplacesIt) {
  this->fleet.AddPool("spare", true);
  for (int i = 0; i < 8; ++i) {
    this->off.push_back(InstanceListEntry{"off-" + std::to_string(i), "spare",
                                          InstanceStatus::kUp, "", "zone-b"});
  }
  this->AddWorkers("a", 12);
  this->StartTerm();
  this->fleet.Submit("short", "render", {MakeStep(48, 1'000)});
  this->Advance(milliseconds(500));
  ASSERT_EQ(this->RunningIn("a"), 48U);
  // Until idle instances go to the standby pool.
  this->AddWorkers("b", 6);
  this->Advance(milliseconds(300));
  this->moves.clear();
  this->fleet.Evacuate("zone-a");
  this->Advance(milliseconds(500));
  for (const auto& [instance, pool] : this->moves) {
    EXPECT_EQ(pool, "spare") << instance;
  }
}

// Guards against empty instances of the zone that cost as much as before.
TEST_F(DispatcherEvacuationTest, Moves_InstancesOfTheZoneAreEmpty_GoToStandby) {
  this->fleet.AddPool("spare", true);
  this->AddWorkers("a", 4);
  this->AddWorkers("b", 5);
  this->StartTerm();
  this->fleet.Submit("job", "render", {MakeStep(1, 4'000)});
  this->Advance(seconds(4));
  const bool busy_in_a = this->RunningIn("a") == 1;
  this->moves.clear();
  this->fleet.Evacuate("zone-a");
  this->Advance(milliseconds(300));
  EXPECT_EQ(this->moves.size(), busy_in_a ? 3U : 4U);
  for (const auto& [instance, pool] : this->moves) {
    EXPECT_TRUE(instance.starts_with("machine-a")) << instance;
    EXPECT_EQ(pool, "spare");
  }
}

// Guards against an instance of the zone that joins a pool because an order
// from before the evacuation is repeated.
TEST_F(DispatcherEvacuationTest, Moves_OrderIsUnanswered_IsRedirected) {
  this->fleet.AddPool("spare", true);
  this->off.push_back(
      InstanceListEntry{"off-a", "spare", InstanceStatus::kUp, "", "zone-a"});
  this->AddWorkers("b", 1);
  this->StartTerm();
  std::vector<std::string> targets;
  for (int i = 0; i < 500; ++i) {
    this->fleet.Advance(milliseconds(10));
    for (const InstanceRequest& request :
         std::exchange(this->fleet.instance_requests, {})) {
      InstanceReply reply;
      reply.number = request.number;
      if (request.kind == Kind::kList) {
        reply.result = InstanceReply::Result::kOk;
        reply.instances = this->off;
      } else if (request.kind == Kind::kMove) {
        if (targets.empty()) {
          this->fleet.Evacuate("zone-a");
        }
        targets.push_back(request.pool);
      }
      this->fleet.dispatcher->OnInstanceReply(reply, this->fleet.now);
    }
  }
  ASSERT_GE(targets.size(), 2U);
  EXPECT_EQ(targets[0], "render");
  EXPECT_TRUE(std::all_of(targets.begin() + 1, targets.end(),
                          [](const auto& pool) { return pool == "spare"; }));
}

}  // namespace
}  // namespace mimosastage::jobs
