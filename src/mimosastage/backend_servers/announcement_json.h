#ifndef MIMOSASTAGE_BACKEND_SERVERS_ANNOUNCEMENT_JSON_H_
#define MIMOSASTAGE_BACKEND_SERVERS_ANNOUNCEMENT_JSON_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "mimosastage/base/result.h"
#include "mimosastage/routing/announcement.h"

namespace mimosastage {

/// Reads the body of `POST /v1/announcements`: an object with name, address,
/// port, pool, zone, epoch, slots, connections and departing.
/// AnnouncementError::kMalformed for anything else.
Result<Announcement> ParseAnnouncement(const std::string& body);

/// The answer's body: in how many milliseconds to announce again.
std::string AnnouncementReplyBody(std::chrono::milliseconds interval);

/// The body of a refusal, with the error's message as the title.
/// `required_epoch` is the committed epoch of the instance, or 0 if it has
/// none.
std::string AnnouncementErrorBody(int status, std::error_code error,
                                  std::uint64_t required_epoch);

}  // namespace mimosastage

#endif  // MIMOSASTAGE_BACKEND_SERVERS_ANNOUNCEMENT_JSON_H_
