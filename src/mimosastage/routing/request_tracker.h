#ifndef MIMOSASTAGE_ROUTING_REQUEST_TRACKER_H_
#define MIMOSASTAGE_ROUTING_REQUEST_TRACKER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string_view>
#include <variant>
#include <vector>

#include "mimosastage/base/names.h"
#include "mimosastage/base/time.h"
#include "mimosastage/routing/attempt.h"
#include "mimosastage/routing/intent_table.h"
#include "mimosastage/state/commands.h"

namespace mimosastage {

/// A caller's request that passed the checks of its API key and route.
struct RequestArrival {
  PoolName pool;
  /// The route allows a request to run more than once.
  bool repeatable = false;
  TimePoint deadline{};
  /// Required if the route isn't repeatable; ignored otherwise.
  std::optional<IntentKey> intent;
  /// xxHash64 of route, method, path and body.
  std::uint64_t fingerprint = 0;
};

/// The queue gave the request a unit of its team's limit and a slot of a
/// backend server. The tracker owns both until it releases them.
struct RequestAdmitted {
  BackendServerName server;
};

/// The queue refused the request; it holds no units.
struct RequestNotAdmitted {
  enum class Reason : std::uint8_t { kQueueFull, kWouldMissDeadline };
  Reason reason = Reason::kQueueFull;
  std::chrono::seconds retry_after{1};
};

/// The IntentBegin was applied, with this outcome.
struct IntentBeginApplied {
  IntentBeginOutcome outcome;
};

/// The IntentBegin wasn't applied and never will be.
struct IntentNotCommitted {};

struct AttemptEnded {
  /// Number from StartAttempt. A result with another number is ignored.
  std::uint32_t attempt = 0;
  AttemptEnd end = AttemptEnd::kWholeAnswer;
  /// Set if `end` is kWholeAnswer.
  BackendServerAnswer answer;
};

struct RequestCancelled {
  /// After kDisconnected a request that must not be repeated runs to its end,
  /// so that its answer is stored for the caller's next try.
  enum class Kind : std::uint8_t { kDisconnected, kRequested };
  Kind kind = Kind::kDisconnected;
};

struct DeadlinePassed {};
struct LeaseLapsed {};

using RequestEvent =
    std::variant<RequestAdmitted, RequestNotAdmitted, IntentBeginApplied,
                 IntentNotCommitted, AttemptEnded, RequestCancelled,
                 DeadlinePassed, LeaseLapsed>;

enum class RefusalReason : std::uint8_t {
  kIntentKeyMissing,
  kIntentKeyTooLong,
  kQueueFull,
  kWouldMissDeadline,
  kDeadlinePassed,
  kLeaseLapsed,
  kCancelled,
  kIntentInProgress,
  kIntentUnknown,
  kIntentKeyReused,
  kIntentsFull,
  kIntentNotCommitted,
  kBackendServerUnavailable,
  kBackendServerFailed,
  kBackendServerStalled,
  kAnswerMismatch,
  kAnswerTruncated,
  kAnswerTooLarge,
};

/// The value of `reason` in the problem document, such as "lease_lapsed".
std::string_view RefusalReasonName(RefusalReason reason);

enum class RefusalOutcome : std::uint8_t { kNotRun, kUnknown };

/// Proposes IntentBegin for the request's key and fingerprint.
struct CommitIntent {};

struct StartAttempt {
  std::uint32_t attempt = 0;
  BackendServerName server;
  /// No byte may be sent at or after this time, the end of the lease or the
  /// deadline.
  TimePoint start_before{};
  /// The exchange is aborted at this time.
  TimePoint deadline{};
  /// Timeout for the answer's first byte on a reused connection; 0 is none.
  Duration reused_stall_limit{};
};

/// The attempt's end is still reported by AttemptEnded.
struct CancelAttempt {
  std::uint32_t attempt = 0;
};

struct AnswerCaller {
  BackendServerAnswer answer;
};

/// Answers the repetition of a completed request with its stored answer.
struct AnswerFromStore {
  StoredAnswer answer;
};

struct RefuseCaller {
  std::uint16_t status = 0;
  RefusalReason reason = RefusalReason::kBackendServerFailed;
  RefusalOutcome outcome = RefusalOutcome::kUnknown;
  /// Value of the Retry-After header; 0 omits it.
  std::chrono::seconds retry_after{0};
};

/// Frees a slot of the server.
struct ReleaseSlot {
  BackendServerName server;
};

/// Frees the unit of the team's limit.
struct ReleaseTeamUnit {};

struct CommitIntentEnd {
  IntentOutcome outcome = IntentOutcome::kUnknown;
  /// Set if the outcome is kCompleted.
  StoredAnswer answer;
};

using RequestAction =
    std::variant<CommitIntent, StartAttempt, CancelAttempt, AnswerCaller,
                 AnswerFromStore, RefuseCaller, ReleaseSlot, ReleaseTeamUnit,
                 CommitIntentEnd>;

/// State machine of one caller's request at an entry. The request is queued at
/// first; the queue's owner removes it from the queue when Handle returns a
/// refusal or Done() is true. Each request is answered or refused exactly once,
/// unless its caller disconnects first.
class RequestTracker {
 public:
  static constexpr std::uint32_t kMaxAttempts = 3;
  /// Lower bound of StartAttempt::reused_stall_limit.
  static constexpr std::chrono::seconds kMinStallLimit{2};

