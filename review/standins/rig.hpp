// Stand-ins for the clients, the workers, the operator and the platform that
// PROTOCOL.md of the users' pages describes, and a small deployment of the
// project's own program as separate processes on loopback addresses.
#ifndef REVIEW_STANDINS_RIG_HPP_
#define REVIEW_STANDINS_RIG_HPP_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace rig {

using nlohmann::json;
using SteadyClock = std::chrono::steady_clock;

inline std::int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

inline void SleepMs(std::int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

// ---------------------------------------------------------------- record

/// record.txt: what was sent, answered and run, with milliseconds since the
/// start of the script.
class Record {
 public:
  explicit Record(const std::string& path) : out(path) {}
  std::int64_t NowMs() const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               SteadyClock::now() - this->begin)
        .count();
  }
  void Line(const std::string& text) {
    const std::lock_guard lock(this->mutex);
    char at[32];
    std::snprintf(at, sizeof(at), "%9.3f s  ",
                  static_cast<double>(this->NowMs()) / 1000.0);
    this->out << at << text << std::endl;
  }

 private:
  std::mutex mutex;
  std::ofstream out;
  SteadyClock::time_point begin = SteadyClock::now();
};

// ------------------------------------------------------------------ HTTP

struct Reply {
  /// 0 if there was no complete answer.
  int status = 0;
  std::string body;
  json Json() const { return json::parse(this->body, nullptr, false); }
};

struct Request {
  std::string method;
  std::string target;
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;
};

inline std::string LowerCase(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

inline sockaddr_in ParseAddress(const std::string& address) {
  const auto colon = address.rfind(':');
  sockaddr_in result{};
  result.sin_family = AF_INET;
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr);
  result.sin_port =
      htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
  return result;
}

/// Reads one HTTP message. Returns false if the connection ends before that.
/// `wait` is asked before each read and returns false to give up.
inline bool ReadMessage(int fd, std::string& buffer, std::string& first_line,
                        std::map<std::string, std::string>& headers,
                        std::string& body, const std::function<bool()>& wait) {
  const auto more = [&] {
    if (!wait()) {
      return false;
    }
    char part[16384];
    const ssize_t got = recv(fd, part, sizeof(part), 0);
    if (got <= 0) {
      return false;
    }
    buffer.append(part, static_cast<std::size_t>(got));
    return true;
  };
  std::size_t end = 0;
  while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
    if (!more()) {
      return false;
    }
  }
  const std::string head = buffer.substr(0, end);
  buffer.erase(0, end + 4);
  headers.clear();
  std::size_t at = head.find("\r\n");
  first_line = head.substr(0, at);
  while (at != std::string::npos) {
    const std::size_t next = head.find("\r\n", at + 2);
    const std::string line = head.substr(
        at + 2, next == std::string::npos ? next : next - at - 2);
    if (const auto colon = line.find(':'); colon != std::string::npos) {
      std::string value = line.substr(colon + 1);
      value.erase(0, value.find_first_not_of(' '));
      headers[LowerCase(line.substr(0, colon))] = value;
    }
    at = next;
  }
  std::size_t length = 0;
  if (const auto found = headers.find("content-length");
      found != headers.end()) {
    length = std::stoul(found->second);
  }
  while (buffer.size() < length) {
    if (!more()) {
      return false;
    }
  }
  body = buffer.substr(0, length);
  buffer.erase(0, length);
  return true;
}

inline bool WaitReadable(int fd, std::int64_t ms) {
  pollfd entry{fd, POLLIN, 0};
  return poll(&entry, 1, static_cast<int>(std::max<std::int64_t>(0, ms))) > 0;
}

