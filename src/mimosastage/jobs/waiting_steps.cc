#include "mimosastage/jobs/waiting_steps.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "mimosastage/jobs/value_bounds.h"

namespace mimosastage::jobs {
namespace {

using std::chrono::milliseconds;

/// For each step, the expected duration of the longest chain of dependent
/// steps that starts with it.
std::vector<milliseconds> ChainsOf(const JobRequest& request,
                                   const Queue& queue,
                                   const ExpectedDuration& expected) {
  std::vector<milliseconds> chains(request.steps.size());
  for (std::size_t step = request.steps.size(); step-- > 0;) {
    milliseconds longest{0};
    for (std::size_t next = step + 1; next < request.steps.size(); ++next) {
      const auto& after = request.steps[next]->after;
      if (std::find(after.begin(), after.end(), step) != after.end()) {
        longest = std::max(longest, chains[next]);
      }
    }
    chains[step] =
        longest +
        (expected ? expected(queue, request, static_cast<std::uint32_t>(step))
                  : BoundedTime(request.steps[step]->estimate_ms));
  }
  return chains;
}

milliseconds Longest(const std::vector<milliseconds>& chains) {
  return chains.empty() ? milliseconds(0)
                        : *std::max_element(chains.begin(), chains.end());
}

milliseconds DueOf(const JobRequest& request, std::uint32_t occurrence) {
  if (request.occurrences == 0) {
    return milliseconds(request.accepted_ms);
  }
  return BoundedTime(request.first_due_ms) +
         occurrence * BoundedTime(request.interval_ms);
}

std::size_t AntiAffineInstances(const JobRequest& request) {
  std::size_t most = 0;
  for (const auto& step : request.steps) {
    if (step->long_running && step->most_per_worker > 0) {
      const std::size_t per_worker = step->most_per_worker;
      most = std::max(most, (step->tasks + per_worker - 1) / per_worker);
    }
  }
  return most;
}

bool IsBegun(const StepDemand& demand, std::size_t waiting) {
  return !demand.step->after.empty() || waiting < demand.step->tasks;
}

/// True if a chain has changed by a third, so that the order of the steps may
/// be wrong.
bool DifferByAThird(const std::vector<milliseconds>& known,
                    const std::vector<milliseconds>& now) {
  return !std::equal(known.begin(), known.end(), now.begin(), now.end(),
                     [](milliseconds a, milliseconds b) {
                       return 3 * std::max(a, b) <= 4 * std::min(a, b);
                     });
}

auto OrderOfJobs(const WaitingStep& step) {
  return std::tie(step.request->accepted_ms, step.request->id,
                  step.demand.first.occurrence, step.demand.first.step);
}

}  // namespace

milliseconds StartMargin(milliseconds chain) { return chain * 2 / 5; }

milliseconds LongestChain(const JobRequest& request, const Queue& queue,
                          const ExpectedDuration& expected) {
  return Longest(ChainsOf(request, queue, expected));
}

milliseconds ObjectiveOf(milliseconds longest_chain, const Queue& queue) {
  const double stretched =
      queue.stretch * static_cast<double>(longest_chain.count());
  // The comparison is false for a factor that isn't a number.
  const double bounded =
      stretched > 0
          ? std::min(stretched, static_cast<double>(kLongestTime.count()))
          : 0;
  return milliseconds(static_cast<std::int64_t>(bounded)) +
         BoundedTime(queue.target_ms);
}

StepUrgency WaitingStep::UrgencyAt(milliseconds wall) const {
  StepUrgency urgency;
  urgency.long_running = this->demand.step->long_running;
  urgency.priority = this->priority;
  urgency.begun = this->begun;
  urgency.objective = this->objective;
  urgency.slack = this->latest_start - wall;
  return urgency;
}

bool WaitingSteps::ByLatestStart::operator()(const WaitingStep* a,
                                             const WaitingStep* b) const {
  if (a->latest_start != b->latest_start) {
    return a->latest_start < b->latest_start;
  }
  return OrderOfJobs(*a) < OrderOfJobs(*b);
}

void WaitingSteps::Refresh(milliseconds wall) {
  const bool clock_was_set_back = wall < this->wall;
  this->wall = wall;
  if (clock_was_set_back) {
    // Occurrences that were due may not be due any more.
    this->Rebuild();
  }
  this->ReadChanges();
  while (!this->not_due.empty() &&
         std::get<milliseconds>(*this->not_due.begin()) <= wall) {
    const auto [due, id, occurrence] = *this->not_due.begin();
    this->not_due.erase(this->not_due.begin());
    this->RefreshOccurrence(*this->state.FindJob(id), this->jobs.at(id),
                            occurrence);
  }
  if (std::exchange(this->review_needed, false)) {
    this->ReviewExpected();
  }
  this->MarkLateSteps();
}

void WaitingSteps::ReviewExpected() {
  for (auto& [id, open] : this->jobs) {
    const Job* const job = this->state.FindJob(id);
    if (job == nullptr || job->queue == nullptr) {
      continue;
    }
    auto chains = ChainsOf(*open.request, *job->queue, this->expected);
    if (!DifferByAThird(open.chains, chains)) {
      continue;
    }
    open.chains = std::move(chains);
    open.objective = ObjectiveOf(Longest(open.chains), *job->queue);
    for (auto& [number, step] : open.waiting) {
      AddToSums(*open.pool, *step, -1);
      RemoveFromGroup(*open.pool, *step);
      step->objective = open.objective;
      this->AddToGroup(open, *step, DueOf(*open.request, number.first));
      AddToSums(*open.pool, *step, 1);
    }
  }
}

void WaitingSteps::Rebuild() {
  this->jobs.clear();
  this->pools.clear();
  this->not_due.clear();
  for (const auto& [accepted, id] : this->state.OpenJobs()) {
    this->RefreshJob(id);
  }
}

void WaitingSteps::ReadChanges() {
  // Many runs of a step start or end between two placements; its tasks are
  // visited once for all of them.
  const auto key = [](const JobChange* change) {
    const auto number = change->step.value_or(JobChange::StepNumber{});
    return std::make_tuple(std::cref(change->job), change->step.has_value(),
                           number.occurrence, number.step);
  };
  std::vector<const JobChange*> changes;
  const auto read = [&](const JobChange& change) {
    // The starts of a step's tasks follow one another.
    if (changes.empty() || key(changes.back()) != key(&change)) {
      changes.push_back(&change);
    }
  };
  if (!this->state.Changes().ReadSince(this->changes_read, read)) {
    this->Rebuild();
    return;
  }
  std::sort(
      changes.begin(), changes.end(),
      [&](const JobChange* a, const JobChange* b) { return key(a) < key(b); });
  changes.erase(std::unique(changes.begin(), changes.end(),
                            [&](const JobChange* a, const JobChange* b) {
                              return key(a) == key(b);
                            }),
                changes.end());
  for (const JobChange* change : changes) {
    if (!change->step.has_value()) {
      this->RefreshJob(change->job);
      continue;
    }
    const auto open = this->jobs.find(change->job);
    if (open == this->jobs.end()) {
      continue;
    }
    const Job& job = *this->state.FindJob(change->job);
    const auto [occurrence, step] = *change->step;
    this->RefreshStep(job, open->second, occurrence, step);
    if (job.OpenTasks(occurrence, step) > 0) {
      continue;
    }
    const auto& steps = job.request->steps;
    for (std::uint32_t next = 0; next < steps.size(); ++next) {
      const auto& after = steps[next]->after;
      if (std::find(after.begin(), after.end(), step) != after.end()) {
        this->RefreshStep(job, open->second, occurrence, next);
      }
    }
  }
}

void WaitingSteps::RefreshJob(const std::string& id) {
  const Job* job = this->state.FindJob(id);
  if (const auto open = this->jobs.find(id);
      open != this->jobs.end() && (job == nullptr || job->Ended() ||
                                   job->request != open->second.request)) {
    this->RemoveJob(id);
  }
  const Queue* queue =
      job == nullptr || job->Ended() ? nullptr : job->queue.get();
  if (queue == nullptr) {
    return;
  }
  const auto known = this->jobs.find(id);
  OpenJob& open =
      known == this->jobs.end() ? this->AddJob(*job, *queue) : known->second;
  for (std::uint32_t k = 0; k < job->Occurrences(); ++k) {
    const milliseconds due = DueOf(*job->request, k);
    if (this->wall < due) {
      this->not_due.emplace(due, id, k);
    } else {
      this->RefreshOccurrence(*job, open, k);
    }
  }
}

void WaitingSteps::RefreshOccurrence(const Job& job, OpenJob& open,
                                     std::uint32_t occurrence) {
  for (std::uint32_t s = 0; s < open.request->steps.size(); ++s) {
    this->RefreshStep(job, open, occurrence, s);
  }
}

WaitingSteps::OpenJob& WaitingSteps::AddJob(const Job& job,
                                            const Queue& queue) {
  const JobRequest& request = *job.request;
  OpenJob& open = this->jobs[request.id];
  open.request = job.request;
  open.pool = &this->pools[queue.pool];
  open.priority = queue.priority;
  open.advised = queue.advised;
  open.chains = ChainsOf(request, queue, this->expected);
  open.objective = ObjectiveOf(Longest(open.chains), queue);
  open.anti_affine_instances = AntiAffineInstances(request);
  if (open.anti_affine_instances > 0) {
    ++open.pool->anti_affine_jobs[open.anti_affine_instances];
  }
  return open;
}

void WaitingSteps::RemoveJob(const std::string& id) {
  const auto found = this->jobs.find(id);
  OpenJob& open = found->second;
  for (const auto& [number, step] : open.waiting) {
    AddToSums(*open.pool, *step, -1);
    RemoveFromGroup(*open.pool, *step);
  }
  const std::uint32_t occurrences =
      std::max<std::uint32_t>(1, open.request->occurrences);
  for (std::uint32_t k = 0; !this->not_due.empty() && k < occurrences; ++k) {
    this->not_due.erase({DueOf(*open.request, k), id, k});
  }
  if (open.anti_affine_instances > 0) {
    const auto count =
        open.pool->anti_affine_jobs.find(open.anti_affine_instances);
    if (--count->second == 0) {
      open.pool->anti_affine_jobs.erase(count);
    }
  }
  this->jobs.erase(found);
}

void WaitingSteps::FindWaiting(const Job& job, std::uint32_t occurrence,
                               std::uint32_t step,
                               std::vector<std::uint32_t>& waiting) {
  waiting.clear();
  if (job.OpenTasks(occurrence, step) == 0 ||
      !job.StepReady(occurrence, step)) {
    return;
  }
  const Step& record = *job.request->steps[step];
  const std::size_t begin = job.StepBegin(occurrence, step);
  for (std::uint32_t i = 0; i < record.tasks; ++i) {
    const Task& task = job.tasks[begin + i];
    if (record.gang && !task.active.empty()) {
      // A gang is placed again only once none of its runs is active.
      waiting.clear();
      return;
    }
    if (!task.done && task.active.empty()) {
      waiting.push_back(i);
    }
  }
}

std::map<std::string, std::size_t> WaitingSteps::CountOnWorkers(
    const Job& job, std::uint32_t occurrence, std::uint32_t step) {
  std::map<std::string, std::size_t> on_worker;
  const std::size_t begin = job.StepBegin(occurrence, step);
  for (std::uint32_t i = 0; i < job.request->steps[step]->tasks; ++i) {
    for (const ActiveRun& active : job.tasks[begin + i].active) {
      ++on_worker[active.worker];
    }
  }
  return on_worker;
}

void WaitingSteps::RefreshStep(const Job& job, OpenJob& open,
                               std::uint32_t occurrence, std::uint32_t step) {
  const milliseconds due = DueOf(*open.request, occurrence);
  if (this->wall < due) {
    return;
  }
  FindWaiting(job, occurrence, step, this->found_waiting);
  auto known = open.waiting.find({occurrence, step});
  if (known == open.waiting.end() && this->found_waiting.empty()) {
    return;
  }
  const bool is_new = known == open.waiting.end();
  if (!is_new) {
    AddToSums(*open.pool, *known->second, -1);
    if (this->found_waiting.empty()) {
      RemoveFromGroup(*open.pool, *known->second);
      open.waiting.erase(known);
      return;
    }
  } else {
    known = open.waiting
                .emplace(std::pair(occurrence, step),
                         std::make_unique<WaitingStep>())
                .first;
    WaitingStep& row = *known->second;
    row.demand.team = open.request->team;
    row.demand.first = TaskId{open.request->id, occurrence, step, 0};
    row.demand.step = open.request->steps[step].get();
    row.request = open.request;
    row.priority = open.priority;
    row.advised = open.advised;
    row.objective = open.objective;
  }
  WaitingStep& row = *known->second;
  const bool begun = IsBegun(row.demand, this->found_waiting.size());
  if (is_new || row.begun != begun) {
    if (!is_new) {
      RemoveFromGroup(*open.pool, row);
    }
    row.begun = begun;
    this->AddToGroup(open, row, due);
  }
  StepDemand& demand = known->second->demand;
  demand.waiting.assign(this->found_waiting.begin(), this->found_waiting.end());
  if (demand.step->most_per_worker > 0) {
    demand.on_worker = CountOnWorkers(job, occurrence, step);
  }
  AddToSums(*open.pool, *known->second, 1);
}

void WaitingSteps::AddToGroup(OpenJob& open, WaitingStep& step,
                              milliseconds due) const {
  const bool may_be_late = !step.demand.step->long_running;
  const milliseconds chain = open.chains[step.demand.first.step];
  step.latest_start = due + open.objective - chain;
  if (may_be_late && !step.begun) {
    step.latest_start -= StartMargin(chain);
  }
  step.late = may_be_late && step.latest_start < this->wall;
  open.pool->groups[KeyOf(step)].insert(&step);
  if (may_be_late && !step.late) {
    open.pool->in_time.insert(&step);
  }
}

void WaitingSteps::RemoveFromGroup(PoolSteps& pool, WaitingStep& step) {
  pool.in_time.erase(&step);
  const auto group = pool.groups.find(KeyOf(step));
  group->second.erase(&step);
  if (group->second.empty()) {
    pool.groups.erase(group);
  }
}

void WaitingSteps::AddToSums(PoolSteps& pool, const WaitingStep& step,
                             std::int64_t sign) {
  const Amount charge = Charge(*step.demand.step);
  const std::int64_t count =
      sign * static_cast<std::int64_t>(step.demand.waiting.size());
  pool.sums.millicores += count * charge.millicores;
  pool.sums.memory_mb += count * charge.memory_mb;
  if (step.demand.step->long_running) {
    pool.sums.long_running_tasks += count;
  }
  if (step.late) {
    pool.sums.late_millicores += count * charge.millicores;
    pool.sums.late_memory_mb += count * charge.memory_mb;
  }
  AddToBacklog(pool, step, sign);
}

void WaitingSteps::AddToBacklog(PoolSteps& pool, const WaitingStep& step,
                                std::int64_t sign) {
  if (step.late || step.demand.step->long_running) {
    return;
  }
  Backlog& backlog = pool.backlogs[step.demand.team];
  backlog.steps += static_cast<std::size_t>(sign);
  if (backlog.steps == 0) {
    // Also removes the rounding errors of the sums.
    pool.backlogs.erase(step.demand.team);
    return;
  }
  const Amount charge = Charge(*step.demand.step);
  const double task_ms =
      static_cast<double>(sign) *
      static_cast<double>(step.demand.waiting.size()) *
      static_cast<double>(BoundedTime(step.demand.step->estimate_ms).count());
  backlog.millicore_ms += task_ms * static_cast<double>(charge.millicores);
  backlog.memory_mb_ms += task_ms * static_cast<double>(charge.memory_mb);
}

WaitingSteps::Backlog WaitingSteps::BacklogOf(const std::string& pool,
                                              const std::string& team) const {
  const auto steps = this->pools.find(pool);
  if (steps == this->pools.end()) {
    return Backlog();
  }
  const auto found = steps->second.backlogs.find(team);
  return found == steps->second.backlogs.end() ? Backlog() : found->second;
}

void WaitingSteps::MarkLateSteps() {
  for (auto& [name, pool] : this->pools) {
    while (!pool.in_time.empty() &&
           (*pool.in_time.begin())->latest_start < this->wall) {
      WaitingStep& step = **pool.in_time.begin();
      pool.in_time.erase(pool.in_time.begin());
      AddToSums(pool, step, -1);
      step.late = true;
      AddToSums(pool, step, 1);
    }
  }
}

WaitingSteps::GroupKey WaitingSteps::KeyOf(const WaitingStep& step) {
  const Step& record = *step.demand.step;
  const Amount need = NeedOf(record);
  return {need.millicores,     need.memory_mb,        need.accelerators,
          record.filler,       record.required_label, step.demand.team,
          record.long_running, step.priority,         step.advised,
          step.begun};
}

std::map<std::string, WaitingSteps::Sums> WaitingSteps::SumsByPool() const {
  std::map<std::string, Sums> sums;
  for (const auto& [name, pool] : this->pools) {
    if (!pool.groups.empty()) {
      sums.emplace(name, pool.sums);
    }
  }
  return sums;
}

std::size_t WaitingSteps::InstancesForAntiAffineTasks(
    const std::string& pool) const {
  const auto found = this->pools.find(pool);
  return found == this->pools.end() || found->second.anti_affine_jobs.empty()
             ? 0
             : found->second.anti_affine_jobs.rbegin()->first;
}

bool WaitingSteps::IsBefore(const Cursor& a, const Cursor& b) const {
  StepUrgency urgency = (*a.next)->UrgencyAt(this->wall);
  StepUrgency other = (*b.next)->UrgencyAt(this->wall);
  urgency.share = a.share;
  other.share = b.share;
  if (PlacedBefore(urgency, other)) {
    return true;
  }
  return !PlacedBefore(other, urgency) &&
         OrderOfJobs(**a.next) < OrderOfJobs(**b.next);
}

std::set<std::string> WaitingSteps::TeamsOf(const std::string& pool) const {
  std::set<std::string> teams;
  if (const auto found = this->pools.find(pool); found != this->pools.end()) {
    for (const auto& [key, group] : found->second.groups) {
      teams.insert((*group.begin())->demand.team);
    }
  }
  return teams;
}

void WaitingSteps::Visit(const std::string& pool, bool advised_only,
                         const std::function<Next(WaitingStep&)>& visit,
                         const TeamShares* shares) {
  const auto found = this->pools.find(pool);
  if (found == this->pools.end()) {
    return;
  }
  const auto rank_of = [shares](const WaitingStep& step) {
    return shares == nullptr ? ShareRank{} : shares->RankOf(step.demand.team);
  };
  std::vector<Cursor> cursors;
  cursors.reserve(found->second.groups.size());
  for (const auto& [key, group] : found->second.groups) {
    if (advised_only && !(*group.begin())->advised) {
      continue;
    }
    const auto first_in_time = group.lower_bound(this->wall);
    cursors.push_back(Cursor{
        &group, first_in_time == group.end() ? group.begin() : first_in_time,
        group.size(), rank_of(**group.begin())});
  }
  const auto after = [this](const Cursor& a, const Cursor& b) {
    return this->IsBefore(b, a);
  };
  std::make_heap(cursors.begin(), cursors.end(), after);
  while (!cursors.empty()) {
    std::pop_heap(cursors.begin(), cursors.end(), after);
    Cursor& cursor = cursors.back();
    if (shares != nullptr) {
      // Ranks only get higher during a visit, so the first cursor whose rank is
      // up to date is the most urgent one.
      const ShareRank rank = rank_of(**cursor.next);
      if (std::exchange(cursor.share, rank) != rank) {
        std::push_heap(cursors.begin(), cursors.end(), after);
        continue;
      }
    }
    const Next next = visit(**cursor.next);
    if (next == Next::kStop) {
      return;
    }
    if (next == Next::kRepeat) {
      std::push_heap(cursors.begin(), cursors.end(), after);
      continue;
    }
    --cursor.left;
    if (next == Next::kLeaveOutAlike || cursor.left == 0) {
      cursors.pop_back();
      continue;
    }
    if (++cursor.next == cursor.group->end()) {
      cursor.next = cursor.group->begin();
    }
    std::push_heap(cursors.begin(), cursors.end(), after);
  }
}

void WaitingSteps::Visit(const std::string& pool,
                         const std::function<Next(WaitingStep&)>& visit,
                         const TeamShares* shares) {
  this->Visit(pool, false, visit, shares);
}

void WaitingSteps::VisitJob(
    const std::string& pool, const std::string& job,
    const std::function<void(const WaitingStep&)>& visit) const {
  const auto steps = this->pools.find(pool);
  const auto open = this->jobs.find(job);
  if (steps == this->pools.end() || open == this->jobs.end() ||
      open->second.pool != &steps->second) {
    return;
  }
  for (const auto& [number, step] : open->second.waiting) {
    visit(*step);
  }
}

void WaitingSteps::VisitAdvised(
    const std::string& pool, const std::function<void(WaitingStep&)>& visit) {
  this->Visit(
      pool, true,
      [&](WaitingStep& step) {
        visit(step);
        return Next::kContinue;
      },
      nullptr);
}

}  // namespace mimosastage::jobs
