#ifndef MIMOSASTAGE_BASE_TIME_H_
#define MIMOSASTAGE_BASE_TIME_H_

#include <chrono>

namespace mimosastage {

/// Clock for leases. It advances while the process or the whole instance is
/// suspended (CLOCK_BOOTTIME), so that a process that resumes sees that its
/// leases have expired.
struct LeaseClock {
  // Names required by the Clock requirements of <chrono>.
  // NOLINTBEGIN(readability-identifier-naming)
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<LeaseClock>;
  static constexpr bool is_steady = true;
  // NOLINTEND(readability-identifier-naming)

  /// Time since the instance booted. The packages without I/O (LOGIC_PACKAGES
  /// in CMakeLists.txt) never call this; they receive the time as an argument.
  static time_point now() noexcept;
};

using TimePoint = LeaseClock::time_point;
using Duration = LeaseClock::duration;

}  // namespace mimosastage

#endif  // MIMOSASTAGE_BASE_TIME_H_
