#ifndef MIMOSASTAGE_NODE_REQUEST_SERVICE_H_
#define MIMOSASTAGE_NODE_REQUEST_SERVICE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "mimosastage/admission/allowance_holder.h"
#include "mimosastage/admission/fair_queue.h"
#include "mimosastage/backend_servers/exchange_client.h"
#include "mimosastage/base/time.h"
#include "mimosastage/base/timer_service.h"
#include "mimosastage/callers/caller_request.h"
#include "mimosastage/routing/backend_server_directory.h"
#include "mimosastage/routing/backend_server_picker.h"
#include "mimosastage/routing/ejection.h"
#include "mimosastage/routing/request_tracker.h"
#include "mimosastage/routing/retry_budget.h"
#include "mimosastage/state/commands.h"
#include "mimosastage/state/tables.h"

namespace mimosastage {

/// The team and client that a caller's key belongs to.
struct KeyOwner {
  TeamName team;
  ClientName client;
};

/// Serves the callers of one entry: checks keys and the serving lease, queues
/// requests, and executes the actions of each request's RequestTracker.
class RequestService {
 public:
  struct Settings {
    DaemonId self{};
    AvailabilityZone availability_zone;
    std::uint32_t entry_count = 1;
    FairQueue::Settings queue;
    std::uint64_t seed = 0;
  };

  struct Hooks {
    // Lookups in the state that this daemon has applied.
    std::function<std::optional<Route>(const RouteName&)> find_route;
    std::function<std::optional<KeyOwner>(const std::string& key)> find_key;
    /// End of the serving lease; in the past without one.
    std::function<TimePoint(TimePoint now)> serving_until;
    /// The session in which intents begin.
    std::function<Session()> session;
    std::function<WallTime()> wall_time;

    // Effects.
    /// Returns false if the command is never proposed. `done` gets
    /// IntentBeginApplied or IntentNotCommitted.
    std::function<bool(const IntentBegin& command,
                       std::function<void(RequestEvent&&)> done)>
        begin_intent;
    std::function<void(const IntentEnd& command)> end_intent;
    /// Returns false if the exchange couldn't be queued; nothing is sent then.
    std::function<bool(ExchangeRequest&& request)> start_exchange;
    std::function<void(std::uint64_t exchange)> cancel_exchange;
    std::function<void(std::uint64_t request, HttpAnswer&& answer)> answer;

    // Metrics; the reasons are label values and must not change.
    std::function<void(std::string_view reason)> count_refusal;
    std::function<void(std::string_view reason)> count_retry;
    std::function<void(const BackendServerName& server,
                       std::string_view reason)>
        count_ejection;
    std::function<void(const RouteName& route, Duration wait)> record_wait;
    std::function<void(const RouteName& route, Duration service)>
        record_service;
  };

  /// The references must outlive the service.
  RequestService(Settings settings, Hooks hooks,
                 const BackendServerDirectory& directory,
                 AllowanceHolder& holder, TimerService& timers);

  void OnRequest(CallerRequest&& request, TimePoint now);
  void OnCancel(const CancelRequest& request, TimePoint now);
  void OnDisconnect(std::uint64_t request, TimePoint now);
  void OnExchangeResult(ExchangeResult&& result, TimePoint now);

  /// Units of the resource became available in the AllowanceHolder.
  void OnAvailable(const Resource& resource);
  /// Backend servers or tables changed. Checks all queues again at the next
  /// AdmitQueued.
  void OnDirectoryChange();
  void OnTablesChanged(const std::vector<Team>& teams, const Policy& policy);
  void SetFraction(const TeamFraction& fraction);
  /// All units that the team's, or the pool's, requests need are held by
  /// sessions that have ended; refuses those that wait here.
  void OnTeamExhausted(const TeamName& team);
  void OnPoolExhausted(const PoolName& pool);
  void OnServerGone(const BackendServerName& server);

  /// Starts the queued requests that can be admitted, and refuses all queued
  /// requests without a serving lease. Call after each batch of events.
  void AdmitQueued(TimePoint now);
  /// Refuses requests that waited too long in a queue. Call at least every
  /// 100 ms.
  void Expire(TimePoint now);

  /// Refuses new requests from now on; accepted ones are finished.
  void StopAccepting() { this->accepting = false; }
  /// Number of requests that are accepted and not finished.
  std::size_t OpenCount() const { return this->requests.size(); }
  /// Calls `report` for each pool with the number of its requests in the queue
  /// and at backend servers.
  void ReportQueues(
      const std::function<void(const PoolName& pool, std::size_t waiting,
                               std::size_t running)>& report) const;

