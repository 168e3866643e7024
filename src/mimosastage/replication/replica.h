#ifndef MIMOSASTAGE_REPLICATION_REPLICA_H_
#define MIMOSASTAGE_REPLICATION_REPLICA_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "mimosastage/base/names.h"
#include "mimosastage/base/result.h"
#include "mimosastage/base/time.h"
#include "mimosastage/replication/durable_state.h"
#include "mimosastage/replication/membership.h"
#include "mimosastage/replication/messages.h"
#include "mimosastage/replication/replication_config.h"

namespace mimosastage {

enum class ReplicaStatus : std::uint8_t {
  /// Doesn't vote, because its incarnation isn't confirmed or its disk is lost.
  kRecovering,
  /// Has left its view and waits for the next one to start.
  kViewChange,
  /// Knows the leader of its view, but lacks entries from before the start of
  /// the view.
  kCatchingUp,
  kNormal
};

/// One voter of the replicated log. Implements Viewstamped Replication
/// Revisited, with a log that is synced to disk before it is acknowledged. It
/// does no I/O itself: the owner passes in events and the current time, and
/// performs I/O in the hooks. Not thread-safe.
class Replica {
 public:
  struct Hooks {
    /// May lose, duplicate or reorder messages. The recipient of a LeaseGrant
    /// can be this daemon itself.
    std::function<void(DaemonId to, ReplicationMessage message)> send;
    /// Writes and syncs. The owner calls StorageSynced afterwards, in the order
    /// of the calls and never from within the hook.
    std::function<void(DurableWrite write)> persist;
    /// Called once for each committed command, in log order. It may call
    /// Propose.
    std::function<void(LogIndex index, const std::string& command)> apply;
    /// Replaces the whole state by one that take_snapshot encoded.
    std::function<void(const std::string& snapshot)> install_snapshot;
    /// Encodes the state after the last applied command.
    std::function<std::string()> take_snapshot;
  };

  Replica(ReplicaConfig config, Hooks hooks);
  ~Replica();
  Replica(const Replica&) = delete;
  Replica& operator=(const Replica&) = delete;

  /// Loads the persisted state and installs its snapshot. Must be called once,
  /// before any other function.
  void Start(DurableImage image, TimePoint now);

  /// Ignores messages that aren't meant for a voter.
  void Handle(DaemonId from, const ReplicationMessage& message, TimePoint now);

  /// Processes timeouts. Must be called at least every 20 ms.
  void Tick(TimePoint now);

  /// Appends a command to the log. The returned index is final only if this
  /// voter stays the leader of its view until the command is committed: after a
  /// view change another command can have that index. Errors: kNotLeader,
  /// kTooManyPending, kCommandTooLong.
  Result<LogIndex> Propose(std::string command, TimePoint now);

  /// True while Propose fails with kTooManyPending.
  bool TooManyPending() const;
  /// Bytes of the commands in the log that aren't committed.
  std::size_t PendingBytes() const;

  /// Fills or vacates one slot. Errors: kNotLeader; kTooManyPending while the
  /// previous change, or the log at the start of the view, isn't committed;
  /// kInvalidMembership if `next` isn't a valid successor of Members(), or
  /// lacks this voter or a quorum.
  Result<LogIndex> ProposeMembership(Membership next, TimePoint now);
  /// Takes over a membership that another voter reports as committed. Without
  /// it, a voter that was partitioned during the change would ignore messages
  /// from voters that were added meanwhile.
  void LearnMembership(Membership committed, TimePoint now);

  /// Reports that everything up to the DurableWrite with this ticket is synced.
  void StorageSynced(std::uint64_t ticket, TimePoint now);

  /// True on the leader of a normal view. A leader that no longer hears a
  /// quorum steps down.
  bool IsLeader() const;
  /// The leader lease: true while no other voter can have become leader and
  /// every entry of earlier views is applied, so that reads of the applied
  /// state are linearizable. Relies on the rule that a voter that has heard the
  /// leader agrees to no view change for half of
  /// ReplicationTiming::view_change_min.
  bool HasAuthority(TimePoint now) const;
  /// Gives up leadership before a planned stop, so that the others don't have
  /// to wait for the whole view change timeout.
  void Resign(TimePoint now);
  /// The leader as far as this voter knows; std::nullopt between views.
  std::optional<DaemonId> Leader() const;
  ViewNumber View() const;
  /// Last committed index. All entries up to it are applied.
  LogIndex Commit() const;
  /// Last index in the log, committed or not.
  LogIndex LogEnd() const;
  ReplicaStatus Status() const;
  /// The membership in force; its entry may be uncommitted.
  const Membership& Members() const;
  const Membership& CommittedMembers() const;
  /// On the leader: time since it last heard the voter.
  Duration SilenceOf(DaemonId voter, TimePoint now) const;

 private:
  class Core;
  std::unique_ptr<Core> core;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_REPLICATION_REPLICA_H_
