#ifndef MIMOSASTAGE_REPLICATION_INTERNAL_REPLICATED_LOG_H_
#define MIMOSASTAGE_REPLICATION_INTERNAL_REPLICATED_LOG_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "mimosastage/replication/messages.h"

namespace mimosastage::internal {

/// The entries that a replica holds in memory: all after `Base`.
class ReplicatedLog {
 public:
  /// Empties the log; the next entry has index `base` + 1.
  void Reset(LogIndex base, ViewNumber base_view);

  /// Last index that isn't held any more.
  LogIndex Base() const { return this->base; }
  LogIndex End() const { return this->base + this->items.size(); }

  /// View of the entry at `index`, also for the base; nothing if unknown.
  std::optional<ViewNumber> ViewAt(LogIndex index) const;
  /// `index` must be after Base and not after End.
  const LogEntry& At(LogIndex index) const;

  /// `entry.index` must be End + 1.
  void Append(LogEntry entry);
  /// Removes `index` and all after it.
  void TruncateFrom(LogIndex index);
  /// Removes all up to and including `index`.
  void DropThrough(LogIndex index);

  /// Entries from `first` (after Base) to `last`, at least one if there is any
  /// and at most `max_bytes` of commands otherwise.
  std::vector<LogEntry> Slice(LogIndex first, LogIndex last,
                              std::size_t max_bytes) const;

  /// Bytes of the commands after `after` up to `last`.
  std::size_t BytesBetween(LogIndex after, LogIndex last) const;

 private:
  struct Item {
    LogEntry entry;
    /// Bytes of all commands up to this one, since the first Reset.
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
