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

/// The leader's table of all jobs and their leases. A job runs on at most one
/// worker at a time: it is placed again only after its previous lease has
/// certainly ended.
///
/// The caller proposes the returned transitions and calls Apply once they are
/// committed; only then do they take effect.
class JobTable {
 public:
  struct Config {
    TaskLease::Config lease;
    std::size_t max_jobs = 16'384;
    /// From the checkpoint request to the stop of the task. It is part of the
    /// 8.4 s within which urgent work has to start.
    Duration checkpoint_grace = std::chrono::seconds(3);
  };

  struct Job {
    JobSpec spec;
    JobTransition committed;
    TaskLease lease;
    /// The proposed transition, until it is applied or rejected.
    std::optional<JobTransition> proposed;
    /// The worker has reported the task under the current lease.
    bool seen = false;
    bool checkpointed = false;
    bool cancelling = false;
    /// When RequestStop was called for the current placement.
    std::optional<TimePoint> stop_requested;
    TimePoint submitted{};
    std::string reason;
  };

  struct ReportResult {
    ReportAnswer answer;
    std::vector<JobTransition> transitions;
  };

  JobTable(Config config, WorkerHealth& health, ViewNumber view,
           TimePoint start);

  /// Adds a committed submission. Submitting an identical job again has no
  /// effect. Errors: kJobExists, kTableFull.
  std::error_code Submit(const JobSpec& spec, TimePoint now);

  /// Restores a job from the replicated state on a new leader. The lease of a
  /// placed job counts from the leader's start.
  void Restore(const JobSpec& spec, const JobTransition& committed);

  /// Cancels a job and stops its task if one is running. Idempotent. Error:
  /// kUnknownJob.
  Result<std::vector<JobTransition>> Cancel(const JobName& name);

  /// Returns the transition that places the job on a worker. Errors:
  /// kUnknownJob, kJobNotWaiting, kLeaseNotEnded.
  Result<JobTransition> Place(const JobName& name, const InstanceName& worker,
                              std::uint64_t epoch, TimePoint now);

  void Apply(const JobTransition& transition, TimePoint now);
  void Reject(const JobName& name);

  /// Must be called only after a quorum has confirmed the view since the report
  /// arrived; see TaskLease. `accepted` is false for a report that is older
  /// than the last one of this worker; its content is ignored.
  ReportResult Handle(const WorkerReport& report, bool accepted, TimePoint now);

  /// Returns jobs to waiting whose lease ended without a renewal, and jobs that
  /// were set aside for failures on workers that have since been quarantined.
  /// Jobs whose cancellation is requested become cancelled instead.
  std::vector<JobTransition> Expire(TimePoint now);

  /// Asks for the task to be checkpointed and stopped; the commands go out with
  /// the next answers. Ignored for protected jobs.
  void RequestStop(const JobName& name, TimePoint now);

  const Job* Find(const JobName& name) const;
  const std::map<JobName, Job>& jobs() const { return this->all; }
  /// Waiting jobs without a proposed transition, oldest first.
  const std::set<std::pair<TimePoint, JobName>>& waiting() const {
    return this->waiting_jobs;
  }
  /// Jobs placed on the worker, including proposed placements.
  const std::set<JobName>& PlacedOn(const InstanceName& worker) const;
  std::vector<LeasedTask> LeasedTasks(const InstanceName& worker) const;
  /// Number of the team's placed jobs, including proposed placements. Each
  /// takes one unit of the team's upper limit.
  std::size_t NumPlaced(const TeamName& team) const;

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
  /// Placed jobs without a proposed transition whose lease has ended.
  std::vector<JobName> JobsWithEndedLease(TimePoint now) const;
  void EvictEndedJobs();

  Config config;
  WorkerHealth& health;
  ViewNumber view;
  TimePoint start;
  std::map<JobName, Job> all;
  std::set<std::pair<TimePoint, JobName>> waiting_jobs;
  std::map<InstanceName, std::set<JobName>> by_worker;
  std::map<TeamName, std::size_t> placed_by_team;
  std::set<JobName> set_aside;
  std::deque<JobName> ended_jobs;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_FLEET_JOB_TABLE_H_
