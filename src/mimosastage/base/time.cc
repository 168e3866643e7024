#include "mimosastage/base/time.h"

#include <ctime>

namespace mimosastage {

LeaseClock::time_point LeaseClock::now() noexcept {
  timespec reading{};
  clock_gettime(CLOCK_BOOTTIME, &reading);
  return time_point(std::chrono::seconds(reading.tv_sec) +
                    std::chrono::nanoseconds(reading.tv_nsec));
}

}  // namespace mimosastage
