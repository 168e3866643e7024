#include "mimosastage/base/timer_service.h"

#include <gtest/gtest.h>

namespace mimosastage {
namespace {

using std::chrono::seconds;

class TimerServiceTest : public ::testing::Test {
 protected:
  TimePoint start{seconds(100)};
  TimerService timers;
  int calls = 0;
};

// Guards against a callback that runs before its time.
TEST_F(TimerServiceTest, OneShot_BeforeAndAfterDue_RunsOnceAfterDue) {
  auto subscription = this->timers.At(this->start + seconds(2),
                                      [this](TimePoint) { ++this->calls; });
  EXPECT_EQ(this->timers.RunDue(this->start + seconds(1)), 0);
  EXPECT_EQ(this->timers.RunDue(this->start + seconds(2)), 1);
  EXPECT_EQ(this->timers.RunDue(this->start + seconds(9)), 0);
  EXPECT_EQ(this->calls, 1);
}

// Guards against a burst of calls after the process was frozen.
TEST_F(TimerServiceTest, Periodic_AfterLongFreeze_RunsOnceNotPerMissedPeriod) {
  auto subscription = this->timers.Every(this->start, seconds(1),
                                         [this](TimePoint) { ++this->calls; });
  EXPECT_EQ(this->timers.RunDue(this->start + seconds(60)), 1);
  EXPECT_EQ(this->timers.NextDue(), this->start + seconds(61));
}

// Guards against a use after free when a callback ends its own subscription.
TEST_F(TimerServiceTest, Periodic_CancelsItself_RunsNoMore) {
  TimerService::Subscription subscription;
  subscription = this->timers.Every(this->start, seconds(1), [&](TimePoint) {
    ++this->calls;
    subscription.Cancel();
  });
  this->timers.RunDue(this->start);
  this->timers.RunDue(this->start + seconds(5));
  EXPECT_EQ(this->calls, 1);
  EXPECT_EQ(this->timers.NextDue(), std::nullopt);
}

}  // namespace
}  // namespace mimosastage
