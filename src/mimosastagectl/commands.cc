#include "mimosastagectl/commands.h"

#include <openssl/rand.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "mimosastage/state/declaration.h"
#include "mimosastage/state/declaration_check.h"
#include "mimosastage/state/key_secret.h"

namespace mimosastage {
namespace {

constexpr TableKind kAllTables[] = {TableKind::kRoutes, TableKind::kPools,
                                    TableKind::kTeams, TableKind::kPolicy};

void PrintError(const std::string& text) {
  std::cerr << "mimosastagectl: " << text << "\n";
}

ExitCode PrintFailure(const ApiReply& reply) {
  PrintError(reply.error);
  return reply.code;
}

void PrintProblems(const std::string& source,
                   const std::vector<Problem>& problems) {
  for (const Problem& problem : problems) {
    PrintError(source + ": " + problem.Message());
  }
}

std::string Hex(std::span<const std::uint8_t> bytes) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  for (const std::uint8_t byte : bytes) {
    text += kDigits[byte >> 4U];
    text += kDigits[byte & 15U];
  }
  return text;
}

template <std::size_t kSize>
std::array<std::uint8_t, kSize> RandomBytes() {
  std::array<std::uint8_t, kSize> bytes{};
  if (RAND_bytes(bytes.data(), kSize) != 1) {
    PrintError("can't generate random bytes; try again later");
    std::exit(static_cast<int>(ExitCode::kNotAccepted));
  }
  return bytes;
}

std::optional<std::string> ReadFile(const std::string& file) {
  std::ifstream stream(file, std::ios::binary);
  if (!stream) {
    PrintError(file + ": file not readable; correct the path");
    return std::nullopt;
  }
  return std::string(std::istreambuf_iterator<char>(stream), {});
}

std::optional<Declaration> ReadDeclaration(const std::string& file) {
  const auto text = ReadFile(file);
  if (!text) {
    return std::nullopt;
  }
  std::vector<Problem> problems;
  auto declaration = ParseDeclaration(*text, &problems);
  PrintProblems(file, problems);
  return declaration;
}

/// Fetches the current tables from the daemon. On failure prints the error and
/// sets `code`.
std::optional<TableSet> FetchTables(ApiClient* client, ExitCode* code) {
  std::array<std::uint64_t, 4> versions{};
  std::vector<Row> rows;
  for (const TableKind table : kAllTables) {
    const std::string path = std::string("/v1/tables/") + TableName(table);
    const ApiReply reply = client->Send("GET", path);
    if (reply.code != ExitCode::kSuccess) {
      *code = PrintFailure(reply);
      return std::nullopt;
    }
    std::vector<Problem> problems;
    const nlohmann::json value = ParseJson(reply.body, &problems);
    const auto view = problems.empty() ? TableFromJson(value, &problems)
                                       : std::optional<TableView>();
    if (!view) {
      PrintProblems("answer of the daemon", problems);
      *code = ExitCode::kNotAccepted;
      return std::nullopt;
    }
    versions.at(static_cast<std::size_t>(table)) = view->version;
    rows.insert(rows.end(), view->rows.begin(), view->rows.end());
  }
  TableSet tables;
  tables.Restore(versions, rows);
  return tables;
}

/// Computes the steps from the current tables to the declaration and checks
/// them by applying them to the fetched tables in order. If `print` is set,
/// prints a line for each changed row.
std::optional<std::vector<TableChange>> PlanSteps(ApiClient* client,
                                                  const std::string& file,
                                                  const std::string& change_id,
                                                  bool print, ExitCode* code) {
  *code = ExitCode::kBadInput;
  const auto declaration = ReadDeclaration(file);
  if (!declaration) {
    return std::nullopt;
  }
  auto tables = FetchTables(client, code);
  if (!tables) {
    return std::nullopt;
  }
  std::vector<TableChange> steps = Diff(*declaration, *tables, change_id);
  for (const TableChange& step : steps) {
    for (const std::string& line : DescribeChange(step, *tables)) {
      if (print) {
        std::cout << line << "\n";
      }
    }
    if (const ChangeRefusal refusal = tables->Apply(step); refusal.error) {
      PrintError(file + ": " + refusal.detail);
      *code = ExitCode::kBadInput;
      return std::nullopt;
    }
  }
  return steps;
}

/// Fetches the keys in force. On failure prints the error and sets `code`.
std::optional<std::vector<KeyOwner>> FetchKeys(ApiClient* client,
                                               ExitCode* code) {
  const ApiReply reply = client->Send("GET", "/v1/keys");
  if (reply.code != ExitCode::kSuccess) {
    *code = PrintFailure(reply);
    return std::nullopt;
  }
  const auto value = nlohmann::json::parse(reply.body, nullptr, false);
  const auto list = value.is_object() ? value.find("keys") : value.end();
  if (!value.is_object() || list == value.end() || !list->is_array()) {
    PrintError("the answer of the daemon has no list of keys");
    *code = ExitCode::kNotAccepted;
    return std::nullopt;
  }
  const auto text_of = [](const nlohmann::json& key, const char* field) {
    const auto found = key.is_object() ? key.find(field) : key.end();
    return key.is_object() && found != key.end() && found->is_string()
               ? found->get<std::string>()
               : std::string();
  };
  std::vector<KeyOwner> keys;
  for (const nlohmann::json& key : *list) {
    keys.emplace_back(text_of(key, "key_id"), text_of(key, "team"));
  }
  return keys;
}

/// What a declaration is compared with.
struct InForce {
  TableSet tables;
  std::vector<KeyOwner> keys;
};

std::optional<InForce> ReadInForce(ApiClient* client,
                                   const std::string& against_file,
                                   ExitCode* code) {
  InForce in_force;
  if (client != nullptr) {
    auto tables = FetchTables(client, code);
    auto keys = tables ? FetchKeys(client, code) : std::nullopt;
    if (!keys) {
      return std::nullopt;
    }
    in_force.tables = *std::move(tables);
    in_force.keys = *std::move(keys);
  } else if (!against_file.empty()) {
    const auto declaration = ReadDeclaration(against_file);
    if (!declaration) {
      *code = ExitCode::kBadInput;
      return std::nullopt;
    }
    in_force.tables = TablesAfter(*declaration, TableSet());
  }
  return in_force;
}

/// Returns a line for each row that the declaration changes.
std::vector<std::string> DescribeChanges(const Declaration& declaration,
                                         const TableSet& tables) {
  std::vector<std::string> lines;
  for (const TableChange& step : Diff(declaration, tables, "check")) {
    for (std::string& line : DescribeChange(step, tables)) {
      lines.push_back(std::move(line));
    }
  }
  return lines;
}

void PrintCheck(const std::string& file,
                const std::vector<DeclarationFinding>& findings,
                const std::vector<std::string>& changes, bool json) {
  if (json) {
    nlohmann::json list = nlohmann::json::array();
    for (const DeclarationFinding& finding : findings) {
      list.push_back({{"severity", finding.is_error ? "error" : "warning"},
                      {"kind", finding.kind},
                      {"text", finding.text}});
    }
    const nlohmann::json result = {
        {"file", file}, {"findings", std::move(list)}, {"changes", changes}};
    std::cout << result.dump(2, ' ', true,
                             nlohmann::json::error_handler_t::replace)
              << "\n";
    return;
  }
  for (const DeclarationFinding& finding : findings) {
    std::cout << (finding.is_error ? "error " : "warning ") << finding.kind
              << ": " << finding.text << "\n";
  }
  for (const std::string& line : changes) {
    std::cout << line << "\n";
  }
}

ExitCode SendStep(ApiClient* client, const TableChange& step) {
  const std::string table = TableName(step.table);
  const ApiReply reply =
      client->Send("POST", "/v1/tables/" + table, ChangeToJson(step).dump());
  if (reply.code != ExitCode::kSuccess) {
    return PrintFailure(reply);
  }
  std::cout << table << ": " << step.upserts.size() << " set, "
            << step.deletes.size() << " deleted\n";
  return ExitCode::kSuccess;
}

std::string FormatJson(const std::string& body) {
  return nlohmann::json::parse(body, nullptr, false)
      .dump(2, ' ', true, nlohmann::json::error_handler_t::replace);
}

/// Prints a "name: value" line for each field of the object.
void PrintFields(const nlohmann::json& object) {
  for (const auto& [name, value] : object.items()) {
    std::cout << name << ": "
              << (value.is_string() ? value.get<std::string>() : value.dump())
              << "\n";
  }
}

}  // namespace

