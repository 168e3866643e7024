#ifndef MIMOSASTAGE_FLEET_JOB_TABLE_H_
#define MIMOSASTAGE_FLEET_JOB_TABLE_H_

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "mimosastage/base/names.h"
#include "mimosastage/base/result.h"
#include "mimosastage/base/time.h"
#include "mimosastage/fleet/job.h"
#include "mimosastage/fleet/maintenance_planner.h"
#include "mimosastage/fleet/platform_command.h"
#include "mimosastage/fleet/task_lease.h"
#include "mimosastage/fleet/worker_health.h"
#include "mimosastage/fleet/worker_report.h"

namespace mimosastage {

/// All jobs and their leases, on the leader. A job runs at most once at a time:
/// it is placed again only after its former lease has certainly ended.
///
/// Transitions that it returns are to be proposed; they take effect in Apply.
class JobTable {
 public:
  struct Config {
    TaskLease::Config lease;
    std::size_t max_jobs = 16'384;
    /// From the request of a checkpoint to the stop of the task. Urgent work
    /// waits for it and has to start within 8.4 s.
    Duration checkpoint_grace = std::chrono::seconds(3);
  };

  struct Job {
    JobSpec spec;
    JobTransition committed;
    TaskLease lease;
    /// A transition is proposed and neither applied nor rejected.
    std::optional<JobTransition> proposed;
    /// The worker has reported the task under the current lease.
    bool seen = false;
    bool checkpointed = false;
    bool cancel = false;
    /// When placement asked for the task's end.
    std::optional<TimePoint> stop_requested;
    TimePoint submitted{};
    std::string reason;
  };

  /// What a report led to.
  struct ReportResult {
    ReportAnswer answer;
    std::vector<JobTransition> transitions;
  };

  JobTable(Config config, WorkerHealth& health, ViewNumber view,
           TimePoint start);

  /// Takes over a committed submission. The same one again is no error. Errors:
  /// kJobExists, kTableFull.
  std::error_code Submit(const JobSpec& spec, TimePoint now);

  /// Restores a job of the replicated state in a new leader. The lease of a
  /// placed job counts from the leader's start.
  void Restore(const JobSpec& spec, const JobTransition& committed);

  /// The job must not run (again); a running task is stopped. Repeats are
  /// harmless. Error: kUnknownJob.
  Result<std::vector<JobTransition>> Cancel(const JobName& name);

  /// Proposes to run the job on a worker. Errors: kUnknownJob, kJobNotWaiting,
  /// kLeaseNotEnded.
  Result<JobTransition> Place(const JobName& name, const InstanceName& worker,
                              std::uint64_t epoch, TimePoint now);

  void Apply(const JobTransition& transition, TimePoint now);
  void Reject(const JobName& name);

  /// Call it once the view is confirmed after the report arrived; see
  /// TaskLease. `accepted` is false if the report is older than another one of
  /// this worker; then nothing is taken from it.
  ReportResult Handle(const WorkerReport& report, bool accepted, TimePoint now);

  /// Placed jobs whose lease ended without a word wait again, and so do jobs
  /// that were set aside for failures on workers that are quarantined now.
  std::vector<JobTransition> Expire(TimePoint now);

  /// Asks for the task's end; the command goes out with the next answers.
  /// A protected job runs on.
  void RequestStop(const JobName& name, TimePoint now);

  const Job* Find(const JobName& name) const;
  const std::map<JobName, Job>& jobs() const { return this->all; }
  /// Jobs that may be placed now, oldest first within a pool.
  const std::set<std::pair<TimePoint, JobName>>& waiting() const {
    return this->waiting_jobs;
  }
  /// Jobs placed on the worker, also those whose placement is proposed.
  const std::set<JobName>& On(const InstanceName& worker) const;
  std::vector<LeasedTask> LeasedTasks(const InstanceName& worker) const;
  /// Placed jobs of the team; each takes one unit of the team's upper limit.
  std::size_t Running(const TeamName& team) const;

 private:
  void Index(const Job& job);
  void Unindex(const Job& job);
  void Propose(Job& job, const JobTransition& transition,
               std::vector<JobTransition>& transitions);
  void HandleTask(const WorkerReport& report, const TaskReport& task,
                  TimePoint now, ReportResult& result);
  void HandleEnd(Job& job, const WorkerReport& report, const TaskReport& task,
                 TimePoint now, ReportResult& result);
  void AddStarts(const WorkerReport& report, TimePoint now,
                 ReportResult& result);
  void AddStop(const Job& job, TimePoint now, ReportResult& result) const;
  /// Placed jobs whose lease has ended.
  std::vector<JobName> Lapsed(TimePoint now) const;
  void MakeRoom();

  Config config;
  WorkerHealth& health;
  ViewNumber view;
  TimePoint start;
  std::map<JobName, Job> all;
  std::set<std::pair<TimePoint, JobName>> waiting_jobs;
  std::map<InstanceName, std::set<JobName>> by_worker;
  std::map<TeamName, std::size_t> running;
  std::set<JobName> set_aside;
  std::deque<JobName> ended;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_FLEET_JOB_TABLE_H_
