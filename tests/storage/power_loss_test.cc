#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <memory>
#include <string>
#include <vector>

#include "mimosastage/storage/data_folder.h"
#include "tests/storage/support/random_writes.h"
#include "tests/storage/support/simulated_disk.h"

namespace mimosastage::testing {
namespace {

constexpr DaemonId kVoter{2};
const std::string kCluster = "test-cluster";
const std::string kFolder = "/data";

/// Runs one seeded schedule of writes, syncs, killed processes, losses of power
/// and refused operations, and compares each opened image with a model.
class Schedule {
 public:
  explicit Schedule(std::uint64_t seed) : disk(seed), writes(seed + 1) {}

  void Run() {
    ASSERT_TRUE(
        DataFolder::Format(kFolder, kCluster, kVoter, this->disk).has_value());
    Model formatted{kVoter, {}};
    formatted.image.intact = true;
    this->candidates = {formatted};
    constexpr int kProcesses = 30;
    for (int i = 0; i < kProcesses && !::testing::Test::HasFailure(); ++i) {
      SCOPED_TRACE("process " + std::to_string(i));
      this->disk.ClearFaults();
      this->ChooseFaults();
      try {
        this->RunProcess();
      } catch (const ProcessKilled&) {
      }
      this->folder.reset();
      if (this->writes.Below(2) == 0) {
        this->disk.LosePower();
      }
    }
    if (!::testing::Test::HasFailure()) {
      this->disk.ClearFaults();
      EXPECT_TRUE(this->Open());
    }
  }

 private:
  void ChooseFaults() {
    constexpr std::uint64_t kOperations = 60;
    switch (this->writes.Below(4)) {
      case 0:
        break;
      case 1:
        this->disk.RefuseAfter(this->writes.Below(kOperations),
                               1 + this->writes.Below(6));
        break;
      default:
        this->disk.KillAfter(this->writes.Below(kOperations));
    }
  }

  /// Opens the folder, again while the disk refuses operations, and writes.
  void RunProcess() {
    constexpr int kAttempts = 8;
    for (int attempt = 0; attempt < kAttempts; ++attempt) {
      if (!this->Open() || !this->WriteSome()) {
        if (::testing::Test::HasFailure()) {
          return;
        }
        continue;
      }
      return;
    }
  }

  /// Returns false if the disk refused an operation.
  bool Open() {
    this->folder.reset();
    this->folder =
        std::make_unique<DataFolder>(kFolder, kCluster, kVoter, this->disk);
    const auto image = this->folder->Open();
    if (image.has_error()) {
      EXPECT_EQ(image.error(), StorageError::kInputOutput)
          << this->folder->ErrorDetail();
      EXPECT_TRUE(this->disk.FaultOccurred()) << this->folder->ErrorDetail();
      return false;
    }
    this->CheckImage(*image);
    this->candidates = {Model{kVoter, *image}};
    this->last_incarnation = image->incarnation;
    return true;
  }

  void CheckImage(const DurableImage& image) {
    EXPECT_TRUE(std::any_of(
        this->candidates.begin(), this->candidates.end(),
        [&](const Model& model) { return SameContent(model.image, image); }))
        << "index " << image.snapshot_index << " to "
        << image.snapshot_index + image.entries.size() << ", view "
        << image.view << "; expected one of " << this->CandidatesText();
    EXPECT_GT(IncarnationCounter(image.incarnation),
              IncarnationCounter(this->last_incarnation));
    ASSERT_FALSE(image.starts.empty());
    EXPECT_EQ(image.starts.back(), image.incarnation);
  }

  static bool SameContent(const DurableImage& left, const DurableImage& right) {
    const bool same_starts =
        left.starts.empty() || left.starts.front() == right.starts.front();
    return left.entries == right.entries && left.snapshot == right.snapshot &&
           left.snapshot_index == right.snapshot_index &&
           left.snapshot_view == right.snapshot_view &&
           left.view == right.view &&
           left.last_normal_view == right.last_normal_view &&
           left.intact == right.intact &&
           left.incarnations == right.incarnations && same_starts;
  }

