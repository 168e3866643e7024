#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <string>

#include "mimosastage/jobs/dispatcher.h"
#include "mimosastage/jobs/value_bounds.h"

namespace mimosastage::jobs {
namespace {

using std::chrono::milliseconds;
using Trend = DemandOutlook::Trend;

std::string Cores(double millicores) {
  return std::to_string(static_cast<std::int64_t>(millicores / 1'000)) +
         " cores";
}

}  // namespace

AcceptedWork Dispatcher::AcceptedWorkOf(const JobRequest& request,
                                        const Queue& queue) const {
  AcceptedWork work;
  work.duration =
      std::max(LongestChain(request, queue, this->MakeExpectedDuration()),
               milliseconds(1));
  const auto duration_ms = static_cast<double>(work.duration.count());
  for (std::uint32_t number = 0; number < request.steps.size(); ++number) {
    const Step& step = *request.steps[number];
    const Amount need = Charge(step);
    const double task_time =
        static_cast<double>(step.tasks) *
        static_cast<double>(this->MeanDurationOf(queue, step, number).count()) /
        duration_ms;
    work.mean.millicores += task_time * static_cast<double>(need.millicores);
    work.mean.memory_mb += task_time * static_cast<double>(need.memory_mb);
  }
  return work;
}

void Dispatcher::ObserveDemand(const JobRequest& request, const Queue& queue,
                               TimePoint now) {
  const bool lasts =
      std::any_of(request.steps.begin(), request.steps.end(),
                  [](const auto& step) { return step->long_running; });
  // Long-running jobs have no work that could be estimated, and scheduled ones
  // aren't due yet. Both count once their tasks run or wait.
  if (!this->config.lead_demand || lasts || request.occurrences > 0) {
    return;
  }
  if (!this->forecast.has_value()) {
    this->forecast.emplace(DemandForecast::Config{}, this->term_start);
  }
  this->forecast->OnAccepted(queue.pool, this->AcceptedWorkOf(request, queue),
                             now);
}

void Dispatcher::AddOutlooks(std::map<std::string, PoolDemand>& demands,
                             TimePoint now) {
  if (!this->config.lead_demand || !this->forecast.has_value()) {
    return;
  }
  this->forecast->Update(now);
  for (auto& [pool, demand] : demands) {
    if (demand.standby) {
      continue;
    }
    DemandOutlook outlook =
        this->forecast->OutlookOf(pool, now, this->config.lead_time);
    if (outlook.trend == Trend::kFalling) {
      outlook.expected =
          this->forecast->OutlookOf(pool, now, this->config.release_time)
              .expected;
    }
    demand.promised_soon =
        this->forecast
            ->OutlookOf(pool, now,
                        this->config.lead_time + this->config.idle_time)
            .promised;
    this->ReportOutlook(pool, outlook);
    demand.outlook = outlook;
  }
  std::erase_if(this->last_outlooks,
                [&](const auto& row) { return !demands.contains(row.first); });
  for (const auto& [id, worker] : this->state.Workers()) {
    const auto demand = demands.find(worker.pool);
    if (demand == demands.end()) {
      continue;
    }
    const Session& session = this->sessions.at(id);
    demand->second.late_used_millicores += session.late_used.millicores;
    demand->second.late_used_memory_mb += session.late_used.memory_mb;
    for (const auto& [key, run] : session.runs) {
      if (run.step->long_running) {
        const Amount need = Charge(*run.step);
        demand->second.long_running_millicores += need.millicores;
        demand->second.long_running_memory_mb += need.memory_mb;
      }
    }
  }
}

void Dispatcher::ReportOutlook(const std::string& pool,
                               const DemandOutlook& outlook) {
  DemandOutlook& last = this->last_outlooks[pool];
  if (outlook.trend == Trend::kPeak && last.trend != Trend::kPeak) {
    this->hooks.report("load_peak_began", pool,
                       Cores(outlook.expected.millicores));
  }
  if (last.trend == Trend::kPeak && outlook.trend != Trend::kPeak) {
    this->hooks.report("load_peak_ended", pool,
                       Cores(outlook.expected.millicores));
  }
  if (outlook.promised.millicores > 0 && last.promised.millicores <= 0) {
    this->hooks.report("load_peak_predicted", pool,
                       Cores(outlook.promised.millicores));
  }
  last = outlook;
}

Duration Dispatcher::TimeToVacancy(const Session& session, TimePoint now) {
  Duration longest{0};
  for (const auto& [key, run] : session.runs) {
    // Released workers stop these; see StopLateRuns.
    if (run.late && run.step->checkpoints && run.stage == RunStage::kRunning) {
      continue;
    }
    const Duration estimate = BoundedTime(run.step->estimate_ms);
    const Duration elapsed =
        run.running_since.has_value() ? now - *run.running_since : Duration(0);
    // A task that exceeds its estimate is likely to run for about as long
    // again.
    longest =
        std::max(longest, std::max(estimate - elapsed, elapsed - estimate));
  }
  return longest;
}

}  // namespace mimosastage::jobs
