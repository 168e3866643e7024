#include <algorithm>
#include <limits>
#include <string>

#include "mimosastage/jobs/dispatcher.h"
#include "mimosastage/jobs/value_bounds.h"

namespace mimosastage::jobs {
namespace {

using std::chrono::milliseconds;

/// How often the runs in progress are observed, and waiting jobs are updated to
/// new durations. A visit of all runs takes about 1 ms, and the learned
/// durations of a queue change over seconds.
constexpr milliseconds kObservationInterval{500};
/// The start of a run is known to within the time from its order to the
/// worker's confirmation. Short tasks take about 500 ms, so this is an error of
/// a fifth at most.
constexpr milliseconds kMaxStartUncertainty{100};

}  // namespace

ExpectedDuration Dispatcher::MakeExpectedDuration() const {
  if (!this->config.learn_run_times) {
    return {};
  }
  return [this](const Queue& queue, const JobRequest& request,
                std::uint32_t number) {
    const Step& step = *request.steps[number];
    const milliseconds stated = BoundedTime(step.estimate_ms);
    if (step.long_running) {
      return stated;
    }
    return this->run_times.Quantile(MakeRunTimeKey(queue, number, step.image),
                                    0.5, stated);
  };
}

milliseconds Dispatcher::ExpectedOf(const RunKey& key, const Run& run) const {
  const milliseconds stated = BoundedTime(run.step->estimate_ms);
  if (!this->config.learn_run_times) {
    return stated;
  }
  const Job* const job = this->state.FindJob(key.first.job);
  return job == nullptr || job->queue == nullptr
             ? stated
             : this->run_times.Quantile(
                   MakeRunTimeKey(*job->queue, key.first.step, run.step->image),
                   0.5, stated);
}

milliseconds Dispatcher::MeanDurationOf(const Queue& queue, const Step& step,
                                        std::uint32_t number) const {
  const milliseconds stated = BoundedTime(step.estimate_ms);
  return this->config.learn_run_times
             ? this->run_times.Expected(
                   MakeRunTimeKey(queue, number, step.image), stated)
             : stated;
}

std::int64_t Dispatcher::ExpectedCoreMilliseconds(const JobRequest& request,
                                                  const Queue& queue) const {
  double sum = 0;
  for (std::uint32_t number = 0; number < request.steps.size(); ++number) {
    const Step& step = *request.steps[number];
    if (step.long_running) {
      continue;
    }
    const milliseconds duration = this->MeanDurationOf(queue, step, number);
    sum += static_cast<double>(step.tasks) *
           static_cast<double>(Charge(step).millicores) / 1'000 *
           static_cast<double>(duration.count());
  }
  sum *= std::max<std::uint32_t>(1, request.occurrences);
  // Half of the range, so that callers can add some of them.
  constexpr auto kMax = std::numeric_limits<std::int64_t>::max() / 2;
  return sum < static_cast<double>(kMax) ? static_cast<std::int64_t>(sum)
                                         : kMax;
}

std::optional<RunTimeKey> Dispatcher::KeyOfTypicalRun(const RunKey& key,
                                                      const Run& run) const {
  // A later run may begin from a checkpoint. Runs of an earlier leader have no
  // attempts, and their start is known to within seconds.
  const bool typical =
      key.second == 1 && run.stage == RunStage::kRunning && run.attempts > 0 &&
      !run.start_repeated && run.running_since.has_value() &&
      *run.running_since - run.last_start <= kMaxStartUncertainty &&
      !run.step->long_running && !run.step->filler;
  const Job* const job = typical ? this->state.FindJob(key.first.job) : nullptr;
  if (job == nullptr || job->queue == nullptr) {
    return std::nullopt;
  }
  return MakeRunTimeKey(*job->queue, key.first.step, run.step->image);
}

void Dispatcher::ObserveEnds(const std::string& id, const Session& session,
                             const WorkerReply& reply, TimePoint now) {
  // The ends of a worker that was silent may be seconds old.
  if (!this->config.learn_run_times || session.unanswered_orders > 0 ||
      this->speed.IsSlow(id, now)) {
    return;
  }
  for (const EndedRun& ended : reply.ended) {
    const auto found = session.runs.find({ended.task, ended.run});
    if (ended.outcome != RunOutcome::kDone || found == session.runs.end() ||
        ended.number <= session.last_durable_end) {
      continue;
    }
    const auto& [run_key, run] = *found;
    const auto key = this->KeyOfTypicalRun(run_key, run);
    if (!key.has_value()) {
      continue;
    }
    const milliseconds stated = BoundedTime(run.step->estimate_ms);
    const auto change = this->run_times.Observe(
        *key, stated,
        std::chrono::floor<milliseconds>(
            std::max(*run.running_since, reply.read_at) - *run.running_since));
    if (change == RunSamples::Change::kLarge) {
      this->hooks.report(
          "run_times_learned",
          run.request->queue + " step " + std::to_string(ended.task.step),
          "stated " + std::to_string(stated.count()) + " ms, learned " +
              std::to_string(
                  this->run_times.Quantile(*key, 0.5, stated).count()) +
              " ms; " + std::to_string(this->run_times.Samples()) +
              " samples of this term in " +
              std::to_string(this->run_times.Keys()) + " keys");
    }
  }
}

void Dispatcher::ObserveRunningTasks(TimePoint now) {
  if (!this->config.learn_run_times || now < this->next_running_observation) {
    return;
  }
  this->next_running_observation = now + kObservationInterval;
  this->run_times.ForgetRunning();
  for (const auto& [id, session] : this->sessions) {
    if (session.unanswered_orders > 0 || this->speed.IsSlow(id, now)) {
      continue;
    }
    for (const auto& [run_key, run] : session.runs) {
      if (const auto key = this->KeyOfTypicalRun(run_key, run);
          key.has_value()) {
        this->run_times.ObserveRunning(
            *key, BoundedTime(run.step->estimate_ms),
            std::chrono::floor<milliseconds>(now - *run.running_since));
      }
    }
  }
  if (const std::uint64_t version = this->run_times.Version();
      version != std::exchange(this->used_run_times, version)) {
    this->waiting_steps.OnExpectedChanged();
  }
}

}  // namespace mimosastage::jobs
