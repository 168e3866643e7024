#include "mimosastage/fleet/pool_sizer.h"

#include <gtest/gtest.h>

#include <cmath>
#include <memory>

#include "mimosastage/fleet/fleet_error.h"
#include "tests/fleet/support/fake_fleet.h"

namespace mimosastage {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

constexpr int kSeeds = 1'000;

class InstanceMoverTest : public ::testing::Test {};

// Guards against moves that put an instance in two pools, interrupt a running
// task or exceed the budget, during crashes, message loss, a maintenance wave
// and leader changes.
TEST_F(InstanceMoverTest, Moves_SeededFailures_KeepOnePoolAndTheBudget) {
  int changes = 0;
  for (int seed = 1; seed <= kSeeds; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    FakeFleet::Options options;
    options.pools = 3;
    options.config.drain_timeout = seconds(30);
    options.config.return_timeout = seconds(90);
    options.budget = 1 + seed % 2;
    options.move_chance = 0.1;
    options.crash_chance = seed % 2 == 0 ? 0.0004 : 0;
    options.leader_change_chance = seed % 3 == 0 ? 0.02 : 0;
    options.loss_chance = seed % 4 == 0 ? 0.1 : 0;
    FakeFleet fake(options, static_cast<std::uint64_t>(seed));
    for (int i = 0; i < 400; ++i) {
      fake.Step();
      ASSERT_EQ(fake.violation, "");
    }
    // Without new moves and crashes, every instance returns to service.
    fake.options.move_chance = 0;
    fake.options.crash_chance = 0;
    fake.options.leader_change_chance = 0;
    const auto settled = [&] {
      return fake.planner->WaveDone() && fake.mover->active() == 0;
    };
    for (int i = 0; i < 20'000 && !settled(); ++i) fake.Step();
    ASSERT_TRUE(fake.planner->WaveDone());
    ASSERT_EQ(fake.mover->active(), 0U);
    fake.options.loss_chance = 0;
    for (int i = 0; i < 60; ++i) fake.Step();
    for (const auto& [name, worker] : fake.workers) {
      ASSERT_FALSE(worker.draining) << name.str();
    }
    changes += fake.pool_changes;
  }
  EXPECT_GT(changes, kSeeds);
}

/// One pool and one spare pool. Moves between them complete immediately.
class PoolSizerTest : public ::testing::Test {
 protected:
  void SetUp() override { this->Reset({}); }

  void Reset(const PoolWeights& weights) {
    this->now = TimePoint(seconds(1'000));
    this->moves = 0;
    this->fleet = std::make_unique<FleetView>();
    this->workers = std::make_unique<WorkerDirectory>(this->now);
    const auto no_tasks = [](const auto&) { return std::vector<LeasedTask>(); };
    this->mover = std::make_unique<InstanceMover>(
        InstanceMover::Config{}, *this->fleet, *this->workers, no_tasks, 1);
    this->sizer = std::make_unique<PoolSizer>(PoolSizer::Config{}, *this->fleet,
                                              *this->mover, no_tasks);
    Pool row;
    row.name = this->pool;
    row.weights = weights;
    this->fleet->SetPool(row);
    row.name = this->spare;
    row.spare = true;
    this->fleet->SetPool(row);
    for (int i = 0; i < 20; ++i) {
      FleetInstance instance;
      instance.name = InstanceName("i" + std::to_string(100 + i));
      instance.pool = i < 10 ? this->pool : this->spare;
      this->fleet->AddInstance(instance);
    }
  }

  std::size_t Size(const PoolName& name) const {
    return this->fleet->FindPool(name)->instances.size();
  }

  template <class Demand>
  void Run(minutes length, const Demand& demand) {
    const auto end = this->now + length;
    for (; this->now < end; this->now += seconds(1)) {
      const auto second = (this->now - TimePoint(seconds(1'000))) / seconds(1);
      const double slots = demand(second);
      this->sizer->Observe(this->pool, slots, this->now);
      this->sizer->Observe(this->spare, 4, this->now);
      this->reactive_moves += this->CountReactiveMoves(slots);
      if (second % 5 == 0) this->Move();
    }
  }

  // Returns the instances that reactive sizing, which resizes to the current
  // demand every second, would move.
  int CountReactiveMoves(double slots) {
    const int wanted = static_cast<int>(std::ceil(slots / 8));
    const int moved = std::abs(wanted - this->reactive_size);
    this->reactive_size = wanted;
    return moved;
  }

  void Move() {
    for (const auto& drain : this->sizer->Plan(this->now).transitions) {
      const auto to = drain.pool == this->pool ? this->spare : this->pool;
      this->Apply(drain);
      this->Apply(
          {drain.instance, to, drain.epoch + 1, InstanceState::kReturning});
      this->Apply(
          {drain.instance, to, drain.epoch + 1, InstanceState::kServing});
      ++this->moves;
    }
  }

  void Apply(const InstanceTransition& transition) {
    this->fleet->Apply(transition);
    this->mover->Apply(transition, this->now);
  }

  // Demand with a mean of about 16 slots: five times that for 8 of every 40 s,
  // and a twentieth of it in between.
  static double Surges(std::int64_t second) {
    return second % 40 < 8 ? 80 : 0.8;
  }

  PoolName pool{"p"};
  PoolName spare{"s"};
  TimePoint now;
  int moves = 0;
  int reactive_size = 10;
  int reactive_moves = 0;
  std::unique_ptr<FleetView> fleet;
  std::unique_ptr<WorkerDirectory> workers;
  std::unique_ptr<InstanceMover> mover;
  std::unique_ptr<PoolSizer> sizer;
};

// Guards against moving instances in response to surges of a few seconds.
TEST_F(PoolSizerTest, SurgesOfSeconds_AfterSettling_MoveNothing) {
  this->Run(minutes(60), Surges);
  EXPECT_LT(this->Size(this->pool), 8U);
  this->moves = 0;
  this->reactive_moves = 0;
  this->Run(minutes(60), Surges);
  EXPECT_EQ(this->moves, 0);
  EXPECT_GT(this->reactive_moves, 1'000);
}

// Guards against a pool that isn't resized after a lasting change of its
// demand, and against a spare pool that gives away instances that it needs
// itself.
TEST_F(PoolSizerTest, LastingDemand_IsFollowedWithinTheSparePool) {
  this->Run(minutes(60), [](auto) { return 70.0; });
  const auto settled = this->Size(this->pool);
  EXPECT_GE(settled, 9U);
  this->Run(minutes(60), [](auto) { return 110.0; });
  EXPECT_GE(this->Size(this->pool), 14U);
  this->Run(minutes(60), [](auto) { return 500.0; });
  EXPECT_EQ(this->Size(this->spare), 2U);
  this->Run(minutes(24 * 60), [](auto) { return 8.0; });
  EXPECT_LE(this->Size(this->pool), 3U);
}

// Guards against weights that have no effect: a pool that weights idle capacity
// more must keep fewer instances, and one that weights moves more must move
// less.
TEST_F(PoolSizerTest, Weights_BufferAndMoves_Decide) {
  const auto waves = [](auto second) {
    return second / 1'800 % 2 == 0 ? 30.0 : 70.0;
  };
  struct Result {
    std::size_t size = 0;
    int moves = 0;
  };
  const auto run = [&](const PoolWeights& weights) {
    this->Reset(weights);
    this->Run(minutes(480), waves);
    return Result{this->Size(this->pool), this->moves};
  };
  const auto equal = run({.buffer = 1, .share = 1, .moves = 1, .roll_out = 1});
  const auto lean = run({.buffer = 9, .share = 1, .moves = 1, .roll_out = 1});
  // Both have the same relative buffer weight, so only the cost of a move
  // differs.
  const auto eager = run({.buffer = 1, .share = 8, .moves = 1, .roll_out = 1});
  const auto calm = run({.buffer = 1, .share = 1, .moves = 8, .roll_out = 1});
  EXPECT_LT(lean.size, equal.size);
  EXPECT_LT(calm.moves, eager.moves);
}

// Guards against starting a move that exceeds the budget, of an instance that
// is already out of service, or to the instance's own pool.
TEST_F(PoolSizerTest, Start_BudgetUsedOrOut_IsRefused) {
  const auto first =
      this->mover->Start(InstanceName("i100"), this->spare, this->now);
  ASSERT_TRUE(first.has_value());
  EXPECT_TRUE(this->mover->Start(InstanceName("i100"), this->spare, this->now)
                  .error() == FleetError::kNotServing);
  EXPECT_TRUE(this->mover->Start(InstanceName("i101"), this->spare, this->now)
                  .error() == FleetError::kBudgetExhausted);
  EXPECT_TRUE(
      this->mover->Start(InstanceName("i101"), this->pool, this->now).error() ==
      FleetError::kSamePool);
}

}  // namespace
}  // namespace mimosastage
