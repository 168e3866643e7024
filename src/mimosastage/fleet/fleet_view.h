#ifndef MIMOSASTAGE_FLEET_FLEET_VIEW_H_
#define MIMOSASTAGE_FLEET_FLEET_VIEW_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "mimosastage/base/names.h"
#include "mimosastage/state/commands.h"
#include "mimosastage/state/tables.h"

namespace mimosastage {

/// A delayed decision, reported to operators.
struct HeldDecision {
  /// Name of the instance, job, pool or wave that waits.
  std::string subject;
  std::string reason;
};

/// The committed state of one instance, plus what only the leader knows.
struct FleetInstance {
  InstanceName name;
  PoolName pool;
  RackName rack;
  AvailabilityZone zone;
  std::uint64_t epoch = 0;
  InstanceState state = InstanceState::kServing;
  /// Silent, quarantined, or without a report to this leader so far;
  /// independent of `state`.
  bool unavailable = false;
  /// A transition is proposed but not yet committed.
  bool proposed = false;

  bool OutOfService() const {
    return this->state != InstanceState::kServing || this->unavailable ||
           this->proposed;
  }
};

/// The leader's view of all instances and pools: committed state plus pending
/// proposals. Maintenance and moves share one view, so that both draw on the
/// same availability budgets.
class FleetView {
 public:
  struct PoolEntry {
    std::uint32_t budget = 0;
    bool spare = false;
    std::uint32_t slots_per_instance = 8;
    PoolWeights weights;
    std::set<InstanceName> instances;
    /// Instances for which FleetInstance::OutOfService() is true.
    std::set<InstanceName> out_of_service;
    /// Instances that are unavailable or in state kFailed; a subset of
    /// `out_of_service`.
    std::set<InstanceName> failed;
  };

  /// Adds a pool or replaces its settings. Instances join it by AddInstance and
  /// Apply.
  void SetPool(const Pool& pool);
  /// Adds an instance or replaces the existing one of the same name.
  void AddInstance(const FleetInstance& instance);
  void SetLocation(const InstanceName& name, const RackName& rack,
                   const AvailabilityZone& zone);
  void SetUnavailable(const InstanceName& name, bool unavailable);

  /// Applies a committed transition. A transition with an older epoch is
  /// ignored.
  void Apply(const InstanceTransition& transition);
  /// Marks an instance as out of service until its proposed transition is
  /// applied or rejected.
  void MarkProposed(const InstanceName& name);
  void Reject(const InstanceName& name);

  /// Returns why a planned drain of the instance can't start now, or nullopt if
  /// it can.
  std::optional<std::string> DrainRefusal(const InstanceName& name) const;

  const FleetInstance* Find(const InstanceName& name) const;
  const PoolEntry* FindPool(const PoolName& name) const;
  const std::map<InstanceName, FleetInstance>& instances() const {
    return this->all;
  }
  const std::map<PoolName, PoolEntry>& pools() const {
    return this->pools_by_name;
  }

 private:
  void RemoveFromPool(const FleetInstance& instance);
  void AddToPool(const FleetInstance& instance);

  std::map<InstanceName, FleetInstance> all;
  std::map<PoolName, PoolEntry> pools_by_name;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_FLEET_FLEET_VIEW_H_
