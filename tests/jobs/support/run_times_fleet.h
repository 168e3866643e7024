#ifndef MIMOSASTAGE_TESTS_JOBS_SUPPORT_RUN_TIMES_FLEET_H_
#define MIMOSASTAGE_TESTS_JOBS_SUPPORT_RUN_TIMES_FLEET_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "tests/jobs/support/fake_fleet_leader.h"

namespace mimosastage::jobs {

/// A leader with one pool that runs 40 tasks at a time, on workers in two
/// racks. Its tasks last as long as the test says, whatever their estimate is.
class RunTimesFleet {
 public:
  static constexpr int kWorkers = 10;
  static constexpr std::int64_t kMillicoresOfWorker = 16'000;
  static constexpr std::int64_t kMillicoresOfTask = 4'000;

  explicit RunTimesFleet(Dispatcher::Config config);

  static Step StepOf(std::uint32_t tasks, std::chrono::milliseconds stated);
  void Submit(const std::string& id, std::uint32_t tasks,
              std::chrono::milliseconds stated);
  /// Ends the runs that have lasted for `duration`, except those of the job
  /// `except`.
  void EndRunsAfter(std::chrono::milliseconds duration, RunOutcome outcome,
                    const std::string& except = "");
  /// Lets time pass while tasks last for `duration`, except those of the job
  /// `except`, which don't end.
  void Run(std::chrono::milliseconds length, std::chrono::milliseconds duration,
           RunOutcome outcome = RunOutcome::kDone,
           const std::string& except = "");
  /// Core-milliseconds expected for a task of four cores.
  std::int64_t ExpectedOfTask(std::chrono::milliseconds stated);

  FakeFleetLeader fleet;
};

}  // namespace mimosastage::jobs

#endif  // MIMOSASTAGE_TESTS_JOBS_SUPPORT_RUN_TIMES_FLEET_H_
