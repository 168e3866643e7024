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

// A one-shot callback must not run before it is due or more than once.
TEST_F(TimerServiceTest, OneShot_BeforeAndAfterDue_RunsOnceAfterDue) {
  auto subscription = this->timers.At(this->start + seconds(2),
                                      [this](TimePoint) { ++this->calls; });
  EXPECT_EQ(this->timers.RunDue(this->start + seconds(1)), 0);
  EXPECT_EQ(this->timers.RunDue(this->start + seconds(2)), 1);
  EXPECT_EQ(this->timers.RunDue(this->start + seconds(9)), 0);
  EXPECT_EQ(this->calls, 1);
}

// A process that was suspended must not run one callback per missed period.
TEST_F(TimerServiceTest,
       Periodic_AfterLongSuspension_RunsOnceNotPerMissedPeriod) {
  auto subscription = this->timers.Every(this->start, seconds(1),
                                         [this](TimePoint) { ++this->calls; });
  EXPECT_EQ(this->timers.RunDue(this->start + seconds(60)), 1);
  EXPECT_EQ(this->timers.NextDue(), this->start + seconds(61));
}

// Cancelling its own subscription must not destroy a callback while it runs
// (use after free).
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
