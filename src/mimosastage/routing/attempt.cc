#include "mimosastage/routing/attempt.h"

namespace mimosastage {

const char* AttemptEndName(AttemptEnd end) {
  switch (end) {
    case AttemptEnd::kWholeAnswer:
      return "whole_answer";
    case AttemptEnd::kRefusedConnect:
      return "refused_connect";
    case AttemptEnd::kServerSaidNotRun:
      return "server_said_not_run";
    case AttemptEnd::kFailedBeforeFirstByte:
      return "failed_before_first_byte";
    case AttemptEnd::kNotStarted:
      return "not_started";
    case AttemptEnd::kFailedAfterFirstByte:
      return "failed_after_first_byte";
    case AttemptEnd::kStalledReused:
      return "stalled_reused";
    case AttemptEnd::kStalledFresh:
      return "stalled_fresh";
    case AttemptEnd::kWrongRequestId:
      return "wrong_request_id";
    case AttemptEnd::kTruncated:
      return "truncated";
    case AttemptEnd::kTooLarge:
      return "too_large";
    case AttemptEnd::kCancelled:
      return "cancelled";
  }
  return "unknown";
}

}  // namespace mimosastage
