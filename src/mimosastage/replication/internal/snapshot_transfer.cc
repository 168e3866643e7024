#include "mimosastage/replication/internal/snapshot_transfer.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace mimosastage::internal {

void SnapshotCollector::Clear() { *this = SnapshotCollector(); }

std::optional<Snapshot> SnapshotCollector::Add(const SnapshotPart& part,
                                               TimePoint now) {
  // A new leader can hold another snapshot, older or newer. Parts of it don't
  // disturb a transfer that still makes progress, or else frequent snapshots
  // could keep a slow one from ever ending.
  constexpr auto kStuck = std::chrono::milliseconds(500);
  const bool stuck = now - this->last_progress > kStuck;
  const bool other = part.last_index != this->snapshot.index;
  if (this->Active() && other && stuck) {
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

void SnapshotCollector::Requested(std::uint64_t bytes) {
  this->requested_until = this->Received() + bytes;
}

void SnapshotSource::Add(Snapshot snapshot, TimePoint now) {
  constexpr auto kReaderSilence = std::chrono::seconds(2);
  std::erase_if(this->held, [&](const Held& old) {
    return now - old.last_read > kReaderSilence;
  });
  // At most one older snapshot: each can be as large as the state.
  while (this->held.size() > 1) {
    this->held.pop_back();
  }
  this->held.push_back(Held{std::move(snapshot), now - 2 * kReaderSilence});
}

std::vector<SnapshotPart> SnapshotSource::Parts(ViewNumber view, LogIndex index,
                                                std::uint64_t offset,
                                                std::size_t part_bytes,
                                                std::uint64_t count,
                                                TimePoint now) {
  if (this->held.empty()) {
    return {};
  }
  auto found =
      std::find_if(this->held.begin(), this->held.end(),
                   [&](const Held& h) { return h.snapshot.index == index; });
  if (found == this->held.end()) {
    found = std::prev(this->held.end());
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
