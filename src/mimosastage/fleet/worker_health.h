#ifndef MIMOSASTAGE_FLEET_WORKER_HEALTH_H_
#define MIMOSASTAGE_FLEET_WORKER_HEALTH_H_

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "mimosastage/base/names.h"
#include "mimosastage/base/time.h"

namespace mimosastage {

/// Decides whether failures are the worker's or the job's fault. A worker is
/// blamed for distinct jobs that work elsewhere or haven't failed elsewhere, a
/// job for distinct workers that aren't quarantined.
class WorkerHealth {
 public:
  struct Config {
    std::size_t jobs_to_quarantine = 3;
    std::size_t workers_to_set_aside = 3;
    /// Older blame is forgotten.
    Duration window = std::chrono::hours(1);
    /// Before the first probe; doubled after each failed one.
    Duration first_probe = std::chrono::minutes(1);
    Duration longest_probe = std::chrono::hours(1);
    /// At most one in so many workers of a pool is quarantined.
    std::size_t cap_divisor = 3;
  };

  enum class Verdict : std::uint8_t {
    kHealthy,
    kQuarantined,
    /// One job that isn't protected may be placed, to test the worker.
    kProbe
  };

  /// `pool_size` gives the number of instances in a pool.
  WorkerHealth(Config config,
               std::function<std::size_t(const PoolName&)> pool_size);

  /// A failure that quarantines the worker clears the jobs that failed there.
  void Failed(const JobName& job, const InstanceName& worker,
              const PoolName& pool, TimePoint now);
  void Succeeded(const JobName& job, const InstanceName& worker, TimePoint now);

  Verdict Judge(const InstanceName& worker, TimePoint now) const;
  bool Quarantined(const InstanceName& worker) const {
    return this->quarantine.contains(worker);
  }
  /// A job was placed on a worker whose verdict was kProbe.
  void ProbeStarted(const InstanceName& worker, TimePoint now);

  /// Why the job must not be placed again, or nothing.
  std::optional<std::string> SetAsideReason(const JobName& job) const;
  /// The job ended or an operator sent it again: its failures are forgotten.
  void Forget(const JobName& job);
  /// The worker left the fleet.
  void Forget(const InstanceName& worker);

  std::size_t QuarantinedIn(const PoolName& pool) const;

 private:
  struct Probation {
    PoolName pool;
    Duration delay{};
    TimePoint next_probe{};
  };

  struct JobRecord {
    std::set<InstanceName> failed_on;
    std::set<InstanceName> succeeded_on;
  };

  void DropOldBlame(const InstanceName& worker, TimePoint now);
  bool BlamesWorker(const JobName& job, const InstanceName& worker) const;
  std::size_t Blame(const InstanceName& worker) const;
  bool RoomToQuarantine(const PoolName& pool) const;
  void Quarantine(const InstanceName& worker, const PoolName& pool,
                  TimePoint now);

  Config config;
  std::function<std::size_t(const PoolName&)> pool_size;
  std::map<JobName, JobRecord> jobs;
  /// When each job failed last on the worker.
  std::map<InstanceName, std::map<JobName, TimePoint>> failures;
  std::map<InstanceName, Probation> quarantine;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_FLEET_WORKER_HEALTH_H_
