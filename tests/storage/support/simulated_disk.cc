#include "tests/storage/support/simulated_disk.h"

#include <algorithm>
#include <utility>

#include "mimosastage/storage/internal/storage_failure.h"

namespace mimosastage::testing {
namespace {

/// Bytes that a torn write keeps or loses together.
constexpr std::size_t kPieceBytes = 16;

[[noreturn]] void Refuse(const std::string& what) {
  throw internal::StorageFailure{StorageError::kInputOutput,
                                 what + ": refused by the simulated disk"};
}

void WriteAt(std::string& content, std::uint64_t offset,
             std::string_view bytes) {
  content.resize(std::max<std::size_t>(content.size(), offset + bytes.size()));
  content.replace(offset, bytes.size(), bytes);
}

}  // namespace

class SimulatedDisk::Handle : public internal::OpenFile {
 public:
  Handle(SimulatedDisk& disk, std::shared_ptr<File> file)
      : disk(disk), file(std::move(file)) {}

  void Write(std::string_view bytes) override {
    this->disk.Write(*this->file, bytes);
  }
  void Sync() override {
    this->disk.Run([this] {
      this->file->synced = this->file->current;
      this->file->changes.clear();
    });
  }
  void Truncate(std::uint64_t size) override {
    this->disk.Run([this, size] { this->disk.Truncate(*this->file, size); });
  }

