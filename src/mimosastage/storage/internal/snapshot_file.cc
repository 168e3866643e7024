#include "mimosastage/storage/internal/snapshot_file.h"

#include "mimosastage/storage/internal/bytes.h"
#include "mimosastage/storage/internal/file.h"
#include "mimosastage/storage/internal/frame.h"
#include "mimosastage/storage/internal/numbered_files.h"

namespace mimosastage::internal {
namespace {

constexpr std::string_view kPrefix = "snapshot-";

}  // namespace

void WriteSnapshot(const std::filesystem::path& folder,
                   std::uint64_t checksum_seed,
                   const StoredSnapshot& snapshot) {
  std::string payload;
  PutNumber(payload, snapshot.view);
  payload += snapshot.bytes;
  ReplaceFile(folder, NumberedName(kPrefix, snapshot.index),
              EncodeFrame(checksum_seed, snapshot.index, payload));
}

std::optional<StoredSnapshot> ReadNewestSnapshot(
    const std::filesystem::path& folder, std::uint64_t checksum_seed) {
  const auto files = NumberedFiles(folder, kPrefix);
  if (files.empty()) {
    return std::nullopt;
  }
  const auto& [index, path] = *files.rbegin();
  const std::string content = ReadWholeFile(path);
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

void RemoveSnapshotsBefore(const std::filesystem::path& folder,
                           LogIndex index) {
  for (const auto& [number, path] : NumberedFiles(folder, kPrefix)) {
    if (number < index) {
      std::filesystem::remove(path);
    }
  }
}

}  // namespace mimosastage::internal
