#include "mimosastage/jobs/pool_balancer.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace mimosastage::jobs {
namespace {

using std::chrono::milliseconds;

class PoolBalancerTest : public ::testing::Test {
 protected:
  void AddPool(const std::string& pool, int instances, bool standby = false) {
    this->demands.push_back(PoolDemand{pool, standby, 0, 0});
    for (int i = 0; i < instances; ++i) {
      this->instances.push_back(
          PooledInstance{pool + "-" + std::to_string(i), pool, 16'000, true});
    }
  }

  PoolDemand& DemandOf(const std::string& pool) {
    return *std::find_if(
        this->demands.begin(), this->demands.end(),
        [&](const PoolDemand& row) { return row.pool == pool; });
  }

  std::vector<InstanceMove> PlanAfter(milliseconds time) {
    this->now += time;
    return this->PlanNow().moves;
  }

  PoolPlan PlanNow() {
    return this->balancer.Plan(this->demands, this->instances, this->now);
  }

  static std::size_t MovesTo(const std::vector<InstanceMove>& moves,
                             const std::string& pool) {
    return static_cast<std::size_t>(
        std::count_if(moves.begin(), moves.end(),
                      [&](const auto& move) { return move.to_pool == pool; }));
  }

  std::vector<PoolDemand> demands;
  std::vector<PooledInstance> instances;
  /// The expectations are calculated for these values, independently of the
  /// defaults.
  PoolBalancer balancer{
      PoolBalancer::Config{.min_instances = 6,
                           .idle_before_standby = milliseconds(1'500),
                           .headroom = 0.15}};
  TimePoint now{std::chrono::hours(1)};
};

// Under a load where one queue rises to five times its mean while the others
// are idle, tasks miss their objective unless instances are moved.
TEST_F(PoolBalancerTest, Plan_LoadPeakInOnePool_TakesIdleInstancesOfTheOthers) {
  this->AddPool("sheets", 9);
  this->AddPool("folders", 12);
  this->AddPool("spare", 8, true);
  this->DemandOf("sheets").used_millicores = 144'000;
  this->DemandOf("sheets").waiting_millicores = 100'000;
  const auto moves = this->PlanAfter(milliseconds(0));
  // 244 cores plus headroom need 18 instances of 16 cores.
  EXPECT_EQ(MovesTo(moves, "sheets"), 9U);
}

TEST_F(PoolBalancerTest, Plan_MovesInProgress_AreNotOrderedAgain) {
  this->AddPool("sheets", 9);
  this->AddPool("spare", 8, true);
  this->DemandOf("sheets").used_millicores = 144'000;
  this->DemandOf("sheets").waiting_millicores = 16'000;
  EXPECT_EQ(MovesTo(this->PlanAfter(milliseconds(0)), "sheets"), 3U);
  EXPECT_TRUE(this->PlanAfter(milliseconds(100)).empty());
}

TEST_F(PoolBalancerTest, Plan_PoolIsIdle_IdleInstancesGoToStandby) {
  this->AddPool("sheets", 9);
  this->AddPool("spare", 0, true);
  EXPECT_TRUE(this->PlanAfter(milliseconds(0)).empty());
  EXPECT_TRUE(this->PlanAfter(milliseconds(1'000)).empty());
  EXPECT_EQ(MovesTo(this->PlanAfter(milliseconds(600)), "spare"), 3U);
}

TEST_F(PoolBalancerTest, Plan_InstancesAreBusy_NoneIsMoved) {
  this->AddPool("sheets", 9);
  this->AddPool("folders", 12);
  for (PooledInstance& instance : this->instances) {
    instance.empty = false;
  }
  this->DemandOf("sheets").used_millicores = 144'000;
  this->DemandOf("sheets").waiting_millicores = 100'000;
  EXPECT_TRUE(this->PlanAfter(milliseconds(0)).empty());
}

// Guards against a balancer that counts CPU only: tasks of some queues exhaust
// the memory of an instance before its CPU, and the pool would get half of the
// instances that it needs.
TEST_F(PoolBalancerTest, Plan_MemoryIsTheBottleneck_CountsByMemory) {
  this->AddPool("sheets", 6);
  this->AddPool("spare", 12, true);
  for (PooledInstance& instance : this->instances) {
    instance.memory_mb = 64'000;
  }
  this->DemandOf("sheets").used_millicores = 48'000;
  this->DemandOf("sheets").used_memory_mb = 384'000;
  this->DemandOf("sheets").waiting_memory_mb = 256'000;
  // The memory of ten instances plus headroom.
  EXPECT_EQ(MovesTo(this->PlanAfter(milliseconds(0)), "sheets"), 6U);
}

// Guards against tasks that never run: if the pool keeps only its minimum
// number of instances, three of the eight tasks of a long-running job that
// allows one task per worker have no instance.
TEST_F(PoolBalancerTest, Plan_TasksMustRunApart_PoolHasAnInstanceForEach) {
  this->AddPool("sheets", 6);
  this->AddPool("spare", 12, true);
  this->DemandOf("sheets").used_millicores = 9'000;
  this->DemandOf("sheets").instances_for_anti_affine_tasks = 8;
  EXPECT_EQ(MovesTo(this->PlanAfter(milliseconds(0)), "sheets"), 2U);
}

// Guards against a pool that keeps its instances for a late backlog after its
// load peak, while the pool that has the next peak can't be in time.
TEST_F(PoolBalancerTest, Plan_LateBacklogInOnePool_InstancesGoToWorkInTime) {
  this->AddPool("sheets", 9);
  this->AddPool("folders", 20);
  PoolDemand& folders = this->DemandOf("folders");
  folders.used_millicores = 240'000;
  folders.waiting_millicores = 900'000;
  folders.late_millicores = 1'130'000;
  for (std::size_t i = 9; i < 24; ++i) {
    this->instances[i].empty = false;
  }
  this->DemandOf("sheets").used_millicores = 144'000;
  this->DemandOf("sheets").waiting_millicores = 100'000;
  const PoolPlan plan = this->PlanNow();
  // The pool of the late work has five empty instances; four more are missing.
  EXPECT_EQ(MovesTo(plan.moves, "sheets"), 5U);
  EXPECT_EQ(plan.releases,
            (std::map<std::string, std::size_t>{{"folders", 4}}));
}

// Guards against late work that never runs although instances are free.
TEST_F(PoolBalancerTest, Plan_OnlyLateWorkWaits_GetsIdleInstances) {
  this->AddPool("sheets", 9);
  this->AddPool("folders", 12);
  PoolDemand& folders = this->DemandOf("folders");
  folders.waiting_millicores = 200'000;
  folders.late_millicores = 200'000;
  const PoolPlan plan = this->PlanNow();
  // 200 cores plus headroom need 15 instances of 16 cores.
  EXPECT_EQ(MovesTo(plan.moves, "folders"), 3U);
  EXPECT_TRUE(plan.releases.empty());
}

TEST_F(PoolBalancerTest, Plan_OtherPoolAtItsMinimum_KeepsIt) {
  this->AddPool("sheets", 9);
  this->AddPool("folders", 6);
  this->DemandOf("sheets").used_millicores = 144'000;
  this->DemandOf("sheets").waiting_millicores = 100'000;
  EXPECT_TRUE(this->PlanAfter(milliseconds(0)).empty());
}

// Guards against a pool that stays short because instances that get no work
// count as its capacity, and against such instances as replacements.
TEST_F(PoolBalancerTest, Plan_ZoneIsEvacuated_OtherInstancesReplaceItsOnes) {
  this->AddPool("sheets", 9);
  this->AddPool("spare", 8, true);
  this->DemandOf("sheets").used_millicores = 120'000;
  EXPECT_TRUE(this->PlanAfter(milliseconds(0)).empty());
  for (PooledInstance& instance : this->instances) {
    const char number = instance.instance.back();
    instance.evacuated = number == '0' || number == '1' || number == '2';
    instance.empty = instance.pool == "spare";
  }
  const auto moves = this->PlanAfter(milliseconds(100));
  EXPECT_EQ(MovesTo(moves, "sheets"), 3U);
  EXPECT_EQ(moves.size(), 3U);
  for (const InstanceMove& move : moves) {
    EXPECT_GE(move.instance.back(), '3') << move.instance;
  }
}

// Guards against idle instances that cost as much as those that get work, and
// against moves of them into another pool that needs instances.
TEST_F(PoolBalancerTest, Plan_EvacuatedInstancesAreEmpty_GoToStandbyOnly) {
  this->AddPool("sheets", 9);
  this->AddPool("folders", 6);
  this->AddPool("spare", 1, true);
  this->DemandOf("folders").used_millicores = 96'000;
  this->DemandOf("folders").waiting_millicores = 200'000;
  for (PooledInstance& instance : this->instances) {
    instance.evacuated = true;
  }
  const auto moves = this->PlanAfter(milliseconds(0));
  EXPECT_EQ(MovesTo(moves, "spare"), moves.size());
  EXPECT_EQ(moves.size(), 15U);
  EXPECT_TRUE(this->PlanAfter(milliseconds(100)).empty())
      << "the moves are ordered already";
}

}  // namespace
}  // namespace mimosastage::jobs
