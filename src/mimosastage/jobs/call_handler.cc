#include "mimosastage/jobs/call_handler.h"

#include <algorithm>
#include <cctype>
#include <chrono>
#include <memory>
#include <utility>

#include "mimosastage/jobs/configuration_check.h"

namespace mimosastage::jobs {
namespace {

using std::chrono::milliseconds;

/// When a job that was refused because the log was full may be sent again. The
/// log moves again after a leader change at the latest, which takes about a
/// second.
constexpr milliseconds kFullLogDelay{1'000};

/// When a job that was refused because its queue or key is being removed may be
/// sent again. The change is durable within some milliseconds, or undone by a
/// leader change within about a second.
constexpr milliseconds kRemovedQueueDelay{500};

/// Longest name of an availability zone, which each daemon stores. As long as
/// the longest one that a worker may announce.
constexpr std::size_t kMaxZoneBytes = 255;
/// A daemon sends a call for at most 900 ms, and a link that delivers nothing
/// for 1.2 s is closed, so no copy is on its way for longer.
constexpr std::chrono::seconds kLongestCopyDelay{10};

Answer AnswerOf(CallOutcome outcome, std::string text = "") {
  Answer answer;
  answer.outcome = static_cast<std::uint8_t>(outcome);
  answer.text = std::move(text);
  return answer;
}

/// Job ids become parts of task ids, so they must not contain a dot.
bool IsJobId(const std::string& id) {
  constexpr std::size_t kMaxLength = 64;
  return !id.empty() && id.size() <= kMaxLength &&
         std::all_of(id.begin(), id.end(), [](unsigned char character) {
           return std::isalnum(character) != 0 || character == '-' ||
                  character == '_';
         });
}

/// Returns the job that was submitted at the path, or null. Its queue may be
/// gone since, or another one may match the path.
const Job* FindJobAt(const FleetState& state, const std::string& host,
                     const std::string& path) {
  // A prefix may end anywhere, but an id has no slash.
  const std::size_t slash = path.rfind('/');
  const std::size_t first = slash == std::string::npos ? 0 : slash + 1;
  for (std::size_t begin = first; begin < path.size(); ++begin) {
    const Job* const job = state.FindJob(path.substr(begin));
    if (job != nullptr && job->request->host == host &&
        path.compare(0, begin, job->request->path_prefix) == 0) {
      return job;
    }
  }
  return nullptr;
}

}  // namespace

CallHandler::CallHandler(Hooks hooks, const FleetState& working,
                         const FleetState& committed, Dispatcher& dispatcher)
    : hooks(std::move(hooks)),
      working(working),
      committed(committed),
      dispatcher(dispatcher) {}

void CallHandler::Refuse(CallOutcome outcome, const char* reason,
                         const Reply& reply) {
  this->hooks.count_refusal(reason);
  reply(AnswerOf(outcome, reason));
}

void CallHandler::RefuseJob(const std::string& job, const char* reason,
                            milliseconds delay, const Reply& reply) {
  this->hooks.count_refusal(reason);
  this->hooks.report("job_refused", job,
                     std::string(reason) + ", retry after " +
                         std::to_string(delay.count()) + " ms");
  Answer refusal = AnswerOf(CallOutcome::kOverloaded, reason);
  refusal.retry_after_ms = static_cast<std::uint64_t>(delay.count());
  reply(std::move(refusal));
}

bool CallHandler::PostponesChange(const Reply& reply) {
  if (!this->hooks.log_is_full()) {
    return false;
  }
  this->Refuse(CallOutcome::kUnavailable, "log_full_change", reply);
  return true;
}

void CallHandler::Handle(const Call& call, TimePoint now, const Reply& reply) {
  switch (static_cast<CallKind>(call.kind)) {
    case CallKind::kSubmit:
    case CallKind::kJobState:
    case CallKind::kCancel:
    case CallKind::kQueueLength:
      this->HandleQueueCall(call, now, reply);
      return;
    case CallKind::kConfigure:
      this->Configure(call, now, reply);
      return;
    case CallKind::kReadConfiguration:
      if (this->committed.Config().version == 0) {
        this->Refuse(CallOutcome::kUnavailable, "no_configuration", reply);
      } else {
        reply(AnswerOf(CallOutcome::kOk, this->committed.Config().source));
      }
      return;
    case CallKind::kAnnounceWorker:
      if (call.worker == nullptr) {
        this->Refuse(CallOutcome::kInvalid, "malformed_worker", reply);
        return;
      }
      if (this->PostponesChange(reply)) {
        return;
      }
      this->dispatcher.Announce(*call.worker, call.sequence, now,
                                [reply] { reply(AnswerOf(CallOutcome::kOk)); });
      return;
    case CallKind::kWorkerLeaves:
      this->dispatcher.OnWorkerLeaving(call.path, now);
      reply(AnswerOf(CallOutcome::kOk));
      return;
    case CallKind::kStartWave:
      this->StartWave(call, reply);
      return;
    case CallKind::kWaveState:
      if (call.wave == nullptr) {
        this->Refuse(CallOutcome::kInvalid, "malformed_wave", reply);
      } else {
        this->ShowWave(call, reply);
      }
      return;
    case CallKind::kEvacuateZone:
      this->ChangeEvacuation(call, false, now, reply);
      return;
    case CallKind::kWithdrawEvacuation:
      this->ChangeEvacuation(call, true, now, reply);
      return;
    case CallKind::kReadEvacuations:
      this->ShowEvacuations(reply);
      return;
  }
  this->Refuse(CallOutcome::kInvalid, "unknown_call", reply);
}

void CallHandler::HandleQueueCall(const Call& call, TimePoint now,
                                  const Reply& reply) {
  if (this->committed.Config().version == 0) {
    this->Refuse(CallOutcome::kUnavailable, "no_configuration", reply);
    return;
  }
  const auto kind = static_cast<CallKind>(call.kind);
  const bool is_read =
      kind == CallKind::kJobState || kind == CallKind::kQueueLength;
  const Queue* queue = this->committed.Queues().ForCall(call.host, call.path);
  const Job* submitted_here = FindJobAt(
      is_read ? this->committed : this->working, call.host, call.path);
  if (queue == nullptr) {
    if (kind == CallKind::kSubmit && submitted_here != nullptr) {
      // An earlier copy of the call was accepted, so it isn't refused.
      reply(AnswerOf(CallOutcome::kUnknown, "queue_removed_since"));
      return;
    }
    this->Refuse(CallOutcome::kNoQueue, "no_such_queue", reply);
    return;
  }
  const Target target{queue, submitted_here,
                      submitted_here == nullptr
                          ? call.path.substr(queue->path_prefix.size())
                          : submitted_here->request->id};
  if (target.id.find('/') != std::string::npos) {
    // No job has such an id, so the path is that of a queue that isn't there.
    this->Refuse(CallOutcome::kNoQueue, "no_such_queue", reply);
    return;
  }
  const Team* team = this->committed.TeamOfKey(call.key);
  if (team == nullptr && !IsOpen(target)) {
    this->Refuse(CallOutcome::kUnauthorised, "unknown_key", reply);
    return;
  }
  switch (kind) {
    case CallKind::kSubmit:
      this->Submit(call, target, team, now, reply);
      return;
    case CallKind::kCancel:
      this->Cancel(target, now, reply);
      return;
    default:
      if (target.id.empty()) {
        this->ShowQueue(*queue, reply);
      } else {
        this->ShowJob(target, reply);
      }
  }
}

bool CallHandler::IsOpen(const Target& target) {
  const bool job_is_open = target.submitted_here == nullptr ||
                           target.submitted_here->queue == nullptr ||
                           target.submitted_here->queue->open;
  return target.queue->open && job_is_open;
}

bool CallHandler::Holds(const Target& target, const Job& job) const {
  // The queue of the call is committed. A change that isn't may have bound the
  // job to another one already.
  const Job* committed_job = this->committed.FindJob(target.id);
  return target.submitted_here != nullptr || job.IsHeldBy(*target.queue) ||
         (committed_job != nullptr && committed_job->IsHeldBy(*target.queue));
}

void CallHandler::Submit(const Call& call, const Target& target,
                         const Team* team, TimePoint now, const Reply& reply) {
  const std::string& id = target.id;
  if (!IsJobId(id) || call.job == nullptr) {
    this->Refuse(CallOutcome::kInvalid, "malformed_job", reply);
    return;
  }
  const Job* same_id = this->working.FindJob(id);
  const bool known = same_id != nullptr;
  if (known && !this->Holds(target, *same_id)) {
    this->Refuse(CallOutcome::kConflict, "job_id_in_use", reply);
    return;
  }
  const Queue* const next =
      this->working.Queues().ForCall(call.host, call.path);
  const Team* const next_team = this->working.TeamOfKey(call.key);
  if (!known) {
    // The job follows the changes of the configuration that aren't durable yet,
    // so it is accepted only if they leave it its queue and team.
    if (next == nullptr || QueueTable::LocationOf(*next) !=
                               QueueTable::LocationOf(*target.queue)) {
      this->RefuseJob(id, "queue_being_removed", kRemovedQueueDelay, reply);
      return;
    }
    if (team != nullptr && next_team == nullptr) {
      this->RefuseJob(id, "key_being_removed", kRemovedQueueDelay, reply);
      return;
    }
    const auto& limits = this->working.limits();
    if (const auto problem = FindProblem(*call.job, limits.tasks_per_job);
        problem.has_value()) {
      this->hooks.count_refusal("invalid_job");
      reply(AnswerOf(CallOutcome::kInvalid, *problem));
      return;
    }
    if (this->working.Jobs().size() >= limits.jobs) {
      this->Refuse(CallOutcome::kOverloaded, "too_many_jobs", reply);
      return;
    }
    if (this->hooks.log_is_full()) {
      this->RefuseJob(id, "log_full", kFullLogDelay, reply);
      return;
    }
    if (const auto delay =
            this->dispatcher.OverloadDelay(*call.job, *next, now);
        delay.has_value()) {
      this->RefuseJob(id, "leader_overloaded", *delay, reply);
      return;
    }
    if (const auto delay = this->dispatcher.ShareDelay(
            *call.job, next_team == nullptr ? "" : next_team->name, *next);
        delay.has_value()) {
      this->RefuseJob(id, "team_over_share", *delay, reply);
      return;
    }
  } else if (this->PostponesChange(reply)) {
    return;
  }
  Command command;
  if (!known) {
    command.job = std::make_unique<JobRequest>(*call.job);
    command.job->id = id;
    command.job->queue = next->name;
    command.job->host = next->host;
    command.job->path_prefix = next->path_prefix;
    command.job->team = next_team == nullptr ? "" : next_team->name;
    command.job->accepted_ms = this->hooks.wall_time().count();
    this->dispatcher.OnAccepted(*command.job, *next, now);
    this->hooks.report("job_accepted", id, next->name);
  }
  // A repeated submission waits as well, because the log entry of the first one
  // may not be durable yet.
  this->hooks.propose(std::move(command), [this, id, reply](TimePoint) {
    // All daemons decide alike whether the log leaves the job a queue.
    if (this->committed.FindJob(id) == nullptr) {
      this->RefuseJob(id, "queue_removed", kRemovedQueueDelay, reply);
    } else {
      reply(AnswerOf(CallOutcome::kOk));
    }
  });
  this->dispatcher.OnChange(id, now);
}

void CallHandler::ShowJob(const Target& target, const Reply& reply) const {
  const Job* job = this->committed.FindJob(target.id);
  if (job == nullptr || !this->Holds(target, *job)) {
    reply(AnswerOf(CallOutcome::kGone));
    return;
  }
  Answer answer = AnswerOf(CallOutcome::kOk);
  answer.phase = static_cast<std::uint8_t>(job->phase);
  reply(std::move(answer));
}

void CallHandler::Cancel(const Target& target, TimePoint now,
                         const Reply& reply) {
  const std::string& id = target.id;
  const Job* job = this->working.FindJob(id);
  if (job == nullptr || !this->Holds(target, *job)) {
    reply(AnswerOf(CallOutcome::kGone));
    return;
  }
  if (this->PostponesChange(reply)) {
    return;
  }
  Command command;
  if (!job->Ended()) {
    command.cancelled_job = id;
    this->hooks.report("job_cancelled", id, target.queue->name);
  }
  this->hooks.propose(std::move(command), [reply](TimePoint) {
    reply(AnswerOf(CallOutcome::kOk));
  });
  this->dispatcher.OnChange(id, now);
}

void CallHandler::ShowQueue(const Queue& queue, const Reply& reply) const {
  Answer answer = AnswerOf(CallOutcome::kOk);
  answer.phase = kNoPhase;
  answer.waiting = this->committed.UnstartedJobs(queue);
  reply(std::move(answer));
}

void CallHandler::Configure(const Call& call, TimePoint now,
                            const Reply& reply) {
  if (call.configuration == nullptr) {
    this->Refuse(CallOutcome::kInvalid, "malformed_configuration", reply);
    return;
  }
  const Configuration& next = *call.configuration;
  if (const auto problem = FindProblem(next); problem.has_value()) {
    this->hooks.count_refusal("invalid_configuration");
    reply(AnswerOf(CallOutcome::kInvalid, *problem));
    return;
  }
  const Configuration& current = this->working.Config();
  if (next.version == current.version && next.source != current.source) {
    this->Refuse(CallOutcome::kConflict, "version_held_with_other_content",
                 reply);
    return;
  }
  if (this->PostponesChange(reply)) {
    return;
  }
  const bool changed = next.version > current.version;
  Command command;
  if (changed) {
    command.configuration = std::make_unique<Configuration>(next);
    this->hooks.report("configuration_changed", std::to_string(next.version),
                       "from version " + std::to_string(current.version));
  }
  this->hooks.propose(std::move(command), [reply](TimePoint) {
    reply(AnswerOf(CallOutcome::kOk));
  });
  if (changed) {
    this->ReportRemovedQueues();
  }
  this->dispatcher.OnChange("", now);
}

void CallHandler::ReportRemovedQueues() const {
  for (const auto& [queue, jobs] : this->working.JobsOfRemovedQueues()) {
    this->hooks.report(
        "removed_queue_kept", queue,
        std::to_string(jobs) + " open jobs keep its pool and limits");
  }
}

void CallHandler::StartWave(const Call& call, const Reply& reply) {
  if (call.wave == nullptr || call.wave->most_at_once == 0) {
    this->Refuse(CallOutcome::kInvalid, "malformed_wave", reply);
    return;
  }
  if (this->PostponesChange(reply)) {
    return;
  }
  Command command;
  if (!this->working.Waves().contains(call.wave->number)) {
    command.wave = std::make_unique<Wave>(*call.wave);
    command.wave->accepted_ms = this->hooks.wall_time().count();
    this->hooks.report(
        "wave_accepted", std::to_string(call.wave->number),
        std::to_string(call.wave->machines.size()) + " instances, at most " +
            std::to_string(call.wave->most_at_once) + " at once");
  }
  this->hooks.propose(std::move(command), [reply](TimePoint) {
    reply(AnswerOf(CallOutcome::kOk));
  });
}

void CallHandler::ShowWave(const Call& call, const Reply& reply) const {
  const auto found = this->committed.Waves().find(call.wave->number);
  if (found == this->committed.Waves().end()) {
    reply(AnswerOf(CallOutcome::kGone));
    return;
  }
  const Wave& wave = found->second;
  const bool complete = std::all_of(
      wave.machines.begin(), wave.machines.end(), [&](const auto& instance) {
        return std::find(wave.begun.begin(), wave.begun.end(), instance) !=
               wave.begun.end();
      });
  Answer answer = AnswerOf(CallOutcome::kOk);
  answer.phase = static_cast<std::uint8_t>(complete ? JobPhase::kCompleted
                                                    : JobPhase::kRunning);
  reply(std::move(answer));
}

void CallHandler::ChangeEvacuation(const Call& call, bool withdraw,
                                   TimePoint now, const Reply& reply) {
  const std::string& zone = call.zone;
  if (zone.empty() || zone.size() > kMaxZoneBytes) {
    this->Refuse(CallOutcome::kInvalid, "malformed_zone", reply);
    return;
  }
  const auto& evacuated = this->working.EvacuatedZones();
  const bool is_evacuated = evacuated.contains(zone);
  // The evacuation of a zone that the settings no longer have can be withdrawn.
  if (!is_evacuated && this->hooks.knows_zone &&
      !this->hooks.knows_zone(zone)) {
    this->Refuse(CallOutcome::kInvalid, "unknown_zone", reply);
    return;
  }
  if (!withdraw && !is_evacuated &&
      evacuated.size() >= this->working.limits().evacuated_zones) {
    this->Refuse(CallOutcome::kOverloaded, "too_many_evacuations", reply);
    return;
  }
  if (this->PostponesChange(reply)) {
    return;
  }
  const bool changes = is_evacuated == withdraw;
  if (changes && this->IsOutdated(call, now)) {
    this->Refuse(CallOutcome::kUnavailable, "outdated_call", reply);
    return;
  }
  Command command;
  if (changes) {
    this->zone_changes[zone] = now;
    command.evacuation = std::make_unique<Evacuation>();
    command.evacuation->zone = zone;
    command.evacuation->withdrawn = withdraw;
  }
  // A repeated call waits as well, because the log entry of the first one may
  // not be durable yet.
  this->hooks.propose(
      std::move(command), [this, zone, withdraw, changes, reply](TimePoint) {
        if (changes) {
          this->hooks.report(
              withdraw ? "evacuation_withdrawn" : "zone_evacuated", zone,
              withdraw ? "its workers may get work again"
                       : "its workers get no more work");
        }
        reply(AnswerOf(CallOutcome::kOk));
      });
  if (changes) {
    this->dispatcher.OnEvacuationChange(now);
  }
}

bool CallHandler::IsOutdated(const Call& call, TimePoint now) {
  std::erase_if(this->zone_changes, [&](const auto& row) {
    return now - row.second > kLongestCopyDelay;
  });
  const auto latest = this->zone_changes.find(call.zone);
  return latest != this->zone_changes.end() && call.leader_clock_us != 0 &&
         std::chrono::microseconds(call.leader_clock_us) <=
             std::chrono::duration_cast<std::chrono::microseconds>(
                 latest->second.time_since_epoch());
}

void CallHandler::ShowEvacuations(const Reply& reply) const {
  const auto& evacuated = this->committed.EvacuatedZones();
  Answer answer = AnswerOf(CallOutcome::kOk);
  answer.zones.assign(evacuated.begin(), evacuated.end());
  reply(std::move(answer));
}

}  // namespace mimosastage::jobs
