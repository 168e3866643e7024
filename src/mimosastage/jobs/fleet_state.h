#ifndef MIMOSASTAGE_JOBS_FLEET_STATE_H_
#define MIMOSASTAGE_JOBS_FLEET_STATE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "mimosastage/jobs/crash_ledger.h"
#include "mimosastage/jobs/job_changes.h"
#include "mimosastage/jobs/queue_table.h"
#include "mimosastage/jobs/records.h"
#include "mimosastage/jobs/worker_table.h"

namespace mimosastage::jobs {

/// A run of a task that may still be active on a worker.
struct ActiveRun {
  std::uint32_t number = 0;
  std::string worker;
  std::int64_t born_ms = 0;
  /// When its start was logged, in Unix milliseconds; 0 if unknown.
  std::int64_t started_ms = 0;
};

struct Task {
  bool done = false;
  /// Number of the latest run; 0 before the first one.
  std::uint32_t runs = 0;
  std::uint32_t failures = 0;
  std::string checkpoint;
  std::vector<ActiveRun> active;
};

/// A job and the progress of its tasks.
struct Job {
  std::shared_ptr<const JobRequest> request;
  /// See QueueTable::HolderOf. Null only if the job was accepted before the
  /// first configuration, or by an earlier release behind one without its
  /// queue.
  std::shared_ptr<const Queue> queue;
  JobPhase phase = JobPhase::kQueued;
  /// A worker is known to have begun a task. A task that was only ordered
  /// doesn't count, because the worker may be gone.
  bool begun = false;
  std::int64_t ended_ms = 0;
  /// Ordered by occurrence, step and index. Kept after the end of the job while
  /// one of its runs may still be active.
  std::vector<Task> tasks;
  /// Number of tasks that are not done, for each occurrence and step.
  std::vector<std::uint32_t> open_task_counts;
  std::size_t active_runs = 0;

  std::uint32_t Occurrences() const;
  std::size_t TasksOfOccurrence() const;
  std::size_t StepBegin(std::uint32_t occurrence, std::uint32_t step) const;
  Task& At(const TaskId& id);
  const Task& At(const TaskId& id) const;
  bool Contains(const TaskId& id) const;
  std::uint32_t& OpenTasks(std::uint32_t occurrence, std::uint32_t step);
  std::uint32_t OpenTasks(std::uint32_t occurrence, std::uint32_t step) const;
  /// True if all steps that the step depends on are complete.
  bool StepReady(std::uint32_t occurrence, std::uint32_t step) const;
  bool Ended() const { return this->phase >= JobPhase::kCompleted; }
  bool IsHeldBy(const Queue& queue) const;
};

/// The replicated state of jobs, workers and waves. Apply is deterministic and
/// doesn't read the clock, so that all replicas reach the same state.
class FleetState {
 public:
  struct Limits {
    /// How long a job stays visible after its end.
    std::int64_t ended_job_retention_ms = 130'000;
    std::size_t tasks_per_job = 20'000;
    std::size_t jobs = 100'000;
    /// Evacuated availability zones. Far above the number of zones of a fleet.
    std::size_t evacuated_zones = 64;
    /// How long a late start is kept. Longer than an order may be on its way,
    /// by more than the clocks of two leaders may differ.
    std::int64_t late_start_retention_ms = 30'000;
    std::size_t late_starts = 20'000;
  };

  void Apply(const Command& command);
  void Apply(const Batch& batch);

  std::string Snapshot() const;
  /// Replaces the whole state. Returns false and leaves the state empty if
  /// `bytes` isn't a valid snapshot.
  bool Restore(std::string_view bytes);

  const Configuration& Config() const { return *this->configuration; }
  const QueueTable& Queues() const { return this->queues; }
  const Team* TeamOfKey(std::string_view key) const;
  const Team* FindTeam(std::string_view name) const;
  const Pool* FindPool(std::string_view name) const;

