#include "mimosastage/replication/message_codec.h"

#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

#include "mimosastage/base/daemon_id.h"
#include "mimosastage/replication/internal/wire.h"
#include "mimosastage/replication/replication_error.h"

namespace mimosastage {
namespace {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;
using Bytes = flatbuffers::Vector<std::uint8_t>;
using Incarnations = std::vector<std::pair<DaemonId, std::uint64_t>>;

template <class Table>
using TableVector = flatbuffers::Vector<Offset<Table>>;

Offset<Bytes> PackBytes(FlatBufferBuilder& builder, const std::string& bytes) {
  return builder.CreateVector(
      reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
}

Offset<TableVector<wire::LogEntry>> PackEntries(
    FlatBufferBuilder& builder, const std::vector<LogEntry>& entries) {
  std::vector<Offset<wire::LogEntry>> packed;
  packed.reserve(entries.size());
  for (const LogEntry& entry : entries) {
    const auto command = PackBytes(builder, entry.command);
    packed.push_back(
        wire::CreateLogEntry(builder, entry.index, entry.view, command));
  }
  return builder.CreateVector(packed);
}

Offset<TableVector<wire::Incarnation>> PackIncarnations(
    FlatBufferBuilder& builder, const Incarnations& incarnations) {
  std::vector<Offset<wire::Incarnation>> packed;
  packed.reserve(incarnations.size());
  for (const auto& [daemon, incarnation] : incarnations) {
    const DaemonIdFields id = ToDaemonIdFields(daemon);
    packed.push_back(wire::CreateIncarnation(builder, id.number, incarnation,
                                             id.address_id));
  }
  return builder.CreateVector(packed);
}

auto Pack(FlatBufferBuilder& builder, const Prepare& m) {
  const auto entries = PackEntries(builder, m.entries);
  return wire::CreatePrepare(builder, m.view, m.previous_index, m.previous_view,
                             m.commit, m.view_start, m.round, entries);
}

auto Pack(FlatBufferBuilder& builder, const PrepareOk& m) {
  return wire::CreatePrepareOk(builder, m.view, m.synced, m.round, m.matched);
}

auto Pack(FlatBufferBuilder& builder, const StartViewChange& m) {
  return wire::CreateStartViewChange(builder, m.view);
}

auto Pack(FlatBufferBuilder& builder, const DoViewChange& m) {
  const auto suffix = PackEntries(builder, m.suffix);
  const auto incarnations = PackIncarnations(builder, m.incarnations);
  return wire::CreateDoViewChange(builder, m.view, m.last_normal_view, m.commit,
                                  m.log_end, suffix, incarnations);
}

auto Pack(FlatBufferBuilder& builder, const StartView& m) {
  const auto suffix = PackEntries(builder, m.suffix);
  return wire::CreateStartView(builder, m.view, m.commit, m.log_end, suffix);
}

auto Pack(FlatBufferBuilder& builder, const Recovery& m) {
  const auto starts = builder.CreateVector(m.starts);
  return wire::CreateRecovery(builder, m.nonce, m.incarnation, m.disk_intact,
                              starts);
}

auto Pack(FlatBufferBuilder& builder, const RecoveryResponse& m) {
  const auto incarnations = PackIncarnations(builder, m.incarnations);
  return wire::CreateRecoveryResponse(builder, m.nonce, m.view, m.normal,
                                      m.known_incarnation, m.commit, m.log_end,
                                      incarnations);
}

auto Pack(FlatBufferBuilder& builder, const GetState& m) {
  return wire::CreateGetState(builder, m.view, m.first, m.snapshot_index,
                              m.snapshot_offset);
}

auto Pack(FlatBufferBuilder& builder, const NewState& m) {
  const auto entries = PackEntries(builder, m.entries);
  return wire::CreateNewState(builder, m.view, m.commit, entries);
}

auto Pack(FlatBufferBuilder& builder, const SnapshotPart& m) {
  const auto bytes = PackBytes(builder, m.bytes);
  return wire::CreateSnapshotPart(builder, m.view, m.last_index, m.last_view,
                                  m.offset, m.total_size, bytes);
}

auto Pack(FlatBufferBuilder& builder, const StreamEntries& m) {
  const auto entries = PackEntries(builder, m.entries);
  return wire::CreateStreamEntries(builder, m.view, m.commit, entries);
}

auto Pack(FlatBufferBuilder& builder, const LeaseRequest& m) {
  return wire::CreateLeaseRequest(
      builder, m.number, static_cast<std::uint64_t>(m.session), m.applied);
}

auto Pack(FlatBufferBuilder& builder, const LeaseGrant& m) {
  return wire::CreateLeaseGrant(builder, m.number, m.view, m.commit);
}

std::string UnpackBytes(const Bytes& bytes) {
  return {reinterpret_cast<const char*>(bytes.data()), bytes.size()};
}

std::vector<LogEntry> UnpackEntries(const TableVector<wire::LogEntry>& packed) {
  std::vector<LogEntry> entries;
  entries.reserve(packed.size());
  for (const wire::LogEntry* entry : packed) {
    entries.push_back(LogEntry{entry->index(), entry->view(),
                               UnpackBytes(*entry->command())});
  }
  return entries;
}

Incarnations UnpackIncarnations(const TableVector<wire::Incarnation>& packed) {
  Incarnations incarnations;
  incarnations.reserve(packed.size());
  for (const wire::Incarnation* item : packed) {
    incarnations.emplace_back(
        FromDaemonIdFields(item->daemon(), item->address_id()),
        item->incarnation());
  }
  return incarnations;
}

ReplicationMessage Unpack(const wire::Prepare& m) {
  return Prepare{m.view(),
                 m.previous_index(),
                 m.previous_view(),
                 m.commit(),
                 m.view_start(),
                 m.round(),
                 UnpackEntries(*m.entries())};
}

ReplicationMessage Unpack(const wire::PrepareOk& m) {
  return PrepareOk{m.view(), m.synced(), m.round(), m.matched()};
}

ReplicationMessage Unpack(const wire::StartViewChange& m) {
  return StartViewChange{m.view()};
}

ReplicationMessage Unpack(const wire::DoViewChange& m) {
  return DoViewChange{m.view(),
                      m.last_normal_view(),
                      m.commit(),
                      m.log_end(),
                      UnpackEntries(*m.suffix()),
                      UnpackIncarnations(*m.incarnations())};
}

ReplicationMessage Unpack(const wire::StartView& m) {
  return StartView{m.view(), m.commit(), m.log_end(),
                   UnpackEntries(*m.suffix())};
}

ReplicationMessage Unpack(const wire::Recovery& m) {
  return Recovery{m.nonce(),
                  m.incarnation(),
                  m.disk_intact(),
                  {m.starts()->begin(), m.starts()->end()}};
}

ReplicationMessage Unpack(const wire::RecoveryResponse& m) {
  return RecoveryResponse{m.nonce(),
                          m.view(),
                          m.normal(),
                          m.known_incarnation(),
                          m.commit(),
                          m.log_end(),
                          UnpackIncarnations(*m.incarnations())};
}

ReplicationMessage Unpack(const wire::GetState& m) {
  return GetState{m.view(), m.first(), m.snapshot_index(), m.snapshot_offset()};
}

ReplicationMessage Unpack(const wire::NewState& m) {
  return NewState{m.view(), m.commit(), UnpackEntries(*m.entries())};
}

ReplicationMessage Unpack(const wire::SnapshotPart& m) {
  return SnapshotPart{m.view(),   m.last_index(), m.last_view(),
                      m.offset(), m.total_size(), UnpackBytes(*m.bytes())};
}

ReplicationMessage Unpack(const wire::StreamEntries& m) {
  return StreamEntries{m.view(), m.commit(), UnpackEntries(*m.entries())};
}

ReplicationMessage Unpack(const wire::LeaseRequest& m) {
  return LeaseRequest{m.number(), SessionId{m.session()}, m.applied()};
}

ReplicationMessage Unpack(const wire::LeaseGrant& m) {
  return LeaseGrant{m.number(), m.view(), m.commit()};
}

/// True if the entries have consecutive indexes from 1 or later, as the replica
/// requires.
bool Contiguous(const std::vector<LogEntry>& entries) {
  if (!entries.empty() && entries.front().index == 0) {
    return false;
  }
  for (std::size_t i = 1; i < entries.size(); ++i) {
    if (entries[i].index != entries[i - 1].index + 1) {
      return false;
    }
  }
  return true;
}

bool Consistent(const SnapshotPart& part) {
  return part.offset <= part.total_size &&
         part.bytes.size() <= part.total_size - part.offset;
}

bool Consistent(const ReplicationMessage& message) {
  return std::visit(
      [](const auto& m) {
        if constexpr (requires { m.entries; }) {
          return Contiguous(m.entries);
        } else if constexpr (requires { m.suffix; }) {
          return Contiguous(m.suffix);
        } else if constexpr (requires { m.total_size; }) {
          return Consistent(m);
        } else {
          return true;
        }
      },
      message);
}

template <class Table>
Result<ReplicationMessage> UnpackChecked(const Table* table) {
  ReplicationMessage message = Unpack(*table);
  if (!Consistent(message)) {
    return make_error_code(ReplicationError::kMalformedMessage);
  }
  return message;
}

Result<ReplicationMessage> UnpackBody(const wire::Message& m) {
  switch (m.body_type()) {
    case wire::Body::Prepare:
      return UnpackChecked(m.body_as_Prepare());
    case wire::Body::PrepareOk:
      return UnpackChecked(m.body_as_PrepareOk());
    case wire::Body::StartViewChange:
      return UnpackChecked(m.body_as_StartViewChange());
    case wire::Body::DoViewChange:
      return UnpackChecked(m.body_as_DoViewChange());
    case wire::Body::StartView:
      return UnpackChecked(m.body_as_StartView());
    case wire::Body::Recovery:
      return UnpackChecked(m.body_as_Recovery());
    case wire::Body::RecoveryResponse:
      return UnpackChecked(m.body_as_RecoveryResponse());
    case wire::Body::GetState:
      return UnpackChecked(m.body_as_GetState());
    case wire::Body::NewState:
      return UnpackChecked(m.body_as_NewState());
    case wire::Body::SnapshotPart:
      return UnpackChecked(m.body_as_SnapshotPart());
    case wire::Body::StreamEntries:
      return UnpackChecked(m.body_as_StreamEntries());
    case wire::Body::LeaseRequest:
      return UnpackChecked(m.body_as_LeaseRequest());
    case wire::Body::LeaseGrant:
      return UnpackChecked(m.body_as_LeaseGrant());
    default:
      // The verifier accepts unknown union members.
      return make_error_code(ReplicationError::kMalformedMessage);
  }
}

}  // namespace

std::string Encode(const ReplicationMessage& message) {
  FlatBufferBuilder builder;
  const auto body = std::visit(
      [&](const auto& m) { return Pack(builder, m).Union(); }, message);
  // The union in the schema lists its members in the order of
  // ReplicationMessage, after NONE.
  const auto type = static_cast<wire::Body>(message.index() + 1);
  wire::FinishMessageBuffer(builder, wire::CreateMessage(builder, type, body));
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
          builder.GetSize()};
}

Result<ReplicationMessage> Decode(std::string_view bytes) {
  // FlatBuffers reads in place and needs an aligned buffer.
  std::vector<std::uint64_t> aligned((bytes.size() + 7) / 8);
  auto* data = reinterpret_cast<std::uint8_t*>(aligned.data());
  bytes.copy(reinterpret_cast<char*>(data), bytes.size());
  flatbuffers::Verifier verifier(data, bytes.size());
  if (bytes.size() < sizeof(std::uint32_t) * 2 ||
      !wire::VerifyMessageBuffer(verifier)) {
    return make_error_code(ReplicationError::kMalformedMessage);
  }
  return UnpackBody(*wire::GetMessage(data));
}

}  // namespace mimosastage
