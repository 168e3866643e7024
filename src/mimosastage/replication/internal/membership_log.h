#ifndef MIMOSASTAGE_REPLICATION_INTERNAL_MEMBERSHIP_LOG_H_
#define MIMOSASTAGE_REPLICATION_INTERNAL_MEMBERSHIP_LOG_H_

#include <utility>
#include <vector>

#include "mimosastage/replication/membership.h"
#include "mimosastage/replication/messages.h"

namespace mimosastage::internal {

/// The memberships in a replica's log. The latest one is in force as soon as it
/// is in the log, committed or not. When its entry is truncated, the previous
/// one is in force again. An older entry never replaces a membership that is
/// known to be committed.
class MembershipLog {
 public:
  /// Discards the entries of all others. `index` is the index of the snapshot.
  /// Its membership is committed and can be newer than the entries after
  /// `index`, because a voter can learn a membership before it has the entry.
  void Reset(LogIndex index, Membership membership);
  void Append(LogIndex index, Membership membership);
  void TruncateFrom(LogIndex index);
  /// Adds a committed membership whose entry this log may lack.
  void LearnMembership(Membership membership);

  const Membership& InForce() const;
  /// Index of the latest membership entry, or of the snapshot.
  LogIndex LatestIndex() const { return this->history.back().first; }
  /// The newest membership that is known to be committed.
  const Membership& Committed(LogIndex commit) const;

 private:
  std::vector<std::pair<LogIndex, Membership>> history{{0, Membership{}}};
  Membership learned;
};

}  // namespace mimosastage::internal

#endif  // MIMOSASTAGE_REPLICATION_INTERNAL_MEMBERSHIP_LOG_H_
