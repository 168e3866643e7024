#ifndef MIMOSASTAGE_REPLICATION_REPLICA_H_
#define MIMOSASTAGE_REPLICATION_REPLICA_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "mimosastage/base/names.h"
#include "mimosastage/base/time.h"
#include "mimosastage/replication/messages.h"

namespace mimosastage {

/// What must be on disk, in the order given. `ticket` comes back through
/// Replica::StorageSynced once all of it is synced.
struct DurableWrite {
  std::uint64_t ticket = 0;
  /// Set if the view state changed.
  std::optional<ViewNumber> view;
  std::optional<ViewNumber> last_normal_view;
  /// Entries from this index on are removed before `entries` are added.
  std::optional<LogIndex> truncate_from;
  std::vector<LogEntry> entries;
  /// A snapshot that replaces the log up to and including `snapshot_index`.
  std::optional<std::string> snapshot;
  LogIndex snapshot_index = 0;
  ViewNumber snapshot_view = 0;
  /// Highest incarnation seen of each voter, if it changed.
  std::vector<std::pair<DaemonId, std::uint64_t>> incarnations;
};

/// What storage found at the start.
struct DurableImage {
  /// False if the folder was empty or marked as not usable: the voter recovers.
  bool intact = false;
  /// Already raised and synced for this start.
  std::uint64_t incarnation = 0;
  ViewNumber view = 0;
  ViewNumber last_normal_view = 0;
  LogIndex snapshot_index = 0;
  ViewNumber snapshot_view = 0;
  std::optional<std::string> snapshot;
  std::vector<LogEntry> entries;
  std::vector<std::pair<DaemonId, std::uint64_t>> incarnations;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_REPLICATION_REPLICA_H_
