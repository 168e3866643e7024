#include "mimosastage/fleet/instance_mover.h"

#include <algorithm>
#include <utility>

#include "mimosastage/fleet/fleet_error.h"

namespace mimosastage {

InstanceMover::InstanceMover(
    Config config, FleetView& fleet, const WorkerDirectory& workers,
    std::function<std::vector<LeasedTask>(const InstanceName&)> tasks_on,
    ViewNumber view)
    : config(config),
      fleet(fleet),
      workers(workers),
      tasks_on(std::move(tasks_on)),
      view(view) {}

Result<InstanceTransition> InstanceMover::Start(const InstanceName& name,
                                                const PoolName& to,
                                                TimePoint now) {
  const auto* instance = this->fleet.Find(name);
  if (instance == nullptr || this->fleet.FindPool(to) == nullptr) {
    return FleetError::kUnknownInstance;
  }
  if (instance->pool == to) return FleetError::kSamePool;
  if (instance->OutOfService()) return FleetError::kNotServing;
  if (this->fleet.DrainRefusal(name)) return FleetError::kBudgetExhausted;
  this->moves[name] = {name, to, InstanceMove::Step::kProposed, now, {}, {}};
  this->fleet.MarkProposed(name);
  return InstanceTransition{name, instance->pool, instance->epoch,
                            InstanceState::kDraining};
}

FleetActions InstanceMover::Plan(TimePoint now) {
  FleetActions actions;
  for (auto& [name, move] : this->moves) {
    if (move.step == InstanceMove::Step::kDraining) {
      this->Advance(move, now, actions);
    }
  }
  return actions;
}

void InstanceMover::Apply(const InstanceTransition& transition, TimePoint now) {
  const auto it = this->moves.find(transition.instance);
  if (it == this->moves.end()) return;
  if (transition.state != InstanceState::kDraining) {
    // The instance has joined its new pool or has failed. MaintenancePlanner
    // handles both from here.
    this->moves.erase(it);
    return;
  }
  it->second.step = InstanceMove::Step::kDraining;
  it->second.since = now;
}

void InstanceMover::Reject(const InstanceName& instance) {
  this->fleet.Reject(instance);
  this->moves.erase(instance);
}

std::size_t InstanceMover::Leaving(const PoolName& pool) const {
  return static_cast<std::size_t>(std::count_if(
      this->moves.begin(), this->moves.end(), [&](const auto& entry) {
        return this->fleet.Find(entry.first)->pool == pool;
      }));
}

std::size_t InstanceMover::Joining(const PoolName& pool) const {
  return static_cast<std::size_t>(std::count_if(
      this->moves.begin(), this->moves.end(),
      [&](const auto& entry) { return entry.second.to == pool; }));
}

void InstanceMover::Advance(InstanceMove& move, TimePoint now,
                            FleetActions& actions) {
  const auto& instance = *this->fleet.Find(move.instance);
  if (instance.proposed) return;
  const auto tasks = this->tasks_on(move.instance);
  if (this->HasLeft(instance, move, tasks, now)) {
    move.step = InstanceMove::Step::kJoining;
    this->fleet.MarkProposed(move.instance);
    actions.transitions.push_back({move.instance, move.to, instance.epoch + 1,
                                   InstanceState::kReturning});
    return;
  }
  const bool first = move.last_sent == TimePoint{};
  if (!first && now - move.last_sent < this->config.resend_after) return;
  move.last_sent = now;
  actions.commands.push_back(
      {this->view, move.instance, instance.epoch, DrainInstance{}});
  this->EndTasks(instance, move, tasks, now, actions);
}

bool InstanceMover::HasLeft(const FleetInstance& instance,
                            const InstanceMove& move,
                            const std::vector<LeasedTask>& tasks,
                            TimePoint now) const {
  if (!tasks.empty()) return false;
  if (now - move.since < this->config.membership_lease) return false;
  const auto* entry = this->workers.Find(instance.name);
  return entry != nullptr && entry->report.epoch == instance.epoch &&
         entry->report.state == WorkerState::kDrained &&
         now - entry->received < this->config.silence_limit;
}

void InstanceMover::EndTasks(const FleetInstance& instance, InstanceMove& move,
                             const std::vector<LeasedTask>& tasks,
                             TimePoint now, FleetActions& actions) const {
  if (now - move.since < this->config.drain_timeout) return;
  if (!move.checkpoint_sent) move.checkpoint_sent = now;
  const bool grace_over =
      now - *move.checkpoint_sent >= this->config.checkpoint_grace;
  for (const auto& task : tasks) {
    if (task.is_protected) {
      actions.held.push_back(
          {move.instance.str(), "move of " + move.instance.str() + " to pool " +
                                    move.to.str() + " waits: protected job " +
                                    task.job.str() + " runs to completion"});
      continue;
    }
    const bool stop = task.checkpointed || grace_over;
    actions.commands.push_back(
        {this->view, move.instance, instance.epoch,
         stop ? CommandBody(StopTask{task.job, task.lease})
              : CommandBody(CheckpointTask{task.job, task.lease})});
  }
}

}  // namespace mimosastage
