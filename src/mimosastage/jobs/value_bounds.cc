#include "mimosastage/jobs/value_bounds.h"

#include <algorithm>
#include <limits>

namespace mimosastage::jobs {
namespace {

Amount Clamped(const Amount* amount, std::int64_t least, std::int64_t most) {
  Amount bounded;
  if (amount != nullptr) {
    bounded.millicores = std::clamp(amount->millicores, least, most);
    bounded.memory_mb = std::clamp(amount->memory_mb, least, most);
    bounded.accelerators = std::clamp(amount->accelerators, least, most);
  }
  return bounded;
}

bool IsPlausibleCapacity(const Amount* capacity) {
  const auto in_range = [](std::int64_t amount) {
    return amount >= 0 && amount <= kMaxAmount;
  };
  return capacity != nullptr && in_range(capacity->millicores) &&
         in_range(capacity->memory_mb) && in_range(capacity->accelerators);
}

}  // namespace

Amount NeedOf(const Step& step) {
  return Clamped(step.need.get(), 0, kMaxAmount + 1);
}

Amount CapacityOf(const Worker& worker) {
  return IsPlausibleCapacity(worker.capacity.get()) ? *worker.capacity
                                                    : Amount();
}

Amount UpperLimitOf(const Team& team) {
  return Clamped(team.upper_limit.get(), -1,
                 std::numeric_limits<std::int64_t>::max());
}

bool IsPlausible(const Worker& worker) {
  return IsPlausibleCapacity(worker.capacity.get()) &&
         IsPlausibleStart(worker.born_ms);
}

bool IsPlausibleStart(std::int64_t born_ms) {
  return born_ms >= 0 && born_ms <= kLongestTime.count();
}

std::chrono::milliseconds BoundedTime(std::int64_t time_ms) {
  return std::clamp(std::chrono::milliseconds(time_ms), -kLongestTime,
                    kLongestTime);
}

std::chrono::milliseconds BoundedTime(std::uint64_t time_ms) {
  constexpr auto kMost = static_cast<std::uint64_t>(kLongestTime.count());
  return std::chrono::milliseconds(std::min(time_ms, kMost));
}

}  // namespace mimosastage::jobs
