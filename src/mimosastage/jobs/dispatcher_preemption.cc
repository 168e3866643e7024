#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "mimosastage/jobs/dispatcher.h"
#include "mimosastage/jobs/value_bounds.h"

namespace mimosastage::jobs {
namespace {

using std::chrono::milliseconds;

/// Runs are stopped only for steps that must start within this time, because
/// room may become free by itself before. A stopped run has ended, and another
/// has started in its place, after two round trips and a placement, some 200
/// ms.
constexpr milliseconds kUrgentSlack{400};
/// Bound on the steps of one placement for which runs may be stopped.
constexpr std::size_t kMaxBlockedSteps = 4;

double WorkOf(const Amount& charge, Duration time) {
  const auto ms = std::chrono::duration<double, std::milli>(time).count();
  return static_cast<double>(charge.millicores) * ms;
}

}  // namespace

void Dispatcher::NoteBlocked(ShareRound& round, const WaitingStep& waiting,
                             std::size_t unplaced) const {
  const Step& step = *waiting.demand.step;
  const milliseconds slack = waiting.latest_start - this->hooks.wall_time();
  if (round.blocked.size() >= kMaxBlockedSteps || unplaced == 0 ||
      waiting.late || slack < milliseconds(0) || slack > kUrgentSlack ||
      step.gang || step.long_running || step.filler || waiting.advised ||
      step.most_per_worker > 0) {
    return;
  }
  if (round.shares != nullptr &&
      round.shares->RankOf(waiting.demand.team).over_share) {
    return;
  }
  const Job& job = *this->state.FindJob(waiting.request->id);
  BlockedStep blocked;
  blocked.waiting = &waiting;
  blocked.tasks.assign(
      waiting.demand.waiting.end() - static_cast<std::ptrdiff_t>(unplaced),
      waiting.demand.waiting.end());
  // A task that was stopped or failed before doesn't stop others.
  const bool first_runs = std::all_of(
      blocked.tasks.begin(), blocked.tasks.end(), [&](std::uint32_t index) {
        TaskId task = waiting.demand.first;
        task.index = index;
        return job.At(task).runs == 0;
      });
  if (first_runs) {
    round.blocked.push_back(std::move(blocked));
  }
}

bool Dispatcher::IsPreempting(const std::string& pool) {
  const auto open = this->open_preemptions.find(pool);
  if (open == this->open_preemptions.end()) {
    return false;
  }
  const auto session = this->sessions.find(open->second.worker);
  const auto& runs = open->second.runs;
  if (session != this->sessions.end() &&
      std::any_of(runs.begin(), runs.end(), [&](const RunKey& key) {
        return session->second.runs.contains(key);
      })) {
    return true;
  }
  this->open_preemptions.erase(open);
  return false;
}

bool Dispatcher::MayPreempt(const RunKey& key, const Run& run,
                            const WaitingStep& waiting, TimePoint now) const {
  // Any later run of a task may follow a stop.
  if (run.stage != RunStage::kRunning || !run.running_since.has_value() ||
      key.second != 1 || run.step->gang || run.step->long_running ||
      key.first.job == waiting.request->id) {
    return false;
  }
  const Job* job = this->state.FindJob(key.first.job);
  const bool less_urgent = job != nullptr && job->queue != nullptr &&
                           job->queue->priority > waiting.priority;
  const bool more_urgent = job != nullptr && job->queue != nullptr &&
                           job->queue->priority < waiting.priority;
  return (less_urgent || (run.late && !more_urgent)) &&
         this->MayStop(key.first, now);
}

bool Dispatcher::PreemptFor(const std::string& pool, const BlockedStep& blocked,
                            const std::vector<CandidateWorker>& candidates,
                            TimePoint now) {
  const WaitingStep& waiting = *blocked.waiting;
  const Step& step = *waiting.demand.step;
  const std::string& team = waiting.demand.team;
  const std::size_t left = this->preemptions_for.Left(team, now);
  if (left == 0) {
    return false;
  }
  PreemptionDemand demand;
  demand.need = Charge(step);
  demand.tasks = blocked.tasks.size();
  demand.saved_work =
      WorkOf(demand.need, BoundedTime(step.estimate_ms)) * step.tasks;
  std::optional<PreemptionChoice> best;
  OpenPreemption stops;
  for (const CandidateWorker& worker : candidates) {
    const bool has_label =
        step.required_label.empty() ||
        std::find(worker.labels.begin(), worker.labels.end(),
                  step.required_label) != worker.labels.end();
    if (worker.suspect || !has_label) {
      continue;
    }
    std::vector<PreemptionCandidate> runs;
    std::vector<RunKey> keys;
    std::size_t max_stops = left;
    for (const auto& [key, run] : this->sessions.at(worker.id).runs) {
      if (!this->MayPreempt(key, run, waiting, now)) {
        continue;
      }
      const std::size_t left_of =
          this->preemptions_of.Left(run.request->team, now);
      if (left_of == 0) {
        continue;
      }
      max_stops = std::min(max_stops, left_of);
      const TimePoint kept = std::max(
          *run.running_since, run.checkpointed_after.value_or(TimePoint{}));
      const Amount charge = Charge(*run.step);
      runs.push_back(PreemptionCandidate{charge, WorkOf(charge, now - kept)});
      keys.push_back(key);
    }
    const auto choice = ChoosePreemption(demand, worker.free, runs, max_stops);
    if (choice.has_value() &&
        (!best.has_value() || choice->lost_work < best->lost_work)) {
      best = choice;
      stops = OpenPreemption{worker.id, {}};
      for (const std::size_t stop : choice->stops) {
        stops.runs.push_back(keys[stop]);
      }
    }
  }
  if (!best.has_value()) {
    return false;
  }
  Session& session = this->sessions.at(stops.worker);
  for (const RunKey& key : stops.runs) {
    Run& run = session.runs.at(key);
    this->preemptions_for.OnStop(team, now);
    this->preemptions_of.OnStop(run.request->team, now);
    this->hooks.report(
        "run_preempted", ToString(key.first),
        stops.worker + " for " + ToString(waiting.demand.first) + ", saves " +
            std::to_string(std::llround(demand.saved_work / 1e6)) +
            " core-seconds and loses " +
            std::to_string(std::llround(best->lost_work / 1e6)));
    this->hooks.count_retry("run_preempted");
    this->StopRun(stops.worker, session, key, run, "urgent work needs its room",
                  now);
  }
  this->open_preemptions[pool] = std::move(stops);
  return true;
}

void Dispatcher::Preempt(const std::string& pool, const ShareRound& round,
                         const std::vector<CandidateWorker>& candidates,
                         TimePoint now) {
  if (round.blocked.empty() || this->IsPreempting(pool)) {
    return;
  }
  for (const BlockedStep& blocked : round.blocked) {
    if (this->PreemptFor(pool, blocked, candidates, now)) {
      return;
    }
  }
}

}  // namespace mimosastage::jobs
