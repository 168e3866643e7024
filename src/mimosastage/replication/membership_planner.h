#ifndef MIMOSASTAGE_REPLICATION_MEMBERSHIP_PLANNER_H_
#define MIMOSASTAGE_REPLICATION_MEMBERSHIP_PLANNER_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <optional>

#include "mimosastage/base/time.h"
#include "mimosastage/replication/membership.h"

namespace mimosastage {

/// Chooses the next membership on the leader. Candidates, which are daemons
/// that ask to become voters, fill vacant slots and replace unresponsive
/// voters.
class MembershipPlanner {
 public:
  struct Config {
    /// A candidate that hasn't asked for this long is dropped. Candidates ask
    /// several times a second until they are members.
    std::chrono::milliseconds candidate_timeout{1'000};
    /// A voter that hasn't been heard for this long loses its slot if there is
    /// a candidate. Longer than a restart, so that a restarting voter keeps its
    /// slot, and shorter than the 4 s within which a replacement must be a
    /// working member.
    std::chrono::milliseconds replace_after{2'500};
    std::size_t max_candidates = 64;
  };

  explicit MembershipPlanner(Config config) : config(config) {}

  /// Handles the request of a daemon that has a disk, but isn't a member, to
  /// become a voter.
  void OnCandidate(const Member& candidate, TimePoint now);

  /// Returns a valid successor of `current`, or std::nullopt if no change is
  /// needed. `silence` returns the time since the leader last heard a voter.
  std::optional<Membership> Plan(
      const Membership& current, DaemonId leader,
      const std::function<Duration(DaemonId voter)>& silence, TimePoint now);

 private:
  struct Candidate {
    Member member;
    TimePoint last_heard{};
  };

  Config config;
  std::map<DaemonId, Candidate> candidates;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_REPLICATION_MEMBERSHIP_PLANNER_H_
