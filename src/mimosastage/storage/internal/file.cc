#include "mimosastage/storage/internal/file.h"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <cerrno>
#include <fstream>
#include <iterator>
#include <system_error>

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

}  // namespace

File::File(int descriptor, std::filesystem::path path)
    : descriptor(descriptor), path(std::move(path)) {}

File::File(File&& other) noexcept
    : descriptor(std::exchange(other.descriptor, -1)),
      path(std::move(other.path)) {}

File& File::operator=(File&& other) noexcept {
  std::swap(this->descriptor, other.descriptor);
  std::swap(this->path, other.path);
  return *this;
}

File::~File() {
  if (this->descriptor >= 0) {
    close(this->descriptor);
  }
}

File File::OpenFolder(const std::filesystem::path& path) {
  return {OpenDescriptor(path, O_RDONLY | O_DIRECTORY), path};
}

File File::OpenForAppend(const std::filesystem::path& path) {
  return {OpenDescriptor(path, O_WRONLY | O_CREAT | O_APPEND), path};
}

File File::CreateEmpty(const std::filesystem::path& path) {
  return {OpenDescriptor(path, O_WRONLY | O_CREAT | O_TRUNC), path};
}

void File::Write(std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t written = write(this->descriptor, bytes.data(), bytes.size());
    if (written < 0 && errno != EINTR) {
      this->Fail("write");
    }
    bytes.remove_prefix(written < 0 ? 0 : static_cast<std::size_t>(written));
  }
}

void File::Sync() {
  if (fsync(this->descriptor) != 0) {
    this->Fail("fsync");
  }
}

void File::Truncate(std::uint64_t size) {
  if (ftruncate(this->descriptor, static_cast<off_t>(size)) != 0) {
    this->Fail("truncate");
  }
}

void File::Lock() {
  if (flock(this->descriptor, LOCK_EX | LOCK_NB) == 0) {
    return;
  }
  if (errno != EWOULDBLOCK) {
    this->Fail("lock");
  }
  throw StorageFailure{
      StorageError::kAlreadyOpen,
      this->path.string() + ": another process uses the folder; stop it first"};
}

void File::Fail(const char* action) const { ThrowErrno(action, this->path); }

std::string ReadWholeFile(const std::filesystem::path& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    ThrowErrno("open", path);
  }
  std::string content{std::istreambuf_iterator<char>(file), {}};
  if (file.bad()) {
    ThrowErrno("read", path);
  }
  return content;
}

void ReplaceFile(const std::filesystem::path& folder, const std::string& name,
                 std::string_view content) {
  const std::filesystem::path temporary =
      folder / (name + std::string(kTemporarySuffix));
  File file = File::CreateEmpty(temporary);
  file.Write(content);
  file.Sync();
  std::error_code error;
  std::filesystem::rename(temporary, folder / name, error);
  if (error) {
    errno = error.value();
    ThrowErrno("rename", temporary);
  }
  SyncFolder(folder);
}

void SyncFolder(const std::filesystem::path& folder) {
  File::OpenFolder(folder).Sync();
}

}  // namespace mimosastage::internal
