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
  /// The HTTP server's id of the request.
  std::uint64_t id = 0;
  RouteName route;
  std::string method;
  /// Path and query for the backend server; starts with '/'.
  std::string target;
  /// Headers that are passed on to the backend server.
  HttpHeaders headers;
  std::string body;
  /// Secret of the bearer token; empty if the caller sent none.
  std::string key;
  std::string idempotency_key;
  /// Set if the caller asked for less time than the route gives.
  std::optional<std::chrono::milliseconds> deadline;
};

/// `DELETE /requests/<Idempotency-Key>`.
struct CancelRequest {
  std::uint64_t id = 0;
  std::string key;
  std::string idempotency_key;
};

inline constexpr std::size_t kMaxIdempotencyKey = 128;

/// What the caller asked for, or why it can't be understood.
std::variant<CallerRequest, CancelRequest, CallerRefusal> ParseCallerRequest(
    HttpRequest&& request);

/// xxHash64 of what makes two requests the same work: route, method, target
/// and body.
std::uint64_t Fingerprint(const CallerRequest& request);

}  // namespace mimosastage

#endif  // MIMOSASTAGE_CALLERS_CALLER_REQUEST_H_
