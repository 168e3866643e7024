#include "mimosastage/node/job_daemon.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <future>
#include <map>
#include <thread>
#include <unordered_map>
#include <utility>
#include <variant>

#include "mimosastage/base/daemon_id.h"
#include "mimosastage/base/ring.h"
#include "mimosastage/base/wake_signal.h"
#include "mimosastage/daemons/random_bytes.h"
#include "mimosastage/http/limit_log.h"
#include "mimosastage/node/exchange_inbox.h"
#include "mimosastage/node/link_log.h"
#include "mimosastage/storage/data_folder.h"
#include "mimosastage/storage/storage_thread.h"
#include "mimosastage/telemetry/fatal_log.h"
#include "mimosastage/telemetry/log.h"
#include "mimosastage/telemetry/metrics.h"

namespace mimosastage {
namespace {

constexpr std::size_t kRingCapacity = 4'096;
/// Limit per ring, so that a full ring doesn't starve the others.
constexpr std::size_t kMaxEventsPerDrain = 256;
/// Connections that a listener accepts beyond the limit, so that it can close
/// another one for each.
constexpr std::size_t kSpareConnections = 64;
/// The upper bits of a request's id hold the index of its listener.
constexpr unsigned kListenerShift = 48;
/// Set in the ids of requests to the platform that owns the instances.
constexpr std::uint64_t kInstanceRequestBit = 1ULL << 63U;
/// Set in the ids of requests to the advisory service.
constexpr std::uint64_t kAdviceRequestBit = 1ULL << 62U;

/// A request that can't be sent within this time is dropped, because a daemon
/// that was frozen in between may no longer be the leader.
constexpr std::chrono::milliseconds kOrderSendTimeout{250};

/// Limits on the log lines of JobNode; lines above them are only counted.
constexpr std::size_t kMaxLogLinesPerSecond = 200;
/// Limit per event, so that one kind of line doesn't suppress all others.
constexpr std::size_t kMaxLogLinesPerEventAndSecond = 40;

/// Interval of the log line on the node thread's load.
constexpr std::chrono::seconds kLoadReportInterval{1};

constexpr EventName kLogLinesDropped{"log_lines_dropped"};
constexpr EventName kNodeLoad{"node_load"};
constexpr EventName kDataFolderKept{"data_folder_kept"};
constexpr EventName kStorageRetried{"storage_retried"};
constexpr EventName kStorageOpened{"storage_opened"};
constexpr EventName kStorageUnusable{"storage_unusable"};
constexpr EventName kStorageSetAside{"storage_set_aside"};

/// Time between two attempts to open a data folder whose disk failed; a disk
/// stays full for seconds. Must be above 300 ms, for which a voter that hears
/// from a leader promises to support no other.
constexpr std::chrono::milliseconds kStorageReopenInterval{500};

/// As kStorageReopenInterval, for a folder that needs an operator: often enough
/// to be seen in the log.
constexpr std::chrono::seconds kUnusableStorageReopenInterval{5};

/// How long a start waits for the data folder before it goes on without it.
/// Opening a folder takes some 10 ms unless the disk hangs.
constexpr std::chrono::seconds kLongestStartWait{1};

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

/// New set of daemons for the links to connect to.
struct PeerChange {
  std::vector<LinkAddress> peers;
  bool dial_all = false;
};

using LinkOrder = std::variant<OutgoingMessage, PeerChange>;

struct HttpEvent {
  /// Only the id is set if the connection was lost.
  HttpRequest request;
  bool disconnected = false;
};

struct OutgoingAnswer {
  std::uint64_t request = 0;
  HttpAnswer answer;
};

/// Label of metrics::kStorageFailures.
std::string_view StorageFailureReason(std::error_code error) {
  if (error == StorageError::kDamaged) {
    return "damaged";
  }
  if (error == StorageError::kForeignFolder) {
    return "foreign_folder";
  }
  if (error == StorageError::kUnknownRecord) {
    return "unknown_record";
  }
  return "input_output";
}

std::uint64_t RandomNumber() {
  std::uint64_t number = 0;
  FillWithRandomBytes(
      {reinterpret_cast<unsigned char*>(&number), sizeof(number)});
  return number;
}

/// An HTTP server and the rings between its thread and the node's.
struct Listener {
  explicit Listener(const std::function<void()>& wake_node)
      : requests(kRingCapacity, wake_node),
        answers(kRingCapacity, [this] { this->server->Wake(); }) {}

