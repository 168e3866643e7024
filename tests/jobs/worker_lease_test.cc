#include "mimosastage/jobs/worker_lease.h"

#include <gtest/gtest.h>

namespace mimosastage::jobs {
namespace {

using std::chrono::milliseconds;

class WorkerLeaseTest : public ::testing::Test {
 protected:
  TimePoint start{std::chrono::hours(1)};
  WorkerLease lease{WorkerLease::Config{}, this->start};
};

TEST_F(WorkerLeaseTest, Expired_NeverHeard_CountsFromTakeover) {
  EXPECT_FALSE(this->lease.Expired(this->start + milliseconds(4'500)));
  EXPECT_TRUE(this->lease.Expired(this->start + milliseconds(4'900)));
}

TEST_F(WorkerLeaseTest, HoldDeadline_ClockUnknown_IsNothing) {
  EXPECT_FALSE(this->lease.HoldDeadline(this->start).has_value());
}

TEST_F(WorkerLeaseTest, Expired_SlowClock_WaitsLonger) {
  this->lease.OnClock(milliseconds(10'000), this->start);
  ASSERT_EQ(this->lease.HoldDeadline(this->start), milliseconds(14'500));
  // At 98% of the true rate the worker's clock shows 14,488 ms by then.
  EXPECT_FALSE(this->lease.Expired(this->start + milliseconds(4'580)));
  EXPECT_TRUE(this->lease.Expired(this->start + milliseconds(4'900)));
}

TEST_F(WorkerLeaseTest, OnClock_AnswersOvertakeEachOther_KeepsTheLater) {
  this->lease.OnClock(milliseconds(10'000), this->start);
  this->lease.OnClock(milliseconds(9'000), this->start + milliseconds(5));
  EXPECT_EQ(this->lease.StartDeadline(this->start), milliseconds(12'500));
}

}  // namespace
}  // namespace mimosastage::jobs
