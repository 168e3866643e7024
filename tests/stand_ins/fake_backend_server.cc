// A fake backend server that announces itself to daemons and answers requests
// with JSON. Flags and `POST /faults` select the faults that it injects. It
// uses plain Asio sockets, because an HTTP server library can't produce
// truncated answers and connections that stop answering.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/strings/str_split.h>
#include <absl/time/time.h>
#include <curl/curl.h>

#include <algorithm>
#include <asio.hpp>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

ABSL_FLAG(std::string, name, "server-1", "name in announcements and answers");
ABSL_FLAG(std::string, address, "127.0.0.1", "address to listen on");
ABSL_FLAG(int, port, 0, "port to listen on; 0 takes a free one");
ABSL_FLAG(std::string, pool, "default", "pool that the instance belongs to");
ABSL_FLAG(std::string, zone, "zone-1", "availability zone");
ABSL_FLAG(std::uint64_t, epoch, 1, "epoch of the instance");
ABSL_FLAG(std::uint32_t, slots, 8, "requests that run at once");
ABSL_FLAG(std::uint32_t, connections, 64, "connections that are accepted");
ABSL_FLAG(std::string, announce_to, "", "HOST:PORT,... of daemons");
ABSL_FLAG(std::string, platform_key, "", "key sent with announcements");
ABSL_FLAG(absl::Duration, service_time, absl::Milliseconds(1),
          "time from a request to its answer");
ABSL_FLAG(absl::Duration, depart_wait, absl::Seconds(3),
          "shortest time from SIGTERM to the exit");
ABSL_FLAG(bool, keep_runs, true, "count the runs of each request id and key");
ABSL_FLAG(std::string, faults, "{}", "JSON object as for POST /faults");

namespace {

using asio::ip::tcp;
using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kAnnounceInterval{1'000};
constexpr long kAnnounceTimeoutMs = 900;  // NOLINT: libcurl's type.
constexpr std::size_t kMaxHeaderBytes = 64U << 10U;

/// The faults to inject. The field names are the keys of `POST /faults`, which
/// changes only the faults that it names.
struct Faults {
  /// Answers 503 with Mimosastage-Not-Run and doesn't run the request.
  bool refuse = false;
  /// Runs the request, but holds back the answer while this is set.
  bool stall = false;
  /// Delays each answer by this time in addition to service_time_ms.
  std::uint32_t late_ms = 0;
  /// Answers with the id of the previous request.
  bool crossed = false;
  /// Closes the connection after half of the body.
  bool truncated = false;
  /// Omits Content-Length and ends the body by closing the connection.
  bool no_length = false;
  /// Answers 500 to each request.
  bool fail = false;
  /// Each connection stops answering after this many answers; 0 means never.
  std::uint32_t silent_after = 0;
  /// Runs a request that arrives on a reused connection, and closes the
  /// connection without an answer.
  bool drop_on_reused = false;
  /// Closes each connection after an answer without `Connection: close`.
  bool close_idle = false;
  /// Time from the answer to the close by `close_idle`. A request that arrives
  /// in between isn't read.
  std::uint32_t close_delay_ms = 0;
  /// Announces the server as departing.
  bool depart = false;
  std::uint32_t service_time_ms = 1;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Faults, refuse, stall, late_ms, crossed,
                                   truncated, no_length, fail, silent_after,
                                   drop_on_reused, close_idle, close_delay_ms,
                                   depart, service_time_ms)

struct Request {
  std::string method;
  std::string target;
  std::map<std::string, std::string> headers;
  std::string body;
};

struct Answer {
  int status = 200;
  std::string request_id;
  json body;
  bool not_run = false;
};

std::string ToLower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char letter) { return std::tolower(letter); });
  return text;
}

