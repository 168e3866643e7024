// A service of nine workers, two of which are due for upkeep, one at a time. One
// of the two is reserved for its upkeep and waits for its task to end; meanwhile
// the other one is lost for good.
#include "deployment.hpp"

using namespace deployment;

namespace {

constexpr char kKey[] = "key-of-the-clubs-0001";
constexpr char kHost[] = "courts.example";
constexpr char kFirst[] = "5c0e7a21d94b36f8";
constexpr char kOther[] = "a1b2c3d4e5f60718";
constexpr char kLater[] = "00ff11ee22dd33cc";
constexpr int kWorkers = 9;
/// The machine that is reserved, and the one whose worker is lost.
constexpr char kReserved[] = "m-1";
constexpr char kLost[] = "m-2";
/// `finish_s` of the site.
constexpr std::int64_t kFinishMs = 14'000;
/// For which a job has nothing running.
constexpr std::int64_t kNothingRunsMs = 3'000;

int Run(Record& record) {
  System system(record);
  Worker::History history;
  std::mutex mutex;
  std::map<std::string, std::unique_ptr<Worker>> workers;  // by machine
  std::set<std::string> gone;
  std::vector<std::thread> returns;
  int life = 0;
  const auto make_worker = [&](const std::string& machine) {
    const int number = std::atoi(machine.c_str() + 2);
    return std::make_unique<Worker>(
        Worker::Place{"i-" + std::to_string(1000 + ++life), system.WorkerAddress(number),
                      machine, "surfaces",
                      Zones()[static_cast<std::size_t>(number - 1) % 3],
                      "r" + std::to_string(1 + number / 4),
                      machine == kReserved ? "kind-b"
                      : machine == kLost   ? "kind-c"
                                           : "kind-a"},
        system, record, history);
  };
  // An upkeep takes `maintenance_s`, 2 s; a new worker follows.
  Server platform(system.platform, [&](const Request& request) -> std::optional<Reply> {
    const std::lock_guard lock(mutex);
    if (request.path.starts_with("/-/machines")) {
      json machines = json::array();
      for (const auto& [machine, worker] : workers) {
        json row{{"machine", machine},
                 {"pool", "surfaces"},
                 {"state", worker != nullptr      ? "up"
                           : gone.contains(machine) ? "down"
                                                    : "upkeep"},
                 {"zone", Zones()[static_cast<std::size_t>(machine[2] - '1') % 3]}};
        if (worker != nullptr) row["id"] = worker->place.id;
        machines.push_back(row);
      }
      return Reply{200, json{{"machines", machines}}};
    }
    const json order = request.Json();
    const std::string machine = order.value("machine", std::string());
    record("platform: " + request.path + " " + order.dump());
    if (!request.path.starts_with("/-/machine-upkeep")) return Reply{400, json::object()};
    if (workers[machine] == nullptr) return Reply{409, json{{"reason", "busy"}}};
    workers[machine].reset();
    returns.emplace_back([&, machine] {
      SleepMs(2'000);
      const std::lock_guard later(mutex);
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
  SleepMs(2'500);

  const std::map<std::string, std::string> headers{
      {"Host", kHost}, {"Authorization", std::string("Bearer ") + kKey},
      {"X-Deadline-Ms", "3000"}};
  const auto call = [&](const char* method, const char* job, const json& body) {
    const std::string path = std::string("/surveys/") + job;
    const Reply reply = Call(system.front, method, path, body, 3'000, headers);
    record(std::string("client: ") + method + " " + path + " -> " +
           std::to_string(reply.status) + " " + reply.body.dump());
    return reply;
  };
  const auto job = [](const char* work_ms, int cpu, const char* label) {
    return json{{"specification", work_ms},
                {"steps", json::array({json{{"count", 1},
                                            {"cpu", cpu},
                                            {"memory_request_mb", 512},
                                            {"estimated_ms", std::atoi(work_ms)},
                                            {"required_label", label}}})}};
  };
  // Both workers are busy, the first one less, so that its upkeep comes first.
  if (call("POST", kFirst, job("2000", 1000, "kind-b")).status != 200 ||
      call("POST", kOther, job("8000", 4000, "kind-c")).status != 200) {
    return kNotPossible;
  }
  SleepMs(300);
  const json wave{{"wave", 1}, {"machines", {kReserved, kLost}}, {"duration_s", 26},
                  {"upper_limit", 1}};
  int status = 0;
  for (std::size_t i = 0; i < 9 && status != 200; ++i) {
    status = Call(system.control[i % 3], "POST", "/-/wave-start", wave, 1'000).status;
  }
  record("operator: POST /-/wave-start " + wave.dump() + " -> " + std::to_string(status));
  if (status != 200) return kNotPossible;
  SleepMs(600);
  if (WithTrouble()) {
    const std::lock_guard lock(mutex);
    if (workers[kLost] == nullptr || workers[kReserved] == nullptr) return kNotPossible;
    record("worker " + workers[kLost]->place.id + " on " + kLost + " is lost for good");
    gone.insert(kLost);
    workers[kLost].reset();
  }
  SleepMs(5'000);
  // The last request of the day.
  if (call("POST", kLater, job("500", 1000, "kind-b")).status != 200) {
    return kNotPossible;
  }
  SleepMs(kFinishMs + kNothingRunsMs + 1'000);
  const Reply state = call("GET", kLater, nullptr);

  bool begun = false;
  {
    const std::lock_guard lock(history.mutex);
    for (const auto& start : history.started) {
      begun = begun || start.task.starts_with(kLater);
    }
  }
  bool empty = false;
  {
    const std::lock_guard lock(mutex);
    empty = workers[kReserved] != nullptr && workers[kReserved]->Running().empty();
  }
  record(std::string("the worker of 32 cores on ") + kReserved + " is " +
         (empty ? "up and empty" : "not up or not empty") +
         "; the last job, one task of 1 core, has " + (begun ? "begun" : "not begun"));
  for (std::thread& one : returns) one.join();
  if (state.status != 200 || !empty) return kNotPossible;
  record(begun ? "LOST held" : "LOST is broken: the job has had nothing running for " +
                                   std::to_string(kFinishMs + kNothingRunsMs) +
                                   " ms, though its worker is empty");
  return begun ? kHeld : kBroken;
}

}  // namespace

int main(int argc, char** argv) { return RunScript(argc, argv, Run); }
