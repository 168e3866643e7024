#include "mimosastage/fleet/maintenance_planner.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace mimosastage {

MaintenancePlanner::MaintenancePlanner(Config config, Hooks hooks,
                                       FleetView& fleet,
                                       const WorkerDirectory& workers,
                                       ViewNumber view, TimePoint start)
    : config(config),
      hooks(std::move(hooks)),
      fleet(fleet),
      workers(workers),
      view(view),
      start(start),
      correlation(config.correlation_window) {}

void MaintenancePlanner::SetWave(const WaveProgress& wave) {
  this->current = wave;
}

bool MaintenancePlanner::WaveDone() const {
  if (!this->current || !this->current->AllRebooted()) return false;
  return std::all_of(this->current->targets.begin(),
                     this->current->targets.end(), [this](const auto& name) {
                       const auto* instance = this->fleet.Find(name);
                       return instance == nullptr ||
                              instance->state == InstanceState::kServing;
                     });
}

void MaintenancePlanner::Apply(const InstanceTransition& transition,
                               TimePoint now) {
  this->fleet.Apply(transition);
  if (this->current) this->current->Apply(transition);
  this->Track(transition.instance) = Tracking{.since = now};
}

void MaintenancePlanner::Reject(const InstanceName& instance) {
  this->fleet.Reject(instance);
}

FleetActions MaintenancePlanner::Plan(TimePoint now) {
  FleetActions actions;
  this->WatchAvailability(now, actions);
  for (const auto& [name, instance] : this->fleet.instances()) {
    if (instance.proposed || this->hooks.moving(name)) continue;
    this->Advance(instance, now, actions);
  }
  this->StartDrains(now, actions);
  return actions;
}

MaintenancePlanner::Tracking& MaintenancePlanner::Track(
    const InstanceName& name) {
  return this->tracking.try_emplace(name, Tracking{.since = this->start})
      .first->second;
}

void MaintenancePlanner::WatchAvailability(TimePoint now,
                                           FleetActions& actions) {
  for (const auto& [name, instance] : this->fleet.instances()) {
    const auto* entry = this->workers.Find(name);
    const auto silence = entry == nullptr ? this->workers.Silence(name, now)
                                          : now - entry->received;
    // A rebooting instance is expected to be silent; return_timeout applies to
    // it instead.
    const bool silent = instance.state != InstanceState::kRebooting &&
                        silence >= this->config.silence_limit;
    // Until the first report, a new leader doesn't know whether an instance
    // works, and a drain started too early could exceed the budget.
    const bool unavailable =
        silent || entry == nullptr || this->hooks.quarantined(name);
    if (unavailable != instance.unavailable) {
      this->fleet.SetUnavailable(name, unavailable);
    }
    if (silent) this->RecordFailure(instance, "is silent", now, actions);
    const bool works = !silent && instance.state == InstanceState::kServing;
    if (works && !this->recorded_failures.empty()) {
      this->recorded_failures.erase(name);
    }
    if (silent && silence >= this->config.failed_after && !instance.proposed &&
        instance.state != InstanceState::kFailed) {
      this->Propose(instance, instance.epoch, InstanceState::kFailed, actions);
    }
  }
}

void MaintenancePlanner::RecordFailure(const FleetInstance& instance,
                                       const std::string& reason, TimePoint now,
                                       FleetActions& actions) {
  if (!this->recorded_failures.insert(instance.name).second) return;
  this->correlation.Record(instance, now);
  actions.failures.push_back(
      {instance.name, "instance " + instance.name.str() + " " + reason});
}

void MaintenancePlanner::Advance(const FleetInstance& instance, TimePoint now,
                                 FleetActions& actions) {
  switch (instance.state) {
    case InstanceState::kServing:
      this->RepairStrayDrain(instance, actions);
      break;
    case InstanceState::kDraining:
      this->AdvanceDrain(instance, now, actions);
      break;
    case InstanceState::kRebooting:
      this->AdvanceReboot(instance, now, actions);
      break;
    case InstanceState::kReturning:
      this->AdvanceReturn(instance, now, actions);
      break;
    case InstanceState::kFailed:
      this->AdvanceFailed(instance, actions);
      break;
  }
}

