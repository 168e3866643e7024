#include "mimosastage/routing/request_tracker.h"

#include <strings.h>

#include <algorithm>
#include <utility>

namespace mimosastage {
namespace {

using std::chrono::seconds;

constexpr seconds kRetryAfter{1};

/// Divisor of the remaining time that gives a reused connection's limit for the
/// answer's first byte. The rest is left for one attempt on a fresh connection.
constexpr int kStallLimitDivisor = 4;

/// Status and reason of the refusal after a failed attempt that isn't retried.
std::pair<std::uint16_t, RefusalReason> RefusalAfter(AttemptEnd end) {
  switch (end) {
    case AttemptEnd::kRefusedConnect:
    case AttemptEnd::kServerSaidNotRun:
    case AttemptEnd::kFailedBeforeFirstByte:
    case AttemptEnd::kNotStarted:
      return {503, RefusalReason::kBackendServerUnavailable};
    case AttemptEnd::kStalledReused:
    case AttemptEnd::kStalledFresh:
      return {504, RefusalReason::kBackendServerStalled};
    case AttemptEnd::kWrongRequestId:
      return {502, RefusalReason::kAnswerMismatch};
    case AttemptEnd::kTruncated:
      return {502, RefusalReason::kAnswerTruncated};
    case AttemptEnd::kTooLarge:
      return {502, RefusalReason::kAnswerTooLarge};
    default:
      return {502, RefusalReason::kBackendServerFailed};
  }
}

std::string ContentTypeOf(const AnswerHeaders& headers) {
  for (const auto& [name, value] : headers) {
    if (strcasecmp(name.c_str(), "Content-Type") == 0) {
      return value;
    }
  }
  return {};
}

StoredAnswer ToStoredAnswer(const BackendServerAnswer& answer) {
  StoredAnswer stored;
  stored.status = answer.status;
  stored.content_type = ContentTypeOf(answer.headers);
  stored.body_kept = answer.body.size() <= kMaxStoredBody;
  if (stored.body_kept) {
    stored.body = answer.body;
  }
  return stored;
}

}  // namespace

std::string_view RefusalReasonName(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kIntentKeyMissing:
      return "idempotency_key_missing";
    case RefusalReason::kIntentKeyTooLong:
      return "idempotency_key_too_long";
    case RefusalReason::kQueueFull:
      return "queue_full";
    case RefusalReason::kWouldMissDeadline:
      return "would_miss_deadline";
    case RefusalReason::kDeadlinePassed:
      return "deadline_passed";
    case RefusalReason::kLeaseLapsed:
      return "lease_lapsed";
    case RefusalReason::kCancelled:
      return "cancelled";
    case RefusalReason::kIntentInProgress:
      return "in_progress";
    case RefusalReason::kIntentUnknown:
      return "outcome_unknown";
    case RefusalReason::kIntentKeyReused:
      return "idempotency_key_reused";
    case RefusalReason::kIntentsFull:
      return "intents_full";
    case RefusalReason::kIntentNotCommitted:
      return "intent_not_committed";
    case RefusalReason::kBackendServerUnavailable:
      return "backend_server_unavailable";
    case RefusalReason::kBackendServerFailed:
      return "backend_server_failed";
    case RefusalReason::kBackendServerStalled:
      return "backend_server_stalled";
    case RefusalReason::kAnswerMismatch:
      return "answer_mismatch";
    case RefusalReason::kAnswerTruncated:
      return "answer_truncated";
    case RefusalReason::kAnswerTooLarge:
      return "answer_too_large";
  }
  return "unknown";
}

RequestTracker::RequestTracker(RequestArrival arrival, Hooks hooks)
    : arrival(std::move(arrival)), hooks(std::move(hooks)) {
  if (this->arrival.repeatable) {
    this->arrival.intent.reset();
  }
}

std::vector<RequestAction> RequestTracker::Start(TimePoint now) {
  Actions actions;
  const auto& intent = this->arrival.intent;
  const bool has_key = intent && !intent->idempotency_key.empty();
  if (!this->arrival.repeatable && !has_key) {
    this->RefuseAndAbandon(400, RefusalReason::kIntentKeyMissing, actions);
  } else if (has_key &&
             intent->idempotency_key.size() > kMaxIdempotencyKeyLength) {
    this->RefuseAndAbandon(400, RefusalReason::kIntentKeyTooLong, actions);
  } else if (now >= this->arrival.deadline) {
    this->RefuseAndAbandon(504, RefusalReason::kDeadlinePassed, actions);
  }
  return actions;
}

std::vector<RequestAction> RequestTracker::Handle(RequestEvent event,
                                                  TimePoint now) {
  Actions actions;
  std::visit([&](auto& content) { this->On(content, now, actions); }, event);
  return actions;
}

