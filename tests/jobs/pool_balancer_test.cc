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

  /// Sizes the pool ahead; the amounts are in cores.
  void SetOutlook(const std::string& pool, DemandOutlook::Trend trend,
                  double expected, double promised = 0) {
    this->DemandOf(pool).outlook =
        DemandOutlook{trend, Occupation{expected * 1'000, 0},
                      Occupation{promised * 1'000, 0}};
  }

  void SetBusy(const std::string& pool, std::size_t count) {
    for (PooledInstance& instance : this->instances) {
      if (instance.pool == pool && count > 0) {
        instance.empty = false;
        --count;
      }
    }
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

// Guards against instances that are ordered only once tasks wait: they arrive
// when the tasks have run or are late.
TEST_F(PoolBalancerTest, Plan_ArrivalsRise_OrdersForTheExpectedOccupation) {
  this->AddPool("sheets", 6);
  this->AddPool("spare", 30, true);
  this->DemandOf("sheets").used_millicores = 20'000;
  this->SetOutlook("sheets", DemandOutlook::Trend::kPeak, 200);
  // 200 cores and a tenth need 14 instances of 16 cores.
  EXPECT_EQ(MovesTo(this->PlanAfter(milliseconds(0)), "sheets"), 8U);
}

// Guards against a peak's backlog that is ordered for twice, as arrivals and as
// waiting tasks.
TEST_F(PoolBalancerTest, Plan_TasksWaitInAPeak_AreOrderedForOnce) {
  this->AddPool("sheets", 6);
  this->AddPool("spare", 30, true);
  PoolDemand& sheets = this->DemandOf("sheets");
  sheets.used_millicores = 96'000;
  sheets.waiting_millicores = 110'000;
  this->SetOutlook("sheets", DemandOutlook::Trend::kPeak, 200);
  EXPECT_EQ(MovesTo(this->PlanAfter(milliseconds(0)), "sheets"), 8U);
}

// Guards against a forecast that is too low, as from estimates that are too
// short: it must not take instances from work in time.
TEST_F(PoolBalancerTest, Plan_ForecastIsTooLow_WorkInTimeKeepsItsInstances) {
  this->AddPool("sheets", 20);
  this->AddPool("folders", 6);
  this->SetBusy("sheets", 20);
  this->SetBusy("folders", 6);
  this->DemandOf("sheets").used_millicores = 320'000;
  this->DemandOf("folders").used_millicores = 96'000;
  this->DemandOf("folders").waiting_millicores = 160'000;
  for (const auto trend :
       {DemandOutlook::Trend::kSteady, DemandOutlook::Trend::kPeak}) {
    this->SetOutlook("sheets", trend, 10);
    const PoolPlan plan = this->PlanNow();
    EXPECT_TRUE(plan.moves.empty());
    EXPECT_TRUE(plan.releases.empty());
  }
}

// Guards against a pool that keeps its instances after its peak because its
// last tasks are spread over all of them.
TEST_F(PoolBalancerTest, Plan_PeakHasEnded_PoolIsReducedAtOnce) {
  this->AddPool("sheets", 30);
  this->AddPool("spare", 6, true);
  this->SetBusy("sheets", 30);
  this->DemandOf("sheets").used_millicores = 400'000;
  this->SetOutlook("sheets", DemandOutlook::Trend::kFalling, 100);
  // Steps that follow need 0.4 of 400 cores, which is ten instances.
  EXPECT_EQ(this->PlanNow().releases,
            (std::map<std::string, std::size_t>{{"sheets", 20}}));
  this->DemandOf("sheets").waiting_millicores = 160'000;
  // The waiting ones with headroom need 11.5 instances in addition.
  EXPECT_EQ(this->PlanNow().releases,
            (std::map<std::string, std::size_t>{{"sheets", 8}}));
}

TEST_F(PoolBalancerTest, Plan_PeakHasEnded_LongRunningTasksKeepTheirs) {
  this->AddPool("sheets", 30);
  this->SetBusy("sheets", 30);
  PoolDemand& sheets = this->DemandOf("sheets");
  sheets.used_millicores = 400'000;
  sheets.long_running_millicores = 400'000;
  this->SetOutlook("sheets", DemandOutlook::Trend::kFalling, 0);
  // 400 cores with headroom need 29 instances.
  EXPECT_EQ(this->PlanNow().releases,
            (std::map<std::string, std::size_t>{{"sheets", 1}}));
}

// Guards against a predicted peak that finds a pool of the minimum size.
TEST_F(PoolBalancerTest, Plan_PeakIsPredicted_TakesIdleThenStandbyInstances) {
  this->AddPool("sheets", 6);
  this->AddPool("folders", 10);
  this->AddPool("spare", 30, true);
  this->SetOutlook("sheets", DemandOutlook::Trend::kSteady, 0, 160);
  this->SetOutlook("folders", DemandOutlook::Trend::kSteady, 0);
  const auto moves = this->PlanAfter(milliseconds(0));
  // 160 cores and a tenth need 11 instances.
  EXPECT_EQ(MovesTo(moves, "sheets"), 5U);
  EXPECT_EQ(std::count_if(moves.begin(), moves.end(),
                          [](const InstanceMove& move) {
                            return move.instance.starts_with("folders");
                          }),
            4);
}

// Guards against a prediction that costs callers: work in time keeps its
// instances, and gets free ones first.
TEST_F(PoolBalancerTest, Plan_PeakIsPredicted_TakesNothingFromWorkInTime) {
  this->AddPool("sheets", 6);
  this->AddPool("folders", 20);
  this->AddPool("spare", 4, true);
  this->SetBusy("folders", 20);
  this->DemandOf("folders").used_millicores = 320'000;
  this->DemandOf("folders").waiting_millicores = 40'000;
  this->SetOutlook("sheets", DemandOutlook::Trend::kSteady, 0, 160);
  this->SetOutlook("folders", DemandOutlook::Trend::kPeak, 280);
  const PoolPlan plan = this->PlanNow();
  // 320 cores and half of the 40 that wait need 22 instances.
  EXPECT_EQ(MovesTo(plan.moves, "folders"), 2U);
  EXPECT_EQ(MovesTo(plan.moves, "sheets"), 2U);
  EXPECT_TRUE(plan.releases.empty());
}

// Guards against late work that holds what a predicted peak needs within the
// time of a move.
TEST_F(PoolBalancerTest, Plan_PeakIsPredicted_LateWorkIsReleased) {
  this->AddPool("sheets", 6);
  this->AddPool("folders", 20);
  this->SetBusy("folders", 20);
  PoolDemand& folders = this->DemandOf("folders");
  folders.used_millicores = 320'000;
  folders.waiting_millicores = 500'000;
  folders.late_millicores = 820'000;
  folders.late_used_millicores = 320'000;
  this->SetOutlook("sheets", DemandOutlook::Trend::kSteady, 0, 160);
  this->SetOutlook("folders", DemandOutlook::Trend::kFalling, 0);
  const PoolPlan plan = this->PlanNow();
  EXPECT_EQ(plan.releases,
            (std::map<std::string, std::size_t>{{"folders", 5}}));
}

// Guards against late work that takes the standby instances which the next peak
// needs.
TEST_F(PoolBalancerTest, Plan_OnlyLateWorkWaits_GetsIdleButNoStandbyInstances) {
  this->AddPool("sheets", 9);
  this->AddPool("folders", 12);
  this->AddPool("spare", 10, true);
  PoolDemand& folders = this->DemandOf("folders");
  folders.waiting_millicores = 300'000;
  folders.late_millicores = 300'000;
  this->SetOutlook("sheets", DemandOutlook::Trend::kSteady, 0);
  this->SetOutlook("folders", DemandOutlook::Trend::kSteady, 0);
  const auto moves = this->PlanAfter(milliseconds(0));
  EXPECT_EQ(MovesTo(moves, "folders"), 3U);
  EXPECT_EQ(moves.size(), 3U);
}

// Guards against instances that go to standby and are started again for a peak
// that is predicted already, and against late work that takes them.
TEST_F(PoolBalancerTest, Plan_PeakIsPredictedSoon_IdleInstancesStayOn) {
  this->AddPool("sheets", 6);
  this->AddPool("folders", 20);
  this->AddPool("letters", 6);
  this->AddPool("spare", 10, true);
  PoolDemand& letters = this->DemandOf("letters");
  letters.waiting_millicores = 300'000;
  letters.late_millicores = 300'000;
  for (const char* pool : {"sheets", "folders", "letters"}) {
    this->SetOutlook(pool, DemandOutlook::Trend::kSteady, 0);
  }
  // 160 cores and a tenth need 11 instances, five more than now.
  this->DemandOf("sheets").promised_soon = Occupation{160'000, 0};
  // Of 14 idle ones, nine are left for the late work.
  const auto moves = this->PlanAfter(milliseconds(0));
  EXPECT_EQ(MovesTo(moves, "letters"), 9U);
  EXPECT_EQ(moves.size(), 9U);
  EXPECT_TRUE(this->PlanAfter(milliseconds(1'600)).empty());
  this->DemandOf("sheets").promised_soon = Occupation();
  letters.waiting_millicores = 0;
  letters.late_millicores = 0;
  EXPECT_GE(MovesTo(this->PlanAfter(milliseconds(100)), "spare"), 6U);
}

// Guards against an instance that is moved back and forth, which costs as much
// as 1.1 s of an instance each time.
TEST_F(PoolBalancerTest, Plan_InstanceHasJustArrived_StaysUnlessItIsIdle) {
  this->AddPool("sheets", 6);
  this->AddPool("folders", 6);
  this->AddPool("spare", 1, true);
  this->SetBusy("sheets", 6);
  this->SetOutlook("sheets", DemandOutlook::Trend::kPeak, 90);
  this->SetOutlook("folders", DemandOutlook::Trend::kSteady, 0);
  this->DemandOf("sheets").used_millicores = 50'000;
  // 90 cores and a tenth need seven instances.
  ASSERT_EQ(MovesTo(this->PlanAfter(milliseconds(0)), "sheets"), 1U);
  this->instances.back().pool = "sheets";
  this->instances.back().empty = false;
  EXPECT_TRUE(this->PlanAfter(milliseconds(2'600)).empty());
  this->instances.back().empty = true;
  this->SetOutlook("sheets", DemandOutlook::Trend::kSteady, 0);
  this->DemandOf("folders").used_millicores = 96'000;
  this->SetOutlook("folders", DemandOutlook::Trend::kPeak, 90);
  EXPECT_TRUE(this->PlanAfter(milliseconds(200)).empty());
  EXPECT_TRUE(this->PlanAfter(milliseconds(1'400)).empty());
  EXPECT_EQ(MovesTo(this->PlanAfter(milliseconds(100)), "folders"), 1U);
}

// The same once the pool's peak has ended.
TEST_F(PoolBalancerTest, Plan_InstanceHasJustArrived_LeavesAfterThePeak) {
  this->AddPool("sheets", 6);
  this->AddPool("folders", 6);
  this->AddPool("spare", 1, true);
  this->SetBusy("sheets", 6);
  this->SetOutlook("sheets", DemandOutlook::Trend::kPeak, 90);
  this->SetOutlook("folders", DemandOutlook::Trend::kSteady, 0);
  this->DemandOf("sheets").used_millicores = 50'000;
  ASSERT_EQ(MovesTo(this->PlanAfter(milliseconds(0)), "sheets"), 1U);
  this->instances.back().pool = "sheets";
  this->SetOutlook("sheets", DemandOutlook::Trend::kFalling, 0);
  this->DemandOf("folders").used_millicores = 96'000;
  this->SetOutlook("folders", DemandOutlook::Trend::kPeak, 90);
  EXPECT_EQ(MovesTo(this->PlanAfter(milliseconds(2'600)), "folders"), 1U);
}

// A new leader sizes the pools by waiting work until it knows their arrivals.
TEST_F(PoolBalancerTest, Plan_OutlookIsUnknown_PlansAsWithoutOne) {
  this->AddPool("sheets", 9);
  this->AddPool("spare", 12, true);
  this->DemandOf("sheets").used_millicores = 144'000;
  this->DemandOf("sheets").waiting_millicores = 100'000;
  this->DemandOf("sheets").late_millicores = 100'000;
  this->SetOutlook("sheets", DemandOutlook::Trend::kUnknown, 0);
  // Also for late work.
  EXPECT_EQ(MovesTo(this->PlanAfter(milliseconds(0)), "sheets"), 9U);
}

}  // namespace
}  // namespace mimosastage::jobs
