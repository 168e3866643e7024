#include "mimosastage/node/daemon.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <thread>
#include <utility>
#include <variant>

#include "mimosastage/backend_servers/exchange_client.h"
#include "mimosastage/base/ring.h"
#include "mimosastage/base/wake_signal.h"
#include "mimosastage/daemons/links.h"
#include "mimosastage/daemons/random_bytes.h"
#include "mimosastage/http/http_server.h"
#include "mimosastage/http/limit_log.h"
#include "mimosastage/node/exchange_inbox.h"
#include "mimosastage/node/link_log.h"
#include "mimosastage/node/node.h"
#include "mimosastage/storage/data_folder.h"
#include "mimosastage/storage/storage_thread.h"
#include "mimosastage/telemetry/fatal_log.h"
#include "mimosastage/telemetry/log.h"
#include "mimosastage/telemetry/metrics.h"

namespace mimosastage {
namespace {

constexpr std::size_t kRingCapacity = 8'192;
/// Limit per ring, so that a full ring doesn't starve the others.
constexpr std::size_t kMaxEventsPerDrain = 256;
constexpr std::chrono::milliseconds kMaxWait{100};
constexpr std::size_t kMaxConnectionsPerServer = 64;

struct Disconnect {
  std::uint64_t request = 0;
};
using CallerEvent = std::variant<HttpRequest, Disconnect>;

struct DaemonEvent {
  DaemonId peer{};
  /// Empty if the state of the link changed.
  std::optional<std::string> message;
  bool up = false;
};

struct OutgoingMessage {
  DaemonId to{};
  std::string message;
};

struct OutgoingAnswer {
  std::uint64_t request = 0;
  HttpAnswer answer;
};

std::uint64_t RandomNumber() {
  std::uint64_t number = 0;
  // A reused session id would bring back the units of an earlier run.
  FillWithRandomBytes(
      {reinterpret_cast<unsigned char*>(&number), sizeof(number)});
  // Session id 0 means "no session" in the snapshot of the allowances.
  return std::max<std::uint64_t>(number, 1);
}

/// Large enough for the complete declaration of the largest fleet.
constexpr std::uint64_t kMaxOperatorBodyBytes = 8U << 20U;
/// Descriptors for files, links, listeners and event loops, as
/// IdleConnectionLimit reserves.
constexpr std::size_t kReservedDescriptors = 200;
constexpr std::size_t kMinConnections = 64;

/// A quarter of the memory is for answers of backend servers that are read or
/// passed on. A quarter is for requests.
constexpr std::size_t kMemoryPerHeldAnswerByte = 4;

/// Half of the descriptors are for connections to backend servers.
std::size_t MaxConnections(const LimitSettings& limits) {
  if (limits.max_file_descriptors == 0) {
    return limits.max_connections;
  }
  const std::size_t free =
      std::max(limits.max_file_descriptors, kReservedDescriptors) -
      kReservedDescriptors;
  return std::min(limits.max_connections, std::max(free / 2, kMinConnections));
}

InputBudget::Limits InputLimitsOf(const LimitSettings& limits) {
  return MakeInputLimits(
      limits.memory_mb, MaxConnections(limits),
      std::max(limits.max_body_bytes, kMaxOperatorBodyBytes));
}

HttpAnswer OverloadedAnswer() {
  CallerRefusal refusal;
  refusal.reason = "daemon_overloaded";
  refusal.title = "this entry is overloaded; send the request again later";
  refusal.retry_after = std::chrono::seconds(1);
  return ToHttpAnswer(refusal);
}

}  // namespace

struct Daemon::Impl {
  explicit Impl(Settings given) : settings(std::move(given)) {}

  std::string Start();
  std::string OpenStorage(std::optional<DurableImage>& image);
  void MakeCallers();
  void MakeOperators();
  void MakeLinks();
  void MakeExchanges();
  void MakeNode();
  Node::Hooks NodeHooks();
  std::string StartListeners();
  void RunNode();
  bool DrainRings(TimePoint now);
  void HandleStopRequests(TimePoint now);
  void StopThreads();
  void FlushAnswers();
  void CountInputLimit(const char* listener, std::string_view reason);
  void SetInputGauges();

  Settings settings;
  Metrics metrics;
  WakeSignal wake;
  std::function<void()> wake_node = [this] { this->wake.Notify(); };

