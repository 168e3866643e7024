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

/// A decision that is delayed, for the operator's view.
struct HeldDecision {
  /// What is held, for example an instance or a job.
  std::string subject;
  std::string reason;
};

/// One instance as committed, and what the leader knows beyond that.
struct FleetInstance {
  InstanceName name;
  PoolName pool;
  RackName rack;
  AvailabilityZone zone;
  std::uint64_t epoch = 0;
  InstanceState state = InstanceState::kServing;
  /// Silent or quarantined: it doesn't work although its state is kServing.
  bool unavailable = false;
  /// A transition is proposed and not yet committed.
  bool proposed = false;

  bool OutOfService() const {
    return this->state != InstanceState::kServing || this->unavailable ||
           this->proposed;
  }
};

/// The committed instances and pools with the proposals that are under way.
/// Maintenance and moves share it, so that both spend one budget.
class FleetView {
 public:
  struct PoolEntry {
    std::uint32_t budget = 0;
    bool spare = false;
    std::uint32_t slots_per_instance = 8;
    PoolWeights weights;
    std::set<InstanceName> instances;
    /// Instances that don't serve, for whatever reason.
    std::set<InstanceName> out;
    /// The part of `out` whose state is kFailed or that are unavailable.
    std::set<InstanceName> failed;
  };

  /// Adds or replaces the pool's settings; its instances come from
  /// AddInstance and Apply.
  void SetPool(const Pool& pool);
  /// Adds an instance, or replaces all that is known of it.
  void AddInstance(const FleetInstance& instance);
  void SetLocation(const InstanceName& name, const RackName& rack,
                   const AvailabilityZone& zone);
  void SetUnavailable(const InstanceName& name, bool unavailable);

  /// Takes over a committed transition. One with an older epoch is ignored.
  void Apply(const InstanceTransition& transition);
  /// Notes a proposal, which counts as out of service until it is applied or
  /// rejected.
  void Propose(const InstanceName& name);
  void Reject(const InstanceName& name);

  /// Why a planned drain of the instance can't start now, or nothing if it can.
  std::optional<std::string> DrainRefusal(const InstanceName& name) const;

  const FleetInstance* Find(const InstanceName& name) const;
  const PoolEntry* FindPool(const PoolName& name) const;
  const std::map<InstanceName, FleetInstance>& instances() const {
    return this->all;
  }
  const std::map<PoolName, PoolEntry>& pools() const { return this->by_pool; }

 private:
  void Detach(const FleetInstance& instance);
  void Attach(const FleetInstance& instance);

  std::map<InstanceName, FleetInstance> all;
  std::map<PoolName, PoolEntry> by_pool;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_FLEET_FLEET_VIEW_H_
