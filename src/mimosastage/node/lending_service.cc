#include "mimosastage/node/lending_service.h"

#include <algorithm>
#include <utility>

namespace mimosastage {

LendingService::LendingService(Settings settings, Hooks hooks)
    : settings(std::move(settings)), hooks(std::move(hooks)) {}

void LendingService::SetLeader(bool leader, TimePoint now) {
  if (leader == this->lender.has_value()) {
    return;
  }
  ++this->leadership_epoch;
  if (leader) {
    this->ResetLender(now);
  } else {
    this->lender.reset();
  }
}

void LendingService::ResetLender(TimePoint now) {
  this->lender.emplace(this->settings.lender, now);
  this->lender->SetTeams(this->teams);
  this->lender->SetLongestDeadline(this->longest_deadline);
  for (std::size_t i = 0; i < this->settings.availability_zones.size(); ++i) {
    this->lender->SetZone(DaemonId{static_cast<std::uint16_t>(i)},
                          this->settings.availability_zones[i]);
  }
  for (const auto& [name, server] : this->servers) {
    this->lender->SetServer(server);
  }
}

void LendingService::OnTablesChanged(const std::vector<Team>& teams,
                                     Duration longest_deadline) {
  this->teams = teams;
  this->longest_deadline = longest_deadline;
  if (this->lender.has_value()) {
    this->lender->SetTeams(teams);
    this->lender->SetLongestDeadline(longest_deadline);
  }
}

void LendingService::OnDirectoryChange(
    const BackendServerDirectory& directory,
    const std::map<PoolName, std::uint32_t>& pool_slots) {
  std::map<BackendServerName, LendableServer> present;
  for (const Announcement* server : directory.All()) {
    LendableServer lendable;
    lendable.name = server->name;
    lendable.pool = server->pool;
    lendable.zone = server->availability_zone;
    lendable.slots = server->slots;
    if (auto found = pool_slots.find(server->pool); found != pool_slots.end()) {
      lendable.slots = std::min(lendable.slots, found->second);
    }
    lendable.accepts_work = !server->departing;
    present.emplace(lendable.name, std::move(lendable));
  }
  if (this->lender.has_value()) {
    for (const auto& [name, server] : present) {
      if (auto known = this->servers.find(name);
          known == this->servers.end() || known->second != server) {
        this->lender->SetServer(server);
      }
    }
    for (const auto& [name, server] : this->servers) {
      if (!present.contains(name)) {
        this->lender->RemoveServer(name);
      }
    }
  }
  this->servers = std::move(present);
}

bool LendingService::OnLeaseRequest(Session session, TimePoint now) {
  if (!this->lender.has_value()) {
    return true;
  }
  if (!this->lender->MayServe(session)) {
    return false;
  }
  this->lender->SessionSeen(session, now);
  return true;
}

void LendingService::OnReport(const DemandReport& report, TimePoint now) {
  if (this->lender.has_value()) {
    this->lender->SessionSeen(report.session, now);
    this->lender->HandleReport(report);
  }
}

void LendingService::Round(const AllowanceLedger& ledger, TimePoint now) {
  if (!this->lender.has_value()) {
    return;
  }
  LenderRound round = this->lender->Round(ledger, now);
  if (round.moves.has_value()) {
    this->hooks.propose_moves(
        *round.moves,
        [this, leadership_epoch = this->leadership_epoch](bool applied) {
          if (this->lender.has_value() &&
              leadership_epoch == this->leadership_epoch) {
            this->lender->MovesFinished(applied);
          }
        });
  }
  for (const SessionEnd& ended : round.ended) {
    this->hooks.propose_end(ended);
  }
  for (const LenderNotice& notice : round.notices) {
    this->hooks.send_notice(notice);
  }
}

}  // namespace mimosastage
