// A worker is lost while jobs are handed in. The jobs that were meant for it
// never begin, and the queue's `waiting` has to count them.
#include "rig.hpp"

using namespace rig;

int main(int, char** argv) {
  Record record(argv[1]);
  Deployment deployment(record);
  std::mutex mutex;
  std::set<std::string> begun;  // ids of jobs with a task that began
  std::set<std::string> fillers;
  const auto on_start = [&](const Worker::Start& start) {
    const std::lock_guard lock(mutex);
    begun.insert(start.task.substr(0, 16));
    if (start.task.starts_with("f")) fillers.insert(start.worker);
  };
  Cloud cloud(deployment, record, on_start);
  deployment.StartAll();
  const json configuration = Configuration(
      1, {Route("survey", "a.example", "/survey/", "grounds")},
      {Service("grounds")});
  if (deployment.Operate("PUT", "/-/configuration", configuration.dump())
          .status != 200) {
    return 2;
  }
  for (int i = 1; i <= 8; ++i) {
    cloud.Add("m-" + std::to_string(i), "grounds", 40 + i, "r1-1");
  }
  if (!deployment.WaitReady()) return 2;
  Sleep(3'000);
  // Seven of the eight workers are full for the rest of the script.
  const json filler{{"specification", "work 300000"},
                    {"steps",
                     {{{"count", 7},
                       {"cpu", 16'000},
                       {"memory_request_mb", 1'000},
                       {"estimated_ms", 300'000}}}}};
  if (deployment.Submit("a.example", "/survey/f000000000000001", filler)
          .status != 200) {
    return 2;
  }
  Sleep(3'000);
  std::string free;
  {
    const std::lock_guard lock(mutex);
    if (fillers.size() != 7) return 2;
    for (const auto& [name, machine] : cloud.machines) {
      if (!fillers.contains(machine.worker->settings_of().id)) free = name;
    }
  }
  if (Trouble()) cloud.machines.at(free).worker->GoDark();
  const json job{{"specification", "work 500"},
                 {"steps",
                  {{{"count", 1},
                    {"cpu", 4'000},
                    {"memory_request_mb", 1'000},
                    {"estimated_ms", 500}}}}};
  std::map<std::string, std::int64_t> accepted;
  for (int i = 1; i <= 4; ++i) {
    const std::string id = "a00000000000000" + std::to_string(i);
    if (deployment.Client("POST", "a.example", "/survey/" + id, job.dump())
            .status == 200) {
      accepted[id] = record.NowMs();
    }
  }
  if (accepted.size() < 4) return 2;
  // visible_ms + 2 s, with half a second for the call itself.
  constexpr std::int64_t kBound = 5'000;
  Sleep(kBound + 500);
  int broken = 0;
  int held = 0;
  for (int i = 0; i < 8; ++i) {
    std::size_t unbegun = 0;
    {
      const std::lock_guard lock(mutex);
      for (const auto& [id, at] : accepted) {
        unbegun += !begun.contains(id) && record.NowMs() - at > kBound ? 1 : 0;
      }
    }
    const Response queue = deployment.Client("GET", "a.example", "/survey/");
    if (queue.status != 200 || !queue.body.is_object()) return 2;
    const std::size_t waiting = queue.body.value("waiting", std::size_t{0});
    std::size_t still = 0;
    {
      const std::lock_guard lock(mutex);
      for (const auto& [id, at] : accepted) still += begun.contains(id) ? 0 : 1;
    }
    record.Line("accepted over " + std::to_string(kBound) +
                " ms ago and not begun: " + std::to_string(unbegun) +
                "; waiting: " + std::to_string(waiting));
    (2 * waiting < std::min(unbegun, still) ? broken : held) += 1;
    Sleep(1'500);
  }
  for (const auto& [id, at] : accepted) {
    deployment.Client("GET", "a.example", "/survey/" + id);
  }
  record.Line("answers under half of the jobs: " + std::to_string(broken) +
              " of " + std::to_string(broken + held));
  if (!deployment.Ended().empty()) return 2;
  return broken > 0 ? 1 : 0;
}
