// Measures the CPU time of the leader's scheduling decisions for 352 workers,
// or as many as --workers_per_pool makes, under constant load, and prints one
// JSON line with the time per simulated second. --backlog keeps that many tasks
// waiting; with --task_ms=1900 the workers then start about 1,850 tasks per
// second.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <chrono>
#include <cstdint>
#include <ctime>
#include <iostream>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "tests/jobs/support/fake_fleet_leader.h"

ABSL_FLAG(int, seconds, 20, "simulated duration");
ABSL_FLAG(int, task_ms, 800, "duration of a task");
ABSL_FLAG(int, backlog, 0, "number of tasks that wait at any time");
ABSL_FLAG(bool, learn_run_times, false, "Dispatcher::Config::learn_run_times");
ABSL_FLAG(int, workers_per_pool, 88, "workers in each of the four pools");
ABSL_FLAG(int, teams, 0, "number of teams that submit jobs in turn");
ABSL_FLAG(bool, fair_shares, false, "order by the shares of teams");
ABSL_FLAG(bool, preempt, false, "stop late runs for urgent work");
ABSL_FLAG(int, spread, 0, "largest difference between the millicores of steps");

namespace {

using mimosastage::jobs::FakeFleetLeader;
using mimosastage::jobs::MakeStep;
using mimosastage::jobs::RunOutcome;
using mimosastage::jobs::Step;
using mimosastage::jobs::TaskId;
using std::chrono::milliseconds;

constexpr int kPools = 4;
/// Jobs per second of all pools, as in a deployment of this size.
constexpr int kJobsPerSecond = 60;
constexpr int kTasksPerJob = 16;

double ProcessorSeconds() {
  timespec cpu_time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &cpu_time);
  return static_cast<double>(cpu_time.tv_sec) +
         static_cast<double>(cpu_time.tv_nsec) * 1e-9;
}

std::vector<Step> TwoSteps(std::mt19937_64& random, int spread) {
  const auto millicores = [&] {
    return 1'500 + static_cast<std::int64_t>(
                       random() % static_cast<std::uint64_t>(spread + 1));
  };
  std::vector<Step> steps;
  steps.push_back(MakeStep(kTasksPerJob / 2, millicores()));
  steps.push_back(MakeStep(kTasksPerJob / 2, millicores()));
  steps.back().after.push_back(0);
  return steps;
}

/// Lets the workers announce themselves, each one every 1.5 s.
void AnnounceDueWorkers(FakeFleetLeader& fleet, int step) {
  int number = 0;
  for (const auto& [id, worker] : fleet.workers) {
    if (number++ % 150 == step % 150) {
      fleet.dispatcher->Announce(worker.record,
                                 static_cast<std::uint64_t>(step) + 2,
                                 fleet.now, [] {});
    }
  }
}

/// Ends all runs that have reached the duration of a task.
void EndDueRuns(FakeFleetLeader& fleet, milliseconds task_length) {
  const auto now =
      std::chrono::duration_cast<milliseconds>(fleet.now.time_since_epoch());
  for (auto& [id, worker] : fleet.workers) {
    std::vector<TaskId> due;
    for (const auto& [key, began] : worker.running) {
      if (now.count() - began >= task_length.count()) {
        due.push_back(key.first);
      }
    }
    for (const TaskId& task : due) {
      fleet.EndRun(id, task, RunOutcome::kDone);
    }
  }
}

}  // namespace

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  const int seconds = absl::GetFlag(FLAGS_seconds);
  const int backlog = absl::GetFlag(FLAGS_backlog);
  const milliseconds task_length(absl::GetFlag(FLAGS_task_ms));
  mimosastage::jobs::Dispatcher::Config config;
  config.learn_run_times = absl::GetFlag(FLAGS_learn_run_times);
  const int teams = absl::GetFlag(FLAGS_teams);
  const int workers_per_pool = absl::GetFlag(FLAGS_workers_per_pool);
  config.fair_shares = absl::GetFlag(FLAGS_fair_shares);
  config.preempt = absl::GetFlag(FLAGS_preempt);
  FakeFleetLeader fleet(config);
  for (int team = 0; team < teams; ++team) {
    fleet.AddTeam("team-" + std::to_string(team), 0);
  }
  fleet.delay_hold_answers = true;
  for (int pool = 0; pool < kPools; ++pool) {
    fleet.AddPool("pool-" + std::to_string(pool));
    for (int i = 0; i < workers_per_pool; ++i) {
      fleet.AddWorker(
          "worker-" + std::to_string(pool) + "-" + std::to_string(i),
          "pool-" + std::to_string(pool), 16'000);
    }
  }
  fleet.BeginTerm();
  std::mt19937_64 random(1);
  int jobs = 0;
  const auto submit = [&] {
    const std::string team =
        teams == 0 ? "" : "team-" + std::to_string(jobs % teams);
    fleet.Submit("job-" + std::to_string(jobs++),
                 "pool-" + std::to_string(random() % kPools),
                 TwoSteps(random, absl::GetFlag(FLAGS_spread)), team);
  };
  const auto waiting = [&] {
    return jobs * kTasksPerJob - static_cast<int>(fleet.starts.size());
  };
  const double began = ProcessorSeconds();
  for (int step = 0; step < seconds * 100; ++step) {
    if (step * kJobsPerSecond / 100 > jobs) {
      submit();
    }
    while (waiting() < backlog) {
      submit();
    }
    fleet.Advance(milliseconds(10));
    AnnounceDueWorkers(fleet, step);
    // The daemon's event loop runs about 1,000 iterations per second.
    for (int iteration = 1; iteration < 10; ++iteration) {
      fleet.dispatcher->Tick(fleet.now);
      fleet.dispatcher->NextDue(fleet.now);
    }
    EndDueRuns(fleet, task_length);
  }
  const double spent = ProcessorSeconds() - began;
  std::cout << "{\"bench\":\"dispatcher\",\"workers\":"
            << kPools * workers_per_pool << ",\"jobs\":" << jobs
            << ",\"waiting\":" << waiting()
            << ",\"starts\":" << fleet.starts.size()
            << ",\"processor_ms_per_second\":" << spent * 1'000 / seconds
            << "}\n";
}
