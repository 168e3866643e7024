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
  /// What went wrong and the remedy unless `code` is kDone.
  std::string error;
};

/// Sends requests to the operator port of any daemon of a list.
class ApiClient {
 public:
  struct Settings {
    /// HOST:PORT each; the first that answers is used.
    std::vector<std::string> servers;
    std::string operator_key;
    std::chrono::milliseconds attempt_timeout{5'000};
    /// For all attempts of one request together.
    std::chrono::milliseconds total_timeout{30'000};
  };

  explicit ApiClient(Settings settings);

  /// Tries the servers in turn until one gives a final answer or the time is
  /// over. A request with a change id may be sent several times, because the
  /// daemons answer repeats with the first outcome. If its answer stays
  /// lost, the code is kUnknown.
  ApiReply Send(const std::string& method, const std::string& path,
                const std::string& body = "");

 private:
  /// What one attempt gave.
  struct Attempt {
    /// HTTP status, or 0 without an answer.
    long status = 0;  // NOLINT(google-runtime-int): libcurl's type
    std::string body;
    /// The request may have reached the daemon.
    bool sent = false;
    std::string error;
  };

  Attempt SendOnce(const std::string& server, const std::string& method,
                   const std::string& path, const std::string& body) const;
  static ApiReply FinalReply(const Attempt& attempt);

  Settings settings;
  /// The server that answered last is asked first.
  std::size_t current = 0;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_MIMOSASTAGECTL_API_CLIENT_H_
