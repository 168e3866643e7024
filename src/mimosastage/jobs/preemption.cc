#include "mimosastage/jobs/preemption.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <utility>

#include "mimosastage/jobs/placement.h"

namespace mimosastage::jobs {
namespace {

/// The saved work must exceed the lost work by this factor, because estimates
/// of run times are wrong by up to 0.9 of their value.
constexpr double kSavedByLost = 2;

/// How many tasks that need `need` each fit into `free`.
std::int64_t TasksIn(const Amount& free, const Amount& need) {
  const auto tasks = [](std::int64_t free, std::int64_t need) {
    return need <= 0 ? std::numeric_limits<std::int64_t>::max()
                     : std::max<std::int64_t>(0, free) / need;
  };
  return std::min({tasks(free.millicores, need.millicores),
                   tasks(free.memory_mb, need.memory_mb),
                   tasks(free.accelerators, need.accelerators)});
}

}  // namespace

std::optional<PreemptionChoice> ChoosePreemption(
    const PreemptionDemand& demand, const Amount& free,
    const std::vector<PreemptionCandidate>& candidates, std::size_t max_stops) {
  std::optional<PreemptionChoice> best;
  const auto consider = [&](std::vector<std::size_t> stops) {
    Amount room = free;
    double lost = 0;
    for (const std::size_t stop : stops) {
      Add(room, candidates[stop].charge);
      lost += candidates[stop].lost_work;
    }
    const bool fits =
        TasksIn(room, demand.need) >= static_cast<std::int64_t>(demand.tasks);
    const bool pays = demand.saved_work > kSavedByLost * lost;
    if (fits && pays && (!best.has_value() || lost < best->lost_work)) {
      best = PreemptionChoice{std::move(stops), lost};
    }
  };
  for (std::size_t i = 0; max_stops >= 1 && i < candidates.size(); ++i) {
    consider({i});
  }
  // kMaxPreemptions is 2, so all pairs are tried.
  for (std::size_t i = 0; max_stops >= 2 && i < candidates.size(); ++i) {
    for (std::size_t k = i + 1; k < candidates.size(); ++k) {
      consider({i, k});
    }
  }
  return best;
}

void PreemptionLimiter::ForgetOld(TimePoint now) {
  for (auto row = this->stops.begin(); row != this->stops.end();) {
    auto& times = row->second;
    while (!times.empty() && now - times.front() >= kPreemptionWindow) {
      times.pop_front();
    }
    row = times.empty() ? this->stops.erase(row) : std::next(row);
  }
}

std::size_t PreemptionLimiter::Left(const std::string& team, TimePoint now) {
  this->ForgetOld(now);
  const auto found = this->stops.find(team);
  const std::size_t used =
      found == this->stops.end() ? 0 : found->second.size();
  return kMaxPreemptions - std::min(kMaxPreemptions, used);
}

void PreemptionLimiter::OnStop(const std::string& team, TimePoint now) {
  this->stops[team].push_back(now);
}

}  // namespace mimosastage::jobs
