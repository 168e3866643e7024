#ifndef MIMOSASTAGE_REPLICATION_INTERNAL_MEMBERSHIP_LOG_H_
#define MIMOSASTAGE_REPLICATION_INTERNAL_MEMBERSHIP_LOG_H_

#include <utility>
#include <vector>

#include "mimosastage/replication/membership.h"
#include "mimosastage/replication/messages.h"

namespace mimosastage::internal {

/// The memberships that a replica's log holds. The latest one is in force as
/// soon as it is in the log, committed or not; when its entry is truncated, the
/// one before it is in force again.
class MembershipLog {
 public:
  /// Forgets all others; `index` is that of the entry or snapshot.
  void Reset(LogIndex index, Membership membership);
  void Append(LogIndex index, Membership membership);
  void TruncateFrom(LogIndex index);
  /// A membership that is committed elsewhere and that this log may lack.
  void Learn(Membership membership);

  const Membership& InForce() const;
  /// Index of the latest entry, or of the snapshot.
  LogIndex LatestIndex() const { return this->rows.back().first; }
  /// The newest one that is known to be committed.
  const Membership& Committed(LogIndex commit) const;

 private:
  std::vector<std::pair<LogIndex, Membership>> rows{{0, Membership{}}};
  Membership learned;
};

}  // namespace mimosastage::internal

#endif  // MIMOSASTAGE_REPLICATION_INTERNAL_MEMBERSHIP_LOG_H_
