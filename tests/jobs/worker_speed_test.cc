#include "mimosastage/jobs/worker_speed.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <iostream>
#include <map>
#include <random>
#include <set>
#include <vector>

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

/// Computes the median of a pool from all measurements.
class NaiveWorkerSpeed {
 public:
  void OnSample(const std::string& worker, const std::string& pool,
                const WorkerSpeed::Sample& sample, std::size_t jobs,
                TimePoint now) {
    if (sample.elapsed < this->config.min_elapsed) {
      return;
    }
    Measurement& measurement = this->measurements[worker];
    measurement.pool = pool;
    measurement.speed = sample.done / sample.elapsed;
    measurement.at = now;
    const double median = this->MedianOf(pool, now);
    const bool comparable =
        jobs > 1 ||
        (sample.done.count() == 0 && sample.elapsed >= this->config.stall_time);
    if (comparable && median > 0 &&
        measurement.speed < median * this->config.slow_ratio) {
      measurement.slow_until = now + this->config.measurement_validity;
    }
  }
  void Forget(const std::string& worker) { this->measurements.erase(worker); }
  bool IsSlow(const std::string& worker, TimePoint now) const {
    const auto found = this->measurements.find(worker);
    return found != this->measurements.end() && now < found->second.slow_until;
  }

 private:
  struct Measurement {
    std::string pool;
    double speed = 1;
    TimePoint at{};
    TimePoint slow_until{};
  };

  double MedianOf(const std::string& pool, TimePoint now) const {
    std::vector<double> speeds;
    for (const auto& [worker, measurement] : this->measurements) {
      if (measurement.pool == pool &&
          now - measurement.at < this->config.measurement_validity) {
        speeds.push_back(measurement.speed);
      }
    }
    if (speeds.size() < this->config.min_workers) {
      return 0;
    }
    std::sort(speeds.begin(), speeds.end());
    return speeds[speeds.size() / 2];
  }

  WorkerSpeed::Config config;
  std::map<std::string, Measurement> measurements;
};

class WorkerSpeedDifferentialTest
    : public ::testing::TestWithParam<std::uint64_t> {};

// Guards against workers that count as slow, or not, because the measurements
// of their pool missed a change.
TEST_P(WorkerSpeedDifferentialTest, IsSlow_RandomSamples_MatchesNaive) {
  std::cout << "seed " << this->GetParam() << "\n";
  std::mt19937_64 random(this->GetParam());
  const auto pick = [&](unsigned count) {
    return static_cast<unsigned>(random() % count);
  };
  WorkerSpeed speed{WorkerSpeed::Config{}};
  NaiveWorkerSpeed naive;
  TimePoint now{std::chrono::hours(1)};
  int slow = 0;
  for (int round = 0; round < 5'000; ++round) {
    // Time stands still or steps back in some rounds.
    now += milliseconds(pick(120)) - milliseconds(20);
    const std::string worker = "worker-" + std::to_string(pick(20));
    if (pick(40) == 0) {
      speed.Forget(worker);
      naive.Forget(worker);
    }
    const std::string pool = "pool-" + std::to_string(pick(10) == 0 ? 1 : 0);
    const unsigned percent = pick(4) == 0 ? pick(2) * 20 : 40 + pick(60);
    const unsigned jobs = 1 + pick(2);
    WorkerSpeed::Sample sample;
    std::set<std::string> names;
    for (unsigned run = 0; run < 3; ++run) {
      const std::string job = "job-" + std::to_string(pick(jobs));
      names.insert(job);
      sample.Add(job, percent, milliseconds(1'000),
                 milliseconds(100 + pick(900)));
    }
    speed.OnSample(worker, pool, sample, now);
    naive.OnSample(worker, pool, sample, names.size(), now);
    for (int i = 0; i < 20; ++i) {
      const std::string other = "worker-" + std::to_string(i);
      ASSERT_EQ(speed.IsSlow(other, now), naive.IsSlow(other, now))
          << "round " << round;
      slow += naive.IsSlow(other, now) ? 1 : 0;
    }
  }
  EXPECT_GT(slow, 100);
}

INSTANTIATE_TEST_SUITE_P(Seeds, WorkerSpeedDifferentialTest,
                         ::testing::Range<std::uint64_t>(1, 9));

}  // namespace
}  // namespace mimosastage::jobs
