#ifndef MIMOSASTAGE_REPLICATION_INTERNAL_REPLICA_CORE_H_
#define MIMOSASTAGE_REPLICATION_INTERNAL_REPLICA_CORE_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "mimosastage/replication/internal/durable_queue.h"
#include "mimosastage/replication/internal/membership_log.h"
#include "mimosastage/replication/internal/replicated_log.h"
#include "mimosastage/replication/internal/snapshot_transfer.h"
#include "mimosastage/replication/replica.h"

namespace mimosastage {

/// The state of one voter. The protocol is implemented in replica_core.cc
/// (dispatch, log, snapshots), normal_operation.cc, view_change.cc,
/// recovery.cc, reconfiguration.cc and follower_stream.cc.
class Replica::Core {
 public:
  Core(ReplicaConfig config, Hooks hooks);

  void Start(DurableImage image, TimePoint now);
  void Handle(DaemonId from, const ReplicationMessage& message, TimePoint now);
  void Tick(TimePoint now);
  Result<LogIndex> Propose(std::string command, TimePoint now);
  bool TooManyPending() const;
  std::size_t PendingBytes() const {
    return this->log.BytesBetween(this->commit, this->log.End());
  }
  Result<LogIndex> ProposeMembership(Membership next, TimePoint now);
  void LearnMembership(Membership committed, TimePoint now);
  void StorageSynced(std::uint64_t ticket, TimePoint now);

  bool IsLeader() const { return this->leading; }
  bool HasAuthority(TimePoint now) const;
  void Resign(TimePoint now);
  std::optional<DaemonId> Leader() const;
  ViewNumber View() const { return this->view; }
  LogIndex Commit() const { return this->commit; }
  LogIndex LogEnd() const { return this->log.End(); }
  ReplicaStatus Status() const;
  const Membership& Members() const { return this->memberships.InForce(); }
  const Membership& CommittedMembers() const {
    return this->memberships.Committed(this->commit);
  }
  Duration SilenceOf(DaemonId voter, TimePoint now) const;

 private:
  /// The leader's state for another voter.
  struct VoterProgress {
    /// Index of the first entry that hasn't been sent yet.
    LogIndex next = 0;
    /// Entries up to here are synced to the voter's disk and match this view.
    LogIndex match = 0;
    std::uint64_t acked_round = 0;
    TimePoint last_heard;
    /// Earliest time to send the first part of a snapshot again. The voter
    /// requests the other parts itself.
    TimePoint next_snapshot;
  };

  /// The leader's state for a daemon that follows the committed log.
  struct FollowerProgress {
    SessionId session{};
    LogIndex applied = 0;
    LogIndex sent = 0;
    TimePoint last_heard;
  };

  struct PendingGrant {
    DaemonId to{};
    std::uint64_t number = 0;
    /// The grant is sent once a quorum has acknowledged this round.
    std::uint64_t round = 0;
  };

  /// The leader from which a voter whose disk is lost or an old copy fetches
  /// the log before it votes again.
  struct RecoverySource {
    DaemonId leader{};
    ViewNumber view = 0;
    LogIndex log_end = 0;
  };

  // replica_core.cc
  /// False if this voter ignores the message in its present status, or if only
  /// other voters may send it and `from` isn't one.
  template <class Message>
  bool Accepts(DaemonId from) const;
  std::size_t FaultsTolerated() const;
  DaemonId LeaderOf(ViewNumber view) const;
  bool IsVoter(DaemonId daemon) const;
  void Send(DaemonId to, ReplicationMessage message);
  void SendToVoters(const ReplicationMessage& message);
  /// Performs all actions whose conditions the latest event has fulfilled.
  void RunEnabledActions(TimePoint now);
  /// Starts the next sync if none is in progress. A leader then sends the
  /// entries of that sync as one batch.
  void FlushAndSend(TimePoint now);
  /// Adds the entries after `verified`, replaces those from other views, and
  /// advances `verified`. Returns false at a gap.
  bool MergeEntries(const std::vector<LogEntry>& entries);
  void TruncateFrom(LogIndex index);
  void CommitTo(LogIndex index, TimePoint now);
  void MaybeTakeSnapshot(TimePoint now);
  void On(DaemonId from, const SnapshotPart& part, TimePoint now);
  bool WantsSnapshotFrom(DaemonId from) const;
  void InstallSnapshot(internal::Snapshot snapshot, TimePoint now);
  void RequestState(DaemonId from, TimePoint now);
  void RetryRequests(TimePoint now);
  void On(DaemonId from, const NewState& m, TimePoint now);
  void On(DaemonId from, const GetState& m, TimePoint now);
  void SendSnapshotParts(DaemonId to, LogIndex index, std::uint64_t offset,
                         std::uint64_t count, TimePoint now);

