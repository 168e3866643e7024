// An accepted job whose tasks last, and three crashes of workers on end.
#include "deployment.hpp"

using namespace deployment;

namespace {

constexpr char kKey[] = "key-of-the-clubs-0001";
constexpr char kHost[] = "courts.example";
constexpr char kJob[] = "5c0e7a21d94b36f8";
constexpr int kTasks = 4;
constexpr std::size_t kMayMiss = 1;
constexpr double kNoticeS = 4.5;

std::string Task(int index) {
  return std::string(kJob) + ".0.0." + std::to_string(index);
}

/// True if the task isn't at work at `now` because of a stop order, or hasn't
/// been for `notice_ms`.
bool IsAway(const Worker::History& history, const std::string& task, double now) {
  const Worker::Started* start = nullptr;
  for (const auto& one : history.started) {
    if (one.task == task && one.at_s <= now) start = &one;
  }
  if (start == nullptr) return false;
  for (const auto& order : history.stopped) {
    if (order.task == task && order.run >= start->run && order.at_s <= now) return true;
  }
  for (const auto& end : history.ended) {
    if (end.task == task && end.run >= start->run && end.at_s <= now) {
      return now - end.at_s >= kNoticeS;
    }
  }
  return false;
}

int Run(Record& record) {
  System system(record);
  Server platform(system.platform, [](const Request&) {
    return Reply{200, json{{"machines", json::array()}}};
  });
  Worker::History history;
  std::vector<std::unique_ptr<Worker>> workers;
  system.Start();
  const auto configuration =
      Configuration(1, json::array({Route("surveys", kHost, "/surveys/", "grounds")}),
                    json::array({Service("grounds")}), kKey);
  if (system.Configure(configuration) != 200) return kNotPossible;
  int life = 0;
  const auto make_worker = [&](std::size_t i) {
    return std::make_unique<Worker>(
        Worker::Place{"i-" + std::to_string(1000 + ++life),
                      system.WorkerAddress(static_cast<int>(i) + 1),
                      "m-" + std::to_string(i + 1), "grounds", Zones()[i % 3],
                      "r" + std::to_string(i / 4 + 1)},
        system, record, history);
  };
  for (std::size_t i = 0; i < 9; ++i) workers.push_back(make_worker(i));
  SleepMs(2'500);

  const std::string path = std::string("/surveys/") + kJob;
  const std::map<std::string, std::string> headers{
      {"Host", kHost}, {"Authorization", std::string("Bearer ") + kKey},
      {"X-Deadline-Ms", "3000"}};
  const json job{{"specification", "lasts"},
                 {"steps",
                  {{{"count", kTasks},
                    {"cpu", 2600},
                    {"memory_request_mb", 13000},
                    {"estimated_ms", 500},
                    {"long_running", true},
                    {"anti_affinity", 1},
                    {"may_miss", kMayMiss}}}}};
  const int accepted =
      Call(system.front, "POST", path, job, 3'000, headers).status;
  record("client: POST " + path + " -> " + std::to_string(accepted));
  if (accepted != 200) return kNotPossible;

  /// The worker that has run the task for at least two seconds.
  const auto wait_for_run = [&](const std::string& task) -> std::optional<std::size_t> {
    for (int i = 0; i < 200; ++i) {
      for (std::size_t w = 0; w < workers.size(); ++w) {
        if (workers[w] != nullptr && workers[w]->Running().contains(task)) {
          SleepMs(2'500);
          if (workers[w]->Running().contains(task)) return w;
        }
      }
      SleepMs(100);
    }
    return std::nullopt;
  };
  for (int i = 0; i < kTasks; ++i) {
    if (!wait_for_run(Task(i)).has_value()) return kNotPossible;
  }
  for (int crash = 1; crash <= 3; ++crash) {
    const auto on = wait_for_run(Task(0));
    if (!on.has_value()) {
      record("the task doesn't run again");
      break;
    }
    if (!WithTrouble()) {
      SleepMs(4'500);
      continue;
    }
    record("crash " + std::to_string(crash) + ": worker " + workers[*on]->place.id);
    workers[*on].reset();
    SleepMs(2'000);
    workers[*on] = make_worker(*on);
  }
  SleepMs(6'000);

  const Reply state = Call(system.front, "GET", path, nullptr, 3'000, headers);
  record("client: GET " + path + " -> " + std::to_string(state.status) + " " +
         state.body.dump());
  bool broken = false;
  {
    const std::lock_guard lock(history.mutex);
    for (const auto& order : history.stopped) {
      std::size_t away = 0;
      for (int i = 0; i < kTasks; ++i) {
        away += Task(i) != order.task && IsAway(history, Task(i), order.at_s) ? 1 : 0;
      }
      record("task " + order.task + " is ended by an order on " + order.worker + "; " +
             std::to_string(away) + " others of its step are away, and " +
             std::to_string(kMayMiss) + " may be");
      broken = broken || away >= kMayMiss;
    }
    for (const auto& end : history.ended) {
      if (end.how == "failed") return kNotPossible;
    }
  }
  if (state.body.is_object() && state.body.value("state", std::string()) == "failed") {
    record("LOST as well: the job is shown as failed, and no run has ended failed");
  }
  if (state.status != 200) return kNotPossible;
  record(broken ? "AVAIL is broken" : "AVAIL held");
  return broken ? kBroken : kHeld;
}

}  // namespace

int main(int argc, char** argv) { return RunScript(argc, argv, Run); }
