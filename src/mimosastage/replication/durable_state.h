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

/// Identifies one start of a voter: a counter of its starts in the upper 40
/// bits and random bits in the lower 24. The random bits distinguish two starts
/// that continue the counter from copies of the same disk.
using Incarnation = std::uint64_t;
inline constexpr unsigned kIncarnationRandomBits = 24;

/// The start counter, by which the incarnations of one voter are ordered.
constexpr std::uint64_t IncarnationCounter(Incarnation incarnation) {
  return incarnation >> kIncarnationRandomBits;
}

/// Returns the incarnation of start number `counter`. Uses only the lower 24
/// bits of `random`.
constexpr Incarnation MakeIncarnation(std::uint64_t counter,
                                      std::uint64_t random) {
  constexpr std::uint64_t kMask = (1ULL << kIncarnationRandomBits) - 1;
  return (counter << kIncarnationRandomBits) | (random & kMask);
}

/// Maximum number of unconfirmed starts that are kept. A voter that restarts
/// more often before the others confirm it may have to recover as if its disk
/// were lost.
inline constexpr std::size_t kMaxStarts = 64;

/// Appends the incarnation of a new start to `starts` and returns it. Keeps the
/// first element, which is the last confirmed incarnation.
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

/// Changes to persist, subject to the order given for the fields. The owner
/// passes `ticket` to Replica::StorageSynced once all of them are synced.
struct DurableWrite {
  std::uint64_t ticket = 0;
  /// Set if the view state changed.
  std::optional<ViewNumber> view;
  /// Must not reach the disk before `snapshot` and `entries`.
  std::optional<ViewNumber> last_normal_view;
  /// Entries from this index on are removed before `entries` are added.
  std::optional<LogIndex> truncate_from;
  std::vector<LogEntry> entries;
  /// A snapshot that replaces the log up to and including `snapshot_index`.
  /// It is stored before `truncate_from` and `entries` take effect.
  std::optional<std::string> snapshot;
  LogIndex snapshot_index = 0;
  ViewNumber snapshot_view = 0;
  /// Recorded incarnations that changed, by voter. An entry for the voter
  /// itself means that the incarnation is confirmed and replaces
  /// DurableImage::starts.
  std::vector<std::pair<DaemonId, Incarnation>> incarnations;
  /// Set to false when the voter finds that its disk is an old copy, and to
  /// true when it has recovered; see DurableImage::intact.
  std::optional<bool> intact;
};

/// The persisted state of a voter, as storage reads it at a start.
struct DurableImage {
  /// False if the folder was empty or marked as unusable. The voter then
  /// recovers its state from the other voters.
  bool intact = false;
  /// Incarnation of this start; already synced.
  Incarnation incarnation = 0;
  /// The last confirmed incarnation, followed by those of all later starts
  /// including this one; at most kMaxStarts. See AddStart.
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
