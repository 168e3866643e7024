#ifndef MIMOSASTAGE_JOBS_PLACEMENT_H_
#define MIMOSASTAGE_JOBS_PLACEMENT_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <vector>

#include "mimosastage/jobs/records.h"
#include "mimosastage/jobs/team_shares.h"

namespace mimosastage::jobs {

/// True if a task of `step` fits into the free resources; a filler needs no CPU
/// of its own.
bool Fits(const Step& step, const Amount& free);
/// Resources that one task of the step reserves on its worker.
Amount Charge(const Step& step);
/// True if the tasks of the step serve users of their own, whose tail latency
/// has a target that fillers beside them must not exceed.
bool IsServing(const Step& step);
void Add(Amount& to, const Amount& amount);
void Subtract(Amount& from, const Amount& amount);

/// A worker that can take tasks, and its free resources.
struct CandidateWorker {
  std::string id;
  std::vector<std::string> labels;
  Amount free;
  /// Running filler tasks; they slow down serving tasks.
  std::size_t fillers = 0;
  /// Running tasks with a tail latency target.
  std::size_t serving = 0;
  /// It failed tasks or is slow, so it is used only if no other worker fits.
  bool suspect = false;
  /// How many starts its carrier can take now, shared with the carrier's other
  /// workers; null means no limit. A gang may exceed it.
  std::size_t* starts_left = nullptr;

  /// Returns the label that names the rack, or "".
  const std::string& Rack() const;
};

/// The largest free amount of each resource on any candidate whose carrier can
/// take a start. A task that exceeds it fits nowhere.
Amount MostFree(const std::vector<CandidateWorker>& candidates);

/// The tasks of one step that wait for a worker.
struct StepDemand {
  std::string team;
  TaskId first;
  const Step* step = nullptr;
  std::vector<std::uint32_t> waiting;
  /// Number of the step's tasks on each worker, for Step::most_per_worker.
  std::map<std::string, std::size_t> on_worker;
  /// Tickets by worker if only approved workers may run the step; else null.
  const std::map<std::string, std::string>* approved = nullptr;
};

struct Assignment {
  TaskId task;
  /// Index into the candidates that Place was given.
  std::size_t candidate = 0;
  /// WaitingStep::late of the task's step.
  bool late = false;
};

/// Resources that a team may still use; a limit of 0 means unlimited.
struct TeamQuota {
  Amount free;
  Amount limit;

  bool Admits(const Amount& need) const;
};

enum class StepPlacement : std::uint8_t {
  kTried,
  /// No candidate has room for a task with these needs and this label, or the
  /// team's quota doesn't admit one. This holds until resources are released.
  kNoRoom
};

/// Assigns waiting tasks of one step to workers, appends the assignments to
/// `assignments` and deducts their resources from `candidates` and `team`,
/// which is null for a team without a limit. Assigns at most `limit` tasks; a
/// gang is placed as a whole, so it may exceed the limit.
StepPlacement PlaceStep(
    const StepDemand& demand, std::vector<CandidateWorker>& candidates,
    TeamQuota* team, std::vector<Assignment>& assignments,
    std::size_t limit = std::numeric_limits<std::size_t>::max());

/// Assigns waiting tasks to workers, in the order of `demands`, and deducts
/// their resources from `candidates` and `teams`. A gang is placed as a whole
/// or not at all.
std::vector<Assignment> Place(const std::vector<StepDemand>& demands,
                              std::vector<CandidateWorker>& candidates,
                              std::map<std::string, TeamQuota>& teams);

/// Determines the order in which steps are placed.
struct StepUrgency {
  bool long_running = false;
  /// Smaller values are placed first.
  std::int32_t priority = 0;
  /// Work was done for the step, or for one that it depends on.
  bool begun = false;
  /// How long the step can wait before the job misses its objective.
  std::chrono::milliseconds slack{0};
  /// Duration within which the job should complete, counted from its due time.
  std::chrono::milliseconds objective{0};
  /// Rank of the step's team while the pool is short; the same for all teams
  /// otherwise.
  ShareRank share;
};

/// True if `a` is placed before `b`. Long-running steps come first, then steps
/// are ordered by ascending priority. Within a priority, jobs that can still
/// meet their objective come first, because a job is worth little once it is
/// late: begun ones before others, whose work is lost if they become late, then
/// by ascending slack. Late jobs follow in the order in which they became late.
/// Among the jobs that can still meet their objective, and among the late ones,
/// the teams' ranks come before begun and slack.
bool PlacedBefore(const StepUrgency& a, const StepUrgency& b);

}  // namespace mimosastage::jobs

#endif  // MIMOSASTAGE_JOBS_PLACEMENT_H_
