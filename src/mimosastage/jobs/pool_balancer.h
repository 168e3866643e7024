#ifndef MIMOSASTAGE_JOBS_POOL_BALANCER_H_
#define MIMOSASTAGE_JOBS_POOL_BALANCER_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "mimosastage/base/time.h"

namespace mimosastage::jobs {

/// What a pool needs now.
struct PoolDemand {
  std::string pool;
  /// Its instances are off and cost nothing; it lends to the others.
  bool standby = false;
  /// Processors in use, and those that tasks without room wait for.
  std::int64_t used_millicores = 0;
  std::int64_t waiting_millicores = 0;
  /// The same for memory; tasks of some queues fill it before the processors.
  std::int64_t used_memory_mb = 0;
  std::int64_t waiting_memory_mb = 0;
  /// Instances that long-running tasks which must run apart need.
  std::size_t anti_affinity_instances = 0;
};

/// An instance as the balancer sees it.
struct PooledInstance {
  std::string instance;
  std::string pool;
  std::int64_t millicores = 0;
  /// Nothing runs there and it may be moved.
  bool empty = false;
  std::int64_t memory_mb = 0;
};

struct InstanceMove {
  std::string instance;
  std::string to_pool;
};

/// Moves empty instances to pools whose tasks wait, and idle ones to a standby
/// pool. Demand of one queue rises to five times its mean for some seconds
/// while the others rest, so that a fixed share of instances leaves one pool
/// short and the others idle.
class PoolBalancer {
 public:
  struct Config {
    /// Instances that a pool keeps for the first seconds of a rise, and for
    /// tasks that must run apart.
    std::size_t min_instances = 5;
    /// An instance is idle for so long before it goes to standby: a move out
    /// and back costs as much as 2.7 s of an instance.
    std::chrono::milliseconds idle_before_standby{1'000};
    /// Counts a moved instance as arriving in its pool; moves take 1.5 s.
    std::chrono::milliseconds arrival_window{2'500};
    /// Room beyond the need, as a share.
    double headroom = 0.25;
    std::size_t moves_per_round = 16;
  };

  explicit PoolBalancer(Config config) : config(config) {}

  /// One round. The caller orders the moves; one that fails shows again.
  std::vector<InstanceMove> Plan(const std::vector<PoolDemand>& demands,
                                 const std::vector<PooledInstance>& instances,
                                 TimePoint now);

 private:
  struct PendingMove {
    std::string pool;
    TimePoint until{};
  };
  /// The largest instance, as a unit of need.
  struct InstanceSize {
    std::int64_t millicores = 1;
    std::int64_t memory_mb = 1;
  };
  struct PoolBalance {
    bool standby = false;
    std::size_t have = 0;
    std::size_t wanted = 0;
    std::vector<std::string> empty;
  };

  std::map<std::string, PoolBalance> ComputeBalances(
      const std::vector<PoolDemand>& demands,
      const std::vector<PooledInstance>& instances, TimePoint now);
  std::size_t Wanted(const PoolDemand& demand,
                     const InstanceSize& largest) const;
  static std::string TakeDonor(std::map<std::string, PoolBalance>& rows);
  void AddMove(const std::string& instance, const std::string& pool,
               TimePoint now, std::vector<InstanceMove>& moves);

  Config config;
  std::map<std::string, TimePoint> idle_since;
  std::map<std::string, PendingMove> pending_moves;
};

}  // namespace mimosastage::jobs

#endif  // MIMOSASTAGE_JOBS_POOL_BALANCER_H_
