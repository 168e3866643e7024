#include "mimosastage/fleet/worker_health.h"

#include <algorithm>
#include <utility>

namespace mimosastage {

WorkerHealth::WorkerHealth(
    Config config, std::function<std::size_t(const PoolName&)> pool_size)
    : config(config), pool_size(std::move(pool_size)) {}

void WorkerHealth::RecordTaskFailure(const JobName& job,
                                     const InstanceName& worker,
                                     const PoolName& pool, TimePoint now) {
  if (const auto it = this->quarantine.find(worker);
      it != this->quarantine.end()) {
    // A failed probe doesn't count against the job.
    auto& state = it->second;
    state.delay = std::min(state.delay * 2, this->config.longest_probe);
    state.next_probe = now + state.delay;
    return;
  }
  this->DropExpiredFailures(worker, now);
  this->failures[worker][job] = now;
  this->jobs[job].failed_on.insert(worker);
  if (this->CountedFailures(worker) < this->config.jobs_to_quarantine) return;
  if (!this->MayQuarantine(pool)) return;
  this->Quarantine(worker, pool, now);
}

void WorkerHealth::RecordTaskSuccess(const JobName& job,
                                     const InstanceName& worker,
                                     TimePoint now) {
  this->jobs[job].succeeded_on.insert(worker);
  this->quarantine.erase(worker);
  this->DropExpiredFailures(worker, now);
  // Each success cancels the oldest failure, so that a worker that runs many
  // jobs isn't quarantined for the few that fail by chance.
  auto& failed_jobs = this->failures[worker];
  const auto oldest = std::min_element(
      failed_jobs.begin(), failed_jobs.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; });
  if (oldest != failed_jobs.end()) failed_jobs.erase(oldest);
  if (failed_jobs.empty()) this->failures.erase(worker);
}

WorkerHealth::Eligibility WorkerHealth::EligibilityOf(
    const InstanceName& worker, TimePoint now) const {
  const auto it = this->quarantine.find(worker);
  if (it == this->quarantine.end()) return Eligibility::kHealthy;
  return now >= it->second.next_probe ? Eligibility::kProbe
                                      : Eligibility::kQuarantined;
}

void WorkerHealth::ProbeStarted(const InstanceName& worker, TimePoint now) {
  if (const auto it = this->quarantine.find(worker);
      it != this->quarantine.end()) {
    it->second.next_probe = now + it->second.delay;
  }
}

std::optional<std::string> WorkerHealth::SetAsideReason(
    const JobName& job) const {
  const auto it = this->jobs.find(job);
  if (it == this->jobs.end()) return std::nullopt;
  const auto& workers = it->second.failed_on;
  if (workers.size() < this->config.workers_to_set_aside) return std::nullopt;
  std::string names;
  for (const auto& worker : workers) {
    names += (names.empty() ? "" : ", ") + worker.str();
  }
  return "job " + job.str() + " is set aside: it failed on " +
         std::to_string(workers.size()) + " workers (" + names +
         "); correct it and submit it again";
}

void WorkerHealth::Forget(const JobName& job) {
  const auto it = this->jobs.find(job);
  if (it == this->jobs.end()) return;
  // The failures of a job that has succeeded on some worker keep counting
  // against the workers until they leave the window, even without the job's
  // record.
  if (it->second.succeeded_on.empty()) {
    for (const auto& worker : it->second.failed_on) {
      if (const auto found = this->failures.find(worker);
          found != this->failures.end()) {
        found->second.erase(job);
      }
    }
  }
  this->jobs.erase(it);
}

void WorkerHealth::Forget(const InstanceName& worker) {
  this->failures.erase(worker);
  this->quarantine.erase(worker);
}

std::size_t WorkerHealth::QuarantinedIn(const PoolName& pool) const {
  return static_cast<std::size_t>(std::count_if(
      this->quarantine.begin(), this->quarantine.end(),
      [&](const auto& entry) { return entry.second.pool == pool; }));
}

void WorkerHealth::DropExpiredFailures(const InstanceName& worker,
                                       TimePoint now) {
  const auto it = this->failures.find(worker);
  if (it == this->failures.end()) return;
  std::erase_if(it->second, [&](const auto& failure) {
    return now - failure.second > this->config.window;
  });
}

bool WorkerHealth::CountsAgainstWorker(const JobName& job,
                                       const InstanceName& worker) const {
  const auto it = this->jobs.find(job);
  if (it == this->jobs.end()) return true;
  const auto& record = it->second;
  if (!record.succeeded_on.empty()) return true;
  return std::all_of(record.failed_on.begin(), record.failed_on.end(),
                     [&](const auto& other) { return other == worker; });
}

std::size_t WorkerHealth::CountedFailures(const InstanceName& worker) const {
  const auto& failed = this->failures.at(worker);
  return static_cast<std::size_t>(
      std::count_if(failed.begin(), failed.end(), [&](const auto& failure) {
        return this->CountsAgainstWorker(failure.first, worker);
      }));
}

bool WorkerHealth::MayQuarantine(const PoolName& pool) const {
  const auto cap = this->pool_size(pool) / this->config.cap_divisor;
  return this->QuarantinedIn(pool) < cap;
}

void WorkerHealth::Quarantine(const InstanceName& worker, const PoolName& pool,
                              TimePoint now) {
  this->quarantine[worker] = {pool, this->config.first_probe,
                              now + this->config.first_probe};
  for (const auto& [job, at] : this->failures[worker]) {
    this->jobs[job].failed_on.erase(worker);
  }
  this->failures.erase(worker);
}

}  // namespace mimosastage
