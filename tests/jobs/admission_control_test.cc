#include "mimosastage/jobs/admission_control.h"

#include <gtest/gtest.h>

namespace mimosastage::jobs {
namespace {

using std::chrono::milliseconds;

class AdmissionControlTest : public ::testing::Test {
 protected:
  /// Starts 500 tasks a second.
  void StartTasksFor(milliseconds time) {
    for (milliseconds passed{0}; passed < time; passed += milliseconds(2)) {
      this->now += milliseconds(2);
      this->control.OnStart(this->now);
    }
  }

  AdmissionControl control;
  TimePoint now{std::chrono::hours(1)};
};

TEST_F(AdmissionControlTest, StartsAreNotBlocked_NoWaitIsExpected) {
  this->control.SetBacklog(10'000);
  this->StartTasksFor(milliseconds(1'000));
  EXPECT_FALSE(this->control.ExpectedWait(this->now).has_value());
}

TEST_F(AdmissionControlTest, StartsAreBlocked_WaitIsBacklogByRate) {
  this->StartTasksFor(milliseconds(2'000));
  this->control.SetBacklog(1'000);
  this->control.OnStartsBlocked(this->now);
  const auto wait = this->control.ExpectedWait(this->now);
  ASSERT_TRUE(wait.has_value());
  EXPECT_GE(*wait, milliseconds(1'900));
  EXPECT_LE(*wait, milliseconds(2'300));
}

TEST_F(AdmissionControlTest, JobsAreAccepted_WaitGrows) {
  this->StartTasksFor(milliseconds(2'000));
  this->control.OnStartsBlocked(this->now);
  const auto before = this->control.ExpectedWait(this->now);
  this->control.OnAccepted(500);
  EXPECT_GE(*this->control.ExpectedWait(this->now),
            *before + milliseconds(950));
}

TEST_F(AdmissionControlTest, StartsWereBlockedSecondsAgo_NoWaitIsExpected) {
  this->StartTasksFor(milliseconds(2'000));
  this->control.SetBacklog(1'000);
  this->control.OnStartsBlocked(this->now);
  this->now += milliseconds(1'000);
  EXPECT_FALSE(this->control.ExpectedWait(this->now).has_value());
}

// Guards against a division by zero after a pause without starts.
TEST_F(AdmissionControlTest, NothingWasStartedLately_WaitIsLong) {
  this->control.SetBacklog(100);
  this->control.OnStartsBlocked(this->now);
  EXPECT_GE(*this->control.ExpectedWait(this->now), milliseconds(10'000));
}

}  // namespace
}  // namespace mimosastage::jobs
