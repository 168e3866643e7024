#ifndef MIMOSASTAGE_JOBS_DISPATCHER_H_
#define MIMOSASTAGE_JOBS_DISPATCHER_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "mimosastage/base/time.h"
#include "mimosastage/fleet/worker_health.h"
#include "mimosastage/jobs/admission_control.h"
#include "mimosastage/jobs/demand_forecast.h"
#include "mimosastage/jobs/due_queue.h"
#include "mimosastage/jobs/fleet_state.h"
#include "mimosastage/jobs/placement.h"
#include "mimosastage/jobs/pool_balancer.h"
#include "mimosastage/jobs/preemption.h"
#include "mimosastage/jobs/run_times.h"
#include "mimosastage/jobs/start_copies.h"
#include "mimosastage/jobs/start_windows.h"
#include "mimosastage/jobs/straggler_copies.h"
#include "mimosastage/jobs/team_shares.h"
#include "mimosastage/jobs/waiting_steps.h"
#include "mimosastage/jobs/worker_lease.h"
#include "mimosastage/jobs/worker_order.h"
#include "mimosastage/jobs/worker_speed.h"
#include "mimosastage/jobs/worker_token.h"

namespace mimosastage::jobs {

/// Schedules jobs on the leader: places tasks on workers, maintains the
/// workers' leases, records the ends of runs, starts the upkeep of instances,
/// and moves instances between pools. Lives for one term of leadership and does
/// no I/O. Not thread-safe.
class Dispatcher {
 public:
  struct Config {
    WorkerLease::Config lease;
    /// How long a worker may delay its answer to a hold while no run ends.
    std::chrono::milliseconds hold_wait{1'000};
    /// The same for a worker that runs fillers, which must be throttled within
    /// seconds.
    std::chrono::milliseconds hold_wait_with_fillers{400};
    /// Shortest interval between two holds of a worker. The runs that end
    /// within it are listed by one answer.
    std::chrono::milliseconds min_hold_interval{60};
    /// The same while the worker lists only ends that must not be acknowledged
    /// yet. It answers such a hold immediately.
    std::chrono::milliseconds withheld_hold_interval{150};
    /// Timeout of an order, in addition to the delay of a hold. A round trip
    /// takes a few milliseconds.
    std::chrono::milliseconds reply_timeout{600};
    /// An order that can't be sent within this time is dropped, because a
    /// daemon that was frozen in between may no longer be the leader.
    std::chrono::milliseconds send_window{250};
    /// How long a worker may delay its answer to a hold while it runs a task
    /// that is implicated in a crash; each answer shows that it is alive.
    std::chrono::milliseconds hold_wait_isolated{200};
    /// Places tasks that are implicated in a crash apart from others.
    bool isolate_implicated = true;
    /// At most 1/divisor of a pool's workers, but at least one, are kept for
    /// tasks that must run apart, so that the others go on.
    std::size_t isolation_divisor = 2;
    std::chrono::milliseconds retry_delay{150};
    /// How long a list of a worker's runs shows that its tasks serve their
    /// purpose. A worker lists them about once a second, and the lease of one
    /// that hasn't lately may have lapsed.
    std::chrono::milliseconds readiness_validity{2'000};
    /// A worker that lists more run ends gets them acknowledged although it
    /// hasn't listed each start, because a longer list might be cut off.
    std::size_t max_unacknowledged_ends = 400;
    /// Delay before an order is given again that this process didn't begin to
    /// send. Avoids a tight loop while the queue of orders is full.
    std::chrono::milliseconds not_started_delay{50};
    /// Longest interval between two placements.
    std::chrono::milliseconds max_placement_interval{100};
    /// Shortest interval between two placements. Runs tend to end in groups,
    /// and a placement visits all workers.
    std::chrono::milliseconds min_placement_interval{5};
    /// With many workers the shortest interval is this for each of them, so
    /// that the processor time of placements doesn't grow with the fleet.
    std::chrono::microseconds placement_interval_per_worker{20};
    /// Shortest interval between two visits of the sessions that are due.
    std::chrono::milliseconds min_session_scan_interval{10};
    /// A silent worker whose lease has expired is removed this long after its
    /// last announcement. Workers announce themselves about every 1.5 s, so
    /// this is about three announcements.
    std::chrono::milliseconds silent_worker_timeout{5'000};
    /// Delay before a new leader's first request for any instance. Requests
    /// that an earlier leader has queued are dropped within this time.
    std::chrono::milliseconds takeover_delay{300};
    /// Two leaders must not order changes of the same instance within this
    /// time. A new leader reads the latest order of each instance from the log.
    std::chrono::milliseconds instance_lease{3'000};
    /// Allowance for clock differences: times in the log are those of other
    /// daemons, whose clocks may be stepped by some seconds.
    std::chrono::milliseconds clock_tolerance{3'000};
    std::chrono::milliseconds instance_retry_delay{400};
    /// Delay after the first refusal of an upkeep because of its instance or
    /// wave. Doubles with each further one up to the maximum, because each
    /// repetition drains the worker and takes one of the platform's limited
    /// calls.
    std::chrono::milliseconds refused_upkeep_delay{2'000};
    std::chrono::milliseconds max_refused_upkeep_delay{60'000};
    /// Interval at which the platform's list of instances is read. With many
    /// instances it is the second figure for each of them, so that the
    /// processor time of reading doesn't grow with the fleet.
    std::chrono::milliseconds list_interval{500};
    std::chrono::microseconds list_interval_per_instance{1'000};
    /// How long an instance counts as down after its upkeep has begun, even if
    /// the platform's list, which lags, shows it as up. An upkeep takes 2 s.
    std::chrono::milliseconds upkeep_duration{2'800};
    PoolBalancer::Config balancer;
    /// Sizes pools by the jobs that are accepted and by the load peaks that
    /// these predict.
    bool lead_demand = false;
    /// Time from the decision to move an instance until its worker takes tasks:
    /// up to 0.1 s until the next decision, 1.5 s for the move, 0.2 s for the
    /// worker.
    std::chrono::milliseconds lead_time{1'800};
    /// Time from the release of a worker until it is empty: the mean time that
    /// its tasks of 0.8 to 1.7 s still run.
    std::chrono::milliseconds release_time{500};
    /// An idle instance that a predicted load peak needs within this time after
    /// the lead time stays on. A move to standby and one back cost about 1.1 s
    /// of an instance more than a direct move.
    std::chrono::milliseconds idle_time{1'000};
    StartWindow::Config start_window;
    /// Limits the open starts by carrier, and not only over all of them.
    bool window_per_carrier = false;
    /// Used in place of `start_window` then. An exchange takes a carrier about
    /// 0.7 ms of its processor share, so 32 of them queue for less than half of
    /// the target wait.
    StartWindow::Config carrier_window{
        .min_size = 32, .recovery_delay = std::chrono::milliseconds(300)};
    /// How long an upkeep waits for short tasks to end before it stops them.
    std::chrono::milliseconds upkeep_drain_timeout{2'500};
    /// How long a worker stays reserved for its upkeep while a task that may
    /// not be stopped keeps it from becoming vacant, or while the upkeep can't
    /// begin for another reason. A stopped task is at work again after some 2
    /// s, and a job for which there is room has to run within 3 s.
    std::chrono::milliseconds blocked_reservation_limit{2'500};
    /// Shortest time from then until the worker is reserved again, so that what
    /// waited for it can run.
    std::chrono::milliseconds reservation_pause{2'000};
    WorkerSpeed::Config speed;
    /// A run on a slow worker that has made less progress than this is
    /// restarted elsewhere, at most once for each task.
    std::uint32_t restart_below_percent = 50;
    /// Learns the durations of tasks from those that have completed, and uses
    /// them in place of the estimates.
    bool learn_run_times = false;
    /// Starts a second copy of a task of a speculative step that runs far
    /// longer than others of its step. Needs `learn_run_times`.
    bool copy_stragglers = false;
    StragglerCopies::Config straggler_copies;
    /// Orders the work of teams by their shares while a pool is short; see
    /// docs/design/fair-shares.md.
    bool fair_shares = false;
    /// Stops less urgent or late runs for work that can be in time; see
    /// docs/design/fair-shares.md.
    bool preempt = false;
  };

  struct Hooks {
    /// Appends a command to the log. The state passed to the constructor
    /// reflects it immediately; `committed` runs once it is durable.
    std::function<void(Command command,
                       std::function<void(TimePoint now)> committed)>
        propose;
    std::function<void(WorkerOrder order)> send;
    std::function<void(InstanceRequest request)> send_instance_request;
    std::function<void(AdviceRequest request)> ask_advice;
    std::function<std::chrono::milliseconds()> wall_time;
    /// Writes a log line about the task, worker or instance named `id`.
    std::function<void(const char* event, const std::string& id,
                       const std::string& detail)>
        report;
    std::function<void(const char* reason)> count_retry;
  };

  /// `state` must outlive the dispatcher. `fence` increases with each term.
  Dispatcher(Config config, Hooks hooks, const FleetState& state,
             std::string self, std::uint64_t fence, TimePoint now);

  /// Handles a worker's announcement. `acknowledge` runs once the announcement
  /// may be answered.
  void Announce(const Worker& worker, std::uint64_t sequence, TimePoint now,
                std::function<void()> acknowledge);
  /// Handles a worker's message that it is about to exit.
  void OnWorkerLeaving(const std::string& worker, TimePoint now);
  void OnReply(const WorkerReply& reply, TimePoint now);
  void OnInstanceReply(const InstanceReply& reply, TimePoint now);
  void OnAdvice(const AdviceReply& reply, TimePoint now);
  /// Must be called after `job` was submitted or cancelled, or with "" after
  /// the configuration has changed.
  void OnChange(const std::string& job, TimePoint now);
  /// Must be called after FleetState::EvacuatedZones has changed.
  void OnEvacuationChange(TimePoint now);
  /// Returns nullopt if the job can be accepted. Otherwise the leader is
  /// overloaded, and the result is the time after which the job could start
  /// early enough to meet its objective.
  std::optional<std::chrono::milliseconds> OverloadDelay(
      const JobRequest& request, const Queue& queue, TimePoint now) const;
  /// Returns the work that the job is expected to need, without its
  /// long-running tasks, in core-milliseconds.
  std::int64_t ExpectedCoreMilliseconds(const JobRequest& request,
                                        const Queue& queue) const;
  /// Must be called when the queue has accepted a job.
  void OnAccepted(const JobRequest& request, const Queue& queue, TimePoint now);
  /// Returns nullopt if the job can be accepted. Otherwise its pool is short,
  /// its team is over its share and has more waiting work than the job could
  /// wait for, and the result is the time after which the job could start early
  /// enough to meet its objective.
  std::optional<std::chrono::milliseconds> ShareDelay(const JobRequest& request,
                                                      const std::string& team,
                                                      const Queue& queue) const;
  void Tick(TimePoint now);
  /// Returns when Tick must run next.
  TimePoint NextDue(TimePoint now) const;

 private:
  /// Compares the placements with naive ones in a test.
  friend class DispatcherPeer;

  using RunKey = std::pair<TaskId, std::uint32_t>;

  enum class RunStage : std::uint8_t {
    /// The start isn't durable in the log yet.
    kLogging,
    /// The start was sent and isn't confirmed.
    kStarting,
    kRunning,
    /// A stop was sent; the worker hasn't listed the run's end yet.
    kStopping
  };

  /// How the end of a worker without notice became known.
  enum class CrashKind : std::uint8_t {
    /// It was silent until its lease expired, and may only be cut off.
    kSilent,
    /// A later incarnation was seen.
    kConfirmed,
    /// The same, under the worker's id, so that starts may have reached it.
    kReplacedUnderItsId
  };

  struct Run {
    RunStage stage = RunStage::kLogging;
    const Step* step = nullptr;
    std::shared_ptr<const JobRequest> request;
    /// The connection of a start broke before its timeout, so a live worker had
    /// the order.
    bool connection_broke = false;
    /// The only copy of the start was answered by a later incarnation, so the
    /// run can't have caused the end of this one.
    bool answered_by_later = false;
    /// When the worker confirmed the start, or the stop.
    std::optional<TimePoint> confirmed;
    /// The start may have reached the worker.
    bool start_sent = false;
    /// An earlier leader logged the start, and the worker hasn't listed the run
    /// in this term.
    bool unlisted = false;
    /// The worker has listed the run in this term.
    bool listed = false;
    /// Number of the latest hold whose answer lists the run.
    std::uint64_t last_listing_order = 0;
    /// Since when the worker is known to execute the run.
    std::optional<TimePoint> running_since;
    unsigned attempts = 0;
    /// More than one copy of the start was sent. Unlike `attempts`, this
    /// outlasts a stop.
    bool start_repeated = false;
    /// The log has a late start of the run since its last start order, so that
    /// the next one may be sent.
    bool repetition_logged = false;
    /// When the last copy of the start was sent.
    TimePoint last_start{};
    bool order_open = false;
    /// The carrier of whose start window the run takes a part, because its
    /// start isn't confirmed.
    std::optional<DaemonId> start_window;
    TimePoint next_attempt{};
    /// The task serves its purpose. A long-running task is ready once it
    /// reports 100 percent.
    bool ready = false;
    /// Progress of the task, as last reported by the worker.
    std::uint32_t percent = 0;
    std::int64_t load = 0;
    std::uint32_t pace = 100;
    /// The latest checkpoint that the worker has listed, and a time after which
    /// the run has made it.
    std::string checkpoint;
    std::optional<TimePoint> checkpointed_after;
    /// The job couldn't meet its objective any more when the run was placed.
    bool late = false;

    /// A start order may still reach, or have reached, the next incarnation
    /// under the worker's id.
    bool MayReachNextIncarnation() const {
      return this->IsStartUnlisted() || this->start_repeated;
    }
    /// It isn't known whether the worker has executed the start.
    bool IsStartUnlisted() const {
      return this->unlisted || (this->start_sent && !this->listed);
    }
  };

  /// What has happened since the worker's lease was last renewed.
  struct SinceRenewal {
    TimePoint renewed_at{};
    /// How long holds waited for their answers, and the next hold for run ends
    /// to become durable.
    Duration holds_open{0};
    Duration ends_waited{0};
    unsigned not_started = 0;
    unsigned unanswered = 0;
  };

  /// Tasks that may not be stopped keep a reserved worker from becoming vacant.
  struct Block {
    /// One of them, and how many of its step may be unavailable.
    TaskId task;
    std::uint32_t may_miss = 0;
    /// Since when there was always such a task.
    TimePoint since{};
  };

  struct Session {
    /// The session's key in `sessions`.
    const std::string* id = nullptr;
    /// The voter that carried the latest order with a result. One id for all
    /// workers unless Config::window_per_carrier is set.
    DaemonId carrier{};
    WorkerLease lease;
    /// The token of orders to the worker.
    WorkerToken token;
    /// An acknowledgement of run ends was sent under `token`.
    bool acknowledged_under_token = false;
    /// Number of run ends in the worker's last list.
    std::size_t listed_ends = 0;
    std::string address;
    std::int64_t born_ms = 0;
    bool draining = false;
    bool leaving = false;
    /// The worker has answered a hold in this term.
    bool has_answered = false;
    /// Orders without a valid answer since the last successful hold. The worker
    /// is silent if this isn't 0.
    unsigned unanswered_orders = 0;
    /// Run ends of the worker up to this number are durable in the log.
    std::uint64_t last_durable_end = 0;
    /// The worker has dropped its run ends up to this number.
    std::uint64_t last_dropped_end = 0;
    /// A hold, answered or not, has acknowledged run ends up to this number.
    std::uint64_t last_acknowledged_end = 0;
    /// Run ends that aren't acknowledged before the given times, because a copy
    /// of a start of the task may be executed until then.
    std::map<std::uint64_t, TimePoint> withheld_ends;
    bool hold_open = false;
    /// Run ends of the last answer aren't durable yet; no hold is sent until
    /// they are.
    bool ends_pending = false;
    TimePoint ends_pending_since{};
    SinceRenewal since_renewal;
    TimePoint next_hold{};
    /// The capacity has shrunk, and starts from before may be unconfirmed.
    bool capacity_shrunk = false;
    /// The worker counts as crashed since it is silent.
    bool crash_recorded = false;
    /// The worker's last answer listed more than its capacity.
    bool overloaded = false;
    /// Since when the leader knows the incarnation.
    TimePoint known_since{};
    TimePoint last_announced{};
    std::uint64_t sequence = 0;
    /// When the worker's latest answer was read.
    TimePoint last_answer{};
    /// When the answer was read that last listed the worker's runs.
    TimePoint last_list{};
    /// While the worker is silent: it had not ended before this time.
    TimePoint alive_until{};
    std::map<RunKey, Run> runs;
    /// Runs in the worker's last list that aren't in `runs`. They take room.
    std::size_t strays = 0;
    /// Sums over `runs`; see AddToSums.
    Amount used;
    /// The part of `used` for late runs.
    Amount late_used;
    std::size_t fillers = 0;
    std::size_t serving = 0;
    /// Since when the worker gets no tasks because its instance is due for
    /// upkeep or a move.
    std::optional<TimePoint> reserved;
    /// The wave that has reserved the worker or, later, ordered its upkeep; 0
    /// if it is reserved for a move, or for a request that was open when it was
    /// born.
    std::uint64_t reserved_for = 0;
    /// What keeps the reserved worker from becoming vacant.
    std::optional<Block> block;
    /// Since when the reserved worker waits for nothing but the limit of its
    /// wave, the platform or the time after an earlier leader's request.
    std::optional<TimePoint> stalled_since;
    /// The worker isn't reserved for an upkeep before.
    TimePoint next_reservation{};
    /// It was reported that the worker can't become vacant.
    bool block_reported = false;
    /// The worker gets no tasks, so that its instance can move to a pool that
    /// needs it for work that can still be in time.
    bool released = false;
    /// The worker's availability zone is evacuated, so it gets no tasks.
    bool evacuated = false;
    /// The job for whose implicated tasks the worker is kept free of others.
    std::string isolated_job;
    TimePoint next_pace{};
    /// Shares of the worker's pool; null while the worker isn't indexed.
    TeamShares* shares = nullptr;
  };

  struct OpenOrder {
    std::string worker;
    std::int64_t born_ms = 0;
    std::optional<RunKey> run;
    RunStage stage = RunStage::kStarting;
    std::uint64_t token = 0;
    TimePoint sent{};
    std::chrono::milliseconds timeout{0};
    /// HoldOrder::last_durable_end.
    std::uint64_t last_durable_end = 0;
  };

  /// A worker that fell silent at some time from `alive_until` to `noticed`.
  struct Silence {
    TimePoint alive_until{};
    TimePoint noticed{};
    std::string worker;
    std::string rack;
    std::string availability_zone;
  };

  /// The workers of a pool in the order of their ids.
  struct PoolWorkers {
    struct Member {
      const Worker* worker = nullptr;
      const Session* session = nullptr;
    };
    std::vector<Member> members;
    /// The members that can take tasks, as of the last placement, and the
    /// record that each candidate's id and labels were copied from.
    std::vector<CandidateWorker> candidates;
    std::vector<const Worker*> sources;
  };

  /// The shares of the teams in a pool; see docs/design/fair-shares.md.
  struct PoolContention {
    TeamShares shares;
    /// Work in time didn't fit at the last placement.
    bool is_short = false;
    TimePoint next_report{};
  };

  /// Urgent tasks of a step that didn't fit.
  struct BlockedStep {
    const WaitingStep* waiting = nullptr;
    std::vector<std::uint32_t> tasks;
  };

  /// The runs that were stopped for urgent work of a pool.
  struct OpenPreemption {
    std::string worker;
    std::vector<RunKey> runs;
  };

  /// One placement of the waiting tasks of a pool.
  struct ShareRound {
    PoolContention* contention = nullptr;
    /// The shares if they are in force, otherwise null.
    TeamShares* shares = nullptr;
    /// The tasks that are left of steps that were placed in part.
    std::map<const WaitingStep*, StepDemand> rests;
    /// No task that needs more fits on any of the candidates.
    Amount most_free;
    /// Work in time didn't fit.
    bool is_short = false;
    /// All steps that may fit were tried.
    bool is_complete = true;
    /// Only with Config::preempt.
    std::vector<BlockedStep> blocked;
  };

  /// The content of an open request to the platform; a list request if all
  /// fields are empty.
  struct OpenInstanceRequest {
    std::uint64_t wave = 0;
    std::string instance;
    std::string pool;
    /// The worker that ran on the instance when the request was ordered, and
    /// the only one that its answer tells the end of; empty if there was none.
    std::string worker;
    std::int64_t born_ms = 0;
  };

  struct UnansweredMove {
    InstanceMove move;
    TimePoint next_attempt{};
  };

  /// The advisory service's answer for one step.
  struct Advice {
    std::map<std::string, std::string> approved;
    TimePoint valid_until{};
    bool open = false;
    TimePoint next_attempt{};
    /// Index of the first worker to name in the next call, so that successive
    /// calls cover all workers.
    std::size_t offset = 0;
  };

  /// An upkeep that was requested and isn't known to have begun.
  struct Upkeep {
    bool order_open = false;
    /// An earlier request wasn't answered and may still be executed.
    bool unanswered = false;
    /// A request is open or unanswered, so the instance counts as down.
    bool maybe_begun = false;
    /// How often the platform has refused it because of its instance or wave.
    unsigned refusals = 0;
    TimePoint next_attempt{};
  };

  /// The workers of a pool that could take tasks if none was reserved.
  struct PoolShare {
    std::size_t usable = 0;
    std::size_t reserved = 0;
  };

  // dispatcher.cc: sessions of workers.
  /// Takes over a run of an earlier term. Returns false if its worker is gone.
  bool AdoptRun(const TaskId& task, const ActiveRun& active, TimePoint now);
  Session& AddSession(const Worker& worker, TimePoint now);
  /// Returns the known workers that have the id, the address or the instance of
  /// `worker`, in the order of their ids.
  std::vector<const Worker*> WorkersLike(const Worker& worker) const;
  /// Ends the worker's session and its runs. With `uncertain`, the runs that
  /// may be on the next incarnation under the worker's id don't end, but are
  /// appended there.
  void RemoveWorker(const std::string& id, const char* reason, TimePoint now,
                    std::vector<RunKey>* uncertain = nullptr);
  /// Stops runs that `uncertain` of RemoveWorker names on this incarnation, so
  /// that it refuses start orders for them that are still on their way.
  void StopOnThisIncarnation(const std::string& id, Session& session,
                             const std::vector<RunKey>& runs);
  void SendHold(const std::string& id, Session& session, TimePoint now);
  /// Must be called when an order renews the lease. Reports a late renewal, and
  /// what it waited for.
  void OnRenewed(const std::string& id, Session& session, TimePoint now);
  /// Handles a reply of the next incarnation under the worker's id.
  void OnNextIncarnationAnswered(const std::string& id, Session& session,
                                 const OpenOrder& order,
                                 const WorkerReply& reply, TimePoint now);
  /// Handles a reply of the session's own incarnation.
  void HandleReply(const std::string& id, Session& session,
                   const OpenOrder& order, const WorkerReply& reply,
                   TimePoint now);
  void OnHold(const std::string& id, Session& session, const OpenOrder& order,
              const WorkerReply& reply, TimePoint now);
  /// Counts an order that got no valid answer; the first one makes the worker
  /// silent. `kind` is the kind of order.
  void CountUnanswered(const std::string& id, Session& session,
                       const char* kind, OrderResult result,
                       const OpenOrder& order, TimePoint now);
  void RecordEnds(const std::string& id, Session& session,
                  const WorkerReply& reply, TimePoint now);
  /// Records the end of a run that this leader has given up.
  void RecordLateEnd(const std::string& id, const EndedRun& ended,
                     TimePoint now);
  void ReconcileRuns(const std::string& id, Session& session,
                     const OpenOrder& order, const WorkerReply& reply,
                     TimePoint now);
  static bool HasUnacknowledgedEnds(const Session& session) {
    return session.last_durable_end > session.last_dropped_end;
  }
  /// True if the next hold may acknowledge the durable run ends. The next
  /// incarnation under the worker's id counts its ends from 1 again and would
  /// drop those that nobody has read. It has none unless it has executed a
  /// start that was meant for this one, so all starts must be known to have
  /// reached this one.
  bool MayAcknowledge(const Session& session, TimePoint now) const;
  /// The last durable run end that isn't withheld and follows no withheld one.
  /// A list that is about to become too long is acknowledged as a whole.
  std::uint64_t LastAcknowledgeableEnd(const Session& session,
                                       TimePoint now) const;
  /// Withholds the acknowledgement of an end while a copy of a start of its
  /// task may still be executed. `step` is null if it isn't known any more.
  void WithholdEnd(const std::string& id, Session& session,
                   const EndedRun& ended, const Step* step, TimePoint now);
  /// Returns the step of the task, or null if it isn't known any more.
  const Step* FindStep(const TaskId& task) const;
  /// Takes over the copies of starts that earlier leaders have sent.
  void AdoptLateStarts(TimePoint now);
  /// Records what the answer to a start order tells of its copy.
  void SettleStartCopy(const OpenOrder& order, const WorkerReply& reply);
  /// True if a copy of the run's start may be executed later. Long-running
  /// tasks must be at work again soon, so their starts don't count.
  bool IsStartOnItsWay(const RunKey& key, const Run& run, TimePoint now) const;
  /// Ends the runs of a silent worker whose lease has expired.
  void EndExpiredRuns(const std::string& id, Session& session, TimePoint now);
  /// For log lines: which run ends were acknowledged by a hold that wasn't
  /// answered. Another incarnation may have dropped ends because of it.
  static std::string UnansweredAcknowledgement(const Session& session);
  /// Reports a worker that runs more than its capacity, once until it is within
  /// its capacity again.
  void ReportOverload(const std::string& id, Session& session,
                      const WorkerReply& reply);
  /// Visits the sessions that are due.
  void TickSessions(TimePoint now);
  void TickSession(const std::string& id, Session& session, TimePoint now);
  /// Returns when the session needs its next visit if nothing changes before.
  static TimePoint NextVisitOf(const Session& session, TimePoint now);
  /// Schedules the next hold for `at`, or for when the open one is answered.
  void ScheduleHold(Session& session, TimePoint at);
  /// True if the worker could take tasks, were its availability zone not
  /// evacuated.
  static bool IsInService(const Session& session);
  /// True if new tasks may be placed on the worker.
  static bool AcceptsTasks(const Session& session) {
    return !session.evacuated && IsInService(session);
  }
  /// Returns the number of the order.
  std::uint64_t Send(const std::string& id, Session& session, OpenOrder open,
                     WorkerOrder order);

  // dispatcher_evacuation.cc: availability zones that get no more work.
  bool IsEvacuated(const std::string& availability_zone) const;
  /// The same for the zone of an instance, as far as it is known.
  bool IsEvacuatedInstance(const std::string& instance) const;
  /// Brings Session::evacuated up to date.
  void SetEvacuated(Session& session, const Worker& worker, TimePoint now);
  /// Returns the name of the first standby pool, or null.
  const std::string* StandbyPool() const;
  /// Resources that the session's long-running tasks use.
  static Amount LongRunningUse(const Session& session);
  /// Returns the demand of the task alone, as if it waited.
  StepDemand DemandOfTask(const TaskId& task) const;
  /// Returns the pool's workers that can take tasks, less the room for those in
  /// `moving_tasks`.
  std::vector<CandidateWorker> DrainTargets(const std::string& pool,
                                            TimePoint now) const;
  /// Stops long-running tasks in evacuated zones, one of a step at a time, as
  /// far as MayStop allows it and another worker of the pool has room.
  void DrainEvacuatedZones(TimePoint now);

  // dispatcher_crashes.cc: workers that end without notice.
  /// How long the worker is known to have executed the run; nullopt if its
  /// start wasn't confirmed.
  static std::optional<std::chrono::milliseconds> AgeOf(const Session& session,
                                                        const Run& run);
  /// True if the worker's end was announced, or ordered through the platform.
  bool EndWasPlanned(const std::string& id, const Session& session) const;
  /// Notes on the run whose start was answered with this clock if a later
  /// incarnation has answered. Must precede WorkerLease::OnClock.
  void CheckIncarnation(Session& session, const OpenOrder& order,
                        std::chrono::milliseconds clock) const;
  /// Must be called before the runs of a worker end that has crashed, or that
  /// was silent until its lease expired.
  void OnWorkerCrashed(const std::string& id, const Session& session,
                       const char* reason, CrashKind kind, TimePoint now);
  /// True if a whole rack or zone, or half of the fleet, fell silent at about
  /// the same time as the worker.
  bool LostWithOthers(const Worker& worker, const Session& session,
                      TimePoint now) const;
  void ForgetOldSilences(TimePoint now);
  /// Logs what a later incarnation tells of earlier crashes.
  void ConfirmCrashes(const Worker& later);
  void Settle(const std::string& worker, std::int64_t born_ms, bool crashed);
  /// Logs the runs that have lasted long enough to clear their tasks.
  void ClearSurvivors(TimePoint now);
  /// Stops the runs of jobs that were given up since the last call.
  void StopGivenUpJobs(TimePoint now);

  // dispatcher_runs.cc: single runs.
  void StartRun(const TaskId& task, std::uint32_t number,
                const std::string& worker, bool late);
  /// False if the worker's runs, of which `run` is one, exceed a part of its
  /// capacity that `run` uses.
  bool IsWithinCapacity(const std::string& worker, const Session& session,
                        const Run& run) const;
  /// Withdraws the starts that wait to be sent, or repeated, and don't fit into
  /// the worker's capacity any more.
  void WithdrawStarts(const std::string& worker, Session& session,
                      TimePoint now);
  /// Logs that a copy of the run's start, sent until now, may be executed late,
  /// so that the next leader knows.
  void LogLateStart(const RunKey& key, const std::string& worker,
                    std::int64_t born_ms,
                    std::function<void(TimePoint now)> committed);
  /// Sends the run's start order. If an earlier copy of it may still be
  /// executed, the log has a record of that before.
  void GiveStart(const std::string& worker, Session& session, const RunKey& key,
                 Run& run, TimePoint now);
  void SendStart(const std::string& worker, const RunKey& key, TimePoint now);
  void StopRun(const std::string& worker, Session& session, const RunKey& key,
               Run& run, const char* reason, TimePoint now);
  void SendStop(const std::string& worker, Session& session, const RunKey& key,
                Run& run, TimePoint now);
  void OnRunReply(const std::string& id, Session& session,
                  const OpenOrder& order, const WorkerReply& reply,
                  TimePoint now);
  /// Logs that a worker has begun a task of the job, the first time.
  void RecordBegun(const TaskId& task, const std::string& worker);
  void EndRun(const std::string& worker, Session& session, const RunKey& key,
              RunOutcome outcome, const std::string& checkpoint, TimePoint now);
  /// Gives the run's part of its start window back.
  void LeaveStartWindow(Run& run);
  /// Stops the runs that an end makes pointless: all runs of an ended job, the
  /// rest of a gang, or other copies of a completed task.
  void StopObsoleteRuns(const RunKey& key, TimePoint now);
  /// Stops the runs of all ended jobs; those that are stopping already go on.
  void StopEndedJobs(TimePoint now);
  void StopJob(const std::string& job, TimePoint now);
  Run MakeRun(const TaskId& task) const;
  /// Makes the log command that records the start of a run.
  Command MakeRunStart(const RunKey& key, const std::string& worker,
                       std::int64_t born_ms) const;
  /// Makes the log command that records the end of a run.
  static Command MakeRunEnd(const RunKey& key, RunOutcome outcome,
                            const std::string& checkpoint);
  /// Measures a worker's speed and stops its runs for a restart elsewhere if it
  /// is slow.
  void CheckSpeed(const std::string& id, Session& session, TimePoint now);
  /// Adjusts the CPU share of a worker's fillers to the tail latency of the
  /// serving tasks beside them.
  void ThrottleFillers(const std::string& id, Session& session, TimePoint now);

  // dispatcher_run_times.cc: learned durations of tasks.
  /// Returns the function that gives the median duration of a step's tasks;
  /// empty if durations aren't learned. The median is what most tasks take, and
  /// so what callers expect; a few stragglers would raise the mean. Valid as
  /// long as this object.
  ExpectedDuration MakeExpectedDuration() const;
  /// The learned mean duration of a task of the step, or the stated estimate.
  std::chrono::milliseconds MeanDurationOf(const Queue& queue, const Step& step,
                                           std::uint32_t number) const;
  /// Returns the duration that is expected of the run: the estimate if none is
  /// learned.
  std::chrono::milliseconds ExpectedOf(const RunKey& key, const Run& run) const;
  /// Returns the key of the run's duration; nullopt if its duration isn't
  /// typical of its step, or isn't known well enough.
  std::optional<RunTimeKey> KeyOfTypicalRun(const RunKey& key,
                                            const Run& run) const;
  /// Learns from the run ends that the worker lists for the first time. Must
  /// precede their removal, and the reset of the worker's unanswered orders.
  void ObserveEnds(const std::string& id, const Session& session,
                   const WorkerReply& reply, TimePoint now);
  void ObserveRunningTasks(TimePoint now);

  // dispatcher_stragglers.cc: copies of tasks that take far longer than others.
  void CopyStragglers(TimePoint now);
  void CopyStragglersOf(PoolWorkers& workers, TimePoint now);
  /// Returns the tasks that have run longer than most of their step and may get
  /// a copy. Adds the number of tasks that run, and of those with a copy.
  std::vector<StragglerCopies::RunningOriginal> FindOriginals(
      const PoolWorkers& workers, std::size_t& running, std::size_t& copied,
      TimePoint now) const;

  // dispatcher_placement.cc
  /// Shortest time between two placements.
  Duration PlacementInterval() const;
  void PlaceTasks(TimePoint now);
  void ReportLoads(TimePoint now);
  void CountBacklog(TimePoint now);
  /// Places at most `limit` waiting tasks of one pool.
  void PlaceTasksOf(const std::string& pool, PoolWorkers& workers,
                    std::map<std::string, TeamQuota>& teams, std::size_t limit,
                    TimePoint now);
  void StartAssigned(const std::string& pool,
                     const std::vector<CandidateWorker>& candidates,
                     const std::vector<Assignment>& assignments, TimePoint now);
  /// Brings `pool_workers` up to date with the sessions and their workers.
  void IndexWorkers();
  void UpdateCandidates(PoolWorkers& workers, TimePoint now);
  /// Gives the pool that is placed next an equal part of the start windows.
  /// Returns how many starts that allows in all.
  std::size_t ShareStartWindows(std::size_t pools_left);
  /// Records how long the order waited before it was sent.
  void RecordWait(Session& session, const OpenOrder& order,
                  const WorkerReply& reply, TimePoint now);
  WorkerHealth::Eligibility EligibilityOf(const std::string& worker,
                                          TimePoint now) const;
  /// True if the worker accepts tasks and isn't quarantined.
  bool MayUse(const PoolWorkers::Member& member, TimePoint now) const;
  /// Sets everything but the id and the labels.
  void UpdateCandidate(const PoolWorkers::Member& member,
                       CandidateWorker& candidate, TimePoint now) const;

  // dispatcher_shares.cc: shares of teams while a pool is short.
  /// Counts a run's resources for its team. `sign` is 1 or -1.
  static void CountUse(const Session& session, const Run& run,
                       std::int64_t sign);
  /// Sets Session::shares, and counts all runs again.
  void IndexShares();
  double WeightOf(const std::string& team) const;
  /// Expected time until the waiting work of the team that is in time has
  /// started; nullopt if it isn't known.
  std::optional<std::chrono::milliseconds> ExpectedShareWait(
      const std::string& pool, const TeamShares& shares,
      const std::string& team) const;
  /// Ends the shortage of pools without waiting tasks.
  void EndShortages();
  ShareRound BeginShareRound(const std::string& pool,
                             const std::vector<CandidateWorker>& candidates);
  /// Places tasks of the step, as many as the share of its team allows.
  WaitingSteps::Next PlaceInRound(ShareRound& round, const WaitingStep& waiting,
                                  std::vector<CandidateWorker>& candidates,
                                  TeamQuota* quota,
                                  std::vector<Assignment>& assignments,
                                  std::size_t limit);
  void EndShareRound(const std::string& pool, ShareRound& round, TimePoint now);

  // dispatcher_preemption.cc
  /// Notes the step if other runs may be stopped for its unplaced tasks.
  /// `unplaced` are the last of its waiting tasks.
  void NoteBlocked(ShareRound& round, const WaitingStep& waiting,
                   std::size_t unplaced) const;
  /// Stops runs on one worker of the pool for a step that the round has noted.
  void Preempt(const std::string& pool, const ShareRound& round,
               const std::vector<CandidateWorker>& candidates, TimePoint now);
  bool PreemptFor(const std::string& pool, const BlockedStep& blocked,
                  const std::vector<CandidateWorker>& candidates,
                  TimePoint now);
  /// True if the run may be stopped for the step.
  bool MayPreempt(const RunKey& key, const Run& run, const WaitingStep& waiting,
                  TimePoint now) const;
  /// False once all runs of the pool's latest preemption have ended.
  bool IsPreempting(const std::string& pool);

  // dispatcher_isolation.cc: tasks that are implicated in a crash.
  /// Places the pool's implicated tasks, each job's apart from other jobs.
  /// Returns how many it has placed.
  std::size_t PlaceImplicated(const std::string& pool,
                              const PoolWorkers& workers,
                              std::map<std::string, TeamQuota>& teams,
                              std::size_t limit, TimePoint now);
  /// Places the implicated tasks of one step on workers without young runs of
  /// other jobs, or keeps a worker free for them.
  std::size_t PlaceApart(const std::string& pool, const PoolWorkers& workers,
                         const StepDemand& demand, TeamQuota* team,
                         std::size_t limit, TimePoint now);
  /// Brings `implicated` up to date.
  void FindImplicated();
  /// Ends the isolation of workers whose job no longer needs it.
  void EndIsolations();
  /// True if no run of another job on the worker is younger than
  /// CrashLedger::kYoungRun.
  static bool HasNoYoungRunOfOthers(const Session& session,
                                    const std::string& job, TimePoint now);
  /// Returns the tasks of `demand` that are, or aren't, implicated.
  StepDemand PartOf(const StepDemand& demand, bool implicated) const;
  /// Resources that each limited team may still use.
  std::map<std::string, TeamQuota> TeamQuotas() const;
  /// Must be called when a run is added to a session or removed from it.
  void AddToSums(Session& session, const Run& run);
  void SubtractFromSums(Session& session, const Run& run);

  // dispatcher_advice.cc
  static std::string StepName(const TaskId& task);
  /// Sets the approved workers of the pool's steps that need advice, and
  /// requests advice for those that have none.
  void ApplyAdvice(const std::string& pool,
                   const std::vector<CandidateWorker>& candidates,
                   TimePoint now);
  void AskAdvice(const std::string& step, Advice& advice,
                 const std::vector<CandidateWorker>& candidates, TimePoint now);
  void ForgetAdvice(TimePoint now);

  // dispatcher_upkeep.cc and dispatcher_instances.cc: maintenance waves, and
  // moves of instances between pools.
  void AdvanceWaves(TimePoint now);
  void AdvanceWave(const Wave& wave, TimePoint now);
  /// True if the instance belongs to a standby pool, where it is switched off.
  bool IsOffInStandby(const std::string& instance) const;
  /// False while an earlier leader may have ordered a change of the instance.
  bool MayOrder(const std::string& instance, TimePoint now) const;
  /// Logs the request, and sends it once the log entry is durable.
  void SendInstanceRequest(InstanceRequest request);
  void ReadInstances(TimePoint now);
  /// Requests one page of the instance list; "" is the first page.
  void RequestList(const std::string& page, TimePoint now);
  void OnInstanceList(const InstanceReply& reply, TimePoint now);
  void BalancePools(TimePoint now);
  /// Sets `pooled_instances`, and adds the resources in use to `demands`.
  void ListPooledInstances(std::map<std::string, PoolDemand>& demands,
                           TimePoint now);
  /// True if the worker's instance can be assigned to a pool.
  static bool IsAssignable(const Worker& worker, const Session& session);
  /// Returns the worker on the instance for which IsAssignable holds, or null.
  const Worker* AssignableWorkerOn(const std::string& instance) const;
  /// Empties the given number of each pool's workers of late work, and lets the
  /// others take tasks again.
  void ReleaseWorkers(const std::map<std::string, std::size_t>& releases,
                      TimePoint now);
  void StopLateRuns(const std::string& id, Session& session, TimePoint now);
  void OrderMove(const InstanceMove& move);
  /// Orders the unanswered moves again whose retry delay has passed.
  void RepeatMoves(TimePoint now);
  void OnMoveReply(const OpenInstanceRequest& request,
                   const InstanceReply& reply, TimePoint now);
  const Worker* WorkerOnInstance(const std::string& instance) const;

  // dispatcher_demand.cc; see Config::lead_demand.
  /// The mean resources that the job's tasks occupy. By Little's law only their
  /// product with the duration matters, so the order of the steps doesn't.
  AcceptedWork AcceptedWorkOf(const JobRequest& request,
                              const Queue& queue) const;
  /// Feeds the forecast with the work of an accepted job.
  void ObserveDemand(const JobRequest& request, const Queue& queue,
                     TimePoint now);
  /// Adds what the forecast says to the demands.
  void AddOutlooks(std::map<std::string, PoolDemand>& demands, TimePoint now);
  /// Reports the changes since the last outlook.
  void ReportOutlook(const std::string& pool, const DemandOutlook& outlook);
  /// Estimated time until the worker's runs have ended.
  static Duration TimeToVacancy(const Session& session, TimePoint now);

  /// Makes the record of a request that is ordered now.
  OpenInstanceRequest MakeOpenRequest(std::uint64_t wave,
                                      const std::string& instance,
                                      const std::string& pool) const;
  /// Removes the worker that the request has ended. One that was born since
  /// stays: the answer may be late, or say that it was done before.
  void RemoveEndedWorker(const OpenInstanceRequest& request, const char* reason,
                         TimePoint now);
  PoolShare ShareOf(const std::string& pool);
  /// True if a worker of the pool may be reserved for its upkeep now: it can
  /// become vacant, and enough others go on taking tasks.
  bool MayReserve(const Wave& wave, Session& session, const PoolShare& share,
                  TimePoint now);
  /// Reserves the worker, stops its runs as far as allowed, and sets
  /// Session::block. Returns true once it has no runs.
  bool DrainForUpkeep(const Wave& wave, const std::string& id, Session& session,
                      const PoolShare& share, TimePoint now);
  /// Ends a reservation that a task has blocked for too long.
  void EndBlockedReservation(const std::string& instance, Session& session,
                             TimePoint now);
  /// Ends a reservation for the wave whose upkeep can't begin for too long
  /// although no task is in the way.
  void EndStalledReservation(const Wave& wave, const std::string& instance,
                             Session& session, const char* reason,
                             TimePoint now);
  /// Ends the reservation unless the instance may be taken down, and postpones
  /// the next one.
  void GiveBack(const std::string& instance, Session& session,
                const std::string& reason, TimePoint now);
  /// Reports once that the task keeps the worker from becoming vacant.
  void ReportBlock(Session& session, const TaskId& task,
                   std::uint32_t may_miss);
  /// True if a run of the task is known to serve its purpose.
  bool IsReady(const TaskId& task, TimePoint now) const;
  /// How many other tasks of the long-running step aren't ready.
  std::uint32_t UnavailableOthers(const TaskId& task, const Step& step,
                                  TimePoint now) const;
  /// True if stopping the task keeps within its step's `may_miss`.
  bool MayStop(const TaskId& task, TimePoint now) const;
  /// For log lines on the end of a run: how many others of its long-running
  /// step are unavailable. Empty for other steps and ended jobs.
  std::string Availability(const TaskId& task, TimePoint now) const;
  void OrderUpkeep(const Wave& wave, const std::string& instance,
                   TimePoint now);
  void RecordUpkeepBegun(const OpenInstanceRequest& request, TimePoint now);
  /// True if a move or an upkeep of the instance is open or unanswered, so that
  /// whatever runs there may be ended.
  bool MayBeTakenDown(const std::string& instance) const;
  /// Lets the worker that is on the instance after a request was answered take
  /// tasks, unless another request may still take the instance down.
  void EndReservation(const std::string& instance);
  /// Postpones an upkeep that the platform refused because of its instance or
  /// wave; the instance takes tasks until the next attempt.
  void PostponeRefusedUpkeep(Upkeep& upkeep, const std::string& instance,
                             TimePoint now);

  Config config;
  Hooks hooks;
  const FleetState& state;
  std::string self;
  std::uint64_t fence;
  TimePoint term_start;
  std::uint64_t next_number;
  /// First step of the token of the next session. Above those of removed
  /// sessions, so that a worker that is born again under its id refuses orders
  /// for its former incarnations.
  std::uint32_t first_token_step = 0;
  WorkerHealth health;
  WorkerSpeed speed;
  RunTimes run_times;
  /// RunTimes::Version that `waiting_steps` reflects.
  std::uint64_t used_run_times = 0;
  TimePoint next_running_observation{};
  TimePoint next_straggler_check{};
  std::map<std::string, Session> sessions;
  std::deque<Silence> silences;
  /// FleetState::GivenUpJobs of which the runs were stopped.
  std::uint64_t stopped_given_up_jobs = 0;
  std::size_t isolated_workers = 0;
  /// CrashLedger::ImplicatedTasks as of CrashLedger::Version.
  std::map<std::string, std::vector<TaskId>> implicated;
  std::uint64_t implicated_version = 0;
  TimePoint next_survivor_check{};
  std::map<std::string, PoolWorkers> pool_workers;
  /// By pool; empty without Config::fair_shares.
  std::map<std::string, PoolContention> contentions;
  OwedJobs owed_jobs;
  /// Stops for the work of each team, and of runs of each team.
  PreemptionLimiter preemptions_for;
  PreemptionLimiter preemptions_of;
  /// By pool.
  std::map<std::string, OpenPreemption> open_preemptions;
  /// FleetState::WorkersVersion that `pool_workers` reflects; 0 once a session
  /// was added or removed.
  std::uint64_t indexed_workers_version = 0;
  /// Resources that the runs of each team need; see AddToSums.
  std::unordered_map<std::string, Amount> used_by_team;
  WaitingSteps waiting_steps;
  std::unordered_map<std::uint64_t, OpenOrder> orders;
  /// Of this term, and those of earlier ones that the log tells of.
  StartCopies start_copies;
  bool placement_needed = true;
  bool stopped_ended_jobs = false;
  TimePoint next_placement{};
  TimePoint last_placement{};
  /// The sessions by the time at which each needs a visit, and the time of the
  /// last visits.
  DueQueue<Session*> due_sessions;
  TimePoint last_session_scan{};
  TimePoint next_load_report{};
  /// Resources that each pool's waiting tasks need, as of the last placement.
  std::map<std::string, WaitingSteps::Sums> waiting_sums;
  std::map<std::pair<std::uint64_t, std::string>, Upkeep> upkeeps;
  std::unordered_map<std::uint64_t, OpenInstanceRequest> instance_requests;
  TimePoint next_wave_round{};
  /// Start of each instance's latest upkeep in this term; see
  /// Config::upkeep_duration.
  std::map<std::string, TimePoint> upkeep_began;
  std::map<std::string, Advice> advice;
  std::unordered_map<std::uint64_t, std::string> advice_requests;
  TimePoint next_advice_cleanup{};
  StartWindows start_windows;
  /// How many starts each carrier can take for the pool that is being placed.
  std::map<DaemonId, std::size_t> starts_left;
  AdmissionControl admission;
  TimePoint next_backlog_count{};
  PoolBalancer balancer;
  /// Set once a job was accepted if Config::lead_demand is set.
  std::optional<DemandForecast> forecast;
  std::map<std::string, DemandOutlook> last_outlooks;
  TimePoint next_balance{};
  /// Kept to reuse its memory.
  std::vector<PooledInstance> pooled_instances;
  /// Workers with Session::released.
  std::set<std::string> released_workers;
  std::map<std::string, UnansweredMove> unanswered_moves;
  /// For each step, by its task 0, the task that was stopped because its zone
  /// is evacuated and isn't ready again yet.
  std::map<TaskId, TaskId> moving_tasks;
  TimePoint next_drain{};
  /// The platform's instance list, as last read completely.
  std::map<std::string, InstanceListEntry> listed_instances;
  std::map<std::string, InstanceListEntry> partial_instance_list;
  bool list_open = false;
  TimePoint next_list{};
};

}  // namespace mimosastage::jobs

#endif  // MIMOSASTAGE_JOBS_DISPATCHER_H_
