#ifndef MIMOSASTAGE_STORAGE_DATA_FOLDER_H_
#define MIMOSASTAGE_STORAGE_DATA_FOLDER_H_

#include <cstdint>
#include <filesystem>
#include <memory>
#include <string>
#include <system_error>

#include "mimosastage/base/names.h"
#include "mimosastage/base/result.h"
#include "mimosastage/replication/durable_state.h"

namespace mimosastage {

enum class StorageError {
  kNotEmpty = 1,
  kForeignFolder,
  kDamaged,
  kInputOutput,
  kAlreadyOpen
};

const std::error_category& StorageCategory() noexcept;
std::error_code make_error_code(StorageError error) noexcept;

/// The files of one voter: identity, log segments and snapshots. Used by one
/// thread at a time.
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

  /// Locks the folder, reads everything and raises the incarnation. An empty
  /// folder gives an image that isn't intact. A torn last record is cut off;
  /// see Report. Errors: kForeignFolder, kDamaged, kAlreadyOpen,
  /// kInputOutput; ErrorDetail names file, offset and remedy.
  Result<DurableImage> Open();

  /// Takes the changes; they are durable after the next Sync. After an error
  /// the folder must not be used until it is opened again.
  Result<void> Write(const DurableWrite& write);

  /// Syncs everything written before.
  Result<void> Sync();

  /// What the last error was about: file, offset, what was found, remedy.
  const std::string& ErrorDetail() const;
  /// What Open repaired, for the log; empty if nothing.
  const std::string& Report() const;

 private:
  class Files;
  std::unique_ptr<Files> files;
};

}  // namespace mimosastage

template <>
struct std::is_error_code_enum<mimosastage::StorageError> : std::true_type {};

#endif  // MIMOSASTAGE_STORAGE_DATA_FOLDER_H_
