// A long-running job, of whose task three workers crash, one after the other.
// Nobody cancels the job, and none of its runs ends `failed`. Checks AVAIL, and
// LOST beside it.
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
  const json configuration = Deployment::Configuration(
      1, json::array({Deployment::Route("r-survey", host, "/survey/", "grounds",
                                        4)}),
      json::array({Deployment::Service("grounds")}));
  if (!system.Configure(configuration) || !system.WaitReady()) {
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
    settings.service = "grounds";
    settings.rack = "r1-" + std::to_string(1 + i / 4);
    settings.control_planes = system.Controls();
    settings.behaviour = [](const std::string&, int) {
      return Behaviour{0, "", true};
    };
    workers[i] = std::make_unique<Worker>(settings, record, log);
  };
  for (int i = 0; i < kWorkers; ++i) {
    begin_worker(i);
  }
  const std::string id = "5c0e7a21d94b36f8";
  constexpr int kTasks = 5;
  constexpr int kMayMiss = 1;
  const json job{{"specification", "survey"},
                 {"steps",
                  {{{"count", kTasks},
                    {"cpu", 1300},
                    {"memory_request_mb", 4000},
                    {"anti_affinity", 1},
                    {"long_running", true},
                    {"may_miss", kMayMiss}}}}};
  int accepted = 0;
  for (int i = 0; i < 20 && accepted != 200; ++i) {
    accepted = system.Call(0, "POST", host, "/survey/" + id, job.dump()).status;
    SleepMs(200);
  }
  if (accepted != 200) {
    return 2;
  }
  const std::string task = id + ".0.0.0";
  const auto worker_of_task = [&] {
    for (int i = 0; i < kWorkers; ++i) {
      if (workers[i] != nullptr && workers[i]->Runs(task)) {
        return i;
      }
    }
    return -1;
  };
  const auto wait_for_run = [&](std::int64_t ms) {
    const std::int64_t end = record.NowMs() + ms;
    while (worker_of_task() < 0 && record.NowMs() < end) {
      SleepMs(10);
    }
    return worker_of_task();
  };
  bool broken = false;
  std::string state;
  for (int round = 0; round < 3 && !broken; ++round) {
    int at = wait_for_run(12000);
    if (at < 0) {
      record.Line("the task isn't at work");
      break;
    }
    SleepMs(5000);
    at = worker_of_task();
    if (at < 0) {
      return 2;
    }
    if (!IsTroubleOff()) {
      record.Line("worker " + workers[at]->Given().id +
                  " crashes; another one of its machine begins after 4.5 s");
      workers[at].reset();
      SleepMs(4500);
      begin_worker(at);
    } else {
      SleepMs(4500);
    }
    const Reply reply = system.Call(1, "GET", host, "/survey/" + id);
    state = reply.Json().is_object()
                ? reply.Json().value("state", std::string())
                : "";
  }
  for (int i = 0; i < 20 && state != "failed"; ++i) {
    SleepMs(250);
    state = system.Call(1, "GET", host, "/survey/" + id)
                .Json()
                .value("state", std::string());
  }
  // AVAIL: a stop ends a task that is at work on a sound worker, while
  // `may_miss` others of its step are away: ended by such an order, or not at
  // work for `notice_ms`.
  constexpr std::int64_t kNoticeMs = 4500;
  std::map<std::string, std::int64_t> away_since;
  std::map<std::string, bool> ended_by_order;
  for (int i = 0; i < kTasks; ++i) {
    away_since[id + ".0.0." + std::to_string(i)] = 0;
  }
  int avail = 0;
  int failed_ends = 0;
  for (const RunEvent& event : log.All()) {
    failed_ends += event.what == "failed" ? 1 : 0;
    if (event.what == "start") {
      away_since.erase(event.task);
      ended_by_order.erase(event.task);
      continue;
    }
    if (event.what == "stopped") {
      int others_away = 0;
      for (const auto& [other, since] : away_since) {
        others_away += other != event.task &&
                               (ended_by_order.contains(other) ||
                                event.at_ms - since >= kNoticeMs)
                           ? 1
                           : 0;
      }
      ended_by_order[event.task] = true;
      if (others_away >= kMayMiss) {
        ++avail;
        record.Line("task " + event.task + " was at work and was stopped at " +
                    std::to_string(event.at_ms) + " ms, while " +
                    std::to_string(others_away) +
                    " others of its step were away; may_miss is " +
                    std::to_string(kMayMiss));
      }
    }
    away_since[event.task] = event.at_ms;
  }
  broken = avail > 0;
  record.Line("state of the job: " + state + "; ends `failed`: " +
              std::to_string(failed_ends) + "; nobody has cancelled it");
  if (state == "failed" && failed_ends == 0) {
    record.Line("BROKEN: LOST (shown as `failed` without cause)");
  }
  record.Line(broken ? "BROKEN: AVAIL" : "held");
  workers.clear();
  if (!broken && (state != "running" || !system.AllRun())) {
    return 2;
  }
  return broken ? 1 : 0;
}
