#ifndef MIMOSASTAGE_TESTS_JOBS_SUPPORT_DISPATCHER_PEER_H_
#define MIMOSASTAGE_TESTS_JOBS_SUPPORT_DISPATCHER_PEER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "mimosastage/jobs/dispatcher.h"

namespace mimosastage::jobs {

/// Gives tests access to the placements of a Dispatcher, and computes from its
/// state what a placement must do: naively, by visiting all jobs, workers and
/// runs.
class DispatcherPeer {
 public:
  struct Start {
    TaskId task;
    std::uint32_t run = 0;
    std::string worker;

    bool operator==(const Start&) const = default;
  };

  /// What a placement does.
  struct Placement {
    std::vector<Start> starts;
    /// The step and the workers of each call to the advisory service.
    std::vector<std::pair<std::string, std::vector<std::string>>> advice_calls;
    /// Millicores and memory that each pool's tasks wait for afterwards.
    std::map<std::string, std::pair<std::int64_t, std::int64_t>> waiting;
    /// The part of the above for steps that can't be in time any more.
    std::map<std::string, std::pair<std::int64_t, std::int64_t>> late;

    /// Instances that the tasks of each pool need that limit how many of them
    /// run on one worker.
    std::map<std::string, std::size_t> anti_affine;
    /// The pools in which work in time didn't fit.
    std::set<std::string> short_pools;
    /// Millicores times estimated run time of the steps that can be in time, by
    /// pool and team, before the placement.
    std::map<std::pair<std::string, std::string>, double> backlogs;

    bool operator==(const Placement&) const = default;
  };

  explicit DispatcherPeer(Dispatcher& dispatcher) : dispatcher(dispatcher) {}

  /// Clears tasks of crashes, as each placement does first. That may end other
  /// jobs, so it must precede PlanNaively.
  void SettleCrashes(TimePoint now) {
    this->dispatcher.ClearSurvivors(now);
    this->dispatcher.StopGivenUpJobs(now);
  }
  Placement PlanNaively(TimePoint now) const;
  void PlaceTasks(TimePoint now) { this->dispatcher.PlaceTasks(now); }
  std::map<std::string, std::pair<std::int64_t, std::int64_t>> Waiting() const;
  std::map<std::string, std::pair<std::int64_t, std::int64_t>> Late() const;
  std::map<std::string, std::size_t> AntiAffine() const;
  /// The pools in which the teams' shares are in force.
  std::set<std::string> ShortPools() const;
  /// Placement::backlogs, as kept between placements, of the pools and teams
  /// that `rows` names.
  std::map<std::pair<std::string, std::string>, double> Backlogs(
      const std::map<std::pair<std::string, std::string>, double>& rows) const;
  /// What the runs of each team use in the pool, as kept between placements,
  /// and the same found by visiting all runs.
  std::map<std::string, std::int64_t> UsedMillicores(
      const std::string& pool) const;
  std::map<std::string, std::int64_t> FindUsedMillicoresNaively(
      const std::string& pool) const;
  /// The workers that an announcement is compared with, and the same found by
  /// visiting all workers.
  std::vector<const Worker*> WorkersLike(const Worker& worker) {
    return this->dispatcher.WorkersLike(worker);
  }
  std::vector<const Worker*> FindWorkersNaively(const Worker& worker) const;
  /// The workers whose session needs a visit earlier than the dispatcher will
  /// make one, found by visiting all sessions and runs.
  std::vector<std::string> FindMissedVisits(TimePoint now) const;
  /// Reports the progress of the worker's runs relative to their estimates.
  void AddSpeedSample(const std::string& worker, const std::string& pool,
                      std::uint32_t percent, TimePoint now);

 private:
  struct RankedDemand {
    StepUrgency urgency;
    StepDemand demand;
    bool advised = false;
  };

  /// What decides about the shares of the teams in a pool.
  struct NaiveShares {
    Amount capacity;
    std::map<std::string, Amount> used;
    std::map<std::string, double> weights;

    ShareRank RankOf(const std::string& team) const;
    std::size_t TasksAtOnce(const StepDemand& demand) const;
  };

  NaiveShares SharesOf(const std::string& pool,
                       const std::vector<RankedDemand>& waiting,
                       const std::vector<CandidateWorker>& candidates) const;
  /// Places the steps of a pool in the order of `ranked`, or with `shares` by
  /// choosing the most urgent step again after each part of a step. Returns
  /// true if work in time didn't fit.
  static bool PlaceRanked(std::vector<RankedDemand>& ranked,
                          NaiveShares* shares,
                          std::vector<CandidateWorker>& candidates,
                          std::map<std::string, TeamQuota>& teams,
                          const std::function<void(const RankedDemand&,
                                                   const Assignment&)>& placed);
  void AddDemands(const Job& job, const Queue& queue,
                  std::vector<RankedDemand>& demands) const;
  static StepUrgency UrgencyOf(const Job& job, const Queue& queue,
                               std::uint32_t occurrence, std::uint32_t step,
                               std::chrono::milliseconds wall);
  std::vector<CandidateWorker> CandidateWorkers(const std::string& pool,
                                                TimePoint now) const;
  std::map<std::string, TeamQuota> TeamQuotas() const;
  void ApplyAdvice(std::vector<RankedDemand>& ranked,
                   const std::vector<CandidateWorker>& candidates,
                   std::map<std::string, Dispatcher::Advice>& advice,
                   Placement& placement, TimePoint now) const;
  std::uint32_t RunNumber(const TaskId& task) const;

  Dispatcher& dispatcher;
};

}  // namespace mimosastage::jobs

#endif  // MIMOSASTAGE_TESTS_JOBS_SUPPORT_DISPATCHER_PEER_H_
