#include "mimosastage/replication/membership_planner.h"

#include <algorithm>

namespace mimosastage {

void MembershipPlanner::OnCandidate(const Member& candidate, TimePoint now) {
  if (candidate.daemon == kNoVoter || candidate.address.empty() ||
      (this->candidates.size() >= this->config.max_candidates &&
       !this->candidates.contains(candidate.daemon))) {
    return;
  }
  this->candidates[candidate.daemon] = Candidate{candidate, now};
}

std::optional<Membership> MembershipPlanner::Plan(
    const Membership& current, DaemonId leader,
    const std::function<Duration(DaemonId voter)>& silence, TimePoint now) {
  std::erase_if(this->candidates, [&](const auto& item) {
    return now - item.second.last_heard > this->config.candidate_timeout ||
           current.Contains(item.first);
  });
  if (this->candidates.empty()) {
    return std::nullopt;
  }
  Membership next = current;
  ++next.version;
  const auto vacant = std::find_if(
      next.slots.begin(), next.slots.end(),
      [](const Member& member) { return member.daemon == kNoVoter; });
  if (vacant != next.slots.end()) {
    *vacant = this->candidates.begin()->second.member;
    return next;
  }
  const auto silent_for = [&](const Member& member) {
    return member.daemon == leader ? Duration::zero() : silence(member.daemon);
  };
  const auto longest_silent =
      std::max_element(next.slots.begin(), next.slots.end(),
                       [&](const Member& a, const Member& b) {
                         return silent_for(a) < silent_for(b);
                       });
  if (longest_silent == next.slots.end() ||
      silent_for(*longest_silent) < this->config.replace_after) {
    return std::nullopt;
  }
  *longest_silent = VacantSlot();
  return next;
}

}  // namespace mimosastage
