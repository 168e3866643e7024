#ifndef MIMOSASTAGE_FLEET_MAINTENANCE_PLANNER_H_
#define MIMOSASTAGE_FLEET_MAINTENANCE_PLANNER_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "mimosastage/base/names.h"
#include "mimosastage/base/time.h"
#include "mimosastage/fleet/failure_correlation.h"
#include "mimosastage/fleet/fleet_view.h"
#include "mimosastage/fleet/platform_command.h"
#include "mimosastage/fleet/wave_progress.h"
#include "mimosastage/fleet/worker_directory.h"
#include "mimosastage/state/commands.h"

namespace mimosastage {

/// A task whose lease may still be valid on an instance.
struct LeasedTask {
  JobName job;
  std::uint64_t lease = 0;
  /// Runs to completion; it is neither checkpointed nor stopped.
  bool is_protected = false;
  bool checkpointed = false;
};

/// An instance that stopped to work without a plan.
struct InstanceFailure {
  InstanceName instance;
  std::string reason;
};

/// What a round of planning decided.
struct FleetActions {
  /// To be proposed to the replicated log.
  std::vector<InstanceTransition> transitions;
  std::vector<PlatformCommand> commands;
  std::vector<HeldDecision> held;
  std::vector<InstanceFailure> failures;
};

/// Drains, reboots and returns the instances of a wave, as many at once as the
/// budgets of the pools allow, and watches for instances that fail.
///
/// All durable state is in committed transitions: a new leader builds a planner
/// from the committed instances and the wave's progress, after its view's first
/// entry is applied, and goes on from there.
class MaintenancePlanner {
 public:
  struct Config {
    /// How long a drain waits for jobs to end; then they are checkpointed.
    Duration patience = std::chrono::seconds(600);
    /// From the request of a checkpoint to the stop of the task.
    Duration checkpoint_grace = std::chrono::seconds(10);
    /// A reboot or return that takes longer counts as a failure.
    Duration return_patience = std::chrono::seconds(300);
    /// A worker that is silent for so long counts as out of service. Ten
    /// reports are missing by then.
    Duration silence_limit = std::chrono::seconds(10);
    /// A worker that is silent for so long is marked as failed.
    Duration failed_after = std::chrono::seconds(30);
    Duration correlation_window = std::chrono::seconds(60);
    /// Time between two sends of a command that has had no effect yet.
    Duration resend = std::chrono::seconds(2);
    /// A report may be this old when it arrives.
    Duration report_lag = std::chrono::seconds(5);
    /// For tests that show what the budget check prevents.
    bool ignore_budget = false;
  };

  struct Hooks {
    /// Tasks whose lease on the instance hasn't surely ended.
    std::function<std::vector<LeasedTask>(const InstanceName&)> tasks_on;
    std::function<bool(const InstanceName&)> quarantined;
    /// True if a move between pools owns the instance's drain.
    std::function<bool(const InstanceName&)> moving;
  };

  MaintenancePlanner(Config config, Hooks hooks, FleetView& fleet,
                     const WorkerDirectory& workers, ViewNumber view,
                     TimePoint start);

  /// Replaces the wave in progress.
  void SetWave(const WaveProgress& wave);
  void SetPaused(bool paused) { this->paused = paused; }
  const std::optional<WaveProgress>& wave() const { return this->current; }
  /// Every target is rebooted and serves again.
  bool WaveDone() const;

  /// Takes over a committed transition, also one that it didn't propose.
  void Apply(const InstanceTransition& transition, TimePoint now);
  /// A proposal of this leader was refused by the state.
  void Reject(const InstanceName& instance);

  /// One round. Call it about once a second.
  FleetActions Plan(TimePoint now);

 private:
  /// What this leader knows of an instance beyond the committed state.
  struct Tracking {
    /// When this leader saw the instance enter its state.
    TimePoint since{};
    TimePoint last_sent{};
    std::optional<TimePoint> checkpoint_sent;
  };

  Tracking& Track(const InstanceName& name);
  void WatchAvailability(TimePoint now, FleetActions& actions);
  void RecordFailure(const FleetInstance& instance, const std::string& reason,
                     TimePoint now, FleetActions& actions);
  void Advance(const FleetInstance& instance, TimePoint now,
               FleetActions& actions);
  void AdvanceDrain(const FleetInstance& instance, TimePoint now,
                    FleetActions& actions);
  void EndTasks(const FleetInstance& instance,
                const std::vector<LeasedTask>& tasks, TimePoint now,
                FleetActions& actions);
  void AdvanceReboot(const FleetInstance& instance, TimePoint now,
                     FleetActions& actions);
  void AdvanceReturn(const FleetInstance& instance, TimePoint now,
                     FleetActions& actions);
  /// A late copy of a drain command reached a worker that isn't to drain, for
  /// example after it restarted. A new epoch returns it to service. Returns
  /// false if the worker is ready.
  bool RepairStrayDrain(const FleetInstance& instance, FleetActions& actions);
  void AdvanceFailed(const FleetInstance& instance, FleetActions& actions);
  bool FailIfOverdue(const FleetInstance& instance, const std::string& what,
                     TimePoint now, FleetActions& actions);
  void StartDrains(TimePoint now, FleetActions& actions);
  std::vector<InstanceName> Candidates(FleetActions& actions) const;
  void Propose(const FleetInstance& instance, std::uint64_t epoch,
               InstanceState state, FleetActions& actions);
  void Send(const FleetInstance& instance, CommandBody body,
            FleetActions& actions) const;
  bool ResendDue(const InstanceName& name, TimePoint now);

  Config config;
  Hooks hooks;
  FleetView& fleet;
  const WorkerDirectory& workers;
  ViewNumber view;
  TimePoint start;
  FailureCorrelation correlation;
  std::optional<WaveProgress> current;
  bool paused = false;
  std::map<InstanceName, Tracking> tracking;
  /// Failed instances that have been reported and haven't served since.
  std::set<InstanceName> recorded_failures;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_FLEET_MAINTENANCE_PLANNER_H_
