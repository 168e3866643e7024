#include "mimosastage/fleet/failure_correlation.h"

#include <algorithm>

namespace mimosastage {
namespace {

// A single failure isn't correlated, even in a pool whose budget is 0.
constexpr std::size_t kMinCorrelatedFailures = 2;

std::optional<std::string> OverBudgetReason(const FleetView& fleet) {
  for (const auto& [name, pool] : fleet.pools()) {
    if (pool.failed.size() < kMinCorrelatedFailures) continue;
    if (pool.failed.size() <= pool.budget) continue;
    return std::to_string(pool.failed.size()) + " failed instances of pool " +
           name.str() + " exceed its budget of " + std::to_string(pool.budget);
  }
  return std::nullopt;
}

}  // namespace

FailureCorrelation::FailureCorrelation(Duration window) : window(window) {}

void FailureCorrelation::Record(const FleetInstance& instance, TimePoint now) {
  while (!this->recent.empty() &&
         now - this->recent.front().at > this->window) {
    this->recent.pop_front();
  }
  const Failure failure{instance.name, instance.rack, instance.zone,
                        instance.pool, now};
  for (const auto& earlier : this->recent) {
    if (earlier.name == failure.name) continue;
    if (earlier.rack == failure.rack || earlier.zone == failure.zone) {
      this->BlockDrains(earlier, failure);
    }
  }
  this->recent.push_back(failure);
}

std::optional<std::string> FailureCorrelation::StopReason(
    const FleetView& fleet, TimePoint now) {
  if (this->reason && this->BlockIsOver(fleet, now)) {
    this->reason.reset();
    this->affected_pools.clear();
  }
  if (this->reason) return this->reason;
  return OverBudgetReason(fleet);
}

void FailureCorrelation::BlockDrains(const Failure& first,
                                     const Failure& second) {
  const bool same_rack = first.rack == second.rack;
  this->reason =
      "instances " + first.name.str() + " and " + second.name.str() +
      " failed together in " +
      (same_rack ? "rack " + second.rack.str() : "zone " + second.zone.str());
  this->last_correlated = second.at;
  this->affected_pools.insert(first.pool);
  this->affected_pools.insert(second.pool);
}

bool FailureCorrelation::BlockIsOver(const FleetView& fleet,
                                     TimePoint now) const {
  if (now - this->last_correlated <= this->window) return false;
  return std::all_of(this->affected_pools.begin(), this->affected_pools.end(),
                     [&](const PoolName& name) {
                       const auto* pool = fleet.FindPool(name);
                       return pool == nullptr ||
                              pool->out_of_service.size() <= pool->budget ||
                              pool->failed.empty();
                     });
}

}  // namespace mimosastage
