#ifndef MIMOSASTAGE_FLEET_JOB_H_
#define MIMOSASTAGE_FLEET_JOB_H_

#include <cstdint>
#include <string>

#include "mimosastage/base/names.h"
#include "mimosastage/fleet/resources.h"

namespace mimosastage {

/// A task that a team wants to have run on a worker of a pool.
struct JobSpec {
  JobName name;
  TeamName team;
  PoolName pool;
  /// Jobs of one kind use similar resources, whatever they declare.
  std::string kind;
  Resources declared{.slots = 1};
  /// Starts within seconds, if need be in place of borrowers' work.
  bool urgent = false;
  /// Runs to completion: it is never stopped for other work or maintenance.
  bool is_protected = false;

  bool operator==(const JobSpec&) const = default;
};

enum class JobState : std::uint8_t {
  kWaiting,
  kPlaced,
  kSucceeded,
  kCancelled,
  /// Failed on too many workers; it waits for an operator.
  kSetAside
};

/// One committed step of a job; the durable part of JobTable. `lease` rises
/// with every placement.
struct JobTransition {
  JobName job;
  JobState state = JobState::kWaiting;
  std::uint64_t lease = 0;
  /// Worker and its epoch while the job is placed.
  InstanceName worker;
  std::uint64_t epoch = 0;

  bool operator==(const JobTransition&) const = default;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_FLEET_JOB_H_
