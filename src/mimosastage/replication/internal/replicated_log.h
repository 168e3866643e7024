#ifndef MIMOSASTAGE_REPLICATION_INTERNAL_REPLICATED_LOG_H_
#define MIMOSASTAGE_REPLICATION_INTERNAL_REPLICATED_LOG_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "mimosastage/replication/messages.h"

namespace mimosastage::internal {

/// The log entries in a replica's memory: all after `Base`.
class ReplicatedLog {
 public:
  /// Empties the log; the next entry has index `base` + 1.
  void Reset(LogIndex base, ViewNumber base_view);

  /// Last index that has been discarded.
  LogIndex Base() const { return this->base; }
  LogIndex End() const { return this->base + this->items.size(); }

  /// View of the entry at `index`, which may be Base; std::nullopt for an index
  /// outside the log.
  std::optional<ViewNumber> ViewAt(LogIndex index) const;
  /// `index` must be after Base and not after End.
  const LogEntry& At(LogIndex index) const;

  /// `entry.index` must be End + 1.
  void Append(LogEntry entry);
  /// Removes the entry at `index` and all later ones.
  void TruncateFrom(LogIndex index);
  /// Removes all entries up to and including `index`.
  void DropThrough(LogIndex index);

  /// Entries from `first`, which must be after Base, to `last`. Stops before
  /// the commands exceed `max_bytes`, but always returns the first entry.
  std::vector<LogEntry> Slice(LogIndex first, LogIndex last,
                              std::size_t max_bytes) const;

  /// Total size of the commands after index `after`, up to `last`.
  std::size_t BytesBetween(LogIndex after, LogIndex last) const;

 private:
  struct Item {
    LogEntry entry;
    /// Total size of all commands since construction, up to this one.
    std::uint64_t total_bytes = 0;
  };

  std::uint64_t TotalBytes(LogIndex index) const;

  LogIndex base = 0;
  ViewNumber base_view = 0;
  std::uint64_t base_bytes = 0;
  std::deque<Item> items;
};

}  // namespace mimosastage::internal

#endif  // MIMOSASTAGE_REPLICATION_INTERNAL_REPLICATED_LOG_H_
