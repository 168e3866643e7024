// A gang on one worker, which fails part of what it starts: one member of each
// of the first four runs, each time another one.
#include "rig.hpp"

using namespace rig;

int main(int argc, char** argv) {
  if (argc < 2) {
    return 2;
  }
  Record record(std::string(argv[1]) + "/record.txt");
  const TemporaryFolder folder;
  RunLog log(record);
  GangRoom gangs;
  Deployment system(record, folder.path, 2);
  system.StartAll();
  const std::string host = "pule25.example";
  constexpr int kMaxAttempts = 2;
  if (!system.Configure(Deployment::Configuration(
          1,
          json::array({Deployment::Route("r-fold", host, "/fold/", "archive",
                                         kMaxAttempts)}),
          json::array({Deployment::Service("archive")}))) ||
      !system.WaitReady()) {
    record.Line("the system didn't start");
    return 2;
  }
  constexpr int kMembers = 4;
  std::vector<std::unique_ptr<Worker>> workers;
  // The first worker that starts something; 1 of 12 workers fails.
  std::mutex mutex;
  std::string grey;
  for (int i = 0; i < 12; ++i) {
    Worker::Settings settings;
    settings.id = "i-" + std::to_string(i);
    settings.machine = "m-" + std::to_string(i);
    settings.address = system.WorkerAddress(i);
    settings.service = "archive";
    settings.control_planes = system.Controls();
    settings.gangs = &gangs;
    const std::string name = settings.id;
    settings.behaviour = [&mutex, &grey, name](const std::string& task,
                                               int run) {
      const std::lock_guard lock(mutex);
      if (grey.empty()) {
        grey = name;
      }
      const int index = std::stoi(task.substr(task.rfind('.') + 1));
      Behaviour behaviour{3000, "done", false, kMembers, false};
      // One member fails 1 s after the gang has begun to work.
      if (!IsTroubleOff() && name == grey && index == run - 1) {
        behaviour.work_ms = 1000;
        behaviour.how = "failed";
      }
      return behaviour;
    };
    workers.push_back(std::make_unique<Worker>(settings, record, log));
  }
  SleepMs(3000);
  const std::string path = "/fold/5c0e7a21d94b36f8";
  const json job{{"specification", "folder"},
                 {"steps",
                  {{{"count", kMembers},
                    {"cpu", 1900},
                    {"memory_request_mb", 3900},
                    {"estimated_ms", 3000},
                    {"gang_scheduled", true}}}}};
  if (system.Call(0, "POST", host, path, job.dump()).status != 200) {
    return 2;
  }
  std::string state;
  for (int i = 0; i < 120 && state != "failed" && state != "completed"; ++i) {
    SleepMs(250);
    const Reply reply = Send(system.Front(1), "GET", path, "", {"Host: " + host});
    state = reply.Json().is_object()
                ? reply.Json().value("state", std::string())
                : "";
  }
  std::set<int> failed_runs;
  std::set<int> runs_started_after;
  for (const RunEvent& event : log.All()) {
    if (event.what == "failed") {
      failed_runs.insert(event.run);
    }
    if (event.what == "start" &&
        static_cast<int>(failed_runs.size()) >= kMaxAttempts) {
      runs_started_after.insert(event.run);
    }
  }
  for (const int run : runs_started_after) {
    record.Line("run " + std::to_string(run) + " of the gang was started after " +
                std::to_string(kMaxAttempts) +
                " of its runs had ended `failed`, with max_attempts " +
                std::to_string(kMaxAttempts));
  }
  const bool broken = !runs_started_after.empty();
  record.Line("state of the job: " + state + "; runs of the gang that failed: " +
              std::to_string(failed_runs.size()));
  record.Line(broken ? "BROKEN: BUDGET" : "held");
  workers.clear();
  if (!broken && (state != "completed" || !system.AllRun())) {
    return 2;
  }
  return broken ? 1 : 0;
}
