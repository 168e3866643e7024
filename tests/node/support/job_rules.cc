#include "tests/node/support/job_rules.h"

#include <algorithm>
#include <iterator>

namespace mimosastage {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// How long after a cancel or a completed job was shown a leader may still
/// order starts.
constexpr Duration kStartsCease = seconds(1);
/// How long after its acceptance a job that hasn't begun may be missing from
/// its queue's waiting jobs.
constexpr Duration kLongestCountDelay = seconds(5);
/// How long after the acknowledgement of an evacuation a task may still start
/// in the zone.
constexpr Duration kLongestEvacuation = seconds(5);

std::string Text(const JobRules::WorkerLife& worker) {
  return worker.first + " born " + std::to_string(worker.second);
}

std::string Text(Duration at) {
  return std::to_string(std::chrono::duration_cast<milliseconds>(at).count()) +
         " ms";
}

}  // namespace

void JobRules::Fail(const std::string& what, Duration now) {
  if (this->violation.empty()) {
    this->violation = "at " + Text(now) + ": " + what;
  }
}

const jobs::Step* JobRules::StepOf(const jobs::TaskId& task) const {
  const auto job = this->jobs.find(task.job);
  if (job == this->jobs.end() ||
      task.step >= job->second.request.steps.size() ||
      task.index >= job->second.request.steps[task.step]->tasks) {
    return nullptr;
  }
  return job->second.request.steps[task.step].get();
}

bool JobRules::IsDone(const jobs::TaskId& task) const {
  const auto found = this->tasks.find(task);
  return found != this->tasks.end() && !found->second.done.empty();
}

void JobRules::OnWorkerBorn(const WorkerLife& worker,
                            const jobs::Amount& capacity,
                            const std::string& zone) {
  this->workers[worker] =
      WorkerRecord{capacity.millicores, capacity.memory_mb, 0, 0, zone};
}

void JobRules::OnWorkerDied(const WorkerLife& worker) {
  for (auto& [task, history] : this->tasks) {
    if (std::erase_if(history.running, [&](const auto& row) {
          return row.second == worker;
        }) > 0) {
      ++this->jobs.at(task.job).own_deaths;
    }
  }
  for (auto& [id, job] : this->jobs) {
    ++job.deaths;
  }
  this->workers.erase(worker);
}

void JobRules::OnStart(const WorkerLife& worker, const jobs::TaskId& task,
                       std::uint32_t run, Duration ordered_at, Duration now) {
  ++this->starts;
  const std::string what = "start of " + ToString(task) + " run " +
                           std::to_string(run) + " on " + Text(worker) +
                           ", ordered at " + Text(ordered_at);
  const jobs::Step* step = this->StepOf(task);
  if (step == nullptr) {
    this->Fail("UNASKED: " + what, now);
    return;
  }
  SubmittedJob& job = this->jobs.at(task.job);
  job.begun = true;
  if (!job.possibly_stored) {
    this->Fail("REFUSED: " + what, now);
  }
  WorkerRecord& record = this->workers.at(worker);
  record.used_millicores += step->need->millicores;
  record.used_memory_mb += step->need->memory_mb;
  if (record.used_millicores > record.millicores ||
      record.used_memory_mb > record.memory_mb) {
    this->Fail("LIMIT: " + what + ", uses " +
                   std::to_string(record.used_millicores) + " of " +
                   std::to_string(record.millicores) + " millicores, " +
                   std::to_string(record.used_memory_mb) + " of " +
                   std::to_string(record.memory_mb) + " MiB",
               now);
  }
  if (const auto zone = this->zones.find(record.zone);
      zone != this->zones.end() && zone->second.evacuated &&
      zone->second.acknowledged &&
      now > zone->second.acknowledged_at + kLongestEvacuation) {
    this->Fail("EVACUATED: " + what + " in " + record.zone +
                   ", whose evacuation was acknowledged at " +
                   Text(zone->second.acknowledged_at),
               now);
  }
  TaskHistory& history = this->tasks[task];
  if (!history.running.empty()) {
    const auto& [number, where] = *history.running.begin();
    this->Fail("TWICE: " + what + " while run " + std::to_string(number) +
                   " is on " + Text(where),
               now);
  }
  for (const Done& done : history.done) {
    if (done.forgotten) {
      this->Fail("TWICE: " + what + " after run " + std::to_string(done.run) +
                     " ended done on " + Text(done.worker) + " at " +
                     Text(done.at) + ", which was taken note of before",
                 now);
    }
  }
  for (const std::uint32_t before : step->after) {
    for (std::uint32_t i = 0; i < job.request.steps[before]->tasks; ++i) {
      if (!this->IsDone(jobs::TaskId{task.job, task.occurrence, before, i})) {
        this->Fail("ORDER: " + what + " before step " + std::to_string(before),
                   now);
      }
    }
  }
  if (job.shown_completed_at.has_value() &&
      ordered_at > *job.shown_completed_at + kStartsCease) {
    this->Fail("TWICE: " + what + " after the job was shown as completed", now);
  }
  if (job.cancelled_at.has_value() &&
      ordered_at > *job.cancelled_at + kStartsCease) {
    this->Fail("UNASKED: " + what + " after the job was cancelled", now);
  }
  history.running[run] = worker;
  history.starts.emplace_back(now, run);
}

