#ifndef MIMOSASTAGE_TESTS_NODE_SUPPORT_JOB_RULES_H_
#define MIMOSASTAGE_TESTS_NODE_SUPPORT_JOB_RULES_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "mimosastage/base/time.h"
#include "mimosastage/jobs/records.h"
#include "mimosastage/jobs/worker_order.h"

namespace mimosastage {

/// Judges what clients, workers and the operator see, without access to the
/// daemons, and records the first violation of a rule.
class JobRules {
 public:
  /// One life of a worker.
  using WorkerLife = std::pair<std::string, std::int64_t>;

  struct SubmittedJob {
    jobs::JobRequest request;
    /// An attempt to submit it wasn't refused, or isn't answered yet.
    bool possibly_stored = false;
    /// Its tasks run until it is cancelled.
    bool lasting = false;
    bool accepted = false;
    Duration accepted_at{};
    /// A worker has begun a task.
    bool begun = false;
    bool cancel_sent = false;
    std::optional<Duration> cancelled_at;
    std::optional<Duration> shown_completed_at;
    /// Workers that died while they had a task of the job, and all that died
    /// since it was submitted.
    std::size_t own_deaths = 0;
    std::size_t deaths = 0;
    bool shown_failed = false;
  };

  // Workers.
  void OnWorkerBorn(const WorkerLife& worker, const jobs::Amount& capacity,
                    const std::string& zone);
  void OnWorkerDied(const WorkerLife& worker);
  /// `ordered_at` is when the daemon's order left it.
  void OnStart(const WorkerLife& worker, const jobs::TaskId& task,
               std::uint32_t run, Duration ordered_at, Duration now);
  void OnEnd(const WorkerLife& worker, const jobs::EndedRun& ended,
             Duration now);
  void OnLeaseLapsed(const WorkerLife& worker, Duration now);
  /// A hold covered the end with this number, and the worker forgot it.
  void OnEndForgotten(const WorkerLife& worker, std::uint64_t number,
                      Duration now);
  /// A daemon sends an order of this number under this fencing token.
  void OnOrder(std::uint64_t fence, std::uint64_t number, Duration now);

  // Clients.
  SubmittedJob& AddJob(const jobs::JobRequest& request);
  std::map<std::string, SubmittedJob>& Jobs() { return this->jobs; }
  void OnAccepted(const std::string& job, Duration now);
  /// `accepted_before`: the job was accepted before the call was sent.
  void OnJobState(const std::string& job, const jobs::Answer& answer,
                  bool accepted_before, Duration now);
  /// The jobs that a queue must count as waiting, as far as callers know.
  std::vector<std::string> WaitingJobs(Duration now) const;
  /// `before`: WaitingJobs as of when the call was sent.
  void OnQueueLength(std::uint64_t waiting,
                     const std::vector<std::string>& before, Duration now);
  /// True if the job must still complete, as far as callers know.
  static bool IsOpen(const SubmittedJob& job);

  // The operator.
  void AddWave(std::uint64_t wave, std::size_t most_at_once) {
    this->waves[wave].most_at_once = most_at_once;
  }
  /// The platform takes the instance down for its upkeep.
  void OnUpkeep(std::uint64_t wave, const std::string& instance,
                Duration duration, Duration now);
  std::size_t Upkeeps() const { return this->upkeeps; }
  void OnConfigurationAcknowledged(std::uint64_t version) {
    this->acknowledged_version = std::max(this->acknowledged_version, version);
  }
  std::uint64_t AcknowledgedVersion() const {
    return this->acknowledged_version;
  }
  /// `least` is AcknowledgedVersion() as of when the read was sent.
  void OnConfigurationRead(std::uint64_t version, std::uint64_t least,
                           Duration now);

  /// What the operator knows of the evacuation of a zone.
  struct ZoneChange {
    /// Counts the changes that were sent.
    std::uint64_t changes = 0;
    /// The latest one is acknowledged.
    bool acknowledged = true;
    bool evacuated = false;
    Duration acknowledged_at{};
  };
  /// The operator sends an evacuation of the zone, or its withdrawal.
  void OnZoneChangeSent(const std::string& zone, bool evacuated);
  void OnZoneChangeAcknowledged(const std::string& zone, Duration now);
  const std::map<std::string, ZoneChange>& Zones() const { return this->zones; }
  /// `before` is Zones() as of when the read was sent.
  void OnEvacuationsRead(const std::vector<std::string>& evacuated,
                         const std::map<std::string, ZoneChange>& before,
                         Duration now);
  std::size_t Evacuations() const { return this->evacuations; }

  const std::string& Violation() const { return this->violation; }
  std::size_t Starts() const { return this->starts; }
  void Fail(const std::string& what, Duration now);

 private:
  struct Done {
    WorkerLife worker;
    std::uint64_t number = 0;
    std::uint32_t run = 0;
    Duration at{};
    bool lapsed = false;
    bool forgotten = false;
  };

  struct TaskHistory {
    /// The runs that are on workers, and where.
    std::map<std::uint32_t, WorkerLife> running;
    std::vector<Done> done;
    std::vector<std::pair<Duration, std::uint32_t>> starts;
  };

  struct WorkerRecord {
    std::int64_t millicores = 0;
    std::int64_t memory_mb = 0;
    std::int64_t used_millicores = 0;
    std::int64_t used_memory_mb = 0;
    std::string zone;
  };

  struct WaveRecord {
    std::size_t most_at_once = 0;
    /// The instances in upkeep, and until when.
    std::map<std::string, Duration> down;
  };

  const jobs::Step* StepOf(const jobs::TaskId& task) const;
  bool IsDone(const jobs::TaskId& task) const;
  void CheckDone(const jobs::TaskId& task, const Done& done, Duration now);

  std::map<WorkerLife, WorkerRecord> workers;
  std::map<jobs::TaskId, TaskHistory> tasks;
  std::map<std::string, SubmittedJob> jobs;
  std::set<std::uint64_t> order_numbers;
  std::map<std::uint64_t, WaveRecord> waves;
  std::size_t upkeeps = 0;
  std::map<std::string, ZoneChange> zones;
  std::size_t evacuations = 0;
  std::uint64_t acknowledged_version = 0;
  std::size_t starts = 0;
  std::string violation;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_TESTS_NODE_SUPPORT_JOB_RULES_H_
