#ifndef MIMOSASTAGE_JOBS_TEAM_SHARES_H_
#define MIMOSASTAGE_JOBS_TEAM_SHARES_H_

#include <chrono>
#include <compare>
#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <string>

#include "mimosastage/jobs/records.h"

namespace mimosastage::jobs {

/// Determines which team's work is placed first while a pool is short.
struct ShareRank {
  /// The team uses its share of the pool or more.
  bool over_share = false;
  /// The team's dominant share of the pool divided by its weight; 0 for a team
  /// within its share, so that such teams are ordered by urgency alone.
  double excess = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const ShareRank&) const = default;
};

/// Weighted fair shares of the resources of one pool (dominant resource
/// fairness, Ghodsi et al. 2011). A team's share is its weight divided by those
/// of all teams that have work in the pool. What a team doesn't use of its
/// share is available to the others.
class TeamShares {
 public:
  /// Adds to what the team's runs use, or subtracts from it if `amount` is
  /// negative.
  void OnUse(const std::string& team, const Amount& amount);
  /// Sets all uses to 0.
  void ClearUses();

  /// Begins a placement. `free` are the resources that no run uses, `waiting`
  /// the teams with waiting work. `weight_of` is called for each team; a weight
  /// that isn't positive counts as 0 and entitles to nothing.
  void BeginRound(const Amount& free, const std::set<std::string>& waiting,
                  const std::function<double(const std::string&)>& weight_of);
  /// Adds to what the placement has assigned to the team, which counts as used
  /// until EndRound.
  void OnAssigned(const std::string& team, const Amount& amount);
  /// Ends the placement. The assigned work counts from OnUse on.
  void EndRound();

  /// The rank of the team. Only gets higher between BeginRound and EndRound. A
  /// team that takes no part in the latest placement is within its share.
  ShareRank RankOf(const std::string& team) const;
  /// How many tasks that need `amount` each the team can start before its share
  /// is used up; 0 for a team over its share.
  std::size_t TasksWithinShare(const std::string& team,
                               const Amount& amount) const;
  /// The team's share of the pool's resources, as of the latest BeginRound.
  Amount ShareOf(const std::string& team) const;
  /// What the team's runs use and the placement has assigned to it.
  Amount UsedBy(const std::string& team) const;

  /// Number of teams that take part in the latest placement.
  std::size_t Teams() const;
  /// How many of them are over their share.
  std::size_t TeamsOverShare() const;

 private:
  struct Member {
    Amount used;
    Amount assigned;
    double weight = 0;
    /// The team takes part in the latest placement.
    bool active = false;
  };

  /// Largest part of the pool's resources that the team uses of any resource.
  double DominantShare(const Member& member) const;
  /// The part of the pool that the team is entitled to.
  double EntitledShare(const Member& member) const;
  bool IsOverShare(const Member& member) const;

  std::map<std::string, Member> members;
  Amount capacity;
  double total_weight = 0;
};

/// Counts the jobs that teams submit, to tell which of them are owed: a team is
/// owed `weight` jobs a second, with a burst of one second.
class OwedJobs {
 public:
  /// Records a job that was accepted at the given wall time.
  void OnAccepted(const std::string& team, double weight,
                  std::chrono::milliseconds wall);
  /// True if a job that the team submits now is owed to it.
  bool IsOwed(const std::string& team, double weight,
              std::chrono::milliseconds wall) const;
  /// Forgets the teams for which `is_known` is false.
  void Retain(const std::function<bool(const std::string&)>& is_known);

 private:
  struct Balance {
    /// Jobs that are owed, as of `at`.
    double jobs = 0;
    std::chrono::milliseconds at{0};
  };

  double OwedTo(const std::string& team, double weight,
                std::chrono::milliseconds wall) const;

  std::map<std::string, Balance> balances;
};

}  // namespace mimosastage::jobs

#endif  // MIMOSASTAGE_JOBS_TEAM_SHARES_H_
