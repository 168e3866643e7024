#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>

#include "mimosastage/jobs/dispatcher.h"
#include "mimosastage/jobs/value_bounds.h"

namespace mimosastage::jobs {
namespace {

using std::chrono::milliseconds;

/// Steps of up to this many tasks are placed whole by a team within its share,
/// because the job gains nothing from a part of its step. It bounds by how much
/// one step can exceed the share. Steps of short jobs have 8 tasks.
constexpr std::size_t kTasksPlacedWhole = 16;
/// A pool may become short and cease to be so at every placement.
constexpr milliseconds kShareReportInterval{1'000};
/// Bound on the expected wait, and so on Retry-After. A peak of a queue lasts
/// 4.5 s, and a client that waits for longer could have been served.
constexpr milliseconds kMaxExpectedWait{10'000};
/// Weight of work without a team: that of a team whose configuration names
/// none.
constexpr double kDefaultWeight = 1;

/// Returns what is left of the step after the assignments from `first` on.
StepDemand RestOf(const StepDemand& demand,
                  const std::vector<CandidateWorker>& candidates,
                  const std::vector<Assignment>& assignments,
                  std::size_t first) {
  StepDemand rest = demand;
  // Tasks are placed in their order.
  rest.waiting.erase(rest.waiting.begin(),
                     rest.waiting.begin() + static_cast<std::ptrdiff_t>(
                                                assignments.size() - first));
  if (rest.step->most_per_worker > 0) {
    for (std::size_t i = first; i < assignments.size(); ++i) {
      ++rest.on_worker[candidates[assignments[i].candidate].id];
    }
  }
  return rest;
}

}  // namespace

void Dispatcher::CountUse(const Session& session, const Run& run,
                          std::int64_t sign) {
  // Long-running tasks are placed first whatever their team uses. If they
  // counted, the team's other jobs would starve while a service runs.
  if (session.shares == nullptr || run.step->long_running) {
    return;
  }
  Amount use = Charge(*run.step);
  use.millicores *= sign;
  use.memory_mb *= sign;
  use.accelerators *= sign;
  session.shares->OnUse(run.request->team, use);
}

void Dispatcher::IndexShares() {
  if (!this->config.fair_shares) {
    return;
  }
  for (auto& [pool, contention] : this->contentions) {
    contention.shares.ClearUses();
  }
  std::erase_if(this->contentions, [this](const auto& row) {
    return !this->pool_workers.contains(row.first);
  });
  this->owed_jobs.Retain([this](const std::string& team) {
    return team.empty() || this->state.FindTeam(team) != nullptr;
  });
  for (auto& [id, session] : this->sessions) {
    const auto worker = this->state.Workers().find(id);
    session.shares = worker == this->state.Workers().end()
                         ? nullptr
                         : &this->contentions[worker->second.pool].shares;
    for (const auto& [key, run] : session.runs) {
      CountUse(session, run, 1);
    }
  }
}

void Dispatcher::EndShortages() {
  for (auto& [pool, contention] : this->contentions) {
    contention.is_short &= this->waiting_sums.contains(pool);
  }
}

Dispatcher::ShareRound Dispatcher::BeginShareRound(
    const std::string& pool, const std::vector<CandidateWorker>& candidates) {
  ShareRound round;
  if (!this->config.fair_shares) {
    return round;
  }
  round.contention = &this->contentions[pool];
  if (!round.contention->is_short) {
    return round;
  }
  round.shares = &round.contention->shares;
  Amount free;
  for (const CandidateWorker& candidate : candidates) {
    // A worker whose capacity has shrunk has less than nothing free.
    free.millicores += std::max<std::int64_t>(0, candidate.free.millicores);
    free.memory_mb += std::max<std::int64_t>(0, candidate.free.memory_mb);
    free.accelerators += std::max<std::int64_t>(0, candidate.free.accelerators);
  }
  round.shares->BeginRound(
      free, this->waiting_steps.TeamsOf(pool),
      [this](const std::string& team) { return this->WeightOf(team); });
  return round;
}

double Dispatcher::WeightOf(const std::string& team) const {
  const Team* known = this->state.FindTeam(team);
  return known == nullptr ? kDefaultWeight : known->weight;
}

std::optional<milliseconds> Dispatcher::ExpectedShareWait(
    const std::string& pool, const TeamShares& shares,
    const std::string& team) const {
  const WaitingSteps::Backlog backlog =
      this->waiting_steps.BacklogOf(pool, team);
  // The team goes on using what others leave of their shares.
  const Amount share = shares.ShareOf(team);
  const Amount used = shares.UsedBy(team);
  double wait_ms = 0;
  for (const auto& [work, rate] :
       {std::pair(backlog.millicore_ms,
                  std::max(share.millicores, used.millicores)),
        std::pair(backlog.memory_mb_ms,
                  std::max(share.memory_mb, used.memory_mb))}) {
    if (work > 0 && rate <= 0) {
      return std::nullopt;
    }
    if (work > 0) {
      wait_ms = std::max(wait_ms, work / static_cast<double>(rate));
    }
  }
  return milliseconds(static_cast<std::int64_t>(
      std::min(wait_ms, static_cast<double>(kMaxExpectedWait.count()))));
}

std::optional<milliseconds> Dispatcher::ShareDelay(const JobRequest& request,
                                                   const std::string& team,
                                                   const Queue& queue) const {
  const auto contention = this->contentions.find(queue.pool);
  if (contention == this->contentions.end() || !contention->second.is_short) {
    return std::nullopt;
  }
  const TeamShares& shares = contention->second.shares;
  const bool lasts =
      std::any_of(request.steps.begin(), request.steps.end(),
                  [](const auto& step) { return step->long_running; });
  if (lasts || request.occurrences > 0 || !shares.RankOf(team).over_share ||
      this->owed_jobs.IsOwed(team, this->WeightOf(team),
                             this->hooks.wall_time())) {
    return std::nullopt;
  }
  const auto wait = this->ExpectedShareWait(queue.pool, shares, team);
  const milliseconds chain =
      LongestChain(request, queue, this->MakeExpectedDuration());
  const milliseconds slack = ObjectiveOf(chain, queue) - chain;
  if (!wait.has_value() || *wait <= slack) {
    return std::nullopt;
  }
  return *wait - slack;
}

WaitingSteps::Next Dispatcher::PlaceInRound(
    ShareRound& round, const WaitingStep& waiting,
    std::vector<CandidateWorker>& candidates, TeamQuota* quota,
    std::vector<Assignment>& assignments, std::size_t limit) {
  const Step& step = *waiting.demand.step;
  const auto rest = round.rests.find(&waiting);
  const StepDemand& demand =
      rest == round.rests.end() ? waiting.demand : rest->second;
  std::size_t most = limit;
  if (round.shares != nullptr && !step.gang && !step.long_running) {
    most = std::min(
        limit, std::max(kTasksPlacedWhole, round.shares->TasksWithinShare(
                                               demand.team, Charge(step))));
  }
  const std::size_t first = assignments.size();
  // With a long backlog on a full pool, a search of all workers for each step
  // would take most of the leader's processor time.
  const bool may_fit = step.gang || Fits(step, round.most_free);
  const StepPlacement placement =
      may_fit ? PlaceStep(demand, candidates, quota, assignments, most)
              : StepPlacement::kNoRoom;
  if (may_fit && placement == StepPlacement::kNoRoom) {
    round.most_free = MostFree(candidates);
  }
  const std::size_t placed = assignments.size() - first;
  for (std::size_t i = first; i < assignments.size(); ++i) {
    assignments[i].late = waiting.late;
  }
  if (round.shares != nullptr && !step.long_running) {
    Amount use = Charge(step);
    const auto count = static_cast<std::int64_t>(placed);
    use.millicores *= count;
    use.memory_mb *= count;
    use.accelerators *= count;
    round.shares->OnAssigned(demand.team, use);
  }
  if (placement == StepPlacement::kNoRoom) {
    const bool own_limit = quota != nullptr && !quota->Admits(NeedOf(step));
    round.is_short |= !own_limit && !waiting.late && !step.long_running;
    // Stopping runs doesn't help while a carrier takes no more starts.
    const bool starts_are_left =
        std::all_of(this->starts_left.begin(), this->starts_left.end(),
                    [](const auto& carrier) { return carrier.second > 0; });
    if (this->config.preempt && !own_limit && starts_are_left) {
      this->NoteBlocked(round, waiting, demand.waiting.size() - placed);
    }
    return WaitingSteps::Next::kLeaveOutAlike;
  }
  if (placed == most && most < limit && placed < demand.waiting.size()) {
    round.rests[&waiting] = RestOf(demand, candidates, assignments, first);
    return WaitingSteps::Next::kRepeat;
  }
  return WaitingSteps::Next::kContinue;
}

void Dispatcher::EndShareRound(const std::string& pool, ShareRound& round,
                               TimePoint now) {
  PoolContention* const contention = round.contention;
  if (contention == nullptr) {
    return;
  }
  // If the start window ended the placement, it isn't known whether the rest
  // would have fitted.
  contention->is_short =
      round.is_short || (contention->is_short && !round.is_complete);
  if (round.shares == nullptr) {
    return;
  }
  if (now >= contention->next_report) {
    contention->next_report = now + kShareReportInterval;
    this->hooks.report("team_shares_applied", pool,
                       std::to_string(round.shares->Teams()) + " teams, " +
                           std::to_string(round.shares->TeamsOverShare()) +
                           " of them over their share");
  }
  round.shares->EndRound();
}

}  // namespace mimosastage::jobs
