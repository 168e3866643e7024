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

/// The rows that an operator wants to be in force, by table. A table that the
/// declaration leaves out stays as it is.
struct Declaration {
  std::map<TableKind, std::vector<Row>> tables;
};

/// One table with its version, as the operator API sends it.
struct TableView {
  TableKind table = TableKind::kRoutes;
  std::uint64_t version = 0;
  std::vector<Row> rows;
};

/// The table with this name, such as "routes".
std::optional<TableKind> TableFromName(std::string_view name);

/// Durations are strings with a unit; fields with their default value are
/// written too.
nlohmann::json RowToJson(const Row& row);
nlohmann::json ChangeToJson(const TableChange& change);
nlohmann::json TableToJson(const TableSet& tables, TableKind table);

/// The readers below report each unknown field, wrong type, wrong unit and
/// value out of range in `problems` and then give nothing. `path` prefixes the
/// names of fields.
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

/// The changes that turn the tables in force into the declared ones, to be
/// applied in this order: pools that are new or changed, teams, policy, routes,
/// and at last deleted pools, so that no step breaks a relation between the
/// tables. Each id is `change_id` and a fingerprint of the change: a command
/// that is run again after a lost answer sends what is left to do, and a step
/// with other content must not get the outcome of an earlier one. Equal tables
/// give no change.
std::vector<TableChange> Diff(const Declaration& declaration,
                              const TableSet& tables,
                              const std::string& change_id);

/// Lines such as "+ routes/render", "~ pools/desk" and "- teams/old" for a
/// change to `tables`.
std::vector<std::string> DescribeChange(const TableChange& change,
                                        const TableSet& tables);

}  // namespace mimosastage

#endif  // MIMOSASTAGE_STATE_DECLARATION_H_
