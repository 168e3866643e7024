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

/// Rounds for which a session is kept that was heard but isn't in the ledger:
/// its start may not be applied yet.
constexpr int kUnknownRounds = 100;

/// Fractions that differ by less than 3% aren't sent again, to keep notices
/// small.
bool DiffersMuch(double known, double wanted) {
  return std::abs(known - wanted) > 0.03 * known;
}

/// Removes at most `count` names from `names`, in turn after `last`, so that
/// each name is reached.
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
/// about 2 s, slower than a report and a notice take together.
constexpr double kCorrectionGain = 0.05;
constexpr double kLargestCorrection = 2;

}  // namespace

/// What one round has read and decided so far.
struct AllowanceLender::Plan {
  const AllowanceLedger& ledger;
  TimePoint now{};
  LenderRound round;
  std::map<Session, LenderNotice> notices;
  std::map<std::pair<Resource, Session>, AllowanceMove> moves;
  /// Units by which the moves change what is lent of a resource.
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
  this->MarkAll();
}

void AllowanceLender::SetLongestDeadline(Duration longest_deadline) {
  this->longest_deadline = std::max(
      this->longest_deadline.value_or(longest_deadline), longest_deadline);
}

void AllowanceLender::SetServer(const LendableServer& server) {
  Server& known = this->servers[server.name];
  if (known.row == server && !known.removed) {
    return;
  }
  if (known.row.pool != server.pool) {
    this->pools[known.row.pool].servers.erase(server.name);
    this->MarkPool(known.row.pool, true);
  }
  known.row = server;
  known.removed = false;
  this->pools[server.pool].servers.insert(server.name);
  this->MarkPool(server.pool, true);
}

void AllowanceLender::RemoveServer(const BackendServerName& name) {
  const auto found = this->servers.find(name);
  if (found == this->servers.end()) {
    return;
  }
  found->second.removed = true;
  found->second.row.accepts_work = false;
  this->MarkPool(found->second.row.pool, true);
}

void AllowanceLender::SetZone(DaemonId daemon, const AvailabilityZone& zone) {
  this->zones[daemon] = zone;
  for (auto& [session, entry] : this->entries) {
    if (session.daemon == daemon) {
      entry.zone = zone;
    }
  }
}

AllowanceLender::Entry& AllowanceLender::FindEntry(Session session) {
  const auto [item, added] = this->entries.try_emplace(session);
  if (added) {
    item->second.session = session;
    item->second.heard_at = this->leader_since;
    item->second.zone = this->zones[session.daemon];
  }
  return item->second;
}

void AllowanceLender::SessionHeard(Session session, TimePoint at) {
  Entry& entry = this->FindEntry(session);
  if (entry.ended_at) {
    return;
  }
  entry.heard_at = std::max(entry.heard_at, at);
  if (!entry.heard) {
    entry.heard = true;
    entry.needs_full = true;
    this->MarkAll();
  }
}

void AllowanceLender::SessionLapsed(Session session, TimePoint at) {
  Entry& entry = this->FindEntry(session);
  if (entry.heard) {
    this->Lapse(entry, at);
  }
}

void AllowanceLender::Lapse(Entry& entry, TimePoint at) {
  entry.heard = false;
  entry.heard_at = std::max(at, this->leader_since);
  this->ClearDemand(entry.session);
  this->MarkAll();
}

bool AllowanceLender::MayServe(Session session) const {
  const auto found = this->entries.find(session);
  return found != this->entries.end() && found->second.alive &&
         !found->second.ended_at;
}

void AllowanceLender::MarkTeam(const TeamName& name, bool soon) {
  (soon ? this->soon_teams : this->calm_teams).insert(name);
}

void AllowanceLender::MarkPool(const PoolName& name, bool soon) {
  (soon ? this->soon_pools : this->calm_pools).insert(name);
}

void AllowanceLender::MarkAll() {
  for (const auto& [name, team] : this->teams) {
    this->MarkTeam(name, true);
  }
  for (const auto& [name, pool] : this->pools) {
    this->MarkPool(name, true);
  }
}