  Ring<CallerEvent> from_callers{kRingCapacity, this->wake_node};
  Ring<HttpRequest> from_operators{kRingCapacity, this->wake_node};
  Ring<DaemonEvent> from_daemons{kRingCapacity, this->wake_node};
  ExchangeInbox from_exchanges{kRingCapacity, this->wake_node};
  Ring<OutgoingAnswer> to_callers{kRingCapacity,
                                  [this] { this->callers->Wake(); }};
  Ring<OutgoingAnswer> to_operators{kRingCapacity,
                                    [this] { this->operators->Wake(); }};
  Ring<OutgoingMessage> to_daemons{kRingCapacity,
                                   [this] { this->links->Wake(); }};

  std::unique_ptr<DataFolder> folder;
  std::unique_ptr<StorageThread> storage;
  std::shared_ptr<InputBudget> input_budget =
      std::make_shared<InputBudget>(InputLimitsOf(this->settings.limits));
  std::unique_ptr<HttpServer> callers;
  std::unique_ptr<HttpServer> operators;
  /// Used on the links' thread.
  LinkLog link_log{[this](DaemonId peer) {
    return this->settings.daemons[static_cast<std::size_t>(peer)].name;
  }};
  std::unique_ptr<Links> links;
  /// Used on the exchange client's thread.
  LimitLog answer_limit_log;
  std::unique_ptr<ExchangeClient> exchanges;
  std::unique_ptr<Node> node;
  std::thread node_thread;
  std::uint64_t synced = 0;
  std::atomic<int> stop_requests{0};
  std::atomic<bool> storage_failed{false};
  bool shutting_down = false;
  TimePoint shutdown_deadline{};
  std::atomic<int> exit_status{0};
};

std::string Daemon::Impl::Start() {
  std::optional<DurableImage> image;
  if (this->settings.Self().voter) {
    if (std::string problem = this->OpenStorage(image); !problem.empty()) {
      return problem;
    }
  }
  this->MakeCallers();
  this->MakeOperators();
  this->MakeLinks();
  this->MakeExchanges();
  this->MakeNode();
  this->exchanges->Start();
  this->node->Start(std::move(image), LeaseClock::now());
  if (std::string problem = this->StartListeners(); !problem.empty()) {
    return problem;
  }
  this->node_thread = std::thread([this] {
    const ThreadDuty duty("node");
    this->RunNode();
  });
  return {};
}

std::string Daemon::Impl::OpenStorage(std::optional<DurableImage>& image) {
  this->folder = std::make_unique<DataFolder>(
      this->settings.data_dir, this->settings.cluster, this->settings.self);
  auto opened = this->folder->Open();
  if (!opened.has_value()) {
    return opened.error().message() + ": " + this->folder->ErrorDetail();
  }
  if (!this->folder->OpenReport().empty()) {
    LogEvent(LogSeverity::kWarning, events::kLogTruncated,
             this->folder->OpenReport())
        .With("folder", this->settings.data_dir);
  }
  image = std::move(*opened);
  StorageThread::Hooks storage_hooks;
  storage_hooks.on_synced = this->wake_node;
  storage_hooks.on_failed = [this](const std::string& detail) {
    LogEvent(LogSeverity::kError, events::kStorageFailed, detail)
        .With("folder", this->settings.data_dir);
    this->storage_failed.store(true);
    this->wake.Notify();
  };
  this->storage =
      std::make_unique<StorageThread>(*this->folder, std::move(storage_hooks));
  this->storage->Start();
  return {};
}

void Daemon::Impl::CountInputLimit(const char* listener,
                                   std::string_view reason) {
  this->metrics.Add(metrics::kInputLimits,
                    std::string(listener) + "." + std::string(reason));
}

void Daemon::Impl::SetInputGauges() {
  this->metrics.Set(metrics::kInputBytes,
                    static_cast<double>(this->exchanges->HeldAnswerBytes()),
                    "answers");
  for (const auto& usage : this->input_budget->UsageByListener()) {
    this->metrics.Set(metrics::kInputBytes, static_cast<double>(usage.bytes),
                      usage.listener);
    this->metrics.Set(metrics::kInputConnections,
                      static_cast<double>(usage.connections), usage.listener);
  }
}

void Daemon::Impl::MakeCallers() {
  HttpServer::Settings server;
  server.thread_duty = "callers";
  server.name = "callers";
  server.budget = this->input_budget;
  server.address = this->settings.callers_listen.address;
  server.port = this->settings.callers_listen.port;
  server.max_body_bytes = this->settings.limits.max_body_bytes;
  server.max_header_bytes = this->settings.limits.max_header_bytes;
  server.max_connections = this->settings.limits.max_connections;
  HttpServer::Hooks server_hooks;
  server_hooks.on_limit = [this](std::string_view reason) {
    this->CountInputLimit("callers", reason);
  };
  server_hooks.on_request = [this](HttpRequest&& request) {
    const std::uint64_t id = request.id;
    if (!this->from_callers.Push(CallerEvent(std::move(request)))) {
      this->metrics.Add(metrics::kRefusals, "daemon_overloaded");
      this->callers->Answer(id, OverloadedAnswer());
    }
  };
  server_hooks.on_disconnect = [this](std::uint64_t request) {
    // If the event is lost, one request is processed for nothing.
    if (!this->from_callers.Push(CallerEvent(Disconnect{request}))) {
      this->metrics.Add(metrics::kDrops, "disconnect_ring_full");
    }
  };
  server_hooks.on_wake = [this] {
    this->to_callers.Drain(
        [this](OutgoingAnswer&& out) {
          this->callers->Answer(out.request, std::move(out.answer));
        },
        kRingCapacity);
  };
  this->callers = std::make_unique<HttpServer>(server, std::move(server_hooks));
}

void Daemon::Impl::MakeOperators() {
  HttpServer::Settings server;
  server.thread_duty = "operators";
  server.name = "operators";
  server.budget = this->input_budget;
  server.address = this->settings.operators_listen.address;
  server.port = this->settings.operators_listen.port;
  server.max_body_bytes = kMaxOperatorBodyBytes;
  HttpServer::Hooks server_hooks;
  server_hooks.on_limit = [this](std::string_view reason) {
    this->CountInputLimit("operators", reason);
  };
  server_hooks.on_request = [this](HttpRequest&& request) {
    const std::uint64_t id = request.id;
    this->SetInputGauges();
    if (!this->from_operators.Push(request)) {
      this->metrics.Add(metrics::kRefusals, "daemon_overloaded");
      this->operators->Answer(id, OverloadedAnswer());
    }
  };
  server_hooks.on_wake = [this] {
    this->to_operators.Drain(
        [this](OutgoingAnswer&& out) {
          this->operators->Answer(out.request, std::move(out.answer));
        },
        kRingCapacity);
  };
  this->operators =
      std::make_unique<HttpServer>(server, std::move(server_hooks));
}

void Daemon::Impl::MakeLinks() {
  Links::Settings link_settings;
  link_settings.cluster = this->settings.cluster;
  link_settings.link_key = this->settings.link_key.Reveal();
  link_settings.seed = RandomNumber();
  for (std::size_t i = 0; i < this->settings.daemons.size(); ++i) {
    const auto& daemon = this->settings.daemons[i];
    LinkAddress address{DaemonId{static_cast<std::uint16_t>(i)},
                        daemon.link.address, daemon.link.port};
    if (address.daemon == this->settings.self) {
      link_settings.own = address;
    } else {
      link_settings.peers.push_back(address);
    }
  }
  Links::Hooks link_hooks;
  link_hooks.on_message = [this](DaemonId from, std::string&& message) {
    if (!this->from_daemons.Push(DaemonEvent{from, std::move(message), true})) {
      this->metrics.Add(metrics::kDrops, "daemon_message_ring_full");
    }
  };
  link_hooks.on_state = [this](DaemonId peer, bool up) {
    this->link_log.OnState(peer, up, LeaseClock::now());
    if (!this->from_daemons.Push(DaemonEvent{peer, std::nullopt, up})) {
      this->metrics.Add(metrics::kDrops, "link_state_ring_full");
    }
  };
  link_hooks.on_drop = [this](std::string_view reason) {
    this->metrics.Add(metrics::kDrops, reason);
  };
  link_hooks.on_bytes = [this](std::size_t sent, std::size_t received) {
    this->metrics.Add(metrics::kLinkBytes, "sent", sent);
    this->metrics.Add(metrics::kLinkBytes, "received", received);
  };
  link_hooks.on_id_conflict = [this](const DaemonIdConflict& conflict) {
    this->link_log.OnIdConflict(conflict);
  };
  link_hooks.on_wake = [this] {
    this->link_log.WriteSummaries(LeaseClock::now());
    this->to_daemons.Drain(
        [this](OutgoingMessage&& out) {
          this->links->Send(out.to, std::move(out.message));
        },
        kRingCapacity);
  };
  this->links =
      std::make_unique<Links>(std::move(link_settings), std::move(link_hooks));
}

void Daemon::Impl::MakeExchanges() {
  ExchangeClient::Settings client;
  // All entries together, including their idle connections, must stay within
  // the connections that a backend server accepts.
  client.max_connections_per_server = std::max<std::size_t>(
      1, kMaxConnectionsPerServer / this->settings.daemons.size());
  client.request_id_prefix =
      this->settings.daemon + "-" + std::to_string(RandomNumber());
  client.max_held_answer_bytes =
      (this->settings.limits.memory_mb << 20U) / kMemoryPerHeldAnswerByte;
  ExchangeClient::Hooks client_hooks;
  client_hooks.on_limit = [this](std::string_view reason) {
    this->CountInputLimit("answers", reason);
    LogInputLimit(this->answer_limit_log, "answers", reason,
                  this->exchanges->HeldAnswerBytes());
  };
  client_hooks.on_result = [this](ExchangeResult&& result) {
    this->from_exchanges.Deliver(result);
  };
  this->exchanges = std::make_unique<ExchangeClient>(std::move(client),
                                                     std::move(client_hooks));
}

void Daemon::Impl::MakeNode() {
  Node::Config config;
  config.settings = this->settings;
  config.seed = RandomNumber();
  this->node = std::make_unique<Node>(std::move(config), this->NodeHooks(),
                                      this->metrics);
}

Node::Hooks Daemon::Impl::NodeHooks() {
  Node::Hooks node_hooks;
  node_hooks.send = [this](DaemonId to, std::string&& message) {
    if (!this->to_daemons.Push(OutgoingMessage{to, std::move(message)})) {
      this->metrics.Add(metrics::kDrops, "outgoing_message_ring_full");
    }
  };
  node_hooks.persist = [this](DurableWrite&& write) {
    if (!this->storage->Write(std::move(write))) {
      LogEvent(LogSeverity::kError, events::kStorageFailed,
               "too many writes wait for the disk; check whether it hangs")
          .With("folder", this->settings.data_dir);
      this->metrics.Add(metrics::kStorageFailures, "ring_full");
      this->storage_failed.store(true);
    }
  };
  node_hooks.start_exchange = [this](ExchangeRequest&& request) {
    return this->exchanges->Submit(std::move(request));
  };
  node_hooks.cancel_exchange = [this](std::uint64_t exchange) {
    if (!this->exchanges->Cancel(exchange)) {
      this->metrics.Add(metrics::kDrops, "cancel_ring_full");
    }
  };
  node_hooks.answer_caller = [this](std::uint64_t request,
                                    HttpAnswer&& answer) {
    this->to_callers.PushOrWait(OutgoingAnswer{request, std::move(answer)});
  };
  node_hooks.answer_operator = [this](std::uint64_t request,
                                      HttpAnswer&& answer) {
    this->to_operators.PushOrWait(OutgoingAnswer{request, std::move(answer)});
  };
  node_hooks.wall_time = [] {
    return std::chrono::duration_cast<WallTime>(
        std::chrono::system_clock::now().time_since_epoch());
  };
  node_hooks.new_session = [] { return SessionId{RandomNumber()}; };
  return node_hooks;
}

std::string Daemon::Impl::StartListeners() {
  const auto problem = [](const std::string& what, const std::string& address,
                          const std::error_code& error) {
    return "can't listen for " + what + " on " + address + ": " +
           error.message() + "; choose a free address in the settings";
  };
  if (auto port = this->links->Start(); !port.has_value()) {
    return problem("daemons", this->settings.Self().link.str(), port.error());
  }
  if (auto port = this->operators->Start(); !port.has_value()) {
    return problem("operators", this->settings.operators_listen.str(),
                   port.error());
  }
  if (auto port = this->callers->Start(); !port.has_value()) {
    return problem("callers", this->settings.callers_listen.str(),
                   port.error());
  }
  return {};
}

void Daemon::Impl::RunNode() {
  while (true) {
    const TimePoint now = LeaseClock::now();
    const bool busy = this->DrainRings(now);
    this->HandleStopRequests(now);
    this->node->Advance(now);
    if (this->storage_failed.load()) {
      this->exit_status.store(1);
      LogFailedExit("the disk failed: " + this->folder->ErrorDetail(), 1);
      return;
    }
    if (this->shutting_down &&
        (this->node->Stopped() || now >= this->shutdown_deadline)) {
      return;
    }
    if (!busy) {
      const TimePoint due = this->node->NextDue().value_or(now + kMaxWait);
      this->wake.Wait(
          std::clamp<Duration>(due - now, Duration::zero(), kMaxWait));
    }
  }
}

bool Daemon::Impl::DrainRings(TimePoint now) {
  std::size_t taken = 0;
  if (this->storage != nullptr) {
    if (const std::uint64_t ticket = this->storage->LastSyncedTicket();
        ticket != std::exchange(this->synced, ticket)) {
      this->node->OnStorageSynced(ticket, now);
      ++taken;
    }
  }
  taken += this->from_daemons.Drain(
      [&](DaemonEvent&& event) {
        if (event.message.has_value()) {
          this->node->OnDaemonMessage(event.peer, *std::move(event.message),
                                      now);
        } else {
          this->node->OnLinkState(event.peer, event.up, now);
        }
      },
      kMaxEventsPerDrain);
  taken += this->from_exchanges.Drain(
      [&](ExchangeResult&& result) {
        this->node->OnExchangeResult(std::move(result), now);
      },
      kMaxEventsPerDrain);
  taken += this->from_callers.Drain(
      [&](CallerEvent&& event) {
        if (auto* request = std::get_if<HttpRequest>(&event);
            request != nullptr) {
          this->node->OnCallerRequest(std::move(*request), now);
        } else {
          this->node->OnCallerDisconnect(std::get<Disconnect>(event).request,
                                         now);
        }
      },
      kMaxEventsPerDrain);
  taken += this->from_operators.Drain(
      [&](HttpRequest&& request) {
        this->node->OnOperatorRequest(std::move(request), now);
      },
      kMaxEventsPerDrain);
  return taken > 0;
}

void Daemon::Impl::HandleStopRequests(TimePoint now) {
  const int requests = this->stop_requests.load();
  if (requests > 0 && !std::exchange(this->shutting_down, true)) {
    LogEvent(LogSeverity::kInfo, events::kDaemonStopping,
             "planned stop: unready now, finishing requests in progress")
        .With("deadline_ms", this->settings.timing.shutdown_deadline);
    this->shutdown_deadline = now + this->settings.timing.shutdown_deadline;
    this->node->BeginShutdown(now);
  }
  if (requests > 1) {
    this->shutdown_deadline = std::min(this->shutdown_deadline, now);
  }
}

void Daemon::Impl::StopThreads() {
  const std::size_t interrupted = this->node->OpenRequests();
  if (interrupted > 0) {
    LogEvent(LogSeverity::kWarning, events::kRequestInterrupted,
             "the stop interrupted requests in progress")
        .With("requests", interrupted);
    this->exit_status.store(1);
  }
  this->FlushAnswers();
  this->from_exchanges.Close();
  this->exchanges->Stop();
  this->callers->Stop();
  this->operators->Stop();
  this->links->Stop();
  if (this->storage != nullptr) {
    this->storage->Stop();
  }
  LogEvent(LogSeverity::kInfo, events::kDaemonStopped, "daemon has stopped")
      .With("interrupted", interrupted);
}

// The servers write answers asynchronously; stopping them immediately would
// truncate the last ones.
void Daemon::Impl::FlushAnswers() {
  constexpr std::chrono::milliseconds kFlushTime{200};
  std::this_thread::sleep_for(kFlushTime);
}

Daemon::Daemon(Settings settings)
    : impl(std::make_unique<Impl>(std::move(settings))) {}

Daemon::~Daemon() {
  if (this->impl->node_thread.joinable()) {
    this->RequestStop();
    this->RequestStop();
    this->Wait();
  }
}

std::string Daemon::Start() { return this->impl->Start(); }

void Daemon::RequestStop() {
  this->impl->stop_requests.fetch_add(1);
  this->impl->wake.Notify();
}

int Daemon::Wait() {
  this->impl->node_thread.join();
  this->impl->StopThreads();
  return this->impl->exit_status.load();
}

}  // namespace mimosastage
