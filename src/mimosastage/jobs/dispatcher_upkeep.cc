#include <algorithm>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <unordered_set>
#include <utility>

#include "mimosastage/jobs/dispatcher.h"

namespace mimosastage::jobs {
namespace {

constexpr std::chrono::milliseconds kWaveRound{50};

}  // namespace

const Worker* Dispatcher::WorkerOn(const std::string& machine) const {
  for (const auto& [id, worker] : this->state.Workers()) {
    if (worker.machine == machine) {
      return &worker;
    }
  }
  return nullptr;
}

bool Dispatcher::MayStop(const TaskId& task) const {
  const Job* job = this->state.FindJob(task.job);
  if (job == nullptr || job->Ended()) {
    return true;
  }
  const Step& step = *job->request->steps[task.step];
  if (!step.long_running) {
    return true;
  }
  std::uint32_t away = 0;
  for (std::uint32_t i = 0; i < step.tasks; ++i) {
    if (i == task.index) {
      continue;
    }
    TaskId other = task;
    other.index = i;
    bool at_work = false;
    for (const ActiveRun& active : job->At(other).active) {
      const auto session = this->sessions.find(active.worker);
      if (session == this->sessions.end()) {
        continue;
      }
      const auto run = session->second.runs.find({other, active.number});
      at_work = at_work || (run != session->second.runs.end() &&
                            run->second.stage == RunStage::kRunning &&
                            run->second.at_work && session->second.silent == 0);
    }
    away += at_work ? 0 : 1;
  }
  return away < step.may_miss;
}

bool Dispatcher::Vacate(const std::string& id, Session& session,
                        TimePoint now) {
  if (!session.reserved.has_value()) {
    session.reserved = now;
    this->hooks.report("worker_reserved", id, "its instance is due for upkeep");
  }
  const bool patience_over =
      now - *session.reserved > this->config.upkeep_patience;
  bool empty = true;
  for (auto& [key, run] : session.runs) {
    empty = false;
    const bool movable =
        run.step->long_running || run.step->checkpoints || patience_over;
    if (run.stage == RunStage::kRunning && movable &&
        this->MayStop(key.first)) {
      this->StopRun(id, session, key, run, "its instance is due for upkeep",
                    now);
    }
  }
  return empty;
}

void Dispatcher::AdvanceWaves(TimePoint now) {
  if (now < this->next_wave_round) {
    return;
  }
  this->next_wave_round = now + kWaveRound;
  std::vector<std::uint64_t> open;
  for (const auto& [number, wave] : this->state.Waves()) {
    if (wave.begun.size() < wave.machines.size()) {
      open.push_back(number);
    }
  }
  for (const std::uint64_t number : open) {
    this->AdvanceWave(this->state.Waves().at(number), now);
  }
}

bool Dispatcher::OffInStandby(const std::string& machine) const {
  const auto row = this->machines.find(machine);
  if (row == this->machines.end() || row->second.state != MachineState::kUp) {
    return false;
  }
  const Pool* pool = this->state.FindPool(row->second.pool);
  return pool != nullptr && pool->standby;
}

void Dispatcher::AdvanceWave(const Wave& wave, TimePoint now) {
  std::size_t down = 0;
  std::size_t reserved = 0;
  struct Candidate {
    /// Tasks of its pool wait for room.
    bool needed = false;
    std::int64_t busy = 0;
    std::string machine;
    /// Empty for an instance that is off.
    std::string worker;
  };
  std::vector<Candidate> candidates;
  std::vector<Candidate> taken;
  std::unordered_map<std::string_view, const Worker*> worker_on;
  for (const auto& [id, row] : this->state.Workers()) {
    worker_on.emplace(row.machine, &row);
  }
  const std::unordered_set<std::string_view> wave_begun(wave.begun.begin(),
                                                        wave.begun.end());
  for (const std::string& machine : wave.machines) {
    const auto lives_there = worker_on.find(machine);
    const Worker* worker =
        lives_there == worker_on.end() ? nullptr : lives_there->second;
    const auto session = worker == nullptr ? this->sessions.end()
                                           : this->sessions.find(worker->id);
    const bool lives = session != this->sessions.end() &&
                       session->second.heard && session->second.silent == 0;
    const bool begun = wave_begun.contains(machine);
    const auto began = this->upkeep_began.find(machine);
    const bool in_upkeep = began != this->upkeep_began.end() &&
                           now - began->second < this->config.upkeep_time;
    const bool off = worker == nullptr && this->OffInStandby(machine);
    if (in_upkeep || (!lives && !off)) {
      // Down for its upkeep, or by itself: both use up the limit.
      ++down;
      continue;
    }
    if (begun) {
      continue;
    }
    if (const auto ordered = this->upkeeps.find({wave.number, machine});
        ordered != this->upkeeps.end() && ordered->second.maybe_begun) {
      ++down;
      if (!ordered->second.order_open && now >= ordered->second.next_attempt &&
          this->MayOrder(machine, now)) {
        this->OrderUpkeep(wave, machine, now);
      }
      continue;
    }
    if (off) {
      candidates.push_back(Candidate{false, -1, machine, ""});
      continue;
    }
    if (session->second.draining || session->second.leaving) {
      continue;
    }
    const auto waiting = this->waiting_millicores.find(worker->pool);
    const Candidate row{
        waiting != this->waiting_millicores.end() && waiting->second > 0,
        session->second.used.millicores, machine, worker->id};
    if (session->second.reserved.has_value()) {
      ++reserved;
      taken.push_back(row);
    } else {
      candidates.push_back(row);
    }
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate& a, const Candidate& b) {
              return std::tie(a.needed, a.busy) < std::tie(b.needed, b.busy);
            });
  for (const Candidate& row : candidates) {
    if (down + reserved >= wave.most_at_once) {
      break;
    }
    ++reserved;
    taken.push_back(row);
  }
  for (const Candidate& row : taken) {
    const bool vacant =
        row.worker.empty() ||
        this->Vacate(row.worker, this->sessions.at(row.worker), now);
    if (vacant && down < wave.most_at_once) {
      Upkeep& upkeep = this->upkeeps[{wave.number, row.machine}];
      ++down;
      if (!upkeep.order_open && now >= upkeep.next_attempt &&
          this->MayOrder(row.machine, now)) {
        this->OrderUpkeep(wave, row.machine, now);
      }
    }
  }
}

