#ifndef MIMOSASTAGE_FLEET_INTERNAL_POOL_ROUND_H_
#define MIMOSASTAGE_FLEET_INTERNAL_POOL_ROUND_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "mimosastage/fleet/placement_planner.h"

namespace mimosastage::internal {

/// One round of placement in one pool.
class PoolRound {
 public:
  /// `units` holds what is left of each team's upper limit in this round, over
  /// all pools.
  PoolRound(PlacementPlanner& planner, const PoolName& pool,
            std::map<TeamName, std::uint32_t>& units,
            PlacementPlanner::Round& round, TimePoint now);

  /// `waiting` are the pool's jobs, oldest first.
  void Run(const std::vector<const JobTable::Job*>& waiting);

 private:
  struct Candidate {
    InstanceName name;
    RackName rack;
    AvailabilityZone zone;
    std::uint64_t epoch = 0;
    Resources capacity;
    Resources free;
    std::size_t tasks = 0;
    bool probe = false;
  };

  struct TeamUse {
    std::int64_t slots = 0;
    std::map<AvailabilityZone, int> zones;
    std::map<RackName, int> racks;
  };

  /// Tasks to stop so that a job fits on a worker.
  struct Eviction {
    Candidate* candidate = nullptr;
    std::vector<const JobTable::Job*> tasks;
  };

  void AddCandidates();
  void CountTasks(Candidate& candidate, const WorkerDirectory::Entry& entry);
  void HoldReservations();
  void PlaceUrgent(const JobTable::Job& job);
  void PlaceByShare(const std::vector<const JobTable::Job*>& jobs);
  /// Returns true if the job was placed.
  bool TryPlace(const JobTable::Job& job);
  /// Why the job must wait whatever room there is, or nothing.
  std::optional<std::string> Refusal(const JobTable::Job& job);
  Candidate* BestCandidate(const JobTable::Job& job);
  std::tuple<int, int, std::size_t> SpreadScore(
      const TeamName& team, const Candidate& candidate) const;
  void Commit(const JobTable::Job& job, Candidate& candidate);
  void Evict(const JobTable::Job& job);
  std::optional<Eviction> FindEviction(const JobTable::Job& job,
                                       Candidate& candidate) const;
  bool MayStop(const JobTable::Job& task, const JobTable::Job& urgent,
               std::int64_t already_stopped) const;
  std::int64_t Entitlement(const TeamName& team) const;
  std::uint32_t& Units(const TeamName& team);
  void Hold(const JobTable::Job& job, const std::string& reason);
  std::string NoRoomReason(const JobTable::Job& job) const;

  PlacementPlanner& planner;
  PoolName pool;
  std::map<TeamName, std::uint32_t>& units;
  PlacementPlanner::Round& round;
  TimePoint now;
  std::vector<Candidate> candidates;
  std::map<TeamName, TeamUse> teams;
  std::int64_t total_slots = 0;
  std::int64_t protected_slots = 0;
  std::uint64_t total_share = 0;
  /// Sizes that didn't fit in this round; larger jobs aren't tried.
  std::vector<Resources> too_large;
};

}  // namespace mimosastage::internal

#endif  // MIMOSASTAGE_FLEET_INTERNAL_POOL_ROUND_H_
