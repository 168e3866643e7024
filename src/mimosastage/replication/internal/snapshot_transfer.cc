#include "mimosastage/replication/internal/snapshot_transfer.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace mimosastage::internal {

void SnapshotCollector::Clear() { *this = SnapshotCollector(); }

std::optional<Snapshot> SnapshotCollector::Add(const SnapshotPart& part,
                                               TimePoint now) {
  // A new leader can have an older or newer snapshot. Its parts don't interrupt
  // a transfer that still makes progress, because frequent snapshots could then
  // prevent a slow transfer from ever completing.
  constexpr auto kStallTimeout = std::chrono::milliseconds(500);
  const bool stalled = now - this->last_progress > kStallTimeout;
  const bool other = part.last_index != this->snapshot.index;
  if (this->Active() && other && stalled) {
    this->Clear();
  }
  if (!this->Active()) {
    this->snapshot = Snapshot{part.last_index, part.last_view, {}};
    this->total_size = std::max<std::uint64_t>(part.total_size, 1);
  }
  if (part.last_index != this->snapshot.index ||
      part.offset != this->Received()) {
    return std::nullopt;
  }
  this->snapshot.bytes += part.bytes;
  this->last_progress = now;
  if (this->Received() < part.total_size) {
    return std::nullopt;
  }
  Snapshot complete = std::move(this->snapshot);
  this->Clear();
  return complete;
}

void SnapshotCollector::RecordRequest(std::uint64_t bytes) {
  this->requested_until = this->Received() + bytes;
}

void SnapshotSource::Add(Snapshot snapshot, TimePoint now) {
  constexpr auto kReaderTimeout = std::chrono::seconds(2);
  std::erase_if(this->retained, [&](const RetainedSnapshot& old) {
    return now - old.last_read > kReaderTimeout;
  });
  // Keeps at most one older snapshot, because each can be as large as the
  // state.
  while (this->retained.size() > 1) {
    this->retained.pop_back();
  }
  this->retained.push_back(
      RetainedSnapshot{std::move(snapshot), now - 2 * kReaderTimeout});
}

std::vector<SnapshotPart> SnapshotSource::Parts(ViewNumber view, LogIndex index,
                                                std::uint64_t offset,
                                                std::size_t part_bytes,
                                                std::uint64_t count,
                                                TimePoint now) {
  if (this->retained.empty()) {
    return {};
  }
  auto found = std::find_if(
      this->retained.begin(), this->retained.end(),
      [&](const RetainedSnapshot& h) { return h.snapshot.index == index; });
  if (found == this->retained.end()) {
    found = std::prev(this->retained.end());
    offset = 0;
  }
  found->last_read = now;
  const Snapshot& source = found->snapshot;
  std::vector<SnapshotPart> parts;
  const std::uint64_t total = source.bytes.size();
  while (parts.size() < count && (parts.empty() || offset < total)) {
    offset = std::min(offset, total);
    std::string bytes = source.bytes.substr(offset, part_bytes);
    const std::uint64_t size = bytes.size();
    parts.push_back(SnapshotPart{view, source.index, source.view, offset, total,
                                 std::move(bytes)});
    offset += size;
  }
  return parts;
}

}  // namespace mimosastage::internal