  // normal_operation.cc
  void On(DaemonId from, const Prepare& m, TimePoint now);
  void EnterView(ViewNumber view, LogIndex view_start, TimePoint now);
  void BecomeNormalIfComplete();
  void ReportMismatch(DaemonId leader);
  void Acknowledge(bool has_entries, TimePoint now);
  void SendAcknowledgement();
  bool StorageStalled(TimePoint now) const;
  /// Last index that this voter may acknowledge as synced in this view.
  LogIndex SyncedInView() const;
  void On(DaemonId from, const PrepareOk& m, TimePoint now);
  void Resend(DaemonId to, LogIndex synced, TimePoint now);
  void SendEntries(DaemonId to, VoterProgress& progress);
  void SendNewEntries();
  void Heartbeat(TimePoint now);
  Prepare MakePrepare(const VoterProgress& progress) const;
  void AdvanceCommit(TimePoint now);
  void CheckQuorum(TimePoint now);
  void StepDown(TimePoint now);

  // view_change.cc
  Duration DrawTimeout();
  Duration SilenceOfLeader(TimePoint now) const;
  void CheckLeader(TimePoint now);
  void SuspectLeader(TimePoint now);
  void ClearSuspicion();
  void On(DaemonId from, const StartViewChange& m, TimePoint now);
  void CountVotes(TimePoint now);
  void EnterViewChange(ViewNumber view, TimePoint now);
  void SendDoViewChange(TimePoint now);
  void On(DaemonId from, const DoViewChange& m, TimePoint now);
  void DropOutdatedDoViewChanges();
  void ChooseLog(TimePoint now);
  void FinishFetch(TimePoint now);
  void BecomeLeader(TimePoint now);
  void On(DaemonId from, const StartView& m, TimePoint now);

  // recovery.cc
  void BeginRecovery(TimePoint now);
  void SendRecovery(TimePoint now);
  void On(DaemonId from, const Recovery& m, TimePoint now);
  void SendRecoveryResponses();
  void On(DaemonId from, const RecoveryResponse& m, TimePoint now);
  void ResetConfirmations();
  void RenewIncarnation(TimePoint now);
  void AdoptNextIncarnation(TimePoint now);
  void CheckConfirmation(TimePoint now);
  void FinishConfirmation(TimePoint now);
  void CheckRecovery(TimePoint now);
  /// Starts recovery from the other voters. `known` is an incarnation of this
  /// voter that isn't on its disk.
  void MarkDiskLost(Incarnation known, TimePoint now);
  void ChooseRecoverySource(TimePoint now);
  void FinishRecovery(TimePoint now);
  /// Records the sender's incarnation, unless the sender's disk lacks a start
  /// that is already recorded.
  void RecordStart(DaemonId voter, const Recovery& m);
  void RecordIncarnation(DaemonId voter, Incarnation incarnation);
  void UpdateLatestIncarnations(
      const std::vector<std::pair<DaemonId, Incarnation>>& incarnations);
  std::vector<std::pair<DaemonId, Incarnation>> KnownIncarnations() const;

