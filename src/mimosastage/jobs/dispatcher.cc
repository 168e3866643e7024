#include "mimosastage/jobs/dispatcher.h"

#include <algorithm>
#include <memory>

#include "mimosastage/jobs/value_bounds.h"

namespace mimosastage::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Maximum number of run ends in one answer; a list of this length may be
/// incomplete.
constexpr std::size_t kEndsPerAnswer = 500;

/// A lease lasts 4.5 s and is renewed about every second.
constexpr milliseconds kLateRenewal{3'000};
/// An answer that is on its way for longer shortens the next lease noticeably.
constexpr milliseconds kLateAnswer{500};

/// Faults of workers last some seconds, so the health window is short.
WorkerHealth::Config HealthConfig() {
  WorkerHealth::Config config;
  config.window = seconds(15);
  config.first_probe = seconds(2);
  config.longest_probe = seconds(8);
  return config;
}

bool Shrinks(const Amount& from, const Amount& to) {
  return to.millicores < from.millicores || to.memory_mb < from.memory_mb ||
         to.accelerators < from.accelerators;
}

/// "MILLICORES millicores, MEMORY MB, ACCELERATORS accelerators".
std::string Describe(const Amount& amount) {
  return std::to_string(amount.millicores) + " millicores, " +
         std::to_string(amount.memory_mb) + " MB, " +
         std::to_string(amount.accelerators) + " accelerators";
}

bool SameRecord(const Worker& a, const Worker& b) {
  const Amount capacity = CapacityOf(a);
  const Amount other = CapacityOf(b);
  return a.born_ms == b.born_ms && a.pool == b.pool && a.address == b.address &&
         a.machine == b.machine && a.draining == b.draining &&
         a.availability_zone == b.availability_zone && a.labels == b.labels &&
         !Shrinks(capacity, other) && !Shrinks(other, capacity);
}

}  // namespace

Dispatcher::Dispatcher(Config config, Hooks hooks, const FleetState& state,
                       std::string self, std::uint64_t fence, TimePoint now)
    : config(config),
      hooks(std::move(hooks)),
      state(state),
      self(std::move(self)),
      fence(fence),
      term_start(now),
      // The fence makes order numbers unique, so that answers to orders of an
      // earlier term of this daemon match no open order.
      next_number((fence << 32U) + 1),
      health(HealthConfig(),
             [this](const PoolName& pool) {
               return static_cast<std::size_t>(std::count_if(
                   this->state.Workers().begin(), this->state.Workers().end(),
                   [&](const auto& row) {
                     return row.second.pool == pool.str();
                   }));
             }),
      speed(this->config.speed),
      stopped_given_up_jobs(state.GivenUpJobs()),
      waiting_steps(state, this->MakeExpectedDuration()),
      start_copies(this->config.lease.execution_delay),
      start_windows(this->config.window_per_carrier
                        ? this->config.carrier_window
                        : this->config.start_window),
      balancer(this->config.balancer) {
  for (const auto& [id, worker] : state.Workers()) {
    this->AddSession(worker, now);
  }
  this->AdoptLateStarts(now);
  // Runs whose worker was removed before their end was recorded.
  std::vector<RunKey> orphans;
  for (const auto& [id, job] : state.Jobs()) {
    for (std::uint32_t k = 0; !job.tasks.empty() && k < job.Occurrences();
         ++k) {
      for (std::uint32_t s = 0; s < job.request->steps.size(); ++s) {
        for (std::uint32_t i = 0; i < job.request->steps[s]->tasks; ++i) {
          const TaskId task{id, k, s, i};
          for (const ActiveRun& active : job.At(task).active) {
            if (!this->AdoptRun(task, active, now)) {
              orphans.emplace_back(task, active.number);
            }
          }
        }
      }
    }
  }
  for (const RunKey& key : orphans) {
    this->hooks.propose(MakeRunEnd(key, RunOutcome::kLost, ""), {});
  }
}

void Dispatcher::AdoptLateStarts(TimePoint now) {
  const milliseconds wall = this->hooks.wall_time();
  for (const RunStart& start : this->state.LateStarts()) {
    // The clocks of two leaders may differ.
    const milliseconds age =
        std::max(milliseconds(0), wall - BoundedTime(start.at_ms) -
                                      this->config.clock_tolerance);
    if (age < this->config.lease.execution_delay) {
      this->start_copies.AddForeign(
          TaskId{start.job, start.occurrence, start.step, start.index},
          start.run, now + this->config.lease.execution_delay - age);
    }
  }
}

bool Dispatcher::AdoptRun(const TaskId& task, const ActiveRun& active,
                          TimePoint now) {
  const auto found = this->sessions.find(active.worker);
  if (found == this->sessions.end() ||
      found->second.born_ms != active.born_ms) {
    return false;
  }
  // It isn't known whether the earlier leader's start order reached the worker.
  // The run counts as started until an answer doesn't list it.
  Run run = this->MakeRun(task);
  run.stage = RunStage::kRunning;
  run.confirmed = now;
  // The clocks of two leaders may differ.
  const milliseconds age =
      active.started_ms == 0
          ? milliseconds(0)
          : std::max(milliseconds(0), this->hooks.wall_time() -
                                          BoundedTime(active.started_ms) -
                                          this->config.clock_tolerance);
  run.running_since = now - age;
  run.last_start = now - age;
  run.start_sent = true;
  run.unlisted = true;
  this->AddToSums(found->second, run);
  found->second.runs.emplace(RunKey{task, active.number}, std::move(run));
  return true;
}

