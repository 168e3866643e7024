#include "mimosastage/admission/allowance_lender.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>
#include <tuple>

#include "mimosastage/admission/water_filling.h"

namespace mimosastage {
namespace {

Resource LimitOf(const TeamName& team) {
  return {ResourceKind::kTeamLimit, team.str()};
}

Resource SlotsOf(const BackendServerName& server) {
  return {ResourceKind::kBackendServerSlots, server.str()};
}

/// Rounds for which a session that was seen but isn't in the ledger is kept,
/// because its start may not be applied yet.
constexpr int kMaxRoundsBeforeStart = 100;

/// Fractions that differ by less than 3% aren't sent again, to keep notices
/// small.
bool DiffersMuch(double known, double wanted) {
  return std::abs(known - wanted) > 0.03 * known;
}

/// Removes up to `count` names from `names` in round-robin order after `last`,
/// so that no name is passed over for ever.
template <class Name>
std::vector<Name> TakeNext(std::set<Name>& names, std::size_t count,
                           Name& last) {
  std::vector<Name> taken;
  while (taken.size() < count && !names.empty()) {
    auto next = names.upper_bound(last);
    if (next == names.end()) {
      next = names.begin();
    }
    last = *next;
    taken.push_back(last);
    names.erase(next);
  }
  return taken;
}

/// Gain of the correction of shares. 0.05 for each round of 100 ms settles in
/// about 2 s, which is slower than a report and a notice take together.
constexpr double kCorrectionGain = 0.05;
constexpr double kLargestCorrection = 2;

}  // namespace

/// Inputs of one round and its decisions so far.
struct AllowanceLender::Plan {
  const AllowanceLedger& ledger;
  TimePoint now{};
  LenderRound round;
  std::map<Session, LenderNotice> notices;
  std::map<std::pair<Resource, Session>, AllowanceMove> moves;
  /// Net change of each resource's lent units by the moves.
  std::map<Resource, std::int64_t> lent;
  std::map<std::string, std::uint32_t> slots;

  AllowanceMove& Move(const Resource& resource, Session session) {
    const auto [item, added] = this->moves.try_emplace({resource, session});
    if (added) {
      item->second.resource = resource;
      item->second.session = session;
    }
    return item->second;
  }