/// One exchange on a connection of its own, which is closed afterwards.
inline Reply Send(const std::string& address, const std::string& method,
                  const std::string& target, const std::string& body = "",
                  const std::vector<std::string>& headers = {},
                  std::int64_t timeout_ms = 3000) {
  Reply reply;
  const auto deadline =
      SteadyClock::now() + std::chrono::milliseconds(timeout_ms);
  const auto left = [&] {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               deadline - SteadyClock::now())
        .count();
  };
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in to = ParseAddress(address);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) != 0) {
    close(fd);
    return reply;
  }
  std::string text = method + " " + target + " HTTP/1.1\r\n";
  bool has_host = false;
  for (const auto& header : headers) {
    text += header + "\r\n";
    has_host = has_host || LowerCase(header).rfind("host:", 0) == 0;
  }
  if (!has_host) {
    text += "Host: " + address + "\r\n";
  }
  if (!body.empty()) {
    text += "Content-Type: application/json\r\n";
  }
  text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  if (send(fd, text.data(), text.size(), MSG_NOSIGNAL) ==
      static_cast<ssize_t>(text.size())) {
    std::string buffer;
    std::string line;
    std::map<std::string, std::string> reply_headers;
    if (ReadMessage(fd, buffer, line, reply_headers, reply.body,
                    [&] { return left() > 0 && WaitReadable(fd, left()); }) &&
        line.size() > 12) {
      reply.status = std::stoi(line.substr(9, 3));
    }
  }
  close(fd);
  return reply;
}

/// An HTTP server with a thread for each connection.
class Server {
 public:
  using Handler = std::function<Reply(const Request&)>;

  Server(const std::string& address, Handler handler)
      : handler(std::move(handler)) {
    this->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    const sockaddr_in at = ParseAddress(address);
    if (bind(this->listener, reinterpret_cast<const sockaddr*>(&at),
             sizeof(at)) != 0 ||
        listen(this->listener, 128) != 0) {
      std::perror(("listen on " + address).c_str());
      std::_Exit(2);
    }
    this->acceptor = std::thread([this] { this->Accept(); });
  }
  /// Resets all connections, like a process that is killed.
  ~Server() {
    this->stopping.store(true);
    shutdown(this->listener, SHUT_RDWR);
    this->acceptor.join();
    close(this->listener);
    {
      const std::lock_guard lock(this->mutex);
      for (const int fd : this->open) {
        const linger reset{1, 0};
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
        shutdown(fd, SHUT_RDWR);
      }
    }
    for (auto& thread : this->threads) {
      thread.join();
    }
  }

 private:
  void Accept() {
    while (!this->stopping.load()) {
      if (!WaitReadable(this->listener, 50)) {
        continue;
      }
      const int fd = accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        continue;
      }
      const int one = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
      const std::lock_guard lock(this->mutex);
      this->open.insert(fd);
      this->threads.emplace_back([this, fd] { this->Serve(fd); });
    }
  }
  void Serve(int fd) {
    std::string buffer;
    Request request;
    std::string line;
    while (!this->stopping.load() &&
           ReadMessage(fd, buffer, line, request.headers, request.body, [&] {
             while (!this->stopping.load()) {
               if (WaitReadable(fd, 50)) {
                 return true;
               }
             }
             return false;
           })) {
      const auto first = line.find(' ');
      const auto second = line.find(' ', first + 1);
      request.method = line.substr(0, first);
      request.target = line.substr(first + 1, second - first - 1);
      const Reply reply = this->handler(request);
      if (this->stopping.load() || reply.status == 0) {
        break;
      }
      const std::string text =
          "HTTP/1.1 " + std::to_string(reply.status) +
          " X\r\nContent-Type: application/json\r\nContent-Length: " +
          std::to_string(reply.body.size()) + "\r\n\r\n" + reply.body;
      if (send(fd, text.data(), text.size(), MSG_NOSIGNAL) < 0) {
        break;
      }
    }
    const std::lock_guard lock(this->mutex);
    this->open.erase(fd);
    close(fd);
  }

  Handler handler;
  int listener = -1;
  std::atomic<bool> stopping{false};
  std::mutex mutex;
  std::set<int> open;
  std::vector<std::thread> threads;
  std::thread acceptor;
};

// ---------------------------------------------------------------- worker

/// What a task does on a worker. The default is a task that takes 1 s.
struct Behaviour {
  std::int64_t work_ms = 1000;
  /// How its run ends by itself; a task that lasts never does.
  std::string how = "done";
  bool lasts = false;
  /// Number of members if the task is one of a gang.
  int gang = 0;
  /// Makes a checkpoint with each interval of work and at a stop.
  bool saves = false;
};

