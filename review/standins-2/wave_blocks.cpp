// A wave of upkeep covers the workers of a small service, on which a job with
// tasks that last runs. A job that is handed in after it has to run.
#include "rig.hpp"

using namespace rig;

int main(int, char** argv) {
  Record record(argv[1]);
  Deployment deployment(record);
  std::mutex mutex;
  std::map<std::string, int> starts;
  const auto on_start = [&](const Worker::Start& start) {
    const std::lock_guard lock(mutex);
    ++starts[start.task.substr(0, 16)];
  };
  Cloud cloud(deployment, record, on_start);
  deployment.StartAll();
  const json configuration = Configuration(
      1,
      {Route("watch", "a.example", "/watch/", "grounds"),
       Route("plans", "a.example", "/plans/", "grounds"),
       Route("draws", "a.example", "/draws/", "leagues")},
      {Service("grounds"), Service("leagues")});
  if (deployment.Operate("PUT", "/-/configuration", configuration.dump())
          .status != 200) {
    return 2;
  }
  cloud.Add("m-1", "grounds", 41, "r1-1");
  cloud.Add("m-2", "grounds", 42, "r1-2");
  for (int i = 3; i <= 5; ++i) {
    cloud.Add("m-" + std::to_string(i), "leagues", 40 + i, "r1-1");
  }
  if (!deployment.WaitReady()) return 2;
  Sleep(3'000);
  const json lasting{{"specification", "last"},
                     {"steps",
                      {{{"count", 2},
                        {"cpu", 1'000},
                        {"memory_request_mb", 1'000},
                        {"estimated_ms", 500},
                        {"anti_affinity", 1},
                        {"long_running", true}}}}};
  if (deployment.Submit("a.example", "/watch/b000000000000001", lasting)
          .status != 200) {
    return 2;
  }
  Sleep(2'000);
  if (Trouble()) {
    {
      const std::lock_guard lock(cloud.mutex);
      cloud.waves[1] = {"m-1", "m-2"};
    }
    const json wave{{"wave", 1},
                    {"machines", {"m-1", "m-2"}},
                    {"duration_s", 26},
                    {"upper_limit", 2}};
    if (deployment.Operate("POST", "/-/wave-start", wave.dump()).status !=
        200) {
      return 2;
    }
    Sleep(1'000);
  }
  const json job{{"specification", "work 500"},
                 {"steps",
                  {{{"count", 1},
                    {"cpu", 1'000},
                    {"memory_request_mb", 1'000},
                    {"estimated_ms", 500}}}}};
  const std::string id = "a000000000000001";
  if (deployment.Submit("a.example", "/plans/" + id, job).status != 200) {
    return 2;
  }
  const std::int64_t end_of_traffic = record.NowMs();
  // finish_s is 14 s; the wave ends by itself 26 s after it began.
  while (record.NowMs() < end_of_traffic + 40'000) {
    Sleep(4'000);
    const Response state = deployment.Client("GET", "a.example", "/plans/" + id);
    if (Trouble()) deployment.Operate("GET", "/-/wave-get/1");
    if (state.status == 200 && state.body.value("state", "") == "completed") {
      break;
    }
  }
  const std::lock_guard lock(mutex);
  record.Line("starts of the job's task: " + std::to_string(starts[id]));
  if (!deployment.Ended().empty()) return 2;
  return starts[id] == 0 ? 1 : 0;
}
