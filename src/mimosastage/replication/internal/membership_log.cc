#include "mimosastage/replication/internal/membership_log.h"

namespace mimosastage::internal {

void MembershipLog::Reset(LogIndex index, Membership membership) {
  this->LearnMembership(membership);
  this->history.clear();
  this->history.emplace_back(index, std::move(membership));
}

void MembershipLog::Append(LogIndex index, Membership membership) {
  this->history.emplace_back(index, std::move(membership));
}

void MembershipLog::TruncateFrom(LogIndex index) {
  while (this->history.size() > 1 && this->history.back().first >= index) {
    this->history.pop_back();
  }
}

void MembershipLog::LearnMembership(Membership membership) {
  if (membership.version > this->learned.version) {
    this->learned = std::move(membership);
  }
}

const Membership& MembershipLog::InForce() const {
  // Of two memberships with the same version, the committed one is in force.
  const Membership& latest = this->history.back().second;
  const bool newer =
      !this->learned.slots.empty() && this->learned.version >= latest.version;
  return newer ? this->learned : latest;
}

const Membership& MembershipLog::Committed(LogIndex commit) const {
  const Membership* latest = &this->history.front().second;
  for (const auto& [index, membership] : this->history) {
    if (index <= commit) {
      latest = &membership;
    }
  }
  return this->learned.version > latest->version ? this->learned : *latest;
}

}  // namespace mimosastage::internal
