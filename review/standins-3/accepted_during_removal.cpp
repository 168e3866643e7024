// Jobs that are handed in while a version removes their route, whose prefix lies
// inside another route's.
#include "deployment.hpp"

using namespace deployment;

namespace {

constexpr char kKey[] = "key-of-the-clubs-0001";
constexpr char kHost[] = "courts.example";
constexpr int kClients = 12;
constexpr int kMostRounds = 12;
/// `finish_s` of the site, and the time for which a job has nothing running.
constexpr std::int64_t kWaitMs = 14'000 + 3'000;

int Run(Record& record) {
  System system(record);
  Server platform(system.platform, [](const Request&) {
    return Reply{200, json{{"machines", json::array()}}};
  });
  Worker::History history;
  std::vector<std::unique_ptr<Worker>> workers;
  system.Start();
  const json outer = Route("leagues", kHost, "/leagues/", "bookings");
  const json inner = Route("cup", kHost, "/leagues/cup/", "bookings");
  const auto with_inner = [&](int version) {
    return Configuration(version, json::array({outer, inner}),
                         json::array({Service("bookings")}), kKey);
  };
  const auto without_inner = [&](int version) {
    return Configuration(version, json::array({outer}),
                         json::array({Service("bookings")}), kKey);
  };
  if (system.Configure(with_inner(1)) != 200) return kNotPossible;
  for (int i = 0; i < 9; ++i) {
    workers.push_back(std::make_unique<Worker>(
        Worker::Place{"i-" + std::to_string(1001 + i), system.WorkerAddress(i + 1),
                      "m-" + std::to_string(i + 1), "bookings",
                      Zones()[static_cast<std::size_t>(i) % 3],
                      "r" + std::to_string(i / 4 + 1)},
        system, record, history));
  }
  SleepMs(2'500);

  const std::map<std::string, std::string> headers{
      {"Host", kHost}, {"Authorization", std::string("Bearer ") + kKey},
      {"X-Deadline-Ms", "3000"}};
  const json job{{"specification", "50"},
                 {"steps", json::array({json{{"count", 1}, {"cpu", 100},
                                             {"memory_request_mb", 64},
                                             {"estimated_ms", 50}}})}};
  std::mutex mutex;
  std::set<std::string> accepted;
  std::map<int, int> answers;
  std::atomic<std::uint32_t> next{0};
  int version = 1;
  std::set<std::string> stuck;
  for (int round = 1; round <= kMostRounds && stuck.empty(); ++round) {
    accepted.clear();
    answers.clear();
    std::atomic<bool> stop{false};
    std::vector<std::thread> clients;
    for (int i = 0; i < kClients; ++i) {
      clients.emplace_back([&, i] {
        std::mt19937 random(static_cast<unsigned>(100 * round + i));
        while (!stop) {
          char id[17];
          std::snprintf(id, sizeof(id), "5c0e7a21%08x", ++next);
          const Reply reply = Call(system.front, "POST",
                                   std::string("/leagues/cup/") + id, job, 3'000, headers);
          const std::lock_guard lock(mutex);
          ++answers[reply.status];
          if (reply.status == 200) accepted.insert(id);
          record(std::string("client: POST /leagues/cup/") + id + " -> " +
                 std::to_string(reply.status));
          // Clients come at any time, and don't return at once after a refusal.
          SleepMs(reply.status == 200 ? random() % 12 : 100);
        }
      });
    }
    SleepMs(150);
    if (WithTrouble() && system.Configure(without_inner(++version)) != 200) {
      return kNotPossible;
    }
    SleepMs(150);
    stop = true;
    for (std::thread& client : clients) client.join();
    for (const auto& [status, count] : answers) {
      record(std::to_string(count) + " answers of status " + std::to_string(status));
    }
    const auto not_begun = [&] {
      std::set<std::string> jobs = accepted;
      const std::lock_guard lock(history.mutex);
      for (const auto& start : history.started) {
        jobs.erase(start.task.substr(0, start.task.find('.')));
      }
      return jobs;
    };
    SleepMs(3'000);
    if (!not_begun().empty()) {
      SleepMs(kWaitMs);
      stuck = not_begun();
    } else if (WithTrouble() && system.Configure(with_inner(++version)) != 200) {
      return kNotPossible;
    }
    SleepMs(500);
  }
  for (const std::string& id : stuck) {
    record("job " + id + " was accepted, and no worker was told to start its task");
  }
  if (!stuck.empty()) {
    const std::string path = "/leagues/cup/" + *stuck.begin();
    record("client: GET " + path + " -> " +
           std::to_string(
               Call(system.front, "GET", path, nullptr, 3'000, headers).status));
  }
  if (accepted.empty()) return kNotPossible;
  record(stuck.empty() ? "LOST held"
                       : "LOST is broken: " + std::to_string(stuck.size()) + " of " +
                             std::to_string(accepted.size()) +
                             " accepted jobs have never run, with all workers empty");
  return stuck.empty() ? kHeld : kBroken;
}

}  // namespace

int main(int argc, char** argv) { return RunScript(argc, argv, Run); }