/// The members of the runs of gangs that are present, over all workers.
class GangRoom {
 public:
  struct View {
    bool full = false;
    bool broken = false;
    bool done = false;
    std::int64_t working_ms = 0;
  };
  /// ID.K.STEP of ID.K.STEP.INDEX, and the run.
  static std::string Group(const std::string& task, int run) {
    return task.substr(0, task.rfind('.')) + "/" + std::to_string(run);
  }
  void Enter(const std::string& group, int members) {
    const std::lock_guard lock(this->mutex);
    State& state = this->groups[group];
    if (++state.present == members) {
      state.full_at = SteadyClock::now();
      state.full = true;
    }
  }
  /// A member has ended without `done`.
  void Break(const std::string& group) {
    const std::lock_guard lock(this->mutex);
    this->groups[group].broken = true;
  }
  void Done(const std::string& group) {
    const std::lock_guard lock(this->mutex);
    this->groups[group].done = true;
  }
  View Look(const std::string& group) {
    const std::lock_guard lock(this->mutex);
    const State& state = this->groups[group];
    View view{state.full, state.broken && !state.done, state.done, 0};
    if (state.full) {
      view.working_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                            SteadyClock::now() - state.full_at)
                            .count();
    }
    return view;
  }

 private:
  struct State {
    int present = 0;
    bool full = false;
    bool broken = false;
    bool done = false;
    SteadyClock::time_point full_at{};
  };
  std::mutex mutex;
  std::map<std::string, State> groups;
};

struct RunEvent {
  std::int64_t at_ms = 0;
  std::string what;  // "start", or how the run ended
  std::string task;
  int run = 0;
  std::string worker;
  std::string checkpoint;  // at a start, last_checkpoint
};

/// All that workers have begun and ended.
class RunLog {
 public:
  explicit RunLog(Record& record) : record(record) {}
  void Add(const std::string& what, const std::string& task, int run,
           const std::string& worker, const std::string& checkpoint = "") {
    const std::int64_t at = this->record.NowMs();
    {
      const std::lock_guard lock(this->mutex);
      this->events.push_back({at, what, task, run, worker, checkpoint});
    }
    this->record.Line("worker " + worker + ": " + what + " " + task + " run " +
                      std::to_string(run) +
                      (checkpoint.empty() ? "" : " checkpoint " + checkpoint));
  }
  std::vector<RunEvent> All() const {
    const std::lock_guard lock(this->mutex);
    return this->events;
  }

 private:
  Record& record;
  mutable std::mutex mutex;
  std::vector<RunEvent> events;
};

/// One life of a machine, as PROTOCOL.md describes workers.
class Worker {
 public:
  struct Settings {
    std::string id;
    std::string machine;
    std::string address;
    std::string service;
    std::string rack = "r1-1";
    std::vector<std::string> control_planes;
    std::int64_t heartbeat_ms = 1500;
    std::int64_t max_hold_ms = 6000;
    std::int64_t checkpoint_interval_ms = 2000;
    std::int64_t gang_timeout_ms = 3000;
    GangRoom* gangs = nullptr;
    /// "ready" or "draining".
    std::string state = "ready";
    std::function<Behaviour(const std::string& task, int run)> behaviour;
  };

  Worker(Settings given, Record& record, RunLog& log)
      : settings(std::move(given)), record(record), log(log) {
    this->server = std::make_unique<Server>(
        this->settings.address,
        [this](const Request& request) { return this->Handle(request); });
    this->heartbeats = std::thread([this] { this->Announce(); });
    this->clockwork = std::thread([this] {
      while (!this->ended.load()) {
        SleepMs(5);
        const std::lock_guard lock(this->mutex);
        this->Advance();
      }
    });
    this->record.Line("worker " + this->settings.id + " begins on machine " +
                      this->settings.machine + " at " +
                      this->settings.address);
  }
  ~Worker() { this->Crash(); }

