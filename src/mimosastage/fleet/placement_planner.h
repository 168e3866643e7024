#ifndef MIMOSASTAGE_FLEET_PLACEMENT_PLANNER_H_
#define MIMOSASTAGE_FLEET_PLACEMENT_PLANNER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "mimosastage/base/names.h"
#include "mimosastage/base/time.h"
#include "mimosastage/fleet/fleet_view.h"
#include "mimosastage/fleet/job_table.h"
#include "mimosastage/fleet/usage_estimate.h"
#include "mimosastage/fleet/worker_directory.h"
#include "mimosastage/fleet/worker_health.h"

namespace mimosastage {

namespace internal {
class PoolRound;
}  // namespace internal

/// Assigns waiting jobs to workers: urgent jobs first, the others by the teams'
/// fair shares. Each team's tasks are spread over availability zones and racks.
/// A job that doesn't fit doesn't block the jobs behind it.
class PlacementPlanner {
 public:
  struct Config {
    UsageEstimate::Config usage;
    /// A worker without a report for longer gets no new job.
    Duration silence_limit = std::chrono::seconds(3);
    /// If the room reserved for an urgent job isn't free by then, the
    /// reservation is dropped and the job looks for another worker. Checkpoint,
    /// stop and the reports between them take up to 5.6 s when workers report
    /// once a second.
    Duration reservation_timeout = std::chrono::seconds(6);
    /// Protected jobs must leave 1/divisor of a pool's slots, and at least one,
    /// to work that can be stopped, so that urgent jobs find room.
    std::int64_t protected_reserve_divisor = 8;
  };

  struct Hooks {
    std::function<std::uint32_t(const TeamName&)> share;
    /// Units of the team's upper limit that are neither lent to entries nor
    /// taken by placed jobs (JobTable::NumPlaced).
    std::function<std::uint32_t(const TeamName&)> free_units;
    /// Slots of the instance that are lent to entries to serve requests.
    std::function<std::int64_t(const InstanceName&)> lent_slots;
  };

  struct Round {
    /// To be proposed by the caller; already recorded in JobTable as proposed.
    std::vector<JobTransition> placements;
    /// Jobs stopped by JobTable::RequestStop to make room for urgent jobs.
    std::vector<JobName> stops;
    std::vector<HeldDecision> held;
  };

  PlacementPlanner(Config config, Hooks hooks, const FleetView& fleet,
                   const WorkerDirectory& workers, WorkerHealth& health,
                   JobTable& jobs);

  Round Plan(TimePoint now);

  /// Updates the usage estimates from a report that WorkerDirectory accepted.
  void Observe(const WorkerReport& report);

 private:
  friend class internal::PoolRound;

  /// Room on a worker that is being freed for an urgent job.
  struct Reservation {
    InstanceName worker;
    TimePoint since{};
  };

  Config config;
  Hooks hooks;
  const FleetView& fleet;
  const WorkerDirectory& workers;
  WorkerHealth& health;
  JobTable& jobs;
  UsageEstimate usage;
  std::map<JobName, Reservation> reservations;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_FLEET_PLACEMENT_PLANNER_H_
