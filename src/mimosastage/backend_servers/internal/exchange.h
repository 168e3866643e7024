#ifndef MIMOSASTAGE_BACKEND_SERVERS_INTERNAL_EXCHANGE_H_
#define MIMOSASTAGE_BACKEND_SERVERS_INTERNAL_EXCHANGE_H_

#include <curl/curl.h>

#include <optional>
#include <string>
#include <string_view>

#include "mimosastage/backend_servers/exchange_client.h"

namespace mimosastage::internal {

/// "address:port", with an IPv6 address in brackets.
std::string ServerOf(const ExchangeRequest& request);

/// One exchange while libcurl works on it. It must not move, because libcurl
/// holds its address.
class Exchange {
 public:
  struct Limits {
    std::chrono::milliseconds connect_timeout{};
    std::chrono::milliseconds unacknowledged_timeout{};
    std::chrono::seconds max_idle_time{};
    std::size_t max_answer_bytes = 0;
  };

  /// `easy` must have been reset. `taken_at` is when the client took the
  /// request. With `max_connection_age`, older connections aren't reused.
  Exchange(CURL* easy, ExchangeRequest&& request, std::string request_id,
           const Limits& limits, TimePoint taken_at,
           std::optional<std::chrono::seconds> max_connection_age);
  ~Exchange();
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  std::uint64_t Id() const { return this->request.id; }
  CURL* Easy() const { return this->easy; }
  /// As ServerOf gives it.
  const std::string& Server() const { return this->server; }

  /// True if StallsAt may have a value at some time.
  bool CanStall() const;

  /// Time at which the exchange has stalled on its reused connection; nothing
  /// while that can't happen.
  std::optional<TimePoint> StallsAt() const;

  /// The result of a transfer that libcurl ended with `code`.
  ExchangeResult Finish(CURLcode code, TimePoint now);
  /// The result of a transfer that the client gives up.
  ExchangeResult Abandon(AttemptEnd end_if_sent, TimePoint now);

 private:
  static int OnSocket(void* self, curl_socket_t socket, curlsocktype purpose);
  static int OnBeforeRequest(void* self, char* peer_ip, char* local_ip,
                             int peer_port, int local_port);
  static std::size_t OnHeader(char* data, std::size_t size, std::size_t count,
                              void* self);
  static std::size_t OnBody(char* data, std::size_t size, std::size_t count,
                            void* self);

  void SetTarget();
  void SetTimes(const Limits& limits, std::optional<std::chrono::seconds> age);
  void SetMethodAndBody();
  void SetHeaders();
  void SetCallbacks();
  void AddHeader(const std::string& name, const std::string& value);

  bool TakeHeader(std::string_view line);
  bool EndOfHeaders();
  bool ProvesItsLength() const;
  AttemptEnd EndOf(CURLcode code) const;
  AttemptEnd EndOfUnsent(CURLcode code) const;
  AttemptEnd EndOfWholeAnswer() const;
  ExchangeResult MakeResult(AttemptEnd end, TimePoint now);

  CURL* easy;
  ExchangeRequest request;
  std::string request_id;
  std::string server;
  std::size_t max_answer_bytes;
  std::chrono::milliseconds unacknowledged_timeout;
  TimePoint taken_at;
  TimePoint sent_at{};
  curl_slist* headers = nullptr;
  char error_text[CURL_ERROR_SIZE] = {};

  /// A new connection was opened for this exchange.
  bool opened_socket = false;
  /// The connection was ready, so that bytes may have been sent from then on.
  bool sent = false;
  bool reused = false;
  /// start_before had passed when the connection was ready.
  bool too_late = false;
  bool answer_began = false;
  bool answer_has_right_id = false;
  bool wrong_id = false;
  bool has_length = false;
  bool too_large = false;
  std::size_t header_bytes = 0;
  bool said_not_run = false;
  BackendServerAnswer answer;
};

}  // namespace mimosastage::internal

#endif  // MIMOSASTAGE_BACKEND_SERVERS_INTERNAL_EXCHANGE_H_
