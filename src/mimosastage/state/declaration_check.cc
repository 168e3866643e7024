#include "mimosastage/state/declaration_check.h"

#include <algorithm>
#include <array>
#include <set>

#include "mimosastage/state/state_error.h"

namespace mimosastage {
namespace {

constexpr TableKind kAllTables[] = {TableKind::kRoutes, TableKind::kPools,
                                    TableKind::kTeams, TableKind::kPolicy};

void AddWarning(std::string kind, std::string text,
                std::vector<DeclarationFinding>* findings) {
  findings->push_back({false, std::move(kind), std::move(text)});
}

void CheckPoolLimits(const std::string& name, const Pool& pool,
                     std::vector<DeclarationFinding>* findings) {
  if (pool.availability_budget == 0 && !pool.instances.empty()) {
    AddWarning("budget_forbids_upkeep",
               "pool " + name +
                   " has a budget of 0, so that no instance may ever be out of "
                   "service and maintenance never ends; use at least 1",
               findings);
  }
  if (pool.connections_per_instance < pool.slots_per_instance) {
    AddWarning("slots_without_connections",
               "pool " + name + " has " +
                   std::to_string(pool.slots_per_instance) + " slots and " +
                   std::to_string(pool.connections_per_instance) +
                   " connections for each instance, so that the other slots "
                   "are never used; raise connections_per_instance",
               findings);
  }
}

/// Adds entries that can never be used. Both tables must be known.
void CheckUse(const TableSet& tables,
              std::vector<DeclarationFinding>* findings) {
  std::set<std::string> routed;
  for (const auto& [name, route] : tables.AllRoutes()) {
    routed.insert(route.pool.str());
    if (const Pool* const pool = tables.FindPool(route.pool.str());
        pool != nullptr && pool->instances.empty()) {
      AddWarning("route_without_instances",
                 "route " + name + " refers to pool " + route.pool.str() +
                     ", which has no instances; add some or remove the route",
                 findings);
    }
  }
  for (const auto& [name, pool] : tables.AllPools()) {
    if (!pool.spare && !routed.contains(name)) {
      AddWarning("pool_without_route",
                 "no route refers to pool " + name +
                     ", so that its instances get no requests; add a route, "
                     "make it spare or remove it",
                 findings);
    }
  }
}

}  // namespace

TableSet TablesAfter(const Declaration& declaration, const TableSet& tables) {
  std::array<std::uint64_t, 4> versions{};
  std::vector<Row> rows;
  for (const TableKind table : kAllTables) {
    versions.at(static_cast<std::size_t>(table)) = tables.VersionOf(table);
    const auto declared = declaration.tables.find(table);
    const std::vector<Row> kept = declared == declaration.tables.end()
                                      ? tables.Rows(table)
                                      : declared->second;
    rows.insert(rows.end(), kept.begin(), kept.end());
  }
  TableSet after;
  after.Restore(versions, rows);
  return after;
}

std::vector<DeclarationFinding> CheckDeclaration(
    const Declaration& declaration, const TableSet& tables,
    const std::vector<KeyOwner>& keys) {
  const TableSet after = TablesAfter(declaration, tables);
  const auto is_known = [&](TableKind table) {
    return declaration.tables.contains(table) || !tables.Rows(table).empty();
  };
  const bool both_known =
      is_known(TableKind::kRoutes) && is_known(TableKind::kPools);
  std::vector<DeclarationFinding> findings;
  for (const ChangeRefusal& refusal : after.FindViolations()) {
    if (both_known || refusal.error != StateError::kUnknownPool) {
      findings.push_back(
          {true, ReasonOf(AsStateError(refusal.error)), refusal.detail});
    }
  }
  for (const auto& [key, team] : keys) {
    if (after.FindTeam(team) == nullptr) {
      std::string text = "key ";
      text.append(key).append(" belongs to team ").append(team);
      text += ", which would not exist; revoke the key first or keep the team";
      findings.push_back(
          {true, ReasonOf(StateError::kTeamInUse), std::move(text)});
    }
  }
  for (const auto& [name, pool] : after.AllPools()) {
    CheckPoolLimits(name, pool, &findings);
  }
  if (both_known) {
    CheckUse(after, &findings);
  }
  return findings;
}

}  // namespace mimosastage