  std::string CandidatesText() const {
    std::string text;
    for (const Model& model : this->candidates) {
      text += std::to_string(model.image.snapshot_index) + " to " +
              std::to_string(model.LastIndex()) + ", view " +
              std::to_string(model.image.view) + "; ";
    }
    return text;
  }

  /// Returns false if the disk refused an operation.
  bool WriteSome() {
    for (std::uint64_t i = this->writes.Below(12); i > 0; --i) {
      DurableWrite write = this->writes.Next(this->candidates.back());
      this->AddIncarnations(write);
      if (!this->WriteOne(write)) {
        return false;
      }
      // The storage thread takes several writes in a batch.
      if (this->writes.Below(4) == 0) {
        continue;
      }
      if (this->folder->Sync().has_error()) {
        return false;
      }
      this->candidates.erase(this->candidates.begin(),
                             this->candidates.end() - 1);
    }
    return true;
  }

  void AddIncarnations(DurableWrite& write) {
    constexpr DaemonId kOther{3};
    if (this->writes.Below(8) == 0) {
      write.incarnations.emplace_back(kVoter, this->last_incarnation);
    }
    if (this->writes.Below(8) == 0) {
      write.incarnations.emplace_back(kOther,
                                      MakeIncarnation(++this->other_starts, 0));
    }
  }

  bool WriteOne(const DurableWrite& write) {
    Model with_snapshot = this->candidates.back();
    with_snapshot.ApplySnapshot(write);
    Model complete = this->candidates.back();
    complete.Apply(write);
    this->candidates.push_back(std::move(with_snapshot));
    this->candidates.push_back(std::move(complete));
    if (this->folder->Write(write).has_error()) {
      return false;
    }
    if (write.snapshot.has_value()) {
      this->candidates.erase(this->candidates.begin(),
                             this->candidates.end() - 2);
    }
    return true;
  }

  SimulatedDisk disk;
  RandomWrites writes;
  std::unique_ptr<DataFolder> folder;
  /// The contents that the folder may have. The last one has all writes.
  std::vector<Model> candidates;
  Incarnation last_incarnation = 0;
  std::uint64_t other_starts = 0;
};

class PowerLossTest : public ::testing::Test {
 protected:
  void SetUp() override { this->UseNewDisk(1); }

  void UseNewDisk(std::uint64_t seed) {
    this->folder.reset();
    this->disk = std::make_unique<SimulatedDisk>(seed);
    ASSERT_TRUE(
        DataFolder::Format(kFolder, kCluster, kVoter, *this->disk).has_value());
  }

  Result<DurableImage> Open() {
    this->folder =
        std::make_unique<DataFolder>(kFolder, kCluster, kVoter, *this->disk);
    return this->folder->Open();
  }

  /// Returns false if it fails.
  bool SetAside() {
    this->folder =
        std::make_unique<DataFolder>(kFolder, kCluster, kVoter, *this->disk);
    return this->folder->SetDamagedFilesAside().has_value();
  }

  /// Entries `first` to `last` of view 1.
  static DurableWrite Entries(LogIndex first, LogIndex last) {
    DurableWrite write;
    for (LogIndex index = first; index <= last; ++index) {
      write.entries.push_back({index, 1, "command"});
    }
    return write;
  }

  static DurableWrite Snapshot(LogIndex index) {
    DurableWrite write;
    write.snapshot = "state " + std::to_string(index);
    write.snapshot_index = index;
    write.snapshot_view = 1;
    return write;
  }

  void Store(const DurableWrite& write) {
    ASSERT_TRUE(this->folder->Write(write).has_value());
    ASSERT_TRUE(this->folder->Sync().has_value());
  }

  /// Kills the process at the operation of `action` after the first
  /// `operations`, if there are as many.
  template <class Action>
  void KillAfter(std::uint64_t operations, const Action& action) {
    this->disk->ClearFaults();
    this->disk->KillAfter(operations);
    try {
      action();
    } catch (const ProcessKilled&) {
    }
    this->disk->ClearFaults();
    this->folder.reset();
  }

