// A gang of two tasks with checkpoints, on two workers, of which one crashes,
// and later the other one.
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
  if (!system.Configure(Deployment::Configuration(
          1,
          json::array(
              {Deployment::Route("r-fold", host, "/fold/", "archive", 4)}),
          json::array({Deployment::Service("archive")}))) ||
      !system.WaitReady()) {
    record.Line("the system didn't start");
    return 2;
  }
  constexpr int kWorkers = 9;
  std::vector<std::unique_ptr<Worker>> workers(kWorkers);
  std::vector<int> lives(kWorkers, 0);
  const auto begin_worker = [&](int i) {
    Worker::Settings settings;
    settings.id = "i-" + std::to_string(i) + "-" + std::to_string(lives[i]++);
    settings.machine = "m-" + std::to_string(i);
    settings.address = system.WorkerAddress(i);
    settings.service = "archive";
    settings.rack = "r1-" + std::to_string(1 + i / 4);
    settings.control_planes = system.Controls();
    settings.gangs = &gangs;
    settings.behaviour = [](const std::string&, int) {
      return Behaviour{14000, "done", false, 2, true};
    };
    workers[i] = std::make_unique<Worker>(settings, record, log);
  };
  for (int i = 0; i < kWorkers; ++i) {
    begin_worker(i);
  }
  SleepMs(3000);
  const std::string id = "5c0e7a21d94b36f8";
  const json job{{"specification", "folder"},
                 {"steps",
                  {{{"count", 2},
                    {"cpu", 1900},
                    {"memory_request_mb", 3900},
                    {"estimated_ms", 14000},
                    {"anti_affinity", 1},
                    {"gang_scheduled", true},
                    {"checkpointing", true}}}}};
  if (system.Call(0, "POST", host, "/fold/" + id, job.dump()).status != 200) {
    return 2;
  }
  const auto crash_worker_of = [&](const std::string& task) {
    for (int wait = 0; wait < 1200; ++wait) {
      for (int i = 0; i < kWorkers; ++i) {
        if (workers[i] != nullptr && workers[i]->Runs(task)) {
          SleepMs(5000);
          if (!IsTroubleOff()) {
            record.Line("worker " + workers[i]->Given().id + " crashes");
            workers[i].reset();
            SleepMs(4500);
            begin_worker(i);
          }
          return;
        }
      }
      SleepMs(10);
    }
  };
  crash_worker_of(id + ".0.0.0");
  if (!IsTroubleOff()) {
    crash_worker_of(id + ".0.0.1");
  }
  std::string state;
  for (int i = 0; i < 200 && state != "failed" && state != "completed"; ++i) {
    SleepMs(250);
    const Reply reply = Send(system.Front(1), "GET", "/fold/" + id, "",
                             {"Host: " + host});
    state = reply.Json().is_object()
                ? reply.Json().value("state", std::string())
                : "";
  }
  record.Line("state of the job: " + state);
  std::map<int, std::set<std::string>> carried;
  for (const RunEvent& event : log.All()) {
    if (event.what == "start") {
      carried[event.run].insert(event.checkpoint);
    }
  }
  bool broken = false;
  for (const auto& [run, values] : carried) {
    if (values.size() > 1) {
      std::string line = "run " + std::to_string(run) +
                         " of the gang was started with different checkpoints:";
      for (const auto& value : values) {
        line += value.empty() ? " (none)" : " " + value;
      }
      record.Line(line);
      broken = true;
    }
  }
  record.Line(broken ? "BROKEN: UNASKED" : "held");
  workers.clear();
  if (!broken && (state != "completed" || !system.AllRun())) {
    return 2;
  }
  return broken ? 1 : 0;
}
