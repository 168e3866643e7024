#ifndef MIMOSASTAGE_TESTS_SYSTEM_SUPPORT_HTTP_H_
#define MIMOSASTAGE_TESTS_SYSTEM_SUPPORT_HTTP_H_

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace mimosastage::testing {

struct Reply {
  /// HTTP status; 0 if no complete response was received.
  int status = 0;
  /// Keys are header names in lower case.
  std::map<std::string, std::string> headers;
  std::string body;
};

struct ClientRequest {
  std::string method = "GET";
  std::string url;
  std::vector<std::string> headers = {};
  std::string body = {};
  std::chrono::milliseconds timeout{30'000};
};

/// Sends one request on a new connection and waits for the response.
Reply Send(const ClientRequest& request);

}  // namespace mimosastage::testing

#endif  // MIMOSASTAGE_TESTS_SYSTEM_SUPPORT_HTTP_H_
