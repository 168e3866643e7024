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

/// A refusal of the operator port.
struct OperatorRefusal {
  std::uint16_t status = 400;
  /// Machine-readable and stable.
  std::string reason;
  std::string title;
  /// What was found and the remedy.
  std::string detail;
  /// A change may have been accepted although its answer is missing.
  bool outcome_unknown = false;
  std::optional<std::chrono::seconds> retry_after;
};

HttpAnswer JsonAnswer(std::uint16_t status, const nlohmann::json& body);

/// The refusal as application/problem+json, with the members of `extra`.
HttpAnswer ProblemAnswer(const OperatorRefusal& refusal,
                         const nlohmann::json& extra);
HttpAnswer ProblemAnswer(const OperatorRefusal& refusal);

/// 400 with all problems of a body.
HttpAnswer ProblemsAnswer(const std::vector<Problem>& problems);

/// The status, reason and title for an error of the replicated state.
OperatorRefusal RefusalFor(std::error_code error, const std::string& detail);

}  // namespace mimosastage

#endif  // MIMOSASTAGE_OPERATORS_PROBLEM_ANSWER_H_
