#ifndef MIMOSASTAGE_REPLICATION_INTERNAL_SNAPSHOT_TRANSFER_H_
#define MIMOSASTAGE_REPLICATION_INTERNAL_SNAPSHOT_TRANSFER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "mimosastage/base/time.h"
#include "mimosastage/replication/messages.h"

namespace mimosastage::internal {

/// A state of the replicated state machine, covering the log up to `index`.
struct Snapshot {
  LogIndex index = 0;
  ViewNumber view = 0;
  std::string bytes;
};

/// Parts sent in answer to one GetState. The receiver asks for the next ones
/// once it has these.
inline constexpr std::uint64_t kPartsPerRequest = 4;

/// Puts the parts of one snapshot together, in order.
class SnapshotCollector {
 public:
  void Clear();
  bool Active() const { return this->total_size > 0; }
  LogIndex Index() const { return this->snapshot.index; }
  std::uint64_t Received() const { return this->snapshot.bytes.size(); }

  /// Takes a part; returns the snapshot when it is complete. A part of another
  /// snapshot replaces the one in progress only if that is stuck.
  std::optional<Snapshot> Add(const SnapshotPart& part, TimePoint now);
  /// Notes that `bytes` after those received were asked for.
  void Requested(std::uint64_t bytes);
  /// True if all that was asked for has come.
  bool BatchDone() const { return this->Received() >= this->requested_until; }
  TimePoint LastProgress() const { return this->last_progress; }

 private:
  Snapshot snapshot;
  std::uint64_t total_size = 0;
  std::uint64_t requested_until = 0;
  TimePoint last_progress;
};

/// Serves snapshots in parts. Keeps an older snapshot while a daemon still
/// reads it, so that a slow reader isn't restarted by each new one.
class SnapshotSource {
 public:
  void Add(Snapshot snapshot, TimePoint now);
  /// Parts from `offset` of the snapshot at `index` if that is still held, or
  /// else from the start of the newest. Empty if there is none.
  std::vector<SnapshotPart> Parts(ViewNumber view, LogIndex index,
                                  std::uint64_t offset, std::size_t part_bytes,
                                  std::uint64_t count, TimePoint now);

 private:
  struct Held {
    Snapshot snapshot;
    TimePoint last_read;
  };

  std::deque<Held> held;
};

}  // namespace mimosastage::internal

#endif  // MIMOSASTAGE_REPLICATION_INTERNAL_SNAPSHOT_TRANSFER_H_
