#ifndef MIMOSASTAGE_BENCH_FLEET_DEPLOYMENT_H_
#define MIMOSASTAGE_BENCH_FLEET_DEPLOYMENT_H_

#include <string>
#include <vector>

#include "mimosastage/fleet/fleet_view.h"

namespace mimosastage::bench {

constexpr int kSlots = 8;
constexpr int kSurgeSeconds = 8;
/// Number of queues that surge in turn; at any time one of them surges.
constexpr int kQueues = 5;

struct Deployment {
  std::string name;
  std::vector<int> pool_sizes;
  std::vector<int> spare_pools;
  int zones = 1;
  int teams = 6;
  std::uint32_t budget = 2;
  PoolWeights weights;

  int Workers() const {
    int sum = 0;
    for (const int size : this->pool_sizes) sum += size;
    return sum;
  }
};

inline PoolName PoolAt(int index) {
  return PoolName("p" + std::to_string(1'000 + index));
}

/// Adds the deployment's pools and instances to `fleet`, four instances to a
/// rack.
inline void AddPoolsAndInstances(const Deployment& deployment,
                                 FleetView& fleet) {
  int next = 0;
  for (int p = 0; p < static_cast<int>(deployment.pool_sizes.size()); ++p) {
    Pool row;
    row.name = PoolAt(p);
    row.availability_budget = deployment.budget;
    row.weights = deployment.weights;
    for (const int spare : deployment.spare_pools) row.spare |= spare == p;
    fleet.SetPool(row);
    for (int i = 0; i < deployment.pool_sizes[p]; ++i, ++next) {
      FleetInstance instance;
      instance.name = InstanceName("i" + std::to_string(10'000 + next));
      instance.pool = row.name;
      instance.rack = RackName("r" + std::to_string(next / 4));
      instance.zone =
          AvailabilityZone("z" + std::to_string(next / 4 % deployment.zones));
      fleet.AddInstance(instance);
    }
  }
}

/// Demand of a queue relative to its mean: 5 while it surges, 0.05 otherwise.
inline double SurgeFactor(int queue, std::int64_t second) {
  return second / kSurgeSeconds % kQueues == queue % kQueues ? 5.0 : 0.05;
}

}  // namespace mimosastage::bench

#endif  // MIMOSASTAGE_BENCH_FLEET_DEPLOYMENT_H_
