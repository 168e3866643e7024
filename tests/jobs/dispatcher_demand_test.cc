#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "mimosastage/jobs/dispatcher.h"
#include "tests/jobs/support/fake_fleet_leader.h"

namespace mimosastage::jobs {
namespace {

using std::chrono::milliseconds;

Dispatcher::Config LeadDemand() {
  Dispatcher::Config config;
  config.lead_demand = true;
  return config;
}

/// Ten instances of 16 cores in pool "render" and five in "fold".
class DispatcherDemandTest : public ::testing::Test {
 protected:
  void BeginTerm() {
    this->fleet.AddPool("render");
    this->fleet.AddPool("fold");
    for (int i = 0; i < 15; ++i) {
      this->fleet.AddWorker("worker-" + std::to_string(10 + i),
                            i < 10 ? "render" : "fold", 16'000);
    }
    this->fleet.BeginTerm();
    this->Advance(milliseconds(50));
  }

  /// Also answers the requests for the list of instances.
  void Advance(milliseconds time) {
    for (milliseconds passed{0}; passed < time; passed += milliseconds(10)) {
      this->fleet.Advance(milliseconds(10));
      for (const InstanceRequest& request :
           std::exchange(this->fleet.instance_requests, {})) {
        InstanceReply reply;
        reply.number = request.number;
        reply.result = InstanceReply::Result::kOk;
        if (request.kind == InstanceRequest::Kind::kMove) {
          this->moved_to[request.pool].insert(request.instance);
        }
        for (const auto& [id, worker] : this->fleet.workers) {
          reply.instances.push_back(InstanceListEntry{worker.record.machine,
                                                      worker.record.pool,
                                                      InstanceStatus::kUp, id});
        }
        this->fleet.dispatcher->OnInstanceReply(reply, this->fleet.now);
      }
    }
  }

  const Queue& QueueOf(const std::string& pool) const {
    return *this->fleet.state.Queues().FindByName("queue-" + pool);
  }

  /// Accepts a job of two steps, which needs 40 core-seconds, after each
  /// `interval`. None of its tasks waits.
  void Accept(const std::string& pool, milliseconds time,
              milliseconds interval) {
    JobRequest request;
    for (int i = 0; i < 2; ++i) {
      request.steps.push_back(std::make_unique<Step>(MakeStep(5, 4'000)));
    }
    request.steps[1]->after = {0};
    for (milliseconds passed{0}; passed < time; passed += interval) {
      this->fleet.dispatcher->OnAccepted(request, this->QueueOf(pool),
                                         this->fleet.now);
      this->Advance(interval);
    }
  }

  FakeFleetLeader fleet{LeadDemand()};
  std::map<std::string, std::set<std::string>> moved_to;
};

// Guards against a pool that gets instances only once its tasks wait.
TEST_F(DispatcherDemandTest, ArrivalsRise_NoTaskWaits_PoolGetsInstances) {
  this->BeginTerm();
  this->Accept("fold", milliseconds(4'000), milliseconds(1'000));
  ASSERT_TRUE(this->moved_to.empty());
  this->Accept("fold", milliseconds(600), milliseconds(50));
  // "render" keeps PoolBalancer::Config::min_instances.
  EXPECT_EQ(this->moved_to["fold"].size(), 5U);
  EXPECT_EQ(this->fleet.reports["load_peak_began"], 1);
  this->Advance(milliseconds(1'000));
  EXPECT_EQ(this->fleet.reports["load_peak_ended"], 1);
}

TEST_F(DispatcherDemandTest, ArrivalsRise_FlagIsOff_NothingMoves) {
  this->fleet.config.lead_demand = false;
  this->BeginTerm();
  this->Accept("fold", milliseconds(4'000), milliseconds(1'000));
  this->Accept("fold", milliseconds(600), milliseconds(50));
  EXPECT_TRUE(this->moved_to.empty());
}

// Guards against a forecast of work that has no end or isn't due.
TEST_F(DispatcherDemandTest, LongRunningOrScheduledJobs_ArentForecast) {
  this->BeginTerm();
  this->Accept("fold", milliseconds(4'000), milliseconds(1'000));
  JobRequest lasting;
  lasting.steps.push_back(std::make_unique<Step>(MakeStep(24, 4'000)));
  lasting.steps[0]->long_running = true;
  JobRequest scheduled;
  scheduled.steps.push_back(std::make_unique<Step>(MakeStep(24, 4'000)));
  scheduled.occurrences = 2;
  for (int i = 0; i < 20; ++i) {
    this->fleet.dispatcher->OnAccepted(lasting, this->QueueOf("fold"),
                                       this->fleet.now);
    this->fleet.dispatcher->OnAccepted(scheduled, this->QueueOf("fold"),
                                       this->fleet.now);
    this->Advance(milliseconds(30));
  }
  EXPECT_TRUE(this->moved_to.empty());
}

// A new leader doesn't know the arrivals before its term. It must size the
// pools by their waiting tasks until it does.
TEST_F(DispatcherDemandTest, NewLeaderInAPeak_TasksWait_PoolGetsInstances) {
  this->BeginTerm();
  this->Accept("fold", milliseconds(4'000), milliseconds(1'000));
  this->fleet.BeginTerm();
  this->fleet.Submit("job", "fold", {MakeStep(100, 4'000)});
  this->Advance(milliseconds(1'000));
  EXPECT_EQ(this->moved_to["fold"].size(), 5U);
}

// Guards against released workers that keep their instances for long: after the
// peak, those whose tasks end first take no more of them.
TEST_F(DispatcherDemandTest, PeakEnds_WorkersWhoseTasksEndFirstAreReleased) {
  this->BeginTerm();
  this->Accept("render", milliseconds(4'000), milliseconds(1'000));
  // Each worker has room for one of these tasks.
  Step longer = MakeStep(5, 12'000);
  longer.estimate_ms = 10'000;
  this->fleet.Submit("longer", "render", {longer});
  this->Advance(milliseconds(100));
  Step shorter = MakeStep(5, 12'000);
  shorter.estimate_ms = 3'000;
  this->fleet.Submit("shorter", "render", {shorter});
  this->Accept("render", milliseconds(1'500), milliseconds(50));
  ASSERT_EQ(this->fleet.RunningTasks(), 10U);
  this->Advance(milliseconds(1'200));
  ASSERT_EQ(this->fleet.reports["load_peak_ended"], 1);
  std::set<std::string> busy_for_long;
  for (std::uint32_t i = 0; i < 5; ++i) {
    const auto workers = this->fleet.WorkersOf(TaskId{"longer", 0, 0, i});
    busy_for_long.insert(workers.begin(), workers.end());
  }
  this->fleet.Submit("further", "render", {MakeStep(10, 2'000)});
  this->Advance(milliseconds(200));
  ASSERT_EQ(this->fleet.RunningTasks(), 20U);
  for (std::uint32_t i = 0; i < 10; ++i) {
    for (const std::string& worker :
         this->fleet.WorkersOf(TaskId{"further", 0, 0, i})) {
      EXPECT_TRUE(busy_for_long.contains(worker)) << worker;
    }
  }
}

}  // namespace
}  // namespace mimosastage::jobs
