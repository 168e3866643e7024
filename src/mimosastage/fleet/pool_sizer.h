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

/// Decides how many instances each pool has. Pools take instances from the
/// spare pools and return them there.
///
/// The gap between a pool's desired and actual size is accumulated over time in
/// slot-seconds. An instance moves once the sum exceeds the cost of a move,
/// which provides the hysteresis.
class PoolSizer {
 public:
  struct Config {
    /// Minutes of demand history that a pool needs before it is resized.
    std::size_t warm_up_minutes = 5;
    /// Cost of one move in slot-seconds, for a pool whose weights are all
    /// equal: an instance of 8 slots that is missing for 5 minutes.
    double move_cost = 2'400;
    /// Surplus instances that a pool keeps. It is 0 for a pool that weights
    /// idle capacity more than moves.
    std::uint32_t dead_band = 1;
    std::size_t max_active_moves = 8;
    std::size_t max_moves_per_pool = 1;
  };

  struct Round {
    /// To be proposed by the caller; InstanceMover has already started the
    /// moves.
    std::vector<InstanceTransition> transitions;
    std::vector<HeldDecision> held;
  };

  /// `tasks_on` is as for InstanceMover. Instances without tasks move first.
  PoolSizer(
      Config config, const FleetView& fleet, InstanceMover& mover,
      std::function<std::vector<LeasedTask>(const InstanceName&)> tasks_on);

  /// Sets the pool's demand from `now` on: slots in use plus queued work, in
  /// slots.
  void Observe(const PoolName& pool, double slots, TimePoint now);

  /// Runs one sizing round. Call it every few seconds.
  Round Plan(TimePoint now);

  /// Number of instances that the pool should have, or nullopt while its demand
  /// history is too short.
  std::optional<std::uint32_t> DesiredSize(const PoolName& pool) const;

 private:
  struct SizingState {
    DemandHistory history;
    TimePoint last_update{};
    /// Slot-seconds of missing capacity; negative for surplus capacity.
    double accumulated_gap = 0;
  };

  void AccumulateGap(const PoolName& pool, SizingState& sizing, TimePoint now);
  void Grow(const PoolName& pool, SizingState& sizing, TimePoint now,
            Round& round);
  void Shrink(const PoolName& pool, SizingState& sizing, TimePoint now,
              Round& round);
  bool StartMove(const PoolName& from, const PoolName& to, TimePoint now,
                 Round& round);
  std::optional<PoolName> SparePoolWithSurplus() const;
  /// Surplus instances go to the smallest spare pool, because a large pool
  /// makes maintenance waves longer.
  std::optional<PoolName> SmallestSparePool(
      const PoolName& excluded_pool) const;
  std::vector<InstanceName> MoveCandidates(const PoolName& from,
                                           const PoolName& to) const;
  double MoveCost(const PoolName& pool) const;
  /// Number of instances in the pool once all active moves are done.
  std::int64_t SizeAfterMoves(const PoolName& pool) const;

  Config config;
  const FleetView& fleet;
  InstanceMover& mover;
  std::function<std::vector<LeasedTask>(const InstanceName&)> tasks_on;
  std::map<PoolName, SizingState> sizing_states;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_FLEET_POOL_SIZER_H_
