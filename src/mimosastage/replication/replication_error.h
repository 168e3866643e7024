#ifndef MIMOSASTAGE_REPLICATION_REPLICATION_ERROR_H_
#define MIMOSASTAGE_REPLICATION_REPLICATION_ERROR_H_

#include <system_error>

namespace mimosastage {

enum class ReplicationError {
  kNotLeader = 1,
  kTooManyPending,
  kCommandTooLong,
  kMalformedMessage,
  kInvalidMembership
};

const std::error_category& ReplicationCategory() noexcept;
std::error_code make_error_code(ReplicationError error) noexcept;

}  // namespace mimosastage

template <>
struct std::is_error_code_enum<mimosastage::ReplicationError> : std::true_type {
};

#endif  // MIMOSASTAGE_REPLICATION_REPLICATION_ERROR_H_
