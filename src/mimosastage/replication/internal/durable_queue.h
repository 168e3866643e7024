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

/// Collects changes to persist while a sync is in progress, and tracks what is
/// already synced. One DurableWrite is outstanding at a time.
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
  /// Must be called when the log is truncated in memory.
  void TruncateFrom(LogIndex index);
  /// Must be called when a received snapshot replaces the log up to `index`. Of
  /// the entries on the disk, only those up to `agreed` are known to match the
  /// snapshot.
  void ReplaceThrough(LogIndex index, LogIndex agreed);

  /// Passes all unwritten changes to storage. Returns false if there are none
  /// or if a write is outstanding.
  bool Flush(const ReplicatedLog& log, TimePoint now);
  /// Returns false if `ticket` isn't the ticket of the outstanding write.
  bool Synced(std::uint64_t ticket);

  bool Idle() const { return !this->outstanding.has_value(); }
  /// True if everything in memory is synced.
  bool AllSynced(const ReplicatedLog& log) const;
  /// Entries up to here are synced and equal to those in memory.
  LogIndex End() const { return this->durable_end; }
  /// The synced value; std::nullopt while the disk isn't intact.
  std::optional<ViewNumber> LastNormalView() const {
    return this->durable_last_normal_view;
  }
  /// The synced incarnation of a voter; 0 if there is none.
  Incarnation KnownIncarnation(DaemonId voter) const;
  /// When the outstanding write was started; `now` if there is none.
  TimePoint WaitingSince(TimePoint now) const;

 private:
  struct Outstanding {
    /// The write's ticket, last_normal_view and incarnations.
    DurableWrite summary;
    LogIndex end = 0;
    TimePoint since;
  };

  void ForgetLastNormalView();
  bool HasUnwritten(const ReplicatedLog& log) const;
  void AddLogEntries(const ReplicatedLog& log, DurableWrite& write);

  Persist persist;
  DurableWrite next;
  bool dirty = false;
  std::uint64_t next_ticket = 1;
  std::optional<Outstanding> outstanding;
  /// Last entry passed to storage.
  LogIndex written_end = 0;
  LogIndex durable_end = 0;
  std::optional<ViewNumber> durable_last_normal_view;
  std::map<DaemonId, Incarnation> durable_incarnations;
};

}  // namespace mimosastage::internal

#endif  // MIMOSASTAGE_REPLICATION_INTERNAL_DURABLE_QUEUE_H_
