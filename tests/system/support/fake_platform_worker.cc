#include "tests/system/support/fake_platform_worker.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "tests/system/support/http.h"

namespace mimosastage::testing {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds kAnnounceInterval{400};
/// Upper bound of the lease time that a single order grants.
constexpr std::int64_t kMaxHoldMs = 6'000;

HttpServer::Settings ServerSettings(const std::string& address) {
  HttpServer::Settings settings;
  settings.address = address;
  return settings;
}

}  // namespace

FakePlatformWorker::FakePlatformWorker(Settings settings)
    : settings(std::move(settings)),
      start_time(std::chrono::steady_clock::now()),
      started_at_ms(std::chrono::duration_cast<milliseconds>(
                        std::chrono::system_clock::now().time_since_epoch())
                        .count()),
      server(ServerSettings(this->settings.address),
             HttpServer::Hooks{[this](HttpRequest&& request) {
                                 this->OnRequest(std::move(request));
                               },
                               {},
                               {}}) {
  const auto started = this->server.Start();
  if (!started.has_value()) {
    throw std::runtime_error("the fake worker failed to start its HTTP server");
  }
  this->port = *started;
  this->announcer = std::thread([this] { this->AnnouncePeriodically(); });
}

FakePlatformWorker::~FakePlatformWorker() {
  this->stopping.store(true);
  this->announcer.join();
  this->server.Stop();
}

std::map<std::string, int> FakePlatformWorker::CompletionCounts() {
  const std::lock_guard lock(this->mutex);
  this->EndDueRuns();
  return this->completions;
}

std::int64_t FakePlatformWorker::ElapsedMs() const {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::steady_clock::now() - this->start_time)
      .count();
}

void FakePlatformWorker::EndDueRuns() {
  const std::int64_t now = this->ElapsedMs();
  for (auto run = this->running.begin(); run != this->running.end();) {
    const auto& [task, number] = run->first;
    const bool lapsed = now > this->lease_end_ms;
    if (!lapsed && now < run->second.ends_ms) {
      ++run;
      continue;
    }
    this->unacknowledged_ends.push_back(json::array(
        {++this->end_sequence, task, number, lapsed ? "lapsed" : "done", ""}));
    this->completions[task] += lapsed ? 0 : 1;
    this->highest_ended_run[task] =
        std::max(this->highest_ended_run[task], number);
    run = this->running.erase(run);
  }
}

json FakePlatformWorker::HandleRunStart(const json& body,
                                        std::uint16_t& status) {
  const std::string task = body.at("task");
  const int run = body.at("run");
  if (body.at("deadline_ms").get<std::int64_t>() < this->ElapsedMs()) {
    status = 409;
    return {{"reason", "late"}};
  }
  if (run <= this->highest_ended_run[task]) {
    status = 409;
    return {{"reason", "old"}};
  }
  this->running.try_emplace(
      {task, run}, Run{this->ElapsedMs() + this->settings.task_time.count()});
  return json::object();
}

json FakePlatformWorker::HandleHold(const json& body) {
  const auto seen = body.value("last_seen", std::uint64_t{0});
  std::erase_if(this->unacknowledged_ends, [&](const json& row) {
    return row.at(0).get<std::uint64_t>() <= seen;
  });
  json rows = json::array();
  for (const auto& [key, run] : this->running) {
    rows.push_back(json::array({key.first, key.second, "", 50}));
  }
  return {{"running", rows}, {"ended_runs", this->unacknowledged_ends}};
}

void FakePlatformWorker::OnRequest(HttpRequest&& request) {
  HttpAnswer answer;
  json reply = json::object();
  {
    const std::lock_guard lock(this->mutex);
    this->EndDueRuns();
    const json body = json::parse(request.body, nullptr, false);
    const std::uint64_t token = body.value("fencing_token", std::uint64_t{0});
    if (token < this->highest_token) {
      answer.status = 409;
      reply = {{"reason", "fence"}};
    } else {
      this->highest_token = token;
      if (body.contains("deadline_ms")) {
        this->lease_end_ms =
            std::max(this->lease_end_ms,
                     std::min(body.at("deadline_ms").get<std::int64_t>(),
                              this->ElapsedMs() + kMaxHoldMs));
      }
      if (request.target == "/-/run-start") {
        reply = this->HandleRunStart(body, answer.status);
      } else if (request.target == "/-/hold") {
        reply = this->HandleHold(body);
      } else if (request.target == "/-/run-stop") {
        const std::pair<std::string, int> key{body.at("task"), body.at("run")};
        this->highest_ended_run[key.first] =
            std::max(this->highest_ended_run[key.first], key.second);
        if (this->running.erase(key) > 0) {
          this->unacknowledged_ends.push_back(json::array(
              {++this->end_sequence, key.first, key.second, "stopped", ""}));
        }
      }
    }
    reply["clock_ms"] = this->ElapsedMs();
    reply["born"] = this->started_at_ms;
  }
  answer.body = reply.dump();
  this->server.Answer(request.id, std::move(answer));
}

void FakePlatformWorker::AnnouncePeriodically() {
  std::uint64_t sequence = 0;
  std::size_t next = 0;
  while (!this->stopping.load()) {
    const json body{
        {"service", this->settings.pool},
        {"address", this->settings.address + ":" + std::to_string(this->port)},
        {"zone", "zone-1"},
        {"state", "ready"},
        {"born", this->started_at_ms},
        {"machine", "machine-" + this->settings.id},
        {"labels", {"kind", "rack-1"}},
        {"capacity", {{"cpu", 16'000}, {"memory_request_mb", 65'536}}},
        {"sequence", ++sequence}};
    const std::string& daemon =
        this->settings.daemons[next % this->settings.daemons.size()];
    const Reply reply =
        Send({.method = "PUT",
              .url = "http://" + daemon + "/-/instances/" + this->settings.id,
              .body = body.dump(),
              .timeout = milliseconds(1'000)});
    if (reply.status != 200) {
      ++next;
    }
    std::this_thread::sleep_for(kAnnounceInterval);
  }
}

}  // namespace mimosastage::testing
