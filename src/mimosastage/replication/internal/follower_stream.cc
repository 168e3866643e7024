#include <algorithm>
#include <chrono>
#include <functional>
#include <utility>

#include "mimosastage/replication/internal/replica_core.h"

namespace mimosastage {
namespace {

constexpr std::size_t kMaxFollowers = 256;
constexpr std::size_t kMaxGrantsPerDaemon = 4;
constexpr auto kFollowerTimeout = std::chrono::seconds(5);

}  // namespace

void Replica::Core::On(DaemonId from, const LeaseRequest& m, TimePoint now) {
  if (!this->leading) {
    const auto leader = this->Leader();
    if (leader.has_value() && !this->IsVoter(from)) {
      this->Send(from, StreamEntries{this->view, this->commit, {}});
    }
    return;
  }
  const auto waiting = std::count_if(
      this->grants.begin(), this->grants.end(),
      [&](const PendingGrant& grant) { return grant.to == from; });
  if (static_cast<std::size_t>(waiting) < kMaxGrantsPerDaemon) {
    // Only the acknowledgement of a round that begins after now proves that
    // this voter was still the leader after the request was sent.
    this->grants.push_back(PendingGrant{from, m.number, this->round + 1});
  }
  if (!this->IsVoter(from)) {
    this->TrackFollower(from, m, now);
  }
}

void Replica::Core::TrackFollower(DaemonId from, const LeaseRequest& m,
                                  TimePoint now) {
  if (this->followers.size() >= kMaxFollowers &&
      !this->followers.contains(from)) {
    return;
  }
  FollowerProgress& follower = this->followers[from];
  const bool restarted = follower.session != m.session;
  const bool stuck = m.applied <= follower.applied && m.applied < follower.sent;
  if (restarted || stuck) {
    follower.sent = m.applied;
  }
  follower.session = m.session;
  follower.applied = m.applied;
  follower.sent = std::max(follower.sent, m.applied);
  follower.last_heard = now;
  if (follower.sent < this->log.Base()) {
    this->SendSnapshotParts(from, 0, 0, 1, now);
    return;
  }
  this->StreamTo(from, follower);
}

void Replica::Core::ReleaseGrants() {
  // Until the log from the start of the view is committed, commands that were
  // accepted in earlier views can lie beyond the commit index.
  if (this->grants.empty() || this->commit < this->view_start) {
    return;
  }
  // The leader acknowledges each of its own rounds.
  std::vector<std::uint64_t> rounds{this->round};
  for (const auto& [voter, voter_progress] : this->progress) {
    if (this->CountsTowardQuorum(voter)) {
      rounds.push_back(voter_progress.acked_round);
    }
  }
  if (rounds.size() <= this->FaultsTolerated()) {
    return;
  }
  std::sort(rounds.begin(), rounds.end(), std::greater<>());
  const std::uint64_t acknowledged = rounds[this->FaultsTolerated()];
  std::vector<PendingGrant> due;
  std::erase_if(this->grants, [&](const PendingGrant& grant) {
    if (grant.round > acknowledged) {
      return false;
    }
    due.push_back(grant);
    return true;
  });
  for (const PendingGrant& grant : due) {
    this->Send(grant.to, LeaseGrant{grant.number, this->view, this->commit});
  }
}

void Replica::Core::StreamToFollowers() {
  for (auto& [daemon, follower] : this->followers) {
    this->StreamTo(daemon, follower);
  }
}

void Replica::Core::StreamTo(DaemonId to, FollowerProgress& follower) {
  // Sends one message only. A follower that lags further requests the rest.
  const ReplicationLimits& limits = this->config.limits;
  if (follower.sent >= this->log.Base() && follower.sent < this->commit &&
      this->log.BytesBetween(follower.applied, follower.sent) <
          limits.in_flight_bytes) {
    auto entries =
        this->log.Slice(follower.sent + 1, this->commit, limits.message_bytes);
    follower.sent = entries.back().index;
    this->Send(to, StreamEntries{this->view, this->commit, std::move(entries)});
  }
}

void Replica::Core::AnnounceLeadership() {
  for (const DaemonId follower : this->config.followers) {
    this->Send(follower, StreamEntries{this->view, this->commit, {}});
  }
}

void Replica::Core::DropSilentFollowers(TimePoint now) {
  std::erase_if(this->followers, [&](const auto& item) {
    return now - item.second.last_heard > kFollowerTimeout;
  });
}

}  // namespace mimosastage