  Ring<HttpEvent> requests;
  Ring<OutgoingAnswer> answers;
  std::unique_ptr<HttpServer> server;
};

/// Limits the log lines of JobNode.
class LogRateLimiter {
 public:
  bool Allow(const char* event, TimePoint now) {
    if (now - this->window_start >= std::chrono::seconds(1)) {
      this->ReportDropped();
      this->window_start = now;
      this->written = 0;
      this->written_of_event.clear();
    }
    std::size_t& of_event = this->written_of_event[event];
    if (this->written >= kMaxLogLinesPerSecond ||
        of_event >= kMaxLogLinesPerEventAndSecond) {
      ++this->dropped[event];
      return false;
    }
    ++this->written;
    ++of_event;
    return true;
  }

 private:
  void ReportDropped() {
    for (const auto& [event, lines] : this->dropped) {
      LogEvent(LogSeverity::kWarning, kLogLinesDropped,
               "log lines were dropped by the rate limit")
          .With("of_event", event)
          .With("lines", lines);
    }
    this->dropped.clear();
  }

  TimePoint window_start{};
  std::size_t written = 0;
  std::map<std::string, std::size_t, std::less<>> written_of_event;
  std::map<std::string, std::size_t, std::less<>> dropped;
};

struct OpenedFolder {
  std::unique_ptr<DataFolder> folder;
  Result<DurableImage> image;
};

/// What the node thread did since `start`.
struct NodeLoad {
  TimePoint start{};
  Duration handling_events{};
  Duration advancing{};
  Duration longest_turn{};
  /// From when an answer was read to when the node handled it.
  Duration longest_answer_wait{};
  std::uint64_t turns = 0;
  std::uint64_t exchanges = 0;
  std::uint64_t instance_requests = 0;
  std::uint64_t answers = 0;
  /// Exchanges that ended before anything was sent.
  std::uint64_t not_started = 0;
  std::uint64_t new_connections = 0;
};

}  // namespace

struct JobDaemon::Impl {
  Impl(Settings given, JobProtocol protocol)
      : settings(std::move(given)),
        protocol(std::move(protocol)),
        input_budget(std::make_shared<InputBudget>(this->settings.input)) {}
  ~Impl() { this->JoinOpener(); }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  std::string Start();
  /// Opens the data folder on a thread of its own, because a disk can hang for
  /// seconds. Ends the storage thread that failed before.
  void BeginOpeningStorage();
  /// Runs on the thread that opens the folder.
  OpenedFolder OpenFolder();
  /// Starts the storage thread and sets `image`. If the folder can't be used,
  /// schedules another attempt and leaves `image` empty. Returns an empty
  /// string, or a message with the remedy if another process uses the folder.
  std::string FinishOpeningStorage(std::optional<DurableImage>& image);
  void JoinOpener();
  void CountStorageFailure(std::error_code error);
  /// Stops voting until the data folder can be opened again, because the
  /// content of the disk after a failed write is unknown.
  void HandleStorageFailure(TimePoint now);
  /// Begins to open the folder if that is due, and votes once it is open.
  void AdvanceStorage(TimePoint now);
  void MakeListeners();
  void MakeLinks();
  void MakeExchanges();
  void MakeNode();
  void RunNode();
  bool DrainRings();
  void OnRequest(std::uint64_t id, HttpRequest&& request, TimePoint now);
  void OnExchange(ExchangeResult&& result, TimePoint now);
  void SendExchange(ExchangeRequest&& request);
  /// Logs the node thread's load once per interval, unless it was idle.
  void ReportLoad(TimePoint now);
  void AnswerHttp(std::uint64_t id, HttpAnswer&& answer);
  void StopThreads();

