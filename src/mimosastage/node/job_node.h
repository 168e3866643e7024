#ifndef MIMOSASTAGE_NODE_JOB_NODE_H_
#define MIMOSASTAGE_NODE_JOB_NODE_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "mimosastage/base/names.h"
#include "mimosastage/base/time.h"
#include "mimosastage/jobs/call_handler.h"
#include "mimosastage/jobs/carried_orders.h"
#include "mimosastage/jobs/dispatcher.h"
#include "mimosastage/jobs/fleet_state.h"
#include "mimosastage/jobs/order_carriers.h"
#include "mimosastage/node/authority_watch.h"
#include "mimosastage/replication/membership_planner.h"
#include "mimosastage/replication/replica.h"

namespace mimosastage {

/// The logic of a daemon that serves jobs. A voter keeps a copy of the
/// replicated fleet state; the leader dispatches tasks; every daemon forwards
/// the calls it receives to the leader and returns the answers. Does no I/O.
/// Not thread-safe.
class JobNode {
 public:
  struct Config {
    /// Name of this daemon in logs and in requests for instances.
    std::string name;
    DaemonId self{};
    /// This daemon's id and the address on which it accepts links.
    Member own_member;
    /// The voters when the cluster starts for the first time. A membership on
    /// the voter's disk or from the leader takes precedence.
    Membership founding_membership;
    /// The daemon has a disk and is a voter, or asks the leader to become one.
    bool is_voter = false;
    /// Address at which workers and operators reach this daemon, "IP:PORT".
    std::string announce_address;
    /// The availability zones of the deployment; empty if they aren't known.
    std::vector<std::string> availability_zones;
    /// Must be random for each start of the process: the numbers of its calls
    /// count from it, and it is the session under which it carries orders.
    std::uint64_t seed = 0;
    ReplicationTiming timing;
    ReplicationLimits limits;
    MembershipPlanner::Config membership;
    jobs::Dispatcher::Config dispatcher;
    jobs::OrderCarriers::Config order_carriers;
    jobs::CarriedOrders::Config carried_orders;
    /// Shortest interval between two log entries of the leader. Each entry
    /// costs a message to and from every voter, whatever it holds.
    std::chrono::milliseconds log_entry_interval{5};
    /// Interval at which the leader sends its Leadership message.
    std::chrono::milliseconds leadership_interval{200};
    /// A leader that sent no Leadership message for this long counts as lost.
    std::chrono::milliseconds leader_silence{1'000};
    /// Minimum time before a call that the leader couldn't serve is sent again.
    std::chrono::milliseconds call_retry_interval{50};
    std::size_t max_open_calls = 10'000;
    /// In a planned stop, a daemon without a replica keeps serving for this
    /// long, so that the load balancer notices that it isn't ready.
    std::chrono::milliseconds load_balancer_wait{2'500};
    /// Longest duration of a planned stop, even with open calls.
    std::chrono::milliseconds stop_deadline{4'500};
    /// All open calls are answered this long before `stop_deadline`, because
    /// their connections close when the process exits.
    std::chrono::milliseconds stop_answer_margin{500};
  };

  struct Hooks {
    std::function<void(DaemonId to, std::string message)> send;
    std::function<void(DurableWrite write)> persist;
    std::function<void(jobs::WorkerOrder order)> send_order;
    std::function<void(jobs::InstanceRequest request)> send_instance_request;
    std::function<void(jobs::AdviceRequest request)> ask_advice;
    /// The set of voters changed. `member`: this daemon is one of them.
    std::function<void(const Membership& members, bool member)> on_members;
    /// Answers the call that was passed to OnCall with this `request`.
    std::function<void(std::uint64_t request, jobs::CallKind kind,
                       jobs::Answer answer)>
        answer;
    /// Unix time.
    std::function<std::chrono::milliseconds()> wall_time;
    std::function<void(const char* event, const std::string& id,
                       const std::string& detail)>
        report;
    std::function<void(const char* reason)> count_refusal;
    std::function<void(const char* reason)> count_retry;
    std::function<void(const char* reason)> count_drop;
  };

  JobNode(Config config, Hooks hooks);
  ~JobNode();
  JobNode(const JobNode&) = delete;
  JobNode& operator=(const JobNode&) = delete;

  /// `image` is set on a voter. A voter whose image isn't intact waits for the
  /// leader's membership, because the settings may name former voters. May be
  /// called again after StopVoting.
  void Start(std::optional<DurableImage> image, TimePoint now);
  /// Stops voting, and ends the term if this daemon leads, until the next
  /// Start.
  void StopVoting(const char* reason);
  void OnMessage(DaemonId from, const std::string& bytes, TimePoint now);
  void OnLinkState(DaemonId peer, bool up, TimePoint now);
  void OnStorageSynced(std::uint64_t ticket, TimePoint now);
  /// Accepts a call, which is answered within `patience`. The leader checks its
  /// path, key and content.
  void OnCall(std::uint64_t request, jobs::Call call,
              std::chrono::milliseconds patience, TimePoint now);
  /// The connection of the request closed; its call needs no answer.
  void OnDisconnect(std::uint64_t request);
  void OnWorkerReply(const jobs::WorkerReply& reply, TimePoint now);
  void OnInstanceReply(const jobs::InstanceReply& reply, TimePoint now);
  void OnAdvice(const jobs::AdviceReply& reply, TimePoint now);
  void Advance(TimePoint now);
  /// Latest time of the next call to Advance if no event arrives.
  TimePoint NextDue(TimePoint now) const;

  /// True while this daemon leads with authority, or has a link to a leader
  /// that serves. False once a planned stop began.
  bool Ready(TimePoint now) const;
  void BeginShutdown(TimePoint now);
  bool ShuttingDown() const { return this->stopping_since.has_value(); }
  bool Stopped(TimePoint now) const;

 private:
  /// State of the leader during one term.
  struct Term {
    ViewNumber view = 0;
    /// The committed state at the start of the term plus all commands proposed
    /// since.
    jobs::FleetState working;
    std::unique_ptr<jobs::OrderCarriers> carriers;
    std::unique_ptr<jobs::Dispatcher> dispatcher;
    std::unique_ptr<jobs::CallHandler> handler;
    /// Commands to propose as one log entry.
    jobs::Batch batch;
    std::vector<std::function<void(TimePoint)>> batch_effects;
    /// Effects to run once the log is committed up to the index.
    std::deque<std::pair<LogIndex, std::vector<std::function<void(TimePoint)>>>>
        effects;
    /// Encoded entries of the last batch that the log hasn't taken, because too
    /// many entries or bytes wait for a quorum.
    std::deque<std::string> untaken;
    std::vector<std::function<void(TimePoint)>> untaken_effects;
    std::optional<TimePoint> log_full_since;
    AuthorityWatch authority;
    TimePoint last_entry{};
    /// The log refused a proposal for good, so `working` is ahead of the log.
    bool failed = false;

    /// While true, the leader decides nothing and accepts no change of state,
    /// so that the commands that wait for the log stay bounded.
    bool LogIsFull() const { return !this->untaken.empty(); }
  };

  struct OpenCall {
    std::uint64_t request = 0;
    jobs::Call call;
    TimePoint deadline{};
    /// The leader that the call was sent to and that hasn't answered.
    std::optional<DaemonId> sent_to;
    /// How often the call was sent without an answer. Each of these copies may
    /// still be applied.
    unsigned unanswered_copies = 0;
    TimePoint next_send{};
  };

  struct KnownLeader {
    DaemonId daemon{};
    ViewNumber view = 0;
    bool serving = false;
    /// It can't handle calls for the moment.
    bool paused = false;
    TimePoint last_heard{};
    /// Leadership::clock_us of its latest notice.
    std::int64_t clock_us = 0;
  };

  void StartReplica(DurableImage image, const Membership& membership,
                    TimePoint now);
  void SendReplication(DaemonId to, const ReplicationMessage& message);
  void Apply(const std::string& command);
  void AdvanceTerm(TimePoint now);
  /// Reports how long the leader was without authority once it has it again,
  /// and resigns if that takes too long.
  void WatchAuthority(bool authority, TimePoint now);
  /// How long this leader has been without authority; 0 if it has it.
  Duration AuthorityGap(TimePoint now) const;
  /// True if the leader would only turn calls away.
  bool IsPaused(DaemonId leader, TimePoint now) const;
  void BeginTerm(TimePoint now);
  jobs::OrderCarriers::Hooks CarrierHooks();
  void EndTerm(const char* reason);
  void Propose(jobs::Command command, std::function<void(TimePoint)> committed);
  void FlushBatch(TimePoint now);
  /// Encodes the commands as one entry, or as several if they are too long for
  /// one, and appends them to `entries`.
  void EncodeEntries(jobs::Batch batch, std::deque<std::string>& entries) const;
  /// Passes the waiting entries to the log, as far as it takes them.
  void ProposeEntries(TimePoint now);
  void ReportFullLog(TimePoint now);
  /// True if the log can't take what the call stores.
  bool IsTooLong(const jobs::Call& call) const;
  void RunEffects(TimePoint now);
  void BroadcastLeadership(TimePoint now);
  /// On the leader: proposes to fill vacant slots and to replace lost voters.
  void PlanMembership(TimePoint now);
  void AdoptMembership(const Membership& committed);
  /// A notice with the members; kNoVoter if this daemon doesn't lead.
  jobs::Leadership MakeNotice(DaemonId leader) const;
  /// Tells another daemon who votes. Its seeds may name no leader, and only the
  /// leader's links carry Leadership messages to it.
  void SendMembers(DaemonId to);
  /// Takes over a newer membership. Must be committed.
  void LearnMembers(const jobs::Leadership& notice, TimePoint now);
  void OnLeadership(DaemonId from, const jobs::Leadership& notice,
                    TimePoint now);
  void ServeCall(const jobs::Call& call, TimePoint now,
                 const jobs::CallHandler::Reply& reply);
  void SendCall(std::uint64_t number, TimePoint now);
  /// Returns `deadline`, or in a planned stop the time by which calls must be
  /// answered if that is earlier.
  TimePoint AnswerDeadline(TimePoint deadline) const;
  void SendCalls(TimePoint now);
  void OnAnswer(DaemonId from, std::uint64_t number, jobs::Answer answer,
                TimePoint now);
  /// True if this process has made the call, whether it is still open or not.
  bool IsOwnCall(std::uint64_t number) const {
    // Unsigned, because the numbers may wrap around.
    return number - this->first_call < this->next_call - this->first_call;
  }
  /// Counts an answer to a call of a former process of this daemon, and
  /// reports the first one.
  void DropAnswerToFormerProcess(DaemonId from, std::uint64_t number);
  void Finish(std::uint64_t number, jobs::Answer answer);
  /// The leader for which this voter can send orders to workers, if any.
  std::optional<DaemonId> LeaderToCarryFor() const;
  /// Tells the leader that this voter can send orders to workers.
  void SendCarrierNotice(TimePoint now);
  void OnOrderBatch(DaemonId from, const jobs_wire::OrderBatchT& wire,
                    TimePoint now);
  void OnReplyBatch(DaemonId from, const jobs_wire::ReplyBatchT& wire,
                    TimePoint now);
  bool HasAuthority(TimePoint now) const;
  std::optional<DaemonId> Leader(TimePoint now) const;

  Config config;
  Hooks hooks;
  std::unique_ptr<Replica> replica;
  /// Image of a voter that waits for the leader's membership.
  std::optional<DurableImage> deferred_image;
  /// The newest committed membership that this daemon knows.
  Membership members;
  MembershipPlanner planner;
  TimePoint next_membership_check{};
  jobs::FleetState committed;
  /// Orders of another voter that leads.
  jobs::CarriedOrders carried;
  std::unique_ptr<Term> term;
  /// View of the latest term of this daemon. A second term in one view would
  /// have the fencing token and the order numbers of the first.
  std::optional<ViewNumber> last_term_view;
  std::set<DaemonId> links;
  std::optional<KnownLeader> leader;
  TimePoint next_leadership_notice{};
  bool last_serving = false;
  bool last_paused = false;
  std::map<std::uint64_t, OpenCall> calls;
  std::unordered_map<std::uint64_t, std::uint64_t> call_of_request;
  /// A leader answers the id of a daemon, which outlives the process that made
  /// the call. Numbers that count from a random one tell the answers to a
  /// former process from its own.
  const std::uint64_t first_call;
  std::uint64_t next_call;
  bool former_answer_reported = false;
  TimePoint next_call_check{};
  std::optional<TimePoint> stopping_since;
  bool resigned = false;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_NODE_JOB_NODE_H_
