#include "mimosastage/backend_servers/exchange_client.h"

#include <curl/curl.h>

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
constexpr milliseconds kLongestPoll{1'000};
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
        commands(this->settings.ring_capacity, [this] { this->Wake(); }) {}

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
      curl_multi_wakeup(this->multi);
    }
  }

  void Run() {
    while (!this->stopping.load()) {
      this->wake_pending.exchange(false);
      const std::size_t taken = this->TakeCommands();
      int running = 0;
      curl_multi_perform(this->multi, &running);
      this->ReportEnded();
      this->GiveUpStalled();
      if (taken < kCommandsPerRound) {
        this->Poll();
      }
    }
    this->CancelAll();
  }

  std::size_t TakeCommands() {
    return this->commands.Drain(
        [this](ClientCommand&& command) { this->Take(std::move(command)); },
        kCommandsPerRound);
  }

  void Poll() {
    const milliseconds longest =
        this->stallable.empty() ? kLongestPoll : kStallCheckPeriod;
    curl_multi_poll(this->multi, nullptr, 0, static_cast<int>(longest.count()),
                    nullptr);
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
    if (this->stallable.empty() || now < this->next_stall_check) {
      return;
    }
    this->next_stall_check = now + kStallCheckPeriod;
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
  std::atomic<bool> wake_pending{false};
  std::atomic<bool> stopping{false};
  Ring<ClientCommand> commands;
  std::thread thread;
  // Used by the client's thread only.
  std::unordered_map<std::uint64_t, std::unique_ptr<Exchange>> exchanges;
  /// Exchanges with a limit for the first byte on a reused connection.
  std::unordered_set<std::uint64_t> stallable;
  TimePoint next_stall_check{};
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
  curl_multi_wakeup(this->impl->multi);
  this->impl->thread.join();
}

bool ExchangeClient::Submit(ExchangeRequest&& request) {
  return this->impl->commands.Push(ClientCommand(std::move(request)));
}

bool ExchangeClient::Cancel(std::uint64_t id) {
  return this->impl->commands.Push(ClientCommand(CancelCommand{id}));
}

}  // namespace mimosastage
