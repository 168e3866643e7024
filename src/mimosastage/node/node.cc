#include "mimosastage/node/node.h"

#include <algorithm>
#include <utility>

#include "mimosastage/telemetry/log.h"

namespace mimosastage {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kReplicationTickInterval{20};
constexpr milliseconds kLendingInterval{100};
constexpr milliseconds kDemandCheckInterval{20};
constexpr milliseconds kAnnouncementCheckInterval{100};
/// Renewals are delayed by this or by half of the interval between a server's
/// announcements, whichever is longer, so that one message carries many.
constexpr milliseconds kMinRenewalInterval{500};
constexpr milliseconds kQueueCheckInterval{50};
constexpr milliseconds kDirectoryCheckInterval{250};
constexpr seconds kGaugeInterval{1};
constexpr seconds kIntentExpiryInterval{600};
constexpr std::chrono::hours kIntentRetention{24};
/// How long a planned stop waits until its SessionEnd is applied.
constexpr seconds kSessionEndTimeout{2};

}  // namespace

Node::Node(Config config, Hooks hooks, Metrics& metrics)
    : config(std::move(config)),
      hooks(std::move(hooks)),
      metrics(metrics),
      holder(AllowanceHolder::Settings{},
             Session{this->config.settings.self, this->hooks.new_session()},
             [this](const Resource& resource) {
               this->requests.OnAvailable(resource);
             }),
      replication(this->ReplicationSettings(), this->ReplicationHooks()),
      lending(this->LendingSettings(), this->LendingHooks()),
      requests(this->RequestSettings(), this->RequestHooks(), this->directory,
               this->holder, this->timers),
      operators(OperatorApi::Keys{this->config.settings.operator_key.Reveal(),
                                  this->config.settings.platform_key.Reveal()},
                this->MakeOperatorHooks()),
      session(this->holder.session()) {}

void Node::Start(std::optional<DurableImage> image, TimePoint now) {
  this->last_now = now;
  this->replication.Start(std::move(image), now);
  this->BeginSession();
  this->ScheduleTimers(now);
}

void Node::ScheduleTimers(TimePoint now) {
  const auto every = [&](Duration period, void (Node::*action)(TimePoint)) {
    this->subscriptions.push_back(this->timers.Every(
        now + period, period,
        [this, action](TimePoint due) { (this->*action)(due); }));
  };
  every(kReplicationTickInterval, &Node::TickReplication);
  every(kLendingInterval, &Node::LendingRound);
  every(kDemandCheckInterval, &Node::SendDemand);
  every(kAnnouncementCheckInterval, &Node::SendAnnouncements);
  every(kQueueCheckInterval, &Node::ExpireQueues);
  every(kDirectoryCheckInterval, &Node::ExpireDirectory);
  every(kGaugeInterval, &Node::UpdateGauges);
  every(kIntentExpiryInterval, &Node::ExpireIntents);
}

void Node::BeginSession() {
  this->session_alive = false;
  this->replication.SetSession(this->session);
  this->ProposeReliably(SessionStart{this->session});
}

void Node::ProposeReliably(const Command& command) {
  this->replication.Propose(command, this->last_now, TimePoint::max(),
                            [](const std::optional<Outcome>&) {});
}

void Node::OnDaemonMessage(DaemonId from, std::string&& message,
                           TimePoint now) {
  this->last_now = now;
  const auto decoded = DecodeMessage(message);
  if (!decoded.has_value()) {
    this->CountDrop("malformed_daemon_message");
    return;
  }
  if (const auto* replicated = std::get_if<ReplicationBytes>(&*decoded)) {
    this->replication.OnReplication(from, *replicated, now);
  } else if (const auto* proposal = std::get_if<Proposal>(&*decoded)) {
    this->replication.OnProposal(*proposal, now);
  } else if (const auto* demand = std::get_if<DemandBytes>(&*decoded)) {
    this->OnDemand(*demand, now);
  } else if (const auto* recall = std::get_if<RecallBytes>(&*decoded)) {
    const auto notice = DecodeLenderNotice(recall->bytes);
    if (notice.has_value()) {
      this->OnLenderNotice(*notice);
    } else {
      this->CountDrop("malformed_notice");
    }
  } else if (const auto* announcements =
                 std::get_if<AnnouncementBytes>(&*decoded)) {
    this->OnAnnouncements(from, *announcements, now);
  }
}

