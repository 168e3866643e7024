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

/// Starts a task. The worker counts `lease_length` from the moment before it
/// sent the report that this command answers, and stops the task when the lease
/// has ended without a renewal.
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
  /// Thousandths of a processor that the task may use from now on.
  std::int64_t millicores = 0;

  bool operator==(const ThrottleTask&) const = default;
};

struct StopTask {
  JobName job;
  std::uint64_t lease = 0;

  bool operator==(const StopTask&) const = default;
};

/// Takes no new work; running work ends by itself or by further commands.
struct DrainInstance {
  bool operator==(const DrainInstance&) const = default;
};

struct RebootInstance {
  /// The run that has to end; a worker of another run has rebooted already.
  std::uint64_t boot_id = 0;

  bool operator==(const RebootInstance&) const = default;
};

/// Joins `pool`. The command's epoch is the instance's epoch in that pool.
struct MoveInstance {
  PoolName pool;

  bool operator==(const MoveInstance&) const = default;
};

using CommandBody =
    std::variant<StartTask, CheckpointTask, ThrottleTask, StopTask,
                 DrainInstance, RebootInstance, MoveInstance>;

/// An order of the leader to one worker. All commands are idempotent, and the
/// leader repeats them until a report shows their effect.
struct PlatformCommand {
  ViewNumber view = 0;
  InstanceName instance;
  std::uint64_t epoch = 0;
  CommandBody body;

  bool operator==(const PlatformCommand&) const = default;
};

/// The extension of one task's lease, counted by the worker from the moment
/// before it sent the report that asked for it.
struct LeaseRenewal {
  JobName job;
  std::uint64_t lease = 0;
  Duration lease_length{};
};

/// The end of this task is committed; the worker reports it no more.
struct TaskAcknowledgement {
  JobName job;
  std::uint64_t lease = 0;
};

/// What the leader answers to a report.
struct ReportAnswer {
  ViewNumber view = 0;
  std::vector<PlatformCommand> commands;
  std::vector<LeaseRenewal> renewals;
  std::vector<TaskAcknowledgement> acknowledged;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_FLEET_PLATFORM_COMMAND_H_
