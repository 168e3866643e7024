#ifndef MIMOSASTAGE_MIMOSASTAGECTL_EXIT_CODE_H_
#define MIMOSASTAGE_MIMOSASTAGECTL_EXIT_CODE_H_

#include <cstdint>

namespace mimosastage {

/// Exit codes of mimosastagectl. Scripts depend on the numbers.
enum class ExitCode : std::uint8_t {
  kSuccess = 0,
  /// `diff` or `check` found a difference.
  kDifference = 1,
  kBadInput = 2,
  /// Another change came first, or the key id exists.
  kConflict = 3,
  /// No daemon could be reached or none accepted the request.
  kNotAccepted = 4,
  /// The change may have been accepted.
  kOutcomeUnknown = 5,
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_MIMOSASTAGECTL_EXIT_CODE_H_
