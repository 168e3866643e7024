#ifndef MIMOSASTAGE_FLEET_PLATFORM_COMMAND_H_
#define MIMOSASTAGE_FLEET_PLATFORM_COMMAND_H_

#include <cstdint>
#include <variant>
#include <vector>

#include "mimosastage/base/names.h"
#include "mimosastage/base/time.h"
#include "mimosastage/fleet/resources.h"
#include "mimosastage/replication/messages.h"

namespace mimosastage {

/// Starts a task. The worker counts `lease_length` from before it sent the
/// report that this command answers, and stops the task if the lease ends
/// without a renewal.
struct StartTask {
  JobName job;
  std::uint64_t lease = 0;
  Duration lease_length{};
  Resources size;

  bool operator==(const StartTask&) const = default;
};

struct CheckpointTask {
  JobName job;
  std::uint64_t lease = 0;

  bool operator==(const CheckpointTask&) const = default;
};

struct ThrottleTask {
  JobName job;
  std::uint64_t lease = 0;
  /// CPU limit of the task from now on, in thousandths of a CPU.
  std::int64_t millicores = 0;

  bool operator==(const ThrottleTask&) const = default;
};

struct StopTask {
  JobName job;
  std::uint64_t lease = 0;

  bool operator==(const StopTask&) const = default;
};

/// Tells the worker to accept no new work. Running tasks continue until they
/// end or are stopped by further commands.
struct DrainInstance {
  bool operator==(const DrainInstance&) const = default;
};

struct RebootInstance {
  /// The boot to end. A worker with another boot ID has already rebooted.
  std::uint64_t boot_id = 0;

  bool operator==(const RebootInstance&) const = default;
};

/// Tells the worker to join `pool`. The command's epoch is the instance's epoch
/// in that pool.
struct MoveInstance {
  PoolName pool;

  bool operator==(const MoveInstance&) const = default;
};

using CommandBody =
    std::variant<StartTask, CheckpointTask, ThrottleTask, StopTask,
                 DrainInstance, RebootInstance, MoveInstance>;

/// A command from the leader to one worker. Commands are idempotent, and the
/// leader resends them until a report shows their effect.
struct PlatformCommand {
  ViewNumber view = 0;
  InstanceName instance;
  std::uint64_t epoch = 0;
  CommandBody body;

  bool operator==(const PlatformCommand&) const = default;
};

/// Extends the lease of one task. The worker counts `lease_length` from before
/// it sent the report that asked for the renewal.
struct LeaseRenewal {
  JobName job;
  std::uint64_t lease = 0;
  Duration lease_length{};
};

/// Tells the worker that the end of a task is committed, so that it stops
/// reporting the task.
struct TaskAcknowledgement {
  JobName job;
  std::uint64_t lease = 0;
};

/// The leader's answer to a WorkerReport.
struct ReportAnswer {
  ViewNumber view = 0;
  std::vector<PlatformCommand> commands;
  std::vector<LeaseRenewal> renewals;
  std::vector<TaskAcknowledgement> acknowledged;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_FLEET_PLATFORM_COMMAND_H_
