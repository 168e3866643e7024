#ifndef MIMOSASTAGE_REPLICATION_REPLICA_H_
#define MIMOSASTAGE_REPLICATION_REPLICA_H_

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
  /// Doesn't vote: its incarnation isn't confirmed, or it lost its disk.
  kRecovering,
  /// Between views.
  kViewChange,
  /// Knows the leader of its view, but lacks a part of the log that the view
  /// began with.
  kCatchingUp,
  kNormal
};

/// One voter of the replicated log: Viewstamped Replication Revisited with a
/// log that is synced before it is acknowledged. It does no I/O; the owner
/// passes events and the time, and acts through the hooks. Not thread-safe.
class Replica {
 public:
  struct Hooks {
    /// May lose, repeat or reorder messages. A LeaseGrant can be addressed to
    /// this daemon itself.
    std::function<void(DaemonId to, ReplicationMessage message)> send;
    /// Stores and syncs; the owner then calls StorageSynced, later and in the
    /// order of the calls, never from within the hook.
    std::function<void(DurableWrite write)> persist;
    /// Called once for each committed command, in the order of the log. It may
    /// call Propose.
    std::function<void(LogIndex index, const std::string& command)> apply;
    /// Replaces the whole state by the one that take_snapshot encoded.
    std::function<void(const std::string& snapshot)> install_snapshot;
    /// The state after the last applied command.
    std::function<std::string()> take_snapshot;
  };

  Replica(ReplicaConfig config, Hooks hooks);
  ~Replica();
  Replica(const Replica&) = delete;
  Replica& operator=(const Replica&) = delete;

  /// Begins with what the disk holds. Called once, before all else; installs
  /// the image's snapshot.
  void Start(DurableImage image, TimePoint now);

  /// Messages that aren't for a voter are ignored.
  void Handle(DaemonId from, const ReplicationMessage& message, TimePoint now);

  /// Drives all timeouts; to be called every 20 ms or more often.
  void Tick(TimePoint now);

  /// Adds a command to the log. The index is a promise only while this voter
  /// stays leader of its view: another command can take the place if the view
  /// changes. Errors: kNotLeader, kTooManyPending, kCommandTooLong.
  Result<LogIndex> Propose(std::string command, TimePoint now);

  /// Fills or vacates one slot. Errors: kNotLeader; kTooManyPending while the
  /// change before, or what the view began with, isn't committed;
  /// kInvalidMembership if `next` isn't one step from Members(), or lacks this
  /// voter or a quorum.
  Result<LogIndex> ProposeMembership(Membership next, TimePoint now);
  /// A membership that the leader has shown as committed. A voter that was cut
  /// off meanwhile would otherwise not listen to a voter that it doesn't know.
  void Learn(Membership committed, TimePoint now);

  /// Everything up to the DurableWrite with this ticket is synced.
  void StorageSynced(std::uint64_t ticket, TimePoint now);

  /// True on the leader of a normal view that still hears a quorum.
  bool IsLeader() const;
  /// True while no other voter can have become leader and every entry of
  /// earlier views is applied, so that reads of the applied state show all that
  /// was ever committed. Rests on the rule that a voter which hears the leader
  /// agrees to no view change for half of ReplicationTiming::view_change_min.
  bool HasAuthority(TimePoint now) const;
  /// Gives up leadership, for a planned stop: the others need not wait for the
  /// whole timeout.
  void Resign(TimePoint now);
  /// The leader as far as this voter knows; nothing between views.
  std::optional<DaemonId> Leader() const;
  ViewNumber View() const;
  /// Last committed index; all up to it are applied.
  LogIndex Commit() const;
  /// Last index in the log, committed or not.
  LogIndex LogEnd() const;
  ReplicaStatus Status() const;
  /// The membership in force; its entry may not be committed.
  const Membership& Members() const;
  const Membership& CommittedMembers() const;
  /// On the leader: since when it hasn't heard the voter.
  Duration SilenceOf(DaemonId voter, TimePoint now) const;

 private:
  class Core;
  std::unique_ptr<Core> core;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_REPLICATION_REPLICA_H_
