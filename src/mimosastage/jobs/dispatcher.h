#ifndef MIMOSASTAGE_JOBS_DISPATCHER_H_
#define MIMOSASTAGE_JOBS_DISPATCHER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "mimosastage/base/time.h"
#include "mimosastage/fleet/worker_health.h"
#include "mimosastage/jobs/fleet_state.h"
#include "mimosastage/jobs/placement.h"
#include "mimosastage/jobs/pool_balancer.h"
#include "mimosastage/jobs/worker_lease.h"
#include "mimosastage/jobs/worker_order.h"
#include "mimosastage/jobs/worker_speed.h"

namespace mimosastage::jobs {

/// The leader's side of jobs: places tasks on workers, holds their leases,
/// records their ends, and begins the upkeep of instances. It lives for one
/// term of leadership and does no I/O. Not thread-safe.
class Dispatcher {
 public:
  struct Config {
    WorkerLease::Config lease;
    /// How long a worker may wait for an end before it answers a hold.
    std::chrono::milliseconds hold_wait{1'000};
    /// The same while tails are watched: fillers must slow down in seconds.
    std::chrono::milliseconds hold_wait_with_fillers{400};
    /// Beyond the wait; a round trip takes a few milliseconds.
    std::chrono::milliseconds reply_timeout{600};
    std::chrono::milliseconds retry_delay{150};
    /// Between two placements of tasks without another reason, and at least
    /// between any two: ends come in groups, and a placement looks at all jobs.
    std::chrono::milliseconds max_placement_interval{100};
    std::chrono::milliseconds min_placement_interval{5};
    /// At least between two looks at all sessions.
    std::chrono::milliseconds min_session_scan_interval{10};
    /// Announcements come about every 1.5 s; a silent worker whose lease has
    /// expired is forgotten after three.
    std::chrono::milliseconds silent_worker_timeout{5'000};
    /// Before a new leader's first order for any instance; orders that an
    /// earlier leader has queued are dropped within this time.
    std::chrono::milliseconds takeover_delay{300};
    /// Two leaders must not order one instance within this time. A new leader
    /// knows from the log which instances were ordered lately.
    std::chrono::milliseconds instance_lease{3'000};
    /// The times in the log are those of other daemons, and clocks may be
    /// stepped by some seconds.
    std::chrono::milliseconds clock_tolerance{3'000};
    std::chrono::milliseconds instance_retry_delay{400};
    /// How often the platform's list of instances is read.
    std::chrono::milliseconds list_interval{500};
    /// An upkeep takes 2 s; until then its instance counts as down even if the
    /// list, which lags, says otherwise.
    std::chrono::milliseconds upkeep_duration{2'800};
    PoolBalancer::Config balancer;
    /// Longest wait for short tasks to end before an upkeep stops them.
    std::chrono::milliseconds upkeep_drain_timeout{2'500};
    WorkerSpeed::Config speed;
    /// A run on a slow worker that has done less than this is started again
    /// elsewhere, once for each task.
    std::uint32_t restart_below_percent = 50;
  };

  struct Hooks {
    /// Adds a command to the log. The state given to the constructor shows it
    /// at once; `committed` runs when it is durable.
    std::function<void(Command command,
                       std::function<void(TimePoint now)> committed)>
        propose;
    std::function<void(WorkerOrder order)> send;
    std::function<void(InstanceRequest order)> send_instance_request;
    std::function<void(AdviceRequest order)> ask_advice;
    std::function<std::chrono::milliseconds()> wall_time;
    /// A line for the log about a task or worker; `id` names it.
    std::function<void(const char* event, const std::string& id,
                       const std::string& detail)>
        report;
    std::function<void(const char* reason)> count;
  };

  /// `state` must outlive the dispatcher. `fence` rises with each term.
  Dispatcher(Config config, Hooks hooks, const FleetState& state,
             std::string self, std::uint64_t fence, TimePoint now);

  /// A worker's announcement. `acknowledge` runs once it may be answered.
  void Announce(const Worker& worker, std::uint64_t sequence, TimePoint now,
                std::function<void()> acknowledge);
  /// The worker said that it ends.
  void OnWorkerLeaving(const std::string& worker, TimePoint now);
  void OnReply(const WorkerReply& reply, TimePoint now);
  void OnInstanceReply(const InstanceReply& reply, TimePoint now);
  void OnAdvice(const AdviceReply& reply, TimePoint now);
  /// A job was submitted or cancelled, or the configuration has changed.
  void OnChange(const std::string& job, TimePoint now);
  void Tick(TimePoint now);
  /// When Tick is needed next.
  TimePoint NextDue(TimePoint now) const;

 private:
  using RunKey = std::pair<TaskId, std::uint32_t>;

  enum class RunStage : std::uint8_t {
    /// The start waits for the log.
    kLogging,
    /// The start is sent and not confirmed.
    kStarting,
    kRunning,
    /// A stop is sent; the run's end isn't listed yet.
    kStopping
  };

  struct Run {
    RunStage stage = RunStage::kLogging;
    const Step* step = nullptr;
    std::shared_ptr<const JobRequest> request;
    /// Set once the worker has confirmed the start, or the stop.
    std::optional<TimePoint> confirmed;
    unsigned attempts = 0;
    bool order_open = false;
    TimePoint next_attempt{};
    bool ready = false;
    /// Progress of the task, as the worker last told it.
    std::uint32_t percent = 0;
    std::int64_t load = 0;
    std::uint32_t pace = 100;
  };

  struct Session {
    WorkerLease lease;
    std::string address;
    std::int64_t born_ms = 0;
    bool draining = false;
    bool leaving = false;
    /// Has answered a hold of this term.
    bool has_answered = false;
    unsigned unanswered_orders = 0;
    std::uint64_t last_seen = 0;
    bool hold_open = false;
    bool ends_pending = false;
    TimePoint next_hold{};
    TimePoint last_announced{};
    std::uint64_t sequence = 0;
    Amount used;
    std::map<RunKey, Run> runs;
    /// Kept free for the upkeep of its instance since this time.
    std::optional<TimePoint> reserved;
    TimePoint next_pace{};
  };

  struct OpenOrder {
    std::string worker;
    std::int64_t born_ms = 0;
    std::optional<RunKey> run;
    RunStage stage = RunStage::kStarting;
    TimePoint sent{};
  };

  struct RankedDemand {
    StepUrgency urgency;
    StepDemand demand;
    /// Needs the advisory service.
    bool advised = false;
  };

  /// What a call to the platform asked for; a list if all is empty.
  struct OpenInstanceRequest {
    std::uint64_t wave = 0;
    std::string instance;
    std::string pool;
  };

  /// What the advisory service said of one step.
  struct Advice {
    std::map<std::string, std::string> approved;
    TimePoint valid_until{};
    bool open = false;
    TimePoint next_attempt{};
    /// Workers to leave out at the next attempt, so that each is named in turn.
    std::size_t offset = 0;
  };

  /// An upkeep that was ordered and isn't known to have begun.
  struct Upkeep {
    bool order_open = false;
    /// An earlier order had no answer and may be carried out yet.
    bool unanswered = false;
    /// An order is open or unanswered, so that the instance counts as down.
    bool maybe_begun = false;
    TimePoint next_attempt{};
  };

  // dispatcher.cc: sessions of workers.
  /// Takes over a run of an earlier term; false if its worker is gone.
  bool AdoptRun(const TaskId& task, const ActiveRun& active, TimePoint now);
  Session& AddSession(const Worker& worker, TimePoint now);
  void RemoveWorker(const std::string& id, const char* reason, TimePoint now);
  void SendHold(const std::string& id, Session& session, TimePoint now);
  void OnHold(const std::string& id, Session& session, const OpenOrder& order,
              const WorkerReply& reply, TimePoint now);
  void RecordEnds(const std::string& id, Session& session,
                  const WorkerReply& reply, TimePoint now);
  /// An end of a run that this leader has given up.
  void RecordLateEnd(const std::string& id, const EndedRun& ended,
                     TimePoint now);
  void ReconcileRuns(const std::string& id, Session& session,
                     const OpenOrder& order, const WorkerReply& reply,
                     TimePoint now);
  void TickSessions(TimePoint now);
  void TickSession(const std::string& id, Session& session, TimePoint now);
  /// Sends the next hold at `at`, or when the open one has ended.
  void ScheduleHold(Session& session, TimePoint at);
  bool AcceptsTasks(const Session& session) const;
  void Send(const std::string& id, Session& session, OpenOrder open,
            WorkerOrder order);

  // dispatcher_runs.cc: single runs.
  void StartRun(const TaskId& task, std::uint32_t number,
                const std::string& worker);
  void SendStart(const std::string& worker, const RunKey& key, TimePoint now);
  void StopRun(const std::string& worker, Session& session, const RunKey& key,
               Run& run, const char* reason, TimePoint now);
  void SendStop(const std::string& worker, Session& session, const RunKey& key,
                Run& run, TimePoint now);
  void OnRunReply(const std::string& id, Session& session,
                  const OpenOrder& order, const WorkerReply& reply,
                  TimePoint now);
  void EndRun(const std::string& worker, Session& session, const RunKey& key,
              RunOutcome outcome, const std::string& checkpoint, TimePoint now);
  void StopObsoleteRuns(const RunKey& key, TimePoint now);
  void StopJob(const std::string& job, TimePoint now);
  Run MakeRun(const TaskId& task) const;
  /// The log entry of the end of a run.
  static Command MakeRunEnd(const RunKey& key, RunOutcome outcome,
                            const std::string& checkpoint);
  void CheckSpeed(const std::string& id, Session& session, TimePoint now);
  void ThrottleFillers(const std::string& id, Session& session, TimePoint now);

  // dispatcher_placement.cc
  void PlaceTasks(TimePoint now);
  void ReportLoads(TimePoint now);
  void AddDemands(const Job& job, const Queue& queue,
                  std::vector<RankedDemand>& demands) const;
  StepUrgency UrgencyOf(const Job& job, const Queue& queue,
                        std::uint32_t occurrence, std::uint32_t step,
                        std::chrono::milliseconds wall) const;
  std::vector<CandidateWorker> CandidateWorkers(const std::string& pool,
                                                TimePoint now) const;
  std::optional<CandidateWorker> MakeCandidate(const Worker& worker,
                                               const Session& session,
                                               TimePoint now) const;
  std::map<std::string, TeamQuota> TeamQuotas() const;

  // dispatcher_advice.cc
  static std::string StepName(const TaskId& task);
  /// Drops the demands of `queue` that lack advice, after asking for it.
  void ApplyAdvice(std::vector<RankedDemand>& ranked,
                   const std::vector<CandidateWorker>& candidates,
                   TimePoint now);
  void AskAdvice(const std::string& step, Advice& advice,
                 const std::vector<CandidateWorker>& candidates, TimePoint now);
  void ForgetAdvice(TimePoint now);

  // dispatcher_upkeep.cc: maintenance waves.
  void AdvanceWaves(TimePoint now);
  void AdvanceWave(const Wave& wave, TimePoint now);
  bool IsOffInStandby(const std::string& instance) const;
  bool MayOrder(const std::string& instance, TimePoint now) const;
  /// Logs the order, then sends it.
  void SendInstanceRequest(InstanceRequest order);
  void ReadInstances(TimePoint now);
  /// Asks for one page of the list, "" for the first.
  void RequestList(const std::string& page, TimePoint now);
  void OnInstanceList(const InstanceReply& reply, TimePoint now);
  void BalancePools(TimePoint now);
  void OrderMove(const InstanceMove& move);
  void OnMoveReply(const InstanceMove& move, const InstanceReply& reply,
                   TimePoint now);
  const Worker* WorkerOnInstance(const std::string& instance) const;
  bool DrainForUpkeep(const std::string& id, Session& session, TimePoint now);
  bool MayStop(const TaskId& task) const;
  void OrderUpkeep(const Wave& wave, const std::string& instance,
                   TimePoint now);
  void FinishUpkeep(std::uint64_t wave, const std::string& instance,
                    TimePoint now);

  Config config;
  Hooks hooks;
  const FleetState& state;
  std::string self;
  std::uint64_t fence;
  TimePoint term_start;
  std::uint64_t next_number;
  WorkerHealth health;
  WorkerSpeed speed;
  std::map<std::string, Session> sessions;
  std::unordered_map<std::uint64_t, OpenOrder> orders;
  bool placement_needed = true;
  bool stopped_ended_jobs = false;
  TimePoint next_placement{};
  TimePoint last_placement{};
  /// When a session needs a look next, and when all had one.
  TimePoint next_session_scan{};
  TimePoint last_session_scan{};
  TimePoint next_load_report{};
  /// Processors that waiting tasks of each pool need, at the last placement.
  std::map<std::string, std::int64_t> waiting_millicores;
  std::map<std::string, std::int64_t> waiting_memory_mb;
  std::map<std::pair<std::uint64_t, std::string>, Upkeep> upkeeps;
  std::unordered_map<std::uint64_t, OpenInstanceRequest> instance_requests;
  TimePoint next_wave_round{};
  /// Begun in this term, by machine; see Config::upkeep_time.
  std::map<std::string, TimePoint> upkeep_began;
  std::map<std::string, Advice> advice;
  std::unordered_map<std::uint64_t, std::string> advice_requests;
  TimePoint next_advice_cleanup{};
  PoolBalancer balancer;
  TimePoint next_balance{};
  /// The platform's list, as last read in full.
  std::map<std::string, InstanceListEntry> listed_instances;
  std::map<std::string, InstanceListEntry> partial_instance_list;
  bool list_open = false;
  TimePoint next_list{};
};

}  // namespace mimosastage::jobs

#endif  // MIMOSASTAGE_JOBS_DISPATCHER_H_
