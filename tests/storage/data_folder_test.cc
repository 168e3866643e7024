#include "mimosastage/storage/data_folder.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "tests/storage/support/random_writes.h"

namespace mimosastage {
namespace {

using testing::Model;
using testing::RandomWrites;

namespace fs = std::filesystem;

constexpr DaemonId kVoter{2};
const std::string kCluster = "test-cluster";

class DataFolderTest : public ::testing::Test {
 protected:
  void SetUp() override {
    std::string name = (fs::temp_directory_path() / "data_folder_XXXXXX");
    ASSERT_NE(mkdtemp(name.data()), nullptr);
    this->root = name;
    this->folder = this->root / "data";
  }

  void TearDown() override {
    this->open_folder.reset();
    fs::remove_all(this->root);
  }

  Result<DurableImage> Open(const std::string& cluster = kCluster) {
    this->open_folder.reset();
    this->open_folder =
        std::make_unique<DataFolder>(this->folder, cluster, kVoter);
    return this->open_folder->Open();
  }

  void Store(const DurableWrite& write) {
    ASSERT_TRUE(this->open_folder->Write(write).has_value());
    ASSERT_TRUE(this->open_folder->Sync().has_value());
  }

  /// Entries `first` to `last` of view 1, with commands of 0 to 49 bytes.
  static DurableWrite Entries(LogIndex first, LogIndex last) {
    DurableWrite write;
    for (LogIndex index = first; index <= last; ++index) {
      write.entries.push_back({index, 1, std::string(index % 50, 'a')});
    }
    return write;
  }

  std::vector<fs::path> Segments() const {
    std::vector<fs::path> paths;
    for (const auto& item : fs::directory_iterator(this->folder)) {
      if (item.path().filename().string().starts_with("log-")) {
        paths.push_back(item.path());
      }
    }
    std::sort(paths.begin(), paths.end());
    return paths;
  }

  static std::string Read(const fs::path& path) {
    std::ifstream file(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(file), {}};
  }

  static void Overwrite(const fs::path& path, const std::string& bytes) {
    std::ofstream(path, std::ios::binary | std::ios::trunc) << bytes;
  }

  /// Formats the folder and appends `syncs` records of one entry each.
  void Fill(LogIndex syncs) {
    ASSERT_TRUE(DataFolder::Format(this->folder, kCluster, kVoter).has_value());
    ASSERT_TRUE(this->Open().has_value());
    for (LogIndex index = 1; index <= syncs; ++index) {
      this->Store(Entries(index, index));
    }
    this->open_folder.reset();
  }

