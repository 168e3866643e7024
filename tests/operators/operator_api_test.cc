#include "mimosastage/operators/operator_api.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "mimosastage/state/replicated_state.h"
#include "mimosastage/state/state_error.h"

namespace mimosastage {
namespace {

constexpr const char* kOperatorKey = "operator-key-0123456789";
constexpr const char* kPlatformKey = "platform-key-0123456789";
constexpr const char* kHash =
    "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";

class OperatorApiTest : public testing::Test {
 protected:
  OperatorApiTest() : api({kOperatorKey, kPlatformKey}, this->MakeHooks()) {}

  OperatorHooks MakeHooks() {
    OperatorHooks hooks;
    hooks.propose = [this](const Command& command, const auto& done) {
      ++this->proposed;
      ProposalResult result;
      result.kind = this->kind;
      result.detail = "no leader is known";
      if (this->kind == ProposalResult::Kind::kCommitted) {
        result.outcome = this->state.Apply(this->state.Applied() + 1, command);
      }
      done(result);
    };
    hooks.applied_state = [this] {
      return std::make_shared<const AppliedState>(
          AppliedState{this->state.Tables(), this->state.Keys().Keys()});
    };
    hooks.status = [this] {
      DaemonStatus status;
      status.daemon = "entry-1";
      status.ready = this->ready;
      status.not_ready_reason = "no serving lease";
      return status;
    };
    hooks.members = [] {
      return std::vector<MemberStatus>{{"entry-1", "10.0.0.1:7400"}};
    };
    hooks.metrics_text = [] { return std::string("up 1\n"); };
    hooks.announce = [this](const std::string& body, const auto& done) {
      this->platform_body = body;
      done({200, "{\"interval\": \"1s\"}"});
    };
    hooks.report = [this](const InstanceName& worker, const std::string& body,
                          const auto& done) {
      this->platform_body = worker.str() + ":" + body;
      done({200, "{\"commands\": []}"});
    };
    hooks.fleet_view = [](std::string_view resource, const auto& done) {
      done({200, "{\"view\": \"" + std::string(resource) + "\"}"});
    };
    return hooks;
  }

  HttpAnswer Send(const std::string& method, const std::string& target,
                  const std::string& key = kOperatorKey,
                  const std::string& body = "") {
    HttpRequest request;
    request.method = method;
    request.target = target;
    request.body = body;
    if (!key.empty()) {
      request.headers.emplace_back("authorization", "Bearer " + key);
    }
    HttpAnswer result;
    int answers = 0;
    this->api.Handle(std::move(request), [&](HttpAnswer&& answer) {
      ++answers;
      result = std::move(answer);
    });
    EXPECT_EQ(answers, 1) << method << " " << target;
    return result;
  }

  HttpAnswer Post(const std::string& table, const nlohmann::json& body) {
    return this->Send("POST", "/v1/tables/" + table, kOperatorKey, body.dump());
  }

  static nlohmann::json TeamChange(const std::string& change_id,
                                   std::uint64_t base, int share) {
    return {
        {"change_id", change_id},
        {"base_version", base},
        {"upserts", {{{"name", "t"}, {"share", share}, {"upper_limit", 5}}}}};
  }

