#include "mimosastage/backend_servers/exchange_client.h"

#include <curl/curl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
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
#include "mimosastage/backend_servers/internal/socket_poller.h"
#include "mimosastage/base/ring.h"
#include "mimosastage/telemetry/fatal_log.h"
#include "mimosastage/telemetry/log.h"

namespace mimosastage {
namespace {

using internal::Exchange;
using std::chrono::milliseconds;
using std::chrono::seconds;
using SteadyClock = std::chrono::steady_clock;

struct CancelCommand {
  std::uint64_t id = 0;
};
using ClientCommand = std::variant<ExchangeRequest, CancelCommand>;

constexpr EventName kExchangeIdInUse{"exchange_id_in_use"};

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

  /// Interrupts the thread only if it waits, because that costs a system call.
  void Wake() {
    if (this->waiting.exchange(false)) {
      this->poller.Interrupt();
    }
  }

  void Run() {
    const internal::SocketPoller::Handler handle =
        [this](const internal::SocketEvent& event) { this->OnReady(event); };
    while (!this->stopping.load()) {
      // Set before the commands are taken, so that a command that is pushed
      // later ends the wait.
      this->waiting.exchange(true);
      const bool executed = this->ExecuteCommands() > 0;
      this->RunDueTimers();
      this->poller.Wait(
          executed ? SteadyClock::duration::zero() : this->TimeToNextTimer(),
          handle);
      this->waiting.store(false);
      this->ReportFinishedTransfers();
    }
    this->CancelAll();
  }

  std::size_t ExecuteCommands() {
    return this->commands.Drain(
        [this](ClientCommand&& command) {
          this->ExecuteCommand(std::move(command));
        },
        kMaxCommandsPerWakeup);
  }

  static int OnSocket(CURL*, curl_socket_t socket, int what, void* user_data,
                      void*) {
    // At the end of each transfer libcurl calls this with CURL_POLL_REMOVE,
    // which sets neither bit.
    static_cast<Impl*>(user_data)->poller.Watch(
        socket, what != CURL_POLL_REMOVE && (what & CURL_POLL_IN) != 0,
        what != CURL_POLL_REMOVE && (what & CURL_POLL_OUT) != 0);
    return 0;
  }

  /// libcurl calls OnCloseSocket for connected sockets only. One that couldn't
  /// be connected is closed without notice, so what the poller knows of a new
  /// socket's number may be of an earlier one.
  static curl_socket_t OnOpenSocket(void* user_data, curlsocktype,
                                    curl_sockaddr* address) {
    const curl_socket_t opened =
        socket(address->family, address->socktype, address->protocol);
    if (opened != CURL_SOCKET_BAD) {
      static_cast<Impl*>(user_data)->poller.Forget(opened);
    }
    return opened;
  }

  static int OnCloseSocket(void* user_data, curl_socket_t socket) {
    static_cast<Impl*>(user_data)->poller.Forget(socket);
    return close(socket);
  }

  static int OnTimer(CURLM*, long timeout_ms, void* user_data) {  // NOLINT
    auto& due = static_cast<Impl*>(user_data)->curl_due;
    if (timeout_ms < 0) {
      due.reset();
    } else {
      due = SteadyClock::now() + milliseconds(timeout_ms);
    }
    return 0;
  }

  void OnReady(const internal::SocketEvent& event) {
    const int events = (event.readable ? CURL_CSELECT_IN : 0) |
                       (event.writable ? CURL_CSELECT_OUT : 0);
    this->RunSocketAction(event.socket, events);
    // After each socket, because many may have data at once.
    if (this->held_answer_bytes->load() >
        this->settings.max_held_answer_bytes) {
      this->ReportFinishedTransfers();
      this->CutLongestAnswers();
    }
  }

  void RunSocketAction(curl_socket_t socket, int events) {
    int running = 0;
    curl_multi_socket_action(this->multi, socket, events, &running);
  }

  void RunDueTimers() {
    if (!this->curl_due.has_value() && !this->stall_check_due.has_value()) {
      return;
    }
    const SteadyClock::time_point now = SteadyClock::now();
    if (this->curl_due.has_value() && *this->curl_due <= now) {
      this->curl_due.reset();
      this->RunSocketAction(CURL_SOCKET_TIMEOUT, 0);
      this->ReportFinishedTransfers();
    }
    if (this->stall_check_due.has_value() && *this->stall_check_due <= now) {
      this->stall_check_due.reset();
      this->AbandonStalled();
      this->ScheduleStallCheck();
    }
  }

  std::optional<SteadyClock::duration> TimeToNextTimer() const {
    if (!this->curl_due.has_value() && !this->stall_check_due.has_value()) {
      return std::nullopt;
    }
    constexpr auto kNever = SteadyClock::time_point::max();
    return std::min(this->curl_due.value_or(kNever),
                    this->stall_check_due.value_or(kNever)) -
           SteadyClock::now();
  }

