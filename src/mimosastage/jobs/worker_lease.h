#ifndef MIMOSASTAGE_JOBS_WORKER_LEASE_H_
#define MIMOSASTAGE_JOBS_WORKER_LEASE_H_

#include <chrono>
#include <optional>

#include "mimosastage/base/time.h"

namespace mimosastage::jobs {

/// Tracks one worker's lease on the leader: an estimate of the worker's steady
/// clock and the time until which its tasks may run. Deadlines are on the
/// worker's clock, so that executing an order late never extends the lease.
class WorkerLease {
 public:
  struct Config {
    /// Duration of the lease that an order requests. Covers a hold that the
    /// worker delays by 1 s and a leader change of 2 s.
    std::chrono::milliseconds length{4'500};
    /// Workers shorten longer leases to this.
    std::chrono::milliseconds longest{6'000};
    /// An order that was given may be executed this much later.
    std::chrono::milliseconds execution_delay{12'000};
    /// The worker refuses a start order that arrives later than this.
    std::chrono::milliseconds start_window{2'500};
    /// Lower bound of the rate of a worker's clock relative to real time.
    double min_clock_rate = 0.98;
    /// Allowance for rounding and for the worker to end its runs.
    std::chrono::milliseconds slack{200};
  };

  /// `now` is when this leader took over. Until the worker answers, leases of
  /// earlier leaders are assumed to start then.
  WorkerLease(Config config, TimePoint now)
      : config(config), takeover_at(now), last_deadline_given_at(now) {}

  /// Updates the clock estimate from an answer that was read at `read_at`.
  void OnClock(std::chrono::milliseconds clock, TimePoint read_at);

  /// Returns by how much an answer that was read at `read_at` is behind what
  /// earlier ones tell of the worker's clock, so how long it was on its way.
  std::chrono::milliseconds DelayOf(std::chrono::milliseconds clock,
                                    TimePoint read_at) const;

  /// True if the worker that answered an order sent at `sent` with this clock
  /// is another incarnation: a clock never goes back during a life.
  bool IsClockOfAnother(std::chrono::milliseconds clock, TimePoint sent) const;

  /// Returns the deadline for an order sent at `now`, or nullopt while the
  /// worker's clock is unknown. The lease extends to the latest deadline
  /// returned.
  std::optional<std::chrono::milliseconds> HoldDeadline(TimePoint now);
  std::optional<std::chrono::milliseconds> StartDeadline(TimePoint now);

  /// Must be called if the worker may take deadlines that were meant for the
  /// clock of an earlier incarnation. They don't limit its lease, so that each
  /// order that was given before gives it the longest lease when it is
  /// executed.
  void AssumeLongest();
  /// Must be called once the worker refuses such orders.
  void EndForeignDeadlines(TimePoint now);

  /// True if no run that this or an earlier leader started can still be active.
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
  /// When the last order with a deadline was given.
  TimePoint last_deadline_given_at;
  /// Until when a deadline for another incarnation may be taken.
  std::optional<TimePoint> foreign_deadlines_until;
  /// By how much a lease may be longer than `latest_deadline` tells.
  std::chrono::milliseconds extra{0};
};

}  // namespace mimosastage::jobs

#endif  // MIMOSASTAGE_JOBS_WORKER_LEASE_H_
