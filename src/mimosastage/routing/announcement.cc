#include "mimosastage/routing/announcement.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>

#include "mimosastage/routing/internal/announcement_generated.h"

namespace mimosastage {
namespace {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;
using StringOffsets = flatbuffers::Vector<Offset<flatbuffers::String>>;

constexpr std::size_t kMaxNameBytes = 128;

class Category : public std::error_category {
 public:
  const char* name() const noexcept override { return "announcement"; }

  std::string message(int value) const override {
    switch (static_cast<AnnouncementError>(value)) {
      case AnnouncementError::kMalformed:
        return "the announcement delta is malformed; run the same version on "
               "all daemons";
      case AnnouncementError::kInvalidField:
        return "the announcement has an invalid field; names need 1 to 128 "
               "bytes, the address must be a numeric IP address, and port, "
               "slots and connections must be above 0";
      case AnnouncementError::kOldEpoch:
        return "the announcement has an old instance epoch; restart the "
               "backend server with the instance's current epoch";
      case AnnouncementError::kOtherPool:
        return "the instance belongs to another pool; remove it from that "
               "pool's row, apply, then add it to the new pool's row";
      case AnnouncementError::kDirectoryFull:
        return "the directory of backend servers is full; remove instances or "
               "raise its limit";
    }
    return "unknown announcement error";
  }
};

bool IsName(const std::string& text) {
  return !text.empty() && text.size() <= kMaxNameBytes;
}

bool IsNumericAddress(const std::string& text) {
  std::array<unsigned char, sizeof(in6_addr)> address{};
  return inet_pton(AF_INET, text.c_str(), address.data()) == 1 ||
         inet_pton(AF_INET6, text.c_str(), address.data()) == 1;
}

Offset<routing_wire::Announcement> Encode(FlatBufferBuilder& builder,
                                          const Announcement& from) {
  return routing_wire::CreateAnnouncementDirect(
      builder, from.name.str().c_str(), from.address.c_str(), from.port,
      from.pool.str().c_str(), from.availability_zone.str().c_str(),
      from.instance_epoch, from.slots, from.connections, from.departing);
}

Offset<StringOffsets> Encode(FlatBufferBuilder& builder,
                             const std::vector<BackendServerName>& names) {
  std::vector<Offset<flatbuffers::String>> offsets;
  offsets.reserve(names.size());
  for (const BackendServerName& name : names) {
    offsets.push_back(builder.CreateString(name.str()));
  }
  return builder.CreateVector(offsets);
}

Announcement Decode(const routing_wire::Announcement& from) {
  Announcement to;
  to.name = BackendServerName(from.name()->str());
  to.address = from.address()->str();
  to.port = from.port();
  to.pool = PoolName(from.pool()->str());
  to.availability_zone = AvailabilityZone(from.availability_zone()->str());
  to.instance_epoch = from.instance_epoch();
  to.slots = from.slots();
  to.connections = from.connections();
  to.departing = from.departing();
  return to;
}

std::vector<BackendServerName> Decode(const StringOffsets* names) {
  std::vector<BackendServerName> to;
  if (names != nullptr) {
    to.reserve(names->size());
    for (const flatbuffers::String* name : *names) {
      to.emplace_back(name->str());
    }
  }
  return to;
}

}  // namespace

std::error_code make_error_code(AnnouncementError error) {
  static const Category kCategory;
  return {static_cast<int>(error), kCategory};
}

std::string EncodeAnnouncementDelta(const AnnouncementDelta& delta) {
  FlatBufferBuilder builder;
  std::vector<Offset<routing_wire::Announcement>> changed;
  changed.reserve(delta.changed.size());
  for (const Announcement& announcement : delta.changed) {
    changed.push_back(Encode(builder, announcement));
  }
  const auto changed_offset = builder.CreateVector(changed);
  const auto renewed = Encode(builder, delta.renewed);
  const auto gone = Encode(builder, delta.gone);
  builder.Finish(routing_wire::CreateAnnouncementDelta(
      builder, changed_offset, renewed, gone,
      static_cast<std::uint32_t>(delta.interval.count())));
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
          builder.GetSize()};
}

Result<AnnouncementDelta> DecodeAnnouncementDelta(std::string_view bytes) {
  const auto* data = reinterpret_cast<const std::uint8_t*>(bytes.data());
  flatbuffers::Verifier verifier(data, bytes.size());
  if (!routing_wire::VerifyAnnouncementDeltaBuffer(verifier)) {
    return make_error_code(AnnouncementError::kMalformed);
  }
  const routing_wire::AnnouncementDelta* from =
      routing_wire::GetAnnouncementDelta(data);
  AnnouncementDelta to;
  if (from->changed() != nullptr) {
    to.changed.reserve(from->changed()->size());
    for (const routing_wire::Announcement* announcement : *from->changed()) {
      to.changed.push_back(Decode(*announcement));
    }
  }
  to.renewed = Decode(from->renewed());
  to.gone = Decode(from->gone());
  to.interval = std::chrono::milliseconds(from->interval_ms());
  return to;
}

std::error_code ValidateAnnouncement(const Announcement& announcement) {
  const bool valid =
      IsName(announcement.name.str()) && IsName(announcement.pool.str()) &&
      IsName(announcement.availability_zone.str()) &&
      IsNumericAddress(announcement.address) && announcement.port > 0 &&
      announcement.slots > 0 && announcement.connections > 0;
  return valid ? std::error_code()
               : make_error_code(AnnouncementError::kInvalidField);
}

}  // namespace mimosastage
