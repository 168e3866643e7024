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
  void SetUp() override {
    ASSERT_TRUE(
        DataFolder::Format(kFolder, kCluster, kVoter, this->disk).has_value());
  }

  Result<DurableImage> Open() {
    this->folder =
        std::make_unique<DataFolder>(kFolder, kCluster, kVoter, this->disk);
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

  SimulatedDisk disk{1};
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
  ASSERT_FALSE(this->disk.HasFile("log-00000000000000000001"));
  ASSERT_FALSE(this->disk.HasFile("log-00000000000000000002"));
  this->folder.reset();
  this->disk.LosePowerKeepingNames({"log-00000000000000000002"});
  const auto image = this->Open();
  ASSERT_TRUE(image.has_value()) << this->folder->ErrorDetail();
  EXPECT_EQ(image->snapshot_index, 20);
  EXPECT_TRUE(image->entries.empty());
}

}  // namespace
}  // namespace mimosastage::testing
