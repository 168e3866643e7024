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

/// Attributes task failures to workers or to jobs. A failure counts against a
/// worker if the job has succeeded on some worker or hasn't failed on another
/// one; distinct jobs are counted. Jobs are set aside after failures on
/// distinct workers that aren't quarantined.
class WorkerHealth {
 public:
  struct Config {
    std::size_t jobs_to_quarantine = 3;
    std::size_t workers_to_set_aside = 3;
    /// Older failures don't count against a worker.
    Duration window = std::chrono::hours(1);
    /// Delay before the first probe, doubled after each failed probe.
    Duration first_probe = std::chrono::minutes(1);
    Duration longest_probe = std::chrono::hours(1);
    /// At most 1/divisor of a pool's workers are quarantined.
    std::size_t cap_divisor = 3;
  };

  enum class Eligibility : std::uint8_t {
    kHealthy,
    kQuarantined,
    /// One job that isn't protected may be placed to test the worker.
    kProbe
  };

  /// `pool_size` returns the number of instances in a pool.
  WorkerHealth(Config config,
               std::function<std::size_t(const PoolName&)> pool_size);

  /// If the failure quarantines the worker, failures on it no longer count
  /// against the jobs.
  void RecordTaskFailure(const JobName& job, const InstanceName& worker,
                         const PoolName& pool, TimePoint now);
  void RecordTaskSuccess(const JobName& job, const InstanceName& worker,
                         TimePoint now);

  Eligibility EligibilityOf(const InstanceName& worker, TimePoint now) const;
  bool Quarantined(const InstanceName& worker) const {
    return this->quarantine.contains(worker);
  }
  bool AnyQuarantined() const { return !this->quarantine.empty(); }
  /// Records that a job was placed on a worker whose eligibility was kProbe.
  void ProbeStarted(const InstanceName& worker, TimePoint now);

  /// Returns why the job must not be placed again, or nullopt if it may.
  std::optional<std::string> SetAsideReason(const JobName& job) const;
  /// Drops the records of a job that has ended or was submitted again.
  void Forget(const JobName& job);
  /// Drops the records of a worker that left the fleet.
  void Forget(const InstanceName& worker);

  std::size_t QuarantinedIn(const PoolName& pool) const;

 private:
  struct QuarantineState {
    PoolName pool;
    Duration delay{};
    TimePoint next_probe{};
  };

  struct JobRecord {
    std::set<InstanceName> failed_on;
    std::set<InstanceName> succeeded_on;
  };

  void DropExpiredFailures(const InstanceName& worker, TimePoint now);
  bool CountsAgainstWorker(const JobName& job,
                           const InstanceName& worker) const;
  std::size_t CountedFailures(const InstanceName& worker) const;
  bool MayQuarantine(const PoolName& pool) const;
  void Quarantine(const InstanceName& worker, const PoolName& pool,
                  TimePoint now);

  Config config;
  std::function<std::size_t(const PoolName&)> pool_size;
  std::map<JobName, JobRecord> jobs;
  /// For each worker, when each job last failed on it.
  std::map<InstanceName, std::map<JobName, TimePoint>> failures;
  std::map<InstanceName, QuarantineState> quarantine;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_FLEET_WORKER_HEALTH_H_
