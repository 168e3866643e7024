#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "mimosastage/jobs/dispatcher.h"
#include "mimosastage/jobs/value_bounds.h"

namespace mimosastage::jobs {
namespace {

using std::chrono::milliseconds;

/// How often the running tasks are compared with the others of their step.
/// Short tasks take about 500 ms, so a copy starts early enough to help.
constexpr milliseconds kStragglerCheckInterval{200};

bool MayHaveCopy(const Step& step) {
  return step.speculative && !step.gang && !step.long_running && !step.filler;
}

const std::string& RackOf(const Worker& worker) {
  static const std::string no_rack;
  return worker.labels.size() > 1 ? worker.labels[1] : no_rack;
}

}  // namespace

void Dispatcher::CopyStragglers(TimePoint now) {
  if (!this->config.copy_stragglers || now < this->next_straggler_check) {
    return;
  }
  this->next_straggler_check = now + kStragglerCheckInterval;
  for (auto& [pool, workers] : this->pool_workers) {
    if (const auto waiting = this->waiting_sums.find(pool);
        waiting != this->waiting_sums.end() &&
        (waiting->second.millicores > waiting->second.late_millicores ||
         waiting->second.memory_mb > waiting->second.late_memory_mb)) {
      // Work that can be in time needs the capacity.
      continue;
    }
    this->CopyStragglersOf(workers, now);
  }
}

std::vector<StragglerCopies::RunningOriginal> Dispatcher::FindOriginals(
    const PoolWorkers& workers, std::size_t& running, std::size_t& copied,
    TimePoint now) const {
  std::vector<StragglerCopies::RunningOriginal> originals;
  for (const auto& [worker, session] : workers.members) {
    for (const auto& [key, run] : session->runs) {
      const Job* const job =
          MayHaveCopy(*run.step) ? this->state.FindJob(key.first.job) : nullptr;
      if (job == nullptr || job->Ended() || job->queue == nullptr) {
        running += run.stage == RunStage::kRunning ? 1 : 0;
        continue;
      }
      const Task& task = job->At(key.first);
      const bool has_earlier_run =
          std::any_of(task.active.begin(), task.active.end(),
                      [number = key.second](const ActiveRun& other) {
                        return other.number < number;
                      });
      if (has_earlier_run) {
        ++copied;
        continue;
      }
      if (run.stage != RunStage::kRunning) {
        continue;
      }
      ++running;
      // A task that was started again, for whatever reason, gets no copy, so
      // that a task never has more than one.
      if (key.second != 1 || task.runs != 1 || task.failures > 0 || task.done ||
          run.late || !run.running_since.has_value() || job->queue->advised ||
          this->implicated.contains(key.first.job)) {
        continue;
      }
      const RunTimeKey times =
          MakeRunTimeKey(*job->queue, key.first.step, run.step->image);
      const milliseconds stated = BoundedTime(run.step->estimate_ms);
      const auto elapsed =
          std::chrono::floor<milliseconds>(now - *run.running_since);
      const milliseconds tail =
          this->run_times.Quantile(times, RunSamples::kTailQuantile, stated);
      if (!this->run_times.Knows(times) || elapsed <= tail) {
        continue;
      }
      originals.push_back(StragglerCopies::RunningOriginal{
          key.first, worker->id, RackOf(*worker), elapsed, tail,
          this->run_times.Remaining(times, stated, elapsed),
          this->run_times.Quantile(times, 0.5, stated)});
    }
  }
  return originals;
}

void Dispatcher::CopyStragglersOf(PoolWorkers& workers, TimePoint now) {
  std::size_t running = 0;
  std::size_t copied = 0;
  const auto stragglers = StragglerCopies::Select(
      this->FindOriginals(workers, running, copied, now));
  const StragglerCopies copies(this->config.straggler_copies);
  std::size_t room =
      std::min(copies.Room(running, copied), this->start_windows.Room());
  if (stragglers.empty() || room == 0) {
    return;
  }
  this->UpdateCandidates(workers, now);
  std::map<std::string, TeamQuota> teams = this->TeamQuotas();
  for (const StragglerCopies::RunningOriginal& original : stragglers) {
    const Job& job = *this->state.FindJob(original.task.job);
    const Step& step = *job.request->steps[original.task.step];
    const auto team = teams.find(job.request->team);
    if (team != teams.end() && !team->second.Admits(NeedOf(step))) {
      continue;
    }
    std::map<std::string, std::size_t> on_worker;
    const std::size_t begin =
        job.StepBegin(original.task.occurrence, original.task.step);
    for (std::uint32_t i = 0; step.most_per_worker > 0 && i < step.tasks; ++i) {
      for (const ActiveRun& active : job.tasks[begin + i].active) {
        ++on_worker[active.worker];
      }
    }
    const auto chosen = StragglerCopies::ChooseWorker(step, original, on_worker,
                                                      workers.candidates);
    if (!chosen.has_value()) {
      continue;
    }
    CandidateWorker& candidate = workers.candidates[*chosen];
    Subtract(candidate.free, Charge(step));
    if (team != teams.end()) {
      Subtract(team->second.free, NeedOf(step));
    }
    this->hooks.report(
        "straggler_copied", ToString(original.task),
        original.worker + " for " + std::to_string(original.elapsed.count()) +
            " ms, 95 in 100 take up to " +
            std::to_string(original.tail.count()) + " ms, left about " +
            std::to_string(original.remaining.count()) + " ms; copy on " +
            candidate.id);
    this->StartRun(original.task, 2, candidate.id, false);
    if (--room == 0) {
      return;
    }
  }
}

}  // namespace mimosastage::jobs
