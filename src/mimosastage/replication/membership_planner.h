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

/// The leader's choice of the next membership: daemons that ask to vote fill
/// vacant slots, and take the place of voters that have fallen silent.
class MembershipPlanner {
 public:
  struct Config {
    /// A candidate asks several times a second while it isn't a member.
    std::chrono::milliseconds candidate_silence{1'000};
    /// A voter that is silent for so long gives up its slot, if a candidate
    /// waits. Longer than a restart, so that a voter that only restarts keeps
    /// its slot, and shorter than the 4 s in which a replacement must count.
    std::chrono::milliseconds replace_after{2'500};
    std::size_t max_candidates = 64;
  };

  explicit MembershipPlanner(Config config) : config(config) {}

  /// A daemon with a disk that isn't a member asks to vote.
  void OnCandidate(const Member& candidate, TimePoint now);

  /// One step from `current`, or nothing. `silence` tells how long the leader
  /// hasn't heard a voter.
  std::optional<Membership> Plan(
      const Membership& current, DaemonId leader,
      const std::function<Duration(DaemonId voter)>& silence, TimePoint now);

 private:
  struct Candidate {
    Member member;
    TimePoint heard{};
  };

  Config config;
  std::map<DaemonId, Candidate> candidates;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_REPLICATION_MEMBERSHIP_PLANNER_H_