  fs::path root;
  fs::path folder;
  std::unique_ptr<DataFolder> open_folder;
};

// Guards against a voter that trusts an empty log after its disk was replaced,
// or that starts with another voter's log.
TEST_F(DataFolderTest, Open_EmptyFormattedOrForeign_TellsThemApart) {
  const auto lost = this->Open();
  ASSERT_TRUE(lost.has_value());
  EXPECT_FALSE(lost->intact);
  EXPECT_NE(this->open_folder->OpenReport(), "");
  EXPECT_FALSE(this->Open().value().intact)
      << "`intact` must stay false after a restart";
  EXPECT_EQ(DataFolder::Format(this->folder, kCluster, kVoter).error(),
            StorageError::kNotEmpty);
  EXPECT_EQ(this->Open("other").error(), StorageError::kForeignFolder);

  this->open_folder.reset();
  fs::remove_all(this->folder);
  ASSERT_TRUE(DataFolder::Format(this->folder, kCluster, kVoter).has_value());
  const auto first = this->Open();
  ASSERT_TRUE(first.has_value());
  EXPECT_TRUE(first->intact);
  EXPECT_EQ(IncarnationCounter(first->incarnation), 1);
  EXPECT_EQ(IncarnationCounter(this->Open().value().incarnation), 2);
  DataFolder second(this->folder, kCluster, kVoter);
  EXPECT_EQ(second.Open().error(), StorageError::kAlreadyOpen);
}

// Guards against a torn record that keeps the voter from starting, or whose
// truncation removes a synced record.
TEST_F(DataFolderTest, Open_LastRecordTornAtAnyByte_CutsOnlyThatRecord) {
  this->Fill(3);
  ASSERT_TRUE(this->Open().has_value());
  const fs::path segment = this->Segments().back();
  const std::size_t synced = Read(segment).size();
  this->Store(Entries(4, 6));
  this->open_folder.reset();
  const std::string whole = Read(segment);
  const std::string identity = Read(this->folder / "identity");
  for (std::size_t size = synced; size < whole.size(); ++size) {
    Overwrite(segment, whole.substr(0, size));
    Overwrite(this->folder / "identity", identity);
    const auto image = this->Open();
    ASSERT_TRUE(image.has_value()) << this->open_folder->ErrorDetail();
    EXPECT_EQ(image->entries, Entries(1, 3).entries) << "cut at " << size;
    EXPECT_EQ(this->open_folder->OpenReport().empty(), size == synced);
    this->Store(Entries(4, 4));
    EXPECT_EQ(this->Open().value().entries, Entries(1, 4).entries);
  }
}

// Guards against corruption that is not detected, or that is mistaken for a
// torn record, which would drop acknowledged entries.
TEST_F(DataFolderTest, Open_ByteFlippedBeforeLastRecord_NamesFileAndOffset) {
  this->Fill(5);
  const fs::path segment = this->Segments().back();
  std::string bytes = Read(segment);
  // Frame header, header of the entry record, command of entry 5.
  constexpr std::size_t kLastRecordBytes = 24 + 21 + 5;
  ASSERT_GT(bytes.size(), kLastRecordBytes);
  for (std::size_t at = 0; at < bytes.size() - kLastRecordBytes; ++at) {
    bytes[at] ^= 0x10;
    Overwrite(segment, bytes);
    EXPECT_EQ(this->Open().error(), StorageError::kDamaged) << "byte " << at;
    const std::string& detail = this->open_folder->ErrorDetail();
    EXPECT_NE(detail.find(segment.string()), std::string::npos) << detail;
    EXPECT_NE(detail.find("offset "), std::string::npos) << detail;
    EXPECT_NE(detail.find("recovers from the other voters"), std::string::npos);
    bytes[at] ^= 0x10;
  }
  Overwrite(segment, bytes);
  EXPECT_EQ(this->Open().value().entries, Entries(1, 5).entries);
}

// Guards against a read error that leaves Open as an exception and ends the
// process. Reading a folder fails as reading from a broken disk does.
TEST_F(DataFolderTest, Open_FileCantBeRead_GivesInputOutputError) {
  this->Fill(2);
  for (const char* name : {"identity", "log-00000000000000000002",
                           "snapshot-00000000000000000009"}) {
    const fs::path path = this->folder / name;
    const fs::path kept = this->root / "kept";
    if (fs::exists(path)) {
      fs::rename(path, kept);
    }
    fs::create_directory(path);
    EXPECT_EQ(this->Open().error(), StorageError::kInputOutput) << name;
    EXPECT_NE(this->open_folder->ErrorDetail().find(name), std::string::npos)
        << this->open_folder->ErrorDetail();
    fs::remove(path);
    if (fs::exists(kept)) {
      fs::rename(kept, path);
    }
  }
  EXPECT_TRUE(this->Open().has_value());
}

// Guards against a damaged snapshot or a missing file that is accepted as an
// older state.
TEST_F(DataFolderTest, Open_SnapshotDamagedOrFileMissing_Refuses) {
  this->Fill(5);
  ASSERT_TRUE(this->Open().has_value());
  DurableWrite write = Entries(6, 7);
  write.snapshot = "state";
  write.snapshot_index = 5;
  write.snapshot_view = 1;
  this->Store(write);
  this->open_folder.reset();
  std::vector<fs::path> paths;
  for (const auto& item : fs::directory_iterator(this->folder)) {
    paths.push_back(item.path());
  }
  for (const fs::path& path : paths) {
    const std::string bytes = Read(path);
    fs::remove(path);
    const auto image = this->Open();
    EXPECT_TRUE(image.has_error()) << "without " << path;
    Overwrite(path, bytes);
    if (path.filename().string().starts_with("snapshot-")) {
      std::string damaged = bytes;
      damaged.back() ^= 1;
      Overwrite(path, damaged);
      EXPECT_EQ(this->Open().error(), StorageError::kDamaged);
      Overwrite(path, bytes);
    }
  }
  EXPECT_EQ(this->Open().value().entries, Entries(6, 7).entries);
}

// Guards against corruption of any file that crashes the voter, gives an error
// outside of StorageError, or yields entries that were never stored.
TEST_F(DataFolderTest, Open_AnyFileMutated_StoredEntriesOrTypedError) {
  this->Fill(5);
  ASSERT_TRUE(this->Open().has_value());
  DurableWrite write = Entries(6, 12);
  write.snapshot = std::string(500, 's');
  write.snapshot_index = 5;
  write.snapshot_view = 1;
  this->Store(write);
  this->open_folder.reset();
  const fs::path intact = this->root / "intact";
  fs::rename(this->folder, intact);
  std::vector<fs::path> names;
  for (const auto& item : fs::directory_iterator(intact)) {
    names.push_back(item.path().filename());
  }
  std::sort(names.begin(), names.end());
  const std::vector<LogEntry> stored = Entries(6, 12).entries;
  for (std::uint64_t seed = 1; seed <= 1000; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    std::mt19937_64 random(seed);
    this->open_folder.reset();
    fs::remove_all(this->folder);
    fs::copy(intact, this->folder);
    const fs::path path = this->folder / names[random() % names.size()];
    std::string bytes = Read(path);
    for (std::uint64_t i = 1 + random() % 4; i > 0 && !bytes.empty(); --i) {
      const std::size_t at = random() % bytes.size();
      switch (random() % 4) {
        case 0:
          bytes[at] = static_cast<char>(random());
          break;
        case 1:
          bytes.erase(at, 1 + random() % 40);
          break;
        case 2:
          bytes.insert(at, bytes.substr(random() % bytes.size(), 64));
          break;
        default:
          // Gives very large sizes and indexes.
          bytes.replace(at, 8, 8, '\xff');
      }
    }
    Overwrite(path, bytes);
    const auto image = this->Open();
    if (image.has_error()) {
      EXPECT_EQ(image.error().category(), StorageCategory()) << path;
      EXPECT_NE(this->open_folder->ErrorDetail(), "") << path;
      continue;
    }
    ASSERT_LE(image->entries.size(), stored.size()) << path;
    EXPECT_TRUE(std::equal(image->entries.begin(), image->entries.end(),
                           stored.begin()))
        << path;
  }
}

// Guards against state that is lost or reappears after a restart: entries, the
// view, truncations, snapshots and the segments that a snapshot made obsolete.
TEST_F(DataFolderTest, Open_AfterRandomWrites_EqualsModel) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    fs::remove_all(this->folder);
    ASSERT_TRUE(DataFolder::Format(this->folder, kCluster, kVoter).has_value());
    ASSERT_TRUE(this->Open().has_value());
    Model model;
    model.image.intact = true;
    RandomWrites writes(seed);
    for (int i = 0; i < 60; ++i) {
      const DurableWrite write = writes.Next(model);
      this->Store(write);
      model.Apply(write);
      if (writes.Below(10) > 0) {
        continue;
      }
      const auto image = this->Open();
      ASSERT_TRUE(image.has_value()) << this->open_folder->ErrorDetail();
      EXPECT_EQ(image->entries, model.image.entries);
      EXPECT_EQ(image->snapshot, model.image.snapshot);
      EXPECT_EQ(image->snapshot_index, model.image.snapshot_index);
      EXPECT_EQ(image->snapshot_view, model.image.snapshot_view);
      EXPECT_EQ(image->view, model.image.view);
      EXPECT_EQ(image->last_normal_view, model.image.last_normal_view);
      EXPECT_EQ(image->intact, model.image.intact);
    }
  }
}

