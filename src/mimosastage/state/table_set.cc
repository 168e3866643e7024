#include "mimosastage/state/table_set.h"

#include <algorithm>
#include <set>
#include <utility>

#include "mimosastage/state/internal/row_check.h"

namespace mimosastage {
namespace {

constexpr std::size_t kMaxChangeIdBytes = 128;

template <class Map>
std::vector<Row> RowsOf(const Map& map) {
  std::vector<Row> rows;
  rows.reserve(map.size());
  for (const auto& [name, row] : map) {
    rows.emplace_back(row);
  }
  return rows;
}

template <class Map>
const typename Map::mapped_type* FindIn(const Map& map, std::string_view name) {
  const auto found = map.find(name);
  return found == map.end() ? nullptr : &found->second;
}

std::size_t IndexOf(TableKind table) { return static_cast<std::size_t>(table); }

}  // namespace

const char* TableName(TableKind table) {
  constexpr std::array kNames{"routes", "pools", "teams", "policy"};
  return kNames.at(IndexOf(table));
}

TableKind TableOf(const Row& row) {
  return static_cast<TableKind>(row.index());
}

bool IsName(std::string_view text) {
  const bool plain = std::all_of(text.begin(), text.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9') || c == '.' || c == '-' || c == '_';
  });
  return plain && !text.empty() && text.size() <= TableSet::kMaxNameBytes;
}

ChangeRefusal TableSet::Apply(const TableChange& change) {
  const std::uint64_t version = this->VersionOf(change.table);
  if (change.base_version != version) {
    return {StateError::kVersionConflict,
            std::string(TableName(change.table)) + " is at version " +
                std::to_string(version) + ", the change is based on version " +
                std::to_string(change.base_version) +
                "; read the table and repeat the change with a new id"};
  }
  if (ChangeRefusal refusal = this->CheckWellFormed(change); refusal.error) {
    return refusal;
  }
  TableSet candidate = *this;
  if (ChangeRefusal refusal = candidate.ApplyRows(change); refusal.error) {
    return refusal;
  }
  if (ChangeRefusal refusal = candidate.CheckConstraints(change.table);
      refusal.error) {
    return refusal;
  }
  ++candidate.versions.at(IndexOf(change.table));
  *this = std::move(candidate);
  return {};
}

ChangeRefusal TableSet::CheckWellFormed(const TableChange& change) const {
  if (change.change_id.empty() || change.change_id.size() > kMaxChangeIdBytes) {
    return {StateError::kBadChange,
            "change_id has " + std::to_string(change.change_id.size()) +
                " bytes; use 1 to 128"};
  }
  if (change.upserts.empty() && change.deletes.empty()) {
    return {StateError::kBadChange,
            "the change is empty; name rows to set or to delete"};
  }
  std::set<std::string> names;
  for (const Row& row : change.upserts) {
    if (TableOf(row) != change.table) {
      return {StateError::kBadChange,
              "a row of " + std::string(TableName(TableOf(row))) +
                  " is in a change of " + TableName(change.table) +
                  "; send one change for each table"};
    }
    if (ChangeRefusal refusal = CheckRow(row); refusal.error) {
      return refusal;
    }
    if (!names.insert(RowName(row)).second) {
      return {StateError::kBadChange,
              "row \"" + RowName(row) + "\" occurs twice; name it once"};
    }
  }
  for (const std::string& name : change.deletes) {
    if (!names.insert(name).second) {
      return {StateError::kBadChange, "row \"" + name.substr(0, kMaxNameBytes) +
                                          "\" occurs twice; name it once"};
    }
  }
  return {};
}

ChangeRefusal TableSet::ApplyRows(const TableChange& change) {
  for (const std::string& name : change.deletes) {
    if (ChangeRefusal refusal = this->Delete(change.table, name);
        refusal.error) {
      return refusal;
    }
  }
  for (const Row& row : change.upserts) {
    this->Put(row);
  }
  return this->CheckSize(change.table);
}

ChangeRefusal TableSet::Delete(TableKind table, const std::string& name) {
  std::size_t erased = 0;
  if (table == TableKind::kRoutes) {
    erased = this->routes.erase(name);
  } else if (table == TableKind::kPools) {
    erased = this->pools.erase(name);
  } else if (table == TableKind::kTeams) {
    erased = this->teams.erase(name);
  } else {
    return {StateError::kBadChange,
            "the policy row can't be deleted; set it to other values"};
  }
  if (erased == 0) {
    return {StateError::kUnknownRow,
            std::string(TableName(table)) + " has no row \"" +
                name.substr(0, kMaxNameBytes) + "\"; leave it out"};
  }
  return {};
}

