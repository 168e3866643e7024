#ifndef MIMOSASTAGE_FLEET_POOL_SIZER_H_
#define MIMOSASTAGE_FLEET_POOL_SIZER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "mimosastage/base/names.h"
#include "mimosastage/base/time.h"
#include "mimosastage/fleet/demand_history.h"
#include "mimosastage/fleet/fleet_view.h"
#include "mimosastage/fleet/instance_mover.h"

namespace mimosastage {

/// Decides how many instances each pool has. Other pools take instances from
/// the spare pools and give them back there.
///
/// A pool's wrong size costs slot-seconds, which are added up; an instance
/// moves once the sum exceeds the cost of a move. That is both the hysteresis
/// and the price of a move.
class PoolSizer {
 public:
  struct Config {
    /// Demand is too little known before; no pool changes its size.
    std::size_t minutes_to_learn = 5;
    /// Slot-seconds that one move costs in a pool whose weights are all equal:
    /// an instance of 8 slots that is missing for 5 minutes.
    double move_cost = 2'400;
    /// Instances above the need that a pool keeps. A pool that weights idle
    /// capacity more than moves keeps none.
    std::uint32_t dead_band = 1;
    std::size_t max_active_moves = 8;
    std::size_t max_moves_of_pool = 1;
  };

  struct Round {
    /// To be proposed; InstanceMover knows them already.
    std::vector<InstanceTransition> transitions;
    std::vector<HeldDecision> held;
  };

  /// `tasks_on` as for InstanceMover; idle instances move first.
  PoolSizer(
      Config config, const FleetView& fleet, InstanceMover& mover,
      std::function<std::vector<LeasedTask>(const InstanceName&)> tasks_on);

  /// Slots of the pool that are in use plus work that waits for one.
  void Observe(const PoolName& pool, double slots, TimePoint now);

  /// Call it every few seconds.
  Round Plan(TimePoint now);

  /// Instances that the pool should have, or nothing before enough is known.
  std::optional<std::uint32_t> Desired(const PoolName& pool) const;

 private:
  struct Account {
    DemandHistory history;
    TimePoint last{};
    /// Slot-seconds of missing capacity, negative for idle capacity.
    double regret = 0;
  };

  void UpdateRegret(const PoolName& pool, Account& account, TimePoint now);
  void Grow(const PoolName& pool, Account& account, TimePoint now,
            Round& round);
  void Shrink(const PoolName& pool, Account& account, TimePoint now,
              Round& round);
  bool StartMove(const PoolName& from, const PoolName& to, TimePoint now,
                 Round& round);
  std::optional<PoolName> SpareWithSurplus() const;
  /// Instances go back evenly: a large spare pool would make waves longer.
  std::optional<PoolName> SmallestSpare(const PoolName& not_this) const;
  std::vector<InstanceName> IdleFirst(const PoolName& from,
                                      const PoolName& to) const;
  double MoveCost(const PoolName& pool) const;
  /// Instances that the pool has and will have after its moves.
  std::int64_t SizeAfterMoves(const PoolName& pool) const;

  Config config;
  const FleetView& fleet;
  InstanceMover& mover;
  std::function<std::vector<LeasedTask>(const InstanceName&)> tasks_on;
  std::map<PoolName, Account> accounts;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_FLEET_POOL_SIZER_H_
