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

/// The durable state of a voter without its log entries and snapshot. Each
/// segment begins with a copy, so that older segments can be removed.
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

/// The log and state of a voter, rebuilt by applying the log records in order.
class LogContent {
 public:
  /// Applies the records of one frame; false if one is malformed or doesn't
  /// follow from the records before it.
  bool Apply(std::string_view records);

  /// Drops the entries that a snapshot covers. Drops all entries if the one at
  /// the snapshot's index is missing or has another view.
  void CompactThrough(LogIndex index, ViewNumber entry_view);

  /// False if entries between the snapshot and the first entry are missing.
  bool IsContiguous() const {
    return this->first_index <= this->state.snapshot_index + 1;
  }
  /// Index of the last entry; `first_index` - 1 if there is none.
  LogIndex LastIndex() const {
    return this->first_index + this->entries.size() - 1;
  }

  LogState state;
  /// Index of the first of `entries`.
  LogIndex first_index = 1;
  std::vector<LogEntry> entries;

 private:
  bool ApplyRecord(class ByteReader& reader);
  bool ApplyEntry(LogEntry entry);
  void TruncateFrom(LogIndex index);
};

/// Encodes records into a buffer; LogContent::Apply reads them.
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
  /// Returns the buffered records and clears the buffer.
  std::string Take();

 private:
  std::string bytes;
};

}  // namespace mimosastage::internal

#endif  // MIMOSASTAGE_STORAGE_INTERNAL_LOG_RECORDS_H_