  // reconfiguration.cc
  void LoadMembership(const DurableImage& image);
  /// Moves incarnations that an earlier release recorded under legacy ids to
  /// the voters at the same addresses. Drops those whose legacy id two voters
  /// share, because they can't be told apart.
  void ReplaceLegacyIds(DurableImage& image) const;
  /// Restores the membership from a snapshot, or from the settings if it has
  /// none, and returns the state machine's part of the snapshot.
  std::string RestoreMembership(const std::string& snapshot, LogIndex index);
  void TrackMembershipEntry(const LogEntry& entry);
  void UpdateVoters();
  /// False for a voter whose membership entry isn't committed and was proposed
  /// in this view: voters of the previous membership may lack the entry and
  /// would ignore the new voter. Entries from before the start of the view
  /// count, because the leader that added the voter may be gone.
  bool CountsTowardQuorum(DaemonId voter) const {
    return this->memberships.Committed(std::max(this->commit, this->view_start))
        .Contains(voter);
  }
  /// The first view after `after` whose leader isn't a vacant slot.
  ViewNumber NextView(ViewNumber after) const;

  // follower_stream.cc
  void On(DaemonId from, const LeaseRequest& m, TimePoint now);
  void TrackFollower(DaemonId from, const LeaseRequest& m, TimePoint now);
  void ReleaseGrants();
  void StreamToFollowers();
  void StreamTo(DaemonId to, FollowerProgress& follower);
  void AnnounceLeadership();
  void DropSilentFollowers(TimePoint now);

  ReplicaConfig config;
  Hooks hooks;
  std::mt19937_64 random;

  internal::MembershipLog memberships;
  /// The occupants in slot order, kNoVoter for a vacant slot.
  std::vector<DaemonId> voters;
  internal::ReplicatedLog log;
  internal::DurableQueue durable;
  internal::SnapshotSource snapshots;
  internal::SnapshotCollector collector;
  LogIndex snapshot_index = 0;

  ReplicaStatus status = ReplicaStatus::kRecovering;
  ViewNumber view = 0;
  ViewNumber last_normal_view = 0;
  LogIndex commit = 0;
  /// The log up to here is known to match the leader's log in `view`.
  LogIndex verified = 0;
  LogIndex view_start = 0;
  bool leading = false;

  // Backup.
  std::uint64_t seen_round = 0;
  /// True while the leader waits for an acknowledgement of entries that are not
  /// synced yet.
  bool acknowledgement_pending = false;
  TimePoint leader_heard;
  Duration leader_timeout{};

  // Leader.
  std::map<DaemonId, VoterProgress> progress;
  std::uint64_t round = 0;
  /// Send times of the latest rounds, oldest first.
  std::deque<std::pair<std::uint64_t, TimePoint>> rounds_sent;
  /// Last entry that may be sent. Later ones wait for the sync in progress, to
  /// be sent as one batch.
  LogIndex sendable_end = 0;
  TimePoint next_heartbeat;
  std::vector<PendingGrant> grants;
  std::map<DaemonId, FollowerProgress> followers;

  // View change.
  bool suspects_leader = false;
  ViewNumber target_view = 0;
  std::map<DaemonId, ViewNumber> votes;
  unsigned failed_view_changes = 0;
  TimePoint next_repeat;
  TimePoint next_do_view_change;
  std::map<DaemonId, DoViewChange> do_view_changes;
  /// A view that this voter may have led before its last start, and that it
  /// must not lead again.
  std::optional<ViewNumber> previously_led_view;
  /// The voter whose log the new view starts with, and the end of that log. Set
  /// while the new leader fetches that log.
  std::optional<std::pair<DaemonId, LogIndex>> fetch;

  // Recovery.
  Incarnation incarnation = 0;
  std::vector<Incarnation> starts;
  /// Recorded incarnations of the other voters; also persisted.
  std::map<DaemonId, Incarnation> known_incarnations;
  /// Latest incarnation in any voter's messages. A DoViewChange from an earlier
  /// one isn't counted.
  std::map<DaemonId, Incarnation> latest_incarnations;
  /// Replaces `incarnation` once it is synced.
  std::optional<Incarnation> next_incarnation;
  TimePoint next_renewal;
  bool disk_intact = false;
  std::uint64_t nonce = 0;
  std::map<DaemonId, RecoveryResponse> recovery_responses;
  /// Voters that haven't confirmed this incarnation yet.
  std::set<DaemonId> unconfirmed;
  std::map<DaemonId, Recovery> pending_recoveries;
  std::optional<RecoverySource> recovery_source;
  TimePoint recovery_source_heard;
  TimePoint next_recovery;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_REPLICATION_INTERNAL_REPLICA_CORE_H_
