#include <gtest/gtest.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/resource.h>

#include <atomic>
#include <chrono>
#include <filesystem>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <utility>

#include "mimosastage/storage/storage_thread.h"

namespace mimosastage {
namespace {

namespace fs = std::filesystem;

/// An open folder and a thread that writes to it.
class StorageThreadFailureTest : public ::testing::Test {
 protected:
  void SetUp() override {
    signal(SIGXFSZ, SIG_IGN);
    std::string name = (fs::temp_directory_path() / "storage_thread_XXXXXX");
    ASSERT_NE(mkdtemp(name.data()), nullptr);
    this->root = name;
    this->folder =
        std::make_unique<DataFolder>(this->root / "data", "test", DaemonId{2});
    ASSERT_TRUE(this->folder->Open().has_value());
    StorageThread::Hooks hooks;
    hooks.on_synced = [] {};
    hooks.on_failed = [this](const std::string&) { this->failed.store(true); };
    this->thread =
        std::make_unique<StorageThread>(*this->folder, std::move(hooks));
    this->thread->Start();
  }

  void TearDown() override { fs::remove_all(this->root); }

  static DurableWrite MakeWrite(std::uint64_t number) {
    DurableWrite write;
    write.ticket = number;
    write.entries.push_back({number, 1, "entry"});
    return write;
  }

  fs::path root;
  std::unique_ptr<DataFolder> folder;
  std::unique_ptr<StorageThread> thread;
  std::atomic<bool> failed{false};
};

// Guards against a node thread that waits for room in the ring of a storage
// thread that has ended: the daemon did nothing any more.
TEST_F(StorageThreadFailureTest, Write_DiskFailedAndRingFull_DoesNotBlock) {
  constexpr std::uint64_t kWrites = 5'000;
  rlimit original{};
  getrlimit(RLIMIT_FSIZE, &original);
  const rlimit no_writes{0, original.rlim_max};
  ASSERT_EQ(setrlimit(RLIMIT_FSIZE, &no_writes), 0);
  std::promise<void> ended;
  std::future<void> future = ended.get_future();
  std::thread writer([this, ended = std::move(ended)]() mutable {
    for (std::uint64_t i = 1; i <= kWrites; ++i) {
      static_cast<void>(this->thread->Write(MakeWrite(i)));
    }
    ended.set_value();
  });
  const auto status = future.wait_for(std::chrono::seconds(30));
  const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(30);
  while (!this->failed.load() && std::chrono::steady_clock::now() < end) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  setrlimit(RLIMIT_FSIZE, &original);
  EXPECT_TRUE(this->failed.load());
  if (status != std::future_status::ready) {
    // The writer uses the objects of this test for good.
    writer.detach();
    static_cast<void>(this->thread.release());
    static_cast<void>(this->folder.release());
    FAIL() << "the writer waits for a thread that has ended";
  }
  writer.join();
}

}  // namespace
}  // namespace mimosastage
