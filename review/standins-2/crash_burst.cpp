// Jobs that came at 8 a second and waited for room begin together on a worker,
// which then crashes once. The other workers are nearly idle, and all jobs have
// to go on there.
#include "rig.hpp"

using namespace rig;

int main(int, char** argv) {
  constexpr int kJobs = 80;
  Record record(argv[1]);
  Deployment deployment(record);
  std::mutex mutex;
  std::map<std::string, std::size_t> starts;  // of tasks of the 80 jobs
  const auto on_start = [&](const Worker::Start& start) {
    const std::lock_guard lock(mutex);
    if (start.task.starts_with("a")) ++starts[start.worker];
  };
  Cloud cloud(deployment, record, on_start);
  deployment.StartAll();
  const json configuration = Configuration(
      1, {Route("plans", "a.example", "/plans/", "grounds")},
      {Service("grounds")});
  if (deployment.Operate("PUT", "/-/configuration", configuration.dump())
          .status != 200) {
    return 2;
  }
  for (int i = 1; i <= 8; ++i) {
    cloud.Add("m-" + std::to_string(i), "grounds", 40 + i, "r1-1",
              Resources{32'000, 128'000});
  }
  if (!deployment.WaitReady()) return 2;
  Sleep(3'000);
  const json job{{"specification", "work 1000"},
                 {"steps",
                  {{{"count", 1},
                    {"cpu", 400},
                    {"memory_request_mb", 100},
                    {"estimated_ms", 1'000}}}}};
  const auto id_of = [](int i) {
    char id[17];
    std::snprintf(id, sizeof(id), "a%015d", i);
    return std::string(id);
  };
  // All workers are full for 12 s.
  const json large{{"specification", "work 12000"},
                   {"steps",
                    {{{"count", 8},
                      {"cpu", 32'000},
                      {"memory_request_mb", 1'000},
                      {"estimated_ms", 12'000}}}}};
  if (deployment.Submit("a.example", "/plans/f000000000000001", large).status !=
      200) {
    return 2;
  }
  int accepted = 0;
  const std::int64_t first = record.NowMs();
  for (int i = 0; i < kJobs; ++i) {
    while (record.NowMs() < first + 125 * i) Sleep(5);
    accepted += deployment.Submit("a.example", "/plans/" + id_of(i), job)
                        .status == 200
                    ? 1
                    : 0;
  }
  if (accepted != kJobs) return 2;
  const std::int64_t end_of_traffic = record.NowMs();
  std::string busiest;
  std::size_t most = 0;
  for (const std::int64_t patience = record.NowMs() + 20'000;
       most < kJobs * 3 / 4 && record.NowMs() < patience;) {
    Sleep(5);
    const std::lock_guard lock(mutex);
    for (const auto& [worker, count] : starts) {
      if (count > most) {
        most = count;
        busiest = worker;
      }
    }
  }
  {
    record.Line("the busiest worker is " + busiest + ", with " +
                std::to_string(most) + " starts");
  }
  // The starts are answered by then, and the runs are listed.
  Sleep(250);
  if (Trouble()) {
    for (auto& [name, machine] : cloud.machines) {
      if (machine.worker->settings_of().id == busiest) {
        record.Line("worker " + busiest + " crashes for good");
        machine.worker->Crash();
        machine.state = "down";
      }
    }
  }
  // finish_s is 14 s. From then on, no job may wait for 3 s with room for it.
  constexpr std::int64_t kFinish = 14'000;
  while (record.NowMs() < end_of_traffic + kFinish) Sleep(50);
  std::map<std::string, std::int64_t> idle_since;
  std::set<std::string> broken;
  const std::int64_t until = record.NowMs() + 40'000;
  while (record.NowMs() < until) {
    std::set<std::string> running;
    std::size_t tasks = 0;
    for (auto& [name, machine] : cloud.machines) {
      if (machine.state != "up") continue;
      for (const std::string& task : machine.worker->RunningTasks()) {
        running.insert(task.substr(0, 16));
        ++tasks;
      }
    }
    int open = 0;
    for (int i = 0; i < kJobs; ++i) {
      const std::string id = id_of(i);
      const Response state = Call(deployment.Frontend(), "GET", "/plans/" + id,
                                  "", 3'000,
                                  {{"Host", "a.example"},
                                   {"X-Deadline-Ms", "3000"}});
      const bool is_open =
          state.status == 200 && state.body.is_object() &&
          (state.body.value("state", "") == "queued" ||
           state.body.value("state", "") == "running");
      open += is_open;
      if (!is_open || running.contains(id)) {
        idle_since.erase(id);
        continue;
      }
      const std::int64_t since =
          idle_since.try_emplace(id, record.NowMs()).first->second;
      if (record.NowMs() - since > 3'000) broken.insert(id);
    }
    record.Line("open jobs: " + std::to_string(open) + ", tasks at work: " +
                std::to_string(tasks) + " (of 400 millicores; 7 workers of " +
                "32,000), jobs with nothing running for 3 s: " +
                std::to_string(broken.size()));
    if (open == 0) break;
    Sleep(500);
  }
  record.Line("jobs that had nothing running for 3 s after finish_s: " +
              std::to_string(broken.size()));
  if (!deployment.Ended().empty()) return 2;
  return broken.empty() ? 0 : 1;
}
