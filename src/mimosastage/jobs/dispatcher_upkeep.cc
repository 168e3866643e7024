#include <algorithm>
#include <string_view>
#include <tuple>
#include <unordered_set>
#include <utility>

#include "mimosastage/jobs/dispatcher.h"
#include "mimosastage/jobs/value_bounds.h"

namespace mimosastage::jobs {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kWaveInterval{100};

}  // namespace

const Worker* Dispatcher::WorkerOnInstance(const std::string& instance) const {
  const WorkerTable::Group& workers =
      this->state.WorkersByPlace().OnInstance(instance);
  return workers.empty() ? nullptr : workers.front();
}

bool Dispatcher::IsReady(const TaskId& task, TimePoint now) const {
  const auto& active = this->state.FindJob(task.job)->At(task).active;
  return std::any_of(active.begin(), active.end(), [&](const ActiveRun& row) {
    const auto session = this->sessions.find(row.worker);
    if (session == this->sessions.end()) {
      return false;
    }
    const auto run = session->second.runs.find({task, row.number});
    return run != session->second.runs.end() &&
           run->second.stage == RunStage::kRunning && run->second.ready &&
           session->second.unanswered_orders == 0 &&
           now - session->second.last_list <= this->config.readiness_validity;
  });
}

std::uint32_t Dispatcher::UnavailableOthers(const TaskId& task,
                                            const Step& step,
                                            TimePoint now) const {
  std::uint32_t unavailable = 0;
  for (std::uint32_t i = 0; i < step.tasks; ++i) {
    if (i == task.index) {
      continue;
    }
    TaskId other = task;
    other.index = i;
    unavailable += this->IsReady(other, now) ? 0 : 1;
  }
  return unavailable;
}

bool Dispatcher::MayStop(const TaskId& task, TimePoint now) const {
  const Job* job = this->state.FindJob(task.job);
  if (job == nullptr || job->Ended()) {
    return true;
  }
  const Step& step = *job->request->steps[task.step];
  return !step.long_running ||
         this->UnavailableOthers(task, step, now) < step.may_miss;
}

std::string Dispatcher::Availability(const TaskId& task, TimePoint now) const {
  const Job* job = this->state.FindJob(task.job);
  if (job == nullptr || job->Ended() ||
      !job->request->steps[task.step]->long_running) {
    return "";
  }
  const Step& step = *job->request->steps[task.step];
  return "; " + std::to_string(this->UnavailableOthers(task, step, now)) +
         " others of its step are unavailable, " +
         std::to_string(step.may_miss) + " may be";
}

void Dispatcher::ReportBlock(Session& session, const TaskId& task,
                             std::uint32_t may_miss) {
  if (!std::exchange(session.block_reported, true)) {
    this->hooks.report("upkeep_blocked", *session.id,
                       ToString(task) + " may not be stopped; of its step " +
                           std::to_string(may_miss) + " may be unavailable");
  }
}

Dispatcher::PoolShare Dispatcher::ShareOf(const std::string& pool) {
  PoolShare share;
  this->IndexWorkers();
  if (const auto workers = this->pool_workers.find(pool);
      workers != this->pool_workers.end()) {
    for (const auto& [worker, session] : workers->second.members) {
      if (session->has_answered && !session->evacuated &&
          IsAssignable(*worker, *session)) {
        ++share.usable;
        share.reserved += session->reserved.has_value() ? 1 : 0;
      }
    }
  }
  return share;
}

bool Dispatcher::MayReserve(const Wave& wave, Session& session,
                            const PoolShare& share, TimePoint now) {
  if (now < session.next_reservation) {
    return false;
  }
  for (const auto& [key, run] : session.runs) {
    if (run.step->long_running && run.step->may_miss == 0 &&
        run.stage != RunStage::kStopping) {
      this->ReportBlock(session, key.first, run.step->may_miss);
      return false;
    }
  }
  if (session.evacuated) {
    // It gets no tasks in any case, so the others go on as before.
    return true;
  }
  if (session.runs.empty()) {
    return share.usable == 1 || share.reserved + 1 < share.usable;
  }
  if (share.usable == 1) {
    // It may become vacant by itself. Later it is emptied at once.
    const milliseconds half = BoundedTime(wave.duration_ms) / 2;
    return this->hooks.wall_time() >= BoundedTime(wave.accepted_ms) + half;
  }
  return 2 * (share.reserved + 1) <= share.usable;
}

