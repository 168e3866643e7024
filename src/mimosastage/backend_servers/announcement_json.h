#ifndef MIMOSASTAGE_BACKEND_SERVERS_ANNOUNCEMENT_JSON_H_
#define MIMOSASTAGE_BACKEND_SERVERS_ANNOUNCEMENT_JSON_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "mimosastage/base/result.h"
#include "mimosastage/routing/announcement.h"

namespace mimosastage {

/// Parses the body of `POST /v1/announcements`: a JSON object with name,
/// address, port, pool, zone, epoch, slots, connections and, optionally,
/// departing. Returns AnnouncementError::kInvalidField for a port out of range
/// and AnnouncementError::kMalformed for any other invalid body.
Result<Announcement> ParseAnnouncement(const std::string& body);

/// Body of the answer to an accepted announcement; `interval` is the time until
/// the next announcement is due.
std::string AnnouncementReplyBody(std::chrono::milliseconds interval);

/// Body of the answer to a refused announcement, with the error's message as
/// the title. `required_epoch` is the committed epoch of the instance, or 0 if
/// it has none.
std::string AnnouncementErrorBody(int status, std::error_code error,
                                  std::uint64_t required_epoch);

}  // namespace mimosastage

#endif  // MIMOSASTAGE_BACKEND_SERVERS_ANNOUNCEMENT_JSON_H_
