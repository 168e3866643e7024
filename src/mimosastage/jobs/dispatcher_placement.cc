#include <algorithm>
#include <utility>

#include "mimosastage/jobs/dispatcher.h"

namespace mimosastage::jobs {
namespace {

using std::chrono::milliseconds;

/// Estimated duration of the longest chain of dependent steps that starts with
/// `step`.
milliseconds ChainFrom(const JobRequest& request, std::uint32_t step) {
  milliseconds longest{0};
  for (std::uint32_t next = step + 1; next < request.steps.size(); ++next) {
    const auto& after = request.steps[next]->after;
    if (std::find(after.begin(), after.end(), step) != after.end()) {
      longest = std::max(longest, ChainFrom(request, next));
    }
  }
  return longest + milliseconds(request.steps[step]->estimate_ms);
}

milliseconds LongestChain(const JobRequest& request) {
  milliseconds longest{0};
  for (std::uint32_t step = 0; step < request.steps.size(); ++step) {
    longest = std::max(longest, ChainFrom(request, step));
  }
  return longest;
}

milliseconds DueOf(const JobRequest& request, std::uint32_t occurrence) {
  if (request.occurrences == 0) {
    return milliseconds(request.accepted_ms);
  }
  return milliseconds(request.first_due_ms + occurrence * request.interval_ms);
}

constexpr std::chrono::milliseconds kLoadReportInterval{1'000};
constexpr std::chrono::milliseconds kBacklogCountInterval{100};

milliseconds ObjectiveOf(const JobRequest& request, const Queue& queue) {
  return std::chrono::duration_cast<milliseconds>(queue.stretch *
                                                  LongestChain(request)) +
         milliseconds(queue.target_ms);
}

std::size_t TasksOf(const JobRequest& request) {
  std::size_t tasks = 0;
  for (const auto& step : request.steps) {
    tasks += step->tasks;
  }
  return tasks;
}

bool IsWaiting(const Task& task, const Step& step) {
  return !task.done && task.active.empty() && step.tasks > 0;
}

}  // namespace

StepUrgency Dispatcher::UrgencyOf(const Job& job, const Queue& queue,
                                  std::uint32_t occurrence, std::uint32_t step,
                                  milliseconds wall) const {
  const JobRequest& request = *job.request;
  StepUrgency urgency;
  urgency.long_running = request.steps[step]->long_running;
  urgency.priority = queue.priority;
  urgency.objective = ObjectiveOf(request, queue);
  urgency.slack = DueOf(request, occurrence) + urgency.objective - wall -
                  ChainFrom(request, step);
  return urgency;
}

void Dispatcher::AddDemands(const Job& job, const Queue& queue,
                            std::vector<RankedDemand>& demands) const {
  const JobRequest& request = *job.request;
  const milliseconds wall = this->hooks.wall_time();
  for (std::uint32_t k = 0; k < job.Occurrences(); ++k) {
    if (wall < DueOf(request, k)) {
      continue;
    }
    for (std::uint32_t s = 0; s < request.steps.size(); ++s) {
      if (job.OpenTasks(k, s) == 0 || !job.StepReady(k, s)) {
        continue;
      }
      const Step& step = *request.steps[s];
      StepDemand demand;
      const std::size_t begin = job.StepBegin(k, s);
      bool has_active_runs = false;
      for (std::uint32_t i = 0; i < step.tasks; ++i) {
        const Task& task = job.tasks[begin + i];
        has_active_runs = has_active_runs || !task.active.empty();
        if (IsWaiting(task, step)) {
          demand.waiting.push_back(i);
        }
      }
      // A gang is placed again only once none of its runs is active.
      if (demand.waiting.empty() || (step.gang && has_active_runs)) {
        continue;
      }
      demand.team = request.team;
      demand.first = TaskId{request.id, k, s, 0};
      demand.step = &step;
      for (std::uint32_t i = 0; step.most_per_worker > 0 && i < step.tasks;
           ++i) {
        for (const ActiveRun& active : job.tasks[begin + i].active) {
          ++demand.on_worker[active.worker];
        }
      }
      demands.push_back(RankedDemand{this->UrgencyOf(job, queue, k, s, wall),
                                     std::move(demand), queue.advised});
    }
  }
}

std::optional<CandidateWorker> Dispatcher::MakeCandidate(const Worker& worker,
                                                         const Session& session,
                                                         TimePoint now) const {
  const auto eligibility =
      this->health.EligibilityOf(InstanceName(worker.id), now);
  if (eligibility == WorkerHealth::Eligibility::kQuarantined) {
    return std::nullopt;
  }
  CandidateWorker candidate;
  candidate.id = worker.id;
  candidate.labels = worker.labels;
  candidate.free = *worker.capacity;
  candidate.suspect = eligibility == WorkerHealth::Eligibility::kProbe ||
                      this->speed.IsSlow(worker.id, now);
  Subtract(candidate.free, session.used);
  for (const auto& [key, run] : session.runs) {
    candidate.fillers += run.step->filler ? 1 : 0;
    candidate.serving +=
        run.step->tail_target_ms > 0 && !run.step->filler ? 1 : 0;
  }
  return candidate;
}

std::vector<CandidateWorker> Dispatcher::CandidateWorkers(
    const std::string& pool, TimePoint now) const {
  std::vector<CandidateWorker> candidates;
  // Sessions and workers are both ordered by id, and each session has a worker.
  auto session = this->sessions.begin();
  for (const auto& [id, worker] : this->state.Workers()) {
    if (worker.pool != pool) {
      continue;
    }
    while (session != this->sessions.end() && session->first < id) {
      ++session;
    }
    if (session == this->sessions.end() || session->first != id ||
        !this->AcceptsTasks(session->second)) {
      continue;
    }
    if (auto candidate = this->MakeCandidate(worker, session->second, now);
        candidate.has_value()) {
      candidates.push_back(*std::move(candidate));
    }
  }
  return candidates;
}

std::map<std::string, TeamQuota> Dispatcher::TeamQuotas() const {
  std::map<std::string, TeamQuota> teams;
  for (const auto& team : this->state.Config().teams) {
    if (team->upper_limit != nullptr) {
      teams[team->name] = TeamQuota{*team->upper_limit, *team->upper_limit};
    }
  }
  for (const auto& [id, session] : this->sessions) {
    for (const auto& [key, run] : session.runs) {
      if (const auto found = teams.find(run.request->team);
          found != teams.end()) {
        Subtract(found->second.free, *run.step->need);
      }
    }
  }
  return teams;
}

void Dispatcher::CountBacklog(TimePoint now) {
  if (now < this->next_backlog_count) {
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
  const bool lasts =
      std::any_of(request.steps.begin(), request.steps.end(),
                  [](const auto& step) { return step->long_running; });
  if (lasts || request.occurrences > 0) {
    return std::nullopt;
  }
  const auto wait = this->admission.ExpectedWait(now);
  const milliseconds slack =
      ObjectiveOf(request, queue) - LongestChain(request);
  if (!wait.has_value() || *wait <= slack) {
    return std::nullopt;
  }
  return *wait - slack;
}

void Dispatcher::OnAccepted(const JobRequest& request) {
  this->admission.OnAccepted(TasksOf(request));
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
    load.capacity += worker.capacity->millicores;
    load.used += session.used.millicores;
    for (const auto& [key, run] : session.runs) {
      load.long_running +=
          run.step->long_running ? Charge(*run.step).millicores : 0;
    }
  }
  for (const auto& [pool, waiting] : this->waiting_millicores) {
    loads[pool].waiting = waiting;
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

void Dispatcher::PlaceTasks(TimePoint now) {
  std::map<std::string, std::vector<RankedDemand>> by_pool;
  for (const auto& [accepted, id] : this->state.OpenJobs()) {
    const Job& job = *this->state.FindJob(id);
    const Queue* queue = this->state.FindQueue(job.request->queue);
    if (queue != nullptr) {
      this->AddDemands(job, *queue, by_pool[queue->pool]);
    }
  }
  this->waiting_millicores.clear();
  this->waiting_memory_mb.clear();
  for (const auto& [pool, ranked] : by_pool) {
    for (const RankedDemand& ranked_demand : ranked) {
      this->waiting_millicores[pool] +=
          static_cast<std::int64_t>(ranked_demand.demand.waiting.size()) *
          Charge(*ranked_demand.demand.step).millicores;
      this->waiting_memory_mb[pool] +=
          static_cast<std::int64_t>(ranked_demand.demand.waiting.size()) *
          Charge(*ranked_demand.demand.step).memory_mb;
    }
  }
  std::erase_if(by_pool, [](const auto& row) { return row.second.empty(); });
  std::map<std::string, TeamQuota> teams;
  if (!by_pool.empty()) {
    teams = this->TeamQuotas();
  }
  std::size_t pools_left = by_pool.size();
  for (auto& [pool, ranked] : by_pool) {
    // Each pool gets an equal part of the start window, so that a long queue
    // for one pool doesn't keep the tasks of the others from starting.
    const std::size_t room = this->start_window.Room();
    const std::size_t limit = (room + pools_left - 1) / pools_left;
    --pools_left;
    if (limit == 0) {
      continue;
    }
    std::vector<CandidateWorker> candidates = this->CandidateWorkers(pool, now);
    if (candidates.empty()) {
      continue;
    }
    std::stable_sort(ranked.begin(), ranked.end(),
                     [](const RankedDemand& a, const RankedDemand& b) {
                       return PlacedBefore(a.urgency, b.urgency);
                     });
    this->ApplyAdvice(ranked, candidates, now);
    std::vector<StepDemand> demands;
    for (RankedDemand& ranked_demand : ranked) {
      demands.push_back(std::move(ranked_demand.demand));
    }
    std::map<std::pair<std::string, std::uint32_t>, std::uint32_t> gang_runs;
    for (const Assignment& assignment :
         Place(demands, candidates, teams, limit)) {
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
      this->waiting_millicores[pool] -= Charge(step).millicores;
      this->waiting_memory_mb[pool] -= Charge(step).memory_mb;
      if (this->health.EligibilityOf(InstanceName(worker), now) ==
          WorkerHealth::Eligibility::kProbe) {
        this->health.ProbeStarted(InstanceName(worker), now);
      }
      this->StartRun(task, number, worker);
    }
  }
  this->ReportLoads(now);
  this->ForgetAdvice(now);
}

}  // namespace mimosastage::jobs
