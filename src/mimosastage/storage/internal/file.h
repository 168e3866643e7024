#ifndef MIMOSASTAGE_STORAGE_INTERNAL_FILE_H_
#define MIMOSASTAGE_STORAGE_INTERNAL_FILE_H_

#include <cstdint>
#include <filesystem>
#include <string>
#include <string_view>
#include <utility>

#include "mimosastage/storage/storage_error.h"

namespace mimosastage::internal {

/// The exception of this package; DataFolder converts it to an error code.
struct StorageFailure {
  StorageError error = StorageError::kInputOutput;
  /// The file, the offset, what was found and the remedy.
  std::string detail;
};

/// An open file or folder; closed by the destructor. Errors are thrown as
/// StorageFailure.
class File {
 public:
  File() = default;
  File(File&& other) noexcept;
  File& operator=(File&& other) noexcept;
  File(const File&) = delete;
  File& operator=(const File&) = delete;
  ~File();

  static File OpenFolder(const std::filesystem::path& path);
  /// Creates the file if it doesn't exist; writes append to it.
  static File OpenForAppend(const std::filesystem::path& path);
  /// Creates the file, or truncates it to zero bytes if it exists.
  static File CreateEmpty(const std::filesystem::path& path);

  bool IsOpen() const { return this->descriptor >= 0; }
  void Write(std::string_view bytes);
  void Sync();
  void Truncate(std::uint64_t size);
  /// Takes an exclusive lock without waiting. Throws kAlreadyOpen if another
  /// open file holds it.
  void Lock();

 private:
  File(int descriptor, std::filesystem::path path);
  [[noreturn]] void Fail(const char* action) const;

  int descriptor = -1;
  std::filesystem::path path;
};

std::string ReadWholeFile(const std::filesystem::path& path);

/// Atomically replaces the file `name` in `folder`; after a crash it has either
/// the old or the new content. Writes and syncs a temporary file, renames it
/// and syncs the folder.
void ReplaceFile(const std::filesystem::path& folder, const std::string& name,
                 std::string_view content);

/// Makes files that were created, renamed or removed in `folder` durable.
void SyncFolder(const std::filesystem::path& folder);

/// Suffix of temporary files, which are removed when a data folder is opened.
inline constexpr std::string_view kTemporarySuffix = ".tmp";

}  // namespace mimosastage::internal

#endif  // MIMOSASTAGE_STORAGE_INTERNAL_FILE_H_
