#ifndef MIMOSASTAGE_HTTP_HTTP_SERVER_H_
#define MIMOSASTAGE_HTTP_HTTP_SERVER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "mimosastage/base/result.h"
#include "mimosastage/http/input_budget.h"

namespace mimosastage {

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// Returns the value of the first header `name`, compared case-insensitively,
/// or "".
std::string_view FindHeader(const HttpHeaders& headers, std::string_view name);

/// A completely received request.
struct HttpRequest {
  /// Identifies the request in HttpServer::Answer; unique within one server.
  std::uint64_t id = 0;
  /// Path and query as sent.
  std::string target;
  std::string method;
  HttpHeaders headers;
  std::string body;
  /// Keeps this object's bytes counted in HttpServer::Settings::budget until
  /// the last copy is destroyed.
  std::shared_ptr<InputBudget::Charge> charge;
};

struct HttpAnswer {
  std::uint16_t status = 200;
  HttpHeaders headers;
  std::string body;
  /// Closes the connection after the answer.
  bool close = false;
};

/// An HTTP/1.1 server on one thread of its own.
class HttpServer {
 public:
  struct Settings {
    std::string address = "127.0.0.1";
    /// 0 takes a free port; Start returns it.
    std::uint16_t port = 0;
    /// Larger bodies are refused with 413, before they are read where their
    /// length is announced.
    std::uint64_t max_body_bytes = 1U << 20U;
    /// Names and values of all header fields together; a larger sum is refused
    /// with 431.
    std::size_t max_header_bytes = 16U << 10U;
    /// Limit for receiving one request, counted from the start of the
    /// connection or from the previous answer, and for writing one answer.
    std::chrono::milliseconds io_timeout{10'000};
    /// A request that has no answer by then has its connection closed.
    std::chrono::milliseconds answer_timeout{3'600'000};
    std::size_t max_connections = 20'000;
    /// Shared by the listeners of the process; the server has its own if it is
    /// null.
    std::shared_ptr<InputBudget> budget;
    /// Name of the listener in the log and in the budget.
    std::string name = "http";
    /// See ThreadDuty.
    std::string thread_duty = "http";
  };

  /// All hooks run on the server's thread.
  struct Hooks {
    std::function<void(HttpRequest&& request)> on_request;
    /// The caller closed its connection before the request was answered.
    std::function<void(std::uint64_t request_id)> on_disconnect;
    /// Runs after Wake.
    std::function<void()> on_wake;
    /// A request or connection was refused or cut off at a limit; `reason` is a
    /// stable identifier. Optional.
    std::function<void(std::string_view reason)> on_limit;
  };

  HttpServer(Settings settings, Hooks hooks);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Binds and starts the thread. Returns the port, or the error of bind.
  Result<std::uint16_t> Start();

  /// Closes all connections and joins the thread.
  void Stop();

  /// Asks the server's thread to run on_wake soon. May be called from any
  /// thread; calls before on_wake has run are merged.
  void Wake();

  /// Sends the answer to an open request; ignored if the caller has gone.
  /// May be called only from within a hook.
  void Answer(std::uint64_t request_id, HttpAnswer&& answer);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_HTTP_HTTP_SERVER_H_
