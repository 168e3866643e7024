#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdlib>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "tests/jobs/support/worker_schedule.h"

namespace mimosastage::jobs {
namespace {

std::uint64_t FromEnvironment(const char* name, std::uint64_t fallback) {
  const char* text = std::getenv(name);
  return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

class WorkerSchedulesTest : public ::testing::Test {
 protected:
  using Make = std::function<WorkerSchedule(std::uint64_t seed)>;

  /// Runs the seeds on 2 threads. The schedules share no state.
  /// MIMOSASTAGE_SEED and MIMOSASTAGE_SCHEDULES select other seeds;
  /// MIMOSASTAGE_SCHEDULE_TRACE writes each event to standard error.
  void RunAll(const Make& make, std::uint64_t default_count) {
    const std::uint64_t first = FromEnvironment("MIMOSASTAGE_SEED", 1);
    const std::uint64_t count =
        FromEnvironment("MIMOSASTAGE_SCHEDULES", default_count);
    std::atomic<std::uint64_t> next = first;
    const auto run = [&] {
      for (auto seed = next++; seed < first + count; seed = next++) {
        this->RunOne(make, seed);
      }
    };
    std::array<std::thread, 2> threads{std::thread(run), std::thread(run)};
    for (std::thread& thread : threads) {
      thread.join();
    }
    this->Report(count);
  }

  void RunOne(const Make& make, std::uint64_t seed) {
    WorkerSchedule schedule = make(seed);
    const std::string failure = schedule.Run();
    const std::lock_guard lock(this->mutex);
    this->starts += schedule.Rules().Starts();
    this->terms += schedule.Terms();
    this->with_copies += schedule.Rules().MostRunsAtOnce() > 1 ? 1 : 0;
    this->preemptions += schedule.Preemptions();
    if (!failure.empty()) {
      this->failures.push_back("seed " + std::to_string(seed) + ": " + failure);
    }
  }

  void Report(std::uint64_t count) {
    std::sort(this->failures.begin(), this->failures.end());
    for (std::size_t i = 0; i < std::min<std::size_t>(this->failures.size(), 5);
         ++i) {
      ADD_FAILURE() << this->failures[i];
    }
    EXPECT_TRUE(this->failures.empty())
        << this->failures.size() << " of " << count << " schedules failed; run "
        << "one with MIMOSASTAGE_SEED=<seed> MIMOSASTAGE_SCHEDULES=1";
    // Checks that the schedules did start tasks.
    EXPECT_GT(this->starts, count * 50);
  }

  std::mutex mutex;
  std::vector<std::string> failures;
  std::uint64_t starts = 0;
  std::uint64_t terms = 0;
  /// Number of schedules in which a task had two runs at the same time.
  std::uint64_t with_copies = 0;
  std::uint64_t preemptions = 0;
};

// Guards against starts beyond a worker's room, two runs of one task, repeated
// runs of tasks that were done, starts out of order, beyond attempts or quotas
// or after a cancel, and jobs that never end.
TEST_F(WorkerSchedulesTest, Scheduler_RandomFaults_KeepsRulesOfRuns) {
  this->RunAll([](std::uint64_t seed) { return WorkerSchedule(seed); }, 100);
}

// The same while the platform answers upkeeps and moves late or not at all:
// guards against the loss of runs of a worker that was born in between.
TEST_F(WorkerSchedulesTest, Scheduler_PlatformIsSlow_KeepsRulesOfRuns) {
  this->RunAll(
      [](std::uint64_t seed) {
        return WorkerSchedule(
            seed, WorkerSchedule::Faults{.order_interval = 50,
                                         .leaders_change = seed % 2 == 0,
                                         .workers_crash = seed % 3 == 0,
                                         .platform_acts = true});
      },
      250);
}

WorkerSchedule MakeIdsReturnSchedule(std::uint64_t seed) {
  return WorkerSchedule(
      seed,
      WorkerSchedule::Faults{.order_interval = 4,
                             .announcement_interval = seed % 2 == 0 ? 3U : 0U,
                             .leaders_change = seed % 3 == 0,
                             .workers_crash = true,
                             .ids_return = true});
}

// The same while workers return under the id that they had: guards against ends
// of the next incarnation that count as acknowledged.
TEST_F(WorkerSchedulesTest, Scheduler_IdsReturn_KeepsRulesOfRuns) {
  this->RunAll(MakeIdsReturnSchedule, 50);
}

// Guards against a task that runs twice because a start for a worker that has
// crashed unnoticed is executed by its next incarnation, which has the same id:
// the run counts as lost with the former incarnation.
TEST_F(WorkerSchedulesTest,
       Scheduler_StartReachesNextIncarnation_KeepsRulesOfRuns) {
  this->RunOne([](std::uint64_t seed) { return WorkerSchedule(seed); }, 11'749);
  this->RunOne(MakeIdsReturnSchedule, 11'884);
  this->Report(2);
}

// Guards against a task that runs twice because a start that was meant for the
// incarnation before is executed seconds late on a worker that is cut off: its
// lease counts as lapsed while the task runs.
TEST_F(WorkerSchedulesTest,
       Scheduler_StartReachesCutOffIncarnation_KeepsRulesOfRuns) {
  this->RunOne(
      [](std::uint64_t seed) {
        return WorkerSchedule(
            seed, WorkerSchedule::Faults{.order_interval = 4,
                                         .workers_crash = true,
                                         .ids_return = true,
                                         .orders_outlive_workers = true,
                                         .workers_are_cut = true});
      },
      1'381);
  this->Report(1);
}

WorkerSchedule MakeOrdersOutliveSchedule(std::uint64_t seed) {
  return WorkerSchedule(seed,
                        WorkerSchedule::Faults{.order_interval = 6,
                                               .workers_crash = true,
                                               .ids_return = true,
                                               .orders_outlive_workers = true});
}

// The same while orders for a crashed worker are executed by the next one under
// its id.
TEST_F(WorkerSchedulesTest, Scheduler_OrdersOutliveWorkers_KeepsRulesOfRuns) {
  this->RunAll(MakeOrdersOutliveSchedule, 60);
}

// Guards against a task that runs again after its end was acknowledged, because
// a copy of its start reaches the next incarnation of the worker (TWICE).
TEST_F(WorkerSchedulesTest,
       Scheduler_CopyReachesNextIncarnation_KeepsRulesOfRuns) {
  for (const std::uint64_t seed : {2'377, 6'370, 7'189}) {
    this->RunOne(MakeOrdersOutliveSchedule, seed);
  }
  this->Report(3);
}

WorkerSchedule MakeOrdersOutliveTermsSchedule(std::uint64_t seed) {
  return WorkerSchedule(seed,
                        WorkerSchedule::Faults{.order_interval = 6,
                                               .leaders_change = true,
                                               .workers_crash = true,
                                               .ids_return = true,
                                               .orders_outlive_workers = true});
}

// The same while leaders change.
TEST_F(WorkerSchedulesTest,
       Scheduler_OrdersOutliveWorkersAndTerms_KeepsRulesOfRuns) {
  this->RunAll(MakeOrdersOutliveTermsSchedule, 60);
}

// Guards against the same after a change of the leader, which doesn't know the
// copies that the one before has sent.
TEST_F(WorkerSchedulesTest,
       Scheduler_CopyReachesNextIncarnationInNextTerm_KeepsRulesOfRuns) {
  for (const std::uint64_t seed :
       {1'610, 1'957, 2'160, 3'131, 3'134, 3'222, 4'181}) {
    this->RunOne(MakeOrdersOutliveTermsSchedule, seed);
  }
  this->Report(7);
}

// The same while workers are cut off and leaders change: guards against runs
// that are given up before their worker's lease has lapsed.
TEST_F(WorkerSchedulesTest, Scheduler_WorkersAreCutOff_KeepsRulesOfRuns) {
  this->RunAll(
      [](std::uint64_t seed) {
        return WorkerSchedule(
            seed, WorkerSchedule::Faults{.order_interval = 10,
                                         .announcement_interval = 3,
                                         .leaders_change = true,
                                         .leaders_pause = seed % 2 == 0,
                                         .log_stalls = seed % 3 == 0,
                                         .workers_are_cut = true,
                                         .workers_freeze = seed % 3 == 1,
                                         .jobs_are_cancelled = true});
      },
      60);
}

// The same while tasks straggle and are copied: guards against a third run of a
// task, copies of other tasks, copies after the end of the task, and room,
// quotas and attempts that copies exceed.
TEST_F(WorkerSchedulesTest, Scheduler_RunsStraggle_KeepsRulesOfRuns) {
  this->RunAll(
      [](std::uint64_t seed) {
        return WorkerSchedule(
            seed,
            WorkerSchedule::Faults{.order_interval = seed % 4 == 0 ? 0U : 20U,
                                   .leaders_change = seed % 3 == 0,
                                   .log_stalls = seed % 5 == 0,
                                   .workers_crash = seed % 2 == 0,
                                   .workers_are_cut = seed % 4 == 1,
                                   .jobs_are_cancelled = seed % 2 == 1,
                                   .runs_straggle = true});
      },
      60);
  // Checks that there were copies.
  EXPECT_GT(this->with_copies, 0U);
}

// The same while runs are stopped for urgent work: guards against a stopped run
// whose task runs twice, loses an attempt or is never started again.
TEST_F(WorkerSchedulesTest, Scheduler_PreemptsRuns_KeepsRulesOfRuns) {
  this->RunAll(
      [](std::uint64_t seed) {
        return WorkerSchedule(
            seed, WorkerSchedule::Faults{.order_interval = 10,
                                         .leaders_change = seed % 2 == 0,
                                         .log_stalls = seed % 3 == 0,
                                         .workers_crash = seed % 3 == 1,
                                         .workers_are_cut = seed % 4 == 0,
                                         .jobs_are_cancelled = true,
                                         .shares_and_preemption = true});
      },
      60);
  EXPECT_GT(this->preemptions, 0U);
}

}  // namespace
}  // namespace mimosastage::jobs
