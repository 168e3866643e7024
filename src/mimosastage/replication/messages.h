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

/// Position in the replicated log. The first entry has index 1.
using LogIndex = std::uint64_t;
/// Number of a view; its leader is voter (view mod number of voters).
using ViewNumber = std::uint64_t;

struct LogEntry {
  LogIndex index = 0;
  /// View in which the entry was proposed.
  ViewNumber view = 0;
  /// Encoded command, opaque to the log.
  std::string command;

  bool operator==(const LogEntry&) const = default;
};

/// Leader to voters: new entries after `previous_index`, and the commit index.
/// Without entries it is a heartbeat. `round` numbers the rounds of messages
/// whose acknowledgement by a quorum releases lease grants.
struct Prepare {
  ViewNumber view = 0;
  LogIndex previous_index = 0;
  ViewNumber previous_view = 0;
  LogIndex commit = 0;
  /// Last index of the log at the start of the view. A voter is normal in the
  /// view once its log matches the leader's up to here.
  LogIndex view_start = 0;
  std::uint64_t round = 0;
  std::vector<LogEntry> entries;
};

/// Voter to leader: all entries up to `synced` are synced to the voter's disk.
struct PrepareOk {
  ViewNumber view = 0;
  LogIndex synced = 0;
  std::uint64_t round = 0;
  /// False if the voter's log doesn't match at `previous_index`. It then needs
  /// the entries from `synced` + 1 on.
  bool matched = true;
};

/// The sender has lost contact with the leader and proposes to change to
/// `view`. The sender itself doesn't change its view yet, so that a voter that
/// returns from a partition doesn't disrupt the others.
struct StartViewChange {
  ViewNumber view = 0;
};

/// Sent to the leader of `view` once f + 1 voters agree to change to it, after
/// the view is synced to disk. Carries only the end of the log; the new leader
/// fetches missing entries.
struct DoViewChange {
  ViewNumber view = 0;
  ViewNumber last_normal_view = 0;
  LogIndex commit = 0;
  LogIndex log_end = 0;
  /// Entries after `commit`, as many as fit into one message.
  std::vector<LogEntry> suffix;
  /// Incarnations that the sender knows, including its own. They let the new
  /// leader discard a message that a voter sent before it lost its disk, if
  /// another message shows a later start of that voter.
  std::vector<std::pair<DaemonId, std::uint64_t>> incarnations;
};

/// New leader to voters: the view has begun with the log up to `log_end`.
struct StartView {
  ViewNumber view = 0;
  LogIndex commit = 0;
  LogIndex log_end = 0;
  /// Entries after `commit`, as many as fit into one message.
  std::vector<LogEntry> suffix;
};

/// Sent by a voter after each start and each renewal of its incarnation, for
/// the others to confirm the incarnation. A voter whose disk is lost or an old
/// copy may have forgotten its votes, so it must not vote until it has
/// recovered.
struct Recovery {
  std::uint64_t nonce = 0;
  /// Incarnation of the sender; see RecoveryResponse::known_incarnation.
  std::uint64_t incarnation = 0;
  /// False if the sender's disk is lost or an old copy.
  bool disk_intact = false;
  /// The sender's starts according to its disk: the last confirmed one and all
  /// later ones, including this one.
  std::vector<std::uint64_t> starts;
};

struct RecoveryResponse {
  std::uint64_t nonce = 0;
  ViewNumber view = 0;
  /// False while the responder itself is recovering or changing its view.
  bool normal = false;
  /// The requester's incarnation that the responder has recorded. If it differs
  /// from the one in the request, the responder knows of a start that isn't on
  /// the requester's disk: that disk is lost or an old copy.
  std::uint64_t known_incarnation = 0;
  /// Set only by the leader of `view`, as is `log_end`.
  LogIndex commit = 0;
  LogIndex log_end = 0;
  /// All incarnations that the responder knows, including its own.
  std::vector<std::pair<DaemonId, std::uint64_t>> incarnations;
};

/// Requests entries from `first` on, or the next parts of a snapshot if those
/// entries have been discarded.
struct GetState {
  ViewNumber view = 0;
  LogIndex first = 0;
  /// The requester has received `snapshot_offset` bytes of the snapshot that
  /// covers the log up to this index.
  LogIndex snapshot_index = 0;
  std::uint64_t snapshot_offset = 0;
};

/// Response to a voter's GetState.
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

/// Leader to followers: committed entries. Without entries it announces the
/// view and the commit index; any voter that knows the leader may send it in
/// this form.
struct StreamEntries {
  ViewNumber view = 0;
  LogIndex commit = 0;
  std::vector<LogEntry> entries;
};

/// Daemon to leader: requests a serving lease. `number` matches the grant to
/// the time that the daemon recorded before it sent the request.
struct LeaseRequest {
  std::uint64_t number = 0;
  SessionId session{};
  LogIndex applied = 0;
};

struct LeaseGrant {
  std::uint64_t number = 0;
  ViewNumber view = 0;
  /// The lease is valid once the daemon has applied this index.
  LogIndex commit = 0;
};

using ReplicationMessage =
    std::variant<Prepare, PrepareOk, StartViewChange, DoViewChange, StartView,
                 Recovery, RecoveryResponse, GetState, NewState, SnapshotPart,
                 StreamEntries, LeaseRequest, LeaseGrant>;

}  // namespace mimosastage

#endif  // MIMOSASTAGE_REPLICATION_MESSAGES_H_