Dispatcher::Session& Dispatcher::AddSession(const Worker& worker,
                                            TimePoint now) {
  Session session{.lease = WorkerLease(this->config.lease, now),
                  .token = WorkerToken(this->fence, this->first_token_step)};
  session.address = worker.address;
  session.born_ms = worker.born_ms;
  session.draining = worker.draining;
  session.evacuated = this->IsEvacuated(worker.availability_zone);
  session.sequence = worker.sequence;
  session.known_since = now;
  session.last_announced = now;
  session.last_answer = now;
  session.since_renewal.renewed_at = now;
  if (this->MayBeTakenDown(worker.machine)) {
    session.reserved = now;
  }
  this->indexed_workers_version = 0;
  const auto row =
      this->sessions.insert_or_assign(worker.id, std::move(session)).first;
  row->second.id = &row->first;
  this->ScheduleHold(row->second, now);
  return row->second;
}

void Dispatcher::Announce(const Worker& worker, std::uint64_t sequence,
                          TimePoint now, std::function<void()> acknowledge) {
  if (this->state.FindPool(worker.pool) == nullptr || !IsPlausible(worker)) {
    acknowledge();
    return;
  }
  std::vector<std::string> replaced;
  for (const Worker* known : this->WorkersLike(worker)) {
    if (known->id == worker.id && known->born_ms == worker.born_ms) {
      continue;
    }
    if (IsPlausibleStart(known->born_ms) && known->born_ms >= worker.born_ms) {
      // A delayed announcement; a later incarnation has taken the worker's
      // place.
      acknowledge();
      return;
    }
    replaced.push_back(known->id);
  }
  std::vector<RunKey> uncertain;
  for (const std::string& id : replaced) {
    this->RemoveWorker(id, "replaced by a later incarnation", now,
                       id == worker.id ? &uncertain : nullptr);
  }
  this->ConfirmCrashes(worker);
  const auto known = this->state.Workers().find(worker.id);
  if (known != this->state.Workers().end()) {
    Session& session = this->sessions.at(worker.id);
    const bool late = sequence <= session.sequence && session.sequence != 0;
    session.sequence = std::max(session.sequence, sequence);
    session.last_announced = now;
    if (late || SameRecord(known->second, worker)) {
      acknowledge();
      return;
    }
    Worker next = worker;
    // An incarnation that has begun to drain never accepts tasks again.
    next.draining = worker.draining || known->second.draining;
    // A later leader must know which reports are late.
    next.sequence = session.sequence;
    session.draining = next.draining;
    session.address = next.address;
    this->SetEvacuated(session, next, now);
    session.capacity_shrunk =
        session.capacity_shrunk ||
        Shrinks(CapacityOf(known->second), CapacityOf(next));
    // Starts that aren't sent yet may have to be withdrawn.
    this->due_sessions.Add(&session, now);
    this->placement_needed = true;
    this->hooks.report("worker_changed", worker.id,
                       next.draining ? "draining" : "changed");
    Command command;
    command.worker = std::make_unique<Worker>(std::move(next));
    this->hooks.propose(
        std::move(command),
        [acknowledge = std::move(acknowledge)](TimePoint) { acknowledge(); });
    return;
  }
  Session& session = this->AddSession(worker, now);
  session.sequence = sequence;
  this->hooks.report("worker_joined", worker.id, worker.pool);
  Command command;
  command.worker = std::make_unique<Worker>(worker);
  command.worker->sequence = sequence;
  this->hooks.propose(
      std::move(command),
      [acknowledge = std::move(acknowledge)](TimePoint) { acknowledge(); });
  this->StopOnThisIncarnation(worker.id, session, uncertain);
}

void Dispatcher::StopOnThisIncarnation(const std::string& id, Session& session,
                                       const std::vector<RunKey>& runs) {
  for (const RunKey& key : runs) {
    this->hooks.report("run_may_be_on_next_incarnation", ToString(key.first),
                       id);
    session.lease.AssumeLongest();
    Run run = this->MakeRun(key.first);
    run.stage = RunStage::kStopping;
    run.start_sent = true;
    run.unlisted = true;
    this->AddToSums(session, run);
    session.runs.emplace(key, std::move(run));
    // In this order, the task has an active run all the while.
    this->hooks.propose(this->MakeRunStart(key, id, session.born_ms), {});
    this->hooks.propose(MakeRunEnd(key, RunOutcome::kLost, ""), {});
  }
}

void Dispatcher::OnWorkerLeaving(const std::string& worker, TimePoint now) {
  if (const auto found = this->sessions.find(worker);
      found != this->sessions.end()) {
    // The message may be a delayed one of an earlier incarnation, so the worker
    // itself is asked before its runs count as ended.
    found->second.leaving = true;
    this->ScheduleHold(found->second, now);
  }
}