Request ParseHead(const std::string& head) {
  Request request;
  std::vector<std::string> lines = absl::StrSplit(head, "\r\n");
  std::vector<std::string> words = absl::StrSplit(lines[0], ' ');
  request.method = words[0];
  request.target = words.size() > 1 ? words[1] : "/";
  for (std::size_t i = 1; i < lines.size(); ++i) {
    const auto colon = lines[i].find(": ");
    if (colon != std::string::npos) {
      request.headers[ToLower(lines[i].substr(0, colon))] =
          lines[i].substr(colon + 2);
    }
  }
  return request;
}

std::string HeaderOf(const Request& request, const std::string& name) {
  const auto found = request.headers.find(name);
  return found == request.headers.end() ? "" : found->second;
}

std::string Serialise(const Answer& answer, bool with_length = true) {
  const std::string body = answer.body.dump();
  std::string text = "HTTP/1.1 " + std::to_string(answer.status) + " -\r\n";
  text += "Content-Type: application/json\r\n";
  if (!answer.request_id.empty()) {
    text += "Mimosastage-Request-Id: " + answer.request_id + "\r\n";
  }
  if (answer.not_run) {
    text += "Mimosastage-Not-Run: 1\r\n";
  }
  if (with_length) {
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  return text + "\r\n" + body;
}

/// Announces the server periodically to each daemon, on a separate thread. A
/// daemon's answer {"interval_ms": N} sets the interval for that daemon.
class Announcer {
 public:
  Announcer(const std::vector<std::string>& daemons, json announcement)
      : announcement(std::move(announcement)) {
    for (const std::string& daemon : daemons) {
      this->targets.push_back(std::make_unique<Target>());
      this->targets.back()->url = "http://" + daemon + "/v1/announcements";
    }
    this->headers =
        curl_slist_append(nullptr, "Content-Type: application/json");
    const std::string key =
        "Authorization: Bearer " + absl::GetFlag(FLAGS_platform_key);
    this->headers = curl_slist_append(this->headers, key.c_str());
    this->multi = curl_multi_init();
    this->thread = std::thread([this] { this->Run(); });
  }

  ~Announcer() {
    this->stopping = true;
    curl_multi_wakeup(this->multi);
    this->thread.join();
    for (auto& target : this->targets) {
      curl_multi_remove_handle(this->multi, target->easy);
      curl_easy_cleanup(target->easy);
    }
    curl_multi_cleanup(this->multi);
    curl_slist_free_all(this->headers);
  }

  /// Sends the changed announcement immediately.
  void SetDeparting(bool departing) {
    {
      const std::lock_guard lock(this->mutex);
      this->announcement["departing"] = departing;
    }
    this->announce_now = true;
    curl_multi_wakeup(this->multi);
  }

 private:
  struct Target {
    std::string url;
    std::string body;
    std::string answer;
    CURL* easy = curl_easy_init();
    steady_clock::time_point due{};
    milliseconds interval = kAnnounceInterval;
    bool in_flight = false;
  };

  void Run() {
    while (!this->stopping) {
      const bool announce_to_all = this->announce_now.exchange(false);
      for (auto& target : this->targets) {
        if (announce_to_all) {
          target->due = {};
        }
        if (!target->in_flight && steady_clock::now() >= target->due) {
          this->StartTransfer(*target);
        }
      }
      int running = 0;
      curl_multi_perform(this->multi, &running);
      this->CollectFinishedTransfers();
      curl_multi_poll(this->multi, nullptr, 0, 50, nullptr);
    }
  }

  void StartTransfer(Target& target) {
    {
      const std::lock_guard lock(this->mutex);
      target.body = this->announcement.dump();
    }
    target.answer.clear();
    target.in_flight = true;
    target.due = steady_clock::now() + target.interval;
    CURL* easy = target.easy;
    curl_easy_setopt(easy, CURLOPT_URL, target.url.c_str());
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, kAnnounceTimeoutMs);
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, this->headers);
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, target.body.c_str());
    curl_easy_setopt(easy, CURLOPT_PRIVATE, &target);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &target);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &Announcer::OnBody);
    curl_multi_add_handle(this->multi, easy);
  }

  static std::size_t OnBody(char* data, std::size_t size, std::size_t count,
                            void* target) {
    static_cast<Target*>(target)->answer.append(data, size * count);
    return size * count;
  }

  void CollectFinishedTransfers() {
    int left = 0;
    while (CURLMsg* message = curl_multi_info_read(this->multi, &left)) {
      Target* target = nullptr;
      curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &target);
      curl_multi_remove_handle(this->multi, target->easy);
      target->in_flight = false;
      const json answer = json::parse(target->answer, nullptr, false);
      if (answer.is_object() && answer.contains("interval_ms")) {
        target->interval = milliseconds(answer["interval_ms"].get<int>());
      }
    }
  }

  json announcement;
  std::mutex mutex;
  std::vector<std::unique_ptr<Target>> targets;
  curl_slist* headers = nullptr;
  CURLM* multi = nullptr;
  std::atomic<bool> stopping{false};
  std::atomic<bool> announce_now{false};
  std::thread thread;
};

