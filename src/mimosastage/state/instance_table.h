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

/// Membership of one instance.
struct Instance {
  PoolName pool;
  std::uint64_t epoch = 0;
  InstanceState state = InstanceState::kServing;

  bool operator==(const Instance&) const = default;
};

/// The pool, epoch and state of each instance. The table of pools says where
/// an instance belongs; this one says where it is. It follows the table of
/// pools only through transitions, so that an instance leaves its old pool
/// before it enters the new one.
class InstanceTable {
 public:
  static constexpr std::size_t kMaxInstances = 4'096;

  using Instances = std::map<InstanceName, Instance>;

  /// Adds instances that a pool lists for the first time, as serving, and
  /// removes those that no pool lists any more.
  void Follow(const TableSet& tables);

  /// Refuses an epoch below the one in force, another pool at the same epoch,
  /// a change of pool while the instance serves, and the start of a drain
  /// beyond the availability budget of the pool.
  ChangeRefusal Apply(const InstanceTransition& transition,
                      const TableSet& tables);

  const Instances& All() const { return this->instances; }
  /// Null if there is none; valid until the next change.
  const Instance* Find(const InstanceName& name) const;

  /// At least every epoch that a removed instance had.
  std::uint64_t EpochFloor() const { return this->epoch_floor; }
  void Restore(Instances instances, std::uint64_t epoch_floor);

 private:
  /// Instances of the pool that aren't serving.
  std::size_t OutOfService(const PoolName& pool) const;
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
