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

/// Whose key a caller presented.
struct KeyOwner {
  TeamName team;
  ClientName client;
};

/// Serves the callers of one entry: checks keys and lease, queues requests,
/// and carries out what each request's RequestTracker decides.
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
    std::function<std::uint32_t(const TeamName&)> team_share;
    /// End of the serving lease; in the past without one.
    std::function<TimePoint(TimePoint now)> serving_until;
    /// The session that intents begin under.
    std::function<Session()> session;
    std::function<WallTime()> wall_time;

    // Effects.
    /// False if the command was not proposed and never will be. `done` gets
    /// IntentBeginApplied or IntentNotCommitted.
    std::function<bool(const IntentBegin& command,
                       std::function<void(RequestEvent&&)> done)>
        begin_intent;
    std::function<void(const IntentEnd& command)> end_intent;
    /// False if the exchange could not be handed over; nothing was sent then.
    std::function<bool(ExchangeRequest&& request)> start_exchange;
    std::function<void(std::uint64_t exchange)> cancel_exchange;
    std::function<void(std::uint64_t request, HttpAnswer&& answer)> answer;

    // Counters; each name is stable.
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

  /// The holder says that units of the resource became free.
  void OnAvailable(const Resource& resource);
  /// Servers came or went, or rows changed; queues are looked at again.
  void OnDirectoryChange();
  void OnTablesChanged(const std::vector<Team>& teams, const Policy& policy);
  void SetFraction(const TeamFraction& fraction);
  void Forget(const BackendServerName& server);

  /// Starts what can start; called after each batch of events.
  void Pump(TimePoint now);
  /// Refuses what waited too long; called every 100 ms or more often.
  void Expire(TimePoint now);

  /// Refuses new requests from now on; those accepted are finished.
  void StopAccepting() { this->accepting = false; }
  /// Requests accepted and not finished.
  std::size_t Open() const { return this->requests.size(); }
  /// Calls `report` for each pool with its requests in the queue and at
  /// backend servers.
  void ReportQueues(
      const std::function<void(const PoolName& pool, std::size_t waiting,
                               std::size_t running)>& report) const;

 private:
  struct PoolQueue {
    std::unique_ptr<FairQueue> queue;
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
    /// The server that the next attempt was chosen for.
    std::optional<BackendServerPicker::Choice> choice;
    std::optional<std::uint64_t> exchange;
    std::uint32_t attempt = 0;
    /// Set if the queue refused the request.
    std::string_view queue_reason;
  };

  struct Exchange {
    std::uint64_t request = 0;
    std::uint32_t attempt = 0;
    BackendServerName server;
  };

  /// Checks in the order of their cost; the refusal, or the parts of the
  /// request that are needed further on.
  std::optional<CallerRefusal> Check(const CallerRequest& request,
                                     OpenRequest& open, TimePoint now) const;
  void Open(OpenRequest&& open, TimePoint now);
  void Enqueue(std::uint64_t id, TimePoint now);
  FairQueue& QueueOf(const PoolName& pool);
  std::uint32_t HeldSlots(const PoolName& pool) const;
  void FeedQueueRefusals(TimePoint now);
  void FeedFailures(TimePoint now);
  bool HasDeferredEvents() const;
  void PumpPool(const PoolName& pool, PoolQueue& state, TimePoint now);
  void Admit(const QueuedRequest& queued, OpenRequest& open, TimePoint now);
  void OnQueueRefusal(std::uint64_t id, const Refusal& refusal);
  std::optional<BackendServerName> ReserveAnother(
      std::uint64_t id, std::span<const BackendServerName> excluded);

  void Feed(std::uint64_t id, RequestEvent event, TimePoint now);
  void CarryOut(std::uint64_t id, std::vector<RequestAction>&& actions,
                TimePoint now);
  void Do(std::uint64_t id, CommitIntent& action, TimePoint now);
  void Do(std::uint64_t id, StartAttempt& action, TimePoint now);
  void Do(std::uint64_t id, CancelAttempt& action, TimePoint now);
  void Do(std::uint64_t id, AnswerCaller& action, TimePoint now);
  void Do(std::uint64_t id, AnswerFromStore& action, TimePoint now);
  void Do(std::uint64_t id, RefuseCaller& action, TimePoint now);
  void Do(std::uint64_t id, ReleaseSlot& action, TimePoint now);
  void Do(std::uint64_t id, ReleaseTeamUnit& action, TimePoint now);
  void Do(std::uint64_t id, CommitIntentEnd& action, TimePoint now);
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
  std::uint64_t next_exchange = 1;
  TimePoint last_now{};
  std::map<PoolName, PoolQueue> queues;
  std::map<TeamName, std::uint32_t> shares;
  std::unordered_map<std::uint64_t, OpenRequest> requests;
  std::unordered_map<std::uint64_t, Exchange> exchanges;
  /// Open requests with an Idempotency-Key, for explicit cancellation.
  std::multimap<IntentKey, std::uint64_t> by_key;
  /// Refusals that a queue decided while it was being called.
  std::vector<std::pair<std::uint64_t, Refusal>> queue_refusals;
  /// Intents that could not be proposed.
  std::vector<std::uint64_t> failed_intents;
  /// Exchanges that could not be handed over.
  std::vector<ExchangeResult> failed_exchanges;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_NODE_REQUEST_SERVICE_H_
