// A version of the configuration removes a route and adds one with another name
// at the same host and prefix, while an accepted job of the first has a task
// left to run.
#include "rig.hpp"

using namespace rig;

int main(int argc, char** argv) {
  if (argc < 2) {
    return 2;
  }
  Record record(std::string(argv[1]) + "/record.txt");
  const TemporaryFolder folder;
  RunLog log(record);
  Deployment system(record, folder.path, 2);
  system.StartAll();
  const std::string host = "pule25.example";
  const json services = json::array({Deployment::Service("bookings")});
  const auto configuration = [&](int version, const std::string& name) {
    return Deployment::Configuration(
        version,
        json::array({Deployment::Route(name, host, "/batch/", "bookings", 4)}),
        services);
  };
  if (!system.Configure(configuration(1, "r-batch")) || !system.WaitReady()) {
    record.Line("the system didn't start");
    return 2;
  }
  std::vector<std::unique_ptr<Worker>> workers;
  for (int i = 0; i < 4; ++i) {
    Worker::Settings settings;
    settings.id = "i-" + std::to_string(i);
    settings.machine = "m-" + std::to_string(i);
    settings.address = system.WorkerAddress(i);
    settings.service = "bookings";
    settings.control_planes = system.Controls();
    settings.behaviour = [](const std::string& task, int) {
      Behaviour behaviour{3000, "done"};
      behaviour.lasts = task.rfind("00000000000000cc", 0) == 0;
      return behaviour;
    };
    workers.push_back(std::make_unique<Worker>(settings, record, log));
  }
  SleepMs(3000);
  const std::string path = "/batch/5c0e7a21d94b36f8";
  const json step{{"count", 2},
                  {"cpu", 1000},
                  {"memory_request_mb", 512},
                  {"estimated_ms", 3000}};
  json second = step;
  second["after"] = json::array({0});
  const json job{{"specification", "booking"},
                 {"steps", json::array({step, second})}};
  if (system.Call(0, "POST", host, path, job.dump()).status != 200) {
    return 2;
  }
  const std::int64_t accepted_at = record.NowMs();
  const std::string lasting = "/batch/00000000000000cc";
  const json lasting_job{{"specification", "watch"},
                         {"steps",
                          {{{"count", 1},
                            {"cpu", 1000},
                            {"memory_request_mb", 512},
                            {"long_running", true}}}}};
  if (system.Call(0, "POST", host, lasting, lasting_job.dump()).status != 200) {
    return 2;
  }
  SleepMs(1000);
  if (!system.Configure(
          configuration(5, IsTroubleOff() ? "r-batch" : "r-batch-2"))) {
    return 2;
  }
  // A new job shows that the route that is there now works.
  SleepMs(500);
  const std::string other = "/batch/00000000000000aa";
  if (system.Call(1, "POST", host, other, job.dump()).status != 200) {
    return 2;
  }
  const int cancelled = system.Call(1, "DELETE", host, lasting).status;
  const std::int64_t cancelled_at = record.NowMs();
  std::string state;
  bool broken = false;
  std::string other_state;
  constexpr std::int64_t kVisibleMs = 3000;
  for (int i = 0; i < 14 && state != "completed"; ++i) {
    SleepMs(1000);
    const Reply reply = system.Call(1, "GET", host, path);
    const json text = reply.Json();
    state = text.is_object() ? text.value("state", std::string()) : "";
    broken = broken || (reply.status == 410 &&
                        record.NowMs() > accepted_at + kVisibleMs);
  }
  for (int i = 0; i < 20 && other_state != "completed"; ++i) {
    const json text = system.Call(1, "GET", host, other).Json();
    other_state = text.is_object() ? text.value("state", std::string()) : "";
    SleepMs(250);
  }
  int starts = 0;
  for (const RunEvent& event : log.All()) {
    starts += event.what == "start" &&
                      event.task.rfind("5c0e7a21d94b36f8.0.1.", 0) == 0
                  ? 1
                  : 0;
  }
  record.Line("starts of the second step of the first job: " +
              std::to_string(starts) + "; the later job is " + other_state);
  constexpr std::int64_t kCancelMs = 3000;
  constexpr std::int64_t kStopTimeoutMs = 200;
  const bool runs_on = std::any_of(
      workers.begin(), workers.end(), [](const auto& worker) {
        return worker->Runs("00000000000000cc.0.0.0");
      });
  if ((cancelled == 200 || cancelled == 410) && runs_on &&
      record.NowMs() > cancelled_at + kCancelMs + kStopTimeoutMs) {
    record.Line("the job whose cancelling was acknowledged with " +
                std::to_string(cancelled) + " runs on after " +
                std::to_string(record.NowMs() - cancelled_at) +
                " ms: breaks UNASKED as well");
  }
  record.Line(broken ? "BROKEN: LOST" : "held");
  workers.clear();
  if (!broken && (state != "completed" || !system.AllRun())) {
    return 2;
  }
  return broken ? 1 : 0;
}
