#include "mimosastage/jobs/worker_speed.h"

#include <gtest/gtest.h>

namespace mimosastage::jobs {
namespace {

using std::chrono::milliseconds;

class WorkerSpeedTest : public ::testing::Test {
 protected:
  void Report(const std::string& worker, std::uint32_t percent, int jobs = 2) {
    WorkerSpeed::Sample sample;
    for (int i = 0; i < jobs; ++i) {
      sample.Add("job-" + std::to_string(i), percent, milliseconds(1'000),
                 milliseconds(1'000));
    }
    this->speed.OnSample(worker, "pool", sample, this->now);
  }

  WorkerSpeed speed{WorkerSpeed::Config{}};
  TimePoint now{std::chrono::hours(1)};
};

// Guards against tasks that hang until a fault ends: a worker can pass its
// health checks while its tasks make no progress, which only the comparison
// detects.
TEST_F(WorkerSpeedTest, OnSample_TasksStandStill_IsSlow) {
  this->Report("one", 80);
  this->Report("two", 60);
  this->Report("three", 70);
  this->Report("stalled", 0);
  EXPECT_TRUE(this->speed.IsSlow("stalled", this->now));
  EXPECT_FALSE(this->speed.IsSlow("two", this->now));
}

TEST_F(WorkerSpeedTest, OnSample_EstimatesAreWrongForAll_NoneIsSlow) {
  for (const char* worker : {"one", "two", "three", "four"}) {
    this->Report(worker, 10);
  }
  EXPECT_FALSE(this->speed.IsSlow("four", this->now));
}

// Guards against needless restarts: if the tasks of a job take far longer than
// estimated, a healthy worker that runs no other job must not count as slow.
TEST_F(WorkerSpeedTest, OnSample_TasksOfOneJobProgressSlowly_IsNotSlow) {
  for (const char* worker : {"one", "two", "three"}) {
    this->Report(worker, 80);
  }
  this->Report("healthy", 10, 1);
  EXPECT_FALSE(this->speed.IsSlow("healthy", this->now));
  this->Report("slow", 10, 2);
  EXPECT_TRUE(this->speed.IsSlow("slow", this->now));
  this->Report("stalled", 0, 1);
  EXPECT_TRUE(this->speed.IsSlow("stalled", this->now));
}

TEST_F(WorkerSpeedTest, OnSample_FewWorkersToCompare_NoneIsSlow) {
  this->Report("one", 80);
  this->Report("stalled", 0);
  EXPECT_FALSE(this->speed.IsSlow("stalled", this->now));
}

TEST_F(WorkerSpeedTest, IsSlow_NoSlowSampleRecently_IsFalse) {
  for (const char* worker : {"one", "two", "three"}) {
    this->Report(worker, 80);
  }
  this->Report("stalled", 0);
  ASSERT_TRUE(this->speed.IsSlow("stalled", this->now));
  this->now += milliseconds(3'100);
  EXPECT_FALSE(this->speed.IsSlow("stalled", this->now));
}

}  // namespace
}  // namespace mimosastage::jobs
