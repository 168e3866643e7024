#include "mimosastage/replication/internal/durable_queue.h"

#include <algorithm>
#include <limits>

namespace mimosastage::internal {

void DurableQueue::Load(const DurableImage& image) {
  this->written_end = image.snapshot_index + image.entries.size();
  this->durable_end = this->written_end;
  this->durable_last_normal_view = image.last_normal_view;
  if (!image.intact) {
    this->ForgetLastNormalView();
  }
  for (const auto& [voter, incarnation] : image.incarnations) {
    this->durable_incarnations[voter] = incarnation;
  }
}

void DurableQueue::SetView(ViewNumber view) {
  this->next.view = view;
  this->dirty = true;
}

void DurableQueue::SetLastNormalView(ViewNumber view) {
  this->next.last_normal_view = view;
  this->dirty = true;
}

void DurableQueue::SetSnapshot(std::string bytes, LogIndex index,
                               ViewNumber view) {
  this->next.snapshot = std::move(bytes);
  this->next.snapshot_index = index;
  this->next.snapshot_view = view;
  this->dirty = true;
}

void DurableQueue::SetIncarnation(DaemonId voter, Incarnation incarnation) {
  this->next.incarnations.emplace_back(voter, incarnation);
  this->dirty = true;
}

void DurableQueue::SetIntact(bool intact) {
  if (!intact) {
    this->ForgetLastNormalView();
  }
  this->next.intact = intact;
  this->dirty = true;
}

void DurableQueue::TruncateFrom(LogIndex index) {
  this->durable_end = std::min(this->durable_end, index - 1);
  if (this->outstanding.has_value()) {
    this->outstanding->end = std::min(this->outstanding->end, index - 1);
  }
  if (index <= this->written_end) {
    const LogIndex earlier =
        this->next.truncate_from.value_or(std::numeric_limits<LogIndex>::max());
    this->next.truncate_from = std::min(earlier, index);
    this->written_end = index - 1;
    this->dirty = true;
  }
}

void DurableQueue::ReplaceThrough(LogIndex index, LogIndex agreed) {
  this->TruncateFrom(index + 1);
  this->durable_end = std::min(this->durable_end, agreed);
  if (this->outstanding.has_value()) {
    this->outstanding->end = std::min(this->outstanding->end, agreed);
  }
}

bool DurableQueue::Flush(const ReplicatedLog& log, TimePoint now) {
  if (!this->Idle() || !this->HasUnwritten(log)) {
    return false;
  }
  DurableWrite write = std::exchange(this->next, DurableWrite{});
  this->dirty = false;
  write.ticket = this->next_ticket++;
  DurableWrite summary;
  summary.ticket = write.ticket;
  summary.last_normal_view = write.last_normal_view;
  summary.incarnations = write.incarnations;
  this->AddLogEntries(log, write);
  this->outstanding = Outstanding{std::move(summary), this->written_end, now};
  this->persist(std::move(write));
  return true;
}

bool DurableQueue::Synced(std::uint64_t ticket) {
  if (this->Idle() || this->outstanding->summary.ticket != ticket) {
    return false;
  }
  const Outstanding done = *std::exchange(this->outstanding, std::nullopt);
  this->durable_end = done.end;
  if (done.summary.last_normal_view.has_value()) {
    this->durable_last_normal_view = done.summary.last_normal_view;
  }
  for (const auto& [voter, incarnation] : done.summary.incarnations) {
    this->durable_incarnations[voter] = incarnation;
  }
  return true;
}

bool DurableQueue::AllSynced(const ReplicatedLog& log) const {
  return this->Idle() && !this->HasUnwritten(log);
}

Incarnation DurableQueue::KnownIncarnation(DaemonId voter) const {
  const auto found = this->durable_incarnations.find(voter);
  return found == this->durable_incarnations.end() ? 0 : found->second;
}

TimePoint DurableQueue::WaitingSince(TimePoint now) const {
  return this->Idle() ? now : this->outstanding->since;
}

void DurableQueue::ForgetLastNormalView() {
  this->durable_last_normal_view.reset();
  this->next.last_normal_view.reset();
  if (this->outstanding.has_value()) {
    this->outstanding->summary.last_normal_view.reset();
  }
}

bool DurableQueue::HasUnwritten(const ReplicatedLog& log) const {
  return this->dirty || this->written_end < log.End();
}

void DurableQueue::AddLogEntries(const ReplicatedLog& log,
                                 DurableWrite& write) {
  LogIndex after = this->written_end;
  if (write.snapshot.has_value()) {
    after = std::max(after, write.snapshot_index);
  }
  write.entries = log.Slice(std::max(after, log.Base()) + 1, log.End(),
                            std::numeric_limits<std::size_t>::max());
  this->written_end = std::max(after, log.End());
}

}  // namespace mimosastage::internal
