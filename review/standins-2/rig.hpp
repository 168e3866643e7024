// Stand-ins for the scripts of this review: a small deployment of the project's
// own programs on loopback addresses, workers, the platform's interface for
// machines, clients and the operator. They follow the users' pages; where a
// page is silent, they behave like a sound peer.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace rig {

using nlohmann::json;
using Clock = std::chrono::steady_clock;

inline std::int64_t SinceMs(Clock::time_point start) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                               start)
      .count();
}
inline std::int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}
inline void Sleep(std::int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

/// Writes what was sent, answered and run, with the time since the start.
class Record {
 public:
  explicit Record(const std::string& file) : file(file) {}
  void Line(const std::string& text) {
    const std::lock_guard lock(this->mutex);
    char time[32];
    std::snprintf(time, sizeof(time), "%8.3f  ", SinceMs(this->start) / 1000.0);
    this->file << time << text << std::endl;
  }
  std::int64_t NowMs() const { return SinceMs(this->start); }

 private:
  std::mutex mutex;
  std::ofstream file;
  Clock::time_point start = Clock::now();
};

struct Message {
  std::string first;  // request line or status line
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;
};

struct Response {
  int status = 0;  // 0: no answer
  json body;
};

inline sockaddr_in Address(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

inline std::pair<std::string, int> Split(const std::string& endpoint) {
  const auto colon = endpoint.rfind(':');
  return {endpoint.substr(0, colon), std::stoi(endpoint.substr(colon + 1))};
}

/// Reads one HTTP message. Returns false if the peer closes, or at `deadline`.
inline bool ReadMessage(int fd, std::string& buffer, Message& message,
                        Clock::time_point deadline,
                        const std::atomic<bool>* stop = nullptr) {
  const auto more = [&]() -> bool {
    while (true) {
      const auto left = deadline - Clock::now();
      if (left <= Clock::duration::zero() ||
          (stop != nullptr && stop->load())) {
        return false;
      }
      pollfd poller{fd, POLLIN, 0};
      const auto wait =
          std::chrono::duration_cast<std::chrono::milliseconds>(left).count();
      const int ready =
          poll(&poller, 1, static_cast<int>(std::min<long long>(wait + 1, 50)));
      if (ready == 0) continue;
      char bytes[16384];
      const ssize_t got = recv(fd, bytes, sizeof(bytes), 0);
      if (got <= 0) return false;
      buffer.append(bytes, static_cast<std::size_t>(got));
      return true;
    }
  };
  std::size_t end = 0;
  while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
    if (!more()) return false;
  }
  message = {};
  std::size_t at = buffer.find("\r\n");
  message.first = buffer.substr(0, at);
  while (at < end) {
    const std::size_t begin = at + 2;
    at = buffer.find("\r\n", begin);
    const std::string line = buffer.substr(begin, at - begin);
    if (const auto colon = line.find(':'); colon != std::string::npos) {
      std::string name = line.substr(0, colon);
      for (char& c : name) c = static_cast<char>(std::tolower(c));
      std::size_t value = colon + 1;
      while (value < line.size() && line[value] == ' ') ++value;
      message.headers[name] = line.substr(value);
    }
  }
  std::size_t length = 0;
  if (const auto found = message.headers.find("content-length");
      found != message.headers.end()) {
    length = std::stoul(found->second);
  }
  while (buffer.size() < end + 4 + length) {
    if (!more()) return false;
  }
  message.body = buffer.substr(end + 4, length);
  buffer.erase(0, end + 4 + length);
  return true;
}

inline bool WriteAll(int fd, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t done =
        send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (done <= 0) return false;
    sent += static_cast<std::size_t>(done);
  }
  return true;
}

