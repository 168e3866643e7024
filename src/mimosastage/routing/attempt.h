#ifndef MIMOSASTAGE_ROUTING_ATTEMPT_H_
#define MIMOSASTAGE_ROUTING_ATTEMPT_H_

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace mimosastage {

/// How one sending of a request to a backend server ended.
enum class AttemptEnd : std::uint8_t {
  /// A complete answer with the request's own id.
  kWholeAnswer,
  /// The connection was refused.
  kRefusedConnect,
  /// Status 503 with `Mimosastage-Not-Run: 1` and the request's own id.
  kServerSaidNotRun,
  /// The connection failed before a byte of the request was sent.
  kFailedBeforeFirstByte,
  /// Not the server's fault and no byte was sent: the client's ring was full,
  /// the lease or deadline passed, or the attempt was cancelled in time.
  kNotStarted,
  kFailedAfterFirstByte,
  /// No answer in time, on a connection that had been open before.
  kStalledReused,
  /// No answer in time, on a connection opened for this attempt.
  kStalledFresh,
  /// The answer had another request's id, or none.
  kWrongRequestId,
  /// The answer's body ended early, or nothing proves that it is complete.
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

/// A backend server's answer without the headers that belong to the connection.
struct BackendServerAnswer {
  std::uint16_t status = 0;
  AnswerHeaders headers;
  std::string body;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_ROUTING_ATTEMPT_H_
