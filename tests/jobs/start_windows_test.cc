#include "mimosastage/jobs/start_windows.h"

#include <gtest/gtest.h>

namespace mimosastage::jobs {
namespace {

using std::chrono::milliseconds;

constexpr DaemonId kCutOff{1};
constexpr DaemonId kReachable{2};

class StartWindowsTest : public ::testing::Test {
 protected:
  void Observe(std::optional<DaemonId> carrier, milliseconds wait, int times) {
    for (int i = 0; i < times; ++i) {
      this->now += milliseconds(1);
      this->windows.OnWait(carrier, wait, this->now);
    }
  }

  StartWindow::Config config{.min_size = 32,
                             .recovery_delay = milliseconds(300)};
  StartWindows windows{this->config};
  TimePoint now{std::chrono::hours(1)};
};

// Load: two of five voters are cut off at the beginning of a queue's peak. With
// one window for all carriers, the orders that wait for the cut ones kept tasks
// from starting on idle workers, and new jobs were refused for overload.
TEST_F(StartWindowsTest, OneCarrierDelaysItsOrders_OthersKeepTheirRoom) {
  this->windows.OnOpened(kCutOff);
  this->windows.OnOpened(kReachable);
  this->Observe(kCutOff, milliseconds(500), 2'000);
  const auto rooms = this->windows.Rooms();
  EXPECT_EQ(rooms.at(kCutOff), this->config.min_size - 1);
  EXPECT_EQ(rooms.at(kReachable), this->config.max_size - 1);
  EXPECT_FALSE(this->windows.IsNearlyFull());
}

// The leader logs the starts of all carriers, so their sum stays bounded.
TEST_F(StartWindowsTest, ManyCarriers_TogetherOpenNoMoreThanTheLargestSize) {
  for (std::uint64_t carrier = 1; carrier <= 4; ++carrier) {
    this->windows.OnOpened(DaemonId{carrier});
  }
  EXPECT_EQ(this->windows.Size(), this->config.max_size);
  EXPECT_EQ(this->windows.Room(), this->config.max_size - 4);
}

TEST_F(StartWindowsTest, OrdersNeverLeftTheLeader_AllWindowsShrink) {
  this->windows.OnOpened(kCutOff);
  this->windows.OnOpened(kReachable);
  this->Observe(std::nullopt, milliseconds(300), 10'000);
  EXPECT_EQ(this->windows.Size(), 2 * this->config.min_size);
}

// A window that had shrunk to its least size needed tens of seconds to grow
// again, far longer than the disturbance.
TEST_F(StartWindowsTest, DisturbanceEnds_MostOfTheSizeIsBackWithinASecond) {
  this->windows.OnOpened(kReachable);
  this->windows.OnClosed(kReachable);
  this->Observe(kReachable, milliseconds(300), 3'000);
  ASSERT_EQ(this->windows.Size(), this->config.min_size);
  this->Observe(kReachable, milliseconds(5), 1'000);
  EXPECT_GE(this->windows.Size(), this->config.max_size * 2 / 3);
}

}  // namespace
}  // namespace mimosastage::jobs
