#include "mimosastage/state/internal/snapshot_codec.h"

#include <algorithm>
#include <utility>

#include "mimosastage/state/internal/flat_values.h"
#include "mimosastage/state/internal/state_generated.h"
#include "mimosastage/state/state_error.h"

namespace mimosastage {
namespace {

constexpr const char* kFileIdentifier = "MSS1";

// Limit of the FlatBuffers verifier on the number of tables. The state's bounds
// allow one table for each holding of 256 sessions in 4,096 backend servers and
// 4,096 teams (2,097,152), two for each of 65,536 intents (131,072) and of
// 16,384 rows (32,768), and one for each of 4,096 changes, 8,192 keys and 4,096
// instances: 2,277,377 with the root. The default is 1,000,000.
constexpr flatbuffers::uoffset_t kMaxFlatTables = 4'000'000;

std::unique_ptr<flat::ChangeOutcomeT> Flat(
    const ChangeOutcomes::Record& record) {
  auto flat = std::make_unique<flat::ChangeOutcomeT>();
  const auto& [change_id, outcome] = record;
  flat->change_id = change_id;
  flat->error = static_cast<std::uint16_t>(AsStateError(outcome.error));
  flat->version = outcome.version;
  flat->detail = outcome.detail;
  return flat;
}

ChangeOutcomes::Record RecordFrom(const flat::ChangeOutcomeT& flat) {
  Outcome outcome;
  if (flat.error != 0) {
    outcome.error = static_cast<StateError>(flat.error);
  }
  outcome.version = flat.version;
  outcome.detail = flat.detail;
  return {flat.change_id, std::move(outcome)};
}

std::unique_ptr<flat::KeyGrantT> Flat(const Key& key) {
  return std::make_unique<flat::KeyGrantT>(
      ToFlat(KeyGrant{"", key.key_id, key.hash, key.team, key.client}));
}

std::unique_ptr<flat::HoldingT> Flat(const AllowanceHolding& holding) {
  auto flat = std::make_unique<flat::HoldingT>();
  flat->kind = static_cast<std::uint8_t>(holding.resource.kind);
  flat->name = holding.resource.name;
  flat->session = std::make_unique<flat::Session>(ToFlat(holding.session));
  flat->lent_total = holding.lent_total;
  flat->returned_total = holding.returned_total;
  flat->slots = holding.slots;
  return flat;
}

std::unique_ptr<flat::IntentT> Flat(const IntentRecord& intent) {
  auto flat = std::make_unique<flat::IntentT>();
  flat->team = intent.key.team.str();
  flat->idempotency_key = intent.key.idempotency_key;
  flat->session = std::make_unique<flat::Session>(ToFlat(intent.session));
  flat->fingerprint = intent.fingerprint;
  flat->at_ms = intent.at.count();
  flat->state = static_cast<std::uint8_t>(intent.state);
  flat->answer = ToFlat(intent.answer);
  return flat;
}

std::unique_ptr<flat::InstanceTransitionT> Flat(
    const InstanceTable::Instances::value_type& item) {
  const auto& [name, instance] = item;
  return std::make_unique<flat::InstanceTransitionT>(ToFlat(
      InstanceTransition{name, instance.pool, instance.epoch, instance.state}));
}

template <class From, class To>
void FlatAll(const From& from, To* to) {
  to->reserve(from.size());
  for (const auto& item : from) {
    to->push_back(Flat(item));
  }
}

bool ReadVersions(const flat::SnapshotT& flat, SnapshotContent* content) {
  if (flat.versions.size() != content->versions.size()) {
    return false;
  }
  std::copy(flat.versions.begin(), flat.versions.end(),
            content->versions.begin());
  return true;
}

bool ReadRows(const flat::SnapshotT& flat, SnapshotContent* content) {
  for (const auto& holder : flat.rows) {
    auto row = FromFlat(*holder);
    if (!row) {
      return false;
    }
    content->rows.push_back(*std::move(row));
  }
  return true;
}

bool ReadKeys(const flat::SnapshotT& flat, SnapshotContent* content) {
  for (const auto& entry : flat.keys) {
    auto grant = FromFlat(*entry);
    if (!grant) {
      return false;
    }
    content->keys.push_back(
        {grant->key_id, grant->hash, grant->team, grant->client});
  }
  return true;
}

bool ReadAllowances(const flat::SnapshotT& flat, SnapshotContent* content) {
  for (const auto& entry : flat.allowances) {
    const auto kind = EnumFrom(entry->kind, ResourceKind::kBackendServerSlots);
    if (!kind) {
      return false;
    }
    content->allowances.push_back({{*kind, entry->name},
                                   FromFlat(*entry->session),
                                   entry->lent_total,
                                   entry->returned_total,
                                   entry->slots});
  }
  return true;
}

bool ReadIntents(const flat::SnapshotT& flat, SnapshotContent* content) {
  for (const auto& entry : flat.intents) {
    const auto state = EnumFrom(entry->state, IntentState::kUnknown);
    if (!state) {
      return false;
    }
    content->intents.push_back({{TeamName(entry->team), entry->idempotency_key},
                                FromFlat(*entry->session),
                                entry->fingerprint,
                                WallTime(entry->at_ms),
                                *state,
                                FromFlat(*entry->answer)});
  }
  return true;
}

bool ReadInstances(const flat::SnapshotT& flat, SnapshotContent* content) {
  for (const auto& entry : flat.instances) {
    auto transition = FromFlat(*entry);
    if (!transition) {
      return false;
    }
    content->instances[transition->instance] = {
        transition->pool, transition->epoch, transition->state};
  }
  return true;
}

}  // namespace

std::string EncodeSnapshot(const SnapshotContent& content) {
  flat::SnapshotT flat;
  flat.applied = content.applied;
  flat.versions.assign(content.versions.begin(), content.versions.end());
  for (const Row& row : content.rows) {
    flat.rows.push_back(ToFlat(row));
  }
  FlatAll(content.changes, &flat.changes);
  FlatAll(content.keys, &flat.keys);
  for (const Session& session : content.sessions) {
    flat.sessions.push_back(ToFlat(session));
  }
  FlatAll(content.allowances, &flat.allowances);
  FlatAll(content.intents, &flat.intents);
  FlatAll(content.instances, &flat.instances);
  flat.epoch_floor = content.epoch_floor;
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(flat::Snapshot::Pack(builder, &flat), kFileIdentifier);
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
          builder.GetSize()};
}

Result<SnapshotContent> DecodeSnapshot(std::string_view bytes) {
  const AlignedBytes aligned(bytes);
  flatbuffers::Verifier verifier(aligned.data(), aligned.size(), 64,
                                 kMaxFlatTables);
  if (!verifier.VerifyBuffer<flat::Snapshot>(kFileIdentifier)) {
    return make_error_code(StateError::kBadSnapshot);
  }
  flat::SnapshotT flat;
  flatbuffers::GetRoot<flat::Snapshot>(aligned.data())->UnPackTo(&flat);
  SnapshotContent content;
  content.applied = flat.applied;
  content.epoch_floor = flat.epoch_floor;
  for (const auto& entry : flat.changes) {
    content.changes.push_back(RecordFrom(*entry));
  }
  for (const flat::Session& session : flat.sessions) {
    content.sessions.insert(FromFlat(session));
  }
  if (!ReadVersions(flat, &content) || !ReadRows(flat, &content) ||
      !ReadKeys(flat, &content) || !ReadAllowances(flat, &content) ||
      !ReadIntents(flat, &content) || !ReadInstances(flat, &content)) {
    return make_error_code(StateError::kBadSnapshot);
  }
  return content;
}

}  // namespace mimosastage
