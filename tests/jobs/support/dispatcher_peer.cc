#include "tests/jobs/support/dispatcher_peer.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <tuple>

namespace mimosastage::jobs {
namespace {

using std::chrono::milliseconds;

/// The limits of calls to the advisory service.
constexpr std::size_t kMaxOpenCalls = 8;
constexpr std::size_t kWorkersPerCall = 30;
constexpr milliseconds kTicketMargin{300};
constexpr milliseconds kAdviceTimeout{6'000};

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

milliseconds NaiveLongestChain(const JobRequest& request) {
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

bool IsWaiting(const Task& task, const Step& step) {
  return !task.done && task.active.empty() && step.tasks > 0;
}

bool HasLabel(const CandidateWorker& candidate, const std::string& label) {
  return label.empty() ||
         std::find(candidate.labels.begin(), candidate.labels.end(), label) !=
             candidate.labels.end();
}

bool CanTake(const StepDemand& demand, const CandidateWorker& candidate,
             const std::map<std::string, std::size_t>& on_worker) {
  const Step& step = *demand.step;
  if (!Fits(step, candidate.free) ||
      !HasLabel(candidate, step.required_label)) {
    return false;
  }
  if (demand.approved != nullptr && !demand.approved->contains(candidate.id)) {
    return false;
  }
  const auto found = on_worker.find(candidate.id);
  return step.most_per_worker == 0 || found == on_worker.end() ||
         found->second < step.most_per_worker;
}

/// Sort key of a candidate; larger is better. Healthy workers come first, then
/// those in the preferred rack, then those with the least interference between
/// fillers and serving tasks, then the fullest ones.
auto Preference(const StepDemand& demand, const CandidateWorker& candidate,
                const std::string& rack) {
  const Step& step = *demand.step;
  const bool near =
      (!step.data_rack.empty() && candidate.Rack() == step.data_rack) ||
      (step.same_rack && !rack.empty() && candidate.Rack() == rack);
  const std::int64_t interference =
      step.filler ? -static_cast<std::int64_t>(candidate.serving)
                  : -static_cast<std::int64_t>(
                        step.tail_target_ms > 0 ? candidate.fillers : 0);
  // Packing tasks onto few workers keeps the others free to be moved to another
  // pool or to take large tasks.
  return std::make_tuple(!candidate.suspect, near, interference,
                         -candidate.free.millicores);
}

/// Places the waiting tasks of one step. If the step is a gang and not all of
/// its tasks fit, all reservations are undone.
class NaiveStepPlacer {
 public:
  NaiveStepPlacer(const StepDemand& demand,
                  std::vector<CandidateWorker>& candidates, TeamQuota* team)
      : demand(demand),
        candidates(candidates),
        team(team),
        on_worker(demand.on_worker) {}

  std::vector<Assignment> Run(std::size_t most) {
    for (const std::uint32_t index : this->demand.waiting) {
      if (this->placed.size() == most || !this->PlaceOne(index)) {
        break;
      }
    }
    if (this->demand.step->gang &&
        this->placed.size() < this->demand.waiting.size()) {
      this->Undo();
    }
    return std::move(this->placed);
  }

 private:
  bool PlaceOne(std::uint32_t index) {
    const Step& step = *this->demand.step;
    const Amount need = Charge(step);
    if (this->team != nullptr && !this->team->Admits(*step.need)) {
      return false;
    }
    std::size_t best = this->candidates.size();
    for (std::size_t i = 0; i < this->candidates.size(); ++i) {
      if (CanTake(this->demand, this->candidates[i], this->on_worker) &&
          (best == this->candidates.size() ||
           Preference(this->demand, this->candidates[best], this->rack) <
               Preference(this->demand, this->candidates[i], this->rack))) {
        best = i;
      }
    }
    if (best == this->candidates.size()) {
      return false;
    }
    CandidateWorker& candidate = this->candidates[best];
    Subtract(candidate.free, need);
    candidate.fillers += step.filler ? 1 : 0;
    candidate.serving += step.tail_target_ms > 0 && !step.filler ? 1 : 0;
    if (this->team != nullptr) {
      Subtract(this->team->free, *step.need);
    }
    ++this->on_worker[candidate.id];
    if (this->rack.empty()) {
      this->rack = candidate.Rack();
    }
    TaskId task = this->demand.first;
    task.index = index;
    this->placed.push_back(Assignment{std::move(task), best});
    return true;
  }

  void Undo() {
    const Step& step = *this->demand.step;
    for (const Assignment& assignment : this->placed) {
      CandidateWorker& candidate = this->candidates[assignment.candidate];
      Add(candidate.free, Charge(step));
      candidate.fillers -= step.filler ? 1 : 0;
      candidate.serving -= step.tail_target_ms > 0 && !step.filler ? 1 : 0;
      if (this->team != nullptr) {
        Add(this->team->free, *step.need);
      }
    }
    this->placed.clear();
  }

  const StepDemand& demand;
  std::vector<CandidateWorker>& candidates;
  TeamQuota* team;
  std::map<std::string, std::size_t> on_worker;
  std::string rack;
  std::vector<Assignment> placed;
};

}  // namespace

StepUrgency DispatcherPeer::UrgencyOf(const Job& job, const Queue& queue,
                                      std::uint32_t occurrence,
                                      std::uint32_t step, milliseconds wall) {
  const JobRequest& request = *job.request;
  StepUrgency urgency;
  urgency.long_running = request.steps[step]->long_running;
  urgency.priority = queue.priority;
  const milliseconds chain = NaiveLongestChain(request);
  urgency.objective =
      std::chrono::duration_cast<milliseconds>(queue.stretch * chain) +
      milliseconds(queue.target_ms);
  const milliseconds own_chain = ChainFrom(request, step);
  urgency.slack =
      DueOf(request, occurrence) + urgency.objective - wall - own_chain;
  const Step& record = *request.steps[step];
  const std::size_t begin = job.StepBegin(occurrence, step);
  urgency.begun = !record.after.empty();
  for (std::uint32_t i = 0; i < record.tasks; ++i) {
    urgency.begun |= !IsWaiting(job.tasks[begin + i], record);
  }
  if (!urgency.begun && !urgency.long_running) {
    urgency.slack -= StartMargin(own_chain);
  }
  return urgency;
}

void DispatcherPeer::AddDemands(const Job& job, const Queue& queue,
                                std::vector<RankedDemand>& demands) const {
  const JobRequest& request = *job.request;
  const milliseconds wall = this->dispatcher.hooks.wall_time();
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
      demands.push_back(RankedDemand{UrgencyOf(job, queue, k, s, wall),
                                     std::move(demand), queue.advised});
    }
  }
}

std::vector<CandidateWorker> DispatcherPeer::CandidateWorkers(
    const std::string& pool, TimePoint now) const {
  std::vector<CandidateWorker> candidates;
  for (const auto& [id, worker] : this->dispatcher.state.Workers()) {
    const auto session = this->dispatcher.sessions.find(id);
    if (worker.pool != pool || session == this->dispatcher.sessions.end() ||
        !this->dispatcher.AcceptsTasks(session->second)) {
      continue;
    }
    const auto eligibility =
        this->dispatcher.health.EligibilityOf(InstanceName(id), now);
    if (eligibility == WorkerHealth::Eligibility::kQuarantined) {
      continue;
    }
    CandidateWorker candidate;
    candidate.id = id;
    candidate.labels = worker.labels;
    candidate.free = *worker.capacity;
    candidate.suspect = eligibility == WorkerHealth::Eligibility::kProbe ||
                        this->dispatcher.speed.IsSlow(id, now);
    for (const auto& [key, run] : session->second.runs) {
      Subtract(candidate.free, Charge(*run.step));
      candidate.fillers += run.step->filler ? 1 : 0;
      candidate.serving +=
          run.step->tail_target_ms > 0 && !run.step->filler ? 1 : 0;
    }
    candidates.push_back(std::move(candidate));
  }
  return candidates;
}

std::map<std::string, TeamQuota> DispatcherPeer::TeamQuotas() const {
  std::map<std::string, TeamQuota> teams;
  for (const auto& team : this->dispatcher.state.Config().teams) {
    if (team->upper_limit != nullptr) {
      teams[team->name] = TeamQuota{*team->upper_limit, *team->upper_limit};
    }
  }
  for (const auto& [id, session] : this->dispatcher.sessions) {
    for (const auto& [key, run] : session.runs) {
      if (const auto found = teams.find(run.request->team);
          found != teams.end()) {
        Subtract(found->second.free, *run.step->need);
      }
    }
  }
  return teams;
}

void DispatcherPeer::ApplyAdvice(
    std::vector<RankedDemand>& ranked,
    const std::vector<CandidateWorker>& candidates,
    std::map<std::string, Dispatcher::Advice>& advice, Placement& placement,
    TimePoint now) const {
  std::erase_if(ranked, [&](RankedDemand& ranked_demand) {
    if (!ranked_demand.advised) {
      return false;
    }
    const std::string step = Dispatcher::StepName(ranked_demand.demand.first);
    Dispatcher::Advice& known = advice[step];
    if (now + kTicketMargin < known.valid_until && !known.approved.empty()) {
      ranked_demand.demand.approved = &known.approved;
      return false;
    }
    const std::size_t open_calls =
        this->dispatcher.advice_requests.size() + placement.advice_calls.size();
    if (now >= known.next_attempt && open_calls < kMaxOpenCalls) {
      std::vector<std::string> workers;
      const std::size_t count = std::min(kWorkersPerCall, candidates.size());
      for (std::size_t i = 0; i < count; ++i) {
        workers.push_back(
            candidates[(known.offset + i) % candidates.size()].id);
      }
      known.next_attempt = now + kAdviceTimeout;
      placement.advice_calls.emplace_back(step, std::move(workers));
    }
    return true;
  });
}

std::uint32_t DispatcherPeer::RunNumber(const TaskId& task) const {
  const Job& job = *this->dispatcher.state.FindJob(task.job);
  const Step& step = *job.request->steps[task.step];
  std::uint32_t number = job.At(task).runs + 1;
  for (std::uint32_t i = 0; step.gang && i < step.tasks; ++i) {
    number = std::max(
        number,
        job.At(TaskId{task.job, task.occurrence, task.step, i}).runs + 1);
  }
  return number;
}

DispatcherPeer::Placement DispatcherPeer::PlanNaively(TimePoint now) const {
  Placement placement;
  std::map<std::string, std::vector<RankedDemand>> by_pool;
  for (const auto& pool : this->dispatcher.state.Config().pools) {
    placement.anti_affine[pool->name] = 0;
  }
  for (const auto& [accepted, id] : this->dispatcher.state.OpenJobs()) {
    const Job& job = *this->dispatcher.state.FindJob(id);
    const Queue* queue = job.queue.get();
    if (queue != nullptr) {
      this->AddDemands(job, *queue, by_pool[queue->pool]);
      for (const auto& step : job.request->steps) {
        std::size_t& instances = placement.anti_affine[queue->pool];
        if (step->long_running && step->most_per_worker > 0) {
          instances = std::max<std::size_t>(
              instances, (step->tasks + step->most_per_worker - 1) /
                             step->most_per_worker);
        }
      }
    }
  }
  std::erase_if(by_pool, [](const auto& row) { return row.second.empty(); });
  std::map<std::string, TeamQuota> teams = this->TeamQuotas();
  std::map<std::string, Dispatcher::Advice> advice = this->dispatcher.advice;
  const std::set<std::string> short_pools = this->ShortPools();
  for (const std::string& pool : short_pools) {
    const auto& sessions = this->dispatcher.sessions;
    const bool has_workers =
        std::any_of(sessions.begin(), sessions.end(), [&](const auto& row) {
          return this->dispatcher.state.Workers().at(row.first).pool == pool;
        });
    // Without a placement, it isn't known whether the pool is still short.
    if (by_pool.contains(pool) && has_workers &&
        this->CandidateWorkers(pool, now).empty()) {
      placement.short_pools.insert(pool);
    }
  }
  for (auto& [pool, ranked] : by_pool) {
    auto& waiting = placement.waiting[pool];
    auto& late = placement.late[pool];
    const auto add = [&](const RankedDemand& row, std::int64_t count) {
      const Amount charge = Charge(*row.demand.step);
      waiting.first += count * charge.millicores;
      waiting.second += count * charge.memory_mb;
      if (row.urgency.slack.count() < 0 && !row.urgency.long_running) {
        late.first += count * charge.millicores;
        late.second += count * charge.memory_mb;
      }
    };
    for (const RankedDemand& row : ranked) {
      add(row, static_cast<std::int64_t>(row.demand.waiting.size()));
      const bool counts =
          row.urgency.slack.count() >= 0 && !row.urgency.long_running;
      const Step& step = *row.demand.step;
      placement.backlogs[{pool, row.demand.team}] +=
          counts ? static_cast<double>(Charge(step).millicores) *
                       static_cast<double>(step.estimate_ms) *
                       static_cast<double>(row.demand.waiting.size())
                 : 0.0;
    }
    std::vector<CandidateWorker> candidates = this->CandidateWorkers(pool, now);
    if (candidates.empty()) {
      continue;
    }
    NaiveShares shares = this->SharesOf(pool, ranked, candidates);
    std::stable_sort(ranked.begin(), ranked.end(),
                     [](const RankedDemand& a, const RankedDemand& b) {
                       return PlacedBefore(a.urgency, b.urgency);
                     });
    this->ApplyAdvice(ranked, candidates, advice, placement, now);
    const auto placed = [&](const RankedDemand& row,
                            const Assignment& assignment) {
      placement.starts.push_back(Start{assignment.task,
                                       this->RunNumber(assignment.task),
                                       candidates[assignment.candidate].id});
      add(row, -1);
    };
    const bool in_force = short_pools.contains(pool);
    if (PlaceRanked(ranked, in_force ? &shares : nullptr, candidates, teams,
                    placed) &&
        this->dispatcher.config.fair_shares) {
      placement.short_pools.insert(pool);
    }
  }
  return placement;
}

ShareRank DispatcherPeer::NaiveShares::RankOf(const std::string& team) const {
  double total = 0;
  for (const auto& [name, weight] : this->weights) {
    total += weight;
  }
  const auto part = [](std::int64_t used, std::int64_t capacity) {
    const double most =
        static_cast<double>(used) / static_cast<double>(capacity);
    return used <= 0 ? 0.0 : capacity <= 0 ? 1.0 : most;
  };
  const Amount& use = this->used.at(team);
  const double dominant =
      std::max({part(use.millicores, this->capacity.millicores),
                part(use.memory_mb, this->capacity.memory_mb),
                part(use.accelerators, this->capacity.accelerators)});
  const double weight = this->weights.at(team);
  if (weight > 0 && dominant < weight / total) {
    return ShareRank{};
  }
  return ShareRank{true, weight > 0 ? dominant / weight
                                    : std::numeric_limits<double>::infinity()};
}

std::size_t DispatcherPeer::NaiveShares::TasksAtOnce(
    const StepDemand& demand) const {
  if (demand.step->gang || demand.step->long_running) {
    return demand.waiting.size();
  }
  constexpr std::size_t kPlacedWhole = 16;
  double total = 0;
  for (const auto& [name, weight] : this->weights) {
    total += weight;
  }
  if (this->RankOf(demand.team).over_share) {
    return kPlacedWhole;
  }
  const double part = this->weights.at(demand.team) / total;
  const Amount need = Charge(*demand.step);
  Amount use = this->used.at(demand.team);
  std::size_t tasks = 0;
  const auto exceeds = [part](std::int64_t needed, std::int64_t used,
                              std::int64_t capacity) {
    const auto share =
        static_cast<std::int64_t>(part * static_cast<double>(capacity));
    return needed > 0 && used > share;
  };
  while (tasks < demand.waiting.size()) {
    Add(use, need);
    if (exceeds(need.millicores, use.millicores, this->capacity.millicores) ||
        exceeds(need.memory_mb, use.memory_mb, this->capacity.memory_mb) ||
        exceeds(need.accelerators, use.accelerators,
                this->capacity.accelerators)) {
      break;
    }
    ++tasks;
  }
  return std::max(tasks, kPlacedWhole);
}

DispatcherPeer::NaiveShares DispatcherPeer::SharesOf(
    const std::string& pool, const std::vector<RankedDemand>& waiting,
    const std::vector<CandidateWorker>& candidates) const {
  NaiveShares shares;
  for (const CandidateWorker& candidate : candidates) {
    shares.capacity.millicores +=
        std::max<std::int64_t>(0, candidate.free.millicores);
    shares.capacity.memory_mb +=
        std::max<std::int64_t>(0, candidate.free.memory_mb);
    shares.capacity.accelerators +=
        std::max<std::int64_t>(0, candidate.free.accelerators);
  }
  for (const RankedDemand& row : waiting) {
    shares.used[row.demand.team];
  }
  for (const auto& [id, session] : this->dispatcher.sessions) {
    for (const auto& [key, run] : session.runs) {
      const Amount charge = Charge(*run.step);
      if (this->dispatcher.state.Workers().at(id).pool == pool &&
          !run.step->long_running &&
          (charge.millicores > 0 || charge.memory_mb > 0 ||
           charge.accelerators > 0)) {
        Add(shares.used[run.request->team], charge);
        Add(shares.capacity, charge);
      }
    }
  }
  for (const auto& [name, used] : shares.used) {
    shares.weights[name] = 1;
    for (const auto& team : this->dispatcher.state.Config().teams) {
      if (team->name == name) {
        shares.weights[name] = team->weight;
      }
    }
  }
  return shares;
}

bool DispatcherPeer::PlaceRanked(
    std::vector<RankedDemand>& ranked, NaiveShares* shares,
    std::vector<CandidateWorker>& candidates,
    std::map<std::string, TeamQuota>& teams,
    const std::function<void(const RankedDemand&, const Assignment&)>& placed) {
  bool is_short = false;
  while (!ranked.empty()) {
    auto next = ranked.begin();
    if (shares != nullptr) {
      for (RankedDemand& row : ranked) {
        row.urgency.share = shares->RankOf(row.demand.team);
      }
      next = std::min_element(ranked.begin(), ranked.end(),
                              [](const RankedDemand& a, const RankedDemand& b) {
                                return PlacedBefore(a.urgency, b.urgency);
                              });
    }
    StepDemand& demand = next->demand;
    const Step& step = *demand.step;
    const auto team = teams.find(demand.team);
    TeamQuota* const quota = team == teams.end() ? nullptr : &team->second;
    const std::size_t waiting = demand.waiting.size();
    const std::size_t most =
        shares == nullptr ? waiting : shares->TasksAtOnce(demand);
    const auto assignments =
        NaiveStepPlacer(demand, candidates, quota).Run(most);
    for (const Assignment& assignment : assignments) {
      placed(*next, assignment);
      if (shares != nullptr && !step.long_running) {
        Add(shares->used.at(demand.team), Charge(step));
      }
      ++demand.on_worker[candidates[assignment.candidate].id];
    }
    demand.waiting.erase(demand.waiting.begin(),
                         demand.waiting.begin() +
                             static_cast<std::ptrdiff_t>(assignments.size()));
    if (!demand.waiting.empty() && assignments.size() == most) {
      continue;
    }
    const bool own_limit = quota != nullptr && !quota->Admits(*step.need);
    const bool in_time = next->urgency.slack.count() >= 0;
    is_short |= !demand.waiting.empty() && in_time && !step.long_running &&
                !own_limit &&
                std::none_of(candidates.begin(), candidates.end(),
                             [&](const CandidateWorker& candidate) {
                               return Fits(step, candidate.free) &&
                                      HasLabel(candidate, step.required_label);
                             });
    ranked.erase(next);
  }
  return is_short;
}

std::set<std::string> DispatcherPeer::ShortPools() const {
  std::set<std::string> pools;
  for (const auto& [pool, contention] : this->dispatcher.contentions) {
    if (contention.is_short) {
      pools.insert(pool);
    }
  }
  return pools;
}

std::map<std::pair<std::string, std::string>, double> DispatcherPeer::Backlogs(
    const std::map<std::pair<std::string, std::string>, double>& rows) const {
  std::map<std::pair<std::string, std::string>, double> backlogs;
  for (const auto& [key, expected] : rows) {
    backlogs[key] =
        this->dispatcher.waiting_steps.BacklogOf(key.first, key.second)
            .millicore_ms;
  }
  return backlogs;
}

std::map<std::string, std::int64_t> DispatcherPeer::UsedMillicores(
    const std::string& pool) const {
  std::map<std::string, std::int64_t> used;
  const auto contention = this->dispatcher.contentions.find(pool);
  for (const auto& team : this->dispatcher.state.Config().teams) {
    used[team->name] =
        contention == this->dispatcher.contentions.end()
            ? 0
            : contention->second.shares.UsedBy(team->name).millicores;
  }
  return used;
}

std::map<std::string, std::int64_t> DispatcherPeer::FindUsedMillicoresNaively(
    const std::string& pool) const {
  std::map<std::string, std::int64_t> used;
  for (const auto& team : this->dispatcher.state.Config().teams) {
    used[team->name] = 0;
    for (const auto& [id, session] : this->dispatcher.sessions) {
      for (const auto& [key, run] : session.runs) {
        const bool counts =
            this->dispatcher.state.Workers().at(id).pool == pool &&
            run.request->team == team->name && !run.step->long_running;
        used[team->name] += counts ? Charge(*run.step).millicores : 0;
      }
    }
  }
  return used;
}

std::map<std::string, std::pair<std::int64_t, std::int64_t>>
DispatcherPeer::Waiting() const {
  std::map<std::string, std::pair<std::int64_t, std::int64_t>> waiting;
  for (const auto& [pool, sums] : this->dispatcher.waiting_sums) {
    waiting[pool] = {sums.millicores, sums.memory_mb};
  }
  return waiting;
}

std::map<std::string, std::pair<std::int64_t, std::int64_t>>
DispatcherPeer::Late() const {
  std::map<std::string, std::pair<std::int64_t, std::int64_t>> late;
  for (const auto& [pool, sums] : this->dispatcher.waiting_sums) {
    late[pool] = {sums.late_millicores, sums.late_memory_mb};
  }
  return late;
}

std::map<std::string, std::size_t> DispatcherPeer::AntiAffine() const {
  std::map<std::string, std::size_t> instances;
  for (const auto& pool : this->dispatcher.state.Config().pools) {
    instances[pool->name] =
        this->dispatcher.waiting_steps.InstancesForAntiAffineTasks(pool->name);
  }
  return instances;
}

std::vector<std::string> DispatcherPeer::FindMissedVisits(TimePoint now) const {
  std::vector<std::string> missed;
  for (auto& [id, session] : this->dispatcher.sessions) {
    TimePoint due = TimePoint::max();
    if (session.unanswered_orders > 0) {
      due = now;
    } else if (!session.hold_open && !session.ends_pending) {
      due = session.next_hold;
    }
    for (const auto& [key, run] : session.runs) {
      const bool starts = run.stage == Dispatcher::RunStage::kStarting;
      const bool stops = run.stage == Dispatcher::RunStage::kStopping &&
                         !run.confirmed.has_value();
      if (!run.order_open && (starts || stops)) {
        due = std::min(due, run.next_attempt);
      }
    }
    if (std::max(now, this->dispatcher.due_sessions.DueOf(&session)) >
        std::max(now, due)) {
      missed.push_back(id);
    }
  }
  return missed;
}

std::vector<const Worker*> DispatcherPeer::FindWorkersNaively(
    const Worker& worker) const {
  std::vector<const Worker*> found;
  for (const auto& [id, known] : this->dispatcher.state.Workers()) {
    if (id == worker.id || known.address == worker.address ||
        (!worker.machine.empty() && known.machine == worker.machine)) {
      found.push_back(&known);
    }
  }
  return found;
}

void DispatcherPeer::AddSpeedSample(const std::string& worker,
                                    const std::string& pool,
                                    std::uint32_t percent, TimePoint now) {
  WorkerSpeed::Sample sample;
  for (const char* job : {"job-a", "job-b"}) {
    sample.Add(job, percent, milliseconds(1'000), milliseconds(1'000));
  }
  this->dispatcher.speed.OnSample(worker, pool, sample, now);
}

}  // namespace mimosastage::jobs