void RequestTracker::On(const RequestAdmitted& event, TimePoint now,
                        Actions& actions) {
  if (this->state != State::kQueued) {
    actions.emplace_back(ReleaseSlot{event.server});
    actions.emplace_back(ReleaseTeamUnit{});
    return;
  }
  this->holds_team_unit = true;
  this->slot_server = event.server;
  if (!this->arrival.intent) {
    this->TryAttempt(now, actions);
  } else if (now >= this->arrival.deadline) {
    this->Refuse(504, RefusalReason::kDeadlinePassed, actions);
    this->Finish(actions);
  } else if (now >= this->hooks.serving_until()) {
    this->Refuse(503, RefusalReason::kLeaseLapsed, actions, kRetryAfter);
    this->Finish(actions);
  } else {
    this->state = State::kCommittingIntent;
    actions.emplace_back(CommitIntent{});
  }
}

void RequestTracker::On(const RequestNotAdmitted& event, TimePoint,
                        Actions& actions) {
  if (this->state != State::kQueued) {
    return;
  }
  const bool full = event.reason == RequestNotAdmitted::Reason::kQueueFull;
  this->Refuse(
      503, full ? RefusalReason::kQueueFull : RefusalReason::kWouldMissDeadline,
      actions, event.retry_after);
  this->Finish(actions);
}

void RequestTracker::On(IntentBeginApplied& event, TimePoint now,
                        Actions& actions) {
  const IntentBeginResult result = event.outcome.result;
  if (this->state == State::kAbandoningIntent) {
    this->intent_open = result == IntentBeginResult::kStarted;
    this->Finish(actions);
    return;
  }
  if (this->state != State::kCommittingIntent) {
    return;
  }
  switch (result) {
    case IntentBeginResult::kStarted:
      this->intent_open = true;
      this->TryAttempt(now, actions);
      return;
    case IntentBeginResult::kCompleted:
      this->answered = true;
      actions.emplace_back(AnswerFromStore{std::move(event.outcome.answer)});
      break;
    case IntentBeginResult::kInProgress:
      this->Refuse(409, RefusalReason::kIntentInProgress, actions, kRetryAfter);
      break;
    case IntentBeginResult::kUnknown:
      this->Refuse(409, RefusalReason::kIntentUnknown, actions);
      break;
    case IntentBeginResult::kFingerprintDiffers:
      this->Refuse(422, RefusalReason::kIntentKeyReused, actions);
      break;
    case IntentBeginResult::kFull:
      this->Refuse(503, RefusalReason::kIntentsFull, actions, kRetryAfter);
      break;
  }
  this->Finish(actions);
}

void RequestTracker::On(const IntentNotCommitted&, TimePoint,
                        Actions& actions) {
  if (this->state == State::kCommittingIntent) {
    this->Refuse(503, RefusalReason::kIntentNotCommitted, actions, kRetryAfter);
    this->Finish(actions);
  } else if (this->state == State::kAbandoningIntent) {
    this->Finish(actions);
  }
}

void RequestTracker::On(AttemptEnded& event, TimePoint now, Actions& actions) {
  if (!this->attempt_in_progress || event.attempt != this->attempts) {
    return;
  }
  this->attempt_in_progress = false;
  this->may_have_run = this->may_have_run || !ProvesNotRun(event.end);
  if (event.end == AttemptEnd::kWholeAnswer) {
    this->Complete(std::move(event.answer), actions);
    return;
  }
  if (this->TryRetry(event.end, now, actions)) {
    return;
  }
  this->RefuseAfter(event.end, actions);
  this->Finish(actions);
}

void RequestTracker::On(const RequestCancelled& event, TimePoint,
                        Actions& actions) {
  if (event.kind == RequestCancelled::Kind::kRequested) {
    this->RefuseAndAbandon(409, RefusalReason::kCancelled, actions);
    return;
  }
  this->answered = true;
  const bool keep_running =
      this->attempt_in_progress && !this->arrival.repeatable;
  if (!keep_running) {
    this->Abandon(actions);
  }
}

void RequestTracker::On(const DeadlinePassed&, TimePoint, Actions& actions) {
  this->RefuseAndAbandon(504, RefusalReason::kDeadlinePassed, actions);
}

void RequestTracker::On(const LeaseLapsed&, TimePoint, Actions& actions) {
  const bool started =
      this->state != State::kQueued && this->state != State::kCommittingIntent;
  if (!started) {
    this->RefuseAndAbandon(503, RefusalReason::kLeaseLapsed, actions);
  }
}

void RequestTracker::RefuseAndAbandon(std::uint16_t status,
                                      RefusalReason reason, Actions& actions) {
  if (this->state == State::kDone) {
    return;
  }
  const bool retryable = status == 503;
  this->Refuse(status, reason, actions, retryable ? kRetryAfter : seconds(0));
  this->Abandon(actions);
}

void RequestTracker::Abandon(Actions& actions) {
  switch (this->state) {
    case State::kQueued:
      this->Finish(actions);
      break;
    case State::kCommittingIntent:
      // The intent may still be committed. It is then ended as not run.
      this->ReleaseUnits(actions);
      this->state = State::kAbandoningIntent;
      break;
    case State::kAttempting:
      // The units are held until the attempt has ended, because the server may
      // run the request until then.
      actions.emplace_back(CancelAttempt{this->attempts});
      this->state = State::kCancelling;
      break;
    case State::kCancelling:
    case State::kAbandoningIntent:
    case State::kDone:
      break;
  }
}