void JobRules::OnEnd(const WorkerLife& worker, const jobs::EndedRun& ended,
                     Duration now) {
  TaskHistory& history = this->tasks[ended.task];
  if (const auto found = history.running.find(ended.run);
      found != history.running.end() && found->second == worker) {
    history.running.erase(found);
  }
  if (const jobs::Step* step = this->StepOf(ended.task); step != nullptr) {
    WorkerRecord& record = this->workers.at(worker);
    record.used_millicores -= step->need->millicores;
    record.used_memory_mb -= step->need->memory_mb;
  }
  if (ended.outcome == jobs::RunOutcome::kDone) {
    history.done.push_back(Done{worker, ended.number, ended.run, now});
  }
}

void JobRules::OnLeaseLapsed(const WorkerLife& worker, Duration) {
  for (auto& [task, history] : this->tasks) {
    for (Done& done : history.done) {
      done.lapsed |= done.worker == worker && !done.forgotten;
    }
  }
}

void JobRules::OnEndForgotten(const WorkerLife& worker, std::uint64_t number,
                              Duration now) {
  for (auto& [task, history] : this->tasks) {
    for (Done& done : history.done) {
      if (done.worker == worker && done.number == number && !done.lapsed &&
          !done.forgotten) {
        done.forgotten = true;
        this->CheckDone(task, done, now);
      }
    }
  }
}

void JobRules::CheckDone(const jobs::TaskId& task, const Done& done,
                         Duration now) {
  for (const auto& [at, run] : this->tasks.at(task).starts) {
    if (at > done.at) {
      this->Fail("TWICE: " + ToString(task) + " run " + std::to_string(run) +
                     " began at " + Text(at) + ", after run " +
                     std::to_string(done.run) + " ended done on " +
                     Text(done.worker) + " at " + Text(done.at) +
                     ", which is taken note of now",
                 now);
    }
  }
}

void JobRules::OnOrder(std::uint64_t fence, std::uint64_t number,
                       Duration now) {
  if (!this->order_numbers.insert(number).second) {
    this->Fail("ONE: order number " + std::to_string(number) +
                   " with the fencing token " + std::to_string(fence) +
                   " was sent twice",
               now);
  }
}

JobRules::SubmittedJob& JobRules::AddJob(const jobs::JobRequest& request) {
  SubmittedJob& job = this->jobs[request.id];
  job.request = request;
  return job;
}

void JobRules::OnAccepted(const std::string& job, Duration now) {
  SubmittedJob& record = this->jobs.at(job);
  if (!std::exchange(record.accepted, true)) {
    record.accepted_at = now;
  }
}

