#ifndef MIMOSASTAGE_ROUTING_ANNOUNCEMENT_H_
#define MIMOSASTAGE_ROUTING_ANNOUNCEMENT_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

#include "mimosastage/base/names.h"
#include "mimosastage/base/result.h"

namespace mimosastage {

/// A backend server's announcement of itself.
struct Announcement {
  BackendServerName name;
  /// Numeric IP address.
  std::string address;
  std::uint16_t port = 0;
  PoolName pool;
  AvailabilityZone availability_zone;
  /// Increases each time the instance moves to another pool.
  std::uint64_t instance_epoch = 0;
  /// Maximum number of concurrent requests.
  std::uint32_t slots = 0;
  /// Maximum number of connections from all entries together.
  std::uint32_t connections = 0;
  /// It finishes its requests and must get no new ones.
  bool departing = false;

  bool operator==(const Announcement&) const = default;
};

/// Announcements that one daemon received since its last delta.
struct AnnouncementDelta {
  /// New or changed. Departing servers and, in rotation, some of the unchanged
  /// ones are repeated here, so that daemons recover from a lost delta.
  std::vector<Announcement> changed;
  /// Announced again without a change.
  std::vector<BackendServerName> renewed;
  /// Servers that are absent at the sender, which was the last daemon to
  /// receive their announcements.
  std::vector<BackendServerName> gone;
  /// Announcement interval that the sender currently gives to its backend
  /// servers.
  std::chrono::milliseconds interval{1'000};

  bool operator==(const AnnouncementDelta&) const = default;
};

enum class AnnouncementError {
  kMalformed = 1,
  kInvalidField,
  kOldEpoch,
  kOtherPool,
  kDirectoryFull,
};

std::error_code make_error_code(AnnouncementError error);

/// FlatBuffers encoding; see internal/announcement.fbs.
std::string EncodeAnnouncementDelta(const AnnouncementDelta& delta);

/// kMalformed if the FlatBuffers verifier rejects the bytes. The fields aren't
/// validated here but in BackendServerDirectory.
Result<AnnouncementDelta> DecodeAnnouncementDelta(std::string_view bytes);

/// kInvalidField if a name is empty or longer than 128 bytes, the address
/// isn't a numeric IP address, or port, slots or connections are 0.
std::error_code ValidateAnnouncement(const Announcement& announcement);

}  // namespace mimosastage

template <>
struct std::is_error_code_enum<mimosastage::AnnouncementError>
    : std::true_type {};

#endif  // MIMOSASTAGE_ROUTING_ANNOUNCEMENT_H_
