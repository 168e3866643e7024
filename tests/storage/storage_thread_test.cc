#include "mimosastage/storage/storage_thread.h"

#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <future>
#include <string>
#include <thread>

#include "mimosastage/storage/data_folder.h"
#include "tests/storage/support/simulated_disk.h"

namespace mimosastage::testing {
namespace {

constexpr DaemonId kVoter{2};
const std::string kCluster = "test-cluster";
const std::string kFolder = "/data";

/// A disk whose syncs of the folder hang while `Hang` is in force.
class HangingDisk : public SimulatedDisk {
 public:
  HangingDisk() : SimulatedDisk(1) {}

  void Hang() { this->gate = this->released.get_future().share(); }
  void Release() { this->released.set_value(); }

  void SyncFolder(const std::filesystem::path& folder) override {
    if (this->gate.valid()) {
      this->gate.wait();
    }
    SimulatedDisk::SyncFolder(folder);
  }

 private:
  std::promise<void> released;
  std::shared_future<void> gate;
};

// Guards against a node thread that waits for the disk: its caller neither
// sends heartbeats nor passes calls on then.
TEST(StorageThreadTest, Write_DiskHangs_RefusesInsteadOfWaiting) {
  constexpr int kMoreThanTheRingHolds = 3'000;
  HangingDisk disk;
  ASSERT_TRUE(DataFolder::Format(kFolder, kCluster, kVoter, disk).has_value());
  DataFolder folder(kFolder, kCluster, kVoter, disk);
  ASSERT_TRUE(folder.Open().has_value());
  disk.Hang();
  std::atomic<int> failures{0};
  StorageThread storage(folder,
                        {[] {}, [&](const std::string&) { ++failures; }});
  storage.Start();
  auto writing = std::async(std::launch::async, [&] {
    for (int i = 1; i <= kMoreThanTheRingHolds; ++i) {
      DurableWrite write;
      write.ticket = static_cast<std::uint64_t>(i);
      // A snapshot is stored with a sync of the folder.
      write.snapshot = "state";
      write.snapshot_index = static_cast<LogIndex>(i);
      if (!storage.Write(std::move(write))) {
        return i;
      }
    }
    return 0;
  });
  constexpr std::chrono::seconds kLongestWait{10};
  const bool returned =
      writing.wait_for(kLongestWait) == std::future_status::ready;
  EXPECT_TRUE(returned) << "Write waits for the disk";
  disk.Release();
  const int refused = writing.get();
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  EXPECT_FALSE(storage.Write(DurableWrite{}))
      << "no write may follow one that was lost";
  EXPECT_GT(refused, 1'000);
  EXPECT_LE(refused, 1'026) << "the ring, and one write that hangs";
  storage.Stop();
  EXPECT_EQ(storage.LastSyncedTicket(), static_cast<std::uint64_t>(refused - 1))
      << "what was taken must be written once the disk answers";
  EXPECT_EQ(failures.load(), 0);
}

}  // namespace
}  // namespace mimosastage::testing