  /// Everything on the worker ends without a word.
  void Crash() {
    if (this->ended.exchange(true)) {
      return;
    }
    {
      const std::lock_guard lock(this->mutex);
      for (const auto& [key, run] : this->running) {
        this->log.Add("lost with its worker", key.first, key.second,
                      this->settings.id);
        if (run.behaviour.gang > 0) {
          this->settings.gangs->Break(GangRoom::Group(key.first, key.second));
        }
      }
      this->running.clear();
    }
    this->changed.notify_all();
    this->server.reset();
    this->heartbeats.join();
    this->clockwork.join();
    this->record.Line("worker " + this->settings.id + " has ended");
  }
  bool Runs(const std::string& task) const {
    const std::lock_guard lock(this->mutex);
    return std::any_of(this->running.begin(), this->running.end(),
                       [&](const auto& row) { return row.first.first == task; });
  }
  const Settings& Given() const { return this->settings; }

 private:
  struct Run {
    std::int64_t begun_ms = 0;
    /// Work that the checkpoint at the start covers.
    std::int64_t resumed_ms = 0;
    Behaviour behaviour;
    std::string saved;
    /// Number of the latest checkpoint.
    std::int64_t saves = 0;
  };
  using Key = std::pair<std::string, int>;

  std::int64_t Clock() const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               SteadyClock::now() - this->begin)
               .count() +
           1000;
  }
  /// Work done in all, on this worker and before.
  std::int64_t Progress(const Key& key, const Run& run) const {
    if (run.behaviour.gang == 0) {
      return run.resumed_ms + this->Clock() - run.begun_ms;
    }
    return run.resumed_ms +
           this->settings.gangs->Look(GangRoom::Group(key.first, key.second))
               .working_ms;
  }
  void Save(const Key& key, Run& run) const {
    char text[32];
    std::snprintf(text, sizeof(text), "%08llx%08llx",
                  static_cast<unsigned long long>(this->Progress(key, run)),
                  static_cast<unsigned long long>(
                      std::hash<std::string>()(key.first + "#" +
                                               std::to_string(key.second)) &
                      0xffffffffU));
    run.saved = text;
  }
  void End(const Key& key, const std::string& how) {
    Run& run = this->running.at(key);
    if (run.behaviour.saves && how == "stopped") {
      this->Save(key, run);
    }
    if (run.behaviour.gang > 0) {
      const std::string group = GangRoom::Group(key.first, key.second);
      how == "done" ? this->settings.gangs->Done(group)
                    : this->settings.gangs->Break(group);
    }
    this->ends.push_back(
        json::array({++this->end_number, key.first, key.second, how, run.saved}));
    int& highest = this->highest_ended[key.first];
    highest = std::max(highest, key.second);
    this->log.Add(how, key.first, key.second, this->settings.id, run.saved);
    this->running.erase(key);
    this->changed.notify_all();
  }
  void Advance() {
    const std::int64_t now = this->Clock();
    std::vector<std::pair<Key, std::string>> due;
    for (auto& [key, run] : this->running) {
      if (now > this->lease_end) {
        due.emplace_back(key, "lapsed");
        continue;
      }
      const std::int64_t progress = this->Progress(key, run);
      if (run.behaviour.gang > 0) {
        const auto view =
            this->settings.gangs->Look(GangRoom::Group(key.first, key.second));
        if (view.done) {
          due.emplace_back(key, "done");
        } else if (view.broken) {
          due.emplace_back(key, "broken");
        } else if (!view.full) {
          if (now - run.begun_ms > this->settings.gang_timeout_ms) {
            due.emplace_back(key, "alone");
          }
          continue;
        }
        if (view.done || view.broken) {
          continue;
        }
      }
      if (run.behaviour.saves &&
          progress / this->settings.checkpoint_interval_ms > run.saves) {
        run.saves = progress / this->settings.checkpoint_interval_ms;
        this->Save(key, run);
      }
      if (!run.behaviour.lasts && progress >= run.behaviour.work_ms) {
        due.emplace_back(key, run.behaviour.how);
      }
    }
    for (const auto& [key, how] : due) {
      this->End(key, how);
    }
  }
  json Lists() {
    json rows = json::array();
    for (const auto& [key, run] : this->running) {
      const std::int64_t percent =
          run.behaviour.lasts
              ? 100
              : std::min<std::int64_t>(
                    99, 100 * this->Progress(key, run) /
                            std::max<std::int64_t>(1, run.behaviour.work_ms));
      rows.push_back(json::array(
          {key.first, key.second, run.saved, percent, 500}));
    }
    json list = json::array();
    for (const auto& end : this->ends) {
      if (list.size() < 500) {
        list.push_back(end);
      }
    }
    return json{{"running", rows}, {"ended_runs", list}};
  }
  void Extend(const json& body) {
    if (body.contains("deadline_ms")) {
      const std::int64_t limit = this->Clock() + this->settings.max_hold_ms;
      this->lease_end = std::max(
          this->lease_end,
          std::min(body.at("deadline_ms").get<std::int64_t>(), limit));
    }
  }
  Reply Handle(const Request& request) {
    const auto expected = request.headers.find("x-expected-instance");
    const json body = json::parse(request.body, nullptr, false);
    std::unique_lock lock(this->mutex);
    if (this->ended.load()) {
      return Reply{};
    }
    this->Advance();
    const auto answer = [&](int status, json fields) {
      fields["clock_ms"] = this->Clock();
      fields["born"] = this->born_ms;
      return Reply{status, fields.dump()};
    };
    if (expected != request.headers.end() &&
        expected->second != this->settings.id) {
      return answer(421, json::object());
    }
    if (!body.is_object()) {
      return answer(400, json::object());
    }
    const std::uint64_t token = body.value("fencing_token", std::uint64_t{0});
    if (token < this->highest_token) {
      return answer(409, json{{"reason", "fence"}});
    }
    this->highest_token = token;
    if (request.target == "/-/hold") {
      this->Extend(body);
      const auto seen = body.value("last_seen", std::uint64_t{0});
      std::erase_if(this->ends, [&](const json& end) {
        return end[0].get<std::uint64_t>() <= seen;
      });
      if (const auto wait = body.value("wait_ms", std::int64_t{0});
          wait > 0 && this->ends.empty()) {
        this->changed.wait_for(lock, std::chrono::milliseconds(wait), [&] {
          return this->ended.load() || !this->ends.empty();
        });
        if (this->ended.load()) {
          return Reply{};
        }
        this->Advance();
      }
      return answer(200, this->Lists());
    }
    const Key key{body.value("task", std::string()), body.value("run", 0)};
    if (request.target == "/-/run-start") {
      if (this->running.contains(key)) {
        this->Extend(body);
        return answer(200, json::object());
      }
      if (key.second <= this->highest_ended[key.first]) {
        this->Extend(body);
        return answer(409, json{{"reason", "old"}});
      }
      if (body.value("deadline_ms", std::int64_t{0}) < this->Clock()) {
        return answer(409, json{{"reason", "late"}});
      }
      this->Extend(body);
      Run run;
      run.begun_ms = this->Clock();
      run.behaviour = this->settings.behaviour
                          ? this->settings.behaviour(key.first, key.second)
                          : Behaviour{};
      run.saved = body.value("last_checkpoint", std::string());
      if (run.saved.size() >= 8) {
        run.resumed_ms = std::stoll(run.saved.substr(0, 8), nullptr, 16);
        run.saves = run.resumed_ms / this->settings.checkpoint_interval_ms;
      }
      this->log.Add("start", key.first, key.second, this->settings.id,
                    run.saved);
      if (run.behaviour.gang > 0) {
        this->settings.gangs->Enter(GangRoom::Group(key.first, key.second),
                                    run.behaviour.gang);
      }
      this->running.emplace(key, std::move(run));
      return answer(200, json::object());
    }
    if (request.target == "/-/run-stop") {
      if (this->running.contains(key)) {
        this->End(key, "stopped");
      } else {
        int& highest = this->highest_ended[key.first];
        highest = std::max(highest, key.second);
      }
      return answer(200, json::object());
    }
    return answer(request.target == "/-/pace" ? 200 : 404, json::object());
  }
  void Announce() {
    std::size_t next = 0;
    std::string to;
    while (!this->ended.load()) {
      json body{{"service", this->settings.service},
                {"address", this->settings.address},
                {"zone", "zone-1"},
                {"version", "v1"},
                {"slots", 8},
                {"state", this->settings.state},
                {"cold_remaining_ms", 0},
                {"machine", this->settings.machine},
                {"capacity",
                 {{"cpu", 32000}, {"memory_request_mb", 131072}, {"gpu", 0}}},
                {"labels", {"a", this->settings.rack}},
                {"born", this->born_ms},
                {"clock_ms", this->Clock()},
                {"sequence", ++this->sequence}};
      for (std::size_t i = 0; i < 4 && !this->ended.load(); ++i) {
        const auto& all = this->settings.control_planes;
        const std::string at = to.empty() ? all[next++ % all.size()] : to;
        const Reply reply = Send(at, "PUT", "/-/instances/" + this->settings.id,
                                 body.dump(), {}, 1000);
        if (reply.status == 200) {
          const json text = reply.Json();
          to = text.is_object() ? text.value("heartbeat_address", std::string())
                                : "";
          break;
        }
        to.clear();
      }
      for (std::int64_t slept = 0;
           slept < this->settings.heartbeat_ms && !this->ended.load();
           slept += 20) {
        SleepMs(20);
      }
    }
  }

  Settings settings;
  Record& record;
  RunLog& log;
  std::atomic<bool> ended{false};
  SteadyClock::time_point begin = SteadyClock::now();
  std::int64_t born_ms = UnixMs();
  mutable std::mutex mutex;
  std::condition_variable changed;
  std::map<Key, Run> running;
  std::map<std::string, int> highest_ended;
  std::vector<json> ends;
  std::uint64_t end_number = 0;
  std::uint64_t highest_token = 0;
  std::int64_t lease_end = 0;
  std::uint64_t sequence = 0;
  std::unique_ptr<Server> server;
  std::thread heartbeats;
  std::thread clockwork;
};