void Dispatcher::RemoveWorker(const std::string& id, const char* reason,
                              TimePoint now, std::vector<RunKey>* uncertain) {
  const auto found = this->sessions.find(id);
  if (found == this->sessions.end()) {
    return;
  }
  Session& session = found->second;
  this->hooks.report("worker_gone", id,
                     reason + UnansweredAcknowledgement(session));
  if (!session.runs.empty() && !this->EndWasPlanned(id, session)) {
    this->OnWorkerCrashed(id, session, reason,
                          uncertain == nullptr ? CrashKind::kConfirmed
                                               : CrashKind::kReplacedUnderItsId,
                          now);
  }
  while (!session.runs.empty()) {
    const auto& [key, run] = *session.runs.begin();
    if (uncertain != nullptr && run.MayReachNextIncarnation()) {
      uncertain->push_back(key);
      this->LeaveStartWindow(session.runs.begin()->second);
      this->SubtractFromSums(session, run);
      session.runs.erase(session.runs.begin());
    } else {
      this->EndRun(id, session, RunKey(key), RunOutcome::kLost, "", now);
    }
  }
  Command command;
  command.worker_gone = std::make_unique<WorkerGone>();
  command.worker_gone->id = id;
  command.worker_gone->born_ms = session.born_ms;
  this->first_token_step =
      std::max(this->first_token_step, session.token.Step() + 1);
  this->due_sessions.Remove(&session);
  this->sessions.erase(found);
  this->indexed_workers_version = 0;
  this->health.Forget(InstanceName(id));
  this->speed.Forget(id);
  this->hooks.propose(std::move(command), {});
  this->placement_needed = true;
}

bool Dispatcher::IsInService(const Session& session) {
  return session.has_answered && session.unanswered_orders == 0 &&
         session.strays == 0 && !session.draining && !session.leaving &&
         !session.reserved.has_value();
}

std::uint64_t Dispatcher::Send(const std::string& id, Session& session,
                               OpenOrder open, WorkerOrder order) {
  const std::uint64_t number = this->next_number++;
  order.number = number;
  order.worker = id;
  order.address = session.address;
  order.fence = this->fence;
  order.token = session.token.Value();
  order.send_before = open.sent + this->config.send_window;
  open.worker = id;
  open.born_ms = session.born_ms;
  open.token = order.token;
  open.timeout = order.timeout;
  this->orders.emplace(number, std::move(open));
  this->hooks.send(std::move(order));
  return number;
}

void Dispatcher::SendHold(const std::string& id, Session& session,
                          TimePoint now) {
  const bool runs_fillers =
      std::any_of(session.runs.begin(), session.runs.end(),
                  [](const auto& row) { return row.second.step->filler; });
  HoldOrder hold;
  if (session.unanswered_orders == 0) {
    // A hold to a silent worker carries no deadline. The worker might execute
    // it, so each deadline would extend the lease, which would never expire.
    hold.deadline = session.lease.HoldDeadline(now);
    if (hold.deadline.has_value()) {
      this->OnRenewed(id, session, now);
    }
  }
  if (this->MayAcknowledge(session, now)) {
    hold.last_durable_end = this->LastAcknowledgeableEnd(session, now);
    session.last_acknowledged_end = hold.last_durable_end;
    session.acknowledged_under_token = true;
  } else if (HasUnacknowledgedEnds(session)) {
    this->hooks.count_retry("acknowledgement_waits");
  }
  const bool answer_immediately =
      !session.has_answered || session.unanswered_orders > 0 || session.leaving;
  if (!answer_immediately) {
    hold.wait = runs_fillers ? this->config.hold_wait_with_fillers
                             : this->config.hold_wait;
    if (!session.isolated_job.empty()) {
      hold.wait = std::min(hold.wait, this->config.hold_wait_isolated);
    }
  }
  WorkerOrder order;
  order.timeout = hold.wait + this->config.reply_timeout;
  order.fresh_connection = session.unanswered_orders > 0;
  order.body = hold;
  session.hold_open = true;
  this->Send(id, session,
             OpenOrder{.sent = now, .last_durable_end = hold.last_durable_end},
             std::move(order));
}

void Dispatcher::OnRenewed(const std::string& id, Session& session,
                           TimePoint now) {
  const SinceRenewal since =
      std::exchange(session.since_renewal, SinceRenewal{.renewed_at = now});
  const Duration gap = now - since.renewed_at;
  if (gap < kLateRenewal || session.runs.empty()) {
    return;
  }
  const auto text = [](Duration time) {
    return std::to_string(std::chrono::floor<milliseconds>(time).count()) +
           " ms";
  };
  this->hooks.report(
      "lease_renewed_late", id,
      "after " + text(gap) + "; holds were open for " + text(since.holds_open) +
          ", ends waited " + text(since.ends_waited) + " for the log, " +
          std::to_string(since.not_started) + " holds weren't started, " +
          std::to_string(since.unanswered) + " orders were unanswered");
}

bool Dispatcher::MayAcknowledge(const Session& session, TimePoint now) const {
  if (session.unanswered_orders > 0 ||
      this->LastAcknowledgeableEnd(session, now) <= session.last_dropped_end) {
    return false;
  }
  return session.listed_ends >= this->config.max_unacknowledged_ends ||
         std::none_of(
             session.runs.begin(), session.runs.end(),
             [](const auto& row) { return row.second.IsStartUnlisted(); });
}

