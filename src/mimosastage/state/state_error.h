#ifndef MIMOSASTAGE_STATE_STATE_ERROR_H_
#define MIMOSASTAGE_STATE_STATE_ERROR_H_

#include <cstdint>
#include <system_error>

namespace mimosastage {

/// Why a command was refused. The values are stored in snapshots; add new ones
/// only at the end.
enum class StateError : std::uint16_t {
  kVersionConflict = 1,
  kBadChange,
  kBadRow,
  kUnknownRow,
  kUnknownPool,
  kPoolInUse,
  kBudgetTooLarge,
  kInstanceInTwoPools,
  kTeamInUse,
  kTableFull,
  kUnknownTeam,
  kKeyExists,
  kUnknownKey,
  kKeysFull,
  kSessionsFull,
  kSessionNotAlive,
  kIntentInProgress,
  kIntentCompleted,
  kIntentUnknown,
  kIntentDiffers,
  kIntentsFull,
  kIntentNotOwner,
  kIntentNotFound,
  kUnknownInstance,
  kStaleEpoch,
  kEpochMustRise,
  kInstanceInService,
  kBudgetSpent,
  kAlreadyApplied,
  kUndecodable,
  kBadSnapshot,
};

std::error_code make_error_code(StateError error);

/// The error as a snake_case identifier, for the `reason` of a refusal.
const char* ReasonOf(StateError error);

/// Converts `error` to a StateError; StateError{} if it has another category.
StateError AsStateError(std::error_code error);

}  // namespace mimosastage

template <>
struct std::is_error_code_enum<mimosastage::StateError> : std::true_type {};

#endif  // MIMOSASTAGE_STATE_STATE_ERROR_H_
