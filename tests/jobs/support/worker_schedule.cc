#include "tests/jobs/support/worker_schedule.h"

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <string_view>

namespace mimosastage::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kStep{5};
constexpr milliseconds kLogEntryInterval{5};
/// An order may be executed up to this long after it was sent.
constexpr std::uint64_t kLatestOrderMs = 12'000;
/// Bounds of the platform: `gang_timeout_ms`, `migration_s`, `maintenance_s`,
/// `address_reuse_s` and `drain_ms`.
constexpr milliseconds kGangTimeout{3'000};
constexpr milliseconds kMigration{1'500};
constexpr milliseconds kMaintenance{2'000};
constexpr milliseconds kDrain{2'000};
constexpr seconds kFaultyTime{25};
constexpr seconds kRecoveryTime{90};
constexpr std::int64_t kQuotaMillicores = 14'000;
constexpr std::uint32_t kMaxAttempts = 3;
/// What the smallest pool completes within kRecoveryTime.
constexpr std::size_t kMostOpenJobs = 16;
const std::vector<std::string>& Pools() {
  static const std::vector<std::string> pools{"alpha", "beta"};
  return pools;
}

std::unique_ptr<Amount> MakeAmount(std::int64_t millicores,
                                   std::int64_t memory_mb) {
  auto amount = std::make_unique<Amount>();
  amount->millicores = millicores;
  amount->memory_mb = memory_mb;
  return amount;
}

WorkerReply MakeReply(std::uint64_t number, OrderResult result) {
  WorkerReply reply;
  reply.number = number;
  reply.result = result;
  return reply;
}

std::string Describe(const WorkerOrder& order) {
  std::string text = "order " + std::to_string(order.number & 0xffffU) +
                     " of token " + std::to_string(order.token) + " to " +
                     order.worker + ": ";
  if (const auto* start = std::get_if<StartOrder>(&order.body)) {
    return text + "start " + ToString(start->task) + " run " +
           std::to_string(start->run);
  }
  if (const auto* stop = std::get_if<StopOrder>(&order.body)) {
    return text + "stop " + ToString(stop->task) + " run " +
           std::to_string(stop->run);
  }
  if (const auto* hold = std::get_if<HoldOrder>(&order.body)) {
    return text + "hold, last seen " + std::to_string(hold->last_durable_end);
  }
  return text + "pace";
}

}  // namespace

WorkerSchedule::Faults WorkerSchedule::DrawFaults(std::mt19937_64& random) {
  const auto some = [&](std::uint64_t interval) {
    return random() % interval == 0;
  };
  Faults faults;
  faults.order_interval = some(4) ? 0 : (some(2) ? 10 : 100);
  faults.announcement_interval = some(2) ? 0 : 5;
  faults.leaders_change = some(2);
  faults.leaders_pause = some(3);
  faults.log_stalls = some(3);
  faults.workers_crash = some(2);
  faults.ids_return = some(3);
  faults.workers_are_cut = some(2);
  faults.workers_freeze = some(3);
  faults.workers_drain = some(3);
  faults.workers_fail_all = some(4);
  faults.jobs_are_cancelled = some(2);
  faults.platform_acts = some(3);
  return faults;
}

WorkerSchedule::WorkerSchedule(std::uint64_t seed) : random(seed) {
  this->faults = DrawFaults(this->random);
}

WorkerSchedule::WorkerSchedule(std::uint64_t seed, Faults faults)
    : random(seed), faults(faults) {}

milliseconds WorkerSchedule::Wall() const {
  return milliseconds(1'700'000'000'000) +
         std::chrono::floor<milliseconds>(this->now.time_since_epoch());
}

void WorkerSchedule::Trace(const std::string& line) const {
  if (this->verbose) {
    std::cerr << TimeText(this->now) << " " << line << "\n";
  }
}

void WorkerSchedule::Configure() {
  Command command;
  command.configuration = std::make_unique<Configuration>();
  command.configuration->version = 1;
  for (const std::string& name : Pools()) {
    auto pool = std::make_unique<Pool>();
    pool->name = name;
    command.configuration->pools.push_back(std::move(pool));
    auto queue = std::make_unique<Queue>();
    queue->name = "queue-" + name;
    queue->host = "host";
    queue->path_prefix = "/" + name + "/";
    queue->pool = name;
    queue->max_attempts = kMaxAttempts;
    queue->stretch = 2;
    queue->timeout_ms = 3'000;
    queue->target_ms = 600;
    queue->open = true;
    command.configuration->queues.push_back(std::move(queue));
  }
  auto team = std::make_unique<Team>();
  team->name = "limited";
  team->keys.emplace_back("key");
  team->upper_limit = MakeAmount(kQuotaMillicores, 0);
  command.configuration->teams.push_back(std::move(team));
  this->rules.SetQuota("limited", kQuotaMillicores);
  this->committed.Apply(command);
  const std::size_t count = 3 + this->Draw(5);
  for (std::size_t i = 0; i < count; ++i) {
    Machine& machine = this->machines.emplace_back();
    machine.name = "machine-" + std::to_string(i);
    machine.pool = Pools()[i < 2 ? i : this->Draw(2)];
    machine.rack = "rack-" + std::to_string(i % 2);
    machine.millicores = this->Draw(2) == 0 ? 8'000 : 16'000;
    machine.memory_mb = this->Draw(2) == 0 ? 32'768 : 65'536;
    machine.address = "10.0.0." + std::to_string(i) + ":80";
    this->Bear(machine, "");
  }
}

void WorkerSchedule::BeginTerm() {
  ++this->terms;
  this->term = std::make_unique<Term>();
  this->term->working.Restore(this->committed.Snapshot());
  Dispatcher::Hooks hooks;
  hooks.propose = [this](Command command,
                         std::function<void(TimePoint)> committed) {
    this->Propose(std::move(command), std::move(committed));
  };
  hooks.send = [this](WorkerOrder order) { this->SendOrder(std::move(order)); };
  hooks.send_instance_request = [this](const InstanceRequest& request) {
    this->SendInstanceRequest(request);
  };
  hooks.ask_advice = [](const AdviceRequest&) {};
  hooks.wall_time = [this] { return this->Wall(); };
  hooks.report = [this](const char* event, const std::string& id,
                        const std::string& detail) {
    this->Trace(std::string("  ") + event + " " + id + " " + detail);
    this->preemptions += std::string_view(event) == "run_preempted" ? 1 : 0;
  };
  hooks.count_retry = [](const char*) {};
  this->Trace("term " + std::to_string(this->terms) + " begins");
  Dispatcher::Config config;
  config.learn_run_times = this->faults.runs_straggle;
  config.copy_stragglers = this->faults.runs_straggle;
  config.fair_shares = this->faults.shares_and_preemption;
  config.preempt = this->faults.shares_and_preemption;
  this->term->dispatcher = std::make_unique<Dispatcher>(
      config, std::move(hooks), this->term->working, "leader", this->terms,
      this->now);
  for (auto& [id, job] : this->jobs) {
    job.next_call = this->now;
  }
}

void WorkerSchedule::EndTerm() {
  if (this->term == nullptr) {
    return;
  }
  // The next leader has a part of what this one proposed and hadn't committed.
  std::size_t kept = this->Draw(this->entries.size() + 1);
  this->Trace("term ends, " + std::to_string(kept) + " of " +
              std::to_string(this->entries.size()) + " open entries remain");
  for (; kept > 0; --kept) {
    this->committed.Apply(*DecodeBatch(this->entries.front().bytes));
    this->entries.pop_front();
  }
  this->entries.clear();
  this->term.reset();
  this->next_term =
      this->now + this->DrawTime(20, this->Draw(2) == 0 ? 500 : 4'000);
}

void WorkerSchedule::Propose(Command command,
                             std::function<void(TimePoint)> committed) {
  this->term->working.Apply(command);
  if (command.start != nullptr) {
    this->Trace("propose start " + command.start->job + "." +
                std::to_string(command.start->occurrence) + "." +
                std::to_string(command.start->step) + "." +
                std::to_string(command.start->index) + " run " +
                std::to_string(command.start->run) + " on " +
                command.start->worker);
  } else if (command.end != nullptr) {
    this->Trace("propose end " + command.end->job + "." +
                std::to_string(command.end->occurrence) + "." +
                std::to_string(command.end->step) + "." +
                std::to_string(command.end->index) + " run " +
                std::to_string(command.end->run) + " outcome " +
                std::to_string(command.end->outcome));
  }
  this->term->batch.commands.push_back(
      std::make_unique<Command>(std::move(command)));
  if (committed) {
    this->term->batch_effects.push_back(std::move(committed));
  }
}

void WorkerSchedule::FlushBatch() {
  if (this->term->batch.commands.empty() ||
      this->now - this->term->last_entry < kLogEntryInterval) {
    return;
  }
  this->term->last_entry = this->now;
  Entry entry;
  entry.commit_at =
      std::max(this->now, this->log_stalled_until) + this->DrawTime(3, 15);
  entry.bytes = EncodeBatch(std::exchange(this->term->batch, Batch()));
  entry.effects = std::exchange(this->term->batch_effects, {});
  this->entries.push_back(std::move(entry));
}

void WorkerSchedule::Commit() {
  while (!this->entries.empty() &&
         this->entries.front().commit_at <= this->now) {
    const Entry entry = std::move(this->entries.front());
    this->entries.pop_front();
    this->committed.Apply(*DecodeBatch(entry.bytes));
    for (const auto& effect : entry.effects) {
      effect(this->now);
    }
  }
}

void WorkerSchedule::AdvanceLeader() {
  if (this->term == nullptr) {
    if (this->now >= this->next_term) {
      this->BeginTerm();
    }
    return;
  }
  if (this->now < this->paused_until) {
    return;
  }
  this->Commit();
  this->CallLeader();
  this->term->dispatcher->Tick(this->now);
  this->FlushBatch();
}

WorkerSchedule::Machine* WorkerSchedule::MachineAt(const std::string& address) {
  for (Machine& machine : this->machines) {
    if (machine.address == address && machine.worker != nullptr &&
        machine.worker->up) {
      return &machine;
    }
  }
  return nullptr;
}

void WorkerSchedule::SendOrder(WorkerOrder order) {
  this->Trace("send " + Describe(order));
  const TimePoint ordered = this->now;
  const auto finished = std::make_shared<bool>(false);
  const auto finish = [this, finished, ordered,
                       current = this->terms](WorkerReply reply) {
    if (this->term == nullptr || this->terms != current || *finished) {
      return;
    }
    *finished = true;
    reply.read_at = this->now;
    if (reply.started_at == TimePoint{}) {
      reply.started_at = ordered;
    }
    this->term->dispatcher->OnReply(reply, this->now);
  };
  // A paused leader reads its answers afterwards, in any order.
  const auto answer = [this, finish](milliseconds delay,
                                     const WorkerReply& reply) {
    this->At(this->now + delay, [this, finish, reply] {
      if (this->now < this->paused_until) {
        this->At(this->paused_until + this->DrawTime(0, 20),
                 [finish, reply] { finish(reply); });
      } else {
        finish(reply);
      }
    });
  };
  const std::uint64_t number = order.number;
  if (this->OneIn(this->faults.order_interval) && this->Draw(4) == 0) {
    answer(this->DrawTime(0, 250), MakeReply(number, OrderResult::kNotStarted));
    return;
  }
  const Machine* machine = this->MachineAt(order.address);
  if (machine == nullptr) {
    answer(milliseconds(1), MakeReply(number, OrderResult::kRefused));
    return;
  }
  const bool cut = this->now < machine->cut_until;
  const RunRules::Life sent_to = machine->worker->Life();
  answer(order.timeout, MakeReply(number, OrderResult::kUnanswered));
  if (cut && this->Draw(3) == 0) {
    answer(milliseconds(400), MakeReply(number, OrderResult::kNotSent));
    return;
  }
  milliseconds way = this->DrawTime(0, 4);
  bool lose_answer = cut;
  if (cut || this->OneIn(this->faults.order_interval)) {
    switch (this->Draw(4)) {
      case 0:
        // Lost on the way there.
        return;
      case 1:
        way = this->DrawTime(5, kLatestOrderMs);
        lose_answer = lose_answer || this->Draw(2) == 0;
        break;
      case 2:
        way = this->DrawTime(5, 700);
        break;
      default:
        lose_answer = true;
    }
  }
  if (cut) {
    // What is on its way when a cut begins arrives after its end, if at all.
    way = std::max(
        way, std::chrono::ceil<milliseconds>(machine->cut_until - this->now));
    if (way > milliseconds(kLatestOrderMs)) {
      return;
    }
  }
  this->At(this->now + way, [this, order = std::move(order), sent_to, ordered,
                             lose_answer, answer] {
    this->DeliverOrder(order, sent_to, ordered,
                       [this, answer, lose_answer](const WorkerReply& reply) {
                         if (!lose_answer) {
                           answer(this->OneIn(this->faults.order_interval)
                                      ? this->DrawTime(0, 2'500)
                                      : this->DrawTime(0, 4),
                                  reply);
                         }
                       });
  });
}

void WorkerSchedule::DeliverOrder(
    const WorkerOrder& order, RunRules::Life sent_to, TimePoint ordered,
    const std::function<void(WorkerReply)>& answer) {
  Machine* machine = this->MachineAt(order.address);
  if (machine == nullptr || (machine->worker->Life() != sent_to &&
                             !this->faults.orders_outlive_workers)) {
    return;
  }
  if (this->now < machine->frozen_until) {
    this->At(machine->frozen_until + this->DrawTime(0, 5),
             [this, order, sent_to, ordered, answer] {
               this->DeliverOrder(order, sent_to, ordered, answer);
             });
    return;
  }
  ScheduleWorker& worker = *machine->worker;
  WorkerReply reply = worker.Execute(order, ordered, this->now);
  this->Trace("execute " + Describe(order) + " given at " + TimeText(ordered) +
              ": " + NameOf(reply.result));
  const auto* hold = std::get_if<HoldOrder>(&order.body);
  if (hold == nullptr || reply.result != OrderResult::kOk) {
    answer(std::move(reply));
    return;
  }
  this->holds.push_back(
      WaitingHold{static_cast<std::size_t>(machine - this->machines.data()),
                  worker.Life(), hold->last_durable_end, this->now + hold->wait,
                  std::move(reply), answer});
}

void WorkerSchedule::AnswerHolds() {
  std::erase_if(this->holds, [this](WaitingHold& hold) {
    Machine& machine = this->machines[hold.machine];
    if (machine.worker == nullptr || !machine.worker->up ||
        machine.worker->Life() != hold.life) {
      return true;
    }
    if (this->now < machine.frozen_until ||
        (this->now < hold.answer_at &&
         !machine.worker->HasEndAfter(hold.last_durable_end))) {
      return false;
    }
    machine.worker->List(hold.reply, this->now);
    if (this->now >= machine.cut_until) {
      hold.answer(hold.reply);
    }
    return true;
  });
}

void WorkerSchedule::SendInstanceRequest(const InstanceRequest& request) {
  const auto reply_at = [this, current = this->terms](
                            TimePoint at, const InstanceReply& reply) {
    this->At(at, [this, current, reply] {
      if (this->term != nullptr && this->terms == current) {
        this->term->dispatcher->OnInstanceReply(reply, this->now);
      }
    });
  };
  InstanceReply unanswered;
  unanswered.number = request.number;
  if (!this->faults.platform_acts) {
    reply_at(this->now + milliseconds(200), unanswered);
    return;
  }
  const bool odd = request.kind != InstanceRequest::Kind::kList &&
                   this->now < this->end_of_faults && this->Draw(2) == 0;
  const bool lost = odd && this->Draw(3) == 0;
  const milliseconds way =
      odd && this->Draw(4) == 0 ? this->DrawTime(5, 5'000) : milliseconds(5);
  const bool answered = !odd || this->Draw(2) == 0;
  // A call to the platform times out after 5 s.
  const milliseconds back = odd ? this->DrawTime(5, 4'500) : milliseconds(5);
  if (!lost) {
    this->At(this->now + way, [this, request, reply_at, answered, back] {
      InstanceReply reply = this->ExecuteInstanceRequest(request);
      if (answered) {
        reply_at(this->now + back, reply);
      }
    });
  }
  if (lost || !answered) {
    reply_at(this->now + this->DrawTime(100, 1'000), unanswered);
  }
}

InstanceReply WorkerSchedule::ExecuteInstanceRequest(
    const InstanceRequest& request) {
  InstanceReply reply;
  reply.number = request.number;
  reply.result = InstanceReply::Result::kOk;
  if (request.kind == InstanceRequest::Kind::kList) {
    for (const Machine& machine : this->machines) {
      const bool up = machine.worker != nullptr && machine.worker->up;
      reply.instances.push_back(
          InstanceListEntry{machine.name, machine.pool, machine.state,
                            up ? machine.worker->record.id : ""});
    }
    return reply;
  }
  const auto found = std::find_if(
      this->machines.begin(), this->machines.end(),
      [&](const Machine& machine) { return machine.name == request.instance; });
  Machine& machine = *found;
  const bool upkeep = request.kind == InstanceRequest::Kind::kUpkeep;
  if (upkeep ? machine.upkeep_done.contains(request.wave)
             : machine.pool == request.pool) {
    return reply;
  }
  if (machine.state != InstanceStatus::kUp || machine.worker == nullptr ||
      !machine.worker->up || machine.draining) {
    reply.result = InstanceReply::Result::kBusy;
    return reply;
  }
  this->Trace(std::string(upkeep ? "upkeep of " : "move of ") + machine.name);
  if (upkeep) {
    machine.upkeep_done.insert(request.wave);
  } else {
    machine.pool = request.pool;
  }
  this->EndProcess(machine, upkeep ? kMaintenance : kMigration);
  machine.state = upkeep ? InstanceStatus::kUpkeep : InstanceStatus::kMoving;
  return reply;
}

void WorkerSchedule::Bear(Machine& machine, const std::string& id) {
  ++this->lives;
  Worker record;
  record.id = id.empty() ? "w" + std::to_string(this->lives) : id;
  record.born_ms = this->Wall().count();
  record.machine = machine.name;
  record.pool = machine.pool;
  if (this->Draw(2) == 0) {
    machine.address = "10.0.1." + std::to_string(this->lives) + ":80";
  }
  record.address = machine.address;
  record.availability_zone = "zone";
  record.labels = {"kind", machine.rack};
  record.capacity = MakeAmount(machine.millicores, machine.memory_mb);
  ScheduleWorker::Behaviour behaviour;
  behaviour.guards_capacity = this->Draw(4) == 0;
  behaviour.clock_rate = this->Draw(2) == 0 ? 1.0 : 0.98;
  behaviour.clock_origin = milliseconds(
      this->Draw(2) == 0 ? this->Draw(1'000) : this->Draw(5'000'000));
  behaviour.failure_interval =
      this->faults.workers_fail_all && this->Draw(8) == 0 ? 1 : 60;
  behaviour.always_says_born = this->Draw(2) == 0;
  behaviour.straggler_interval = this->faults.runs_straggle ? 10 : 0;
  machine.worker = std::make_unique<ScheduleWorker>(
      std::move(record), behaviour, this->rules, this->random, this->now);
  machine.state = InstanceStatus::kUp;
  machine.draining = false;
  machine.exits_at.reset();
  machine.next_birth.reset();
  machine.next_announcement = this->now;
  this->Trace("worker " + machine.worker->record.id + " is born on " +
              machine.name + ", " + machine.address);
}

void WorkerSchedule::EndProcess(Machine& machine, milliseconds until_birth) {
  this->Trace("worker " + machine.worker->record.id + " ends");
  machine.worker->Exit(this->now);
  machine.next_birth = this->now + until_birth;
}

void WorkerSchedule::Announce(Machine& machine) {
  ScheduleWorker& worker = *machine.worker;
  machine.next_announcement = this->now + this->DrawTime(500, 1'500);
  worker.record.draining = machine.draining;
  const std::uint64_t sequence = ++worker.sequence;
  milliseconds way = this->DrawTime(0, 5);
  if (this->now < machine.cut_until) {
    way = std::chrono::ceil<milliseconds>(machine.cut_until - this->now) +
          this->DrawTime(0, 3'000);
    if (this->Draw(2) == 0) {
      return;
    }
  } else if (this->OneIn(this->faults.announcement_interval)) {
    way = this->DrawTime(5, 6'000);
  }
  const RunRules::Life life = worker.Life();
  const auto index = &machine - this->machines.data();
  this->At(this->now + way, [this, record = worker.record, sequence, life,
                             index] {
    if (this->term == nullptr || this->now < this->paused_until) {
      return;
    }
    const bool draining = record.draining;
    this->term->dispatcher->Announce(
        record, sequence, this->now, [this, draining, life, index] {
          Machine& sender = this->machines[static_cast<std::size_t>(index)];
          if (draining && sender.worker->Life() == life && sender.worker->up) {
            const TimePoint exit =
                this->now + kDrain + this->DrawTime(0, 4'000);
            sender.exits_at = std::min(sender.exits_at.value_or(exit), exit);
          }
        });
  });
}

void WorkerSchedule::AdvanceWorkers() {
  for (Machine& machine : this->machines) {
    if (machine.worker != nullptr && machine.worker->up) {
      machine.worker->Advance(this->now);
      if (this->now >= machine.frozen_until &&
          this->now >= machine.next_announcement) {
        this->Announce(machine);
      }
      if (machine.exits_at.has_value() && this->now >= *machine.exits_at) {
        const std::string id = machine.worker->record.id;
        this->At(
            this->now + this->DrawTime(0, this->Draw(3) == 0 ? 4'000 : 5),
            [this, id] {
              if (this->term != nullptr && this->now >= this->paused_until) {
                this->term->dispatcher->OnWorkerLeaving(id, this->now);
              }
            });
        this->EndProcess(machine, this->DrawTime(500, 3'000));
      }
    } else if (machine.next_birth.has_value() &&
               this->now >= *machine.next_birth) {
      const bool same_id = this->faults.ids_return &&
                           machine.worker != nullptr && this->Draw(2) == 0;
      const std::string id = same_id ? machine.worker->record.id : "";
      this->Bear(machine, id);
    }
  }
  this->AdvanceGangs();
  this->AnswerHolds();
}

void WorkerSchedule::AdvanceGangs() {
  std::map<std::tuple<std::string, std::uint32_t, std::uint32_t>,
           std::vector<std::pair<ScheduleWorker*, RunRules::RunKey>>>
      present;
  for (Machine& machine : this->machines) {
    if (machine.worker == nullptr || !machine.worker->up) {
      continue;
    }
    for (auto& [key, run] : machine.worker->Runs()) {
      if (run.step->gang) {
        present[{key.first.job, key.first.step, key.second}].emplace_back(
            machine.worker.get(), key);
      }
    }
  }
  std::erase_if(this->gangs,
                [&](const auto& row) { return !present.contains(row.first); });
  for (auto& [name, members] : present) {
    PresentGang& gang =
        this->gangs.try_emplace(name, PresentGang{this->now, std::nullopt})
            .first->second;
    const Step& step = *this->rules.StepOf(members.front().second.first);
    std::optional<RunOutcome> outcome;
    if (members.size() == step.tasks) {
      gang.finish =
          gang.finish.value_or(this->now + milliseconds(step.estimate_ms));
      if (this->now >= *gang.finish) {
        outcome = RunOutcome::kDone;
      }
    } else if (gang.finish.has_value()) {
      outcome = RunOutcome::kGangBroken;
    } else if (this->now - gang.first_seen > kGangTimeout) {
      outcome = RunOutcome::kGangIncomplete;
    }
    for (const auto& [worker, key] : members) {
      if (outcome.has_value()) {
        worker->EndRun(key, *outcome, this->now);
      }
    }
  }
}

std::unique_ptr<Step> WorkerSchedule::DrawStep(std::uint32_t number) {
  auto step = std::make_unique<Step>();
  step->tasks = 1 + static_cast<std::uint32_t>(this->Draw(6));
  // Every task fits on the smallest machine, and memory is short on it.
  step->need =
      MakeAmount(static_cast<std::int64_t>(300 + this->Draw(2'500)),
                 static_cast<std::int64_t>(1'000 + this->Draw(14'000)));
  step->estimate_ms = 100 + this->Draw(2'500);
  for (std::uint32_t before = 0; before < number; ++before) {
    if (this->Draw(2) == 0) {
      step->after.push_back(before);
    }
  }
  step->checkpoints = this->Draw(3) == 0;
  step->gang = this->Draw(8) == 0;
  if (step->gang) {
    // Every gang fits on one machine, because a pool may have no other.
    step->tasks = 2;
  } else {
    step->most_per_worker = this->Draw(6) == 0 ? 2 : 0;
    step->speculative = this->faults.runs_straggle && !step->checkpoints;
  }
  return step;
}

std::shared_ptr<JobRequest> WorkerSchedule::DrawJob() {
  auto job = std::make_shared<JobRequest>();
  job->id = "j" + std::to_string(this->jobs.size() + 1);
  job->queue = "queue-" + Pools()[this->Draw(Pools().size())];
  job->team = this->Draw(3) == 0 ? "limited" : "";
  job->specification = "specification of " + job->id;
  const std::uint32_t steps = 1 + static_cast<std::uint32_t>(this->Draw(3));
  for (std::uint32_t i = 0; i < steps; ++i) {
    job->steps.push_back(this->DrawStep(i));
  }
  if (this->Draw(20) == 0) {
    job->steps.resize(1);
    job->steps.front()->after.clear();
    job->steps.front()->gang = false;
    job->steps.front()->long_running = true;
    job->steps.front()->tasks = 2;
  }
  return job;
}

void WorkerSchedule::SubmitJobs() {
  if (this->now < this->next_job) {
    return;
  }
  this->next_job = this->now + this->DrawTime(50, 500);
  const std::size_t acknowledged = static_cast<std::size_t>(
      std::count_if(this->jobs.begin(), this->jobs.end(),
                    [](const auto& row) { return row.second.acknowledged; }));
  const std::size_t ended =
      this->committed.Jobs().size() - this->committed.OpenJobs().size();
  if (acknowledged >= ended + kMostOpenJobs) {
    return;
  }
  auto request = this->DrawJob();
  SubmittedJob job;
  job.next_call = this->now;
  this->rules.AddJob(request, kMaxAttempts);
  const std::string id = request->id;
  job.request = std::move(request);
  this->jobs.emplace(id, std::move(job));
}

void WorkerSchedule::CallLeader() {
  for (auto& row : this->jobs) {
    // Structured bindings can't be captured.
    const std::string& id = row.first;
    SubmittedJob& job = row.second;
    if (this->now < job.next_call) {
      continue;
    }
    job.next_call = this->now + seconds(1);
    if (!job.acknowledged) {
      Command command;
      if (this->term->working.FindJob(id) == nullptr) {
        command.job = std::make_unique<JobRequest>(*job.request);
        command.job->accepted_ms = this->Wall().count();
        const Queue& queue =
            *this->term->working.Queues().FindByName(command.job->queue);
        this->term->dispatcher->OnAccepted(*command.job, queue, this->now);
      }
      this->Propose(std::move(command),
                    [&job](TimePoint) { job.acknowledged = true; });
      this->term->dispatcher->OnChange(id, this->now);
    } else if (job.cancel_wanted && !job.cancelled) {
      Command command;
      const Job* known = this->term->working.FindJob(id);
      if (known != nullptr && !known->Ended()) {
        command.cancelled_job = id;
      }
      const bool completes =
          known == nullptr ||
          (known->Ended() && known->phase != JobPhase::kCancelled);
      this->Propose(std::move(command), [this, &job, id, completes](TimePoint) {
        job.cancelled = true;
        if (!completes) {
          this->rules.OnCancelAcknowledged(id, this->now);
        }
      });
      this->term->dispatcher->OnChange(id, this->now);
    }
  }
}

void WorkerSchedule::InjectFault() {
  if (this->now < this->next_fault) {
    return;
  }
  this->next_fault = this->now + this->DrawTime(50, 1'500);
  Machine& machine = this->machines[this->Draw(this->machines.size())];
  const bool up = machine.worker != nullptr && machine.worker->up;
  switch (this->Draw(9)) {
    case 0:
      if (this->faults.leaders_change) {
        this->EndTerm();
      }
      return;
    case 1:
      if (this->faults.leaders_pause) {
        this->paused_until = this->now + this->DrawTime(50, 1'200);
      }
      return;
    case 2:
      if (this->faults.log_stalls) {
        this->log_stalled_until = this->now + this->DrawTime(50, 1'500);
      }
      return;
    case 3:
      if (this->faults.workers_crash && up) {
        this->EndProcess(machine, this->DrawTime(300, 4'000));
      }
      return;
    case 4:
      if (this->faults.workers_are_cut && up) {
        machine.cut_until = this->now + this->DrawTime(200, 11'000);
        this->Trace("worker " + machine.worker->record.id +
                    " is cut off until " + TimeText(machine.cut_until));
      }
      return;
    case 5:
      if (this->faults.workers_freeze && up) {
        machine.frozen_until = this->now + this->DrawTime(200, 8'000);
        this->Trace("worker " + machine.worker->record.id +
                    " is frozen until " + TimeText(machine.frozen_until));
      }
      return;
    case 6:
      if (this->faults.workers_drain && up && !machine.draining) {
        machine.draining = true;
        machine.next_announcement = this->now;
        machine.exits_at = this->now + seconds(9);
      }
      return;
    case 7:
      for (auto& [id, job] : this->jobs) {
        const bool chosen =
            this->faults.jobs_are_cancelled && this->Draw(6) == 0;
        job.cancel_wanted = job.cancel_wanted || chosen;
      }
      return;
    default:
      if (this->faults.platform_acts && this->term != nullptr &&
          this->now >= this->paused_until && this->next_wave < 6) {
        Command command;
        command.wave = std::make_unique<Wave>();
        command.wave->number = this->next_wave++;
        command.wave->most_at_once = 2;
        command.wave->duration_ms = 20'000;
        for (const Machine& member : this->machines) {
          if (this->Draw(2) == 0) {
            command.wave->machines.push_back(member.name);
          }
        }
        this->Propose(std::move(command), {});
      }
  }
}

void WorkerSchedule::Heal() {
  this->faults = Faults{.platform_acts = this->faults.platform_acts,
                        .runs_straggle = this->faults.runs_straggle};
  this->paused_until = this->now;
  this->log_stalled_until = this->now;
  for (Machine& machine : this->machines) {
    machine.cut_until = std::min(machine.cut_until, this->now);
    machine.frozen_until = std::min(machine.frozen_until, this->now);
  }
  for (auto& [id, job] : this->jobs) {
    job.cancel_wanted =
        job.cancel_wanted || job.request->steps.front()->long_running;
  }
}

void WorkerSchedule::Step5Milliseconds(bool faulty) {
  const TimePoint target = this->now + kStep;
  while (!this->events.empty() && this->events.begin()->first <= target) {
    this->now = std::max(this->now, this->events.begin()->first);
    const auto event = std::move(this->events.begin()->second);
    this->events.erase(this->events.begin());
    event();
  }
  this->now = target;
  this->AdvanceWorkers();
  if (faulty) {
    this->SubmitJobs();
    this->InjectFault();
  }
  this->AdvanceLeader();
}

std::string WorkerSchedule::Unfinished() const {
  std::string open;
  for (const auto& [id, job] : this->jobs) {
    const Job* known = this->committed.FindJob(id);
    if (known == nullptr || !known->Ended() || known->active_runs > 0) {
      open += " " + id;
    } else if (known->phase == JobPhase::kFailed &&
               !this->rules.MayHaveFailed(id) &&
               this->committed.GivenUpJobs() == 0) {
      open += " " + id + " (failed without cause)";
    } else if (known->phase == JobPhase::kCancelled && !job.cancel_wanted) {
      open += " " + id + " (cancelled by nobody)";
    }
  }
  return open;
}

std::string WorkerSchedule::Run() {
  this->verbose = std::getenv("MIMOSASTAGE_SCHEDULE_TRACE") != nullptr;
  this->Configure();
  this->end_of_faults = this->now + kFaultyTime;
  while (this->now < this->end_of_faults) {
    this->Step5Milliseconds(true);
  }
  this->Heal();
  // One in ten runs that lasts six estimates longer is 1.6 times the work.
  const TimePoint deadline =
      this->now +
      (this->faults.runs_straggle ? kRecoveryTime * 8 / 5 : kRecoveryTime);
  while (this->now < deadline && !this->Unfinished().empty()) {
    this->Step5Milliseconds(false);
  }
  this->rules.Finish();
  std::string failure;
  for (const std::string& violation : this->rules.Violations()) {
    failure += "\n  " + violation;
  }
  if (const std::string open = this->Unfinished(); !open.empty()) {
    failure += "\n  jobs not ended as they should:" + open;
  }
  for (const std::string& run : this->rules.RunsOfCancelledJobs()) {
    failure += "\n  of a cancelled job: " + run;
  }
  return failure;
}

}  // namespace mimosastage::jobs
