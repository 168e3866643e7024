#ifndef MIMOSASTAGE_REPLICATION_DURABLE_STATE_H_
#define MIMOSASTAGE_REPLICATION_DURABLE_STATE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "mimosastage/base/names.h"
#include "mimosastage/replication/messages.h"

namespace mimosastage {

/// Number of one start of a voter: the counter of its starts in the upper 40
/// bits and random bits in the lower 24. The random bits tell two starts apart
/// that count from the same copy of a disk.
using Incarnation = std::uint64_t;
inline constexpr unsigned kIncarnationRandomBits = 24;

/// The counter of the starts; it orders the incarnations of one voter.
constexpr std::uint64_t IncarnationCounter(Incarnation incarnation) {
  return incarnation >> kIncarnationRandomBits;
}

/// The incarnation after `counter` starts; only the lower 24 bits of `random`
/// are used.
constexpr Incarnation MakeIncarnation(std::uint64_t counter,
                                      std::uint64_t random) {
  constexpr std::uint64_t kMask = (1ULL << kIncarnationRandomBits) - 1;
  return (counter << kIncarnationRandomBits) | (random & kMask);
}

/// A voter that restarts more often before the others confirm it may have to
/// recover as if its disk were lost.
inline constexpr std::size_t kMaxStarts = 64;

/// Adds the incarnation of a new start to `starts` and returns it.
inline Incarnation AddStart(std::vector<Incarnation>& starts,
                            std::uint64_t random) {
  const std::uint64_t latest =
      starts.empty() ? 0 : IncarnationCounter(starts.back());
  if (starts.size() >= kMaxStarts) {
    starts.erase(starts.begin() + 1);
  }
  starts.push_back(MakeIncarnation(latest + 1, random));
  return starts.back();
}

/// What must be on disk, in the order given. `ticket` comes back through
/// Replica::StorageSynced once all of it is synced.
struct DurableWrite {
  std::uint64_t ticket = 0;
  /// Set if the view state changed.
  std::optional<ViewNumber> view;
  /// Must not be on the disk before `snapshot` and `entries` are.
  std::optional<ViewNumber> last_normal_view;
  /// Entries from this index on are removed before `entries` are added.
  std::optional<LogIndex> truncate_from;
  std::vector<LogEntry> entries;
  /// A snapshot that replaces the log up to and including `snapshot_index`.
  /// It is stored before `truncate_from` and `entries` take effect.
  std::optional<std::string> snapshot;
  LogIndex snapshot_index = 0;
  ViewNumber snapshot_view = 0;
  /// Incarnation recorded of each voter, if it changed. An entry of the voter
  /// itself replaces DurableImage::starts: the incarnation is confirmed.
  std::vector<std::pair<DaemonId, Incarnation>> incarnations;
  /// False when the voter finds that its disk is an old copy, true when it has
  /// recovered; see DurableImage::intact.
  std::optional<bool> intact;
};

/// What storage found at the start.
struct DurableImage {
  /// False if the folder was empty or marked as not usable: the voter recovers.
  bool intact = false;
  /// Already raised and synced for this start.
  Incarnation incarnation = 0;
  /// The last confirmed incarnation and those of all later starts, this one
  /// included; at most kMaxStarts. See AddStart.
  std::vector<Incarnation> starts;
  ViewNumber view = 0;
  ViewNumber last_normal_view = 0;
  LogIndex snapshot_index = 0;
  ViewNumber snapshot_view = 0;
  std::optional<std::string> snapshot;
  std::vector<LogEntry> entries;
  std::vector<std::pair<DaemonId, Incarnation>> incarnations;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_REPLICATION_DURABLE_STATE_H_