/// Sends one request on a new connection.
inline Response Call(const std::string& endpoint, const std::string& method,
                     const std::string& path, const std::string& body,
                     std::int64_t timeout_ms,
                     const std::vector<std::pair<std::string, std::string>>&
                         headers = {}) {
  Response response;
  const auto deadline = Clock::now() + std::chrono::milliseconds(timeout_ms);
  const auto [ip, port] = Split(endpoint);
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (fd < 0) return response;
  const sockaddr_in address = Address(ip, port);
  bool open = connect(fd, reinterpret_cast<const sockaddr*>(&address),
                      sizeof(address)) == 0;
  if (!open && errno == EINPROGRESS) {
    pollfd poller{fd, POLLOUT, 0};
    int error = 1;
    socklen_t size = sizeof(error);
    open = poll(&poller, 1, static_cast<int>(timeout_ms)) == 1 &&
           getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) == 0 &&
           error == 0;
  }
  if (open) {
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    std::string text = method + " " + path + " HTTP/1.1\r\n";
    bool has_host = false;
    for (const auto& [name, value] : headers) {
      text += name + ": " + value + "\r\n";
      has_host = has_host || name == "Host";
    }
    if (!has_host) text += "Host: " + endpoint + "\r\n";
    if (!body.empty()) text += "Content-Type: application/json\r\n";
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    std::string buffer;
    Message message;
    if (WriteAll(fd, text) && ReadMessage(fd, buffer, message, deadline)) {
      response.status = std::atoi(message.first.c_str() + 9);
      response.body = json::parse(message.body, nullptr, false);
    }
  }
  close(fd);
  return response;
}

/// An HTTP server with a thread for each connection.
class Server {
 public:
  using Handler = std::function<std::pair<int, json>(const Message&)>;
  Server(const std::string& ip, int port, Handler handler)
      : handler(std::move(handler)) {
    this->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in address = Address(ip, port);
    if (bind(this->listener, reinterpret_cast<const sockaddr*>(&address),
             sizeof(address)) != 0 ||
        listen(this->listener, 256) != 0) {
      throw std::runtime_error("can't listen on " + ip);
    }
    this->acceptor = std::thread([this] { this->Accept(); });
  }
  ~Server() { this->Stop(); }
  /// Closes all connections, as the end of a process does.
  void Stop() {
    if (this->stopping.exchange(true)) return;
    shutdown(this->listener, SHUT_RDWR);
    close(this->listener);
    this->acceptor.join();
    std::vector<std::thread> threads;
    {
      const std::lock_guard lock(this->mutex);
      for (const int fd : this->open) shutdown(fd, SHUT_RDWR);
      threads.swap(this->threads);
    }
    for (auto& thread : threads) thread.join();
  }
  std::atomic<bool> stopping{false};
  /// Accepts connections and reads, but handles and answers nothing, like a
  /// machine without power or behind a cut.
  std::atomic<bool> dark{false};

 private:
  void Accept() {
    while (!this->stopping) {
      pollfd poller{this->listener, POLLIN, 0};
      if (poll(&poller, 1, 50) <= 0) continue;
      const int fd = accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) continue;
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      const std::lock_guard lock(this->mutex);
      this->open.insert(fd);
      this->threads.emplace_back([this, fd] { this->Serve(fd); });
    }
  }
  void Serve(int fd) {
    std::string buffer;
    Message message;
    while (!this->stopping &&
           ReadMessage(fd, buffer, message,
                       Clock::now() + std::chrono::minutes(10),
                       &this->stopping)) {
      if (this->dark) continue;
      const auto [status, body] = this->handler(message);
      if (this->dark || status == 0) continue;
      const std::string text = body.dump();
      if (!WriteAll(fd, "HTTP/1.1 " + std::to_string(status) +
                            " X\r\nContent-Type: application/json\r\n"
                            "Content-Length: " +
                            std::to_string(text.size()) + "\r\n\r\n" + text)) {
        break;
      }
    }
    const std::lock_guard lock(this->mutex);
    this->open.erase(fd);
    close(fd);
  }

  Handler handler;
  int listener = -1;
  std::thread acceptor;
  std::mutex mutex;
  std::set<int> open;
  std::vector<std::thread> threads;
};

struct Resources {
  std::int64_t cpu = 16'000;
  std::int64_t memory = 64'000;
};

/// One life of a worker. A task's specification says what it does:
/// "work MS" ends as done after MS, "last" runs until it is stopped.
class Worker {
 public:
  struct Settings {
    std::string id;
    std::string ip;
    std::string machine;
    std::string service;
    std::string zone;
    std::string rack;
    Resources capacity;
    std::vector<std::string> control_plane;
    std::int64_t max_hold_ms = 10'000;
    std::int64_t stop_ms = 50;
    /// Whether a start with this ticket is accepted; empty: any is.
    std::function<bool(const std::string& ticket)> accepts_ticket;
    /// How long it has lived already, behind a cut.
    std::int64_t age_ms = 0;
    /// When its first heartbeat gets through.
    std::int64_t first_beat_ms = 0;
  };
  struct Start {
    std::int64_t at_ms;
    std::string worker;
    std::string task;
    int run;
  };
  using OnStart = std::function<void(const Start&)>;

