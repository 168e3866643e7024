#include "mimosastage/backend_servers/announcement_json.h"

#include <nlohmann/json.hpp>

namespace mimosastage {

using nlohmann::json;

Result<Announcement> ParseAnnouncement(const std::string& body) {
  const json parsed = json::parse(body, nullptr, /*allow_exceptions=*/false);
  if (!parsed.is_object()) {
    return make_error_code(AnnouncementError::kMalformed);
  }
  try {
    Announcement announcement;
    announcement.name = BackendServerName(parsed.at("name").get<std::string>());
    announcement.address = parsed.at("address").get<std::string>();
    const auto port = parsed.at("port").get<std::int64_t>();
    if (port < 1 || port > 65'535) {
      return make_error_code(AnnouncementError::kInvalidField);
    }
    announcement.port = static_cast<std::uint16_t>(port);
    announcement.pool = PoolName(parsed.at("pool").get<std::string>());
    announcement.availability_zone =
        AvailabilityZone(parsed.at("zone").get<std::string>());
    announcement.instance_epoch = parsed.at("epoch").get<std::uint64_t>();
    announcement.slots = parsed.at("slots").get<std::uint32_t>();
    announcement.connections = parsed.at("connections").get<std::uint32_t>();
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
