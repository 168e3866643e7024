#include "mimosastage/operators/operator_api.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "mimosastage/operators/problem_answer.h"
#include "mimosastage/state/declaration.h"
#include "mimosastage/state/key_secret.h"

namespace mimosastage {
namespace {

using Presence = JsonObjectReader::Presence;

constexpr std::string_view kBearer = "Bearer ";
constexpr std::string_view kVersionPrefix = "/v1/";
constexpr std::chrono::seconds kRetryAfter{1};

/// "a/b/c" as a, b and c.
std::vector<std::string> SplitPath(std::string_view path) {
  std::vector<std::string> parts;
  for (;;) {
    const std::size_t slash = path.find('/');
    parts.emplace_back(path.substr(0, slash));
    if (slash == std::string_view::npos) {
      return parts;
    }
    path.remove_prefix(slash + 1);
  }
}

/// The value of one query parameter, or "". Change ids have plain characters
/// only, so values aren't decoded.
std::string QueryValue(std::string_view query, std::string_view name) {
  while (!query.empty()) {
    const std::string_view item = query.substr(0, query.find('&'));
    if (item.size() > name.size() && item.starts_with(name) &&
        item[name.size()] == '=') {
      return std::string(item.substr(name.size() + 1));
    }
    query.remove_prefix(std::min(item.size() + 1, query.size()));
  }
  return "";
}

std::optional<int> HexDigit(char c) {
  if (c >= '0' && c <= '9') {
    return c - '0';
  }
  if (c >= 'a' && c <= 'f') {
    return c - 'a' + 10;
  }
  return std::nullopt;
}

std::optional<KeyHash> ParseHash(std::string_view text) {
  KeyHash hash{};
  if (text.size() != 2 * hash.size()) {
    return std::nullopt;
  }
  for (std::size_t i = 0; i < hash.size(); ++i) {
    const auto high = HexDigit(text[2 * i]);
    const auto low = HexDigit(text[2 * i + 1]);
    if (!high || !low) {
      return std::nullopt;
    }
    hash.at(i) = static_cast<std::uint8_t>(*high * 16 + *low);
  }
  return hash;
}

std::optional<KeyGrant> ReadGrant(const std::string& body,
                                  std::vector<Problem>* problems) {
  const nlohmann::json value = ParseJson(body, problems);
  if (!problems->empty()) {
    return std::nullopt;
  }
  JsonObjectReader reader(value, "", problems);
  KeyGrant grant;
  std::string team;
  std::string client;
  std::string hash;
  reader.Text("change_id", Presence::kRequired, &grant.change_id);
  reader.Text("key_id", Presence::kRequired, &grant.key_id);
  reader.Text("team", Presence::kRequired, &team);
  reader.Text("client", Presence::kRequired, &client);
  reader.Text("hash", Presence::kRequired, &hash);
  reader.ReportUnknownFields();
  grant.team = TeamName(team);
  grant.client = ClientName(client);
  if (const auto parsed = ParseHash(hash)) {
    grant.hash = *parsed;
  } else if (!hash.empty()) {
    reader.Report(JsonError::kOutOfRange, "hash",
                  std::to_string(hash.size()) + " characters",
                  "use the SHA-256 of the key as 64 lower-case hex digits");
  }
  if (!problems->empty()) {
    return std::nullopt;
  }
  return grant;
}

HttpAnswer TextAnswer(std::string body) {
  HttpAnswer answer;
  answer.headers.emplace_back("Content-Type", "text/plain; version=0.0.4");
  answer.body = std::move(body);
  return answer;
}

HttpAnswer NotFound(std::string_view path) {
  return ProblemAnswer({404, "unknown_path", "There is nothing at this path",
                        "no operation has the path " +
                            std::string(path.substr(0, 100)) +
                            "; correct the path"});
}

HttpAnswer WrongMethod(const std::string& allowed) {
  HttpAnswer answer =
      ProblemAnswer({405, "wrong_method", "Wrong method",
                     "this path takes " + allowed + "; use one of them"});
  answer.headers.emplace_back("Allow", allowed);
  return answer;
}

HttpAnswer NotSupported() {
  return ProblemAnswer(
      {501, "not_supported", "Not supported by this daemon",
       "this daemon has no such operation; use a daemon of another version"});
}

HttpAnswer Unauthorized(const std::string& which) {
  return ProblemAnswer({401, "key_refused", "The key is missing or wrong",
                        "send \"Authorization: Bearer KEY\" with the " + which +
                            " key of the daemon's settings"});
}

bool HasKey(const HttpRequest& request, const std::string& key) {
  const std::string_view header = FindHeader(request.headers, "Authorization");
  // An empty key in the settings must not open the port.
  return !key.empty() && header.starts_with(kBearer) &&
         SecretsEqual(header.substr(kBearer.size()), key);
}

}  // namespace

struct OperatorApi::Call {
  HttpRequest request;
  std::string path;
  std::string query;
  /// Segments of the path after "/v1/".
  std::vector<std::string> parts;
  Answer answer;