/// State that all connections share. Everything except the announcements runs
/// on one thread, so it needs no lock.
struct ServerState {
  explicit ServerState(asio::io_context& io) : io(io) {
    this->faults.service_time_ms = static_cast<std::uint32_t>(
        absl::ToInt64Milliseconds(absl::GetFlag(FLAGS_service_time)));
  }

  /// Changes the faults that `change` names. In addition, "silent": true makes
  /// the currently open connections stop answering. Returns false if the object
  /// isn't valid.
  bool ChangeFaults(const json& change) {
    json changed_faults = this->faults;
    try {
      if (change.value("silent", false)) {
        this->silent_generation += 1;
      }
      for (const auto& [name, value] : change.items()) {
        if (name != "silent") {
          changed_faults.at(name) = value;
        }
      }
      const bool was_departing = this->faults.depart;
      this->faults = changed_faults.get<Faults>();
      if (this->faults.depart != was_departing) {
        this->announcer->SetDeparting(this->faults.depart);
      }
    } catch (const json::exception&) {
      return false;
    }
    return true;
  }

  void CountRun(const Request& request, const std::string& id) {
    this->runs += 1;
    this->in_progress += 1;
    this->max_in_progress = std::max(this->max_in_progress, this->in_progress);
    if (!absl::GetFlag(FLAGS_keep_runs)) {
      return;
    }
    this->runs_of_request[id] += 1;
    if (const std::string key = HeaderOf(request, "idempotency-key");
        !key.empty()) {
      this->runs_of_key[key] += 1;
    }
  }

  json Runs() const {
    return {{"name", absl::GetFlag(FLAGS_name)},
            {"runs", this->runs},
            {"refused", this->refused},
            {"in_progress", this->in_progress},
            {"max_in_progress", this->max_in_progress},
            {"max_connections", this->max_connections},
            {"requests", this->runs_of_request},
            {"idempotency_keys", this->runs_of_key}};
  }

  asio::io_context& io;
  std::unique_ptr<Announcer> announcer;
  Faults faults;
  /// Connections accepted under a lower generation don't answer.
  std::uint64_t silent_generation = 0;
  std::string last_id = "none";
  std::uint64_t runs = 0;
  std::uint64_t refused = 0;
  std::uint32_t in_progress = 0;
  std::uint32_t max_in_progress = 0;
  std::uint32_t open_connections = 0;
  std::uint32_t max_connections = 0;
  std::map<std::string, std::uint32_t> runs_of_request;
  std::map<std::string, std::uint32_t> runs_of_key;
};

