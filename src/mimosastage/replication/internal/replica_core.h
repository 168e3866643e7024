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

/// The state of one voter. The parts of the protocol are in replica_core.cc
/// (dispatch, log), normal_operation.cc, view_change.cc, recovery.cc,
/// reconfiguration.cc and follower_stream.cc.
class Replica::Core {
 public:
  Core(ReplicaConfig config, Hooks hooks);

  void Start(DurableImage image, TimePoint now);
  void Handle(DaemonId from, const ReplicationMessage& message, TimePoint now);
  void Tick(TimePoint now);
  Result<LogIndex> Propose(std::string command, TimePoint now);
  Result<LogIndex> ProposeMembership(Membership next, TimePoint now);
  void Learn(Membership committed, TimePoint now);
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
  /// What the leader knows of another voter.
  struct VoterProgress {
    /// First entry that wasn't sent yet.
    LogIndex next = 0;
    /// Entries up to here are on the voter's disk, as this view has them.
    LogIndex match = 0;
    std::uint64_t acked_round = 0;
    TimePoint last_heard;
    /// A voter that lacks a snapshot is sent its start no earlier than this;
    /// it asks for the rest by itself.
    TimePoint next_snapshot;
  };

  /// What the leader knows of a daemon that follows the committed log.
  struct FollowerProgress {
    SessionId session{};
    LogIndex applied = 0;
    LogIndex sent = 0;
    TimePoint last_heard;
  };

  struct PendingGrant {
    DaemonId to{};
    std::uint64_t number = 0;
    /// The grant waits until a quorum has acknowledged this round.
    std::uint64_t round = 0;
  };

  /// A voter that lost its disk, or runs on an old copy, fetches the log from
  /// the leader of a view before it votes.
  struct Refill {
    DaemonId leader{};
    ViewNumber view = 0;
    LogIndex target = 0;
  };

  // replica_core.cc
  /// False for messages that this voter ignores in its present status, or that
  /// only voters may send.
  template <class Message>
  bool Accepts(DaemonId from) const;
  std::size_t FaultsTolerated() const;
  DaemonId LeaderOf(ViewNumber view) const;
  bool IsVoter(DaemonId daemon) const;
  void Send(DaemonId to, ReplicationMessage message);
  void SendToVoters(const ReplicationMessage& message);
  /// Does all that the latest event has made possible.
  void Progress(TimePoint now);
  /// Starts the next sync, and sends what waited for it, if none is running.
  void FlushAndSend(TimePoint now);
  /// False if the entries don't follow what is known to agree with the leader.
  bool Adopt(const std::vector<LogEntry>& entries);
  void TruncateFrom(LogIndex index);
  void CommitTo(LogIndex index, TimePoint now);
  void MaybeTakeSnapshot(TimePoint now);
  void On(DaemonId from, const SnapshotPart& part, TimePoint now);
  bool WantsSnapshotFrom(DaemonId from) const;
  void Install(internal::Snapshot snapshot, TimePoint now);
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
  /// Highest index that is on this voter's disk and counts in this view.
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
  void Suspect(TimePoint now);
  void ClearSuspicion();
  void On(DaemonId from, const StartViewChange& m, TimePoint now);
  void CountVotes(TimePoint now);
  void EnterViewChange(ViewNumber view, TimePoint now);
  void SendDoViewChange(TimePoint now);
  void On(DaemonId from, const DoViewChange& m, TimePoint now);
  void DropOutdated();
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
  void AskAllToConfirm();
  void RenewIncarnation(TimePoint now);
  void AdoptRenewal(TimePoint now);
  void CheckConfirmation(TimePoint now);
  void FinishConfirmation(TimePoint now);
  void CheckRecovery(TimePoint now);
  /// `known` is a start of this voter that its disk doesn't know.
  void LoseDisk(Incarnation known, TimePoint now);
  void ChooseRefill(TimePoint now);
  void FinishRefill(TimePoint now);
  /// Records the sender's start, unless its disk lacks a start that is already
  /// recorded.
  void RecordStart(DaemonId voter, const Recovery& m);
  void Record(DaemonId voter, Incarnation incarnation);
  void NoteIncarnations(
      const std::vector<std::pair<DaemonId, Incarnation>>& incarnations);
  std::vector<std::pair<DaemonId, Incarnation>> KnownIncarnations() const;

  // reconfiguration.cc
  void LoadMembership(const DurableImage& image);
  /// Takes the membership of a snapshot, or that of the settings if it has
  /// none, and returns the state in it.
  std::string TakeMembership(const std::string& snapshot, LogIndex index);
  void NoteEntry(const LogEntry& entry);
  void UseMembership();
  /// Copies and answers of a voter that this leader adds don't count until the
  /// entry that adds it is committed: a voter of the quorum before could lack
  /// the entry, and would then ignore the new one. What a view began with
  /// counts, because the leader that added the voter may be gone.
  bool Counts(DaemonId voter) const {
    return this->memberships.Committed(std::max(this->commit, this->view_start))
        .Contains(voter);
  }
  /// The first view after `after` that has a leader.
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
  /// The occupants of the slots, kNoVoter in a vacant one.
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
  /// The log up to here is known to agree with the leader of `view`.
  LogIndex verified = 0;
  LogIndex view_start = 0;
  bool leading = false;

  // Backup.
  std::uint64_t seen_round = 0;
  /// Set while a synced copy is owed to the leader.
  bool acknowledgement_owed = false;
  TimePoint leader_heard;
  Duration leader_timeout{};

  // Leader.
  std::map<DaemonId, VoterProgress> progress;
  std::uint64_t round = 0;
  /// When the latest rounds were sent, oldest first.
  std::deque<std::pair<std::uint64_t, TimePoint>> rounds_sent;
  /// Entries after this wait for the sync in progress, to be sent as one batch.
  LogIndex sendable = 0;
  TimePoint next_heartbeat;
  std::vector<PendingGrant> grants;
  std::map<DaemonId, FollowerProgress> followers;

  // View change.
  bool suspecting = false;
  ViewNumber target_view = 0;
  std::map<DaemonId, ViewNumber> votes;
  unsigned failed_view_changes = 0;
  TimePoint next_repeat;
  TimePoint next_do_view_change;
  std::map<DaemonId, DoViewChange> do_view_changes;
  /// A view that this voter may have led before its last start.
  std::optional<ViewNumber> barred_view;
  /// The voter whose log the new view begins with, and the end of that log.
  std::optional<std::pair<DaemonId, LogIndex>> fetch;

  // Recovery.
  Incarnation incarnation = 0;
  std::vector<Incarnation> starts;
  /// Recorded of the other voters; on the disk too.
  std::map<DaemonId, Incarnation> known_incarnations;
  /// Latest in any voter's messages; decides which DoViewChange counts.
  std::map<DaemonId, Incarnation> latest_incarnations;
  /// Replaces `incarnation` once it is on the disk.
  std::optional<Incarnation> next_incarnation;
  TimePoint next_renewal;
  bool disk_intact = false;
  std::uint64_t nonce = 0;
  std::map<DaemonId, RecoveryResponse> recovery_responses;
  /// Voters that haven't confirmed this incarnation yet.
  std::set<DaemonId> unconfirmed;
  std::map<DaemonId, Recovery> pending_recoveries;
  std::optional<Refill> refill;
  TimePoint refill_heard;
  TimePoint next_recovery;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_REPLICATION_INTERNAL_REPLICA_CORE_H_
