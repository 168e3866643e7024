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

constexpr std::string_view kBearerPrefix = "Bearer ";
constexpr std::string_view kApiPrefix = "/v1/";
constexpr std::chrono::seconds kRetryAfter{1};

/// Splits "a/b/c" into a, b and c.
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

/// The value of a query parameter, or "" if it is absent. Values aren't
/// percent-decoded, because a valid change id needs no encoding.
std::string FindQueryParameter(std::string_view query, std::string_view name) {
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

std::optional<int> ParseHexDigit(char c) {
  if (c >= '0' && c <= '9') {
    return c - '0';
  }
  if (c >= 'a' && c <= 'f') {
    return c - 'a' + 10;
  }
  return std::nullopt;
}

std::optional<KeyHash> ParseKeyHash(std::string_view text) {
  KeyHash hash{};
  if (text.size() != 2 * hash.size()) {
    return std::nullopt;
  }
  for (std::size_t i = 0; i < hash.size(); ++i) {
    const auto high = ParseHexDigit(text[2 * i]);
    const auto low = ParseHexDigit(text[2 * i + 1]);
    if (!high || !low) {
      return std::nullopt;
    }
    hash.at(i) = static_cast<std::uint8_t>(*high * 16 + *low);
  }
  return hash;
}

std::optional<KeyGrant> ParseKeyGrant(const std::string& body,
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
  if (const auto parsed = ParseKeyHash(hash)) {
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

HttpAnswer MethodNotAllowed(const std::string& allowed) {
  HttpAnswer answer =
      ProblemAnswer({405, "wrong_method", "Wrong method",
                     "this path takes " + allowed + "; use one of them"});
  answer.headers.emplace_back("Allow", allowed);
  return answer;
}

HttpAnswer NotImplemented() {
  return ProblemAnswer(
      {501, "not_supported", "Not supported by this daemon",
       "this daemon has no such operation; use a daemon of another version"});
}

HttpAnswer Unauthorized(const std::string& key_name) {
  return ProblemAnswer({401, "key_refused", "The key is missing or wrong",
                        "send \"Authorization: Bearer KEY\" with the " +
                            key_name + " key of the daemon's settings"});
}

bool HasValidKey(const HttpRequest& request, const std::string& key) {
  const std::string_view header = FindHeader(request.headers, "Authorization");
  // An empty key in the settings must not admit requests with an empty key.
  return !key.empty() && header.starts_with(kBearerPrefix) &&
         SecretsEqual(header.substr(kBearerPrefix.size()), key);
}

}  // namespace

struct OperatorApi::Call {
  HttpRequest request;
  std::string path;
  std::string query;
  /// Segments of the path after "/v1/".
  std::vector<std::string> parts;
  Answer answer;

  bool HasMethod(std::string_view method) const {
    return this->request.method == method;
  }

  /// Callback for a hook; sends its reply as the answer to this request.
  OperatorHooks::ReplyDone MakeReplyCallback() const {
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
  const std::size_t query_start = std::min(target.find('?'), target.size());
  call.path = target.substr(0, query_start);
  call.query = target.substr(std::min(query_start + 1, target.size()));
  call.request = std::move(request);
  call.answer = std::move(answer);
  if (!call.path.starts_with(kApiPrefix)) {
    this->HandleUnauthenticated(call);
    return;
  }
  call.parts = SplitPath(std::string_view{call.path}.substr(kApiPrefix.size()));
  const std::string& first = call.parts[0];
  if (first == "announcements" ||
      (first == "workers" && call.parts.size() > 1)) {
    this->HandlePlatform(call);
  } else {
    this->HandleOperator(call);
  }
}

void OperatorApi::HandleUnauthenticated(const Call& call) {
  const bool known = call.path == "/healthz" || call.path == "/readyz" ||
                     call.path == "/metrics";
  if (!known) {
    call.answer(NotFound(call.path));
  } else if (!call.HasMethod("GET")) {
    call.answer(MethodNotAllowed("GET"));
  } else if (call.path == "/healthz") {
    call.answer(TextAnswer("ok\n"));
  } else if (call.path == "/readyz") {
    this->GetReadiness(call);
  } else if (this->hooks.metrics_text) {
    call.answer(TextAnswer(this->hooks.metrics_text()));
  } else {
    call.answer(NotImplemented());
  }
}

void OperatorApi::GetReadiness(const Call& call) {
  if (!this->hooks.status) {
    call.answer(NotImplemented());
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
  if (!HasValidKey(call.request, this->keys.platform_key)) {
    call.answer(Unauthorized("platform"));
    return;
  }
  const bool announcement =
      call.parts[0] == "announcements" && call.parts.size() == 1;
  const bool report = call.parts[0] == "workers" && call.parts.size() == 3 &&
                      call.parts[2] == "report" && IsName(call.parts[1]);
  if (!announcement && !report) {
    call.answer(NotFound(call.path));
  } else if (!call.HasMethod("POST")) {
    call.answer(MethodNotAllowed("POST"));
  } else if (announcement && this->hooks.announce) {
    this->hooks.announce(call.request.body, call.MakeReplyCallback());
  } else if (report && this->hooks.report) {
    this->hooks.report(InstanceName(call.parts[1]), call.request.body,
                       call.MakeReplyCallback());
  } else {
    call.answer(NotImplemented());
  }
}

void OperatorApi::HandleOperator(const Call& call) {
  if (!HasValidKey(call.request, this->keys.operator_key)) {
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
  } else if (call.HasMethod("GET")) {
    this->GetTable(call, *table);
  } else if (call.HasMethod("POST")) {
    this->ChangeTable(call, *table);
  } else {
    call.answer(MethodNotAllowed("GET, POST"));
  }
}

void OperatorApi::GetTable(const Call& call, TableKind table) {
  if (!this->hooks.applied_state) {
    call.answer(NotImplemented());
    return;
  }
  call.answer(
      JsonAnswer(200, TableToJson(this->hooks.applied_state()->tables, table)));
}

void OperatorApi::ChangeTable(const Call& call, TableKind table) {
  std::vector<Problem> problems;
  const nlohmann::json value = ParseJson(call.request.body, &problems);
  std::optional<TableChange> change;
  if (problems.empty()) {
    change = ChangeFromJson(value, table, &problems);
  }
  if (!change) {
    call.answer(InvalidBodyAnswer(problems));
    return;
  }
  this->Propose(call, *std::move(change), table);
}

void OperatorApi::HandleKeys(const Call& call) {
  if (call.parts.size() == 2) {
    if (call.HasMethod("DELETE")) {
      this->RevokeKey(call, call.parts[1]);
    } else {
      call.answer(MethodNotAllowed("DELETE"));
    }
  } else if (call.HasMethod("GET")) {
    this->ListKeys(call);
  } else if (call.HasMethod("POST")) {
    this->GrantKey(call);
  } else {
    call.answer(MethodNotAllowed("GET, POST"));
  }
}

void OperatorApi::ListKeys(const Call& call) {
  if (!this->hooks.applied_state) {
    call.answer(NotImplemented());
    return;
  }
  const std::shared_ptr<const AppliedState> state = this->hooks.applied_state();
  nlohmann::json list = nlohmann::json::array();
  for (const Key& key : state->keys) {
    list.push_back({{"key_id", key.key_id},
                    {"team", key.team.str()},
                    {"client", key.client.str()}});
  }
  call.answer(JsonAnswer(200, {{"keys", std::move(list)}}));
}

void OperatorApi::GrantKey(const Call& call) {
  std::vector<Problem> problems;
  std::optional<KeyGrant> grant = ParseKeyGrant(call.request.body, &problems);
  if (!grant) {
    call.answer(InvalidBodyAnswer(problems));
    return;
  }
  this->Propose(call, *std::move(grant), std::nullopt);
}

void OperatorApi::RevokeKey(const Call& call, const std::string& key_id) {
  KeyRevoke revoke{FindQueryParameter(call.query, "change_id"), key_id};
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
  if (!call.HasMethod("GET")) {
    call.answer(MethodNotAllowed("GET"));
    return;
  }
  if (!this->hooks.status || !this->hooks.applied_state) {
    call.answer(NotImplemented());
    return;
  }
  const DaemonStatus status = this->hooks.status();
  const auto state = this->hooks.applied_state();
  nlohmann::json versions;
  for (const TableKind table : {TableKind::kRoutes, TableKind::kPools,
                                TableKind::kTeams, TableKind::kPolicy}) {
    versions[TableName(table)] = state->tables.VersionOf(table);
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
  if (!call.HasMethod("GET")) {
    call.answer(MethodNotAllowed("GET"));
    return;
  }
  if (!this->hooks.members) {
    call.answer(NotImplemented());
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
  const std::string& resource = call.parts[0];
  const bool waves = resource == "waves";
  if (!waves && resource != "pools" && resource != "workers" &&
      resource != "jobs") {
    call.answer(NotFound(call.path));
  } else if (call.HasMethod("GET") && this->hooks.fleet_view) {
    this->hooks.fleet_view(resource, call.MakeReplyCallback());
  } else if (waves && call.HasMethod("POST") && this->hooks.change_waves) {
    this->hooks.change_waves(call.request.body, call.MakeReplyCallback());
  } else if (call.HasMethod("GET") || (waves && call.HasMethod("POST"))) {
    call.answer(NotImplemented());
  } else {
    call.answer(MethodNotAllowed(waves ? "GET, POST" : "GET"));
  }
}

void OperatorApi::Propose(const Call& call, Command command,
                          std::optional<TableKind> table) {
  if (!this->hooks.propose) {
    call.answer(NotImplemented());
    return;
  }
  this->hooks.propose(std::move(command), [this, table, answer = call.answer](
                                              const ProposalResult& result) {
    answer(this->AnswerForResult(result, table));
  });
}

HttpAnswer OperatorApi::AnswerForResult(const ProposalResult& result,
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
    return this->AnswerForRefusal(result.outcome, table);
  }
  nlohmann::json body = {{"outcome", "accepted"}};
  if (table) {
    body["table"] = TableName(*table);
    body["version"] = result.outcome.version;
  }
  return JsonAnswer(200, body);
}

HttpAnswer OperatorApi::AnswerForRefusal(const Outcome& outcome,
                                         std::optional<TableKind> table) const {
  nlohmann::json extra_members = nlohmann::json::object();
  if (table) {
    extra_members["table"] = TableName(*table);
    extra_members["version"] = outcome.version;
  }
  const bool conflict = outcome.error == StateError::kVersionConflict;
  if (conflict && table && this->hooks.applied_state) {
    extra_members["in_force"] =
        TableToJson(this->hooks.applied_state()->tables, *table);
  }
  return ProblemAnswer(RefusalFor(outcome.error, outcome.detail),
                       extra_members);
}

}  // namespace mimosastage
