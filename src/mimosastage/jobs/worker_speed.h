#ifndef MIMOSASTAGE_JOBS_WORKER_SPEED_H_
#define MIMOSASTAGE_JOBS_WORKER_SPEED_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "mimosastage/base/time.h"

namespace mimosastage::jobs {

/// Notices workers on which tasks stand still or progress far more slowly than
/// on the others of their pool. Estimates of tasks are rough, so a worker is
/// compared with the median of its pool and not with the estimates alone. All
/// tasks of one job can be far longer than estimated, so a worker that has
/// tasks of one job only is slow only if these stand still.
class WorkerSpeed {
 public:
  struct Config {
    /// Runs shorter than this show too little progress to judge.
    std::chrono::milliseconds min_elapsed{500};
    /// Tasks that show no progress for so long stand still.
    std::chrono::milliseconds stall_time{1'000};
    /// Below this share of the pool's median a worker is slow.
    double slow_ratio = 0.4;
    /// A verdict holds for so long after the last sign. Faults last some
    /// seconds; a worker without runs shows no sign.
    std::chrono::milliseconds verdict_lifetime{3'000};
    /// The pool's median needs at least so many workers.
    std::size_t min_workers = 3;
  };

  explicit WorkerSpeed(Config config) : config(config) {}

  /// Progress of all runs of one worker that can be judged, as its answer
  /// showed it: `done` of `elapsed`, both in estimated time of the tasks.
  struct Sample {
    std::chrono::duration<double> done{};
    std::chrono::duration<double> elapsed{};
    std::set<std::string> jobs;

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
    TimePoint slow_until{};
  };

  double MedianOf(const std::string& pool, TimePoint now) const;

  Config config;
  std::map<std::string, Measurement> measurements;
};

}  // namespace mimosastage::jobs

#endif  // MIMOSASTAGE_JOBS_WORKER_SPEED_H_
