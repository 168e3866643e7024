#include "mimosastage/jobs/worker_speed.h"

#include <algorithm>
#include <vector>

namespace mimosastage::jobs {

void WorkerSpeed::Sample::Add(const std::string& job, std::uint32_t percent,
                              std::chrono::milliseconds estimate,
                              Duration running) {
  this->jobs.insert(job);
  this->done += std::chrono::duration<double>(estimate) * percent / 100.0;
  this->elapsed += running;
}

void WorkerSpeed::OnSample(const std::string& worker, const std::string& pool,
                           const Sample& sample, TimePoint now) {
  if (sample.elapsed < this->config.min_elapsed) {
    return;
  }
  Measurement& measurement = this->measurements[worker];
  measurement.pool = pool;
  measurement.speed = sample.done / sample.elapsed;
  measurement.at = now;
  const double median = this->MedianOf(pool, now);
  const bool comparable =
      sample.jobs.size() > 1 ||
      (sample.done.count() == 0 && sample.elapsed >= this->config.stall_time);
  if (comparable && median > 0 &&
      measurement.speed < median * this->config.slow_ratio) {
    measurement.slow_until = now + this->config.measurement_validity;
  }
}

double WorkerSpeed::MedianOf(const std::string& pool, TimePoint now) const {
  std::vector<double> speeds;
  for (const auto& [worker, measurement] : this->measurements) {
    if (measurement.pool == pool &&
        now - measurement.at < this->config.measurement_validity) {
      speeds.push_back(measurement.speed);
    }
  }
  if (speeds.size() < this->config.min_workers) {
    return 0;
  }
  const auto middle =
      speeds.begin() + static_cast<std::ptrdiff_t>(speeds.size() / 2);
  std::nth_element(speeds.begin(), middle, speeds.end());
  return *middle;
}

void WorkerSpeed::Forget(const std::string& worker) {
  this->measurements.erase(worker);
}

bool WorkerSpeed::IsSlow(const std::string& worker, TimePoint now) const {
  const auto found = this->measurements.find(worker);
  return found != this->measurements.end() && now < found->second.slow_until;
}

}  // namespace mimosastage::jobs