std::uint64_t Dispatcher::LastAcknowledgeableEnd(const Session& session,
                                                 TimePoint now) const {
  if (session.listed_ends >= this->config.max_unacknowledged_ends) {
    return session.last_durable_end;
  }
  const auto withheld =
      std::find_if(session.withheld_ends.begin(), session.withheld_ends.end(),
                   [&](const auto& row) { return row.second > now; });
  return withheld == session.withheld_ends.end()
             ? session.last_durable_end
             : std::min(session.last_durable_end, withheld->first - 1);
}

void Dispatcher::WithholdEnd(const std::string& id, Session& session,
                             const EndedRun& ended, const Step* step,
                             TimePoint now) {
  const bool may_repeat =
      step != nullptr && (step->speculative || step->long_running);
  if (may_repeat || (ended.outcome != RunOutcome::kDone &&
                     ended.outcome != RunOutcome::kFailed)) {
    return;
  }
  std::optional<TimePoint> latest;
  TaskId task = ended.task;
  const bool whole_gang = step != nullptr && step->gang;
  const std::uint32_t first = whole_gang ? 0 : task.index;
  const std::uint32_t count = whole_gang ? step->tasks : 1;
  for (task.index = first; task.index - first < count; ++task.index) {
    if (const auto until = this->start_copies.LatestExecution(task, now);
        until.has_value()) {
      latest = std::max(latest.value_or(*until), *until);
    }
  }
  if (!latest.has_value()) {
    return;
  }
  session.withheld_ends[ended.number] = *latest;
  this->hooks.report(
      "end_withheld", ToString(ended.task),
      id + " run " + std::to_string(ended.run) + " end " +
          std::to_string(ended.number) +
          ": a copy of its start may be executed for another " +
          std::to_string(
              std::chrono::floor<milliseconds>(*latest - now).count()) +
          " ms");
}

const Step* Dispatcher::FindStep(const TaskId& task) const {
  const Job* const job = this->state.FindJob(task.job);
  return job != nullptr && job->Contains(task)
             ? job->request->steps[task.step].get()
             : nullptr;
}

void Dispatcher::SettleStartCopy(const OpenOrder& order,
                                 const WorkerReply& reply) {
  if (!order.run.has_value() || order.stage != RunStage::kStarting) {
    return;
  }
  const TaskId& task = order.run->first;
  switch (reply.result) {
    case OrderResult::kOk:
      this->start_copies.OnConfirmed(task, reply.number);
      return;
    case OrderResult::kUnanswered:
      this->start_copies.OnUnanswered(task, reply.number);
      return;
    default:
      this->start_copies.OnRefused(task, reply.number);
  }
}

bool Dispatcher::IsStartOnItsWay(const RunKey& key, const Run& run,
                                 TimePoint now) const {
  if (run.step->long_running) {
    return false;
  }
  // The first condition also covers copies that an earlier leader has sent.
  return (run.start_sent && !run.listed &&
          now - run.last_start < this->config.lease.execution_delay) ||
         this->start_copies.MayBeExecuted(key.first, key.second, now);
}

void Dispatcher::OnReply(const WorkerReply& reply, TimePoint now) {
  const auto open = this->orders.find(reply.number);
  if (open == this->orders.end()) {
    return;
  }
  const OpenOrder order = std::move(open->second);
  this->orders.erase(open);
  this->SettleStartCopy(order, reply);
  const auto found = this->sessions.find(order.worker);
  if (found == this->sessions.end() || found->second.born_ms != order.born_ms) {
    return;
  }
  const std::string id = found->first;
  Session& session = found->second;
  const bool next_under_id = reply.result != OrderResult::kOtherIncarnation &&
                             reply.born_ms.has_value() &&
                             IsPlausibleStart(*reply.born_ms) &&
                             *reply.born_ms > session.born_ms;
  if (reply.result == OrderResult::kOtherIncarnation || next_under_id) {
    const std::string answered =
        reply.born_ms.has_value() ? std::to_string(*reply.born_ms) : "unknown";
    this->hooks.report("other_incarnation_answered", id,
                       "order " + std::to_string(reply.number) + ", born " +
                           answered + ", expected " +
                           std::to_string(session.born_ms));
    if (next_under_id) {
      this->OnNextIncarnationAnswered(id, session, order, reply, now);
      return;
    }
    if (order.run.has_value()) {
      if (const auto run = session.runs.find(*order.run);
          run != session.runs.end() &&
          run->second.stage == RunStage::kStarting &&
          run->second.attempts == 1) {
        // The only start order was refused, so the run can't have caused the
        // end of the worker.
        run->second.start_sent = false;
      }
    }
    this->RemoveWorker(id, "another incarnation answered", now);
    return;
  }
  if (reply.born_ms.has_value() && *reply.born_ms < session.born_ms) {
    // The lists and the clock of an earlier incarnation say nothing about this
    // one, and an acknowledgement of its ends would cover ends of this one.
    this->hooks.report("earlier_incarnation_answered", id,
                       "order " + std::to_string(reply.number) + ", born " +
                           std::to_string(*reply.born_ms) + ", expected " +
                           std::to_string(session.born_ms));
    WorkerReply unanswered;
    unanswered.number = reply.number;
    unanswered.read_at = reply.read_at;
    unanswered.started_at = reply.started_at;
    this->HandleReply(id, session, order, unanswered, now);
    return;
  }
  this->HandleReply(id, session, order, reply, now);
}