// ------------------------------------------------------------ deployment

/// Three voters and some entries as processes, with the command of the deploy
/// file, and settings like those of a small deployment.
class Deployment {
 public:
  Deployment(Record& record, std::string folder, int entries,
             std::string cloud_api = "")
      : record(record),
        folder(std::move(folder)),
        cloud(std::move(cloud_api)),
        network(FreeNetwork()),
        entries(entries) {
    this->pids.resize(static_cast<std::size_t>(3 + entries), 0);
  }
  ~Deployment() {
    for (int i = 0; i < static_cast<int>(this->pids.size()); ++i) {
      this->Kill(i);
    }
  }

  /// Voters are 0 to 2, entries follow.
  std::string Ip(int host) const {
    return this->network + std::to_string(10 + host);
  }
  std::string WorkerAddress(int worker) const {
    return this->network + std::to_string(100 + worker) + ":8080";
  }
  std::string PlatformAddress() const { return this->network + "90:8344"; }
  std::string Control(int voter) const { return this->Ip(voter) + ":8345"; }
  std::string Front(int entry) const { return this->Ip(3 + entry) + ":8340"; }
  std::vector<std::string> Controls() const {
    return {this->Control(0), this->Control(1), this->Control(2)};
  }
  void SetCloud(std::string address) { this->cloud = std::move(address); }

