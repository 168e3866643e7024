#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <set>

#include "tests/platform/support/wire_messages.h"

namespace mimosastage::platform {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

class WireTest : public ::testing::Test {
 protected:
  static jobs::Call DecodeCall(const HttpRequest& request, ListenerRole role) {
    DecodedRequest decoded = DecodeRequest(request, role);
    auto* call = std::get_if<IncomingCall>(&decoded);
    return call == nullptr ? jobs::Call() : std::move(call->call);
  }

  static std::uint16_t RefusalStatus(const HttpRequest& request,
                                     ListenerRole role) {
    const DecodedRequest decoded = DecodeRequest(request, role);
    const auto* answer = std::get_if<HttpAnswer>(&decoded);
    return answer == nullptr ? 0 : answer->status;
  }
};

TEST_F(WireTest, Decode_Job_WireFieldsAreTranslated) {
  const jobs::Call call = DecodeCall(
      MakeRequest("POST", "/puxa400/5c0e7a21d94b36f8",
                  R"({"specification":"text","steps":[{"count":4,"cpu":500,
                      "memory_request_mb":256,"estimated_ms":900},
                      {"count":2,"cpu":9,"after":[0],"anti_affinity":1,
                      "long_running":true,"may_miss":1}]})"),
      ListenerRole::kClients);
  EXPECT_EQ(call.kind, static_cast<std::uint8_t>(jobs::CallKind::kSubmit));
  EXPECT_EQ(call.host, "pule25.example");
  EXPECT_EQ(call.key, "secret");
  ASSERT_NE(call.job, nullptr);
  ASSERT_EQ(call.job->steps.size(), 2U);
  EXPECT_EQ(call.job->steps[0]->need->millicores, 500);
  EXPECT_EQ(call.job->steps[1]->after, std::vector<std::uint32_t>{0});
  EXPECT_EQ(call.job->steps[1]->most_per_worker, 1U);
  EXPECT_TRUE(call.job->steps[1]->long_running);
}

TEST_F(WireTest, Decode_MalformedJob_CallHasNoJob) {
  EXPECT_EQ(DecodeCall(MakeRequest("POST", "/p/1", "{\"steps\":"),
                       ListenerRole::kClients)
                .job,
            nullptr);
}

// Guards against a client that reaches the operator's calls through the
// clients' listener.
TEST_F(WireTest, Decode_ConfigurationPathOnClientListener_IsJobStateCall) {
  const jobs::Call call = DecodeCall(MakeRequest("GET", "/-/configuration"),
                                     ListenerRole::kClients);
  EXPECT_EQ(call.kind, static_cast<std::uint8_t>(jobs::CallKind::kJobState));
}

TEST_F(WireTest, Decode_TruncatedConfiguration_CallHasNoConfiguration) {
  const jobs::Call call =
      DecodeCall(MakeRequest("PUT", "/-/configuration",
                             R"({"version":7,"routes":[{"name":"r")"),
                 ListenerRole::kControlPlane);
  EXPECT_EQ(call.kind, static_cast<std::uint8_t>(jobs::CallKind::kConfigure));
  EXPECT_EQ(call.configuration, nullptr);
}

