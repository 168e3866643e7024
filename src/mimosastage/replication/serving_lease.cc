#include "mimosastage/replication/serving_lease.h"

#include <algorithm>

namespace mimosastage {

ServingLease::ServingLease(SessionId session, ServingLeaseTiming timing)
    : session(session),
      timing(timing),
      next_number(static_cast<std::uint64_t>(session)) {}

std::optional<LeaseRequest> ServingLease::NextRequest(LogIndex applied,
                                                      TimePoint now) {
  if (this->due.has_value() && now < *this->due) {
    return std::nullopt;
  }
  this->DropExpired(now);
  this->due = now + this->timing.renewal;
  const std::uint64_t number = this->next_number++;
  this->requests.push_back(Request{number, now, std::nullopt});
  return LeaseRequest{number, this->session, applied};
}

void ServingLease::LeaderChanged() { this->due.reset(); }

void ServingLease::OnGrant(const LeaseGrant& grant, TimePoint now) {
  this->DropExpired(now);
  const auto found = std::find_if(
      this->requests.begin(), this->requests.end(),
      [&](const Request& request) { return request.number == grant.number; });
  if (found != this->requests.end()) {
    found->commit = grant.commit;
  }
}

bool ServingLease::Valid(LogIndex applied, TimePoint now) const {
  return this->ValidUntil(applied, now).has_value();
}

std::optional<TimePoint> ServingLease::ValidUntil(LogIndex applied,
                                                  TimePoint now) const {
  std::optional<TimePoint> latest;
  for (const Request& request : this->requests) {
    const TimePoint end = request.sent + this->timing.length;
    const bool granted =
        request.commit.has_value() && *request.commit <= applied;
    if (granted && now < end && (!latest.has_value() || end > *latest)) {
      latest = end;
    }
  }
  return latest;
}

void ServingLease::DropExpired(TimePoint now) {
  // Bounds the queue even if the owner calls LeaderChanged in a tight loop.
  constexpr std::size_t kMaxRequests = 64;
  while (!this->requests.empty() &&
         (this->requests.front().sent + this->timing.length <= now ||
          this->requests.size() >= kMaxRequests)) {
    this->requests.pop_front();
  }
}

}  // namespace mimosastage
