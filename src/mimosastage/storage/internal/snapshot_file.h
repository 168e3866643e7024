#ifndef MIMOSASTAGE_STORAGE_INTERNAL_SNAPSHOT_FILE_H_
#define MIMOSASTAGE_STORAGE_INTERNAL_SNAPSHOT_FILE_H_

#include <cstdint>
#include <filesystem>
#include <optional>
#include <string>

#include "mimosastage/replication/messages.h"
#include "mimosastage/storage/internal/file_system.h"

namespace mimosastage::internal {

struct StoredSnapshot {
  LogIndex index = 0;
  ViewNumber view = 0;
  std::string bytes;
};

/// Writes and syncs a snapshot to a file that is named after its index.
void WriteSnapshot(FileSystem& file_system, const std::filesystem::path& folder,
                   std::uint64_t checksum_seed, const StoredSnapshot& snapshot);

/// Reads the newest snapshot of the folder; nothing if there is none. Throws
/// StorageFailure if it is damaged.
std::optional<StoredSnapshot> ReadNewestSnapshot(
    FileSystem& file_system, const std::filesystem::path& folder,
    std::uint64_t checksum_seed);

/// Removes the snapshots with a lower index than `index`.
void RemoveSnapshotsBefore(FileSystem& file_system,
                           const std::filesystem::path& folder, LogIndex index);

}  // namespace mimosastage::internal

#endif  // MIMOSASTAGE_STORAGE_INTERNAL_SNAPSHOT_FILE_H_
