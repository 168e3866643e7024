#ifndef MIMOSASTAGE_STATE_INTERNAL_SNAPSHOT_CODEC_H_
#define MIMOSASTAGE_STATE_INTERNAL_SNAPSHOT_CODEC_H_

#include <array>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "mimosastage/admission/allowance_ledger.h"
#include "mimosastage/base/result.h"
#include "mimosastage/replication/messages.h"
#include "mimosastage/routing/intent_table.h"
#include "mimosastage/state/change_outcomes.h"
#include "mimosastage/state/commands.h"
#include "mimosastage/state/instance_table.h"
#include "mimosastage/state/key_table.h"
#include "mimosastage/state/tables.h"

namespace mimosastage {

/// The decoded content of a snapshot.
struct SnapshotContent {
  LogIndex applied = 0;
  std::array<std::uint64_t, 4> versions{};
  std::vector<Row> rows;
  std::vector<ChangeOutcomes::Record> changes;
  std::vector<Key> keys;
  std::set<Session> sessions;
  std::vector<AllowanceHolding> allowances;
  std::vector<IntentRecord> intents;
  InstanceTable::Instances instances;
  std::uint64_t epoch_floor = 0;
};

/// Encodes a snapshot; equal contents give equal bytes.
std::string EncodeSnapshot(const SnapshotContent& content);

/// Verifies and decodes a snapshot. Bytes that EncodeSnapshot can't have
/// written give StateError::kBadSnapshot. Doesn't check the constraints of the
/// tables.
Result<SnapshotContent> DecodeSnapshot(std::string_view bytes);

}  // namespace mimosastage

#endif  // MIMOSASTAGE_STATE_INTERNAL_SNAPSHOT_CODEC_H_
