#ifndef MIMOSASTAGE_REPLICATION_INTERNAL_DURABLE_QUEUE_H_
#define MIMOSASTAGE_REPLICATION_INTERNAL_DURABLE_QUEUE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "mimosastage/base/names.h"
#include "mimosastage/base/time.h"
#include "mimosastage/replication/durable_state.h"
#include "mimosastage/replication/internal/replicated_log.h"

namespace mimosastage::internal {

/// Collects what must reach the disk while a sync is in progress, and knows
/// what is already there. One DurableWrite is outstanding at a time.
class DurableQueue {
 public:
  using Persist = std::function<void(DurableWrite)>;

  explicit DurableQueue(Persist persist) : persist(std::move(persist)) {}

  void Load(const DurableImage& image);

  void SetView(ViewNumber view);
  void SetLastNormalView(ViewNumber view);
  void SetSnapshot(std::string bytes, LogIndex index, ViewNumber view);
  void SetIncarnation(DaemonId voter, Incarnation incarnation);
  void SetIntact(bool intact);
  /// To be called when the log is truncated in memory.
  void TruncateFrom(LogIndex index);
  /// To be called when a received snapshot replaces the log up to `index`. Of
  /// what is on the disk, only entries up to `agreed` are known to be part of
  /// the snapshot.
  void ReplaceThrough(LogIndex index, LogIndex agreed);

  /// Hands everything new to storage, unless a write is outstanding or nothing
  /// is new. True if it did.
  bool Flush(const ReplicatedLog& log, TimePoint now);
  /// False if `ticket` isn't the outstanding one.
  bool Synced(std::uint64_t ticket);

  bool Idle() const { return !this->outstanding.has_value(); }
  /// Everything in memory is on the disk.
  bool AllSynced(const ReplicatedLog& log) const;
  /// Entries up to here are on the disk as they are in memory.
  LogIndex End() const { return this->durable_end; }
  /// Nothing while the disk isn't intact.
  std::optional<ViewNumber> LastNormalView() const {
    return this->durable_last_normal_view;
  }
  /// 0 if none is on the disk.
  Incarnation KnownIncarnation(DaemonId voter) const;
  /// Since when the outstanding write waits; `now` if there is none.
  TimePoint WaitingSince(TimePoint now) const;

 private:
  struct Outstanding {
    DurableWrite summary;
    LogIndex end = 0;
    TimePoint since;
  };

  void ForgetLastNormalView();
  bool HasUnwritten(const ReplicatedLog& log) const;
  void TakeEntries(const ReplicatedLog& log, DurableWrite& write);

  Persist persist;
  DurableWrite next;
  bool dirty = false;
  std::uint64_t next_ticket = 1;
  std::optional<Outstanding> outstanding;
  /// Last entry handed to storage.
  LogIndex written_end = 0;
  LogIndex durable_end = 0;
  std::optional<ViewNumber> durable_last_normal_view;
  std::map<DaemonId, Incarnation> durable_incarnations;
};

}  // namespace mimosastage::internal

#endif  // MIMOSASTAGE_REPLICATION_INTERNAL_DURABLE_QUEUE_H_
