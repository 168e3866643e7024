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

/// Connects the replicated state of one daemon to the log: as a voter or as a
/// follower, with the serving lease and with the commands that this daemon
/// proposes.
class ReplicationService {
 public:
  struct Settings {
    ReplicaConfig replica;
    /// Tells the proposals of this run of the daemon apart from all others;
    /// stays the same when the daemon begins another session.
    SessionId proposer{};
    ServingLeaseTiming lease;
    /// A proposal that wasn't applied by then is sent again. All commands that
    /// are sent again are idempotent.
    Duration resend = std::chrono::milliseconds(500);
    std::size_t max_pending = 65'536;
  };

  struct Hooks {
    std::function<void(DaemonId to, const DaemonMessage& message)> send;
    std::function<void(DurableWrite&& write)> persist;
    /// A command was applied.
    std::function<void(LogIndex index, const Command& command,
                       const Outcome& outcome)>
        on_applied;
    /// The whole state was replaced by a snapshot.
    std::function<void()> on_restored;
    /// False keeps a lease from a session whose units may be lent to others.
    std::function<bool(Session session, TimePoint now)> may_grant;
    std::function<void(std::optional<DaemonId> leader)> on_leader_changed;
    std::function<void(std::string_view reason)> count_drop;
  };

  /// Called with the outcome once the command is applied here, or with nothing
  /// if it wasn't by the time given to Propose.
  using Done = std::function<void(const std::optional<Outcome>& outcome)>;

  ReplicationService(Settings settings, Hooks hooks);

  /// Begins as a voter with what the disk holds, or as a follower.
  void Start(std::optional<DurableImage> image, TimePoint now);

  void OnReplication(DaemonId from, const ReplicationBytes& message,
                     TimePoint now);
  /// Another daemon's proposal, for the leader.
  void OnProposal(const Proposal& proposal, TimePoint now);
  void OnStorageSynced(std::uint64_t ticket, TimePoint now);
  void Tick(TimePoint now);

  /// Sets the session that leases are asked for. It must be alive in the state
  /// before the daemon may serve.
  void SetSession(Session session);
  Session OwnSession() const { return this->session; }

  /// Proposes until the command is applied or `give_up` has come. False if too
  /// many proposals are pending: this one was never sent.
  bool Propose(const Command& command, TimePoint now, TimePoint give_up,
               Done done);

  /// Proposes once, on the leader only, for commands that aren't idempotent.
  /// `done` gets nothing if the leadership ends first.
  void ProposeOnce(const Command& command, TimePoint now, Done done);

  bool IsLeader() const;
  std::optional<DaemonId> Leader(TimePoint now) const;
  ViewNumber View() const;
  LogIndex Applied() const;
  /// "leader", "voter", "recovering" or "follower".
  std::string_view Role() const;
  /// End of the serving lease; a time in the past without one.
  TimePoint ServingUntil(TimePoint now) const;
  /// Proposals that are sent until they are applied, and aren't yet.
  std::size_t PendingReliable() const;

  const ReplicatedState& State() const { return this->state; }

 private:
  struct PendingProposal {
    Proposal proposal;
    TimePoint sent{};
    TimePoint give_up{};
    bool once = false;
    Done done;
  };

  void Send(DaemonId to, ReplicationMessage&& message);
  void HandleReplication(DaemonId from, const ReplicationMessage& message,
                         TimePoint now);
  bool MayGrant(DaemonId from, const LeaseRequest& request,
                TimePoint now) const;
  void DrainInbox(TimePoint now);
  void Apply(LogIndex index, const std::string& entry);
  void Restore(const std::string& snapshot);
  bool Submit(const Proposal& proposal, TimePoint now);
  void ResendPending(TimePoint now);
  void DropOnce();
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
  /// Messages of this daemon to itself, handled after the current event.
  std::deque<ReplicationMessage> inbox;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_NODE_REPLICATION_SERVICE_H_
