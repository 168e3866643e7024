#include "mimosastage/replication/replication_error.h"

#include <string>

namespace mimosastage {
namespace {

class Category : public std::error_category {
 public:
  const char* name() const noexcept override { return "replication"; }

  std::string message(int value) const override {
    switch (static_cast<ReplicationError>(value)) {
      case ReplicationError::kNotLeader:
        return "this daemon does not lead the replicated log; send the command "
               "to the leader";
      case ReplicationError::kTooManyPending:
        return "too many commands wait for a quorum; retry later, and check "
               "that a quorum of voters is reachable";
      case ReplicationError::kCommandTooLong:
        return "the command exceeds the maximum size of a log entry; split it "
               "into smaller commands";
      case ReplicationError::kMalformedMessage:
        return "the replication message is malformed; check that all daemons "
               "run the same release";
      case ReplicationError::kInvalidMembership:
        return "the membership isn't a valid successor of the one in force; "
               "fill or vacate one slot, and keep the leader and a quorum of "
               "voters";
    }
    return "unknown replication error " + std::to_string(value);
  }
};

}  // namespace

const std::error_category& ReplicationCategory() noexcept {
  static const Category category;
  return category;
}

std::error_code make_error_code(ReplicationError error) noexcept {
  return {static_cast<int>(error), ReplicationCategory()};
}

}  // namespace mimosastage
