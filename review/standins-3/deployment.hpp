// A small deployment on loopback addresses for the scripts of this review: the
// project's own programs as separate processes, and stand-ins for the workers,
// the platform's list of machines, clients and the operator. The stand-ins
// follow PROTOCOL.md and DEPLOY.md; where a page is silent, they behave like a
// sound peer.
#pragma once

#include <arpa/inet.h>
#include <csignal>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>
#include <fcntl.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace deployment {

using nlohmann::json;
using Steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr int kHeld = 0;         // exit status: the rule held
constexpr int kBroken = 1;       // the rule was broken
constexpr int kNotPossible = 2;  // the case couldn't run

inline void SleepMs(std::int64_t ms) {
  std::this_thread::sleep_for(milliseconds(ms));
}

/// False if TROUBLE=0 asks for a run without the disruption.
inline bool WithTrouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

/// The script's record: one line for each thing sent, answered or run, with
/// the seconds since the start.
class Record {
 public:
  explicit Record(const char* path) : out(path) {}

  double Seconds() const {
    return std::chrono::duration<double>(Steady::now() - this->begin).count();
  }

  void operator()(const std::string& line) {
    const std::lock_guard lock(this->mutex);
    char stamp[32];
    std::snprintf(stamp, sizeof(stamp), "%8.3f s  ", this->Seconds());
    this->out << stamp << line << '\n' << std::flush;
  }

 private:
  std::mutex mutex;
  std::ofstream out;
  const Steady::time_point begin = Steady::now();
};

struct Endpoint {
  std::string ip;
  int port = 0;
  std::string Text() const { return this->ip + ":" + std::to_string(this->port); }
  static Endpoint Parse(const std::string& text) {
    const auto colon = text.rfind(':');
    return {text.substr(0, colon), std::atoi(text.c_str() + colon + 1)};
  }
  sockaddr_in Socket() const {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(this->port));
    inet_pton(AF_INET, this->ip.c_str(), &address.sin_addr);
    return address;
  }
};

struct Request {
  std::string method;
  std::string path;
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;
  json Json() const { return json::parse(this->body, nullptr, false); }
};

struct Reply {
  int status = 0;  // 0: none
  json body;
};

/// A socket that is closed with its object.
class Socket {
 public:
  explicit Socket(int fd) : fd(fd) {}
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;
  ~Socket() { close(this->fd); }

  bool WaitFor(short events, Steady::time_point until) const {
    const auto left =
        std::chrono::duration_cast<milliseconds>(until - Steady::now()).count();
    pollfd entry{this->fd, events, 0};
    return left > 0 && poll(&entry, 1, static_cast<int>(left)) == 1;
  }

  bool Send(const std::string& bytes) const {
    for (std::size_t sent = 0; sent < bytes.size();) {
      const ssize_t n = send(this->fd, bytes.data() + sent, bytes.size() - sent,
                             MSG_NOSIGNAL);
      if (n <= 0) return false;
      sent += static_cast<std::size_t>(n);
    }
    return true;
  }

  /// Reads until a whole HTTP message is in `input`. Returns its length, or 0
  /// at the end of the connection or at `until`.
  std::size_t ReadMessage(std::string& input, Steady::time_point until) const {
    while (true) {
      if (const auto end = input.find("\r\n\r\n"); end != std::string::npos) {
        const std::size_t whole = end + 4 + BodyLength(input.substr(0, end));
        if (input.size() >= whole) return whole;
      }
      if (!this->WaitFor(POLLIN, until)) return 0;
      char chunk[8192];
      const ssize_t n = recv(this->fd, chunk, sizeof(chunk), 0);
      if (n <= 0) return 0;
      input.append(chunk, static_cast<std::size_t>(n));
    }
  }

  const int fd;

 private:
  static std::size_t BodyLength(std::string head) {
    for (char& c : head) c = static_cast<char>(std::tolower(c));
    const auto at = head.find("\r\ncontent-length:");
    return at == std::string::npos ? 0 : std::strtoul(head.c_str() + at + 17, nullptr, 10);
  }
};