  LenderNotice& Notice(Session session) {
    LenderNotice& notice = this->notices[session];
    notice.session = session;
    return notice;
  }
};

std::size_t AllowanceLender::ResourceHash::operator()(
    const Resource& resource) const noexcept {
  return std::hash<std::string>{}(resource.name) * 2 +
         static_cast<std::size_t>(resource.kind);
}

AllowanceLender::AllowanceLender(Settings settings, TimePoint leader_since)
    : settings(settings), leader_since(leader_since) {}

void AllowanceLender::SetTeams(const std::vector<Team>& teams) {
  std::set<TeamName> present;
  for (const Team& row : teams) {
    TeamState& team = this->teams[row.name];
    team.share = row.share;
    team.limit = row.upper_limit;
    present.insert(row.name);
  }
  for (auto& [name, team] : this->teams) {
    if (!present.contains(name)) {
      team.limit = 0;
    }
  }
  this->ScheduleAll();
}

void AllowanceLender::SetLongestDeadline(Duration longest_deadline) {
  this->longest_deadline = std::max(
      this->longest_deadline.value_or(longest_deadline), longest_deadline);
}

void AllowanceLender::SetServer(const LendableServer& server) {
  Server& known = this->servers[server.name];
  if (known.announced == server && !known.removed) {
    return;
  }
  if (known.announced.pool != server.pool) {
    this->pools[known.announced.pool].servers.erase(server.name);
    this->SchedulePool(known.announced.pool, true);
  }
  known.announced = server;
  known.removed = false;
  this->pools[server.pool].servers.insert(server.name);
  this->SchedulePool(server.pool, true);
}

void AllowanceLender::RemoveServer(const BackendServerName& name) {
  const auto found = this->servers.find(name);
  if (found == this->servers.end()) {
    return;
  }
  found->second.removed = true;
  found->second.announced.accepts_work = false;
  this->SchedulePool(found->second.announced.pool, true);
}

void AllowanceLender::SetZone(DaemonId daemon, const AvailabilityZone& zone) {
  this->zones[daemon] = zone;
  for (auto& [session, entry] : this->entries) {
    if (session.daemon == daemon) {
      entry.zone = zone;
    }
  }
}

AllowanceLender::Entry& AllowanceLender::FindOrAddEntry(Session session) {
  const auto [item, added] = this->entries.try_emplace(session);
  if (added) {
    item->second.session = session;
    item->second.seen_at = this->leader_since;
    item->second.zone = this->zones[session.daemon];
  }
  return item->second;
}

void AllowanceLender::SessionSeen(Session session, TimePoint at) {
  Entry& entry = this->FindOrAddEntry(session);
  if (entry.end_proposed_at) {
    return;
  }
  entry.seen_at = std::max(entry.seen_at, at);
  if (!entry.reachable) {
    entry.reachable = true;
    entry.needs_full_report = true;
    this->ScheduleAll();
  }
}

void AllowanceLender::SessionLapsed(Session session, TimePoint at) {
  Entry& entry = this->FindOrAddEntry(session);
  if (entry.reachable) {
    this->MarkLapsed(entry, at);
  }
}

void AllowanceLender::MarkLapsed(Entry& entry, TimePoint at) {
  entry.reachable = false;
  entry.seen_at = std::max(at, this->leader_since);
  this->ClearDemand(entry.session);
  this->ScheduleAll();
}

bool AllowanceLender::MayServe(Session session) const {
  const auto found = this->entries.find(session);
  return found != this->entries.end() && found->second.alive &&
         !found->second.end_proposed_at;
}

void AllowanceLender::ScheduleTeam(const TeamName& name, bool next_round) {
  (next_round ? this->due_teams : this->deferred_teams).insert(name);
}

void AllowanceLender::SchedulePool(const PoolName& name, bool next_round) {
  (next_round ? this->due_pools : this->deferred_pools).insert(name);
}

void AllowanceLender::ScheduleAll() {
  for (const auto& [name, team] : this->teams) {
    this->ScheduleTeam(name, true);
  }
  for (const auto& [name, pool] : this->pools) {
    this->SchedulePool(name, true);
  }
}

void AllowanceLender::HandleReport(const DemandReport& report) {
  Entry& entry = this->FindOrAddEntry(report.session);
  if (report.number <= entry.last_report) {
    return;
  }
  if (report.full) {
    entry.needs_full_report = false;
    this->ClearDemand(report.session);
  } else if (report.number != entry.last_report + 1) {
    entry.needs_full_report = true;
  }
  entry.last_report = report.number;
  this->MergeReport(entry, report);
}

void AllowanceLender::MergeReport(Entry& entry, const DemandReport& report) {
  for (const ResourceDemand& demand : report.resources) {
    this->MergeUse(entry, demand);
  }
  for (const TeamDemand& demand : report.teams) {
    this->MergeTeam(report.session, demand);
  }
}

void AllowanceLender::MergeUse(Entry& entry, const ResourceDemand& demand) {
  ResourceUse& use = entry.uses[demand.resource];
  const bool returned = demand.returned_total > use.returned_total;
  const bool waits = demand.waiting + use.waiting > 0;
  use.running = demand.running;
  use.waiting = demand.waiting;
  use.returned_total = std::max(use.returned_total, demand.returned_total);
  if (returned) {
    this->pending_returns.insert({entry.session, demand.resource});
  }
  if (demand.resource.kind == ResourceKind::kTeamLimit) {
    this->ScheduleTeam(TeamName(demand.resource.name), returned || waits);
  } else if (const auto server =
                 this->servers.find(BackendServerName(demand.resource.name));
             server != this->servers.end()) {
    this->SchedulePool(server->second.announced.pool, returned);
  }
}

void AllowanceLender::MergeTeam(Session session, const TeamDemand& demand) {
  PoolState& pool = this->pools[demand.pool];
  PoolTeam& team = pool.teams[demand.team];
  TeamDemand& known = team.demand[session];
  const bool waits = demand.waiting + known.waiting > 0;
  known = demand;
  if (demand.waiting + demand.running == 0) {
    team.demand.erase(session);
  }
  if (const auto found = this->teams.find(demand.team);
      found != this->teams.end()) {
    found->second.pools.insert(demand.pool);
  }
  this->SchedulePool(demand.pool, waits);
}

void AllowanceLender::ClearDemand(Session session) {
  for (auto& [resource, use] : this->FindOrAddEntry(session).uses) {
    use.running = 0;
    use.waiting = 0;
  }
  for (auto& [pool_name, pool] : this->pools) {
    for (auto& [team_name, team] : pool.teams) {
      if (team.demand.erase(session) > 0) {
        this->SchedulePool(pool_name, true);
        this->ScheduleTeam(team_name, true);
      }
    }
  }
}

void AllowanceLender::MovesFinished(bool applied) {
  this->moves_in_progress = false;
  if (!applied) {
    this->ScheduleAll();
  }
}

LenderRound AllowanceLender::Round(const AllowanceLedger& ledger,
                                   TimePoint now) {
  Plan plan{ledger, now, {}, {}, {}, {}, {}};
  this->SyncSessions(plan);
  this->EndLapsed(plan);
  this->RequestFullReports(plan);
  this->RepeatRecalls(plan);
  if (!this->moves_in_progress) {
    if (now - this->last_deferred_at >= this->settings.deferred_interval) {
      this->due_teams.merge(this->deferred_teams);
      this->due_pools.merge(this->deferred_pools);
      this->deferred_teams.clear();
      this->deferred_pools.clear();
      this->last_deferred_at = now;
    }
    this->AddReturns(plan);
    for (const TeamName& name :
         TakeNext(this->due_teams, this->settings.teams_per_round,
                  this->last_planned_team)) {
      this->PlanTeam(plan, name);
    }
    for (const PoolName& name :
         TakeNext(this->due_pools, this->settings.pools_per_round,
                  this->last_planned_pool)) {
      this->PlanPool(plan, name);
    }
  }
  if (!plan.moves.empty() || !plan.slots.empty()) {
    AllowanceMoves& moves = plan.round.moves.emplace();
    moves.backend_server_slots.assign(plan.slots.begin(), plan.slots.end());
    // The ledger applies the moves in this order and refuses a lend above the
    // resource's size, so that units must be returned before they are lent.
    for (const auto& [key, move] : plan.moves) {
      if (move.returned_total > 0) {
        moves.moves.push_back(
            {move.resource, move.session, 0, move.returned_total});
      }
    }
    for (const auto& [key, move] : plan.moves) {
      if (move.lend > 0) {
        moves.moves.push_back({move.resource, move.session, move.lend, 0});
      }
    }
    this->moves_in_progress = true;
  }
  for (auto& [session, notice] : plan.notices) {
    plan.round.notices.push_back(std::move(notice));
  }
  return std::move(plan.round);
}

void AllowanceLender::SyncSessions(Plan& plan) {
  bool changed = false;
  for (const Session session : plan.ledger.Sessions()) {
    Entry& entry = this->FindOrAddEntry(session);
    if (!entry.alive) {
      entry.alive = true;
      // A session that started under this leader isn't older than this round.
      entry.seen_at = std::max(entry.seen_at, plan.now);
      changed = true;
    }
  }
  for (auto item = this->entries.begin(); item != this->entries.end();) {
    const Session session = item->first;
    const bool starting =
        !item->second.alive &&
        ++item->second.rounds_before_start < kMaxRoundsBeforeStart;
    if (plan.ledger.IsAlive(session) || starting) {
      ++item;
      continue;
    }
    this->ClearDemand(session);
    item = this->entries.erase(item);
    changed = true;
  }
  if (changed) {
    this->ScheduleAll();
  }
}

void AllowanceLender::EndLapsed(Plan& plan) {
  for (auto& [session, entry] : this->entries) {
    if (entry.reachable && plan.now - entry.seen_at > this->settings.lease) {
      this->MarkLapsed(entry, entry.seen_at);
    }
    if (!entry.alive || entry.reachable || !this->longest_deadline ||
        plan.now - entry.seen_at <=
            this->settings.lease + *this->longest_deadline) {
      continue;
    }
    if (!entry.end_proposed_at ||
        plan.now - *entry.end_proposed_at >= this->settings.repeat_interval) {
      entry.end_proposed_at = plan.now;
      plan.round.ended.push_back({session});
    }
  }
}

void AllowanceLender::RequestFullReports(Plan& plan) {
  for (auto& [session, entry] : this->entries) {
    if (!entry.needs_full_report || !entry.MayBorrow()) {
      continue;
    }
    if (!entry.full_requested_at ||
        plan.now - *entry.full_requested_at >= this->settings.repeat_interval) {
      entry.full_requested_at = plan.now;
      plan.Notice(session).wants_full_report = true;
    }
  }
}

void AllowanceLender::RepeatRecalls(Plan& plan) {
  std::erase_if(this->pending_recalls, [&](const auto& item) {
    const auto& [session, resource] = item;
    const auto entry = this->entries.find(session);
    if (entry == this->entries.end()) {
      return true;
    }
    ResourceUse& use = entry->second.uses[resource];
    if (use.returned_total >= use.recalled_total) {
      return true;
    }
    if (plan.now - use.recalled_at >= this->settings.repeat_interval) {
      use.recalled_at = plan.now;
      plan.Notice(session).recalls.push_back({resource, use.recalled_total});
    }
    return false;
  });
}

void AllowanceLender::AddReturns(Plan& plan) {
  std::erase_if(this->pending_returns, [&](const auto& item) {
    const auto& [session, resource] = item;
    const auto entry = this->entries.find(session);
    const auto& totals = plan.ledger.TotalsOf(resource);
    const auto known = totals.find(session);
    if (entry == this->entries.end() || known == totals.end()) {
      return true;
    }
    const std::uint64_t returned = std::min(
        entry->second.uses[resource].returned_total, known->second.lent_total);
    if (returned <= known->second.returned_total) {
      return true;
    }
    plan.Move(resource, session).returned_total = returned;
    plan.lent[resource] -=
        static_cast<std::int64_t>(returned - known->second.returned_total);
    return false;
  });
}

std::uint32_t AllowanceLender::UnrecalledUnits(
    const AllowanceLedger::SessionTotals& totals, const Resource& resource,
    const Entry& entry) {
  const auto known = totals.find(entry.session);
  if (known == totals.end()) {
    return 0;
  }
  std::uint64_t returned_or_recalled = known->second.returned_total;
  if (const auto use = entry.uses.find(resource); use != entry.uses.end()) {
    returned_or_recalled =
        std::max({returned_or_recalled, use->second.returned_total,
                  use->second.recalled_total});
  }
  const std::uint64_t lent = known->second.lent_total;
  return lent > returned_or_recalled
             ? static_cast<std::uint32_t>(lent - returned_or_recalled)
             : 0;
}

std::uint32_t AllowanceLender::Free(const Plan& plan, const Resource& resource,
                                    std::uint32_t size) {
  const auto change = plan.lent.find(resource);
  const std::int64_t lent = plan.ledger.Lent(resource) +
                            (change == plan.lent.end() ? 0 : change->second);
  return lent >= size ? 0 : static_cast<std::uint32_t>(size - lent);
}

void AllowanceLender::Lend(Plan& plan, const Resource& resource,
                           Session session, std::uint32_t units) {
  if (units == 0) {
    return;
  }
  plan.Move(resource, session).lend += units;
  plan.lent[resource] += units;
}

std::uint32_t AllowanceLender::Recall(Plan& plan, const Resource& resource,
                                      Entry& entry, std::uint32_t units) {
  const auto& totals = plan.ledger.TotalsOf(resource);
  // Units lent in this round aren't recalled in the same one.
  const std::uint32_t recalled =
      std::min(units, UnrecalledUnits(totals, resource, entry));
  if (recalled == 0) {
    return 0;
  }
  ResourceUse& use = entry.uses[resource];
  const auto known = totals.find(entry.session);
  const std::uint64_t returned =
      known == totals.end() ? 0 : known->second.returned_total;
  use.recalled_total =
      std::max({use.recalled_total, use.returned_total, returned}) + recalled;
  use.recalled_at = plan.now;
  this->pending_recalls.insert({entry.session, resource});
  plan.Notice(entry.session).recalls.push_back({resource, use.recalled_total});
  return recalled;
}

std::uint32_t AllowanceLender::RoundWithHysteresis(double units) const {
  // Rounds up if the fraction reaches the hysteresis, otherwise down. With
  // 0.75, both 0.75 and 1.5 give 1 unit.
  const double whole = std::floor(units + 1 - this->settings.hysteresis);
  return whole > 0 ? static_cast<std::uint32_t>(whole) : 0;
}

void AllowanceLender::PlanTeam(Plan& plan, const TeamName& name) {
  const auto found = this->teams.find(name);
  if (found == this->teams.end()) {
    return;
  }
  TeamState& team = found->second;
  const Resource resource = LimitOf(name);
  double limit = team.limit;
  std::vector<Allocation> allocations;
  const auto& totals = plan.ledger.TotalsOf(resource);
  for (auto& [session, entry] : this->entries) {
    const double held = UnrecalledUnits(totals, resource, entry);
    if (!entry.MayBorrow()) {
      limit -= entry.alive ? held : 0;
      continue;
    }
    Allocation allocation{&entry, 0, held, 0};
    if (const auto use = entry.uses.find(resource); use != entry.uses.end()) {
      allocation.demand = use->second.running + use->second.waiting;
    }
    allocations.push_back(allocation);
  }
  limit = std::max(0.0, limit);
  const Session previous_holder = team.rotation_holder;
  this->SetTeamTargets(plan, name, limit, allocations);
  this->BalanceTeam(plan, resource, limit, allocations);
  this->CheckExhausted(plan, name, team);
  for (const PoolName& pool : team.pools) {
    this->SchedulePool(pool, previous_holder != team.rotation_holder);
  }
}

void AllowanceLender::SetTeamTargets(Plan& plan, const TeamName& name,
                                     double limit,
                                     std::vector<Allocation>& allocations) {
  TeamState& team = this->teams.at(name);
  if (limit > this->settings.max_rotated_limit) {
    SetSharedTargets(limit, allocations);
  } else if (this->SetRotatedTargets(plan, team, limit, allocations)) {
    this->ScheduleTeam(name, true);
  }
  team.targets.clear();
  for (const Allocation& allocation : allocations) {
    team.targets[allocation.entry->session] = allocation.target;
  }
}

void AllowanceLender::SetSharedTargets(double limit,
                                       std::vector<Allocation>& allocations) {
  std::vector<Claim> claims;
  claims.reserve(allocations.size());
  for (const Allocation& allocation : allocations) {
    claims.push_back({1, allocation.demand});
  }
  const std::vector<double> allocated = FillByWeight(limit, claims);
  double spare = limit;
  for (std::size_t i = 0; i < allocations.size(); ++i) {
    allocations[i].target = allocated[i];
    spare -= allocated[i];
  }
  // Units without demand are spread evenly over all entries, so that the first
  // requests of a burst start at once.
  for (Allocation& allocation : allocations) {
    allocation.target += spare / static_cast<double>(allocations.size());
  }
}

bool AllowanceLender::SetRotatedTargets(Plan& plan, TeamState& team,
                                        double limit,
                                        std::vector<Allocation>& allocations) {
  const std::size_t count = allocations.size();
  std::size_t first = 0;
  std::size_t with_demand = 0;
  while (first < count &&
         allocations[first].entry->session < team.rotation_holder) {
    ++first;
  }
  for (const Allocation& allocation : allocations) {
    with_demand += allocation.demand > 0 ? 1 : 0;
  }
  if (with_demand == 0) {
    return false;
  }
  const auto at = [&](std::size_t i) -> Allocation& {
    return allocations[(first + i) % count];
  };
  const bool present = at(0).entry->session == team.rotation_holder;
  const bool rotation_expired =
      plan.now - team.rotation_since >= this->settings.rotation_time;
  const bool keeps =
      present && at(0).demand > 0 && (with_demand == 1 || !rotation_expired);
  if (!keeps) {
    first += present ? 1 : 0;
    while (at(0).demand == 0) {
      ++first;
    }
    team.rotation_holder = at(0).entry->session;
    team.rotation_since = plan.now;
  }
  double remaining = limit;
  for (std::size_t i = 0; i < count; ++i) {
    at(i).target = std::min(remaining, at(i).demand);
    remaining -= at(i).target;
  }
  at(0).target += remaining;
  return with_demand > 1;
}

std::vector<AllowanceLender::Allocation*> AllowanceLender::OrderByUnmetDemand(
    std::vector<Allocation>& allocations) {
  std::vector<Allocation*> order;
  order.reserve(allocations.size());
  for (Allocation& allocation : allocations) {
    order.push_back(&allocation);
  }
  const auto rank = [](const Allocation* allocation) {
    return std::make_pair(!allocation->HasUnmetDemand(),
                          allocation->held - allocation->target);
  };
  std::stable_sort(
      order.begin(), order.end(),
      [&](const auto* a, const auto* b) { return rank(a) < rank(b); });
  return order;
}

std::uint32_t AllowanceLender::UnitsToRecall(
    double size, const std::vector<Allocation>& allocations) const {
  double missing = 0;
  double held = 0;
  for (const Allocation& allocation : allocations) {
    held += allocation.held;
    missing +=
        allocation.HasUnmetDemand()
            ? this->RoundWithHysteresis(allocation.target - allocation.held)
            : 0;
  }
  // Units that no entry holds are already being returned.
  return static_cast<std::uint32_t>(std::max(0.0, missing + held - size));
}

std::uint32_t AllowanceLender::UnitsToRecallForDemand(
    double size, const std::vector<Allocation>& allocations) const {
  double missing = 0;
  double held = 0;
  for (const Allocation& allocation : allocations) {
    held += allocation.held;
    missing += allocation.HasUnmetDemand()
                   ? this->RoundWithHysteresis(
                         std::min(allocation.target, allocation.demand) -
                         allocation.held)
                   : 0;
  }
  return static_cast<std::uint32_t>(std::max(0.0, missing + held - size));
}

std::uint32_t AllowanceLender::Allocation::Idle() const {
  return static_cast<std::uint32_t>(std::max(0.0, this->held - this->demand));
}

void AllowanceLender::BalanceTeam(Plan& plan, const Resource& resource,
                                  double limit,
                                  std::vector<Allocation>& allocations) {
  const auto order = OrderByUnmetDemand(allocations);
  std::uint32_t free = Free(plan, resource, plan.ledger.Size(resource));
  const auto lend = [&](Allocation& allocation, std::uint32_t units) {
    units = std::min(free, units);
    Lend(plan, resource, allocation.entry->session, units);
    free -= units;
    allocation.held += units;
  };
  for (Allocation* allocation : order) {
    lend(*allocation,
         this->RoundWithHysteresis(allocation->target - allocation->held));
  }
  for (Allocation* allocation : order) {
    lend(*allocation, allocation->HasUnmetDemand() ? 1 : 0);
  }
  std::uint32_t wanted = this->UnitsToRecall(limit, allocations);
  const auto recall = [&](Allocation& allocation, std::uint32_t units) {
    const std::uint32_t recalled = this->Recall(
        plan, resource, *allocation.entry, std::min(wanted, units));
    wanted -= recalled;
    allocation.held -= recalled;
  };
  for (auto item = order.rbegin(); item != order.rend(); ++item) {
    recall(**item, this->RoundWithHysteresis((*item)->held - (*item)->target));
  }
  // With fewer units than entries, each surplus can be less than the
  // hysteresis while requests wait for a unit.
  wanted = this->UnitsToRecallForDemand(limit, allocations);
  for (auto item = order.rbegin(); item != order.rend(); ++item) {
    recall(**item, (*item)->Idle());
  }
  // Above a lowered limit, units are recalled even if an entry's surplus is
  // less than the hysteresis.
  wanted = this->UnitsToRecall(limit, allocations);
  for (auto item = order.rbegin(); item != order.rend(); ++item) {
    wanted = std::min(wanted, this->UnitsToRecall(limit, allocations));
    recall(**item, TotalHeld(allocations) > limit ? 1 : 0);
  }
}

double AllowanceLender::TotalHeld(const std::vector<Allocation>& allocations) {
  double held = 0;
  for (const Allocation& allocation : allocations) {
    held += allocation.held;
  }
  return held;
}

double AllowanceLender::TeamLimit(const TeamName& name) const {
  if (name.empty()) {
    return std::numeric_limits<double>::infinity();
  }
  const auto found = this->teams.find(name);
  return found == this->teams.end() ? 0 : found->second.limit;
}

void AllowanceLender::PlanPool(Plan& plan, const PoolName& name) {
  PoolState& pool = this->pools[name];
  std::map<Session, double> held;
  std::vector<SlotView> slots = this->CollectSlots(plan, pool);
  double capacity = 0;
  for (const SlotView& view : slots) {
    double on_server = 0;
    capacity += view.server->announced.slots;
    for (const auto& [session, totals] : *view.totals) {
      const Entry& entry = this->FindOrAddEntry(session);
      const double units = UnrecalledUnits(*view.totals, view.resource, entry);
      held[session] += units;
      on_server += units;
      capacity -= entry.MayBorrow() ? 0 : units;
    }
    if (on_server > view.server->announced.slots) {
      this->RecallExcess(
          plan, view.resource,
          static_cast<std::uint32_t>(on_server) - view.server->announced.slots);
    }
  }
  std::vector<Allocation> allocations;
  for (auto& [session, entry] : this->entries) {
    if (entry.MayBorrow()) {
      allocations.push_back({&entry, 0, held[session], 0});
    }
  }
  capacity = std::max(0.0, capacity);
  this->SetPoolTargets(plan, name, pool, capacity, allocations);
  this->SpreadSlots(plan, name, slots, allocations);
  this->BalancePool(plan, slots, capacity, allocations);
  this->CheckExhausted(plan, name, pool, slots);
}

bool AllowanceLender::IsGone(const Entry& entry, TimePoint now) const {
  if (entry.reachable) {
    return false;
  }
  return now - entry.seen_at > this->settings.lease ||
         std::any_of(this->entries.begin(), this->entries.end(),
                     [&](const auto& item) {
                       return item.first.daemon == entry.session.daemon &&
                              item.second.reachable;
                     });
}

AllowanceLender::LapsedUnits AllowanceLender::CountLapsedUnits(
    const Plan& plan, const Resource& resource) const {
  LapsedUnits units;
  for (const auto& [session, totals] : plan.ledger.TotalsOf(resource)) {
    const auto entry = this->entries.find(session);
    if (entry == this->entries.end() || entry->second.reachable) {
      continue;
    }
    const std::uint64_t held = totals.lent_total - totals.returned_total;
    units.unreachable += held;
    units.gone += this->IsGone(entry->second, plan.now) ? held : 0;
  }
  return units;
}

void AllowanceLender::CheckExhausted(Plan& plan, const TeamName& name,
                                     const TeamState& team) {
  const LapsedUnits units = this->CountLapsedUnits(plan, LimitOf(name));
  if (team.limit == 0 || units.unreachable < team.limit) {
    return;
  }
  for (const auto& [session, entry] : this->entries) {
    const auto use = entry.uses.find(LimitOf(name));
    if (!entry.MayBorrow() || use == entry.uses.end() ||
        use->second.waiting == 0) {
      continue;
    }
    // Repeated, because a notice may be lost and a session becomes gone without
    // an event.
    this->ScheduleTeam(name, true);
    if (units.gone >= team.limit) {
      plan.Notice(session).exhausted_teams.push_back(name);
    }
  }
}

void AllowanceLender::CheckExhausted(Plan& plan, const PoolName& name,
                                     const PoolState& pool,
                                     const std::vector<SlotView>& slots) {
  LapsedUnits units;
  std::uint64_t size = 0;
  for (const SlotView& view : slots) {
    const LapsedUnits on_server = this->CountLapsedUnits(plan, view.resource);
    units.unreachable += on_server.unreachable;
    units.gone += on_server.gone;
    size += view.server->announced.slots;
  }
  if (size == 0 || units.unreachable < size) {
    return;
  }
  std::set<Session> waiting;
  for (const auto& [team_name, team] : pool.teams) {
    for (const auto& [session, demand] : team.demand) {
      if (demand.waiting > 0) {
        waiting.insert(session);
      }
    }
  }
  for (const Session session : waiting) {
    this->SchedulePool(name, true);
    if (units.gone >= size) {
      plan.Notice(session).exhausted_pools.push_back(name);
    }
  }
}

std::vector<AllowanceLender::SlotView> AllowanceLender::CollectSlots(
    Plan& plan, PoolState& pool) {
  this->ForgetRemoved(plan, pool);
  std::vector<SlotView> slots;
  slots.reserve(pool.servers.size());
  for (const BackendServerName& name : pool.servers) {
    const Server& server = this->servers.at(name);
    const Resource resource = SlotsOf(name);
    if (!server.announced.accepts_work) {
      this->RecallExcess(plan, resource, plan.ledger.Lent(resource));
      this->FinishRemoval(plan, server, resource);
      continue;
    }
    if (plan.ledger.Size(resource) != server.announced.slots) {
      plan.slots[name.str()] = server.announced.slots;
    }
    slots.push_back({&server, resource, &plan.ledger.TotalsOf(resource),
                     Free(plan, resource, server.announced.slots)});
  }
  return slots;
}

void AllowanceLender::BalancePool(Plan& plan, std::vector<SlotView>& slots,
                                  double capacity,
                                  std::vector<Allocation>& allocations) {
  const auto order = OrderByUnmetDemand(allocations);
  for (Allocation* allocation : order) {
    const std::uint32_t units =
        this->RoundWithHysteresis(allocation->target - allocation->held);
    allocation->held += LendSlots(plan, slots, *allocation, units);
  }
  for (Allocation* allocation : order) {
    const std::uint32_t units = allocation->HasUnmetDemand() ? 1 : 0;
    allocation->held += LendSlots(plan, slots, *allocation, units);
  }
  std::uint32_t wanted = this->UnitsToRecall(capacity, allocations);
  const auto recall = [&](Allocation& allocation, std::uint32_t units) {
    const std::uint32_t recalled =
        this->RecallSlots(plan, slots, allocation, std::min(wanted, units));
    wanted -= recalled;
    allocation.held -= recalled;
  };
  for (auto item = order.rbegin(); item != order.rend(); ++item) {
    recall(**item, this->RoundWithHysteresis((*item)->held - (*item)->target));
  }
  // As in BalanceTeam.
  wanted = this->UnitsToRecallForDemand(capacity, allocations);
  for (auto item = order.rbegin(); item != order.rend(); ++item) {
    recall(**item, (*item)->Idle());
  }
}

void AllowanceLender::SpreadSlots(Plan& plan, const PoolName& name,
                                  std::vector<SlotView>& slots,
                                  std::vector<Allocation>& allocations) {
  struct Holding {
    std::uint32_t units = 0;
    std::size_t servers = 0;
    const SlotView* only = nullptr;
  };
  struct Loans {
    /// Recalled units that reachable entries haven't returned yet.
    std::uint64_t returning = 0;
    /// The entry that holds most units, and their number.
    Entry* holder = nullptr;
    std::uint32_t most = 0;
  };
  std::map<Session, Holding> holdings;
  std::vector<Loans> loans(slots.size());
  for (std::size_t i = 0; i < slots.size(); ++i) {
    const SlotView& view = slots[i];
    for (const auto& [session, totals] : *view.totals) {
      Entry& entry = this->FindOrAddEntry(session);
      const std::uint32_t units =
          UnrecalledUnits(*view.totals, view.resource, entry);
      if (!entry.MayBorrow()) {
        continue;
      }
      loans[i].returning += totals.lent_total - totals.returned_total - units;
      if (units > loans[i].most) {
        loans[i].holder = &entry;
        loans[i].most = units;
      }
      if (units > 0) {
        Holding& holding = holdings[session];
        holding.units += units;
        ++holding.servers;
        holding.only = &view;
      }
    }
  }
  const bool unmet = std::any_of(
      allocations.begin(), allocations.end(),
      [](const Allocation& allocation) { return allocation.HasUnmetDemand(); });
  bool recalled = false;
  for (const auto& [session, holding] : holdings) {
    // An only slot is kept; a second one must not be taken from requests that
    // wait, which would take it back.
    const bool exchange = holding.units > 1;
    if (holding.servers > 1 || (!exchange && unmet)) {
      continue;
    }
    std::vector<std::size_t> others;
    for (std::size_t i = 0; i < slots.size(); ++i) {
      if (&slots[i] != holding.only &&
          slots[i].server->announced.zone ==
              holding.only->server->announced.zone) {
        others.push_back(i);
      }
    }
    const auto has_free = [&](std::size_t i) { return slots[i].free > 0; };
    const auto has_returning = [&](std::size_t i) {
      return loans[i].returning > 0;
    };
    const auto has_several = [&](std::size_t i) { return loans[i].most > 1; };
    if (const auto found = std::find_if(others.begin(), others.end(), has_free);
        found != others.end()) {
      Lend(plan, slots[*found].resource, session, 1);
      --slots[*found].free;
      this->Recall(plan, holding.only->resource, this->FindOrAddEntry(session),
                   exchange ? 1 : 0);
    } else if (const auto coming =
                   std::find_if(others.begin(), others.end(), has_returning);
               coming != others.end()) {
      --loans[*coming].returning;
    } else if (recalled) {
      this->SchedulePool(name, false);
    } else if (const auto donated =
                   std::find_if(others.begin(), others.end(), has_several);
               donated != others.end()) {
      Entry* const holder = loans[*donated].holder;
      const std::uint32_t units =
          this->Recall(plan, slots[*donated].resource, *holder, 1);
      for (Allocation& allocation : allocations) {
        allocation.held -= allocation.entry == holder ? units : 0;
      }
      recalled = true;
    }
  }
}

void AllowanceLender::SetPoolTargets(Plan& plan, const PoolName& name,
                                     PoolState& pool, double capacity,
                                     std::vector<Allocation>& allocations) {
  std::vector<Claim> claims;
  claims.reserve(pool.teams.size());
  for (const auto& [team_name, team] : pool.teams) {
    double demand = 0;
    for (const auto& [session, part] : team.demand) {
      demand += part.waiting + part.running;
    }
    const auto team_state = this->teams.find(team_name);
    const double share =
        team_state == this->teams.end() ? 1 : team_state->second.share;
    claims.push_back({share, std::min(demand, this->TeamLimit(team_name))});
  }
  const std::vector<double> entitled = FillByWeight(capacity, claims);
  std::map<Session, double> targets;
  std::size_t index = 0;
  for (auto& [team_name, team] : pool.teams) {
    this->AllocateTeamSlots(plan, name, team_name, team, entitled[index++],
                            targets);
  }
  double spare = capacity;
  for (Allocation& allocation : allocations) {
    allocation.demand = targets[allocation.entry->session];
    allocation.target = allocation.demand;
    spare -= allocation.demand;
  }
  spare = std::max(0.0, spare);
  for (Allocation& allocation : allocations) {
    allocation.target += spare / static_cast<double>(allocations.size());
  }
}

void AllowanceLender::AllocateTeamSlots(Plan& plan, const PoolName& pool,
                                        const TeamName& name, PoolTeam& team,
                                        double entitlement,
                                        std::map<Session, double>& targets) {
  const auto team_state = this->teams.find(name);
  std::vector<Claim> claims;
  for (const auto& [session, demand] : team.demand) {
    double wanted = demand.waiting + demand.running;
    if (team_state != this->teams.end()) {
      // An entry without units of the team's limit can't use slots for it.
      const auto target = team_state->second.targets.find(session);
      const double units =
          target == team_state->second.targets.end() ? 0 : target->second;
      wanted = std::min(wanted, std::max<double>(units, demand.running));
    }
    claims.push_back({1, wanted});
  }
  const std::vector<double> allocated = FillByWeight(entitlement, claims);
  std::map<Session, double> by_session;
  std::size_t index = 0;
  for (const auto& [session, demand] : team.demand) {
    by_session[session] = allocated[index];
    targets[session] += allocated[index++];
  }
  UpdateCorrection(team, entitlement);
  this->SetFractions(plan, pool, name, team, by_session);
}

void AllowanceLender::SetFractions(Plan& plan, const PoolName& pool,
                                   const TeamName& name, PoolTeam& team,
                                   const std::map<Session, double>& allocated) {
  double sum = 0;
  for (const auto& [session, part] : allocated) {
    sum += part;
  }
  if (sum <= 0) {
    return;
  }
  for (const auto& [session, part] : allocated) {
    const double exact = 1'000'000 * team.correction * part / sum;
    const auto millionths = static_cast<std::uint32_t>(std::lround(exact));
    SentFraction& sent = team.fractions[session];
    if (sent.millionths > 0 &&
        (plan.now - sent.at < this->settings.fraction_interval ||
         !DiffersMuch(sent.millionths, millionths))) {
      continue;
    }
    sent = {millionths, plan.now};
    plan.Notice(session).fractions.push_back({pool, name, millionths});
  }
}

void AllowanceLender::UpdateCorrection(PoolTeam& team, double entitlement) {
  double running = 0;
  double waiting = 0;
  for (const auto& [session, demand] : team.demand) {
    running += demand.running;
    waiting += demand.waiting;
  }
  // Slots are whole units, so a team with small parts at many entries receives
  // more or less than its entitlement. Scaling its weights at all entries
  // compensates for that.
  const double ratio = waiting > 0 && running > 0 ? entitlement / running : 1;
  const double corrected = std::pow(team.correction, 1 - kCorrectionGain / 5) *
                           std::pow(ratio, kCorrectionGain);
  team.correction =
      std::clamp(corrected, 1 / kLargestCorrection, kLargestCorrection);
}

std::uint32_t AllowanceLender::LendSlots(Plan& plan,
                                         std::vector<SlotView>& slots,
                                         const Allocation& allocation,
                                         std::uint32_t units) {
  const Entry& entry = *allocation.entry;
  std::vector<SlotView*> candidates;
  for (SlotView& view : slots) {
    if (units > 0 && view.free > 0) {
      candidates.push_back(&view);
    }
  }
  std::stable_sort(
      candidates.begin(), candidates.end(),
      [](const SlotView* a, const SlotView* b) { return a->free > b->free; });
  std::uint32_t lent = 0;
  const auto lend_from = [&](bool same_zone) {
    for (bool progress = true; progress && lent < units;) {
      progress = false;
      for (SlotView* view : candidates) {
        const bool fits =
            (view->server->announced.zone == entry.zone) == same_zone;
        if (lent < units && view->free > 0 && fits) {
          Lend(plan, view->resource, entry.session, 1);
          --view->free;
          ++lent;
          progress = true;
        }
      }
    }
  };
  lend_from(true);
  lend_from(false);
  return lent;
}

std::uint32_t AllowanceLender::RecallSlots(Plan& plan,
                                           const std::vector<SlotView>& slots,
                                           const Allocation& allocation,
                                           std::uint32_t units) {
  struct Loan {
    std::uint32_t idle = 0;
    bool other_zone = false;
    std::uint32_t held = 0;
    const SlotView* view = nullptr;
  };
  Entry& entry = *allocation.entry;
  std::vector<Loan> loans;
  for (const SlotView& view : slots) {
    const std::uint32_t held =
        units > 0 ? UnrecalledUnits(*view.totals, view.resource, entry) : 0;
    if (held == 0) {
      continue;
    }
    const auto use = entry.uses.find(view.resource);
    const std::uint32_t running =
        use == entry.uses.end() ? 0 : use->second.running;
    loans.push_back({held > running ? held - running : 0,
                     view.server->announced.zone != entry.zone, held, &view});
  }
  std::stable_sort(loans.begin(), loans.end(),
                   [](const Loan& a, const Loan& b) {
                     return std::tie(a.idle, a.other_zone, a.held) >
                            std::tie(b.idle, b.other_zone, b.held);
                   });
  std::uint32_t recalled = 0;
  for (bool progress = true; progress && recalled < units;) {
    progress = false;
    for (Loan& loan : loans) {
      if (recalled < units && loan.held > 0) {
        recalled += this->Recall(plan, loan.view->resource, entry, 1);
        --loan.held;
        progress = true;
      }
    }
  }
  return recalled;
}

void AllowanceLender::RecallExcess(Plan& plan, const Resource& resource,
                                   std::uint32_t excess) {
  for (const auto& [session, totals] : plan.ledger.TotalsOf(resource)) {
    Entry& entry = this->FindOrAddEntry(session);
    if (entry.MayBorrow()) {
      excess -= this->Recall(plan, resource, entry, excess);
    }
  }
}

void AllowanceLender::FinishRemoval(Plan& plan, const Server& server,
                                    const Resource& resource) {
  if (server.removed && plan.ledger.Lent(resource) == 0 &&
      plan.ledger.Size(resource) > 0) {
    plan.slots[server.announced.name.str()] = 0;
    this->SchedulePool(server.announced.pool, false);
  }
}

void AllowanceLender::ForgetRemoved(const Plan& plan, PoolState& pool) {
  std::erase_if(pool.servers, [&](const BackendServerName& name) {
    const Resource resource = SlotsOf(name);
    const bool removable = this->servers.at(name).removed &&
                           plan.ledger.Lent(resource) == 0 &&
                           plan.ledger.Size(resource) == 0;
    if (removable) {
      this->servers.erase(name);
    }
    return removable;
  });
}

}  // namespace mimosastage
