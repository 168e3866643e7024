#include "mimosastage/replication/internal/replica_core.h"

#include <algorithm>
#include <type_traits>
#include <utility>
#include <variant>

#include "mimosastage/replication/replication_error.h"

namespace mimosastage {
namespace {

template <class Message, class... Others>
constexpr bool kIsOneOf = (std::is_same_v<Message, Others> || ...);

}  // namespace

Replica::Core::Core(ReplicaConfig config, Hooks hooks)
    : config(std::move(config)),
      hooks(std::move(hooks)),
      random(this->config.seed),
      durable([this](DurableWrite write) {
        this->hooks.persist(std::move(write));
      }) {}

void Replica::Core::Start(DurableImage image, TimePoint now) {
  this->random.seed(this->config.seed ^ image.incarnation);
  this->LoadMembership(image);
  this->ReplaceLegacyIds(image);
  this->durable.Load(image);
  this->log.Reset(image.snapshot_index, image.snapshot_view);
  for (LogEntry& entry : image.entries) {
    this->log.Append(std::move(entry));
  }
  this->view = image.view;
  this->last_normal_view = image.last_normal_view;
  this->commit = image.snapshot_index;
  this->verified = this->commit;
  this->snapshot_index = image.snapshot_index;
  this->incarnation = image.incarnation;
  this->starts = image.starts;
  if (this->starts.empty()) {
    this->starts = {this->incarnation};
  }
  this->disk_intact = image.intact;
  this->known_incarnations = {image.incarnations.begin(),
                              image.incarnations.end()};
  if (image.snapshot.has_value()) {
    this->hooks.install_snapshot(
        std::string(UnwrapSnapshot(*image.snapshot).state));
    this->snapshots.Add(
        {image.snapshot_index, image.snapshot_view, std::move(*image.snapshot)},
        now);
  }
  this->BeginRecovery(now);
  this->RunEnabledActions(now);
}

template <class Message>
bool Replica::Core::Accepts(DaemonId from) const {
  if constexpr (kIsOneOf<Message, LeaseRequest, GetState>) {
    return true;
  }
  if (!this->IsVoter(from) || from == this->config.self) {
    return false;
  }
  return this->status != ReplicaStatus::kRecovering ||
         kIsOneOf<Message, Recovery, RecoveryResponse, NewState, SnapshotPart>;
}

void Replica::Core::Handle(DaemonId from, const ReplicationMessage& message,
                           TimePoint now) {
  std::visit(
      [&](const auto& m) {
        using Message = std::decay_t<decltype(m)>;
        // The other two go to the daemon's follower and serving lease.
        if constexpr (!kIsOneOf<Message, StreamEntries, LeaseGrant>) {
          if (this->Accepts<Message>(from)) {
            this->On(from, m, now);
          }
        }
      },
      message);
  this->RunEnabledActions(now);
}

void Replica::Core::Tick(TimePoint now) {
  this->CheckRecovery(now);
  if (this->leading) {
    this->CheckQuorum(now);
    this->Heartbeat(now);
    this->DropSilentFollowers(now);
  } else if (this->status != ReplicaStatus::kRecovering) {
    this->CheckLeader(now);
  }
  this->RetryRequests(now);
  this->RunEnabledActions(now);
}

Result<LogIndex> Replica::Core::Propose(std::string command, TimePoint now) {
  if (!this->leading) {
    return make_error_code(ReplicationError::kNotLeader);
  }
  if (command.size() > this->config.limits.command_bytes) {
    return make_error_code(ReplicationError::kCommandTooLong);
  }
  if (this->TooManyPending()) {
    return make_error_code(ReplicationError::kTooManyPending);
  }
  const LogIndex end = this->log.End();
  this->log.Append(LogEntry{end + 1, this->view, std::move(command)});
  this->verified = end + 1;
  this->FlushAndSend(now);
  return end + 1;
}

bool Replica::Core::TooManyPending() const {
  return this->leading &&
         (this->log.End() - this->commit >=
              this->config.limits.pending_entries ||
          this->PendingBytes() >= this->config.limits.pending_bytes);
}

void Replica::Core::StorageSynced(std::uint64_t ticket, TimePoint now) {
  if (!this->durable.Synced(ticket)) {
    return;
  }
  if (this->acknowledgement_pending) {
    this->SendAcknowledgement();
    this->acknowledgement_pending = this->SyncedInView() < this->verified;
  }
  this->RunEnabledActions(now);
}

std::optional<DaemonId> Replica::Core::Leader() const {
  const DaemonId leader = this->LeaderOf(this->view);
  if (this->leading) {
    return leader;
  }
  const bool in_view = this->status == ReplicaStatus::kNormal ||
                       this->status == ReplicaStatus::kCatchingUp;
  if (!in_view || this->suspects_leader || leader == this->config.self ||
      leader == kNoVoter) {
    return std::nullopt;
  }
  return leader;
}

ReplicaStatus Replica::Core::Status() const {
  // A leader that has stepped down is between views.
  if (this->status == ReplicaStatus::kNormal && !this->leading &&
      this->LeaderOf(this->view) == this->config.self) {
    return ReplicaStatus::kViewChange;
  }
  return this->status;
}

std::size_t Replica::Core::FaultsTolerated() const {
  return (this->voters.size() - 1) / 2;
}

DaemonId Replica::Core::LeaderOf(ViewNumber view) const {
  return this->voters[view % this->voters.size()];
}

bool Replica::Core::IsVoter(DaemonId daemon) const {
  return daemon != kNoVoter &&
         std::find(this->voters.begin(), this->voters.end(), daemon) !=
             this->voters.end();
}

void Replica::Core::Send(DaemonId to, ReplicationMessage message) {
  if (to != kNoVoter) {
    this->hooks.send(to, std::move(message));
  }
}

void Replica::Core::SendToVoters(const ReplicationMessage& message) {
  for (const DaemonId voter : this->voters) {
    if (voter != this->config.self) {
      this->Send(voter, message);
    }
  }
}

void Replica::Core::RunEnabledActions(TimePoint now) {
  this->SendRecoveryResponses();
  this->AdoptNextIncarnation(now);
  if (this->leading) {
    this->AdvanceCommit(now);
    this->ReleaseGrants();
  }
  this->FlushAndSend(now);
  if (this->status == ReplicaStatus::kViewChange) {
    this->SendDoViewChange(now);
  }
}

void Replica::Core::FlushAndSend(TimePoint now) {
  if (this->durable.Flush(this->log, now) && this->leading) {
    this->sendable_end = this->log.End();
    this->SendNewEntries();
  }
}

bool Replica::Core::MergeEntries(const std::vector<LogEntry>& entries) {
  for (const LogEntry& entry : entries) {
    if (entry.index <= this->verified) {
      continue;
    }
    if (entry.index != this->verified + 1) {
      return false;
    }
    if (this->log.ViewAt(entry.index) != entry.view) {
      this->TruncateFrom(entry.index);
      this->log.Append(entry);
      this->TrackMembershipEntry(entry);
    }
    this->verified = entry.index;
  }
  return true;
}

void Replica::Core::TruncateFrom(LogIndex index) {
  if (index <= this->log.End()) {
    this->log.TruncateFrom(index);
    this->durable.TruncateFrom(index);
    this->memberships.TruncateFrom(index);
    this->UpdateVoters();
  }
}

void Replica::Core::CommitTo(LogIndex index, TimePoint now) {
  const LogIndex end = std::min(index, this->verified);
  while (this->commit < end) {
    ++this->commit;
    const std::string& command = this->log.At(this->commit).command;
    if (!DecodeMembership(command).has_value()) {
      this->hooks.apply(this->commit, command);
    }
  }
  this->MaybeTakeSnapshot(now);
}

void Replica::Core::MaybeTakeSnapshot(TimePoint now) {
  const ReplicationLimits& limits = this->config.limits;
  const bool due =
      this->commit - this->snapshot_index >= limits.snapshot_entries ||
      this->log.BytesBetween(this->snapshot_index, this->commit) >=
          limits.snapshot_bytes;
  if (!due) {
    return;
  }
  const ViewNumber entry_view = *this->log.ViewAt(this->commit);
  std::string bytes = this->hooks.take_snapshot();
  // Keeps a membership that this voter has learned before it has the entry, so
  // that it is known after a restart, too.
  if (const Membership& members = this->CommittedMembers();
      members.version > 0) {
    bytes = WrapSnapshot(members, bytes);
  }
  this->durable.SetSnapshot(bytes, this->commit, entry_view);
  this->snapshots.Add({this->commit, entry_view, std::move(bytes)}, now);
  // Entries covered by the snapshot are kept until the next one, so that a
  // daemon that lags slightly receives entries instead of the whole state.
  this->log.DropThrough(this->snapshot_index);
  this->snapshot_index = this->commit;
}

bool Replica::Core::WantsSnapshotFrom(DaemonId from) const {
  switch (this->status) {
    case ReplicaStatus::kRecovering:
      return this->recovery_source.has_value() &&
             this->recovery_source->leader == from;
    case ReplicaStatus::kViewChange:
      return this->fetch.has_value() && this->fetch->first == from;
    case ReplicaStatus::kCatchingUp:
    case ReplicaStatus::kNormal:
      return !this->leading && this->LeaderOf(this->view) == from;
  }
  return false;
}

void Replica::Core::On(DaemonId from, const SnapshotPart& part, TimePoint now) {
  if (!this->WantsSnapshotFrom(from) || part.last_index <= this->commit) {
    return;
  }
  this->recovery_source_heard = now;
  auto complete = this->collector.Add(part, now);
  if (!complete.has_value()) {
    if (this->collector.Active() && this->collector.BatchDone()) {
      this->RequestState(from, now);
    }
    return;
  }
  this->InstallSnapshot(std::move(*complete), now);
  if (this->fetch.has_value() || this->recovery_source.has_value()) {
    this->RequestState(from, now);
  } else {
    this->ReportMismatch(from);
  }
}

void Replica::Core::InstallSnapshot(internal::Snapshot snapshot,
                                    TimePoint now) {
  const bool known = this->log.ViewAt(snapshot.index) == snapshot.view;
  this->hooks.install_snapshot(
      known ? std::string(UnwrapSnapshot(snapshot.bytes).state)
            : this->RestoreMembership(snapshot.bytes, snapshot.index));
  const LogIndex agreed = this->commit;
  this->commit = snapshot.index;
  this->snapshot_index = snapshot.index;
  if (known) {
    this->log.DropThrough(snapshot.index);
    this->verified = std::max(this->verified, snapshot.index);
  } else {
    this->log.Reset(snapshot.index, snapshot.view);
    this->durable.ReplaceThrough(snapshot.index, agreed);
    this->verified = snapshot.index;
  }
  this->durable.SetSnapshot(snapshot.bytes, snapshot.index, snapshot.view);
  this->snapshots.Add(std::move(snapshot), now);
}

void Replica::Core::RequestState(DaemonId from, TimePoint now) {
  const ViewNumber asked = this->recovery_source.has_value()
                               ? this->recovery_source->view
                               : this->view;
  this->collector.RecordRequest(internal::kPartsPerRequest *
                                this->config.limits.snapshot_part_bytes);
  this->next_repeat = now + this->config.timing.heartbeat_interval;
  this->Send(from, GetState{asked, this->verified + 1, this->collector.Index(),
                            this->collector.Received()});
}

void Replica::Core::RetryRequests(TimePoint now) {
  if (this->suspects_leader || now < this->next_repeat) {
    return;
  }
  if (this->recovery_source.has_value()) {
    this->RequestState(this->recovery_source->leader, now);
  } else if (this->fetch.has_value()) {
    this->RequestState(this->fetch->first, now);
  } else if (this->collector.Active() && !this->leading) {
    this->RequestState(this->LeaderOf(this->view), now);
  }
}

void Replica::Core::On(DaemonId from, const NewState& m, TimePoint now) {
  if (this->fetch.has_value() && this->fetch->first == from &&
      m.view == this->view) {
    this->MergeEntries(m.entries);
    this->FinishFetch(now);
  } else if (this->recovery_source.has_value() &&
             this->recovery_source->leader == from &&
             m.view == this->recovery_source->view) {
    this->recovery_source_heard = now;
    this->MergeEntries(m.entries);
    this->CommitTo(m.commit, now);
    this->FinishRecovery(now);
  }
}

void Replica::Core::On(DaemonId from, const GetState& m, TimePoint now) {
  const bool voter = this->IsVoter(from);
  const bool serves_new_leader = this->status == ReplicaStatus::kViewChange &&
                                 this->LeaderOf(this->view) == from;
  const bool serves =
      voter ? m.view == this->view && (this->leading || serves_new_leader)
            : this->leading;
  if (!serves || m.first == 0) {
    return;
  }
  if (m.first <= this->log.Base()) {
    this->SendSnapshotParts(from, m.snapshot_index, m.snapshot_offset,
                            internal::kPartsPerRequest, now);
    return;
  }
  const LogIndex last = voter ? this->log.End() : this->commit;
  auto entries =
      this->log.Slice(m.first, last, this->config.limits.message_bytes);
  if (voter) {
    this->Send(from, NewState{this->view, this->commit, std::move(entries)});
  } else if (!entries.empty()) {
    if (auto found = this->followers.find(from);
        found != this->followers.end()) {
      found->second.sent = std::max(found->second.sent, entries.back().index);
    }
    this->Send(from,
               StreamEntries{this->view, this->commit, std::move(entries)});
  }
}

void Replica::Core::SendSnapshotParts(DaemonId to, LogIndex index,
                                      std::uint64_t offset, std::uint64_t count,
                                      TimePoint now) {
  auto parts = this->snapshots.Parts(this->view, index, offset,
                                     this->config.limits.snapshot_part_bytes,
                                     count, now);
  for (SnapshotPart& part : parts) {
    this->Send(to, std::move(part));
  }
}

}  // namespace mimosastage
