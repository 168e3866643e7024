#ifndef MIMOSASTAGE_BACKEND_SERVERS_EXCHANGE_CLIENT_H_
#define MIMOSASTAGE_BACKEND_SERVERS_EXCHANGE_CLIENT_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "mimosastage/base/time.h"
#include "mimosastage/routing/attempt.h"

namespace mimosastage {

/// One sending of a request to a backend server.
struct ExchangeRequest {
  /// Unique within the client; never used twice.
  std::uint64_t id = 0;
  /// Numeric IP address.
  std::string address;
  std::uint16_t port = 0;
  std::string method;
  /// Path and query, sent as given.
  std::string target;
  /// Headers that belong to the connection (Connection, Content-Length, Host
  /// and the like) and `Mimosastage-Request-Id` are left out.
  AnswerHeaders headers;
  std::string body;
  /// From the moment the client takes the request to the end of the answer.
  std::chrono::milliseconds timeout{30'000};
  /// A request that isn't repeatable is sent on a fresh connection.
  bool repeatable = false;
  /// Asks for a fresh connection for a repeatable request too.
  bool fresh_connection = false;
  /// No byte is sent at or after this time on LeaseClock.
  TimePoint start_before = TimePoint::max();
  /// Limit until the answer's first byte if the connection was reused; 0 is
  /// none.
  std::chrono::milliseconds reused_stall_limit{0};
};

struct ExchangeResult {
  std::uint64_t id = 0;
  AttemptEnd end = AttemptEnd::kWholeAnswer;
  /// Set if `end` is kWholeAnswer or kServerSaidNotRun.
  BackendServerAnswer answer;
  bool reused_connection = false;
  /// From the moment the client took the request.
  Duration elapsed{};
  /// On LeaseClock.
  TimePoint ended_at{};
  /// libcurl's message; empty for a whole answer.
  std::string detail;
};

/// HTTP/1.1 exchanges with backend servers on one thread of its own. Each
/// accepted request gives exactly one result, and each is sent at most once.
class ExchangeClient {
 public:
  struct Settings {
    /// Start of each request's `Mimosastage-Request-Id`, which is
    /// "<prefix>-<id>". Must differ between daemons and between starts.
    std::string request_id_prefix;
    /// False for a peer that doesn't echo `Mimosastage-Request-Id`; the header
    /// is then neither sent nor expected.
    bool expect_request_id = true;
    std::chrono::milliseconds connect_timeout{1'000};
    /// Sent bytes that stay unacknowledged for so long fail the connection.
    std::chrono::milliseconds unacknowledged_timeout{3'000};
    std::size_t max_answer_bytes = 16U << 20U;
    /// Idle connections kept over all servers.
    std::size_t max_idle_connections = 512;
    /// Open connections to one server, idle ones included.
    std::size_t max_connections_per_server = 64;
    /// An idle connection older than this isn't reused.
    std::chrono::seconds max_idle_time{30};
    /// Requests and cancellations that wait for the client's thread.
    std::size_t ring_capacity = 4'096;
  };

  struct Hooks {
    /// Runs on the client's thread.
    std::function<void(ExchangeResult&& result)> on_result;
  };

  ExchangeClient(Settings settings, Hooks hooks);
  ~ExchangeClient();
  ExchangeClient(const ExchangeClient&) = delete;
  ExchangeClient& operator=(const ExchangeClient&) = delete;

  void Start();

  /// Ends exchanges in progress as cancelled, reports them and joins the
  /// thread.
  void Stop();

  /// False if the ring is full: nothing was sent and no result will come. Only
  /// from one thread, the same as Cancel.
  bool Submit(ExchangeRequest&& request);

  /// Closes the exchange's connection; the result says kCancelled, or
  /// kNotStarted if nothing was sent. Ignored if the exchange has
  /// ended. False if the ring is full.
  bool Cancel(std::uint64_t id);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_BACKEND_SERVERS_EXCHANGE_CLIENT_H_