  struct Hooks {
    /// End of this entry's serving lease; called immediately before each
    /// attempt.
    std::function<TimePoint()> serving_until;
    /// Reserves a slot of another server for a retry; empty if there is none.
    std::function<std::optional<BackendServerName>(
        std::span<const BackendServerName> excluded)>
        reserve_another;
    /// Takes a token of the pool's retry budget.
    std::function<bool()> take_retry_token;
    /// Called once for each first attempt.
    std::function<void()> on_first_attempt;
  };

  RequestTracker(RequestArrival arrival, Hooks hooks);

  /// Checks the arrival; call it first. Returns a refusal or nothing.
  std::vector<RequestAction> Start(TimePoint now);

  /// Returns actions, which must be carried out in order.
  std::vector<RequestAction> Handle(RequestEvent event, TimePoint now);

  /// The request has ended and the tracker can be destroyed.
  bool Done() const { return this->state == State::kDone; }

  /// True once the caller was answered, was refused or has disconnected.
  bool Answered() const { return this->answered; }

  const RequestArrival& Arrival() const { return this->arrival; }

 private:
  enum class State : std::uint8_t {
    kQueued,
    /// Holds units; waits for the intent to be committed.
    kCommittingIntent,
    kAttempting,
    /// The caller has been answered or has disconnected; waits for the end of
    /// the attempt.
    kCancelling,
    /// The caller has been answered or has disconnected; the intent may still
    /// be committed.
    kAbandoningIntent,
    kDone,
  };
  using Actions = std::vector<RequestAction>;

  void On(const RequestAdmitted& event, TimePoint now, Actions& actions);
  void On(const RequestNotAdmitted& event, TimePoint now, Actions& actions);
  void On(IntentBeginApplied& event, TimePoint now, Actions& actions);
  void On(const IntentNotCommitted& event, TimePoint now, Actions& actions);
  void On(AttemptEnded& event, TimePoint now, Actions& actions);
  void On(const RequestCancelled& event, TimePoint now, Actions& actions);
  void On(const DeadlinePassed& event, TimePoint now, Actions& actions);
  void On(const LeaseLapsed& event, TimePoint now, Actions& actions);

  /// Refuses the caller and ends what can be ended now.
  void RefuseAndAbandon(std::uint16_t status, RefusalReason reason,
                        Actions& actions);
  /// Ends what can be ended now; the caller has been answered or has
  /// disconnected.
  void Abandon(Actions& actions);
  void TryAttempt(TimePoint now, Actions& actions);
  Duration StallLimit(TimePoint now) const;
  /// False if the request can't be retried.
  bool TryRetry(AttemptEnd end, TimePoint now, Actions& actions);
  bool MayRetry(AttemptEnd end, TimePoint now) const;
  void Refuse(std::uint16_t status, RefusalReason reason, Actions& actions,
              std::chrono::seconds retry_after = std::chrono::seconds(0));
  RefusalOutcome OutcomeFor(RefusalReason reason) const;
  void RefuseAfter(AttemptEnd end, Actions& actions);
  void Complete(BackendServerAnswer&& answer, Actions& actions);
  /// Ends an open intent without an answer.
  void EndIntent(Actions& actions);
  void ReleaseUnits(Actions& actions);
  void ReleaseServerSlot(Actions& actions);
  void Finish(Actions& actions);

  RequestArrival arrival;
  Hooks hooks;
  State state = State::kQueued;
  bool answered = false;
  bool holds_team_unit = false;
  std::optional<BackendServerName> slot_server;
  /// The intent has begun and hasn't ended.
  bool intent_open = false;
  /// An attempt that has ended may have run.
  bool may_have_run = false;
  bool attempt_in_progress = false;
  std::uint32_t attempts = 0;
  std::vector<BackendServerName> tried;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_ROUTING_REQUEST_TRACKER_H_
