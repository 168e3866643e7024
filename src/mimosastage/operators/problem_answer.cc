#include "mimosastage/operators/problem_answer.h"

#include <nlohmann/json.hpp>

#include "mimosastage/state/state_error.h"

namespace mimosastage {
namespace {

std::string SerializeBody(const nlohmann::json& value) {
  // A refusal may quote text of the request, which need not be valid UTF-8.
  return value.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace) +
         "\n";
}

std::uint16_t HttpStatusFor(StateError error) {
  switch (error) {
    case StateError::kVersionConflict:
    case StateError::kKeyExists:
      return 409;
    case StateError::kUnknownKey:
      return 404;
    case StateError::kBadChange:
    case StateError::kBadRow:
      return 400;
    default:
      return 422;
  }
}

}  // namespace

HttpAnswer JsonAnswer(std::uint16_t status, const nlohmann::json& body) {
  HttpAnswer answer;
  answer.status = status;
  answer.headers.emplace_back("Content-Type", "application/json");
  answer.body = SerializeBody(body);
  return answer;
}

HttpAnswer ProblemAnswer(const OperatorRefusal& refusal,
                         const nlohmann::json& extra_members) {
  nlohmann::json body = {
      {"type", "about:blank"},
      {"title", refusal.title},
      {"status", refusal.status},
      {"reason", refusal.reason},
      {"detail", refusal.detail},
      {"outcome", refusal.outcome_unknown ? "unknown" : "not_run"}};
  body.update(extra_members);
  HttpAnswer answer;
  answer.status = refusal.status;
  answer.headers.emplace_back("Content-Type", "application/problem+json");
  if (refusal.retry_after) {
    answer.headers.emplace_back("Retry-After",
                                std::to_string(refusal.retry_after->count()));
  }
  if (refusal.status == 401) {
    answer.headers.emplace_back("WWW-Authenticate", "Bearer");
  }
  answer.body = SerializeBody(body);
  return answer;
}

HttpAnswer ProblemAnswer(const OperatorRefusal& refusal) {
  return ProblemAnswer(refusal, nlohmann::json::object());
}

HttpAnswer InvalidBodyAnswer(const std::vector<Problem>& problems) {
  OperatorRefusal refusal{400, "invalid_body", "The body is not valid", ""};
  nlohmann::json list = nlohmann::json::array();
  for (const Problem& problem : problems) {
    list.push_back({{"field", problem.field},
                    {"found", problem.found},
                    {"remedy", problem.remedy},
                    {"message", problem.Message()}});
  }
  if (!problems.empty()) {
    refusal.detail = problems.front().Message();
  }
  return ProblemAnswer(refusal, {{"problems", std::move(list)}});
}

OperatorRefusal RefusalFor(std::error_code error, const std::string& detail) {
  const StateError state_error = AsStateError(error);
  const std::string message = error.message();
  OperatorRefusal refusal;
  refusal.status = HttpStatusFor(state_error);
  refusal.reason = ReasonOf(state_error);
  refusal.title = message.substr(0, message.find(':'));
  refusal.detail = detail.empty() ? message : detail;
  return refusal;
}

}  // namespace mimosastage