void Dispatcher::OrderUpkeep(const Wave& wave, const std::string& machine,
                             TimePoint now) {
  Upkeep& upkeep = this->upkeeps[{wave.number, machine}];
  upkeep.order_open = true;
  upkeep.maybe_begun = true;
  upkeep.next_attempt = now + this->config.machine_retry;
  MachineOrder order;
  order.number = this->next_number++;
  order.kind = MachineOrder::Kind::kUpkeep;
  order.machine = machine;
  order.wave = wave.number;
  this->machine_orders[order.number] =
      OpenMachineOrder{wave.number, machine, ""};
  this->SendMachineOrder(std::move(order));
}

void Dispatcher::OnMachineReply(const MachineReply& reply, TimePoint now) {
  const auto open = this->machine_orders.find(reply.number);
  if (open == this->machine_orders.end()) {
    return;
  }
  const auto [wave, machine, pool] = open->second;
  this->machine_orders.erase(open);
  if (machine.empty()) {
    this->OnMachineList(reply, now);
    return;
  }
  if (!pool.empty()) {
    this->OnMoveReply(InstanceMove{machine, pool}, reply, now);
    return;
  }
  Upkeep& upkeep = this->upkeeps[{wave, machine}];
  upkeep.order_open = false;
  upkeep.next_attempt = now + this->config.machine_retry;
  switch (reply.result) {
    case MachineReply::Result::kOk:
      this->upkeep_began[machine] = now;
      this->FinishUpkeep(wave, machine, now);
      return;
    case MachineReply::Result::kInvalid:
    case MachineReply::Result::kWrongWave:
      this->hooks.report("upkeep_refused", machine,
                         "no such machine, or not of the wave");
      this->FinishUpkeep(wave, machine, now);
      return;
    case MachineReply::Result::kUnanswered:
      this->hooks.count("upkeep_unanswered");
      upkeep.unanswered = true;
      return;
    default:
      this->hooks.count("upkeep_not_begun");
      upkeep.maybe_begun = upkeep.unanswered;
      return;
  }
}

void Dispatcher::FinishUpkeep(std::uint64_t wave, const std::string& machine,
                              TimePoint now) {
  this->hooks.report("upkeep_begun", machine, "wave " + std::to_string(wave));
  this->upkeeps.erase({wave, machine});
  if (const Worker* worker = this->WorkerOn(machine); worker != nullptr) {
    const std::string id = worker->id;
    this->RemoveWorker(id, "its instance is in upkeep", now);
  }
  Command command;
  command.begun = std::make_unique<WaveMachine>();
  command.begun->wave = wave;
  command.begun->machine = machine;
  this->hooks.propose(std::move(command), {});
}

}  // namespace mimosastage::jobs
