#include "mimosastage/backend_servers/internal/exchange.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <strings.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <utility>

namespace mimosastage::internal {
namespace {

constexpr char kRequestIdHeader[] = "Mimosastage-Request-Id";
constexpr char kNotRunHeader[] = "Mimosastage-Not-Run";

/// Connection-specific headers, which aren't forwarded in either direction.
constexpr std::array<std::string_view, 12> kConnectionHeaders = {
    "Connection", "Content-Length",    "Expect",         "Host",
    "Keep-Alive", "Proxy-Connection",  kRequestIdHeader, "TE",
    "Trailer",    "Transfer-Encoding", "Upgrade",        "Proxy-Authorization"};

bool HeaderNamesEqual(std::string_view one, std::string_view other) {
  return one.size() == other.size() &&
         strncasecmp(one.data(), other.data(), one.size()) == 0;
}

bool IsConnectionHeader(std::string_view name) {
  return std::any_of(
      kConnectionHeaders.begin(), kConnectionHeaders.end(),
      [&](std::string_view header) { return HeaderNamesEqual(name, header); });
}

bool HasLineBreak(std::string_view text) {
  return text.find_first_of(std::string_view("\r\n\0", 3)) !=
         std::string_view::npos;
}

std::string_view Trim(std::string_view text) {
  constexpr std::string_view kWhitespace = " \t\r\n";
  const std::size_t first = text.find_first_not_of(kWhitespace);
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(kWhitespace) - first + 1);
}

bool HasHeader(const AnswerHeaders& headers, std::string_view name) {
  return std::any_of(headers.begin(), headers.end(), [&](const auto& header) {
    return HeaderNamesEqual(header.first, name);
  });
}

/// Maximum total size of an answer's headers, interim answers included. libcurl
/// 7.88 limits single header lines only.
constexpr std::size_t kMaxHeaderBytes = 64U << 10U;

bool UsuallyHasBody(std::string_view method) {
  return method == "POST" || method == "PUT" || method == "PATCH";
}

}  // namespace

std::string FormatServerAddress(const ExchangeRequest& request) {
  const std::string& address = request.address;
  const bool is_ipv6 = address.find(':') != std::string::npos;
  return (is_ipv6 ? "[" + address + "]" : address) + ":" +
         std::to_string(request.port);
}

Exchange::Exchange(CURL* easy, ExchangeRequest&& request,
                   std::string request_id, const Limits& limits,
                   TimePoint started_at,
                   std::optional<std::chrono::seconds> max_connection_age)
    : easy(easy),
      request(std::move(request)),
      request_id(std::move(request_id)),
      max_answer_bytes(limits.max_answer_bytes),
      unacknowledged_timeout(limits.unacknowledged_timeout),
      started_at(started_at),
      charge(std::make_shared<AnswerCharge>(limits.held_answer_bytes)) {
  this->server = FormatServerAddress(this->request);
  this->SetTarget();
  this->SetTimeouts(limits, max_connection_age);
  this->SetMethodAndBody();
  this->SetHeaders();
  this->SetCallbacks();
}

Exchange::~Exchange() { curl_slist_free_all(this->headers); }

