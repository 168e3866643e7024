#ifndef MIMOSASTAGE_NODE_REPLICATION_SERVICE_H_
#define MIMOSASTAGE_NODE_REPLICATION_SERVICE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "mimosastage/base/time.h"
#include "mimosastage/daemons/message_codec.h"
#include "mimosastage/replication/follower.h"
#include "mimosastage/replication/replica.h"
#include "mimosastage/replication/serving_lease.h"
#include "mimosastage/state/commands.h"
#include "mimosastage/state/replicated_state.h"

namespace mimosastage {

/// Applies the replicated log to the state of one daemon, which is a voter or a
/// follower. Also renews the serving lease and proposes commands.
class ReplicationService {
 public:
  struct Settings {
    ReplicaConfig replica;
    /// Identifies the proposals of this run of the daemon. Doesn't change when
    /// the daemon starts another session.
    SessionId proposer{};
    ServingLeaseTiming lease;
    /// Interval at which an unapplied proposal is sent again. Only idempotent
    /// commands are sent again.
    Duration resend_interval = std::chrono::milliseconds(500);
    std::size_t max_pending = 65'536;
  };

  struct Hooks {
    std::function<void(DaemonId to, const DaemonMessage& message)> send;
    std::function<void(DurableWrite&& write)> persist;
    /// Called after each applied command.
    std::function<void(LogIndex index, const Command& command,
                       const Outcome& outcome)>
        on_applied;
    /// Called after a snapshot has replaced the whole state.
    std::function<void()> on_restored;
    /// Returns false if the session must get no lease, because its units may be
    /// lent to others.
    std::function<bool(Session session, TimePoint now)> may_grant_lease;
    std::function<void(std::optional<DaemonId> leader)> on_leader_changed;
    std::function<void(std::string_view reason)> count_drop;
  };

  /// Called with the outcome once this daemon has applied the command, or with
  /// std::nullopt if it hasn't by the time given to Propose.
  using Done = std::function<void(const std::optional<Outcome>& outcome)>;

  ReplicationService(Settings settings, Hooks hooks);

  /// Starts as a voter with the content of its disk, or without `image` as a
  /// follower.
  void Start(std::optional<DurableImage> image, TimePoint now);

  void OnReplication(DaemonId from, const ReplicationBytes& message,
                     TimePoint now);
  /// Appends another daemon's proposal to the log if this daemon leads, and
  /// drops it otherwise.
  void OnProposal(const Proposal& proposal, TimePoint now);
  void OnStorageSynced(std::uint64_t ticket, TimePoint now);
  void Tick(TimePoint now);

  /// Sets the session for which leases are requested. The daemon may serve only
  /// while the session is alive in the state.
  void SetSession(Session session);
  Session OwnSession() const { return this->session; }

  /// Sends the command to the leader until it is applied or `give_up` is
  /// reached. Returns false, and never sends it, if too many proposals are
  /// pending.
  bool Propose(const Command& command, TimePoint now, TimePoint give_up,
               Done done);

  /// Proposes once, on the leader only, for commands that aren't idempotent.
  /// `done` gets std::nullopt if this daemon doesn't lead, or no longer leads
  /// before the command is applied.
  void ProposeOnce(const Command& command, TimePoint now, Done done);

  bool IsLeader() const;
  std::optional<DaemonId> Leader(TimePoint now) const;
  ViewNumber View() const;
  LogIndex Applied() const;
  /// "leader", "voter", "recovering" or "follower".
  std::string_view Role() const;
  /// End of the serving lease; a time in the past without one.
  TimePoint ServingUntil(TimePoint now) const;
  /// Number of unapplied proposals that are sent until they are applied.
  std::size_t PendingRetriedProposals() const;

  const ReplicatedState& State() const { return this->state; }

 private:
  struct PendingProposal {
    Proposal proposal;
    TimePoint sent{};
    TimePoint give_up{};
    bool one_time = false;
    Done done;
  };

  void Send(DaemonId to, ReplicationMessage&& message);
  void HandleReplication(DaemonId from, const ReplicationMessage& message,
                         TimePoint now);
  bool MayGrantLease(DaemonId from, const LeaseRequest& request,
                     TimePoint now) const;
  void HandleSelfMessages(TimePoint now);
  void Apply(LogIndex index, const std::string& entry);
  void Restore(const std::string& snapshot);
  bool Submit(const Proposal& proposal, TimePoint now);
  void ResendPending(TimePoint now);
  void AbortOneTimeProposals();
  void RequestLease(TimePoint now);
  Session Proposer() const;

  Settings settings;
  Hooks hooks;
  ReplicatedState state;
  Session session;
  std::unique_ptr<ServingLease> lease;
  std::unique_ptr<Replica> replica;
  std::unique_ptr<Follower> follower;
  bool was_leader = false;
  std::optional<DaemonId> known_leader;
  std::uint64_t next_number = 1;
  std::map<std::uint64_t, PendingProposal> pending;
  /// Messages from this daemon to itself, handled after the current event.
  std::deque<ReplicationMessage> self_messages;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_NODE_REPLICATION_SERVICE_H_
