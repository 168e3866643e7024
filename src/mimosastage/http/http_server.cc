#include "mimosastage/http/http_server.h"

#include <poll.h>
#include <strings.h>

#include <atomic>
#include <map>
#include <restinio/all.hpp>
#include <set>
#include <thread>
#include <unordered_map>

#include "mimosastage/http/internal/metered_stream.h"
#include "mimosastage/http/limit_log.h"
#include "mimosastage/telemetry/fatal_log.h"
#include "mimosastage/telemetry/log.h"

namespace mimosastage {
namespace {

/// Interval of the check whether connections are accepted. A failed accept is
/// rare, so that clients may wait for up to two intervals.
constexpr std::chrono::seconds kAcceptCheckInterval{1};
constexpr EventName kListenerRestarted{"listener_restarted"};

/// Memory of an answer beside its headers and body.
constexpr std::size_t kAnswerBytes = 512;

using ConnectionId = restinio::connection_id_t;
using RequestHandle = restinio::request_handle_t;

/// Calls the hooks for each connection that RESTinio opens and closes, and
/// counts the connections.
class CloseListener {
 public:
  using Hook = std::function<void(ConnectionId)>;

  CloseListener(Hook on_accept, Hook on_close)
      : on_accept(std::move(on_accept)), on_close(std::move(on_close)) {}

  std::size_t Connections() const { return this->connections; }
  /// Connections accepted so far.
  std::uint64_t Accepted() const { return this->accepted; }

  // RESTinio requires this name.
  void state_changed(const restinio::connection_state::notice_t& notice) {
    if (restinio::holds_alternative<restinio::connection_state::accepted_t>(
            notice.cause())) {
      ++this->connections;
      ++this->accepted;
      this->on_accept(notice.connection_id());
    } else if (restinio::holds_alternative<
                   restinio::connection_state::closed_t>(notice.cause())) {
      --this->connections;
      this->on_close(notice.connection_id());
    }
  }

 private:
  Hook on_accept;
  Hook on_close;
  std::size_t connections = 0;
  std::uint64_t accepted = 0;
};

struct ServerTraits : public restinio::default_single_thread_traits_t {
  using connection_state_listener_t = CloseListener;
  using stream_socket_t = internal::MeteredStream;
  static constexpr bool use_connection_count_limiter = true;  // NOLINT
};

HttpRequest ToRequest(std::uint64_t id, const RequestHandle& handle) {
  HttpRequest request;
  request.id = id;
  request.target = handle->header().request_target();
  request.method = handle->header().method().c_str();
  handle->header().for_each_field([&](const auto& field) {
    request.headers.emplace_back(field.name(), field.value());
  });
  request.body = handle->body();
  return request;
}

std::size_t SizeOf(const HttpAnswer& answer) {
  std::size_t bytes = kAnswerBytes + answer.body.size();
  for (const auto& [name, value] : answer.headers) {
    bytes += name.size() + value.size();
  }
  return bytes;
}

std::shared_ptr<InputBudget> MakeOwnBudget(std::size_t max_connections) {
  InputBudget::Limits limits;
  limits.max_connections = max_connections;
  return std::make_shared<InputBudget>(limits);
}

}  // namespace

std::string_view FindHeader(const HttpHeaders& headers, std::string_view name) {
  for (const auto& [key, value] : headers) {
    if (key.size() == name.size() &&
        strncasecmp(key.data(), name.data(), name.size()) == 0) {
      return value;
    }
  }
  return {};
}

struct HttpServer::Impl {
  Impl(Settings settings, Hooks hooks)
      : settings(std::move(settings)), hooks(std::move(hooks)) {
    if (this->settings.budget == nullptr) {
      this->settings.budget = MakeOwnBudget(this->settings.max_connections);
    }
    internal::MeteredListener::Settings metered;
    metered.limits.max_body_bytes = this->settings.max_body_bytes;
    metered.limits.max_header_bytes = this->settings.max_header_bytes;
    metered.budget = this->settings.budget;
    metered.listener = this->settings.budget->AddListener(this->settings.name);
    metered.on_limit = [this](const char* reason) { this->OnLimit(reason); };
    this->meter.Configure(std::move(metered));
  }

