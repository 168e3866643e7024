#ifndef MIMOSASTAGE_ROUTING_ATTEMPT_H_
#define MIMOSASTAGE_ROUTING_ATTEMPT_H_

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace mimosastage {

/// Result of one attempt to send a request to a backend server.
enum class AttemptEnd : std::uint8_t {
  /// A complete answer with the id of this request.
  kWholeAnswer,
  /// The connection was refused.
  kRefusedConnect,
  /// Status 503 with `Mimosastage-Not-Run: 1` and the id of this request.
  kServerSaidNotRun,
  /// The connection failed before a byte of the request was sent.
  kFailedBeforeFirstByte,
  /// No byte was sent, for a reason other than the server: the client's ring
  /// was full, the lease or deadline passed, or the attempt was cancelled in
  /// time.
  kNotStarted,
  kFailedAfterFirstByte,
  /// No answer in time, on a reused connection.
  kStalledReused,
  /// No answer in time, on a connection opened for this attempt.
  kStalledFresh,
  /// The answer had another request's id, or none.
  kWrongRequestId,
  /// The answer's body ended early, or can't be shown to be complete.
  kTruncated,
  /// The answer was larger than the client accepts.
  kTooLarge,
  /// Cancelled after bytes may have been sent.
  kCancelled,
};

/// True if the backend server certainly did not run the request.
constexpr bool ProvesNotRun(AttemptEnd end) {
  return end == AttemptEnd::kRefusedConnect ||
         end == AttemptEnd::kServerSaidNotRun ||
         end == AttemptEnd::kFailedBeforeFirstByte ||
         end == AttemptEnd::kNotStarted;
}

/// Name for logs and counters, such as "stalled_reused".
const char* AttemptEndName(AttemptEnd end);

using AnswerHeaders = std::vector<std::pair<std::string, std::string>>;

/// A backend server's answer without the hop-by-hop headers.
struct BackendServerAnswer {
  std::uint16_t status = 0;
  AnswerHeaders headers;
  std::string body;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_ROUTING_ATTEMPT_H_
