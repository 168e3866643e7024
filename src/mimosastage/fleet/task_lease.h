#ifndef MIMOSASTAGE_FLEET_TASK_LEASE_H_
#define MIMOSASTAGE_FLEET_TASK_LEASE_H_

#include <algorithm>
#include <chrono>

#include "mimosastage/base/time.h"

namespace mimosastage {

/// The leader's side of a task's lease: an upper bound on when the task may
/// still run.
///
/// The worker counts the lease from before it sent the report, and the leader
/// from when it answers. The leader's lease therefore never ends first, however
/// late reports and answers arrive. The leader must answer only after a quorum
/// has confirmed its view since the report arrived (the lease round of
/// Replica). That also makes it safe for a new leader to count every lease from
/// its own start.
class TaskLease {
 public:
  struct Config {
    Duration length = std::chrono::seconds(15);
    /// Covers the clock drift between two instances and the time that a worker
    /// takes to stop a task.
    Duration margin = std::chrono::seconds(2);
  };

  TaskLease() = default;
  explicit TaskLease(Config config) : config(config) {}

  /// Records that an answer sent at `now` granted or renewed the lease.
  void Grant(TimePoint now) {
    this->ends_at = std::max(this->ends_at,
                             now + this->config.length + this->config.margin);
  }

  /// Records that the worker reported the end of the task.
  void End() { this->ended = true; }

  bool CertainlyEnded(TimePoint now) const {
    return this->ended || now >= this->ends_at;
  }

  Duration length() const { return this->config.length; }

 private:
  Config config;
  TimePoint ends_at{};
  bool ended = false;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_FLEET_TASK_LEASE_H_
