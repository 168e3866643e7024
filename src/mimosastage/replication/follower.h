#ifndef MIMOSASTAGE_REPLICATION_FOLLOWER_H_
#define MIMOSASTAGE_REPLICATION_FOLLOWER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "mimosastage/base/names.h"
#include "mimosastage/base/time.h"
#include "mimosastage/replication/messages.h"

namespace mimosastage {

struct FollowerConfig {
  /// In the order of ReplicaConfig::voters.
  std::vector<DaemonId> voters;
  /// After this long without a message from the leader, the leader counts as
  /// unknown and LeaseTarget cycles through the voters.
  Duration leader_silence = std::chrono::seconds(1);
  /// Interval after which an unanswered GetState is sent again.
  Duration retry_interval = std::chrono::milliseconds(200);
};

/// Applies the committed log on a daemon without a disk. It starts empty and
/// receives a snapshot if the leader has already discarded the first entries.
/// Not thread-safe.
class Follower {
 public:
  struct Hooks {
    std::function<void(DaemonId to, ReplicationMessage message)> send;
    /// Called once for each committed command, in log order.
    std::function<void(LogIndex index, const std::string& command)> apply;
    std::function<void(const std::string& snapshot)> install_snapshot;
  };

  Follower(FollowerConfig config, Hooks hooks);
  ~Follower();
  Follower(const Follower&) = delete;
  Follower& operator=(const Follower&) = delete;

  /// Processes StreamEntries, SnapshotPart and LeaseGrant; ignores all other
  /// messages.
  void Handle(DaemonId from, const ReplicationMessage& message, TimePoint now);
  /// Must be called at least every 100 ms.
  void Tick(TimePoint now);

  LogIndex Applied() const;
  ViewNumber View() const;
  /// std::nullopt if the leader is unknown or has been silent for
  /// FollowerConfig::leader_silence.
  std::optional<DaemonId> Leader(TimePoint now) const;
  /// Recipient of the next LeaseRequest: the leader or, while it is unknown,
  /// each voter in turn. A voter that isn't the leader replies with its view,
  /// which identifies the leader.
  DaemonId LeaseTarget(TimePoint now);

 private:
  class Core;
  std::unique_ptr<Core> core;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_REPLICATION_FOLLOWER_H_
