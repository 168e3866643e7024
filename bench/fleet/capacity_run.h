#ifndef MIMOSASTAGE_BENCH_FLEET_CAPACITY_RUN_H_
#define MIMOSASTAGE_BENCH_FLEET_CAPACITY_RUN_H_

#include "bench/fleet/deployment.h"

namespace mimosastage::bench {

struct CapacityOptions {
  /// Reactive sizing each second and one instance of the fleet at a time.
  bool naive = false;
  int seconds = 7'200;
  int wave_at = 1'800;
  int drain_seconds = 10;
  int reboot_seconds = 60;
  /// Unplanned failures of the whole fleet in a day, each for 2 minutes.
  double failures_per_day = 0;
  /// Without demand only the wave runs, and the run ends with it.
  bool demand = true;
};

struct CapacityFigures {
  /// In the pools that aren't spare.
  double idle_slot_seconds = 0;
  /// In all pools. The fleet has a fixed size, so instances that are given back
  /// to a spare pool, or are on their way, are still paid for.
  double fleet_idle_slot_seconds = 0;
  double served_slot_seconds = 0;
  double refused_slot_seconds = 0;
  int moves = 0;
  /// -1 if the wave didn't end within the run.
  int roll_out_seconds = -1;
  int roll_out_bound_seconds = 0;
  double round_median_us = 0;
  double round_worst_us = 0;
};

CapacityFigures RunCapacity(const Deployment& deployment,
                            const CapacityOptions& options);

}  // namespace mimosastage::bench

#endif  // MIMOSASTAGE_BENCH_FLEET_CAPACITY_RUN_H_
