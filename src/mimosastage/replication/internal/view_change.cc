#include <algorithm>
#include <tuple>
#include <utility>

#include "mimosastage/replication/internal/replica_core.h"

namespace mimosastage {

Duration Replica::Core::DrawTimeout() {
  const ReplicationTiming& timing = this->config.timing;
  std::uniform_int_distribution<Duration::rep> jitter(
      timing.view_change_min.count(), timing.view_change_max.count());
  Duration timeout(jitter(this->random));
  for (unsigned i = 1; i < this->failed_view_changes; ++i) {
    timeout = std::min(timeout * 2, timing.view_change_cap);
  }
  return timeout;
}

Duration Replica::Core::SilenceOfLeader(TimePoint now) const {
  return now - this->leader_heard;
}

void Replica::Core::CheckLeader(TimePoint now) {
  if (!this->IsVoter(this->config.self)) {
    return;
  }
  if (!this->suspects_leader) {
    if (this->SilenceOfLeader(now) >= this->leader_timeout) {
      this->SuspectLeader(now);
    }
    return;
  }
  if (now >= this->next_repeat) {
    this->next_repeat = now + this->config.timing.heartbeat_interval;
    this->SendToVoters(StartViewChange{this->target_view});
  }
}

void Replica::Core::SuspectLeader(TimePoint now) {
  this->suspects_leader = true;
  this->target_view = this->NextView(this->view);
  this->votes.clear();
  this->next_repeat = now + this->config.timing.heartbeat_interval;
  this->SendToVoters(StartViewChange{this->target_view});
  this->CountVotes(now);
}

void Replica::Core::ClearSuspicion() {
  this->suspects_leader = false;
  this->votes.clear();
}

void Replica::Core::On(DaemonId from, const StartViewChange& m, TimePoint now) {
  if (m.view <= this->view) {
    return;
  }
  if (!this->suspects_leader) {
    // Agrees with a voter whose full timeout has passed after only three missed
    // heartbeats. A voter that still hears the leader doesn't agree.
    const Duration min_silence = this->config.timing.view_change_min / 2;
    if (this->leading || this->SilenceOfLeader(now) < min_silence) {
      return;
    }
    this->SuspectLeader(now);
  }
  this->votes[from] = std::max(this->votes[from], m.view);
  if (m.view > this->target_view) {
    this->target_view = m.view;
    this->SendToVoters(StartViewChange{this->target_view});
  }
  this->CountVotes(now);
}

void Replica::Core::CountVotes(TimePoint now) {
  const auto agreeing = std::count_if(
      this->votes.begin(), this->votes.end(),
      [this](const auto& vote) { return vote.second == this->target_view; });
  if (static_cast<std::size_t>(agreeing) >= this->FaultsTolerated()) {
    this->EnterViewChange(this->target_view, now);
  }
}

void Replica::Core::EnterViewChange(ViewNumber view, TimePoint now) {
  this->view = view;
  this->durable.SetView(view);
  this->status = ReplicaStatus::kViewChange;
  this->verified = this->commit;
  this->leading = false;
  this->grants.clear();
  this->followers.clear();
  this->progress.clear();
  this->fetch.reset();
  this->do_view_changes.clear();
  this->collector.Clear();
  this->acknowledgement_pending = false;
  this->ClearSuspicion();
  ++this->failed_view_changes;
  this->leader_heard = now;
  this->leader_timeout = this->DrawTimeout();
  this->next_do_view_change = now;
}

void Replica::Core::SendDoViewChange(TimePoint now) {
  // The view and every acknowledged entry must be synced first. No entry of an
  // earlier view may be acknowledged afterwards.
  if (this->fetch.has_value() || now < this->next_do_view_change ||
      !this->durable.AllSynced(this->log)) {
    return;
  }
  this->next_do_view_change = now + this->config.timing.heartbeat_interval;
  DoViewChange message;
  message.view = this->view;
  message.last_normal_view = this->last_normal_view;
  message.commit = this->commit;
  message.log_end = this->log.End();
  message.suffix = this->log.Slice(this->commit + 1, this->log.End(),
                                   this->config.limits.message_bytes);
  message.incarnations = this->KnownIncarnations();
  const DaemonId leader = this->LeaderOf(this->view);
  if (leader == this->config.self) {
    this->do_view_changes[leader] = std::move(message);
    this->ChooseLog(now);
  } else {
    this->Send(leader, std::move(message));
  }
}

void Replica::Core::On(DaemonId from, const DoViewChange& m, TimePoint now) {
  if (this->LeaderOf(m.view) != this->config.self || m.view < this->view) {
    return;
  }
  this->UpdateLatestIncarnations(m.incarnations);
  if (m.view > this->view) {
    this->EnterViewChange(m.view, now);
  }
  if (this->status != ReplicaStatus::kViewChange || this->fetch.has_value()) {
    return;
  }
  this->do_view_changes[from] = m;
  this->ChooseLog(now);
}

void Replica::Core::DropOutdatedDoViewChanges() {
  // Drops messages from voters that have lost their disk since: the log in such
  // a message may lack entries that the voter acknowledged after its recovery.
  std::erase_if(this->do_view_changes, [this](const auto& item) {
    const auto& [voter, message] = item;
    for (const auto& [daemon, sent_in] : message.incarnations) {
      if (daemon == voter) {
        return voter != this->config.self &&
               sent_in != this->latest_incarnations[voter];
      }
    }
    return true;
  });
}

void Replica::Core::ChooseLog(TimePoint now) {
  this->DropOutdatedDoViewChanges();
  const DaemonId self = this->config.self;
  if (this->view == this->previously_led_view ||
      !this->do_view_changes.contains(self) ||
      this->do_view_changes.size() <= this->FaultsTolerated()) {
    return;
  }
  const auto rank = [&](const auto& item) {
    const auto& [voter, message] = item;
    return std::make_tuple(message.last_normal_view, message.log_end,
                           voter == self);
  };
  const auto best = std::max_element(
      this->do_view_changes.begin(), this->do_view_changes.end(),
      [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
  if (best->first == self) {
    this->BecomeLeader(now);
    return;
  }
  this->fetch.emplace(best->first, best->second.log_end);
  this->verified = this->commit;
  const std::vector<LogEntry> suffix = best->second.suffix;
  this->MergeEntries(suffix);
  this->FinishFetch(now);
}

void Replica::Core::FinishFetch(TimePoint now) {
  const auto [source, log_end] = *this->fetch;
  if (this->verified < log_end) {
    this->RequestState(source, now);
    return;
  }
  this->TruncateFrom(log_end + 1);
  this->BecomeLeader(now);
}

void Replica::Core::BecomeLeader(TimePoint now) {
  LogIndex committed = this->commit;
  for (const auto& [voter, message] : this->do_view_changes) {
    committed = std::max(committed, message.commit);
  }
  this->fetch.reset();
  this->do_view_changes.clear();
  this->collector.Clear();
  this->ClearSuspicion();
  this->failed_view_changes = 0;
  this->leader_timeout = this->DrawTimeout();
  this->status = ReplicaStatus::kNormal;
  this->last_normal_view = this->view;
  this->durable.SetLastNormalView(this->view);
  this->view_start = this->log.End();
  this->verified = this->log.End();
  this->sendable_end = this->log.End();
  this->leading = true;
  this->rounds_sent.clear();
  this->progress.clear();
  for (const DaemonId voter : this->voters) {
    if (voter != this->config.self && voter != kNoVoter) {
      this->progress[voter] =
          VoterProgress{this->log.End() + 1, 0, 0, now, now};
    }
  }
  this->CommitTo(committed, now);
  this->next_heartbeat = now + this->config.timing.heartbeat_interval;
  this->SendToVoters(
      StartView{this->view, this->commit, this->view_start,
                this->log.Slice(this->commit + 1, this->view_start,
                                this->config.limits.message_bytes)});
  this->AnnounceLeadership();
}

void Replica::Core::On(DaemonId from, const StartView& m, TimePoint now) {
  if (this->LeaderOf(m.view) != from || m.view < this->view) {
    return;
  }
  if (m.view == this->view && this->status != ReplicaStatus::kViewChange) {
    return;
  }
  this->EnterView(m.view, m.log_end, now);
  if (this->commit >= m.commit) {
    this->MergeEntries(m.suffix);
  }
  this->CommitTo(m.commit, now);
  this->BecomeNormalIfComplete();
  if (this->status == ReplicaStatus::kNormal) {
    this->Acknowledge(true, now);
  } else {
    this->ReportMismatch(from);
  }
}

}  // namespace mimosastage