  void Start(int daemon, bool bootstrap) {
    const bool voter = daemon < 3;
    const std::string name =
        voter ? "core-" + std::to_string(daemon + 1)
              : "frontend-" + std::to_string(daemon - 2);
    json settings{
        {"node_name", name},
        {"role", voter ? "voter" : "entry"},
        {"machine_class", voter ? "core" : "frontend"},
        {"serves", json::array({voter ? "control_plane" : "frontend"})},
        {"ip", this->Ip(daemon)},
        {"zone", "zone-1"},
        {"region", "region-1"},
        {"zones", {{"zone-1", "region-1"}}},
        {"internal_port_range", {7000, 7015}},
        {"seed_nodes", this->Controls()},
        {"bootstrap", bootstrap},
        {"tolerance_counted", voter},
        {"limits",
         {{"cpu_share", 0.35},
          {"cpu_cores", 1},
          {"memory_mb", 256},
          {"max_file_descriptors", 4096},
          {"link_bandwidth_mbps", 1000.0},
          {"disk_mb", voter ? 128 : 0}}},
        {"discovery", "registration"},
        {"entry", "virtual_ip"},
        {"heartbeat_interval_ms", 1500},
        {"contracts", {"base", "drain", "config", "cost", "recover", "sched",
                       "tenants", "quota", "advice", "upkeep", "sharing"}},
        {"fault_tolerance", {{"machines", 1}, {"zones", 0}, {"regions", 0}}},
        {"bounds", Bounds()},
        {"config_mode", "highest"},
        {"orders", "call"}};
    if (voter) {
      settings["listen_addresses"] = {{"control_plane", this->Control(daemon)}};
      settings["data_directory"] = this->folder + "/data-" + name;
      std::filesystem::create_directories(this->folder + "/data-" + name);
    } else {
      settings["listen_addresses"] = {
          {"frontend", this->Ip(daemon) + ":8340"},
          {"readiness", this->Ip(daemon) + ":8343"}};
      settings["data_directory"] = nullptr;
    }
    if (!this->cloud.empty()) {
      settings["cloud_api"] = {{"address", this->cloud},
                               {"rate_per_s", 64.0},
                               {"duties", json::array()},
                               {"duty_per_s", 64.0}};
    }
    const std::string file = this->folder + "/settings-" + name + ".json";
    std::ofstream(file) << settings.dump();
    const pid_t pid = fork();
    if (pid == 0) {
      // Ends with the script, however that ends.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const std::string log = this->folder + "/" + name + ".log";
      if (std::freopen(log.c_str(), "a", stdout) == nullptr ||
          std::freopen(log.c_str(), "a", stderr) == nullptr) {
        std::_Exit(126);
      }
      setenv("MIMOSASTAGE_BOOT", file.c_str(), 1);
      execl("target/bin/mimosastage_platform",
            "target/bin/mimosastage_platform", nullptr);
      std::_Exit(127);
    }
    this->pids[static_cast<std::size_t>(daemon)] = pid;
    this->record.Line("started " + name + " at " + this->Ip(daemon));
  }
  void StartAll() {
    for (int i = 0; i < 3 + this->entries; ++i) {
      this->Start(i, true);
    }
  }
  void Signal(int daemon, int signal) {
    const pid_t pid = this->pids[static_cast<std::size_t>(daemon)];
    if (pid > 0) {
      this->record.Line("signal " + std::string(strsignal(signal)) + " to " +
                        this->Ip(daemon));
      kill(pid, signal);
    }
  }
  void Kill(int daemon) {
    pid_t& pid = this->pids[static_cast<std::size_t>(daemon)];
    if (pid > 0) {
      kill(pid, SIGKILL);
      waitpid(pid, nullptr, 0);
      pid = 0;
    }
  }
  /// Whether all processes still run.
  bool AllRun() const {
    return std::all_of(this->pids.begin(), this->pids.end(), [](pid_t pid) {
      return pid == 0 || kill(pid, 0) == 0;
    });
  }

