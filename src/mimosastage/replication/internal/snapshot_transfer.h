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

/// Encoded state of the state machine after the log entry at `index`.
struct Snapshot {
  LogIndex index = 0;
  ViewNumber view = 0;
  std::string bytes;
};

/// Number of parts sent in response to one GetState. The receiver requests the
/// next ones once it has these.
inline constexpr std::uint64_t kPartsPerRequest = 4;

/// Assembles the parts of one snapshot in order.
class SnapshotCollector {
 public:
  void Clear();
  bool Active() const { return this->total_size > 0; }
  LogIndex Index() const { return this->snapshot.index; }
  std::uint64_t Received() const { return this->snapshot.bytes.size(); }

  /// Adds a part and returns the snapshot when it is complete. A part of
  /// another snapshot starts a new transfer only if the current one has
  /// stalled.
  std::optional<Snapshot> Add(const SnapshotPart& part, TimePoint now);
  /// Records that the next `bytes` after the received ones were requested.
  void RecordRequest(std::uint64_t bytes);
  /// True if everything that was requested has been received.
  bool BatchDone() const { return this->Received() >= this->requested_until; }
  TimePoint LastProgress() const { return this->last_progress; }

 private:
  Snapshot snapshot;
  std::uint64_t total_size = 0;
  std::uint64_t requested_until = 0;
  TimePoint last_progress;
};

/// Serves snapshots in parts. Keeps an older snapshot while a daemon still
/// reads it, so that a slow reader doesn't have to restart with each new
/// snapshot.
class SnapshotSource {
 public:
  void Add(Snapshot snapshot, TimePoint now);
  /// Returns up to `count` parts from `offset` of the snapshot at `index` if it
  /// is still retained, or else from the start of the newest one. Empty if
  /// there is no snapshot.
  std::vector<SnapshotPart> Parts(ViewNumber view, LogIndex index,
                                  std::uint64_t offset, std::size_t part_bytes,
                                  std::uint64_t count, TimePoint now);

 private:
  struct RetainedSnapshot {
    Snapshot snapshot;
    TimePoint last_read;
  };

  std::deque<RetainedSnapshot> retained;
};

}  // namespace mimosastage::internal

#endif  // MIMOSASTAGE_REPLICATION_INTERNAL_SNAPSHOT_TRANSFER_H_
