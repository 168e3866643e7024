#include "mimosastage/callers/caller_request.h"

#include <gtest/gtest.h>

namespace mimosastage {
namespace {

class CallerRequestTest : public ::testing::Test {
 protected:
  static HttpRequest Request(std::string method, std::string target,
                             HttpHeaders headers) {
    HttpRequest request;
    request.id = 7;
    request.method = std::move(method);
    request.target = std::move(target);
    request.headers = std::move(headers);
    return request;
  }
};

// Guards against a key that is forwarded to a backend server, and against a
// caller that sets headers reserved for the daemon.
TEST_F(CallerRequestTest,
       CallerRequest_WholeRequest_SplitsRouteAndKeepsKeyBack) {
  auto parsed =
      ParseCallerRequest(Request("POST", "/r/render/sheets/4?x=1",
                                 {{"authorization", "Bearer k1"},
                                  {"Idempotency-Key", "a-1"},
                                  {"mimosastage-request-id", "forged"},
                                  {"Mimosastage-Deadline-Ms", "250"},
                                  {"Accept", "text/plain"}}));
  const auto& request = std::get<CallerRequest>(parsed);
  EXPECT_EQ(request.route, RouteName("render"));
  EXPECT_EQ(request.target, "/sheets/4?x=1");
  EXPECT_EQ(request.key, "k1");
  EXPECT_EQ(request.idempotency_key, "a-1");
  EXPECT_EQ(request.deadline, std::chrono::milliseconds(250));
  const HttpHeaders forwarded = {{"Idempotency-Key", "a-1"},
                                 {"Accept", "text/plain"}};
  EXPECT_EQ(request.headers, forwarded);
}

// Guards against malformed input that the parser accepts.
TEST_F(CallerRequestTest, CallerRequest_MalformedInput_IsRefusedWithReason) {
  struct Case {
    std::string target;
    HttpHeaders headers;
    std::string reason;
  };
  const std::vector<Case> cases = {
      {"/", {}, "unknown_path"},
      {"/x/render", {}, "unknown_path"},
      {"/r/a", {{"Mimosastage-Deadline-Ms", "-5"}}, "bad_deadline"},
      {"/r/a", {{"Mimosastage-Deadline-Ms", "5s"}}, "bad_deadline"},
      {"/r/a",
       {{"Mimosastage-Deadline-Ms", "99999999999999999999"}},
       "bad_deadline"},
      {"/r/a", {{"Idempotency-Key", "a b"}}, "bad_idempotency_key"},
      {"/r/a",
       {{"Idempotency-Key", std::string(129, 'a')}},
       "bad_idempotency_key"}};
  for (const Case& c : cases) {
    auto parsed = ParseCallerRequest(Request("GET", c.target, c.headers));
    ASSERT_TRUE(std::holds_alternative<CallerRefusal>(parsed)) << c.reason;
    EXPECT_EQ(std::get<CallerRefusal>(parsed).reason, c.reason);
    EXPECT_EQ(std::get<CallerRefusal>(parsed).outcome, RefusedOutcome::kNotRun);
  }
}

// Guards against an idempotency key that is reused for a different request and
// gets the stored answer of the first one.
TEST_F(CallerRequestTest, Fingerprint_OtherBodyOrTarget_Differs) {
  CallerRequest request;
  request.route = RouteName("book");
  request.method = "POST";
  request.target = "/lane/1";
  request.body = "a";
  CallerRequest other = request;
  other.body = "b";
  EXPECT_NE(Fingerprint(request), Fingerprint(other));
  other = request;
  other.target = "/lane/2";
  EXPECT_NE(Fingerprint(request), Fingerprint(other));
  EXPECT_EQ(Fingerprint(request), Fingerprint(request));
}

}  // namespace
}  // namespace mimosastage
