#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

#include "mimosastage/jobs/dispatcher.h"
#include "mimosastage/jobs/value_bounds.h"

namespace mimosastage::jobs {

bool Dispatcher::HasNoYoungRunOfOthers(const Session& session,
                                       const std::string& job, TimePoint now) {
  return std::all_of(
      session.runs.begin(), session.runs.end(), [&](const auto& row) {
        const auto& [key, run] = row;
        return key.first.job == job ||
               (run.running_since.has_value() &&
                now - *run.running_since >= CrashLedger::kYoungRun);
      });
}

StepDemand Dispatcher::PartOf(const StepDemand& demand, bool implicated) const {
  const auto is_implicated = [&](std::uint32_t index) {
    TaskId task = demand.first;
    task.index = index;
    return this->state.Crashes().IsImplicated(task);
  };
  StepDemand part = demand;
  if (demand.step->gang) {
    // The members run together, so one that is implicated isolates all.
    const bool any = std::any_of(demand.waiting.begin(), demand.waiting.end(),
                                 is_implicated);
    if (any != implicated) {
      part.waiting.clear();
    }
    return part;
  }
  std::erase_if(part.waiting, [&](std::uint32_t index) {
    return is_implicated(index) != implicated;
  });
  return part;
}

void Dispatcher::FindImplicated() {
  const CrashLedger& crashes = this->state.Crashes();
  if (this->config.isolate_implicated &&
      this->implicated_version != crashes.Version()) {
    this->implicated_version = crashes.Version();
    this->implicated = crashes.ImplicatedTasks();
  }
}

void Dispatcher::EndIsolations() {
  if (this->isolated_workers == 0) {
    return;
  }
  this->isolated_workers = 0;
  const CrashLedger& crashes = this->state.Crashes();
  std::set<std::string> waiting;
  for (const auto& [id, tasks] : this->implicated) {
    const Job& job = *this->state.FindJob(id);
    if (std::any_of(tasks.begin(), tasks.end(), [&](const TaskId& task) {
          return job.At(task).active.empty();
        })) {
      waiting.insert(id);
    }
  }
  for (auto& [id, session] : this->sessions) {
    const std::string& job = session.isolated_job;
    if (job.empty()) {
      continue;
    }
    const bool runs_there = std::any_of(
        session.runs.begin(), session.runs.end(), [&](const auto& row) {
          return row.first.first.job == job &&
                 crashes.IsImplicated(row.first.first);
        });
    if (runs_there || (waiting.contains(job) && this->AcceptsTasks(session))) {
      ++this->isolated_workers;
    } else {
      session.isolated_job.clear();
      this->placement_needed = true;
    }
  }
}

std::size_t Dispatcher::PlaceImplicated(const std::string& pool,
                                        const PoolWorkers& workers,
                                        std::map<std::string, TeamQuota>& teams,
                                        std::size_t limit, TimePoint now) {
  const std::chrono::milliseconds wall = this->hooks.wall_time();
  std::vector<std::pair<StepUrgency, StepDemand>> demands;
  for (const auto& [job, tasks] : this->implicated) {
    this->waiting_steps.VisitJob(pool, job, [&](const WaitingStep& waiting) {
      if (waiting.advised && waiting.demand.approved == nullptr) {
        return;
      }
      if (StepDemand demand = this->PartOf(waiting.demand, true);
          !demand.waiting.empty()) {
        demands.emplace_back(waiting.UrgencyAt(wall), std::move(demand));
      }
    });
  }
  std::stable_sort(demands.begin(), demands.end(),
                   [](const auto& a, const auto& b) {
                     return PlacedBefore(a.first, b.first);
                   });
  std::size_t placed = 0;
  for (const auto& [urgency, demand] : demands) {
    const auto team = teams.find(demand.team);
    if (placed < limit) {
      placed += this->PlaceApart(pool, workers, demand,
                                 team == teams.end() ? nullptr : &team->second,
                                 limit - placed, now);
    }
  }
  return placed;
}

std::size_t Dispatcher::PlaceApart(const std::string& pool,
                                   const PoolWorkers& workers,
                                   const StepDemand& demand, TeamQuota* team,
                                   std::size_t limit, TimePoint now) {
  const Step& step = *demand.step;
  const std::string& job = demand.first.job;
  if (team != nullptr && !team->Admits(NeedOf(step))) {
    return 0;
  }
  std::size_t usable = 0;
  std::size_t isolated = 0;
  std::size_t kept = 0;
  std::vector<const PoolWorkers::Member*> ready;
  std::vector<const PoolWorkers::Member*> busy;
  for (const PoolWorkers::Member& member : workers.members) {
    if (!this->MayUse(member, now)) {
      continue;
    }
    ++usable;
    const std::string& kept_for = member.session->isolated_job;
    isolated += kept_for.empty() ? 0 : 1;
    kept += kept_for == job ? 1 : 0;
    if (!kept_for.empty() && kept_for != job) {
      continue;
    }
    if (HasNoYoungRunOfOthers(*member.session, job, now)) {
      ready.push_back(&member);
    } else if (kept_for.empty()) {
      busy.push_back(&member);
    }
  }
  const bool may_keep_more =
      isolated <
      std::max<std::size_t>(1, usable / this->config.isolation_divisor);
  const auto is_kept = [&](const PoolWorkers::Member* member) {
    return member->session->isolated_job == job;
  };
  const bool one_worker = !step.gang && kept > 0;
  if (one_worker || !may_keep_more) {
    // The tasks of a job are tried on one worker at a time, because each crash
    // costs a worker.
    std::erase_if(ready, [&](const auto* member) { return !is_kept(member); });
  }
  // A crash ends everything on the worker, so those with the fewest runs come
  // first.
  const auto has_fewer_runs = [&](const auto* a, const auto* b) {
    return std::make_tuple(!is_kept(a), a->session->runs.size()) <
           std::make_tuple(!is_kept(b), b->session->runs.size());
  };
  std::stable_sort(ready.begin(), ready.end(), has_fewer_runs);
  std::stable_sort(busy.begin(), busy.end(), has_fewer_runs);
  const auto keep = [&](const std::string& id) {
    std::string& kept_for = this->sessions.at(id).isolated_job;
    this->isolated_workers += kept_for.empty() ? 1 : 0;
    kept_for = job;
  };
  const auto try_workers =
      [&](const std::vector<const PoolWorkers::Member*>& members) {
        std::vector<CandidateWorker> candidates(members.size());
        for (std::size_t i = 0; i < members.size(); ++i) {
          candidates[i].id = members[i]->worker->id;
          candidates[i].labels = members[i]->worker->labels;
          this->UpdateCandidate(*members[i], candidates[i], now);
        }
        std::vector<Assignment> assignments;
        PlaceStep(demand, candidates, team, assignments, limit);
        for (const Assignment& assignment : assignments) {
          keep(candidates[assignment.candidate].id);
        }
        this->StartAssigned(pool, candidates, assignments, now);
        return assignments.size();
      };
  if (step.gang) {
    if (const std::size_t placed = try_workers(ready); placed > 0) {
      return placed;
    }
  } else {
    for (const PoolWorkers::Member* member : ready) {
      if (const std::size_t placed = try_workers({member}); placed > 0) {
        return placed;
      }
    }
  }
  const auto fits_alone = [&](const PoolWorkers::Member* member) {
    std::vector<CandidateWorker> candidates(1);
    candidates[0].id = member->worker->id;
    candidates[0].labels = member->worker->labels;
    candidates[0].free = CapacityOf(*member->worker);
    for (const auto& [key, run] : member->session->runs) {
      if (run.step->long_running) {
        Subtract(candidates[0].free, Charge(*run.step));
      }
    }
    StepDemand one = demand;
    one.waiting.resize(1);
    std::vector<Assignment> assignments;
    PlaceStep(one, candidates, nullptr, assignments);
    return step.gang || !assignments.empty();
  };
  for (const PoolWorkers::Member* member : ready) {
    // A limit on the tasks per worker, or long-running tasks, may keep the
    // implicated tasks off the worker for good.
    const bool tries = std::any_of(
        member->session->runs.begin(), member->session->runs.end(),
        [&](const auto& row) {
          return row.first.first.job == job &&
                 this->state.Crashes().IsImplicated(row.first.first);
        });
    if (is_kept(member) && !tries && !fits_alone(member)) {
      this->sessions.at(member->worker->id).isolated_job.clear();
      --this->isolated_workers;
      --kept;
    }
  }
  if (may_keep_more && (step.gang || kept == 0)) {
    if (const auto next = std::find_if(busy.begin(), busy.end(), fits_alone);
        next != busy.end()) {
      keep((*next)->worker->id);
      return 0;
    }
  }
  if (step.gang && !may_keep_more) {
    // The gang is too large for the workers that may be kept for it.
    std::vector<const PoolWorkers::Member*> all;
    for (const PoolWorkers::Member& member : workers.members) {
      if (this->MayUse(member, now) &&
          (member.session->isolated_job.empty() || is_kept(&member))) {
        all.push_back(&member);
      }
    }
    return try_workers(all);
  }
  return 0;
}

}  // namespace mimosastage::jobs