void Node::OnLinkState(DaemonId peer, bool up, TimePoint now) {
  this->last_now = now;
  if (!up) {
    this->connected_peers.erase(peer);
  } else {
    this->connected_peers.insert(peer);
    // The peer may have missed all earlier announcements.
    this->SendTo(peer, AnnouncementBytes{EncodeAnnouncementDelta(
                           this->directory.FullDelta(now))});
  }
}

void Node::OnStorageSynced(std::uint64_t ticket, TimePoint now) {
  this->last_now = now;
  this->replication.OnStorageSynced(ticket, now);
}

void Node::OnCallerRequest(HttpRequest&& request, TimePoint now) {
  this->last_now = now;
  const std::uint64_t id = request.id;
  if (request.target == "/readyz" || request.target == "/healthz") {
    HttpAnswer answer;
    answer.status =
        request.target == "/healthz" || this->Ready(now) ? 200 : 503;
    this->hooks.answer_caller(id, std::move(answer));
    return;
  }
  auto parsed = ParseCallerRequest(std::move(request));
  if (auto* caller = std::get_if<CallerRequest>(&parsed)) {
    this->requests.OnRequest(std::move(*caller), now);
  } else if (const auto* cancel = std::get_if<CancelRequest>(&parsed)) {
    this->requests.OnCancel(*cancel, now);
  } else {
    const auto& refusal = std::get<CallerRefusal>(parsed);
    this->metrics.Add(metrics::kRefusals, refusal.reason);
    this->hooks.answer_caller(id, ToHttpAnswer(refusal));
  }
}

void Node::OnCallerDisconnect(std::uint64_t request, TimePoint now) {
  this->last_now = now;
  this->requests.OnDisconnect(request, now);
}

void Node::OnExchangeResult(ExchangeResult&& result, TimePoint now) {
  this->last_now = now;
  this->requests.OnExchangeResult(std::move(result), now);
}

void Node::Advance(TimePoint now) {
  this->last_now = now;
  this->timers.RunDue(now);
  this->requests.AdmitQueued(now);
  this->ReportLeaseAndView(now);
  this->ContinueShutdown(now);
}

bool Node::Ready(TimePoint now) const {
  return !this->shutdown_began.has_value() &&
         this->replication.ServingUntil(now) > now;
}

void Node::SendTo(DaemonId to, const DaemonMessage& message) {
  this->hooks.send(to, EncodeMessage(message));
}

void Node::SendToOthers(const DaemonMessage& message) {
  const std::string bytes = EncodeMessage(message);
  for (std::size_t i = 0; i < this->config.settings.daemons.size(); ++i) {
    const DaemonId daemon{static_cast<std::uint16_t>(i)};
    if (daemon != this->config.settings.self) {
      this->hooks.send(daemon, std::string(bytes));
    }
  }
}

void Node::OnApplied(LogIndex index, const Command& command,
                     const Outcome& outcome) {
  if (const auto* moves = std::get_if<AllowanceMoves>(&command)) {
    this->holder.Update(
        index, this->replication.State().Allowances().HoldingsOf(this->session,
                                                                 *moves));
  } else if (const auto* start = std::get_if<SessionStart>(&command)) {
    this->session_alive =
        this->session_alive || (start->session == this->session);
  } else if (const auto* end = std::get_if<SessionEnd>(&command)) {
    if (end->session == this->session) {
      this->ReplaceSession();
    }
  } else if (const auto* change = std::get_if<TableChange>(&command)) {
    this->metrics.Add(metrics::kChanges,
                      outcome.error ? "refused" : "accepted");
    if (!outcome.error) {
      this->RefreshTables();
      LogEvent(LogSeverity::kInfo, events::kTableChanged,
               "a table change was applied")
          .With("table", TableName(change->table))
          .With("version", outcome.version)
          .With("change_id", change->change_id);
    }
  } else if (const auto* grant = std::get_if<KeyGrant>(&command)) {
    if (!outcome.error) {
      LogEvent(LogSeverity::kInfo, events::kKeyGranted, "a key was granted")
          .With("key_id", grant->key_id)
          .With("team", grant->team.str())
          .With("change_id", grant->change_id);
    }
  } else if (const auto* revoke = std::get_if<KeyRevoke>(&command)) {
    if (!outcome.error) {
      LogEvent(LogSeverity::kInfo, events::kKeyRevoked, "a key was revoked")
          .With("key_id", revoke->key_id)
          .With("change_id", revoke->change_id);
    }
  } else if (const auto* moved = std::get_if<InstanceTransition>(&command)) {
    if (!outcome.error) {
      this->directory.RequireMembership(
          BackendServerName(moved->instance.str()), moved->pool, moved->epoch);
      this->OnDirectoryChange();
    }
  }
}

