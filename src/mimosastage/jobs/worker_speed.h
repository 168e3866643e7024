#ifndef MIMOSASTAGE_JOBS_WORKER_SPEED_H_
#define MIMOSASTAGE_JOBS_WORKER_SPEED_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "mimosastage/base/time.h"

namespace mimosastage::jobs {

/// Detects workers whose tasks make no progress, or far less than those of
/// other workers in the pool. Duration estimates are rough, so a worker is
/// compared with the median of its pool and not with the estimates alone. All
/// tasks of a job can take far longer than estimated, so a worker that runs
/// tasks of only one job counts as slow only if they make no progress at all.
class WorkerSpeed {
 public:
  struct Config {
    /// Shorter runs show too little progress for a measurement.
    std::chrono::milliseconds min_elapsed{500};
    /// Tasks without progress for this long count as stalled.
    std::chrono::milliseconds stall_time{1'000};
    /// A worker below this fraction of its pool's median speed is slow.
    double slow_ratio = 0.4;
    /// How long a measurement is used, and how long a worker counts as slow
    /// after the last slow one. Faults last some seconds, and a worker without
    /// runs can't be measured.
    std::chrono::milliseconds measurement_validity{3'000};
    /// Minimum number of measured workers for a median of the pool.
    std::size_t min_workers = 3;
  };

  explicit WorkerSpeed(Config config) : config(config) {}
  WorkerSpeed(const WorkerSpeed&) = delete;
  WorkerSpeed& operator=(const WorkerSpeed&) = delete;

  /// Progress of all measurable runs of one worker: the estimated duration of
  /// the work done, and the time that the runs have taken so far.
  struct Sample {
    std::chrono::duration<double> done{};
    std::chrono::duration<double> elapsed{};
    /// One of the jobs that the runs belong to.
    std::string job;
    bool has_several_jobs = false;

    void Add(const std::string& job, std::uint32_t percent,
             std::chrono::milliseconds estimate, Duration running);
  };
  void OnSample(const std::string& worker, const std::string& pool,
                const Sample& sample, TimePoint now);
  void Forget(const std::string& worker);

  bool IsSlow(const std::string& worker, TimePoint now) const;
  const Config& settings() const { return this->config; }

 private:
  struct Measurement {
    std::string pool;
    double speed = 1;
    TimePoint at{};
  };

  /// True if the speed is below `slow_ratio` of the pool's median.
  bool IsFarBelowMedian(double measured, const std::string& pool,
                        TimePoint now) const;
  void RemoveFromPool(const Measurement& measurement);

  Config config;
  std::map<std::string, Measurement> measurements;
  std::map<std::string, std::vector<const Measurement*>> by_pool;
  /// Until when each worker counts as slow, or counted as slow last; without
  /// those that never did.
  std::map<std::string, TimePoint> slow_until;
  /// No worker is slow from this time on.
  TimePoint none_slow_from{};
};

}  // namespace mimosastage::jobs

#endif  // MIMOSASTAGE_JOBS_WORKER_SPEED_H_
