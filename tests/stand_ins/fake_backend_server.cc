// A backend server that announces itself to daemons and answers requests with
// JSON. Its faults are set by flags and changed by `POST /faults`. It uses
// plain Asio sockets, because truncated answers and silent connections can't be
// made with an HTTP server library.
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

/// The fields are the names in `POST /faults`; a request changes only those
/// that it names.
struct Faults {
  /// 503 with Mimosastage-Not-Run; the request isn't run.
  bool refuse = false;
  /// Runs the request and doesn't answer while this is set.
  bool stall = false;
  /// Answers so much later.
  std::uint32_t late_ms = 0;
  /// Answers with the id of the request before.
  bool crossed = false;
  /// Sends half of the body and closes.
  bool truncated = false;
  /// Leaves out Content-Length and ends the body by closing.
  bool no_length = false;
  /// 500 for each request.
  bool fail = false;
  /// Each connection goes silent after so many answers; 0 is never.
  std::uint32_t silent_after = 0;
  /// Runs a request that comes on a used connection, and closes it without an
  /// answer.
  bool drop_on_reused = false;
  /// Closes each connection after an answer without saying so.
  bool close_idle = false;
  bool depart = false;
  std::uint32_t service_time_ms = 1;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Faults, refuse, stall, late_ms, crossed,
                                   truncated, no_length, fail, silent_after,
                                   drop_on_reused, close_idle, depart,
                                   service_time_ms)

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

