#include "mimosastage/backend_servers/exchange_client.h"

#include <curl/curl.h>
#include <sys/resource.h>

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

constexpr std::size_t kMaxCommandsPerWakeup = 256;
constexpr std::size_t kMaxSpareHandles = 256;
constexpr std::size_t kMaxSuspectServers = 4'096;
/// Stall limits are in the order of seconds. With a few hundred exchanges in
/// progress, a check on every socket event would cost more than handling the
/// event itself.
constexpr milliseconds kStallCheckPeriod{100};

/// File descriptors for everything but connections over HTTP: the data folder,
/// links to the other daemons, listeners and event loops.
constexpr std::size_t kReservedDescriptors = 200;
/// Bounds the limit of a process that may open any number of descriptors.
constexpr std::size_t kMaxIdleConnections = 32'768;
constexpr std::size_t kMinIdleConnections = 16;

/// Initialises libcurl once per process, as it requires before any other call.
void InitialiseLibcurl() {
  static const CURLcode kDone = curl_global_init(CURL_GLOBAL_NOTHING);
  static_cast<void>(kDone);
}

}  // namespace

std::size_t IdleConnectionLimit() {
  rlimit descriptors{};
  if (getrlimit(RLIMIT_NOFILE, &descriptors) != 0 ||
      descriptors.rlim_cur <= kReservedDescriptors) {
    return kMinIdleConnections;
  }
  return std::clamp<std::size_t>(
      (descriptors.rlim_cur - kReservedDescriptors) / 2, kMinIdleConnections,
      kMaxIdleConnections);
}

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

  /// Coalesces wakeups until the thread has run, because each one costs a
  /// system call.
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
    if (this->ExecuteCommands() >= kMaxCommandsPerWakeup) {
      this->Wake();
    }
    this->ReportFinishedTransfers();
    this->ScheduleStallCheck();
  }

  std::size_t ExecuteCommands() {
    return this->commands.Drain(
        [this](ClientCommand&& command) {
          this->ExecuteCommand(std::move(command));
        },
        kMaxCommandsPerWakeup);
  }

  /// A socket that libcurl wants to have polled. libcurl owns the descriptor
  /// and closes it.
  struct WatchedSocket {
    WatchedSocket(asio::io_context& io, curl_socket_t socket)
        : descriptor(io, socket) {}
    ~WatchedSocket() { this->Release(); }
    WatchedSocket(const WatchedSocket&) = delete;
    WatchedSocket& operator=(const WatchedSocket&) = delete;

    void Release() {
      if (this->descriptor.is_open()) {
        this->descriptor.release();
      }
    }

    asio::posix::stream_descriptor descriptor;
    bool wants_read = false;
    bool wants_write = false;
    bool read_wait_pending = false;
    bool write_wait_pending = false;
  };

  static int OnSocket(CURL*, curl_socket_t socket, int what, void* user_data,
                      void*) {
    static_cast<Impl*>(user_data)->UpdateWatch(socket, what);
    return 0;
  }

  static int OnTimer(CURLM*, long timeout_ms, void* user_data) {  // NOLINT
    static_cast<Impl*>(user_data)->SetTimer(timeout_ms);
    return 0;
  }

  void UpdateWatch(curl_socket_t socket, int what) {
    if (what == CURL_POLL_REMOVE) {
      // Released here and not only by the destructor: a running handler may
      // still hold the entry, and a new socket may get the same descriptor
      // number before that handler returns.
      if (const auto found = this->watched_sockets.find(socket);
          found != this->watched_sockets.end()) {
        found->second->Release();
        this->watched_sockets.erase(found);
      }
      return;
    }
    std::shared_ptr<WatchedSocket>& entry = this->watched_sockets[socket];
    if (entry == nullptr) {
      entry = std::make_shared<WatchedSocket>(this->io, socket);
    }
    entry->wants_read = (what & CURL_POLL_IN) != 0;
    entry->wants_write = (what & CURL_POLL_OUT) != 0;
    this->AwaitReadiness(socket, entry);
  }

  void AwaitReadiness(curl_socket_t socket,
                      const std::shared_ptr<WatchedSocket>& entry) {
    if (entry->wants_read && !std::exchange(entry->read_wait_pending, true)) {
      entry->descriptor.async_wait(
          asio::posix::stream_descriptor::wait_read,
          [this, socket, weak = std::weak_ptr(entry)](asio::error_code error) {
            this->OnSocketReady(socket, weak, error, CURL_CSELECT_IN);
          });
    }
    if (entry->wants_write && !std::exchange(entry->write_wait_pending, true)) {
      entry->descriptor.async_wait(
          asio::posix::stream_descriptor::wait_write,
          [this, socket, weak = std::weak_ptr(entry)](asio::error_code error) {
            this->OnSocketReady(socket, weak, error, CURL_CSELECT_OUT);
          });
    }
  }

  void OnSocketReady(curl_socket_t socket,
                     const std::weak_ptr<WatchedSocket>& weak,
                     asio::error_code error, int event) {
    const auto entry = weak.lock();
    if (entry == nullptr || error == asio::error::operation_aborted) {
      return;
    }
    bool& wait_pending = event == CURL_CSELECT_IN ? entry->read_wait_pending
                                                  : entry->write_wait_pending;
    wait_pending = false;
    const bool wanted =
        event == CURL_CSELECT_IN ? entry->wants_read : entry->wants_write;
    if (wanted) {
      this->RunSocketAction(socket, error ? CURL_CSELECT_ERR : event);
    }
    if (const auto found = this->watched_sockets.find(socket);
        found != this->watched_sockets.end() && found->second == entry) {
      this->AwaitReadiness(socket, entry);
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
        this->RunSocketAction(CURL_SOCKET_TIMEOUT, 0);
      }
    });
  }

  void RunSocketAction(curl_socket_t socket, int events) {
    int running = 0;
    curl_multi_socket_action(this->multi, socket, events, &running);
    this->ReportFinishedTransfers();
    this->ScheduleStallCheck();
  }

  void ScheduleStallCheck() {
    if (this->stallable.empty() ||
        std::exchange(this->stall_check_scheduled, true)) {
      return;
    }
    this->stall_timer.expires_after(kStallCheckPeriod);
    this->stall_timer.async_wait([this](asio::error_code error) {
      this->stall_check_scheduled = false;
      if (!error) {
        this->AbandonStalled();
        this->ScheduleStallCheck();
      }
    });
  }

  void ExecuteCommand(ClientCommand&& command) {
    if (auto* cancel = std::get_if<CancelCommand>(&command)) {
      this->AbandonExchange(cancel->id, AttemptEnd::kCancelled);
    } else {
      this->StartExchange(std::move(std::get<ExchangeRequest>(command)));
    }
  }

  void StartExchange(ExchangeRequest&& request) {
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
        this->MaxConnectionAge(internal::FormatServerAddress(request), now);
    auto exchange =
        std::make_unique<Exchange>(this->AcquireHandle(), std::move(request),
                                   std::move(request_id), limits, now, max_age);
    if (exchange->HasStallLimit()) {
      this->stallable.insert(id);
    }
    const CURLMcode added =
        curl_multi_add_handle(this->multi, exchange->Easy());
    this->exchanges.emplace(id, std::move(exchange));
    if (added != CURLM_OK) {
      this->AbandonExchange(id, AttemptEnd::kNotStarted);
    }
  }

  CURL* AcquireHandle() {
    if (this->spare_handles.empty()) {
      return curl_easy_init();
    }
    CURL* easy = this->spare_handles.back();
    this->spare_handles.pop_back();
    return easy;
  }

  void ReleaseHandle(CURL* easy) {
    if (this->spare_handles.size() >= kMaxSpareHandles) {
      curl_easy_cleanup(easy);
      return;
    }
    curl_easy_reset(easy);
    this->spare_handles.push_back(easy);
  }

  /// Reports the transfers that libcurl has completed.
  void ReportFinishedTransfers() {
    int left = 0;
    while (CURLMsg* message = curl_multi_info_read(this->multi, &left)) {
      if (message->msg != CURLMSG_DONE) {
        continue;
      }
      const CURLcode code = message->data.result;
      Exchange* exchange = nullptr;
      curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &exchange);
      this->CompleteExchange(*exchange,
                             exchange->Finish(code, LeaseClock::now()));
    }
  }

  void CompleteExchange(Exchange& exchange, ExchangeResult&& result) {
    if (result.end == AttemptEnd::kStalledReused) {
      this->MarkConnectionsSuspect(exchange.Server(), LeaseClock::now());
    }
    const std::uint64_t id = exchange.Id();
    CURL* easy = exchange.Easy();
    // libcurl closes the connection here unless the transfer ended cleanly.
    curl_multi_remove_handle(this->multi, easy);
    this->stallable.erase(id);
    this->exchanges.erase(id);
    this->ReleaseHandle(easy);
    this->hooks.on_result(std::move(result));
  }

  void AbandonExchange(std::uint64_t id, AttemptEnd end_if_sent) {
    auto found = this->exchanges.find(id);
    if (found == this->exchanges.end()) {
      return;
    }
    Exchange& exchange = *found->second;
    this->CompleteExchange(exchange,
                           exchange.Abandon(end_if_sent, LeaseClock::now()));
  }

  void AbandonStalled() {
    const TimePoint now = LeaseClock::now();
    std::vector<std::uint64_t> stalled;
    for (std::uint64_t id : this->stallable) {
      const auto due = this->exchanges.at(id)->StallDeadline();
      if (due && *due <= now) {
        stalled.push_back(id);
      }
    }
    for (std::uint64_t id : stalled) {
      this->AbandonExchange(id, AttemptEnd::kStalledReused);
    }
  }

  /// Prevents reuse of all connections to the server that are open now, because
  /// the idle ones may be unresponsive as well.
  void MarkConnectionsSuspect(const std::string& server, TimePoint now) {
    if (this->suspected_since.size() >= kMaxSuspectServers) {
      this->suspected_since.clear();
    }
    this->suspected_since[server] = now;
  }

  /// Maximum age of a connection that may be reused; nullopt means any age.
  std::optional<seconds> MaxConnectionAge(const std::string& server,
                                          TimePoint now) {
    auto found = this->suspected_since.find(server);
    if (found == this->suspected_since.end()) {
      return std::nullopt;
    }
    const Duration since = now - found->second;
    // A connection that was unresponsive then has been idle ever since, so
    // max_idle_time already prevents its reuse.
    if (since > this->settings.max_idle_time + seconds(1)) {
      this->suspected_since.erase(found);
      return std::nullopt;
    }
    // libcurl compares ages in whole seconds and reuses a connection whose age
    // equals the limit.
    return std::chrono::floor<seconds>(since) - seconds(1);
  }

  void CancelAll() {
    while (this->ExecuteCommands() > 0) {
    }
    while (!this->exchanges.empty()) {
      this->AbandonExchange(this->exchanges.begin()->first,
                            AttemptEnd::kCancelled);
    }
  }

  Settings settings;
  Hooks hooks;
  CURLM* multi;
  asio::io_context io{1};
  asio::steady_timer curl_timer;
  asio::steady_timer stall_timer;
  std::unordered_map<curl_socket_t, std::shared_ptr<WatchedSocket>>
      watched_sockets;
  std::atomic<bool> wake_pending{false};
  std::atomic<bool> stopping{false};
  Ring<ClientCommand> commands;
  std::thread thread;
  // The members below are used by the client's thread only.
  std::unordered_map<std::uint64_t, std::unique_ptr<Exchange>> exchanges;
  /// Exchanges that have a stall limit.
  std::unordered_set<std::uint64_t> stallable;
  bool stall_check_scheduled = false;
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
