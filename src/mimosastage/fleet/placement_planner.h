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

/// Chooses workers for waiting jobs: urgent jobs first, then by the teams'
/// shares, spread over zones and racks. A job that doesn't fit is passed over.
class PlacementPlanner {
 public:
  struct Config {
    UsageEstimate::Config usage;
    /// A worker that is silent for longer gets no new job.
    Duration silence_limit = std::chrono::seconds(3);
    /// Room that was promised to an urgent job and isn't free by then is given
    /// up for room on another worker. Checkpoint, stop and the reports between
    /// them take up to 5.6 s when reports come once a second.
    Duration reservation_limit = std::chrono::seconds(6);
    /// Protected jobs leave one in so many slots of a pool (at least one) to
    /// work that can be stopped, so that urgent work finds room.
    std::int64_t protected_reserve_divisor = 8;
  };

  struct Hooks {
    std::function<std::uint32_t(const TeamName&)> share;
    /// Units of the team's upper limit that are neither lent to entries nor
    /// taken by placed jobs (JobTable::Running).
    std::function<std::uint32_t(const TeamName&)> free_units;
    /// Slots of the instance that are lent to entries for requests.
    std::function<std::int64_t(const InstanceName&)> lent_slots;
  };

  struct Round {
    /// To be proposed; JobTable knows them already.
    std::vector<JobTransition> placements;
    /// Tasks that JobTable was asked to stop for urgent jobs.
    std::vector<JobName> stops;
    std::vector<HeldDecision> held;
  };

  PlacementPlanner(Config config, Hooks hooks, const FleetView& fleet,
                   const WorkerDirectory& workers, WorkerHealth& health,
                   JobTable& jobs);

  Round Plan(TimePoint now);

  /// Learns from the usage in a report that WorkerDirectory accepted.
  void Observe(const WorkerReport& report);

 private:
  friend class internal::PoolRound;

  /// Room that an urgent job waits for.
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