  bool Is(std::string_view method) const {
    return this->request.method == method;
  }

  /// Sends the reply of a hook.
  OperatorHooks::ReplyDone Reply() const {
    return [answer = this->answer](JsonReply&& reply) {
      const char* type =
          reply.status < 400 ? "application/json" : "application/problem+json";
      HttpAnswer http;
      http.status = reply.status;
      http.headers.emplace_back("Content-Type", type);
      http.body = std::move(reply.body);
      answer(std::move(http));
    };
  }
};

OperatorApi::OperatorApi(Keys keys, OperatorHooks hooks)
    : keys(std::move(keys)), hooks(std::move(hooks)) {}

void OperatorApi::Handle(HttpRequest&& request, Answer answer) {
  Call call;
  const std::string& target = request.target;
  const std::size_t question = std::min(target.find('?'), target.size());
  call.path = target.substr(0, question);
  call.query = target.substr(std::min(question + 1, target.size()));
  call.request = std::move(request);
  call.answer = std::move(answer);
  if (!call.path.starts_with(kVersionPrefix)) {
    this->HandleOpen(call);
    return;
  }
  call.parts =
      SplitPath(std::string_view{call.path}.substr(kVersionPrefix.size()));
  const std::string& first = call.parts[0];
  if (first == "announcements" ||
      (first == "workers" && call.parts.size() > 1)) {
    this->HandlePlatform(call);
  } else {
    this->HandleOperator(call);
  }
}

void OperatorApi::HandleOpen(const Call& call) {
  const bool known = call.path == "/healthz" || call.path == "/readyz" ||
                     call.path == "/metrics";
  if (!known) {
    call.answer(NotFound(call.path));
  } else if (!call.Is("GET")) {
    call.answer(WrongMethod("GET"));
  } else if (call.path == "/healthz") {
    call.answer(TextAnswer("ok\n"));
  } else if (call.path == "/readyz") {
    this->GetReady(call);
  } else if (this->hooks.metrics_text) {
    call.answer(TextAnswer(this->hooks.metrics_text()));
  } else {
    call.answer(NotSupported());
  }
}

void OperatorApi::GetReady(const Call& call) {
  if (!this->hooks.status) {
    call.answer(NotSupported());
    return;
  }
  const DaemonStatus status = this->hooks.status();
  if (status.ready) {
    call.answer(TextAnswer("ready\n"));
    return;
  }
  call.answer(ProblemAnswer(
      {503, "not_ready", "The daemon can't serve callers",
       status.not_ready_reason + "; send callers to another entry"}));
}

void OperatorApi::HandlePlatform(const Call& call) {
  if (!HasKey(call.request, this->keys.platform_key)) {
    call.answer(Unauthorized("platform"));
    return;
  }
  const bool announcement =
      call.parts[0] == "announcements" && call.parts.size() == 1;
  const bool report = call.parts[0] == "workers" && call.parts.size() == 3 &&
                      call.parts[2] == "report" && IsName(call.parts[1]);
  if (!announcement && !report) {
    call.answer(NotFound(call.path));
  } else if (!call.Is("POST")) {
    call.answer(WrongMethod("POST"));
  } else if (announcement && this->hooks.announce) {
    this->hooks.announce(call.request.body, call.Reply());
  } else if (report && this->hooks.report) {
    this->hooks.report(InstanceName(call.parts[1]), call.request.body,
                       call.Reply());
  } else {
    call.answer(NotSupported());
  }
}

void OperatorApi::HandleOperator(const Call& call) {
  if (!HasKey(call.request, this->keys.operator_key)) {
    call.answer(Unauthorized("operator"));
    return;
  }
  const std::string& first = call.parts[0];
  if (first == "tables" && call.parts.size() == 2) {
    this->HandleTables(call);
  } else if (first == "keys" && call.parts.size() <= 2) {
    this->HandleKeys(call);
  } else if (call.parts.size() != 1) {
    call.answer(NotFound(call.path));
  } else if (first == "status") {
    this->GetStatus(call);
  } else if (first == "members") {
    this->GetMembers(call);
  } else {
    this->HandleFleet(call);
  }
}

void OperatorApi::HandleTables(const Call& call) {
  const auto table = TableFromName(call.parts[1]);
  if (!table) {
    call.answer(NotFound(call.path));
  } else if (call.Is("GET")) {
    this->GetTable(call, *table);
  } else if (call.Is("POST")) {
    this->ChangeTable(call, *table);
  } else {
    call.answer(WrongMethod("GET, POST"));
  }
}

void OperatorApi::GetTable(const Call& call, TableKind table) {
  if (!this->hooks.view) {
    call.answer(NotSupported());
    return;
  }
  call.answer(JsonAnswer(200, TableToJson(this->hooks.view()->tables, table)));
}

void OperatorApi::ChangeTable(const Call& call, TableKind table) {
  std::vector<Problem> problems;
  const nlohmann::json value = ParseJson(call.request.body, &problems);
  std::optional<TableChange> change;
  if (problems.empty()) {
    change = ChangeFromJson(value, table, &problems);
  }
  if (!change) {
    call.answer(ProblemsAnswer(problems));
    return;
  }
  this->Propose(call, *std::move(change), table);
}

void OperatorApi::HandleKeys(const Call& call) {
  if (call.parts.size() == 2) {
    if (call.Is("DELETE")) {
      this->RevokeKey(call, call.parts[1]);
    } else {
      call.answer(WrongMethod("DELETE"));
    }
  } else if (call.Is("GET")) {
    this->ListKeys(call);
  } else if (call.Is("POST")) {
    this->GrantKey(call);
  } else {
    call.answer(WrongMethod("GET, POST"));
  }
}

void OperatorApi::ListKeys(const Call& call) {
  if (!this->hooks.view) {
    call.answer(NotSupported());
    return;
  }
  const std::shared_ptr<const OperatorView> view = this->hooks.view();
  nlohmann::json list = nlohmann::json::array();
  for (const Key& key : view->keys) {
    list.push_back({{"key_id", key.key_id},
                    {"team", key.team.str()},
                    {"client", key.client.str()}});
  }
  call.answer(JsonAnswer(200, {{"keys", std::move(list)}}));
}

void OperatorApi::GrantKey(const Call& call) {
  std::vector<Problem> problems;
  std::optional<KeyGrant> grant = ReadGrant(call.request.body, &problems);
  if (!grant) {
    call.answer(ProblemsAnswer(problems));
    return;
  }
  this->Propose(call, *std::move(grant), std::nullopt);
}

void OperatorApi::RevokeKey(const Call& call, const std::string& key_id) {
  KeyRevoke revoke{QueryValue(call.query, "change_id"), key_id};
  if (!IsName(revoke.change_id)) {
    call.answer(ProblemAnswer(
        {400, "bad_change_id", "The change id is missing or not a name",
         "add ?change_id=ID to the path, with 1 to 128 letters, digits, dots, "
         "dashes and underscores"}));
    return;
  }
  this->Propose(call, std::move(revoke), std::nullopt);
}

void OperatorApi::GetStatus(const Call& call) {
  if (!call.Is("GET")) {
    call.answer(WrongMethod("GET"));
    return;
  }
  if (!this->hooks.status || !this->hooks.view) {
    call.answer(NotSupported());
    return;
  }
  const DaemonStatus status = this->hooks.status();
  const auto view = this->hooks.view();
  nlohmann::json versions;
  for (const TableKind table : {TableKind::kRoutes, TableKind::kPools,
                                TableKind::kTeams, TableKind::kPolicy}) {
    versions[TableName(table)] = view->tables.VersionOf(table);
  }
  call.answer(JsonAnswer(200, {{"cluster", status.cluster},
                               {"daemon", status.daemon},
                               {"ready", status.ready},
                               {"not_ready_reason", status.not_ready_reason},
                               {"leader", status.leader},
                               {"view", status.view},
                               {"commit", status.commit},
                               {"applied", status.applied},
                               {"versions", std::move(versions)}}));
}

void OperatorApi::GetMembers(const Call& call) {
  if (!call.Is("GET")) {
    call.answer(WrongMethod("GET"));
    return;
  }
  if (!this->hooks.members) {
    call.answer(NotSupported());
    return;
  }
  const std::vector<MemberStatus> members = this->hooks.members();
  nlohmann::json list = nlohmann::json::array();
  for (const MemberStatus& member : members) {
    list.push_back({{"name", member.name},
                    {"link", member.link},
                    {"availability_zone", member.availability_zone.str()},
                    {"voter", member.voter},
                    {"leader", member.leader},
                    {"connected", member.connected}});
  }
  call.answer(JsonAnswer(200, {{"members", std::move(list)}}));
}

void OperatorApi::HandleFleet(const Call& call) {
  const std::string& what = call.parts[0];
  const bool waves = what == "waves";
  if (!waves && what != "pools" && what != "workers" && what != "jobs") {
    call.answer(NotFound(call.path));
  } else if (call.Is("GET") && this->hooks.fleet_view) {
    this->hooks.fleet_view(what, call.Reply());
  } else if (waves && call.Is("POST") && this->hooks.change_waves) {
    this->hooks.change_waves(call.request.body, call.Reply());
  } else if (call.Is("GET") || (waves && call.Is("POST"))) {
    call.answer(NotSupported());
  } else {
    call.answer(WrongMethod(waves ? "GET, POST" : "GET"));
  }
}

void OperatorApi::Propose(const Call& call, Command command,
                          std::optional<TableKind> table) {
  if (!this->hooks.propose) {
    call.answer(NotSupported());
    return;
  }
  this->hooks.propose(std::move(command), [this, table, answer = call.answer](
                                              const ProposalResult& result) {
    answer(this->AnswerTo(result, table));
  });
}

HttpAnswer OperatorApi::AnswerTo(const ProposalResult& result,
                                 std::optional<TableKind> table) const {
  if (result.kind == ProposalResult::Kind::kNotAccepted) {
    return ProblemAnswer({503, "not_accepted", "The change was not accepted",
                          result.detail + "; send it again", false,
                          kRetryAfter});
  }
  if (result.kind == ProposalResult::Kind::kUnknown) {
    return ProblemAnswer(
        {504, "outcome_unknown", "The change may have been accepted",
         result.detail + "; send it again with the same change id", true,
         kRetryAfter});
  }
  if (result.outcome.error) {
    return this->AnswerToRefused(result.outcome, table);
  }
  nlohmann::json body = {{"outcome", "accepted"}};
  if (table) {
    body["table"] = TableName(*table);
    body["version"] = result.outcome.version;
  }
  return JsonAnswer(200, body);
}

HttpAnswer OperatorApi::AnswerToRefused(const Outcome& outcome,
                                        std::optional<TableKind> table) const {
  nlohmann::json extra = nlohmann::json::object();
  if (table) {
    extra["table"] = TableName(*table);
    extra["version"] = outcome.version;
  }
  const bool conflict = outcome.error == StateError::kVersionConflict;
  if (conflict && table && this->hooks.view) {
    extra["in_force"] = TableToJson(this->hooks.view()->tables, *table);
  }
  return ProblemAnswer(RefusalFor(outcome.error, outcome.detail), extra);
}

}  // namespace mimosastage
