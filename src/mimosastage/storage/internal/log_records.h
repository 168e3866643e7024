#ifndef MIMOSASTAGE_STORAGE_INTERNAL_LOG_RECORDS_H_
#define MIMOSASTAGE_STORAGE_INTERNAL_LOG_RECORDS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "mimosastage/replication/durable_state.h"

namespace mimosastage::internal {

/// The small part of a voter's durable state; each segment begins with it, so
/// that older segments can be removed.
struct LogState {
  ViewNumber view = 0;
  ViewNumber last_normal_view = 0;
  bool intact = false;
  /// See DurableImage::starts.
  std::vector<Incarnation> starts;
  std::map<DaemonId, Incarnation> incarnations;
  LogIndex snapshot_index = 0;
  ViewNumber snapshot_view = 0;
};

/// What the records of the log add up to.
class LogContent {
 public:
  /// Applies the records of one frame; false if they make no sense.
  bool Apply(std::string_view records);

  /// Drops what a snapshot has replaced. If the log disagrees with the snapshot
  /// at its index, all of it is dropped.
  void ReplaceThrough(LogIndex index, ViewNumber entry_view);

  /// False if entries between the snapshot and the first entry are missing.
  bool Complete() const {
    return this->first <= this->state.snapshot_index + 1;
  }
  LogIndex End() const { return this->first + this->entries.size() - 1; }

  LogState state;
  /// Index of the first of `entries`.
  LogIndex first = 1;
  std::vector<LogEntry> entries;

 private:
  bool ApplyOne(class ByteReader& reader);
  bool ApplyEntry(LogEntry entry);
  void TruncateFrom(LogIndex index);
};

/// Writes records; the counterpart of LogContent::Apply.
class LogRecordWriter {
 public:
  void State(const LogState& state);
  void View(ViewNumber view);
  void LastNormalView(ViewNumber view);
  void Intact(bool intact);
  void Starts(const std::vector<Incarnation>& starts);
  void KnownIncarnation(DaemonId voter, Incarnation incarnation);
  void Snapshot(LogIndex index, ViewNumber view);
  void Truncate(LogIndex from);
  void Entry(const LogEntry& entry);

  bool Empty() const { return this->bytes.empty(); }
  /// Returns the records and starts anew.
  std::string Take();

 private:
  std::string bytes;
};

}  // namespace mimosastage::internal

#endif  // MIMOSASTAGE_STORAGE_INTERNAL_LOG_RECORDS_H_
