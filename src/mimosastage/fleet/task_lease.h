#ifndef MIMOSASTAGE_FLEET_TASK_LEASE_H_
#define MIMOSASTAGE_FLEET_TASK_LEASE_H_

#include <algorithm>
#include <chrono>

#include "mimosastage/base/time.h"

namespace mimosastage {

/// The leader's side of a task's lease: until when the task may still run.
///
/// The worker counts from before it sent the report, and the leader from when
/// it answers, so the leader's end is never earlier, however late reports and
/// answers arrive. The leader must answer only after a quorum has confirmed its
/// view since the report arrived (Replica's lease round); a new leader that
/// counts every lease from its own start is then also late enough.
class TaskLease {
 public:
  struct Config {
    Duration length = std::chrono::seconds(15);
    /// Covers the drift between two instances' clocks and the time that a
    /// worker takes to stop a task.
    Duration margin = std::chrono::seconds(2);
  };

  TaskLease() = default;
  explicit TaskLease(Config config) : config(config) {}

  /// The lease was granted or renewed in an answer sent at `now`.
  void Grant(TimePoint now) {
    this->ends_at = std::max(this->ends_at,
                             now + this->config.length + this->config.margin);
  }

  /// The worker reported that the task ended.
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
