#include "mimosastage/node/request_service.h"

#include <algorithm>
#include <utility>

namespace mimosastage {
namespace {

Resource TeamResource(const TeamName& team) {
  return Resource{ResourceKind::kTeamLimit, team.str()};
}

Resource SlotResource(const BackendServerName& server) {
  return Resource{ResourceKind::kBackendServerSlots, server.str()};
}

CallerRefusal NotRun(std::uint16_t status, std::string reason,
                     std::string title) {
  CallerRefusal refusal;
  refusal.status = status;
  refusal.reason = std::move(reason);
  refusal.title = std::move(title);
  return refusal;
}

CallerRefusal Unavailable(std::string reason, std::string title) {
  CallerRefusal refusal = NotRun(503, std::move(reason), std::move(title));
  refusal.retry_after = std::chrono::seconds(1);
  return refusal;
}

std::string_view QueueReasonName(AdmissionError reason) {
  switch (reason) {
    case AdmissionError::kQueueFull:
      return "queue_full";
    case AdmissionError::kClientQueueFull:
      return "client_queue_full";
    case AdmissionError::kDeadlineTooShort:
      return "would_miss_deadline";
    case AdmissionError::kDeadlinePassed:
      return "deadline_passed_in_queue";
    case AdmissionError::kDisplaced:
      return "displaced";
    case AdmissionError::kNoUnits:
      return "no_units";
    case AdmissionError::kNotServing:
      return "no_serving_lease";
    case AdmissionError::kMalformedMessage:
      break;
  }
  return "queue";
}

RequestNotAdmitted ToEvent(const Refusal& refusal) {
  const bool full = refusal.reason == AdmissionError::kQueueFull ||
                    refusal.reason == AdmissionError::kClientQueueFull ||
                    refusal.reason == AdmissionError::kDisplaced;
  return RequestNotAdmitted{
      full ? RequestNotAdmitted::Reason::kQueueFull
           : RequestNotAdmitted::Reason::kWouldMissDeadline,
      refusal.retry_after};
}

std::string TitleOf(const RefuseCaller& action) {
  switch (action.reason) {
    case RefusalReason::kIntentKeyMissing:
      return "the route's requests must not be repeated; send an "
             "Idempotency-Key";
    case RefusalReason::kIntentKeyTooLong:
      return "the Idempotency-Key is too long; send a shorter one";
    case RefusalReason::kIntentKeyReused:
      return "the Idempotency-Key was used for another request; send a new one";
    case RefusalReason::kIntentInProgress:
      return "a request with this Idempotency-Key is in progress; ask again "
             "later";
    default:
      return action.outcome == RefusalOutcome::kNotRun
                 ? "the request was not run; it may be sent again"
                 : "the request may have run; check before sending it again";
  }
}

HttpAnswer ToHttpAnswer(BackendServerAnswer&& answer) {
  HttpAnswer http;
  http.status = answer.status;
  http.headers = std::move(answer.headers);
  http.body = std::move(answer.body);
  return http;
}

HttpAnswer ToHttpAnswer(StoredAnswer&& stored) {
  HttpAnswer http;
  http.status = stored.status;
  if (!stored.content_type.empty()) {
    http.headers.emplace_back("Content-Type", std::move(stored.content_type));
  }
  // Tells the caller that this is a stored answer and whether it has the body.
  http.headers.emplace_back("Mimosastage-Stored-Answer",
                            stored.body_kept ? "whole" : "without-body");
  http.body = std::move(stored.body);
  return http;
}

}  // namespace

RequestService::RequestService(Settings settings, Hooks hooks,
                               const BackendServerDirectory& directory,
                               AllowanceHolder& holder, TimerService& timers)
    : settings(std::move(settings)),
      hooks(std::move(hooks)),
      directory(directory),
      holder(holder),
      timers(timers),
      picker(
          BackendServerPicker::Settings{this->settings.availability_zone,
                                        this->settings.entry_count,
                                        this->settings.seed},
          BackendServerPicker::Hooks{[this](const BackendServerName& server) {
            return this->holder.Available(SlotResource(server));
          }},
          directory, this->ejection) {}

void RequestService::OnRequest(CallerRequest&& request, TimePoint now) {
  this->last_now = now;
  OpenRequest open;
  const std::uint64_t id = request.id;
  if (const auto refusal = this->Validate(request, open, now);
      refusal.has_value()) {
    this->Refuse(id, *refusal);
    return;
  }
  open.arrived = now;
  const Duration time = std::min<Duration>(
      open.route.deadline, request.deadline.value_or(open.route.deadline));
  open.deadline = now + time;
  open.request = std::move(request);
  this->StartRequest(std::move(open), now);
}

std::optional<CallerRefusal> RequestService::Validate(
    const CallerRequest& request, OpenRequest& open, TimePoint now) const {
  if (!this->accepting) {
    return Unavailable("shutting_down",
                       "this entry is stopping; send the request again");
  }
  // Without a lease, the routes and keys read below may be out of date.
  if (this->hooks.serving_until(now) <= now) {
    return Unavailable("no_serving_lease",
                       "this entry has lost contact with the quorum; send the "
                       "request to another entry");
  }
  auto route = this->hooks.find_route(request.route);
  if (!route.has_value()) {
    return NotRun(404, "unknown_route",
                  "no route has this name; check the path");
  }
  open.route = *std::move(route);
  if (!open.route.open) {
    if (request.key.empty()) {
      return NotRun(401, "missing_key",
                    "send the team's key as Authorization: Bearer <key>");
    }
    auto owner = this->hooks.find_key(request.key);
    if (!owner.has_value()) {
      return NotRun(401, "unknown_key",
                    "the key is unknown or was revoked; ask for a new one");
    }
    open.owner = *std::move(owner);
  }
  if (request.body.size() > open.route.max_body_bytes) {
    return NotRun(413, "body_too_large",
                  "the route accepts at most " +
                      std::to_string(open.route.max_body_bytes) + " bytes");
  }
  return std::nullopt;
}

void RequestService::StartRequest(OpenRequest&& open, TimePoint now) {
  const std::uint64_t id = open.request.id;
  open.intent = IntentKey{open.owner.team, open.request.idempotency_key};
  RequestArrival arrival;
  arrival.pool = open.route.pool;
  arrival.repeatable = open.route.repeatable;
  arrival.deadline = open.deadline;
  if (!open.request.idempotency_key.empty()) {
    arrival.intent = open.intent;
    this->requests_by_intent.emplace(open.intent, id);
  }
  arrival.fingerprint = Fingerprint(open.request);
  const PoolName pool = open.route.pool;
  RequestTracker::Hooks tracker_hooks;
  tracker_hooks.serving_until = [this] {
    return this->hooks.serving_until(this->last_now);
  };
  tracker_hooks.reserve_another =
      [this, id](std::span<const BackendServerName> excluded) {
        return this->ReserveAnother(id, excluded);
      };
  tracker_hooks.take_retry_token = [this, pool] {
    return this->retry_budget.TryTake(pool);
  };
  tracker_hooks.on_first_attempt = [this, pool] {
    this->retry_budget.OnFirstAttempt(pool);
  };
  open.tracker = std::make_unique<RequestTracker>(std::move(arrival),
                                                  std::move(tracker_hooks));
  open.deadline_timer =
      this->timers.At(open.deadline, [this, id](TimePoint due) {
        this->HandleEvent(id, DeadlinePassed{}, due);
      });
  const auto [position, inserted] = this->requests.emplace(id, std::move(open));
  this->ExecuteActions(id, position->second.tracker->Start(now), now);
  if (this->requests.contains(id)) {
    this->Enqueue(id, now);
  }
}

void RequestService::Enqueue(std::uint64_t id, TimePoint now) {
  const OpenRequest& open = this->requests.at(id);
  QueuedRequest queued;
  queued.id = id;
  queued.team = open.owner.team;
  queued.client = open.owner.client;
  queued.urgent = open.route.urgent;
  queued.deadline = open.deadline;
  const PoolName pool = open.route.pool;
  if (const auto refusal = this->QueueOf(pool).Enqueue(queued, now);
      refusal.has_value()) {
    this->OnQueueRefusal(id, *refusal);
  }
  this->queues[pool].dirty = true;
}

FairQueue& RequestService::QueueOf(const PoolName& pool) {
  PoolQueue& state = this->queues[pool];
  if (state.queue == nullptr) {
    FairQueue::Hooks queue_hooks;
    queue_hooks.team_may_start = [this](const TeamName& team) {
      return team.empty() || this->holder.Available(TeamResource(team)) > 0;
    };
    queue_hooks.slots = [this, pool] { return this->HeldSlots(pool); };
    queue_hooks.on_refused = [this](std::uint64_t id, const Refusal& refusal) {
      this->OnQueueRefusal(id, refusal);
    };
    queue_hooks.on_demand = [this, pool](const TeamName& team,
                                         std::uint32_t waiting,
                                         std::uint32_t running) {
      this->holder.SetDemand(pool, team, waiting, running);
    };
    state.queue = std::make_unique<FairQueue>(this->settings.queue,
                                              std::move(queue_hooks));
    for (const auto& [team, share] : this->shares) {
      state.queue->SetShare(team, share);
    }
  }
  return *state.queue;
}

std::uint32_t RequestService::HeldSlots(const PoolName& pool) const {
  std::uint32_t slots = 0;
  for (const Announcement* server : this->directory.ServersOf(pool)) {
    slots += this->holder.Available(SlotResource(server->name));
    slots += this->picker.InProgress(server->name);
  }
  return slots;
}

// Deferred, because the queue may call this from within its own methods and the
// tracker's actions call the queue.
void RequestService::OnQueueRefusal(std::uint64_t id, const Refusal& refusal) {
  this->queue_refusals.emplace_back(id, refusal);
}

void RequestService::AdmitQueued(TimePoint now) {
  this->last_now = now;
  const bool serving = this->hooks.serving_until(now) > now;
  if (std::exchange(this->was_serving, serving) && !serving) {
    this->RefuseNotStarted(now);
  }
  for (auto& [pool, state] : this->queues) {
    if (!serving && state.queue->waiting() > 0) {
      state.queue->RefuseAll(AdmissionError::kNotServing);
    }
    if (serving && std::exchange(state.dirty, false)) {
      this->AdmitQueuedOf(pool, state, now);
    }
  }
  while (this->HasDeferredEvents()) {
    this->HandleQueueRefusals(now);
    this->HandleFailures(now);
  }
}

void RequestService::RefuseNotStarted(TimePoint now) {
  std::vector<std::uint64_t> ids;
  ids.reserve(this->requests.size());
  for (const auto& [id, open] : this->requests) {
    ids.push_back(id);
  }
  for (const std::uint64_t id : ids) {
    this->HandleEvent(id, LeaseLapsed{}, now);
  }
}

bool RequestService::HasDeferredEvents() const {
  return !this->queue_refusals.empty() || !this->failed_exchanges.empty() ||
         !this->failed_intents.empty();
}

void RequestService::HandleFailures(TimePoint now) {
  for (std::uint64_t id : std::exchange(this->failed_intents, {})) {
    this->HandleEvent(id, IntentNotCommitted{}, now);
  }
  for (auto& failed : std::exchange(this->failed_exchanges, {})) {
    this->OnExchangeResult(std::move(failed), now);
  }
}

void RequestService::HandleQueueRefusals(TimePoint now) {
  for (const auto& [id, refusal] : std::exchange(this->queue_refusals, {})) {
    if (refusal.reason == AdmissionError::kNotServing) {
      this->HandleEvent(id, LeaseLapsed{}, now);
    } else {
      if (auto open = this->requests.find(id); open != this->requests.end()) {
        open->second.queue_reason = QueueReasonName(refusal.reason);
      }
      this->HandleEvent(id, ToEvent(refusal), now);
    }
  }
}

void RequestService::AdmitQueuedOf(const PoolName& pool, PoolQueue& state,
                                   TimePoint now) {
  while (state.queue->waiting() > 0 && this->picker.CanPick(pool, now)) {
    const auto queued = state.queue->Next(now);
    if (!queued.has_value()) {
      return;
    }
    if (auto found = this->requests.find(queued->id);
        found != this->requests.end()) {
      this->Admit(*queued, found->second, now);
    } else {
      state.queue->Finish(queued->id, now, /*measured=*/false);
    }
  }
}

void RequestService::Admit(const QueuedRequest& queued, OpenRequest& open,
                           TimePoint now) {
  const auto choice = this->picker.Pick(open.route.pool, {}, now);
  const bool team_taken =
      queued.team.empty() ||
      this->holder.Acquire(queued.id, TeamResource(queued.team));
  if (!choice.has_value() || !team_taken ||
      !this->holder.Acquire(queued.id, SlotResource(choice->name))) {
    this->holder.ReleaseAll(queued.id);
    this->HandleEvent(queued.id, RequestNotAdmitted{}, now);
    return;
  }
  open.choice = choice;
  open.started = now;
  this->hooks.record_wait(open.route.name, now - open.arrived);
  this->HandleEvent(queued.id, RequestAdmitted{choice->name}, now);
}

std::optional<BackendServerName> RequestService::ReserveAnother(
    std::uint64_t id, std::span<const BackendServerName> excluded) {
  OpenRequest& open = this->requests.at(id);
  const auto choice =
      this->picker.Pick(open.route.pool, excluded, this->last_now);
  if (!choice.has_value() ||
      !this->holder.Acquire(id, SlotResource(choice->name))) {
    return std::nullopt;
  }
  open.choice = choice;
  return choice->name;
}

void RequestService::HandleEvent(std::uint64_t id, RequestEvent event,
                                 TimePoint now) {
  this->last_now = now;
  if (auto found = this->requests.find(id); found != this->requests.end()) {
    this->ExecuteActions(
        id, found->second.tracker->Handle(std::move(event), now), now);
  }
}

void RequestService::ExecuteActions(std::uint64_t id,
                                    std::vector<RequestAction>&& actions,
                                    TimePoint now) {
  for (RequestAction& action : actions) {
    std::visit([&](auto& typed) { this->Execute(id, typed, now); }, action);
  }
  this->CloseIfDone(id, now);
}

void RequestService::Execute(std::uint64_t id, CommitIntent&, TimePoint) {
  const OpenRequest& open = this->requests.at(id);
  IntentBegin command;
  command.key = open.intent;
  command.session = this->hooks.session();
  command.fingerprint = open.tracker->Arrival().fingerprint;
  command.at = this->hooks.wall_time();
  const bool proposed =
      this->hooks.begin_intent(command, [this, id](RequestEvent&& event) {
        this->HandleEvent(id, std::move(event), this->last_now);
      });
  if (!proposed) {
    this->failed_intents.push_back(id);
  }
}

void RequestService::Execute(std::uint64_t id, StartAttempt& action,
                             TimePoint now) {
  OpenRequest& open = this->requests.at(id);
  const Announcement* server = this->directory.Find(action.server);
  ExchangeRequest exchange;
  exchange.id = this->next_exchange++;
  if (action.attempt > 1) {
    this->hooks.count_retry(open.route.repeatable ? "repeatable" : "not_run");
  }
  if (server != nullptr) {
    exchange.address = server->address;
    exchange.port = server->port;
  }
  exchange.method = open.request.method;
  exchange.target = open.request.target;
  exchange.headers = open.request.headers;
  if (!open.owner.team.empty()) {
    exchange.headers.emplace_back("Mimosastage-Team", open.owner.team.str());
  }
  exchange.body = open.request.body;
  exchange.timeout = std::max(
      std::chrono::milliseconds(1),
      std::chrono::ceil<std::chrono::milliseconds>(action.deadline - now));
  exchange.repeatable = open.route.repeatable;
  exchange.fresh_connection =
      this->ejection.NeedsFreshConnection(action.server);
  exchange.start_before = action.start_before;
  exchange.reused_stall_limit =
      std::chrono::ceil<std::chrono::milliseconds>(action.reused_stall_limit);
  const std::uint64_t exchange_id = exchange.id;
  this->picker.OnStart(open.choice.value_or(
      BackendServerPicker::Choice{action.server, /*probe=*/false}));
  open.exchange = exchange_id;
  open.attempt = action.attempt;
  this->exchanges[exchange_id] = Exchange{id, action.attempt, action.server};
  if (server == nullptr || !this->hooks.start_exchange(std::move(exchange))) {
    ExchangeResult failed;
    failed.id = exchange_id;
    failed.end = AttemptEnd::kNotStarted;
    // Deferred until all actions of the tracker are executed.
    this->failed_exchanges.push_back(std::move(failed));
  }
}

void RequestService::Execute(std::uint64_t id, CancelAttempt&, TimePoint) {
  if (const auto& open = this->requests.at(id); open.exchange.has_value()) {
    this->hooks.cancel_exchange(*open.exchange);
  }
}

void RequestService::Execute(std::uint64_t id, AnswerCaller& action,
                             TimePoint now) {
  const OpenRequest& open = this->requests.at(id);
  this->hooks.record_service(open.route.name, now - open.started);
  this->hooks.answer(id, ToHttpAnswer(std::move(action.answer)));
}

void RequestService::Execute(std::uint64_t id, AnswerFromStore& action,
                             TimePoint) {
  this->hooks.answer(id, ToHttpAnswer(std::move(action.answer)));
}

void RequestService::Execute(std::uint64_t id, RefuseCaller& action,
                             TimePoint) {
  CallerRefusal refusal;
  refusal.status = action.status;
  const std::string_view queue_reason = this->requests.at(id).queue_reason;
  // The queue's reason is more specific than the tracker's.
  refusal.reason =
      queue_reason.empty() ? RefusalReasonName(action.reason) : queue_reason;
  refusal.title = TitleOf(action);
  refusal.outcome = action.outcome == RefusalOutcome::kNotRun
                        ? RefusedOutcome::kNotRun
                        : RefusedOutcome::kUnknown;
  if (action.retry_after.count() > 0) {
    refusal.retry_after = action.retry_after;
  }
  this->Refuse(id, refusal);
}

void RequestService::Execute(std::uint64_t id, ReleaseSlot& action, TimePoint) {
  this->holder.Release(id, SlotResource(action.server));
  this->queues[this->requests.at(id).route.pool].dirty = true;
}

void RequestService::Execute(std::uint64_t id, ReleaseTeamUnit&, TimePoint) {
  const OpenRequest& open = this->requests.at(id);
  if (open.owner.team.empty()) {
    return;
  }
  this->holder.Release(id, TeamResource(open.owner.team));
  // Requests of the team may wait in the queues of other pools too.
  for (auto& [pool, state] : this->queues) {
    state.queue->TeamAvailable(open.owner.team);
    state.dirty = true;
  }
}

void RequestService::Execute(std::uint64_t id, CommitIntentEnd& action,
                             TimePoint) {
  IntentEnd command;
  command.key = this->requests.at(id).intent;
  command.session = this->hooks.session();
  command.outcome = action.outcome;
  command.answer = std::move(action.answer);
  this->hooks.end_intent(command);
}

void RequestService::CloseIfDone(std::uint64_t id, TimePoint now) {
  auto found = this->requests.find(id);
  if (found == this->requests.end() || !found->second.tracker->Done()) {
    return;
  }
  OpenRequest& open = found->second;
  FairQueue& queue = this->QueueOf(open.route.pool);
  queue.Cancel(id);
  queue.Finish(id, now, /*measured=*/open.attempt > 0);
  this->holder.ReleaseAll(id);
  const auto [begin, end] = this->requests_by_intent.equal_range(open.intent);
  for (auto position = begin; position != end; ++position) {
    if (position->second == id) {
      this->requests_by_intent.erase(position);
      break;
    }
  }
  this->requests.erase(found);
}

void RequestService::OnCancel(const CancelRequest& request, TimePoint now) {
  const auto owner = this->hooks.find_key(request.key);
  if (!owner.has_value()) {
    this->Refuse(request.id,
                 NotRun(401, "unknown_key",
                        "send the team's key as Authorization: Bearer <key>"));
    return;
  }
  std::vector<std::uint64_t> ids;
  const auto [begin, end] = this->requests_by_intent.equal_range(
      IntentKey{owner->team, request.idempotency_key});
  for (auto position = begin; position != end; ++position) {
    ids.push_back(position->second);
  }
  for (std::uint64_t id : ids) {
    this->HandleEvent(id, RequestCancelled{RequestCancelled::Kind::kRequested},
                      now);
  }
  HttpAnswer answer;
  answer.status = ids.empty() ? 404 : 204;
  this->hooks.answer(request.id, std::move(answer));
}

void RequestService::OnDisconnect(std::uint64_t request, TimePoint now) {
  this->HandleEvent(
      request, RequestCancelled{RequestCancelled::Kind::kDisconnected}, now);
}

void RequestService::OnExchangeResult(ExchangeResult&& result, TimePoint now) {
  this->last_now = now;
  auto found = this->exchanges.find(result.id);
  if (found == this->exchanges.end()) {
    return;
  }
  const Exchange exchange = std::move(found->second);
  this->exchanges.erase(found);
  this->picker.OnEnd(exchange.server);
  auto open = this->requests.find(exchange.request);
  if (open == this->requests.end()) {
    return;
  }
  const PoolName pool = open->second.route.pool;
  if (const auto reason = this->ejection.OnAttemptEnd(
          exchange.server, pool, this->directory.ServersOf(pool).size(),
          result.end, result.answer.status, result.elapsed, now);
      reason.has_value()) {
    this->hooks.count_ejection(exchange.server, EjectionReasonName(*reason));
  }
  this->queues[pool].dirty = true;
  AttemptEnded event;
  event.attempt = exchange.attempt;
  event.end = result.end;
  event.answer = std::move(result.answer);
  this->HandleEvent(exchange.request, std::move(event), now);
}

void RequestService::OnAvailable(const Resource& resource) {
  for (auto& [pool, state] : this->queues) {
    if (resource.kind == ResourceKind::kTeamLimit) {
      state.queue->TeamAvailable(TeamName(resource.name));
    }
    state.dirty = true;
  }
}

void RequestService::OnDirectoryChange() {
  for (auto& [pool, state] : this->queues) {
    state.dirty = true;
  }
}

void RequestService::OnTablesChanged(const std::vector<Team>& teams,
                                     const Policy& policy) {
  for (const Team& team : teams) {
    this->shares[team.name] = team.share;
    for (auto& [pool, state] : this->queues) {
      state.queue->SetShare(team.name, team.share);
    }
  }
  this->retry_budget.SetRetryPercent(policy.retry_percent);
  this->ejection.SetMaxEjectionPercent(policy.ejection_percent);
  this->OnDirectoryChange();
}

void RequestService::SetFraction(const TeamFraction& fraction) {
  this->QueueOf(fraction.pool).SetFraction(fraction.team, fraction.millionths);
}

void RequestService::OnTeamExhausted(const TeamName& team) {
  if (this->holder.Available(TeamResource(team)) > 0) {
    return;
  }
  for (auto& [pool, state] : this->queues) {
    state.queue->RefuseTeam(team, AdmissionError::kNoUnits);
  }
}

void RequestService::OnPoolExhausted(const PoolName& pool) {
  if (this->HeldSlots(pool) == 0) {
    this->QueueOf(pool).RefuseAll(AdmissionError::kNoUnits);
  }
}

void RequestService::OnServerGone(const BackendServerName& server) {
  this->ejection.Forget(server);
}

void RequestService::Expire(TimePoint now) {
  for (auto& [pool, state] : this->queues) {
    state.queue->Expire(now);
    // Probes of ejected servers become due without an event.
    state.dirty = true;
  }
  this->AdmitQueued(now);
}

void RequestService::ReportQueues(
    const std::function<void(const PoolName& pool, std::size_t waiting,
                             std::size_t running)>& report) const {
  for (const auto& [pool, state] : this->queues) {
    report(pool, state.queue->waiting(), state.queue->running());
  }
}

void RequestService::Refuse(std::uint64_t id, const CallerRefusal& refusal) {
  this->hooks.count_refusal(refusal.reason);
  this->hooks.answer(id, ToHttpAnswer(refusal));
}

}  // namespace mimosastage