void Dispatcher::OnNextIncarnationAnswered(const std::string& id,
                                           Session& session,
                                           const OpenOrder& order,
                                           const WorkerReply& reply,
                                           TimePoint now) {
  // It may have executed starts that were meant for the one before, and its
  // capacity isn't known. Its announcement tells, or its lease ends.
  session.lease.AssumeLongest();
  // Of what was ordered so far, it must execute nothing more.
  session.token.Raise();
  session.acknowledged_under_token = false;
  const char* kind = "hold";
  if (!order.run.has_value()) {
    session.hold_open = false;
  } else if (const auto found = session.runs.find(*order.run);
             found != session.runs.end() &&
             found->second.stage == order.stage) {
    Run& run = found->second;
    kind = run.stage == RunStage::kStarting ? "start" : "stop";
    run.order_open = false;
    run.answered_by_later |=
        run.stage == RunStage::kStarting && run.attempts == 1;
    run.next_attempt = now + this->config.retry_delay;
    this->LeaveStartWindow(run);
  }
  this->CountUnanswered(id, session, kind, reply.result, order, now);
  this->ScheduleHold(session, now + this->config.retry_delay);
}

void Dispatcher::HandleReply(const std::string& id, Session& session,
                             const OpenOrder& order, const WorkerReply& reply,
                             TimePoint now) {
  this->RecordWait(session, order, reply, now);
  if (reply.clock.has_value()) {
    this->CheckIncarnation(session, order, *reply.clock);
    if (const milliseconds delay =
            session.lease.DelayOf(*reply.clock, reply.read_at);
        delay >= kLateAnswer) {
      this->hooks.report("answer_late", id,
                         std::to_string(delay.count()) + " ms");
    }
    session.lease.OnClock(*reply.clock, reply.read_at);
    session.last_answer = std::max(session.last_answer, reply.read_at);
  }
  if (order.run.has_value()) {
    this->OnRunReply(id, session, order, reply, now);
  } else {
    this->OnHold(id, session, order, reply, now);
  }
}

void Dispatcher::OnHold(const std::string& id, Session& session,
                        const OpenOrder& order, const WorkerReply& reply,
                        TimePoint now) {
  session.hold_open = false;
  session.since_renewal.holds_open += now - order.sent;
  if (reply.result == OrderResult::kNotStarted) {
    ++session.since_renewal.not_started;
    this->hooks.count_retry("hold_not_started");
    this->ScheduleHold(session, now + this->config.not_started_delay);
    return;
  }
  if (reply.result == OrderResult::kFenced &&
      order.token < session.token.Value()) {
    // A start that was sent later has overtaken it.
    this->hooks.count_retry("hold_overtaken");
    this->ScheduleHold(session, now);
    return;
  }
  if (reply.result != OrderResult::kOk) {
    this->CountUnanswered(id, session, "hold", reply.result, order, now);
    this->ScheduleHold(session, now + this->config.retry_delay);
    if (session.leaving && reply.result == OrderResult::kRefused) {
      this->RemoveWorker(
          id, "it announced its exit and no longer accepts connections", now);
    }
    return;
  }
  const bool first = !std::exchange(session.has_answered, true);
  if (session.unanswered_orders > 0) {
    this->hooks.report(
        "worker_answers_again", id,
        std::to_string(session.unanswered_orders) + " orders were unanswered");
  }
  this->ObserveEnds(id, session, reply, now);
  session.unanswered_orders = 0;
  session.crash_recorded = false;
  session.leaving = false;
  session.last_dropped_end =
      std::max(session.last_dropped_end, order.last_durable_end);
  session.withheld_ends.erase(
      session.withheld_ends.begin(),
      session.withheld_ends.upper_bound(session.last_dropped_end));
  session.listed_ends = reply.ended.size();
  session.last_list = std::max(session.last_list, reply.read_at);
  if (this->state.Crashes().FindUnsettled(id, session.born_ms) != nullptr) {
    this->Settle(id, session.born_ms, false);
  }
  // The first hold had no deadline because the worker's clock was unknown, so
  // the next one is sent immediately.
  const bool has_new_end = std::any_of(
      reply.ended.begin(), reply.ended.end(), [&](const EndedRun& ended) {
        return ended.number > session.last_durable_end;
      });
  const milliseconds interval = session.withheld_ends.empty() || has_new_end
                                    ? this->config.min_hold_interval
                                    : this->config.withheld_hold_interval;
  this->ScheduleHold(session,
                     first ? now : std::max(now, order.sent + interval));
  this->RecordEnds(id, session, reply, now);
  this->ReconcileRuns(id, session, order, reply, now);
  this->ReportOverload(id, session, reply);
  this->CheckSpeed(id, session, now);
  this->ThrottleFillers(id, session, now);
  if (first) {
    // By its token, the worker refuses what was ordered before its session.
    session.lease.EndForeignDeadlines(now);
    this->placement_needed = true;
  }
}

