#include "tests/node/support/simulated_worker.h"

#include <algorithm>

namespace mimosastage {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

/// A longer lease is shortened to this.
constexpr milliseconds kMaxLease{6'000};
constexpr milliseconds kLongestStop{200};
/// Ends in one answer.
constexpr std::size_t kEndsPerAnswer = 500;

}  // namespace

SimulatedWorker::SimulatedWorker(Settings settings, EventQueue& events,
                                 JobRules& rules)
    : settings(std::move(settings)),
      events(events),
      rules(rules),
      random(this->settings.seed),
      born_at(events.Now()) {
  this->rules.OnWorkerBorn(this->Life(), *this->settings.record.capacity,
                           this->settings.record.availability_zone);
}

milliseconds SimulatedWorker::Clock() const {
  const auto age = std::chrono::duration<double, std::milli>(
      this->events.Now() - this->born_at);
  return duration_cast<milliseconds>(age * this->settings.clock_rate);
}

Duration SimulatedWorker::TimeOf(milliseconds clock) const {
  const std::chrono::duration<double, std::milli> age =
      std::chrono::duration<double, std::milli>(clock) /
      this->settings.clock_rate;
  return this->born_at + duration_cast<Duration>(age);
}

bool SimulatedWorker::PassesFence(std::uint64_t fence) {
  if (fence < this->highest_fence) {
    return false;
  }
  this->highest_fence = fence;
  return true;
}

void SimulatedWorker::Execute(const jobs::WorkerOrder& order,
                              Duration ordered_at, const Reply& answer) {
  jobs::WorkerReply reply;
  reply.number = order.number;
  reply.result = jobs::OrderResult::kOk;
  if (order.worker != this->settings.record.id) {
    reply.result = jobs::OrderResult::kOtherIncarnation;
    answer(reply);
    return;
  }
  reply.clock = this->Clock();
  if (!this->PassesFence(order.token)) {
    reply.result = jobs::OrderResult::kFenced;
    answer(reply);
  } else if (const auto* start = std::get_if<jobs::StartOrder>(&order.body)) {
    this->Start(*start, ordered_at, reply);
    answer(reply);
  } else if (const auto* stop = std::get_if<jobs::StopOrder>(&order.body)) {
    this->Stop(*stop);
    answer(reply);
  } else if (const auto* hold = std::get_if<jobs::HoldOrder>(&order.body)) {
    this->Hold(order, *hold, std::move(reply), answer);
  } else {
    answer(reply);
  }
}

void SimulatedWorker::Start(const jobs::StartOrder& start, Duration ordered_at,
                            jobs::WorkerReply& reply) {
  const RunKey key{start.task, start.run};
  if (this->running.contains(key)) {
    this->ExtendLease(start.deadline);
    return;
  }
  if (const auto refused = this->highest_refused.find(start.task);
      refused != this->highest_refused.end() && start.run <= refused->second) {
    this->ExtendLease(start.deadline);
    reply.result = jobs::OrderResult::kOldRun;
    return;
  }
  if (this->Clock() >= start.deadline) {
    reply.result = jobs::OrderResult::kLate;
    return;
  }
  this->ExtendLease(start.deadline);
  this->running.emplace(key, false);
  this->rules.OnStart(this->Life(), start.task, start.run, ordered_at,
                      this->events.Now());
  if (start.specification == kLasting) {
    this->lasting.insert(start.task.job);
    return;
  }
  // A few runs fail by their own fault.
  const auto outcome = this->random() % 64 == 0 ? jobs::RunOutcome::kFailed
                                                : jobs::RunOutcome::kDone;
  const milliseconds work{20 + this->random() %
                                   (this->random() % 4 == 0 ? 6'000 : 900)};
  this->events.After(work, [this, key, outcome, present = this->present] {
    if (*present && this->running.contains(key)) {
      this->EndRun(key, outcome);
    }
  });
}

void SimulatedWorker::Stop(const jobs::StopOrder& stop) {
  auto& refused = this->highest_refused[stop.task];
  refused = std::max(refused, stop.run);
  const RunKey key{stop.task, stop.run};
  const auto found = this->running.find(key);
  if (found == this->running.end() || std::exchange(found->second, true)) {
    return;
  }
  const milliseconds wait{this->random() %
                          static_cast<std::uint64_t>(kLongestStop.count())};
  this->events.After(wait, [this, key, present = this->present] {
    if (*present && this->running.contains(key)) {
      this->EndRun(key, jobs::RunOutcome::kStopped);
    }
  });
}

void SimulatedWorker::Hold(const jobs::WorkerOrder&,
                           const jobs::HoldOrder& hold, jobs::WorkerReply reply,
                           const Reply& answer) {
  if (hold.deadline.has_value()) {
    this->ExtendLease(*hold.deadline);
  }
  while (!this->ended.empty() &&
         this->ended.front().number <= hold.last_durable_end) {
    const std::uint64_t number = this->ended.front().number;
    this->ended.erase(this->ended.begin());
    this->rules.OnEndForgotten(this->Life(), number, this->events.Now());
  }
  WaitingHold waits{std::move(reply), answer};
  if (hold.wait == milliseconds(0) || !this->ended.empty()) {
    this->AnswerHold(std::move(waits));
    return;
  }
  const std::uint64_t number = this->next_waiting++;
  this->waiting.emplace(number, std::move(waits));
  this->events.After(hold.wait, [this, number, present = this->present] {
    if (!*present) {
      return;
    }
    if (auto found = this->waiting.extract(number); !found.empty()) {
      this->AnswerHold(std::move(found.mapped()));
    }
  });
}

void SimulatedWorker::AnswerHold(WaitingHold hold) {
  hold.reply.clock = this->Clock();
  hold.reply.born_ms = this->settings.record.born_ms;
  for (const auto& [key, stopping] : this->running) {
    const bool lasts = this->lasting.contains(key.first.job);
    hold.reply.running.push_back(
        jobs::RunningTask{key.first, key.second, "", lasts ? 100U : 50U, 0});
  }
  for (const jobs::EndedRun& end : this->ended) {
    if (hold.reply.ended.size() < kEndsPerAnswer) {
      hold.reply.ended.push_back(end);
    }
  }
  hold.answer(std::move(hold.reply));
}

void SimulatedWorker::ExtendLease(milliseconds deadline) {
  deadline = std::min(deadline, this->Clock() + kMaxLease);
  if (deadline <= this->lease.value_or(this->Clock())) {
    return;
  }
  this->lease = deadline;
  this->events.At(this->TimeOf(deadline) + milliseconds(1),
                  [this, present = this->present] {
                    if (*present) {
                      this->CheckLease();
                    }
                  });
}

void SimulatedWorker::CheckLease() {
  if (!this->lease.has_value() || this->Clock() < *this->lease) {
    return;
  }
  this->lease.reset();
  this->rules.OnLeaseLapsed(this->Life(), this->events.Now());
  while (!this->running.empty()) {
    this->EndRun(this->running.begin()->first, jobs::RunOutcome::kLeaseExpired);
  }
}

void SimulatedWorker::EndRun(const RunKey& key, jobs::RunOutcome outcome) {
  this->running.erase(key);
  auto& refused = this->highest_refused[key.first];
  refused = std::max(refused, key.second);
  this->ended.push_back(
      jobs::EndedRun{++this->last_end, key.first, key.second, outcome, ""});
  this->rules.OnEnd(this->Life(), this->ended.back(), this->events.Now());
  for (auto& [number, hold] : std::exchange(this->waiting, {})) {
    this->AnswerHold(std::move(hold));
  }
}

void SimulatedWorker::Die() {
  this->alive = false;
  *this->present = false;
  this->rules.OnWorkerDied(this->Life());
}

}  // namespace mimosastage
