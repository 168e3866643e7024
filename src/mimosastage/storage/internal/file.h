#ifndef MIMOSASTAGE_STORAGE_INTERNAL_FILE_H_
#define MIMOSASTAGE_STORAGE_INTERNAL_FILE_H_

#include <cstdint>
#include <filesystem>
#include <string>
#include <string_view>
#include <utility>

#include "mimosastage/storage/storage_error.h"

namespace mimosastage::internal {

/// What went wrong: thrown inside the package, returned as an error code by
/// DataFolder.
struct StorageFailure {
  StorageError error = StorageError::kInputOutput;
  /// File, offset, what was found, remedy.
  std::string detail;
};

/// An open file or folder. All functions throw StorageFailure.
class File {
 public:
  File() = default;
  File(File&& other) noexcept;
  File& operator=(File&& other) noexcept;
  File(const File&) = delete;
  File& operator=(const File&) = delete;
  ~File();

  static File OpenFolder(const std::filesystem::path& path);
  /// Creates the file if it is missing; writes go to its end.
  static File OpenForAppend(const std::filesystem::path& path);
  static File CreateEmpty(const std::filesystem::path& path);

  bool IsOpen() const { return this->descriptor >= 0; }
  void Write(std::string_view bytes);
  void Sync();
  void Truncate(std::uint64_t size);
  /// Fails with kAlreadyOpen if another open file holds the lock.
  void Lock();

 private:
  File(int descriptor, std::filesystem::path path);
  [[noreturn]] void Fail(const char* action) const;

  int descriptor = -1;
  std::filesystem::path path;
};

std::string ReadWholeFile(const std::filesystem::path& path);

/// Writes `name` in `folder` so that after a crash either the old or the new
/// content is there: temporary name, sync, rename, sync of the folder.
void ReplaceFile(const std::filesystem::path& folder, const std::string& name,
                 std::string_view content);

void SyncFolder(const std::filesystem::path& folder);

/// Ending of temporary names; such files are removed when a folder is opened.
inline constexpr std::string_view kTemporary = ".tmp";

}  // namespace mimosastage::internal

#endif  // MIMOSASTAGE_STORAGE_INTERNAL_FILE_H_