void MaintenancePlanner::AdvanceDrain(const FleetInstance& instance,
                                      TimePoint now, FleetActions& actions) {
  if (!this->current || !this->current->Pending(instance.name)) {
    // The drain belongs to a move of an earlier leader or to a finished wave.
    // The new epoch makes the worker leave its drained state.
    this->Propose(instance, instance.epoch + 1, InstanceState::kReturning,
                  actions);
    return;
  }
  const auto tasks = this->hooks.tasks_on(instance.name);
  const auto* entry = this->workers.Find(instance.name);
  const bool drained = entry != nullptr &&
                       entry->report.epoch == instance.epoch &&
                       entry->report.state == WorkerState::kDrained;
  if (drained && tasks.empty()) {
    this->Propose(instance, instance.epoch, InstanceState::kRebooting, actions);
    return;
  }
  const bool resend_due = this->ResendDue(instance.name, now);
  if (resend_due && !drained) this->Send(instance, DrainInstance{}, actions);
  if (resend_due) this->EndTasks(instance, tasks, now, actions);
}

void MaintenancePlanner::EndTasks(const FleetInstance& instance,
                                  const std::vector<LeasedTask>& tasks,
                                  TimePoint now, FleetActions& actions) {
  auto& tracking = this->Track(instance.name);
  if (now - tracking.since < this->config.drain_timeout) return;
  if (!tracking.checkpoint_sent) tracking.checkpoint_sent = now;
  const bool grace_over =
      now - *tracking.checkpoint_sent >= this->config.checkpoint_grace;
  for (const auto& task : tasks) {
    if (task.is_protected) {
      actions.held.push_back(
          {instance.name.str(), "reboot of " + instance.name.str() +
                                    " waits: protected job " + task.job.str() +
                                    " runs to completion"});
    } else if (task.checkpointed || grace_over) {
      this->Send(instance, StopTask{task.job, task.lease}, actions);
    } else {
      this->Send(instance, CheckpointTask{task.job, task.lease}, actions);
    }
  }
}

void MaintenancePlanner::AdvanceReboot(const FleetInstance& instance,
                                       TimePoint now, FleetActions& actions) {
  const auto* entry = this->workers.Find(instance.name);
  const bool current =
      entry != nullptr && entry->report.epoch == instance.epoch &&
      this->workers.Silence(instance.name, now) < this->config.silence_limit;
  // A report that was in transit when this leader started may have been sent
  // before the drain. It must not be mistaken for the end of the reboot.
  const bool sent_after_start =
      entry != nullptr &&
      entry->received >= this->start + this->config.report_lag;
  if (current && sent_after_start &&
      entry->report.state == WorkerState::kReady) {
    this->Propose(instance, instance.epoch, InstanceState::kReturning, actions);
    return;
  }
  if (this->FailIfOverdue(instance, "hasn't returned from its reboot in time",
                          now, actions)) {
    return;
  }
  if (current && entry->report.state == WorkerState::kDrained &&
      this->ResendDue(instance.name, now)) {
    this->Send(instance, RebootInstance{entry->report.boot_id}, actions);
  }
}

void MaintenancePlanner::AdvanceReturn(const FleetInstance& instance,
                                       TimePoint now, FleetActions& actions) {
  const auto* entry = this->workers.Find(instance.name);
  const bool known = entry != nullptr && !instance.unavailable;
  if (known && entry->report.epoch == instance.epoch) {
    if (this->RepairStrayDrain(instance, actions)) return;
    this->Propose(instance, instance.epoch, InstanceState::kServing, actions);
    return;
  }
  if (this->FailIfOverdue(instance, "hasn't returned to its pool in time", now,
                          actions)) {
    return;
  }
  // The join command is only sent to a worker of an earlier epoch. If a join
  // had the epoch of a drain, the worker would take the next drain for a
  // duplicate.
  if (known && this->ResendDue(instance.name, now)) {
    this->Send(instance, MoveInstance{instance.pool}, actions);
  }
}

bool MaintenancePlanner::RepairStrayDrain(const FleetInstance& instance,
                                          FleetActions& actions) {
  const auto* entry = this->workers.Find(instance.name);
  if (entry == nullptr || entry->report.epoch != instance.epoch) return false;
  if (entry->report.state == WorkerState::kReady) return false;
  this->Propose(instance, instance.epoch + 1, InstanceState::kReturning,
                actions);
  return true;
}

