#include <algorithm>
#include <utility>

#include "mimosastage/base/daemon_id.h"
#include "mimosastage/replication/internal/replica_core.h"
#include "mimosastage/replication/replication_error.h"

namespace mimosastage {

void Replica::Core::LoadMembership(const DurableImage& image) {
  this->RestoreMembership(image.snapshot.value_or(""), image.snapshot_index);
  for (const LogEntry& entry : image.entries) {
    this->TrackMembershipEntry(entry);
  }
}

void Replica::Core::ReplaceLegacyIds(DurableImage& image) const {
  std::map<DaemonId, std::vector<DaemonId>> voters_by_legacy_id;
  for (const DaemonId voter : this->voters) {
    if (const auto legacy = LegacyDaemonId(voter); legacy.has_value()) {
      voters_by_legacy_id[*legacy].push_back(voter);
    }
  }
  const std::map<DaemonId, Incarnation> recorded(image.incarnations.begin(),
                                                 image.incarnations.end());
  image.incarnations.clear();
  for (const auto& [daemon, incarnation] : recorded) {
    const auto found = voters_by_legacy_id.find(daemon);
    if (found == voters_by_legacy_id.end()) {
      image.incarnations.emplace_back(daemon, incarnation);
    } else if (found->second.size() == 1 &&
               !recorded.contains(found->second.front())) {
      image.incarnations.emplace_back(found->second.front(), incarnation);
    }
  }
}

std::string Replica::Core::RestoreMembership(const std::string& snapshot,
                                             LogIndex index) {
  UnwrappedSnapshot unwrapped = UnwrapSnapshot(snapshot);
  Membership membership;
  if (unwrapped.membership.has_value()) {
    membership = *std::move(unwrapped.membership);
  } else {
    for (const DaemonId voter : this->config.voters) {
      membership.slots.push_back(Member{voter, "", 0});
    }
  }
  this->memberships.Reset(index, std::move(membership));
  this->UpdateVoters();
  return std::string(unwrapped.state);
}

void Replica::Core::TrackMembershipEntry(const LogEntry& entry) {
  if (auto membership = DecodeMembership(entry.command);
      membership.has_value()) {
    this->memberships.Append(entry.index, *std::move(membership));
    this->UpdateVoters();
  }
}

void Replica::Core::UpdateVoters() {
  const std::vector<DaemonId> before =
      std::exchange(this->voters, this->Members().Voters());
  for (const DaemonId voter : this->voters) {
    const bool known =
        std::find(before.begin(), before.end(), voter) != before.end();
    if (!known && voter != kNoVoter && voter != this->config.self) {
      this->unconfirmed.insert(voter);
    }
  }
  const auto left = [this](const auto& item) {
    return !this->IsVoter(item.first);
  };
  std::erase_if(this->unconfirmed,
                [this](DaemonId voter) { return !this->IsVoter(voter); });
  std::erase_if(this->progress, left);
  std::erase_if(this->votes, left);
  std::erase_if(this->do_view_changes, left);
  std::erase_if(this->recovery_responses, left);
  std::erase_if(this->pending_recoveries, left);
}

void Replica::Core::LearnMembership(Membership committed, TimePoint now) {
  if (committed.version <= this->CommittedMembers().version ||
      committed.slots.size() != this->config.voters.size()) {
    return;
  }
  this->memberships.LearnMembership(std::move(committed));
  this->UpdateVoters();
  if (this->leading && !this->IsVoter(this->config.self)) {
    this->StepDown(now);
  }
}

Result<LogIndex> Replica::Core::ProposeMembership(Membership next,
                                                  TimePoint now) {
  if (!this->leading) {
    return make_error_code(ReplicationError::kNotLeader);
  }
  // The previous change, and the log from the start of the view, must be
  // committed. Otherwise a quorum that lacks them could still exist.
  if (this->commit < this->view_start ||
      this->memberships.LatestIndex() > this->commit) {
    return make_error_code(ReplicationError::kTooManyPending);
  }
  const auto vacant = std::count_if(
      next.slots.begin(), next.slots.end(),
      [](const Member& member) { return member.daemon == kNoVoter; });
  if (!IsValidSuccessor(this->Members(), next) ||
      !next.Contains(this->config.self) ||
      next.slots.size() - static_cast<std::size_t>(vacant) <=
          this->FaultsTolerated()) {
    return make_error_code(ReplicationError::kInvalidMembership);
  }
  const LogIndex index = this->log.End() + 1;
  this->log.Append(LogEntry{index, this->view, EncodeMembership(next)});
  this->verified = index;
  this->memberships.Append(index, std::move(next));
  this->UpdateVoters();
  for (const DaemonId voter : this->voters) {
    if (voter != kNoVoter && voter != this->config.self) {
      this->progress.try_emplace(voter, VoterProgress{index, 0, 0, now, now});
    }
  }
  this->FlushAndSend(now);
  return index;
}

Duration Replica::Core::SilenceOf(DaemonId voter, TimePoint now) const {
  const auto found = this->progress.find(voter);
  return found == this->progress.end() ? Duration::zero()
                                       : now - found->second.last_heard;
}

ViewNumber Replica::Core::NextView(ViewNumber after) const {
  ViewNumber next = after + 1;
  for (std::size_t i = 0;
       i < this->voters.size() && this->LeaderOf(next) == kNoVoter; ++i) {
    ++next;
  }
  return next;
}

}  // namespace mimosastage