void Dispatcher::CountUnanswered(const std::string& id, Session& session,
                                 const char* kind, OrderResult result,
                                 const OpenOrder& order, TimePoint now) {
  const std::string reason = std::string(kind) + "_" + NameOf(result);
  const Duration since_sent = now - order.sent;
  ++session.since_renewal.unanswered;
  if (session.unanswered_orders++ == 0) {
    // A connection that breaks before the timeout was held by a live worker
    // until then.
    const bool broke =
        result == OrderResult::kUnanswered && since_sent < order.timeout;
    session.alive_until = broke ? now : session.last_answer;
    // A worker that hasn't answered in this term may have crashed long before.
    if (const auto worker = this->state.Workers().find(id);
        worker != this->state.Workers().end() && session.has_answered) {
      const auto& labels = worker->second.labels;
      this->silences.push_back(Silence{session.alive_until, now, id,
                                       labels.size() > 1 ? labels[1] : "",
                                       worker->second.availability_zone});
    }
    this->ForgetOldSilences(now);
    this->due_sessions.Add(&session, now);
    this->hooks.report(
        "worker_silent", id,
        reason + " " +
            std::to_string(
                std::chrono::floor<milliseconds>(since_sent).count()) +
            " ms after the order" + UnansweredAcknowledgement(session));
  }
  this->hooks.count_retry(reason.c_str());
}

void Dispatcher::RecordEnds(const std::string& id, Session& session,
                            const WorkerReply& reply, TimePoint now) {
  std::uint64_t last = session.last_durable_end;
  for (const EndedRun& ended : reply.ended) {
    // An acknowledged number covers all lower ones, and so would an odd one all
    // ends to come.
    if (ended.number <= kMaxEndNumber) {
      last = std::max(last, ended.number);
    }
  }
  if (last == session.last_durable_end) {
    return;
  }
  for (const EndedRun& ended : reply.ended) {
    const RunKey key{ended.task, ended.run};
    if (ended.number <= session.last_durable_end ||
        ended.number > kMaxEndNumber) {
      continue;
    }
    this->RecordBegun(ended.task, id);
    this->start_copies.OnListed(ended.task, ended.run);
    const auto run = session.runs.find(key);
    this->WithholdEnd(id, session, ended,
                      run == session.runs.end() ? this->FindStep(ended.task)
                                                : run->second.step,
                      now);
    if (run == session.runs.end()) {
      this->RecordLateEnd(id, ended, now);
      continue;
    }
    const JobName job(ended.task.job);
    const InstanceName instance(id);
    if (ended.outcome == RunOutcome::kFailed) {
      this->health.RecordTaskFailure(
          job, instance, PoolName(this->state.Workers().at(id).pool), now);
    } else if (ended.outcome == RunOutcome::kDone) {
      this->health.RecordTaskSuccess(job, instance, now);
    }
    this->EndRun(id, session, key, ended.outcome, ended.checkpoint, now);
  }
  session.ends_pending = true;
  session.ends_pending_since = now;
  const std::int64_t born_ms = session.born_ms;
  this->hooks.propose(Command(), [this, id, born_ms, last](TimePoint at) {
    if (const auto found = this->sessions.find(id);
        found != this->sessions.end() && found->second.born_ms == born_ms) {
      found->second.last_durable_end =
          std::max(found->second.last_durable_end, last);
      found->second.ends_pending = false;
      found->second.since_renewal.ends_waited +=
          at - found->second.ends_pending_since;
      this->ScheduleHold(found->second, std::max(at, found->second.next_hold));
    }
  });
}

void Dispatcher::RecordLateEnd(const std::string& id, const EndedRun& ended,
                               TimePoint now) {
  const Job* job = this->state.FindJob(ended.task.job);
  if (ended.outcome != RunOutcome::kDone || job == nullptr || job->Ended() ||
      !job->Contains(ended.task) || job->At(ended.task).done ||
      job->request->steps[ended.task.step]->long_running) {
    if (ended.outcome == RunOutcome::kDone) {
      this->hooks.report("late_end_ignored", ToString(ended.task),
                         id + " run " + std::to_string(ended.run));
    }
    return;
  }
  const auto& active = job->At(ended.task).active;
  if (const auto run = std::find_if(active.begin(), active.end(),
                                    [&](const ActiveRun& other) {
                                      return other.number == ended.run &&
                                             other.worker != id;
                                    });
      run != active.end()) {
    // The state must keep a run as long as the session of its worker does.
    this->hooks.report("end_of_other_worker_ignored", ToString(ended.task),
                       id + " lists the end of run " +
                           std::to_string(ended.run) + ", which " +
                           run->worker + " executes");
    return;
  }
  this->hooks.report("late_end_recorded", ToString(ended.task), id);
  const RunKey key{ended.task, ended.run};
  this->hooks.propose(MakeRunEnd(key, ended.outcome, ended.checkpoint), {});
  this->placement_needed = true;
  if (job->active_runs > 0) {
    this->StopObsoleteRuns(key, now);
  }
}

