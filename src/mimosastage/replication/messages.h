#ifndef MIMOSASTAGE_REPLICATION_MESSAGES_H_
#define MIMOSASTAGE_REPLICATION_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "mimosastage/base/names.h"

namespace mimosastage {

/// Position in the replicated log; the first entry has index 1.
using LogIndex = std::uint64_t;
/// Number of a view; its leader is voter (view mod number of voters).
using ViewNumber = std::uint64_t;

struct LogEntry {
  LogIndex index = 0;
  /// View in which the entry was proposed.
  ViewNumber view = 0;
  /// An encoded command; the log doesn't look inside.
  std::string command;

  bool operator==(const LogEntry&) const = default;
};

/// Leader to voters: new entries after `previous_index`, and the commit index.
/// Without entries it is the heartbeat. `round` numbers the leader's sends for
/// lease rounds.
struct Prepare {
  ViewNumber view = 0;
  LogIndex previous_index = 0;
  ViewNumber previous_view = 0;
  LogIndex commit = 0;
  /// End of the log that the view began with. A voter is normal in the view
  /// once its own log agrees with the leader's up to here.
  LogIndex view_start = 0;
  std::uint64_t round = 0;
  std::vector<LogEntry> entries;
};

/// Voter to leader: all entries up to `synced` are on the voter's disk.
struct PrepareOk {
  ViewNumber view = 0;
  LogIndex synced = 0;
  std::uint64_t round = 0;
  /// False if the voter lacks `previous_index`; it then needs entries from
  /// `synced` + 1 on.
  bool matched = true;
};

/// Says that the sender misses the leader and would move to `view`. It binds
/// the sender to nothing, so that a voter that was partitioned doesn't disturb
/// the others when it returns.
struct StartViewChange {
  ViewNumber view = 0;
};

/// Sent once f + 1 voters would move to `view`, after the view is on the disk.
/// Carries the end of the log only; the new leader fetches what it lacks.
struct DoViewChange {
  ViewNumber view = 0;
  ViewNumber last_normal_view = 0;
  LogIndex commit = 0;
  LogIndex log_end = 0;
  /// Entries after `commit`, as many as one message holds.
  std::vector<LogEntry> suffix;
  /// Incarnations that the sender knows, its own included. A message that a
  /// voter sent before it lost its disk isn't counted with one that knows the
  /// voter's later start.
  std::vector<std::pair<DaemonId, std::uint64_t>> incarnations;
};

struct StartView {
  ViewNumber view = 0;
  LogIndex commit = 0;
  LogIndex log_end = 0;
  /// Entries after `commit`, as many as one message holds.
  std::vector<LogEntry> suffix;
};

/// Sent by a voter that may have forgotten its votes.
struct Recovery {
  std::uint64_t nonce = 0;
  /// Incarnation of the sender; see RecoveryResponse.
  std::uint64_t incarnation = 0;
  /// False if the sender's disk is lost or old.
  bool disk_intact = false;
  /// The sender's starts as its disk knows them: the last confirmed one and
  /// all later ones, this one included.
  std::vector<std::uint64_t> starts;
};

struct RecoveryResponse {
  std::uint64_t nonce = 0;
  ViewNumber view = 0;
  /// False while the answering voter itself recovers or changes view.
  bool normal = false;
  /// The asking voter's incarnation that the answering one has recorded. If it
  /// isn't the one asked with, then the answering voter knows of a start that
  /// the asking one's disk doesn't: that disk is lost or an old copy.
  std::uint64_t known_incarnation = 0;
  /// Set by the leader of `view` only.
  LogIndex commit = 0;
  LogIndex log_end = 0;
  /// All incarnations that the answering voter knows, its own included.
  std::vector<std::pair<DaemonId, std::uint64_t>> incarnations;
};

/// Asks for entries from `first` on, or for the next part of a snapshot if
/// they are gone.
struct GetState {
  ViewNumber view = 0;
  LogIndex first = 0;
  /// The asking daemon holds this many bytes of the snapshot that covers the
  /// log up to `snapshot_index`.
  LogIndex snapshot_index = 0;
  std::uint64_t snapshot_offset = 0;
};

struct NewState {
  ViewNumber view = 0;
  LogIndex commit = 0;
  std::vector<LogEntry> entries;
};

/// One part of a snapshot that covers the log up to `last_index`.
struct SnapshotPart {
  ViewNumber view = 0;
  LogIndex last_index = 0;
  ViewNumber last_view = 0;
  std::uint64_t offset = 0;
  std::uint64_t total_size = 0;
  std::string bytes;
};

/// Leader to followers: committed entries. Without entries it tells the
/// follower the leader and the commit index.
struct StreamEntries {
  ViewNumber view = 0;
  LogIndex commit = 0;
  std::vector<LogEntry> entries;
};

/// Daemon to leader: asks for a serving lease. `number` matches the grant to
/// the time that the daemon noted before it sent the request.
struct LeaseRequest {
  std::uint64_t number = 0;
  SessionId session{};
  LogIndex applied = 0;
};

struct LeaseGrant {
  std::uint64_t number = 0;
  ViewNumber view = 0;
  /// The lease counts once this index is applied.
  LogIndex commit = 0;
};

using ReplicationMessage =
    std::variant<Prepare, PrepareOk, StartViewChange, DoViewChange, StartView,
                 Recovery, RecoveryResponse, GetState, NewState, SnapshotPart,
                 StreamEntries, LeaseRequest, LeaseGrant>;

}  // namespace mimosastage

#endif  // MIMOSASTAGE_REPLICATION_MESSAGES_H_
