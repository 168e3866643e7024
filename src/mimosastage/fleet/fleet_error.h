#ifndef MIMOSASTAGE_FLEET_FLEET_ERROR_H_
#define MIMOSASTAGE_FLEET_FLEET_ERROR_H_

#include <system_error>

namespace mimosastage {

enum class FleetError {
  kOldView = 1,
  kOldEpoch,
  kWrongInstance,
  kWrongBootId,
  kLeaseEnded,
  kJobExists,
  kUnknownJob,
  kTableFull,
  kJobNotWaiting,
  kLeaseNotEnded,
  kUnknownInstance,
  kBudgetExhausted,
  kNotServing,
  kSamePool
};

const std::error_category& FleetCategory();

std::error_code make_error_code(FleetError error);

}  // namespace mimosastage

template <>
struct std::is_error_code_enum<mimosastage::FleetError> : std::true_type {};

#endif  // MIMOSASTAGE_FLEET_FLEET_ERROR_H_
