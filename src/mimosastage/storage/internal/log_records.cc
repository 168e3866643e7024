#include "mimosastage/storage/internal/log_records.h"

#include <algorithm>
#include <cstddef>
#include <utility>

#include "mimosastage/base/daemon_id.h"
#include "mimosastage/storage/internal/bytes.h"

namespace mimosastage::internal {
namespace {

enum class RecordKind : std::uint8_t {
  kView = 1,
  kLastNormalView,
  kIntact,
  kStarts,
  kKnownIncarnation,
  kSnapshot,
  kTruncate,
  kEntry,
  /// As kKnownIncarnation, for ids that don't fit into 16 bits.
  kKnownIncarnationOfAddress
};

void PutKind(std::string& bytes, RecordKind kind) {
  PutNumber(bytes, static_cast<std::uint8_t>(kind));
}

std::optional<LogEntry> TakeEntry(ByteReader& reader) {
  const auto index = reader.Take<std::uint64_t>();
  const auto view = reader.Take<std::uint64_t>();
  const auto length = reader.Take<std::uint32_t>();
  if (!length.has_value()) {
    return std::nullopt;
  }
  auto command = reader.TakeString(*length);
  if (!command.has_value()) {
    return std::nullopt;
  }
  return LogEntry{*index, *view, std::move(*command)};
}

/// Reads a number into `target`; false if too few bytes are left.
template <class Number>
bool TakeInto(ByteReader& reader, Number& target) {
  const auto value = reader.Take<Number>();
  target = value.value_or(target);
  return value.has_value();
}

bool TakeStarts(ByteReader& reader, std::vector<Incarnation>& starts) {
  std::uint16_t count = 0;
  bool good = TakeInto(reader, count);
  starts.assign(count, 0);
  for (Incarnation& incarnation : starts) {
    good = good && TakeInto(reader, incarnation);
  }
  return good;
}

}  // namespace

bool LogContent::Apply(std::string_view records) {
  ByteReader reader(records);
  while (!reader.AtEnd()) {
    if (!this->ApplyRecord(reader)) {
      return false;
    }
  }
  return true;
}

bool LogContent::ApplyRecord(ByteReader& reader) {
  std::uint8_t intact = 0;
  std::uint16_t voter = 0;
  std::uint64_t address_id = 0;
  LogIndex index = 0;
  ViewNumber entry_view = 0;
  switch (static_cast<RecordKind>(*reader.Take<std::uint8_t>())) {
    case RecordKind::kView:
      return TakeInto(reader, this->state.view);
    case RecordKind::kLastNormalView:
      return TakeInto(reader, this->state.last_normal_view);
    case RecordKind::kIntact:
      if (!TakeInto(reader, intact)) {
        return false;
      }
      this->state.intact = intact != 0;
      return true;
    case RecordKind::kStarts:
      return TakeStarts(reader, this->state.starts);
    case RecordKind::kKnownIncarnation:
      return TakeInto(reader, voter) &&
             TakeInto(reader, this->state.incarnations[DaemonId{voter}]);
    case RecordKind::kKnownIncarnationOfAddress:
      return TakeInto(reader, address_id) &&
             TakeInto(reader, this->state.incarnations[DaemonId{address_id}]);
    case RecordKind::kSnapshot:
      if (!TakeInto(reader, index) || !TakeInto(reader, entry_view)) {
        return false;
      }
      this->CompactThrough(index, entry_view);
      return true;
    case RecordKind::kTruncate:
      if (!TakeInto(reader, index)) {
        return false;
      }
      this->TruncateFrom(index);
      return true;
    case RecordKind::kEntry:
      auto entry = TakeEntry(reader);
      return entry.has_value() && this->ApplyEntry(std::move(*entry));
  }
  return false;
}

void LogContent::CompactThrough(LogIndex index, ViewNumber entry_view) {
  this->state.snapshot_index = index;
  this->state.snapshot_view = entry_view;
  if (index < this->first_index) {
    return;
  }
  if (index <= this->LastIndex() &&
      this->entries[index - this->first_index].view == entry_view) {
    const auto count =
        static_cast<std::ptrdiff_t>(index - this->first_index + 1);
    this->entries.erase(this->entries.begin(), this->entries.begin() + count);
  } else {
    this->entries.clear();
  }
  this->first_index = index + 1;
}

bool LogContent::ApplyEntry(LogEntry entry) {
  if (entry.index > this->LastIndex() + 1) {
    // A snapshot covered the entries in the gap, and their segment was removed.
    // IsContiguous checks that this snapshot exists.
    this->entries.clear();
    this->first_index = entry.index;
  }
  if (entry.index != this->LastIndex() + 1) {
    return false;
  }
  this->entries.push_back(std::move(entry));
  return true;
}

void LogContent::TruncateFrom(LogIndex index) {
  if (index > this->first_index) {
    this->entries.resize(
        std::min<std::size_t>(this->entries.size(), index - this->first_index));
    return;
  }
  this->entries.clear();
  this->first_index = std::min(this->first_index,
                               std::max(index, this->state.snapshot_index + 1));
}

void LogRecordWriter::State(const LogState& state) {
  this->View(state.view);
  this->LastNormalView(state.last_normal_view);
  this->Intact(state.intact);
  this->Starts(state.starts);
  for (const auto& [voter, incarnation] : state.incarnations) {
    this->KnownIncarnation(voter, incarnation);
  }
  this->Snapshot(state.snapshot_index, state.snapshot_view);
}

void LogRecordWriter::View(ViewNumber view) {
  PutKind(this->bytes, RecordKind::kView);
  PutNumber(this->bytes, view);
}

void LogRecordWriter::LastNormalView(ViewNumber view) {
  PutKind(this->bytes, RecordKind::kLastNormalView);
  PutNumber(this->bytes, view);
}

void LogRecordWriter::Intact(bool intact) {
  PutKind(this->bytes, RecordKind::kIntact);
  PutNumber(this->bytes, static_cast<std::uint8_t>(intact ? 1 : 0));
}

void LogRecordWriter::Starts(const std::vector<Incarnation>& starts) {
  PutKind(this->bytes, RecordKind::kStarts);
  PutNumber(this->bytes, static_cast<std::uint16_t>(starts.size()));
  for (const Incarnation incarnation : starts) {
    PutNumber(this->bytes, incarnation);
  }
}

void LogRecordWriter::KnownIncarnation(DaemonId voter,
                                       Incarnation incarnation) {
  if (const DaemonIdFields id = ToDaemonIdFields(voter); id.address_id == 0) {
    PutKind(this->bytes, RecordKind::kKnownIncarnation);
    PutNumber(this->bytes, id.number);
  } else {
    PutKind(this->bytes, RecordKind::kKnownIncarnationOfAddress);
    PutNumber(this->bytes, id.address_id);
  }
  PutNumber(this->bytes, incarnation);
}

void LogRecordWriter::Snapshot(LogIndex index, ViewNumber view) {
  PutKind(this->bytes, RecordKind::kSnapshot);
  PutNumber(this->bytes, index);
  PutNumber(this->bytes, view);
}

void LogRecordWriter::Truncate(LogIndex from) {
  PutKind(this->bytes, RecordKind::kTruncate);
  PutNumber(this->bytes, from);
}

void LogRecordWriter::Entry(const LogEntry& entry) {
  PutKind(this->bytes, RecordKind::kEntry);
  PutNumber(this->bytes, entry.index);
  PutNumber(this->bytes, entry.view);
  PutNumber(this->bytes, static_cast<std::uint32_t>(entry.command.size()));
  this->bytes += entry.command;
}

std::string LogRecordWriter::Take() {
  return std::exchange(this->bytes, std::string());
}

}  // namespace mimosastage::internal