void AllowanceLender::HandleReport(const DemandReport& report) {
  Entry& entry = this->FindEntry(report.session);
  if (report.number <= entry.last_report) {
    return;
  }
  if (report.full) {
    entry.needs_full = false;
    this->ClearDemand(report.session);
  } else if (report.number != entry.last_report + 1) {
    entry.needs_full = true;
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
  Use& use = entry.uses[demand.resource];
  const bool returned = demand.returned_total > use.returned_total;
  const bool waits = demand.waiting + use.waiting > 0;
  use.running = demand.running;
  use.waiting = demand.waiting;
  use.returned_total = std::max(use.returned_total, demand.returned_total);
  if (returned) {
    this->pending_returns.insert({entry.session, demand.resource});
  }
  if (demand.resource.kind == ResourceKind::kTeamLimit) {
    this->MarkTeam(TeamName(demand.resource.name), returned || waits);
  } else if (const auto server =
                 this->servers.find(BackendServerName(demand.resource.name));
             server != this->servers.end()) {
    this->MarkPool(server->second.row.pool, returned);
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
  this->MarkPool(demand.pool, waits);
}

void AllowanceLender::ClearDemand(Session session) {
  for (auto& [resource, use] : this->FindEntry(session).uses) {
    use.running = 0;
    use.waiting = 0;
  }
  for (auto& [pool_name, pool] : this->pools) {
    for (auto& [team_name, team] : pool.teams) {
      if (team.demand.erase(session) > 0) {
        this->MarkPool(pool_name, true);
        this->MarkTeam(team_name, true);
      }
    }
  }
}

void AllowanceLender::MovesFinished(bool applied) {
  this->moves_in_progress = false;
  if (!applied) {
    this->MarkAll();
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
    if (now - this->last_calm >= this->settings.calm_interval) {
      this->soon_teams.merge(this->calm_teams);
      this->soon_pools.merge(this->calm_pools);
      this->calm_teams.clear();
      this->calm_pools.clear();
      this->last_calm = now;
    }
    this->AddReturns(plan);
    for (const TeamName& name :
         TakeNext(this->soon_teams, this->settings.teams_per_round,
                  this->last_team)) {
      this->PlanTeam(plan, name);
    }
    for (const PoolName& name :
         TakeNext(this->soon_pools, this->settings.pools_per_round,
                  this->last_pool)) {
      this->PlanPool(plan, name);
    }
  }
  if (!plan.moves.empty() || !plan.slots.empty()) {
    AllowanceMoves& moves = plan.round.moves.emplace();
    moves.backend_server_slots.assign(plan.slots.begin(), plan.slots.end());
    for (const auto& [key, move] : plan.moves) {
      moves.moves.push_back(move);
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
    Entry& entry = this->FindEntry(session);
    if (!entry.alive) {
      entry.alive = true;
      // A session that started under this leader isn't older than this round.
      entry.heard_at = std::max(entry.heard_at, plan.now);
      changed = true;
    }
  }
  for (auto item = this->entries.begin(); item != this->entries.end();) {
    const Session session = item->first;
    const bool starting =
        !item->second.alive && ++item->second.unknown_rounds < kUnknownRounds;
    if (plan.ledger.IsAlive(session) || starting) {
      ++item;
      continue;
    }
    this->ClearDemand(session);
    item = this->entries.erase(item);
    changed = true;
  }
  if (changed) {
    this->MarkAll();
  }
}

void AllowanceLender::EndLapsed(Plan& plan) {
  for (auto& [session, entry] : this->entries) {
    if (entry.heard && plan.now - entry.heard_at > this->settings.lease) {
      this->Lapse(entry, entry.heard_at);
    }
    if (!entry.alive || entry.heard || !this->longest_deadline ||
        plan.now - entry.heard_at <=
            this->settings.lease + *this->longest_deadline) {
      continue;
    }
    if (!entry.ended_at ||
        plan.now - *entry.ended_at >= this->settings.repeat) {
      entry.ended_at = plan.now;
      plan.round.ended.push_back({session});
    }
  }
}

void AllowanceLender::RequestFullReports(Plan& plan) {
  for (auto& [session, entry] : this->entries) {
    if (!entry.needs_full || !entry.MayBorrow()) {
      continue;
    }
    if (!entry.full_requested_at ||
        plan.now - *entry.full_requested_at >= this->settings.repeat) {
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
    Use& use = entry->second.uses[resource];
    if (use.returned_total >= use.recalled_total) {
      return true;
    }
    if (plan.now - use.recalled_at >= this->settings.repeat) {
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
    const auto& totals = plan.ledger.Of(resource);
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

std::uint32_t AllowanceLender::HeldBefore(
    const AllowanceLedger::SessionTotals& totals, const Resource& resource,
    const Entry& entry) {
  const auto known = totals.find(entry.session);
  if (known == totals.end()) {
    return 0;
  }
  std::uint64_t gone = known->second.returned_total;
  if (const auto use = entry.uses.find(resource); use != entry.uses.end()) {
    gone = std::max(
        {gone, use->second.returned_total, use->second.recalled_total});
  }
  const std::uint64_t lent = known->second.lent_total;
  return lent > gone ? static_cast<std::uint32_t>(lent - gone) : 0;
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
  const auto& totals = plan.ledger.Of(resource);
  // Units lent in this round aren't recalled in the same one.
  const std::uint32_t recalled =
      std::min(units, HeldBefore(totals, resource, entry));
  if (recalled == 0) {
    return 0;
  }
  Use& use = entry.uses[resource];
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

std::uint32_t AllowanceLender::Whole(double units) const {
  // Rounds up from the hysteresis on: 0.75 is 1 unit, 1.5 is 1 unit.
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
  std::vector<Position> positions;
  const auto& totals = plan.ledger.Of(resource);
  for (auto& [session, entry] : this->entries) {
    const double held = HeldBefore(totals, resource, entry);
    if (!entry.MayBorrow()) {
      limit -= entry.alive ? held : 0;
      continue;
    }
    Position position{&entry, 0, held, 0};
    if (const auto use = entry.uses.find(resource); use != entry.uses.end()) {
      position.demand = use->second.running + use->second.waiting;
    }
    positions.push_back(position);
  }
  limit = std::max(0.0, limit);
  const Session turn = team.turn;
  this->SetTeamTargets(plan, name, limit, positions);
  this->BalanceTeam(plan, resource, limit, positions);
  for (const PoolName& pool : team.pools) {
    this->MarkPool(pool, turn != team.turn);
  }
}

void AllowanceLender::SetTeamTargets(Plan& plan, const TeamName& name,
                                     double limit,
                                     std::vector<Position>& positions) {
  TeamState& team = this->teams.at(name);
  if (team.limit > this->settings.rotated_limit) {
    SetSharedTargets(limit, positions);
  } else if (this->SetRotatedTargets(plan, team, limit, positions)) {
    this->MarkTeam(name, true);
  }
  team.targets.clear();
  for (const Position& position : positions) {
    team.targets[position.entry->session] = position.target;
  }
}

void AllowanceLender::SetSharedTargets(double limit,
                                       std::vector<Position>& positions) {
  std::vector<Claim> claims;
  claims.reserve(positions.size());
  for (const Position& position : positions) {
    claims.push_back({1, position.demand});
  }
  const std::vector<double> parts = FillByWeight(limit, claims);
  double spare = limit;
  for (std::size_t i = 0; i < positions.size(); ++i) {
    positions[i].target = parts[i];
    spare -= parts[i];
  }
  // Units without demand wait at all entries alike, so that the first requests
  // of a burst start at once.
  for (Position& position : positions) {
    position.target += spare / static_cast<double>(positions.size());
  }
}

bool AllowanceLender::SetRotatedTargets(Plan& plan, TeamState& team,
                                        double limit,
                                        std::vector<Position>& positions) {
  const std::size_t count = positions.size();
  std::size_t first = 0;
  std::size_t wanting = 0;
  while (first < count && positions[first].entry->session < team.turn) {
    ++first;
  }
  for (const Position& position : positions) {
    wanting += position.demand > 0 ? 1 : 0;
  }
  if (wanting == 0) {
    return false;
  }
  const auto at = [&](std::size_t i) -> Position& {
    return positions[(first + i) % count];
  };
  const bool present = at(0).entry->session == team.turn;
  const bool over = plan.now - team.turn_since >= this->settings.rotation;
  const bool keeps = present && at(0).demand > 0 && (wanting == 1 || !over);
  if (!keeps) {
    first += present ? 1 : 0;
    while (at(0).demand == 0) {
      ++first;
    }
    team.turn = at(0).entry->session;
    team.turn_since = plan.now;
  }
  double left = limit;
  for (std::size_t i = 0; i < count; ++i) {
    at(i).target = std::min(left, at(i).demand);
    left -= at(i).target;
  }
  at(0).target += left;
  return wanting > 1;
}

std::vector<AllowanceLender::Position*> AllowanceLender::NeediestFirst(
    std::vector<Position>& positions) {
  std::vector<Position*> order;
  order.reserve(positions.size());
  for (Position& position : positions) {
    order.push_back(&position);
  }
  const auto rank = [](const Position* position) {
    return std::make_pair(!position->Starves(),
                          position->held - position->target);
  };
  std::stable_sort(
      order.begin(), order.end(),
      [&](const auto* a, const auto* b) { return rank(a) < rank(b); });
  return order;
}

std::uint32_t AllowanceLender::UnitsToRecall(
    double size, const std::vector<Position>& positions) const {
  double missing = 0;
  double held = 0;
  for (const Position& position : positions) {
    held += position.held;
    missing +=
        position.Starves() ? this->Whole(position.target - position.held) : 0;
  }
  // Units that nobody holds are on their way back already.
  return static_cast<std::uint32_t>(std::max(0.0, missing + held - size));
}

void AllowanceLender::BalanceTeam(Plan& plan, const Resource& resource,
                                  double limit,
                                  std::vector<Position>& positions) {
  const auto order = NeediestFirst(positions);
  std::uint32_t free = Free(plan, resource, plan.ledger.Size(resource));
  const auto lend = [&](Position& position, std::uint32_t units) {
    units = std::min(free, units);
    Lend(plan, resource, position.entry->session, units);
    free -= units;
    position.held += units;
  };
  for (Position* position : order) {
    lend(*position, this->Whole(position->target - position->held));
  }
  for (Position* position : order) {
    lend(*position, position->Starves() ? 1 : 0);
  }
  std::uint32_t wanted = this->UnitsToRecall(limit, positions);
  const auto recall = [&](Position& position, std::uint32_t units) {
    const std::uint32_t recalled =
        this->Recall(plan, resource, *position.entry, std::min(wanted, units));
    wanted -= recalled;
    position.held -= recalled;
  };
  for (auto item = order.rbegin(); item != order.rend(); ++item) {
    recall(**item, this->Whole((*item)->held - (*item)->target));
  }
  // Above a lowered limit, units go even where the surplus is a fraction.
  for (auto item = order.rbegin(); item != order.rend(); ++item) {
    wanted = std::min(wanted, this->UnitsToRecall(limit, positions));
    recall(**item, TotalHeld(positions) > limit ? 1 : 0);
  }
}

double AllowanceLender::TotalHeld(const std::vector<Position>& positions) {
  double held = 0;
  for (const Position& position : positions) {
    held += position.held;
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
  std::vector<SlotView> slots = this->ViewSlots(plan, pool);
  double capacity = 0;
  for (const SlotView& view : slots) {
    double on_server = 0;
    capacity += view.server->row.slots;
    for (const auto& [session, totals] : *view.totals) {
      const Entry& entry = this->FindEntry(session);
      const double units = HeldBefore(*view.totals, view.resource, entry);
      held[session] += units;
      on_server += units;
      capacity -= entry.MayBorrow() ? 0 : units;
    }
    if (on_server > view.server->row.slots) {
      this->RecallExcess(
          plan, view.resource,
          static_cast<std::uint32_t>(on_server) - view.server->row.slots);
    }
  }
  std::vector<Position> positions;
  for (auto& [session, entry] : this->entries) {
    if (entry.MayBorrow()) {
      positions.push_back({&entry, 0, held[session], 0});
    }
  }
  capacity = std::max(0.0, capacity);
  this->SetPoolTargets(plan, name, pool, capacity, positions);
  this->BalancePool(plan, slots, capacity, positions);
}

std::vector<AllowanceLender::SlotView> AllowanceLender::ViewSlots(
    Plan& plan, PoolState& pool) {
  this->ForgetRemoved(plan, pool);
  std::vector<SlotView> slots;
  slots.reserve(pool.servers.size());
  for (const BackendServerName& name : pool.servers) {
    const Server& server = this->servers.at(name);
    const Resource resource = SlotsOf(name);
    if (!server.row.accepts_work) {
      this->RecallExcess(plan, resource, plan.ledger.Lent(resource));
      this->FinishRemoval(plan, server, resource);
      continue;
    }
    if (plan.ledger.Size(resource) != server.row.slots) {
      plan.slots[name.str()] = server.row.slots;
    }
    slots.push_back({&server, resource, &plan.ledger.Of(resource),
                     Free(plan, resource, server.row.slots)});
  }
  return slots;
}

void AllowanceLender::BalancePool(Plan& plan, std::vector<SlotView>& slots,
                                  double capacity,
                                  std::vector<Position>& positions) {
  const auto order = NeediestFirst(positions);
  for (Position* position : order) {
    const std::uint32_t units = this->Whole(position->target - position->held);
    position->held += LendSlots(plan, slots, *position, units);
  }
  for (Position* position : order) {
    const std::uint32_t units = position->Starves() ? 1 : 0;
    position->held += LendSlots(plan, slots, *position, units);
  }
  std::uint32_t wanted = this->UnitsToRecall(capacity, positions);
  for (auto item = order.rbegin(); item != order.rend(); ++item) {
    const std::uint32_t surplus = this->Whole((*item)->held - (*item)->target);
    wanted -= this->RecallSlots(plan, slots, **item, std::min(wanted, surplus));
  }
}

void AllowanceLender::SetPoolTargets(Plan& plan, const PoolName& name,
                                     PoolState& pool, double capacity,
                                     std::vector<Position>& positions) {
  std::vector<Claim> claims;
  claims.reserve(pool.teams.size());
  for (const auto& [team_name, team] : pool.teams) {
    double demand = 0;
    for (const auto& [session, part] : team.demand) {
      demand += part.waiting + part.running;
    }
    const auto row = this->teams.find(team_name);
    const double share = row == this->teams.end() ? 1 : row->second.share;
    claims.push_back({share, std::min(demand, this->TeamLimit(team_name))});
  }
  const std::vector<double> entitled = FillByWeight(capacity, claims);
  std::map<Session, double> targets;
  std::size_t index = 0;
  for (auto& [team_name, team] : pool.teams) {
    this->SetTeamParts(plan, name, team_name, team, entitled[index++], targets);
  }
  double spare = capacity;
  for (Position& position : positions) {
    position.demand = targets[position.entry->session];
    position.target = position.demand;
    spare -= position.demand;
  }
  spare = std::max(0.0, spare);
  for (Position& position : positions) {
    position.target += spare / static_cast<double>(positions.size());
  }
}

void AllowanceLender::SetTeamParts(Plan& plan, const PoolName& pool,
                                   const TeamName& name, PoolTeam& team,
                                   double entitlement,
                                   std::map<Session, double>& targets) {
  const auto row = this->teams.find(name);
  std::vector<Claim> claims;
  for (const auto& [session, demand] : team.demand) {
    double wanted = demand.waiting + demand.running;
    if (row != this->teams.end()) {
      // Slots are of no use at an entry without units of the team's limit.
      const auto target = row->second.targets.find(session);
      const double units =
          target == row->second.targets.end() ? 0 : target->second;
      wanted = std::min(wanted, std::max<double>(units, demand.running));
    }
    claims.push_back({1, wanted});
  }
  const std::vector<double> parts = FillByWeight(entitlement, claims);
  std::map<Session, double> by_session;
  std::size_t index = 0;
  for (const auto& [session, demand] : team.demand) {
    by_session[session] = parts[index];
    targets[session] += parts[index++];
  }
  Correct(team, entitlement);
  this->SetFractions(plan, pool, name, team, by_session);
}

void AllowanceLender::SetFractions(Plan& plan, const PoolName& pool,
                                   const TeamName& name, PoolTeam& team,
                                   const std::map<Session, double>& parts) {
  double sum = 0;
  for (const auto& [session, part] : parts) {
    sum += part;
  }
  if (sum <= 0) {
    return;
  }
  for (const auto& [session, part] : parts) {
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

void AllowanceLender::Correct(PoolTeam& team, double entitlement) {
  double running = 0;
  double waiting = 0;
  for (const auto& [session, demand] : team.demand) {
    running += demand.running;
    waiting += demand.waiting;
  }
  // Slots are whole units, so a team with small parts at many entries receives
  // more or less than its parts. The weights at all entries make up for it.
  const double ratio = waiting > 0 && running > 0 ? entitlement / running : 1;
  const double corrected = std::pow(team.correction, 1 - kCorrectionGain / 5) *
                           std::pow(ratio, kCorrectionGain);
  team.correction =
      std::clamp(corrected, 1 / kLargestCorrection, kLargestCorrection);
}

std::uint32_t AllowanceLender::LendSlots(Plan& plan,
                                         std::vector<SlotView>& slots,
                                         const Position& position,
                                         std::uint32_t units) {
  const Entry& entry = *position.entry;
  std::vector<SlotView*> offers;
  for (SlotView& view : slots) {
    if (units > 0 && view.free > 0) {
      offers.push_back(&view);
    }
  }
  std::stable_sort(
      offers.begin(), offers.end(),
      [](const SlotView* a, const SlotView* b) { return a->free > b->free; });
  std::uint32_t lent = 0;
  const auto lend_from = [&](bool near) {
    for (bool progress = true; progress && lent < units;) {
      progress = false;
      for (SlotView* view : offers) {
        const bool fits = (view->server->row.zone == entry.zone) == near;
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
                                           const Position& position,
                                           std::uint32_t units) {
  struct Loan {
    std::uint32_t idle = 0;
    bool far = false;
    std::uint32_t held = 0;
    const SlotView* view = nullptr;
  };
  Entry& entry = *position.entry;
  std::vector<Loan> loans;
  for (const SlotView& view : slots) {
    const std::uint32_t held =
        units > 0 ? HeldBefore(*view.totals, view.resource, entry) : 0;
    if (held == 0) {
      continue;
    }
    const auto use = entry.uses.find(view.resource);
    const std::uint32_t running =
        use == entry.uses.end() ? 0 : use->second.running;
    loans.push_back({held > running ? held - running : 0,
                     view.server->row.zone != entry.zone, held, &view});
  }
  std::stable_sort(loans.begin(), loans.end(),
                   [](const Loan& a, const Loan& b) {
                     return std::tie(a.idle, a.far, a.held) >
                            std::tie(b.idle, b.far, b.held);
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
  for (const auto& [session, totals] : plan.ledger.Of(resource)) {
    Entry& entry = this->FindEntry(session);
    if (entry.MayBorrow()) {
      excess -= this->Recall(plan, resource, entry, excess);
    }
  }
}

void AllowanceLender::FinishRemoval(Plan& plan, const Server& server,
                                    const Resource& resource) {
  if (server.removed && plan.ledger.Lent(resource) == 0 &&
      plan.ledger.Size(resource) > 0) {
    plan.slots[server.row.name.str()] = 0;
    this->MarkPool(server.row.pool, false);
  }
}

void AllowanceLender::ForgetRemoved(const Plan& plan, PoolState& pool) {
  std::erase_if(pool.servers, [&](const BackendServerName& name) {
    const Resource resource = SlotsOf(name);
    const bool gone = this->servers.at(name).removed &&
                      plan.ledger.Lent(resource) == 0 &&
                      plan.ledger.Size(resource) == 0;
    if (gone) {
      this->servers.erase(name);
    }
    return gone;
  });
}

}  // namespace mimosastage
