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
  if (sample.elapsed < this->config.least_elapsed) {
    return;
  }
  Row& row = this->rows[worker];
  row.pool = pool;
  row.speed = sample.done / sample.elapsed;
  row.at = now;
  const double median = this->MedianOf(pool, now);
  const bool comparable =
      sample.jobs.size() > 1 ||
      (sample.done.count() == 0 && sample.elapsed >= this->config.standstill);
  if (comparable && median > 0 &&
      row.speed < median * this->config.slow_share) {
    row.slow_until = now + this->config.remember;
  }
}

double WorkerSpeed::MedianOf(const std::string& pool, TimePoint now) const {
  std::vector<double> speeds;
  for (const auto& [worker, row] : this->rows) {
    if (row.pool == pool && now - row.at < this->config.remember) {
      speeds.push_back(row.speed);
    }
  }
  if (speeds.size() < this->config.least_workers) {
    return 0;
  }
  const auto middle =
      speeds.begin() + static_cast<std::ptrdiff_t>(speeds.size() / 2);
  std::nth_element(speeds.begin(), middle, speeds.end());
  return *middle;
}

void WorkerSpeed::Forget(const std::string& worker) {
  this->rows.erase(worker);
}

bool WorkerSpeed::IsSlow(const std::string& worker, TimePoint now) const {
  const auto found = this->rows.find(worker);
  return found != this->rows.end() && now < found->second.slow_until;
}

}  // namespace mimosastage::jobs