  Settings settings;
  JobProtocol protocol;
  std::shared_ptr<InputBudget> input_budget;
  Metrics metrics;
  LogRateLimiter log_limiter;
  NodeLoad load;
  WakeSignal wake;
  std::function<void()> wake_node = [this] { this->wake.Notify(); };
  std::vector<std::unique_ptr<Listener>> listeners;
  Ring<DaemonEvent> from_daemons{kRingCapacity, this->wake_node};
  ExchangeInbox from_exchanges{kRingCapacity, this->wake_node};
  Ring<LinkOrder> to_daemons{kRingCapacity, [this] { this->links->Wake(); }};
  std::unique_ptr<DataFolder> folder;
  std::unique_ptr<StorageThread> storage;
  /// Used on the links' thread.
  LinkLog link_log{DaemonIdText};
  std::unique_ptr<Links> links;
  /// Used on the exchange client's thread.
  LimitLog answer_limit_log;
  std::unique_ptr<ExchangeClient> exchanges;
  std::unique_ptr<JobNode> node;
  std::thread node_thread;
  std::uint64_t synced = 0;
  /// The voter's disk is empty, out of date or unusable. Its links dial all
  /// peers, because the others may not know this voter.
  bool lacks_durable_state = false;
  /// Set while the data folder can't be used and isn't being opened.
  std::optional<TimePoint> reopen_storage_at;
  std::thread opener;
  /// Valid while `opener` runs or its result isn't taken yet.
  std::future<OpenedFolder> opening;
  /// Ended by `opener`, because its last write may hang.
  std::unique_ptr<StorageThread> failed_storage;
  std::atomic<bool> stop_requested{false};
  std::atomic<bool> storage_failed{false};
  std::atomic<int> exit_status{0};
};

std::string JobDaemon::Impl::Start() {
  std::optional<DurableImage> image;
  if (this->settings.node.is_voter) {
    this->BeginOpeningStorage();
    if (this->opening.wait_for(kLongestStartWait) ==
        std::future_status::ready) {
      if (std::string problem = this->FinishOpeningStorage(image);
          !problem.empty()) {
        return problem;
      }
    } else {
      LogEvent(LogSeverity::kError, kStorageRetried,
               "the data folder isn't open yet; check whether the disk hangs")
          .With("folder", this->settings.data_folder.string());
      this->lacks_durable_state = true;
    }
  }
  this->MakeListeners();
  this->MakeLinks();
  if (this->settings.node.is_voter) {
    this->MakeExchanges();
  }
  this->MakeNode();
  this->node->Start(std::move(image), LeaseClock::now());
  if (auto port = this->links->Start(); !port.has_value()) {
    return "can't listen for daemons on " + this->settings.link.address + ":" +
           std::to_string(this->settings.link.port) + ": " +
           port.error().message() + "; choose a free port in the settings";
  }
  for (std::size_t i = 0; i < this->listeners.size(); ++i) {
    if (auto port = this->listeners[i]->server->Start(); !port.has_value()) {
      const ListenAddress& at = this->settings.listeners[i].at;
      return "can't listen on " + at.address + ":" + std::to_string(at.port) +
             ": " + port.error().message() +
             "; choose a free address in the settings";
    }
  }
  this->node_thread = std::thread([this] {
    const ThreadDuty duty("node");
    this->RunNode();
  });
  return {};
}

void JobDaemon::Impl::BeginOpeningStorage() {
  std::promise<OpenedFolder> opened;
  this->opening = opened.get_future();
  this->opener = std::thread([this, opened = std::move(opened)]() mutable {
    const ThreadDuty duty("storage opener");
    // The folder has one writer at a time.
    this->failed_storage.reset();
    this->folder.reset();
    opened.set_value(this->OpenFolder());
    this->wake.Notify();
  });
}

OpenedFolder JobDaemon::Impl::OpenFolder() {
  const std::filesystem::path& path = this->settings.data_folder;
  const JobNode::Config& node_config = this->settings.node;
  if (this->settings.first_start &&
      node_config.founding_membership.Contains(node_config.self)) {
    // Fails if the folder has content, because it is formatted already.
    const auto formatted =
        DataFolder::Format(path, this->settings.cluster, node_config.self);
    if (!formatted.has_value()) {
      LogEvent(LogSeverity::kInfo, kDataFolderKept,
               "the data folder is already formatted")
          .With("reason", formatted.error());
    }
  }
  const auto make_folder = [&] {
    return std::make_unique<DataFolder>(path, this->settings.cluster,
                                        node_config.self);
  };
  auto folder = make_folder();
  auto image = folder->Open();
  if (image.has_value() || image.error() != StorageError::kDamaged) {
    return {std::move(folder), std::move(image)};
  }
  this->CountStorageFailure(image.error());
  LogEvent(LogSeverity::kError, kStorageSetAside,
           "the damaged files are renamed to names with .damaged, and this "
           "voter recovers from the other voters; check the disk: " +
               folder->ErrorDetail())
      .With("folder", path.string());
  folder.reset();
  folder = make_folder();
  if (const auto done = folder->SetDamagedFilesAside(); done.has_error()) {
    return {std::move(folder), done.error()};
  }
  folder.reset();
  folder = make_folder();
  image = folder->Open();
  return {std::move(folder), std::move(image)};
}

std::string JobDaemon::Impl::FinishOpeningStorage(
    std::optional<DurableImage>& image) {
  OpenedFolder opened = this->opening.get();
  this->JoinOpener();
  this->folder = std::move(opened.folder);
  if (opened.image.has_error()) {
    const std::error_code error = opened.image.error();
    std::string problem = error.message() + ": " + this->folder->ErrorDetail();
    if (error == StorageError::kAlreadyOpen) {
      return problem;
    }
    this->CountStorageFailure(error);
    const bool needs_operator = error != StorageError::kInputOutput;
    LogEvent(LogSeverity::kError,
             needs_operator ? kStorageUnusable : kStorageRetried, problem)
        .With("folder", this->settings.data_folder.string());
    this->lacks_durable_state = true;
    this->reopen_storage_at =
        LeaseClock::now() + (needs_operator ? kUnusableStorageReopenInterval
                                            : kStorageReopenInterval);
    return {};
  }
  if (!this->folder->OpenReport().empty()) {
    LogEvent(LogSeverity::kWarning, events::kLogTruncated,
             this->folder->OpenReport());
  }
  image = std::move(*opened.image);
  this->lacks_durable_state = !image->intact;
  if (this->lacks_durable_state) {
    LogEvent(LogSeverity::kWarning, events::kRecoveryStarted,
             "the data folder is empty or out of date; this voter recovers "
             "its state from the other voters");
  }
  StorageThread::Hooks hooks;
  hooks.on_synced = this->wake_node;
  hooks.on_failed = [this](const std::string& detail) {
    LogEvent(LogSeverity::kError, events::kStorageFailed, detail)
        .With("folder", this->settings.data_folder.string());
    this->CountStorageFailure(StorageError::kInputOutput);
    this->storage_failed.store(true);
    this->wake.Notify();
  };
  // The thread that failed before may have reported it late.
  this->storage_failed.store(false);
  this->storage =
      std::make_unique<StorageThread>(*this->folder, std::move(hooks));
  this->storage->Start();
  return {};
}

void JobDaemon::Impl::JoinOpener() {
  if (this->opener.joinable()) {
    this->opener.join();
  }
}

void JobDaemon::Impl::CountStorageFailure(std::error_code error) {
  this->metrics.Add(metrics::kStorageFailures, StorageFailureReason(error));
}

void JobDaemon::Impl::HandleStorageFailure(TimePoint now) {
  if (this->storage == nullptr) {
    return;
  }
  this->node->StopVoting("the disk failed");
  this->failed_storage = std::move(this->storage);
  this->synced = 0;
  this->reopen_storage_at = now + kStorageReopenInterval;
}

void JobDaemon::Impl::AdvanceStorage(TimePoint now) {
  if (this->reopen_storage_at.has_value() && now >= *this->reopen_storage_at) {
    this->reopen_storage_at.reset();
    this->BeginOpeningStorage();
  }
  if (!this->opening.valid() ||
      this->opening.wait_for(std::chrono::seconds::zero()) !=
          std::future_status::ready) {
    return;
  }
  std::optional<DurableImage> image;
  if (const std::string problem = this->FinishOpeningStorage(image);
      !problem.empty()) {
    LogFailedExit("the data folder can't be opened again: " + problem, 1);
    this->exit_status.store(1);
  } else if (image.has_value()) {
    LogEvent(LogSeverity::kInfo, kStorageOpened,
             "the data folder is open again")
        .With("folder", this->settings.data_folder.string());
    this->node->Start(std::move(image), now);
  }
}

void JobDaemon::Impl::MakeListeners() {
  for (std::size_t i = 0; i < this->settings.listeners.size(); ++i) {
    auto listener = std::make_unique<Listener>(this->wake_node);
    HttpServer::Settings server;
    server.thread_duty = "listener-" + std::to_string(i);
    const ListenerSettings& given = this->settings.listeners[i];
    server.address = given.at.address;
    server.port = given.at.port;
    server.name = given.name;
    server.budget = this->input_budget;
    server.max_connections =
        this->settings.input.max_connections + kSpareConnections;
    server.max_body_bytes = given.max_body_bytes;
    HttpServer::Hooks hooks;
    Listener* const self = listener.get();
    const std::uint64_t base = static_cast<std::uint64_t>(i) << kListenerShift;
    hooks.on_request = [this, self, base](HttpRequest&& request) {
      const std::uint64_t id = request.id;
      request.id |= base;
      if (!self->requests.Push(HttpEvent{std::move(request), false})) {
        this->metrics.Add(metrics::kRefusals, "daemon_overloaded");
        HttpAnswer answer;
        answer.status = 503;
        answer.headers.emplace_back("Retry-After", "1");
        self->server->Answer(id, std::move(answer));
      }
    };
    hooks.on_disconnect = [this, self, base](std::uint64_t id) {
      HttpEvent event;
      event.request.id = id | base;
      event.disconnected = true;
      if (!self->requests.Push(event)) {
        this->metrics.Add(metrics::kDrops, "disconnect_ring_full");
      }
    };
    hooks.on_limit = [this, i](std::string_view reason) {
      this->metrics.Add(
          metrics::kInputLimits,
          this->settings.listeners[i].name + "." + std::string(reason));
    };
    hooks.on_wake = [self] {
      self->answers.Drain(
          [self](OutgoingAnswer&& out) {
            self->server->Answer(out.request, std::move(out.answer));
          },
          kRingCapacity);
    };
    listener->server =
        std::make_unique<HttpServer>(std::move(server), std::move(hooks));
    this->listeners.push_back(std::move(listener));
  }
}

void JobDaemon::Impl::MakeLinks() {
  Links::Settings link_settings;
  link_settings.cluster = this->settings.cluster;
  link_settings.own = this->settings.link;
  link_settings.peers = this->settings.peers;
  link_settings.link_key = this->settings.link_key;
  link_settings.seed = RandomNumber();
  link_settings.accept_anonymous = this->settings.node.is_voter;
  link_settings.accept_unlisted = this->settings.node.is_voter;
  link_settings.dial_all = this->lacks_durable_state;
  // A network partition is detected only by silence. The leader sends a message
  // every 200 ms.
  link_settings.silence_limit = std::chrono::milliseconds(1'200);
  link_settings.heartbeat = std::chrono::milliseconds(400);
  link_settings.max_reconnect_delay = std::chrono::milliseconds(500);
  Links::Hooks hooks;
  hooks.on_message = [this](DaemonId from, std::string&& message) {
    if (!this->from_daemons.Push(DaemonEvent{from, std::move(message), true})) {
      this->metrics.Add(metrics::kDrops, "daemon_message_ring_full");
    }
  };
  hooks.on_state = [this](DaemonId peer, bool up) {
    this->link_log.OnState(peer, up, LeaseClock::now());
    if (!this->from_daemons.Push(DaemonEvent{peer, std::nullopt, up})) {
      this->metrics.Add(metrics::kDrops, "link_state_ring_full");
    }
  };
  hooks.on_drop = [this](std::string_view reason) {
    this->metrics.Add(metrics::kDrops, reason);
  };
  hooks.on_bytes = [this](std::size_t sent, std::size_t received) {
    this->metrics.Add(metrics::kLinkBytes, "sent", sent);
    this->metrics.Add(metrics::kLinkBytes, "received", received);
  };
  hooks.on_id_conflict = [this](const DaemonIdConflict& conflict) {
    this->link_log.OnIdConflict(conflict);
  };
  hooks.on_wake = [this] {
    this->link_log.WriteSummaries(LeaseClock::now());
    this->to_daemons.Drain(
        [this](LinkOrder&& order) {
          if (auto* out = std::get_if<OutgoingMessage>(&order);
              out != nullptr) {
            this->links->Send(out->to, std::move(out->message));
          } else if (auto* change = std::get_if<PeerChange>(&order);
                     change != nullptr) {
            this->links->SetPeers(std::move(change->peers), change->dial_all);
          }
        },
        kRingCapacity);
  };
  this->links =
      std::make_unique<Links>(std::move(link_settings), std::move(hooks));
}

void JobDaemon::Impl::MakeExchanges() {
  ExchangeClient::Settings client;
  client.expect_request_id = false;
  client.max_answer_bytes = this->settings.max_answer_bytes;
  client.max_held_answer_bytes = this->settings.max_held_answer_bytes;
  client.max_connections_per_server = this->settings.connections_per_worker;
  client.connect_timeout = std::chrono::milliseconds(400);
  client.unacknowledged_timeout = std::chrono::milliseconds(1'000);
  ExchangeClient::Hooks hooks;
  hooks.on_result = [this](ExchangeResult&& result) {
    this->from_exchanges.Deliver(result);
  };
  hooks.on_limit = [this](std::string_view reason) {
    this->metrics.Add(metrics::kInputLimits, "answers." + std::string(reason));
    LogInputLimit(this->answer_limit_log, "answers", reason,
                  this->exchanges->HeldAnswerBytes());
  };
  this->exchanges =
      std::make_unique<ExchangeClient>(std::move(client), std::move(hooks));
  this->exchanges->Start();
}

void JobDaemon::Impl::MakeNode() {
  JobNode::Config config = this->settings.node;
  config.seed = RandomNumber();
  JobNode::Hooks hooks;
  hooks.send = [this](DaemonId to, std::string message) {
    if (!this->to_daemons.Push(OutgoingMessage{to, std::move(message)})) {
      this->metrics.Add(metrics::kDrops, "outgoing_message_ring_full");
    }
  };
  hooks.persist = [this](DurableWrite write) {
    if (!this->storage->Write(std::move(write))) {
      LogEvent(LogSeverity::kError, events::kStorageFailed,
               "too many writes wait for the disk; check whether it hangs")
          .With("folder", this->settings.data_folder.string());
      this->metrics.Add(metrics::kStorageFailures, "ring_full");
      this->storage_failed.store(true);
    }
  };
  hooks.on_members = [this](const Membership& members, bool member) {
    PeerChange change;
    change.dial_all = !member;
    change.peers = this->settings.peers;
    for (const Member& other : members.slots) {
      const bool listed = std::any_of(
          change.peers.begin(), change.peers.end(),
          [&](const LinkAddress& peer) { return peer.daemon == other.daemon; });
      if (other.daemon != kNoVoter && !listed &&
          other.daemon != this->settings.node.self) {
        change.peers.push_back(
            LinkAddress{other.daemon, other.address, other.port});
      }
    }
    this->to_daemons.PushOrWait(LinkOrder(std::move(change)));
  };
  hooks.send_order = [this](const jobs::WorkerOrder& order) {
    ExchangeRequest exchange = this->protocol.encode_order(order);
    exchange.start_before = order.send_before;
    this->SendExchange(std::move(exchange));
  };
  hooks.send_instance_request = [this](const jobs::InstanceRequest& request) {
    ExchangeRequest exchange = this->protocol.encode_instance_request(request);
    exchange.id |= kInstanceRequestBit;
    ++this->load.instance_requests;
    this->SendExchange(std::move(exchange));
  };
  hooks.ask_advice = [this](const jobs::AdviceRequest& request) {
    ExchangeRequest exchange = this->protocol.encode_advice_request(request);
    exchange.id |= kAdviceRequestBit;
    this->SendExchange(std::move(exchange));
  };
  hooks.answer = [this](std::uint64_t request, jobs::CallKind kind,
                        const jobs::Answer& answer) {
    this->AnswerHttp(request, this->protocol.encode_answer(kind, answer));
  };
  hooks.wall_time = [] {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
  };
  hooks.report = [this](const char* event, const std::string& id,
                        const std::string& detail) {
    if (this->log_limiter.Allow(event, LeaseClock::now())) {
      LogEvent(LogSeverity::kInfo, EventName{event}, detail).With("id", id);
    }
  };
  hooks.count_refusal = [this](const char* reason) {
    this->metrics.Add(metrics::kRefusals, reason);
  };
  hooks.count_retry = [this](const char* reason) {
    this->metrics.Add(metrics::kRetries, reason);
  };
  hooks.count_drop = [this](const char* reason) {
    this->metrics.Add(metrics::kDrops, reason);
  };
  this->node = std::make_unique<JobNode>(std::move(config), std::move(hooks));
}

void JobDaemon::Impl::SendExchange(ExchangeRequest&& request) {
  const std::uint64_t id = request.id;
  request.start_before =
      std::min(request.start_before, LeaseClock::now() + kOrderSendTimeout);
  ++this->load.exchanges;
  if (!this->exchanges->Submit(std::move(request))) {
    this->metrics.Add(metrics::kDrops, "exchange_ring_full");
    this->from_exchanges.AddRefused(id);
  }
}

void JobDaemon::Impl::AnswerHttp(std::uint64_t id, HttpAnswer&& answer) {
  Listener& listener = *this->listeners[id >> kListenerShift];
  answer.close = answer.close || this->node->ShuttingDown();
  this->metrics.Add(metrics::kRequests, std::to_string(answer.status));
  listener.answers.PushOrWait(
      OutgoingAnswer{id & ((1ULL << kListenerShift) - 1), std::move(answer)});
}

void JobDaemon::Impl::OnRequest(std::uint64_t id, HttpRequest&& request,
                                TimePoint now) {
  DecodedRequest decoded =
      this->protocol.decode_request(request, id >> kListenerShift);
  if (auto* call = std::get_if<IncomingCall>(&decoded); call != nullptr) {
    this->node->OnCall(id, std::move(call->call), call->patience, now);
  } else if (auto* answer = std::get_if<HttpAnswer>(&decoded);
             answer != nullptr) {
    this->AnswerHttp(id, std::move(*answer));
  } else if (std::holds_alternative<MetricsRequest>(decoded)) {
    HttpAnswer text;
    text.headers.emplace_back("Content-Type", "text/plain; version=0.0.4");
    for (const auto& usage : this->input_budget->UsageByListener()) {
      this->metrics.Set(metrics::kInputBytes, static_cast<double>(usage.bytes),
                        usage.listener);
      this->metrics.Set(metrics::kInputConnections,
                        static_cast<double>(usage.connections), usage.listener);
    }
    if (this->exchanges != nullptr) {
      this->metrics.Set(metrics::kInputBytes,
                        static_cast<double>(this->exchanges->HeldAnswerBytes()),
                        "answers");
    }
    text.body = this->metrics.PrometheusText();
    this->AnswerHttp(id, std::move(text));
  } else {
    HttpAnswer readiness;
    readiness.status = this->node->Ready(now) ? 200 : 503;
    this->AnswerHttp(id, std::move(readiness));
  }
}

void JobDaemon::Impl::OnExchange(ExchangeResult&& result, TimePoint now) {
  ++this->load.answers;
  this->load.not_started += result.end == AttemptEnd::kNotStarted ? 1 : 0;
  this->load.new_connections += result.reused_connection ? 0 : 1;
  if (result.ended_at != TimePoint{}) {
    const Duration wait = now - result.ended_at;
    this->load.longest_answer_wait =
        std::max(this->load.longest_answer_wait, wait);
    this->metrics.Observe(metrics::kAnswerWait, wait);
  }
  if ((result.id & kInstanceRequestBit) != 0) {
    result.id &= ~kInstanceRequestBit;
    this->node->OnInstanceReply(this->protocol.decode_instance_reply(result),
                                now);
  } else if ((result.id & kAdviceRequestBit) != 0) {
    result.id &= ~kAdviceRequestBit;
    this->node->OnAdvice(this->protocol.decode_advice_reply(result), now);
  } else {
    this->node->OnWorkerReply(this->protocol.decode_reply(result), now);
  }
}

void JobDaemon::Impl::RunNode() {
  while (true) {
    const TimePoint turn_start = LeaseClock::now();
    const bool busy = this->DrainRings();
    const TimePoint now = LeaseClock::now();
    if (this->stop_requested.load() && !this->node->ShuttingDown()) {
      LogEvent(LogSeverity::kInfo, events::kDaemonStopping,
               "planned stop: unready now, finishing open calls")
          .With("deadline_ms", this->settings.node.stop_deadline);
      this->node->BeginShutdown(now);
    }
    this->node->Advance(now);
    const TimePoint turn_end = LeaseClock::now();
    ++this->load.turns;
    this->load.handling_events += now - turn_start;
    this->load.advancing += turn_end - now;
    this->load.longest_turn =
        std::max(this->load.longest_turn, turn_end - turn_start);
    this->ReportLoad(turn_end);
    if (this->storage_failed.exchange(false)) {
      this->HandleStorageFailure(now);
    }
    this->AdvanceStorage(now);
    if (this->exit_status.load() != 0) {
      return;
    }
    if (this->node->Stopped(now)) {
      return;
    }
    if (!busy) {
      this->wake.Wait(
          std::max<Duration>(this->node->NextDue(now) - now, Duration::zero()));
    }
  }
}

void JobDaemon::Impl::ReportLoad(TimePoint now) {
  if (now - this->load.start < kLoadReportInterval) {
    return;
  }
  if (this->load.exchanges > 0) {
    LogEvent(LogSeverity::kInfo, kNodeLoad, "load of the node thread")
        .With("window_ms", now - this->load.start)
        .With("handling_events_ms", this->load.handling_events)
        .With("advancing_ms", this->load.advancing)
        .With("longest_turn_ms", this->load.longest_turn)
        .With("longest_answer_wait_ms", this->load.longest_answer_wait)
        .With("turns", this->load.turns)
        .With("exchanges", this->load.exchanges)
        .With("instance_requests", this->load.instance_requests)
        .With("answers", this->load.answers)
        .With("not_started", this->load.not_started)
        .With("new_connections", this->load.new_connections);
  }
  this->load = NodeLoad{.start = now};
}

bool JobDaemon::Impl::DrainRings() {
  // Reads the clock for each event: the daemon can be frozen between two
  // events, and its authority as leader may end in that time.
  std::size_t taken = 0;
  if (this->storage != nullptr) {
    if (const std::uint64_t ticket = this->storage->LastSyncedTicket();
        ticket != std::exchange(this->synced, ticket)) {
      this->node->OnStorageSynced(ticket, LeaseClock::now());
      ++taken;
    }
  }
  taken += this->from_daemons.Drain(
      [&](DaemonEvent&& event) {
        if (event.message.has_value()) {
          this->node->OnMessage(event.peer, *event.message, LeaseClock::now());
        } else {
          this->node->OnLinkState(event.peer, event.up, LeaseClock::now());
        }
      },
      kMaxEventsPerDrain);
  taken += this->from_exchanges.Drain(
      [&](ExchangeResult&& result) {
        this->OnExchange(std::move(result), LeaseClock::now());
      },
      kMaxEventsPerDrain);
  for (const auto& listener : this->listeners) {
    taken += listener->requests.Drain(
        [&](HttpEvent&& event) {
          const std::uint64_t id = event.request.id;
          if (event.disconnected) {
            this->node->OnDisconnect(id);
          } else {
            this->OnRequest(id, std::move(event.request), LeaseClock::now());
          }
        },
        kMaxEventsPerDrain);
  }
  return taken > 0;
}

void JobDaemon::Impl::StopThreads() {
  // The servers write answers asynchronously; stopping them immediately would
  // truncate the last ones.
  constexpr std::chrono::milliseconds kFlushTime{100};
  std::this_thread::sleep_for(kFlushTime);
  this->from_exchanges.Close();
  if (this->exchanges != nullptr) {
    this->exchanges->Stop();
  }
  for (const auto& listener : this->listeners) {
    listener->server->Stop();
  }
  this->links->Stop();
  this->JoinOpener();
  if (this->storage != nullptr) {
    this->storage->Stop();
  }
  LogEvent(LogSeverity::kInfo, events::kDaemonStopped, "daemon has stopped");
}

JobDaemon::JobDaemon(Settings settings, JobProtocol protocol)
    : impl(std::make_unique<Impl>(std::move(settings), std::move(protocol))) {}

JobDaemon::~JobDaemon() {
  if (this->impl->node_thread.joinable()) {
    this->RequestStop();
    this->Wait();
  }
}

std::string JobDaemon::Start() { return this->impl->Start(); }

void JobDaemon::RequestStop() {
  this->impl->stop_requested.store(true);
  this->impl->wake.Notify();
}

int JobDaemon::Wait() {
  this->impl->node_thread.join();
  this->impl->StopThreads();
  return this->impl->exit_status.load();
}

}  // namespace mimosastage
