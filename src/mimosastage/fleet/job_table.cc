#include "mimosastage/fleet/job_table.h"

#include <algorithm>
#include <utility>

#include "mimosastage/fleet/fleet_error.h"

namespace mimosastage {
namespace {

bool IsFinal(JobState state) {
  return state == JobState::kSucceeded || state == JobState::kCancelled;
}

// Returns the placement that counts for capacity and limits: a proposed
// placement takes room at once, and a proposed end frees it only when
// committed.
const JobTransition* CurrentPlacement(const JobTable::Job& job) {
  if (job.committed.state == JobState::kPlaced) return &job.committed;
  if (job.proposed && job.proposed->state == JobState::kPlaced) {
    return &*job.proposed;
  }
  return nullptr;
}

}  // namespace

JobTable::JobTable(Config config, WorkerHealth& health, ViewNumber view,
                   TimePoint start)
    : config(config), health(health), view(view), start(start) {}

std::error_code JobTable::Submit(const JobSpec& spec, TimePoint now) {
  if (const auto it = this->all.find(spec.name); it != this->all.end()) {
    if (it->second.spec == spec) return {};
    return FleetError::kJobExists;
  }
  this->EvictEndedJobs();
  if (this->all.size() >= this->config.max_jobs) return FleetError::kTableFull;
  Job job{.spec = spec, .submitted = now};
  job.committed.job = spec.name;
  this->Index(this->all.emplace(spec.name, std::move(job)).first->second);
  return {};
}

void JobTable::Restore(const JobSpec& spec, const JobTransition& committed) {
  Job job{.spec = spec, .committed = committed, .submitted = this->start};
  job.lease = TaskLease(this->config.lease);
  if (committed.state == JobState::kPlaced) job.lease.Grant(this->start);
  if (IsFinal(committed.state)) this->ended_jobs.push_back(spec.name);
  this->Index(this->all.emplace(spec.name, std::move(job)).first->second);
}

Result<std::vector<JobTransition>> JobTable::Cancel(const JobName& name) {
  const auto it = this->all.find(name);
  if (it == this->all.end()) return FleetError::kUnknownJob;
  auto& job = it->second;
  std::vector<JobTransition> transitions;
  if (IsFinal(job.committed.state)) return transitions;
  job.cancelling = true;
  if (CurrentPlacement(job) == nullptr && !job.proposed) {
    auto transition = job.committed;
    transition.state = JobState::kCancelled;
    this->Propose(job, transition, transitions);
  }
  return transitions;
}

Result<JobTransition> JobTable::Place(const JobName& name,
                                      const InstanceName& worker,
                                      std::uint64_t epoch, TimePoint now) {
  const auto it = this->all.find(name);
  if (it == this->all.end()) return FleetError::kUnknownJob;
  auto& job = it->second;
  if (job.committed.state != JobState::kWaiting || job.proposed ||
      job.cancelling) {
    return FleetError::kJobNotWaiting;
  }
  if (!job.lease.CertainlyEnded(now)) return FleetError::kLeaseNotEnded;
  std::vector<JobTransition> transitions;
  this->Propose(
      job, {name, JobState::kPlaced, job.committed.lease + 1, worker, epoch},
      transitions);
  return transitions.front();
}

void JobTable::Apply(const JobTransition& transition, TimePoint now) {
  const auto it = this->all.find(transition.job);
  if (it == this->all.end()) return;
  auto& job = it->second;
  this->Unindex(job);
  job.committed = transition;
  job.proposed.reset();
  if (transition.state == JobState::kPlaced) {
    job.lease = TaskLease(this->config.lease);
    job.lease.Grant(now);
    job.seen = false;
    job.checkpointed = false;
    job.stop_requested.reset();
  }
  if (IsFinal(transition.state)) {
    this->ended_jobs.push_back(transition.job);
    this->health.Forget(transition.job);
  }
  this->Index(job);
}

void JobTable::Reject(const JobName& name) {
  const auto it = this->all.find(name);
  if (it == this->all.end()) return;
  this->Unindex(it->second);
  it->second.proposed.reset();
  this->Index(it->second);
}

JobTable::ReportResult JobTable::Handle(const WorkerReport& report,
                                        bool accepted, TimePoint now) {
  ReportResult result;
  result.answer.view = this->view;
  if (!accepted) return result;
  for (const auto& task : report.tasks) {
    this->HandleTask(report, task, now, result);
  }
  this->AddStarts(report, now, result);
  return result;
}

std::vector<JobTransition> JobTable::Expire(TimePoint now) {
  std::vector<JobTransition> transitions;
  for (const auto& name : this->JobsWithEndedLease(now)) {
    auto& job = this->all.at(name);
    auto transition = job.committed;
    transition.state =
        job.cancelling ? JobState::kCancelled : JobState::kWaiting;
    this->Propose(job, transition, transitions);
  }
  for (const auto& name : std::set(this->set_aside)) {
    auto& job = this->all.at(name);
    // A job without a reason was set aside under an earlier leader, whose
    // failure counts are lost; it stays set aside.
    if (job.proposed || job.reason.empty()) continue;
    if (this->health.SetAsideReason(name)) continue;
    auto transition = job.committed;
    transition.state = JobState::kWaiting;
    this->Propose(job, transition, transitions);
  }
  return transitions;
}

std::vector<JobName> JobTable::JobsWithEndedLease(TimePoint now) const {
  std::vector<JobName> names;
  for (const auto& [worker, placed] : this->by_worker) {
    for (const auto& name : placed) {
      const auto& job = this->all.at(name);
      const bool settled =
          job.committed.state == JobState::kPlaced && !job.proposed;
      if (settled && job.lease.CertainlyEnded(now)) names.push_back(name);
    }
  }
  return names;
}

void JobTable::RequestStop(const JobName& name, TimePoint now) {
  const auto it = this->all.find(name);
  if (it == this->all.end() || it->second.spec.is_protected) return;
  if (!it->second.stop_requested) it->second.stop_requested = now;
}

const JobTable::Job* JobTable::Find(const JobName& name) const {
  const auto it = this->all.find(name);
  return it == this->all.end() ? nullptr : &it->second;
}

const std::set<JobName>& JobTable::PlacedOn(const InstanceName& worker) const {
  static const std::set<JobName> none;
  const auto it = this->by_worker.find(worker);
  return it == this->by_worker.end() ? none : it->second;
}

std::vector<LeasedTask> JobTable::LeasedTasks(
    const InstanceName& worker) const {
  std::vector<LeasedTask> tasks;
  for (const auto& name : this->PlacedOn(worker)) {
    const auto& job = this->all.at(name);
    tasks.push_back({name, CurrentPlacement(job)->lease, job.spec.is_protected,
                     job.checkpointed});
  }
  return tasks;
}

std::size_t JobTable::NumPlaced(const TeamName& team) const {
  const auto it = this->placed_by_team.find(team);
  return it == this->placed_by_team.end() ? 0 : it->second;
}

void JobTable::Index(const Job& job) {
  if (const auto* placement = CurrentPlacement(job)) {
    this->by_worker[placement->worker].insert(job.spec.name);
    ++this->placed_by_team[job.spec.team];
  } else if (job.committed.state == JobState::kWaiting && !job.proposed) {
    this->waiting_jobs.emplace(job.submitted, job.spec.name);
  } else if (job.committed.state == JobState::kSetAside) {
    this->set_aside.insert(job.spec.name);
  }
}

void JobTable::Unindex(const Job& job) {
  if (const auto* placement = CurrentPlacement(job)) {
    const auto it = this->by_worker.find(placement->worker);
    it->second.erase(job.spec.name);
    if (it->second.empty()) this->by_worker.erase(it);
    --this->placed_by_team[job.spec.team];
  } else {
    this->waiting_jobs.erase({job.submitted, job.spec.name});
    this->set_aside.erase(job.spec.name);
  }
}

void JobTable::Propose(Job& job, const JobTransition& transition,
                       std::vector<JobTransition>& transitions) {
  this->Unindex(job);
  job.proposed = transition;
  this->Index(job);
  transitions.push_back(transition);
}

void JobTable::HandleTask(const WorkerReport& report, const TaskReport& task,
                          TimePoint now, ReportResult& result) {
  const auto it = this->all.find(task.job);
  const bool current = it != this->all.end() &&
                       it->second.committed.state == JobState::kPlaced &&
                       it->second.committed.lease == task.lease &&
                       it->second.committed.worker == report.worker;
  if (!current) {
    // The end is already committed, or the task is of an earlier placement.
    if (IsEnded(task.state)) {
      result.answer.acknowledged.push_back({task.job, task.lease});
    }
    return;
  }
  auto& job = it->second;
  job.seen = true;
  job.checkpointed = task.state == TaskState::kCheckpointed;
  if (IsEnded(task.state)) {
    this->HandleEnd(job, report, task, now, result);
    return;
  }
  if (task.renew && !job.proposed) {
    job.lease.Grant(now);
    result.answer.renewals.push_back(
        {task.job, task.lease, job.lease.length()});
  }
  if (job.cancelling || job.stop_requested) this->AddStop(job, now, result);
}

void JobTable::AddStop(const Job& job, TimePoint now,
                       ReportResult& result) const {
  const bool grace_over =
      job.stop_requested &&
      now - *job.stop_requested >= this->config.checkpoint_grace;
  const auto& name = job.spec.name;
  const auto lease = job.committed.lease;
  const CommandBody body = job.cancelling || job.checkpointed || grace_over
                               ? CommandBody(StopTask{name, lease})
                               : CommandBody(CheckpointTask{name, lease});
  result.answer.commands.push_back(
      {this->view, job.committed.worker, job.committed.epoch, body});
}

void JobTable::HandleEnd(Job& job, const WorkerReport& report,
                         const TaskReport& task, TimePoint now,
                         ReportResult& result) {
  if (job.proposed) return;
  job.lease.End();
  auto transition = job.committed;
  transition.state = JobState::kWaiting;
  if (task.state == TaskState::kSucceeded) {
    this->health.RecordTaskSuccess(task.job, report.worker, now);
    transition.state = JobState::kSucceeded;
  } else if (job.cancelling) {
    transition.state = JobState::kCancelled;
  } else if (task.state == TaskState::kFailed) {
    this->health.RecordTaskFailure(task.job, report.worker, report.pool, now);
    if (auto reason = this->health.SetAsideReason(task.job)) {
      job.reason = *std::move(reason);
      transition.state = JobState::kSetAside;
    }
  }
  this->Propose(job, transition, result.transitions);
}

void JobTable::AddStarts(const WorkerReport& report, TimePoint now,
                         ReportResult& result) {
  // A draining worker refuses starts. Resending them would extend the lease
  // indefinitely, and the drain waits until the lease has ended.
  if (report.state != WorkerState::kReady) return;
  for (const auto& name : this->PlacedOn(report.worker)) {
    auto& job = this->all.at(name);
    if (job.committed.state != JobState::kPlaced || job.proposed) continue;
    if (job.seen || job.cancelling || job.stop_requested) continue;
    if (job.committed.epoch != report.epoch) continue;
    job.lease.Grant(now);
    result.answer.commands.push_back(
        {this->view, report.worker, job.committed.epoch,
         StartTask{name, job.committed.lease, job.lease.length(),
                   job.spec.declared}});
  }
}

void JobTable::EvictEndedJobs() {
  while (this->all.size() >= this->config.max_jobs &&
         !this->ended_jobs.empty()) {
    this->all.erase(this->ended_jobs.front());
    this->ended_jobs.pop_front();
  }
}

}  // namespace mimosastage
