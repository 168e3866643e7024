#include <algorithm>
#include <utility>

#include "mimosastage/jobs/dispatcher.h"
#include "mimosastage/jobs/value_bounds.h"

namespace mimosastage::jobs {
namespace {

using std::chrono::milliseconds;

/// A stopped task needs about 100 ms until its end is known and it can be
/// placed again, so looking more often would move no more tasks.
constexpr milliseconds kDrainInterval{100};

}  // namespace

bool Dispatcher::IsEvacuated(const std::string& availability_zone) const {
  return this->state.EvacuatedZones().contains(availability_zone);
}

bool Dispatcher::IsEvacuatedInstance(const std::string& instance) const {
  if (const Worker* worker = this->WorkerOnInstance(instance);
      worker != nullptr) {
    return this->IsEvacuated(worker->availability_zone);
  }
  const auto listed = this->listed_instances.find(instance);
  return listed != this->listed_instances.end() &&
         this->IsEvacuated(listed->second.availability_zone);
}

void Dispatcher::OnEvacuationChange(TimePoint now) {
  for (auto& [id, session] : this->sessions) {
    if (const auto worker = this->state.Workers().find(id);
        worker != this->state.Workers().end()) {
      this->SetEvacuated(session, worker->second, now);
    }
  }
  this->placement_needed = true;
}

void Dispatcher::SetEvacuated(Session& session, const Worker& worker,
                              TimePoint now) {
  const bool evacuated = this->IsEvacuated(worker.availability_zone);
  if (std::exchange(session.evacuated, evacuated) != evacuated) {
    // Starts that aren't confirmed have to be withdrawn.
    this->due_sessions.Add(&session, now);
  }
}

const std::string* Dispatcher::StandbyPool() const {
  for (const auto& pool : this->state.Config().pools) {
    if (pool->standby) {
      return &pool->name;
    }
  }
  return nullptr;
}

Amount Dispatcher::LongRunningUse(const Session& session) {
  Amount used;
  for (const auto& [key, run] : session.runs) {
    if (run.step->long_running) {
      Add(used, Charge(*run.step));
    }
  }
  return used;
}

StepDemand Dispatcher::DemandOfTask(const TaskId& task) const {
  const Job& job = *this->state.FindJob(task.job);
  StepDemand demand;
  demand.team = job.request->team;
  demand.first = task;
  demand.step = job.request->steps[task.step].get();
  demand.waiting = {task.index};
  const std::size_t begin = job.StepBegin(task.occurrence, task.step);
  for (std::uint32_t i = 0; i < demand.step->tasks; ++i) {
    for (const ActiveRun& run : job.tasks[begin + i].active) {
      demand.on_worker[run.worker] += i == task.index ? 0 : 1;
    }
  }
  return demand;
}

std::vector<CandidateWorker> Dispatcher::DrainTargets(const std::string& pool,
                                                      TimePoint now) const {
  std::vector<CandidateWorker> targets;
  const auto workers = this->pool_workers.find(pool);
  if (workers == this->pool_workers.end()) {
    return targets;
  }
  for (const PoolWorkers::Member& member : workers->second.members) {
    if (member.session->isolated_job.empty() && this->MayUse(member, now)) {
      CandidateWorker& target = targets.emplace_back();
      target.id = member.worker->id;
      target.labels = member.worker->labels;
      this->UpdateCandidate(member, target, now);
    }
  }
  // The tasks that were stopped before get their room first.
  for (const auto& [step, task] : this->moving_tasks) {
    const Job& job = *this->state.FindJob(task.job);
    const auto& active = job.At(task).active;
    const bool placed =
        std::any_of(active.begin(), active.end(), [&](const ActiveRun& run) {
          const auto session = this->sessions.find(run.worker);
          return session != this->sessions.end() && !session->second.evacuated;
        });
    if (!placed && job.queue != nullptr && job.queue->pool == pool) {
      std::vector<Assignment> room;
      PlaceStep(this->DemandOfTask(task), targets, nullptr, room);
    }
  }
  return targets;
}

void Dispatcher::DrainEvacuatedZones(TimePoint now) {
  if (now < this->next_drain) {
    return;
  }
  this->next_drain = now + kDrainInterval;
  std::erase_if(this->moving_tasks, [&](const auto& row) {
    const Job* job = this->state.FindJob(row.second.job);
    return job == nullptr || job->Ended() || !job->Contains(row.second) ||
           this->IsReady(row.second, now);
  });
  if (this->state.EvacuatedZones().empty()) {
    this->moving_tasks.clear();
    return;
  }
  this->IndexWorkers();
  const std::map<std::string, TeamQuota> teams = this->TeamQuotas();
  std::map<std::string, std::vector<CandidateWorker>> targets;
  for (auto& [id, session] : this->sessions) {
    if (!session.evacuated || !session.has_answered ||
        session.unanswered_orders > 0) {
      continue;
    }
    const Worker& worker = this->state.Workers().at(id);
    for (auto& [key, run] : session.runs) {
      const TaskId& task = key.first;
      // Stopping one member of a gang would end all others.
      if (!run.step->long_running || run.stage != RunStage::kRunning ||
          (run.step->gang && run.step->tasks > 1)) {
        continue;
      }
      TaskId step = task;
      step.index = 0;
      const Job* job = this->state.FindJob(task.job);
      if (job == nullptr || job->Ended() || job->queue == nullptr ||
          this->moving_tasks.contains(step) || !this->MayStop(task, now)) {
        continue;
      }
      const std::string& pool = job->queue->pool;
      const auto [room, is_new] = targets.try_emplace(pool);
      if (is_new) {
        room->second = this->DrainTargets(pool, now);
      }
      std::optional<TeamQuota> quota;
      if (const auto team = teams.find(job->request->team);
          team != teams.end()) {
        quota = team->second;
        // Its own part is free again once it has been stopped.
        Add(quota->free, NeedOf(*run.step));
      }
      std::vector<Assignment> assignments;
      PlaceStep(this->DemandOfTask(task), room->second,
                quota.has_value() ? &*quota : nullptr, assignments);
      if (assignments.empty()) {
        continue;
      }
      this->hooks.report("evacuation_task_moved", ToString(task),
                         id + " in " + worker.availability_zone);
      this->moving_tasks.emplace(std::move(step), task);
      this->StopRun(id, session, key, run, "its availability zone is evacuated",
                    now);
    }
  }
}

}  // namespace mimosastage::jobs
