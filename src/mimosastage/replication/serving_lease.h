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
  /// Validity of a lease, counted from the time before its request was sent.
  Duration length = std::chrono::seconds(2);
  Duration renewal = std::chrono::milliseconds(500);
};

/// Lease under which a daemon may serve callers. The leader and the other
/// voters obtain theirs through messages like every other daemon. Not
/// thread-safe.
class ServingLease {
 public:
  /// `session` must be random for each start. Request numbers count from it, so
  /// that a grant to an earlier run of the daemon matches no request.
  explicit ServingLease(SessionId session, ServingLeaseTiming timing = {});

  /// Returns the request to send to the leader, if one is due. `now` must be
  /// read before the request is sent, because the lease starts at `now`.
  std::optional<LeaseRequest> NextRequest(LogIndex applied, TimePoint now);

  /// Makes a request due immediately, because the leader has changed.
  void LeaderChanged();

  /// Ignores grants for unknown or expired requests.
  void OnGrant(const LeaseGrant& grant, TimePoint now);

  /// True if the daemon, having applied the log up to `applied`, may serve.
  bool Valid(LogIndex applied, TimePoint now) const;

  /// Expiry time of the lease unless another grant arrives; std::nullopt if no
  /// lease is valid.
  std::optional<TimePoint> ValidUntil(LogIndex applied, TimePoint now) const;

 private:
  struct Request {
    std::uint64_t number = 0;
    TimePoint sent;
    /// LeaseGrant::commit, once the request is granted.
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