void Dispatcher::ReconcileRuns(const std::string& id, Session& session,
                               const OpenOrder& order, const WorkerReply& reply,
                               TimePoint now) {
  const bool had_strays = std::exchange(session.strays, 0) > 0;
  for (const RunningTask& task : reply.running) {
    const RunKey key{task.task, task.run};
    const auto found = session.runs.find(key);
    if (found == session.runs.end()) {
      const bool ending = std::any_of(
          reply.ended.begin(), reply.ended.end(), [&](const EndedRun& ended) {
            return ended.task == key.first && ended.run == key.second;
          });
      if (!ending) {
        // A start order of an earlier leader that was executed late, or a run
        // whose job no longer exists.
        ++session.strays;
        this->RecordBegun(key.first, id);
        this->hooks.report("stray_run_stopped", ToString(key.first), id);
        WorkerOrder stop;
        stop.body = StopOrder{key.first, key.second};
        this->Send(
            id, session,
            OpenOrder{.run = key, .stage = RunStage::kStopping, .sent = now},
            std::move(stop));
      }
      continue;
    }
    Run& run = found->second;
    run.unlisted = false;
    run.last_listing_order = reply.number;
    if (!std::exchange(run.listed, true)) {
      this->RecordBegun(key.first, id);
      this->start_copies.OnListed(key.first, key.second);
    }
    run.ready = !run.step->long_running || task.percent >= 100;
    run.load = task.load;
    run.percent = task.percent;
    if (this->config.preempt && run.checkpoint != task.checkpoint) {
      run.checkpoint = task.checkpoint;
      run.checkpointed_after = order.sent;
    }
    if (run.stage == RunStage::kStarting) {
      run.stage = RunStage::kRunning;
      run.confirmed = now;
      run.running_since = now;
      this->LeaveStartWindow(run);
    }
  }
  this->placement_needed |= had_strays && session.strays == 0;
  if (reply.ended.size() >= kEndsPerAnswer) {
    return;
  }
  std::vector<RunKey> missing;
  for (const auto& [key, run] : session.runs) {
    const bool must_be_listed =
        run.confirmed.has_value() && *run.confirmed <= order.sent &&
        run.stage != RunStage::kLogging && run.stage != RunStage::kStarting;
    if (must_be_listed && run.last_listing_order != reply.number) {
      missing.push_back(key);
    }
  }
  for (const RunKey& key : missing) {
    const Run& run = session.runs.at(key);
    const bool stopped = run.stage == RunStage::kStopping;
    this->hooks.report("run_missing", ToString(key.first),
                       id + " run " + std::to_string(key.second) +
                           (run.listed ? ", listed before" : ", never listed") +
                           (stopped ? ", being stopped" : "") +
                           UnansweredAcknowledgement(session));
    if (run.unlisted) {
      // This incarnation refuses a start of the earlier leader by its token,
      // but the next one doesn't.
      this->start_copies.AddForeign(
          key.first, key.second,
          run.last_start + this->config.lease.execution_delay);
      this->LogLateStart(key, id, session.born_ms, {});
    }
    this->EndRun(id, session, key,
                 stopped ? RunOutcome::kStopped : RunOutcome::kLost, "", now);
  }
}

std::string Dispatcher::UnansweredAcknowledgement(const Session& session) {
  return session.last_acknowledged_end > session.last_dropped_end
             ? "; the acknowledgement of run ends up to " +
                   std::to_string(session.last_acknowledged_end) +
                   " isn't answered"
             : "";
}

void Dispatcher::ReportOverload(const std::string& id, Session& session,
                                const WorkerReply& reply) {
  const Amount& capacity = *this->state.Workers().at(id).capacity;
  if (session.strays == 0 && !Shrinks(session.used, capacity)) {
    // What is listed is counted in `used`.
    session.overloaded = false;
    return;
  }
  Amount listed;
  std::size_t unknown = 0;
  for (const RunningTask& task : reply.running) {
    if (const auto run = session.runs.find({task.task, task.run});
        run != session.runs.end()) {
      Add(listed, Charge(*run->second.step));
    } else if (const Job* job = this->state.FindJob(task.task.job);
               job != nullptr && job->Contains(task.task)) {
      Add(listed, Charge(*job->request->steps[task.task.step]));
    } else {
      ++unknown;
    }
  }
  if (!std::exchange(session.overloaded, Shrinks(listed, capacity)) &&
      session.overloaded) {
    this->hooks.report(
        "worker_overloaded", id,
        "capacity " + Describe(capacity) + ", listed " + Describe(listed) +
            " in " + std::to_string(reply.running.size()) + " runs, " +
            std::to_string(unknown) + " of jobs that aren't known, counted " +
            Describe(session.used) + " in " +
            std::to_string(session.runs.size()));
  }
}

