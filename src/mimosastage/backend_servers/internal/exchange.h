#ifndef MIMOSASTAGE_BACKEND_SERVERS_INTERNAL_EXCHANGE_H_
#define MIMOSASTAGE_BACKEND_SERVERS_INTERNAL_EXCHANGE_H_

#include <curl/curl.h>

#include <optional>
#include <string>
#include <string_view>

#include "mimosastage/backend_servers/exchange_client.h"

namespace mimosastage::internal {

/// "address:port", with an IPv6 address in brackets.
std::string FormatServerAddress(const ExchangeRequest& request);

/// An exchange in progress. Not movable, because libcurl holds pointers to it.
class Exchange {
 public:
  struct Limits {
    std::chrono::milliseconds connect_timeout{};
    std::chrono::milliseconds unacknowledged_timeout{};
    std::chrono::seconds max_idle_time{};
    std::size_t max_answer_bytes = 0;
    /// Bytes of all answers.
    std::shared_ptr<AnswerCharge::Total> held_answer_bytes;
  };

  /// `easy` must be new or reset. `started_at` is when the client's thread took
  /// the request. Connections older than `max_connection_age` aren't reused.
  Exchange(CURL* easy, ExchangeRequest&& request, std::string request_id,
           const Limits& limits, TimePoint started_at,
           std::optional<std::chrono::seconds> max_connection_age);
  ~Exchange();
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  std::uint64_t Id() const { return this->request.id; }
  CURL* Easy() const { return this->easy; }
  /// The result of FormatServerAddress for the request.
  const std::string& Server() const { return this->server; }

  /// When the first byte of the answer's body was read.
  std::optional<TimePoint> AnswerStarted() const { return this->body_started; }
  /// The answer exceeds the limit for one answer.
  bool TooLarge() const { return this->too_large; }

  /// True if the exchange is subject to the stall limit on a reused connection.
  bool HasStallLimit() const;

  /// Time by which the first byte of the answer must arrive; nullopt if no
  /// limit applies, the request hasn't been sent on a reused connection, or the
  /// answer has started.
  std::optional<TimePoint> StallDeadline() const;

  /// Returns the result of a transfer that libcurl completed with `code`.
  ExchangeResult Finish(CURLcode code, TimePoint now);
  /// Returns the result of a transfer that the client aborts: `end_if_sent`, or
  /// kNotStarted if the request wasn't sent.
  ExchangeResult Abandon(AttemptEnd end_if_sent, TimePoint now);

 private:
  static int OnSocketCreated(void* self, curl_socket_t socket,
                             curlsocktype purpose);
  static int OnBeforeRequest(void* self, char* peer_ip, char* local_ip,
                             int peer_port, int local_port);
  static std::size_t OnHeader(char* data, std::size_t size, std::size_t count,
                              void* self);
  static std::size_t OnBody(char* data, std::size_t size, std::size_t count,
                            void* self);

  void SetTarget();
  void SetTimeouts(const Limits& limits,
                   std::optional<std::chrono::seconds> max_connection_age);
  void SetMethodAndBody();
  void SetHeaders();
  void SetCallbacks();
  void AddHeader(const std::string& name, const std::string& value);

  bool ProcessHeaderLine(std::string_view line);
  bool OnHeadersComplete();
  bool HasDefiniteLength() const;
  AttemptEnd ClassifyEnd(CURLcode code) const;
  AttemptEnd ClassifyUnsent(CURLcode code) const;
  AttemptEnd ClassifyCompleted() const;
  ExchangeResult MakeResult(AttemptEnd end, TimePoint now);

  CURL* easy;
  ExchangeRequest request;
  std::string request_id;
  std::string server;
  std::size_t max_answer_bytes;
  std::chrono::milliseconds unacknowledged_timeout;
  TimePoint started_at;
  TimePoint sent_at{};
  curl_slist* headers = nullptr;
  char error_text[CURL_ERROR_SIZE] = {};

  /// True if a new connection was opened for this exchange.
  bool opened_socket = false;
  /// True once the connection is ready; bytes may have been sent from then on.
  bool sent = false;
  bool reused = false;
  /// True if start_before had passed when the connection became ready.
  bool start_limit_passed = false;
  bool answer_started = false;
  bool request_id_matches = false;
  bool request_id_mismatch = false;
  bool has_length_header = false;
  bool too_large = false;
  std::size_t header_bytes = 0;
  bool has_not_run_header = false;
  BackendServerAnswer answer;
  std::optional<TimePoint> body_started;
  std::shared_ptr<AnswerCharge> charge;
};

}  // namespace mimosastage::internal

#endif  // MIMOSASTAGE_BACKEND_SERVERS_INTERNAL_EXCHANGE_H_
