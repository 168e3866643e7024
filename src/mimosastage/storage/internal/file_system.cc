#include "mimosastage/storage/internal/file_system.h"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <cerrno>
#include <system_error>
#include <utility>

#include "mimosastage/storage/internal/storage_failure.h"

namespace mimosastage::internal {
namespace {

[[noreturn]] void ThrowErrno(const char* action,
                             const std::filesystem::path& path) {
  const std::string reason = std::generic_category().message(errno);
  throw StorageFailure{
      StorageError::kInputOutput,
      path.string() + ": " + action + " failed: " + reason +
          "; check the disk, its free space and the folder's permissions"};
}

int OpenDescriptor(const std::filesystem::path& path, int flags) {
  constexpr int kOwnerOnly = 0600;
  const int descriptor = open(path.c_str(), flags | O_CLOEXEC, kOwnerOnly);
  if (descriptor < 0) {
    ThrowErrno("open", path);
  }
  return descriptor;
}

class RealFile : public OpenFile, public FolderLock {
 public:
  RealFile(std::filesystem::path path, int flags)
      : descriptor(OpenDescriptor(path, flags)), path(std::move(path)) {}
  ~RealFile() override { close(this->descriptor); }
  RealFile(const RealFile&) = delete;
  RealFile& operator=(const RealFile&) = delete;

  void Write(std::string_view bytes) override {
    while (!bytes.empty()) {
      const ssize_t written =
          write(this->descriptor, bytes.data(), bytes.size());
      if (written < 0 && errno != EINTR) {
        ThrowErrno("write", this->path);
      }
      bytes.remove_prefix(written < 0 ? 0 : static_cast<std::size_t>(written));
    }
  }

  void Sync() override {
    if (fsync(this->descriptor) != 0) {
      ThrowErrno("fsync", this->path);
    }
  }

  void Truncate(std::uint64_t size) override {
    if (ftruncate(this->descriptor, static_cast<off_t>(size)) != 0) {
      ThrowErrno("truncate", this->path);
    }
  }

  std::string ReadAll() {
    constexpr std::size_t kChunkBytes = 64U << 10U;
    std::string content;
    std::string chunk(kChunkBytes, '\0');
    while (true) {
      const ssize_t got = read(this->descriptor, chunk.data(), chunk.size());
      if (got == 0) {
        return content;
      }
      if (got > 0) {
        content.append(chunk, 0, static_cast<std::size_t>(got));
      } else if (errno != EINTR) {
        ThrowErrno("read", this->path);
      }
    }
  }

  void Lock() {
    if (flock(this->descriptor, LOCK_EX | LOCK_NB) == 0) {
      return;
    }
    if (errno != EWOULDBLOCK) {
      ThrowErrno("lock", this->path);
    }
    throw StorageFailure{
        StorageError::kAlreadyOpen,
        this->path.string() +
            ": another process uses the folder; stop it first"};
  }

 private:
  int descriptor;
  std::filesystem::path path;
};

class RealFiles : public FileSystem {
 public:
  void CreateFolder(const std::filesystem::path& folder) override {
    std::filesystem::create_directories(folder);
  }

  std::unique_ptr<FolderLock> LockFolder(
      const std::filesystem::path& folder) override {
    auto lock = std::make_unique<RealFile>(folder, O_RDONLY | O_DIRECTORY);
    lock->Lock();
    return lock;
  }

  std::vector<std::string> FileNames(
      const std::filesystem::path& folder) override {
    std::vector<std::string> names;
    for (const auto& item : std::filesystem::directory_iterator(folder)) {
      names.push_back(item.path().filename().string());
    }
    return names;
  }

  bool Exists(const std::filesystem::path& path) override {
    return std::filesystem::exists(path);
  }

  std::string ReadWholeFile(const std::filesystem::path& path) override {
    return RealFile(path, O_RDONLY).ReadAll();
  }

  std::unique_ptr<OpenFile> OpenForAppend(
      const std::filesystem::path& path) override {
    return std::make_unique<RealFile>(path, O_WRONLY | O_CREAT | O_APPEND);
  }

  std::unique_ptr<OpenFile> CreateEmpty(
      const std::filesystem::path& path) override {
    return std::make_unique<RealFile>(path, O_WRONLY | O_CREAT | O_TRUNC);
  }

  void Rename(const std::filesystem::path& from,
              const std::filesystem::path& to) override {
    std::error_code error;
    std::filesystem::rename(from, to, error);
    if (error) {
      errno = error.value();
      ThrowErrno("rename", from);
    }
  }

  void Remove(const std::filesystem::path& path) override {
    std::filesystem::remove(path);
  }

  void SyncFolder(const std::filesystem::path& folder) override {
    RealFile(folder, O_RDONLY | O_DIRECTORY).Sync();
  }
};

}  // namespace

FileSystem& RealFileSystem() {
  static RealFiles files;
  return files;
}

}  // namespace mimosastage::internal