void TableSet::Put(const Row& row) {
  if (const auto* route = std::get_if<Route>(&row)) {
    this->routes.insert_or_assign(route->name.str(), *route);
  } else if (const auto* pool = std::get_if<Pool>(&row)) {
    this->pools.insert_or_assign(pool->name.str(), *pool);
  } else if (const auto* team = std::get_if<Team>(&row)) {
    this->teams.insert_or_assign(team->name.str(), *team);
  } else {
    this->policy = std::get<Policy>(row);
  }
}

ChangeRefusal TableSet::CheckConstraints(TableKind table) const {
  if (table == TableKind::kRoutes) {
    const auto violations = this->FindRouteViolations();
    return violations.empty() ? ChangeRefusal{} : violations.front();
  }
  if (table != TableKind::kPools) {
    return {};
  }
  if (const auto violations = this->FindPoolViolations(); !violations.empty()) {
    return violations.front();
  }
  if (const auto violations = this->FindRouteViolations();
      !violations.empty()) {
    return {StateError::kPoolInUse,
            violations.front().detail + ", or change the route first"};
  }
  return {};
}

std::vector<ChangeRefusal> TableSet::FindViolations() const {
  std::vector<ChangeRefusal> violations = this->FindPoolViolations();
  const auto of_routes = this->FindRouteViolations();
  violations.insert(violations.end(), of_routes.begin(), of_routes.end());
  for (const TableKind table :
       {TableKind::kRoutes, TableKind::kPools, TableKind::kTeams}) {
    if (ChangeRefusal refusal = this->CheckSize(table); refusal.error) {
      violations.push_back(std::move(refusal));
    }
  }
  return violations;
}

ChangeRefusal TableSet::CheckSize(TableKind table) const {
  const std::array sizes{this->routes.size(), this->pools.size(),
                         this->teams.size(), std::size_t{1}};
  if (sizes.at(IndexOf(table)) > kMaxRows) {
    return {StateError::kTableFull, std::string(TableName(table)) +
                                        " would have more than 4096 rows; "
                                        "delete rows that are not needed"};
  }
  return {};
}

std::vector<ChangeRefusal> TableSet::FindRouteViolations() const {
  std::vector<ChangeRefusal> violations;
  for (const auto& [name, route] : this->routes) {
    if (!this->pools.contains(route.pool.str())) {
      violations.push_back(
          {StateError::kUnknownPool, "route " + name + " refers to pool " +
                                         route.pool.str() +
                                         ", which would not exist; keep or "
                                         "create the pool"});
    }
  }
  return violations;
}

std::vector<ChangeRefusal> TableSet::FindPoolViolations() const {
  std::vector<ChangeRefusal> violations;
  std::map<InstanceName, std::string_view> pool_of;
  for (const auto& [name, pool] : this->pools) {
    if (pool.availability_budget > pool.instances.size()) {
      violations.push_back(
          {StateError::kBudgetTooLarge,
           "pool " + name + " has a budget of " +
               std::to_string(pool.availability_budget) + " and " +
               std::to_string(pool.instances.size()) +
               " instances; lower the budget or add instances"});
    }
    for (const InstanceName& instance : pool.instances) {
      if (auto [first, added] = pool_of.emplace(instance, name); !added) {
        violations.push_back({StateError::kInstanceInTwoPools,
                              "instance " + instance.str() +
                                  " would be in pools " +
                                  std::string(first->second) + " and " + name +
                                  "; take it out of one in the same change"});
      }
    }
  }
  if (pool_of.size() > kMaxRows) {
    violations.push_back(
        {StateError::kTableFull, "the pools would have " +
                                     std::to_string(pool_of.size()) +
                                     " instances; use at most 4096"});
  }
  return violations;
}

std::uint64_t TableSet::VersionOf(TableKind table) const {
  return this->versions.at(IndexOf(table));
}

const Route* TableSet::FindRoute(std::string_view name) const {
  return FindIn(this->routes, name);
}

const Pool* TableSet::FindPool(std::string_view name) const {
  return FindIn(this->pools, name);
}

const Team* TableSet::FindTeam(std::string_view name) const {
  return FindIn(this->teams, name);
}

std::vector<Row> TableSet::Rows(TableKind table) const {
  switch (table) {
    case TableKind::kRoutes:
      return RowsOf(this->routes);
    case TableKind::kPools:
      return RowsOf(this->pools);
    case TableKind::kTeams:
      return RowsOf(this->teams);
    case TableKind::kPolicy:
      return {this->policy};
  }
  return {};
}

void TableSet::Restore(const std::array<std::uint64_t, 4>& versions,
                       const std::vector<Row>& rows) {
  *this = TableSet();
  this->versions = versions;
  for (const Row& row : rows) {
    this->Put(row);
  }
}

}  // namespace mimosastage