std::string RandomId(const std::string& prefix) {
  return prefix + "-" + Hex(RandomBytes<8>());
}

ExitCode RunApply(ApiClient* client, const std::string& file,
                  const std::string& change_id) {
  ExitCode code = ExitCode::kSuccess;
  const auto steps = PlanSteps(client, file, change_id, false, &code);
  if (!steps) {
    return code;
  }
  for (const TableChange& step : *steps) {
    if (const ExitCode sent = SendStep(client, step);
        sent != ExitCode::kSuccess) {
      if (sent == ExitCode::kOutcomeUnknown) {
        PrintError("outcome unknown; run the command again with --change_id=" +
                   change_id);
      }
      return sent;
    }
  }
  if (steps->empty()) {
    std::cout << "no difference\n";
  }
  return ExitCode::kSuccess;
}

ExitCode RunDiff(ApiClient* client, const std::string& file) {
  ExitCode code = ExitCode::kSuccess;
  const auto steps = PlanSteps(client, file, "diff", true, &code);
  if (!steps) {
    return code;
  }
  return steps->empty() ? ExitCode::kSuccess : ExitCode::kDifference;
}

ExitCode RunCheck(ApiClient* client, const CheckOptions& options) {
  const auto text = ReadFile(options.file);
  if (!text) {
    return ExitCode::kBadInput;
  }
  std::vector<Problem> problems;
  const auto declaration = ParseDeclaration(*text, &problems);
  std::vector<DeclarationFinding> findings;
  findings.reserve(problems.size());
  for (const Problem& problem : problems) {
    findings.push_back({true, "malformed", problem.Message()});
  }
  std::vector<std::string> changes;
  if (declaration) {
    ExitCode code = ExitCode::kSuccess;
    const auto in_force = ReadInForce(client, options.against_file, &code);
    if (!in_force) {
      return code;
    }
    findings = CheckDeclaration(*declaration, in_force->tables, in_force->keys);
    if (client != nullptr || !options.against_file.empty()) {
      changes = DescribeChanges(*declaration, in_force->tables);
    }
  }
  PrintCheck(options.file, findings, changes, options.json);
  if (std::any_of(findings.begin(), findings.end(),
                  [](const auto& finding) { return finding.is_error; })) {
    return ExitCode::kBadInput;
  }
  return changes.empty() ? ExitCode::kSuccess : ExitCode::kDifference;
}