  void OnLimit(const char* reason) {
    if (this->hooks.on_limit) {
      this->hooks.on_limit(reason);
    }
    LogInputLimit(this->limit_log, this->settings.name, reason,
                  this->settings.budget->HeldBytes());
  }

  restinio::request_handling_status_t OnRequest(RequestHandle handle) {
    const std::uint64_t id = this->next_request_id++;
    HttpRequest request = ToRequest(id, handle);
    std::shared_ptr<InputBudget::Charge> charge;
    if (const auto connection = this->meter.Find(handle->connection_id());
        connection != nullptr) {
      charge = connection->TakeAccepted();
      request.charge = connection->ChargeCopy(request.body.size());
    }
    this->request_ids_by_connection[handle->connection_id()].insert(id);
    this->open_requests.emplace(
        id, OpenRequest{std::move(handle), std::move(charge)});
    this->hooks.on_request(std::move(request));
    return restinio::request_accepted();
  }

  void OnClose(ConnectionId connection) {
    this->meter.OnClosed(connection);
    auto found = this->request_ids_by_connection.find(connection);
    if (found == this->request_ids_by_connection.end()) {
      return;
    }
    const std::set<std::uint64_t> ids = std::move(found->second);
    this->request_ids_by_connection.erase(found);
    for (std::uint64_t id : ids) {
      this->open_requests.erase(id);
      if (this->hooks.on_disconnect) {
        this->hooks.on_disconnect(id);
      }
    }
  }

  void Answer(std::uint64_t id, HttpAnswer&& answer) {
    auto found = this->open_requests.find(id);
    if (found == this->open_requests.end()) {
      return;
    }
    const OpenRequest open = std::move(found->second);
    const RequestHandle& handle = open.handle;
    this->open_requests.erase(found);
    this->RemoveOpenRequest(handle->connection_id(), id);
    const std::size_t bytes = SizeOf(answer);
    const auto connection = this->meter.Find(handle->connection_id());
    auto response = handle->create_response(restinio::http_status_line_t{
        restinio::http_status_code_t{answer.status}, ""});
    for (auto& [name, value] : answer.headers) {
      response.append_header(std::move(name), std::move(value));
    }
    if (answer.close) {
      response.connection_close();
    }
    response.set_body(std::move(answer.body));
    if (connection == nullptr) {
      response.done();
      return;
    }
    // First, because RESTinio may report the end of the write at once.
    connection->OnAnswer(bytes);
    response.done([connection, bytes](const asio::error_code&) {
      connection->OnAnswerWritten(bytes);
    });
  }

  void RemoveOpenRequest(ConnectionId connection, std::uint64_t id) {
    if (auto found = this->request_ids_by_connection.find(connection);
        found != this->request_ids_by_connection.end()) {
      found->second.erase(id);
      if (found->second.empty()) {
        this->request_ids_by_connection.erase(found);
      }
    }
  }

  /// RESTinio accepts nothing any more after an accept that failed, for example
  /// for want of descriptors. Opens the listener again if connections wait in
  /// two checks on end and none was accepted in between.
  void CheckAccepting() {
    pollfd waiting{this->acceptor->native_handle(), POLLIN, 0};
    const bool below_limit =
        this->listener->Connections() < this->settings.max_connections;
    const bool stuck =
        !this->acceptor->is_open() ||
        (below_limit && this->listener->Accepted() == this->accepted_before &&
         poll(&waiting, 1, 0) == 1);
    this->accepted_before = this->listener->Accepted();
    if (stuck && this->was_stuck) {
      this->RestartListener();
    }
    this->was_stuck = stuck;
    this->ScheduleAcceptCheck();
  }

  void RestartListener() {
    std::string problem = "connections were not accepted";
    try {
      this->server->close_sync();
      this->server->open_sync();
    } catch (const std::exception& error) {
      problem = error.what();
    }
    LogEvent(LogSeverity::kWarning, kListenerRestarted,
             "the listener was opened again; check the descriptor limit")
        .With("address",
              this->settings.address + ":" + std::to_string(this->port))
        .With("reason", problem);
  }

  void ScheduleAcceptCheck() {
    this->accept_check.expires_after(kAcceptCheckInterval);
    this->accept_check.async_wait([this](const asio::error_code& error) {
      if (!error) {
        this->CheckAccepting();
      }
    });
  }

