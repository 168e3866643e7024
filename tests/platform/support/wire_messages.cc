#include "tests/platform/support/wire_messages.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <fstream>
#include <set>
#include <utility>

namespace mimosastage::platform {

using nlohmann::json;

namespace {

std::vector<OddEntry>& Reports() {
  static std::vector<OddEntry> reports;
  return reports;
}

const DecodeHooks& TestHooks() {
  static const DecodeHooks hooks{
      [] { return kWallTime; },
      [](OddEntry kind, std::string_view) { Reports().push_back(kind); }};
  return hooks;
}

}  // namespace

std::vector<OddEntry> TakeReports() { return std::exchange(Reports(), {}); }

DecodedRequest DecodeRequest(const HttpRequest& request, ListenerRole role) {
  return DecodeRequest(request, role, TestHooks());
}

jobs::WorkerReply DecodeReply(const ExchangeResult& result) {
  return DecodeReply(result, TestHooks());
}

jobs::InstanceReply DecodeInstanceReply(const ExchangeResult& result) {
  return DecodeInstanceReply(result, TestHooks());
}

jobs::AdviceReply DecodeAdvice(const ExchangeResult& result) {
  return DecodeAdvice(result, TestHooks());
}

HttpRequest MakeRequest(const std::string& method, const std::string& target,
                        const std::string& body) {
  HttpRequest request;
  request.method = method;
  request.target = target;
  request.body = body;
  request.headers = {{"Host", "pule25.example:80"},
                     {"Authorization", "Bearer secret"}};
  return request;
}

ExchangeResult MakeResult(std::uint16_t status, const std::string& body) {
  ExchangeResult result;
  result.id = 7;
  result.answer.status = status;
  result.answer.body = body;
  return result;
}

json Heartbeat() {
  return json{{"service", "huvo11a"},
              {"address", "10.128.0.9:8080"},
              {"zone", "bogota"},
              {"state", "ready"},
              {"born", 1'000},
              {"machine", "m-1"},
              {"sequence", 4},
              {"labels", {"a", "r1-3"}},
              {"capacity", {{"cpu", 16'000}, {"memory_request_mb", 512}}}};
}

json JobBody() {
  return json::parse(R"({"specification":"text","repetitions":2,
      "first_run_ms":1000,"interval_ms":500,"steps":[
      {"count":4,"cpu":500,"memory_request_mb":256,"estimated_ms":900},
      {"count":2,"cpu":9,"after":[0],"anti_affinity":1,"long_running":true,
       "may_miss":1,"target_ms":40,"image":"i","required_label":"a"}]})");
}

json ConfigurationBody() {
  return json::parse(R"({"version":7,
      "routes":[{"name":"r","host":"h.example","path_prefix":"/p/",
        "timeout_ms":3000,"target_duration_ms":600,"priority":1,
        "service":"huvo11a","max_attempts":2,"stretch":1.6,"public":false,
        "recommendation":{"decision_ms":20,"period_ms":1,"validity_ms":4000}}],
      "services":[{"name":"huvo11a","standby":false}],
      "tenants":[{"name":"t","api_keys":["k1","k2"],"weight":34,
        "upper_limit":{"cpu":1282453,"memory_request_mb":3671398,"gpu":0}}]})");
}

json WaveBody() {
  return json{{"wave", 1},
              {"machines", {"m-1", "m-2"}},
              {"duration_s", 20},
              {"upper_limit", 1}};
}

json HoldBody() {
  return json::parse(R"({"clock_ms":482113,"born":5,
      "running":[["job.0.1.17",2,"s",41,9],["job.0.1.18",1,"",0,0]],
      "ended_runs":[[58,"job.0.1.9",1,"lapsed","x"],
                    [59,"job.0.1.10",1,"done",""]]})");
}

json MachineList() {
  return json::parse(R"({"machines":[
      {"machine":"m-1","pool":"p","state":"up","zone":"z","id":"i-1",
       "labels":["a","r1"],"capacity":{"cpu":1,"memory_request_mb":2}},
      {"machine":"m-2","pool":"p","state":"down","zone":"z","id":"",
       "labels":["a","r1"],"capacity":{"cpu":1,"memory_request_mb":2}}],
      "next_page_token":"2"})");
}

json AdviceBody() {
  return json::parse(
      R"({"validity_ms":4000,"approved_workers":[["i-1","t1"],["i-2","t2"]]})");
}

json VoterSettings() {
  return json{
      {"node_name", "core-1"},
      {"ip", "10.1.0.26"},
      {"listen_addresses", {{"control_plane", "10.1.0.26:8345"}}},
      {"internal_port_range", {7000, 7015}},
      {"seed_nodes", {"10.1.0.26:8345", "10.2.0.18:8345", "10.3.0.28:8345"}},
      {"bootstrap", true},
      {"cloud_api", {{"address", "10.200.0.82:8344"}}},
      {"fault_tolerance", {{"machines", 1}}},
      {"bounds", {{"max_hold_ms", 6'000}}},
      {"data_directory", "/data/core"}};
}

std::vector<json::json_pointer> PlacesIn(const json& message) {
  std::set<json::json_pointer> places;
  const json flat = message.flatten();
  for (const auto& [path, value] : flat.items()) {
    for (json::json_pointer place(path); !place.empty();
         place = place.parent_pointer()) {
      places.insert(place);
    }
  }
  return {places.begin(), places.end()};
}

std::string WithTextAt(json message, const json::json_pointer& place,
                       const std::string& text) {
  constexpr char kMark[] = "the value that is replaced";
  message[place] = kMark;
  std::string whole = message.dump();
  const std::string quoted = json(kMark).dump();
  whole.replace(whole.find(quoted), quoted.size(), text);
  return whole;
}

const std::vector<Decoder>& AllDecoders() {
  static const std::vector<Decoder> decoders{
      {"Heartbeat", Heartbeat,
       [](const std::string& body) {
         DecodeRequest(MakeRequest("PUT", "/-/instances/i-1", body),
                       ListenerRole::kControlPlane);
       }},
      {"Job", JobBody,
       [](const std::string& body) {
         DecodeRequest(MakeRequest("POST", "/p/1", body),
                       ListenerRole::kClients);
       }},
      {"Configuration", ConfigurationBody,
       [](const std::string& body) {
         DecodeRequest(MakeRequest("PUT", "/-/configuration", body),
                       ListenerRole::kControlPlane);
       }},
      {"Wave", WaveBody,
       [](const std::string& body) {
         DecodeRequest(MakeRequest("POST", "/-/wave-start", body),
                       ListenerRole::kControlPlane);
       }},
      {"Reply", HoldBody,
       [](const std::string& body) { DecodeReply(MakeResult(200, body)); }},
      {"RefusedOrder", HoldBody,
       [](const std::string& body) { DecodeReply(MakeResult(409, body)); }},
      {"MachineList", MachineList,
       [](const std::string& body) {
         DecodeInstanceReply(MakeResult(200, body));
       }},
      {"RefusedMachineOrder", MachineList,
       [](const std::string& body) {
         DecodeInstanceReply(MakeResult(409, body));
       }},
      {"Advice", AdviceBody,
       [](const std::string& body) { DecodeAdvice(MakeResult(200, body)); }},
      {"Settings", VoterSettings, [](const std::string& text) {
         std::string problem;
         ReadSettingsText(text, &problem);
       }}};
  return decoders;
}

std::optional<PlatformSettings> ReadSettingsText(const std::string& text,
                                                 std::string* problem) {
  const std::string file = ::testing::TempDir() + "platform_settings." +
                           std::to_string(getpid()) + ".json";
  std::ofstream(file) << text;
  return ReadPlatformSettings(file, problem);
}

}  // namespace mimosastage::platform
