#ifndef MIMOSASTAGE_TESTS_SYSTEM_SUPPORT_HTTP_H_
#define MIMOSASTAGE_TESTS_SYSTEM_SUPPORT_HTTP_H_

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace mimosastage::testing {

struct Reply {
  /// 0 if no whole answer came.
  int status = 0;
  /// Names in lower case.
  std::map<std::string, std::string> headers;
  std::string body;
};

struct Call {
  std::string method = "GET";
  std::string url;
  std::vector<std::string> headers = {};
  std::string body = {};
  std::chrono::milliseconds timeout{30'000};
};

/// One request on a new connection.
Reply Send(const Call& call);

}  // namespace mimosastage::testing

#endif  // MIMOSASTAGE_TESTS_SYSTEM_SUPPORT_HTTP_H_
