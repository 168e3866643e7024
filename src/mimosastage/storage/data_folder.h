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
#include "mimosastage/storage/internal/file_system.h"
#include "mimosastage/storage/storage_error.h"

namespace mimosastage {

/// The persistent storage of one voter: an identity file, log segments and
/// snapshots. Must be used by one thread at a time.
///
/// Each Sync appends one checksummed record to the newest segment and waits
/// until it is on disk, so a crash can tear only the last record. Open
/// truncates a torn last record. A corrupted last record can't be told from a
/// torn one and is truncated too; corruption anywhere else is an error.
class DataFolder {
 public:
  /// Writes the identity of a voter into an empty or missing folder. Called
  /// once, at first install. Errors: kNotEmpty, kInputOutput.
  static Result<void> Format(
      const std::filesystem::path& folder, const std::string& cluster_id,
      DaemonId voter,
      internal::FileSystem& file_system = internal::RealFileSystem());

  DataFolder(std::filesystem::path folder, std::string cluster_id,
             DaemonId voter,
             internal::FileSystem& file_system = internal::RealFileSystem());
  ~DataFolder();
  DataFolder(const DataFolder&) = delete;
  DataFolder& operator=(const DataFolder&) = delete;

  /// Locks the folder until this object is destroyed, reads all files and
  /// persists a new incarnation. Must be called once, before Write and Sync. An
  /// empty or missing folder gives an image that isn't intact. A torn last
  /// record is truncated; see OpenReport. Errors: kForeignFolder, kDamaged,
  /// kUnknownRecord, kAlreadyOpen, kInputOutput; ErrorDetail has the details.
  Result<DurableImage> Open();

  /// Renames the log and the snapshots to names with ".damaged", after Open has
  /// failed with kDamaged, so that the voter recovers from the others as after
  /// a lost disk. Replaces files that were set aside earlier. Must be called on
  /// an object of its own, without Open. If it is interrupted, Open fails with
  /// kDamaged until another call completes. Errors: kForeignFolder, kDamaged if
  /// the identity is damaged, kAlreadyOpen, kInputOutput; no file is changed if
  /// the folder isn't known to be the voter's.
  Result<void> SetDamagedFilesAside();

  /// Buffers the changes until the next Sync makes them durable. A snapshot is
  /// stored immediately. After an error every later call fails with
  /// kInputOutput, because what reached the disk is unknown until the folder is
  /// opened again.
  Result<void> Write(const DurableWrite& write);

  /// Makes all earlier writes durable.
  Result<void> Sync();

  /// Describes the last error: file, offset, what was found, remedy.
  const std::string& ErrorDetail() const;
  /// What Open repaired or initialised, as text for the log; empty if nothing.
  const std::string& OpenReport() const;

 private:
  class Files;

  /// Runs `action` and keeps its error. Fails with kInputOutput if an earlier
  /// call failed.
  Result<void> RunUnlessFailed(const std::function<void()>& action);

  std::unique_ptr<Files> files;
  std::string error_detail;
  bool failed = true;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_STORAGE_DATA_FOLDER_H_
