#include "mimosastage/admission/allowance_ledger.h"

#include <algorithm>
#include <utility>

namespace mimosastage {

AllowanceLedger::AllowanceLedger(TeamLimit team_limit)
    : team_limit(std::move(team_limit)) {}

void AllowanceLedger::Apply(const AllowanceMoves& moves) {
  for (const auto& [name, slots] : moves.backend_server_slots) {
    this->accounts[{ResourceKind::kBackendServerSlots, name}].slots = slots;
  }
  for (const AllowanceMove& move : moves.moves) {
    this->ApplyMove(move);
  }
}

void AllowanceLedger::ApplyMove(const AllowanceMove& move) {
  if (!this->IsAlive(move.session)) {
    return;
  }
  Account& account = this->accounts[move.resource];
  const auto found = account.sessions.find(move.session);
  Totals totals = found == account.sessions.end() ? Totals{} : found->second;
  const std::uint64_t returned_before = totals.returned_total;
  // Units that were never lent can't be returned.
  const std::uint64_t returned =
      std::min(move.returned_total, totals.lent_total);
  totals.returned_total = std::max(totals.returned_total, returned);
  totals.lent_total += move.lend;
  const std::uint64_t lent =
      account.lent - (totals.returned_total - returned_before) + move.lend;
  if (move.lend > 0 && lent > this->SizeOf(move.resource, account)) {
    return;
  }
  account.lent = lent;
  account.sessions[move.session] = totals;
}

void AllowanceLedger::StartSession(Session session) {
  this->sessions.insert(session);
}

void AllowanceLedger::EndSession(Session session) {
  if (this->sessions.erase(session) == 0) {
    return;
  }
  for (auto& [resource, account] : this->accounts) {
    if (const auto found = account.sessions.find(session);
        found != account.sessions.end()) {
      account.lent -= found->second.Held();
      account.sessions.erase(found);
    }
  }
  std::erase_if(this->accounts, [](const auto& item) {
    return item.second.sessions.empty() && item.second.slots == 0;
  });
}

bool AllowanceLedger::IsAlive(Session session) const {
  return this->sessions.contains(session);
}

std::uint32_t AllowanceLedger::Held(const Resource& resource,
                                    Session session) const {
  const SessionTotals& totals = this->TotalsOf(resource);
  const auto found = totals.find(session);
  return found == totals.end() ? 0 : found->second.Held();
}

std::uint32_t AllowanceLedger::Lent(const Resource& resource) const {
  const auto found = this->accounts.find(resource);
  return found == this->accounts.end()
             ? 0
             : static_cast<std::uint32_t>(found->second.lent);
}

std::uint32_t AllowanceLedger::Size(const Resource& resource) const {
  const auto found = this->accounts.find(resource);
  return this->SizeOf(
      resource, found == this->accounts.end() ? Account{} : found->second);
}

std::uint32_t AllowanceLedger::SizeOf(const Resource& resource,
                                      const Account& account) const {
  return resource.kind == ResourceKind::kTeamLimit
             ? this->team_limit(resource.name)
             : account.slots;
}

const AllowanceLedger::SessionTotals& AllowanceLedger::TotalsOf(
    const Resource& resource) const {
  static const SessionTotals kNoTotals;
  const auto found = this->accounts.find(resource);
  return found == this->accounts.end() ? kNoTotals : found->second.sessions;
}

std::vector<AllowanceHolding> AllowanceLedger::HoldingsOf(
    Session session, const AllowanceMoves& moves) const {
  std::vector<AllowanceHolding> holdings;
  for (const AllowanceMove& move : moves.moves) {
    if (move.session != session) {
      continue;
    }
    const SessionTotals& totals = this->TotalsOf(move.resource);
    if (const auto found = totals.find(session); found != totals.end()) {
      holdings.push_back({move.resource, session, found->second.lent_total,
                          found->second.returned_total});
    }
  }
  return holdings;
}

std::vector<AllowanceHolding> AllowanceLedger::HoldingsOf(
    Session session) const {
  std::vector<AllowanceHolding> holdings = this->Holdings();
  std::erase_if(holdings, [&](const AllowanceHolding& holding) {
    return holding.session != session;
  });
  return holdings;
}

std::vector<AllowanceHolding> AllowanceLedger::Holdings() const {
  std::vector<AllowanceHolding> holdings;
  for (const auto& [resource, account] : this->accounts) {
    if (account.sessions.empty()) {
      holdings.push_back({resource, Session{}, 0, 0, account.slots});
    }
    for (const auto& [session, totals] : account.sessions) {
      holdings.push_back({resource, session, totals.lent_total,
                          totals.returned_total, account.slots});
    }
  }
  return holdings;
}

void AllowanceLedger::Restore(const std::vector<AllowanceHolding>& holdings) {
  this->sessions.clear();
  this->accounts.clear();
  for (const AllowanceHolding& holding : holdings) {
    Account& account = this->accounts[holding.resource];
    account.slots = holding.slots;
    if (holding.session == Session{}) {
      continue;
    }
    account.lent += holding.Held();
    account.sessions[holding.session] = {holding.lent_total,
                                         holding.returned_total};
    this->sessions.insert(holding.session);
  }
}

}  // namespace mimosastage