  void ScheduleStallCheck() {
    if (!this->stallable.empty() && !this->stall_check_due.has_value()) {
      this->stall_check_due = SteadyClock::now() + kStallCheckPeriod;
    }
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
    if (this->exchanges.contains(id)) {
      // A result would be taken for that of the open exchange.
      LogEvent(LogSeverity::kError, kExchangeIdInUse,
               "a request was dropped because an exchange with its id is open; "
               "give each request its own id")
          .With("id", id);
      return;
    }
    const Exchange::Limits limits{
        this->settings.connect_timeout, this->settings.unacknowledged_timeout,
        this->settings.max_idle_time, this->settings.max_answer_bytes,
        this->held_answer_bytes};
    std::string request_id;
    if (this->settings.expect_request_id) {
      request_id = this->settings.request_id_prefix + "-" + std::to_string(id);
    }
    const auto max_age =
        this->MaxConnectionAge(internal::FormatServerAddress(request), now);
    auto exchange =
        std::make_unique<Exchange>(this->AcquireHandle(), std::move(request),
                                   std::move(request_id), limits, now, max_age);
    curl_easy_setopt(exchange->Easy(), CURLOPT_OPENSOCKETFUNCTION,
                     &Impl::OnOpenSocket);
    curl_easy_setopt(exchange->Easy(), CURLOPT_OPENSOCKETDATA, this);
    curl_easy_setopt(exchange->Easy(), CURLOPT_CLOSESOCKETFUNCTION,
                     &Impl::OnCloseSocket);
    curl_easy_setopt(exchange->Easy(), CURLOPT_CLOSESOCKETDATA, this);
    if (exchange->HasStallLimit()) {
      this->stallable.insert(id);
      this->ScheduleStallCheck();
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
    if (result.end == AttemptEnd::kTooLarge && this->hooks.on_limit) {
      this->hooks.on_limit(exchange.TooLarge() ? "answer_too_large"
                                               : "answer_bytes_held");
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

  /// Ends exchanges that read an answer until all answers fit.
  void CutLongestAnswers() {
    while (this->held_answer_bytes->load() >
           this->settings.max_held_answer_bytes) {
      const Exchange* longest = nullptr;
      for (const auto& [id, exchange] : this->exchanges) {
        if (exchange->AnswerStarted().has_value() &&
            (longest == nullptr ||
             *exchange->AnswerStarted() < *longest->AnswerStarted())) {
          longest = exchange.get();
        }
      }
      if (longest == nullptr) {
        // The rest is held by results that wait for the node.
        return;
      }
      this->AbandonExchange(longest->Id(), AttemptEnd::kTooLarge);
    }
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
  const std::shared_ptr<AnswerCharge::Total> held_answer_bytes =
      std::make_shared<AnswerCharge::Total>(0);
  CURLM* multi;
  internal::SocketPoller poller;
  /// Set while the thread waits, or is about to, and wasn't interrupted yet.
  std::atomic<bool> waiting{false};
  std::atomic<bool> stopping{false};
  Ring<ClientCommand> commands;
  std::thread thread;
  // The members below are used by the client's thread only.
  std::unordered_map<std::uint64_t, std::unique_ptr<Exchange>> exchanges;
  /// Exchanges that have a stall limit.
  std::unordered_set<std::uint64_t> stallable;
  /// When libcurl wants to be called; nullopt means never.
  std::optional<SteadyClock::time_point> curl_due;
  std::optional<SteadyClock::time_point> stall_check_due;
  std::unordered_map<std::string, TimePoint> suspected_since;
  std::vector<CURL*> spare_handles;
};

ExchangeClient::ExchangeClient(Settings settings, Hooks hooks)
    : impl(std::make_unique<Impl>(std::move(settings), std::move(hooks))) {}

ExchangeClient::~ExchangeClient() { this->Stop(); }

void ExchangeClient::Start() {
  this->impl->thread = std::thread([this] {
    const ThreadDuty duty("exchanges");
    this->impl->Run();
  });
}

void ExchangeClient::Stop() {
  if (!this->impl->thread.joinable()) {
    return;
  }
  this->impl->stopping.store(true);
  this->impl->poller.Interrupt();
  this->impl->thread.join();
}

bool ExchangeClient::Submit(ExchangeRequest&& request) {
  return this->impl->commands.Push(ClientCommand(std::move(request)));
}

bool ExchangeClient::Cancel(std::uint64_t id) {
  return this->impl->commands.Push(ClientCommand(CancelCommand{id}));
}

std::size_t ExchangeClient::HeldAnswerBytes() const {
  return this->impl->held_answer_bytes->load();
}

}  // namespace mimosastage