  ReplicatedState state;
  ProposalResult::Kind kind = ProposalResult::Kind::kCommitted;
  bool ready = true;
  int proposed = 0;
  std::string platform_body;
  OperatorApi api;
};

struct RequestCase {
  const char* method;
  const char* target;
  const char* key;
  int status;
  const char* reason;
};

// Every operation must reject a missing or wrong key, every path must be
// answered, and every refusal must have a reason.
TEST_F(OperatorApiTest, Handle_EachPath_AnswersStatusAndReason) {
  const RequestCase cases[] = {
      {"GET", "/healthz", "", 200, ""},
      {"GET", "/readyz", "", 200, ""},
      {"GET", "/metrics", "", 200, ""},
      {"POST", "/metrics", "", 405, "wrong_method"},
      {"GET", "/", "", 404, "unknown_path"},
      {"GET", "", "", 404, "unknown_path"},
      {"GET", "/v1", "", 404, "unknown_path"},
      {"GET", "/v1/", kOperatorKey, 404, "unknown_path"},
      {"GET", "/v1/tables/routes", "", 401, "key_refused"},
      {"GET", "/v1/tables/routes", kPlatformKey, 401, "key_refused"},
      {"GET", "/v1/tables/routes", "operator-key-012345678", 401,
       "key_refused"},
      {"GET", "/v1/nothing", "", 401, "key_refused"},
      {"GET", "/v1/tables/routes", kOperatorKey, 200, ""},
      {"GET", "/v1/tables/routes?x=1", kOperatorKey, 200, ""},
      {"GET", "/v1/tables/rows", kOperatorKey, 404, "unknown_path"},
      {"GET", "/v1/tables", kOperatorKey, 404, "unknown_path"},
      {"DELETE", "/v1/tables/routes", kOperatorKey, 405, "wrong_method"},
      {"POST", "/v1/tables/routes", kOperatorKey, 400, "invalid_body"},
      {"GET", "/v1/keys", kOperatorKey, 200, ""},
      {"POST", "/v1/keys", kOperatorKey, 400, "invalid_body"},
      {"DELETE", "/v1/keys", kOperatorKey, 405, "wrong_method"},
      {"DELETE", "/v1/keys/a", kOperatorKey, 400, "bad_change_id"},
      {"DELETE", "/v1/keys/a?change_id=c1", kOperatorKey, 404, "unknown_key"},
      {"DELETE", "/v1/keys/a/b?change_id=c", kOperatorKey, 404, "unknown_path"},
      {"GET", "/v1/status", kOperatorKey, 200, ""},
      {"GET", "/v1/members", kOperatorKey, 200, ""},
      {"POST", "/v1/members", kOperatorKey, 405, "wrong_method"},
      {"GET", "/v1/waves", kOperatorKey, 200, ""},
      {"POST", "/v1/waves", kOperatorKey, 501, "not_supported"},
      {"GET", "/v1/pools", kOperatorKey, 200, ""},
      {"GET", "/v1/workers", kOperatorKey, 200, ""},
      {"GET", "/v1/jobs", kOperatorKey, 200, ""},
      {"POST", "/v1/jobs", kOperatorKey, 405, "wrong_method"},
      {"POST", "/v1/announcements", kOperatorKey, 401, "key_refused"},
      {"POST", "/v1/announcements", kPlatformKey, 200, ""},
      {"GET", "/v1/announcements", kPlatformKey, 405, "wrong_method"},
      {"POST", "/v1/workers/w1/report", kPlatformKey, 200, ""},
      {"POST", "/v1/workers/w%2F/report", kPlatformKey, 404, "unknown_path"},
      {"POST", "/v1/workers/w1", kPlatformKey, 404, "unknown_path"},
  };
  for (const RequestCase& item : cases) {
    SCOPED_TRACE(std::string(item.method) + " " + item.target);
    const HttpAnswer answer = this->Send(item.method, item.target, item.key);
    EXPECT_EQ(answer.status, item.status);
    if (item.status < 400) {
      continue;
    }
    EXPECT_EQ(FindHeader(answer.headers, "Content-Type"),
              "application/problem+json");
    const auto body = nlohmann::json::parse(answer.body);
    EXPECT_EQ(body["reason"], item.reason);
    EXPECT_EQ(body["outcome"], "not_run");
    EXPECT_FALSE(body["detail"].get<std::string>().empty());
    EXPECT_EQ(answer.body.find(kOperatorKey), std::string::npos);
  }
  EXPECT_EQ(this->proposed, 1);
  EXPECT_EQ(this->platform_body, "w1:");
}

// Of two changes with the same base version the second must fail, and its
// answer must contain the current table. A change that is sent again must get
// its first answer.
TEST_F(OperatorApiTest,
       ChangeTable_ConflictAndResend_FirstWinsAndAnswersRepeat) {
  const HttpAnswer first = this->Post("teams", TeamChange("a", 0, 1));
  EXPECT_EQ(first.status, 200);
  EXPECT_EQ(nlohmann::json::parse(first.body)["version"], 1);
  const HttpAnswer second = this->Post("teams", TeamChange("b", 0, 2));
  EXPECT_EQ(second.status, 409);
  const auto body = nlohmann::json::parse(second.body);
  EXPECT_EQ(body["reason"], "version_conflict");
  EXPECT_EQ(body["version"], 1);
  EXPECT_EQ(body["in_force"]["rows"][0]["share"], 1);
  EXPECT_EQ(this->Post("teams", TeamChange("a", 0, 1)).body, first.body);
  EXPECT_EQ(this->Post("teams", TeamChange("b", 0, 2)).status, 409);
  const HttpAnswer bad = this->Post("teams", TeamChange("c", 1, 0));
  EXPECT_EQ(bad.status, 400);
  EXPECT_EQ(nlohmann::json::parse(bad.body)["problems"][0]["field"],
            "upserts[0]");
}

// A change that may have been committed must not be reported as not run.
TEST_F(OperatorApiTest, ChangeTable_NotCommitted_SaysWhetherItMayHaveRun) {
  this->kind = ProposalResult::Kind::kNotAccepted;
  const HttpAnswer refused = this->Post("teams", TeamChange("a", 0, 1));
  EXPECT_EQ(refused.status, 503);
  EXPECT_EQ(nlohmann::json::parse(refused.body)["outcome"], "not_run");
  EXPECT_EQ(FindHeader(refused.headers, "Retry-After"), "1");
  this->kind = ProposalResult::Kind::kUnknown;
  const HttpAnswer unknown = this->Post("teams", TeamChange("a", 0, 1));
  EXPECT_EQ(unknown.status, 504);
  EXPECT_EQ(nlohmann::json::parse(unknown.body)["outcome"], "unknown");
}

// A key must be granted with exactly the given hash and must be revocable.
TEST_F(OperatorApiTest, Keys_GrantListRevoke_FollowsTheState) {
  this->Post("teams", TeamChange("a", 0, 1));
  nlohmann::json grant = {{"change_id", "g"},
                          {"key_id", "k"},
                          {"team", "t"},
                          {"client", "c"},
                          {"hash", kHash}};
  const auto send = [&] {
    return this->Send("POST", "/v1/keys", kOperatorKey, grant.dump()).status;
  };
  EXPECT_EQ(send(), 200);
  EXPECT_EQ(send(), 200);
  ASSERT_EQ(this->state.Keys().Keys().size(), 1U);
  EXPECT_EQ(this->state.Keys().Keys()[0].hash[15], 0xff);
  const HttpAnswer list = this->Send("GET", "/v1/keys");
  EXPECT_EQ(list.body.find("hash"), std::string::npos);
  EXPECT_NE(list.body.find("\"key_id\":\"k\""), std::string::npos);
  grant["change_id"] = "g2";
  EXPECT_EQ(send(), 409);
  grant["team"] = "other";
  grant["change_id"] = "g3";
  EXPECT_EQ(send(), 422);
  grant["hash"] = "00";
  EXPECT_EQ(send(), 400);
  EXPECT_EQ(this->Send("DELETE", "/v1/keys/k?change_id=r").status, 200);
  EXPECT_EQ(this->Send("DELETE", "/v1/keys/k?change_id=r").status, 200);
  EXPECT_TRUE(this->state.Keys().Keys().empty());
}

// An entry without a serving lease must tell load balancers that it isn't
// ready. An empty key in the settings must not give access without a key.
TEST_F(OperatorApiTest, Handle_NotReadyOrEmptyKey_Refuses) {
  this->ready = false;
  EXPECT_EQ(this->Send("GET", "/readyz").status, 503);
  EXPECT_EQ(this->Send("GET", "/healthz").status, 200);
  OperatorApi api_without_keys({"", ""}, this->MakeHooks());
  HttpRequest request;
  request.method = "GET";
  request.target = "/v1/keys";
  request.headers.emplace_back("Authorization", "Bearer ");
  int status = 0;
  api_without_keys.Handle(std::move(request),
                          [&](HttpAnswer&& answer) { status = answer.status; });
  EXPECT_EQ(status, 401);
}

}  // namespace
}  // namespace mimosastage
