#ifndef MIMOSASTAGE_JOBS_STRAGGLER_COPIES_H_
#define MIMOSASTAGE_JOBS_STRAGGLER_COPIES_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "mimosastage/jobs/placement.h"
#include "mimosastage/jobs/records.h"

namespace mimosastage::jobs {

/// Decides which tasks of speculative steps get a second copy because they take
/// far longer than others of their step, and where. Keeps no state: the copies
/// that run are part of the replicated state, so a new leader continues with
/// the same number of them.
class StragglerCopies {
 public:
  struct Config {
    /// At most 1/divisor of a pool's running tasks have a copy, so that copies
    /// of tasks that would have ended soon waste at most that part of the pool.
    std::size_t divisor = 10;
  };

  /// A task with one run, which may get a copy.
  struct RunningOriginal {
    TaskId task;
    std::string worker;
    std::string rack;
    /// How long it has run.
    std::chrono::milliseconds elapsed{0};
    /// Duration that 95 in 100 runs like it don't exceed.
    std::chrono::milliseconds tail{0};
    /// Mean time until its end.
    std::chrono::milliseconds remaining{0};
    /// Expected duration of a new run.
    std::chrono::milliseconds expected{0};
  };

  explicit StragglerCopies(Config config) : config(config) {}

  /// Returns how many copies may be started in a pool with this number of tasks
  /// that run, of which `copied` have a copy.
  std::size_t Room(std::size_t running, std::size_t copied) const;

  /// Returns the tasks that are worth a copy, the one with the most time left
  /// first: they have run longer than their tail, and a new run is expected to
  /// end earlier than they do.
  static std::vector<RunningOriginal> Select(
      std::vector<RunningOriginal> originals);

  /// Returns the index of the candidate for a copy of the original: a worker in
  /// another known rack that isn't suspect, and has room. The fullest one, as
  /// for other tasks. `on_worker` counts the step's tasks on each worker.
  static std::optional<std::size_t> ChooseWorker(
      const Step& step, const RunningOriginal& original,
      const std::map<std::string, std::size_t>& on_worker,
      const std::vector<CandidateWorker>& candidates);

 private:
  Config config;
};

}  // namespace mimosastage::jobs

#endif  // MIMOSASTAGE_JOBS_STRAGGLER_COPIES_H_
