#include <algorithm>
#include <utility>

#include "mimosastage/replication/internal/replica_core.h"

namespace mimosastage {

void Replica::Core::BeginRecovery(TimePoint now) {
  this->status = ReplicaStatus::kRecovering;
  this->leading = false;
  this->ClearSuspicion();
  this->grants.clear();
  this->followers.clear();
  this->fetch.reset();
  this->do_view_changes.clear();
  this->collector.Clear();
  this->recovery_source.reset();
  this->recovery_responses.clear();
  this->acknowledgement_pending = false;
  this->next_incarnation.reset();
  this->next_renewal = now + this->config.timing.incarnation_renewal;
  this->ResetConfirmations();
  if (!this->disk_intact) {
    // Uncommitted entries may differ from the log of the group.
    this->TruncateFrom(this->commit + 1);
    this->verified = this->commit;
  }
  this->SendRecovery(now);
  this->CheckConfirmation(now);
}

void Replica::Core::ResetConfirmations() {
  this->nonce = this->random();
  for (const DaemonId voter : this->voters) {
    if (voter != this->config.self && voter != kNoVoter) {
      this->unconfirmed.insert(voter);
    }
  }
}

void Replica::Core::RenewIncarnation(TimePoint now) {
  if (now < this->next_renewal || this->status != ReplicaStatus::kNormal ||
      this->next_incarnation.has_value()) {
    return;
  }
  this->next_renewal = now + this->config.timing.incarnation_renewal;
  this->next_incarnation = MakeIncarnation(
      IncarnationCounter(this->incarnation) + 1, this->random());
  this->durable.SetIncarnation(this->config.self, *this->next_incarnation);
}

void Replica::Core::AdoptNextIncarnation(TimePoint now) {
  // The new incarnation must be synced before the others record it. Otherwise a
  // crash would make this voter's disk look like an old copy.
  if (!this->next_incarnation.has_value() ||
      this->durable.KnownIncarnation(this->config.self) !=
          *this->next_incarnation) {
    return;
  }
  this->incarnation = *std::exchange(this->next_incarnation, std::nullopt);
  this->starts = {this->incarnation};
  this->ResetConfirmations();
  this->SendRecovery(now);
}

void Replica::Core::SendRecovery(TimePoint now) {
  const Duration interval = this->config.timing.heartbeat_interval;
  const bool recovering = this->status == ReplicaStatus::kRecovering;
  this->next_recovery = now + (recovering ? interval : 10 * interval);
  const Recovery message{this->nonce, this->incarnation, this->disk_intact,
                         this->starts};
  for (const DaemonId voter : this->voters) {
    const bool ask =
        this->unconfirmed.contains(voter) || (recovering && !this->disk_intact);
    if (ask && voter != this->config.self) {
      this->Send(voter, message);
    }
  }
}

void Replica::Core::CheckRecovery(TimePoint now) {
  this->RenewIncarnation(now);
  if (this->recovery_source.has_value() &&
      now - this->recovery_source_heard >
          2 * this->config.timing.view_change_max) {
    this->BeginRecovery(now);
  }
  if (now >= this->next_recovery && !this->recovery_source.has_value()) {
    this->SendRecovery(now);
  }
}

void Replica::Core::On(DaemonId from, const Recovery& m, TimePoint /*now*/) {
  // A voter that lost its disk doesn't know which incarnations it has recorded.
  if (!this->disk_intact) {
    return;
  }
  this->RecordStart(from, m);
  if (!m.disk_intact && this->leading) {
    // The entries that the voter acknowledged earlier are lost with its disk.
    this->progress[from].match = 0;
  }
  this->pending_recoveries[from] = m;
}

void Replica::Core::SendRecoveryResponses() {
  for (auto next = this->pending_recoveries.begin();
       next != this->pending_recoveries.end();) {
    const auto& [voter, request] = *next;
    const Incarnation known = this->known_incarnations[voter];
    // The response confirms that the incarnation is recorded, so it must wait
    // until the record is synced.
    if (this->durable.KnownIncarnation(voter) != known) {
      ++next;
      continue;
    }
    RecoveryResponse response;
    response.nonce = request.nonce;
    response.view = this->view;
    response.normal =
        this->status == ReplicaStatus::kNormal &&
        (this->leading || this->LeaderOf(this->view) != this->config.self);
    response.known_incarnation = known;
    response.incarnations = this->KnownIncarnations();
    if (this->leading) {
      response.commit = this->commit;
      response.log_end = this->log.End();
    }
    this->Send(voter, std::move(response));
    next = this->pending_recoveries.erase(next);
  }
}

void Replica::Core::On(DaemonId from, const RecoveryResponse& m,
                       TimePoint now) {
  if (m.nonce != this->nonce) {
    return;
  }
  if (m.known_incarnation != this->incarnation) {
    this->MarkDiskLost(m.known_incarnation, now);
    return;
  }
  this->UpdateLatestIncarnations(m.incarnations);
  this->unconfirmed.erase(from);
  if (this->status != ReplicaStatus::kRecovering) {
    return;
  }
  if (!this->disk_intact) {
    // The incarnations that this voter had recorded were lost with its disk.
    for (const auto& [voter, known] : m.incarnations) {
      this->RecordIncarnation(voter, known);
    }
    this->recovery_responses[from] = m;
    this->ChooseRecoverySource(now);
    return;
  }
  this->CheckConfirmation(now);
}

void Replica::Core::CheckConfirmation(TimePoint now) {
  const auto confirmed = std::count_if(
      this->voters.begin(), this->voters.end(), [this](DaemonId voter) {
        return voter != this->config.self && voter != kNoVoter &&
               !this->unconfirmed.contains(voter);
      });
  if (this->disk_intact &&
      static_cast<std::size_t>(confirmed) >= this->FaultsTolerated()) {
    this->FinishConfirmation(now);
  }
}

void Replica::Core::FinishConfirmation(TimePoint now) {
  this->starts = {this->incarnation};
  this->durable.SetIncarnation(this->config.self, this->incarnation);
  if (this->view == this->last_normal_view) {
    this->status = ReplicaStatus::kNormal;
    this->verified = this->log.End();
    this->leader_heard = now;
    this->leader_timeout = this->DrawTimeout();
  } else {
    this->EnterViewChange(this->view, now);
  }
  // After a restart, the leader of the view can neither continue nor start the
  // view: it may have sent entries that its own disk lacks, and would assign
  // their indexes to other entries.
  if (this->LeaderOf(this->view) == this->config.self) {
    this->previously_led_view = this->view;
    this->SuspectLeader(now);
  }
}

void Replica::Core::MarkDiskLost(Incarnation known, TimePoint now) {
  this->disk_intact = false;
  this->durable.SetIntact(false);
  const std::uint64_t latest = std::max(IncarnationCounter(known),
                                        IncarnationCounter(this->incarnation));
  this->incarnation = MakeIncarnation(latest + 1, this->random());
  this->starts = {this->incarnation};
  this->durable.SetIncarnation(this->config.self, this->incarnation);
  this->BeginRecovery(now);
}

void Replica::Core::ChooseRecoverySource(TimePoint now) {
  if (this->recovery_source.has_value()) {
    return;
  }
  std::size_t normal = 0;
  ViewNumber newest = 0;
  for (const auto& [voter, response] : this->recovery_responses) {
    if (response.normal) {
      ++normal;
      newest = std::max(newest, response.view);
    }
  }
  const DaemonId leader = this->LeaderOf(newest);
  const auto found = this->recovery_responses.find(leader);
  if (normal <= this->FaultsTolerated() ||
      found == this->recovery_responses.end() || !found->second.normal ||
      found->second.view != newest) {
    return;
  }
  this->recovery_source = RecoverySource{leader, newest, found->second.log_end};
  this->recovery_source_heard = now;
  this->FinishRecovery(now);
}

void Replica::Core::FinishRecovery(TimePoint now) {
  if (this->verified < this->recovery_source->log_end) {
    this->RequestState(this->recovery_source->leader, now);
    return;
  }
  this->TruncateFrom(this->verified + 1);
  this->view = this->recovery_source->view;
  this->view_start = this->verified;
  this->last_normal_view = this->view;
  this->status = ReplicaStatus::kNormal;
  this->recovery_source.reset();
  this->recovery_responses.clear();
  this->disk_intact = true;
  this->durable.SetIncarnation(this->config.self, this->incarnation);
  this->durable.SetView(this->view);
  this->durable.SetLastNormalView(this->view);
  this->durable.SetIntact(true);
  this->seen_round = 0;
  this->failed_view_changes = 0;
  this->leader_heard = now;
  this->leader_timeout = this->DrawTimeout();
}

void Replica::Core::RecordStart(DaemonId voter, const Recovery& m) {
  const Incarnation known = this->known_incarnations[voter];
  const bool in_history =
      std::find(m.starts.begin(), m.starts.end(), known) != m.starts.end();
  const bool before_history =
      !m.starts.empty() &&
      IncarnationCounter(known) < IncarnationCounter(m.starts.front());
  if (in_history || before_history) {
    this->RecordIncarnation(voter, m.incarnation);
  }
}

void Replica::Core::RecordIncarnation(DaemonId voter, Incarnation incarnation) {
  if (voter == this->config.self || !this->IsVoter(voter)) {
    return;
  }
  Incarnation& known = this->known_incarnations[voter];
  if (IncarnationCounter(incarnation) > IncarnationCounter(known)) {
    known = incarnation;
    this->durable.SetIncarnation(voter, incarnation);
    this->UpdateLatestIncarnations({{voter, incarnation}});
  }
}

void Replica::Core::UpdateLatestIncarnations(
    const std::vector<std::pair<DaemonId, Incarnation>>& incarnations) {
  for (const auto& [voter, incarnation] : incarnations) {
    Incarnation& latest = this->latest_incarnations[voter];
    if (IncarnationCounter(incarnation) > IncarnationCounter(latest)) {
      latest = incarnation;
    }
  }
}

std::vector<std::pair<DaemonId, Incarnation>> Replica::Core::KnownIncarnations()
    const {
  std::vector<std::pair<DaemonId, Incarnation>> known;
  for (const auto& [voter, number] : this->known_incarnations) {
    if (voter != this->config.self && number != 0) {
      known.emplace_back(voter, number);
    }
  }
  // An unconfirmed incarnation may come from an old copy of the disk.
  if (this->status != ReplicaStatus::kRecovering) {
    known.emplace_back(this->config.self, this->incarnation);
  }
  return known;
}

}  // namespace mimosastage
