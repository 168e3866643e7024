#include "mimosastage/jobs/worker_order.h"

namespace mimosastage::jobs {

const char* NameOf(OrderResult result) {
  switch (result) {
    case OrderResult::kOk:
      return "ok";
    case OrderResult::kFenced:
      return "fenced";
    case OrderResult::kOldRun:
      return "old_run";
    case OrderResult::kLate:
      return "late";
    case OrderResult::kNoCapacity:
      return "no_capacity";
    case OrderResult::kNoTicket:
      return "no_ticket";
    case OrderResult::kInvalid:
      return "invalid";
    case OrderResult::kUnhealthy:
      return "unhealthy";
    case OrderResult::kOtherIncarnation:
      return "other_incarnation";
    case OrderResult::kRefused:
      return "refused";
    case OrderResult::kNotSent:
      return "not_sent";
    case OrderResult::kNotStarted:
      return "not_started";
    case OrderResult::kUnanswered:
      return "unanswered";
  }
  return "unknown";
}

}  // namespace mimosastage::jobs
