#ifndef MIMOSASTAGE_JOBS_CRASH_LEDGER_H_
#define MIMOSASTAGE_JOBS_CRASH_LEDGER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "mimosastage/jobs/records.h"

namespace mimosastage::jobs {

/// The crashes of workers that aren't explained yet, and the tasks that may
/// have caused them. Part of the replicated state. docs/platform.md, section 9,
/// states the rule of blame and its reason.
class CrashLedger {
 public:
  /// A task that crashes its workers mostly does so soon after its start. A run
  /// that is older than this when its worker crashes is blamed only if no
  /// younger one is left to blame.
  static constexpr std::chrono::milliseconds kYoungRun{500};
  /// Crashes after which a task is given up whatever the other evidence.
  static constexpr std::size_t kMostCrashes = 3;

  /// Adds a crash. A second record of the same worker changes nothing.
  void Record(const WorkerCrash& crash);
  /// Confirms the crash of a worker, or drops it if the worker is alive.
  void Settle(const CrashFinding& finding);
  /// Clears a task that has run on another worker for `age`, from the crashes
  /// that came much earlier in its run.
  void OnSurvived(const TaskId& task, std::chrono::milliseconds age);
  /// Clears a task that has completed.
  void OnDone(const TaskId& task);
  void ForgetJob(const std::string& job);
  /// Marks the crashes that the job may have caused as explained: they no
  /// longer isolate or name another task, but still count as crashes under it.
  void Explain(const std::string& job);

  /// Returns the jobs, in the order of their ids, with a task that is to blame:
  /// it is implicated in two confirmed crashes, in one of which no other job
  /// was, or in `kMostCrashes` of any kind.
  std::vector<std::string> JobsToBlame() const;

  /// Increases with each change.
  std::uint64_t Version() const { return this->version; }
  bool Empty() const { return this->crashes.empty(); }
  bool Concerns(const std::string& job) const {
    return this->by_job.contains(job);
  }
  /// True if the task must run apart from others until it is cleared: it is
  /// implicated in a crash without a better explanation, or one more crash
  /// would be its last.
  bool IsImplicated(const TaskId& task) const;
  /// The tasks that must run apart, by job.
  std::map<std::string, std::vector<TaskId>> ImplicatedTasks() const;
  /// The shortest age of a run that clears the task of a crash.
  std::chrono::milliseconds AgeToClear(const TaskId& task) const;
  /// The tasks that a longer run can clear.
  std::vector<TaskId> Tasks() const;
  /// Number of crashes that the task may have caused.
  std::size_t CrashesUnder(const TaskId& task) const;
  /// True if the run is recorded under a crash.
  bool HasRun(const TaskId& task, std::uint32_t run) const;
  /// Returns the unsettled crashes of earlier incarnations of `worker`, by id,
  /// address or instance, and that of the same incarnation.
  std::vector<const WorkerCrash*> UnsettledCrashesOf(
      const Worker& worker) const;
  /// Returns the unsettled crash of one incarnation, or null.
  const WorkerCrash* FindUnsettled(const std::string& worker,
                                   std::int64_t born_ms) const;

  std::vector<std::unique_ptr<WorkerCrash>> Records() const;

 private:
  /// Id and start of a worker.
  using Key = std::pair<std::string, std::int64_t>;

  static TaskId TaskOf(const CrashedRun& run);
  /// Age at which a run of the same task has outlived `run`.
  static std::chrono::milliseconds AgeToClear(const CrashedRun& run);
  /// The runs that may have caused the crash: the young ones, or all if none of
  /// these is left.
  static std::vector<const CrashedRun*> PrimeRuns(const WorkerCrash& crash);
  static bool HasYoungRun(const WorkerCrash& crash);
  template <class Predicate>
  void RemoveRuns(const std::string& job, Predicate predicate);
  void Erase(const Key& key);
  /// Removes the crash from `by_job` if it holds no run of the job any more.
  void Unlink(const std::string& job, const Key& key);

  std::map<Key, WorkerCrash> crashes;
  std::map<std::string, std::set<Key>> by_job;
  std::uint64_t version = 0;
};

}  // namespace mimosastage::jobs

#endif  // MIMOSASTAGE_JOBS_CRASH_LEDGER_H_
