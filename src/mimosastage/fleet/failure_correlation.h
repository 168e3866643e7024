#ifndef MIMOSASTAGE_FLEET_FAILURE_CORRELATION_H_
#define MIMOSASTAGE_FLEET_FAILURE_CORRELATION_H_

#include <deque>
#include <optional>
#include <set>
#include <string>

#include "mimosastage/base/names.h"
#include "mimosastage/base/time.h"
#include "mimosastage/fleet/fleet_view.h"

namespace mimosastage {

/// Recognizes failures that have one cause, from their rack, zone or number.
class FailureCorrelation {
 public:
  /// Failures within `window` count as correlated.
  explicit FailureCorrelation(Duration window);

  void Record(const FleetInstance& instance, TimePoint now);

  /// Why maintenance must not start drains now, or nothing. The stop ends when
  /// the window has passed and every pool it concerns is within its budget.
  std::optional<std::string> StopReason(const FleetView& fleet, TimePoint now);

 private:
  struct Failure {
    InstanceName name;
    RackName rack;
    AvailabilityZone zone;
    PoolName pool;
    TimePoint at{};
  };

  void Stop(const Failure& first, const Failure& second);
  bool Passed(const FleetView& fleet, TimePoint now) const;

  Duration window;
  std::deque<Failure> recent;
  /// Set while a stop is in force.
  std::optional<std::string> reason;
  TimePoint last_correlated{};
  std::set<PoolName> affected;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_FLEET_FAILURE_CORRELATION_H_
