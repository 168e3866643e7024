#ifndef MIMOSASTAGE_FLEET_DEMAND_HISTORY_H_
#define MIMOSASTAGE_FLEET_DEMAND_HISTORY_H_

#include <cstddef>
#include <deque>

#include "mimosastage/base/time.h"

namespace mimosastage {

/// Means of one pool's demand over minutes and hours. Surges of some seconds
/// only show in the mean of their minute.
class DemandHistory {
 public:
  /// `slots` is the demand from `now` on: slots in use and work that waits for
  /// one. Times must not go back.
  void Observe(double slots, TimePoint now);

  /// Slots that suffice for a fraction `quantile` (0 to 1) of the last half
  /// hour's minutes, and for half of the last day's parts of ten minutes.
  double Need(double quantile) const;

  /// Whole minutes seen so far, at most 30.
  std::size_t minutes() const { return this->recent.size(); }

 private:
  void CloseMinute();

  bool started = false;
  TimePoint last{};
  TimePoint minute_start{};
  double current = 0;
  /// Slot-seconds of the minute so far.
  double sum = 0;
  std::deque<double> recent;
  /// Minutes that aren't yet part of `day`.
  std::size_t open_count = 0;
  double open_sum = 0;
  std::deque<double> day;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_FLEET_DEMAND_HISTORY_H_
