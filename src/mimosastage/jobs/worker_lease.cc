#include "mimosastage/jobs/worker_lease.h"

#include <algorithm>

#include "mimosastage/jobs/value_bounds.h"

namespace mimosastage::jobs {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

void WorkerLease::OnClock(milliseconds clock, TimePoint read_at) {
  if (clock.count() < 0 || clock > kLongestTime) {
    return;
  }
  if (this->clock.has_value() && clock < *this->clock) {
    // Answers on different connections can overtake each other.
    return;
  }
  if (!this->clock.has_value()) {
    // Deadlines that earlier leaders set are at most one lease duration after
    // their last order.
    this->latest_deadline =
        std::max(this->latest_deadline, clock + this->config.length);
  }
  this->clock = clock;
  this->clock_read_at = read_at;
}

milliseconds WorkerLease::DelayOf(milliseconds clock, TimePoint read_at) const {
  return this->clock.has_value()
             ? std::max(milliseconds(0), this->EstimatedClock(read_at) - clock)
             : milliseconds(0);
}

bool WorkerLease::IsClockOfAnother(milliseconds clock, TimePoint sent) const {
  if (!this->clock.has_value() || sent < this->clock_read_at) {
    return false;
  }
  const std::chrono::duration<double, std::milli> passed =
      sent - this->clock_read_at;
  return clock + this->config.slack <
         *this->clock + passed * this->config.min_clock_rate;
}

milliseconds WorkerLease::EstimatedClock(TimePoint now) const {
  return *this->clock + duration_cast<milliseconds>(now - this->clock_read_at);
}

std::optional<milliseconds> WorkerLease::Extend(TimePoint now,
                                                milliseconds length) {
  if (!this->clock.has_value()) {
    return std::nullopt;
  }
  this->last_deadline_given_at = std::max(this->last_deadline_given_at, now);
  const milliseconds deadline = this->EstimatedClock(now) + length;
  this->latest_deadline = std::max(this->latest_deadline, deadline);
  return deadline;
}

std::optional<milliseconds> WorkerLease::HoldDeadline(TimePoint now) {
  return this->Extend(now, this->config.length);
}

std::optional<milliseconds> WorkerLease::StartDeadline(TimePoint now) {
  return this->Extend(now, this->config.start_window);
}

void WorkerLease::AssumeLongest() {
  this->extra = this->config.longest - this->config.length;
  this->foreign_deadlines_until =
      this->last_deadline_given_at + this->config.execution_delay;
}

void WorkerLease::EndForeignDeadlines(TimePoint now) {
  if (this->foreign_deadlines_until.has_value()) {
    this->foreign_deadlines_until =
        std::min(*this->foreign_deadlines_until, now);
  }
}

bool WorkerLease::Expired(TimePoint now) const {
  const auto at_least = [&](TimePoint since) {
    return std::chrono::duration<double, std::milli>(now - since) *
           this->config.min_clock_rate;
  };
  if (this->foreign_deadlines_until.has_value() &&
      at_least(*this->foreign_deadlines_until) <=
          this->config.longest + this->config.slack) {
    return false;
  }
  if (!this->clock.has_value()) {
    return at_least(this->takeover_at) >
           this->config.length + this->extra + this->config.slack;
  }
  return *this->clock + at_least(this->clock_read_at) >
         this->latest_deadline + this->extra + this->config.slack;
}

}  // namespace mimosastage::jobs
