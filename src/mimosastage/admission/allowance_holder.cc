#include "mimosastage/admission/allowance_holder.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace mimosastage {

std::uint32_t AllowanceHolder::Units::Held() const {
  return static_cast<std::uint32_t>(this->lent_total - this->returned_total);
}

std::uint32_t AllowanceHolder::Units::Free() const {
  const std::uint32_t held = this->Held();
  const std::uint64_t recalled =
      this->recalled_total > this->returned_total
          ? this->recalled_total - this->returned_total
          : 0;
  const std::uint64_t taken = this->running + recalled;
  return taken >= held ? 0 : static_cast<std::uint32_t>(held - taken);
}

AllowanceHolder::AllowanceHolder(Settings settings, Session session,
                                 OnAvailable on_available)
    : settings(settings),
      current_session(session),
      on_available(std::move(on_available)) {}

void AllowanceHolder::StartSession(Session session) {
  this->current_session = session;
  this->units.clear();
  this->requests.clear();
  this->changed.clear();
  this->changed_slot_use.clear();
  this->report_number = 0;
  for (auto& [key, team] : this->demand) {
    team.running = 0;
    if (key.second.empty()) {
      continue;
    }
    this->Find({ResourceKind::kTeamLimit, key.second.str()}).second.waiting +=
        team.waiting;
  }
  this->RequestFullReport();
}

AllowanceHolder::ResourceUnits& AllowanceHolder::Find(
    const Resource& resource) {
  return *this->units.try_emplace(resource).first;
}

void AllowanceHolder::Update(LogIndex applied,
                             const std::vector<AllowanceHolding>& holdings) {
  this->applied = std::max(this->applied, applied);
  for (const AllowanceHolding& holding : holdings) {
    if (holding.session != this->current_session) {
      continue;
    }
    ResourceUnits& resource_units = this->Find(holding.resource);
    const bool had_free = resource_units.second.Free() > 0;
    resource_units.second.lent_total =
        std::max(resource_units.second.lent_total, holding.lent_total);
    this->ReturnRecalled(resource_units);
    this->MarkChanged(resource_units, false);
    if (!had_free && resource_units.second.Free() > 0) {
      this->on_available(resource_units.first);
    }
  }
}

std::uint32_t AllowanceHolder::Available(const Resource& resource) const {
  const auto found = this->units.find(resource);
  return found == this->units.end() ? 0 : found->second.Free();
}

bool AllowanceHolder::Acquire(std::uint64_t request, const Resource& resource) {
  const auto found = this->units.find(resource);
  if (found == this->units.end() || found->second.Free() == 0) {
    return false;
  }
  std::vector<ResourceUnits*>& taken = this->requests[request];
  if (std::find(taken.begin(), taken.end(), &*found) != taken.end()) {
    return false;
  }
  taken.push_back(&*found);
  ++found->second.running;
  this->MarkChanged(*found, true);
  return true;
}

bool AllowanceHolder::Release(std::uint64_t request, const Resource& resource) {
  const auto found = this->requests.find(request);
  if (found == this->requests.end()) {
    return false;
  }
  std::vector<ResourceUnits*>& taken = found->second;
  const auto unit = std::find_if(taken.begin(), taken.end(),
                                 [&](const ResourceUnits* resource_units) {
                                   return resource_units->first == resource;
                                 });
  if (unit == taken.end()) {
    return false;
  }
  ResourceUnits& resource_units = **unit;
  taken.erase(unit);
  if (taken.empty()) {
    this->requests.erase(found);
  }
  this->ReleaseUnit(resource_units);
  return true;
}

int AllowanceHolder::ReleaseAll(std::uint64_t request) {
  const auto node = this->requests.extract(request);
  if (node.empty()) {
    return 0;
  }
  for (ResourceUnits* resource_units : node.mapped()) {
    this->ReleaseUnit(*resource_units);
  }
  return static_cast<int>(node.mapped().size());
}

void AllowanceHolder::ReleaseUnit(ResourceUnits& resource_units) {
  const bool had_free = resource_units.second.Free() > 0;
  --resource_units.second.running;
  this->ReturnRecalled(resource_units);
  this->MarkChanged(resource_units, true);
  if (!had_free && resource_units.second.Free() > 0) {
    this->on_available(resource_units.first);
  }
}