void Node::ReplaceSession() {
  if (this->shutdown_began.has_value()) {
    return;
  }
  this->session =
      Session{this->config.settings.self, this->hooks.new_session()};
  this->holder.StartSession(this->session);
  this->BeginSession();
}

void Node::OnRestored() {
  LogEvent(LogSeverity::kInfo, events::kSnapshotInstalled,
           "the state was replaced by a snapshot")
      .With("applied", this->replication.State().Applied());
  const AllowanceLedger& ledger = this->replication.State().Allowances();
  if (this->session_alive && !ledger.IsAlive(this->session)) {
    this->ReplaceSession();
  }
  this->session_alive = ledger.IsAlive(this->session);
  this->holder.Update(this->replication.Applied(),
                      ledger.HoldingsOf(this->session));
  this->RefreshTables();
  this->RefreshMemberships();
}

void Node::OnLeaderChanged(std::optional<DaemonId> leader) {
  if (leader.has_value()) {
    this->holder.RequestFullReport();
  }
}

void Node::RefreshTables() {
  const TableSet& tables = this->replication.State().Tables();
  std::vector<Team> teams;
  for (const auto& [name, team] : tables.AllTeams()) {
    teams.push_back(team);
  }
  milliseconds longest{0};
  for (const auto& [name, route] : tables.AllRoutes()) {
    longest = std::max(longest, route.deadline);
  }
  this->lending.OnTablesChanged(teams, longest);
  this->requests.OnTablesChanged(teams, tables.CurrentPolicy());
  this->RefreshMemberships();
}

void Node::RefreshMemberships() {
  this->directory.ForgetMemberships();
  for (const auto& [name, record] :
       this->replication.State().Instances().All()) {
    this->directory.RequireMembership(BackendServerName(name.str()),
                                      record.pool, record.epoch);
  }
  this->OnDirectoryChange();
}

void Node::OnAnnouncements(DaemonId from, const AnnouncementBytes& message,
                           TimePoint now) {
  const auto delta = DecodeAnnouncementDelta(message.bytes);
  if (!delta.has_value()) {
    this->CountDrop("malformed_announcements");
    return;
  }
  const auto counts = this->directory.OnDelta(from, *delta, now);
  for (std::size_t i = 0; i < counts.refused; ++i) {
    this->CountDrop("refused_announcement");
  }
  if (!delta->changed.empty() || !delta->gone.empty()) {
    this->OnDirectoryChange();
  }
}

void Node::OnDemand(const DemandBytes& message, TimePoint now) {
  const auto report = DecodeDemandReport(message.bytes);
  if (!report.has_value()) {
    this->CountDrop("malformed_demand");
    return;
  }
  this->lending.OnReport(*report, now);
}

void Node::OnLenderNotice(const LenderNotice& notice) {
  if (notice.session != this->session) {
    this->CountDrop("notice_for_other_session");
    return;
  }
  if (notice.wants_full_report) {
    this->holder.RequestFullReport();
  }
  for (const RecallRequest& recall : notice.recalls) {
    this->holder.Recall(recall);
  }
  for (const TeamFraction& fraction : notice.fractions) {
    this->requests.SetFraction(fraction);
  }
  for (const TeamName& team : notice.exhausted_teams) {
    this->requests.OnTeamExhausted(team);
  }
  for (const PoolName& pool : notice.exhausted_pools) {
    this->requests.OnPoolExhausted(pool);
  }
}

void Node::OnDirectoryChange() {
  std::map<PoolName, std::uint32_t> pool_slots;
  for (const auto& [name, pool] :
       this->replication.State().Tables().AllPools()) {
    pool_slots[pool.name] = pool.slots_per_instance;
  }
  this->lending.OnDirectoryChange(this->directory, pool_slots);
  this->requests.OnDirectoryChange();
}

void Node::TickReplication(TimePoint now) { this->replication.Tick(now); }

void Node::LendingRound(TimePoint now) {
  this->lending.SetLeader(this->replication.IsLeader(), now);
  this->lending.Round(this->replication.State().Allowances(), now);
}

void Node::SendDemand(TimePoint now) {
  const auto leader = this->replication.Leader(now);
  if (!leader.has_value() || !this->session_alive) {
    return;
  }
  if (const auto report = this->holder.TakeReport(now); report.has_value()) {
    if (*leader == this->config.settings.self) {
      this->lending.OnReport(*report, now);
    } else {
      this->SendTo(*leader, DemandBytes{EncodeDemandReport(*report)});
    }
  }
}

