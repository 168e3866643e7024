#ifndef MIMOSASTAGE_BENCH_FLEET_CAPACITY_RUN_H_
#define MIMOSASTAGE_BENCH_FLEET_CAPACITY_RUN_H_

#include "bench/fleet/deployment.h"

namespace mimosastage::bench {

struct CapacityOptions {
  /// Baseline: resizes pools every second to the current demand and maintains
  /// one instance of the fleet at a time.
  bool naive = false;
  int seconds = 7'200;
  int wave_at = 1'800;
  int drain_seconds = 10;
  int reboot_seconds = 60;
  /// Unplanned failures per day in the whole fleet. Each lasts 2 minutes.
  double failures_per_day = 0;
  /// If false, only the maintenance wave is simulated, and the run ends with
  /// it.
  bool demand = true;
};

struct CapacityResults {
  /// In the pools that aren't spare pools.
  double idle_slot_seconds = 0;
  /// In all pools. The fleet has a fixed size, so idle instances in a spare
  /// pool or between pools still cost money.
  double fleet_idle_slot_seconds = 0;
  double served_slot_seconds = 0;
  double refused_slot_seconds = 0;
  int moves = 0;
  /// Duration of the maintenance wave; -1 if it didn't end within the run.
  int roll_out_seconds = -1;
  int roll_out_bound_seconds = 0;
  double round_median_us = 0;
  double round_worst_us = 0;
};

CapacityResults RunCapacity(const Deployment& deployment,
                            const CapacityOptions& options);

}  // namespace mimosastage::bench

#endif  // MIMOSASTAGE_BENCH_FLEET_CAPACITY_RUN_H_
