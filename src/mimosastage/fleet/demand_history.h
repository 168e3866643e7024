#ifndef MIMOSASTAGE_FLEET_DEMAND_HISTORY_H_
#define MIMOSASTAGE_FLEET_DEMAND_HISTORY_H_

#include <cstddef>
#include <deque>

#include "mimosastage/base/time.h"

namespace mimosastage {

/// Time-weighted means of one pool's demand, per minute and per ten minutes.
/// Averaging over a minute smooths out bursts of a few seconds.
class DemandHistory {
 public:
  /// Sets the demand from `now` on: slots in use plus queued work, in slots.
  /// `now` must not decrease between calls.
  void Observe(double slots, TimePoint now);

  /// Slots that cover the given quantile (0 to 1) of the minute means of the
  /// last 30 minutes and the median of the ten-minute means of the last day.
  double RequiredSlots(double quantile) const;

  /// Complete minutes observed so far, at most 30.
  std::size_t minutes() const { return this->per_minute.size(); }

 private:
  void CloseMinute();

  bool started = false;
  TimePoint last_update{};
  TimePoint minute_start{};
  double current_slots = 0;
  /// Slot-seconds of the current, incomplete minute.
  double slot_seconds = 0;
  /// Mean demand, in slots, of each of the last 30 complete minutes.
  std::deque<double> per_minute;
  /// Complete minutes of the current period, not yet in `per_period`.
  std::size_t period_minutes = 0;
  double period_sum = 0;
  /// Mean demand, in slots, of each complete ten-minute period of the last day.
  std::deque<double> per_period;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_FLEET_DEMAND_HISTORY_H_