bool Dispatcher::DrainForUpkeep(const Wave& wave, const std::string& id,
                                Session& session, const PoolShare& share,
                                TimePoint now) {
  if (!session.reserved.has_value()) {
    session.reserved = now;
    session.reserved_for = wave.number;
    session.block_reported = false;
    this->hooks.report("worker_reserved", id, "its instance is due for upkeep");
  }
  // While the only worker of a pool waits for tasks to end, all others wait.
  const bool interrupt_all =
      now - *session.reserved > this->config.upkeep_drain_timeout ||
      (share.usable == 1 && !session.evacuated);
  bool empty = true;
  std::optional<Block> block;
  for (auto& [key, run] : session.runs) {
    empty = false;
    if (run.stage == RunStage::kStopping) {
      continue;
    }
    if (!this->MayStop(key.first, now)) {
      block = Block{key.first, run.step->may_miss, now};
      continue;
    }
    const bool may_interrupt =
        run.step->long_running || run.step->checkpoints || interrupt_all;
    if (run.stage == RunStage::kRunning && may_interrupt) {
      this->StopRun(id, session, key, run, "its instance is due for upkeep",
                    now);
    }
  }
  if (block.has_value() && session.block.has_value()) {
    block->since = session.block->since;
  }
  session.block = std::move(block);
  return empty;
}

void Dispatcher::EndBlockedReservation(const std::string& instance,
                                       Session& session, TimePoint now) {
  if (!session.block.has_value() ||
      now - session.block->since < this->config.blocked_reservation_limit) {
    return;
  }
  const TaskId task = session.block->task;
  this->ReportBlock(session, task, session.block->may_miss);
  this->GiveBack(instance, session, "its upkeep waits for " + ToString(task),
                 now);
}

void Dispatcher::EndStalledReservation(const Wave& wave,
                                       const std::string& instance,
                                       Session& session, const char* reason,
                                       TimePoint now) {
  if (session.reserved_for != 0 && session.reserved_for != wave.number) {
    return;
  }
  if (!session.stalled_since.has_value()) {
    session.stalled_since = now;
  }
  if (now - *session.stalled_since >= this->config.blocked_reservation_limit) {
    this->GiveBack(instance, session, reason, now);
  }
}

void Dispatcher::GiveBack(const std::string& instance, Session& session,
                          const std::string& reason, TimePoint now) {
  this->EndReservation(instance);
  if (!session.reserved.has_value()) {
    session.next_reservation = now + this->config.reservation_pause;
    this->hooks.report("reservation_ended", *session.id, reason);
  }
}

