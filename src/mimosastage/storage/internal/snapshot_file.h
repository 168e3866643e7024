#ifndef MIMOSASTAGE_STORAGE_INTERNAL_SNAPSHOT_FILE_H_
#define MIMOSASTAGE_STORAGE_INTERNAL_SNAPSHOT_FILE_H_

#include <cstdint>
#include <filesystem>
#include <optional>
#include <string>

#include "mimosastage/replication/messages.h"

namespace mimosastage::internal {

struct StoredSnapshot {
  LogIndex index = 0;
  ViewNumber view = 0;
  std::string bytes;
};

/// Stores a snapshot durably under the name of its index.
void WriteSnapshot(const std::filesystem::path& folder, std::uint64_t salt,
                   const StoredSnapshot& snapshot);

/// The newest snapshot of the folder, or nothing if there is none. Throws
/// StorageFailure if it is damaged.
std::optional<StoredSnapshot> ReadNewestSnapshot(
    const std::filesystem::path& folder, std::uint64_t salt);

/// Removes the snapshots before `index`.
void RemoveSnapshotsBefore(const std::filesystem::path& folder, LogIndex index);

}  // namespace mimosastage::internal

#endif  // MIMOSASTAGE_STORAGE_INTERNAL_SNAPSHOT_FILE_H_