// Guards against a folder that grows without bound, or a restart that loses
// some of thousands of entries.
TEST_F(DataFolderTest, Open_AfterManyEntries_KeepsAllAndRemovesReplaced) {
  constexpr LogIndex kCount = 5000;
  constexpr LogIndex kPerSnapshot = 1024;
  for (const bool snapshots : {false, true}) {
    fs::remove_all(this->folder);
    this->Fill(0);
    ASSERT_TRUE(this->Open().has_value());
    LogIndex snapshot = 0;
    for (LogIndex index = 1; index <= kCount; index += 50) {
      DurableWrite write = Entries(index, index + 49);
      if (snapshots && index - snapshot > kPerSnapshot) {
        // As in a replica, the snapshot leaves out the newest entries, which
        // aren't committed yet.
        snapshot = index - 10;
        write.snapshot = "state " + std::to_string(snapshot);
        write.snapshot_index = snapshot;
        write.snapshot_view = 1;
      }
      this->Store(write);
    }
    const auto image = this->Open();
    ASSERT_TRUE(image.has_value()) << this->open_folder->ErrorDetail();
    EXPECT_EQ(image->entries, Entries(snapshot + 1, kCount).entries);
    EXPECT_LE(this->Segments().size(), 2);
  }
}

}  // namespace
}  // namespace mimosastage
