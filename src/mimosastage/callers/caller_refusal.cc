#include "mimosastage/callers/caller_refusal.h"

#include <nlohmann/json.hpp>

namespace mimosastage {

HttpAnswer ToHttpAnswer(const CallerRefusal& refusal) {
  const nlohmann::json problem = {
      {"type", "about:blank"},
      {"title", refusal.title},
      {"status", refusal.status},
      {"reason", refusal.reason},
      {"outcome",
       refusal.outcome == RefusedOutcome::kNotRun ? "not_run" : "unknown"}};
  HttpAnswer answer;
  answer.status = refusal.status;
  answer.headers.emplace_back("Content-Type", "application/problem+json");
  if (refusal.retry_after.has_value()) {
    answer.headers.emplace_back("Retry-After",
                                std::to_string(refusal.retry_after->count()));
  }
  answer.body = problem.dump();
  return answer;
}

}  // namespace mimosastage
