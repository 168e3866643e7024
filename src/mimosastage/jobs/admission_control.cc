#include "mimosastage/jobs/admission_control.h"

#include <algorithm>

namespace mimosastage::jobs {
namespace {

using std::chrono::milliseconds;

/// How long the leader counts as overloaded after starts were last blocked.
/// Longer than the interval between two placements.
constexpr milliseconds kBlockedMemory{500};

}  // namespace

std::int64_t AdmissionControl::SlotNumber(TimePoint now) {
  return now.time_since_epoch() / kSlotLength;
}

void AdmissionControl::OnStart(TimePoint now) {
  const std::int64_t number = SlotNumber(now);
  Slot& slot = this->slots[static_cast<std::size_t>(number) % kSlots];
  if (slot.number != number) {
    slot = Slot{number, 0};
  }
  ++slot.starts;
  this->backlog -= std::min<std::size_t>(this->backlog, 1);
}

std::size_t AdmissionControl::RecentStarts(TimePoint now) const {
  const std::int64_t oldest =
      SlotNumber(now) - static_cast<std::int64_t>(kSlots);
  std::size_t starts = 0;
  for (const Slot& slot : this->slots) {
    starts += slot.number > oldest ? slot.starts : 0;
  }
  return starts;
}

bool AdmissionControl::IsOverloaded(TimePoint now) const {
  return this->last_blocked.has_value() &&
         now - *this->last_blocked <= kBlockedMemory;
}

std::optional<milliseconds> AdmissionControl::ExpectedWait(
    TimePoint now) const {
  if (!this->IsOverloaded(now)) {
    return std::nullopt;
  }
  const std::size_t starts = std::max<std::size_t>(1, this->RecentStarts(now));
  const milliseconds span = kSlotLength * static_cast<std::int64_t>(kSlots);
  return span * static_cast<std::int64_t>(this->backlog) /
         static_cast<std::int64_t>(starts);
}

}  // namespace mimosastage::jobs
