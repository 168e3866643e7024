// A job of a route whose prefix lies inside another route's, and a version that
// removes the inner route.
#include <algorithm>

#include "deployment.hpp"

using namespace deployment;

namespace {

constexpr char kKey[] = "key-of-the-clubs-0001";
constexpr char kHost[] = "courts.example";
constexpr char kJob[] = "5c0e7a21d94b36f8";
constexpr int kSteps = 22;
/// `cancel_ms` of the site.
constexpr double kCancelS = 3.0;

int Run(Record& record) {
  System system(record);
  Server platform(system.platform, [](const Request&) {
    return Reply{200, json{{"machines", json::array()}}};
  });
  Worker::History history;
  std::vector<std::unique_ptr<Worker>> workers;
  system.Start();
  const json outer = Route("leagues", kHost, "/leagues/", "bookings");
  const json inner = Route("cup", kHost, "/leagues/cup/", "bookings");
  if (system.Configure(Configuration(1, json::array({outer, inner}), json::array({Service("bookings")}), kKey)) !=
      200) {
    return kNotPossible;
  }
  for (int i = 0; i < 3; ++i) {
    workers.push_back(std::make_unique<Worker>(
        Worker::Place{"i-" + std::to_string(1001 + i), system.WorkerAddress(i + 1),
                      "m-" + std::to_string(i + 1), "bookings",
                      Zones()[static_cast<std::size_t>(i)], "r1"},
        system, record, history));
  }
  SleepMs(2'500);

  const std::string path = std::string("/leagues/cup/") + kJob;
  const std::map<std::string, std::string> headers{
      {"Host", kHost}, {"Authorization", std::string("Bearer ") + kKey},
      {"X-Deadline-Ms", "3000"}};
  json steps = json::array();
  for (int i = 0; i < kSteps; ++i) {
    json step{{"count", 1}, {"cpu", 1000}, {"memory_request_mb", 512},
              {"estimated_ms", 1000}};
    if (i > 0) step["after"] = json::array({i - 1});
    steps.push_back(step);
  }
  const auto call = [&](const char* method, const json& body) {
    const Reply reply = Call(system.front, method, path, body, 3'000, headers);
    record(std::string("client: ") + method + " " + path + " -> " +
           std::to_string(reply.status) + " " + reply.body.dump());
    return reply;
  };
  const json job{{"specification", "1000"}, {"steps", steps}};
  if (call("POST", job).status != 200) return kNotPossible;
  SleepMs(1'500);
  if (call("GET", nullptr).status != 200) return kNotPossible;
  if (WithTrouble() &&
      system.Configure(Configuration(2, json::array({outer}), json::array({Service("bookings")}), kKey)) != 200) {
    return kNotPossible;
  }
  // Later than `visible_ms` after the job's acknowledgement, and than
  // `config_apply_ms` after that of the version.
  SleepMs(5'500);
  const double asked = record.Seconds();
  const Reply state = call("GET", nullptr);
  if (state.status == 0 || state.status >= 500) return kNotPossible;
  SleepMs(3'000);
  const auto starts_since = [&](double at_s) {
    const std::lock_guard lock(history.mutex);
    return std::count_if(history.started.begin(), history.started.end(),
                         [&](const auto& start) { return start.at_s > at_s; });
  };
  const auto later = starts_since(asked);
  record(std::to_string(later) + " tasks of the job have started since that answer");
  const Reply cancelled = call("DELETE", nullptr);
  const double cancelled_s = record.Seconds();
  SleepMs(6'000);
  if (const auto count = starts_since(cancelled_s + kCancelS);
      count > 0 && (cancelled.status == 410 || cancelled.status / 100 == 2)) {
    record("UNASKED as well: " + std::to_string(count) +
           " tasks have started later than " + std::to_string(kCancelS) +
           " s after the acknowledgement of the cancelling");
  }
  if (later == 0) return kNotPossible;
  const bool broken = state.status == 410;
  record(broken ? "LOST is broken: 410 for an accepted job that nobody has cancelled, "
                  "and which runs on"
                : "LOST held");
  return broken ? kBroken : kHeld;
}

}  // namespace

int main(int argc, char** argv) { return RunScript(argc, argv, Run); }
