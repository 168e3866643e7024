#include <algorithm>
#include <memory>
#include <utility>

#include "mimosastage/jobs/dispatcher.h"

namespace mimosastage::jobs {
namespace {

constexpr std::chrono::milliseconds kBalanceRound{100};

}  // namespace

bool Dispatcher::MayOrder(const std::string& machine, TimePoint now) const {
  if (now - this->took_over >= this->config.machine_lease) {
    return true;
  }
  const auto ordered = this->state.OrderedAt().find(machine);
  return ordered == this->state.OrderedAt().end() ||
         this->hooks.wall_time() - std::chrono::milliseconds(ordered->second) >=
             this->config.machine_lease + this->config.clock_tolerance;
}

void Dispatcher::SendMachineOrder(MachineOrder order) {
  order.holder = this->self;
  order.fence = this->fence;
  Command command;
  command.ordered = std::make_unique<InstanceOrder>();
  command.ordered->instance = order.machine;
  command.ordered->at_ms = this->hooks.wall_time().count();
  this->hooks.propose(std::move(command),
                      [this, order = std::move(order)](TimePoint) {
                        this->hooks.send_machine(order);
                      });
}

void Dispatcher::ReadMachines(TimePoint now) {
  if (this->list_open || now < this->next_list) {
    return;
  }
  this->machines_being_read.clear();
  this->RequestList("", now);
}

void Dispatcher::RequestList(const std::string& page, TimePoint now) {
  this->next_list = now + this->config.list_interval;
  this->list_open = true;
  MachineOrder order;
  order.number = this->next_number++;
  order.page = page;
  this->machine_orders[order.number] = OpenMachineOrder{};
  this->hooks.send_machine(std::move(order));
}

void Dispatcher::OnMachineList(const MachineReply& reply, TimePoint now) {
  this->list_open = false;
  if (reply.result != MachineReply::Result::kOk) {
    this->hooks.count("instance_list_unread");
    return;
  }
  for (const MachineRow& row : reply.machines) {
    this->machines_being_read[row.machine] = row;
  }
  if (reply.next_page.empty()) {
    this->machines = std::exchange(this->machines_being_read, {});
    return;
  }
  this->RequestList(reply.next_page, now);
}

void Dispatcher::BalancePools(TimePoint now) {
  if (now < this->next_balance || this->machines.empty()) {
    return;
  }
  this->next_balance = now + kBalanceRound;
  std::map<std::string, PoolNeed> needs;
  for (const auto& pool : this->state.Config().pools) {
    PoolNeed& need = needs[pool->name];
    need.pool = pool->name;
    need.standby = pool->standby;
    if (const auto waiting = this->waiting_millicores.find(pool->name);
        waiting != this->waiting_millicores.end()) {
      need.waiting_millicores = waiting->second;
    }
    if (const auto waiting = this->waiting_memory_mb.find(pool->name);
        waiting != this->waiting_memory_mb.end()) {
      need.waiting_memory_mb = waiting->second;
    }
  }
  for (const auto& [accepted, id] : this->state.OpenJobs()) {
    const JobRequest& request = *this->state.FindJob(id)->request;
    const Queue* queue = this->state.FindQueue(request.queue);
    const auto need = queue == nullptr ? needs.end() : needs.find(queue->pool);
    if (need == needs.end()) {
      continue;
    }
    for (const auto& step : request.steps) {
      if (step->long_running && step->most_per_worker > 0) {
        need->second.apart = std::max<std::size_t>(
            need->second.apart,
            (step->tasks + step->most_per_worker - 1) / step->most_per_worker);
      }
    }
  }
  std::vector<PooledInstance> instances;
  std::map<std::string, std::string> worker_of;
  for (const auto& [id, worker] : this->state.Workers()) {
    const Session& session = this->sessions.at(id);
    if (const auto need = needs.find(worker.pool); need != needs.end()) {
      need->second.used_millicores += session.used.millicores;
      need->second.used_memory_mb += session.used.memory_mb;
    }
    // An instance that is reserved for its upkeep counts as present: it is back
    // in 2 s, and a move to replace it takes about as long.
    if (worker.machine.empty() || session.draining || session.leaving ||
        session.silent > 0) {
      continue;
    }
    instances.push_back(
        PooledInstance{worker.machine, worker.pool, worker.capacity->millicores,
                       this->Usable(session) && session.runs.empty() &&
                           this->MayOrder(worker.machine, now),
                       worker.capacity->memory_mb});
    worker_of[worker.machine] = id;
  }
  for (const auto& [machine, row] : this->machines) {
    if (!worker_of.contains(machine) && this->OffInStandby(machine)) {
      const auto began = this->upkeep_began.find(machine);
      const bool ready = (began == this->upkeep_began.end() ||
                          now - began->second >= this->config.upkeep_time) &&
                         this->MayOrder(machine, now);
      instances.push_back(PooledInstance{machine, row.pool, 0, ready});
    }
  }
  std::vector<PoolNeed> list;
  list.reserve(needs.size());
  for (auto& [pool, need] : needs) {
    list.push_back(std::move(need));
  }
  for (const InstanceMove& move : this->balancer.Plan(list, instances, now)) {
    if (const auto found = worker_of.find(move.instance);
        found != worker_of.end()) {
      // Takes no more tasks while the order is on its way.
      this->sessions.at(found->second).reserved = now;
    }
    this->OrderMove(move);
  }
}

void Dispatcher::OrderMove(const InstanceMove& move) {
  this->hooks.report("instance_move_ordered", move.instance, move.to_pool);
  MachineOrder order;
  order.number = this->next_number++;
  order.kind = MachineOrder::Kind::kMove;
  order.machine = move.instance;
  order.pool = move.to_pool;
  this->machine_orders[order.number] =
      OpenMachineOrder{0, move.instance, move.to_pool};
  this->SendMachineOrder(std::move(order));
}

void Dispatcher::OnMoveReply(const InstanceMove& move,
                             const MachineReply& reply, TimePoint now) {
  const Worker* worker = this->WorkerOn(move.instance);
  if (reply.result == MachineReply::Result::kOk) {
    if (worker != nullptr && worker->pool != move.to_pool) {
      const std::string id = worker->id;
      this->RemoveWorker(id, "its instance moves to another pool", now);
    }
    this->machines.erase(move.instance);
    return;
  }
  this->hooks.count("move_not_begun");
  if (reply.result == MachineReply::Result::kUnanswered) {
    // It may be carried out, so the worker stays without tasks until it is
    // silent or the same order is answered.
    this->OrderMove(move);
    return;
  }
  if (worker != nullptr) {
    this->sessions.at(worker->id).reserved.reset();
  }
}

}  // namespace mimosastage::jobs
