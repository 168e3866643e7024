// A start order that gets no answer is repeated, and its task is done. Seconds
// later the worker crashes and starts again under its id, and the first copy of
// the order is carried out.
#include "deployment.hpp"

using namespace deployment;

namespace {

constexpr char kKey[] = "key-of-the-clubs-0001";
constexpr char kHost[] = "courts.example";
constexpr char kJob[] = "5c0e7a21d94b36f8";
constexpr int kWorkers = 8;

int Run(Record& record) {
  System system(record);
  Server platform(system.platform, [](const Request&) {
    return Reply{200, json{{"machines", json::array()}}};
  });
  Worker::History history;
  std::mutex mutex;
  std::optional<Request> held_back;
  std::size_t holder = 0;
  double held_back_s = 0;
  std::vector<std::unique_ptr<Worker>> workers;
  system.Start();
  if (system.Configure(Configuration(
          1, json::array({Route("bookings", kHost, "/bookings/", "bookings")}),
          json::array({Service("bookings")}), kKey)) != 200) {
    return kNotPossible;
  }
  const auto make_worker = [&](std::size_t i) {
    return std::make_unique<Worker>(
        Worker::Place{"i-" + std::to_string(1001 + i),
                      system.WorkerAddress(static_cast<int>(i) + 1),
                      "m-" + std::to_string(i + 1), "bookings", Zones()[i % 3],
                      "r" + std::to_string(i / 4 + 1)},
        system, record, history, [&, i](const Request& start) {
          const std::lock_guard lock(mutex);
          if (!WithTrouble() || held_back.has_value() ||
              start.body.find(kJob) == std::string::npos) {
            return false;
          }
          held_back = start;
          holder = i;
          held_back_s = record.Seconds();
          record("a start order to i-" + std::to_string(1001 + i) +
                 " gets no answer: " + start.body);
          return true;
        });
  };
  for (std::size_t i = 0; i < kWorkers; ++i) workers.push_back(make_worker(i));
  SleepMs(2'500);

  const std::map<std::string, std::string> headers{
      {"Host", kHost}, {"Authorization", std::string("Bearer ") + kKey},
      {"X-Deadline-Ms", "3000"}};
  const auto post = [&](const std::string& id, const json& job) {
    const int status =
        Call(system.front, "POST", "/bookings/" + id, job, 3'000, headers).status;
    record("client: POST /bookings/" + id + " -> " + std::to_string(status));
    return status;
  };
  const auto job = [](int count) {
    return json{{"specification", "400"},
                {"steps", json::array({json{{"count", count},
                                            {"cpu", 1000},
                                            {"memory_request_mb", 512},
                                            {"estimated_ms", 400}}})}};
  };
  // Work beside it, all of whose orders are answered.
  if (post("00ff11ee22dd33cc", job(40)) != 200) return kNotPossible;
  SleepMs(1'500);
  if (post(kJob, job(1)) != 200) return kNotPossible;
  const auto find_end = [&](const std::vector<Worker::Ended>& ends) {
    const std::lock_guard lock(history.mutex);
    for (const auto& end : ends) {
      if (end.task.starts_with(kJob) && end.how == "done") return true;
    }
    return false;
  };
  for (int i = 0; i < 60 && !find_end(history.acknowledged); ++i) SleepMs(50);
  if (!find_end(history.acknowledged)) return kNotPossible;
  const Reply state =
      Call(system.front, "GET", std::string("/bookings/") + kJob, nullptr, 3'000, headers);
  record(std::string("client: GET /bookings/") + kJob + " -> " +
         std::to_string(state.status) + " " + state.body.dump());
  const double noted_s = record.Seconds();
  if (WithTrouble()) {
    SleepMs(500);
    record("worker " + workers[holder]->place.id + " crashes");
    workers[holder].reset();
    while (record.Seconds() - held_back_s < 4.0) SleepMs(10);
    workers[holder] = make_worker(holder);
    const int status = workers[holder]->CarryOutLate(*held_back);
    record("the order that got no answer is carried out " +
           std::to_string(record.Seconds() - held_back_s) + " s late on " +
           workers[holder]->place.id + ": " + std::to_string(status));
  } else {
    SleepMs(3'000);
  }
  SleepMs(4'000);
  bool broken = false;
  {
    const std::lock_guard lock(history.mutex);
    for (const auto& start : history.started) {
      if (start.task.starts_with(kJob) && start.at_s > noted_s) {
        record("task " + start.task + " was started again on " + start.worker + ", " +
               std::to_string(start.at_s - noted_s) +
               " s after its end was taken note of and the job was shown as completed");
        broken = true;
      }
    }
  }
  record(broken ? "TWICE is broken" : "TWICE held");
  return broken ? kBroken : kHeld;
}

}  // namespace

int main(int argc, char** argv) { return RunScript(argc, argv, Run); }
