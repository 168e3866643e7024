#include "mimosastage/backend_servers/announcement_json.h"

#include <limits>
#include <nlohmann/json.hpp>

namespace mimosastage {
namespace {

using nlohmann::json;

/// Reads a whole number in the range of `Number`. A conversion by get() would
/// turn a number out of that range into another one.
template <class Number>
bool ReadNumber(const json& object, const char* name, Number& number) {
  const json& value = object.at(name);
  if (!value.is_number_unsigned()) {
    return false;
  }
  const auto found = value.get<std::uint64_t>();
  number = static_cast<Number>(found);
  return found <= std::numeric_limits<Number>::max();
}

}  // namespace

Result<Announcement> ParseAnnouncement(const std::string& body) {
  const json parsed = json::parse(body, nullptr, /*allow_exceptions=*/false);
  if (!parsed.is_object()) {
    return make_error_code(AnnouncementError::kMalformed);
  }
  try {
    Announcement announcement;
    announcement.name = BackendServerName(parsed.at("name").get<std::string>());
    announcement.address = parsed.at("address").get<std::string>();
    if (!ReadNumber(parsed, "port", announcement.port) ||
        !ReadNumber(parsed, "epoch", announcement.instance_epoch) ||
        !ReadNumber(parsed, "slots", announcement.slots) ||
        !ReadNumber(parsed, "connections", announcement.connections) ||
        announcement.port == 0) {
      return make_error_code(AnnouncementError::kInvalidField);
    }
    announcement.pool = PoolName(parsed.at("pool").get<std::string>());
    announcement.availability_zone =
        AvailabilityZone(parsed.at("zone").get<std::string>());
    announcement.departing = parsed.value("departing", false);
    return announcement;
  } catch (const json::exception&) {
    return make_error_code(AnnouncementError::kMalformed);
  }
}

std::string AnnouncementReplyBody(std::chrono::milliseconds interval) {
  return json{{"interval_ms", interval.count()}}.dump();
}

std::string AnnouncementErrorBody(int status, std::error_code error,
                                  std::uint64_t required_epoch) {
  return json{{"type", "about:blank"},
              {"title", error.message()},
              {"status", status},
              {"reason", "announcement_refused"},
              {"required_epoch", required_epoch},
              {"outcome", "not_run"}}
      .dump();
}

}  // namespace mimosastage
