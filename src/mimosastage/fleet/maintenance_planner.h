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

/// An unplanned failure of an instance.
struct InstanceFailure {
  InstanceName instance;
  std::string reason;
};

/// The decisions of one planning round.
struct FleetActions {
  /// To be proposed to the replicated log by the caller.
  std::vector<InstanceTransition> transitions;
  std::vector<PlatformCommand> commands;
  std::vector<HeldDecision> held;
  std::vector<InstanceFailure> failures;
};

/// Drains, reboots and returns to service the instances of a maintenance wave,
/// as many at once as the pools' availability budgets allow, and detects failed
/// instances.
///
/// All durable state is in committed transitions. Once a new leader has applied
/// the first log entry of its view, it creates a planner from the committed
/// instances and the wave's progress and continues the wave.
class MaintenancePlanner {
 public:
  struct Config {
    /// How long a drain waits for jobs to end before it checkpoints them.
    Duration drain_timeout = std::chrono::seconds(600);
    /// From the checkpoint request to the stop of the task.
    Duration checkpoint_grace = std::chrono::seconds(10);
    /// A reboot or return that takes longer counts as a failure.
    Duration return_timeout = std::chrono::seconds(300);
    /// A worker without a report for this long, ten missed reports, counts as
    /// out of service.
    Duration silence_limit = std::chrono::seconds(10);
    /// An instance without a report for this long becomes kFailed.
    Duration failed_after = std::chrono::seconds(30);
    Duration correlation_window = std::chrono::seconds(60);
    /// Time after which a command without a visible effect is resent.
    Duration resend_after = std::chrono::seconds(2);
    /// Maximum age of a report on arrival.
    Duration report_lag = std::chrono::seconds(5);
    /// Disables the budget check, for tests that show what it prevents.
    bool ignore_budget = false;
  };

  struct Hooks {
    /// Returns the tasks whose lease on the instance may still be valid.
    std::function<std::vector<LeasedTask>(const InstanceName&)> tasks_on;
    std::function<bool(const InstanceName&)> quarantined;
    /// True if InstanceMover is moving the instance and controls its drain.
    std::function<bool(const InstanceName&)> moving;
  };

  MaintenancePlanner(Config config, Hooks hooks, FleetView& fleet,
                     const WorkerDirectory& workers, ViewNumber view,
                     TimePoint start);

  /// Sets or replaces the current wave.
  void SetWave(const WaveProgress& wave);
  void SetPaused(bool paused) { this->paused = paused; }
  const std::optional<WaveProgress>& wave() const { return this->current; }
  /// True if every target is rebooted and back in service.
  bool WaveDone() const;

  /// Applies a committed transition, whoever proposed it.
  void Apply(const InstanceTransition& transition, TimePoint now);
  /// Withdraws a proposal that the replicated state rejected.
  void Reject(const InstanceName& instance);

  /// Runs one planning round. Call it about once a second.
  FleetActions Plan(TimePoint now);

 private:
  /// Leader-local state of an instance, not replicated.
  struct Tracking {
    /// When this leader learned that the instance entered its state.
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
  /// Returns a worker to service that executed a delayed duplicate of a drain
  /// command, for example after a restart, by proposing a new epoch. Returns
  /// false if the worker needs no repair.
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
  /// Instances whose failure is reported and that haven't served since.
  std::set<InstanceName> recorded_failures;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_FLEET_MAINTENANCE_PLANNER_H_
