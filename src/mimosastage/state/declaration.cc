#include "mimosastage/state/declaration.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <limits>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "mimosastage/state/internal/row_check.h"

namespace mimosastage {
namespace {

using Presence = JsonObjectReader::Presence;

// Upper bounds of the JSON reader, above all limits that CheckRow enforces.
constexpr std::uint64_t kMaxParsedNumber =
    std::numeric_limits<std::uint32_t>::max();
constexpr std::chrono::milliseconds kMaxParsedDuration =
    std::chrono::hours(24 * 365);

constexpr TableKind kAllTables[] = {TableKind::kRoutes, TableKind::kPools,
                                    TableKind::kTeams, TableKind::kPolicy};

nlohmann::json ToJson(const Route& route) {
  return {{"name", route.name.str()},
          {"pool", route.pool.str()},
          {"open", route.open},
          {"repeatable", route.repeatable},
          {"urgent", route.urgent},
          {"deadline", FormatDuration(route.deadline)},
          {"max_body_bytes", route.max_body_bytes}};
}

nlohmann::json ToJson(const Pool& pool) {
  nlohmann::json instances = nlohmann::json::array();
  for (const InstanceName& instance : pool.instances) {
    instances.push_back(instance.str());
  }
  const PoolWeights& weights = pool.weights;
  return {{"name", pool.name.str()},
          {"availability_budget", pool.availability_budget},
          {"spare", pool.spare},
          {"slots_per_instance", pool.slots_per_instance},
          {"connections_per_instance", pool.connections_per_instance},
          {"weights",
           {{"buffer", weights.buffer},
            {"share", weights.share},
            {"moves", weights.moves},
            {"roll_out", weights.roll_out}}},
          {"instances", std::move(instances)}};
}

nlohmann::json ToJson(const Team& team) {
  return {{"name", team.name.str()},
          {"share", team.share},
          {"upper_limit", team.upper_limit}};
}

nlohmann::json ToJson(const Policy& policy) {
  return {{"name", policy.name},
          {"retry_percent", policy.retry_percent},
          {"ejection_percent", policy.ejection_percent},
          {"drain_patience", FormatDuration(policy.drain_patience)}};
}

template <class NameType>
void ReadName(JsonObjectReader* reader, const char* field, NameType* out) {
  std::string text;
  reader->Text(field, Presence::kRequired, &text);
  *out = NameType(std::move(text));
}

void ReadNumber(JsonObjectReader* reader, const char* field, Presence presence,
                std::uint32_t* out) {
  reader->Number(field, presence, 0, kMaxParsedNumber, out);
}

Row ReadRoute(JsonObjectReader* reader) {
  Route route;
  ReadName(reader, "name", &route.name);
  ReadName(reader, "pool", &route.pool);
  reader->Flag("open", Presence::kOptional, &route.open);
  reader->Flag("repeatable", Presence::kOptional, &route.repeatable);
  reader->Flag("urgent", Presence::kOptional, &route.urgent);
  reader->Time("deadline", Presence::kOptional, std::chrono::milliseconds(0),
               kMaxParsedDuration, &route.deadline);
  reader->Number("max_body_bytes", Presence::kOptional, 0, kMaxParsedNumber,
                 &route.max_body_bytes);
  return route;
}

std::vector<std::string> ReadTexts(JsonObjectReader* reader, const char* field,
                                   Presence presence) {
  std::vector<std::string> texts;
  const nlohmann::json* list = reader->Array(field, presence);
  if (list == nullptr) {
    return texts;
  }
  for (const nlohmann::json& item : *list) {
    if (!item.is_string()) {
      reader->Report(JsonError::kWrongType, field, ShortText(item),
                     "use a list of strings");
      return texts;
    }
    texts.push_back(item.get<std::string>());
  }
  return texts;
}

void ReadWeights(JsonObjectReader* parent, PoolWeights* weights,
                 std::vector<Problem>* problems) {
  const nlohmann::json* value = parent->Object("weights", Presence::kOptional);
  if (value == nullptr) {
    return;
  }
  JsonObjectReader reader(*value, parent->PathOf("weights"), problems);
  ReadNumber(&reader, "buffer", Presence::kOptional, &weights->buffer);
  ReadNumber(&reader, "share", Presence::kOptional, &weights->share);
  ReadNumber(&reader, "moves", Presence::kOptional, &weights->moves);
  ReadNumber(&reader, "roll_out", Presence::kOptional, &weights->roll_out);
  reader.ReportUnknownFields();
}

Row ReadPool(JsonObjectReader* reader, std::vector<Problem>* problems) {
  Pool pool;
  ReadName(reader, "name", &pool.name);
  ReadNumber(reader, "availability_budget", Presence::kRequired,
             &pool.availability_budget);
  reader->Flag("spare", Presence::kOptional, &pool.spare);
  ReadNumber(reader, "slots_per_instance", Presence::kOptional,
             &pool.slots_per_instance);
  ReadNumber(reader, "connections_per_instance", Presence::kOptional,
             &pool.connections_per_instance);
  ReadWeights(reader, &pool.weights, problems);
  for (std::string& name :
       ReadTexts(reader, "instances", Presence::kRequired)) {
    pool.instances.emplace_back(std::move(name));
  }
  return pool;
}

Row ReadTeam(JsonObjectReader* reader) {
  Team team;
  ReadName(reader, "name", &team.name);
  ReadNumber(reader, "share", Presence::kRequired, &team.share);
  ReadNumber(reader, "upper_limit", Presence::kRequired, &team.upper_limit);
  return team;
}

Row ReadPolicy(JsonObjectReader* reader) {
  Policy policy;
  reader->Text("name", Presence::kOptional, &policy.name);
  ReadNumber(reader, "retry_percent", Presence::kOptional,
             &policy.retry_percent);
  ReadNumber(reader, "ejection_percent", Presence::kOptional,
             &policy.ejection_percent);
  std::chrono::milliseconds patience = policy.drain_patience;
  reader->Time("drain_patience", Presence::kOptional,
               std::chrono::milliseconds(0), kMaxParsedDuration, &patience);
  policy.drain_patience =
      std::chrono::duration_cast<std::chrono::seconds>(patience);
  if (patience != policy.drain_patience) {
    reader->Report(JsonError::kWrongUnit, "drain_patience",
                   FormatDuration(patience), "use whole seconds");
  }
  return policy;
}

Row ReadRow(JsonObjectReader* reader, TableKind table,
            std::vector<Problem>* problems) {
  switch (table) {
    case TableKind::kRoutes:
      return ReadRoute(reader);
    case TableKind::kPools:
      return ReadPool(reader, problems);
    case TableKind::kTeams:
      return ReadTeam(reader);
    case TableKind::kPolicy:
      break;
  }
  return ReadPolicy(reader);
}

std::vector<Row> ReadRows(JsonObjectReader* reader, const char* field,
                          Presence presence, TableKind table,
                          std::vector<Problem>* problems) {
  std::vector<Row> rows;
  const nlohmann::json* list = reader->Array(field, presence);
  if (list == nullptr) {
    return rows;
  }
  for (std::size_t i = 0; i < list->size(); ++i) {
    const std::string path =
        reader->PathOf(field) + "[" + std::to_string(i) + "]";
    if (auto row = RowFromJson((*list)[i], table, path, problems)) {
      rows.push_back(*std::move(row));
    }
  }
  return rows;
}

void CheckDuplicateNames(const Declaration& declaration,
                         std::vector<Problem>* problems) {
  for (const auto& [table, rows] : declaration.tables) {
    std::set<std::string> names;
    for (const Row& row : rows) {
      if (!names.insert(RowName(row)).second) {
        problems->push_back({StateError::kBadChange, TableName(table),
                             "\"" + RowName(row) + "\" twice",
                             "declare each name once"});
      }
    }
  }
}

std::map<std::string, Row> RowsByName(const TableSet& tables, TableKind table) {
  std::map<std::string, Row> rows;
  for (const Row& row : tables.Rows(table)) {
    rows.emplace(RowName(row), row);
  }
  return rows;
}

/// Computes the change of one table, without a change id.
TableChange DiffTable(const std::vector<Row>& declared, const TableSet& tables,
                      TableKind table) {
  TableChange change;
  change.table = table;
  change.base_version = tables.VersionOf(table);
  std::map<std::string, Row> in_force = RowsByName(tables, table);
  for (const Row& row : declared) {
    const auto old = in_force.find(RowName(row));
    if (old == in_force.end() || old->second != row) {
      change.upserts.push_back(row);
    }
    in_force.erase(RowName(row));
  }
  if (table != TableKind::kPolicy) {
    for (const auto& [name, row] : in_force) {
      change.deletes.push_back(name);
    }
  }
  return change;
}

/// Removes the instances that pools in `change` list from the pools in
/// `deletes`, which must exist until no route refers to them.
void ReleaseClaimedInstances(const std::vector<std::string>& deletes,
                             const TableSet& tables, TableChange* change) {
  std::set<InstanceName> claimed;
  for (const Row& row : change->upserts) {
    const auto& instances = std::get<Pool>(row).instances;
    claimed.insert(instances.begin(), instances.end());
  }
  for (const std::string& name : deletes) {
    Pool pool = *tables.FindPool(name);
    const std::size_t released = std::erase_if(
        pool.instances,
        [&](const InstanceName& item) { return claimed.contains(item); });
    if (released == 0) {
      continue;
    }
    pool.availability_budget =
        std::min(pool.availability_budget,
                 static_cast<std::uint32_t>(pool.instances.size()));
    change->upserts.emplace_back(std::move(pool));
  }
}

/// Hash of the content and the base version of a change, as 16 hex digits.
std::string Fingerprint(const TableChange& change) {
  const std::string text =
      TableName(change.table) + ChangeToJson(change).dump();
  std::array<char, 17> digits{};
  std::snprintf(digits.data(), digits.size(), "%016llx",
                static_cast<unsigned long long>(  // NOLINT(google-runtime-int)
                    XXH64(text.data(), text.size(), 0)));
  return digits.data();
}

void AddStep(TableChange change, const std::string& change_id,
             std::vector<TableChange>* steps) {
  if (change.upserts.empty() && change.deletes.empty()) {
    return;
  }
  change.change_id = change_id + "-" + Fingerprint(change);
  steps->push_back(std::move(change));
}

}  // namespace

std::optional<TableKind> TableFromName(std::string_view name) {
  for (const TableKind table : kAllTables) {
    if (name == TableName(table)) {
      return table;
    }
  }
  return std::nullopt;
}

nlohmann::json RowToJson(const Row& row) {
  return std::visit([](const auto& value) { return ToJson(value); }, row);
}

nlohmann::json ChangeToJson(const TableChange& change) {
  nlohmann::json upserts = nlohmann::json::array();
  for (const Row& row : change.upserts) {
    upserts.push_back(RowToJson(row));
  }
  return {{"change_id", change.change_id},
          {"base_version", change.base_version},
          {"upserts", std::move(upserts)},
          {"deletes", change.deletes}};
}

nlohmann::json TableToJson(const TableSet& tables, TableKind table) {
  nlohmann::json rows = nlohmann::json::array();
  for (const Row& row : tables.Rows(table)) {
    rows.push_back(RowToJson(row));
  }
  return {{"table", TableName(table)},
          {"version", tables.VersionOf(table)},
          {"rows", std::move(rows)}};
}

std::optional<Row> RowFromJson(const nlohmann::json& value, TableKind table,
                               const std::string& path,
                               std::vector<Problem>* problems) {
  const std::size_t before = problems->size();
  JsonObjectReader reader(value, path, problems);
  if (problems->size() != before) {
    return std::nullopt;
  }
  Row row = ReadRow(&reader, table, problems);
  reader.ReportUnknownFields();
  if (problems->size() != before) {
    return std::nullopt;
  }
  if (ChangeRefusal refusal = CheckRow(row); refusal.error) {
    problems->push_back({refusal.error, path, "", refusal.detail});
    return std::nullopt;
  }
  return row;
}

std::optional<TableChange> ChangeFromJson(const nlohmann::json& value,
                                          TableKind table,
                                          std::vector<Problem>* problems) {
  const std::size_t before = problems->size();
  JsonObjectReader reader(value, "", problems);
  TableChange change;
  change.table = table;
  reader.Text("change_id", Presence::kRequired, &change.change_id);
  reader.Number("base_version", Presence::kRequired, 0,
                std::numeric_limits<std::uint64_t>::max(),
                &change.base_version);
  change.upserts =
      ReadRows(&reader, "upserts", Presence::kOptional, table, problems);
  change.deletes = ReadTexts(&reader, "deletes", Presence::kOptional);
  reader.ReportUnknownFields();
  if (problems->size() != before) {
    return std::nullopt;
  }
  return change;
}

std::optional<TableView> TableFromJson(const nlohmann::json& value,
                                       std::vector<Problem>* problems) {
  const std::size_t before = problems->size();
  JsonObjectReader reader(value, "", problems);
  TableView view;
  std::string name;
  reader.Text("table", Presence::kRequired, &name);
  reader.Number("version", Presence::kRequired, 0,
                std::numeric_limits<std::uint64_t>::max(), &view.version);
  const auto table = TableFromName(name);
  if (!table) {
    reader.Report(JsonError::kOutOfRange, "table", name,
                  "use routes, pools, teams or policy");
    return std::nullopt;
  }
  view.table = *table;
  view.rows = ReadRows(&reader, "rows", Presence::kRequired, *table, problems);
  reader.ReportUnknownFields();
  if (problems->size() != before) {
    return std::nullopt;
  }
  return view;
}

std::optional<Declaration> ParseDeclaration(std::string_view text,
                                            std::vector<Problem>* problems) {
  const std::size_t before = problems->size();
  const nlohmann::json value = ParseJson(text, problems);
  if (problems->size() != before) {
    return std::nullopt;
  }
  JsonObjectReader reader(value, "", problems);
  Declaration declaration;
  for (const TableKind table :
       {TableKind::kRoutes, TableKind::kPools, TableKind::kTeams}) {
    const char* name = TableName(table);
    if (reader.Field(name, Presence::kOptional) != nullptr) {
      declaration.tables[table] =
          ReadRows(&reader, name, Presence::kOptional, table, problems);
    }
  }
  if (const nlohmann::json* policy =
          reader.Object("policy", Presence::kOptional)) {
    if (auto row =
            RowFromJson(*policy, TableKind::kPolicy, "policy", problems)) {
      declaration.tables[TableKind::kPolicy] = {*std::move(row)};
    }
  }
  reader.ReportUnknownFields();
  CheckDuplicateNames(declaration, problems);
  if (problems->size() != before) {
    return std::nullopt;
  }
  return declaration;
}

std::vector<TableChange> Diff(const Declaration& declaration,
                              const TableSet& tables,
                              const std::string& change_id) {
  std::map<TableKind, TableChange> changes;
  for (const auto& [table, rows] : declaration.tables) {
    changes[table] = DiffTable(rows, tables, table);
    changes[table].table = table;
  }
  TableChange& pools = changes[TableKind::kPools];
  TableChange deleted_pools;
  deleted_pools.table = TableKind::kPools;
  deleted_pools.deletes = std::exchange(pools.deletes, {});
  ReleaseClaimedInstances(deleted_pools.deletes, tables, &pools);
  deleted_pools.base_version =
      pools.base_version + (pools.upserts.empty() ? 0 : 1);
  std::vector<TableChange> steps;
  AddStep(std::move(pools), change_id, &steps);
  for (const TableKind table :
       {TableKind::kTeams, TableKind::kPolicy, TableKind::kRoutes}) {
    AddStep(std::move(changes[table]), change_id, &steps);
  }
  AddStep(std::move(deleted_pools), change_id, &steps);
  return steps;
}

std::vector<std::string> DescribeChange(const TableChange& change,
                                        const TableSet& tables) {
  const std::map<std::string, Row> in_force = RowsByName(tables, change.table);
  const std::string prefix = std::string(TableName(change.table)) + "/";
  std::vector<std::string> lines;
  for (const Row& row : change.upserts) {
    const char* sign = in_force.contains(RowName(row)) ? "~ " : "+ ";
    lines.push_back(sign + prefix);
    lines.back() += RowName(row);
  }
  for (const std::string& name : change.deletes) {
    lines.push_back("- " + prefix);
    lines.back() += name;
  }
  return lines;
}

}  // namespace mimosastage
