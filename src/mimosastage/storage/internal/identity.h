#ifndef MIMOSASTAGE_STORAGE_INTERNAL_IDENTITY_H_
#define MIMOSASTAGE_STORAGE_INTERNAL_IDENTITY_H_

#include <cstdint>
#include <filesystem>
#include <optional>
#include <string>

#include "mimosastage/base/names.h"
#include "mimosastage/replication/durable_state.h"
#include "mimosastage/storage/internal/file_system.h"

namespace mimosastage::internal {

inline constexpr const char* kIdentityFileName = "identity";

/// The voter that a data folder belongs to.
struct Identity {
  std::string cluster_id;
  /// A legacy id in a folder that an earlier release wrote.
  DaemonId voter{};
  /// True if Format wrote the identity, at first install. False if the folder
  /// was empty when the voter started; its data is then lost.
  bool formatted = false;
  /// Incarnation of the latest start; 0 before the first start.
  Incarnation incarnation = 0;
};

void WriteIdentity(FileSystem& file_system, const std::filesystem::path& folder,
                   const Identity& identity);

/// Nothing if the folder has no identity file. Throws StorageFailure if the
/// file is damaged.
std::optional<Identity> ReadIdentity(FileSystem& file_system,
                                     const std::filesystem::path& folder);

}  // namespace mimosastage::internal

#endif  // MIMOSASTAGE_STORAGE_INTERNAL_IDENTITY_H_
