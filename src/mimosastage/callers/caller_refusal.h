#ifndef MIMOSASTAGE_CALLERS_CALLER_REFUSAL_H_
#define MIMOSASTAGE_CALLERS_CALLER_REFUSAL_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "mimosastage/http/http_server.h"

namespace mimosastage {

/// Whether a request that failed may have run.
enum class RefusedOutcome : std::uint8_t {
  /// No backend server has run the request, nor will one.
  kNotRun,
  /// A backend server may have run the request.
  kUnknown
};

/// An error that the daemon returns to a caller instead of a backend server's
/// answer.
struct CallerRefusal {
  std::uint16_t status = 503;
  /// Machine-readable and stable; also the label of the refusal counter.
  std::string reason;
  /// Human-readable; says what the caller can do.
  std::string title;
  RefusedOutcome outcome = RefusedOutcome::kNotRun;
  std::optional<std::chrono::seconds> retry_after;
};

/// Converts the refusal to an application/problem+json answer.
HttpAnswer ToHttpAnswer(const CallerRefusal& refusal);

}  // namespace mimosastage

#endif  // MIMOSASTAGE_CALLERS_CALLER_REFUSAL_H_
