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

/// Detects failures that probably share a cause: several in one rack or
/// availability zone, or more in a pool than its availability budget.
class FailureCorrelation {
 public:
  /// Failures of two instances in one rack or zone are correlated if they occur
  /// within `window`.
  explicit FailureCorrelation(Duration window);

  void Record(const FleetInstance& instance, TimePoint now);

  /// Returns why maintenance must not start drains now, or nullopt if it may.
  /// Correlated failures block drains until the window has passed since the
  /// last one and every affected pool is within its budget or has no failed
  /// instance.
  std::optional<std::string> StopReason(const FleetView& fleet, TimePoint now);

 private:
  struct Failure {
    InstanceName name;
    RackName rack;
    AvailabilityZone zone;
    PoolName pool;
    TimePoint at{};
  };

  void BlockDrains(const Failure& first, const Failure& second);
  bool BlockIsOver(const FleetView& fleet, TimePoint now) const;

  Duration window;
  std::deque<Failure> recent;
  /// Set while correlated failures block drains.
  std::optional<std::string> reason;
  TimePoint last_correlated{};
  std::set<PoolName> affected_pools;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_FLEET_FAILURE_CORRELATION_H_
