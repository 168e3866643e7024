#include "mimosastage/jobs/worker_speed.h"

#include <gtest/gtest.h>

namespace mimosastage::jobs {
namespace {

using std::chrono::milliseconds;

class WorkerSpeedTest : public ::testing::Test {
 protected:
  void Report(const std::string& worker, std::uint32_t percent) {
    WorkerSpeed::Sample sample;
    sample.Add(percent, milliseconds(1'000), milliseconds(1'000));
    this->speed.OnSample(worker, "pool", sample, this->now);
  }

  WorkerSpeed speed{WorkerSpeed::Config{}};
  TimePoint now{std::chrono::hours(1)};
};

// The load of a day with workers whose tasks stand still while their health is
// good: without the comparison their tasks wait until the fault ends.
TEST_F(WorkerSpeedTest, OnSample_TasksStandStill_IsSlow) {
  this->Report("one", 80);
  this->Report("two", 60);
  this->Report("three", 70);
  this->Report("stuck", 0);
  EXPECT_TRUE(this->speed.IsSlow("stuck", this->now));
  EXPECT_FALSE(this->speed.IsSlow("two", this->now));
}

TEST_F(WorkerSpeedTest, OnSample_EstimatesAreWrongForAll_NoneIsSlow) {
  for (const char* worker : {"one", "two", "three", "four"}) {
    this->Report(worker, 10);
  }
  EXPECT_FALSE(this->speed.IsSlow("four", this->now));
}

TEST_F(WorkerSpeedTest, OnSample_FewWorkersToCompare_NoneIsSlow) {
  this->Report("one", 80);
  this->Report("stuck", 0);
  EXPECT_FALSE(this->speed.IsSlow("stuck", this->now));
}

TEST_F(WorkerSpeedTest, IsSlow_NoSignForAWhile_IsForgotten) {
  for (const char* worker : {"one", "two", "three"}) {
    this->Report(worker, 80);
  }
  this->Report("stuck", 0);
  ASSERT_TRUE(this->speed.IsSlow("stuck", this->now));
  this->now += milliseconds(3'100);
  EXPECT_FALSE(this->speed.IsSlow("stuck", this->now));
}

}  // namespace
}  // namespace mimosastage::jobs