 private:
  struct PoolQueue {
    std::unique_ptr<FairQueue> queue;
    /// Queued requests may have become admissible.
    bool dirty = true;
  };

  struct OpenRequest {
    CallerRequest request;
    Route route;
    KeyOwner owner;
    IntentKey intent;
    TimePoint arrived{};
    TimePoint started{};
    TimePoint deadline{};
    std::unique_ptr<RequestTracker> tracker;
    TimerService::Subscription deadline_timer;
    /// The server chosen for the next attempt.
    std::optional<BackendServerPicker::Choice> choice;
    std::optional<std::uint64_t> exchange;
    std::uint32_t attempt = 0;
    /// Why the queue refused the request; empty if it didn't.
    std::string_view queue_reason;
  };

  struct Exchange {
    std::uint64_t request = 0;
    std::uint32_t attempt = 0;
    BackendServerName server;
  };

  /// Runs the checks in the order of their cost. Returns the refusal, or sets
  /// the route and the key's owner in `open`.
  std::optional<CallerRefusal> Validate(const CallerRequest& request,
                                        OpenRequest& open, TimePoint now) const;
  void StartRequest(OpenRequest&& open, TimePoint now);
  void Enqueue(std::uint64_t id, TimePoint now);
  FairQueue& QueueOf(const PoolName& pool);
  std::uint32_t HeldSlots(const PoolName& pool) const;
  void HandleQueueRefusals(TimePoint now);
  void HandleFailures(TimePoint now);
  /// Refuses all requests without an attempt when the lease has lapsed. One
  /// that waits for its intent isn't in a queue, and without a quorum the
  /// intent isn't committed.
  void RefuseNotStarted(TimePoint now);
  bool HasDeferredEvents() const;
  void AdmitQueuedOf(const PoolName& pool, PoolQueue& state, TimePoint now);
  void Admit(const QueuedRequest& queued, OpenRequest& open, TimePoint now);
  void OnQueueRefusal(std::uint64_t id, const Refusal& refusal);
  std::optional<BackendServerName> ReserveAnother(
      std::uint64_t id, std::span<const BackendServerName> excluded);

  void HandleEvent(std::uint64_t id, RequestEvent event, TimePoint now);
  void ExecuteActions(std::uint64_t id, std::vector<RequestAction>&& actions,
                      TimePoint now);
  void Execute(std::uint64_t id, CommitIntent& action, TimePoint now);
  void Execute(std::uint64_t id, StartAttempt& action, TimePoint now);
  void Execute(std::uint64_t id, CancelAttempt& action, TimePoint now);
  void Execute(std::uint64_t id, AnswerCaller& action, TimePoint now);
  void Execute(std::uint64_t id, AnswerFromStore& action, TimePoint now);
  void Execute(std::uint64_t id, RefuseCaller& action, TimePoint now);
  void Execute(std::uint64_t id, ReleaseSlot& action, TimePoint now);
  void Execute(std::uint64_t id, ReleaseTeamUnit& action, TimePoint now);
  void Execute(std::uint64_t id, CommitIntentEnd& action, TimePoint now);
  void CloseIfDone(std::uint64_t id, TimePoint now);
  void Refuse(std::uint64_t id, const CallerRefusal& refusal);

  Settings settings;
  Hooks hooks;
  const BackendServerDirectory& directory;
  AllowanceHolder& holder;
  TimerService& timers;
  Ejection ejection;
  RetryBudget retry_budget;
  BackendServerPicker picker;
  bool accepting = true;
  /// Whether this entry held a serving lease at the last AdmitQueued.
  bool was_serving = false;
  std::uint64_t next_exchange = 1;
  TimePoint last_now{};
  std::map<PoolName, PoolQueue> queues;
  std::map<TeamName, std::uint32_t> shares;
  std::unordered_map<std::uint64_t, OpenRequest> requests;
  std::unordered_map<std::uint64_t, Exchange> exchanges;
  /// Open requests with an Idempotency-Key, for explicit cancellation.
  std::multimap<IntentKey, std::uint64_t> requests_by_intent;
  /// Refusals by a queue that the trackers get once the queue's call returns.
  std::vector<std::pair<std::uint64_t, Refusal>> queue_refusals;
  /// Intents that could not be proposed.
  std::vector<std::uint64_t> failed_intents;
  /// Exchanges that couldn't be started.
  std::vector<ExchangeResult> failed_exchanges;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_NODE_REQUEST_SERVICE_H_