void Exchange::SetTarget() {
  const std::string url = "http://" + this->server + "/";
  curl_easy_setopt(this->easy, CURLOPT_URL, url.c_str());
  curl_easy_setopt(this->easy, CURLOPT_REQUEST_TARGET,
                   this->request.target.c_str());
  curl_easy_setopt(this->easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(this->easy, CURLOPT_HTTP_VERSION,
                   static_cast<long>(CURL_HTTP_VERSION_1_1));  // NOLINT
  curl_easy_setopt(this->easy, CURLOPT_PROXY, "");
  // Addresses are numeric. libcurl walks through its cache of addresses after
  // each transfer, which costs more than reading an address again.
  curl_easy_setopt(this->easy, CURLOPT_DNS_CACHE_TIMEOUT, 0L);
  curl_easy_setopt(this->easy, CURLOPT_FOLLOWLOCATION, 0L);
  curl_easy_setopt(this->easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(this->easy, CURLOPT_HTTP_CONTENT_DECODING, 0L);
  curl_easy_setopt(this->easy, CURLOPT_TCP_NODELAY, 1L);
}

void Exchange::SetTimeouts(
    const Limits& limits,
    std::optional<std::chrono::seconds> max_connection_age) {
  curl_easy_setopt(this->easy, CURLOPT_TIMEOUT_MS,
                   std::max<long>(1, this->request.timeout.count()));  // NOLINT
  curl_easy_setopt(
      this->easy, CURLOPT_CONNECTTIMEOUT_MS,
      static_cast<long>(limits.connect_timeout.count()));  // NOLINT
  curl_easy_setopt(this->easy, CURLOPT_MAXAGE_CONN,
                   static_cast<long>(limits.max_idle_time.count()));  // NOLINT
  // libcurl resends a request by itself if a reused connection closes without
  // an answer. It never does so on a fresh connection.
  const bool age_below_one_second =
      max_connection_age && max_connection_age->count() < 1;
  if (!this->request.repeatable || this->request.fresh_connection ||
      age_below_one_second) {
    curl_easy_setopt(this->easy, CURLOPT_FRESH_CONNECT, 1L);
  } else if (max_connection_age) {
    curl_easy_setopt(this->easy, CURLOPT_MAXLIFETIME_CONN,
                     static_cast<long>(max_connection_age->count()));  // NOLINT
  }
}

void Exchange::SetMethodAndBody() {
  const std::string& method = this->request.method;
  if (method == "HEAD") {
    curl_easy_setopt(this->easy, CURLOPT_NOBODY, 1L);
    return;
  }
  if (!this->request.body.empty() || UsuallyHasBody(method)) {
    curl_easy_setopt(this->easy, CURLOPT_POST, 1L);
    curl_easy_setopt(this->easy, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(this->request.body.size()));
    curl_easy_setopt(this->easy, CURLOPT_POSTFIELDS, this->request.body.data());
  }
  curl_easy_setopt(this->easy, CURLOPT_CUSTOMREQUEST, method.c_str());
}

void Exchange::SetHeaders() {
  if (!this->request_id.empty()) {
    this->AddHeader(kRequestIdHeader, this->request_id);
  }
  for (const auto& [name, value] : this->request.headers) {
    if (!IsConnectionHeader(name)) {
      this->AddHeader(name, value);
    }
  }
  // A header line without a value removes a header that libcurl would add.
  for (const char* name : {"Accept", "Content-Type", "Expect"}) {
    if (!HasHeader(this->request.headers, name) ||
        HeaderNamesEqual(name, "Expect")) {
      this->headers =
          curl_slist_append(this->headers, (std::string(name) + ":").c_str());
    }
  }
  curl_easy_setopt(this->easy, CURLOPT_HTTPHEADER, this->headers);
}

void Exchange::AddHeader(const std::string& name, const std::string& value) {
  if (HasLineBreak(name) || HasLineBreak(value)) {
    return;
  }
  const std::string line = value.empty() ? name + ";" : name + ": " + value;
  this->headers = curl_slist_append(this->headers, line.c_str());
}

void Exchange::SetCallbacks() {
  curl_easy_setopt(this->easy, CURLOPT_PRIVATE, this);
  curl_easy_setopt(this->easy, CURLOPT_ERRORBUFFER, this->error_text);
  curl_easy_setopt(this->easy, CURLOPT_SOCKOPTFUNCTION,
                   &Exchange::OnSocketCreated);
  curl_easy_setopt(this->easy, CURLOPT_SOCKOPTDATA, this);
  curl_easy_setopt(this->easy, CURLOPT_PREREQFUNCTION,
                   &Exchange::OnBeforeRequest);
  curl_easy_setopt(this->easy, CURLOPT_PREREQDATA, this);
  curl_easy_setopt(this->easy, CURLOPT_HEADERFUNCTION, &Exchange::OnHeader);
  curl_easy_setopt(this->easy, CURLOPT_HEADERDATA, this);
  curl_easy_setopt(this->easy, CURLOPT_WRITEFUNCTION, &Exchange::OnBody);
  curl_easy_setopt(this->easy, CURLOPT_WRITEDATA, this);
}

int Exchange::OnSocketCreated(void* self, curl_socket_t socket, curlsocktype) {
  auto& exchange = *static_cast<Exchange*>(self);
  exchange.opened_socket = true;
  const auto timeout =
      static_cast<unsigned>(exchange.unacknowledged_timeout.count());
  setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
  return CURL_SOCKOPT_OK;
}

int Exchange::OnBeforeRequest(void* self, char*, char*, int, int) {
  auto& exchange = *static_cast<Exchange*>(self);
  const TimePoint now = LeaseClock::now();
  exchange.start_limit_passed = now >= exchange.request.start_before;
  // A second call means that libcurl is about to resend the request.
  if (exchange.sent || exchange.start_limit_passed) {
    return CURL_PREREQFUNC_ABORT;
  }
  exchange.sent = true;
  exchange.reused = !exchange.opened_socket;
  exchange.sent_at = now;
  return CURL_PREREQFUNC_OK;
}

std::size_t Exchange::OnHeader(char* data, std::size_t size, std::size_t count,
                               void* self) {
  const std::size_t length = size * count;
  const bool accepted =
      static_cast<Exchange*>(self)->ProcessHeaderLine({data, length});
  return accepted ? length : 0;
}

bool Exchange::ProcessHeaderLine(std::string_view line) {
  this->answer_started = true;
  this->header_bytes += line.size();
  if (this->header_bytes > kMaxHeaderBytes) {
    this->too_large = true;
    return false;
  }
  if (line.starts_with("HTTP/")) {
    // Discards an interim answer such as 100 Continue, which another status
    // line follows.
    this->answer = {};
    this->request_id_matches = false;
    this->has_length_header = false;
    this->has_not_run_header = false;
    return true;
  }
  const std::size_t colon = line.find(':');
  if (colon == std::string_view::npos) {
    return Trim(line).empty() ? this->OnHeadersComplete() : true;
  }
  const std::string_view name = line.substr(0, colon);
  const std::string_view value = Trim(line.substr(colon + 1));
  if (HeaderNamesEqual(name, kRequestIdHeader)) {
    this->request_id_matches = value == this->request_id;
  } else if (HeaderNamesEqual(name, kNotRunHeader)) {
    this->has_not_run_header = value == "1";
  } else if (HeaderNamesEqual(name, "Content-Length") ||
             HeaderNamesEqual(name, "Transfer-Encoding")) {
    this->has_length_header = true;
  } else if (!IsConnectionHeader(name)) {
    this->answer.headers.emplace_back(name, value);
  }
  return true;
}

bool Exchange::OnHeadersComplete() {
  long status = 0;  // NOLINT: libcurl requires a long.
  curl_easy_getinfo(this->easy, CURLINFO_RESPONSE_CODE, &status);
  this->answer.status = static_cast<std::uint16_t>(status);
  if (status < 200) {
    return true;
  }
  // Aborting here makes libcurl close the connection, so that the rest of
  // another request's answer is never read as the answer to the next request.
  this->request_id_mismatch =
      !this->request_id.empty() && !this->request_id_matches;
  return !this->request_id_mismatch;
}

std::size_t Exchange::OnBody(char* data, std::size_t size, std::size_t count,
                             void* self) {
  auto& exchange = *static_cast<Exchange*>(self);
  const std::size_t length = size * count;
  std::string& body = exchange.answer.body;
  if (body.size() + length > exchange.max_answer_bytes) {
    exchange.too_large = true;
    return 0;
  }
  if (!exchange.body_started.has_value()) {
    exchange.body_started = LeaseClock::now();
  }
  body.append(data, length);
  exchange.charge->Add(length);
  return length;
}

bool Exchange::HasStallLimit() const {
  return this->request.repeatable && !this->request.fresh_connection &&
         this->request.reused_stall_limit.count() > 0;
}

std::optional<TimePoint> Exchange::StallDeadline() const {
  if (!this->HasStallLimit() || !this->reused || this->answer_started) {
    return std::nullopt;
  }
  return this->sent_at + this->request.reused_stall_limit;
}

bool Exchange::HasDefiniteLength() const {
  return this->has_length_header || this->request.method == "HEAD" ||
         this->answer.status == 204 || this->answer.status == 304;
}

AttemptEnd Exchange::ClassifyCompleted() const {
  if (!this->HasDefiniteLength()) {
    return AttemptEnd::kTruncated;
  }
  if (this->answer.status == 503 && this->has_not_run_header) {
    return AttemptEnd::kServerSaidNotRun;
  }
  return AttemptEnd::kWholeAnswer;
}

AttemptEnd Exchange::ClassifyUnsent(CURLcode code) const {
  if (this->start_limit_passed) {
    return AttemptEnd::kNotStarted;
  }
  return code == CURLE_COULDNT_CONNECT ? AttemptEnd::kRefusedConnect
                                       : AttemptEnd::kFailedBeforeFirstByte;
}

AttemptEnd Exchange::ClassifyEnd(CURLcode code) const {
  if (!this->sent) {
    return this->ClassifyUnsent(code);
  }
  if (this->request_id_mismatch) {
    return AttemptEnd::kWrongRequestId;
  }
  if (this->too_large) {
    return AttemptEnd::kTooLarge;
  }
  if (code == CURLE_OK) {
    return this->ClassifyCompleted();
  }
  if (this->answer_started) {
    return AttemptEnd::kTruncated;
  }
  if (code == CURLE_OPERATION_TIMEDOUT) {
    return this->reused ? AttemptEnd::kStalledReused
                        : AttemptEnd::kStalledFresh;
  }
  return AttemptEnd::kFailedAfterFirstByte;
}

ExchangeResult Exchange::MakeResult(AttemptEnd end, TimePoint now) {
  ExchangeResult result;
  result.id = this->request.id;
  result.end = end;
  result.reused_connection = this->reused;
  result.elapsed = now - this->started_at;
  result.ended_at = now;
  if (end == AttemptEnd::kWholeAnswer || end == AttemptEnd::kServerSaidNotRun) {
    result.answer = std::move(this->answer);
    result.charge = std::move(this->charge);
  }
  return result;
}

ExchangeResult Exchange::Finish(CURLcode code, TimePoint now) {
  ExchangeResult result = this->MakeResult(this->ClassifyEnd(code), now);
  if (code != CURLE_OK) {
    result.detail = this->error_text[0] != '\0' ? this->error_text
                                                : curl_easy_strerror(code);
  }
  return result;
}

ExchangeResult Exchange::Abandon(AttemptEnd end_if_sent, TimePoint now) {
  return this->MakeResult(this->sent ? end_if_sent : AttemptEnd::kNotStarted,
                          now);
}

}  // namespace mimosastage::internal