std::string Lower(std::string text) {
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
      request.headers[Lower(lines[i].substr(0, colon))] =
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

/// Announces the server to each daemon, on a thread of its own. A daemon's
/// answer {"interval_ms": N} sets the interval for that daemon.
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

  /// Announces the change at once.
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
      const bool all = this->announce_now.exchange(false);
      for (auto& target : this->targets) {
        if (all) {
          target->due = {};
        }
        if (!target->in_flight && steady_clock::now() >= target->due) {
          this->Begin(*target);
        }
      }
      int running = 0;
      curl_multi_perform(this->multi, &running);
      this->EndFinished();
      curl_multi_poll(this->multi, nullptr, 0, 50, nullptr);
    }
  }

  void Begin(Target& target) {
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

  void EndFinished() {
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

/// What the connections share. Everything but the announcements runs on one
/// thread.
struct Server {
  explicit Server(asio::io_context& io) : io(io) {
    this->faults.service_time_ms = static_cast<std::uint32_t>(
        absl::ToInt64Milliseconds(absl::GetFlag(FLAGS_service_time)));
  }

  /// "silent": true makes the connections that are open now silent; all other
  /// names are those of Faults. False if the object isn't valid.
  bool ChangeFaults(const json& change) {
    json all = this->faults;
    try {
      if (change.value("silent", false)) {
        this->silent_generation += 1;
      }
      for (const auto& [name, value] : change.items()) {
        if (name != "silent") {
          all.at(name) = value;
        }
      }
      const bool was_departing = this->faults.depart;
      this->faults = all.get<Faults>();
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

/// Serves one connection. It lives as long as an operation holds it, and ends
/// when the peer has closed.
class Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(Server& server, tcp::socket socket)
      : server(server),
        socket(std::move(socket)),
        timer(server.io),
        generation(server.silent_generation) {
    this->server.open_connections += 1;
    this->server.max_connections =
        std::max(this->server.max_connections, this->server.open_connections);
  }

  ~Connection() { this->server.open_connections -= 1; }
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
    const std::size_t present = std::min(this->input.size(), size);
    this->request.body = this->input.substr(0, present);
    this->input.erase(0, present);
    this->request.body.resize(size);
    asio::async_read(
        this->socket,
        asio::buffer(this->request.body.data() + present, size - present),
        [self = this->shared_from_this()](asio::error_code error, std::size_t) {
          if (!error) {
            self->Handle();
          }
        });
  }

  bool Silent() const {
    const std::uint32_t limit = this->server.faults.silent_after;
    return this->generation < this->server.silent_generation ||
           (limit > 0 && this->answers >= limit);
  }

  void Handle() {
    if (this->Silent()) {
      this->After(std::chrono::hours(1), [] {});
      return;
    }
    if (std::optional<Answer> answer = this->Control()) {
      this->Send(Serialise(*answer), true);
      return;
    }
    const std::string id = HeaderOf(this->request, "mimosastage-request-id");
    if (this->server.faults.refuse) {
      this->server.refused += 1;
      Answer answer{503, id, json{{"reason", "refused"}}, true};
      this->Send(Serialise(answer), true);
      return;
    }
    this->RunRequest(id);
  }

  /// The answer to a request for the stand-in itself.
  std::optional<Answer> Control() {
    Answer answer;
    if (this->request.method == "GET" && this->request.target == "/runs") {
      answer.body = this->server.Runs();
      return answer;
    }
    if (this->request.method == "POST" && this->request.target == "/faults") {
      const json change = json::parse(this->request.body, nullptr, false);
      answer.status = this->server.ChangeFaults(change) ? 200 : 400;
      answer.body = json(this->server.faults);
      return answer;
    }
    return std::nullopt;
  }

  void RunRequest(const std::string& id) {
    this->server.CountRun(this->request, id);
    const Faults& faults = this->server.faults;
    if (faults.drop_on_reused && this->answers > 0) {
      this->server.in_progress -= 1;
      return;
    }
    this->After(milliseconds(faults.service_time_ms + faults.late_ms),
                [this, id] { this->EndRun(id); });
  }

  void EndRun(const std::string& id) {
    if (this->server.faults.stall) {
      this->After(milliseconds(20), [this, id] { this->EndRun(id); });
      return;
    }
    this->server.in_progress -= 1;
    this->AnswerRun(id);
  }

  void AnswerRun(const std::string& id) {
    const Faults& faults = this->server.faults;
    Answer answer;
    answer.status = faults.fail ? 500 : 200;
    answer.request_id = faults.crossed ? this->server.last_id : id;
    answer.body = {{"name", absl::GetFlag(FLAGS_name)},
                   {"request_id", answer.request_id}};
    this->server.last_id = id;
    std::string text = Serialise(answer, !faults.no_length);
    if (faults.truncated) {
      text.resize(text.size() - answer.body.dump().size() / 2);
    }
    const bool keep =
        !faults.truncated && !faults.no_length && !faults.close_idle;
    this->Send(std::move(text), keep);
  }

  /// Calls `next` later. It may use `this`.
  void After(steady_clock::duration time, std::function<void()> next) {
    this->timer.expires_after(time);
    this->timer.async_wait(
        [self = this->shared_from_this(),
         next = std::move(next)](asio::error_code) { next(); });
  }

  /// The connection is closed after the text unless it is kept.
  void Send(std::string text, bool keep) {
    this->output = std::move(text);
    asio::async_write(this->socket, asio::buffer(this->output),
                      [self = this->shared_from_this(), keep](
                          asio::error_code error, std::size_t) {
                        self->answers += 1;
                        if (!error && keep) {
                          self->ReadHead();
                        }
                      });
  }

  Server& server;
  tcp::socket socket;
  asio::steady_timer timer;
  std::uint64_t generation;
  std::uint32_t answers = 0;
  std::string input;
  std::string output;
  Request request;
};

class Program {
 public:
  Program()
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
    this->server.announcer =
        std::make_unique<Announcer>(daemons, FirstAnnouncement(port));
    this->server.ChangeFaults(json::parse(absl::GetFlag(FLAGS_faults)));
    std::cout << json{{"name", absl::GetFlag(FLAGS_name)}, {"port", port}}
              << std::endl;
    this->Accept();
    this->signals.async_wait([this](asio::error_code, int) {
      this->server.announcer->SetDeparting(true);
      this->ExitWhenIdle(
          steady_clock::now() +
          absl::ToChronoMilliseconds(absl::GetFlag(FLAGS_depart_wait)));
    });
    this->io.run();
  }

 private:
  static json FirstAnnouncement(std::uint16_t port) {
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
            std::make_shared<Connection>(this->server, std::move(socket))
                ->ReadHead();
          }
          this->Accept();
        });
  }

  void ExitWhenIdle(steady_clock::time_point earliest) {
    if (steady_clock::now() >= earliest && this->server.in_progress == 0) {
      this->io.stop();
      return;
    }
    this->exit_timer.expires_after(milliseconds(20));
    this->exit_timer.async_wait(
        [this, earliest](asio::error_code) { this->ExitWhenIdle(earliest); });
  }

  asio::io_context io{1};
  Server server{this->io};
  tcp::acceptor acceptor;
  asio::signal_set signals;
  asio::steady_timer exit_timer;
};

}  // namespace

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  curl_global_init(CURL_GLOBAL_NOTHING);
  Program program;
  program.Run();
  std::cout.flush();
  // The connections that are still open end with the process.
  std::_Exit(0);
}
