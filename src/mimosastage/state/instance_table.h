#ifndef MIMOSASTAGE_STATE_INSTANCE_TABLE_H_
#define MIMOSASTAGE_STATE_INSTANCE_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "mimosastage/base/names.h"
#include "mimosastage/state/commands.h"
#include "mimosastage/state/table_set.h"

namespace mimosastage {

/// The current pool, epoch and state of an instance.
struct Instance {
  PoolName pool;
  std::uint64_t epoch = 0;
  InstanceState state = InstanceState::kServing;

  bool operator==(const Instance&) const = default;
};

/// The current pool, epoch and state of each instance; the table of pools holds
/// the desired pool. The current pool changes only through transitions, so that
/// an instance leaves its old pool before it enters the new one.
class InstanceTable {
 public:
  static constexpr std::size_t kMaxInstances = 4'096;

  using Instances = std::map<InstanceName, Instance>;

  /// Adds newly listed instances as serving members of their pool and removes
  /// those that no pool lists any more. Doesn't move instances between pools.
  void UpdateFromPools(const TableSet& tables);

  /// Refuses an epoch below the current one, another pool at the same epoch, a
  /// change of pool while the instance serves, and the start of a drain that
  /// exceeds the availability budget of the pool.
  ChangeRefusal Apply(const InstanceTransition& transition,
                      const TableSet& tables);

  const Instances& All() const { return this->instances; }
  /// Null if the instance is unknown; valid until the next change.
  const Instance* Find(const InstanceName& name) const;

  /// Highest epoch that a removed instance had. Added instances start above it,
  /// so that an instance that returns is fenced from its earlier membership.
  std::uint64_t EpochFloor() const { return this->epoch_floor; }
  void Restore(Instances instances, std::uint64_t epoch_floor);

 private:
  /// Number of instances of the pool that aren't serving.
  std::size_t CountOutOfService(const PoolName& pool) const;
  ChangeRefusal CheckMembership(const InstanceTransition& transition,
                                const Instance& current) const;
  ChangeRefusal CheckDrain(const InstanceTransition& transition,
                           const Instance& current,
                           const TableSet& tables) const;

  Instances instances;
  std::uint64_t epoch_floor = 0;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_STATE_INSTANCE_TABLE_H_
