#ifndef MIMOSASTAGE_STORAGE_INTERNAL_FILE_SYSTEM_H_
#define MIMOSASTAGE_STORAGE_INTERNAL_FILE_SYSTEM_H_

#include <cstdint>
#include <filesystem>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace mimosastage::internal {

/// A file that is open for appending; closed by the destructor.
class OpenFile {
 public:
  virtual ~OpenFile() = default;

  /// Appends `bytes`. After an error any part of them may have been written.
  virtual void Write(std::string_view bytes) = 0;
  virtual void Sync() = 0;
  virtual void Truncate(std::uint64_t size) = 0;
};

/// Holds the lock of a folder until it is destroyed.
class FolderLock {
 public:
  virtual ~FolderLock() = default;
};

/// The file operations that a data folder uses. Tests replace it by a simulated
/// disk. Errors are thrown as StorageFailure or filesystem_error.
class FileSystem {
 public:
  virtual ~FileSystem() = default;

  /// Creates the folder and its parents if they don't exist.
  virtual void CreateFolder(const std::filesystem::path& folder) = 0;
  /// Takes an exclusive lock without waiting. Throws kAlreadyOpen if it is
  /// held.
  virtual std::unique_ptr<FolderLock> LockFolder(
      const std::filesystem::path& folder) = 0;
  virtual std::vector<std::string> FileNames(
      const std::filesystem::path& folder) = 0;
  virtual bool Exists(const std::filesystem::path& path) = 0;
  virtual std::string ReadWholeFile(const std::filesystem::path& path) = 0;
  /// Creates the file if it doesn't exist.
  virtual std::unique_ptr<OpenFile> OpenForAppend(
      const std::filesystem::path& path) = 0;
  /// Creates the file, or truncates it to zero bytes if it exists.
  virtual std::unique_ptr<OpenFile> CreateEmpty(
      const std::filesystem::path& path) = 0;
  virtual void Rename(const std::filesystem::path& from,
                      const std::filesystem::path& to) = 0;
  virtual void Remove(const std::filesystem::path& path) = 0;
  /// Makes files that were created, renamed or removed in `folder` durable.
  virtual void SyncFolder(const std::filesystem::path& folder) = 0;
};

/// The operating system's files.
FileSystem& RealFileSystem();

}  // namespace mimosastage::internal

#endif  // MIMOSASTAGE_STORAGE_INTERNAL_FILE_SYSTEM_H_
