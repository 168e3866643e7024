#include "mimosastage/callers/caller_request.h"

#include <strings.h>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <string_view>
#include <utility>

#include "mimosastage/state/commands.h"

namespace mimosastage {
namespace {

constexpr std::string_view kRoutePrefix = "/r/";
constexpr std::string_view kCancelPrefix = "/requests/";
constexpr std::string_view kBearerPrefix = "Bearer ";

/// Headers that are specific to the caller's connection or set by the daemon.
/// Authorization is included because backend servers aren't trusted with the
/// caller's key.
constexpr std::array<std::string_view, 14> kUnforwardedHeaders = {
    "Authorization",
    "Connection",
    "Content-Length",
    "Expect",
    "Host",
    "Keep-Alive",
    "Proxy-Connection",
    "TE",
    "Trailer",
    "Transfer-Encoding",
    "Upgrade",
    "Mimosastage-Request-Id",
    "Mimosastage-Team",
    "Mimosastage-Deadline-Ms"};

bool EqualsIgnoringCase(std::string_view a, std::string_view b) {
  return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

bool IsForwarded(std::string_view name) {
  return std::none_of(kUnforwardedHeaders.begin(), kUnforwardedHeaders.end(),
                      [&](std::string_view header) {
                        return EqualsIgnoringCase(header, name);
                      });
}

CallerRefusal MakeRefusal(std::uint16_t status, std::string reason,
                          std::string title) {
  return CallerRefusal{status, std::move(reason), std::move(title),
                       RefusedOutcome::kNotRun, std::nullopt};
}

std::string ParseBearerKey(const HttpHeaders& headers) {
  const std::string_view value = FindHeader(headers, "Authorization");
  if (value.size() <= kBearerPrefix.size() ||
      !EqualsIgnoringCase(value.substr(0, kBearerPrefix.size()),
                          kBearerPrefix)) {
    return {};
  }
  return std::string(value.substr(kBearerPrefix.size()));
}

bool IsVisibleAscii(std::string_view text) {
  return std::all_of(text.begin(), text.end(),
                     [](char c) { return c > ' ' && c <= '~'; });
}

/// Parses a positive whole number of milliseconds, at most one day.
std::optional<std::chrono::milliseconds> ParseDeadline(std::string_view text) {
  std::int64_t value = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  constexpr std::int64_t kMaxDeadlineMs = 24L * 3'600 * 1'000;
  if (error != std::errc{} || end != text.data() + text.size() || value <= 0 ||
      value > kMaxDeadlineMs) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(value);
}

}  // namespace

std::variant<CallerRequest, CancelRequest, CallerRefusal> ParseCallerRequest(
    HttpRequest&& request) {
  const std::string_view target = request.target;
  if (target.starts_with(kCancelPrefix) && request.method == "DELETE") {
    return CancelRequest{request.id, ParseBearerKey(request.headers),
                         std::string(target.substr(kCancelPrefix.size()))};
  }
  if (!target.starts_with(kRoutePrefix)) {
    return MakeRefusal(404, "unknown_path",
                       "use /r/<route>/<path> or DELETE "
                       "/requests/<Idempotency-Key>");
  }
  CallerRequest parsed;
  parsed.id = request.id;
  const std::string_view after_prefix = target.substr(kRoutePrefix.size());
  const std::size_t end =
      std::min(after_prefix.find_first_of("/?"), after_prefix.size());
  parsed.route = RouteName(std::string(after_prefix.substr(0, end)));
  parsed.target = std::string(after_prefix.substr(end));
  if (!parsed.target.starts_with('/')) {
    parsed.target.insert(0, "/");
  }
  parsed.method = std::move(request.method);
  parsed.key = ParseBearerKey(request.headers);
  parsed.idempotency_key = FindHeader(request.headers, "Idempotency-Key");
  if (parsed.idempotency_key.size() > kMaxIdempotencyKeyLength ||
      !IsVisibleAscii(parsed.idempotency_key)) {
    return MakeRefusal(400, "bad_idempotency_key",
                       "Idempotency-Key must be at most " +
                           std::to_string(kMaxIdempotencyKeyLength) +
                           " printable characters without spaces");
  }
  if (const auto text = FindHeader(request.headers, "Mimosastage-Deadline-Ms");
      !text.empty()) {
    parsed.deadline = ParseDeadline(text);
    if (!parsed.deadline.has_value()) {
      return MakeRefusal(400, "bad_deadline",
                         "Mimosastage-Deadline-Ms must be a whole number of "
                         "milliseconds from 1 to 86400000");
    }
  }
  for (auto& header : request.headers) {
    if (IsForwarded(header.first)) {
      parsed.headers.push_back(std::move(header));
    }
  }
  parsed.body = std::move(request.body);
  return parsed;
}

std::uint64_t Fingerprint(const CallerRequest& request) {
  std::string text = request.route.str();
  for (const std::string& part : {request.method, request.target}) {
    text.push_back('\n');
    text.append(part);
  }
  text.push_back('\n');
  text.append(request.body);
  return XXH64(text.data(), text.size(), 0);
}

}  // namespace mimosastage
