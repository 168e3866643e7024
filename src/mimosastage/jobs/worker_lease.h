#ifndef MIMOSASTAGE_JOBS_WORKER_LEASE_H_
#define MIMOSASTAGE_JOBS_WORKER_LEASE_H_

#include <chrono>
#include <optional>

#include "mimosastage/base/time.h"

namespace mimosastage::jobs {

/// The leader's knowledge of one worker's steady clock, and of how long tasks
/// can still run there. Deadlines are on the worker's clock, so an order that
/// is carried out late never extends them.
class WorkerLease {
 public:
  struct Config {
    /// From an order to the end of the lease that it asks for. Covers a wait of
    /// a second in the worker and a change of leader of two.
    std::chrono::milliseconds length{4'500};
    /// A start that arrives later than this is refused by the worker.
    std::chrono::milliseconds start_window{2'500};
    /// Greatest rate by which a worker's clock runs slow.
    double min_clock_rate = 0.98;
    /// Time for the worker to end what runs, and for rounding.
    std::chrono::milliseconds slack{200};
  };

  /// `now` is the time when this leader took over: until it has heard the
  /// worker, it counts the leases of earlier leaders from then.
  WorkerLease(Config config, TimePoint now)
      : config(config), takeover_at(now) {}

  /// An answer that was read at `read_at` showed `clock`.
  void OnClock(std::chrono::milliseconds clock, TimePoint read_at);

  /// The deadline for an order sent at `now`, or nothing before the first
  /// clock. Remembers it as the latest that the worker may hold.
  std::optional<std::chrono::milliseconds> HoldDeadline(TimePoint now);
  std::optional<std::chrono::milliseconds> StartDeadline(TimePoint now);

  /// Nothing that this or an earlier leader ordered can still run.
  bool Expired(TimePoint now) const;

 private:
  std::chrono::milliseconds EstimatedClock(TimePoint now) const;
  std::optional<std::chrono::milliseconds> Extend(
      TimePoint now, std::chrono::milliseconds length);

  Config config;
  TimePoint takeover_at;
  std::optional<std::chrono::milliseconds> clock;
  TimePoint clock_read_at{};
  std::chrono::milliseconds latest_deadline{0};
};

}  // namespace mimosastage::jobs

#endif  // MIMOSASTAGE_JOBS_WORKER_LEASE_H_
