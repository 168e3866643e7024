#include "mimosastage/storage/internal/snapshot_file.h"

#include "mimosastage/storage/internal/bytes.h"
#include "mimosastage/storage/internal/frame.h"
#include "mimosastage/storage/internal/numbered_files.h"
#include "mimosastage/storage/internal/replace_file.h"
#include "mimosastage/storage/internal/storage_failure.h"

namespace mimosastage::internal {
namespace {

constexpr std::string_view kPrefix = "snapshot-";

}  // namespace

void WriteSnapshot(FileSystem& file_system, const std::filesystem::path& folder,
                   std::uint64_t checksum_seed,
                   const StoredSnapshot& snapshot) {
  std::string payload;
  PutNumber(payload, snapshot.view);
  payload += snapshot.bytes;
  ReplaceFile(file_system, folder, NumberedName(kPrefix, snapshot.index),
              EncodeFrame(checksum_seed, snapshot.index, payload));
}

std::optional<StoredSnapshot> ReadNewestSnapshot(
    FileSystem& file_system, const std::filesystem::path& folder,
    std::uint64_t checksum_seed) {
  const auto files = NumberedFiles(file_system, folder, kPrefix);
  if (files.empty()) {
    return std::nullopt;
  }
  const auto& [index, path] = *files.rbegin();
  const std::string content = file_system.ReadWholeFile(path);
  const auto frame = FrameAt(content, 0, checksum_seed);
  if (!frame.has_value() || frame->sequence != index ||
      frame->size != content.size() ||
      frame->payload.size() < sizeof(ViewNumber)) {
    throw StorageFailure{
        StorageError::kDamaged,
        path.string() +
            ": offset 0: the snapshot's checksum doesn't match; check the "
            "disk, then move the folder's files away so that the voter "
            "recovers from the other voters"};
  }
  return StoredSnapshot{index, NumberAt<std::uint64_t>(frame->payload, 0),
                        std::string(frame->payload.substr(sizeof(ViewNumber)))};
}

void RemoveSnapshotsBefore(FileSystem& file_system,
                           const std::filesystem::path& folder,
                           LogIndex index) {
  for (const auto& [number, path] :
       NumberedFiles(file_system, folder, kPrefix)) {
    if (number < index) {
      file_system.Remove(path);
    }
  }
}

}  // namespace mimosastage::internal