void Dispatcher::TickSession(const std::string& id, Session& session,
                             TimePoint now) {
  if (!session.hold_open && !session.ends_pending && now >= session.next_hold) {
    this->SendHold(id, session, now);
  }
  if (session.unanswered_orders > 0 && session.lease.Expired(now)) {
    this->EndExpiredRuns(id, session, now);
  }
  this->WithdrawStarts(id, session, now);
  for (auto& [key, run] : session.runs) {
    if (run.order_open || now < run.next_attempt) {
      continue;
    }
    if (run.stage == RunStage::kStarting) {
      if (session.unanswered_orders == 0 && session.strays == 0) {
        this->GiveStart(id, session, key, run, now);
      }
    } else if (run.stage == RunStage::kStopping && !run.confirmed.has_value()) {
      this->SendStop(id, session, key, run, now);
    }
  }
}

void Dispatcher::EndExpiredRuns(const std::string& id, Session& session,
                                TimePoint now) {
  std::vector<RunKey> expired;
  for (const auto& [key, run] : session.runs) {
    // The next incarnation under the worker's id may still execute a start that
    // is on its way.
    if (!this->IsStartOnItsWay(key, run, now)) {
      expired.push_back(key);
    }
  }
  if (expired.empty()) {
    return;
  }
  if (!std::exchange(session.crash_recorded, true) &&
      !this->EndWasPlanned(id, session)) {
    this->OnWorkerCrashed(id, session, "silent until its lease expired",
                          CrashKind::kSilent, now);
  }
  for (const RunKey& key : expired) {
    this->hooks.report("run_lease_expired", ToString(key.first), id);
    this->EndRun(id, session, key, RunOutcome::kLeaseExpired, "", now);
  }
}

void Dispatcher::OnChange(const std::string& job, TimePoint now) {
  this->placement_needed = true;
  if (const Job* found = this->state.FindJob(job);
      found != nullptr && found->Ended() && found->active_runs > 0) {
    this->StopJob(job, now);
  }
}

void Dispatcher::Tick(TimePoint now) {
  if (!std::exchange(this->stopped_ended_jobs, true)) {
    // An earlier leader may have lost leadership before it stopped the runs of
    // ended jobs.
    this->StopEndedJobs(now);
  }
  this->StopGivenUpJobs(now);
  this->start_copies.ForgetExpired(now);
  if (now >= this->due_sessions.NextDue() &&
      now - this->last_session_scan >= this->config.min_session_scan_interval) {
    this->TickSessions(now);
  }
  if (now - this->term_start >= this->config.takeover_delay) {
    this->ReadInstances(now);
    this->AdvanceWaves(now);
    this->RepeatMoves(now);
    this->BalancePools(now);
  }
  this->DrainEvacuatedZones(now);
  if (this->placement_needed && this->start_windows.IsNearlyFull()) {
    this->admission.OnStartsBlocked(now);
  }
  this->CountBacklog(now);
  const bool paused = now - this->last_placement < this->PlacementInterval() ||
                      this->start_windows.IsNearlyFull();
  if ((this->placement_needed && !paused) || now >= this->next_placement) {
    this->placement_needed = false;
    this->last_placement = now;
    this->next_placement = now + this->config.max_placement_interval;
    this->PlaceTasks(now);
  }
}

void Dispatcher::TickSessions(TimePoint now) {
  this->last_session_scan = now;
  std::vector<Session*> due = this->due_sessions.TakeDue(now);
  // The order of the orders must not depend on where sessions are stored.
  std::sort(due.begin(), due.end(),
            [](const Session* a, const Session* b) { return *a->id < *b->id; });
  std::vector<std::string> gone;
  for (Session* const session : due) {
    this->TickSession(*session->id, *session, now);
    this->due_sessions.Add(session, NextVisitOf(*session, now));
    if (session->unanswered_orders > 0 && session->runs.empty() &&
        now - session->last_announced > this->config.silent_worker_timeout) {
      gone.push_back(*session->id);
    }
  }
  for (const std::string& id : gone) {
    this->RemoveWorker(id, "silent, and its lease has expired", now);
  }
}

TimePoint Dispatcher::NextVisitOf(const Session& session, TimePoint now) {
  if (session.unanswered_orders > 0) {
    // Its lease and runs are checked at every visit until it answers.
    return now;
  }
  TimePoint due = TimePoint::max();
  if (!session.hold_open && !session.ends_pending) {
    due = session.next_hold;
  }
  for (const auto& [key, run] : session.runs) {
    if (run.order_open) {
      continue;
    }
    if (run.stage == RunStage::kStarting &&
        (session.draining || session.evacuated || session.capacity_shrunk)) {
      // Its start may have to be withdrawn.
      return now;
    }
    if (run.stage == RunStage::kStarting ||
        (run.stage == RunStage::kStopping && !run.confirmed.has_value())) {
      due = std::min(due, run.next_attempt);
    }
  }
  return due;
}

void Dispatcher::ScheduleHold(Session& session, TimePoint at) {
  session.next_hold = at;
  this->due_sessions.Add(&session, at);
}

TimePoint Dispatcher::NextDue(TimePoint now) const {
  TimePoint due = this->next_placement;
  if (this->placement_needed && !this->start_windows.IsNearlyFull()) {
    due = std::min(due, this->last_placement + this->PlacementInterval());
  }
  due = std::min(due, std::max(this->due_sessions.NextDue(),
                               this->last_session_scan +
                                   this->config.min_session_scan_interval));
  return std::max(due, now);
}

}  // namespace mimosastage::jobs
