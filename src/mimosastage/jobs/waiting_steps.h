#ifndef MIMOSASTAGE_JOBS_WAITING_STEPS_H_
#define MIMOSASTAGE_JOBS_WAITING_STEPS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

#include "mimosastage/jobs/fleet_state.h"
#include "mimosastage/jobs/placement.h"

namespace mimosastage::jobs {

/// Returns the expected duration of a task of the step with the given index.
using ExpectedDuration = std::function<std::chrono::milliseconds(
    const Queue& queue, const JobRequest& request, std::uint32_t step)>;

/// Expected duration of the longest chain of dependent steps of a job in the
/// queue. Without `expected`, each step takes as long as estimated.
std::chrono::milliseconds LongestChain(const JobRequest& request,
                                       const Queue& queue,
                                       const ExpectedDuration& expected = {});

/// Time from its acceptance within which a job of the queue must complete,
/// given its longest chain.
std::chrono::milliseconds ObjectiveOf(std::chrono::milliseconds longest_chain,
                                      const Queue& queue);

/// How much earlier than its estimate requires a chain of steps of the given
/// length is begun. Estimates are too short as often as too long, and a job
/// that becomes late after it was begun has wasted its work.
std::chrono::milliseconds StartMargin(std::chrono::milliseconds chain);

/// A step of one occurrence of a job that is due and ready, and has tasks that
/// wait for a worker.
struct WaitingStep {
  StepDemand demand;
  /// Owns `demand.step`.
  std::shared_ptr<const JobRequest> request;
  std::int32_t priority = 0;
  /// The step needs approval by the advisory service.
  bool advised = false;
  /// Work was done for the step, or for one that it depends on.
  bool begun = false;
  /// Wall time at which the step must start for its job to meet the objective.
  /// Earlier by StartMargin for a step that isn't begun.
  std::chrono::milliseconds latest_start{0};
  std::chrono::milliseconds objective{0};
  /// The job can't meet its objective any more. Never set for a long-running
  /// step.
  bool late = false;

  StepUrgency UrgencyAt(std::chrono::milliseconds wall) const;
};

/// The waiting steps of all open jobs by pool, and the resources that they
/// need. Kept between placements and updated for the jobs that have changed, so
/// that the cost of a placement doesn't grow with the number of open jobs.
class WaitingSteps {
 public:
  enum class Next : std::uint8_t {
    kContinue,
    /// Leaves out the remaining steps that have the same needs, required label,
    /// team and priority as the visited one.
    kLeaveOutAlike,
    /// Passes the same step again when it is the most urgent one.
    kRepeat,
    kStop
  };

  struct Sums {
    std::int64_t millicores = 0;
    std::int64_t memory_mb = 0;
    std::int64_t long_running_tasks = 0;
    /// The part of the above that late steps need.
    std::int64_t late_millicores = 0;
    std::int64_t late_memory_mb = 0;
  };

  /// Work of a team's waiting steps that can still be in time and aren't
  /// long-running: resources times estimated run time.
  struct Backlog {
    std::size_t steps = 0;
    double millicore_ms = 0;
    double memory_mb_ms = 0;
  };

  /// `state` must outlive the object. `expected` replaces the estimates of the
  /// jobs.
  explicit WaitingSteps(const FleetState& state, ExpectedDuration expected = {})
      : state(state), expected(std::move(expected)) {}

  /// Updates everything to the present state. References to steps become
  /// invalid.
  void Refresh(std::chrono::milliseconds wall);
  /// Must be called when the results of `expected` may have changed. The next
  /// refresh updates the jobs of which a chain has changed by a third; smaller
  /// changes would reorder the steps for little.
  void OnExpectedChanged() { this->review_needed = true; }

  /// Returns the pools with waiting tasks, and what these tasks need.
  std::map<std::string, Sums> SumsByPool() const;
  /// Returns how many instances the pool needs because long-running tasks of an
  /// open job limit how many of them run on one worker.
  std::size_t InstancesForAntiAffineTasks(const std::string& pool) const;
  /// Passes the steps of the pool to `visit`, the most urgent one first. With
  /// `shares`, the ranks of their teams are a part of the urgency; `visit` may
  /// add to what a team has been assigned.
  void Visit(const std::string& pool,
             const std::function<Next(WaitingStep&)>& visit,
             const TeamShares* shares = nullptr);
  Backlog BacklogOf(const std::string& pool, const std::string& team) const;
  /// Returns the teams that have waiting steps in the pool.
  std::set<std::string> TeamsOf(const std::string& pool) const;
  /// Passes the waiting steps of one job to `visit` if it belongs to the pool.
  void VisitJob(const std::string& pool, const std::string& job,
                const std::function<void(const WaitingStep&)>& visit) const;
  /// The same for the steps that need approval by the advisory service only.
  void VisitAdvised(const std::string& pool,
                    const std::function<void(WaitingStep&)>& visit);