  /// Stores entries 1 to 3, and runs `killed_write`, which kills the process.
  /// Then kills the next start at each of its operations, cuts the power and
  /// expects that the folder opens with the entries.
  template <class Action>
  void ExpectOpensAfterTwoKillsAndLoss(const Action& killed_write) {
    constexpr std::uint64_t kOperationsOfOpen = 24;
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
      for (std::uint64_t killed_at = 0; killed_at < kOperationsOfOpen;
           ++killed_at) {
        SCOPED_TRACE("seed " + std::to_string(seed) + ", killed at " +
                     std::to_string(killed_at));
        this->UseNewDisk(seed);
        ASSERT_TRUE(this->Open().has_value());
        this->Store(Entries(1, 3));
        killed_write();
        this->KillAfter(killed_at, [this] { (void)this->Open(); });
        this->disk->LosePower();
        const auto image = this->Open();
        ASSERT_TRUE(image.has_value()) << this->folder->ErrorDetail();
        EXPECT_GE(image->snapshot_index + image->entries.size(), 3);
      }
    }
  }

  std::unique_ptr<SimulatedDisk> disk;
  std::unique_ptr<DataFolder> folder;
};

// Guards against a gap in the log: of two segments that one snapshot made
// obsolete, the older one returns after a loss of power and the newer one
// doesn't.
TEST_F(PowerLossTest, Open_OlderOfTwoRemovedSegmentsReturns_Succeeds) {
  ASSERT_TRUE(this->Open().has_value());
  this->Store(Entries(1, 10));
  this->Store(Snapshot(5));
  this->Store(Entries(11, 20));
  this->Store(Snapshot(20));
  ASSERT_FALSE(this->disk->HasFile("log-00000000000000000001"));
  ASSERT_FALSE(this->disk->HasFile("log-00000000000000000002"));
  this->folder.reset();
  this->disk->LosePowerKeepingNames({"log-00000000000000000002"});
  const auto image = this->Open();
  ASSERT_TRUE(image.has_value()) << this->folder->ErrorDetail();
  EXPECT_EQ(image->snapshot_index, 20);
  EXPECT_TRUE(image->entries.empty());
}

// Guards against a start that appends to a record which isn't synced yet: a
// loss of power can tear the earlier record and keep the later one, which looks
// like damage in the middle of the log.
TEST_F(PowerLossTest, Open_KilledBeforeSyncThenInStart_Succeeds) {
  this->ExpectOpensAfterTwoKillsAndLoss([this] {
    ASSERT_TRUE(this->folder->Write(Entries(4, 9)).has_value());
    // The first operation writes the record, the second one syncs it.
    this->KillAfter(1, [this] { (void)this->folder->Sync(); });
  });
}

// Guards against a start whose synced record names a snapshot, while the name
// of the snapshot's file isn't synced and is lost with the power.
TEST_F(PowerLossTest, Open_KilledAfterSnapshotRenamedThenInStart_Succeeds) {
  this->ExpectOpensAfterTwoKillsAndLoss([this] {
    // The operations create, write, sync and rename the snapshot's file, and
    // sync the folder.
    this->KillAfter(4, [this] { (void)this->folder->Write(Snapshot(3)); });
  });
}

// Guards against damaged files that are set aside only in part, so that the
// rest is taken for the voter's whole state and it votes without what it
// promised.
TEST_F(PowerLossTest, SetDamagedFilesAside_KilledAnywhere_IsNeverIntact) {
  constexpr std::uint64_t kOperations = 30;
  const std::string segment = "log-00000000000000000001";
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    for (std::uint64_t killed_at = 0; killed_at < kOperations; ++killed_at) {
      SCOPED_TRACE("seed " + std::to_string(seed) + ", killed at " +
                   std::to_string(killed_at));
      this->UseNewDisk(seed);
      ASSERT_TRUE(this->Open().has_value());
      this->Store(Entries(1, 9));
      this->Store(Snapshot(5));
      this->Store(Entries(10, 12));
      // Without the first segment the second one has all entries after 9 only.
      std::string damaged = this->disk->Content(segment);
      damaged[damaged.size() / 2] ^= 1;
      this->disk->Overwrite(segment, damaged);
      ASSERT_EQ(this->Open().error(), StorageError::kDamaged);
      this->KillAfter(killed_at, [this] { this->SetAside(); });
      const bool power_lost = seed % 2 == 0;
      if (power_lost) {
        this->disk->LosePower();
      }
      auto image = this->Open();
      if (image.has_error()) {
        ASSERT_EQ(image.error(), StorageError::kDamaged);
        ASSERT_TRUE(this->SetAside());
        image = this->Open();
      }
      ASSERT_TRUE(image.has_value()) << this->folder->ErrorDetail();
      EXPECT_FALSE(image->intact);
      EXPECT_TRUE(image->entries.empty());
      EXPECT_EQ(image->snapshot_index, 0);
      if (!power_lost) {
        // The disk may lose the new name of a renamed file and not the removal
        // of the old one, so the copy doesn't survive each loss of power.
        EXPECT_EQ(this->disk->Content(segment + ".damaged"), damaged);
      }
      this->Store(Entries(1, 2));
      const auto again = this->Open();
      ASSERT_TRUE(again.has_value()) << this->folder->ErrorDetail();
      EXPECT_FALSE(again->intact);
      EXPECT_EQ(again->entries, Entries(1, 2).entries);
    }
  }
}

