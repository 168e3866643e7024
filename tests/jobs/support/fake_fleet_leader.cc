#include "tests/jobs/support/fake_fleet_leader.h"

#include <algorithm>
#include <utility>

namespace mimosastage::jobs {

using std::chrono::milliseconds;

Step MakeStep(std::uint32_t tasks, std::int64_t millicores) {
  Step step;
  step.tasks = tasks;
  step.need = std::make_unique<Amount>();
  step.need->millicores = millicores;
  step.need->memory_mb = 100;
  step.estimate_ms = 1'000;
  return step;
}

FakeFleetLeader::FakeFleetLeader(Dispatcher::Config config) : config(config) {}

void FakeFleetLeader::AddPool(const std::string& pool, bool standby,
                              bool advised) {
  auto row = std::make_unique<Pool>();
  row->name = pool;
  row->standby = standby;
  this->configuration.pools.push_back(std::move(row));
  auto queue = std::make_unique<Queue>();
  queue->name = "queue-" + pool;
  queue->host = "host";
  queue->path_prefix = "/" + pool + "/";
  queue->pool = pool;
  queue->max_attempts = 2;
  queue->stretch = 2;
  queue->timeout_ms = 3'000;
  queue->target_ms = 600;
  queue->open = true;
  queue->advised = advised;
  this->configuration.queues.push_back(std::move(queue));
}

void FakeFleetLeader::AddTeam(const std::string& team,
                              std::int64_t most_millicores, double weight) {
  auto row = std::make_unique<Team>();
  row->name = team;
  row->weight = weight;
  row->keys.push_back("key-" + team);
  row->upper_limit = std::make_unique<Amount>();
  row->upper_limit->millicores = most_millicores;
  this->configuration.teams.push_back(std::move(row));
}

FakeWorker& FakeFleetLeader::AddWorker(const std::string& id,
                                       const std::string& pool,
                                       std::int64_t millicores,
                                       const std::string& zone) {
  FakeWorker& worker = this->workers[id];
  worker.record.id = id;
  worker.record.born_ms =
      1'000 + static_cast<std::int64_t>(this->workers.size());
  worker.record.machine = "machine-" + id;
  worker.record.pool = pool;
  worker.record.address = id + ":80";
  worker.record.availability_zone = zone;
  worker.record.capacity = std::make_unique<Amount>();
  worker.record.capacity->millicores = millicores;
  worker.record.capacity->memory_mb = 65'536;
  worker.record.labels = {"kind", "rack-1"};
  if (this->dispatcher != nullptr) {
    this->dispatcher->Announce(worker.record, 1, this->now, [] {});
  } else {
    Command command;
    command.worker = std::make_unique<Worker>(worker.record);
    this->state.Apply(command);
  }
  return worker;
}

void FakeFleetLeader::BeginTerm() {
  if (this->configuration.version == 0) {
    this->configuration.version = 1;
    Command command;
    command.configuration =
        std::make_unique<Configuration>(this->configuration);
    this->state.Apply(command);
  }
  this->commit_callbacks.clear();
  this->orders.clear();
  Dispatcher::Hooks hooks;
  hooks.propose = [this](const Command& command,
                         std::function<void(TimePoint)> committed) {
    this->state.Apply(command);
    if (command.start != nullptr) {
      this->proposed_starts.push_back(*command.start);
    }
    if (committed) {
      this->commit_callbacks.push_back(std::move(committed));
    }
  };
  hooks.send = [this](WorkerOrder order) {
    this->orders.emplace_back(this->now, std::move(order));
  };
  hooks.send_instance_request = [this](InstanceRequest request) {
    this->instance_requests.push_back(std::move(request));
  };
  hooks.ask_advice = [this](AdviceRequest request) {
    this->advice_requests.push_back(std::move(request));
  };
  hooks.wall_time = [this] { return this->wall; };
  hooks.report = [this](const char* event, const std::string&,
                        const std::string&) { ++this->reports[event]; };
  hooks.count_retry = [](const char*) {};
  this->dispatcher =
      std::make_unique<Dispatcher>(this->config, std::move(hooks), this->state,
                                   "leader", ++this->fence, this->now);
}

void FakeFleetLeader::Submit(const std::string& id, const std::string& pool,
                             std::vector<Step> steps, const std::string& team) {
  Command command;
  command.job = std::make_unique<JobRequest>();
  command.job->id = id;
  command.job->queue = "queue-" + pool;
  command.job->team = team;
  command.job->accepted_ms = this->wall.count();
  for (Step& step : steps) {
    command.job->steps.push_back(std::make_unique<Step>(std::move(step)));
  }
  this->state.Apply(command);
  this->dispatcher->OnChange(id, this->now);
}

void FakeFleetLeader::Cancel(const std::string& id) {
  Command command;
  command.cancelled_job = id;
  this->state.Apply(command);
  this->dispatcher->OnChange(id, this->now);
}

void FakeFleetLeader::Evacuate(const std::string& zone) {
  this->ChangeEvacuation(zone, false);
}

void FakeFleetLeader::WithdrawEvacuation(const std::string& zone) {
  this->ChangeEvacuation(zone, true);
}

void FakeFleetLeader::ChangeEvacuation(const std::string& zone,
                                       bool withdrawn) {
  Command command;
  command.evacuation = std::make_unique<Evacuation>();
  command.evacuation->zone = zone;
  command.evacuation->withdrawn = withdrawn;
  this->state.Apply(command);
  this->dispatcher->OnEvacuationChange(this->now);
}

void FakeFleetLeader::EndRun(const std::string& worker, const TaskId& task,
                             RunOutcome outcome,
                             const std::string& checkpoint) {
  FakeWorker& fake = this->workers.at(worker);
  for (const auto& [key, began] : fake.running) {
    if (key.first == task) {
      fake.ended.push_back(EndedRun{++fake.last_end_number, task, key.second,
                                    outcome, checkpoint});
      fake.refused.insert(key);
      fake.running.erase(key);
      return;
    }
  }
}

void FakeFleetLeader::Crash(const std::string& worker) {
  FakeWorker& fake = this->workers.at(worker);
  for (const auto& [key, began] : fake.running) {
    ++this->crashes_under[key.first];
  }
  ++this->crashes;
  const auto crashed_runs = std::exchange(fake.running, {});
  for (const auto& [key, began] : crashed_runs) {
    const Job* job = this->state.FindJob(key.first.job);
    if (job == nullptr || !job->Contains(key.first) ||
        !job->request->steps[key.first.step]->gang) {
      continue;
    }
    for (std::uint32_t i = 0; i < job->request->steps[key.first.step]->tasks;
         ++i) {
      TaskId member = key.first;
      member.index = i;
      for (const std::string& other : this->WorkersOf(member)) {
        this->EndRun(other, member, RunOutcome::kGangBroken);
      }
    }
  }
  fake.ended.clear();
  fake.ended_without_notice = true;
  Worker next = fake.record;
  next.id = next.machine + "/" + std::to_string(this->crashes);
  next.born_ms = (this->wall + this->restart_delay).count();
  this->restarting.emplace_back(this->now + this->restart_delay,
                                std::move(next));
}

void FakeFleetLeader::ReplaceUnderItsId(const std::string& worker) {
  FakeWorker next;
  next.record = this->workers.at(worker).record;
  next.record.born_ms = this->wall.count();
  this->workers.at(worker) = std::move(next);
}

void FakeFleetLeader::Announce(const std::string& worker) {
  this->dispatcher->Announce(this->workers.at(worker).record, 1, this->now,
                             [] {});
}

void FakeFleetLeader::ExecuteHeldBack(const WorkerOrder& order, bool answered) {
  const WorkerReply reply = this->Execute(order);
  if (answered) {
    std::erase_if(this->held_back,
                  [&](const auto& row) { return row.second == order.number; });
    this->dispatcher->OnReply(reply, this->now);
  }
}

void FakeFleetLeader::CrashAndRestartWorkers() {
  const auto clock =
      std::chrono::duration_cast<milliseconds>(this->now.time_since_epoch())
          .count();
  std::vector<std::string> crashed;
  for (const auto& [id, worker] : this->workers) {
    if (std::any_of(worker.running.begin(), worker.running.end(),
                    [&](const auto& run) {
                      return this->crashing.contains(run.first.first) &&
                             run.second < clock;
                    })) {
      crashed.push_back(id);
    }
  }
  for (const std::string& id : crashed) {
    this->Crash(id);
  }
  std::erase_if(this->restarting, [&](const auto& row) {
    if (row.first > this->now) {
      return false;
    }
    this->workers[row.second.id].record = row.second;
    this->dispatcher->Announce(row.second, 1, this->now, [] {});
    return true;
  });
}

std::vector<std::string> FakeFleetLeader::WorkersOf(const TaskId& task) const {
  std::vector<std::string> found;
  for (const auto& [id, worker] : this->workers) {
    for (const auto& [key, began] : worker.running) {
      if (key.first == task) {
        found.push_back(id);
      }
    }
  }
  return found;
}

std::size_t FakeFleetLeader::RunningTasks() const {
  std::size_t count = 0;
  for (const auto& [id, worker] : this->workers) {
    count += worker.running.size();
  }
  return count;
}

WorkerReply FakeFleetLeader::Execute(const WorkerOrder& order) {
  WorkerReply reply;
  reply.number = order.number;
  reply.started_at = this->now;
  FakeWorker& worker = this->workers.at(order.worker);
  if (worker.ended_without_notice) {
    reply.result = OrderResult::kRefused;
    return reply;
  }
  if (worker.replaced) {
    reply.result = OrderResult::kOtherIncarnation;
    return reply;
  }
  if (worker.silent) {
    return reply;
  }
  const auto clock =
      std::chrono::duration_cast<milliseconds>(this->now.time_since_epoch());
  reply.clock = clock;
  reply.read_at = this->now;
  if (order.token < worker.token) {
    reply.result = OrderResult::kFenced;
    return reply;
  }
  worker.token = order.token;
  reply.result = OrderResult::kOk;
  if (const auto* start = std::get_if<StartOrder>(&order.body)) {
    this->starts.push_back(*start);
    const std::pair<TaskId, std::uint32_t> key{start->task, start->run};
    worker.deadline =
        std::max<std::int64_t>(worker.deadline, start->deadline.count());
    if (start->deadline < clock) {
      reply.result = OrderResult::kLate;
    } else if (worker.refused.contains(key)) {
      reply.result = OrderResult::kOldRun;
    } else {
      worker.running.emplace(key, clock.count());
    }
    if (this->lose_start_answers) {
      reply = WorkerReply();
      reply.number = order.number;
    }
  } else if (const auto* stop = std::get_if<StopOrder>(&order.body)) {
    const std::pair<TaskId, std::uint32_t> key{stop->task, stop->run};
    worker.refused.insert(key);
    if (worker.running.erase(key) > 0) {
      worker.ended.push_back(EndedRun{++worker.last_end_number, stop->task,
                                      stop->run, RunOutcome::kStopped,
                                      "saved"});
    }
  } else if (const auto* hold = std::get_if<HoldOrder>(&order.body)) {
    if (hold->deadline.has_value() && !this->delay_hold_answers) {
      worker.deadline = std::max(worker.deadline, hold->deadline->count());
    }
    std::erase_if(worker.ended, [&](const EndedRun& end) {
      return end.number <= hold->last_durable_end;
    });
    reply.born_ms = worker.record.born_ms;
    reply.ended = worker.ended;
    for (const auto& [key, began] : worker.running) {
      reply.running.push_back(RunningTask{key.first, key.second, "", 100, 0});
    }
  }
  return reply;
}

std::deque<WorkerOrder> FakeFleetLeader::TakeSentOrders() {
  auto waiting = std::exchange(this->orders, {});
  std::deque<WorkerOrder> sent;
  for (auto& [given, order] : waiting) {
    if (this->now - given > this->max_send_wait) {
      WorkerReply reply;
      reply.number = order.number;
      reply.result = OrderResult::kNotStarted;
      ++this->not_started_orders;
      this->dispatcher->OnReply(reply, this->now);
    } else if (sent.size() < this->orders_per_tick &&
               !(this->waits_to_be_sent && this->waits_to_be_sent(order))) {
      sent.push_back(std::move(order));
    } else {
      this->orders.emplace_back(given, std::move(order));
    }
  }
  return sent;
}

void FakeFleetLeader::Commit() {
  if (this->log_stalled) {
    return;
  }
  const auto due = std::exchange(this->commit_callbacks, {});
  for (const auto& effect : due) {
    effect(this->now);
  }
}

void FakeFleetLeader::AdvanceOneTick() {
  this->now += milliseconds(10);
  this->wall += milliseconds(10);
  const auto clock =
      std::chrono::duration_cast<milliseconds>(this->now.time_since_epoch())
          .count();
  for (auto& [id, worker] : this->workers) {
    if (worker.deadline < clock) {
      for (const auto& [key, began] : worker.running) {
        worker.ended.push_back(EndedRun{++worker.last_end_number, key.first,
                                        key.second, RunOutcome::kLeaseExpired,
                                        ""});
        worker.refused.insert(key);
      }
      worker.running.clear();
    }
  }
  this->CrashAndRestartWorkers();
  this->Commit();
  std::deque<WorkerOrder> sent = this->TakeSentOrders();
  if (this->delay_hold_answers) {
    for (WorkerOrder& order : std::exchange(sent, {})) {
      const auto* hold = std::get_if<HoldOrder>(&order.body);
      if (hold == nullptr || hold->wait.count() == 0) {
        sent.push_back(std::move(order));
        continue;
      }
      FakeWorker& worker = this->workers.at(order.worker);
      if (!worker.silent && !worker.ended_without_notice &&
          hold->deadline.has_value()) {
        worker.deadline = std::max(worker.deadline, hold->deadline->count());
      }
      this->waiting_holds.emplace_back(this->now + hold->wait,
                                       std::move(order));
    }
    std::erase_if(this->waiting_holds, [&](auto& row) {
      const FakeWorker& worker = this->workers.at(row.second.worker);
      const auto& hold = std::get<HoldOrder>(row.second.body);
      const bool has_end = !worker.silent && !worker.ended.empty() &&
                           worker.ended.back().number > hold.last_durable_end;
      if (row.first > this->now && !has_end && !worker.ended_without_notice) {
        return false;
      }
      sent.push_back(std::move(row.second));
      return true;
    });
  }
  std::erase_if(this->held_back, [&](const auto& row) {
    if (row.first > this->now) {
      return false;
    }
    WorkerReply reply;
    reply.number = row.second;
    reply.started_at = this->now;
    this->dispatcher->OnReply(reply, this->now);
    return true;
  });
  for (const WorkerOrder& order : sent) {
    if (this->hold_back && this->hold_back(order)) {
      this->held_back.emplace_back(this->now + order.timeout, order.number);
      continue;
    }
    WorkerReply reply = this->Execute(order);
    if (this->change_reply) {
      this->change_reply(order, reply);
    }
    this->dispatcher->OnReply(reply, this->now - this->leader_lag);
  }
  this->dispatcher->Tick(this->now);
}

void FakeFleetLeader::Advance(milliseconds time) {
  for (milliseconds passed{0}; passed < time; passed += milliseconds(10)) {
    this->AdvanceOneTick();
  }
}

}  // namespace mimosastage::jobs
