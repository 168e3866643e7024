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

/// What a backend server says about itself.
struct Announcement {
  BackendServerName name;
  /// Numeric IP address.
  std::string address;
  std::uint16_t port = 0;
  PoolName pool;
  AvailabilityZone availability_zone;
  /// Rises each time the instance moves to another pool.
  std::uint64_t instance_epoch = 0;
  /// Requests that it runs at once.
  std::uint32_t slots = 0;
  /// Connections that it accepts from all entries together.
  std::uint32_t connections = 0;
  /// It finishes its work and must get nothing new.
  bool departing = false;

  bool operator==(const Announcement&) const = default;
};

/// What one daemon heard from backend servers since its last delta.
struct AnnouncementDelta {
  /// New or changed; also repeats of departing servers and a rotating part of
  /// the unchanged ones, so that a lost delta heals by itself.
  std::vector<Announcement> changed;
  /// Heard again without a change.
  std::vector<BackendServerName> renewed;
  /// Absent at the sender, which was the last one to hear them.
  std::vector<BackendServerName> gone;
  /// The interval that the sender currently names to its backend servers.
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

/// kMalformed if the bytes don't pass the FlatBuffers verifier. The fields
/// aren't validated; BackendServerDirectory does so.
Result<AnnouncementDelta> DecodeAnnouncementDelta(std::string_view bytes);

/// kInvalidField if a name is empty or longer than 128 bytes, the address
/// isn't a numeric IP address, or port, slots or connections are 0.
std::error_code ValidateAnnouncement(const Announcement& announcement);

}  // namespace mimosastage

template <>
struct std::is_error_code_enum<mimosastage::AnnouncementError>
    : std::true_type {};

#endif  // MIMOSASTAGE_ROUTING_ANNOUNCEMENT_H_
