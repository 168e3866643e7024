#ifndef MIMOSASTAGE_FLEET_JOB_H_
#define MIMOSASTAGE_FLEET_JOB_H_

#include <cstdint>
#include <string>

#include "mimosastage/base/names.h"
#include "mimosastage/fleet/resources.h"

namespace mimosastage {

/// A request of a team to run a task on a worker of a pool.
struct JobSpec {
  JobName name;
  TeamName team;
  PoolName pool;
  /// Jobs of the same kind are expected to use similar fractions of the
  /// resources that they declare.
  std::string kind;
  Resources declared{.slots = 1};
  /// Must start within seconds. To make room, tasks of the same team and of
  /// teams that use more than their share may be stopped.
  bool urgent = false;
  /// Runs to completion: never stopped for other work or for maintenance.
  bool is_protected = false;

  bool operator==(const JobSpec&) const = default;
};

enum class JobState : std::uint8_t {
  kWaiting,
  kPlaced,
  kSucceeded,
  kCancelled,
  /// Failed on too many workers; not placed again until an operator acts or
  /// some of those workers are quarantined.
  kSetAside
};

/// A state change of a job in the replicated log; the durable part of JobTable.
/// `lease` increases with every placement.
struct JobTransition {
  JobName job;
  JobState state = JobState::kWaiting;
  std::uint64_t lease = 0;
  /// The worker and its epoch, while the job is placed.
  InstanceName worker;
  std::uint64_t epoch = 0;

  bool operator==(const JobTransition&) const = default;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_FLEET_JOB_H_