void RequestTracker::TryAttempt(TimePoint now, Actions& actions) {
  if (now >= this->arrival.deadline) {
    this->Refuse(504, RefusalReason::kDeadlinePassed, actions);
    this->Finish(actions);
    return;
  }
  const TimePoint serving_until = this->hooks.serving_until();
  if (now >= serving_until) {
    this->Refuse(503, RefusalReason::kLeaseLapsed, actions, kRetryAfter);
    this->Finish(actions);
    return;
  }
  this->state = State::kAttempting;
  this->attempt_in_progress = true;
  this->attempts += 1;
  this->tried.push_back(*this->slot_server);
  if (this->attempts == 1) {
    this->hooks.on_first_attempt();
  }
  StartAttempt start;
  start.attempt = this->attempts;
  start.server = *this->slot_server;
  start.start_before = std::min(serving_until, this->arrival.deadline);
  start.deadline = this->arrival.deadline;
  start.reused_stall_limit = this->StallLimit(now);
  actions.emplace_back(std::move(start));
}

Duration RequestTracker::StallLimit(TimePoint now) const {
  // Only a request that may be sent again benefits from an early timeout.
  if (!this->arrival.repeatable || this->attempts >= kMaxAttempts) {
    return Duration(0);
  }
  const Duration part = (this->arrival.deadline - now) / kStallLimitDivisor;
  return std::max<Duration>(part, kMinStallLimit);
}

bool RequestTracker::MayRetry(AttemptEnd end, TimePoint now) const {
  if (this->answered || this->attempts >= kMaxAttempts ||
      now >= this->arrival.deadline) {
    return false;
  }
  if (end == AttemptEnd::kTooLarge || end == AttemptEnd::kCancelled) {
    return false;
  }
  return this->arrival.repeatable || !this->may_have_run;
}

bool RequestTracker::TryRetry(AttemptEnd end, TimePoint now, Actions& actions) {
  if (!this->MayRetry(end, now)) {
    return false;
  }
  std::optional<BackendServerName> other =
      this->hooks.reserve_another(this->tried);
  if (!other) {
    return false;
  }
  if (!this->hooks.take_retry_token()) {
    actions.emplace_back(ReleaseSlot{std::move(*other)});
    return false;
  }
  this->ReleaseServerSlot(actions);
  this->slot_server = std::move(other);
  this->TryAttempt(now, actions);
  return true;
}

void RequestTracker::Refuse(std::uint16_t status, RefusalReason reason,
                            Actions& actions, seconds retry_after) {
  if (this->answered) {
    return;
  }
  this->answered = true;
  actions.emplace_back(
      RefuseCaller{status, reason, this->OutcomeFor(reason), retry_after});
}

RefusalOutcome RequestTracker::OutcomeFor(RefusalReason reason) const {
  // An earlier request with the same key is running or may have run.
  const bool earlier_request = reason == RefusalReason::kIntentInProgress ||
                               reason == RefusalReason::kIntentUnknown;
  const bool unknown =
      this->may_have_run || this->attempt_in_progress || earlier_request;
  return unknown ? RefusalOutcome::kUnknown : RefusalOutcome::kNotRun;
}

void RequestTracker::RefuseAfter(AttemptEnd end, Actions& actions) {
  const auto [status, reason] = RefusalAfter(end);
  const bool not_run = !this->may_have_run;
  this->Refuse(status, reason, actions, not_run ? kRetryAfter : seconds(0));
}

void RequestTracker::Complete(BackendServerAnswer&& answer, Actions& actions) {
  if (this->intent_open) {
    this->intent_open = false;
    actions.emplace_back(
        CommitIntentEnd{IntentOutcome::kCompleted, ToStoredAnswer(answer)});
  }
  if (!this->answered) {
    this->answered = true;
    actions.emplace_back(AnswerCaller{std::move(answer)});
  }
  this->Finish(actions);
}

void RequestTracker::EndIntent(Actions& actions) {
  if (!this->intent_open) {
    return;
  }
  this->intent_open = false;
  const IntentOutcome outcome =
      this->may_have_run ? IntentOutcome::kUnknown : IntentOutcome::kNotRun;
  actions.emplace_back(CommitIntentEnd{outcome, {}});
}

void RequestTracker::ReleaseServerSlot(Actions& actions) {
  if (this->slot_server) {
    actions.emplace_back(ReleaseSlot{std::move(*this->slot_server)});
    this->slot_server.reset();
  }
}

void RequestTracker::ReleaseUnits(Actions& actions) {
  this->ReleaseServerSlot(actions);
  if (this->holds_team_unit) {
    this->holds_team_unit = false;
    actions.emplace_back(ReleaseTeamUnit{});
  }
}

void RequestTracker::Finish(Actions& actions) {
  this->EndIntent(actions);
  this->ReleaseUnits(actions);
  this->state = State::kDone;
}

}  // namespace mimosastage
