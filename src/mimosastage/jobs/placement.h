#ifndef MIMOSASTAGE_JOBS_PLACEMENT_H_
#define MIMOSASTAGE_JOBS_PLACEMENT_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "mimosastage/jobs/records.h"

namespace mimosastage::jobs {

/// True if every part of `need` is at most that of `room`; a filler needs no
/// processors of its own.
bool Fits(const Step& step, const Amount& free);
/// What the step's tasks take from a worker's room.
Amount Charge(const Step& step);
void Add(Amount& to, const Amount& amount);
void Subtract(Amount& from, const Amount& amount);

/// Free room of one worker that may take tasks.
struct CandidateWorker {
  std::string id;
  std::vector<std::string> labels;
  Amount free;
  /// Tasks that disturb those that serve.
  std::size_t fillers = 0;
  std::size_t serving = 0;
  /// It failed tasks or is slow: it is used when no other has room.
  bool suspect = false;

  /// The label that names the rack, or "".
  std::string Rack() const;
};

/// Tasks of one step that wait for a worker.
struct StepDemand {
  std::string team;
  TaskId first;
  const Step* step = nullptr;
  std::vector<std::uint32_t> waiting;
  /// Tasks of the step on each worker, for the limit per worker.
  std::map<std::string, std::size_t> on_worker;
  /// Tickets by worker, if only these may run the step.
  const std::map<std::string, std::string>* approved = nullptr;
};

struct Assignment {
  TaskId task;
  std::size_t candidate = 0;
};

/// What a team may still start; a part that isn't limited is left out.
struct TeamQuota {
  Amount free;
  Amount limit;

  bool Admits(const Amount& need) const;
};

/// Puts waiting tasks on workers, in the order of `demands`, and takes their
/// room from `rooms` and `teams`. A gang is placed as a whole or not at all.
std::vector<Assignment> Place(const std::vector<StepDemand>& demands,
                              std::vector<CandidateWorker>& candidates,
                              std::map<std::string, TeamQuota>& teams);

/// When a step should be served, for the order in which steps are placed.
struct StepUrgency {
  bool long_running = false;
  std::int32_t priority = 0;
  /// From now until the job misses its objective if it runs without waiting.
  std::chrono::milliseconds slack{0};
  /// Length of the objective; a job is worth little once it is late.
  std::chrono::milliseconds objective{0};
};

/// True if `a` is placed before `b`: long-running steps, then by priority;
/// within it jobs that can still meet their objective, the most urgent first,
/// then late ones in the order in which they became late.
bool PlacedBefore(const StepUrgency& a, const StepUrgency& b);

}  // namespace mimosastage::jobs

#endif  // MIMOSASTAGE_JOBS_PLACEMENT_H_
