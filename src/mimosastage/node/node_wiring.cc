// The settings and hooks with which Node connects its services.
#include <utility>

#include "mimosastage/node/node.h"
#include "mimosastage/state/state_error.h"
#include "mimosastage/telemetry/log.h"

namespace mimosastage {
namespace {

/// Converts the outcome of an IntentBegin to the event for its request.
RequestEvent ToEvent(const Outcome& outcome) {
  IntentBeginOutcome begun;
  begun.answer = outcome.answer;
  if (!outcome.error) {
    return IntentBeginApplied{begun};
  }
  switch (AsStateError(outcome.error)) {
    case StateError::kIntentInProgress:
      begun.result = IntentBeginResult::kInProgress;
      return IntentBeginApplied{begun};
    case StateError::kIntentCompleted:
      begun.result = IntentBeginResult::kCompleted;
      return IntentBeginApplied{begun};
    case StateError::kIntentUnknown:
      begun.result = IntentBeginResult::kUnknown;
      return IntentBeginApplied{begun};
    case StateError::kIntentDiffers:
      begun.result = IntentBeginResult::kFingerprintDiffers;
      return IntentBeginApplied{begun};
    case StateError::kIntentsFull:
      begun.result = IntentBeginResult::kFull;
      return IntentBeginApplied{begun};
    default:
      return IntentNotCommitted{};
  }
}

}  // namespace

ReplicationService::Settings Node::ReplicationSettings() const {
  const Settings& settings = this->config.settings;
  ReplicationService::Settings replication_settings;
  replication_settings.replica.self = settings.self;
  replication_settings.replica.voters = settings.Voters();
  for (std::size_t i = 0; i < settings.daemons.size(); ++i) {
    if (!settings.daemons[i].voter) {
      replication_settings.replica.followers.push_back(
          DaemonId{static_cast<std::uint16_t>(i)});
    }
  }
  replication_settings.replica.seed = this->config.seed;
  replication_settings.replica.timing.heartbeat_interval =
      settings.timing.heartbeat;
  replication_settings.lease.length = settings.timing.lease;
  replication_settings.lease.renewal = settings.timing.lease / 4;
  replication_settings.proposer = this->holder.session().id;
  return replication_settings;
}

ReplicationService::Hooks Node::ReplicationHooks() {
  ReplicationService::Hooks replication_hooks;
  replication_hooks.send = [this](DaemonId to, const DaemonMessage& message) {
    this->SendTo(to, message);
  };
  replication_hooks.persist = [this](DurableWrite&& write) {
    this->hooks.persist(std::move(write));
  };
  replication_hooks.on_applied = [this](LogIndex index, const Command& command,
                                        const Outcome& outcome) {
    this->OnApplied(index, command, outcome);
  };
  replication_hooks.on_restored = [this] { this->OnRestored(); };
  replication_hooks.may_grant_lease = [this](Session requester, TimePoint now) {
    return this->lending.OnLeaseRequest(requester, now);
  };
  replication_hooks.on_leader_changed = [this](std::optional<DaemonId> leader) {
    this->OnLeaderChanged(leader);
  };
  replication_hooks.count_drop = [this](std::string_view reason) {
    this->CountDrop(reason);
  };
  return replication_hooks;
}

LendingService::Settings Node::LendingSettings() const {
  LendingService::Settings lending_settings;
  lending_settings.lender.lease = this->config.settings.timing.lease;
  for (const DaemonSettings& daemon : this->config.settings.daemons) {
    lending_settings.availability_zones.push_back(daemon.availability_zone);
  }
  return lending_settings;
}

LendingService::Hooks Node::LendingHooks() {
  LendingService::Hooks lending_hooks;
  lending_hooks.propose_moves = [this](const AllowanceMoves& moves,
                                       std::function<void(bool)> finished) {
    this->replication.ProposeOnce(moves, this->last_now,
                                  [finished = std::move(finished)](
                                      const std::optional<Outcome>& outcome) {
                                    finished(outcome.has_value());
                                  });
  };
  lending_hooks.propose_end = [this](const SessionEnd& command) {
    this->replication.ProposeOnce(command, this->last_now,
                                  [](const std::optional<Outcome>&) {});
  };
  lending_hooks.send_notice = [this](const LenderNotice& notice) {
    if (notice.session.daemon == this->config.settings.self) {
      this->OnLenderNotice(notice);
    } else {
      this->SendTo(notice.session.daemon,
                   RecallBytes{EncodeLenderNotice(notice)});
    }
  };
  return lending_hooks;
}

RequestService::Settings Node::RequestSettings() const {
  const Settings& settings = this->config.settings;
  RequestService::Settings request_settings;
  request_settings.self = settings.self;
  request_settings.availability_zone = settings.availability_zone;
  request_settings.entry_count =
      static_cast<std::uint32_t>(settings.daemons.size());
  request_settings.queue.max_waiting = settings.limits.queue_length;
  request_settings.seed = this->config.seed + 1;
  return request_settings;
}

RequestService::Hooks Node::RequestHooks() {
  RequestService::Hooks request_hooks;
  request_hooks.find_route =
      [this](const RouteName& name) -> std::optional<Route> {
    const Route* route =
        this->replication.State().Tables().FindRoute(name.str());
    return route == nullptr ? std::nullopt : std::optional<Route>(*route);
  };
  request_hooks.find_key =
      [this](const std::string& key) -> std::optional<KeyOwner> {
    const Key* found = this->replication.State().Keys().FindBySecret(key);
    return found == nullptr
               ? std::nullopt
               : std::optional<KeyOwner>(KeyOwner{found->team, found->client});
  };
  request_hooks.serving_until = [this](TimePoint now) {
    return this->replication.ServingUntil(now);
  };
  request_hooks.session = [this] { return this->session; };
  request_hooks.wall_time = this->hooks.wall_time;
  request_hooks.begin_intent = [this](
                                   const IntentBegin& command,
                                   std::function<void(RequestEvent &&)> done) {
    return this->replication.Propose(
        command, this->last_now, TimePoint::max(),
        [done = std::move(done)](const std::optional<Outcome>& outcome) {
          done(ToEvent(*outcome));
        });
  };
  request_hooks.end_intent = [this](const IntentEnd& command) {
    this->ProposeReliably(command);
  };
  request_hooks.start_exchange = this->hooks.start_exchange;
  request_hooks.cancel_exchange = this->hooks.cancel_exchange;
  request_hooks.answer = [this](std::uint64_t request, HttpAnswer&& answer) {
    this->metrics.Add(metrics::kRequests, std::to_string(answer.status));
    this->hooks.answer_caller(request, std::move(answer));
  };
  request_hooks.count_refusal = [this](std::string_view reason) {
    this->metrics.Add(metrics::kRefusals, reason);
  };
  request_hooks.count_retry = [this](std::string_view reason) {
    this->metrics.Add(metrics::kRetries, reason);
  };
  request_hooks.count_ejection = [this](const BackendServerName& server,
                                        std::string_view reason) {
    this->metrics.Add(metrics::kEjections, reason);
    LogEvent(LogSeverity::kWarning, events::kBackendServerEjected,
             "a backend server is ejected until a probe succeeds")
        .With("backend_server", server.str())
        .With("reason", reason);
  };
  request_hooks.record_wait = [this](const RouteName& route, Duration wait) {
    this->metrics.Observe(metrics::kWaitTime, wait, route.str());
  };
  request_hooks.record_service = [this](const RouteName& route,
                                        Duration service) {
    this->metrics.Observe(metrics::kServiceTime, service, route.str());
  };
  return request_hooks;
}

}  // namespace mimosastage
