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
  /// The leader sends to each voter at least this often; unanswered messages
  /// of a view change and of a recovery are repeated at this interval.
  Duration heartbeat_interval = std::chrono::milliseconds(100);
  /// A voter that hasn't heard the leader for a time drawn between the two
  /// asks for a view change; a leader without a quorum for as long steps down.
  Duration view_change_min = std::chrono::milliseconds(600);
  Duration view_change_max = std::chrono::milliseconds(900);
  /// The timeout doubles with each failed view change, up to this.
  Duration view_change_cap = std::chrono::seconds(5);
  /// A voter whose disk takes longer to sync stops answering the leader; a
  /// leader steps down.
  Duration storage_stall = std::chrono::milliseconds(1500);
  /// A voter takes a new incarnation this often. An old copy of its disk is
  /// noticed if the copy was made before the latest one.
  Duration incarnation_renewal = std::chrono::minutes(10);
};

struct ReplicationLimits {
  /// A snapshot is taken after this many entries or bytes of log.
  std::size_t snapshot_entries = 1024;
  std::size_t snapshot_bytes = 4U << 20U;
  /// Commands in one message; a longer single command is sent alone.
  std::size_t message_bytes = 256U << 10U;
  std::size_t snapshot_part_bytes = 64U << 10U;
  /// Sent to one daemon and not acknowledged.
  std::size_t in_flight_bytes = 1U << 20U;
  /// Proposed and not committed; more is refused with kTooManyPending.
  std::size_t pending_entries = 4096;
  std::size_t pending_bytes = 8U << 20U;
  /// A longer command is refused with kCommandTooLong; it must fit a frame of
  /// 1 MiB.
  std::size_t command_bytes = 768U << 10U;
};

struct ReplicaConfig {
  DaemonId self{};
  /// 3 or 5 voters (or 1, which tolerates no fault); the leader of view v is
  /// voters[v mod size].
  std::vector<DaemonId> voters;
  /// Daemons that aren't voters. A new leader makes itself known to them.
  std::vector<DaemonId> followers;
  /// Source of jitter and nonces.
  std::uint64_t seed = 0;
  ReplicationTiming timing;
  ReplicationLimits limits;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_REPLICATION_REPLICATION_CONFIG_H_
