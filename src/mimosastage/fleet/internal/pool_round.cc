#include "mimosastage/fleet/internal/pool_round.h"

#include <algorithm>
#include <deque>
#include <set>

namespace mimosastage::internal {
namespace {

// Held jobs reported in one round, to bound the time and memory of a round with
// many waiting jobs.
constexpr std::size_t kMaxHeld = 256;

// Sizes kept to skip jobs that can't fit. Few kinds of jobs wait at once.
constexpr std::size_t kMaxSizesWithoutRoom = 16;

const TaskReport* FindTask(const WorkerReport& report, const JobName& job) {
  const auto it =
      std::find_if(report.tasks.begin(), report.tasks.end(),
                   [&](const TaskReport& task) { return task.job == job; });
  return it == report.tasks.end() ? nullptr : &*it;
}

}  // namespace

PoolRound::PoolRound(PlacementPlanner& planner, const PoolName& pool,
                     std::map<TeamName, std::uint32_t>& remaining_units,
                     PlacementPlanner::Round& round, TimePoint now)
    : planner(planner),
      pool(pool),
      remaining_units(remaining_units),
      round(round),
      now(now) {}

void PoolRound::Run(const std::vector<const JobTable::Job*>& waiting) {
  this->AddCandidates();
  for (const auto* job : waiting) this->teams.try_emplace(job->spec.team);
  for (const auto& [team, use] : this->teams) {
    this->total_share += this->planner.hooks.share(team);
  }
  std::vector<const JobTable::Job*> urgent;
  std::vector<const JobTable::Job*> normal;
  for (const auto* job : waiting) {
    (job->spec.urgent ? urgent : normal).push_back(job);
  }
  this->SubtractReservations();
  for (const auto* job : urgent) this->PlaceUrgent(*job);
  this->PlaceByShare(normal);
}

void PoolRound::AddCandidates() {
  const auto* entry = this->planner.fleet.FindPool(this->pool);
  if (entry == nullptr) return;
  for (const auto& name : entry->instances) {
    const auto* instance = this->planner.fleet.Find(name);
    const auto* worker = this->planner.workers.Find(name);
    if (instance->OutOfService() || worker == nullptr) continue;
    const auto& report = worker->report;
    if (report.epoch != instance->epoch ||
        report.state != WorkerState::kReady ||
        this->now - worker->received > this->planner.config.silence_limit) {
      continue;
    }
    const auto eligibility =
        this->planner.health.EligibilityOf(name, this->now);
    if (eligibility == WorkerHealth::Eligibility::kQuarantined) continue;
    Candidate candidate{name,
                        instance->rack,
                        instance->zone,
                        instance->epoch,
                        report.capacity,
                        report.capacity};
    candidate.probe = eligibility == WorkerHealth::Eligibility::kProbe;
    candidate.free.slots -= this->planner.hooks.lent_slots(name);
    this->total_slots += candidate.capacity.slots;
    this->CountTasks(candidate, *worker);
    this->candidates.push_back(std::move(candidate));
  }
}

void PoolRound::CountTasks(Candidate& candidate,
                           const WorkerDirectory::Entry& entry) {
  for (const auto& name : this->planner.jobs.PlacedOn(candidate.name)) {
    const auto& job = *this->planner.jobs.Find(name);
    const auto* task = FindTask(entry.report, name);
    const auto usage = task == nullptr ? std::nullopt : task->usage;
    candidate.free -= this->planner.usage.Effective(job.spec, usage,
                                                    this->now - entry.received);
    ++candidate.tasks;
    auto& team = this->teams[job.spec.team];
    team.slots += job.spec.declared.slots;
    ++team.zones[candidate.zone];
    ++team.racks[candidate.rack];
    if (job.spec.is_protected) {
      this->protected_slots += job.spec.declared.slots;
    }
  }
}

void PoolRound::SubtractReservations() {
  for (auto& [name, reservation] : this->planner.reservations) {
    const auto* job = this->planner.jobs.Find(name);
    if (job == nullptr || job->spec.pool != this->pool) continue;
    for (auto& candidate : this->candidates) {
      if (candidate.name != reservation.worker) continue;
      candidate.free -= this->planner.usage.Expected(job->spec);
    }
  }
}

void PoolRound::PlaceUrgent(const JobTable::Job& job) {
  const auto it = this->planner.reservations.find(job.spec.name);
  if (it == this->planner.reservations.end()) {
    if (!this->TryPlace(job)) this->Evict(job);
    return;
  }
  const auto reservation = it->second;
  const auto size = this->planner.usage.Expected(job.spec);
  for (auto& candidate : this->candidates) {
    if (candidate.name == reservation.worker) candidate.free += size;
  }
  if (this->TryPlace(job)) return;
  if (this->now - reservation.since >
      this->planner.config.reservation_timeout) {
    this->planner.reservations.erase(job.spec.name);
    this->Evict(job);
    return;
  }
  for (auto& candidate : this->candidates) {
    if (candidate.name == reservation.worker) candidate.free -= size;
  }
}

void PoolRound::PlaceByShare(const std::vector<const JobTable::Job*>& jobs) {
  std::map<TeamName, std::deque<const JobTable::Job*>> queues;
  for (const auto* job : jobs) queues[job->spec.team].push_back(job);
  // Teams ordered by slots in use per unit of share; the lowest goes next.
  std::set<std::pair<double, TeamName>> order;
  const auto key = [&](const TeamName& team) {
    const auto share = std::max(1U, this->planner.hooks.share(team));
    return static_cast<double>(this->teams[team].slots) / share;
  };
  for (const auto& [team, queue] : queues) order.emplace(key(team), team);
  while (!order.empty()) {
    const auto team = order.begin()->second;
    order.erase(order.begin());
    auto& queue = queues[team];
    while (!queue.empty()) {
      const auto* job = queue.front();
      queue.pop_front();
      if (this->TryPlace(*job)) break;
    }
    if (!queue.empty()) order.emplace(key(team), team);
  }
}

bool PoolRound::TryPlace(const JobTable::Job& job) {
  if (const auto refusal = this->Refusal(job)) {
    this->Hold(job, *refusal);
    return false;
  }
  auto* candidate = this->BestCandidate(job);
  if (candidate == nullptr) {
    // The reason is formatted only if it will be reported: with thousands of
    // waiting jobs, formatting took most of the round.
    if (this->round.held.size() < kMaxHeld) {
      this->Hold(job, this->NoRoomReason(job));
    }
    return false;
  }
  this->Commit(job, *candidate);
  return true;
}

std::optional<std::string> PoolRound::Refusal(const JobTable::Job& job) {
  if (this->RemainingUnits(job.spec.team) == 0) {
    return "team " + job.spec.team.str() + " is at its upper limit";
  }
  if (!job.spec.is_protected) return std::nullopt;
  const auto reserve = std::max<std::int64_t>(
      1, this->total_slots / this->planner.config.protected_reserve_divisor);
  const auto after = this->protected_slots + job.spec.declared.slots;
  if (after <= this->total_slots - reserve) return std::nullopt;
  return "protected jobs use " + std::to_string(this->protected_slots) +
         " of " + std::to_string(this->total_slots) + " slots of pool " +
         this->pool.str() + ", and " + std::to_string(reserve) +
         " are kept for urgent work";
}

PoolRound::Candidate* PoolRound::BestCandidate(const JobTable::Job& job) {
  const auto size = this->planner.usage.Expected(job.spec);
  const bool known_without_room = std::any_of(
      this->sizes_without_room.begin(), this->sizes_without_room.end(),
      [&](const Resources& large) { return large.FitsIn(size); });
  if (known_without_room) return nullptr;
  Candidate* best = nullptr;
  for (auto& candidate : this->candidates) {
    if (!size.FitsIn(candidate.free)) continue;
    const bool may_probe =
        !job.spec.is_protected && !job.spec.urgent && candidate.tasks == 0;
    if (candidate.probe && !may_probe) continue;
    if (best == nullptr || this->SpreadScore(job.spec.team, candidate) <
                               this->SpreadScore(job.spec.team, *best)) {
      best = &candidate;
    }
  }
  // A protected or urgent job may have been kept out by a probe or a
  // reservation. Only lack of room applies to all other jobs of the same size.
  if (best == nullptr && !job.spec.is_protected && !job.spec.urgent &&
      this->sizes_without_room.size() < kMaxSizesWithoutRoom) {
    this->sizes_without_room.push_back(size);
  }
  return best;
}

std::tuple<int, int, std::size_t> PoolRound::SpreadScore(
    const TeamName& team, const Candidate& candidate) const {
  const auto& use = this->teams.at(team);
  const auto zone = use.zones.find(candidate.zone);
  const auto rack = use.racks.find(candidate.rack);
  return {zone == use.zones.end() ? 0 : zone->second,
          rack == use.racks.end() ? 0 : rack->second, candidate.tasks};
}

void PoolRound::Commit(const JobTable::Job& job, Candidate& candidate) {
  const auto placed = this->planner.jobs.Place(job.spec.name, candidate.name,
                                               candidate.epoch, this->now);
  if (!placed) return;
  this->round.placements.push_back(*placed);
  this->planner.reservations.erase(job.spec.name);
  if (candidate.probe) {
    this->planner.health.ProbeStarted(candidate.name, this->now);
  }
  candidate.free -= this->planner.usage.Expected(job.spec);
  ++candidate.tasks;
  --this->RemainingUnits(job.spec.team);
  auto& team = this->teams[job.spec.team];
  team.slots += job.spec.declared.slots;
  ++team.zones[candidate.zone];
  ++team.racks[candidate.rack];
  if (job.spec.is_protected) this->protected_slots += job.spec.declared.slots;
}

void PoolRound::Evict(const JobTable::Job& job) {
  if (this->Refusal(job)) return;
  std::optional<Eviction> best;
  for (auto& candidate : this->candidates) {
    if (candidate.probe) continue;
    auto eviction = this->FindEviction(job, candidate);
    if (!eviction) continue;
    if (!best || eviction->tasks.size() < best->tasks.size()) {
      best = std::move(eviction);
    }
  }
  if (!best) return;
  for (const auto* task : best->tasks) {
    this->planner.jobs.RequestStop(task->spec.name, this->now);
    this->round.stops.push_back(task->spec.name);
    this->teams[task->spec.team].slots -= task->spec.declared.slots;
  }
  best->candidate->free -= this->planner.usage.Expected(job.spec);
  this->planner.reservations[job.spec.name] = {best->candidate->name,
                                               this->now};
}

std::optional<PoolRound::Eviction> PoolRound::FindEviction(
    const JobTable::Job& job, Candidate& candidate) const {
  const auto size = this->planner.usage.Expected(job.spec);
  if (!size.FitsIn(candidate.capacity)) return std::nullopt;
  Eviction eviction{&candidate, {}};
  auto free = candidate.free;
  std::map<TeamName, std::int64_t> stopped;
  for (const auto& name : this->planner.jobs.PlacedOn(candidate.name)) {
    if (size.FitsIn(free)) break;
    const auto& task = *this->planner.jobs.Find(name);
    auto& team_stopped = stopped[task.spec.team];
    if (!this->MayPreempt(task, job, team_stopped)) continue;
    team_stopped += task.spec.declared.slots;
    free += this->planner.usage.Expected(task.spec);
    eviction.tasks.push_back(&task);
  }
  if (!size.FitsIn(free)) return std::nullopt;
  return eviction;
}

bool PoolRound::MayPreempt(const JobTable::Job& task,
                           const JobTable::Job& urgent,
                           std::int64_t already_stopped) const {
  if (task.spec.is_protected || task.spec.urgent) return false;
  // A task that no report has shown yet has no state to checkpoint, and its end
  // is certain only after its lease.
  if (!task.seen || task.stop_requested || task.proposed) return false;
  if (task.spec.team == urgent.spec.team) return true;
  const auto use = this->teams.at(task.spec.team).slots - already_stopped;
  return use > this->Entitlement(task.spec.team);
}

std::int64_t PoolRound::Entitlement(const TeamName& team) const {
  if (this->total_share == 0) return 0;
  const auto share = static_cast<std::int64_t>(this->planner.hooks.share(team));
  return this->total_slots * share /
         static_cast<std::int64_t>(this->total_share);
}

std::uint32_t& PoolRound::RemainingUnits(const TeamName& team) {
  const auto it = this->remaining_units.find(team);
  if (it != this->remaining_units.end()) return it->second;
  return this->remaining_units
      .emplace(team, this->planner.hooks.free_units(team))
      .first->second;
}

void PoolRound::Hold(const JobTable::Job& job, const std::string& reason) {
  if (this->round.held.size() >= kMaxHeld) return;
  this->round.held.push_back(
      {job.spec.name.str(),
       "job " + job.spec.name.str() + " waits: " + reason});
}

std::string PoolRound::NoRoomReason(const JobTable::Job& job) const {
  if (this->candidates.empty()) {
    return "pool " + this->pool.str() + " has no available worker";
  }
  const auto size = this->planner.usage.Expected(job.spec);
  const bool possible =
      std::any_of(this->candidates.begin(), this->candidates.end(),
                  [&](const Candidate& candidate) {
                    return size.FitsIn(candidate.capacity);
                  });
  const auto text = "none of " + std::to_string(this->candidates.size()) +
                    " available workers of pool " + this->pool.str();
  if (possible) return text + " has enough free resources now";
  return text + " is large enough for " + std::to_string(size.slots) +
         " slots, " + std::to_string(size.millicores) + " millicores, " +
         std::to_string(size.memory_bytes) + " bytes and " +
         std::to_string(size.accelerators) +
         " accelerators; declare smaller resources or add larger workers";
}

}  // namespace mimosastage::internal
