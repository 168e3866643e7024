#include "mimosastage/state/replicated_state.h"

#include <utility>
#include <variant>

#include "mimosastage/state/internal/snapshot_codec.h"
#include "mimosastage/state/state_error.h"

namespace mimosastage {
namespace {

constexpr std::size_t kMaxChangeIdBytes = 128;

Outcome OutcomeOf(ChangeRefusal refusal) {
  Outcome outcome;
  outcome.error = refusal.error;
  outcome.detail = std::move(refusal.detail);
  return outcome;
}

Outcome OutcomeOf(StateError error) {
  const std::error_code code = error;
  return OutcomeOf(ChangeRefusal{code, code.message()});
}

std::error_code ErrorOf(IntentBeginResult result) {
  switch (result) {
    case IntentBeginResult::kStarted:
      return {};
    case IntentBeginResult::kInProgress:
      return StateError::kIntentInProgress;
    case IntentBeginResult::kCompleted:
      return StateError::kIntentCompleted;
    case IntentBeginResult::kUnknown:
      return StateError::kIntentUnknown;
    case IntentBeginResult::kFingerprintDiffers:
      return StateError::kIntentDiffers;
    case IntentBeginResult::kFull:
      return StateError::kIntentsFull;
  }
  return StateError::kIntentUnknown;
}

}  // namespace

ReplicatedState::ReplicatedState()
    : allowances([this](const std::string& team) -> std::uint32_t {
        const Team* row = this->tables.FindTeam(team);
        return row == nullptr ? 0 : row->upper_limit;
      }) {}

Outcome ReplicatedState::Apply(LogIndex index, const Command& command) {
  if (index <= this->applied) {
    return OutcomeOf(StateError::kAlreadyApplied);
  }
  this->applied = index;
  return std::visit(
      [this](const auto& value) { return this->ApplyCommand(value); }, command);
}

const Outcome* ReplicatedState::FindChange(const std::string& change_id) const {
  return this->changes.Find(change_id);
}

template <class ApplyFunction>
Outcome ReplicatedState::ApplyOnce(const std::string& change_id,
                                   ApplyFunction apply) {
  if (change_id.empty() || change_id.size() > kMaxChangeIdBytes) {
    return OutcomeOf(ChangeRefusal{StateError::kBadChange,
                                   "change_id has " +
                                       std::to_string(change_id.size()) +
                                       " bytes; use 1 to 128"});
  }
  if (const Outcome* first = this->changes.Find(change_id)) {
    return *first;
  }
  Outcome outcome = apply();
  this->changes.Add(change_id, outcome);
  return outcome;
}

Outcome ReplicatedState::ApplyCommand(const Noop& /*noop*/) { return {}; }

Outcome ReplicatedState::ApplyCommand(const TableChange& change) {
  return this->ApplyOnce(change.change_id, [&] {
    ChangeRefusal refusal = this->CheckTeamDeletes(change);
    if (!refusal.error) {
      refusal = this->tables.Apply(change);
    }
    if (!refusal.error && change.table == TableKind::kPools) {
      this->instances.UpdateFromPools(this->tables);
    }
    Outcome outcome = OutcomeOf(std::move(refusal));
    outcome.version = this->tables.VersionOf(change.table);
    return outcome;
  });
}

ChangeRefusal ReplicatedState::CheckTeamDeletes(
    const TableChange& change) const {
  // A version conflict is reported first, because it may be the cause of any
  // other refusal.
  if (change.table != TableKind::kTeams ||
      change.base_version != this->tables.VersionOf(change.table)) {
    return {};
  }
  for (const std::string& name : change.deletes) {
    if (this->keys.TeamHasKeys(TeamName(name))) {
      return {StateError::kTeamInUse,
              "team " + name + " has keys; revoke them first"};
    }
  }
  return {};
}

Outcome ReplicatedState::ApplyCommand(const KeyGrant& grant) {
  return this->ApplyOnce(grant.change_id,
                         [&] { return OutcomeOf(this->GrantKey(grant)); });
}

ChangeRefusal ReplicatedState::GrantKey(const KeyGrant& grant) {
  if (this->tables.FindTeam(grant.team.str()) == nullptr) {
    return {StateError::kUnknownTeam,
            "team " + grant.team.str().substr(0, TableSet::kMaxNameBytes) +
                " does not exist; create it first"};
  }
  return this->keys.Grant(grant);
}

Outcome ReplicatedState::ApplyCommand(const KeyRevoke& revoke) {
  return this->ApplyOnce(revoke.change_id,
                         [&] { return OutcomeOf(this->keys.Revoke(revoke)); });
}

Outcome ReplicatedState::ApplyCommand(const SessionStart& start) {
  if (!this->sessions.contains(start.session) &&
      this->sessions.size() >= kMaxSessions) {
    return OutcomeOf(StateError::kSessionsFull);
  }
  this->sessions.insert(start.session);
  this->allowances.StartSession(start.session);
  return {};
}

Outcome ReplicatedState::ApplyCommand(const SessionEnd& end) {
  this->sessions.erase(end.session);
  this->allowances.EndSession(end.session);
  this->intents.EndSession(end.session);
  return {};
}

Outcome ReplicatedState::ApplyCommand(const AllowanceMoves& moves) {
  this->allowances.Apply(moves);
  return {};
}

Outcome ReplicatedState::ApplyCommand(const IntentBegin& begin) {
  // No SessionEnd would come to end an intent of a session that has ended.
  if (!this->sessions.contains(begin.session)) {
    return OutcomeOf(StateError::kSessionNotAlive);
  }
  IntentBeginOutcome begun = this->intents.Begin(begin);
  Outcome outcome;
  outcome.error = ErrorOf(begun.result);
  if (outcome.error) {
    outcome.detail = outcome.error.message();
  }
  outcome.answer = std::move(begun.answer);
  return outcome;
}

Outcome ReplicatedState::ApplyCommand(const IntentEnd& end) {
  switch (this->intents.End(end)) {
    case IntentEndResult::kEnded:
    case IntentEndResult::kAlreadyEnded:
      return {};
    case IntentEndResult::kNotOwner:
      return OutcomeOf(StateError::kIntentNotOwner);
    case IntentEndResult::kNotFound:
      return OutcomeOf(StateError::kIntentNotFound);
  }
  return {};
}

Outcome ReplicatedState::ApplyCommand(const IntentExpiry& expiry) {
  this->intents.Expire(expiry);
  return {};
}

Outcome ReplicatedState::ApplyCommand(const InstanceTransition& transition) {
  return OutcomeOf(this->instances.Apply(transition, this->tables));
}

std::string ReplicatedState::Snapshot() const {
  SnapshotContent content;
  content.applied = this->applied;
  for (const TableKind table : {TableKind::kRoutes, TableKind::kPools,
                                TableKind::kTeams, TableKind::kPolicy}) {
    content.versions.at(static_cast<std::size_t>(table)) =
        this->tables.VersionOf(table);
    const std::vector<Row> rows = this->tables.Rows(table);
    content.rows.insert(content.rows.end(), rows.begin(), rows.end());
  }
  content.changes = this->changes.Records();
  content.keys = this->keys.Keys();
  content.sessions = this->sessions;
  content.allowances = this->allowances.Holdings();
  content.intents = this->intents.Records();
  content.instances = this->instances.All();
  content.epoch_floor = this->instances.EpochFloor();
  return EncodeSnapshot(content);
}

std::error_code ReplicatedState::Restore(std::string_view snapshot) {
  Result<SnapshotContent> decoded = DecodeSnapshot(snapshot);
  if (!decoded) {
    return decoded.error();
  }
  SnapshotContent& content = *decoded;
  this->applied = content.applied;
  this->tables.Restore(content.versions, content.rows);
  this->changes.Restore(content.changes);
  this->keys.Restore(content.keys);
  this->instances.Restore(std::move(content.instances), content.epoch_floor);
  this->sessions = content.sessions;
  this->allowances.Restore(content.allowances);
  for (const Session& session : this->sessions) {
    this->allowances.StartSession(session);
  }
  this->intents.Restore(std::move(content.intents));
  return {};
}

}  // namespace mimosastage
