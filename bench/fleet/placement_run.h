#ifndef MIMOSASTAGE_BENCH_FLEET_PLACEMENT_RUN_H_
#define MIMOSASTAGE_BENCH_FLEET_PLACEMENT_RUN_H_

#include "bench/fleet/deployment.h"

namespace mimosastage::bench {

struct PlacementResults {
  /// Total variation distance between the teams' fractions of the used slots
  /// and their entitlements: half the sum of the absolute differences. 0 means
  /// exact shares, 1 means that all slots went to the wrong teams.
  double share_distance = 0;
  double urgent_wait_median_s = 0;
  double urgent_wait_worst_s = 0;
  /// Urgent jobs that hadn't started at the end of the run.
  int urgent_unstarted = 0;
  double round_median_us = 0;
  double round_worst_us = 0;
};

/// Simulates job placement for teams whose queues surge in turn. If `naive`,
/// jobs are placed first-fit in order of arrival instead of by
/// PlacementPlanner.
PlacementResults RunPlacement(const Deployment& deployment, int seconds,
                              bool naive);

}  // namespace mimosastage::bench

#endif  // MIMOSASTAGE_BENCH_FLEET_PLACEMENT_RUN_H_
