#include "mimosastage/storage/internal/identity.h"

#include "mimosastage/base/daemon_id.h"
#include "mimosastage/storage/internal/bytes.h"
#include "mimosastage/storage/internal/frame.h"
#include "mimosastage/storage/internal/replace_file.h"
#include "mimosastage/storage/internal/storage_failure.h"

namespace mimosastage::internal {
namespace {

constexpr std::uint32_t kMagic = 0x4953534DU;  // "MSSI"
/// The voter's id has 16 bits in the first version and 64 in the second, which
/// is written only if the id needs it. Earlier releases read the first one.
constexpr std::uint16_t kShortIdVersion = 1;
constexpr std::uint16_t kLongIdVersion = 2;

std::string EncodeIdentity(const Identity& identity) {
  std::string bytes;
  PutNumber(bytes, kMagic);
  if (const DaemonIdFields id = ToDaemonIdFields(identity.voter);
      id.address_id == 0) {
    PutNumber(bytes, kShortIdVersion);
    PutNumber(bytes, id.number);
  } else {
    PutNumber(bytes, kLongIdVersion);
    PutNumber(bytes, id.address_id);
  }
  PutNumber(bytes, static_cast<std::uint8_t>(identity.formatted ? 1 : 0));
  PutNumber(bytes, identity.incarnation);
  PutNumber(bytes, static_cast<std::uint32_t>(identity.cluster_id.size()));
  bytes += identity.cluster_id;
  PutNumber(bytes, Checksum(bytes, 0));
  return bytes;
}

std::optional<Identity> DecodeIdentity(std::string_view bytes) {
  constexpr std::size_t kChecksumSize = sizeof(std::uint64_t);
  if (bytes.size() < kChecksumSize) {
    return std::nullopt;
  }
  const std::size_t size = bytes.size() - kChecksumSize;
  if (Checksum(bytes.substr(0, size), 0) !=
      NumberAt<std::uint64_t>(bytes, size)) {
    return std::nullopt;
  }
  ByteReader reader(bytes.substr(0, size));
  const auto magic = reader.Take<std::uint32_t>();
  const auto version = reader.Take<std::uint16_t>();
  if (magic != kMagic ||
      (version != kShortIdVersion && version != kLongIdVersion)) {
    return std::nullopt;
  }
  std::optional<std::uint64_t> voter;
  if (version == kShortIdVersion) {
    voter = reader.Take<std::uint16_t>();
  } else {
    voter = reader.Take<std::uint64_t>();
  }
  const auto formatted = reader.Take<std::uint8_t>();
  const auto incarnation = reader.Take<std::uint64_t>();
  const auto length = reader.Take<std::uint32_t>();
  if (!length.has_value()) {
    return std::nullopt;
  }
  auto cluster_id = reader.TakeString(*length);
  if (!cluster_id.has_value()) {
    return std::nullopt;
  }
  return Identity{std::move(*cluster_id), DaemonId{*voter}, *formatted != 0,
                  *incarnation};
}

}  // namespace

void WriteIdentity(FileSystem& file_system, const std::filesystem::path& folder,
                   const Identity& identity) {
  ReplaceFile(file_system, folder, kIdentityFileName, EncodeIdentity(identity));
}

std::optional<Identity> ReadIdentity(FileSystem& file_system,
                                     const std::filesystem::path& folder) {
  const std::filesystem::path path = folder / kIdentityFileName;
  if (!file_system.Exists(path)) {
    return std::nullopt;
  }
  auto identity = DecodeIdentity(file_system.ReadWholeFile(path));
  if (!identity.has_value()) {
    throw StorageFailure{
        StorageError::kDamaged,
        path.string() +
            ": offset 0: the checksum doesn't match; check the disk, then move "
            "the folder's files away so that the voter recovers from the "
            "other voters"};
  }
  return identity;
}

}  // namespace mimosastage::internal
