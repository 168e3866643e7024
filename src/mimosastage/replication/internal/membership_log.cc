#include "mimosastage/replication/internal/membership_log.h"

namespace mimosastage::internal {

void MembershipLog::Reset(LogIndex index, Membership membership) {
  this->rows.clear();
  this->rows.emplace_back(index, std::move(membership));
}

void MembershipLog::Append(LogIndex index, Membership membership) {
  this->rows.emplace_back(index, std::move(membership));
}

void MembershipLog::TruncateFrom(LogIndex index) {
  while (this->rows.size() > 1 && this->rows.back().first >= index) {
    this->rows.pop_back();
  }
}

void MembershipLog::Learn(Membership membership) {
  if (membership.version > this->learned.version) {
    this->learned = std::move(membership);
  }
}

const Membership& MembershipLog::InForce() const {
  // Of two memberships of one version only a committed one counts.
  const Membership& latest = this->rows.back().second;
  const bool newer =
      !this->learned.slots.empty() && this->learned.version >= latest.version;
  return newer ? this->learned : latest;
}

const Membership& MembershipLog::Committed(LogIndex commit) const {
  const Membership* latest = &this->rows.front().second;
  for (const auto& [index, membership] : this->rows) {
    if (index <= commit) {
      latest = &membership;
    }
  }
  return this->learned.version > latest->version ? this->learned : *latest;
}

}  // namespace mimosastage::internal
