#include <algorithm>
#include <memory>
#include <utility>

#include "mimosastage/jobs/dispatcher.h"
#include "mimosastage/jobs/value_bounds.h"

namespace mimosastage::jobs {
namespace {

/// Fillers are slowed down while a serving task on the same worker has a tail
/// latency above the upper fraction of its target, and sped up again below the
/// lower fraction. The gap avoids oscillation.
constexpr double kSlowDownAbove = 0.8;
constexpr double kSpeedUpBelow = 0.5;
constexpr std::uint32_t kSpeedUpStep = 10;
/// Not a valid percentage, so it differs from every pace that can be ordered.
constexpr std::uint32_t kPaceUnknown = 101;
/// Time until a new pace shows in the tail latencies: it takes effect after 100
/// ms, and tails are measured over the last 500 ms.
constexpr std::chrono::milliseconds kPaceSettleTime{700};

}  // namespace

Dispatcher::Run Dispatcher::MakeRun(const TaskId& task) const {
  Run run;
  run.request = this->state.FindJob(task.job)->request;
  run.step = run.request->steps[task.step].get();
  return run;
}

void Dispatcher::StartRun(const TaskId& task, std::uint32_t number,
                          const std::string& worker, bool late) {
  Session& session = this->sessions.at(worker);
  const RunKey key{task, number};
  Run run = this->MakeRun(task);
  run.late = late;
  this->AddToSums(session, run);
  if (number > 1) {
    this->hooks.report("run_repeated", ToString(task),
                       worker + " run " + std::to_string(number));
  }
  run.start_window = session.carrier;
  this->start_windows.OnOpened(session.carrier);
  this->admission.OnStart(this->last_placement);
  session.runs.emplace(key, std::move(run));
  const std::int64_t born_ms = session.born_ms;
  this->hooks.propose(
      this->MakeRunStart(key, worker, born_ms),
      [this, worker, born_ms, key](TimePoint at) {
        const auto found = this->sessions.find(worker);
        if (found == this->sessions.end() || found->second.born_ms != born_ms) {
          return;
        }
        const auto run = found->second.runs.find(key);
        if (run == found->second.runs.end()) {
          return;
        }
        const Job* job = this->state.FindJob(key.first.job);
        const bool wanted =
            run->second.stage == RunStage::kLogging && job != nullptr &&
            !job->Ended() && !found->second.draining &&
            !found->second.evacuated && found->second.strays == 0 &&
            this->IsWithinCapacity(worker, found->second, run->second);
        if (!wanted) {
          // The start was never sent, so the run can end immediately.
          this->EndRun(worker, found->second, key, RunOutcome::kLost, "", at);
          return;
        }
        run->second.stage = RunStage::kStarting;
        this->SendStart(worker, key, at);
      });
}

bool Dispatcher::IsWithinCapacity(const std::string& worker,
                                  const Session& session,
                                  const Run& run) const {
  Amount before = session.used;
  Subtract(before, Charge(*run.step));
  Amount free = CapacityOf(this->state.Workers().at(worker));
  Subtract(free, before);
  return Fits(*run.step, free);
}

void Dispatcher::WithdrawStarts(const std::string& worker, Session& session,
                                TimePoint now) {
  const bool takes_none = session.draining || session.evacuated;
  if ((!session.capacity_shrunk && !takes_none) ||
      session.unanswered_orders > 0) {
    return;
  }
  bool all_checked = true;
  std::vector<RunKey> unsent;
  for (auto& [key, run] : session.runs) {
    if (run.stage != RunStage::kStarting) {
      all_checked = all_checked && run.stage != RunStage::kLogging;
      continue;
    }
    all_checked = false;
    if (run.order_open ||
        (!takes_none && this->IsWithinCapacity(worker, session, run))) {
      continue;
    }
    if (run.attempts == 0) {
      unsent.push_back(key);
    } else {
      // An earlier copy of the order may still be executed.
      this->StopRun(worker, session, key, run,
                    session.draining
                        ? "its start isn't confirmed, and the worker drains"
                    : session.evacuated
                        ? "its start isn't confirmed, and the availability "
                          "zone is evacuated"
                        : "its start isn't confirmed, and the worker's "
                          "capacity has shrunk",
                    now);
    }
  }
  for (const RunKey& key : unsent) {
    this->EndRun(worker, session, key, RunOutcome::kLost, "", now);
  }
  session.capacity_shrunk = session.capacity_shrunk && !all_checked;
}

void Dispatcher::LogLateStart(const RunKey& key, const std::string& worker,
                              std::int64_t born_ms,
                              std::function<void(TimePoint now)> committed) {
  Command command = this->MakeRunStart(key, worker, born_ms);
  command.late_start = std::move(command.start);
  this->hooks.propose(std::move(command), std::move(committed));
}

void Dispatcher::GiveStart(const std::string& worker, Session& session,
                           const RunKey& key, Run& run, TimePoint now) {
  if (run.repetition_logged ||
      !this->start_copies.MayBeExecuted(key.first, key.second, now)) {
    this->SendStart(worker, key, now);
    return;
  }
  // No order is sent until the record is durable.
  run.order_open = true;
  const std::int64_t born_ms = session.born_ms;
  this->LogLateStart(
      key, worker, born_ms, [this, worker, born_ms, key](TimePoint at) {
        const auto found = this->sessions.find(worker);
        if (found == this->sessions.end() || found->second.born_ms != born_ms) {
          return;
        }
        const auto run = found->second.runs.find(key);
        if (run == found->second.runs.end() ||
            run->second.stage != RunStage::kStarting) {
          return;
        }
        run->second.order_open = false;
        run->second.repetition_logged = true;
        run->second.next_attempt = at;
        this->due_sessions.Add(&found->second, at);
      });
}

void Dispatcher::SendStart(const std::string& worker, const RunKey& key,
                           TimePoint now) {
  Session& session = this->sessions.at(worker);
  Run& run = session.runs.at(key);
  const auto deadline = session.lease.StartDeadline(now);
  if (!deadline.has_value()) {
    this->due_sessions.Add(&session, now);
    return;
  }
  if (!session.hold_open && !session.ends_pending &&
      this->MayAcknowledge(session, now)) {
    this->SendHold(worker, session, now);
  }
  if (std::exchange(session.acknowledged_under_token, false)) {
    // If the acknowledgement is late, the next incarnation refuses it once it
    // has executed this start.
    session.token.Raise();
  }
  const Job* job = this->state.FindJob(key.first.job);
  StartOrder start;
  start.task = key.first;
  start.run = key.second;
  start.specification = run.request->specification;
  start.checkpoint = job->At(key.first).checkpoint;
  start.deadline = *deadline;
  if (const auto advice = this->advice.find(StepName(key.first));
      advice != this->advice.end()) {
    if (const auto ticket = advice->second.approved.find(worker);
        ticket != advice->second.approved.end()) {
      start.ticket = ticket->second;
    }
  }
  WorkerOrder order;
  order.body = std::move(start);
  order.timeout = this->config.reply_timeout;
  order.fresh_connection = run.attempts > 0;
  run.start_repeated = run.start_repeated || run.attempts > 0;
  run.repetition_logged = false;
  ++run.attempts;
  run.start_sent = true;
  run.last_start = now;
  run.order_open = true;
  const std::uint64_t number = this->Send(
      worker, session,
      OpenOrder{.run = key, .stage = RunStage::kStarting, .sent = now},
      std::move(order));
  this->start_copies.OnSent(key.first, key.second, number, now);
}

void Dispatcher::StopRun(const std::string& worker, Session& session,
                         const RunKey& key, Run& run, const char* reason,
                         TimePoint now) {
  if (run.stage == RunStage::kStopping) {
    return;
  }
  this->hooks.report("run_stopped", ToString(key.first),
                     reason + this->Availability(key.first, now));
  this->LeaveStartWindow(run);
  if (run.stage == RunStage::kLogging) {
    // Once the start is durable, StartRun's callback sees this stage and ends
    // the run without sending a start order.
    run.stage = RunStage::kStopping;
    run.confirmed.reset();
    run.order_open = true;
    return;
  }
  run.stage = RunStage::kStopping;
  run.confirmed.reset();
  run.attempts = 0;
  this->SendStop(worker, session, key, run, now);
}

void Dispatcher::SendStop(const std::string& worker, Session& session,
                          const RunKey& key, Run& run, TimePoint now) {
  WorkerOrder order;
  order.body = StopOrder{key.first, key.second};
  order.timeout = this->config.reply_timeout;
  order.fresh_connection = run.attempts > 0;
  ++run.attempts;
  run.order_open = true;
  this->Send(worker, session,
             OpenOrder{.run = key, .stage = RunStage::kStopping, .sent = now},
             std::move(order));
}

void Dispatcher::OnRunReply(const std::string& id, Session& session,
                            const OpenOrder& order, const WorkerReply& reply,
                            TimePoint now) {
  const RunKey& key = *order.run;
  const auto found = session.runs.find(key);
  if (found == session.runs.end()) {
    return;
  }
  Run& run = found->second;
  if (order.stage == RunStage::kRunning) {
    if (reply.result != OrderResult::kOk) {
      // It isn't known whether the pace took effect; the next round sets it
      // again.
      run.pace = kPaceUnknown;
    }
    return;
  }
  if (run.stage != order.stage) {
    // A stop was sent before the answer to the start arrived.
    return;
  }
  run.order_open = false;
  if (reply.result == OrderResult::kNotStarted) {
    // The worker hasn't seen this copy of the order.
    --run.attempts;
    if (run.stage == RunStage::kStarting && run.attempts == 0) {
      run.start_sent = false;
    }
    run.next_attempt = now + this->config.not_started_delay;
    this->due_sessions.Add(&session, run.next_attempt);
    this->hooks.count_retry(order.stage == RunStage::kStarting
                                ? "start_not_started"
                                : "stop_not_started");
    return;
  }
  if (reply.result == OrderResult::kOk) {
    run.confirmed = now;
    if (run.stage == RunStage::kStarting) {
      run.stage = RunStage::kRunning;
      run.running_since = now;
      this->LeaveStartWindow(run);
      this->RecordBegun(key.first, id);
    } else {
      // Sends a hold now, as its answer lists the end of the run once the
      // worker has stopped it.
      this->ScheduleHold(session, now);
    }
    return;
  }
  run.next_attempt = now + this->config.retry_delay;
  this->due_sessions.Add(&session, run.next_attempt);
  if (reply.result == OrderResult::kFenced) {
    return;
  }
  if (run.stage == RunStage::kStopping) {
    this->hooks.count_retry("stop_unanswered");
    return;
  }
  switch (reply.result) {
    case OrderResult::kUnanswered:
    case OrderResult::kNotSent:
    case OrderResult::kRefused:
      this->CountUnanswered(id, session, "start", reply.result, order, now);
      run.connection_broke |= reply.result == OrderResult::kUnanswered &&
                              now - order.sent < order.timeout;
      if (run.attempts == 1 && reply.result != OrderResult::kUnanswered) {
        // The order didn't reach the worker, so it can't have crashed it.
        run.start_sent = false;
      }
      // A silent worker must not keep the window from others.
      this->LeaveStartWindow(run);
      this->ScheduleHold(session, now);
      return;
    case OrderResult::kNoTicket:
      // Requests new advice before the next start of the step.
      this->advice.erase(StepName(key.first));
      break;
    case OrderResult::kUnhealthy:
      this->health.RecordTaskFailure(
          JobName(key.first.job), InstanceName(id),
          PoolName(this->state.Workers().at(id).pool), now);
      break;
    default:
      break;
  }
  this->hooks.count_retry("start_refused");
  if (run.attempts == 1) {
    this->EndRun(id, session, key, RunOutcome::kLost, "", now);
  } else {
    // An earlier copy of the order may have been executed.
    this->StopRun(id, session, key, run,
                  "the worker refused the repeated start order, but may have "
                  "executed an earlier one",
                  now);
  }
}

void Dispatcher::RecordBegun(const TaskId& task, const std::string& worker) {
  if (const Job* job = this->state.FindJob(task.job);
      job == nullptr || job->begun || job->Ended()) {
    return;
  }
  this->hooks.report("job_begun", task.job, worker);
  Command command;
  command.begun_job = task.job;
  this->hooks.propose(std::move(command), {});
}

Command Dispatcher::MakeRunStart(const RunKey& key, const std::string& worker,
                                 std::int64_t born_ms) const {
  Command command;
  command.start = std::make_unique<RunStart>();
  command.start->job = key.first.job;
  command.start->occurrence = key.first.occurrence;
  command.start->step = key.first.step;
  command.start->index = key.first.index;
  command.start->run = key.second;
  command.start->worker = worker;
  command.start->born_ms = born_ms;
  command.start->at_ms = this->hooks.wall_time().count();
  return command;
}

Command Dispatcher::MakeRunEnd(const RunKey& key, RunOutcome outcome,
                               const std::string& checkpoint) {
  Command command;
  command.end = std::make_unique<RunEnd>();
  command.end->job = key.first.job;
  command.end->occurrence = key.first.occurrence;
  command.end->step = key.first.step;
  command.end->index = key.first.index;
  command.end->run = key.second;
  command.end->outcome = static_cast<std::uint8_t>(outcome);
  command.end->checkpoint = checkpoint;
  return command;
}

void Dispatcher::EndRun(const std::string& worker, Session& session,
                        const RunKey& key, RunOutcome outcome,
                        const std::string& checkpoint, TimePoint now) {
  const auto found = session.runs.find(key);
  this->LeaveStartWindow(found->second);
  const bool has_siblings =
      found->second.step->gang || found->second.step->speculative;
  this->SubtractFromSums(session, found->second);
  session.runs.erase(found);
  if (outcome != RunOutcome::kDone && outcome != RunOutcome::kStopped) {
    this->hooks.report("run_ended", ToString(key.first),
                       worker + " outcome " +
                           std::to_string(static_cast<int>(outcome)) +
                           this->Availability(key.first, now));
  }
  this->hooks.propose(MakeRunEnd(key, outcome, checkpoint), {});
  this->placement_needed = true;
  if (const Job* job = this->state.FindJob(key.first.job);
      job != nullptr && job->active_runs > 0 &&
      (has_siblings || job->Ended())) {
    this->StopObsoleteRuns(key, now);
  }
}

void Dispatcher::LeaveStartWindow(Run& run) {
  if (const auto carrier = std::exchange(run.start_window, std::nullopt);
      carrier.has_value()) {
    this->start_windows.OnClosed(*carrier);
  }
}

void Dispatcher::StopObsoleteRuns(const RunKey& key, TimePoint now) {
  const Job& job = *this->state.FindJob(key.first.job);
  if (job.Ended()) {
    this->StopJob(key.first.job, now);
    return;
  }
  const Step& step = *job.request->steps[key.first.step];
  std::vector<TaskId> obsolete;
  if (step.gang) {
    // The remaining members of the gang can't continue.
    for (std::uint32_t i = 0; i < step.tasks; ++i) {
      TaskId member = key.first;
      member.index = i;
      obsolete.push_back(member);
    }
  } else if (job.At(key.first).done) {
    obsolete.push_back(key.first);
  }
  for (const TaskId& task : obsolete) {
    const std::vector<ActiveRun> active = job.At(task).active;
    for (const ActiveRun& other : active) {
      if (const auto found = this->sessions.find(other.worker);
          found != this->sessions.end()) {
        if (const auto run = found->second.runs.find({task, other.number});
            run != found->second.runs.end()) {
          this->StopRun(found->first, found->second, run->first, run->second,
                        step.gang ? "a run of its gang has ended"
                                  : "another copy of the task has completed",
                        now);
        }
      }
    }
  }
}

void Dispatcher::StopEndedJobs(TimePoint now) {
  std::vector<std::string> ended;
  for (const auto& [id, job] : this->state.Jobs()) {
    if (job.Ended() && job.active_runs > 0) {
      ended.push_back(id);
    }
  }
  for (const std::string& job : ended) {
    this->StopJob(job, now);
  }
}

void Dispatcher::StopJob(const std::string& job, TimePoint now) {
  std::vector<std::pair<std::string, RunKey>> runs;
  const Job& ended = *this->state.FindJob(job);
  const std::size_t tasks_of_occurrence = ended.TasksOfOccurrence();
  for (std::size_t i = 0; i < ended.tasks.size(); ++i) {
    if (ended.tasks[i].active.empty()) {
      continue;
    }
    TaskId task{job, static_cast<std::uint32_t>(i / tasks_of_occurrence), 0,
                static_cast<std::uint32_t>(i % tasks_of_occurrence)};
    while (task.index >= ended.request->steps[task.step]->tasks) {
      task.index -= ended.request->steps[task.step++]->tasks;
    }
    for (const ActiveRun& active : ended.tasks[i].active) {
      runs.emplace_back(active.worker, RunKey{task, active.number});
    }
  }
  std::sort(runs.begin(), runs.end());
  for (const auto& [worker, key] : runs) {
    if (const auto session = this->sessions.find(worker);
        session != this->sessions.end()) {
      if (const auto run = session->second.runs.find(key);
          run != session->second.runs.end()) {
        this->StopRun(worker, session->second, key, run->second,
                      "its job has ended", now);
      }
    }
  }
}

void Dispatcher::CheckSpeed(const std::string& id, Session& session,
                            TimePoint now) {
  WorkerSpeed::Sample sample;
  const auto measurable = [&](const Run& run) {
    return run.stage == RunStage::kRunning && !run.step->long_running &&
           !run.step->filler && run.confirmed.has_value() &&
           now - *run.confirmed >= this->speed.settings().min_elapsed;
  };
  for (const auto& [key, run] : session.runs) {
    if (measurable(run)) {
      sample.Add(key.first.job, run.percent, this->ExpectedOf(key, run),
                 now - *run.confirmed);
    }
  }
  const bool was_slow = this->speed.IsSlow(id, now);
  this->speed.OnSample(id, this->state.Workers().at(id).pool, sample, now);
  if (!this->speed.IsSlow(id, now)) {
    return;
  }
  if (!was_slow) {
    this->hooks.report("worker_slow", id,
                       "its tasks progress far more slowly than others");
  }
  for (auto& [key, run] : session.runs) {
    // Only the first run is restarted, so that a task that simply takes long
    // can complete.
    if (measurable(run) && key.second == 1 &&
        run.percent < this->config.restart_below_percent) {
      this->StopRun(id, session, key, run, "its worker is slow", now);
    }
  }
}

void Dispatcher::ThrottleFillers(const std::string& id, Session& session,
                                 TimePoint now) {
  if (now < session.next_pace) {
    return;
  }
  double worst = 0;
  for (const auto& [key, run] : session.runs) {
    if (IsServing(*run.step) && run.ready) {
      worst =
          std::max(worst, static_cast<double>(run.load) /
                              static_cast<double>(run.step->tail_target_ms));
    }
  }
  for (auto& [key, run] : session.runs) {
    if (!run.step->filler || run.stage != RunStage::kRunning) {
      continue;
    }
    std::uint32_t pace = run.pace;
    if (worst > 1.0) {
      pace = 0;
    } else if (worst > kSlowDownAbove) {
      pace = pace / 2;
    } else if (worst < kSpeedUpBelow && pace < 100) {
      pace = std::min<std::uint32_t>(100, pace + kSpeedUpStep);
    } else if (pace == kPaceUnknown) {
      pace = 100;
    }
    if (pace == run.pace) {
      continue;
    }
    run.pace = pace;
    session.next_pace = now + kPaceSettleTime;
    WorkerOrder order;
    order.body = PaceOrder{key.first, key.second, pace};
    order.timeout = this->config.reply_timeout;
    this->Send(id, session,
               OpenOrder{.run = key, .stage = RunStage::kRunning, .sent = now},
               std::move(order));
  }
}

}  // namespace mimosastage::jobs
