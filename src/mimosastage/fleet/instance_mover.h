#ifndef MIMOSASTAGE_FLEET_INSTANCE_MOVER_H_
#define MIMOSASTAGE_FLEET_INSTANCE_MOVER_H_

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "mimosastage/base/names.h"
#include "mimosastage/base/result.h"
#include "mimosastage/base/time.h"
#include "mimosastage/fleet/fleet_view.h"
#include "mimosastage/fleet/maintenance_planner.h"
#include "mimosastage/fleet/worker_directory.h"

namespace mimosastage {

/// The move of one instance to another pool. The instance drains in its old
/// pool, waits until no entry and no task can still use it there, and then
/// changes pool and epoch in one committed transition. It is therefore in
/// exactly one pool at any time.
struct InstanceMove {
  enum class Step : std::uint8_t {
    /// The transition to kDraining is proposed.
    kProposed,
    kDraining,
    /// The transition to the new pool is proposed.
    kJoining
  };

  InstanceName instance;
  PoolName to;
  Step step = Step::kProposed;
  /// When this leader learned that the step began.
  TimePoint since{};
  TimePoint last_sent{};
  std::optional<TimePoint> checkpoint_sent;
};

/// Runs the moves that one leader started. A new leader doesn't continue them:
/// unless the change of pool is committed, its MaintenancePlanner returns the
/// instance to the old pool, and its PoolSizer decides again.
class InstanceMover {
 public:
  struct Config {
    /// How long a drain waits for jobs to end before it checkpoints them.
    Duration drain_timeout = std::chrono::seconds(600);
    /// From the checkpoint request to the stop of the task.
    Duration checkpoint_grace = std::chrono::seconds(10);
    /// Entries may use an instance in its old pool until they have missed three
    /// announcements, sent once a second, and their 2 s serving lease has
    /// ended.
    Duration membership_lease = std::chrono::seconds(5);
    /// Maximum age of a report that shows that the instance is drained.
    Duration silence_limit = std::chrono::seconds(3);
    /// Time after which a command without a visible effect is resent.
    Duration resend_after = std::chrono::seconds(2);
  };

  /// `tasks_on` returns the tasks whose lease on the instance may still be
  /// valid.
  InstanceMover(
      Config config, FleetView& fleet, const WorkerDirectory& workers,
      std::function<std::vector<LeasedTask>(const InstanceName&)> tasks_on,
      ViewNumber view);

  /// Starts a move and returns its first transition, which the caller proposes.
  /// Errors: kUnknownInstance, kSamePool, kNotServing, kBudgetExhausted.
  Result<InstanceTransition> Start(const InstanceName& name, const PoolName& to,
                                   TimePoint now);

  FleetActions Plan(TimePoint now);

  /// Applies a committed transition. Must be called after
  /// MaintenancePlanner::Apply, which updates the FleetView.
  void Apply(const InstanceTransition& transition, TimePoint now);
  void Reject(const InstanceName& instance);

  bool IsMoving(const InstanceName& instance) const {
    return this->moves.contains(instance);
  }
  std::size_t active() const { return this->moves.size(); }
  /// Number of active moves out of and into the pool.
  std::size_t Leaving(const PoolName& pool) const;
  std::size_t Joining(const PoolName& pool) const;

 private:
  void Advance(InstanceMove& move, TimePoint now, FleetActions& actions);
  bool HasLeft(const FleetInstance& instance, const InstanceMove& move,
               const std::vector<LeasedTask>& tasks, TimePoint now) const;
  void EndTasks(const FleetInstance& instance, InstanceMove& move,
                const std::vector<LeasedTask>& tasks, TimePoint now,
                FleetActions& actions) const;

  Config config;
  FleetView& fleet;
  const WorkerDirectory& workers;
  std::function<std::vector<LeasedTask>(const InstanceName&)> tasks_on;
  ViewNumber view;
  std::map<InstanceName, InstanceMove> moves;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_FLEET_INSTANCE_MOVER_H_
