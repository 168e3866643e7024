#ifndef MIMOSASTAGE_MIMOSASTAGECTL_API_CLIENT_H_
#define MIMOSASTAGE_MIMOSASTAGECTL_API_CLIENT_H_

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

#include "mimosastagectl/exit_code.h"

namespace mimosastage {

struct ApiReply {
  ExitCode code = ExitCode::kNotAccepted;
  /// JSON, or empty if no daemon answered.
  std::string body;
  /// Cause and remedy; empty if `code` is kSuccess.
  std::string error;
};

/// Sends requests to the operator port of the first daemon in a list that can
/// answer.
class ApiClient {
 public:
  struct Settings {
    /// HOST:PORT of each daemon; if one fails, the next is tried.
    std::vector<std::string> servers;
    std::string operator_key;
    std::chrono::milliseconds attempt_timeout{5'000};
    /// Limit for all attempts of one request together.
    std::chrono::milliseconds total_timeout{30'000};
  };

  explicit ApiClient(Settings settings);

  /// Tries the servers in turn until one gives a final answer or
  /// `total_timeout` has passed. A request with a change id is sent again after
  /// a lost answer, because the daemons answer a repeated change with its first
  /// outcome. If no answer arrives and the change may have been accepted, the
  /// code is kOutcomeUnknown.
  ApiReply Send(const std::string& method, const std::string& path,
                const std::string& body = "");

 private:
  /// Result of one attempt.
  struct Attempt {
    /// HTTP status, or 0 if no answer arrived.
    long status = 0;  // NOLINT(google-runtime-int): libcurl's type
    std::string body;
    /// True if the request may have reached the daemon although `status` is 0.
    bool sent = false;
    std::string error;
  };

  Attempt SendOnce(const std::string& server, const std::string& method,
                   const std::string& path, const std::string& body) const;
  static ApiReply FinalReply(const Attempt& attempt);

  Settings settings;
  /// Index of the server that the next request is sent to first: the one that
  /// answered last.
  std::size_t current_server = 0;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_MIMOSASTAGECTL_API_CLIENT_H_