ExitCode RunGet(ApiClient* client, const std::string& what) {
  if (what == "keys") {
    return RunShow(client, "/v1/keys");
  }
  if (!TableFromName(what)) {
    PrintError("no table is named \"" + what +
               "\"; use routes, pools, teams, policy or keys");
    return ExitCode::kBadInput;
  }
  return RunShow(client, "/v1/tables/" + what);
}

ExitCode RunGrant(ApiClient* client, const GrantOptions& options) {
  if (!IsName(options.team) || !IsName(options.client)) {
    PrintError("keys grant needs --team=TEAM and --client=CLIENT");
    return ExitCode::kBadInput;
  }
  const std::string key_id =
      options.key_id.empty() ? RandomId(options.client) : options.key_id;
  const std::string secret = KeySecretFrom(RandomBytes<kKeySecretBytes>());
  const nlohmann::json body = {{"change_id", RandomId("grant")},
                               {"key_id", key_id},
                               {"team", options.team},
                               {"client", options.client},
                               {"hash", Hex(HashKeySecret(secret))}};
  const ApiReply reply = client->Send("POST", "/v1/keys", body.dump());
  if (reply.code == ExitCode::kOutcomeUnknown) {
    PrintError("the key may be in force; revoke " + key_id +
               " and grant another");
  }
  if (reply.code != ExitCode::kSuccess) {
    return PrintFailure(reply);
  }
  // Only the key goes to stdout, so that a script can capture it.
  std::cerr << "key " << key_id << " is granted; it is shown only this once\n";
  std::cout << secret << "\n";
  return ExitCode::kSuccess;
}

ExitCode RunRevoke(ApiClient* client, const std::string& key_id) {
  if (!IsName(key_id)) {
    PrintError("keys revoke needs the id of a key; list them with get keys");
    return ExitCode::kBadInput;
  }
  const ApiReply reply = client->Send(
      "DELETE", "/v1/keys/" + key_id + "?change_id=" + RandomId("revoke"));
  if (reply.code == ExitCode::kOutcomeUnknown) {
    PrintError("the key may still be in force; revoke " + key_id + " again");
  }
  if (reply.code != ExitCode::kSuccess) {
    return PrintFailure(reply);
  }
  std::cout << "revoked: " << key_id << "\n";
  return ExitCode::kSuccess;
}

ExitCode RunMembers(ApiClient* client, bool json) {
  const ApiReply reply = client->Send("GET", "/v1/members");
  if (reply.code != ExitCode::kSuccess) {
    return PrintFailure(reply);
  }
  const auto value = nlohmann::json::parse(reply.body, nullptr, false);
  if (json || !value.is_object() || !value.contains("members")) {
    std::cout << FormatJson(reply.body) << "\n";
    return ExitCode::kSuccess;
  }
  for (const nlohmann::json& member : value["members"]) {
    std::cout << member.value("name", "") << "  " << member.value("link", "")
              << "  " << member.value("availability_zone", "") << "  "
              << (member.value("leader", false)  ? "leader"
                  : member.value("voter", false) ? "voter"
                                                 : "entry")
              << "  "
              << (member.value("connected", false) ? "connected"
                                                   : "not connected")
              << "\n";
  }
  return ExitCode::kSuccess;
}

ExitCode RunStatus(ApiClient* client, bool json) {
  const ApiReply reply = client->Send("GET", "/v1/status");
  if (reply.code != ExitCode::kSuccess) {
    return PrintFailure(reply);
  }
  const auto value = nlohmann::json::parse(reply.body, nullptr, false);
  if (json || !value.is_object()) {
    std::cout << FormatJson(reply.body) << "\n";
  } else {
    PrintFields(value);
  }
  return ExitCode::kSuccess;
}

ExitCode RunShow(ApiClient* client, const std::string& path) {
  const ApiReply reply = client->Send("GET", path);
  if (reply.code != ExitCode::kSuccess) {
    return PrintFailure(reply);
  }
  std::cout << FormatJson(reply.body) << "\n";
  return ExitCode::kSuccess;
}

}  // namespace mimosastage
