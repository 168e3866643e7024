#include "tests/jobs/support/run_rules.h"

#include <algorithm>

#include "mimosastage/jobs/placement.h"

namespace mimosastage::jobs {
namespace {

using std::chrono::milliseconds;

/// A cancelled job's tasks may start until this long after the cancel was
/// acknowledged (`cancel_ms`).
constexpr milliseconds kCancelTime{3'000};
/// `quota_overage`: the part of its upper limit that a team may exceed, besides
/// one task.
constexpr double kQuotaOverage = 0.1;

}  // namespace

std::string TimeText(TimePoint at) {
  return std::to_string(
             std::chrono::floor<milliseconds>(at.time_since_epoch()).count()) +
         " ms";
}

void RunRules::AddJob(std::shared_ptr<const JobRequest> job,
                      std::uint32_t max_attempts) {
  const std::string id = job->id;
  this->jobs.emplace(id, KnownJob{std::move(job), max_attempts, std::nullopt});
}

void RunRules::SetQuota(const std::string& team, std::int64_t millicores) {
  this->quotas[team] = millicores;
}

const Step* RunRules::StepOf(const TaskId& task) const {
  const auto found = this->jobs.find(task.job);
  if (found == this->jobs.end() ||
      task.step >= found->second.request->steps.size()) {
    return nullptr;
  }
  return found->second.request->steps[task.step].get();
}

void RunRules::OnCancelAcknowledged(const std::string& job, TimePoint now) {
  auto& cancelled = this->jobs.at(job).cancelled;
  cancelled = cancelled.value_or(now);
}

RunRules::Life RunRules::AddLife(const std::string& name,
                                 const Amount& capacity) {
  LifeState& life = this->lives.emplace_back();
  life.name = name;
  life.capacity = std::make_unique<Amount>(capacity);
  return this->lives.size() - 1;
}

void RunRules::OnStart(Life life, const StartSeen& start, TimePoint now) {
  ++this->starts;
  auto run = std::make_shared<Run>();
  run->key = start.key;
  run->life = life;
  run->began = ++this->events;
  run->began_at = now;
  run->ordered = start.ordered;
  const TaskId& task = start.key.first;
  const std::string what =
      Describe(*run) + ", ordered at " + TimeText(start.ordered);
  const Step* step = this->StepOf(task);
  if (step == nullptr) {
    this->Violate("UNASKED", what + ": no such job");
    return;
  }
  const KnownJob& job = this->jobs.at(task.job);
  this->CheckRoom(life, *step, what);
  this->CheckRunsAtOnce(task, *step, what);
  this->CheckOrder(task, *step, what);
  this->CheckQuota(job.request->team, *step, what);
  this->CheckRequested(start, job, what);
  this->lives[life].running[start.key] = run;
  this->runs[task].push_back(std::move(run));
}

void RunRules::CheckRoom(Life life, const Step& step, const std::string& what) {
  const Amount used = this->Used(life);
  const Amount charge = Charge(step);
  const Amount& capacity = *this->lives[life].capacity;
  if (used.millicores + charge.millicores > capacity.millicores ||
      used.memory_mb + charge.memory_mb > capacity.memory_mb) {
    std::string held;
    for (const auto& [key, run] : this->lives[life].running) {
      held += "\n    holds " + Describe(*run);
    }
    this->Violate("LIMIT",
                  what + ": " + std::to_string(used.millicores) + " of " +
                      std::to_string(capacity.millicores) + " millicores and " +
                      std::to_string(used.memory_mb) + " of " +
                      std::to_string(capacity.memory_mb) + " MB taken, " +
                      std::to_string(charge.millicores) + " and " +
                      std::to_string(charge.memory_mb) + " more" + held);
  }
}

void RunRules::CheckRunsAtOnce(const TaskId& task, const Step& step,
                               const std::string& what) {
  const std::size_t allowed = step.speculative ? 2 : 1;
  std::size_t at_once = 1;
  for (const auto& other : this->runs[task]) {
    if (!other->ended.has_value() && this->lives[other->life].up &&
        ++at_once > allowed) {
      this->Violate("TWICE", what + ": beside " + Describe(*other));
    }
  }
  this->most_runs_at_once = std::max(this->most_runs_at_once, at_once);
}

void RunRules::CheckOrder(const TaskId& task, const Step& step,
                          const std::string& what) {
  const auto& steps = this->jobs.at(task.job).request->steps;
  for (const std::uint32_t before : step.after) {
    for (std::uint32_t i = 0; i < steps[before]->tasks; ++i) {
      const TaskId earlier{task.job, task.occurrence, before, i};
      if (!this->HasEndedDone(earlier)) {
        this->Violate("ORDER", what + ": " + ToString(earlier) + " isn't done");
        return;
      }
    }
  }
}

void RunRules::CheckQuota(const std::string& team, const Step& step,
                          const std::string& what) {
  const auto quota = this->quotas.find(team);
  if (quota == this->quotas.end()) {
    return;
  }
  std::int64_t used = 0;
  for (const LifeState& life : this->lives) {
    for (const auto& [key, run] : life.running) {
      if (this->jobs.at(key.first.job).request->team == team) {
        used += this->StepOf(key.first)->need->millicores;
      }
    }
  }
  // With the one task more that is allowed, the sum before the start counts.
  if (static_cast<double>(used) >
      static_cast<double>(quota->second) * (1 + kQuotaOverage)) {
    this->Violate("QUOTA", what + ": " + std::to_string(used) + " of " +
                               std::to_string(quota->second) +
                               " millicores taken, " +
                               std::to_string(step.need->millicores) + " more");
  }
}

void RunRules::CheckRequested(const StartSeen& start, const KnownJob& job,
                              const std::string& what) {
  const TaskId& task = start.key.first;
  if (start.specification != job.request->specification ||
      task.index >= job.request->steps[task.step]->tasks) {
    this->Violate("UNASKED", what + ": not what was submitted");
  }
  if (!start.checkpoint.empty() &&
      !this->checkpoints[task].contains(start.checkpoint)) {
    this->Violate("UNASKED", what + ": not a checkpoint of the task");
  }
  if (job.cancelled.has_value() &&
      start.ordered > *job.cancelled + kCancelTime) {
    this->Violate("UNASKED", what + ": its job's cancel was acknowledged at " +
                                 TimeText(*job.cancelled));
  }
}

void RunRules::OnCheckpoint(const RunKey& key, const std::string& checkpoint) {
  this->checkpoints[key.first].insert(checkpoint);
  const Step* step = this->StepOf(key.first);
  for (std::uint32_t i = 0; step->gang && i < step->tasks; ++i) {
    TaskId member = key.first;
    member.index = i;
    this->checkpoints[member].insert(checkpoint);
  }
}

void RunRules::OnEnd(Life life, const RunKey& key, std::uint64_t end_number,
                     RunOutcome how, TimePoint now) {
  const auto found = this->lives[life].running.find(key);
  if (found == this->lives[life].running.end()) {
    return;
  }
  const auto run = found->second;
  this->lives[life].running.erase(found);
  run->ended = ++this->events;
  run->ended_at = now;
  run->how = how;
  run->end_number = end_number;
  this->lives[life].ended.push_back(run);
}

void RunRules::OnEndsNoted(Life life, std::uint64_t last_seen, TimePoint now) {
  std::erase_if(this->lives[life].ended, [&](const auto& run) {
    if (run->end_number > last_seen) {
      return false;
    }
    run->noted = !run->never_noted;
    run->noted_at = now;
    return true;
  });
}

void RunRules::OnLeaseLapsed(Life life) {
  for (const auto& run : this->lives[life].ended) {
    run->never_noted = true;
  }
}

void RunRules::OnLifeEnded(Life life, TimePoint now) {
  LifeState& state = this->lives[life];
  state.up = false;
  for (const auto& [key, run] : state.running) {
    run->ended = ++this->events;
    run->ended_at = now;
    run->never_noted = true;
  }
  state.running.clear();
  this->OnLeaseLapsed(life);
}

Amount RunRules::Used(Life life) const {
  Amount used;
  for (const auto& [key, run] : this->lives[life].running) {
    Add(used, Charge(*this->StepOf(key.first)));
  }
  return used;
}

std::vector<std::string> RunRules::RunsOfCancelledJobs() const {
  std::vector<std::string> found;
  for (const LifeState& life : this->lives) {
    for (const auto& [key, run] : life.running) {
      if (this->jobs.at(key.first.job).cancelled.has_value()) {
        found.push_back(Describe(*run));
      }
    }
  }
  return found;
}

bool RunRules::HasEndedDone(const TaskId& task) const {
  const auto found = this->runs.find(task);
  return found != this->runs.end() &&
         std::any_of(
             found->second.begin(), found->second.end(), [](const auto& run) {
               return run->ended.has_value() && run->how == RunOutcome::kDone;
             });
}

bool RunRules::MayHaveFailed(const std::string& job) const {
  const std::uint32_t most = this->jobs.at(job).max_attempts;
  const auto begin = this->runs.lower_bound(TaskId{job, 0, 0, 0});
  for (auto row = begin; row != this->runs.end() && row->first.job == job;
       ++row) {
    const auto failed = std::count_if(
        row->second.begin(), row->second.end(),
        [](const auto& run) { return run->how == RunOutcome::kFailed; });
    if (failed >= most) {
      return true;
    }
  }
  return false;
}

void RunRules::Finish() {
  for (const auto& [task, list] : this->runs) {
    const Step* step = this->StepOf(task);
    const std::uint32_t most = this->jobs.at(task.job).max_attempts;
    for (const auto& run : list) {
      std::uint32_t failed = 0;
      for (const auto& other : list) {
        if (!other->ended.has_value() || *other->ended > run->began ||
            !other->noted || step->long_running) {
          continue;
        }
        failed += other->how == RunOutcome::kFailed ? 1 : 0;
        // The start of a copy may be on its way when its original ends.
        const bool was_on_its_way =
            step->speculative && run->ordered <= other->noted_at;
        if (other->how == RunOutcome::kDone && !was_on_its_way) {
          this->Violate("TWICE", Describe(*run) + ": after the noted end of " +
                                     Describe(*other));
        }
      }
      if (failed >= most) {
        this->Violate("BUDGET", Describe(*run) + ": after " +
                                    std::to_string(failed) +
                                    " failures that were noted");
      }
    }
  }
}

void RunRules::Violate(const std::string& rule, const std::string& what) {
  this->violations.push_back(rule + " " + what);
}

std::string RunRules::Describe(const Run& run) const {
  std::string text =
      ToString(run.key.first) + " run " + std::to_string(run.key.second) +
      " on " + this->lives[run.life].name + " from " + TimeText(run.began_at);
  if (run.ended.has_value()) {
    text += " to " + TimeText(run.ended_at) + ", end " +
            std::to_string(run.end_number) + ", outcome " +
            std::to_string(static_cast<int>(run.how));
  }
  return text;
}

}  // namespace mimosastage::jobs