  /// Sends a configuration as the operator does, until it is acknowledged.
  bool Configure(const json& configuration, std::int64_t within_ms = 15000) {
    const std::int64_t end = this->record.NowMs() + within_ms;
    for (int i = 0; this->record.NowMs() < end; ++i) {
      const Reply reply = Send(this->Control(i % 3), "PUT", "/-/configuration",
                               configuration.dump(), {}, 1000);
      if (reply.status == 200) {
        this->record.Line("operator: configuration " +
                          configuration.at("version").dump() +
                          " acknowledged with 200");
        return true;
      }
      SleepMs(100);
    }
    return false;
  }
  /// A call of a client, written to the record.
  Reply Call(int entry, const std::string& method, const std::string& host,
             const std::string& path, const std::string& body = "",
             std::int64_t timeout_ms = 3000) {
    const Reply reply = Send(
        this->Front(entry), method, path, body,
        {"Host: " + host, "X-Deadline-Ms: " + std::to_string(timeout_ms)},
        timeout_ms);
    this->record.Line(
        "client: " + method + " " + path + " at " + this->Front(entry) + " -> " +
        (reply.status == 0 ? "no answer"
                           : std::to_string(reply.status) + " " + reply.body));
    return reply;
  }
  /// Waits until all entries report that they are ready.
  bool WaitReady(std::int64_t within_ms = 15000) {
    const std::int64_t end = this->record.NowMs() + within_ms;
    for (int i = 0; i < this->entries;) {
      if (this->record.NowMs() > end) {
        return false;
      }
      if (Send(this->Ip(3 + i) + ":8343", "GET", "/-/readiness", "", {}, 500)
              .status == 200) {
        ++i;
      } else {
        SleepMs(50);
      }
    }
    this->record.Line("all entries are ready");
    return true;
  }

