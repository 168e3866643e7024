#include "mimosastagectl/api_client.h"

#include <curl/curl.h>

#include <memory>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

namespace mimosastage {
namespace {

using Clock = std::chrono::steady_clock;

// Pause before the list of servers is tried again. A change of leader takes up
// to 1.5 s.
constexpr std::chrono::milliseconds kRetryRoundInterval{200};
constexpr std::chrono::milliseconds kConnectTimeout{1'000};
// The largest table has 4,096 rows.
constexpr std::size_t kMaxAnswerBytes = 64U << 20U;

using Curl = std::unique_ptr<CURL, decltype(&curl_easy_cleanup)>;
using CurlHeaders = std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)>;

std::size_t AppendBody(char* data, std::size_t size, std::size_t count,
                       void* target) {
  auto* body = static_cast<std::string*>(target);
  if (body->size() + size * count > kMaxAnswerBytes) {
    return 0;
  }
  body->append(data, size * count);
  return size * count;
}

CurlHeaders MakeHeaders(const std::string& operator_key) {
  const std::string authorization = "Authorization: Bearer " + operator_key;
  curl_slist* list = curl_slist_append(nullptr, authorization.c_str());
  list = curl_slist_append(list, "Content-Type: application/json");
  // Prevents libcurl from waiting for 100 Continue before it sends a large
  // body.
  list = curl_slist_append(list, "Expect:");
  return {list, &curl_slist_free_all};
}

/// Reason and detail of an application/problem+json body, or the start of any
/// other body.
std::string ErrorText(const std::string& body) {
  const auto value = nlohmann::json::parse(body, nullptr, false);
  if (!value.is_object() || !value.contains("detail") ||
      !value["detail"].is_string()) {
    return "unexpected answer: " + body.substr(0, 200) +
           "; check that --server names the operator port";
  }
  std::string text = value["detail"].get<std::string>();
  if (value.contains("reason") && value["reason"].is_string()) {
    text = value["reason"].get<std::string>() + ": " + text;
  }
  return text;
}

ExitCode ExitCodeFor(long status) {  // NOLINT(google-runtime-int)
  if (status >= 200 && status < 300) {
    return ExitCode::kSuccess;
  }
  if (status == 409) {
    return ExitCode::kConflict;
  }
  if (status == 504) {
    return ExitCode::kOutcomeUnknown;
  }
  return status >= 400 && status < 500 ? ExitCode::kBadInput
                                       : ExitCode::kNotAccepted;
}

}  // namespace

ApiClient::ApiClient(Settings settings) : settings(std::move(settings)) {}

ApiReply ApiClient::Send(const std::string& method, const std::string& path,
                         const std::string& body) {
  const Clock::time_point deadline =
      Clock::now() + this->settings.total_timeout;
  const bool is_change = method != "GET";
  bool may_be_accepted = false;
  std::string last_error;
  for (std::size_t attempts = 0; attempts == 0 || Clock::now() < deadline;
       ++attempts) {
    if (attempts > 0 && attempts % this->settings.servers.size() == 0) {
      std::this_thread::sleep_for(kRetryRoundInterval);
    }
    const std::string& server = this->settings.servers[this->current_server];
    const Attempt attempt = this->SendOnce(server, method, path, body);
    const bool retryable =
        attempt.status == 0 || attempt.status == 503 || attempt.status == 504;
    if (!retryable) {
      return FinalReply(attempt);
    }
    may_be_accepted = may_be_accepted || attempt.status == 504 ||
                      (attempt.status == 0 && attempt.sent);
    last_error = server + ": " + attempt.error;
    this->current_server =
        (this->current_server + 1) % this->settings.servers.size();
  }
  if (is_change && may_be_accepted) {
    return {ExitCode::kOutcomeUnknown, "", last_error};
  }
  return {ExitCode::kNotAccepted, "", last_error};
}

ApiReply ApiClient::FinalReply(const Attempt& attempt) {
  ApiReply reply;
  reply.code = ExitCodeFor(attempt.status);
  reply.body = attempt.body;
  if (reply.code != ExitCode::kSuccess) {
    reply.error = attempt.error;
  }
  return reply;
}

ApiClient::Attempt ApiClient::SendOnce(const std::string& server,
                                       const std::string& method,
                                       const std::string& path,
                                       const std::string& body) const {
  Attempt attempt;
  const Curl curl(curl_easy_init(), &curl_easy_cleanup);
  const CurlHeaders headers = MakeHeaders(this->settings.operator_key);
  const std::string url = "http://" + server + path;
  const auto timeout = static_cast<long>(  // NOLINT(google-runtime-int)
      this->settings.attempt_timeout.count());
  CURL* handle = curl.get();
  curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
  curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, method.c_str());
  curl_easy_setopt(handle, CURLOPT_HTTPHEADER, headers.get());
  if (!body.empty()) {
    curl_easy_setopt(handle, CURLOPT_POSTFIELDS, body.c_str());
    curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(body.size()));
  }
  curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &AppendBody);
  curl_easy_setopt(handle, CURLOPT_WRITEDATA, &attempt.body);
  curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, timeout);
  curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS,
                   static_cast<long>(  // NOLINT(google-runtime-int)
                       kConnectTimeout.count()));
  curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
  // Ignores proxy settings of the environment: daemons are reached directly by
  // their IP addresses.
  curl_easy_setopt(handle, CURLOPT_NOPROXY, "*");
  const CURLcode result = curl_easy_perform(handle);
  if (result == CURLE_OK) {
    curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &attempt.status);
    attempt.error = ErrorText(attempt.body);
    return attempt;
  }
  long request_bytes = 0;  // NOLINT(google-runtime-int)
  curl_easy_getinfo(handle, CURLINFO_REQUEST_SIZE, &request_bytes);
  attempt.sent = request_bytes > 0;
  attempt.error = std::string(curl_easy_strerror(result)) +
                  "; check the address, or name more daemons in --server";
  return attempt;
}

}  // namespace mimosastage
