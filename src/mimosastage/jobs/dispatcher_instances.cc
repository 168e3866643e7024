#include <algorithm>
#include <memory>
#include <tuple>
#include <utility>

#include "mimosastage/jobs/dispatcher.h"
#include "mimosastage/jobs/value_bounds.h"

namespace mimosastage::jobs {
namespace {

constexpr std::chrono::milliseconds kBalanceInterval{100};

}  // namespace

bool Dispatcher::MayOrder(const std::string& instance, TimePoint now) const {
  if (now - this->term_start >= this->config.instance_lease) {
    return true;
  }
  const auto ordered = this->state.OrderedAt().find(instance);
  return ordered == this->state.OrderedAt().end() ||
         this->hooks.wall_time() - BoundedTime(ordered->second) >=
             this->config.instance_lease + this->config.clock_tolerance;
}

void Dispatcher::SendInstanceRequest(InstanceRequest request) {
  request.holder = this->self;
  request.fence = this->fence;
  Command command;
  command.ordered = std::make_unique<InstanceOrder>();
  command.ordered->instance = request.instance;
  command.ordered->at_ms = this->hooks.wall_time().count();
  this->hooks.propose(std::move(command),
                      [this, request = std::move(request)](TimePoint) {
                        this->hooks.send_instance_request(request);
                      });
}

void Dispatcher::ReadInstances(TimePoint now) {
  if (this->list_open || now < this->next_list) {
    return;
  }
  this->partial_instance_list.clear();
  this->RequestList("", now);
}

void Dispatcher::RequestList(const std::string& page, TimePoint now) {
  const auto instances =
      static_cast<std::int64_t>(this->listed_instances.size());
  this->next_list =
      now +
      std::max<Duration>(this->config.list_interval,
                         this->config.list_interval_per_instance * instances);
  this->list_open = true;
  InstanceRequest request;
  request.number = this->next_number++;
  request.page = page;
  this->instance_requests[request.number] = OpenInstanceRequest{};
  this->hooks.send_instance_request(std::move(request));
}

void Dispatcher::OnInstanceList(const InstanceReply& reply, TimePoint now) {
  this->list_open = false;
  if (reply.result != InstanceReply::Result::kOk || reply.list_unreadable) {
    this->hooks.count_retry("instance_list_unread");
    return;
  }
  for (const InstanceListEntry& entry : reply.instances) {
    this->partial_instance_list[entry.instance] = entry;
  }
  if (reply.next_page.empty()) {
    this->listed_instances = std::exchange(this->partial_instance_list, {});
    return;
  }
  this->RequestList(reply.next_page, now);
}

void Dispatcher::BalancePools(TimePoint now) {
  if (now < this->next_balance || this->listed_instances.empty()) {
    return;
  }
  this->next_balance = now + kBalanceInterval;
  this->waiting_steps.Refresh(this->hooks.wall_time());
  std::map<std::string, PoolDemand> demands;
  for (const auto& pool : this->state.Config().pools) {
    PoolDemand& demand = demands[pool->name];
    demand.pool = pool->name;
    demand.standby = pool->standby;
    demand.instances_for_anti_affine_tasks =
        this->waiting_steps.InstancesForAntiAffineTasks(pool->name);
    if (const auto waiting = this->waiting_sums.find(pool->name);
        waiting != this->waiting_sums.end()) {
      demand.waiting_millicores = waiting->second.millicores;
      demand.waiting_memory_mb = waiting->second.memory_mb;
      demand.late_millicores = waiting->second.late_millicores;
      demand.late_memory_mb = waiting->second.late_memory_mb;
    }
  }
  this->ListPooledInstances(demands, now);
  this->AddOutlooks(demands, now);
  std::vector<PoolDemand> list;
  list.reserve(demands.size());
  for (auto& [pool, demand] : demands) {
    list.push_back(std::move(demand));
  }
  const PoolPlan plan = this->balancer.Plan(list, this->pooled_instances, now);
  this->ReleaseWorkers(plan.releases, now);
  for (const InstanceMove& move : plan.moves) {
    if (const Worker* worker = this->AssignableWorkerOn(move.instance);
        worker != nullptr) {
      // The worker takes no new tasks while the move is requested.
      this->sessions.at(worker->id).reserved = now;
    }
    this->OrderMove(move);
  }
}

void Dispatcher::ReleaseWorkers(
    const std::map<std::string, std::size_t>& releases, TimePoint now) {
  std::set<std::string> released;
  this->IndexWorkers();
  for (const auto& [pool, count] : releases) {
    const auto workers = this->pool_workers.find(pool);
    if (workers == this->pool_workers.end()) {
      continue;
    }
    struct Candidate {
      bool is_new = false;
      /// Only known if pools are sized ahead.
      Duration time_to_vacancy{0};
      std::int64_t millicores_in_time = 0;
      const std::string* id = nullptr;
    };
    std::vector<Candidate> candidates;
    for (const auto& [worker, session] : workers->second.members) {
      const bool has_long_running = std::any_of(
          session->runs.begin(), session->runs.end(),
          [](const auto& row) { return row.second.step->long_running; });
      if (this->AcceptsTasks(*session) && !has_long_running) {
        candidates.push_back(
            Candidate{!session->released,
                      this->config.lead_demand ? TimeToVacancy(*session, now)
                                               : Duration(0),
                      session->used.millicores - session->late_used.millicores,
                      &worker->id});
      }
    }
    std::sort(candidates.begin(), candidates.end(),
              [](const Candidate& a, const Candidate& b) {
                return std::tie(a.is_new, a.time_to_vacancy,
                                a.millicores_in_time,
                                *a.id) < std::tie(b.is_new, b.time_to_vacancy,
                                                  b.millicores_in_time, *b.id);
              });
    candidates.resize(std::min(candidates.size(), count));
    for (const Candidate& candidate : candidates) {
      released.insert(*candidate.id);
    }
  }
  for (const std::string& id : this->released_workers) {
    if (const auto session = this->sessions.find(id);
        session != this->sessions.end() && !released.contains(id)) {
      session->second.released = false;
      this->placement_needed = true;
    }
  }
  for (const std::string& id : released) {
    Session& session = this->sessions.at(id);
    session.released = true;
    this->StopLateRuns(id, session, now);
  }
  this->released_workers = std::move(released);
}

void Dispatcher::StopLateRuns(const std::string& id, Session& session,
                              TimePoint now) {
  for (auto& [key, run] : session.runs) {
    // Without checkpoints, more work would be lost than the move gains.
    if (run.late && run.step->checkpoints && run.stage == RunStage::kRunning) {
      this->StopRun(id, session, key, run,
                    "its instance is needed for work that can be in time", now);
    }
  }
}

bool Dispatcher::IsAssignable(const Worker& worker, const Session& session) {
  return !worker.machine.empty() && !session.draining && !session.leaving &&
         session.unanswered_orders == 0;
}

const Worker* Dispatcher::AssignableWorkerOn(
    const std::string& instance) const {
  const Worker* last = nullptr;
  for (const Worker* worker :
       this->state.WorkersByPlace().OnInstance(instance)) {
    if (IsAssignable(*worker, this->sessions.at(worker->id))) {
      last = worker;
    }
  }
  return last;
}

void Dispatcher::ListPooledInstances(std::map<std::string, PoolDemand>& demands,
                                     TimePoint now) {
  std::map<std::string, std::size_t> reserved;
  std::size_t count = 0;
  const auto add = [&](const std::string& instance, const std::string& pool,
                       const Amount& capacity, bool empty, bool evacuated) {
    if (count == this->pooled_instances.size()) {
      this->pooled_instances.emplace_back();
    }
    PooledInstance& row = this->pooled_instances[count++];
    row.instance = instance;
    row.pool = pool;
    row.millicores = capacity.millicores;
    row.memory_mb = capacity.memory_mb;
    row.empty = empty;
    row.evacuated = evacuated;
  };
  for (const auto& [id, worker] : this->state.Workers()) {
    const Session& session = this->sessions.at(id);
    if (const auto demand = demands.find(worker.pool);
        demand != demands.end()) {
      // In an evacuated zone, short tasks end where they are, and long-running
      // ones need room elsewhere.
      const Amount used =
          session.evacuated ? LongRunningUse(session) : session.used;
      demand->second.used_millicores += used.millicores;
      demand->second.used_memory_mb += used.memory_mb;
      if (!session.evacuated) {
        demand->second.late_millicores += session.late_used.millicores;
        demand->second.late_memory_mb += session.late_used.memory_mb;
      }
      if (session.reserved.has_value() && !session.evacuated) {
        ++reserved[worker.pool];
      }
    }
    // An instance that is reserved for its upkeep counts as present, because it
    // is back within 2 s and moving a replacement takes about as long.
    if (IsAssignable(worker, session)) {
      add(worker.machine, worker.pool, CapacityOf(worker),
          IsInService(session) && session.runs.empty() &&
              session.isolated_job.empty() &&
              this->MayOrder(worker.machine, now),
          session.evacuated);
    }
  }
  for (const auto& [pool, workers] : reserved) {
    // Long-running tasks that must run apart may have no other worker left than
    // a reserved one, whose upkeep may wait until they run again.
    if (const auto waiting = this->waiting_sums.find(pool);
        waiting != this->waiting_sums.end() &&
        waiting->second.long_running_tasks > 0) {
      demands.at(pool).instances_for_anti_affine_tasks += workers;
    }
  }
  for (const auto& [instance, entry] : this->listed_instances) {
    if (entry.state != InstanceStatus::kUp || !this->IsOffInStandby(instance) ||
        this->AssignableWorkerOn(instance) != nullptr) {
      continue;
    }
    const auto began = this->upkeep_began.find(instance);
    add(instance, entry.pool, Amount(),
        (began == this->upkeep_began.end() ||
         now - began->second >= this->config.upkeep_duration) &&
            this->MayOrder(instance, now),
        this->IsEvacuated(entry.availability_zone));
  }
  this->pooled_instances.resize(count);
}

void Dispatcher::OrderMove(const InstanceMove& move) {
  this->hooks.report("instance_move_ordered", move.instance, move.to_pool);
  InstanceRequest request;
  request.number = this->next_number++;
  request.kind = InstanceRequest::Kind::kMove;
  request.instance = move.instance;
  request.pool = move.to_pool;
  this->instance_requests[request.number] =
      this->MakeOpenRequest(0, move.instance, move.to_pool);
  this->SendInstanceRequest(std::move(request));
}

void Dispatcher::RepeatMoves(TimePoint now) {
  std::vector<InstanceMove> due;
  std::erase_if(this->unanswered_moves, [&](const auto& row) {
    if (now < row.second.next_attempt) {
      return false;
    }
    due.push_back(row.second.move);
    return true;
  });
  for (InstanceMove& move : due) {
    const Pool* pool = this->state.FindPool(move.to_pool);
    if (const std::string* standby = this->StandbyPool();
        standby != nullptr && (pool == nullptr || !pool->standby) &&
        this->IsEvacuatedInstance(move.instance)) {
      move.to_pool = *standby;
    }
    this->OrderMove(move);
  }
}

Dispatcher::OpenInstanceRequest Dispatcher::MakeOpenRequest(
    std::uint64_t wave, const std::string& instance,
    const std::string& pool) const {
  OpenInstanceRequest request{wave, instance, pool, "", 0};
  if (const Worker* worker = this->WorkerOnInstance(instance);
      worker != nullptr) {
    request.worker = worker->id;
    request.born_ms = worker->born_ms;
  }
  return request;
}

void Dispatcher::RemoveEndedWorker(const OpenInstanceRequest& request,
                                   const char* reason, TimePoint now) {
  // It was vacant when the request was ordered. If it has runs, it has
  // announced itself again since, and only it can tell whether it has ended.
  if (const auto found = this->sessions.find(request.worker);
      found != this->sessions.end() &&
      found->second.born_ms == request.born_ms && found->second.runs.empty()) {
    this->RemoveWorker(request.worker, reason, now);
  }
}

void Dispatcher::OnMoveReply(const OpenInstanceRequest& request,
                             const InstanceReply& reply, TimePoint now) {
  const InstanceMove move{request.instance, request.pool};
  const Worker* worker = this->WorkerOnInstance(move.instance);
  if (reply.result == InstanceReply::Result::kOk) {
    if (worker != nullptr && worker->pool != move.to_pool) {
      this->RemoveEndedWorker(request, "its instance moves to another pool",
                              now);
    }
    this->listed_instances.erase(move.instance);
    // A worker that was born since the order may have been drained for an
    // upkeep that was answered before.
    this->EndReservation(move.instance);
    return;
  }
  this->hooks.count_retry("move_not_begun");
  if (reply.result == InstanceReply::Result::kUnanswered) {
    // The move may still be executed, so the worker gets no tasks until it
    // falls silent or the repeated request is answered.
    this->unanswered_moves[move.instance] =
        UnansweredMove{move, now + this->config.instance_retry_delay};
    return;
  }
  this->EndReservation(move.instance);
}

}  // namespace mimosastage::jobs
