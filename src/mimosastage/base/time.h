#ifndef MIMOSASTAGE_BASE_TIME_H_
#define MIMOSASTAGE_BASE_TIME_H_

#include <chrono>

namespace mimosastage {

/// Clock that leases are counted on. It advances while the process or the
/// whole instance is suspended (CLOCK_BOOTTIME), so that a thawed process sees
/// its leases lapsed.
struct LeaseClock {
  // The names that <chrono> asks of a clock.
  // NOLINTBEGIN(readability-identifier-naming)
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<LeaseClock>;
  static constexpr bool is_steady = true;
  // NOLINTEND(readability-identifier-naming)

  /// Time since the machine started. Decision classes never call this; they
  /// receive the time as an argument.
  static time_point now() noexcept;
};

using TimePoint = LeaseClock::time_point;
using Duration = LeaseClock::duration;

}  // namespace mimosastage

#endif  // MIMOSASTAGE_BASE_TIME_H_