void MaintenancePlanner::AdvanceFailed(const FleetInstance& instance,
                                       FleetActions& actions) {
  const auto* entry = this->workers.Find(instance.name);
  if (entry == nullptr || instance.unavailable) return;
  const auto& report = entry->report;
  if (report.state == WorkerState::kReady) {
    this->Propose(instance, instance.epoch, InstanceState::kReturning, actions);
    return;
  }
  const bool reboot_due = report.state == WorkerState::kDrained &&
                          this->current &&
                          this->current->rebooted.contains(instance.name);
  if (reboot_due) {
    this->Propose(instance, instance.epoch, InstanceState::kRebooting, actions);
    return;
  }
  this->Propose(instance, instance.epoch + 1, InstanceState::kReturning,
                actions);
}

bool MaintenancePlanner::FailIfOverdue(const FleetInstance& instance,
                                       const std::string& what, TimePoint now,
                                       FleetActions& actions) {
  const auto since = this->Track(instance.name).since;
  if (now - since < this->config.return_timeout) return false;
  this->RecordFailure(instance, what, now, actions);
  this->Propose(instance, instance.epoch, InstanceState::kFailed, actions);
  return true;
}

void MaintenancePlanner::StartDrains(TimePoint now, FleetActions& actions) {
  const auto stop = this->correlation.StopReason(this->fleet, now);
  if (!this->current || this->current->AllRebooted()) return;
  if (this->paused || stop) {
    const auto reason = this->paused ? "an operator paused it" : *stop;
    actions.held.push_back({this->current->name, "wave " + this->current->name +
                                                     " waits: " + reason});
    return;
  }
  for (const auto& name : this->Candidates(actions)) {
    if (this->fleet.DrainRefusal(name) && !this->config.ignore_budget) continue;
    const auto* instance = this->fleet.Find(name);
    this->Propose(*instance, instance->epoch, InstanceState::kDraining,
                  actions);
  }
}

std::vector<InstanceName> MaintenancePlanner::Candidates(
    FleetActions& actions) const {
  using Key = std::tuple<bool, AvailabilityZone, RackName, InstanceName>;
  std::vector<Key> keys;
  std::set<PoolName> held_pools;
  for (const auto& name : this->current->targets) {
    const auto* instance = this->fleet.Find(name);
    if (instance == nullptr || !this->current->Pending(name)) continue;
    if (instance->state != InstanceState::kServing || instance->proposed ||
        this->hooks.moving(name)) {
      continue;
    }
    if (auto refusal = this->fleet.DrainRefusal(name);
        refusal && !this->config.ignore_budget) {
      // Reported once per pool: its other instances wait for the same budget.
      if (held_pools.insert(instance->pool).second) {
        actions.held.push_back({name.str(), *std::move(refusal)});
      }
      continue;
    }
    if (instance->unavailable && !this->hooks.quarantined(name)) continue;
    const auto tasks = this->hooks.tasks_on(name);
    const bool has_protected =
        std::any_of(tasks.begin(), tasks.end(),
                    [](const auto& task) { return task.is_protected; });
    keys.emplace_back(has_protected, instance->zone, instance->rack, name);
  }
  std::sort(keys.begin(), keys.end());
  std::vector<InstanceName> names;
  names.reserve(keys.size());
  for (const auto& key : keys) names.push_back(std::get<InstanceName>(key));
  return names;
}

void MaintenancePlanner::Propose(const FleetInstance& instance,
                                 std::uint64_t epoch, InstanceState state,
                                 FleetActions& actions) {
  actions.transitions.push_back({instance.name, instance.pool, epoch, state});
  this->fleet.MarkProposed(instance.name);
}

void MaintenancePlanner::Send(const FleetInstance& instance, CommandBody body,
                              FleetActions& actions) const {
  actions.commands.push_back(
      {this->view, instance.name, instance.epoch, std::move(body)});
}

bool MaintenancePlanner::ResendDue(const InstanceName& name, TimePoint now) {
  auto& state = this->Track(name);
  const bool first = state.last_sent == TimePoint{};
  if (!first && now - state.last_sent < this->config.resend_after) return false;
  state.last_sent = now;
  return true;
}

}  // namespace mimosastage
