#include "mimosastage/backend_servers/exchange_client.h"

#include <curl/curl.h>

#include <algorithm>
#include <asio.hpp>
#include <atomic>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <variant>
#include <vector>

#include "mimosastage/backend_servers/internal/exchange.h"
#include "mimosastage/base/ring.h"

namespace mimosastage {
namespace {

using internal::Exchange;
using std::chrono::milliseconds;
using std::chrono::seconds;

struct CancelCommand {
  std::uint64_t id = 0;
};
using ClientCommand = std::variant<ExchangeRequest, CancelCommand>;

constexpr std::size_t kCommandsPerRound = 256;
constexpr std::size_t kSpareHandles = 256;
constexpr std::size_t kMaxSuspects = 4'096;
/// Stall limits are seconds; checking each round would cost more than the rest
/// of the round with a few hundred exchanges in progress.
constexpr milliseconds kStallCheckPeriod{100};

/// libcurl's global setup, which must happen once before any thread uses it.
void InitialiseLibcurl() {
  static const CURLcode kDone = curl_global_init(CURL_GLOBAL_NOTHING);
  static_cast<void>(kDone);
}

}  // namespace

struct ExchangeClient::Impl {
  Impl(Settings given_settings, Hooks given_hooks)
      : settings(std::move(given_settings)),
        hooks(std::move(given_hooks)),
        multi(CreateMulti(this->settings)),
        curl_timer(this->io),
        stall_timer(this->io),
        commands(this->settings.ring_capacity, [this] { this->Wake(); }) {
    curl_multi_setopt(this->multi, CURLMOPT_SOCKETFUNCTION, &Impl::OnSocket);
    curl_multi_setopt(this->multi, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(this->multi, CURLMOPT_TIMERFUNCTION, &Impl::OnTimer);
    curl_multi_setopt(this->multi, CURLMOPT_TIMERDATA, this);
  }

  ~Impl() {
    for (CURL* easy : this->spare_handles) {
      curl_easy_cleanup(easy);
    }
    curl_multi_cleanup(this->multi);
  }

  static CURLM* CreateMulti(const Settings& settings) {
    InitialiseLibcurl();
    CURLM* multi = curl_multi_init();
    curl_multi_setopt(multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
    curl_multi_setopt(
        multi, CURLMOPT_MAXCONNECTS,
        static_cast<long>(settings.max_idle_connections));  // NOLINT
    curl_multi_setopt(
        multi, CURLMOPT_MAX_HOST_CONNECTIONS,
        static_cast<long>(settings.max_connections_per_server));  // NOLINT
    return multi;
  }

  /// Wakeups that come before the thread has run are merged, because each one
  /// costs a system call.
  void Wake() {
    if (!this->wake_pending.exchange(true)) {
      asio::post(this->io, [this] { this->OnWake(); });
    }
  }

  void Run() {
    const auto keep_running = asio::make_work_guard(this->io);
    this->io.run();
    this->CancelAll();
    this->io.restart();
    this->io.poll();
  }

  void OnWake() {
    this->wake_pending.exchange(false);
    if (this->stopping.load()) {
      this->io.stop();
      return;
    }
    if (this->TakeCommands() >= kCommandsPerRound) {
      this->Wake();
    }
    this->ReportEnded();
    this->WatchStalls();
  }

  std::size_t TakeCommands() {
    return this->commands.Drain(
        [this](ClientCommand&& command) { this->Take(std::move(command)); },
        kCommandsPerRound);
  }

  /// A socket that libcurl wants to be watched. libcurl closes the descriptor
  /// itself.
  struct Watched {
    Watched(asio::io_context& io, curl_socket_t socket)
        : descriptor(io, socket) {}
    ~Watched() { this->Release(); }
    Watched(const Watched&) = delete;
    Watched& operator=(const Watched&) = delete;

    void Release() {
      if (this->descriptor.is_open()) {
        this->descriptor.release();
      }
    }

    asio::posix::stream_descriptor descriptor;
    bool wants_read = false;
    bool wants_write = false;
    bool waits_read = false;
    bool waits_write = false;
  };

  static int OnSocket(CURL*, curl_socket_t socket, int what, void* user,
                      void*) {
    static_cast<Impl*>(user)->Watch(socket, what);
    return 0;
  }

  static int OnTimer(CURLM*, long timeout_ms, void* user) {  // NOLINT
    static_cast<Impl*>(user)->SetTimer(timeout_ms);
    return 0;
  }

  void Watch(curl_socket_t socket, int what) {
    if (what == CURL_POLL_REMOVE) {
      // A handler may hold the entry, and the next socket may have the same
      // number before the handler returns.
      if (const auto found = this->watched.find(socket);
          found != this->watched.end()) {
        found->second->Release();
        this->watched.erase(found);
      }
      return;
    }
    std::shared_ptr<Watched>& entry = this->watched[socket];
    if (entry == nullptr) {
      entry = std::make_shared<Watched>(this->io, socket);
    }
    entry->wants_read = (what & CURL_POLL_IN) != 0;
    entry->wants_write = (what & CURL_POLL_OUT) != 0;
    this->Await(socket, entry);
  }

  void Await(curl_socket_t socket, const std::shared_ptr<Watched>& entry) {
    if (entry->wants_read && !std::exchange(entry->waits_read, true)) {
      entry->descriptor.async_wait(
          asio::posix::stream_descriptor::wait_read,
          [this, socket, weak = std::weak_ptr(entry)](asio::error_code error) {
            this->OnReady(socket, weak, error, CURL_CSELECT_IN);
          });
    }
    if (entry->wants_write && !std::exchange(entry->waits_write, true)) {
      entry->descriptor.async_wait(
          asio::posix::stream_descriptor::wait_write,
          [this, socket, weak = std::weak_ptr(entry)](asio::error_code error) {
            this->OnReady(socket, weak, error, CURL_CSELECT_OUT);
          });
    }
  }

  void OnReady(curl_socket_t socket, const std::weak_ptr<Watched>& weak,
               asio::error_code error, int event) {
    const auto entry = weak.lock();
    if (entry == nullptr || error == asio::error::operation_aborted) {
      return;
    }
    bool& waits =
        event == CURL_CSELECT_IN ? entry->waits_read : entry->waits_write;
    waits = false;
    const bool wanted =
        event == CURL_CSELECT_IN ? entry->wants_read : entry->wants_write;
    if (wanted) {
      this->Act(socket, error ? CURL_CSELECT_ERR : event);
    }
    if (const auto found = this->watched.find(socket);
        found != this->watched.end() && found->second == entry) {
      this->Await(socket, entry);
    }
  }

  void SetTimer(long timeout_ms) {  // NOLINT: the type that libcurl uses.
    if (timeout_ms < 0) {
      this->curl_timer.cancel();
      return;
    }
    this->curl_timer.expires_after(milliseconds(timeout_ms));
    this->curl_timer.async_wait([this](asio::error_code error) {
      if (!error) {
        this->Act(CURL_SOCKET_TIMEOUT, 0);
      }
    });
  }

  void Act(curl_socket_t socket, int events) {
    int running = 0;
    curl_multi_socket_action(this->multi, socket, events, &running);
    this->ReportEnded();
    this->WatchStalls();
  }

  void WatchStalls() {
    if (this->stallable.empty() || std::exchange(this->watches_stalls, true)) {
      return;
    }
    this->stall_timer.expires_after(kStallCheckPeriod);
    this->stall_timer.async_wait([this](asio::error_code error) {
      this->watches_stalls = false;
      if (!error) {
        this->GiveUpStalled();
        this->WatchStalls();
      }
    });
  }

  void Take(ClientCommand&& command) {
    if (auto* cancel = std::get_if<CancelCommand>(&command)) {
      this->GiveUp(cancel->id, AttemptEnd::kCancelled);
    } else {
      this->Begin(std::move(std::get<ExchangeRequest>(command)));
    }
  }

  void Begin(ExchangeRequest&& request) {
    const TimePoint now = LeaseClock::now();
    const std::uint64_t id = request.id;
    const Exchange::Limits limits{
        this->settings.connect_timeout, this->settings.unacknowledged_timeout,
        this->settings.max_idle_time, this->settings.max_answer_bytes};
    std::string request_id;
    if (this->settings.expect_request_id) {
      request_id = this->settings.request_id_prefix + "-" + std::to_string(id);
    }
    const auto max_age =
        this->MaxConnectionAge(internal::ServerOf(request), now);
    auto exchange =
        std::make_unique<Exchange>(this->TakeHandle(), std::move(request),
                                   std::move(request_id), limits, now, max_age);
    if (exchange->CanStall()) {
      this->stallable.insert(id);
    }
    const CURLMcode added =
        curl_multi_add_handle(this->multi, exchange->Easy());
    this->exchanges.emplace(id, std::move(exchange));
    if (added != CURLM_OK) {
      this->GiveUp(id, AttemptEnd::kNotStarted);
    }
  }

  CURL* TakeHandle() {
    if (this->spare_handles.empty()) {
      return curl_easy_init();
    }
    CURL* easy = this->spare_handles.back();
    this->spare_handles.pop_back();
    return easy;
  }

  void ReturnHandle(CURL* easy) {
    if (this->spare_handles.size() >= kSpareHandles) {
      curl_easy_cleanup(easy);
      return;
    }
    curl_easy_reset(easy);
    this->spare_handles.push_back(easy);
  }

  /// Reports the transfers that libcurl has ended.
  void ReportEnded() {
    int left = 0;
    while (CURLMsg* message = curl_multi_info_read(this->multi, &left)) {
      if (message->msg != CURLMSG_DONE) {
        continue;
      }
      const CURLcode code = message->data.result;
      Exchange* exchange = nullptr;
      curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &exchange);
      this->Report(*exchange, exchange->Finish(code, LeaseClock::now()));
    }
  }

  void Report(Exchange& exchange, ExchangeResult&& result) {
    if (result.end == AttemptEnd::kStalledReused) {
      this->Suspect(exchange.Server(), LeaseClock::now());
    }
    const std::uint64_t id = exchange.Id();
    CURL* easy = exchange.Easy();
    // Closes the connection unless the exchange ended cleanly.
    curl_multi_remove_handle(this->multi, easy);
    this->stallable.erase(id);
    this->exchanges.erase(id);
    this->ReturnHandle(easy);
    this->hooks.on_result(std::move(result));
  }

  void GiveUp(std::uint64_t id, AttemptEnd end_if_sent) {
    auto found = this->exchanges.find(id);
    if (found == this->exchanges.end()) {
      return;
    }
    Exchange& exchange = *found->second;
    this->Report(exchange, exchange.Abandon(end_if_sent, LeaseClock::now()));
  }

  void GiveUpStalled() {
    const TimePoint now = LeaseClock::now();
    std::vector<std::uint64_t> stalled;
    for (std::uint64_t id : this->stallable) {
      const auto due = this->exchanges.at(id)->StallsAt();
      if (due && *due <= now) {
        stalled.push_back(id);
      }
    }
    for (std::uint64_t id : stalled) {
      this->GiveUp(id, AttemptEnd::kStalledReused);
    }
  }

  /// Idle connections to the server may be silent too: those that are open now
  /// aren't reused.
  void Suspect(const std::string& server, TimePoint now) {
    if (this->suspected_since.size() >= kMaxSuspects) {
      this->suspected_since.clear();
    }
    this->suspected_since[server] = now;
  }

  /// Largest age of a connection that may be reused, or nothing for any.
  std::optional<seconds> MaxConnectionAge(const std::string& server,
                                          TimePoint now) {
    auto found = this->suspected_since.find(server);
    if (found == this->suspected_since.end()) {
      return std::nullopt;
    }
    const Duration since = now - found->second;
    // A connection that was silent then has been idle ever since, and is too
    // old to be reused anyway.
    if (since > this->settings.max_idle_time + seconds(1)) {
      this->suspected_since.erase(found);
      return std::nullopt;
    }
    // libcurl compares whole seconds and reuses a connection of equal age.
    return std::chrono::floor<seconds>(since) - seconds(1);
  }

  void CancelAll() {
    while (this->TakeCommands() > 0) {
    }
    while (!this->exchanges.empty()) {
      this->GiveUp(this->exchanges.begin()->first, AttemptEnd::kCancelled);
    }
  }

  Settings settings;
  Hooks hooks;
  CURLM* multi;
  asio::io_context io{1};
  asio::steady_timer curl_timer;
  asio::steady_timer stall_timer;
  std::unordered_map<curl_socket_t, std::shared_ptr<Watched>> watched;
  std::atomic<bool> wake_pending{false};
  std::atomic<bool> stopping{false};
  Ring<ClientCommand> commands;
  std::thread thread;
  // Used by the client's thread only.
  std::unordered_map<std::uint64_t, std::unique_ptr<Exchange>> exchanges;
  /// Exchanges with a limit for the first byte on a reused connection.
  std::unordered_set<std::uint64_t> stallable;
  bool watches_stalls = false;
  std::unordered_map<std::string, TimePoint> suspected_since;
  std::vector<CURL*> spare_handles;
};

ExchangeClient::ExchangeClient(Settings settings, Hooks hooks)
    : impl(std::make_unique<Impl>(std::move(settings), std::move(hooks))) {}

ExchangeClient::~ExchangeClient() { this->Stop(); }

void ExchangeClient::Start() {
  this->impl->thread = std::thread([this] { this->impl->Run(); });
}

void ExchangeClient::Stop() {
  if (!this->impl->thread.joinable()) {
    return;
  }
  this->impl->stopping.store(true);
  asio::post(this->impl->io, [this] { this->impl->OnWake(); });
  this->impl->thread.join();
}

bool ExchangeClient::Submit(ExchangeRequest&& request) {
  return this->impl->commands.Push(ClientCommand(std::move(request)));
}

bool ExchangeClient::Cancel(std::uint64_t id) {
  return this->impl->commands.Push(ClientCommand(CancelCommand{id}));
}

}  // namespace mimosastage