TEST_F(WireTest, Decode_Heartbeat_CallHasWorker) {
  const jobs::Call call =
      DecodeCall(MakeRequest("PUT", "/-/instances/i-1", Heartbeat().dump()),
                 ListenerRole::kControlPlane);
  ASSERT_NE(call.worker, nullptr);
  EXPECT_EQ(call.worker->id, "i-1");
  EXPECT_EQ(call.worker->machine, "m-1");
  EXPECT_EQ(call.worker->capacity->millicores, 16'000);
  EXPECT_EQ(call.sequence, 4U);
}

// Guards against a malformed heartbeat, such as one from a program other than
// the worker, that registers a worker or has any effect but its refusal.
TEST_F(WireTest, Decode_HeartbeatWithWrongField_IsRefused) {
  for (const char* field :
       {"state", "service", "address", "born", "capacity"}) {
    json broken = Heartbeat();
    broken[field] = json::array();
    EXPECT_EQ(
        RefusalStatus(MakeRequest("PUT", "/-/instances/i-1", broken.dump()),
                      ListenerRole::kControlPlane),
        400)
        << field;
  }
  json unknown_state = Heartbeat();
  unknown_state["state"] = "resting";
  EXPECT_EQ(RefusalStatus(
                MakeRequest("PUT", "/-/instances/i-1", unknown_state.dump()),
                ListenerRole::kControlPlane),
            400);
  EXPECT_EQ(RefusalStatus(MakeRequest("PUT", "/-/instances/i-1", "\xff\xfe{"),
                          ListenerRole::kControlPlane),
            400);
}

// Guards against an evacuation that the operator can't reach: such calls got
// 404.
TEST_F(WireTest, Decode_Evacuation_CallHasTheZone) {
  const std::pair<const char*, jobs::CallKind> kinds[] = {
      {"POST", jobs::CallKind::kEvacuateZone},
      {"DELETE", jobs::CallKind::kWithdrawEvacuation}};
  for (const auto& [method, kind] : kinds) {
    const jobs::Call call =
        DecodeCall(MakeRequest(method, "/-/evacuations/zone-1", ""),
                   ListenerRole::kControlPlane);
    EXPECT_EQ(call.kind, static_cast<std::uint8_t>(kind));
    EXPECT_EQ(call.zone, "zone-1");
    for (const std::string& zone : {std::string(), std::string(256, 'z')}) {
      EXPECT_EQ(RefusalStatus(MakeRequest(method, "/-/evacuations/" + zone, ""),
                              ListenerRole::kControlPlane),
                400);
    }
  }
  EXPECT_EQ(RefusalStatus(MakeRequest("PUT", "/-/evacuations/zone-1", ""),
                          ListenerRole::kControlPlane),
            404);
}

// Guards against an empty list that is shown as something else: an answer
// without a text gets the address of the daemon.
TEST_F(WireTest, ReadEvacuations_IsAnsweredWithTheZones) {
  EXPECT_EQ(DecodeCall(MakeRequest("GET", "/-/evacuations"),
                       ListenerRole::kControlPlane)
                .kind,
            static_cast<std::uint8_t>(jobs::CallKind::kReadEvacuations));
  jobs::Answer answer;
  answer.text = "10.0.0.1:80";
  EXPECT_EQ(
      json::parse(EncodeAnswer(jobs::CallKind::kReadEvacuations, answer).body),
      (json{{"zones", json::array()}}));
  answer.zones = {"zone-1", "zone-2"};
  EXPECT_EQ(
      json::parse(EncodeAnswer(jobs::CallKind::kReadEvacuations, answer).body),
      (json{{"zones", {"zone-1", "zone-2"}}}));
}

TEST_F(WireTest, DecodeInstanceReply_Row_HasItsZone) {
  const jobs::InstanceReply reply = DecodeInstanceReply(
      MakeResult(200, R"({"machines":[{"machine":"m-1","pool":"p","state":"up",
               "zone":"z"},{"machine":"m-2","pool":"p","state":"up"}]})"));
  ASSERT_EQ(reply.instances.size(), 2U);
  EXPECT_EQ(reply.instances[0].availability_zone, "z");
  EXPECT_EQ(reply.instances[1].availability_zone, "");
}

TEST_F(WireTest, Encode_Outcome_HasItsHttpStatus) {
  const auto status = [](jobs::CallOutcome outcome) {
    jobs::Answer answer;
    answer.outcome = static_cast<std::uint8_t>(outcome);
    return EncodeAnswer(jobs::CallKind::kSubmit, answer).status;
  };
  EXPECT_EQ(status(jobs::CallOutcome::kOk), 200);
  EXPECT_EQ(status(jobs::CallOutcome::kInvalid), 400);
  EXPECT_EQ(status(jobs::CallOutcome::kNoQueue), 404);
  EXPECT_EQ(status(jobs::CallOutcome::kGone), 410);
  EXPECT_EQ(status(jobs::CallOutcome::kUnavailable), 503);
  // The request may have run, so the status must not be one of a refusal.
  EXPECT_EQ(status(jobs::CallOutcome::kUnknown), 504);
}

