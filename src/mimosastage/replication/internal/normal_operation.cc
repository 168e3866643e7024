#include <algorithm>
#include <chrono>
#include <functional>
#include <utility>

#include "mimosastage/replication/internal/replica_core.h"

namespace mimosastage {
namespace {

/// Number of rounds whose send times a leader keeps; enough for some seconds.
constexpr std::size_t kMaxRoundsSent = 256;

}  // namespace

void Replica::Core::On(DaemonId from, const Prepare& m, TimePoint now) {
  if (this->LeaderOf(m.view) != from) {
    return;
  }
  if (m.view < this->view) {
    // Informs the old leader of the newer view.
    this->Send(from, PrepareOk{this->view, 0, m.round, false});
    return;
  }
  if (m.view > this->view || this->status == ReplicaStatus::kViewChange) {
    this->EnterView(m.view, m.view_start, now);
  }
  this->leader_heard = now;
  this->ClearSuspicion();
  this->seen_round = std::max(this->seen_round, m.round);
  const bool matched = m.previous_index <= this->verified ||
                       this->log.ViewAt(m.previous_index) == m.previous_view;
  if (!matched) {
    this->ReportMismatch(from);
    return;
  }
  this->verified = std::max(this->verified, m.previous_index);
  this->MergeEntries(m.entries);
  this->CommitTo(m.commit, now);
  this->BecomeNormalIfComplete();
  this->Acknowledge(!m.entries.empty(), now);
}

void Replica::Core::EnterView(ViewNumber view, LogIndex view_start,
                              TimePoint now) {
  this->view = view;
  this->view_start = view_start;
  this->status = ReplicaStatus::kCatchingUp;
  this->verified = this->commit;
  this->leading = false;
  this->grants.clear();
  this->followers.clear();
  this->fetch.reset();
  this->do_view_changes.clear();
  this->collector.Clear();
  this->seen_round = 0;
  this->acknowledgement_pending = false;
  this->leader_heard = now;
  this->failed_view_changes = 0;
  this->leader_timeout = this->DrawTimeout();
  this->ClearSuspicion();
}

void Replica::Core::BecomeNormalIfComplete() {
  if (this->status != ReplicaStatus::kCatchingUp ||
      this->verified < this->view_start) {
    return;
  }
  // Any entries after this are from earlier views and not part of this view.
  this->TruncateFrom(this->verified + 1);
  this->status = ReplicaStatus::kNormal;
  this->last_normal_view = this->view;
  this->durable.SetView(this->view);
  this->durable.SetLastNormalView(this->view);
}

void Replica::Core::ReportMismatch(DaemonId leader) {
  this->Send(leader,
             PrepareOk{this->view, this->verified, this->seen_round, false});
}

void Replica::Core::Acknowledge(bool has_entries, TimePoint now) {
  this->FlushAndSend(now);
  if (this->SyncedInView() < this->verified) {
    this->acknowledgement_pending = true;
  }
  // New entries are acknowledged once they are synced. A heartbeat is
  // acknowledged immediately, unless the disk has stalled: the leader must then
  // stop counting this voter.
  const bool wait_for_sync = has_entries && this->acknowledgement_pending;
  if (!wait_for_sync && !this->StorageStalled(now)) {
    this->SendAcknowledgement();
  }
}

void Replica::Core::SendAcknowledgement() {
  this->Send(
      this->LeaderOf(this->view),
      PrepareOk{this->view, this->SyncedInView(), this->seen_round, true});
}

bool Replica::Core::StorageStalled(TimePoint now) const {
  return now - this->durable.WaitingSince(now) >
         this->config.timing.storage_stall;
}

LogIndex Replica::Core::SyncedInView() const {
  const LogIndex synced = std::min(this->durable.End(), this->verified);
  if (this->durable.LastNormalView() == this->view) {
    return synced;
  }
  // Until this voter's normal status in the view is synced, the leader must not
  // count its copy of the log from the start of the view.
  return this->view_start == 0 ? 0 : std::min(synced, this->view_start - 1);
}

void Replica::Core::On(DaemonId from, const PrepareOk& m, TimePoint now) {
  if (m.view > this->view) {
    this->EnterViewChange(m.view, now);
    return;
  }
  if (m.view < this->view || !this->leading) {
    return;
  }
  VoterProgress& voter = this->progress[from];
  voter.last_heard = now;
  voter.acked_round = std::max(voter.acked_round, m.round);
  if (!m.matched) {
    this->Resend(from, m.synced, now);
    return;
  }
  voter.match = std::max(voter.match, std::min(m.synced, this->log.End()));
  voter.next = std::max(voter.next, voter.match + 1);
  this->SendEntries(from, voter);
}

void Replica::Core::Resend(DaemonId to, LogIndex synced, TimePoint now) {
  VoterProgress& voter = this->progress[to];
  voter.next = std::min(synced, this->log.End()) + 1;
  if (voter.next > this->log.Base()) {
    this->SendEntries(to, voter);
    return;
  }
  if (now >= voter.next_snapshot) {
    voter.next_snapshot = now + 10 * this->config.timing.heartbeat_interval;
    this->SendSnapshotParts(to, 0, 0, 1, now);
  }
}

void Replica::Core::SendEntries(DaemonId to, VoterProgress& voter) {
  const LogIndex acknowledged = std::min(voter.match, voter.next - 1);
  while (voter.next > this->log.Base() && voter.next <= this->sendable_end &&
         this->log.BytesBetween(acknowledged, voter.next - 1) <
             this->config.limits.in_flight_bytes) {
    Prepare message = this->MakePrepare(voter);
    message.entries = this->log.Slice(voter.next, this->sendable_end,
                                      this->config.limits.message_bytes);
    voter.next = message.entries.back().index + 1;
    this->Send(to, std::move(message));
  }
}

void Replica::Core::SendNewEntries() {
  ++this->round;
  for (auto& [voter, voter_progress] : this->progress) {
    this->SendEntries(voter, voter_progress);
  }
}

void Replica::Core::Heartbeat(TimePoint now) {
  if (!this->leading || now < this->next_heartbeat) {
    return;
  }
  this->next_heartbeat = now + this->config.timing.heartbeat_interval;
  ++this->round;
  this->rounds_sent.emplace_back(this->round, now);
  if (this->rounds_sent.size() > kMaxRoundsSent) {
    this->rounds_sent.pop_front();
  }
  for (const auto& [voter, voter_progress] : this->progress) {
    this->Send(voter, this->MakePrepare(voter_progress));
  }
}

bool Replica::Core::HasAuthority(TimePoint now) const {
  if (!this->leading || this->commit < this->view_start) {
    return false;
  }
  std::vector<std::uint64_t> rounds;
  for (const auto& [voter, voter_progress] : this->progress) {
    if (this->CountsTowardQuorum(voter)) {
      rounds.push_back(voter_progress.acked_round);
    }
  }
  if (rounds.size() < this->FaultsTolerated() || this->FaultsTolerated() == 0) {
    return this->FaultsTolerated() == 0;
  }
  std::sort(rounds.begin(), rounds.end(), std::greater<>());
  const std::uint64_t acked = rounds[this->FaultsTolerated() - 1];
  // Voters that acknowledged agree to no view change for this long. A tenth is
  // subtracted for the drift between the clocks of two instances.
  const Duration lease_length =
      this->config.timing.view_change_min / 2 * 9 / 10;
  const auto later = std::upper_bound(
      this->rounds_sent.begin(), this->rounds_sent.end(), acked,
      [](std::uint64_t number, const auto& row) { return number < row.first; });
  return later != this->rounds_sent.begin() &&
         now < std::prev(later)->second + lease_length;
}

void Replica::Core::Resign(TimePoint now) {
  if (this->leading) {
    this->StepDown(now);
  }
}

Prepare Replica::Core::MakePrepare(const VoterProgress& voter) const {
  Prepare message;
  message.view = this->view;
  message.previous_index = std::max(voter.next - 1, this->log.Base());
  message.previous_view = *this->log.ViewAt(message.previous_index);
  message.commit = this->commit;
  message.view_start = this->view_start;
  message.round = this->round;
  return message;
}

void Replica::Core::AdvanceCommit(TimePoint now) {
  std::vector<LogIndex> synced{this->SyncedInView()};
  for (const auto& [voter, voter_progress] : this->progress) {
    if (this->CountsTowardQuorum(voter)) {
      synced.push_back(voter_progress.match);
    }
  }
  if (synced.size() <= this->FaultsTolerated()) {
    return;
  }
  std::sort(synced.begin(), synced.end(), std::greater<>());
  const LogIndex candidate = synced[this->FaultsTolerated()];
  // An index before the start of the view isn't committed by counting copies,
  // because a later view change can still replace those entries.
  if (candidate > this->commit && candidate >= this->view_start) {
    this->CommitTo(candidate, now);
    this->StreamToFollowers();
    // Sends the new commit index now. A voter that waits for its own command to
    // be applied would otherwise wait for the next heartbeat.
    this->next_heartbeat = now;
    this->Heartbeat(now);
  }
}

void Replica::Core::CheckQuorum(TimePoint now) {
  std::size_t heard = 0;
  for (const auto& [voter, voter_progress] : this->progress) {
    if (this->CountsTowardQuorum(voter) &&
        now - voter_progress.last_heard < this->leader_timeout) {
      ++heard;
    }
  }
  if (heard < this->FaultsTolerated() || this->StorageStalled(now)) {
    this->StepDown(now);
  }
}

void Replica::Core::StepDown(TimePoint now) {
  this->leading = false;
  this->grants.clear();
  this->followers.clear();
  this->progress.clear();
  this->SuspectLeader(now);
}

}  // namespace mimosastage
