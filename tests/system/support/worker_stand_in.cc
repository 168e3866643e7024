#include "tests/system/support/worker_stand_in.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "tests/system/support/http.h"

namespace mimosastage::testing {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds kAnnounceInterval{400};
constexpr std::int64_t kMaxHoldMs = 6'000;

HttpServer::Settings ServerSettings(const std::string& address) {
  HttpServer::Settings settings;
  settings.address = address;
  return settings;
}

}  // namespace

WorkerStandIn::WorkerStandIn(Settings settings)
    : settings(std::move(settings)),
      began(std::chrono::steady_clock::now()),
      born_ms(std::chrono::duration_cast<milliseconds>(
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
    throw std::runtime_error("the worker can't listen");
  }
  this->port = *started;
  this->announcer = std::thread([this] { this->Announce(); });
}

WorkerStandIn::~WorkerStandIn() {
  this->stopping.store(true);
  this->announcer.join();
  this->server.Stop();
}

std::map<std::string, int> WorkerStandIn::Done() {
  const std::lock_guard lock(this->mutex);
  this->Finish();
  return this->done;
}

std::int64_t WorkerStandIn::Clock() const {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::steady_clock::now() - this->began)
      .count();
}

void WorkerStandIn::Finish() {
  const std::int64_t now = this->Clock();
  for (auto run = this->running.begin(); run != this->running.end();) {
    const auto& [task, number] = run->first;
    const bool lapsed = now > this->lease_end;
    if (!lapsed && now < run->second.ends_ms) {
      ++run;
      continue;
    }
    this->ended.push_back(json::array(
        {++this->ends, task, number, lapsed ? "lapsed" : "done", ""}));
    this->done[task] += lapsed ? 0 : 1;
    this->highest_ended[task] = std::max(this->highest_ended[task], number);
    run = this->running.erase(run);
  }
}

json WorkerStandIn::Start(const json& body, std::uint16_t& status) {
  const std::string task = body.at("task");
  const int run = body.at("run");
  if (body.at("deadline_ms").get<std::int64_t>() < this->Clock()) {
    status = 409;
    return {{"reason", "late"}};
  }
  if (run <= this->highest_ended[task]) {
    status = 409;
    return {{"reason", "old"}};
  }
  this->running.try_emplace(
      {task, run}, Run{this->Clock() + this->settings.task_time.count()});
  return json::object();
}

json WorkerStandIn::Hold(const json& body) {
  const auto seen = body.value("last_seen", std::uint64_t{0});
  std::erase_if(this->ended, [&](const json& row) {
    return row.at(0).get<std::uint64_t>() <= seen;
  });
  json rows = json::array();
  for (const auto& [key, run] : this->running) {
    rows.push_back(json::array({key.first, key.second, "", 50}));
  }
  return {{"running", rows}, {"ended_runs", this->ended}};
}

void WorkerStandIn::OnRequest(HttpRequest&& request) {
  HttpAnswer answer;
  json reply = json::object();
  {
    const std::lock_guard lock(this->mutex);
    this->Finish();
    const json body = json::parse(request.body, nullptr, false);
    const std::uint64_t token = body.value("fencing_token", std::uint64_t{0});
    if (token < this->fence) {
      ++this->fenced;
      answer.status = 409;
      reply = {{"reason", "fence"}};
    } else {
      this->fence = token;
      if (body.contains("deadline_ms")) {
        this->lease_end =
            std::max(this->lease_end,
                     std::min(body.at("deadline_ms").get<std::int64_t>(),
                              this->Clock() + kMaxHoldMs));
      }
      if (request.target == "/-/run-start") {
        reply = this->Start(body, answer.status);
      } else if (request.target == "/-/hold") {
        reply = this->Hold(body);
      } else if (request.target == "/-/run-stop") {
        const std::pair<std::string, int> key{body.at("task"), body.at("run")};
        this->highest_ended[key.first] =
            std::max(this->highest_ended[key.first], key.second);
        if (this->running.erase(key) > 0) {
          this->ended.push_back(json::array(
              {++this->ends, key.first, key.second, "stopped", ""}));
        }
      }
    }
    reply["clock_ms"] = this->Clock();
    reply["born"] = this->born_ms;
  }
  answer.body = reply.dump();
  this->server.Answer(request.id, std::move(answer));
}

void WorkerStandIn::Announce() {
  std::uint64_t sequence = 0;
  std::size_t next = 0;
  while (!this->stopping.load()) {
    const json body{
        {"service", this->settings.pool},
        {"address", this->settings.address + ":" + std::to_string(this->port)},
        {"zone", "zone-1"},
        {"state", "ready"},
        {"born", this->born_ms},
        {"machine", "machine-" + this->settings.id},
        {"labels", {"kind", "rack-1"}},
        {"capacity", {{"cpu", 16'000}, {"memory_request_mb", 65'536}}},
        {"sequence", ++sequence}};
    const std::string& daemon =
        this->settings.control[next % this->settings.control.size()];
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
