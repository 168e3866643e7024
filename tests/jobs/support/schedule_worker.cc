#include "tests/jobs/support/schedule_worker.h"

#include <algorithm>

#include "mimosastage/jobs/placement.h"

namespace mimosastage::jobs {
namespace {

using std::chrono::milliseconds;

/// Bounds of the protocol: `max_hold_ms`, `stop_timeout_ms`, the entries in one
/// list of ends, and the work between two checkpoints.
constexpr milliseconds kMaxHold{6'000};
constexpr std::uint64_t kStopTimeoutMs = 200;
constexpr std::size_t kEndsPerAnswer = 500;
constexpr milliseconds kCheckpointInterval{2'000};

}  // namespace

ScheduleWorker::ScheduleWorker(Worker record, Behaviour behaviour,
                               RunRules& rules, std::mt19937_64& random,
                               TimePoint now)
    : record(std::move(record)),
      behaviour(behaviour),
      rules(rules),
      random(random),
      born(now),
      life(rules.AddLife(
          this->record.id + "@" + std::to_string(this->record.born_ms),
          *this->record.capacity)) {}

milliseconds ScheduleWorker::Clock(TimePoint now) const {
  return this->behaviour.clock_origin +
         std::chrono::floor<milliseconds>(
             std::chrono::duration<double, std::milli>(now - this->born) *
             this->behaviour.clock_rate);
}

void ScheduleWorker::ExtendLease(milliseconds until, TimePoint now) {
  const milliseconds next = std::min(until, this->Clock(now) + kMaxHold);
  if (next > this->Clock(now)) {
    this->deadline = std::max(this->deadline.value_or(next), next);
  }
}

WorkerReply ScheduleWorker::Execute(const WorkerOrder& order, TimePoint ordered,
                                    TimePoint now) {
  this->Advance(now);
  WorkerReply reply;
  reply.number = order.number;
  reply.clock = this->Clock(now);
  if (order.worker != this->record.id) {
    reply.result = OrderResult::kOtherIncarnation;
    return reply;
  }
  if (this->behaviour.always_says_born) {
    reply.born_ms = this->record.born_ms;
  }
  if (order.token < this->token) {
    reply.result = OrderResult::kFenced;
    return reply;
  }
  this->token = order.token;
  reply.result = OrderResult::kOk;
  if (const auto* start = std::get_if<StartOrder>(&order.body)) {
    reply.result = this->Start(*start, ordered, now);
  } else if (const auto* stop = std::get_if<StopOrder>(&order.body)) {
    this->Stop(*stop, now);
  } else if (const auto* hold = std::get_if<HoldOrder>(&order.body)) {
    reply.born_ms = this->record.born_ms;
    if (hold->deadline.has_value()) {
      this->ExtendLease(*hold->deadline, now);
    }
    std::erase_if(this->ended, [&](const EndedRun& end) {
      return end.number <= hold->last_durable_end;
    });
    this->rules.OnEndsNoted(this->life, hold->last_durable_end, now);
  }
  return reply;
}

OrderResult ScheduleWorker::Start(const StartOrder& start, TimePoint ordered,
                                  TimePoint now) {
  const RunKey key{start.task, start.run};
  if (start.deadline < this->Clock(now)) {
    return OrderResult::kLate;
  }
  this->ExtendLease(start.deadline, now);
  if (this->runs.contains(key)) {
    return OrderResult::kOk;
  }
  if (const auto refused = this->refused_up_to.find(start.task);
      refused != this->refused_up_to.end() && start.run <= refused->second) {
    return OrderResult::kOldRun;
  }
  const Step* step = this->rules.StepOf(start.task);
  if (step == nullptr) {
    return OrderResult::kInvalid;
  }
  if (this->behaviour.guards_capacity) {
    Amount free = *this->record.capacity;
    Subtract(free, this->rules.Used(this->life));
    if (!Fits(*step, free)) {
      return OrderResult::kNoCapacity;
    }
  }
  this->rules.OnStart(
      this->life,
      RunRules::StartSeen{key, start.specification, start.checkpoint, ordered},
      now);
  Run run;
  run.step = step;
  run.began = now;
  run.checkpoint = start.checkpoint;
  run.outcome = this->random() % this->behaviour.failure_interval == 0
                    ? RunOutcome::kFailed
                    : RunOutcome::kDone;
  const auto estimate = milliseconds(step->estimate_ms);
  if (step->long_running) {
    run.outcome = RunOutcome::kFailed;
    run.finish = now + milliseconds(2'000) + this->DrawMilliseconds(30'000);
  } else if (!step->gang) {
    run.finish =
        now + estimate / 2 + this->DrawMilliseconds(step->estimate_ms + 1);
    if (this->behaviour.straggler_interval > 0 &&
        this->random() % this->behaviour.straggler_interval == 0) {
      *run.finish += 6 * estimate;
    }
  }
  this->runs.emplace(key, std::move(run));
  return OrderResult::kOk;
}

void ScheduleWorker::Stop(const StopOrder& stop, TimePoint now) {
  std::uint32_t& refused = this->refused_up_to[stop.task];
  refused = std::max(refused, stop.run);
  if (const auto found = this->runs.find({stop.task, stop.run});
      found != this->runs.end() && !found->second.stops_at.has_value()) {
    found->second.stops_at = now + this->DrawMilliseconds(kStopTimeoutMs);
  }
}

void ScheduleWorker::EndRun(const RunKey& key, RunOutcome outcome,
                            TimePoint now) {
  const auto found = this->runs.find(key);
  EndedRun end{++this->last_end, key.first, key.second, outcome, ""};
  if (found->second.step->checkpoints && outcome == RunOutcome::kStopped) {
    end.checkpoint =
        ToString(key.first) + "/" + std::to_string(key.second) + "/stop";
    this->rules.OnCheckpoint(key, end.checkpoint);
  } else {
    end.checkpoint = found->second.checkpoint;
  }
  this->runs.erase(found);
  std::uint32_t& refused = this->refused_up_to[key.first];
  refused = std::max(refused, key.second);
  this->rules.OnEnd(this->life, key, end.number, outcome, now);
  this->ended.push_back(std::move(end));
}

void ScheduleWorker::Advance(TimePoint now) {
  if (!this->up) {
    return;
  }
  if (this->deadline.has_value() && *this->deadline < this->Clock(now)) {
    this->deadline.reset();
    // Ends from before the lapse that weren't noted don't count as noted later.
    // Those of this lapse count, which matters for none of the rules.
    this->rules.OnLeaseLapsed(this->life);
    while (!this->runs.empty()) {
      const RunKey key = this->runs.begin()->first;
      this->EndRun(key, RunOutcome::kLeaseExpired, now);
    }
  }
  std::vector<std::pair<RunKey, RunOutcome>> due;
  for (auto& [key, run] : this->runs) {
    const auto intervals = static_cast<std::uint32_t>(
        (now - run.began) / Duration(kCheckpointInterval));
    if (run.step->checkpoints && intervals > run.saved) {
      run.saved = intervals;
      run.checkpoint = ToString(key.first) + "/" + std::to_string(key.second) +
                       "/" + std::to_string(intervals);
      this->rules.OnCheckpoint(key, run.checkpoint);
    }
    if (run.finish.has_value() && *run.finish <= now) {
      due.emplace_back(key, run.outcome);
    } else if (run.stops_at.has_value() && *run.stops_at <= now) {
      due.emplace_back(key, RunOutcome::kStopped);
    }
  }
  for (const auto& [key, outcome] : due) {
    this->EndRun(key, outcome, now);
  }
}

bool ScheduleWorker::HasEndAfter(std::uint64_t last_durable_end) const {
  return !this->ended.empty() && this->ended.back().number > last_durable_end;
}

void ScheduleWorker::List(WorkerReply& reply, TimePoint now) const {
  reply.clock = this->Clock(now);
  for (const auto& [key, run] : this->runs) {
    const bool ready = now - run.began > milliseconds(300);
    reply.running.push_back(RunningTask{key.first, key.second, run.checkpoint,
                                        ready ? 100U : 10U, 0});
  }
  for (const EndedRun& end : this->ended) {
    if (reply.ended.size() == kEndsPerAnswer) {
      break;
    }
    reply.ended.push_back(end);
  }
}

void ScheduleWorker::Exit(TimePoint now) {
  this->Advance(now);
  this->up = false;
  this->runs.clear();
  this->rules.OnLifeEnded(this->life, now);
}

}  // namespace mimosastage::jobs
