#include "mimosastage/jobs/crash_ledger.h"

#include <algorithm>

#include "mimosastage/jobs/value_bounds.h"

namespace mimosastage::jobs {

using std::chrono::milliseconds;

TaskId CrashLedger::TaskOf(const CrashedRun& run) {
  return TaskId{run.job, run.occurrence, run.step, run.index};
}

milliseconds CrashLedger::AgeToClear(const CrashedRun& run) {
  return std::max(kYoungRun, 2 * BoundedTime(run.age_ms));
}

bool CrashLedger::HasYoungRun(const WorkerCrash& crash) {
  return std::any_of(crash.runs.begin(), crash.runs.end(), [](const auto& run) {
    return run->age_ms < kYoungRun.count();
  });
}

std::vector<const CrashedRun*> CrashLedger::PrimeRuns(
    const WorkerCrash& crash) {
  const bool young_only = crash.explained || HasYoungRun(crash);
  std::vector<const CrashedRun*> prime;
  for (const auto& run : crash.runs) {
    if (!young_only || run->age_ms < kYoungRun.count()) {
      prime.push_back(run.get());
    }
  }
  return prime;
}

void CrashLedger::Record(const WorkerCrash& crash) {
  const Key key{crash.worker, crash.born_ms};
  if (crash.runs.empty() || !this->crashes.emplace(key, crash).second) {
    return;
  }
  ++this->version;
  for (const auto& run : crash.runs) {
    this->by_job[run->job].insert(key);
  }
}

void CrashLedger::Settle(const CrashFinding& finding) {
  const Key key{finding.worker, finding.born_ms};
  const auto found = this->crashes.find(key);
  if (found == this->crashes.end() || found->second.confirmed) {
    return;
  }
  if (finding.crashed) {
    found->second.confirmed = true;
    ++this->version;
  } else {
    this->Erase(key);
  }
}

void CrashLedger::Erase(const Key& key) {
  ++this->version;
  const auto found = this->crashes.find(key);
  const auto runs = std::move(found->second.runs);
  found->second.runs.clear();
  for (const auto& run : runs) {
    this->Unlink(run->job, key);
  }
  this->crashes.erase(found);
}

void CrashLedger::Unlink(const std::string& job, const Key& key) {
  const auto& runs = this->crashes.at(key).runs;
  const auto found = this->by_job.find(job);
  if (found == this->by_job.end() ||
      std::any_of(runs.begin(), runs.end(),
                  [&](const auto& run) { return run->job == job; })) {
    return;
  }
  found->second.erase(key);
  if (found->second.empty()) {
    this->by_job.erase(found);
  }
}

template <class Predicate>
void CrashLedger::RemoveRuns(const std::string& job, Predicate predicate) {
  const auto found = this->by_job.find(job);
  if (found == this->by_job.end()) {
    return;
  }
  ++this->version;
  const std::set<Key> keys = found->second;
  for (const Key& key : keys) {
    WorkerCrash& crash = this->crashes.at(key);
    std::erase_if(crash.runs, [&](const auto& run) {
      return run->job == job && predicate(*run);
    });
    this->Unlink(job, key);
    if (crash.runs.empty()) {
      this->crashes.erase(key);
    }
  }
}

void CrashLedger::OnSurvived(const TaskId& task, milliseconds age) {
  this->RemoveRuns(task.job, [&](const CrashedRun& run) {
    return TaskOf(run) == task && AgeToClear(run) <= age;
  });
}

void CrashLedger::OnDone(const TaskId& task) {
  this->RemoveRuns(task.job,
                   [&](const CrashedRun& run) { return TaskOf(run) == task; });
}

void CrashLedger::ForgetJob(const std::string& job) {
  this->RemoveRuns(job, [](const CrashedRun&) { return true; });
}

void CrashLedger::Explain(const std::string& job) {
  const auto found = this->by_job.find(job);
  if (found == this->by_job.end()) {
    return;
  }
  const std::set<Key> keys = found->second;
  for (const Key& key : keys) {
    WorkerCrash& crash = this->crashes.at(key);
    const auto prime = PrimeRuns(crash);
    if (std::none_of(prime.begin(), prime.end(),
                     [&](const auto* run) { return run->job == job; })) {
      continue;
    }
    ++this->version;
    crash.explained = true;
    std::set<std::string> dropped;
    std::erase_if(crash.runs, [&](const auto& run) {
      const bool old = run->age_ms >= kYoungRun.count();
      if (old) {
        dropped.insert(run->job);
      }
      return old;
    });
    for (const std::string& other : dropped) {
      this->Unlink(other, key);
    }
    if (crash.runs.empty()) {
      this->crashes.erase(key);
    }
  }
}

std::vector<std::string> CrashLedger::JobsToBlame() const {
  struct Evidence {
    std::size_t crashes = 0;
    std::size_t confirmed = 0;
    bool alone = false;
  };
  std::map<TaskId, Evidence> tasks;
  for (const auto& [key, crash] : this->crashes) {
    const auto prime = PrimeRuns(crash);
    const bool one_job = std::all_of(
        prime.begin(), prime.end(),
        [&](const auto* run) { return run->job == prime.front()->job; });
    const bool counts =
        crash.confirmed && !crash.correlated && HasYoungRun(crash);
    const bool names_the_job = counts && one_job && !crash.explained;
    for (const CrashedRun* run : prime) {
      Evidence& sum = tasks[TaskOf(*run)];
      ++sum.crashes;
      sum.confirmed += counts && !run->uncertain ? 1 : 0;
      sum.alone = sum.alone || (names_the_job && !run->uncertain);
    }
  }
  std::vector<std::string> jobs;
  for (const auto& [task, sum] : tasks) {
    const bool to_blame =
        sum.crashes >= kMostCrashes || (sum.confirmed >= 2 && sum.alone);
    if (to_blame && (jobs.empty() || jobs.back() != task.job)) {
      jobs.push_back(task.job);
    }
  }
  return jobs;
}

bool CrashLedger::IsImplicated(const TaskId& task) const {
  const auto found = this->by_job.find(task.job);
  if (found == this->by_job.end()) {
    return false;
  }
  std::size_t young = 0;
  for (const Key& key : found->second) {
    const WorkerCrash& crash = this->crashes.at(key);
    for (const auto& run : crash.runs) {
      if (run->age_ms >= kYoungRun.count() || TaskOf(*run) != task) {
        continue;
      }
      if (!crash.correlated && !crash.explained) {
        return true;
      }
      ++young;
    }
  }
  return young + 1 >= kMostCrashes;
}

std::map<std::string, std::vector<TaskId>> CrashLedger::ImplicatedTasks()
    const {
  std::map<std::string, std::vector<TaskId>> tasks;
  for (const TaskId& task : this->Tasks()) {
    if (this->IsImplicated(task)) {
      tasks[task.job].push_back(task);
    }
  }
  return tasks;
}

milliseconds CrashLedger::AgeToClear(const TaskId& task) const {
  milliseconds age = milliseconds::max();
  if (const auto found = this->by_job.find(task.job);
      found != this->by_job.end()) {
    for (const Key& key : found->second) {
      for (const auto& run : this->crashes.at(key).runs) {
        if (TaskOf(*run) == task) {
          age = std::min(age, AgeToClear(*run));
        }
      }
    }
  }
  return age;
}

std::vector<TaskId> CrashLedger::Tasks() const {
  std::set<TaskId> tasks;
  for (const auto& [key, crash] : this->crashes) {
    for (const auto& run : crash.runs) {
      tasks.insert(TaskOf(*run));
    }
  }
  return {tasks.begin(), tasks.end()};
}

std::size_t CrashLedger::CrashesUnder(const TaskId& task) const {
  std::size_t count = 0;
  if (const auto found = this->by_job.find(task.job);
      found != this->by_job.end()) {
    for (const Key& key : found->second) {
      const auto prime = PrimeRuns(this->crashes.at(key));
      count +=
          std::any_of(prime.begin(), prime.end(),
                      [&](const auto* run) { return TaskOf(*run) == task; })
              ? 1
              : 0;
    }
  }
  return count;
}

bool CrashLedger::HasRun(const TaskId& task, std::uint32_t run) const {
  const auto found = this->by_job.find(task.job);
  if (found == this->by_job.end()) {
    return false;
  }
  return std::any_of(
      found->second.begin(), found->second.end(), [&](const Key& key) {
        const auto& runs = this->crashes.at(key).runs;
        return std::any_of(runs.begin(), runs.end(), [&](const auto& row) {
          return TaskOf(*row) == task && row->run == run;
        });
      });
}

std::vector<const WorkerCrash*> CrashLedger::UnsettledCrashesOf(
    const Worker& worker) const {
  std::vector<const WorkerCrash*> found;
  for (const auto& [key, crash] : this->crashes) {
    const bool same_place =
        crash.worker == worker.id || crash.address == worker.address ||
        (!worker.machine.empty() && crash.instance == worker.machine);
    if (!crash.confirmed && same_place && crash.born_ms < worker.born_ms) {
      found.push_back(&crash);
    }
  }
  return found;
}

const WorkerCrash* CrashLedger::FindUnsettled(const std::string& worker,
                                              std::int64_t born_ms) const {
  const auto found = this->crashes.find({worker, born_ms});
  return found == this->crashes.end() || found->second.confirmed
             ? nullptr
             : &found->second;
}

std::vector<std::unique_ptr<WorkerCrash>> CrashLedger::Records() const {
  std::vector<std::unique_ptr<WorkerCrash>> records;
  for (const auto& [key, crash] : this->crashes) {
    records.push_back(std::make_unique<WorkerCrash>(crash));
  }
  return records;
}

}  // namespace mimosastage::jobs
