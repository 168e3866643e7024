#ifndef MIMOSASTAGE_NODE_NODE_H_
#define MIMOSASTAGE_NODE_NODE_H_

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "mimosastage/base/timer_service.h"
#include "mimosastage/http/http_server.h"
#include "mimosastage/node/lending_service.h"
#include "mimosastage/node/replication_service.h"
#include "mimosastage/node/request_service.h"
#include "mimosastage/operators/operator_api.h"
#include "mimosastage/settings/settings.h"
#include "mimosastage/telemetry/metrics.h"

namespace mimosastage {

/// The logic of one daemon, without sockets, files, threads or a clock. The
/// owner passes in events with the current time and implements the hooks. Not
/// thread-safe.
class Node {
 public:
  struct Config {
    Settings settings;
    std::uint64_t seed = 0;
  };

  struct Hooks {
    std::function<void(DaemonId to, std::string&& message)> send;
    std::function<void(DurableWrite&& write)> persist;
    /// Returns false if the exchange couldn't be queued.
    std::function<bool(ExchangeRequest&& request)> start_exchange;
    std::function<void(std::uint64_t exchange)> cancel_exchange;
    std::function<void(std::uint64_t request, HttpAnswer&& answer)>
        answer_caller;
    std::function<void(std::uint64_t request, HttpAnswer&& answer)>
        answer_operator;
    std::function<WallTime()> wall_time;
    /// Returns an id that no earlier session of this daemon had.
    std::function<SessionId()> new_session;
  };

  /// `metrics` must outlive the node.
  Node(Config config, Hooks hooks, Metrics& metrics);

  /// `image` is the content of the disk; empty if the daemon isn't a voter.
  void Start(std::optional<DurableImage> image, TimePoint now);

  void OnDaemonMessage(DaemonId from, std::string&& message, TimePoint now);
  void OnLinkState(DaemonId peer, bool up, TimePoint now);
  void OnStorageSynced(std::uint64_t ticket, TimePoint now);
  void OnCallerRequest(HttpRequest&& request, TimePoint now);
  void OnCallerDisconnect(std::uint64_t request, TimePoint now);
  void OnOperatorRequest(HttpRequest&& request, TimePoint now);
  void OnExchangeResult(ExchangeResult&& result, TimePoint now);

  /// Runs the timers that are due and admits the requests that earlier events
  /// made admissible. Call after each batch of events and at NextDue.
  void Advance(TimePoint now);
  std::optional<TimePoint> NextDue() const { return this->timers.NextDue(); }

  /// Begins a planned stop: the daemon is unready immediately, refuses new
  /// requests after the setting `load_balancer_wait`, finishes the accepted
  /// ones and then ends its session, which returns its units.
  void BeginShutdown(TimePoint now);
  /// True once a planned stop is complete.
  bool Stopped() const { return this->stopped; }
  /// Number of requests that an immediate stop would interrupt.
  std::size_t OpenRequests() const { return this->requests.OpenCount(); }

  bool Ready(TimePoint now) const;
  const ReplicationService& Replication() const { return this->replication; }

 private:
  ReplicationService::Settings ReplicationSettings() const;
  ReplicationService::Hooks ReplicationHooks();
  RequestService::Settings RequestSettings() const;
  RequestService::Hooks RequestHooks();
  LendingService::Settings LendingSettings() const;
  LendingService::Hooks LendingHooks();
  OperatorHooks MakeOperatorHooks();
  void ProposeForOperator(const Command& command,
                          const OperatorHooks::ProposalDone& done);
  void OnAnnouncement(const std::string& body,
                      const OperatorHooks::ReplyDone& done);
  DaemonStatus Status() const;
  std::vector<MemberStatus> Members() const;
  std::shared_ptr<const AppliedState> CurrentAppliedState();

  void ScheduleTimers(TimePoint now);
  void SendTo(DaemonId to, const DaemonMessage& message);
  void SendToOthers(const DaemonMessage& message);

  void OnApplied(LogIndex index, const Command& command,
                 const Outcome& outcome);
  void OnRestored();
  void OnLeaderChanged(std::optional<DaemonId> leader);
  void RefreshTables();
  void RefreshMemberships();
  void BeginSession();
  void ReplaceSession();
  void ProposeReliably(const Command& command);

  void OnAnnouncements(DaemonId from, const AnnouncementBytes& message,
                       TimePoint now);
  void OnDemand(const DemandBytes& message, TimePoint now);
  void OnLenderNotice(const LenderNotice& notice);
  void OnDirectoryChange();
  void TickReplication(TimePoint now);
  void LendingRound(TimePoint now);
  void SendDemand(TimePoint now);
  void SendAnnouncements(TimePoint now);
  void ExpireQueues(TimePoint now);
  void ExpireDirectory(TimePoint now);
  void ExpireIntents(TimePoint now);
  void UpdateGauges(TimePoint now);
  void ReportLeaseAndView(TimePoint now);
  void ContinueShutdown(TimePoint now);
  void CountDrop(std::string_view reason);

  Config config;
  Hooks hooks;
  Metrics& metrics;
  TimePoint last_now{};
  TimerService timers;
  BackendServerDirectory directory;
  AllowanceHolder holder;
  ReplicationService replication;
  LendingService lending;
  RequestService requests;
  OperatorApi operators;
  std::set<DaemonId> connected_peers;
  std::shared_ptr<const AppliedState> applied_state;
  LogIndex applied_state_index = 0;
  std::vector<TimerService::Subscription> subscriptions;
  Session session;
  /// The SessionStart of `session` is applied.
  bool session_alive = false;
  bool reported_serving = false;
  TimePoint last_announcements{};
  ViewNumber reported_view = 0;
  std::optional<TimePoint> shutdown_began;
  bool session_end_proposed = false;
  bool stopped = false;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_NODE_NODE_H_
