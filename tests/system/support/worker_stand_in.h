#ifndef MIMOSASTAGE_TESTS_SYSTEM_SUPPORT_WORKER_STAND_IN_H_
#define MIMOSASTAGE_TESTS_SYSTEM_SUPPORT_WORKER_STAND_IN_H_

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

/// A worker as the users' platform has them: announces itself, runs tasks for a
/// fixed time under a lease, refuses lower fencing tokens, lists ends until
/// they are acknowledged.
class WorkerStandIn {
 public:
  struct Settings {
    std::string id;
    std::string address;
    std::string pool;
    /// "IP:PORT" of the daemons that take announcements.
    std::vector<std::string> control;
    std::chrono::milliseconds task_time{300};
  };

  explicit WorkerStandIn(Settings settings);
  ~WorkerStandIn();
  WorkerStandIn(const WorkerStandIn&) = delete;
  WorkerStandIn& operator=(const WorkerStandIn&) = delete;

  /// How often each task ended as done.
  std::map<std::string, int> Done();
  /// Orders with a lower token than one seen before.
  int Fenced() const { return this->fenced.load(); }

 private:
  struct Run {
    std::int64_t ends_ms = 0;
  };

  std::int64_t Clock() const;
  void OnRequest(HttpRequest&& request);
  nlohmann::json Start(const nlohmann::json& body, std::uint16_t& status);
  nlohmann::json Hold(const nlohmann::json& body);
  void Finish();
  void Announce();

  Settings settings;
  std::chrono::steady_clock::time_point began;
  std::int64_t born_ms = 0;
  HttpServer server;
  std::uint16_t port = 0;
  std::mutex mutex;
  std::map<std::pair<std::string, int>, Run> running;
  std::map<std::string, int> highest_ended;
  std::vector<nlohmann::json> ended;
  std::map<std::string, int> done;
  std::uint64_t ends = 0;
  std::int64_t lease_end = 0;
  std::uint64_t fence = 0;
  std::atomic<int> fenced{0};
  std::atomic<bool> stopping{false};
  std::thread announcer;
};

}  // namespace mimosastage::testing

#endif  // MIMOSASTAGE_TESTS_SYSTEM_SUPPORT_WORKER_STAND_IN_H_