  static json Bounds() {
    return json{{"seed_lag_s", 3},        {"address_reuse_s", 2},
                {"contact_ms", 3000},     {"ack_timeout_ms", 4000},
                {"catch_up_s", 4},        {"drain_ms", 2000},
                {"grace_period_s", 6},    {"loss_slack_ms", 200},
                {"config_apply_ms", 2000}, {"recovery_s", 12},
                {"max_hold_ms", 6000},    {"stop_timeout_ms", 200},
                {"gang_timeout_ms", 3000}, {"cancel_ms", 3000},
                {"visible_ms", 3000},     {"early_ms", 250},
                {"finish_s", 14},         {"status_s", 120},
                {"checkpoint_interval_s", 2}, {"restore_ms", 100},
                {"notice_ms", 4500},      {"migration_s", 1.5},
                {"maintenance_s", 2},     {"fencing_required", false},
                {"lease_ms", 3000},       {"thaw_slack_ms", 300}};
  }
  static json Route(const std::string& name, const std::string& host,
                    const std::string& prefix, const std::string& service,
                    int max_attempts) {
    return json{{"name", name},
                {"host", host},
                {"path_prefix", prefix},
                {"kind", "non_idempotent"},
                {"timeout_ms", 3000},
                {"target_duration_ms", 600},
                {"priority", 1},
                {"service", service},
                {"max_attempts", max_attempts},
                {"stretch", 1.6},
                {"public", true}};
  }
  static json Service(const std::string& name) {
    return json{{"name", name},          {"health_check_path", "/health"},
                {"max_connections", 64}, {"protocol", "h1"},
                {"tls", false},          {"rejects_overload", false},
                {"standby", false}};
  }
  static json Configuration(int version, json routes, json services) {
    return json{{"version", version},
                {"routes", std::move(routes)},
                {"services", std::move(services)},
                {"limits",
                 {{"max_header_bytes", 16384},
                  {"max_body_bytes", 262144},
                  {"header_timeout_ms", 3000},
                  {"idle_timeout_ms", 15000}}},
                {"tenants", json::array()}};
  }

 private:
  /// A loopback network in which the ports of the first machine are free.
  static std::string FreeNetwork() {
    const int pid = getpid();
    for (int i = 0; i < 1000; ++i) {
      const std::string network = "127." + std::to_string(65 + (pid + i) % 120) +
                                  "." + std::to_string((pid / 120 + i) % 250) +
                                  ".";
      const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      const int one = 1;
      setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
      const sockaddr_in at = ParseAddress(network + "10:8345");
      const bool is_free =
          bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof(at)) == 0;
      close(fd);
      if (is_free) {
        return network;
      }
    }
    std::_Exit(2);
  }

  Record& record;
  std::string folder;
  std::string cloud;
  std::string network;
  int entries;
  std::vector<pid_t> pids;
};

/// Whether the disruption is left out.
inline bool IsTroubleOff() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble != nullptr && std::string(trouble) == "0";
}

/// A temporary folder that is removed at the end.
class TemporaryFolder {
 public:
  TemporaryFolder() {
    std::string name =
        (std::filesystem::temp_directory_path() / "mimosastage-review-XXXXXX")
            .string();
    if (mkdtemp(name.data()) == nullptr) {
      std::_Exit(2);
    }
    this->path = name;
  }
  ~TemporaryFolder() {
    if (std::getenv("KEEP_LOGS") == nullptr) {
      std::filesystem::remove_all(this->path);
    }
  }
  std::string path;
};

}  // namespace rig

#endif  // REVIEW_STANDINS_RIG_HPP_
