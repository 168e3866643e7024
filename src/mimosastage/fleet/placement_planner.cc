#include "mimosastage/fleet/placement_planner.h"

#include <utility>

#include "mimosastage/fleet/internal/pool_round.h"

namespace mimosastage {

PlacementPlanner::PlacementPlanner(Config config, Hooks hooks,
                                   const FleetView& fleet,
                                   const WorkerDirectory& workers,
                                   WorkerHealth& health, JobTable& jobs)
    : config(config),
      hooks(std::move(hooks)),
      fleet(fleet),
      workers(workers),
      health(health),
      jobs(jobs),
      usage(config.usage) {}

PlacementPlanner::Round PlacementPlanner::Plan(TimePoint now) {
  std::erase_if(this->reservations, [&](const auto& entry) {
    const auto* job = this->jobs.Find(entry.first);
    return job == nullptr || job->committed.state != JobState::kWaiting ||
           job->proposed;
  });
  std::map<PoolName, std::vector<const JobTable::Job*>> by_pool;
  for (const auto& [submitted, name] : this->jobs.waiting()) {
    const auto* job = this->jobs.Find(name);
    if (job->cancelling || !job->lease.CertainlyEnded(now)) continue;
    by_pool[job->spec.pool].push_back(job);
  }
  Round round;
  std::map<TeamName, std::uint32_t> remaining_units;
  for (const auto& [pool, waiting] : by_pool) {
    internal::PoolRound(*this, pool, remaining_units, round, now).Run(waiting);
  }
  return round;
}

void PlacementPlanner::Observe(const WorkerReport& report) {
  for (const auto& task : report.tasks) {
    const auto* job = this->jobs.Find(task.job);
    if (job == nullptr || !task.usage) continue;
    this->usage.Observe(job->spec, *task.usage);
  }
}

}  // namespace mimosastage
