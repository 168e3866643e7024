#include <algorithm>
#include <set>
#include <utility>

#include "mimosastage/jobs/dispatcher.h"
#include "mimosastage/jobs/value_bounds.h"

namespace mimosastage::jobs {
namespace {

using std::chrono::milliseconds;

/// Runs that one log line names; a worker can hold hundreds.
constexpr std::size_t kRunsPerLine = 12;
/// Fewer workers can crash at about the same time by chance, above all in a
/// burst of tasks that crash their workers.
constexpr std::size_t kFewestLostTogether = 3;
constexpr milliseconds kSurvivorCheckInterval{50};
/// The workers of a rack or zone are lost within this time.
constexpr milliseconds kLossDuration{150};
/// Longer than it takes to learn that a silent worker has crashed: its runs are
/// kept for 12 s if their starts may be on the way.
constexpr std::chrono::seconds kSilenceRetention{20};

/// The tasks under which a crash of the instance is recorded.
std::set<TaskId> TasksCrashedOn(const std::string& instance,
                                const CrashLedger& crashes) {
  std::set<TaskId> tasks;
  for (const auto& crash : crashes.Records()) {
    if (instance.empty() || crash->instance != instance) {
      continue;
    }
    for (const auto& run : crash->runs) {
      tasks.insert(TaskId{run->job, run->occurrence, run->step, run->index});
    }
  }
  return tasks;
}

}  // namespace

std::optional<milliseconds> Dispatcher::AgeOf(const Session& session,
                                              const Run& run) {
  if (!run.running_since.has_value()) {
    return std::nullopt;
  }
  const TimePoint until =
      session.unanswered_orders > 0 ? session.alive_until : session.last_answer;
  return std::chrono::floor<milliseconds>(
      std::max(Duration::zero(), until - *run.running_since));
}

bool Dispatcher::EndWasPlanned(const std::string& id,
                               const Session& session) const {
  if (session.draining || session.leaving) {
    return true;
  }
  const auto worker = this->state.Workers().find(id);
  if (worker == this->state.Workers().end()) {
    return false;
  }
  // A move or an upkeep ends the worker. Its answer may be lost, or an earlier
  // leader may have ordered it.
  const auto ordered = this->state.OrderedAt().find(worker->second.machine);
  return ordered != this->state.OrderedAt().end() &&
         ordered->second >= session.born_ms &&
         this->hooks.wall_time() - BoundedTime(ordered->second) <
             this->config.instance_lease + this->config.clock_tolerance;
}

void Dispatcher::CheckIncarnation(Session& session, const OpenOrder& order,
                                  milliseconds clock) const {
  if (!order.run.has_value() || order.stage != RunStage::kStarting ||
      !session.lease.IsClockOfAnother(clock, order.sent)) {
    return;
  }
  const auto run = session.runs.find(*order.run);
  if (run == session.runs.end() || run->second.stage != RunStage::kStarting ||
      run->second.attempts != 1) {
    return;
  }
  // Answers to starts name no `born`.
  this->hooks.report("start_reached_other_incarnation",
                     ToString(order.run->first), *session.id);
  run->second.answered_by_later = true;
}

void Dispatcher::OnWorkerCrashed(const std::string& id, const Session& session,
                                 const char* reason, CrashKind kind,
                                 TimePoint now) {
  std::string detail = std::string(reason) + "; it held " +
                       std::to_string(session.runs.size()) + " runs:";
  std::size_t named = 0;
  Command command;
  command.crash = std::make_unique<WorkerCrash>();
  WorkerCrash& crash = *command.crash;
  crash.worker = id;
  crash.born_ms = session.born_ms;
  crash.confirmed = kind != CrashKind::kSilent;
  if (const auto worker = this->state.Workers().find(id);
      worker != this->state.Workers().end()) {
    crash.instance = worker->second.machine;
    crash.address = worker->second.address;
    crash.correlated = this->LostWithOthers(worker->second, session, now);
  }
  // A second end of the same instance may have its cause there.
  const std::set<TaskId> seen_here =
      TasksCrashedOn(crash.instance, this->state.Crashes());
  for (const auto& [key, run] : session.runs) {
    if (!run.start_sent || run.answered_by_later) {
      continue;
    }
    if (!run.listed && this->state.Crashes().HasRun(key.first, key.second)) {
      // It was on an earlier incarnation, and isn't known to be on this one.
      continue;
    }
    const auto age = AgeOf(session, run);
    const bool old = age.has_value() && *age >= CrashLedger::kYoungRun;
    if (old && (run.unlisted || crash.correlated)) {
      // Only the log tells that it was there, or the end has a cause outside
      // the worker. Either is a weak sign, and it didn't start just before.
      continue;
    }
    auto row = std::make_unique<CrashedRun>();
    row->job = key.first.job;
    row->occurrence = key.first.occurrence;
    row->step = key.first.step;
    row->index = key.first.index;
    row->run = key.second;
    row->age_ms = age.value_or(milliseconds(0)).count();
    row->uncertain = run.unlisted || seen_here.contains(key.first) ||
                     (!age.has_value() && !run.connection_broke) ||
                     (kind == CrashKind::kReplacedUnderItsId &&
                      run.MayReachNextIncarnation());
    crash.runs.push_back(std::move(row));
    if (named == kRunsPerLine) {
      continue;
    }
    ++named;
    detail += " " + ToString(key.first) + " run " + std::to_string(key.second) +
              (age.has_value() ? " age " + std::to_string(age->count()) + " ms"
                               : " unconfirmed") +
              " crashes " +
              std::to_string(this->state.Crashes().CrashesUnder(key.first));
  }
  if (crash.correlated) {
    detail += "; lost with its rack, zone or half of the fleet";
  }
  this->hooks.report("worker_crashed", id, detail);
  if (!crash.runs.empty()) {
    this->hooks.propose(std::move(command), {});
  }
}

bool Dispatcher::LostWithOthers(const Worker& worker, const Session& session,
                                TimePoint now) const {
  // Breaking connections tell the time of a crash; otherwise it lies between
  // the last answer and a timeout.
  Silence own{session.last_answer, now, worker.id, "", ""};
  bool time_is_known = session.unanswered_orders == 0;
  for (const Silence& silence : this->silences) {
    if (silence.worker == worker.id) {
      own = silence;
      time_is_known = true;
    }
  }
  if (!time_is_known) {
    return false;
  }
  std::set<std::string> silent;
  std::set<std::string> silent_in_rack;
  std::set<std::string> silent_in_zone;
  const std::string rack = worker.labels.size() > 1 ? worker.labels[1] : "";
  for (const Silence& other : this->silences) {
    if (other.alive_until > own.noticed + kLossDuration ||
        own.alive_until > other.noticed + kLossDuration) {
      continue;
    }
    silent.insert(other.worker);
    if (other.rack == rack) {
      silent_in_rack.insert(other.worker);
    }
    if (other.availability_zone == worker.availability_zone) {
      silent_in_zone.insert(other.worker);
    }
  }
  std::size_t others = 0;
  std::size_t others_in_rack = 0;
  std::size_t others_in_zone = 0;
  for (const auto& [id, known] : this->state.Workers()) {
    // A worker that was born since may have replaced one that was lost as well.
    if (silent.contains(id) || id == worker.id ||
        this->sessions.at(id).known_since > own.noticed) {
      continue;
    }
    ++others;
    others_in_rack +=
        known.labels.size() > 1 && known.labels[1] == rack ? 1 : 0;
    others_in_zone +=
        known.availability_zone == worker.availability_zone ? 1 : 0;
  }
  const auto most_lost = [](std::size_t lost, std::size_t left) {
    return (lost >= kFewestLostTogether && left * 3 <= lost) ||
           (lost >= 2 && left == 0);
  };
  return (!rack.empty() && most_lost(silent_in_rack.size(), others_in_rack)) ||
         (!worker.availability_zone.empty() &&
          most_lost(silent_in_zone.size(), others_in_zone)) ||
         (silent.size() >= kFewestLostTogether && silent.size() >= others);
}

void Dispatcher::ForgetOldSilences(TimePoint now) {
  while (!this->silences.empty() &&
         now - this->silences.front().alive_until > kSilenceRetention) {
    this->silences.pop_front();
  }
}

void Dispatcher::Settle(const std::string& worker, std::int64_t born_ms,
                        bool crashed) {
  this->hooks.report("crash_settled", worker,
                     crashed ? "a later incarnation was seen"
                             : "the worker has answered again");
  Command command;
  command.finding = std::make_unique<CrashFinding>();
  command.finding->worker = worker;
  command.finding->born_ms = born_ms;
  command.finding->crashed = crashed;
  this->hooks.propose(std::move(command), {});
}

void Dispatcher::ConfirmCrashes(const Worker& later) {
  std::vector<std::pair<std::string, std::int64_t>> confirmed;
  for (const WorkerCrash* crash :
       this->state.Crashes().UnsettledCrashesOf(later)) {
    confirmed.emplace_back(crash->worker, crash->born_ms);
  }
  for (const auto& [worker, born_ms] : confirmed) {
    this->Settle(worker, born_ms, true);
  }
}

void Dispatcher::ClearSurvivors(TimePoint now) {
  const CrashLedger& crashes = this->state.Crashes();
  if (crashes.Empty() || now < this->next_survivor_check) {
    return;
  }
  this->next_survivor_check = now + kSurvivorCheckInterval;
  for (const TaskId& task : crashes.Tasks()) {
    // An earlier command may have ended the job.
    const Job* job = this->state.FindJob(task.job);
    if (job == nullptr || job->Ended() || !job->Contains(task)) {
      continue;
    }
    std::optional<milliseconds> longest;
    for (const ActiveRun& active : job->At(task).active) {
      const auto session = this->sessions.find(active.worker);
      if (session == this->sessions.end() ||
          session->second.unanswered_orders > 0) {
        continue;
      }
      if (const auto run = session->second.runs.find({task, active.number});
          run != session->second.runs.end()) {
        longest = std::max(longest, AgeOf(session->second, run->second));
      }
    }
    if (!longest.has_value() || *longest < crashes.AgeToClear(task)) {
      continue;
    }
    Command command;
    command.survived = std::make_unique<RunSurvived>();
    command.survived->job = task.job;
    command.survived->occurrence = task.occurrence;
    command.survived->step = task.step;
    command.survived->index = task.index;
    command.survived->age_ms = longest->count();
    this->hooks.propose(std::move(command), {});
  }
}

void Dispatcher::StopGivenUpJobs(TimePoint now) {
  const std::uint64_t given_up = this->state.GivenUpJobs();
  if (std::exchange(this->stopped_given_up_jobs, given_up) == given_up) {
    return;
  }
  this->StopEndedJobs(now);
  this->hooks.report("jobs_given_up", std::to_string(given_up),
                     "jobs in total with tasks that crash their workers");
  this->placement_needed = true;
}

}  // namespace mimosastage::jobs