  Worker(Settings given, Record& record, OnStart on_start)
      : settings(std::move(given)),
        record(record),
        on_start(std::move(on_start)),
        start(Clock::now() - std::chrono::milliseconds(this->settings.age_ms)),
        born_ms(UnixMs() - this->settings.age_ms),
        server(this->settings.ip, 8080,
               [this](const Message& m) { return this->Handle(m); }) {
    this->record.Line("worker " + this->settings.id + " of " +
                      this->settings.service + " on " + this->settings.machine +
                      " starts at " + this->settings.ip);
    this->ticker = std::thread([this] { this->Tick(); });
    this->beater = std::thread([this] { this->Beat(); });
  }
  ~Worker() { this->Crash(); }

  /// Ends without notice; connections to it are refused from then on.
  void Crash() {
    if (this->gone.exchange(true)) return;
    this->changed.notify_all();
    this->server.Stop();
    this->ticker.join();
    this->beater.join();
    const std::lock_guard lock(this->mutex);
    this->runs.clear();
  }
  /// Is lost without a sign: nothing runs, and nothing is answered or refused.
  void GoDark() {
    this->server.dark = true;
    this->silent = true;
    const std::lock_guard lock(this->mutex);
    this->runs.clear();
    this->record.Line("worker " + this->settings.id + " is lost (dark)");
  }
  void Drain() {
    this->draining = true;
    this->beat_now = true;
    this->record.Line("worker " + this->settings.id + " reports draining");
  }
  /// Says that it leaves, and ends.
  void Leave() {
    this->silent = true;
    const std::string to = this->HeartbeatAddress();
    const int status =
        Call(to.empty() ? this->settings.control_plane.front() : to, "DELETE",
             "/-/instances/" + this->settings.id, "", 1'000)
            .status;
    this->record.Line("worker " + this->settings.id + " leaves -> " +
                      std::to_string(status));
    this->Crash();
  }
  bool DrainAcknowledged() const { return this->drain_acknowledged; }
  /// Carries out a start order that had no answer. Returns the status that it
  /// would have had.
  int CarryOutLate(const json& body) {
    const std::lock_guard lock(this->mutex);
    this->EndDue();
    const std::uint64_t token = body.value("fencing_token", std::uint64_t{0});
    if (token < this->highest_token) return 409;
    this->highest_token = token;
    return this->HandleStart(body).first;
  }
  /// True for a start order that gets no answer and isn't carried out now.
  std::function<bool(const json& body)> hold_back;
  const Settings& settings_of() const { return this->settings; }
  std::size_t Running() {
    const std::lock_guard lock(this->mutex);
    return this->runs.size();
  }
  std::set<std::string> RunningTasks() {
    const std::lock_guard lock(this->mutex);
    std::set<std::string> names;
    for (const auto& [task, run] : this->runs) names.insert(task);
    return names;
  }
  /// Where the system wants the worker's next heartbeat; "" if it doesn't say.
  std::string HeartbeatAddress() {
    const std::lock_guard lock(this->address_mutex);
    return this->heartbeat_address;
  }

 private:
  struct Run {
    int number = 0;
    std::string specification;
    std::int64_t started = 0;
    std::int64_t stop_at = -1;
    std::string checkpoint;
  };

  std::int64_t ClockMs() const { return SinceMs(this->start) + 1000; }
  json Reply() const {
    return json{{"clock_ms", this->ClockMs()}, {"born", this->born_ms}};
  }

  std::pair<int, json> Handle(const Message& m) {
    const json body = json::parse(m.body, nullptr, false);
    const std::string path = m.first.substr(0, m.first.rfind(' '));
    const auto expected = m.headers.find("x-expected-instance");
    if (expected != m.headers.end() && expected->second != this->settings.id) {
      return {421, json::object()};
    }
    if (path == "GET /health") return {this->draining ? 503 : 200, json::object()};
    if (!body.is_object()) return {400, this->Reply()};
    std::unique_lock lock(this->mutex);
    this->EndDue();
    const std::uint64_t token = body.value("fencing_token", std::uint64_t{0});
    if (token < this->highest_token) {
      json reply = this->Reply();
      reply["reason"] = "fence";
      return {409, reply};
    }
    this->highest_token = token;
    if (path == "POST /-/run-start") {
      if (this->hold_back && this->hold_back(body)) return {0, json::object()};
      return this->HandleStart(body);
    }
    if (path == "POST /-/run-stop") return this->HandleStop(body);
    if (path == "POST /-/hold") return this->HandleHold(body, lock);
    if (path == "POST /-/pace") return {200, this->Reply()};
    return {404, json::object()};
  }

  void Extend(const json& body) {
    if (const auto found = body.find("deadline_ms"); found != body.end()) {
      const std::int64_t at = std::min<std::int64_t>(
          found->get<std::int64_t>(), this->ClockMs() + this->settings.max_hold_ms);
      this->lease_until = std::max(this->lease_until, at);
    }
  }

  std::pair<int, json> HandleStart(const json& body) {
    const std::string task = body.at("task");
    const int run = body.at("run");
    json reply = this->Reply();
    const auto there = this->runs.find(task);
    if (there != this->runs.end() && there->second.number == run) {
      this->Extend(body);
      return {200, reply};
    }
    if (body.at("deadline_ms").get<std::int64_t>() < this->ClockMs()) {
      reply["reason"] = "late";
      return {409, reply};
    }
    if (this->settings.accepts_ticket &&
        !this->settings.accepts_ticket(body.value("ticket", ""))) {
      reply["reason"] = "ticket";
      return {409, reply};
    }
    this->Extend(body);
    if (run <= this->highest_ended[task] || there != this->runs.end()) {
      reply["reason"] = "old";
      return {409, reply};
    }
    Run next;
    next.number = run;
    next.specification = body.value("specification", "");
    next.started = this->ClockMs();
    next.checkpoint = body.value("last_checkpoint", "");
    this->runs[task] = next;
    this->record.Line("worker " + this->settings.id + " begins " + task +
                      " run " + std::to_string(run) + " (" +
                      next.specification + ")");
    if (this->on_start) {
      this->on_start(Start{this->record.NowMs(), this->settings.id, task, run});
    }
    return {200, reply};
  }

  std::pair<int, json> HandleStop(const json& body) {
    const std::string task = body.at("task");
    const int run = body.at("run");
    if (const auto there = this->runs.find(task);
        there != this->runs.end() && there->second.number == run) {
      if (there->second.stop_at < 0) {
        there->second.stop_at = this->ClockMs() + this->settings.stop_ms;
        this->record.Line("worker " + this->settings.id + " is told to stop " +
                          task + " run " + std::to_string(run));
      }
    } else {
      int& highest = this->highest_ended[task];
      highest = std::max(highest, run);
    }
    return {200, this->Reply()};
  }

  std::pair<int, json> HandleHold(const json& body,
                                  std::unique_lock<std::mutex>& lock) {
    this->Extend(body);
    const std::uint64_t seen = body.value("last_seen", std::uint64_t{0});
    std::erase_if(this->ends, [&](const json& end) {
      return end[0].get<std::uint64_t>() <= seen;
    });
    const auto until = Clock::now() + std::chrono::milliseconds(std::min<std::int64_t>(
                                          body.value("wait_ms", 0), 2'000));
    while (this->ends.empty() && Clock::now() < until && !this->gone) {
      this->changed.wait_until(lock, until);
    }
    json reply = this->Reply();
    reply["running"] = json::array();
    for (const auto& [task, run] : this->runs) {
      const int percent = run.specification == "last"
                              ? (this->ClockMs() - run.started > 300 ? 100 : 50)
                              : 50;
      reply["running"].push_back(
          json{task, run.number, run.checkpoint, percent, 100});
    }
    reply["ended_runs"] = json::array();
    for (const json& end : this->ends) reply["ended_runs"].push_back(end);
    return {200, reply};
  }

  /// Call with the mutex held.
  void End(const std::string& task, const char* how) {
    const Run run = this->runs.at(task);
    this->runs.erase(task);
    int& highest = this->highest_ended[task];
    highest = std::max(highest, run.number);
    this->ends.push_back(
        json{++this->end_number, task, run.number, how, run.checkpoint});
    this->record.Line("worker " + this->settings.id + " ends " + task + " run " +
                      std::to_string(run.number) + " as " + how);
    this->changed.notify_all();
  }

  void EndDue() {
    const std::int64_t now = this->ClockMs();
    std::vector<std::pair<std::string, const char*>> due;
    for (const auto& [task, run] : this->runs) {
      if (now >= this->lease_until) {
        due.emplace_back(task, "lapsed");
      } else if (run.stop_at >= 0 && now >= run.stop_at) {
        due.emplace_back(task, "stopped");
      } else if (run.specification.starts_with("work ") &&
                 now - run.started >= std::atol(run.specification.c_str() + 5)) {
        due.emplace_back(task, "done");
      }
    }
    for (const auto& [task, how] : due) this->End(task, how);
  }

  void Tick() {
    while (!this->gone) {
      {
        const std::lock_guard lock(this->mutex);
        if (!this->server.dark) this->EndDue();
      }
      Sleep(10);
    }
  }

  void Beat() {
    std::size_t target = 0;
    std::int64_t next = this->record.NowMs() + this->settings.first_beat_ms;
    int sequence = 0;
    while (!this->gone) {
      if (this->silent || (this->record.NowMs() < next && !this->beat_now)) {
        Sleep(10);
        continue;
      }
      this->beat_now = false;
      const bool drains = this->draining;
      const json body{
          {"service", this->settings.service},
          {"address", this->settings.ip + ":8080"},
          {"zone", this->settings.zone},
          {"version", "v1"},
          {"slots", 8},
          {"state", drains ? "draining" : "ready"},
          {"cold_remaining_ms", 0},
          {"remaining_ms", drains ? 2000 : 0},
          {"capacity",
           {{"cpu", this->settings.capacity.cpu},
            {"memory_request_mb", this->settings.capacity.memory},
            {"gpu", 0}}},
          {"labels", {"a", this->settings.rack}},
          {"machine", this->settings.machine},
          {"clock_ms", this->ClockMs()},
          {"sequence", ++sequence},
          {"born", this->born_ms}};
      bool done = false;
      for (std::size_t i = 0; i < this->settings.control_plane.size() && !done;
           ++i) {
        const auto& to = this->settings.control_plane[target %
                                                      this->settings.control_plane.size()];
        const Response answer = Call(
            this->heartbeat_address.empty() ? to : this->heartbeat_address,
            "PUT", "/-/instances/" + this->settings.id, body.dump(), 1'000);
        done = answer.status == 200;
        const std::lock_guard lock(this->address_mutex);
        this->heartbeat_address =
            done && answer.body.is_object()
                ? answer.body.value("heartbeat_address", std::string())
                : "";
        if (!done) ++target;
      }
      if (done && drains) this->drain_acknowledged = true;
      next = this->record.NowMs() + (done ? 1'500 : 200);
    }
  }

  Settings settings;
  Record& record;
  OnStart on_start;
  Clock::time_point start;
  std::int64_t born_ms;
  std::mutex address_mutex;
  std::string heartbeat_address;
  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::string, Run> runs;
  std::map<std::string, int> highest_ended;
  std::vector<json> ends;
  std::uint64_t end_number = 0;
  std::uint64_t highest_token = 0;
  std::int64_t lease_until = 0;
  std::atomic<bool> gone{false};
  std::atomic<bool> silent{false};
  std::atomic<bool> draining{false};
  std::atomic<bool> beat_now{false};
  std::atomic<bool> drain_acknowledged{false};
  Server server;
  std::thread ticker;
  std::thread beater;
};

/// Three voters and one entry, started with the commands of the deploy file.
class Deployment {
 public:
  explicit Deployment(Record& record) : record(record) {
    const int pid = getpid();
    for (int i = 0; i < 200; ++i) {
      const int number = pid + 977 * i;
      this->network = "127." + std::to_string(70 + number % 150) + "." +
                      std::to_string((number / 150) % 250) + ".";
      if (this->IsFree()) break;
    }
    this->folder = std::filesystem::temp_directory_path() /
                   ("review-2-" + std::to_string(pid));
    std::filesystem::remove_all(this->folder);
    std::filesystem::create_directories(this->folder);
  }
  ~Deployment() {
    for (auto& [name, pid] : this->processes) {
      kill(pid, SIGCONT);
      kill(pid, SIGKILL);
      waitpid(pid, nullptr, 0);
    }
    if (std::getenv("KEEP") == nullptr) {
      std::filesystem::remove_all(this->folder);
    } else {
      std::fprintf(stderr, "logs in %s\n", this->folder.c_str());
    }
  }
  std::string Ip(int host) const { return this->network + std::to_string(host); }
  std::vector<std::string> ControlPlane() const {
    return {this->Ip(11) + ":8345", this->Ip(12) + ":8345",
            this->Ip(13) + ":8345"};
  }
  std::string Frontend(int entry = 0) const {
    return this->Ip(21 + entry) + ":8340";
  }
  std::string CloudAddress() const { return this->Ip(31) + ":8344"; }
  std::string AdviceAddress() const { return this->Ip(32) + ":8344"; }

  void StartVoter(int i, bool first) { this->Start("voter-" + std::to_string(i), this->Ip(11 + i), true, first); }
  void StartEntry(int i, bool first) { this->Start("entry-" + std::to_string(i), this->Ip(21 + i), false, first); }
  void StartAll(int entries = 1) {
    for (int i = 0; i < 3; ++i) this->StartVoter(i, true);
    for (int i = 0; i < entries; ++i) this->StartEntry(i, true);
  }
  void Signal(const std::string& name, int number) {
    kill(this->processes.at(name), number);
    this->record.Line("signal " + std::to_string(number) + " to " + name);
  }
  /// Waits for the end of a process that was killed or stopped.
  void Reap(const std::string& name) {
    waitpid(this->processes.at(name), nullptr, 0);
    this->processes.erase(name);
  }
  bool WaitReady(int entry = 0, std::int64_t patience_ms = 20'000) {
    const std::int64_t until = this->record.NowMs() + patience_ms;
    while (this->record.NowMs() < until) {
      if (Call(this->Ip(21 + entry) + ":8343", "GET", "/-/readiness", "", 1000)
              .status == 200) {
        return true;
      }
      Sleep(100);
    }
    return false;
  }
  /// The name of a daemon that has ended by itself, or "".
  std::string Ended() {
    for (const auto& [name, pid] : this->processes) {
      siginfo_t info{};
      if (waitid(P_PID, static_cast<id_t>(pid), &info,
                 WEXITED | WNOHANG | WNOWAIT) == 0 &&
          info.si_pid != 0) {
        return name;
      }
    }
    return "";
  }

  /// The operator's call: sent again, to the next daemon, until it is answered.
  Response Operate(const std::string& method, const std::string& path,
                   const std::string& body = "",
                   std::int64_t patience_ms = 15'000) {
    const std::int64_t until = this->record.NowMs() + patience_ms;
    Response response;
    std::size_t target = 0;
    while (this->record.NowMs() < until) {
      const auto all = this->ControlPlane();
      response = Call(all[target++ % all.size()], method, path, body, 1'000);
      if (response.status >= 200 && response.status < 500 &&
          response.status != 408 && response.status != 429) {
        break;
      }
      Sleep(100);
    }
    this->record.Line("operator: " + method + " " + path + " -> " +
                      std::to_string(response.status) + " " +
                      (response.body.is_discarded() || response.body.is_null()
                           ? ""
                           : response.body.dump().substr(0, 80)));
    return response;
  }
  /// A client's call, once.
  Response Client(const std::string& method, const std::string& host,
                  const std::string& path, const std::string& body = "",
                  const std::string& key = "", int entry = 0) {
    std::vector<std::pair<std::string, std::string>> headers{
        {"Host", host}, {"X-Deadline-Ms", "3000"}};
    if (!key.empty()) headers.emplace_back("Authorization", "Bearer " + key);
    const Response response =
        Call(this->Frontend(entry), method, path, body, 3'000, headers);
    this->record.Line("client: " + method + " " + path + " -> " +
                      std::to_string(response.status) + " " +
                      (response.body.is_discarded() || response.body.is_null()
                           ? ""
                           : response.body.dump().substr(0, 120)));
    return response;
  }
  /// Hands a job in until it is answered with a clear yes or no.
  Response Submit(const std::string& host, const std::string& path,
                  const json& job, const std::string& key = "") {
    Response response;
    for (int i = 0; i < 5; ++i) {
      response = this->Client("POST", host, path, job.dump(), key);
      if (response.status == 200) break;
      Sleep(500);
    }
    return response;
  }

 private:
  /// True if the ports of the daemons are free at this network's addresses.
  bool IsFree() const {
    for (const auto& [host, port] :
         {std::pair(11, 8345), std::pair(11, 7000), std::pair(21, 8340),
          std::pair(31, 8344), std::pair(41, 8080)}) {
      const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      const sockaddr_in address = Address(this->Ip(host), port);
      const bool free =
          bind(fd, reinterpret_cast<const sockaddr*>(&address),
               sizeof(address)) == 0;
      close(fd);
      if (!free) return false;
    }
    return true;
  }

  void Start(const std::string& name, const std::string& ip, bool voter,
             bool first) {
    json settings{
        {"node_name", name},
        {"role", voter ? "voter" : "entry"},
        {"machine_class", voter ? "core" : "frontend"},
        {"serves", {voter ? "control_plane" : "frontend"}},
        {"ip", ip},
        {"zone", "zone-a"},
        {"region", "region-a"},
        {"zones", {{"zone-a", "region-a"}}},
        {"internal_port_range", {7000, 7015}},
        {"seed_nodes", this->ControlPlane()},
        {"bootstrap", first},
        {"tolerance_counted", voter},
        {"limits",
         {{"cpu_share", 0.35},
          {"cpu_cores", 1},
          {"memory_mb", 256},
          {"max_file_descriptors", 4096},
          {"link_bandwidth_mbps", 1000.0},
          {"disk_mb", voter ? 128 : 0}}},
        {"data_directory", nullptr},
        {"discovery", "registration"},
        {"entry", "virtual_ip"},
        {"heartbeat_interval_ms", 1500},
        {"contracts",
         {"base", "drain", "config", "cost", "recover", "sched", "tenants",
          "quota", "advice", "upkeep", "sharing"}},
        {"fault_tolerance", {{"machines", 1}, {"zones", 0}, {"regions", 0}}},
        {"bounds", {{"max_hold_ms", 10000}, {"stop_timeout_ms", 400}}},
        {"config_mode", "highest"},
        {"orders", "call"},
        {"recommendation", this->AdviceAddress()},
        {"cloud_api",
         {{"address", this->CloudAddress()},
          {"rate_per_s", 64.0},
          {"duties", json::array()},
          {"duty_per_s", 64.0}}}};
    if (voter) {
      settings["listen_addresses"] = {{"control_plane", ip + ":8345"}};
      settings["data_directory"] = (this->folder / ("data-" + name)).string();
    } else {
      settings["listen_addresses"] = {{"frontend", ip + ":8340"},
                                      {"readiness", ip + ":8343"}};
    }
    const std::string file = (this->folder / (name + ".json")).string();
    std::ofstream(file) << settings.dump();
    const std::string log = (this->folder / (name + ".log")).string();
    const pid_t pid = fork();
    if (pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(out, 1);
      dup2(out, 2);
      setenv("MIMOSASTAGE_BOOT", file.c_str(), 1);
      execl("target/bin/mimosastage_platform",
            "target/bin/mimosastage_platform", nullptr);
      _exit(127);
    }
    this->processes[name] = pid;
    this->record.Line("starts " + name + " at " + ip);
  }

  Record& record;
  std::string network;
  std::filesystem::path folder;
  std::map<std::string, pid_t> processes;
};

/// The platform's interface for machines. Where an instance is taken down, its
/// worker ends at once, and another joins after `upkeep_ms` or `move_ms`.
class Cloud {
 public:
  struct Machine {
    std::string name;
    std::string ip;
    std::string pool;
    std::string rack;
    Resources capacity;
    std::string state = "up";
    std::unique_ptr<Worker> worker;
    std::int64_t back_at = -1;
    int lives = 0;
  };
  Cloud(Deployment& deployment, Record& record, Worker::OnStart on_start)
      : deployment(deployment),
        record(record),
        on_start(std::move(on_start)),
        server(Split(deployment.CloudAddress()).first, 8344,
               [this](const Message& m) { return this->Handle(m); }),
        ticker([this] { this->Tick(); }) {}
  ~Cloud() {
    this->stopping = true;
    this->ticker.join();
    this->server.Stop();
  }
  void Add(const std::string& name, const std::string& pool, int host,
           const std::string& rack, Resources capacity = {}) {
    const std::lock_guard lock(this->mutex);
    Machine& machine = this->machines[name];
    machine.name = name;
    machine.ip = this->deployment.Ip(host);
    machine.pool = pool;
    machine.rack = rack;
    machine.capacity = capacity;
    this->Join(machine);
  }
  std::set<std::string> standby;  // set before machines are added
  /// Called before a worker starts.
  std::function<void(Worker::Settings&)> on_join;
  std::int64_t upkeep_ms = 2'000;
  std::int64_t move_ms = 1'500;
  std::mutex mutex;
  std::map<std::string, Machine> machines;
  std::map<std::uint64_t, std::set<std::string>> waves;
  std::function<void(const std::string& machine)> on_upkeep;

 private:
  void Join(Machine& machine) {
    machine.state = "up";
    machine.back_at = -1;
    if (this->standby.contains(machine.pool)) return;
    Worker::Settings settings;
    settings.id = "i-" + machine.name + "-" + std::to_string(++machine.lives);
    settings.ip = machine.ip;
    settings.machine = machine.name;
    settings.service = machine.pool;
    settings.zone = "zone-a";
    settings.rack = machine.rack;
    settings.capacity = machine.capacity;
    settings.control_plane = this->deployment.ControlPlane();
    if (this->on_join) this->on_join(settings);
    machine.worker =
        std::make_unique<Worker>(settings, this->record, this->on_start);
  }
  std::pair<int, json> Handle(const Message& m) {
    const std::string path = m.first.substr(0, m.first.rfind(' '));
    const std::lock_guard lock(this->mutex);
    if (path.starts_with("GET /-/machines")) {
      json list = json::array();
      for (const auto& [name, machine] : this->machines) {
        list.push_back({{"machine", name},
                        {"pool", machine.pool},
                        {"state", machine.state},
                        {"zone", "zone-a"},
                        {"labels", {"a", machine.rack}},
                        {"capacity",
                         {{"cpu", machine.capacity.cpu},
                          {"memory_request_mb", machine.capacity.memory},
                          {"gpu", 0}}},
                        {"id", machine.worker == nullptr
                                   ? ""
                                   : machine.worker->settings_of().id}});
      }
      return {200, {{"machines", list}, {"next_page_token", ""}}};
    }
    const json body = json::parse(m.body, nullptr, false);
    const auto found = body.is_object()
                           ? this->machines.find(body.value("machine", ""))
                           : this->machines.end();
    if (found == this->machines.end()) return {400, json::object()};
    Machine& machine = found->second;
    const bool move = path == "POST /-/machine-move";
    this->record.Line("platform: " + path + " " + body.dump());
    if (move && machine.pool == body.value("pool", "")) {
      return {200, json::object()};
    }
    const std::uint64_t wave = move ? 0 : body.value("wave", std::uint64_t{0});
    if (!move && this->begun.contains({wave, machine.name})) {
      return {200, json::object()};
    }
    if (!move && !this->waves[wave].contains(machine.name)) {
      return {409, {{"reason", "wave"}}};
    }
    if (machine.state != "up") return {409, {{"reason", "busy"}}};
    if (machine.worker != nullptr) {
      machine.worker->Crash();
      machine.worker.reset();
    }
    machine.state = move ? "moving" : "upkeep";
    machine.back_at =
        this->record.NowMs() + (move ? this->move_ms : this->upkeep_ms);
    if (move) {
      machine.pool = body.value("pool", "");
    } else {
      this->begun.insert({wave, machine.name});
    }
    return {200, json::object()};
  }
  void Tick() {
    while (!this->stopping) {
      {
        const std::lock_guard lock(this->mutex);
        for (auto& [name, machine] : this->machines) {
          if (machine.back_at >= 0 && this->record.NowMs() >= machine.back_at) {
            this->Join(machine);
          }
        }
      }
      Sleep(20);
    }
  }

  Deployment& deployment;
  Record& record;
  Worker::OnStart on_start;
  std::set<std::pair<std::uint64_t, std::string>> begun;
  std::atomic<bool> stopping{false};
  Server server;
  std::thread ticker;
};

inline json Route(const std::string& name, const std::string& host,
                  const std::string& prefix, const std::string& service) {
  return json{{"name", name},          {"host", host},
              {"path_prefix", prefix}, {"kind", "non_idempotent"},
              {"timeout_ms", 3000},    {"target_duration_ms", 600},
              {"priority", 0},         {"service", service},
              {"max_attempts", 4},     {"stretch", 1.6},
              {"public", true}};
}
inline json Service(const std::string& name, bool standby = false) {
  return json{{"name", name},      {"health_check_path", "/health"},
              {"max_connections", 64}, {"protocol", "h1"},
              {"tls", false},      {"rejects_overload", false},
              {"standby", standby}};
}
inline json Configuration(int version, const std::vector<json>& routes,
                          const std::vector<json>& services) {
  return json{{"version", version},
              {"routes", routes},
              {"services", services},
              {"limits",
               {{"max_header_bytes", 16384},
                {"max_body_bytes", 262144},
                {"header_timeout_ms", 3000},
                {"idle_timeout_ms", 15000}}},
              {"tenants", json::array()}};
}
inline bool Trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

}  // namespace rig
