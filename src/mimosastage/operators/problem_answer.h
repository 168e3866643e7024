#ifndef MIMOSASTAGE_OPERATORS_PROBLEM_ANSWER_H_
#define MIMOSASTAGE_OPERATORS_PROBLEM_ANSWER_H_

#include <chrono>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <system_error>
#include <vector>

#include "mimosastage/base/json_reader.h"
#include "mimosastage/http/http_server.h"

namespace mimosastage {

/// Why the operator port refused a request.
struct OperatorRefusal {
  std::uint16_t status = 400;
  /// Machine-readable and stable code.
  std::string reason;
  std::string title;
  /// Cause and remedy.
  std::string detail;
  /// True if the change may have been accepted.
  bool outcome_unknown = false;
  std::optional<std::chrono::seconds> retry_after;
};

HttpAnswer JsonAnswer(std::uint16_t status, const nlohmann::json& body);

/// The refusal as application/problem+json, with `extra_members` added to the
/// body.
HttpAnswer ProblemAnswer(const OperatorRefusal& refusal,
                         const nlohmann::json& extra_members);
HttpAnswer ProblemAnswer(const OperatorRefusal& refusal);

/// Status 400 with a list of all problems of a request body.
HttpAnswer InvalidBodyAnswer(const std::vector<Problem>& problems);

/// The status, reason and title for an error of the replicated state.
OperatorRefusal RefusalFor(std::error_code error, const std::string& detail);

}  // namespace mimosastage

#endif  // MIMOSASTAGE_OPERATORS_PROBLEM_ANSWER_H_
