#ifndef MIMOSASTAGE_STORAGE_INTERNAL_IDENTITY_H_
#define MIMOSASTAGE_STORAGE_INTERNAL_IDENTITY_H_

#include <cstdint>
#include <filesystem>
#include <optional>
#include <string>

#include "mimosastage/base/names.h"
#include "mimosastage/replication/durable_state.h"

namespace mimosastage::internal {

inline constexpr const char* kIdentityName = "identity";

/// Whose data a folder holds.
struct Identity {
  std::string cluster_id;
  DaemonId voter{};
  /// Written by Format, at first install. Otherwise the folder was empty when
  /// the voter started, and its data is lost.
  bool formatted = false;
  /// Of the latest start; 0 before the first.
  Incarnation incarnation = 0;
};

void WriteIdentity(const std::filesystem::path& folder,
                   const Identity& identity);

/// Nothing if the folder has no identity. Throws StorageFailure if it is
/// damaged.
std::optional<Identity> ReadIdentity(const std::filesystem::path& folder);

}  // namespace mimosastage::internal

#endif  // MIMOSASTAGE_STORAGE_INTERNAL_IDENTITY_H_
