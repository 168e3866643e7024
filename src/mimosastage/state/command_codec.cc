#include "mimosastage/state/command_codec.h"

#include <cstdint>
#include <optional>
#include <utility>

#include "mimosastage/state/internal/flat_values.h"
#include "mimosastage/state/internal/state_generated.h"
#include "mimosastage/state/state_error.h"

namespace mimosastage {
namespace {

flat::NoopT FlatCommand(const Noop& /*noop*/) { return {}; }

flat::TableChangeT FlatCommand(const TableChange& change) {
  flat::TableChangeT flat;
  flat.change_id = change.change_id;
  flat.table = static_cast<std::uint8_t>(change.table);
  flat.base_version = change.base_version;
  for (const Row& row : change.upserts) {
    flat.upserts.push_back(ToFlat(row));
  }
  flat.deletes = change.deletes;
  return flat;
}

flat::KeyGrantT FlatCommand(const KeyGrant& grant) { return ToFlat(grant); }

flat::KeyRevokeT FlatCommand(const KeyRevoke& revoke) {
  flat::KeyRevokeT flat;
  flat.change_id = revoke.change_id;
  flat.key_id = revoke.key_id;
  return flat;
}

std::unique_ptr<flat::Session> FlatSession(const Session& session) {
  return std::make_unique<flat::Session>(ToFlat(session));
}

flat::SessionStartT FlatCommand(const SessionStart& start) {
  flat::SessionStartT flat;
  flat.session = FlatSession(start.session);
  return flat;
}

flat::SessionEndT FlatCommand(const SessionEnd& end) {
  flat::SessionEndT flat;
  flat.session = FlatSession(end.session);
  return flat;
}

flat::AllowanceMovesT FlatCommand(const AllowanceMoves& moves) {
  flat::AllowanceMovesT flat;
  for (const auto& [name, slots] : moves.backend_server_slots) {
    auto entry = std::make_unique<flat::BackendServerSlotsT>();
    entry->name = name;
    entry->slots = slots;
    flat.backend_server_slots.push_back(std::move(entry));
  }
  for (const AllowanceMove& move : moves.moves) {
    auto entry = std::make_unique<flat::AllowanceMoveT>();
    entry->kind = static_cast<std::uint8_t>(move.resource.kind);
    entry->name = move.resource.name;
    entry->session = FlatSession(move.session);
    entry->lend = move.lend;
    entry->returned_total = move.returned_total;
    flat.moves.push_back(std::move(entry));
  }
  return flat;
}

flat::IntentBeginT FlatCommand(const IntentBegin& begin) {
  flat::IntentBeginT flat;
  flat.team = begin.key.team.str();
  flat.idempotency_key = begin.key.idempotency_key;
  flat.session = FlatSession(begin.session);
  flat.fingerprint = begin.fingerprint;
  flat.at_ms = begin.at.count();
  return flat;
}

flat::IntentEndT FlatCommand(const IntentEnd& end) {
  flat::IntentEndT flat;
  flat.team = end.key.team.str();
  flat.idempotency_key = end.key.idempotency_key;
  flat.session = FlatSession(end.session);
  flat.outcome = static_cast<std::uint8_t>(end.outcome);
  flat.answer = ToFlat(end.answer);
  return flat;
}

flat::IntentExpiryT FlatCommand(const IntentExpiry& expiry) {
  flat::IntentExpiryT flat;
  flat.before_ms = expiry.before.count();
  return flat;
}

flat::InstanceTransitionT FlatCommand(const InstanceTransition& transition) {
  return ToFlat(transition);
}

std::optional<Command> CommandFrom(flat::TableChangeT& flat) {
  const auto table = EnumFrom(flat.table, TableKind::kPolicy);
  if (!table) {
    return std::nullopt;
  }
  TableChange change;
  change.change_id = std::move(flat.change_id);
  change.table = *table;
  change.base_version = flat.base_version;
  change.deletes = std::move(flat.deletes);
  for (const auto& holder : flat.upserts) {
    auto row = FromFlat(*holder);
    if (!row) {
      return std::nullopt;
    }
    change.upserts.push_back(*std::move(row));
  }
  return change;
}

std::optional<Command> CommandFrom(flat::AllowanceMovesT& flat) {
  AllowanceMoves moves;
  for (const auto& entry : flat.backend_server_slots) {
    moves.backend_server_slots.emplace_back(entry->name, entry->slots);
  }
  for (const auto& entry : flat.moves) {
    const auto kind = EnumFrom(entry->kind, ResourceKind::kBackendServerSlots);
    if (!kind) {
      return std::nullopt;
    }
    moves.moves.push_back({{*kind, entry->name},
                           FromFlat(*entry->session),
                           entry->lend,
                           entry->returned_total});
  }
  return moves;
}

std::optional<Command> CommandFrom(flat::IntentEndT& flat) {
  const auto outcome = EnumFrom(flat.outcome, IntentOutcome::kUnknown);
  if (!outcome) {
    return std::nullopt;
  }
  return IntentEnd{{TeamName(flat.team), flat.idempotency_key},
                   FromFlat(*flat.session),
                   *outcome,
                   FromFlat(*flat.answer)};
}

std::optional<Command> CommandFrom(flat::AnyCommandUnion& any) {
  switch (any.type) {
    case flat::AnyCommand::Noop:
      return Noop{};
    case flat::AnyCommand::TableChange:
      return CommandFrom(*any.AsTableChange());
    case flat::AnyCommand::KeyGrant:
      return FromFlat(*any.AsKeyGrant());
    case flat::AnyCommand::KeyRevoke:
      return KeyRevoke{any.AsKeyRevoke()->change_id, any.AsKeyRevoke()->key_id};
    case flat::AnyCommand::SessionStart:
      return SessionStart{FromFlat(*any.AsSessionStart()->session)};
    case flat::AnyCommand::SessionEnd:
      return SessionEnd{FromFlat(*any.AsSessionEnd()->session)};
    case flat::AnyCommand::AllowanceMoves:
      return CommandFrom(*any.AsAllowanceMoves());
    case flat::AnyCommand::IntentBegin: {
      const flat::IntentBeginT& begin = *any.AsIntentBegin();
      return IntentBegin{{TeamName(begin.team), begin.idempotency_key},
                         FromFlat(*begin.session),
                         begin.fingerprint,
                         WallTime(begin.at_ms)};
    }
    case flat::AnyCommand::IntentEnd:
      return CommandFrom(*any.AsIntentEnd());
    case flat::AnyCommand::IntentExpiry:
      return IntentExpiry{WallTime(any.AsIntentExpiry()->before_ms)};
    case flat::AnyCommand::InstanceTransition:
      return FromFlat(*any.AsInstanceTransition());
    case flat::AnyCommand::NONE:
      return std::nullopt;
  }
  return std::nullopt;
}

}  // namespace

std::string EncodeCommand(const Command& command) {
  flat::CommandT holder;
  std::visit([&](const auto& value) { holder.command.Set(FlatCommand(value)); },
             command);
  flatbuffers::FlatBufferBuilder builder;
  flat::FinishCommandBuffer(builder, flat::Command::Pack(builder, &holder));
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
          builder.GetSize()};
}

Result<Command> DecodeCommand(std::string_view bytes) {
  const AlignedBytes aligned(bytes);
  flatbuffers::Verifier verifier(aligned.data(), aligned.size());
  if (!flat::VerifyCommandBuffer(verifier)) {
    return make_error_code(StateError::kUndecodable);
  }
  flat::CommandT holder;
  flat::GetCommand(aligned.data())->UnPackTo(&holder);
  if (holder.command.value == nullptr) {
    return make_error_code(StateError::kUndecodable);
  }
  auto command = CommandFrom(holder.command);
  if (!command) {
    return make_error_code(StateError::kUndecodable);
  }
  return *std::move(command);
}

}  // namespace mimosastage
