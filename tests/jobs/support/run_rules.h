#ifndef MIMOSASTAGE_TESTS_JOBS_SUPPORT_RUN_RULES_H_
#define MIMOSASTAGE_TESTS_JOBS_SUPPORT_RUN_RULES_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "mimosastage/base/time.h"
#include "mimosastage/jobs/fleet_state.h"
#include "mimosastage/jobs/worker_order.h"

namespace mimosastage::jobs {

/// Checks what workers see of the runs of tasks against the rules for a
/// scheduler: room, single runs, order of steps, attempts, quotas, cancelled
/// jobs. Knows nothing of the scheduler.
class RunRules {
 public:
  using RunKey = std::pair<TaskId, std::uint32_t>;
  /// One incarnation of a worker.
  using Life = std::size_t;

  /// A start order as its worker received it.
  struct StartSeen {
    RunKey key;
    std::string specification;
    std::string checkpoint;
    /// When the scheduler gave the order.
    TimePoint ordered{};
  };

  void AddJob(std::shared_ptr<const JobRequest> job,
              std::uint32_t max_attempts);
  void SetQuota(const std::string& team, std::int64_t millicores);
  /// Null if nobody submitted the task's job.
  const Step* StepOf(const TaskId& task) const;
  void OnCancelAcknowledged(const std::string& job, TimePoint now);

  Life AddLife(const std::string& name, const Amount& capacity);
  void OnStart(Life life, const StartSeen& start, TimePoint now);
  void OnCheckpoint(const RunKey& key, const std::string& checkpoint);
  void OnEnd(Life life, const RunKey& key, std::uint64_t end_number,
             RunOutcome how, TimePoint now);
  /// The scheduler has taken note of the ends up to `last_seen`.
  void OnEndsNoted(Life life, std::uint64_t last_seen, TimePoint now);
  void OnLeaseLapsed(Life life);
  /// The process has ended; everything that ran there is gone.
  void OnLifeEnded(Life life, TimePoint now);

  Amount Used(Life life) const;
  const Amount& Capacity(Life life) const {
    return *this->lives[life].capacity;
  }
  /// Runs of cancelled jobs that still run.
  std::vector<std::string> RunsOfCancelledJobs() const;
  /// The largest number of runs that a task had at the same time.
  std::size_t MostRunsAtOnce() const { return this->most_runs_at_once; }
  /// True if a task has failed as often as its queue allows.
  bool MayHaveFailed(const std::string& job) const;
  std::uint64_t Starts() const { return this->starts; }

  /// Checks the rules that depend on which ends were noted in the end.
  void Finish();
  const std::vector<std::string>& Violations() const {
    return this->violations;
  }

 private:
  struct Run {
    RunKey key;
    Life life = 0;
    /// Order among all starts and ends.
    std::uint64_t began = 0;
    TimePoint began_at{};
    /// When the scheduler gave the order.
    TimePoint ordered{};
    std::optional<std::uint64_t> ended;
    TimePoint ended_at{};
    RunOutcome how = RunOutcome::kLost;
    std::uint64_t end_number = 0;
    bool noted = false;
    TimePoint noted_at{};
    /// The lease lapsed, or the process ended, before the end was noted.
    bool never_noted = false;
  };

  struct LifeState {
    std::string name;
    std::unique_ptr<Amount> capacity;
    bool up = true;
    std::map<RunKey, std::shared_ptr<Run>> running;
    std::vector<std::shared_ptr<Run>> ended;
  };

  struct KnownJob {
    std::shared_ptr<const JobRequest> request;
    std::uint32_t max_attempts = 1;
    std::optional<TimePoint> cancelled;
  };

  void CheckRoom(Life life, const Step& step, const std::string& what);
  /// A task has one run at a time, and one copy more if its step is
  /// speculative.
  void CheckRunsAtOnce(const TaskId& task, const Step& step,
                       const std::string& what);
  void CheckOrder(const TaskId& task, const Step& step,
                  const std::string& what);
  void CheckQuota(const std::string& team, const Step& step,
                  const std::string& what);
  void CheckRequested(const StartSeen& start, const KnownJob& job,
                      const std::string& what);
  bool HasEndedDone(const TaskId& task) const;
  void Violate(const std::string& rule, const std::string& what);
  std::string Describe(const Run& run) const;

  std::map<std::string, KnownJob> jobs;
  std::map<std::string, std::int64_t> quotas;
  std::vector<LifeState> lives;
  std::map<TaskId, std::vector<std::shared_ptr<Run>>> runs;
  std::map<TaskId, std::set<std::string>> checkpoints;
  std::uint64_t events = 0;
  std::uint64_t starts = 0;
  std::size_t most_runs_at_once = 0;
  std::vector<std::string> violations;
};

/// Milliseconds since the start of the simulated clock, for messages.
std::string TimeText(TimePoint at);

}  // namespace mimosastage::jobs

#endif  // MIMOSASTAGE_TESTS_JOBS_SUPPORT_RUN_RULES_H_
