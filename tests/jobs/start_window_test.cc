#include "mimosastage/jobs/start_window.h"

#include <gtest/gtest.h>

namespace mimosastage::jobs {
namespace {

using std::chrono::milliseconds;

class StartWindowTest : public ::testing::Test {
 protected:
  void Observe(milliseconds wait, int times) {
    for (int i = 0; i < times; ++i) {
      this->now += milliseconds(1);
      this->window.OnWait(wait, this->now);
    }
  }

  StartWindow::Config config;
  StartWindow window{this->config};
  TimePoint now{std::chrono::hours(1)};
};

TEST_F(StartWindowTest, NoOrderIsOpen_RoomIsTheLargestSize) {
  EXPECT_EQ(this->window.Room(), this->config.max_size);
}

TEST_F(StartWindowTest, OrdersOpenAndClose_RoomFollows) {
  this->window.OnOpened();
  this->window.OnOpened();
  EXPECT_EQ(this->window.Room(), this->config.max_size - 2);
  this->window.OnClosed();
  EXPECT_EQ(this->window.Room(), this->config.max_size - 1);
}

TEST_F(StartWindowTest, OrdersWaitTooLong_ShrinksOncePerInterval) {
  this->Observe(milliseconds(300), 100);
  EXPECT_EQ(this->window.Size(), static_cast<std::size_t>(512 * 0.7));
}

TEST_F(StartWindowTest, OrdersWaitTooLongForSeconds_StaysAtTheLeastSize) {
  this->Observe(milliseconds(300), 10'000);
  EXPECT_EQ(this->window.Size(), this->config.min_size);
  EXPECT_EQ(this->window.Room(), this->config.min_size);
}

// Guards against an unsigned underflow when the window shrinks below the number
// of open orders.
TEST_F(StartWindowTest, MoreOrdersOpenThanTheSize_HasNoRoom) {
  for (int i = 0; i < 400; ++i) {
    this->window.OnOpened();
  }
  this->Observe(milliseconds(300), 10'000);
  EXPECT_EQ(this->window.Room(), 0U);
}

TEST_F(StartWindowTest, WaitIsShortAgain_GrowsToTheLargestSize) {
  this->Observe(milliseconds(300), 10'000);
  this->Observe(milliseconds(5), 200'000);
  EXPECT_EQ(this->window.Size(), this->config.max_size);
}

}  // namespace
}  // namespace mimosastage::jobs
