#ifndef MIMOSASTAGE_BENCH_FLEET_PLACEMENT_RUN_H_
#define MIMOSASTAGE_BENCH_FLEET_PLACEMENT_RUN_H_

#include "bench/fleet/deployment.h"

namespace mimosastage::bench {

struct PlacementFigures {
  /// Half the sum of the differences between the teams' parts of a full pool
  /// and their entitlements; 0 is exact, 1 is all to the wrong teams.
  double share_distance = 0;
  double urgent_wait_median_s = 0;
  double urgent_wait_worst_s = 0;
  /// Urgent jobs that hadn't started at the end of the run.
  int urgent_unstarted = 0;
  double round_median_us = 0;
  double round_worst_us = 0;
};

/// Runs teams whose queues surge in turn, by first fit in the order of arrival
/// if `naive`.
PlacementFigures RunPlacement(const Deployment& deployment, int seconds,
                              bool naive);

}  // namespace mimosastage::bench

#endif  // MIMOSASTAGE_BENCH_FLEET_PLACEMENT_RUN_H_
