// Two machines are due for upkeep, one at a time. The platform is slow, and the
// leader is killed while it waits for the answer to its first order.
#include "deployment.hpp"

using namespace deployment;

namespace {

constexpr char kKey[] = "key-of-the-clubs-0001";
constexpr char kHost[] = "courts.example";
constexpr char kJob[] = "5c0e7a21d94b36f8";
constexpr int kWorkers = 9;
/// The slow platform's time for a call; its effect comes at the end of it.
constexpr std::int64_t kSlowMs = 1'300;
constexpr std::int64_t kMaintenanceMs = 2'000;
constexpr std::size_t kMayMiss = 1;

int Run(Record& record) {
  System system(record);
  Worker::History history;
  std::mutex mutex;
  std::map<std::string, std::unique_ptr<Worker>> workers;  // by machine
  std::vector<std::thread> returns;
  std::set<std::string> done;
  std::atomic<bool> ordered{false};
  std::size_t down = 0;
  std::size_t most_down = 0;
  int life = 0;
  const auto make_worker = [&](const std::string& machine) {
    const int number = std::atoi(machine.c_str() + 2);
    return std::make_unique<Worker>(
        Worker::Place{"i-" + std::to_string(1000 + ++life), system.WorkerAddress(number),
                      machine, "surfaces",
                      Zones()[static_cast<std::size_t>(number - 1) % 3],
                      "r" + std::to_string(1 + number / 4),
                      number == 1 ? "kind-b" : "kind-a"},
        system, record, history);
  };
  Server platform(system.platform, [&](const Request& request) -> std::optional<Reply> {
    const bool upkeep = request.path.starts_with("/-/machine-upkeep");
    const json order = request.Json();
    if (upkeep) {
      record("platform: " + request.path + " " + order.dump() + " of " +
             request.headers.at("x-lease-holder") + " arrives");
      ordered = true;
    }
    SleepMs(kSlowMs);
    const std::lock_guard lock(mutex);
    if (!upkeep) {
      json machines = json::array();
      for (const auto& [machine, worker] : workers) {
        json row{{"machine", machine},
                 {"pool", "surfaces"},
                 {"state", worker != nullptr ? "up" : "upkeep"},
                 {"zone", Zones()[static_cast<std::size_t>(machine[2] - '1') % 3]}};
        if (worker != nullptr) row["id"] = worker->place.id;
        machines.push_back(row);
      }
      return Reply{200, json{{"machines", machines}}};
    }
    const std::string machine = order.value("machine", std::string());
    // An operation that is done already is answered 200 as well.
    if (done.contains(machine)) return Reply{200, json::object()};
    if (workers[machine] == nullptr) return Reply{409, json{{"reason", "busy"}}};
    done.insert(machine);
    const std::size_t at_work = workers[machine]->AtWork();
    workers[machine].reset();
    if (at_work > kMayMiss) {
      record("AVAIL as well: the upkeep has ended " + std::to_string(at_work) +
             " tasks of a step that were at work, and " + std::to_string(kMayMiss) +
             " may be away");
    }
    ++down;
    most_down = std::max(most_down, down);
    record("upkeep of " + machine + " begins; " + std::to_string(down - 1) +
           " others of the wave are down for theirs, and 1 may be at once");
    returns.emplace_back([&, machine] {
      SleepMs(kMaintenanceMs);
      const std::lock_guard later(mutex);
      --down;
      workers[machine] = make_worker(machine);
    });
    return Reply{200, json::object()};
  });
  system.Start();
  if (system.Configure(Configuration(
          1, json::array({Route("surveys", kHost, "/surveys/", "surfaces")}),
          json::array({Service("surfaces")}), kKey)) != 200) {
    return kNotPossible;
  }
  {
    const std::lock_guard lock(mutex);
    for (int i = 1; i <= kWorkers; ++i) {
      const std::string machine = "m-" + std::to_string(i);
      workers[machine] = make_worker(machine);
    }
  }
  SleepMs(4'000);
  const auto leader = system.Leader();
  if (!leader.has_value()) return kNotPossible;
  const json wave{{"wave", 1}, {"machines", {"m-1", "m-2"}}, {"duration_s", 26},
                  {"upper_limit", 1}};
  int status = 0;
  for (std::size_t i = 0; i < 9 && status != 200; ++i) {
    status = Call(system.control[i % 3], "POST", "/-/wave-start", wave, 1'000).status;
  }
  record("operator: POST /-/wave-start " + wave.dump() + " -> " + std::to_string(status));
  if (status != 200) return kNotPossible;
  for (int i = 0; i < 500 && !ordered; ++i) SleepMs(10);
  if (!ordered) return kNotPossible;
  if (WithTrouble()) {
    SleepMs(20);
    system.core[*leader]->Kill();
    record(system.core[*leader]->name + ", which leads, is killed");
    SleepMs(100);
    system.core[*leader]->Start();
    record(system.core[*leader]->name + " is started again");
  }
  // A job whose two tasks last, of which one may be away, and which need the
  // kind of worker that the first machine has.
  const json job{{"specification", "lasts"},
                 {"steps", json::array({json{{"count", 2},
                                             {"cpu", 2600},
                                             {"memory_request_mb", 13000},
                                             {"estimated_ms", 500},
                                             {"long_running", true},
                                             {"required_label", "kind-b"},
                                             {"may_miss", kMayMiss}}})}};
  const int accepted =
      Call(system.front, "POST", std::string("/surveys/") + kJob, job, 3'000,
           {{"Host", kHost},
            {"Authorization", std::string("Bearer ") + kKey},
            {"X-Deadline-Ms", "3000"}})
          .status;
  record(std::string("client: POST /surveys/") + kJob + " -> " +
         std::to_string(accepted));
  SleepMs(12'000);
  for (;;) {
    std::vector<std::thread> all;
    {
      const std::lock_guard lock(mutex);
      all.swap(returns);
    }
    if (all.empty()) break;
    for (std::thread& one : all) one.join();
  }
  if (most_down == 0) return kNotPossible;
  record(most_down > 1 ? "LIMIT is broken" : "LIMIT held");
  return most_down > 1 ? kBroken : kHeld;
}

}  // namespace

int main(int argc, char** argv) { return RunScript(argc, argv, Run); }
