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
#include "mimosastage/jobs/dispatcher.h"
#include "mimosastage/jobs/fleet_state.h"
#include "mimosastage/replication/membership_planner.h"
#include "mimosastage/replication/replica.h"

namespace mimosastage {

/// All decisions of one daemon that serves jobs. A voter keeps a copy of the
/// replicated fleet state; the leader dispatches tasks; every daemon passes the
/// calls that reach it to the leader and the answers back. Does no I/O. Not
/// thread-safe.
class JobNode {
 public:
  struct Config {
    /// Name in logs and in orders for instances.
    std::string name;
    DaemonId self{};
    /// Where this daemon listens for links.
    Member own;
    /// The voters when the cluster starts for the first time. What a voter has
    /// on its disk, or hears from the leader, goes before it.
    Membership founders;
    /// Has a disk and votes, or asks to.
    bool is_voter = false;
    /// Where workers and operators reach this daemon, "IP:PORT".
    std::string announce_address;
    std::uint64_t seed = 0;
    ReplicationTiming timing;
    ReplicationLimits limits;
    MembershipPlanner::Config membership;
    jobs::Dispatcher::Config dispatcher;
    /// The leader makes itself known this often, and counts as lost after
    /// `leader_silence`.
    std::chrono::milliseconds notice_interval{200};
    std::chrono::milliseconds leader_silence{1'000};
    /// Between two sendings of a call that the leader couldn't serve.
    std::chrono::milliseconds call_retry{50};
    std::size_t max_open_calls = 10'000;
    /// A planned stop waits so long for the load balancer to notice, and no
    /// longer than `stop_deadline` for open calls.
    std::chrono::milliseconds stop_notice{2'500};
    std::chrono::milliseconds stop_deadline{4'500};
    /// Open calls are answered so long before the deadline, whatever the
    /// answer; the connections end with the process.
    std::chrono::milliseconds stop_answer_margin{500};
  };

  struct Hooks {
    std::function<void(DaemonId to, std::string message)> send;
    std::function<void(DurableWrite write)> persist;
    std::function<void(jobs::WorkerOrder order)> send_order;
    std::function<void(jobs::InstanceRequest order)> send_machine_order;
    std::function<void(jobs::AdviceRequest order)> ask_advice;
    /// The voters are others than before; `member` if this daemon is one.
    std::function<void(const Membership& members, bool member)> on_members;
    /// Answers the call that came as `request`.
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

  /// `image` is set on a voter. A voter without its disk waits for the leader
  /// to tell who votes, because the settings may name former voters. May be
  /// called again after StopVoting.
  void Start(std::optional<DurableImage> image, TimePoint now);
  /// Gives up the vote, and the term of a leader, until the next Start.
  void StopVoting(const char* reason);
  void OnMessage(DaemonId from, const std::string& bytes, TimePoint now);
  void OnLinkState(DaemonId peer, bool up, TimePoint now);
  void OnStorageSynced(std::uint64_t ticket, TimePoint now);
  /// A call is answered within `patience`. Its path, key and content are
  /// checked by the leader.
  void OnCall(std::uint64_t request, jobs::Call call,
              std::chrono::milliseconds patience, TimePoint now);
  /// Nobody waits for the answer any more.
  void OnDisconnect(std::uint64_t request);
  void OnWorkerReply(const jobs::WorkerReply& reply, TimePoint now);
  void OnMachineReply(const jobs::InstanceReply& reply, TimePoint now);
  void OnAdvice(const jobs::AdviceReply& reply, TimePoint now);
  void Advance(TimePoint now);
  /// When Advance is needed next without an event.
  TimePoint NextDue(TimePoint now) const;

  /// A leader that serves is known and heard.
  bool Ready(TimePoint now) const;
  void BeginShutdown(TimePoint now);
  bool ShuttingDown() const { return this->stopping_since.has_value(); }
  bool Stopped(TimePoint now) const;

 private:
  /// What the leader holds for one term.
  struct Term {
    ViewNumber view = 0;
    jobs::FleetState working;
    std::unique_ptr<jobs::Dispatcher> dispatcher;
    std::unique_ptr<jobs::CallHandler> handler;
    /// Commands that wait to be proposed as one entry.
    jobs::Batch batch;
    std::vector<std::function<void(TimePoint)>> batch_effects;
    /// Effects that wait for the commit of an index.
    std::deque<std::pair<LogIndex, std::vector<std::function<void(TimePoint)>>>>
        effects;
    bool failed = false;
  };

  struct OpenCall {
    std::uint64_t request = 0;
    jobs::Call call;
    TimePoint deadline{};
    /// The leader that has it, or nothing.
    std::optional<DaemonId> sent_to;
    /// A leader may have carried it out.
    bool maybe_done = false;
    TimePoint next_send{};
  };

  struct KnownLeader {
    DaemonId daemon{};
    ViewNumber view = 0;
    bool serving = false;
    TimePoint heard{};
  };

  void StartReplica(DurableImage image, const Membership& founders,
                    TimePoint now);
  void SendReplication(DaemonId to, const ReplicationMessage& message);
  void Apply(const std::string& command);
  void AdvanceTerm(TimePoint now);
  void BeginTerm(TimePoint now);
  void EndTerm(const char* reason);
  void Propose(jobs::Command command, std::function<void(TimePoint)> committed);
  void FlushBatch(TimePoint now);
  void RunEffects(TimePoint now);
  void Announce(TimePoint now);
  /// The leader fills vacant slots and replaces voters that are gone.
  void PlanMembership(TimePoint now);
  void TakeMembers(const Membership& committed);
  void OnLeadership(DaemonId from, const jobs::Leadership& notice,
                    TimePoint now);
  void ServeCall(const jobs::Call& call, TimePoint now,
                 const jobs::CallHandler::Reply& reply);
  void SendCall(std::uint64_t number, TimePoint now);
  /// In a planned stop, no later than the stop allows.
  TimePoint AnswerBy(TimePoint deadline) const;
  void SendCalls(TimePoint now);
  void OnAnswer(std::uint64_t number, jobs::Answer answer, TimePoint now);
  void Finish(std::uint64_t number, jobs::Answer answer);
  bool HasAuthority(TimePoint now) const;
  std::optional<DaemonId> Leader(TimePoint now) const;

  Config config;
  Hooks hooks;
  std::unique_ptr<Replica> replica;
  /// Waits for the membership.
  std::optional<DurableImage> idle_image;
  /// The newest committed one that this daemon knows.
  Membership members;
  MembershipPlanner planner;
  TimePoint next_membership_check{};
  jobs::FleetState committed;
  std::unique_ptr<Term> term;
  std::set<DaemonId> links;
  std::optional<KnownLeader> leader;
  TimePoint next_notice{};
  bool last_serving = false;
  std::map<std::uint64_t, OpenCall> calls;
  std::unordered_map<std::uint64_t, std::uint64_t> call_of_request;
  std::uint64_t next_call = 1;
  TimePoint next_call_check{};
  std::optional<TimePoint> stopping_since;
  bool resigned = false;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_NODE_JOB_NODE_H_
