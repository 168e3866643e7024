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
  // Not copyable: the ledger refers to this object's table of teams.
  ReplicatedState(const ReplicatedState&) = delete;
  ReplicatedState& operator=(const ReplicatedState&) = delete;

  /// Applies the command at `index`, which must be above Applied(). Errors are
  /// of StateError; a refused command changes nothing but the recorded change
  /// outcomes. A change id with a recorded outcome gets that outcome again.
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
  /// The outcome of a change among the last 4,096 changes, or null.
  const Outcome* FindChange(const std::string& change_id) const;

  /// Encodes the whole state; equal states give equal bytes.
  std::string Snapshot() const;
  /// Replaces the state with a snapshot. Bytes that aren't a valid snapshot
  /// give StateError::kBadSnapshot and change nothing.
  std::error_code Restore(std::string_view snapshot);

 private:
  Outcome ApplyCommand(const Noop& noop);
  Outcome ApplyCommand(const TableChange& change);
  Outcome ApplyCommand(const KeyGrant& grant);
  Outcome ApplyCommand(const KeyRevoke& revoke);
  Outcome ApplyCommand(const SessionStart& start);
  Outcome ApplyCommand(const SessionEnd& end);
  Outcome ApplyCommand(const AllowanceMoves& moves);
  Outcome ApplyCommand(const IntentBegin& begin);
  Outcome ApplyCommand(const IntentEnd& end);
  Outcome ApplyCommand(const IntentExpiry& expiry);
  Outcome ApplyCommand(const InstanceTransition& transition);

  /// Returns the recorded outcome of a known change id; otherwise runs `apply`
  /// and records its outcome.
  template <class ApplyFunction>
  Outcome ApplyOnce(const std::string& change_id, ApplyFunction apply);
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
