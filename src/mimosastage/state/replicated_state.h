#ifndef MIMOSASTAGE_STATE_REPLICATED_STATE_H_
#define MIMOSASTAGE_STATE_REPLICATED_STATE_H_

#include <cstddef>
#include <set>
#include <string>
#include <string_view>
#include <system_error>

#include "mimosastage/admission/allowance_ledger.h"
#include "mimosastage/replication/messages.h"
#include "mimosastage/routing/intent_table.h"
#include "mimosastage/state/change_outcomes.h"
#include "mimosastage/state/commands.h"
#include "mimosastage/state/instance_table.h"
#include "mimosastage/state/key_table.h"
#include "mimosastage/state/table_set.h"

namespace mimosastage {

/// The replicated state machine. Applying the same commands in the same order
/// gives the same state and the same outcomes on every daemon; it reads no
/// clock and draws no random numbers. Not thread-safe.
class ReplicatedState {
 public:
  static constexpr std::size_t kMaxSessions = 256;

  ReplicatedState();
  // The ledger reads the table of teams of this object.
  ReplicatedState(const ReplicatedState&) = delete;
  ReplicatedState& operator=(const ReplicatedState&) = delete;

  /// Applies the command at `index`, which must be above Applied(). Errors are
  /// of StateError; a refused command changes nothing but the table of change
  /// ids. A change id that was seen before gets its first outcome.
  Outcome Apply(LogIndex index, const Command& command);

  /// Index of the last command applied, or 0.
  LogIndex Applied() const { return this->applied; }

  const TableSet& Tables() const { return this->tables; }
  const KeyTable& Keys() const { return this->keys; }
  const InstanceTable& Instances() const { return this->instances; }
  const AllowanceLedger& Allowances() const { return this->allowances; }
  const IntentTable& Intents() const { return this->intents; }
  /// Sessions that have started and not ended.
  const std::set<Session>& Sessions() const { return this->sessions; }
  /// The outcome of a change among the last 4,096, or null.
  const Outcome* FindChange(const std::string& change_id) const;

  /// The whole state; equal states give equal bytes.
  std::string Snapshot() const;
  /// Replaces the state by a snapshot. Bytes that are no snapshot give
  /// StateError::kBadSnapshot and change nothing.
  std::error_code Restore(std::string_view snapshot);

 private:
  Outcome Do(const Noop& noop);
  Outcome Do(const TableChange& change);
  Outcome Do(const KeyGrant& grant);
  Outcome Do(const KeyRevoke& revoke);
  Outcome Do(const SessionStart& start);
  Outcome Do(const SessionEnd& end);
  Outcome Do(const AllowanceMoves& moves);
  Outcome Do(const IntentBegin& begin);
  Outcome Do(const IntentEnd& end);
  Outcome Do(const IntentExpiry& expiry);
  Outcome Do(const InstanceTransition& transition);

  /// Runs `make` for a new change id and keeps its outcome.
  template <class Make>
  Outcome Once(const std::string& change_id, Make make);
  ChangeRefusal CheckTeamDeletes(const TableChange& change) const;
  ChangeRefusal GrantKey(const KeyGrant& grant);

  LogIndex applied = 0;
  TableSet tables;
  ChangeOutcomes changes;
  KeyTable keys;
  InstanceTable instances;
  std::set<Session> sessions;
  AllowanceLedger allowances;
  IntentTable intents;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_STATE_REPLICATED_STATE_H_