inline Request ParseRequest(const std::string& text) {
  Request request;
  std::istringstream lines(text);
  std::string version;
  lines >> request.method >> request.path >> version;
  std::string line;
  std::getline(lines, line);
  while (std::getline(lines, line) && line != "\r") {
    const auto colon = line.find(':');
    if (colon == std::string::npos) continue;
    std::string name = line.substr(0, colon);
    for (char& c : name) c = static_cast<char>(std::tolower(c));
    std::string value = line.substr(line.find_first_not_of(' ', colon + 1));
    while (!value.empty() && (value.back() == '\r')) value.pop_back();
    request.headers[name] = value;
  }
  request.body = text.substr(text.find("\r\n\r\n") + 4);
  return request;
}

/// Sends one request on a connection of its own and waits for the answer.
inline Reply Call(const Endpoint& to, const std::string& method,
                  const std::string& path, const json& body,
                  std::int64_t timeout_ms,
                  const std::map<std::string, std::string>& headers = {}) {
  const auto until = Steady::now() + milliseconds(timeout_ms);
  const Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  fcntl(socket.fd, F_SETFL, O_NONBLOCK);
  const sockaddr_in address = to.Socket();
  if (connect(socket.fd, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    int error = 0;
    socklen_t size = sizeof(error);
    if (errno != EINPROGRESS || !socket.WaitFor(POLLOUT, until) ||
        getsockopt(socket.fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
        error != 0) {
      return {};
    }
  }
  fcntl(socket.fd, F_SETFL, 0);
  const std::string content = body.is_null() ? "" : body.dump();
  std::string text = method + " " + path + " HTTP/1.1\r\n";
  if (!headers.contains("Host")) text += "Host: " + to.Text() + "\r\n";
  for (const auto& [name, value] : headers) text += name + ": " + value + "\r\n";
  if (!content.empty()) text += "Content-Type: application/json\r\n";
  text += "Content-Length: " + std::to_string(content.size()) + "\r\n\r\n" + content;
  std::string input;
  if (!socket.Send(text)) return {};
  const std::size_t whole = socket.ReadMessage(input, until);
  if (whole == 0) return {};
  Reply reply;
  reply.status = std::atoi(input.c_str() + input.find(' '));
  reply.body = json::parse(input.substr(input.find("\r\n\r\n") + 4), nullptr, false);
  return reply;
}

/// A server with a thread for each connection. Closing it resets or ends all
/// connections, like the end of a process.
class Server {
 public:
  /// No value: the request gets no answer.
  using Handler = std::function<std::optional<Reply>(const Request&)>;

  Server(const Endpoint& at, Handler handler) : handler(std::move(handler)) {
    this->listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int yes = 1;
    setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    const sockaddr_in address = at.Socket();
    if (bind(this->listener, reinterpret_cast<const sockaddr*>(&address),
             sizeof(address)) != 0 ||
        listen(this->listener, 128) != 0) {
      throw std::runtime_error("can't listen on " + at.Text());
    }
    this->accepting = std::thread([this] { this->Accept(); });
  }
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;
  ~Server() {
    this->stopping = true;
    this->accepting.join();
    close(this->listener);
    std::list<std::thread> all;
    {
      const std::lock_guard lock(this->mutex);
      for (const int fd : this->open) shutdown(fd, SHUT_RDWR);
      all.swap(this->serving);
    }
    for (std::thread& one : all) one.join();
  }

 private:
  void Accept() {
    while (!this->stopping) {
      pollfd entry{this->listener, POLLIN, 0};
      if (poll(&entry, 1, 20) != 1) continue;
      const int fd = accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) continue;
      const std::lock_guard lock(this->mutex);
      this->open.insert(fd);
      this->serving.emplace_back([this, fd] { this->Serve(fd); });
    }
  }
  void Serve(int fd) {
    {
      const int yes = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
      const Socket socket(fd);
      std::string input;
      while (!this->stopping) {
        const std::size_t whole =
            socket.ReadMessage(input, Steady::now() + std::chrono::hours(1));
        if (whole == 0) break;
        const auto reply = this->handler(ParseRequest(input.substr(0, whole)));
        input.erase(0, whole);
        if (!reply.has_value()) continue;
        const std::string body = reply->body.dump();
        if (!socket.Send("HTTP/1.1 " + std::to_string(reply->status) +
                         " Status\r\nContent-Type: application/json\r\n"
                         "Content-Length: " + std::to_string(body.size()) +
                         "\r\n\r\n" + body)) {
          break;
        }
      }
      const std::lock_guard lock(this->mutex);
      this->open.erase(fd);
    }
  }

  Handler handler;
  int listener = -1;
  std::atomic<bool> stopping{false};
  std::thread accepting;
  std::mutex mutex;
  std::set<int> open;
  std::list<std::thread> serving;
};

/// A process of the project's program.
class Daemon {
 public:
  Daemon(std::string name, std::vector<std::string> command,
         std::filesystem::path settings, std::filesystem::path output)
      : name(std::move(name)),
        command(std::move(command)),
        settings(std::move(settings)),
        output(std::move(output)) {}
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;
  ~Daemon() { this->Kill(); }

  void Start() {
    this->pid = fork();
    if (this->pid != 0) return;
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out = open(this->output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    std::vector<char*> arguments;
    for (std::string& word : this->command) arguments.push_back(word.data());
    arguments.push_back(nullptr);
    std::string boot = "MIMOSASTAGE_BOOT=" + this->settings.string();
    std::string path = "PATH=/usr/bin:/bin";
    char* environment[] = {boot.data(), path.data(), nullptr};
    execve(arguments[0], arguments.data(), environment);
    _exit(127);
  }
  void Signal(int signal) const {
    if (this->pid > 0) kill(this->pid, signal);
  }
  void Kill() {
    if (this->pid <= 0) return;
    kill(this->pid, SIGKILL);
    waitpid(this->pid, nullptr, 0);
    this->pid = -1;
  }
  /// True if the process has ended by itself.
  bool HasEnded() const {
    return this->pid > 0 && waitpid(this->pid, nullptr, WNOHANG) == this->pid;
  }
  bool Logs(const std::string& text) const {
    std::ifstream in(this->output);
    std::string line;
    while (std::getline(in, line)) {
      if (line.find(text) != std::string::npos) return true;
    }
    return false;
  }

  const std::string name;

 private:
  std::vector<std::string> command;
  std::filesystem::path settings;
  std::filesystem::path output;
  pid_t pid = -1;
};

inline const std::vector<std::string>& Zones() {
  static const std::vector<std::string> zones{"bogota", "medellin", "cali"};
  return zones;
}

/// Three core machines and one frontend machine, with the settings of
/// cancha-bog.
class System {
 public:
  System(Record& record, const std::string& data_folder_prefix = "review-3-")
      : record(record) {
    std::string pattern =
        (std::filesystem::temp_directory_path() / (data_folder_prefix + "XXXXXX"))
            .string();
    if (mkdtemp(pattern.data()) == nullptr) {
      throw std::runtime_error("no temporary folder");
    }
    this->folder = pattern;
    std::random_device random;
    this->net = "127." + std::to_string(64 + random() % 128) + "." +
                std::to_string(2 * (1 + random() % 120));
    this->workers_net =
        this->net.substr(0, this->net.rfind('.') + 1) +
        std::to_string(std::atoi(this->net.substr(this->net.rfind('.') + 1).c_str()) + 1);
    for (int i = 1; i <= 3; ++i) {
      this->control.push_back({this->net + "." + std::to_string(i), 8345});
    }
    this->front = {this->net + ".11", 8340};
    this->platform = {this->net + ".21", 8344};
  }
  ~System() {
    this->core.clear();
    this->frontend.reset();
    std::error_code ignored;
    std::filesystem::remove_all(this->folder, ignored);
  }

  Endpoint WorkerAddress(int number) const {
    return {this->workers_net + "." + std::to_string(number), 8080};
  }

  void Start() {
    for (std::size_t i = 0; i < this->control.size(); ++i) {
      const std::string name = "core-" + Zones()[i] + "-1";
      this->core.push_back(this->MakeDaemon(
          name, this->control[i].ip, Zones()[i], true,
          {"target/bin/mimosastage_platform", "--learn_run_times"}));
    }
    this->frontend = this->MakeDaemon("frontend-bogota-1", this->front.ip, "bogota",
                                      false, {"target/bin/mimosastage_platform"});
    for (auto& daemon : this->core) daemon->Start();
    this->frontend->Start();
    this->record("3 core daemons and 1 frontend daemon started");
  }

  /// Sends a configuration until it has a clear answer.
  int Configure(const json& configuration) {
    for (int i = 0; i < 40; ++i) {
      const Reply reply = Call(this->control[static_cast<std::size_t>(i) % 3], "PUT",
                               "/-/configuration", configuration, 1'000);
      if (reply.status == 200 || (reply.status >= 400 && reply.status < 500)) {
        this->record("operator: PUT version " +
                     configuration.at("version").dump() + " -> " +
                     std::to_string(reply.status));
        return reply.status;
      }
      SleepMs(250);
    }
    return 0;
  }

  /// Index of the core daemon that leads, by its log; nullopt if unknown.
  std::optional<std::size_t> Leader() const {
    for (std::size_t i = 0; i < this->core.size(); ++i) {
      if (this->core[i]->Logs("\"term_began\"") &&
          !this->core[i]->Logs("\"term_ended\"")) {
        return i;
      }
    }
    return std::nullopt;
  }

  Record& record;
  std::filesystem::path folder;
  std::string net;
  std::string workers_net;
  std::vector<Endpoint> control;
  Endpoint front;
  Endpoint platform;
  std::vector<std::unique_ptr<Daemon>> core;
  std::unique_ptr<Daemon> frontend;

 private:
  std::unique_ptr<Daemon> MakeDaemon(const std::string& name, const std::string& ip,
                                     const std::string& zone, bool is_core,
                                     std::vector<std::string> command) {
    json zones = json::object();
    for (const std::string& known : Zones()) zones[known] = "andina";
    json seeds = json::array();
    for (const Endpoint& seed : this->control) seeds.push_back(seed.Text());
    const auto data = this->folder / (name + "-data");
    if (is_core) std::filesystem::create_directories(data);
    json settings{
        {"node_name", name},
        {"role", is_core ? "voter" : "entry"},
        {"machine_class", is_core ? "core" : "frontend"},
        {"serves", {is_core ? "control_plane" : "frontend"}},
        {"ip", ip},
        {"zone", zone},
        {"region", "andina"},
        {"zones", zones},
        {"internal_port_range", {7000, 7015}},
        {"seed_nodes", seeds},
        {"bootstrap", true},
        {"tolerance_counted", is_core},
        {"limits",
         {{"cpu_share", is_core ? 0.35 : 0.25},
          {"cpu_cores", 1},
          {"memory_mb", is_core ? 256 : 260},
          {"max_file_descriptors", is_core ? 4096 : 4100},
          {"link_bandwidth_mbps", is_core ? 200.0 : 1000.0},
          {"disk_mb", is_core ? 128 : 0}}},
        {"data_directory", is_core ? json(data.string()) : json(nullptr)},
        {"discovery", "registration"},
        {"entry", "virtual_ip"},
        {"heartbeat_interval_ms", 1500},
        {"fault_tolerance", {{"machines", 1}, {"zones", 0}, {"regions", 0}}},
        {"bounds",
         {{"max_hold_ms", 10000}, {"stop_timeout_ms", 400}, {"cancel_ms", 3000},
          {"visible_ms", 3000}, {"drain_ms", 2000}, {"lease_ms", 3000},
          {"config_apply_ms", 2000}, {"contact_ms", 3000}, {"status_s", 120},
          {"migration_s", 1.5}, {"maintenance_s", 2}, {"fencing_required", false}}},
        {"config_mode", "highest"},
        {"orders", "call"},
        {"cloud_api",
         {{"address", this->platform.Text()}, {"rate_per_s", 64.0},
          {"duties", json::array()}, {"duty_per_s", 64.0}}}};
    if (is_core) {
      settings["listen_addresses"] = {{"control_plane", ip + ":8345"}};
    } else {
      settings["listen_addresses"] = {{"frontend", ip + ":8340"},
                                      {"readiness", ip + ":8343"}};
    }
    const auto file = this->folder / (name + ".json");
    std::ofstream(file) << settings.dump(1);
    return std::make_unique<Daemon>(name, std::move(command), file,
                                    this->folder / (name + ".log"));
  }
};

/// One life of a worker. The specification of a task says what it does: a
/// number is its work in milliseconds; "lasts" works until it is stopped.
class Worker {
 public:
  struct Place {
    std::string id;
    Endpoint address;
    std::string machine;
    std::string service;
    std::string zone;
    std::string rack;
    std::string kind = "kind-a";
  };
  struct Started {
    double at_s = 0;
    std::string worker;
    std::string task;
    int run = 0;
  };
  struct Ended {
    double at_s = 0;
    std::string worker;
    std::string task;
    int run = 0;
    std::string how;
  };
  /// A stop order for a run that was there.
  struct Stopped {
    double at_s = 0;
    std::string worker;
    std::string task;
    int run = 0;
  };
  /// What all workers have run.
  struct History {
    std::mutex mutex;
    std::vector<Started> started;
    std::vector<Ended> ended;
    std::vector<Stopped> stopped;
    /// Ends that `last_seen` has reached.
    std::vector<Ended> acknowledged;
  };

  /// True for a start order that gets no answer and isn't carried out now.
  using HoldsBack = std::function<bool(const Request& start)>;

  Worker(Place place, const System& system, Record& record, History& history,
         HoldsBack holds_back = nullptr)
      : place(std::move(place)),
        control(system.control),
        record(record),
        history(history),
        holds_back(std::move(holds_back)),
        server(std::make_unique<Server>(
            this->place.address,
            [this](const Request& request) { return this->Handle(request); })) {
    this->record("worker " + this->place.id + " of " + this->place.service + " on " +
                 this->place.machine + " starts");
    this->keeping = std::thread([this] { this->Keep(); });
    this->beating = std::thread([this] { this->Beat(); });
  }
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;
  /// A crash: what runs is gone, connections break and new ones are refused.
  ~Worker() {
    {
      const std::lock_guard lock(this->mutex);
      this->gone = true;
      for (const auto& [task, run] : this->runs) {
        this->Note(task, run.number, "lost with its worker");
      }
      this->runs.clear();
    }
    this->changed.notify_all();
    this->server.reset();
    this->keeping.join();
    this->beating.join();
  }

  void Drain() {
    const std::lock_guard lock(this->mutex);
    this->draining = true;
    this->beat_now = true;
    this->changed.notify_all();
  }
  /// Seconds of the record at which `draining` was acknowledged.
  std::optional<double> DrainAcknowledged() {
    const std::lock_guard lock(this->mutex);
    return this->drain_acknowledged;
  }
  /// Carries out an order that came before; it gets no answer. Returns the
  /// status that the answer would have had.
  int CarryOutLate(const Request& order) {
    const auto reply = this->Handle(order);
    return reply.has_value() ? reply->status : 0;
  }
  /// How many tasks that last are at work.
  std::size_t AtWork() {
    const std::lock_guard lock(this->mutex);
    std::size_t count = 0;
    for (const auto& [task, run] : this->runs) {
      count += !run.work_ms.has_value() &&
                       Steady::now() - run.begun >= milliseconds(kStartupMs)
                   ? 1
                   : 0;
    }
    return count;
  }
  std::map<std::string, int> Running() {
    const std::lock_guard lock(this->mutex);
    std::map<std::string, int> names;
    for (const auto& [task, run] : this->runs) names[task] = run.number;
    return names;
  }

  const Place place;

 private:
  struct Run {
    int number = 0;
    Steady::time_point begun;
    std::optional<double> work_ms;  // none: it lasts
    std::optional<Steady::time_point> stops_at;
  };
  struct End {
    std::uint64_t number;
    std::string task;
    int run;
    std::string how;
  };

  static constexpr double kFirstClockMs = 400'000;
  static constexpr double kMaxHoldMs = 10'000;
  static constexpr int kStopMs = 60;
  /// A task that lasts is at work this long after its start.
  static constexpr int kStartupMs = 300;

  double ClockMs() const {
    return kFirstClockMs +
           std::chrono::duration<double, std::milli>(Steady::now() - this->born).count();
  }
  json Base() const {
    return json{{"clock_ms", static_cast<std::int64_t>(this->ClockMs())}};
  }
  std::optional<Reply> Refusal(const char* reason) const {
    json body = this->Base();
    body["reason"] = reason;
    return Reply{409, body};
  }

  void Note(const std::string& task, int run, const std::string& how) {
    this->record("run " + task + " " + std::to_string(run) + " on " + this->place.id +
                 " ends: " + how);
    const std::lock_guard lock(this->history.mutex);
    this->history.ended.push_back(
        {this->record.Seconds(), this->place.id, task, run, how});
  }
  void Finish(std::map<std::string, Run>::iterator run, const std::string& how) {
    this->Note(run->first, run->second.number, how);
    int& highest = this->highest_ended[run->first];
    highest = std::max(highest, run->second.number);
    this->ends.push_back({++this->last_end, run->first, run->second.number, how});
    this->runs.erase(run);
    this->changed.notify_all();
  }

  /// Ends what is done, was stopped or has lost its lease.
  void Keep() {
    std::unique_lock lock(this->mutex);
    while (!this->gone) {
      const auto now = Steady::now();
      const bool lapsed = this->ClockMs() > this->deadline_ms;
      for (auto run = this->runs.begin(); run != this->runs.end();) {
        const auto next = std::next(run);
        const double worked =
            std::chrono::duration<double, std::milli>(now - run->second.begun).count();
        if (lapsed) {
          this->Finish(run, "lapsed");
        } else if (run->second.stops_at.has_value() && now >= *run->second.stops_at) {
          this->Finish(run, "stopped");
        } else if (run->second.work_ms.has_value() && worked >= *run->second.work_ms) {
          this->Finish(run, "done");
        }
        run = next;
      }
      this->changed.wait_for(lock, milliseconds(5));
    }
  }

  void Beat() {
    std::int64_t sequence = 0;
    std::size_t next = 0;
    std::string told;
    std::unique_lock lock(this->mutex);
    while (!this->gone) {
      this->beat_now = false;
      const bool says_draining = this->draining;
      json body{{"service", this->place.service},
                {"address", this->place.address.Text()},
                {"zone", this->place.zone},
                {"version", "v1"},
                {"slots", 8},
                {"state", says_draining ? "draining" : "ready"},
                {"cold_remaining_ms", 0},
                {"capacity",
                 {{"cpu", 32'000}, {"memory_request_mb", 128'000}, {"gpu", 0}}},
                {"labels", {this->place.kind, this->place.rack}},
                {"machine", this->place.machine},
                {"born", this->born_unix_ms},
                {"sequence", ++sequence}};
      body["clock_ms"] = this->Base()["clock_ms"];
      if (says_draining) body["remaining_ms"] = 8'000;
      lock.unlock();
      const Endpoint to =
          told.empty() ? this->control[next % this->control.size()] : Endpoint::Parse(told);
      const Reply reply =
          Call(to, "PUT", "/-/instances/" + this->place.id, body, 1'000);
      const bool accepted = reply.status >= 200 && reply.status < 300;
      told = accepted && reply.body.is_object()
                 ? reply.body.value("heartbeat_address", std::string())
                 : std::string();
      if (!accepted) ++next;
      lock.lock();
      if (accepted && says_draining && !this->drain_acknowledged.has_value()) {
        this->drain_acknowledged = this->record.Seconds();
        this->record("worker " + this->place.id + " reports draining -> " +
                     std::to_string(reply.status));
      }
      this->changed.wait_for(lock, milliseconds(accepted ? 1'500 : 100),
                             [this] { return this->gone || this->beat_now; });
    }
  }

  std::optional<Reply> Handle(const Request& request) {
    std::unique_lock lock(this->mutex);
    if (this->gone) return std::nullopt;
    if (request.path == "/health") return Reply{200, json::object()};
    if (const auto expected = request.headers.find("x-expected-instance");
        expected != request.headers.end() && expected->second != this->place.id) {
      return Reply{421, json::object()};
    }
    const json order = request.Json();
    if (!order.is_object()) return Reply{400, this->Base()};
    if (request.path == "/-/run-start" && this->holds_back && this->holds_back(request)) {
      return std::nullopt;
    }
    const auto token = order.value("fencing_token", std::uint64_t{0});
    if (token < this->highest_token) return this->Refusal("fence");
    this->highest_token = token;
    if (request.path == "/-/hold") return this->Hold(order, lock);
    const std::string task = order.value("task", std::string());
    const int number = order.value("run", 0);
    const auto found = this->runs.find(task);
    if (request.path == "/-/run-stop") {
      int& highest = this->highest_ended[task];
      highest = std::max(highest, number);
      this->record("order: stop " + task + " run " + std::to_string(number) + " to " +
                   this->place.id);
      if (found != this->runs.end() && found->second.number == number &&
          !found->second.stops_at.has_value()) {
        found->second.stops_at = Steady::now() + milliseconds(kStopMs);
        const std::lock_guard history_lock(this->history.mutex);
        this->history.stopped.push_back(
            {this->record.Seconds(), this->place.id, task, number});
      }
      return Reply{200, this->Base()};
    }
    if (request.path == "/-/pace") return Reply{200, this->Base()};
    if (request.path != "/-/run-start") return Reply{404, json::object()};
    if (found != this->runs.end() && found->second.number == number) {
      this->Extend(order);
      return Reply{200, this->Base()};
    }
    if (const auto ended = this->highest_ended.find(task);
        (ended != this->highest_ended.end() && number <= ended->second) ||
        found != this->runs.end()) {
      this->Extend(order);
      return this->Refusal("old");
    }
    if (order.value("deadline_ms", 0.0) < this->ClockMs()) return this->Refusal("late");
    this->Extend(order);
    const std::string specification = order.value("specification", std::string());
    Run run;
    run.number = number;
    run.begun = Steady::now();
    if (specification != "lasts") run.work_ms = std::atof(specification.c_str());
    this->runs[task] = run;
    this->record("run " + task + " " + std::to_string(number) + " starts on " +
                 this->place.id);
    {
      const std::lock_guard history_lock(this->history.mutex);
      this->history.started.push_back(
          {this->record.Seconds(), this->place.id, task, number});
    }
    return Reply{200, this->Base()};
  }

  void Extend(const json& order) {
    const double asked = order.value("deadline_ms", 0.0);
    this->deadline_ms =
        std::max(this->deadline_ms, std::min(asked, this->ClockMs() + kMaxHoldMs));
  }

  std::optional<Reply> Hold(const json& order, std::unique_lock<std::mutex>& lock) {
    this->Extend(order);
    const auto seen = order.value("last_seen", std::uint64_t{0});
    std::erase_if(this->ends, [&](const End& end) {
      if (end.number > seen) return false;
      this->record("end of " + end.task + " run " + std::to_string(end.run) + " (" +
                   end.how + ") on " + this->place.id + " is taken note of");
      const std::lock_guard history_lock(this->history.mutex);
      this->history.acknowledged.push_back(
          {this->record.Seconds(), this->place.id, end.task, end.run, end.how});
      return true;
    });
    this->changed.wait_for(lock, milliseconds(order.value("wait_ms", 0)),
                           [this] { return this->gone || !this->ends.empty(); });
    if (this->gone) return std::nullopt;
    json body = this->Base();
    body["born"] = this->born_unix_ms;
    body["running"] = json::array();
    for (const auto& [task, run] : this->runs) {
      const double worked =
          std::chrono::duration<double, std::milli>(Steady::now() - run.begun).count();
      const int percent =
          run.work_ms.has_value()
              ? std::min(99, static_cast<int>(100 * worked / *run.work_ms))
              : (worked >= kStartupMs ? 100 : 50);
      body["running"].push_back({task, run.number, "", percent});
    }
    body["ended_runs"] = json::array();
    for (const End& end : this->ends) {
      body["ended_runs"].push_back({end.number, end.task, end.run, end.how, ""});
      if (body["ended_runs"].size() == 500) break;
    }
    return Reply{200, body};
  }

  const std::vector<Endpoint> control;
  Record& record;
  History& history;
  const HoldsBack holds_back;
  const Steady::time_point born = Steady::now();
  const std::int64_t born_unix_ms =
      std::chrono::duration_cast<milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count();
  std::mutex mutex;
  std::condition_variable changed;
  bool gone = false;
  bool draining = false;
  bool beat_now = false;
  std::optional<double> drain_acknowledged;
  std::map<std::string, Run> runs;
  std::map<std::string, int> highest_ended;
  std::vector<End> ends;
  std::uint64_t last_end = 0;
  std::uint64_t highest_token = 0;
  double deadline_ms = 0;
  std::thread keeping;
  std::thread beating;
  std::unique_ptr<Server> server;
};

inline json Service(const std::string& name, bool standby = false) {
  return json{{"name", name},           {"health_check_path", "/health"},
              {"max_connections", 64},  {"protocol", "h1"},
              {"tls", false},           {"rejects_overload", false},
              {"standby", standby}};
}

inline json Route(const std::string& name, const std::string& host,
                  const std::string& prefix, const std::string& service) {
  return json{{"name", name},
              {"host", host},
              {"path_prefix", prefix},
              {"kind", "non_idempotent"},
              {"timeout_ms", 3000},
              {"target_duration_ms", 600},
              {"priority", 0},
              {"service", service},
              {"max_attempts", 2},
              {"stretch", 1.6},
              {"public", false}};
}

inline json Configuration(int version, const json& routes, const json& services,
                          const std::string& key) {
  return json{
      {"version", version},
      {"routes", routes},
      {"services", services},
      {"limits",
       {{"max_header_bytes", 16384}, {"max_body_bytes", 262144},
        {"header_timeout_ms", 3000}, {"idle_timeout_ms", 15000}}},
      {"tenants",
       {{{"name", "clubs"},
         {"api_keys", {key}},
         {"priority", 1},
         {"weight", 34},
         {"upper_limit", {{"cpu", 0}, {"memory_request_mb", 0}, {"gpu", 0}}}}}}};
}

/// Runs the body of a script and turns what it throws into "couldn't run".
inline int RunScript(int argc, char** argv,
                     const std::function<int(Record&)>& body) {
  if (argc != 2) return kNotPossible;
  std::signal(SIGPIPE, SIG_IGN);
  Record record(argv[1]);
  record(WithTrouble() ? "with the disruption" : "TROUBLE=0: without the disruption");
  int status = kNotPossible;
  try {
    status = body(record);
  } catch (const std::exception& error) {
    record(std::string("couldn't run: ") + error.what());
  }
  record("exit status " + std::to_string(status));
  return status;
}

}  // namespace deployment
