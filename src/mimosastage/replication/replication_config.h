#ifndef MIMOSASTAGE_REPLICATION_REPLICATION_CONFIG_H_
#define MIMOSASTAGE_REPLICATION_REPLICATION_CONFIG_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "mimosastage/base/names.h"
#include "mimosastage/base/time.h"

namespace mimosastage {

struct ReplicationTiming {
  /// Interval at which the leader sends to each voter. Unanswered messages of a
  /// view change or a recovery are also sent again at this interval.
  Duration heartbeat_interval = std::chrono::milliseconds(100);
  /// Bounds of the randomized timeout after which a voter that hasn't heard the
  /// leader requests a view change, and a leader without a quorum steps down.
  Duration view_change_min = std::chrono::milliseconds(600);
  Duration view_change_max = std::chrono::milliseconds(900);
  /// Upper bound of that timeout, which doubles with each failed view change.
  Duration view_change_cap = std::chrono::seconds(5);
  /// If a sync takes longer than this, a voter stops acknowledging, and a
  /// leader steps down.
  Duration storage_stall = std::chrono::milliseconds(1500);
  /// Interval at which a voter takes a new incarnation. An old copy of its disk
  /// is detected if it was made before the latest incarnation.
  Duration incarnation_renewal = std::chrono::minutes(10);
};

struct ReplicationLimits {
  /// A snapshot is taken after this many log entries or bytes of commands.
  std::size_t snapshot_entries = 1024;
  std::size_t snapshot_bytes = 4U << 20U;
  /// Bytes of commands in one message. A longer command is sent alone.
  std::size_t message_bytes = 256U << 10U;
  std::size_t snapshot_part_bytes = 64U << 10U;
  /// Bytes of commands sent to one daemon and not yet acknowledged.
  std::size_t in_flight_bytes = 1U << 20U;
  /// Proposed and not yet committed. Beyond these limits, proposals fail with
  /// kTooManyPending.
  std::size_t pending_entries = 4096;
  std::size_t pending_bytes = 32U << 20U;
  /// Longer commands are refused with kCommandTooLong. A command must fit into
  /// a message between daemons (Links::kMaxMessageBytes, 16 MiB). The largest
  /// request body of an operator, 4 MiB, makes a command of at most 12 MiB.
  std::size_t command_bytes = 15U << 20U;
};

struct ReplicaConfig {
  DaemonId self{};
  /// 3 or 5 voters, or 1 without fault tolerance. The leader of view v is
  /// voters[v mod size].
  std::vector<DaemonId> voters;
  /// Daemons that aren't voters. A new leader announces itself to them.
  std::vector<DaemonId> followers;
  /// Seed for jitter and nonces.
  std::uint64_t seed = 0;
  ReplicationTiming timing;
  ReplicationLimits limits;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_REPLICATION_REPLICATION_CONFIG_H_
