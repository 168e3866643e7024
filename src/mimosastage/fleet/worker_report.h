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
  /// Refuses new work; some of its work hasn't ended.
  kDraining,
  /// Refuses new work and runs none. Stays so until a reboot or a move.
  kDrained
};

enum class TaskState : std::uint8_t {
  kRunning,
  /// Its state is saved; it still runs and may be stopped without loss.
  kCheckpointed,
  kSucceeded,
  kFailed,
  kStopped
};

/// True if the task can't run any more.
inline bool IsEnded(TaskState state) {
  return state != TaskState::kRunning && state != TaskState::kCheckpointed;
}

/// One task on a worker. An ended task is reported until an answer acknowledges
/// it.
struct TaskReport {
  JobName job;
  /// Number of the lease under which the task was started.
  std::uint64_t lease = 0;
  TaskState state = TaskState::kRunning;
  /// Measured usage, or nothing if it hasn't been measured yet.
  std::optional<Resources> usage;
  /// The worker asks for the lease to be renewed.
  bool renew = false;
};

/// What a worker tells the leader, once a second.
struct WorkerReport {
  InstanceName worker;
  RackName rack;
  AvailabilityZone zone;
  PoolName pool;
  std::uint64_t epoch = 0;
  /// The worker's own clock (time since it started) when the usage was
  /// measured. Only compared with other reports of the same run.
  std::chrono::milliseconds measured_at{};
  /// Drawn at each start of the worker; two runs differ.
  std::uint64_t boot_id = 0;
  WorkerState state = WorkerState::kReady;
  Resources capacity;
  std::vector<TaskReport> tasks;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_FLEET_WORKER_REPORT_H_
