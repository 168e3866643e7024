// Benchmarks maintenance, pool sizing and placement on simulated fleets.
//
// Prints one JSON line for each deployment and algorithm, one for each fleet
// size of the growth series and one for the maintenance of all instances. The
// optional argument selects a part: today, target, growth or maintenance.

#include <cstdio>
#include <string>

#include "bench/fleet/capacity_run.h"
#include "bench/fleet/placement_run.h"

namespace mimosastage::bench {
namespace {

Deployment Target(int pools) {
  Deployment target{.name = "target", .zones = 4, .teams = 310, .budget = 3};
  target.pool_sizes.assign(static_cast<std::size_t>(pools), 25);
  for (int p = 0; p < pools; p += 19) target.spare_pools.push_back(p);
  return target;
}

void Compare(const Deployment& deployment, int seconds, int placement_seconds) {
  for (const bool naive : {true, false}) {
    CapacityOptions options;
    options.naive = naive;
    options.seconds = seconds;
    options.wave_at = seconds / 2;
    const auto capacity = RunCapacity(deployment, options);
    CapacityOptions alone = options;
    alone.demand = false;
    alone.wave_at = 60;
    // The naive roll-out of one instance at a time takes longer than this in
    // the target deployment and is then reported as -1.
    alone.seconds = 5'000;
    const auto wave = RunCapacity(deployment, alone);
    const auto placement = RunPlacement(deployment, placement_seconds, naive);
    std::printf(
        "{\"bench\":\"fleet\",\"deployment\":\"%s\",\"workers\":%d,"
        "\"side\":\"%s\",\"idle_slot_seconds\":%.0f,"
        "\"fleet_idle_slot_seconds\":%.0f,"
        "\"served_slot_seconds\":%.0f,\"refused_slot_seconds\":%.0f,"
        "\"moves\":%d,\"roll_out_with_demand_s\":%d,"
        "\"roll_out_with_demand_bound_s\":%d,\"roll_out_s\":%d,"
        "\"roll_out_bound_s\":%d,\"share_distance\":%.4f,"
        "\"urgent_wait_median_s\":%.1f,\"urgent_wait_worst_s\":%.1f,"
        "\"urgent_unstarted\":%d,\"round_median_us\":%.0f,"
        "\"placement_round_median_us\":%.0f}\n",
        deployment.name.c_str(), deployment.Workers(), naive ? "naive" : "ours",
        capacity.idle_slot_seconds, capacity.fleet_idle_slot_seconds,
        capacity.served_slot_seconds, capacity.refused_slot_seconds,
        capacity.moves, capacity.roll_out_seconds,
        capacity.roll_out_bound_seconds, wave.roll_out_seconds,
        wave.roll_out_bound_seconds, placement.share_distance,
        placement.urgent_wait_median_s, placement.urgent_wait_worst_s,
        placement.urgent_unstarted, capacity.round_median_us,
        placement.round_median_us);
    std::fflush(stdout);
  }
}

void Growth() {
  for (const int pools : {2, 8, 32, 76}) {
    const auto deployment = Target(pools);
    CapacityOptions options;
    options.seconds = 600;
    options.wave_at = 100;
    const auto capacity = RunCapacity(deployment, options);
    const auto placement = RunPlacement(deployment, 60, false);
    std::printf(
        "{\"bench\":\"fleet_growth\",\"workers\":%d,\"round_median_us\":%.0f,"
        "\"round_worst_us\":%.0f,\"placement_round_median_us\":%.0f,"
        "\"placement_round_worst_us\":%.0f}\n",
        deployment.Workers(), capacity.round_median_us, capacity.round_worst_us,
        placement.round_median_us, placement.round_worst_us);
    std::fflush(stdout);
  }
}

// Runs a roll-out over all instances in which every drain lasts the full drain
// timeout and instances fail and restart at the expected rate.
void MaintainAll() {
  CapacityOptions options;
  options.demand = false;
  options.seconds = 3 * 86'400;
  options.wave_at = 60;
  options.drain_seconds = 600;
  options.reboot_seconds = 280;
  options.failures_per_day = 378;
  const auto results = RunCapacity(Target(76), options);
  std::printf(
      "{\"bench\":\"fleet_maintenance\",\"workers\":1900,\"drain_s\":600,"
      "\"reboot_s\":280,\"failures_per_day\":378,\"roll_out_s\":%d,"
      "\"roll_out_bound_s\":%d,\"days\":%.2f}\n",
      results.roll_out_seconds, results.roll_out_bound_seconds,
      results.roll_out_seconds / 86'400.0);
}

int Main(const std::string& part) {
  Deployment vergara{
      .name = "vergara", .pool_sizes = {12, 8, 10, 9, 11}, .spare_pools = {0}};
  vergara.weights = {.buffer = 3, .share = 3, .moves = 1, .roll_out = 1};
  Deployment cancha{.name = "cancha_serena",
                    .pool_sizes = {12, 8, 10, 9, 11},
                    .spare_pools = {0},
                    .zones = 3};
  cancha.weights = {.buffer = 1, .share = 1, .moves = 3, .roll_out = 3};
  if (part.empty() || part == "today") Compare(vergara, 7'200, 600);
  if (part.empty() || part == "today") Compare(cancha, 7'200, 600);
  if (part.empty() || part == "target") Compare(Target(76), 2'400, 40);
  if (part.empty() || part == "growth") Growth();
  if (part.empty() || part == "maintenance") MaintainAll();
  return 0;
}

}  // namespace
}  // namespace mimosastage::bench

int main(int argc, char** argv) {
  return mimosastage::bench::Main(argc > 1 ? argv[1] : "");
}
