#ifndef MIMOSASTAGE_STORAGE_DATA_FOLDER_H_
#define MIMOSASTAGE_STORAGE_DATA_FOLDER_H_

#include <cstdint>
#include <filesystem>
#include <functional>
#include <memory>
#include <string>

#include "mimosastage/base/names.h"
#include "mimosastage/base/result.h"
#include "mimosastage/replication/durable_state.h"
#include "mimosastage/storage/storage_error.h"

namespace mimosastage {

/// The files of one voter: `identity`, log segments and snapshots. Used by one
/// thread at a time.
///
/// Each Sync appends one record with a checksum to the newest segment, so that
/// a crash can tear the last record only. That record is cut off when the
/// folder is opened. A flipped bit in the last record looks the same and is
/// treated the same; anywhere else, damage is an error.
class DataFolder {
 public:
  /// Writes the identity of a voter into an empty or missing folder, once, at
  /// first install. Errors: kNotEmpty, kInputOutput.
  static Result<void> Format(const std::filesystem::path& folder,
                             const std::string& cluster_id, DaemonId voter);

  DataFolder(std::filesystem::path folder, std::string cluster_id,
             DaemonId voter);
  ~DataFolder();
  DataFolder(const DataFolder&) = delete;
  DataFolder& operator=(const DataFolder&) = delete;

  /// Called once. Locks the folder until this object is destroyed, reads
  /// everything and raises the incarnation. An empty or missing folder gives an
  /// image that isn't intact. A torn last record is cut off; see Report.
  /// Errors: kForeignFolder, kDamaged, kAlreadyOpen, kInputOutput; ErrorDetail
  /// names file, offset and remedy.
  Result<DurableImage> Open();

  /// Takes the changes; they are durable after the next Sync. A snapshot is
  /// stored at once. After an error the folder refuses all further use: what
  /// reached the disk is unknown until it is opened again.
  Result<void> Write(const DurableWrite& write);

  /// Syncs everything written before.
  Result<void> Sync();

  /// What the last error was about: file, offset, what was found, remedy.
  const std::string& ErrorDetail() const;
  /// What Open repaired, for the log; empty if nothing.
  const std::string& Report() const;

 private:
  class Files;

  Result<void> Guard(const std::function<void()>& action);

  std::unique_ptr<Files> files;
  std::string error_detail;
  bool failed = true;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_STORAGE_DATA_FOLDER_H_
