#ifndef MIMOSASTAGE_MIMOSASTAGECTL_EXIT_CODE_H_
#define MIMOSASTAGE_MIMOSASTAGECTL_EXIT_CODE_H_

#include <cstdint>

namespace mimosastage {

/// Exit codes of mimosastagectl; scripts depend on the numbers.
enum class ExitCode : std::uint8_t {
  kDone = 0,
  kDifference = 1,
  kBadInput = 2,
  kConflict = 3,
  kNotAccepted = 4,
  kUnknown = 5,
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_MIMOSASTAGECTL_EXIT_CODE_H_
