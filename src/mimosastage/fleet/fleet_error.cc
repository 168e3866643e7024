#include "mimosastage/fleet/fleet_error.h"

#include <string>

namespace mimosastage {
namespace {

class Category : public std::error_category {
 public:
  const char* name() const noexcept override { return "fleet"; }

  std::string message(int value) const override {
    switch (static_cast<FleetError>(value)) {
      case FleetError::kOldView:
        return "the command is from an earlier leader; report to the leader "
               "of the current view";
      case FleetError::kOldEpoch:
        return "the command is for an earlier epoch of the instance; read "
               "the instance's epoch again";
      case FleetError::kWrongInstance:
        return "the command is for another instance; send it to that one";
      case FleetError::kWrongBootId:
        return "the instance has rebooted already; wait for its next report";
      case FleetError::kLeaseEnded:
        return "the lease ended before the command arrived; place the job "
               "again";
      case FleetError::kJobExists:
        return "a different job has this name; choose another name";
      case FleetError::kUnknownJob:
        return "no job has this name; submit it first";
      case FleetError::kTableFull:
        return "the job table is full; wait until jobs end";
      case FleetError::kJobNotWaiting:
        return "the job isn't waiting: it is placed, ended or set aside; read "
               "its state";
      case FleetError::kLeaseNotEnded:
        return "the job's previous lease may still be valid; wait until it "
               "ends";
      case FleetError::kUnknownInstance:
        return "no instance has this name; add it to a pool first";
      case FleetError::kBudgetExhausted:
        return "the pool's availability budget is exhausted; wait for an "
               "instance to return or raise the budget";
      case FleetError::kNotServing:
        return "the instance isn't serving; wait until it returns to service";
      case FleetError::kSamePool:
        return "the instance is already in this pool; choose another pool";
    }
    return "unknown fleet error; upgrade this program";
  }
};

}  // namespace

const std::error_category& FleetCategory() {
  static const Category category;
  return category;
}

std::error_code make_error_code(FleetError error) {
  return {static_cast<int>(error), FleetCategory()};
}

}  // namespace mimosastage
