#ifndef MIMOSASTAGE_BACKEND_SERVERS_EXCHANGE_CLIENT_H_
#define MIMOSASTAGE_BACKEND_SERVERS_EXCHANGE_CLIENT_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "mimosastage/backend_servers/answer_charge.h"
#include "mimosastage/base/time.h"
#include "mimosastage/routing/attempt.h"

namespace mimosastage {

/// One attempt to send a request to a backend server.
struct ExchangeRequest {
  /// Unique over the lifetime of the client. A request with the id of an open
  /// exchange is dropped without a result, and logged.
  std::uint64_t id = 0;
  /// Numeric IP address.
  std::string address;
  std::uint16_t port = 0;
  std::string method;
  /// Path and query, sent as given.
  std::string target;
  /// Connection-specific headers (Connection, Content-Length, Host and the
  /// like) and `Mimosastage-Request-Id` are not sent.
  AnswerHeaders headers;
  std::string body;
  /// From when the client's thread starts the exchange to the end of the
  /// answer.
  std::chrono::milliseconds timeout{30'000};
  /// A request that isn't repeatable is always sent on a fresh connection.
  bool repeatable = false;
  /// Forces a fresh connection for a repeatable request too.
  bool fresh_connection = false;
  /// The request isn't sent if its connection becomes ready at or after this
  /// time on LeaseClock.
  TimePoint start_before = TimePoint::max();
  /// Maximum time from sending to the answer's first byte on a reused
  /// connection; 0 means no limit. Ignored unless the request is repeatable.
  std::chrono::milliseconds reused_stall_limit{0};
};

struct ExchangeResult {
  std::uint64_t id = 0;
  AttemptEnd end = AttemptEnd::kWholeAnswer;
  /// Set if `end` is kWholeAnswer or kServerSaidNotRun.
  BackendServerAnswer answer;
  bool reused_connection = false;
  /// From when the client's thread started the exchange.
  Duration elapsed{};
  /// On LeaseClock.
  TimePoint ended_at{};
  /// libcurl's error message; empty if libcurl reported no error.
  std::string detail;
  /// Keeps the answer's bytes counted until the last copy is destroyed.
  std::shared_ptr<AnswerCharge> charge;
};

/// Number of connections to backend servers that the process can keep open:
/// half of its limit on file descriptors, less 200 for files, links and
/// listeners. The other half is left to accepted connections.
std::size_t IdleConnectionLimit();

/// Runs HTTP/1.1 exchanges with backend servers on its own thread. Each
/// accepted request is sent at most once and gives exactly one result.
class ExchangeClient {
 public:
  struct Settings {
    /// Prefix of each request's `Mimosastage-Request-Id`, which is
    /// "<prefix>-<id>". Must be different for each daemon and each start of it.
    std::string request_id_prefix;
    /// False for servers that don't echo `Mimosastage-Request-Id`; the header
    /// is then neither sent nor expected.
    bool expect_request_id = true;
    std::chrono::milliseconds connect_timeout{1'000};
    /// A connection fails if sent data stays unacknowledged for this long
    /// (TCP_USER_TIMEOUT).
    std::chrono::milliseconds unacknowledged_timeout{3'000};
    std::size_t max_answer_bytes = 16U << 20U;
    /// Bound on the bytes of all answers, from their first byte until their
    /// results are destroyed. While there are more, the exchange that has been
    /// reading its answer longest ends with kTooLarge.
    std::size_t max_held_answer_bytes = 256U << 20U;
    /// If more connections than this are open, those in use included, each
    /// exchange that ends closes the connection that has been idle for longest.
    /// Must be above the number of connections that the servers need: finding
    /// that connection takes time proportional to this number, and the closed
    /// one is soon opened again. max_connections_per_server and max_idle_time
    /// bound the number of connections too.
    std::size_t max_idle_connections = IdleConnectionLimit();
    /// Maximum number of connections to one server, idle ones included.
    std::size_t max_connections_per_server = 64;
    /// A connection that has been idle for longer isn't reused.
    std::chrono::seconds max_idle_time{30};
    /// Maximum number of requests and cancellations that wait for the client's
    /// thread.
    std::size_t ring_capacity = 4'096;
  };

  struct Hooks {
    /// Called on the client's thread.
    std::function<void(ExchangeResult&& result)> on_result;
    /// An answer was cut off at a limit; `reason` is a stable identifier.
    /// Called on the client's thread. Optional.
    std::function<void(std::string_view reason)> on_limit;
  };

  ExchangeClient(Settings settings, Hooks hooks);
  ~ExchangeClient();
  ExchangeClient(const ExchangeClient&) = delete;
  ExchangeClient& operator=(const ExchangeClient&) = delete;

  void Start();

  /// Cancels all exchanges in progress, reports their results and joins the
  /// thread.
  void Stop();

  /// Returns false if the ring is full: the request isn't sent and there will
  /// be no result. Submit and Cancel must be called from the same thread.
  bool Submit(ExchangeRequest&& request);

  /// Closes the exchange's connection; the result is kCancelled, or kNotStarted
  /// if nothing was sent. Has no effect on an exchange that has ended. Returns
  /// false if the ring is full.
  bool Cancel(std::uint64_t id);

  /// Bytes of answers held. Can be called from any thread.
  std::size_t HeldAnswerBytes() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_BACKEND_SERVERS_EXCHANGE_CLIENT_H_
