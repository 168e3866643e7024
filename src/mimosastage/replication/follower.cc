#include "mimosastage/replication/follower.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "mimosastage/replication/internal/snapshot_transfer.h"
#include "mimosastage/replication/membership.h"

namespace mimosastage {

class Follower::Core {
 public:
  Core(FollowerConfig config, Hooks hooks)
      : config(std::move(config)), hooks(std::move(hooks)) {}

  void On(DaemonId /*from*/, const StreamEntries& m, TimePoint now) {
    this->RecordLeaderContact(m.view, m.commit, now);
    bool progress = false;
    for (const LogEntry& entry : m.entries) {
      if (entry.index == this->applied + 1) {
        this->applied = entry.index;
        if (!DecodeMembership(entry.command).has_value()) {
          this->hooks.apply(entry.index, entry.command);
        }
        this->last_progress = now;
        progress = true;
      }
    }
    this->RequestMissing(progress, now);
  }

  void On(DaemonId /*from*/, const SnapshotPart& part, TimePoint now) {
    this->RecordLeaderContact(part.view, part.last_index, now);
    if (part.last_index <= this->applied) {
      return;
    }
    auto complete = this->collector.Add(part, now);
    this->last_progress = now;
    if (complete.has_value()) {
      this->applied = complete->index;
      this->hooks.install_snapshot(
          std::string(UnwrapSnapshot(complete->bytes).state));
    }
    this->RequestMissing(this->collector.BatchDone(), now);
  }

  void On(DaemonId /*from*/, const LeaseGrant& m, TimePoint now) {
    this->RecordLeaderContact(m.view, m.commit, now);
  }

  template <class Other>
  void On(DaemonId /*from*/, const Other& /*m*/, TimePoint /*now*/) {}

  void RequestMissing(bool at_once, TimePoint now) {
    const bool retry =
        now - this->last_request >= this->config.retry_interval &&
        now - this->last_progress >= this->config.retry_interval;
    if (this->applied >= this->known_commit || !(at_once || retry) ||
        !this->Leader(now).has_value()) {
      return;
    }
    this->last_request = now;
    this->collector.RecordRequest(internal::kPartsPerRequest * kPartBytes);
    this->hooks.send(
        this->LeaderOfView(),
        GetState{this->view, this->applied + 1, this->collector.Index(),
                 this->collector.Received()});
  }

  std::optional<DaemonId> Leader(TimePoint now) const {
    if (!this->leader_last_heard.has_value() ||
        now - *this->leader_last_heard >= this->config.leader_silence) {
      return std::nullopt;
    }
    return this->LeaderOfView();
  }

  DaemonId LeaseTarget(TimePoint now) {
    if (const auto leader = this->Leader(now); leader.has_value()) {
      return *leader;
    }
    return this->config.voters[this->next_voter++ % this->config.voters.size()];
  }

  LogIndex Applied() const { return this->applied; }
  ViewNumber View() const { return this->view; }

 private:
  /// Default of ReplicationLimits::snapshot_part_bytes. If the leader uses
  /// another size, only the number of requests differs.
  static constexpr std::uint64_t kPartBytes = 64U << 10U;

  DaemonId LeaderOfView() const {
    return this->config.voters[this->view % this->config.voters.size()];
  }

  /// A voter that isn't the leader sends a view only while it receives messages
  /// from that view's leader, so its message also shows that the leader is
  /// alive.
  void RecordLeaderContact(ViewNumber view, LogIndex commit, TimePoint now) {
    this->known_commit = std::max(this->known_commit, commit);
    if (view >= this->view) {
      this->view = view;
      this->leader_last_heard = now;
    }
  }

  FollowerConfig config;
  Hooks hooks;
  internal::SnapshotCollector collector;
  LogIndex applied = 0;
  LogIndex known_commit = 0;
  ViewNumber view = 0;
  std::optional<TimePoint> leader_last_heard;
  TimePoint last_request;
  TimePoint last_progress;
  std::size_t next_voter = 0;
};

Follower::Follower(FollowerConfig config, Hooks hooks)
    : core(std::make_unique<Core>(std::move(config), std::move(hooks))) {}

Follower::~Follower() = default;

void Follower::Handle(DaemonId from, const ReplicationMessage& message,
                      TimePoint now) {
  std::visit([&](const auto& m) { this->core->On(from, m, now); }, message);
}

void Follower::Tick(TimePoint now) { this->core->RequestMissing(false, now); }

LogIndex Follower::Applied() const { return this->core->Applied(); }

ViewNumber Follower::View() const { return this->core->View(); }

std::optional<DaemonId> Follower::Leader(TimePoint now) const {
  return this->core->Leader(now);
}

DaemonId Follower::LeaseTarget(TimePoint now) {
  return this->core->LeaseTarget(now);
}

}  // namespace mimosastage
