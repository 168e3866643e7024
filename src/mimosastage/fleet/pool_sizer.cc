#include "mimosastage/fleet/pool_sizer.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace mimosastage {
namespace {

double WeightSum(const PoolWeights& weights) {
  return std::max(1.0, static_cast<double>(weights.buffer) + weights.share +
                           weights.moves + weights.roll_out);
}

// Returns the fraction of minutes whose demand a pool has to cover. It falls
// with the weight of idle capacity: 91% with equal weights, 70% if only
// `buffer` is weighted, 98% if `buffer` is 0.
double DemandQuantile(const PoolWeights& weights) {
  return 0.98 - 0.28 * weights.buffer / WeightSum(weights);
}

// Returns the instances that a pool keeps to replace those out for maintenance.
// A pool that weights idle capacity more keeps fewer.
std::uint32_t MaintenanceReserve(const FleetView::PoolEntry& pool) {
  const double roll_out = pool.weights.roll_out;
  const double sum = std::max(1.0, roll_out + pool.weights.buffer);
  return static_cast<std::uint32_t>(std::lround(pool.budget * roll_out / sum));
}

}  // namespace

PoolSizer::PoolSizer(
    Config config, const FleetView& fleet, InstanceMover& mover,
    std::function<std::vector<LeasedTask>(const InstanceName&)> tasks_on)
    : config(config),
      fleet(fleet),
      mover(mover),
      tasks_on(std::move(tasks_on)) {}

void PoolSizer::Observe(const PoolName& pool, double slots, TimePoint now) {
  this->sizing_states.try_emplace(pool).first->second.history.Observe(slots,
                                                                      now);
}

PoolSizer::Round PoolSizer::Plan(TimePoint now) {
  Round round;
  for (auto& [pool, sizing] : this->sizing_states) {
    const auto* entry = this->fleet.FindPool(pool);
    if (entry == nullptr) continue;
    this->AccumulateGap(pool, sizing, now);
    if (entry->spare) continue;
    const double cost = this->MoveCost(pool);
    if (sizing.accumulated_gap > cost) this->Grow(pool, sizing, now, round);
    if (sizing.accumulated_gap < -cost) this->Shrink(pool, sizing, now, round);
  }
  return round;
}

std::optional<std::uint32_t> PoolSizer::DesiredSize(
    const PoolName& pool) const {
  const auto it = this->sizing_states.find(pool);
  const auto* entry = this->fleet.FindPool(pool);
  if (it == this->sizing_states.end() || entry == nullptr) return std::nullopt;
  const auto& history = it->second.history;
  if (history.minutes() < this->config.warm_up_minutes) return std::nullopt;
  const double need = history.RequiredSlots(DemandQuantile(entry->weights));
  const auto slots = std::max(1U, entry->slots_per_instance);
  const auto base = static_cast<std::uint32_t>(std::ceil(need / slots));
  // With no more instances than its budget, a pool could be drained completely.
  return std::max(base + MaintenanceReserve(*entry), entry->budget + 1);
}

void PoolSizer::AccumulateGap(const PoolName& pool, SizingState& sizing,
                              TimePoint now) {
  const auto elapsed =
      sizing.last_update == TimePoint{} ? Duration{} : now - sizing.last_update;
  sizing.last_update = now;
  const auto desired = this->DesiredSize(pool);
  if (!desired) return;
  const auto size = this->SizeAfterMoves(pool);
  const auto gap = static_cast<std::int64_t>(*desired) - size;
  const auto& weights = this->fleet.FindPool(pool)->weights;
  const auto dead_band =
      weights.buffer > weights.moves ? 0 : this->config.dead_band;
  const bool excess = gap < -static_cast<std::int64_t>(dead_band);
  if (gap == 0 || (gap < 0 && !excess) ||
      (gap > 0) != (sizing.accumulated_gap > 0)) {
    sizing.accumulated_gap = 0;
  }
  if (gap <= 0 && !excess) return;
  const auto slots = this->fleet.FindPool(pool)->slots_per_instance;
  sizing.accumulated_gap += static_cast<double>(gap) * slots *
                            std::chrono::duration<double>(elapsed).count();
}

