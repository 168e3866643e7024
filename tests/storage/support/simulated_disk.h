#ifndef MIMOSASTAGE_TESTS_STORAGE_SUPPORT_SIMULATED_DISK_H_
#define MIMOSASTAGE_TESTS_STORAGE_SUPPORT_SIMULATED_DISK_H_

#include <cstdint>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "mimosastage/storage/internal/file_system.h"

namespace mimosastage::testing {

/// Thrown out of the file operation at which the process is killed.
struct ProcessKilled {};

/// One folder on a disk that loses unsynced data at a loss of power:
/// - A file holds what its last sync covered. Each later write and truncation
///   is present, missing or torn; at some losses all are missing.
/// - Each name that was created, renamed or removed since the last sync of the
///   folder is kept or lost independently.
///
/// A killed process loses nothing, but may stop before or after any operation
/// and in the middle of a write. A refused operation throws kInputOutput and
/// may have taken effect, in part or fully.
class SimulatedDisk : public internal::FileSystem {
 public:
  explicit SimulatedDisk(std::uint64_t seed) : random(seed) {}

  /// Kills the process at the operation after the next `operations`.
  void KillAfter(std::uint64_t operations);
  /// Refuses `count` operations after the next `operations`.
  void RefuseAfter(std::uint64_t operations, std::uint64_t count);
  void ClearFaults();
  /// True if an operation was refused or killed since ClearFaults.
  bool FaultOccurred() const { return this->fault_occurred; }

  /// Keeps what the model allows. No file may be open.
  void LosePower();
  /// Loses everything that isn't synced, except that the listed names keep
  /// their newest state.
  void LosePowerKeepingNames(const std::vector<std::string>& kept);

  /// The content that a running process reads.
  std::string Content(const std::string& name) const;
  bool HasFile(const std::string& name) const;
  /// Replaces a file's content, synced, as a damaged disk does.
  void Overwrite(const std::string& name, std::string content);

  void CreateFolder(const std::filesystem::path& folder) override;
  std::unique_ptr<internal::FolderLock> LockFolder(
      const std::filesystem::path& folder) override;
  std::vector<std::string> FileNames(
      const std::filesystem::path& folder) override;
  bool Exists(const std::filesystem::path& path) override;
  std::string ReadWholeFile(const std::filesystem::path& path) override;
  std::unique_ptr<internal::OpenFile> OpenForAppend(
      const std::filesystem::path& path) override;
  std::unique_ptr<internal::OpenFile> CreateEmpty(
      const std::filesystem::path& path) override;
  void Rename(const std::filesystem::path& from,
              const std::filesystem::path& to) override;
  void Remove(const std::filesystem::path& path) override;
  void SyncFolder(const std::filesystem::path& folder) override;

 private:
  class Handle;

  /// A write at `offset`, or a truncation to `offset` bytes.
  struct Change {
    std::uint64_t offset = 0;
    std::string bytes;
    bool truncation = false;
  };
  struct File {
    std::string synced;
    std::string current;
    /// Not yet synced.
    std::vector<Change> changes;
  };
  /// What a name refers to; null if it doesn't exist.
  struct Name {
    std::shared_ptr<File> synced;
    /// Later states, oldest first.
    std::vector<std::shared_ptr<File>> unsynced;

    const std::shared_ptr<File>& Current() const {
      return this->unsynced.empty() ? this->synced : this->unsynced.back();
    }
  };

  std::uint64_t Below(std::uint64_t bound) { return this->random() % bound; }
  /// Runs `operation`, or refuses it or kills the process before or after it.
  void Run(const std::function<void()>& operation);
  void Write(File& file, std::string_view bytes);
  void Append(File& file, std::string_view bytes);
  void Truncate(File& file, std::uint64_t size);
  std::shared_ptr<File> Find(const std::string& name) const;
  std::shared_ptr<File> FindOrCreate(const std::filesystem::path& path);
  void ApplyWithLosses(const std::vector<Change>& changes,
                       std::string& content);
  void ApplyTorn(const Change& change, std::string& content);

  std::mt19937_64 random;
  std::map<std::string, Name> names;
  std::uint64_t operations = 0;
  std::uint64_t kill_at = UINT64_MAX;
  std::uint64_t refuse_from = UINT64_MAX;
  std::uint64_t refuse_until = 0;
  bool fault_occurred = false;
};

}  // namespace mimosastage::testing

#endif  // MIMOSASTAGE_TESTS_STORAGE_SUPPORT_SIMULATED_DISK_H_