TEST_F(WireTest, Encode_Start_CarriesFenceAndDeadline) {
  jobs::WorkerOrder order;
  order.worker = "i-1";
  order.address = "10.0.0.9:8080";
  order.token = 7;
  order.body = jobs::StartOrder{jobs::TaskId{"job", 0, 1, 17}, 2, "text",
                                "saved", milliseconds(486'000)};
  const ExchangeRequest request = EncodeOrder(order);
  EXPECT_EQ(request.target, "/-/run-start");
  EXPECT_EQ(request.port, 8080);
  EXPECT_EQ(json::parse(request.body), (json{{"task", "job.0.1.17"},
                                             {"run", 2},
                                             {"specification", "text"},
                                             {"deadline_ms", 486'000},
                                             {"fencing_token", 7},
                                             {"last_checkpoint", "saved"}}));
}

// Guards against an exception that ends the process: an earlier release stored
// workers whose ids can't be written as JSON.
TEST_F(WireTest, Encode_TextIsNotUtf8_BytesAreReplaced) {
  jobs::AdviceRequest advice;
  advice.step = "job.0.1";
  advice.workers = {"i-1", "i\xff"};
  const json body =
      json::parse(EncodeAdvice(advice, "10.0.0.1", 8344).body, nullptr, false);
  ASSERT_TRUE(body.is_object());
  EXPECT_EQ(body["workers"][0], "i-1");
  jobs::InstanceRequest move;
  move.kind = jobs::InstanceRequest::Kind::kMove;
  move.instance = "m\xff";
  EXPECT_TRUE(json::accept(EncodeInstanceRequest(move, "10.0.0.1", 8344).body));
  jobs::Answer answer;
  answer.outcome = static_cast<std::uint8_t>(jobs::CallOutcome::kInvalid);
  answer.text = "\xff";
  EXPECT_TRUE(json::accept(EncodeAnswer(jobs::CallKind::kSubmit, answer).body));
}

TEST_F(WireTest, DecodeReply_Hold_ListsRunsAndEnds) {
  const jobs::WorkerReply reply = DecodeReply(MakeResult(
      200,
      R"({"clock_ms":482113,"born":5,"running":[["job.0.1.17",2,"s",41,9],
          ["torn"],17],"ended_runs":[[58,"job.0.1.9",1,"lapsed","x"]]})"));
  EXPECT_EQ(reply.result, jobs::OrderResult::kOk);
  EXPECT_EQ(reply.clock, milliseconds(482'113));
  EXPECT_EQ(reply.born_ms, 5);
  ASSERT_EQ(reply.running.size(), 1U);
  EXPECT_EQ(reply.running[0].percent, 41U);
  EXPECT_EQ(reply.running[0].load, 9);
  ASSERT_EQ(reply.ended.size(), 1U);
  EXPECT_EQ(reply.ended[0].outcome, jobs::RunOutcome::kLeaseExpired);
}

TEST_F(WireTest, DecodeReply_Refusal_HasItsResult) {
  EXPECT_EQ(DecodeReply(MakeResult(409, R"({"reason":"fence"})")).result,
            jobs::OrderResult::kFenced);
  EXPECT_EQ(DecodeReply(MakeResult(409, R"({"reason":"old"})")).result,
            jobs::OrderResult::kOldRun);
  EXPECT_EQ(DecodeReply(MakeResult(421, "{}")).result,
            jobs::OrderResult::kOtherIncarnation);
  EXPECT_EQ(DecodeReply(MakeResult(200, "torn{")).result,
            jobs::OrderResult::kUnanswered);
}

class PlatformSettingsTest : public ::testing::Test {
 protected:
  static std::optional<PlatformSettings> Read(const json& value,
                                              std::string* problem) {
    return ReadSettingsText(value.dump(), problem);
  }

  static json Voter() { return VoterSettings(); }
};

TEST_F(PlatformSettingsTest, Setup_SeedsInOtherOrder_SameVoters) {
  std::string problem;
  json other = Voter();
  other["seed_nodes"] = {"10.3.0.28:8345", "10.1.0.26:8345", "10.2.0.18:8345"};
  const auto one = Read(Voter(), &problem);
  const auto two = Read(other, &problem);
  ASSERT_TRUE(one.has_value() && two.has_value());
  EXPECT_EQ(MakeDaemonSetup(*one).settings.node.founding_membership,
            MakeDaemonSetup(*two).settings.node.founding_membership);
}

// Guards against voters that take each other's links and votes: the ids of each
// of these pairs of addresses were equal.
TEST_F(PlatformSettingsTest, Setup_AddressesThatSharedAnId_AreThreeVoters) {
  const std::pair<std::string, std::string> pairs[] = {
      {"10.1.0.19", "10.3.0.39"},
      {"10.1.0.45", "10.3.0.65"},
      {"10.1.0.47", "10.3.0.67"}};
  for (const auto& [first, second] : pairs) {
    json voter = Voter();
    voter["ip"] = first;
    voter["seed_nodes"] = {first + ":8345", "10.2.0.18:8345", second + ":8345"};
    std::string problem;
    const auto platform_settings = Read(voter, &problem);
    ASSERT_TRUE(platform_settings.has_value()) << problem;
    const DaemonSetup setup = MakeDaemonSetup(*platform_settings);
    EXPECT_EQ(setup.settings.peers.size(), 2U);
    std::set<DaemonId> voters;
    for (const Member& member : setup.settings.node.founding_membership.slots) {
      voters.insert(member.daemon);
    }
    EXPECT_EQ(voters.size(), 3U) << first << " and " << second;
  }
}

// Guards against a daemon that can't be told from others with its kind of
// address.
TEST_F(PlatformSettingsTest, Read_IpIsNoIpv4Address_ProblemNamesIt) {
  std::string problem;
  json voter = Voter();
  voter["ip"] = "fd00::1";
  EXPECT_FALSE(Read(voter, &problem).has_value());
  EXPECT_NE(problem.find("fd00::1"), std::string::npos);
}

// Guards against a run that counts as ended while its worker still runs it: an
// incarnation that took a deadline for another clock keeps it for the longest
// lease that the platform grants.
TEST_F(PlatformSettingsTest, Setup_PlatformBoundsLeases_IsTheLongestLease) {
  for (const int longest_ms : {3'000, 10'000}) {
    std::string problem;
    json voter = Voter();
    voter["bounds"]["max_hold_ms"] = longest_ms;
    const auto platform_settings = Read(voter, &problem);
    ASSERT_TRUE(platform_settings.has_value()) << problem;
    const auto lease =
        MakeDaemonSetup(*platform_settings).settings.node.dispatcher.lease;
    EXPECT_EQ(lease.longest, milliseconds(longest_ms));
    EXPECT_LE(lease.length, lease.longest);
  }
}

// Guards against a small machine whose daemon takes the room of a large one.
TEST_F(PlatformSettingsTest, Setup_PlatformGivesLimits_BoundTheInput) {
  std::string problem;
  json voter = Voter();
  voter["limits"] = {{"memory_mb", 384}, {"max_file_descriptors", 1'024}};
  auto platform_settings = Read(voter, &problem);
  ASSERT_TRUE(platform_settings.has_value()) << problem;
  JobDaemon::Settings settings = MakeDaemonSetup(*platform_settings).settings;
  EXPECT_EQ(settings.input.max_bytes, 96U << 20U);
  EXPECT_EQ(settings.input.max_connections, 412U);
  EXPECT_EQ(settings.max_held_answer_bytes, 48U << 20U);
  voter["limits"] = {{"memory_mb", 1}, {"max_file_descriptors", 1}};
  platform_settings = Read(voter, &problem);
  ASSERT_TRUE(platform_settings.has_value()) << problem;
  settings = MakeDaemonSetup(*platform_settings).settings;
  // One announcement of 4 MiB still fits.
  EXPECT_EQ(settings.input.max_bytes, 13U << 20U);
  EXPECT_EQ(settings.input.max_connections, 16U);
}

// Guards against a client listener that takes bodies of any size, and against
// one that refuses bodies that the settings allow.
TEST_F(PlatformSettingsTest, Setup_ClientBodies_HaveAtLeastOneMib) {
  for (const auto& [given, expected] :
       {std::pair(json(262'144), 1U << 20U),
        std::pair(json(2 << 20), 2U << 20U), std::pair(json("x"), 1U << 20U)}) {
    std::string problem;
    json entry = Voter();
    entry["listen_addresses"] = {{"frontend", "10.1.0.23:8340"}};
    entry["limits"] = {{"max_body_bytes", given}};
    const auto platform_settings = Read(entry, &problem);
    ASSERT_TRUE(platform_settings.has_value()) << problem;
    const DaemonSetup setup = MakeDaemonSetup(*platform_settings);
    ASSERT_EQ(setup.listener_roles.front(), ListenerRole::kClients);
    EXPECT_EQ(setup.settings.listeners.front().max_body_bytes, expected);
  }
}

TEST_F(PlatformSettingsTest, Setup_EntryWithoutDataDirectory_IsNoVoter) {
  std::string problem;
  json entry = Voter();
  entry["data_directory"] = nullptr;
  entry["ip"] = "10.1.0.23";
  entry["listen_addresses"] = {{"frontend", "10.1.0.23:8340"},
                               {"readiness", "10.1.0.23:8343"}};
  const auto platform_settings = Read(entry, &problem);
  ASSERT_TRUE(platform_settings.has_value());
  const DaemonSetup setup = MakeDaemonSetup(*platform_settings);
  EXPECT_FALSE(setup.settings.node.is_voter);
  EXPECT_EQ(setup.settings.node.self, kAnonymousDaemon);
  EXPECT_EQ(setup.settings.peers.size(), 3U);
}

// Guards against evacuations that are refused as unknown, or of zones that
// don't exist: the settings give the zones as a table with their regions.
TEST_F(PlatformSettingsTest, Setup_Zones_AreTheNamesInTheTable) {
  const auto zones_of = [](const json& zones) {
    std::string problem;
    json voter = Voter();
    voter["zones"] = zones;
    const auto platform_settings = Read(voter, &problem);
    EXPECT_TRUE(platform_settings.has_value()) << problem;
    return MakeDaemonSetup(*platform_settings).settings.node.availability_zones;
  };
  const std::vector<std::string> both{"bogota", "cali"};
  EXPECT_EQ(zones_of({{"bogota", "andina"}, {"cali", "andina"}}), both);
  EXPECT_EQ(zones_of({{"bogota", nullptr}, {"cali", 7}}), both);
  for (const json& odd : {json(), json(7), json("bogota"), json::array(),
                          json{"bogota", "cali", "medellin"}}) {
    EXPECT_TRUE(zones_of(odd).empty()) << odd;
  }
}

TEST_F(PlatformSettingsTest, Read_MalformedSeed_ProblemNamesSeed) {
  std::string problem;
  json broken = Voter();
  broken["seed_nodes"] = {"nowhere"};
  EXPECT_FALSE(Read(broken, &problem).has_value());
  EXPECT_NE(problem.find("seed"), std::string::npos);
}

// Guards against a daemon that ends, or starts without its listeners, seeds or
// ports, because a field of the file has another type; a reload reads the file
// in a running daemon.
TEST_F(PlatformSettingsTest, Read_FieldHasAnotherType_ProblemNamesIt) {
  for (const json& value : {json(7), json(true), json("x"), json{{"a", 1}}}) {
    for (const char* field :
         {"internal_port_range", "seed_nodes", "listen_addresses"}) {
      if (std::string_view(field) == "listen_addresses" && value.is_object()) {
        continue;
      }
      json voter = Voter();
      voter[field] = value;
      std::string problem;
      EXPECT_FALSE(Read(voter, &problem).has_value()) << field << value;
      EXPECT_NE(problem.find(field), std::string::npos) << problem;
    }
    json voter = Voter();
    voter["listen_addresses"]["control_plane"] = value;
    std::string problem;
    EXPECT_FALSE(Read(voter, &problem).has_value()) << value;
    EXPECT_NE(problem.find("control_plane"), std::string::npos) << problem;
  }
  for (const json& port : {json(0), json(-1), json(65'535), json(70'000),
                           json(1e300), json("7000")}) {
    json voter = Voter();
    voter["internal_port_range"] = {port, 7015};
    std::string problem;
    EXPECT_FALSE(Read(voter, &problem).has_value()) << port;
  }
}

}  // namespace
}  // namespace mimosastage::platform
