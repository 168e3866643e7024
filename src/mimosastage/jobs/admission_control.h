#ifndef MIMOSASTAGE_JOBS_ADMISSION_CONTROL_H_
#define MIMOSASTAGE_JOBS_ADMISSION_CONTROL_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "mimosastage/base/time.h"

namespace mimosastage::jobs {

/// Estimates how long a new task would wait for its start while the leader
/// can't start tasks as fast as they arrive. Waiting for free workers isn't
/// considered, because pools grow within seconds.
class AdmissionControl {
 public:
  /// Records the start of a run.
  void OnStart(TimePoint now);
  /// Records that tasks wait because the leader has too many starts open.
  void OnStartsBlocked(TimePoint now) { this->last_blocked = now; }
  /// Adds the tasks of an accepted job.
  void OnAccepted(std::size_t tasks) { this->backlog += tasks; }
  /// Corrects the number of tasks that wait for their start.
  void SetBacklog(std::size_t tasks) { this->backlog = tasks; }

  /// True if starts were blocked lately.
  bool IsOverloaded(TimePoint now) const;
  /// Expected wait of a task that is accepted at `now`; nullopt if the leader
  /// starts tasks as fast as they arrive.
  std::optional<std::chrono::milliseconds> ExpectedWait(TimePoint now) const;

 private:
  static constexpr std::chrono::milliseconds kSlotLength{100};
  static constexpr std::size_t kSlots = 10;
  struct Slot {
    std::int64_t number = 0;
    std::size_t starts = 0;
  };

  static std::int64_t SlotNumber(TimePoint now);
  std::size_t RecentStarts(TimePoint now) const;

  std::array<Slot, kSlots> slots{};
  std::size_t backlog = 0;
  std::optional<TimePoint> last_blocked;
};

}  // namespace mimosastage::jobs

#endif  // MIMOSASTAGE_JOBS_ADMISSION_CONTROL_H_