void PoolSizer::Grow(const PoolName& pool, SizingState& sizing, TimePoint now,
                     Round& round) {
  const auto source = this->SparePoolWithSurplus();
  if (!source) {
    round.held.push_back(
        {pool.str(), "growth of pool " + pool.str() +
                         " waits: no spare pool has a surplus instance"});
    return;
  }
  if (this->StartMove(*source, pool, now, round)) sizing.accumulated_gap = 0;
}

void PoolSizer::Shrink(const PoolName& pool, SizingState& sizing, TimePoint now,
                       Round& round) {
  const auto spare = this->SmallestSparePool(pool);
  if (!spare) return;
  if (this->StartMove(pool, *spare, now, round)) sizing.accumulated_gap = 0;
}

bool PoolSizer::StartMove(const PoolName& from, const PoolName& to,
                          TimePoint now, Round& round) {
  const auto& limited_pool = this->fleet.FindPool(from)->spare ? to : from;
  const auto pool_moves =
      this->mover.Joining(limited_pool) + this->mover.Leaving(limited_pool);
  if (this->mover.active() >= this->config.max_active_moves ||
      pool_moves >= this->config.max_moves_per_pool) {
    round.held.push_back(
        {limited_pool.str(),
         "a move of pool " + limited_pool.str() +
             " waits: the maximum number of concurrent moves is reached"});
    return false;
  }
  for (const auto& name : this->MoveCandidates(from, to)) {
    if (auto refusal = this->fleet.DrainRefusal(name)) {
      round.held.push_back({name.str(), *std::move(refusal)});
      return false;
    }
    if (const auto started = this->mover.Start(name, to, now)) {
      round.transitions.push_back(*started);
      return true;
    }
  }
  return false;
}

std::optional<PoolName> PoolSizer::SparePoolWithSurplus() const {
  std::optional<PoolName> best;
  std::int64_t most = 0;
  for (const auto& [name, entry] : this->fleet.pools()) {
    if (!entry.spare) continue;
    const auto needed = this->DesiredSize(name).value_or(entry.budget + 1);
    const auto surplus =
        this->SizeAfterMoves(name) - static_cast<std::int64_t>(needed);
    if (surplus <= most) continue;
    most = surplus;
    best = name;
  }
  return best;
}

std::optional<PoolName> PoolSizer::SmallestSparePool(
    const PoolName& excluded_pool) const {
  std::optional<PoolName> best;
  for (const auto& [name, entry] : this->fleet.pools()) {
    if (!entry.spare || name == excluded_pool) continue;
    if (best && this->SizeAfterMoves(name) >= this->SizeAfterMoves(*best)) {
      continue;
    }
    best = name;
  }
  return best;
}

std::vector<InstanceName> PoolSizer::MoveCandidates(const PoolName& from,
                                                    const PoolName& to) const {
  std::map<AvailabilityZone, int> zones;
  for (const auto& name : this->fleet.FindPool(to)->instances) {
    ++zones[this->fleet.Find(name)->zone];
  }
  // Instances without protected jobs first, then by fewest tasks, then by the
  // fewest instances of the target pool in their zone.
  using Key = std::tuple<bool, std::size_t, int, InstanceName>;
  std::vector<Key> keys;
  for (const auto& name : this->fleet.FindPool(from)->instances) {
    const auto* instance = this->fleet.Find(name);
    if (instance->OutOfService()) continue;
    const auto tasks = this->tasks_on(name);
    const bool has_protected =
        std::any_of(tasks.begin(), tasks.end(),
                    [](const auto& task) { return task.is_protected; });
    keys.emplace_back(has_protected, tasks.size(), zones[instance->zone], name);
  }
  std::sort(keys.begin(), keys.end());
  std::vector<InstanceName> names;
  names.reserve(keys.size());
  for (const auto& key : keys) names.push_back(std::get<InstanceName>(key));
  return names;
}

double PoolSizer::MoveCost(const PoolName& pool) const {
  const auto& weights = this->fleet.FindPool(pool)->weights;
  const double others =
      std::max(1.0, (static_cast<double>(weights.buffer) + weights.share) / 2);
  return this->config.move_cost * weights.moves / others;
}

std::int64_t PoolSizer::SizeAfterMoves(const PoolName& pool) const {
  const auto& entry = *this->fleet.FindPool(pool);
  return static_cast<std::int64_t>(entry.instances.size()) +
         static_cast<std::int64_t>(this->mover.Joining(pool)) -
         static_cast<std::int64_t>(this->mover.Leaving(pool));
}

}  // namespace mimosastage
