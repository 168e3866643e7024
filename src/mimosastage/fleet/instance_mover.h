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

/// One instance on its way to another pool. It drains in the old pool, waits
/// until nobody can still use it there, and then changes pool and epoch in one
/// committed transition, so it is in exactly one pool at every step.
struct InstanceMove {
  enum class Step : std::uint8_t {
    /// The drain is proposed.
    kProposed,
    kDraining,
    /// The new membership is proposed.
    kJoining
  };

  InstanceName instance;
  PoolName to;
  Step step = Step::kProposed;
  /// When this leader saw the step begin.
  TimePoint since{};
  TimePoint last_sent{};
  std::optional<TimePoint> checkpoint_sent;
};

/// Runs the moves of one leader. A new leader doesn't continue them: it returns
/// the instance to its old pool if the new membership isn't committed
/// (MaintenancePlanner), and the pool sizer decides again.
class InstanceMover {
 public:
  struct Config {
    /// How long a drain waits for jobs to end; then they are checkpointed.
    Duration patience = std::chrono::seconds(600);
    Duration checkpoint_grace = std::chrono::seconds(10);
    /// Entries use a membership until three announcements of a second are
    /// missing and their serving lease of 2 s has ended.
    Duration membership_lease = std::chrono::seconds(5);
    /// An older report doesn't show that the instance is drained.
    Duration silence_limit = std::chrono::seconds(3);
    Duration resend = std::chrono::seconds(2);
  };

  /// `tasks_on` names the tasks whose lease on the instance hasn't surely
  /// ended.
  InstanceMover(
      Config config, FleetView& fleet, const WorkerDirectory& workers,
      std::function<std::vector<LeasedTask>(const InstanceName&)> tasks_on,
      ViewNumber view);

  /// Begins a move; its first transition is to be proposed. Errors:
  /// kUnknownInstance, kSamePool, kNotServing, kBudgetUsed.
  Result<InstanceTransition> Start(const InstanceName& name, const PoolName& to,
                                   TimePoint now);

  FleetActions Plan(TimePoint now);

  /// Call it after MaintenancePlanner::Apply, which updates the FleetView.
  void Apply(const InstanceTransition& transition, TimePoint now);
  void Reject(const InstanceName& instance);

  bool Owns(const InstanceName& instance) const {
    return this->moves.contains(instance);
  }
  std::size_t active() const { return this->moves.size(); }
  /// Active moves that leave or join the pool.
  std::size_t Leaving(const PoolName& pool) const;
  std::size_t Joining(const PoolName& pool) const;

 private:
  void Advance(InstanceMove& move, TimePoint now, FleetActions& actions);
  bool Left(const FleetInstance& instance, const InstanceMove& move,
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