void Dispatcher::AdvanceWaves(TimePoint now) {
  if (now < this->next_wave_round) {
    return;
  }
  this->next_wave_round = now + kWaveInterval;
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

bool Dispatcher::IsOffInStandby(const std::string& instance) const {
  const auto listed = this->listed_instances.find(instance);
  if (listed == this->listed_instances.end() ||
      listed->second.state != InstanceStatus::kUp) {
    return false;
  }
  const Pool* pool = this->state.FindPool(listed->second.pool);
  return pool != nullptr && pool->standby;
}

void Dispatcher::AdvanceWave(const Wave& wave, TimePoint now) {
  std::size_t down = 0;
  std::size_t reserved = 0;
  struct Candidate {
    /// The platform has refused the instance's upkeep before, or an earlier
    /// leader may have ordered a change of it. Such instances come last, so
    /// that they don't hold up the others.
    bool postponed = false;
    /// Tasks of its pool are waiting for resources.
    bool pool_has_backlog = false;
    std::int64_t used_millicores = 0;
    std::string instance;
    /// Empty for an instance that is switched off.
    std::string worker;
  };
  std::vector<Candidate> candidates;
  std::vector<Candidate> selected;
  std::map<std::string, PoolShare> shares;
  const auto share_of = [&](const std::string& worker) -> PoolShare& {
    const std::string& pool = this->state.Workers().at(worker).pool;
    const auto [row, is_new] = shares.try_emplace(pool);
    if (is_new) {
      row->second = this->ShareOf(pool);
    }
    return row->second;
  };
  const std::unordered_set<std::string_view> wave_begun(wave.begun.begin(),
                                                        wave.begun.end());
  for (const std::string& instance : wave.machines) {
    const Worker* worker = this->WorkerOnInstance(instance);
    const auto session = worker == nullptr ? this->sessions.end()
                                           : this->sessions.find(worker->id);
    const bool alive = session != this->sessions.end() &&
                       session->second.has_answered &&
                       session->second.unanswered_orders == 0;
    const bool begun = wave_begun.contains(instance);
    const auto began = this->upkeep_began.find(instance);
    const bool in_upkeep = began != this->upkeep_began.end() &&
                           now - began->second < this->config.upkeep_duration;
    const bool off = worker == nullptr && this->IsOffInStandby(instance);
    if (in_upkeep || (!alive && !off)) {
      // Instances that are down for other reasons count towards the limit as
      // well as those in upkeep.
      ++down;
      continue;
    }
    if (begun) {
      continue;
    }
    const auto ordered = this->upkeeps.find({wave.number, instance});
    const bool known = ordered != this->upkeeps.end();
    if (known && ordered->second.maybe_begun) {
      ++down;
      // The worker may have been born since the first order, and run tasks.
      const bool vacant =
          off || this->DrainForUpkeep(wave, worker->id, session->second,
                                      share_of(worker->id), now);
      if (vacant && !ordered->second.order_open &&
          now >= ordered->second.next_attempt &&
          this->MayOrder(instance, now)) {
        this->OrderUpkeep(wave, instance, now);
      }
      continue;
    }
    const bool refused = known && ordered->second.refusals > 0;
    if (refused && now < ordered->second.next_attempt) {
      continue;
    }
    const bool postponed = refused || !this->MayOrder(instance, now);
    if (off) {
      candidates.push_back(Candidate{postponed, false, -1, instance, ""});
      continue;
    }
    if (session->second.draining || session->second.leaving) {
      continue;
    }
    const auto waiting = this->waiting_sums.find(worker->pool);
    const Candidate candidate{
        postponed,
        waiting != this->waiting_sums.end() && waiting->second.millicores > 0,
        session->second.used.millicores, instance, worker->id};
    if (session->second.reserved.has_value()) {
      ++reserved;
      selected.push_back(candidate);
    } else {
      candidates.push_back(candidate);
    }
  }
  std::sort(
      candidates.begin(), candidates.end(),
      [](const Candidate& a, const Candidate& b) {
        return std::tie(a.postponed, a.pool_has_backlog, a.used_millicores) <
               std::tie(b.postponed, b.pool_has_backlog, b.used_millicores);
      });
  for (const Candidate& candidate : candidates) {
    if (down + reserved >= wave.most_at_once) {
      break;
    }
    if (!candidate.worker.empty()) {
      Session& session = this->sessions.at(candidate.worker);
      PoolShare& share = share_of(candidate.worker);
      if (!this->MayReserve(wave, session, share, now)) {
        continue;
      }
      share.reserved += session.evacuated ? 0 : 1;
    }
    ++reserved;
    selected.push_back(candidate);
  }
  // If more instances are down than when the workers were reserved, the vacant
  // ones and those that have waited longest come first.
  const auto rank = [this](const Candidate& candidate) {
    if (candidate.worker.empty()) {
      return std::make_pair(false, TimePoint::max());
    }
    const Session& session = this->sessions.at(candidate.worker);
    return std::make_pair(!session.runs.empty(),
                          session.reserved.value_or(TimePoint::max()));
  };
  std::stable_sort(selected.begin(), selected.end(),
                   [&](const Candidate& a, const Candidate& b) {
                     return rank(a) < rank(b);
                   });
  std::size_t places =
      wave.most_at_once - std::min<std::size_t>(down, wave.most_at_once);
  for (const Candidate& candidate : selected) {
    Session* const session = candidate.worker.empty()
                                 ? nullptr
                                 : &this->sessions.at(candidate.worker);
    if (places == 0) {
      if (session != nullptr) {
        this->EndStalledReservation(
            wave, candidate.instance, *session,
            "as many instances of its wave are down as may be", now);
      }
      continue;
    }
    --places;
    if (session != nullptr &&
        !this->DrainForUpkeep(wave, candidate.worker, *session,
                              share_of(candidate.worker), now)) {
      session->stalled_since.reset();
      this->EndBlockedReservation(candidate.instance, *session, now);
      continue;
    }
    const auto upkeep = this->upkeeps.find({wave.number, candidate.instance});
    const bool may_repeat =
        upkeep == this->upkeeps.end() ||
        (!upkeep->second.order_open && now >= upkeep->second.next_attempt);
    if (may_repeat && this->MayOrder(candidate.instance, now)) {
      if (session != nullptr) {
        session->reserved_for = wave.number;
      }
      this->OrderUpkeep(wave, candidate.instance, now);
    } else if (session != nullptr) {
      this->EndStalledReservation(wave, candidate.instance, *session,
                                  "its upkeep isn't accepted", now);
    }
  }
}

void Dispatcher::OrderUpkeep(const Wave& wave, const std::string& instance,
                             TimePoint now) {
  Upkeep& upkeep = this->upkeeps[{wave.number, instance}];
  upkeep.order_open = true;
  upkeep.maybe_begun = true;
  upkeep.next_attempt = now + this->config.instance_retry_delay;
  InstanceRequest request;
  request.number = this->next_number++;
  request.kind = InstanceRequest::Kind::kUpkeep;
  request.instance = instance;
  request.wave = wave.number;
  this->instance_requests[request.number] =
      this->MakeOpenRequest(wave.number, instance, "");
  this->SendInstanceRequest(std::move(request));
}

void Dispatcher::OnInstanceReply(const InstanceReply& reply, TimePoint now) {
  const auto open = this->instance_requests.find(reply.number);
  if (open == this->instance_requests.end()) {
    return;
  }
  const OpenInstanceRequest request = std::move(open->second);
  const std::uint64_t wave = request.wave;
  const std::string& instance = request.instance;
  this->instance_requests.erase(open);
  if (instance.empty()) {
    this->OnInstanceList(reply, now);
    return;
  }
  if (!request.pool.empty()) {
    this->OnMoveReply(request, reply, now);
    return;
  }
  Upkeep& upkeep = this->upkeeps[{wave, instance}];
  upkeep.order_open = false;
  upkeep.next_attempt = now + this->config.instance_retry_delay;
  switch (reply.result) {
    case InstanceReply::Result::kOk:
      this->upkeep_began[instance] = now;
      this->RecordUpkeepBegun(request, now);
      return;
    case InstanceReply::Result::kInvalid:
      this->hooks.report("upkeep_refused", instance, "no such instance");
      this->PostponeRefusedUpkeep(upkeep, instance, now);
      return;
    case InstanceReply::Result::kWrongWave:
      this->hooks.report("upkeep_refused", instance,
                         "not part of wave " + std::to_string(wave));
      this->PostponeRefusedUpkeep(upkeep, instance, now);
      return;
    case InstanceReply::Result::kUnanswered:
      this->hooks.count_retry("upkeep_unanswered");
      upkeep.unanswered = true;
      return;
    default:
      this->hooks.count_retry("upkeep_not_begun");
      upkeep.maybe_begun = upkeep.unanswered;
      return;
  }
}

void Dispatcher::PostponeRefusedUpkeep(Upkeep& upkeep,
                                       const std::string& instance,
                                       TimePoint now) {
  ++upkeep.refusals;
  const unsigned doublings = std::min(upkeep.refusals - 1, 16U);
  upkeep.next_attempt =
      now + std::min(this->config.refused_upkeep_delay * (1U << doublings),
                     this->config.max_refused_upkeep_delay);
  // An earlier request that wasn't answered names the same instance and wave,
  // so the platform refuses it as well.
  upkeep.unanswered = false;
  upkeep.maybe_begun = false;
  this->EndReservation(instance);
}

bool Dispatcher::MayBeTakenDown(const std::string& instance) const {
  if (instance.empty()) {
    return false;
  }
  return this->unanswered_moves.contains(instance) ||
         std::any_of(this->instance_requests.begin(),
                     this->instance_requests.end(),
                     [&](const auto& open) {
                       return open.second.instance == instance;
                     }) ||
         std::any_of(this->upkeeps.begin(), this->upkeeps.end(),
                     [&](const auto& upkeep) {
                       return upkeep.first.second == instance &&
                              upkeep.second.maybe_begun;
                     });
}

void Dispatcher::EndReservation(const std::string& instance) {
  if (const Worker* worker = this->WorkerOnInstance(instance);
      worker != nullptr && !this->MayBeTakenDown(instance)) {
    Session& session = this->sessions.at(worker->id);
    session.reserved.reset();
    session.reserved_for = 0;
    session.block.reset();
    session.stalled_since.reset();
    this->placement_needed = true;
  }
}

void Dispatcher::RecordUpkeepBegun(const OpenInstanceRequest& request,
                                   TimePoint now) {
  this->hooks.report("upkeep_begun", request.instance,
                     "wave " + std::to_string(request.wave));
  this->upkeeps.erase({request.wave, request.instance});
  this->RemoveEndedWorker(request, "its instance is in upkeep", now);
  // A worker that was born since the order may have been drained for a
  // repetition.
  this->EndReservation(request.instance);
  Command command;
  command.begun = std::make_unique<WaveMachine>();
  command.begun->wave = request.wave;
  command.begun->machine = request.instance;
  this->hooks.propose(std::move(command), {});
}

}  // namespace mimosastage::jobs
