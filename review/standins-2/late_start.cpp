// A start of a task that lasts gets no answer and is carried out late. Meanwhile
// its worker crashes, is born again under its id, and is cut off.
#include "rig.hpp"

using namespace rig;

int main(int, char** argv) {
  constexpr std::int64_t kCutMs = 5'500;
  Record record(argv[1]);
  Deployment deployment(record);
  Cloud cloud(deployment, record, {});
  deployment.StartAll();
  if (deployment
          .Operate("PUT", "/-/configuration",
                   Configuration(
                       1, {Route("watch", "a.example", "/watch/", "grounds")},
                       {Service("grounds")})
                       .dump())
          .status != 200) {
    return 2;
  }
  for (int i = 1; i <= 8; ++i) {
    cloud.Add("m-" + std::to_string(i), "grounds", 40 + i,
              "r1-" + std::to_string(1 + i % 2));
  }
  if (!deployment.WaitReady()) return 2;
  Sleep(8'000);
  std::mutex mutex;
  std::string machine;  // that the start was sent to
  json order;
  if (Trouble()) {
    for (auto& [name, row] : cloud.machines) {
      row.worker->hold_back = [&, name = name](const json& body) {
        const std::lock_guard lock(mutex);
        if (!machine.empty()) return false;
        machine = name;
        order = body;
        record.Line("the start of " + body.value("task", "") + " run " +
                    std::to_string(body.value("run", 0)) + " on " + name +
                    " gets no answer");
        return true;
      };
    }
  }
  const json lasting{{"specification", "last"},
                     {"steps",
                      {{{"count", 1},
                        {"cpu", 2'000},
                        {"memory_request_mb", 1'000},
                        {"estimated_ms", 500},
                        {"long_running", true}}}}};
  if (deployment.Submit("a.example", "/watch/b000000000000001", lasting)
          .status != 200) {
    return 2;
  }
  const std::int64_t started = record.NowMs();
  const std::string task = "b000000000000001.0.0.0";
  if (Trouble()) {
    Sleep(100);
    if (machine.empty()) return 2;
    Cloud::Machine& place = cloud.machines.at(machine);
    const std::int64_t cut_at = record.NowMs();
    place.worker->GoDark();
    record.Line("it has crashed and is born again under its id, cut off");
    while (record.NowMs() < cut_at + kCutMs) Sleep(5);
    Worker::Settings next = place.worker->settings_of();
    next.age_ms = kCutMs - 500;
    next.first_beat_ms = 500;
    place.worker->Crash();
    const std::lock_guard lock(cloud.mutex);
    place.worker = std::make_unique<Worker>(next, record, Worker::OnStart());
    const int status = place.worker->CarryOutLate(order);
    record.Line("the cut has ended; the start is carried out " +
                std::to_string(record.NowMs() - started) + " ms late -> " +
                std::to_string(status));
  }
  std::int64_t twice_ms = 0;
  std::int64_t before = record.NowMs();
  const std::int64_t until = record.NowMs() + 8'000;
  while (record.NowMs() < until) {
    std::string at;
    int runs = 0;
    {
      const std::lock_guard lock(cloud.mutex);
      for (auto& [name, row] : cloud.machines) {
        if (row.worker->RunningTasks().contains(task)) {
          ++runs;
          at += " " + name;
        }
      }
    }
    const std::int64_t now = record.NowMs();
    if (runs > 1) {
      if (twice_ms == 0) record.Line("the task runs at once on" + at);
      twice_ms += now - before;
    }
    before = now;
    Sleep(5);
  }
  record.Line("two runs of the task at the same time for " +
              std::to_string(twice_ms) + " ms");
  if (!deployment.Ended().empty()) return 2;
  return twice_ms > 0 ? 1 : 0;
}
