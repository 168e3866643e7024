#include <algorithm>
#include <utility>

#include "mimosastage/jobs/dispatcher.h"
#include "mimosastage/jobs/value_bounds.h"

namespace mimosastage::jobs {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kLoadReportInterval{1'000};
constexpr milliseconds kBacklogCountInterval{100};

std::size_t TasksOf(const JobRequest& request) {
  std::size_t tasks = 0;
  for (const auto& step : request.steps) {
    tasks += step->tasks;
  }
  return tasks;
}

}  // namespace

void Dispatcher::AddToSums(Session& session, const Run& run) {
  const Step& step = *run.step;
  Add(session.used, Charge(step));
  if (run.late) {
    Add(session.late_used, Charge(step));
  }
  session.fillers += step.filler ? 1 : 0;
  session.serving += IsServing(step) ? 1 : 0;
  Add(this->used_by_team[run.request->team], NeedOf(step));
  CountUse(session, run, 1);
}

void Dispatcher::SubtractFromSums(Session& session, const Run& run) {
  const Step& step = *run.step;
  Subtract(session.used, Charge(step));
  if (run.late) {
    Subtract(session.late_used, Charge(step));
  }
  session.fillers -= step.filler ? 1 : 0;
  session.serving -= IsServing(step) ? 1 : 0;
  Subtract(this->used_by_team[run.request->team], NeedOf(step));
  CountUse(session, run, -1);
}

void Dispatcher::IndexWorkers() {
  if (this->indexed_workers_version == this->state.WorkersVersion()) {
    return;
  }
  this->indexed_workers_version = this->state.WorkersVersion();
  this->pool_workers.clear();
  // Both are ordered by id.
  auto session = this->sessions.begin();
  for (const auto& [id, worker] : this->state.Workers()) {
    while (session != this->sessions.end() && session->first < id) {
      ++session;
    }
    if (session == this->sessions.end()) {
      break;
    }
    if (session->first == id) {
      this->pool_workers[worker.pool].members.push_back(
          PoolWorkers::Member{&worker, &session->second});
    }
  }
  this->IndexShares();
}

WorkerHealth::Eligibility Dispatcher::EligibilityOf(const std::string& worker,
                                                    TimePoint now) const {
  return this->health.AnyQuarantined()
             ? this->health.EligibilityOf(InstanceName(worker), now)
             : WorkerHealth::Eligibility::kHealthy;
}

bool Dispatcher::MayUse(const PoolWorkers::Member& member,
                        TimePoint now) const {
  return this->AcceptsTasks(*member.session) && !member.session->released &&
         this->EligibilityOf(member.worker->id, now) !=
             WorkerHealth::Eligibility::kQuarantined;
}

void Dispatcher::UpdateCandidate(const PoolWorkers::Member& member,
                                 CandidateWorker& candidate,
                                 TimePoint now) const {
  const auto& [worker, session] = member;
  candidate.free = CapacityOf(*worker);
  Subtract(candidate.free, session->used);
  candidate.fillers = session->fillers;
  candidate.serving = session->serving;
  candidate.suspect = this->EligibilityOf(worker->id, now) ==
                          WorkerHealth::Eligibility::kProbe ||
                      this->speed.IsSlow(worker->id, now);
}

void Dispatcher::UpdateCandidates(PoolWorkers& workers, TimePoint now) {
  std::size_t count = 0;
  for (const PoolWorkers::Member& member : workers.members) {
    const auto& [worker, session] = member;
    if (!session->isolated_job.empty() || !this->MayUse(member, now)) {
      continue;
    }
    if (count == workers.candidates.size()) {
      workers.candidates.emplace_back();
      workers.sources.push_back(nullptr);
    }
    CandidateWorker& candidate = workers.candidates[count];
    if (std::exchange(workers.sources[count], worker) != worker) {
      candidate.id = worker->id;
      candidate.labels = worker->labels;
    }
    ++count;
    this->UpdateCandidate(member, candidate, now);
    const auto left = this->starts_left.find(session->carrier);
    candidate.starts_left =
        left == this->starts_left.end() ? nullptr : &left->second;
  }
  workers.candidates.resize(count);
  workers.sources.resize(count);
}

std::map<std::string, TeamQuota> Dispatcher::TeamQuotas() const {
  std::map<std::string, TeamQuota> teams;
  for (const auto& team : this->state.Config().teams) {
    if (team->upper_limit == nullptr) {
      continue;
    }
    const Amount limit = UpperLimitOf(*team);
    TeamQuota quota{limit, limit};
    if (const auto used = this->used_by_team.find(team->name);
        used != this->used_by_team.end()) {
      Subtract(quota.free, used->second);
    }
    teams[team->name] = quota;
  }
  return teams;
}

void Dispatcher::CountBacklog(TimePoint now) {
  // The backlog matters only while the leader is overloaded.
  if (now < this->next_backlog_count || !this->admission.IsOverloaded(now)) {
    return;
  }
  this->next_backlog_count = now + kBacklogCountInterval;
  std::size_t tasks = 0;
  for (const auto& [accepted, id] : this->state.OpenJobs()) {
    const Job& job = *this->state.FindJob(id);
    // Scheduled jobs aren't due yet, or were accepted long before.
    if (job.tasks.empty() || job.request->occurrences > 0) {
      continue;
    }
    std::size_t open = 0;
    for (std::uint32_t step = 0; step < job.request->steps.size(); ++step) {
      open += job.OpenTasks(0, step);
    }
    tasks += open - std::min<std::size_t>(open, job.active_runs);
  }
  this->admission.SetBacklog(tasks);
}

std::optional<milliseconds> Dispatcher::OverloadDelay(const JobRequest& request,
                                                      const Queue& queue,
                                                      TimePoint now) const {
  const auto wait = this->admission.ExpectedWait(now);
  const bool lasts =
      std::any_of(request.steps.begin(), request.steps.end(),
                  [](const auto& step) { return step->long_running; });
  if (!wait.has_value() || lasts || request.occurrences > 0) {
    return std::nullopt;
  }
  const milliseconds chain =
      LongestChain(request, queue, this->MakeExpectedDuration());
  const milliseconds slack = ObjectiveOf(chain, queue) - chain;
  if (*wait <= slack) {
    return std::nullopt;
  }
  return *wait - slack;
}

void Dispatcher::OnAccepted(const JobRequest& request, const Queue& queue,
                            TimePoint now) {
  this->admission.OnAccepted(TasksOf(request));
  this->ObserveDemand(request, queue, now);
  if (this->config.fair_shares) {
    this->owed_jobs.OnAccepted(request.team, this->WeightOf(request.team),
                               this->hooks.wall_time());
  }
}

void Dispatcher::ReportLoads(TimePoint now) {
  if (now < this->next_load_report) {
    return;
  }
  this->next_load_report = now + kLoadReportInterval;
  struct Load {
    int workers = 0;
    int usable = 0;
    std::int64_t capacity = 0;
    std::int64_t used = 0;
    std::int64_t long_running = 0;
    std::int64_t waiting = 0;
  };
  std::map<std::string, Load> loads;
  for (const auto& [id, worker] : this->state.Workers()) {
    const Session& session = this->sessions.at(id);
    Load& load = loads[worker.pool];
    ++load.workers;
    load.usable += this->AcceptsTasks(session) ? 1 : 0;
    load.capacity += CapacityOf(worker).millicores;
    load.used += session.used.millicores;
    for (const auto& [key, run] : session.runs) {
      load.long_running +=
          run.step->long_running ? Charge(*run.step).millicores : 0;
    }
  }
  for (const auto& [pool, waiting] : this->waiting_sums) {
    loads[pool].waiting = waiting.millicores;
  }
  for (const auto& [pool, load] : loads) {
    this->hooks.report("pool_load", pool,
                       "workers " + std::to_string(load.workers) + " usable " +
                           std::to_string(load.usable) + " cores " +
                           std::to_string(load.capacity / 1'000) + " used " +
                           std::to_string(load.used / 1'000) +
                           " long_running " +
                           std::to_string(load.long_running / 1'000) +
                           " waiting " + std::to_string(load.waiting / 1'000));
  }
}

Duration Dispatcher::PlacementInterval() const {
  const auto workers = static_cast<std::int64_t>(this->sessions.size());
  return std::max<Duration>(
      this->config.min_placement_interval,
      this->config.placement_interval_per_worker * workers);
}

std::size_t Dispatcher::ShareStartWindows(std::size_t pools_left) {
  const auto share = [&](std::size_t room) {
    return (room + pools_left - 1) / pools_left;
  };
  this->starts_left.clear();
  if (this->config.window_per_carrier) {
    this->starts_left = this->start_windows.Rooms();
    for (auto& [carrier, left] : this->starts_left) {
      left = share(left);
    }
  }
  return share(this->start_windows.Room());
}

void Dispatcher::RecordWait(Session& session, const OpenOrder& order,
                            const WorkerReply& reply, TimePoint now) {
  const Duration wait =
      (reply.result == OrderResult::kNotStarted ? now : reply.started_at) -
      order.sent;
  if (!this->config.window_per_carrier) {
    this->start_windows.OnWait(session.carrier, wait, now);
    return;
  }
  if (reply.started_at != TimePoint{} ||
      reply.result == OrderResult::kNotStarted) {
    this->start_windows.OnWait(reply.carrier, wait, now);
  }
  session.carrier = reply.carrier.value_or(session.carrier);
}

void Dispatcher::PlaceTasks(TimePoint now) {
  this->ClearSurvivors(now);
  this->StopGivenUpJobs(now);
  this->FindImplicated();
  this->EndIsolations();
  this->ObserveRunningTasks(now);
  this->waiting_steps.Refresh(this->hooks.wall_time());
  this->IndexWorkers();
  this->waiting_sums = this->waiting_steps.SumsByPool();
  std::map<std::string, TeamQuota> teams;
  if (!this->waiting_sums.empty()) {
    teams = this->TeamQuotas();
  }
  this->EndShortages();
  std::size_t pools_left = this->waiting_sums.size();
  for (const auto& [pool, sums] : this->waiting_sums) {
    // Each pool gets an equal part of the start window, so that a long queue
    // for one pool doesn't keep the tasks of the others from starting.
    const std::size_t limit = this->ShareStartWindows(pools_left);
    --pools_left;
    if (const auto workers = this->pool_workers.find(pool);
        limit > 0 && workers != this->pool_workers.end()) {
      this->PlaceTasksOf(pool, workers->second, teams, limit, now);
    }
  }
  this->CopyStragglers(now);
  this->ReportLoads(now);
  this->ForgetAdvice(now);
}

void Dispatcher::PlaceTasksOf(const std::string& pool, PoolWorkers& workers,
                              std::map<std::string, TeamQuota>& teams,
                              std::size_t limit, TimePoint now) {
  this->UpdateCandidates(workers, now);
  const bool any_implicated = !this->implicated.empty();
  if (workers.candidates.empty() && !any_implicated) {
    return;
  }
  this->ApplyAdvice(pool, workers.candidates, now);
  if (any_implicated) {
    limit -= std::min(limit,
                      this->PlaceImplicated(pool, workers, teams, limit, now));
    this->UpdateCandidates(workers, now);
    if (limit == 0 || workers.candidates.empty()) {
      return;
    }
  }
  ShareRound round = this->BeginShareRound(pool, workers.candidates);
  std::vector<Assignment> assignments;
  round.most_free = MostFree(workers.candidates);
  const auto place = [&](const WaitingStep& waiting) {
    if (waiting.advised && waiting.demand.approved == nullptr) {
      return WaitingSteps::Next::kContinue;
    }
    if (assignments.size() >= limit) {
      round.is_complete = false;
      return WaitingSteps::Next::kStop;
    }
    const auto team = teams.find(waiting.demand.team);
    TeamQuota* const quota = team == teams.end() ? nullptr : &team->second;
    if (this->implicated.contains(waiting.request->id)) {
      const StepDemand others = this->PartOf(waiting.demand, false);
      if (others.waiting.size() < waiting.demand.waiting.size()) {
        if (!others.waiting.empty()) {
          PlaceStep(others, workers.candidates, quota, assignments,
                    limit - assignments.size());
        }
        return WaitingSteps::Next::kContinue;
      }
    }
    return this->PlaceInRound(round, waiting, workers.candidates, quota,
                              assignments, limit - assignments.size());
  };
  this->waiting_steps.Visit(pool, place, round.shares);
  this->Preempt(pool, round, workers.candidates, now);
  this->EndShareRound(pool, round, now);
  this->StartAssigned(pool, workers.candidates, assignments, now);
}

void Dispatcher::StartAssigned(const std::string& pool,
                               const std::vector<CandidateWorker>& candidates,
                               const std::vector<Assignment>& assignments,
                               TimePoint now) {
  if (assignments.empty()) {
    return;
  }
  WaitingSteps::Sums& waiting = this->waiting_sums.at(pool);
  std::map<std::pair<std::string, std::uint32_t>, std::uint32_t> gang_runs;
  for (const Assignment& assignment : assignments) {
    const TaskId& task = assignment.task;
    const Job& job = *this->state.FindJob(task.job);
    const Step& step = *job.request->steps[task.step];
    std::uint32_t number = job.At(task).runs + 1;
    if (step.gang) {
      // All members of a gang have the same run number.
      std::uint32_t& shared = gang_runs[{
          task.job + "." + std::to_string(task.occurrence), task.step}];
      if (shared == 0) {
        const std::size_t begin = job.StepBegin(task.occurrence, task.step);
        for (std::size_t i = 0; i < step.tasks; ++i) {
          shared = std::max(shared, job.tasks[begin + i].runs + 1);
        }
      }
      number = shared;
    }
    const std::string& worker = candidates[assignment.candidate].id;
    const Amount charge = Charge(step);
    waiting.millicores -= charge.millicores;
    waiting.memory_mb -= charge.memory_mb;
    if (assignment.late) {
      waiting.late_millicores -= charge.millicores;
      waiting.late_memory_mb -= charge.memory_mb;
    }
    if (this->health.AnyQuarantined() &&
        this->health.EligibilityOf(InstanceName(worker), now) ==
            WorkerHealth::Eligibility::kProbe) {
      this->health.ProbeStarted(InstanceName(worker), now);
    }
    this->StartRun(task, number, worker, assignment.late);
  }
}

}  // namespace mimosastage::jobs
