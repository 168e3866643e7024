#include "mimosastage/jobs/start_copies.h"

#include <gtest/gtest.h>

#include <chrono>
#include <optional>

namespace mimosastage::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class StartCopiesTest : public ::testing::Test {
 protected:
  bool MayBeExecuted(TimePoint at) const {
    return this->copies.LatestExecution(this->task, at).has_value();
  }

  const TaskId task{"job", 0, 0, 0};
  const TimePoint start{seconds(100)};
  StartCopies copies{seconds(12)};
};

TEST_F(StartCopiesTest, OnSent_NoAnswerYet_MayBeExecutedForTheDelay) {
  this->copies.OnSent(this->task, 1, 1, this->start);
  EXPECT_EQ(this->copies.LatestExecution(this->task, this->start),
            this->start + seconds(12));
  EXPECT_FALSE(this->MayBeExecuted(this->start + seconds(12)));
}

TEST_F(StartCopiesTest, OnConfirmed_OnlyCopy_NoneIsLeft) {
  this->copies.OnSent(this->task, 1, 1, this->start);
  this->copies.OnConfirmed(this->task, 1);
  EXPECT_FALSE(this->MayBeExecuted(this->start));
  EXPECT_EQ(this->copies.Size(), 0U);
}

TEST_F(StartCopiesTest, OnConfirmed_FirstCopyUnanswered_FirstIsLeft) {
  this->copies.OnSent(this->task, 1, 1, this->start);
  this->copies.OnUnanswered(this->task, 1);
  this->copies.OnSent(this->task, 1, 2, this->start + seconds(1));
  this->copies.OnConfirmed(this->task, 2);
  this->copies.OnListed(this->task, 1);
  EXPECT_EQ(this->copies.LatestExecution(this->task, this->start + seconds(2)),
            this->start + seconds(12));
}

TEST_F(StartCopiesTest, OnListed_OnlyCopyUnanswered_NoneIsLeft) {
  this->copies.OnSent(this->task, 1, 1, this->start);
  this->copies.OnUnanswered(this->task, 1);
  this->copies.OnListed(this->task, 1);
  EXPECT_FALSE(this->MayBeExecuted(this->start));
}

TEST_F(StartCopiesTest, OnListed_TwoCopiesUnanswered_BothAreLeft) {
  this->copies.OnSent(this->task, 1, 1, this->start);
  this->copies.OnUnanswered(this->task, 1);
  this->copies.OnSent(this->task, 1, 2, this->start + seconds(1));
  this->copies.OnUnanswered(this->task, 2);
  this->copies.OnListed(this->task, 1);
  this->copies.ForgetExpired(this->start + milliseconds(12'500));
  this->copies.OnListed(this->task, 1);
  EXPECT_TRUE(this->MayBeExecuted(this->start + milliseconds(12'500)));
}

TEST_F(StartCopiesTest, OnRefused_EarlierRunUnanswered_EarlierIsLeft) {
  this->copies.OnSent(this->task, 1, 1, this->start);
  this->copies.OnUnanswered(this->task, 1);
  this->copies.OnSent(this->task, 2, 2, this->start + seconds(1));
  this->copies.OnRefused(this->task, 2);
  this->copies.OnListed(this->task, 2);
  EXPECT_TRUE(this->MayBeExecuted(this->start + seconds(1)));
  EXPECT_TRUE(this->copies.MayBeExecuted(this->task, 1, this->start));
  EXPECT_FALSE(this->copies.MayBeExecuted(this->task, 2, this->start));
}

TEST_F(StartCopiesTest, ForgetExpired_DelayIsOver_ForgetsTheTask) {
  this->copies.OnSent(this->task, 1, 1, this->start);
  this->copies.OnUnanswered(this->task, 1);
  this->copies.ForgetExpired(this->start + seconds(11));
  EXPECT_EQ(this->copies.Size(), 1U);
  this->copies.ForgetExpired(this->start + seconds(12));
  EXPECT_EQ(this->copies.Size(), 0U);
}

TEST_F(StartCopiesTest, AddForeign_RunIsListed_IsLeftUntilItsTime) {
  this->copies.AddForeign(this->task, 1, this->start + seconds(5));
  this->copies.AddForeign(this->task, 1, this->start + seconds(8));
  this->copies.OnListed(this->task, 1);
  this->copies.ForgetExpired(this->start + seconds(6));
  EXPECT_EQ(this->copies.LatestExecution(this->task, this->start + seconds(6)),
            this->start + seconds(8));
  this->copies.ForgetExpired(this->start + seconds(8));
  EXPECT_EQ(this->copies.Size(), 0U);
}

}  // namespace
}  // namespace mimosastage::jobs
