#include "mimosastage/state/state_error.h"

#include <array>
#include <string>

namespace mimosastage {
namespace {

struct Description {
  StateError error;
  const char* reason;
  const char* message;
};

constexpr std::array kDescriptions{
    Description{StateError::kVersionConflict, "version_conflict",
                "the table has changed: read it again and repeat the change "
                "on the version in force, with a new change id"},
    Description{StateError::kBadChange, "bad_change",
                "the change is not well formed: correct it and use a new "
                "change id"},
    Description{StateError::kBadRow, "bad_row",
                "a row has a value that is not allowed: correct the row"},
    Description{StateError::kUnknownRow, "unknown_row",
                "the row to delete does not exist: leave it out"},
    Description{StateError::kUnknownPool, "unknown_pool",
                "the pool does not exist: create the pool first"},
    Description{StateError::kPoolInUse, "pool_in_use",
                "a route refers to the pool: change or delete the route "
                "first"},
    Description{StateError::kBudgetTooLarge, "budget_too_large",
                "the availability budget is larger than the pool: lower it or "
                "add instances"},
    Description{StateError::kInstanceInTwoPools, "instance_in_two_pools",
                "the instance is already in a pool: name it in one pool only"},
    Description{StateError::kTeamInUse, "team_in_use",
                "the team still has keys: revoke its keys first"},
    Description{StateError::kTableFull, "table_full",
                "the table has its largest number of rows: delete rows that "
                "are not needed"},
    Description{StateError::kUnknownTeam, "unknown_team",
                "the team does not exist: create the team first"},
    Description{StateError::kKeyExists, "key_exists",
                "the key id or the key is in use: choose another key id"},
    Description{StateError::kUnknownKey, "unknown_key",
                "no key has this id: list the keys in force"},
    Description{StateError::kKeysFull, "keys_full",
                "the largest number of keys is granted: revoke keys that are "
                "not needed"},
    Description{StateError::kSessionsFull, "sessions_full",
                "too many sessions have not ended: retry when the leader has "
                "ended old ones"},
    Description{StateError::kSessionNotAlive, "session_not_alive",
                "the session has not started or has ended: start a new one"},
    Description{StateError::kIntentInProgress, "intent_in_progress",
                "a request with this key is in progress: retry later"},
    Description{StateError::kIntentCompleted, "intent_completed",
                "a request with this key was completed: use its answer"},
    Description{StateError::kIntentUnknown, "intent_unknown",
                "the outcome of the request with this key is unknown: check "
                "its effect before you send it with another key"},
    Description{StateError::kIntentDiffers, "intent_differs",
                "the key was used for another request: use a new key"},
    Description{StateError::kIntentsFull, "intents_full",
                "too many requests are remembered: retry later"},
    Description{StateError::kIntentNotOwner, "intent_not_owner",
                "another session began the request: only it can end it"},
    Description{StateError::kIntentNotFound, "intent_not_found",
                "no request has this key: begin it first"},
    Description{StateError::kUnknownInstance, "unknown_instance",
                "no pool lists the instance: add it to a pool"},
    Description{StateError::kStaleEpoch, "stale_epoch",
                "the instance has a higher epoch: use the one in force"},
    Description{StateError::kEpochMustRise, "epoch_must_rise",
                "the instance is in another pool at this epoch: raise the "
                "epoch to move it"},
    Description{StateError::kInstanceInService, "instance_in_service",
                "the instance serves its old pool: drain it first"},
    Description{StateError::kBudgetSpent, "budget_spent",
                "the pool's availability budget is spent: wait until an "
                "instance is back in service"},
    Description{StateError::kAlreadyApplied, "already_applied",
                "the log index was applied before: apply indexes in order"},
    Description{StateError::kUndecodable, "undecodable",
                "the bytes are not a command of this version: check for "
                "corruption or a newer daemon in the cluster"},
    Description{StateError::kBadSnapshot, "bad_snapshot",
                "the bytes are not a snapshot of this version: check for "
                "corruption or a newer daemon in the cluster"},
};

const Description* Find(StateError error) {
  for (const Description& description : kDescriptions) {
    if (description.error == error) {
      return &description;
    }
  }
  return nullptr;
}

class StateCategory : public std::error_category {
 public:
  const char* name() const noexcept override { return "state"; }
  std::string message(int value) const override {
    const Description* found = Find(static_cast<StateError>(value));
    return found == nullptr ? "unknown state error" : found->message;
  }
};

const StateCategory& Category() {
  static const StateCategory category;
  return category;
}

}  // namespace

std::error_code make_error_code(StateError error) {
  return {static_cast<int>(error), Category()};
}

const char* ReasonOf(StateError error) {
  const Description* found = Find(error);
  return found == nullptr ? "unknown" : found->reason;
}

StateError AsStateError(std::error_code error) {
  return error.category() == Category() ? static_cast<StateError>(error.value())
                                        : StateError{};
}

}  // namespace mimosastage
