#include "tests/state/support/naive_state.h"

#include <set>

namespace mimosastage {
namespace {

bool ValidRow(const Row& row) {
  if (RowName(row).find_first_of("/ ") != std::string::npos) {
    return false;
  }
  if (const auto* route = std::get_if<Route>(&row)) {
    return route->deadline.count() > 0;
  }
  if (const auto* pool = std::get_if<Pool>(&row)) {
    return pool->availability_budget <= pool->instances.size();
  }
  if (const auto* team = std::get_if<Team>(&row)) {
    return team->share > 0;
  }
  return std::get<Policy>(row).retry_percent <= 100;
}

}  // namespace

NaiveState::Answer NaiveState::Change(const TableChange& change) {
  if (auto seen = this->first_answers.find(change.change_id);
      seen != this->first_answers.end()) {
    return seen->second;
  }
  Answer answer;
  answer.conflict = change.base_version != this->versions[change.table];
  auto after = this->rows;
  for (const std::string& name : change.deletes) {
    after[change.table].erase(name);
  }
  for (const Row& row : change.upserts) {
    after[change.table][RowName(row)] = row;
  }
  answer.accepted = !answer.conflict && this->Valid(change, after);
  if (answer.accepted) {
    this->rows = after;
    ++this->versions[change.table];
  }
  answer.version = this->versions[change.table];
  this->first_answers[change.change_id] = answer;
  return answer;
}

bool NaiveState::Valid(
    const TableChange& change,
    const std::map<TableKind, std::map<std::string, Row>>& after) const {
  std::set<std::string> named(change.deletes.begin(), change.deletes.end());
  bool valid = !change.upserts.empty() || !change.deletes.empty();
  for (const std::string& name : change.deletes) {
    valid = valid && this->rows.at(change.table).contains(name);
  }
  for (const Row& row : change.upserts) {
    valid = valid && static_cast<TableKind>(row.index()) == change.table;
    valid = valid && ValidRow(row) && named.insert(RowName(row)).second;
  }
  for (const auto& [name, row] : after.at(TableKind::kRoutes)) {
    const auto* route = std::get_if<Route>(&row);
    valid = valid && route != nullptr &&
            after.at(TableKind::kPools).contains(route->pool.str());
  }
  std::set<InstanceName> instances;
  for (const auto& [name, row] : after.at(TableKind::kPools)) {
    if (const auto* pool = std::get_if<Pool>(&row)) {
      for (const InstanceName& instance : pool->instances) {
        valid = instances.insert(instance).second && valid;
      }
    }
  }
  for (const auto& [key_id, grant] : this->keys) {
    valid = valid && after.at(TableKind::kTeams).contains(grant.team.str());
  }
  return valid;
}

NaiveState::Answer NaiveState::Grant(const KeyGrant& grant) {
  if (auto seen = this->first_answers.find(grant.change_id);
      seen != this->first_answers.end()) {
    return seen->second;
  }
  Answer answer;
  answer.accepted = this->rows[TableKind::kTeams].contains(grant.team.str()) &&
                    this->keys.emplace(grant.key_id, grant).second;
  this->first_answers[grant.change_id] = answer;
  return answer;
}

NaiveState::Answer NaiveState::Revoke(const KeyRevoke& revoke) {
  if (auto seen = this->first_answers.find(revoke.change_id);
      seen != this->first_answers.end()) {
    return seen->second;
  }
  Answer answer;
  answer.accepted = this->keys.erase(revoke.key_id) > 0;
  this->first_answers[revoke.change_id] = answer;
  return answer;
}

}  // namespace mimosastage