void Node::SendAnnouncements(TimePoint now) {
  if (!this->directory.HasUrgentChanges() &&
      now - this->last_announcements <
          std::max<Duration>(kMinRenewalInterval,
                             this->directory.NextInterval() / 2)) {
    return;
  }
  this->last_announcements = now;
  // TakeDelta drops expired servers, so they are logged and removed before.
  this->ExpireDirectory(now);
  const AnnouncementDelta delta = this->directory.TakeDelta(now);
  if (!delta.changed.empty() || !delta.renewed.empty() || !delta.gone.empty()) {
    this->SendToOthers(AnnouncementBytes{EncodeAnnouncementDelta(delta)});
  }
}

void Node::ExpireQueues(TimePoint now) { this->requests.Expire(now); }

void Node::ExpireDirectory(TimePoint now) {
  const auto gone = this->directory.Expire(now);
  if (gone.empty()) {
    return;
  }
  for (const BackendServerName& name : gone) {
    LogEvent(LogSeverity::kWarning, events::kBackendServerGone,
             "backend server no longer announces itself")
        .With("backend_server", name.str());
    this->requests.OnServerGone(name);
  }
  this->OnDirectoryChange();
}

void Node::ExpireIntents(TimePoint now) {
  if (this->replication.IsLeader()) {
    this->replication.ProposeOnce(
        IntentExpiry{this->hooks.wall_time() - kIntentRetention}, now,
        [](const std::optional<Outcome>&) {});
  }
}

void Node::UpdateGauges(TimePoint now) {
  this->metrics.Set(metrics::kReady, this->Ready(now) ? 1 : 0);
  this->metrics.Set(metrics::kView,
                    static_cast<double>(this->replication.View()));
  this->metrics.Set(metrics::kCommitIndex,
                    static_cast<double>(this->replication.Applied()));
  this->requests.ReportQueues(
      [this](const PoolName& pool, std::size_t waiting, std::size_t running) {
        this->metrics.Set(metrics::kQueueLength, static_cast<double>(waiting),
                          pool.str());
        this->metrics.Set(metrics::kRunning, static_cast<double>(running),
                          pool.str());
      });
  for (const auto& [name, pool] :
       this->replication.State().Tables().AllPools()) {
    this->metrics.Set(
        metrics::kBackendServers,
        static_cast<double>(this->directory.ServersOf(pool.name).size()), name);
  }
}

void Node::ReportLeaseAndView(TimePoint now) {
  const bool serving = this->replication.ServingUntil(now) > now;
  if (std::exchange(this->reported_serving, serving) != serving) {
    if (!serving) {
      this->metrics.Add(metrics::kLeaseLapses);
    }
    // A planned stop ends the session and with it the lease; that needs no
    // operator.
    const bool planned = !serving && this->shutdown_began.has_value();
    LogEvent(serving || planned ? LogSeverity::kInfo : LogSeverity::kWarning,
             serving ? events::kLeaseGained : events::kLeaseLapsed,
             serving ? "this entry holds a serving lease"
                     : "the serving lease has lapsed; requests are refused "
                       "until the quorum is reached again");
  }
  if (const ViewNumber view = this->replication.View();
      std::exchange(this->reported_view, view) != view) {
    this->metrics.Add(metrics::kViewChanges);
    LogEvent(LogSeverity::kInfo, events::kViewChanged, "the view has changed")
        .With("view", view);
  }
}

void Node::BeginShutdown(TimePoint now) {
  if (!this->shutdown_began.has_value()) {
    this->shutdown_began = now;
  }
}

void Node::ContinueShutdown(TimePoint now) {
  if (!this->shutdown_began.has_value() || this->stopped ||
      now - *this->shutdown_began <
          this->config.settings.timing.load_balancer_wait) {
    return;
  }
  this->requests.StopAccepting();
  // The ends of intents must precede the end of their session in the log, which
  // would otherwise make their outcome unknown.
  if (this->requests.OpenCount() > 0 || this->session_end_proposed ||
      this->replication.PendingRetriedProposals() > 0) {
    return;
  }
  // No request runs under the session, so its units can be lent again as soon
  // as the command is applied.
  this->session_end_proposed = true;
  const bool proposed = this->replication.Propose(
      SessionEnd{this->session}, now, now + kSessionEndTimeout,
      [this](const std::optional<Outcome>&) { this->stopped = true; });
  this->stopped = this->stopped || !proposed;
}

void Node::CountDrop(std::string_view reason) {
  this->metrics.Add(metrics::kDrops, reason);
}

}  // namespace mimosastage
