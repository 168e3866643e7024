#include "tests/jobs/support/run_times_fleet.h"

#include <memory>
#include <utility>
#include <vector>

namespace mimosastage::jobs {

using std::chrono::milliseconds;

RunTimesFleet::RunTimesFleet(Dispatcher::Config config) : fleet(config) {
  this->fleet.AddPool("render");
  for (int i = 0; i < kWorkers; ++i) {
    this->fleet.AddWorker("worker-" + std::to_string(i), "render",
                          kMillicoresOfWorker);
  }
  this->fleet.BeginTerm();
  for (int i = 0; i < kWorkers; ++i) {
    const std::string id = "worker-" + std::to_string(i);
    this->fleet.workers.at(id).record.labels[1] =
        "rack-" + std::to_string(i % 2);
    this->fleet.Announce(id);
  }
  this->fleet.Advance(milliseconds(50));
}

Step RunTimesFleet::StepOf(std::uint32_t tasks, milliseconds stated) {
  Step step = MakeStep(tasks, kMillicoresOfTask);
  step.estimate_ms = static_cast<std::uint64_t>(stated.count());
  return step;
}

void RunTimesFleet::Submit(const std::string& id, std::uint32_t tasks,
                           milliseconds stated) {
  std::vector<Step> steps;
  steps.push_back(StepOf(tasks, stated));
  this->fleet.Submit(id, "render", std::move(steps));
}

void RunTimesFleet::EndRunsAfter(milliseconds duration, RunOutcome outcome,
                                 const std::string& except) {
  const auto now = std::chrono::duration_cast<milliseconds>(
      this->fleet.now.time_since_epoch());
  for (auto& [id, worker] : this->fleet.workers) {
    std::vector<TaskId> due;
    for (const auto& [key, began] : worker.running) {
      if (now.count() - began >= duration.count() && key.first.job != except) {
        due.push_back(key.first);
      }
    }
    for (const TaskId& task : due) {
      this->fleet.EndRun(id, task, outcome);
    }
  }
}

void RunTimesFleet::Run(milliseconds length, milliseconds duration,
                        RunOutcome outcome, const std::string& except) {
  for (milliseconds at(0); at < length; at += milliseconds(10)) {
    this->fleet.Advance(milliseconds(10));
    this->EndRunsAfter(duration, outcome, except);
  }
}

std::int64_t RunTimesFleet::ExpectedOfTask(milliseconds stated) {
  JobRequest request;
  request.steps.push_back(std::make_unique<Step>(StepOf(1, stated)));
  return this->fleet.dispatcher->ExpectedCoreMilliseconds(
      request, *this->fleet.state.Config().queues[0]);
}

}  // namespace mimosastage::jobs