 private:
  SimulatedDisk& disk;
  std::shared_ptr<File> file;
};

void SimulatedDisk::KillAfter(std::uint64_t operations) {
  this->kill_at = this->operations + operations;
}

void SimulatedDisk::RefuseAfter(std::uint64_t operations, std::uint64_t count) {
  this->refuse_from = this->operations + operations;
  this->refuse_until = this->refuse_from + count;
}

void SimulatedDisk::ClearFaults() {
  this->kill_at = UINT64_MAX;
  this->refuse_from = UINT64_MAX;
  this->refuse_until = 0;
  this->fault_occurred = false;
}

void SimulatedDisk::Run(const std::function<void()>& operation) {
  const std::uint64_t number = this->operations++;
  const bool killed = number == this->kill_at;
  const bool refused =
      number >= this->refuse_from && number < this->refuse_until;
  if (!killed && !refused) {
    operation();
    return;
  }
  this->fault_occurred = true;
  if (this->Below(2) == 0) {
    operation();
  }
  if (killed) {
    throw ProcessKilled{};
  }
  Refuse("operation " + std::to_string(number));
}

void SimulatedDisk::Write(File& file, std::string_view bytes) {
  const std::uint64_t size = file.current.size();
  try {
    this->Run([&] { this->Append(file, bytes); });
  } catch (...) {
    if (file.current.size() == size) {
      this->Append(file, bytes.substr(0, this->Below(bytes.size() + 1)));
    }
    throw;
  }
}

void SimulatedDisk::Append(File& file, std::string_view bytes) {
  if (bytes.empty()) {
    return;
  }
  file.changes.push_back(Change{file.current.size(), std::string(bytes)});
  file.current += bytes;
}

void SimulatedDisk::Truncate(File& file, std::uint64_t size) {
  file.changes.push_back(Change{size, {}, true});
  file.current.resize(size);
}

void SimulatedDisk::LosePower() {
  const bool all_changes_lost = this->Below(4) == 0;
  std::map<File*, std::string> survivors;
  for (auto& [text, name] : this->names) {
    const std::uint64_t kept = this->Below(name.unsynced.size() + 1);
    if (kept > 0) {
      name.synced = name.unsynced[kept - 1];
    }
    name.unsynced.clear();
    if (name.synced == nullptr) {
      continue;
    }
    const auto [survivor, is_new] = survivors.try_emplace(name.synced.get());
    if (is_new) {
      survivor->second = name.synced->synced;
      if (!all_changes_lost) {
        this->ApplyWithLosses(name.synced->changes, survivor->second);
      }
    }
  }
  for (auto& [text, name] : this->names) {
    if (name.synced != nullptr) {
      // A file whose old and new names were both kept becomes two files.
      const std::string& content = survivors.at(name.synced.get());
      name.synced = std::make_shared<File>(File{content, content, {}});
    }
  }
}

void SimulatedDisk::LosePowerKeepingNames(
    const std::vector<std::string>& kept) {
  for (auto& [text, name] : this->names) {
    if (std::find(kept.begin(), kept.end(), text) != kept.end()) {
      name.synced = name.Current();
    }
    name.unsynced.clear();
    if (name.synced != nullptr) {
      name.synced->current = name.synced->synced;
      name.synced->changes.clear();
    }
  }
}

void SimulatedDisk::ApplyWithLosses(const std::vector<Change>& changes,
                                    std::string& content) {
  for (const Change& change : changes) {
    switch (this->Below(3)) {
      case 0:
        break;
      case 1:
        if (!change.truncation) {
          this->ApplyTorn(change, content);
          break;
        }
        [[fallthrough]];
      default:
        if (change.truncation) {
          content.resize(change.offset);
        } else {
          WriteAt(content, change.offset, change.bytes);
        }
    }
  }
}

void SimulatedDisk::ApplyTorn(const Change& change, std::string& content) {
  const std::string_view bytes = change.bytes;
  if (this->Below(2) == 0) {
    WriteAt(content, change.offset, bytes.substr(0, this->Below(bytes.size())));
    return;
  }
  for (std::size_t at = 0; at < bytes.size(); at += kPieceBytes) {
    if (this->Below(2) == 0) {
      WriteAt(content, change.offset + at, bytes.substr(at, kPieceBytes));
    }
  }
}

std::shared_ptr<SimulatedDisk::File> SimulatedDisk::Find(
    const std::string& name) const {
  const auto found = this->names.find(name);
  return found == this->names.end() ? nullptr : found->second.Current();
}

std::string SimulatedDisk::Content(const std::string& name) const {
  const auto file = this->Find(name);
  return file == nullptr ? std::string() : file->current;
}

bool SimulatedDisk::HasFile(const std::string& name) const {
  return this->Find(name) != nullptr;
}

void SimulatedDisk::Overwrite(const std::string& name, std::string content) {
  auto file = std::make_shared<File>();
  file->synced = content;
  file->current = std::move(content);
  this->names[name] = Name{std::move(file), {}};
}

void SimulatedDisk::CreateFolder(const std::filesystem::path& /*folder*/) {
  this->Run([] {});
}

std::unique_ptr<internal::FolderLock> SimulatedDisk::LockFolder(
    const std::filesystem::path& /*folder*/) {
  // Locks have no effect on this disk.
  this->Run([] {});
  return std::make_unique<internal::FolderLock>();
}

std::vector<std::string> SimulatedDisk::FileNames(
    const std::filesystem::path& /*folder*/) {
  std::vector<std::string> found;
  this->Run([&] {
    for (const auto& [text, name] : this->names) {
      if (name.Current() != nullptr) {
        found.push_back(text);
      }
    }
  });
  return found;
}

bool SimulatedDisk::Exists(const std::filesystem::path& path) {
  bool exists = false;
  this->Run([&] { exists = this->HasFile(path.filename().string()); });
  return exists;
}

std::string SimulatedDisk::ReadWholeFile(const std::filesystem::path& path) {
  std::string content;
  this->Run([&] {
    const auto file = this->Find(path.filename().string());
    if (file == nullptr) {
      Refuse(path.string() + " doesn't exist");
    }
    content = file->current;
  });
  return content;
}

std::shared_ptr<SimulatedDisk::File> SimulatedDisk::FindOrCreate(
    const std::filesystem::path& path) {
  Name& name = this->names[path.filename().string()];
  if (name.Current() == nullptr) {
    name.unsynced.push_back(std::make_shared<File>());
  }
  return name.Current();
}

std::unique_ptr<internal::OpenFile> SimulatedDisk::OpenForAppend(
    const std::filesystem::path& path) {
  std::shared_ptr<File> file;
  this->Run([&] { file = this->FindOrCreate(path); });
  return std::make_unique<Handle>(*this, std::move(file));
}

std::unique_ptr<internal::OpenFile> SimulatedDisk::CreateEmpty(
    const std::filesystem::path& path) {
  std::shared_ptr<File> file;
  this->Run([&] {
    file = this->FindOrCreate(path);
    if (!file->current.empty()) {
      this->Truncate(*file, 0);
    }
  });
  return std::make_unique<Handle>(*this, std::move(file));
}

void SimulatedDisk::Rename(const std::filesystem::path& from,
                           const std::filesystem::path& to) {
  this->Run([&] {
    const auto file = this->Find(from.filename().string());
    if (file == nullptr) {
      Refuse(from.string() + " doesn't exist");
    }
    this->names[to.filename().string()].unsynced.push_back(file);
    this->names[from.filename().string()].unsynced.push_back(nullptr);
  });
}

void SimulatedDisk::Remove(const std::filesystem::path& path) {
  this->Run([&] {
    const std::string name = path.filename().string();
    if (this->HasFile(name)) {
      this->names[name].unsynced.push_back(nullptr);
    }
  });
}

void SimulatedDisk::SyncFolder(const std::filesystem::path& /*folder*/) {
  this->Run([&] {
    for (auto& [text, name] : this->names) {
      name.synced = name.Current();
      name.unsynced.clear();
    }
  });
}

}  // namespace mimosastage::testing
