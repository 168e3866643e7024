#ifndef MIMOSASTAGE_FLEET_WORKER_REPORT_H_
#define MIMOSASTAGE_FLEET_WORKER_REPORT_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

#include "mimosastage/base/names.h"
#include "mimosastage/fleet/resources.h"

namespace mimosastage {

enum class WorkerState : std::uint8_t {
  kReady,
  /// Refuses new work but still runs tasks.
  kDraining,
  /// Refuses new work and runs no tasks, until a reboot or a move.
  kDrained
};

enum class TaskState : std::uint8_t {
  kRunning,
  /// Still running, but its state is saved, so it can be stopped without loss.
  kCheckpointed,
  kSucceeded,
  kFailed,
  kStopped
};

/// True if the task no longer runs.
inline bool IsEnded(TaskState state) {
  return state != TaskState::kRunning && state != TaskState::kCheckpointed;
}

/// The state of one task on a worker. An ended task is reported until an answer
/// acknowledges it.
struct TaskReport {
  JobName job;
  /// The lease under which the task was started.
  std::uint64_t lease = 0;
  TaskState state = TaskState::kRunning;
  /// Measured usage, or nullopt before the first measurement.
  std::optional<Resources> usage;
  /// The worker asks for the lease to be renewed.
  bool renew = false;
};

/// The report that a worker sends to the leader once a second.
struct WorkerReport {
  InstanceName worker;
  RackName rack;
  AvailabilityZone zone;
  PoolName pool;
  std::uint64_t epoch = 0;
  /// Time of the usage measurement on the worker's clock, which counts from its
  /// start. Compared only with reports of the same boot.
  std::chrono::milliseconds measured_at{};
  /// Random number chosen at each start of the worker; identifies one run.
  std::uint64_t boot_id = 0;
  WorkerState state = WorkerState::kReady;
  Resources capacity;
  std::vector<TaskReport> tasks;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_FLEET_WORKER_REPORT_H_
