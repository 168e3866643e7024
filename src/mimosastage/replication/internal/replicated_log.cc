#include "mimosastage/replication/internal/replicated_log.h"

#include <algorithm>
#include <utility>

namespace mimosastage::internal {

void ReplicatedLog::Reset(LogIndex base, ViewNumber base_view) {
  this->base_bytes = this->TotalBytes(this->End());
  this->items.clear();
  this->base = base;
  this->base_view = base_view;
}

std::optional<ViewNumber> ReplicatedLog::ViewAt(LogIndex index) const {
  if (index == this->base) {
    return this->base_view;
  }
  if (index < this->base || index > this->End()) {
    return std::nullopt;
  }
  return this->At(index).view;
}

const LogEntry& ReplicatedLog::At(LogIndex index) const {
  return this->items[index - this->base - 1].entry;
}

void ReplicatedLog::Append(LogEntry entry) {
  const std::uint64_t total =
      this->TotalBytes(this->End()) + entry.command.size();
  this->items.push_back(Item{std::move(entry), total});
}

void ReplicatedLog::TruncateFrom(LogIndex index) {
  while (this->End() >= index && !this->items.empty()) {
    this->items.pop_back();
  }
}

void ReplicatedLog::DropThrough(LogIndex index) {
  while (this->base < index && !this->items.empty()) {
    const Item& first = this->items.front();
    this->base_view = first.entry.view;
    this->base_bytes = first.total_bytes;
    this->items.pop_front();
    ++this->base;
  }
}

std::vector<LogEntry> ReplicatedLog::Slice(LogIndex first, LogIndex last,
                                           std::size_t max_bytes) const {
  std::vector<LogEntry> entries;
  std::size_t bytes = 0;
  const LogIndex end = std::min(last, this->End());
  for (LogIndex index = first; index <= end; ++index) {
    const LogEntry& entry = this->At(index);
    bytes += entry.command.size();
    if (!entries.empty() && bytes > max_bytes) {
      break;
    }
    entries.push_back(entry);
  }
  return entries;
}

std::size_t ReplicatedLog::BytesBetween(LogIndex after, LogIndex last) const {
  const std::uint64_t from = this->TotalBytes(std::max(after, this->base));
  const std::uint64_t to = this->TotalBytes(std::min(last, this->End()));
  return to > from ? to - from : 0;
}

std::uint64_t ReplicatedLog::TotalBytes(LogIndex index) const {
  if (index <= this->base || this->items.empty()) {
    return this->base_bytes;
  }
  return this->items[index - this->base - 1].total_bytes;
}

}  // namespace mimosastage::internal
