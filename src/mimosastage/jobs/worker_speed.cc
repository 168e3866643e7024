#include "mimosastage/jobs/worker_speed.h"

#include <algorithm>

namespace mimosastage::jobs {

void WorkerSpeed::Sample::Add(const std::string& job, std::uint32_t percent,
                              std::chrono::milliseconds estimate,
                              Duration running) {
  if (this->job.empty()) {
    this->job = job;
  }
  this->has_several_jobs = this->has_several_jobs || this->job != job;
  this->done += std::chrono::duration<double>(estimate) * percent / 100.0;
  this->elapsed += running;
}

void WorkerSpeed::OnSample(const std::string& worker, const std::string& pool,
                           const Sample& sample, TimePoint now) {
  if (sample.elapsed < this->config.min_elapsed) {
    return;
  }
  const auto [row, is_new] = this->measurements.try_emplace(worker);
  Measurement& measurement = row->second;
  if (is_new || measurement.pool != pool) {
    if (!is_new) {
      this->RemoveFromPool(measurement);
    }
    measurement.pool = pool;
    this->by_pool[pool].push_back(&measurement);
  }
  measurement.speed = sample.done / sample.elapsed;
  measurement.at = now;
  const bool comparable =
      sample.has_several_jobs ||
      (sample.done.count() == 0 && sample.elapsed >= this->config.stall_time);
  if (comparable && this->IsFarBelowMedian(measurement.speed, pool, now)) {
    const TimePoint until = now + this->config.measurement_validity;
    this->slow_until[worker] = until;
    this->none_slow_from = std::max(this->none_slow_from, until);
  }
}

bool WorkerSpeed::IsFarBelowMedian(double measured, const std::string& pool,
                                   TimePoint now) const {
  std::size_t valid = 0;
  std::size_t far_above = 0;
  for (const Measurement* other : this->by_pool.at(pool)) {
    if (now - other->at < this->config.measurement_validity) {
      ++valid;
      far_above += measured < other->speed * this->config.slow_ratio ? 1 : 0;
    }
  }
  // The median is the element at index valid / 2 in ascending order, so it is
  // far above if all elements from there on are.
  return valid >= this->config.min_workers && far_above >= valid - valid / 2;
}

void WorkerSpeed::RemoveFromPool(const Measurement& measurement) {
  const auto pool = this->by_pool.find(measurement.pool);
  std::erase(pool->second, &measurement);
  if (pool->second.empty()) {
    this->by_pool.erase(pool);
  }
}

void WorkerSpeed::Forget(const std::string& worker) {
  this->slow_until.erase(worker);
  if (const auto found = this->measurements.find(worker);
      found != this->measurements.end()) {
    this->RemoveFromPool(found->second);
    this->measurements.erase(found);
  }
}

bool WorkerSpeed::IsSlow(const std::string& worker, TimePoint now) const {
  if (now >= this->none_slow_from) {
    return false;
  }
  const auto found = this->slow_until.find(worker);
  return found != this->slow_until.end() && now < found->second;
}

}  // namespace mimosastage::jobs
