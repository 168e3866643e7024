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

/// Why a caller gets no answer from a backend server.
struct CallerRefusal {
  std::uint16_t status = 503;
  /// Machine-readable and stable; also the label of the refusal counter.
  std::string reason;
  /// For people; says what to do.
  std::string title;
  RefusedOutcome outcome = RefusedOutcome::kNotRun;
  std::optional<std::chrono::seconds> retry_after;
};

/// The refusal as application/problem+json.
HttpAnswer ToHttpAnswer(const CallerRefusal& refusal);

}  // namespace mimosastage

#endif  // MIMOSASTAGE_CALLERS_CALLER_REFUSAL_H_
