#ifndef MIMOSASTAGE_REPLICATION_SERVING_LEASE_H_
#define MIMOSASTAGE_REPLICATION_SERVING_LEASE_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>

#include "mimosastage/base/names.h"
#include "mimosastage/base/time.h"
#include "mimosastage/replication/messages.h"

namespace mimosastage {

struct ServingLeaseTiming {
  /// Counted from the time before the request was sent.
  Duration length = std::chrono::seconds(2);
  Duration renewal = std::chrono::milliseconds(500);
};

/// The right of a daemon to serve callers. The leader and the other voters
/// hold one through messages like every other daemon. Not thread-safe.
class ServingLease {
 public:
  /// `session` must be drawn at random at each start: request numbers count
  /// from it, so that a grant to an earlier run of the daemon matches nothing.
  explicit ServingLease(SessionId session, ServingLeaseTiming timing = {});

  /// The request to send to the leader now, if one is due. `now` must be read
  /// before the request is sent; the lease is counted from it.
  std::optional<LeaseRequest> NextRequest(LogIndex applied, TimePoint now);

  /// Makes a request due at once; for a new leader.
  void LeaderChanged();

  /// Grants to requests that are unknown or too old are ignored.
  void OnGrant(const LeaseGrant& grant, TimePoint now);

  /// True if the daemon may serve, having applied the log up to `applied`.
  bool Valid(LogIndex applied, TimePoint now) const;

  /// When the lease ends if no other grant comes; nothing if none is valid.
  std::optional<TimePoint> ValidUntil(LogIndex applied, TimePoint now) const;

 private:
  struct Request {
    std::uint64_t number = 0;
    TimePoint sent;
    /// Set by the grant.
    std::optional<LogIndex> commit;
  };

  void DropExpired(TimePoint now);

  SessionId session;
  ServingLeaseTiming timing;
  std::uint64_t next_number;
  std::optional<TimePoint> due;
  std::deque<Request> requests;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_REPLICATION_SERVING_LEASE_H_