  struct OpenRequest {
    RequestHandle handle;
    /// Counts the bytes that `handle` holds.
    std::shared_ptr<InputBudget::Charge> charge;
  };

  Settings settings;
  Hooks hooks;
  asio::io_context io{1};
  /// Owned by `io`.
  internal::MeteredListener& meter =
      asio::use_service<internal::MeteredListener>(this->io);
  LimitLog limit_log;
  asio::steady_timer accept_check{this->io};
  std::shared_ptr<CloseListener> listener;
  /// Owned by the server.
  asio::ip::tcp::acceptor* acceptor = nullptr;
  std::uint64_t accepted_before = 0;
  bool was_stuck = false;
  std::unique_ptr<restinio::http_server_t<ServerTraits>> server;
  std::thread thread;
  std::atomic<bool> wake_pending{false};
  std::uint16_t port = 0;
  // Used by the server's thread only.
  std::uint64_t next_request_id = 1;
  std::unordered_map<std::uint64_t, OpenRequest> open_requests;
  std::unordered_map<ConnectionId, std::set<std::uint64_t>>
      request_ids_by_connection;
};

HttpServer::HttpServer(Settings settings, Hooks hooks)
    : impl(std::make_unique<Impl>(std::move(settings), std::move(hooks))) {}

HttpServer::~HttpServer() { this->Stop(); }

Result<std::uint16_t> HttpServer::Start() {
  Impl& self = *this->impl;
  self.listener = std::make_shared<CloseListener>(
      [&self](ConnectionId id) { self.meter.OnAccepted(id); },
      [&self](ConnectionId id) { self.OnClose(id); });
  const restinio::incoming_http_msg_limits_t limits =
      restinio::incoming_http_msg_limits_t{}
          .max_url_size(8U << 10U)
          .max_field_name_size(1U << 10U)
          // RESTinio limits single fields only, and closes the connection
          // without an answer. MeteredStream refuses larger requests before.
          .max_field_value_size(self.settings.max_header_bytes + 1)
          .max_field_count(100)
          .max_body_size(self.settings.max_body_bytes);
  try {
    self.server = std::make_unique<restinio::http_server_t<ServerTraits>>(
        restinio::external_io_context(self.io),
        restinio::server_settings_t<ServerTraits>{}
            .address(self.settings.address)
            .port(self.settings.port)
            .incoming_http_msg_limits(limits)
            .read_next_http_message_timelimit(self.settings.io_timeout)
            .write_http_response_timelimit(self.settings.io_timeout)
            .handle_request_timeout(self.settings.answer_timeout)
            // With 2, the server keeps reading while a request is in progress,
            // and so notices when the caller disconnects.
            .max_pipelined_requests(2)
            .max_parallel_connections(self.settings.max_connections)
            .connection_state_listener(self.listener)
            .acceptor_post_bind_hook(
                [&self](asio::ip::tcp::acceptor& acceptor) {
                  self.port = acceptor.local_endpoint().port();
                  self.acceptor = &acceptor;
                })
            .request_handler([&self](RequestHandle handle) {
              return self.OnRequest(std::move(handle));
            }));
    self.server->open_sync();
  } catch (const std::system_error& error) {
    return error.code();
  } catch (const std::exception&) {
    return std::make_error_code(std::errc::address_in_use);
  }
  if (self.settings.port != 0) {
    // A listener on any free port would get another one.
    self.ScheduleAcceptCheck();
  }
  self.thread = std::thread([&self] {
    const ThreadDuty duty(self.settings.thread_duty);
    self.io.run();
  });
  return self.port;
}

void HttpServer::Stop() {
  Impl& self = *this->impl;
  if (!self.thread.joinable()) {
    return;
  }
  asio::post(self.io, [&self] {
    self.server->close_sync();
    self.io.stop();
  });
  self.thread.join();
  // The budget outlives this server and would close its connections.
  self.meter.RemoveAll();
}

void HttpServer::Wake() {
  Impl& self = *this->impl;
  if (self.wake_pending.exchange(true)) {
    return;
  }
  asio::post(self.io, [&self] {
    self.wake_pending.store(false);
    self.hooks.on_wake();
  });
}

void HttpServer::Answer(std::uint64_t request_id, HttpAnswer&& answer) {
  this->impl->Answer(request_id, std::move(answer));
}

}  // namespace mimosastage