  const std::unordered_map<std::string, Job>& Jobs() const {
    return this->jobs;
  }
  const Job* FindJob(const std::string& id) const;
  const WorkerTable::Rows& Workers() const { return this->workers.All(); }
  const WorkerTable& WorkersByPlace() const { return this->workers; }
  const std::map<std::uint64_t, Wave>& Waves() const { return this->waves; }
  /// The availability zones whose workers get no more work.
  const std::set<std::string>& EvacuatedZones() const {
    return this->evacuated_zones;
  }
  /// When a move or an upkeep was last ordered for each instance, in Unix
  /// milliseconds.
  const std::map<std::string, std::int64_t>& OrderedAt() const {
    return this->ordered_at;
  }
  /// The starts of which a copy may still be executed although it was sent
  /// again or the run was given up, in the order of their records. They may
  /// contain some that have expired.
  const std::deque<RunStart>& LateStarts() const { return this->late_starts; }
  /// Jobs that have not ended, by acceptance time.
  const std::set<std::pair<std::int64_t, std::string>>& OpenJobs() const {
    return this->open_jobs;
  }

  /// Number of the queue's open jobs of which no task is known to have begun.
  std::size_t UnstartedJobs(const Queue& queue) const;
  /// Number of open jobs by the name of their queue, for queues that the
  /// configuration no longer has.
  std::map<std::string, std::size_t> JobsOfRemovedQueues() const;

  /// Changes of the jobs' tasks and phases; a change of the configuration
  /// counts as one of all jobs.
  const JobChanges& Changes() const { return this->job_changes; }
  /// The crashes of workers that aren't explained.
  const CrashLedger& Crashes() const { return this->crashes; }
  /// Number of jobs that failed because a task crashes its workers, as far as
  /// this replica has applied their failure. Not part of snapshots.
  std::uint64_t GivenUpJobs() const { return this->given_up_jobs; }
  /// Increases whenever a worker is added, changed or removed.
  std::uint64_t WorkersVersion() const { return this->workers_version; }

  static std::size_t TaskCount(const JobRequest& request);
  const Limits& limits() const { return this->bounds; }

 private:
  void Apply(const Configuration& next);
  void Accept(const JobRequest& request);
  void Cancel(const std::string& id);
  void Apply(const RunStart& start);
  void Apply(const RunEnd& end);
  /// A worker has begun a task of the job.
  void MarkBegun(Job& job);
  void Apply(const WorkerCrash& crash);
  void Apply(const Evacuation& evacuation);
  void AddLateStart(const RunStart& start);
  /// Fails the jobs that the crashes are blamed on.
  void FailCrashingJobs();
  void AddChange(const TaskId& task);
  void FinishTask(Job& job, const TaskId& id);
  void EndJob(Job& job, JobPhase phase);
  /// Stores the worker. An absent capacity becomes one without resources, so
  /// that readers of the record needn't check it.
  void PutWorker(const Worker& worker);
  void CountUnstarted(const Job& job, int change);
  void ReleaseTasks(Job& job);
  void EraseExpiredJobs(std::int64_t now_ms);
  void IndexConfiguration();
  /// Binds each job to its queue in the present configuration.
  void BindJobs();
  static void ResetOpenCounts(Job& job);

  Limits bounds;
  std::shared_ptr<const Configuration> configuration =
      std::make_shared<Configuration>();
  QueueTable queues;
  std::unordered_map<std::string, const Team*> teams;
  std::unordered_map<std::string, const Team*> keys;
  std::unordered_map<std::string, const Pool*> pools;
  std::unordered_map<std::string, Job> jobs;
  std::set<std::pair<std::int64_t, std::string>> open_jobs;
  /// UnstartedJobs by the location of the queue.
  std::map<QueueTable::Location, std::size_t> unstarted_jobs;
  /// Ended jobs, by the time of their end.
  std::set<std::pair<std::int64_t, std::string>> ended_jobs;
  /// Latest time in any command; the state's only clock.
  std::int64_t latest_ms = 0;
  JobChanges job_changes;
  WorkerTable workers;
  std::uint64_t workers_version = 1;
  CrashLedger crashes;
  std::uint64_t given_up_jobs = 0;
  std::map<std::uint64_t, Wave> waves;
  std::map<std::string, std::int64_t> ordered_at;
  std::set<std::string> evacuated_zones;
  std::deque<RunStart> late_starts;
};

}  // namespace mimosastage::jobs

#endif  // MIMOSASTAGE_JOBS_FLEET_STATE_H_