void JobRules::OnJobState(const std::string& id, const jobs::Answer& answer,
                          bool accepted_before, Duration now) {
  SubmittedJob& job = this->jobs.at(id);
  const auto outcome = static_cast<jobs::CallOutcome>(answer.outcome);
  if (outcome == jobs::CallOutcome::kGone && accepted_before) {
    this->Fail("LOST: the accepted job " + id + " is gone", now);
  }
  if (outcome != jobs::CallOutcome::kOk) {
    return;
  }
  const auto phase = static_cast<jobs::JobPhase>(answer.phase);
  if (!job.possibly_stored) {
    this->Fail("MIXED: the refused job " + id + " is shown", now);
  }
  // A job is given up whose tasks seem to crash their workers. After a change
  // of the leader, a start that was logged counts as one that may have been
  // carried out; see docs/platform.md, section 9.
  const bool failed_wrongly =
      phase == jobs::JobPhase::kFailed && job.own_deaths < 2 && job.deaths < 3;
  job.shown_failed |= phase == jobs::JobPhase::kFailed;
  if (failed_wrongly ||
      (phase == jobs::JobPhase::kCancelled && !job.cancel_sent)) {
    this->Fail("LOST: job " + id + " is shown as failed or cancelled", now);
  }
  if (phase != jobs::JobPhase::kCompleted) {
    return;
  }
  for (std::uint32_t s = 0; s < job.request.steps.size(); ++s) {
    for (std::uint32_t i = 0; i < job.request.steps[s]->tasks; ++i) {
      if (const jobs::TaskId task{id, 0, s, i}; !this->IsDone(task)) {
        this->Fail("MIXED: job " + id + " is shown as completed, and " +
                       ToString(task) + " hasn't ended done",
                   now);
      }
    }
  }
  if (!job.shown_completed_at.has_value()) {
    job.shown_completed_at = now;
  }
}

std::vector<std::string> JobRules::WaitingJobs(Duration now) const {
  std::vector<std::string> waiting;
  for (const auto& [id, job] : this->jobs) {
    // Jobs under which workers died may have been given up; see OnJobState.
    const bool may_have_failed = job.own_deaths >= 2 || job.deaths >= 3;
    if (IsOpen(job) && !job.begun && !may_have_failed &&
        now - job.accepted_at > kLongestCountDelay) {
      waiting.push_back(id);
    }
  }
  return waiting;
}

void JobRules::OnQueueLength(std::uint64_t waiting,
                             const std::vector<std::string>& before,
                             Duration now) {
  const std::vector<std::string> after = this->WaitingJobs(now);
  std::vector<std::string> both;
  std::set_intersection(before.begin(), before.end(), after.begin(),
                        after.end(), std::back_inserter(both));
  if (2 * waiting < both.size()) {
    this->Fail("MIXED: " + std::to_string(waiting) + " jobs are waiting, and " +
                   std::to_string(both.size()) + " haven't begun, of which " +
                   both.front() + " is the first",
               now);
  }
}

bool JobRules::IsOpen(const SubmittedJob& job) {
  return job.accepted && !job.lasting && !job.cancel_sent &&
         !job.shown_failed && !job.shown_completed_at.has_value();
}

void JobRules::OnUpkeep(std::uint64_t wave, const std::string& instance,
                        Duration duration, Duration now) {
  ++this->upkeeps;
  WaveRecord& record = this->waves.at(wave);
  std::erase_if(record.down,
                [&](const auto& row) { return row.second <= now; });
  if (record.down.size() >= record.most_at_once) {
    this->Fail("LIMIT: upkeep of " + instance + " while " +
                   std::to_string(record.down.size()) + " instances of wave " +
                   std::to_string(wave) + " are down for theirs",
               now);
  }
  record.down[instance] = now + duration;
}

void JobRules::OnZoneChangeSent(const std::string& zone, bool evacuated) {
  ZoneChange& change = this->zones[zone];
  ++change.changes;
  change.acknowledged = false;
  change.evacuated = evacuated;
}

void JobRules::OnZoneChangeAcknowledged(const std::string& zone, Duration now) {
  ZoneChange& change = this->zones.at(zone);
  change.acknowledged = true;
  change.acknowledged_at = now;
  this->evacuations += change.evacuated ? 1 : 0;
}

void JobRules::OnEvacuationsRead(
    const std::vector<std::string>& evacuated,
    const std::map<std::string, ZoneChange>& before, Duration now) {
  for (const auto& [zone, change] : before) {
    const bool listed =
        std::find(evacuated.begin(), evacuated.end(), zone) != evacuated.end();
    if (change.acknowledged && change.changes == this->zones.at(zone).changes &&
        listed != change.evacuated) {
      this->Fail("LOST: " + zone + " is read as " +
                     (listed ? "evacuated" : "not evacuated") +
                     ", the opposite was acknowledged at " +
                     Text(change.acknowledged_at),
                 now);
    }
  }
}

void JobRules::OnConfigurationRead(std::uint64_t version, std::uint64_t least,
                                   Duration now) {
  if (version < least) {
    this->Fail("CONFIG: version " + std::to_string(version) +
                   " is read back, " + std::to_string(least) +
                   " was acknowledged before",
               now);
  }
}

}  // namespace mimosastage