/// Serves one connection. Pending asynchronous operations keep the object
/// alive; none is pending after the peer has closed the connection.
class Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(ServerState& state, tcp::socket socket)
      : state(state),
        socket(std::move(socket)),
        timer(state.io),
        accept_generation(state.silent_generation) {
    this->state.open_connections += 1;
    this->state.max_connections =
        std::max(this->state.max_connections, this->state.open_connections);
  }

  ~Connection() { this->state.open_connections -= 1; }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  void ReadHead() {
    asio::async_read_until(this->socket,
                           asio::dynamic_buffer(this->input, kMaxHeaderBytes),
                           "\r\n\r\n",
                           [self = this->shared_from_this()](
                               asio::error_code error, std::size_t head) {
                             if (!error) {
                               self->ReadBody(head);
                             }
                           });
  }

 private:
  void ReadBody(std::size_t head) {
    this->request = ParseHead(this->input.substr(0, head));
    this->input.erase(0, head);
    const std::string length = HeaderOf(this->request, "content-length");
    const std::size_t size = length.empty() ? 0 : std::stoull(length);
    const std::size_t buffered = std::min(this->input.size(), size);
    this->request.body = this->input.substr(0, buffered);
    this->input.erase(0, buffered);
    this->request.body.resize(size);
    asio::async_read(
        this->socket,
        asio::buffer(this->request.body.data() + buffered, size - buffered),
        [self = this->shared_from_this()](asio::error_code error, std::size_t) {
          if (!error) {
            self->Handle();
          }
        });
  }

  bool Silent() const {
    const std::uint32_t limit = this->state.faults.silent_after;
    return this->accept_generation < this->state.silent_generation ||
           (limit > 0 && this->answers >= limit);
  }

  void Handle() {
    if (this->Silent()) {
      this->CallAfter(std::chrono::hours(1), [] {});
      return;
    }
    if (std::optional<Answer> answer = this->HandleControlRequest()) {
      this->Send(Serialise(*answer), true);
      return;
    }
    const std::string id = HeaderOf(this->request, "mimosastage-request-id");
    if (this->state.faults.refuse) {
      this->state.refused += 1;
      Answer answer{503, id, json{{"reason", "refused"}}, true};
      this->Send(Serialise(answer), true);
      return;
    }
    this->RunRequest(id);
  }

  /// Answers `GET /runs` and `POST /faults`; nothing for any other request.
  std::optional<Answer> HandleControlRequest() {
    Answer answer;
    if (this->request.method == "GET" && this->request.target == "/runs") {
      answer.body = this->state.Runs();
      return answer;
    }
    if (this->request.method == "POST" && this->request.target == "/faults") {
      const json change = json::parse(this->request.body, nullptr, false);
      answer.status = this->state.ChangeFaults(change) ? 200 : 400;
      answer.body = json(this->state.faults);
      return answer;
    }
    return std::nullopt;
  }

  void RunRequest(const std::string& id) {
    this->state.CountRun(this->request, id);
    const Faults& faults = this->state.faults;
    if (faults.drop_on_reused && this->answers > 0) {
      this->state.in_progress -= 1;
      return;
    }
    this->CallAfter(milliseconds(faults.service_time_ms + faults.late_ms),
                    [this, id] { this->EndRun(id); });
  }

  void EndRun(const std::string& id) {
    if (this->state.faults.stall) {
      this->CallAfter(milliseconds(20), [this, id] { this->EndRun(id); });
      return;
    }
    this->state.in_progress -= 1;
    this->AnswerRun(id);
  }

  void AnswerRun(const std::string& id) {
    const Faults& faults = this->state.faults;
    Answer answer;
    answer.status = faults.fail ? 500 : 200;
    answer.request_id = faults.crossed ? this->state.last_id : id;
    answer.body = {{"name", absl::GetFlag(FLAGS_name)},
                   {"request_id", answer.request_id}};
    this->state.last_id = id;
    std::string text = Serialise(answer, !faults.no_length);
    if (faults.truncated) {
      text.resize(text.size() - answer.body.dump().size() / 2);
    }
    const bool keep =
        !faults.truncated && !faults.no_length && !faults.close_idle;
    this->Send(std::move(text), keep);
  }

  /// Calls `next` after `time`. The connection stays alive until then, so
  /// `next` may use `this`.
  void CallAfter(steady_clock::duration time, std::function<void()> next) {
    this->timer.expires_after(time);
    this->timer.async_wait(
        [self = this->shared_from_this(),
         next = std::move(next)](asio::error_code) { next(); });
  }

  /// Sends the text, then reads the next request if `keep` is set, or closes
  /// the connection.
  void Send(std::string text, bool keep) {
    this->output = std::move(text);
    asio::async_write(this->socket, asio::buffer(this->output),
                      [self = this->shared_from_this(), keep](
                          asio::error_code error, std::size_t) {
                        self->answers += 1;
                        if (!error && keep) {
                          self->ReadHead();
                        } else if (!error) {
                          self->CloseLate();
                        }
                      });
  }

  /// The connection closes when nothing refers to it any more.
  void CloseLate() {
    const std::uint32_t delay = this->state.faults.close_delay_ms;
    if (this->state.faults.close_idle && delay > 0) {
      this->CallAfter(milliseconds(delay), [] {});
    }
  }

  ServerState& state;
  tcp::socket socket;
  asio::steady_timer timer;
  std::uint64_t accept_generation;
  std::uint32_t answers = 0;
  std::string input;
  std::string output;
  Request request;
};