 private:
  struct ByLatestStart {
    using is_transparent = void;
    bool operator()(const WaitingStep* a, const WaitingStep* b) const;
    bool operator()(const WaitingStep* step,
                    std::chrono::milliseconds latest_start) const {
      return step->latest_start < latest_start;
    }
  };

  /// Millicores, memory, accelerators, filler, required label, team,
  /// long-running, priority, advised and begun.
  using GroupKey =
      std::tuple<std::int64_t, std::int64_t, std::int64_t, bool, std::string,
                 std::string, bool, std::int32_t, bool, bool>;
  /// Steps of which none can be placed if one can't for lack of resources.
  using Group = std::set<WaitingStep*, ByLatestStart>;

  struct PoolSteps {
    std::map<GroupKey, Group> groups;
    /// The steps that aren't late and may become so.
    Group in_time;
    Sums sums;
    /// By team, without teams that have no such steps.
    std::map<std::string, Backlog> backlogs;
    /// Number of open jobs by OpenJob::anti_affine_instances, without 0.
    std::map<std::size_t, std::size_t> anti_affine_jobs;
  };

  /// A position in a group. The order of a group is that of the steps that
  /// aren't late, followed by that of the late ones.
  struct Cursor {
    const Group* group = nullptr;
    Group::const_iterator next;
    std::size_t left = 0;
    /// Rank of the group's team when the cursor was added to the heap.
    ShareRank share;
  };

  struct OpenJob {
    std::shared_ptr<const JobRequest> request;
    PoolSteps* pool = nullptr;
    std::int32_t priority = 0;
    bool advised = false;
    std::chrono::milliseconds objective{0};
    /// Instances that the job needs for its long-running tasks.
    std::size_t anti_affine_instances = 0;
    /// For each step, the expected duration of the longest chain of dependent
    /// steps that starts with it.
    std::vector<std::chrono::milliseconds> chains;
    /// By occurrence and step.
    std::map<std::pair<std::uint32_t, std::uint32_t>,
             std::unique_ptr<WaitingStep>>
        waiting;
  };

  void Rebuild();
  void ReadChanges();
  void RefreshJob(const std::string& id);
  void RefreshOccurrence(const Job& job, OpenJob& open,
                         std::uint32_t occurrence);
  void RefreshStep(const Job& job, OpenJob& open, std::uint32_t occurrence,
                   std::uint32_t step);
  OpenJob& AddJob(const Job& job, const Queue& queue);
  void RemoveJob(const std::string& id);
  /// Sets `waiting` to the waiting tasks of the step.
  static void FindWaiting(const Job& job, std::uint32_t occurrence,
                          std::uint32_t step,
                          std::vector<std::uint32_t>& waiting);
  /// Counts the step's runs on each worker.
  static std::map<std::string, std::size_t> CountOnWorkers(
      const Job& job, std::uint32_t occurrence, std::uint32_t step);
  /// Sets `latest_start` and `late`, and adds the step to its group.
  void AddToGroup(OpenJob& open, WaitingStep& step,
                  std::chrono::milliseconds due) const;
  static void RemoveFromGroup(PoolSteps& pool, WaitingStep& step);
  static void AddToSums(PoolSteps& pool, const WaitingStep& step,
                        std::int64_t sign);
  /// Updates the jobs whose expected duration has changed.
  void ReviewExpected();
  static void AddToBacklog(PoolSteps& pool, const WaitingStep& step,
                           std::int64_t sign);
  /// Marks the steps that have become late.
  void MarkLateSteps();
  static GroupKey KeyOf(const WaitingStep& step);
  void Visit(const std::string& pool, bool advised_only,
             const std::function<Next(WaitingStep&)>& visit,
             const TeamShares* shares);
  /// True if the cursor's step is placed before that of the other one.
  bool IsBefore(const Cursor& a, const Cursor& b) const;

  const FleetState& state;
  ExpectedDuration expected;
  bool review_needed = false;
  std::uint64_t changes_read = 0;
  std::chrono::milliseconds wall{0};
  std::unordered_map<std::string, OpenJob> jobs;
  std::map<std::string, PoolSteps> pools;
  /// Kept to reuse its memory.
  std::vector<std::uint32_t> found_waiting;
  /// Occurrences that aren't due yet: due time, job and occurrence.
  std::set<std::tuple<std::chrono::milliseconds, std::string, std::uint32_t>>
      not_due;
};

}  // namespace mimosastage::jobs

#endif  // MIMOSASTAGE_JOBS_WAITING_STEPS_H_