void AllowanceHolder::ReturnRecalled(ResourceUnits& resource_units) {
  Units& units = resource_units.second;
  if (units.recalled_total <= units.returned_total) {
    return;
  }
  const std::uint64_t idle =
      units.Held() > units.running ? units.Held() - units.running : 0;
  const std::uint64_t wanted = units.recalled_total - units.returned_total;
  const std::uint64_t returned = std::min(idle, wanted);
  units.returned_total += returned;
  if (returned > 0) {
    this->MarkChanged(resource_units, false);
  }
}

void AllowanceHolder::Recall(const RecallRequest& recall) {
  ResourceUnits& resource_units = this->Find(recall.resource);
  resource_units.second.recalled_total =
      std::max(resource_units.second.recalled_total, recall.recalled_total);
  this->ReturnRecalled(resource_units);
  // A repeated recall means that the report of the return may have been lost.
  this->MarkChanged(resource_units, false);
}

void AllowanceHolder::RecallAll() {
  for (ResourceUnits& resource_units : this->units) {
    resource_units.second.recalled_total =
        std::numeric_limits<std::uint64_t>::max();
    this->ReturnRecalled(resource_units);
  }
}

bool AllowanceHolder::HoldsNothing() const {
  return std::all_of(this->units.begin(), this->units.end(),
                     [](const ResourceUnits& resource_units) {
                       return resource_units.second.Held() == 0;
                     });
}

void AllowanceHolder::SetDemand(const PoolName& pool, const TeamName& team,
                                std::uint32_t waiting, std::uint32_t running) {
  const auto [item, added] = this->demand.try_emplace({pool, team});
  TeamDemand& known = item->second;
  if (added) {
    known.pool = pool;
    known.team = team;
  }
  if (known.waiting == waiting && known.running == running) {
    return;
  }
  if (!team.empty()) {
    ResourceUnits& limit = this->Find({ResourceKind::kTeamLimit, team.str()});
    limit.second.waiting += waiting - known.waiting;
    this->MarkChanged(limit, true);
  }
  known.waiting = waiting;
  known.running = running;
  this->changed_teams.insert(item->first);
}

void AllowanceHolder::MarkChanged(const ResourceUnits& resource_units,
                                  bool only_use_changed) {
  if (only_use_changed &&
      resource_units.first.kind == ResourceKind::kBackendServerSlots) {
    this->changed_slot_use.insert(resource_units.first);
  } else {
    this->changed.insert(resource_units.first);
  }
}

void AllowanceHolder::RequestFullReport() { this->full_report = true; }

std::optional<DemandReport> AllowanceHolder::TakeReport(TimePoint now) {
  const bool first = this->report_number == 0;
  const Duration since = now - this->last_report;
  const bool has_changes = this->full_report || !this->changed.empty() ||
                           !this->changed_teams.empty() ||
                           this->SlotUseDue(now);
  if (!first &&
      (since < this->settings.report_interval ||
       (!has_changes && since < this->settings.max_report_interval))) {
    return std::nullopt;
  }
  DemandReport report;
  report.session = this->current_session;
  report.number = ++this->report_number;
  report.applied = this->applied;
  report.full = this->full_report;
  this->AddResources(report, now);
  this->AddTeams(report);
  this->full_report = false;
  this->last_report = now;
  return report;
}

bool AllowanceHolder::SlotUseDue(TimePoint now) const {
  return !this->changed_slot_use.empty() &&
         now - this->last_slot_use >= this->settings.slot_use_interval;
}

void AllowanceHolder::AddResources(DemandReport& report, TimePoint now) {
  if (this->full_report || this->SlotUseDue(now)) {
    this->changed.merge(this->changed_slot_use);
    this->changed_slot_use.clear();
    this->last_slot_use = now;
  }
  const auto add = [&](const Resource& resource, const Units& units) {
    report.resources.push_back({resource, units.Held(), units.running,
                                units.waiting, units.returned_total});
  };
  if (this->full_report) {
    for (const auto& [resource, units] : this->units) {
      add(resource, units);
    }
  } else {
    for (const Resource& resource : this->changed) {
      add(resource, this->units[resource]);
    }
  }
  this->changed.clear();
}

void AllowanceHolder::AddTeams(DemandReport& report) {
  if (this->full_report) {
    for (const auto& [key, team] : this->demand) {
      report.teams.push_back(team);
    }
  } else {
    for (const auto& key : this->changed_teams) {
      report.teams.push_back(this->demand[key]);
    }
  }
  for (const auto& key : this->changed_teams) {
    const TeamDemand& team = this->demand[key];
    if (team.waiting == 0 && team.running == 0) {
      this->demand.erase(key);
    }
  }
  this->changed_teams.clear();
}

}  // namespace mimosastage