// Guards against another voter's state that is put out of use because a
// setting names the wrong folder, and against a folder of unknown owner.
TEST_F(PowerLossTest, SetDamagedFilesAside_OwnerIsOtherOrUnknown_IsRefused) {
  ASSERT_TRUE(this->Open().has_value());
  this->Store(Entries(1, 3));
  const auto names = this->disk->FileNames(kFolder);
  DataFolder other(kFolder, "other-cluster", kVoter, *this->disk);
  EXPECT_EQ(other.SetDamagedFilesAside().error(), StorageError::kForeignFolder);
  EXPECT_EQ(this->disk->FileNames(kFolder), names);
  EXPECT_TRUE(this->Open().has_value());
  std::string identity = this->disk->Content("identity");
  identity.back() ^= 1;
  this->disk->Overwrite("identity", identity);
  EXPECT_FALSE(this->SetAside());
  EXPECT_EQ(this->disk->FileNames(kFolder), names);
}

// Guards against a founding voter that is killed in its first start and is then
// taken for one whose disk was lost: if most are, none can recover.
TEST_F(PowerLossTest, Format_KilledAnywhere_SucceedsWhenRepeated) {
  constexpr std::uint64_t kOperationsOfFormat = 8;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    for (std::uint64_t at = 0; at < kOperationsOfFormat; ++at) {
      SCOPED_TRACE("seed " + std::to_string(seed) + ", killed at " +
                   std::to_string(at));
      this->disk = std::make_unique<SimulatedDisk>(seed);
      const auto format = [this] {
        return DataFolder::Format(kFolder, kCluster, kVoter, *this->disk);
      };
      this->KillAfter(at, [&] { (void)format(); });
      if (seed % 2 == 0) {
        this->disk->LosePower();
      }
      // Refused if the first one had taken effect.
      (void)format();
      const auto image = this->Open();
      ASSERT_TRUE(image.has_value()) << this->folder->ErrorDetail();
      EXPECT_TRUE(image->intact);
    }
  }
}

// Guards against a folder that can't be opened after a loss of power, synced
// content that is lost, and truncated entries that return.
TEST_F(PowerLossTest, Open_AfterRandomLosses_HasAllSynced) {
  // More seeds by hand, e.g. MIMOSASTAGE_POWER_LOSS_SEEDS=100000.
  const char* more = std::getenv("MIMOSASTAGE_POWER_LOSS_SEEDS");
  const std::uint64_t seeds = more != nullptr ? std::stoull(more) : 400;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    Schedule(seed).Run();
    if (::testing::Test::HasFailure()) {
      return;
    }
  }
}

}  // namespace
}  // namespace mimosastage::testing
