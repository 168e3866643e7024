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
  /// Without a message from the leader for this long, LeaseTarget goes through
  /// the voters.
  Duration leader_silence = std::chrono::seconds(1);
  /// An unanswered GetState is repeated after this.
  Duration retry_interval = std::chrono::milliseconds(200);
};

/// Follows the committed log on a daemon without a disk. It starts empty and
/// receives a snapshot if the log no longer reaches back. Not thread-safe.
class Follower {
 public:
  struct Hooks {
    std::function<void(DaemonId to, ReplicationMessage message)> send;
    /// Called once for each committed command, in the order of the log.
    std::function<void(LogIndex index, const std::string& command)> apply;
    std::function<void(const std::string& snapshot)> install_snapshot;
  };

  Follower(FollowerConfig config, Hooks hooks);
  ~Follower();
  Follower(const Follower&) = delete;
  Follower& operator=(const Follower&) = delete;

  /// Takes StreamEntries, SnapshotPart and LeaseGrant; ignores the rest.
  void Handle(DaemonId from, const ReplicationMessage& message, TimePoint now);
  /// To be called every 100 ms or more often.
  void Tick(TimePoint now);

  LogIndex Applied() const;
  ViewNumber View() const;
  /// Nothing if the leader is unknown or silent.
  std::optional<DaemonId> Leader(TimePoint now) const;
  /// Where the next LeaseRequest goes: the leader, or the voters in turn while
  /// it is unknown; a voter that doesn't lead answers who does.
  DaemonId LeaseTarget(TimePoint now);

 private:
  class Core;
  std::unique_ptr<Core> core;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_REPLICATION_FOLLOWER_H_
