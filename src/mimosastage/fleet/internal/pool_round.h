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

/// One placement round in one pool.
class PoolRound {
 public:
  /// `remaining_units` holds the unused part of each team's upper limit. All
  /// pools of the round share it.
  PoolRound(PlacementPlanner& planner, const PoolName& pool,
            std::map<TeamName, std::uint32_t>& remaining_units,
            PlacementPlanner::Round& round, TimePoint now);

  /// Places the pool's waiting jobs, given oldest first.
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

  /// Tasks to stop on a worker so that an urgent job fits there.
  struct Eviction {
    Candidate* candidate = nullptr;
    std::vector<const JobTable::Job*> tasks;
  };

  void AddCandidates();
  void CountTasks(Candidate& candidate, const WorkerDirectory::Entry& entry);
  void SubtractReservations();
  void PlaceUrgent(const JobTable::Job& job);
  void PlaceByShare(const std::vector<const JobTable::Job*>& jobs);
  /// Returns true if the job was placed.
  bool TryPlace(const JobTable::Job& job);
  /// Returns which limit forbids placing the job, however much room there is,
  /// or nullopt.
  std::optional<std::string> Refusal(const JobTable::Job& job);
  Candidate* BestCandidate(const JobTable::Job& job);
  std::tuple<int, int, std::size_t> SpreadScore(
      const TeamName& team, const Candidate& candidate) const;
  void Commit(const JobTable::Job& job, Candidate& candidate);
  void Evict(const JobTable::Job& job);
  std::optional<Eviction> FindEviction(const JobTable::Job& job,
                                       Candidate& candidate) const;
  bool MayPreempt(const JobTable::Job& task, const JobTable::Job& urgent,
                  std::int64_t already_stopped) const;
  std::int64_t Entitlement(const TeamName& team) const;
  std::uint32_t& RemainingUnits(const TeamName& team);
  void Hold(const JobTable::Job& job, const std::string& reason);
  std::string NoRoomReason(const JobTable::Job& job) const;

  PlacementPlanner& planner;
  PoolName pool;
  std::map<TeamName, std::uint32_t>& remaining_units;
  PlacementPlanner::Round& round;
  TimePoint now;
  std::vector<Candidate> candidates;
  std::map<TeamName, TeamUse> teams;
  std::int64_t total_slots = 0;
  std::int64_t protected_slots = 0;
  std::uint64_t total_share = 0;
  /// Sizes that fit on no worker in this round. Jobs at least as large are
  /// skipped.
  std::vector<Resources> sizes_without_room;
};

}  // namespace mimosastage::internal

#endif  // MIMOSASTAGE_FLEET_INTERNAL_POOL_ROUND_H_
