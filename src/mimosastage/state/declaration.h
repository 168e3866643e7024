#ifndef MIMOSASTAGE_STATE_DECLARATION_H_
#define MIMOSASTAGE_STATE_DECLARATION_H_

#include <map>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "mimosastage/base/json_reader.h"
#include "mimosastage/state/commands.h"
#include "mimosastage/state/table_set.h"
#include "mimosastage/state/tables.h"

namespace mimosastage {

/// The desired rows of each table, as declared by an operator. Tables that are
/// left out stay unchanged.
struct Declaration {
  std::map<TableKind, std::vector<Row>> tables;
};

/// One table with its version, as the operator API sends it.
struct TableView {
  TableKind table = TableKind::kRoutes;
  std::uint64_t version = 0;
  std::vector<Row> rows;
};

/// The table named `name`, such as "routes"; nothing for an unknown name.
std::optional<TableKind> TableFromName(std::string_view name);

/// The JSON form of the operator API. Durations are strings with a unit; fields
/// with their default value are included.
nlohmann::json RowToJson(const Row& row);
nlohmann::json ChangeToJson(const TableChange& change);
nlohmann::json TableToJson(const TableSet& tables, TableKind table);

/// The functions below add each unknown field, wrong type, wrong unit and value
/// out of range to `problems`, and return nothing if there is any. `path` is
/// the prefix of the reported field names.
std::optional<Row> RowFromJson(const nlohmann::json& value, TableKind table,
                               const std::string& path,
                               std::vector<Problem>* problems);
/// Reads `{"change_id", "base_version", "upserts", "deletes"}`.
std::optional<TableChange> ChangeFromJson(const nlohmann::json& value,
                                          TableKind table,
                                          std::vector<Problem>* problems);
std::optional<TableView> TableFromJson(const nlohmann::json& value,
                                       std::vector<Problem>* problems);
/// Reads `{"routes": [...], "pools": [...], "teams": [...], "policy": {...}}`.
std::optional<Declaration> ParseDeclaration(std::string_view text,
                                            std::vector<Problem>* problems);

/// Computes the changes that turn `tables` into the declared ones, in the order
/// in which they must be applied: new and changed pools, teams, policy, routes,
/// deleted pools. In this order no step violates a constraint between tables.
/// Each change id is `change_id` plus a fingerprint of the change: a command
/// that is run again after a lost answer sends only the remaining steps, and a
/// step with other content must not get the recorded outcome of an earlier one.
/// Empty if the tables are equal.
std::vector<TableChange> Diff(const Declaration& declaration,
                              const TableSet& tables,
                              const std::string& change_id);

/// Describes a change to `tables` in lines such as "+ routes/render",
/// "~ pools/desk" and "- teams/old".
std::vector<std::string> DescribeChange(const TableChange& change,
                                        const TableSet& tables);

}  // namespace mimosastage

#endif  // MIMOSASTAGE_STATE_DECLARATION_H_
