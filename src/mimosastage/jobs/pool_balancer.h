#ifndef MIMOSASTAGE_JOBS_POOL_BALANCER_H_
#define MIMOSASTAGE_JOBS_POOL_BALANCER_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "mimosastage/base/time.h"
#include "mimosastage/jobs/demand_forecast.h"

namespace mimosastage::jobs {

/// The current resource demand of a pool.
struct PoolDemand {
  std::string pool;
  /// Its instances are off and cost nothing; the other pools draw on it.
  bool standby = false;
  /// CPU in use, and CPU that waiting tasks need.
  std::int64_t used_millicores = 0;
  std::int64_t waiting_millicores = 0;
  /// The same for memory; tasks of some queues exhaust it before the CPU.
  std::int64_t used_memory_mb = 0;
  std::int64_t waiting_memory_mb = 0;
  /// The part of the above for jobs that can't meet their objective any more.
  std::int64_t late_millicores = 0;
  std::int64_t late_memory_mb = 0;
  /// Instances that the pool needs because long-running tasks limit how many of
  /// them run on one worker.
  std::size_t instances_for_anti_affine_tasks = 0;
  /// Set if the pool is sized ahead of its demand. The fields below are only
  /// used then.
  std::optional<DemandOutlook> outlook;
  /// What a predicted peak will occupy a little later than the outlook says;
  /// instances that are idle until then don't go to standby and back.
  Occupation promised_soon;
  /// The part of the used amounts for late work, and for long-running tasks,
  /// which the outlook leaves out.
  std::int64_t late_used_millicores = 0;
  std::int64_t late_used_memory_mb = 0;
  std::int64_t long_running_millicores = 0;
  std::int64_t long_running_memory_mb = 0;
};

/// An instance and its current pool.
struct PooledInstance {
  std::string instance;
  std::string pool;
  std::int64_t millicores = 0;
  /// No task runs there and it may be moved.
  bool empty = false;
  std::int64_t memory_mb = 0;
  /// Its availability zone is evacuated: it is no capacity of its pool, and
  /// moves to the standby pool only.
  bool evacuated = false;
};

struct InstanceMove {
  std::string instance;
  std::string to_pool;
};

/// What the caller should do now.
struct PoolPlan {
  /// A failed move is planned again after Config::arrival_window if it is still
  /// needed.
  std::vector<InstanceMove> moves;
  /// How many instances of a pool should be emptied: of late work, because
  /// other pools need them for work that can still be in time, or because the
  /// load peak of a pool with an outlook has ended.
  std::map<std::string, std::size_t> releases;
};

/// Moves empty instances to pools with waiting tasks, and idle ones to a
/// standby pool. Late work gets the instances that no pool needs for work that
/// can still be in time: it is worth little, and after a load peak its backlog
/// would keep them from the pool that has the next one. The load of one queue
/// can rise to five times its mean for some seconds while the other queues are
/// idle, so a fixed number of instances per pool would leave one pool short and
/// the others idle.
///
/// A pool with an outlook is sized by what its arrivals will occupy once a move
/// is complete, and what a predicted load peak will occupy in addition. The
/// latter takes no instance from work that is in time. After a peak the pool is
/// reduced before its instances are empty and before others miss them.
class PoolBalancer {
 public:
  struct Config {
    /// Instances that a pool always keeps: for the first seconds of a load
    /// increase, and for tasks that must run on different workers.
    std::size_t min_instances = 5;
    /// How long an instance must be idle before it moves to standby. Moving it
    /// there and back costs as much as running it for 2.7 s.
    std::chrono::milliseconds idle_before_standby{1'000};
    /// How long a moved instance counts towards its new pool, wherever it is
    /// listed; moves take 1.5 s.
    std::chrono::milliseconds arrival_window{2'500};
    /// Spare capacity beyond the demand, as a fraction of the demand.
    double headroom = 0.25;
    std::size_t moves_per_round = 16;
    /// The same if a pool has an outlook: its peak needs some 160 instances,
    /// and half a second of it is worth more than the burst of requests costs.
    std::size_t moves_per_round_ahead = 32;
    /// An instance of a pool with an outlook doesn't move again within this
    /// time after it was ordered there, unless it has been idle for
    /// `idle_before_standby`, or the pool is idle or its peak has ended: 1.5 s
    /// for the move and 3 s in the pool.
    std::chrono::milliseconds min_stay{4'500};
    /// Part of the tasks waiting in a peak that count in addition to those that
    /// run. What waits has run or is late before an instance that is ordered
    /// for it arrives, but it shows that the stated estimates are too short.
    double waiting_part_in_peak = 0.5;
    /// Part of the resources in use after a peak that the steps after the
    /// present ones will need: of 1.6 steps of a job, 0.6 follow another one.
    double followed_part = 0.4;
  };

  explicit PoolBalancer(Config config) : config(config) {}

  PoolPlan Plan(const std::vector<PoolDemand>& demands,
                const std::vector<PooledInstance>& instances, TimePoint now);

 private:
  struct PendingMove {
    std::string pool;
    TimePoint until{};
  };
  /// The largest instance, in terms of which demand is counted.
  struct InstanceSize {
    std::int64_t millicores = 1;
    std::int64_t memory_mb = 1;
  };
  /// An empty instance. Valid while Plan runs.
  struct IdleInstance {
    TimePoint since{};
    const std::string* instance = nullptr;
  };
  struct PoolBalance {
    bool standby = false;
    std::size_t current_size = 0;
    std::size_t desired_size = 0;
    /// The size without late work.
    std::size_t size_in_time = 0;
    /// The same with what is promised for a predicted peak.
    std::size_t promised_size = 0;
    /// The same with PoolDemand::promised_soon.
    std::size_t size_soon = 0;
    /// The peak of the pool has ended, and it needs less than it uses.
    bool falling = false;
    /// Instances that were moved there recently stay.
    bool keeps_arrivals = false;
    /// Its late work gets instances that are on already, but none from standby:
    /// those are needed for the next peak, and late work isn't worth them.
    bool late_work_may_start_instances = true;
    /// The longest idle one is last, as instances are taken from the back.
    std::vector<IdleInstance> empty;
    /// Empty instances of evacuated zones.
    std::vector<const std::string*> evacuated;
  };
  /// Since when an instance is empty, and the latest round that saw it.
  struct IdleSince {
    TimePoint since{};
    std::uint64_t round = 0;
  };

  /// One resource of a PoolDemand with an outlook.
  struct ResourceDemand {
    double used = 0;
    double waiting = 0;
    double late = 0;
    double late_used = 0;
    double long_running = 0;
    double expected = 0;
    double promised = 0;
  };

  using Balances = std::map<std::string, PoolBalance>;

  Balances ComputeBalances(const std::vector<PoolDemand>& demands,
                           const std::vector<PooledInstance>& instances,
                           TimePoint now);
  std::size_t WantedInstances(const PoolDemand& demand,
                              const InstanceSize& largest) const;
  /// Sets the sizes of a pool with an outlook.
  void SetSizesAhead(const PoolDemand& demand, const InstanceSize& largest,
                     PoolBalance& balance) const;
  /// The amount that is needed for work in time, including headroom.
  double NeedInTime(DemandOutlook::Trend trend,
                    const ResourceDemand& demand) const;
  /// Removes an empty instance from a pool that is above its `target`, which
  /// may be the standby pool if `from_standby`. Returns "" if there is none.
  static std::string TakeSurplusInstance(Balances& balances,
                                         std::size_t PoolBalance::*target,
                                         bool from_standby);
  /// Moves empty instances from pools above their `target` to those below it.
  /// Returns once there are `limit` moves.
  void FillDeficits(Balances& balances, std::size_t PoolBalance::*target,
                    std::size_t limit, TimePoint now,
                    std::vector<InstanceMove>& moves);
  /// The number of idle instances of pools above their `target` that aren't
  /// needed soon.
  static std::size_t SpareInstances(const Balances& balances,
                                    std::size_t PoolBalance::*target);
  static std::map<std::string, std::size_t> PlanReleases(
      const Balances& balances);
  void AddMove(const std::string& instance, const std::string& pool,
               TimePoint now, std::vector<InstanceMove>& moves);

  Config config;
  std::uint64_t round = 0;
  std::unordered_map<std::string, IdleSince> idle_since;
  std::unordered_map<std::string, PendingMove> pending_moves;
  /// Until when instances stay in their pool; see Config::min_stay.
  std::unordered_map<std::string, PendingMove> stays;
};

}  // namespace mimosastage::jobs

#endif  // MIMOSASTAGE_JOBS_POOL_BALANCER_H_
