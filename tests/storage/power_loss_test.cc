#include <gtest/gtest.h>

#include <memory>
#include <string>

#include "mimosastage/storage/data_folder.h"
#include "tests/storage/support/random_writes.h"
#include "tests/storage/support/simulated_disk.h"

namespace mimosastage::testing {
namespace {

constexpr DaemonId kVoter{2};
const std::string kCluster = "test-cluster";
const std::string kFolder = "/data";

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

}  // namespace
}  // namespace mimosastage::testing
