#ifndef MIMOSASTAGE_TESTS_SYSTEM_SUPPORT_FAKE_PLATFORM_WORKER_H_
#define MIMOSASTAGE_TESTS_SYSTEM_SUPPORT_FAKE_PLATFORM_WORKER_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "mimosastage/http/http_server.h"

namespace mimosastage::testing {

/// Simulates a worker of the users' platform. It announces itself, runs each
/// task for a fixed time under a lease, rejects orders with a stale fencing
/// token, and reports ended runs until they are acknowledged.
class FakePlatformWorker {
 public:
  struct Settings {
    std::string id;
    std::string address;
    std::string pool;
    /// "IP:PORT" of the daemons that receive announcements; the worker uses one
    /// and moves on to the next when an announcement fails.
    std::vector<std::string> daemons;
    std::chrono::milliseconds task_time{300};
  };

  explicit FakePlatformWorker(Settings settings);
  ~FakePlatformWorker();
  FakePlatformWorker(const FakePlatformWorker&) = delete;
  FakePlatformWorker& operator=(const FakePlatformWorker&) = delete;

  /// How many runs of each task have completed.
  std::map<std::string, int> CompletionCounts();

 private:
  struct Run {
    std::int64_t ends_ms = 0;
  };

  /// Milliseconds since the worker started, by the monotonic clock.
  std::int64_t ElapsedMs() const;
  void OnRequest(HttpRequest&& request);
  nlohmann::json HandleRunStart(const nlohmann::json& body,
                                std::uint16_t& status);
  nlohmann::json HandleHold(const nlohmann::json& body);
  /// Ends the runs whose time is over, and all runs once the lease has lapsed.
  void EndDueRuns();
  void AnnouncePeriodically();

  Settings settings;
  std::chrono::steady_clock::time_point start_time;
  std::int64_t started_at_ms = 0;
  HttpServer server;
  std::uint16_t port = 0;
  std::mutex mutex;
  std::map<std::pair<std::string, int>, Run> running;
  std::map<std::string, int> highest_ended_run;
  std::vector<nlohmann::json> unacknowledged_ends;
  std::map<std::string, int> completions;
  std::uint64_t end_sequence = 0;
  std::int64_t lease_end_ms = 0;
  std::uint64_t highest_token = 0;
  std::atomic<bool> stopping{false};
  std::thread announcer;
};

}  // namespace mimosastage::testing

#endif  // MIMOSASTAGE_TESTS_SYSTEM_SUPPORT_FAKE_PLATFORM_WORKER_H_
