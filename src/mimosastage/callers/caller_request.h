#ifndef MIMOSASTAGE_CALLERS_CALLER_REQUEST_H_
#define MIMOSASTAGE_CALLERS_CALLER_REQUEST_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "mimosastage/base/names.h"
#include "mimosastage/callers/caller_refusal.h"
#include "mimosastage/http/http_server.h"

namespace mimosastage {

/// A request for a route: `ANY /r/<route>/<path>`.
struct CallerRequest {
  /// Id that the HTTP server gave the request.
  std::uint64_t id = 0;
  RouteName route;
  std::string method;
  /// Path and query for the backend server; starts with '/'.
  std::string target;
  /// Headers that are passed on to the backend server.
  HttpHeaders headers;
  std::string body;
  /// The bearer token; empty if the caller sent none.
  std::string key;
  std::string idempotency_key;
  /// Value of `Mimosastage-Deadline-Ms`, if the caller sent it.
  std::optional<std::chrono::milliseconds> deadline;
};

/// `DELETE /requests/<Idempotency-Key>`.
struct CancelRequest {
  std::uint64_t id = 0;
  std::string key;
  std::string idempotency_key;
};

/// Parses a caller's request; returns a refusal if it is malformed or its path
/// is unknown.
std::variant<CallerRequest, CancelRequest, CallerRefusal> ParseCallerRequest(
    HttpRequest&& request);

/// xxHash64 of the route, method, target and body. Detects that an idempotency
/// key is reused for a different request.
std::uint64_t Fingerprint(const CallerRequest& request);

}  // namespace mimosastage

#endif  // MIMOSASTAGE_CALLERS_CALLER_REQUEST_H_
