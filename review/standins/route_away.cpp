// While a route is out of the configuration for some seconds, a task of an
// accepted job of it ends `failed` once.
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
  const json kept =
      Deployment::Route("r-other", host, "/other/", "bookings", 4);
  const json route =
      Deployment::Route("r-batch", host, "/batch/", "bookings", 4);
  if (!system.Configure(Deployment::Configuration(
          1, json::array({kept, route}), services)) ||
      !system.WaitReady()) {
    record.Line("the system didn't start");
    return 2;
  }
  std::vector<std::unique_ptr<Worker>> workers;
  // 1 of 12 workers fails what it starts: the one that has the first run.
  for (int i = 0; i < 12; ++i) {
    Worker::Settings settings;
    settings.id = "i-" + std::to_string(i);
    settings.machine = "m-" + std::to_string(i);
    settings.address = system.WorkerAddress(i);
    settings.service = "bookings";
    settings.control_planes = system.Controls();
    settings.behaviour = [](const std::string&, int run) {
      return run == 1 ? Behaviour{4000, "failed", false}
                      : Behaviour{1000, "done", false};
    };
    workers.push_back(std::make_unique<Worker>(settings, record, log));
  }
  SleepMs(3000);
  const std::string id = "5c0e7a21d94b36f8";
  const json job{{"specification", "booking"},
                 {"steps",
                  {{{"count", 1},
                    {"cpu", 1000},
                    {"memory_request_mb", 512},
                    {"estimated_ms", 4000}}}}};
  if (system.Call(0, "POST", host, "/batch/" + id, job.dump()).status != 200) {
    return 2;
  }
  SleepMs(1500);
  const json routes_without = IsTroubleOff() ? json::array({kept, route})
                                             : json::array({kept});
  if (!system.Configure(
          Deployment::Configuration(5, routes_without, services))) {
    return 2;
  }
  SleepMs(5000);
  if (!system.Configure(Deployment::Configuration(
          9, json::array({kept, route}), services))) {
    return 2;
  }
  std::string state;
  for (int i = 0; i < 60 && state != "failed" && state != "completed"; ++i) {
    SleepMs(250);
    const json text = system.Call(1, "GET", host, "/batch/" + id).Json();
    state = text.is_object() ? text.value("state", std::string()) : "";
  }
  int failed_ends = 0;
  for (const RunEvent& event : log.All()) {
    failed_ends += event.what == "failed" ? 1 : 0;
  }
  const bool broken = state == "failed" && failed_ends < 4;
  record.Line("state of the job: " + state + "; ends `failed`: " +
              std::to_string(failed_ends) + " of max_attempts 4");
  record.Line(broken ? "BROKEN: LOST" : "held");
  workers.clear();
  if (!broken && (state != "completed" || !system.AllRun())) {
    return 2;
  }
  return broken ? 1 : 0;
}