class FakeBackendServer {
 public:
  FakeBackendServer()
      : acceptor(
            this->io,
            tcp::endpoint(asio::ip::make_address(absl::GetFlag(FLAGS_address)),
                          absl::GetFlag(FLAGS_port))),
        signals(this->io, SIGTERM, SIGINT),
        exit_timer(this->io) {}

  void Run() {
    const std::uint16_t port = this->acceptor.local_endpoint().port();
    const std::vector<std::string> daemons = absl::StrSplit(
        absl::GetFlag(FLAGS_announce_to), ',', absl::SkipEmpty());
    this->state.announcer =
        std::make_unique<Announcer>(daemons, InitialAnnouncement(port));
    this->state.ChangeFaults(json::parse(absl::GetFlag(FLAGS_faults)));
    std::cout << json{{"name", absl::GetFlag(FLAGS_name)}, {"port", port}}
              << std::endl;
    this->Accept();
    this->signals.async_wait([this](asio::error_code, int) {
      this->state.announcer->SetDeparting(true);
      this->ExitWhenIdle(
          steady_clock::now() +
          absl::ToChronoMilliseconds(absl::GetFlag(FLAGS_depart_wait)));
    });
    this->io.run();
  }

 private:
  static json InitialAnnouncement(std::uint16_t port) {
    return {{"name", absl::GetFlag(FLAGS_name)},
            {"address", absl::GetFlag(FLAGS_address)},
            {"port", port},
            {"pool", absl::GetFlag(FLAGS_pool)},
            {"zone", absl::GetFlag(FLAGS_zone)},
            {"epoch", absl::GetFlag(FLAGS_epoch)},
            {"slots", absl::GetFlag(FLAGS_slots)},
            {"connections", absl::GetFlag(FLAGS_connections)},
            {"departing", false}};
  }

  void Accept() {
    this->acceptor.async_accept(
        [this](asio::error_code error, tcp::socket socket) {
          if (!error) {
            socket.set_option(tcp::no_delay(true));
            std::make_shared<Connection>(this->state, std::move(socket))
                ->ReadHead();
          }
          this->Accept();
        });
  }

  void ExitWhenIdle(steady_clock::time_point earliest) {
    if (steady_clock::now() >= earliest && this->state.in_progress == 0) {
      this->io.stop();
      return;
    }
    this->exit_timer.expires_after(milliseconds(20));
    this->exit_timer.async_wait(
        [this, earliest](asio::error_code) { this->ExitWhenIdle(earliest); });
  }

  asio::io_context io{1};
  ServerState state{this->io};
  tcp::acceptor acceptor;
  asio::signal_set signals;
  asio::steady_timer exit_timer;
};

}  // namespace

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  curl_global_init(CURL_GLOBAL_NOTHING);
  FakeBackendServer server;
  server.Run();
  std::cout.flush();
  // Skips destructors; the kernel closes the connections that are still open.
  std::_Exit(0);
}
