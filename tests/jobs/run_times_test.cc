#include "mimosastage/jobs/run_times.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <numeric>
#include <random>
#include <string>
#include <vector>

namespace mimosastage::jobs {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kStated{1'000};

RunTimeKey MakeKey(std::uint64_t step, std::uint64_t queue = 1'000,
                   std::uint64_t pool = 2'000) {
  return RunTimeKey{step, queue, pool};
}

/// Keeps all durations and sorts them for each query.
class NaiveRunTimes {
 public:
  void Observe(milliseconds duration) { this->durations.push_back(duration); }
  /// Leaves only the latest durations.
  void KeepLast(std::size_t count) {
    if (this->durations.size() > count) {
      this->durations.erase(
          this->durations.begin(),
          this->durations.end() - static_cast<std::ptrdiff_t>(count));
    }
  }
  double Quantile(double part) const {
    std::vector<milliseconds> sorted = this->durations;
    std::sort(sorted.begin(), sorted.end());
    const auto rank = static_cast<std::size_t>(
        std::ceil(part * static_cast<double>(sorted.size())));
    return static_cast<double>(
        sorted[std::clamp<std::size_t>(rank, 1, sorted.size()) - 1].count());
  }
  double Mean() const {
    const auto sum = std::accumulate(this->durations.begin(),
                                     this->durations.end(), milliseconds(0));
    return static_cast<double>(sum.count()) /
           static_cast<double>(this->durations.size());
  }
  double Deviation() const {
    double sum = 0;
    for (const milliseconds duration : this->durations) {
      const double distance =
          static_cast<double>(duration.count()) - this->Mean();
      sum += distance * distance;
    }
    return std::sqrt(sum / static_cast<double>(this->durations.size()));
  }

 private:
  std::vector<milliseconds> durations;
};

/// Draws the duration of the run with the given number.
using Draw = std::function<milliseconds(std::mt19937_64&, int)>;

milliseconds Rounded(double time) {
  return milliseconds(std::llround(std::max(1.0, time)));
}

milliseconds DrawLogNormal(std::mt19937_64& random, int) {
  return Rounded(std::lognormal_distribution<double>(6.5, 0.4)(random));
}

/// Three of 100 runs last seven times as long.
milliseconds DrawHeavyTailed(std::mt19937_64& random, int) {
  const double base = std::uniform_real_distribution<double>(540, 800)(random);
  const bool straggles = std::uniform_int_distribution<int>(0, 99)(random) < 3;
  return Rounded(straggles ? 7 * base : base);
}

milliseconds DrawBimodal(std::mt19937_64& random, int) {
  const bool is_long = std::uniform_int_distribution<int>(0, 9)(random) < 4;
  return Rounded(
      std::normal_distribution<double>(is_long ? 2'500 : 400, 40)(random));
}

milliseconds DrawDrifting(std::mt19937_64& random, int number) {
  return Rounded(std::normal_distribution<double>(500 + number, 50)(random));
}

struct Load {
  const char* name;
  Draw draw;
};

class RunTimesDifferentialTest : public ::testing::TestWithParam<Load> {};
/// With durations that don't drift.
class RunTimesSamplingTest : public ::testing::TestWithParam<Load> {};

// Guards against a model that departs from the samples: with equal estimates,
// the results must be those of the latest samples, sorted.
TEST_P(RunTimesDifferentialTest,
       Query_EqualEstimates_IsThatOfTheSortedSamples) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    std::mt19937_64 random(seed);
    RunTimes run_times;
    NaiveRunTimes naive;
    for (int i = 0; i < 2'000; ++i) {
      const milliseconds duration = GetParam().draw(random, i);
      run_times.Observe(MakeKey(1), kStated, duration);
      naive.Observe(duration);
    }
    // The model is at most 7 samples old, so its ranks are off by as much.
    naive.KeepLast(RunSamples::kWindow + 7);
    const double slack = 8.0 / RunSamples::kWindow;
    for (const double part : {0.5, 0.95}) {
      const auto learned = static_cast<double>(
          run_times.Quantile(MakeKey(1), part, kStated).count());
      EXPECT_GE(learned, naive.Quantile(std::max(0.0, part - slack)) - 1)
          << seed << " " << part;
      EXPECT_LE(learned, naive.Quantile(std::min(1.0, part + slack)) + 1)
          << seed << " " << part;
    }
    const auto mean =
        static_cast<double>(run_times.Expected(MakeKey(1), kStated).count());
    EXPECT_NEAR(mean, naive.Mean(), 0.15 * naive.Mean()) << seed;
  }
}

// Guards against a window that is too short: the results must be those of all
// runs of a queue whose durations don't drift, to within the error of a sample
// of that size.
TEST_P(RunTimesSamplingTest, Query_AllSamples_IsWithinSamplingError) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    std::mt19937_64 random(seed);
    RunTimes run_times;
    NaiveRunTimes naive;
    for (int i = 0; i < 2'000; ++i) {
      const milliseconds duration = GetParam().draw(random, i);
      run_times.Observe(MakeKey(1), kStated, duration);
      naive.Observe(duration);
    }
    constexpr double kSamples = RunSamples::kWindow;
    // Four standard errors.
    for (const double part : {0.5, 0.95}) {
      const double slack = 4 * std::sqrt(part * (1 - part) / kSamples);
      const auto learned = static_cast<double>(
          run_times.Quantile(MakeKey(1), part, kStated).count());
      EXPECT_GE(learned, naive.Quantile(part - slack) - 1) << seed;
      EXPECT_LE(learned, naive.Quantile(std::min(1.0, part + slack)) + 1)
          << seed;
    }
    EXPECT_NEAR(
        static_cast<double>(run_times.Expected(MakeKey(1), kStated).count()),
        naive.Mean(), 4 * naive.Deviation() / std::sqrt(kSamples) + 1)
        << seed;
  }
}

INSTANTIATE_TEST_SUITE_P(Loads, RunTimesDifferentialTest,
                         ::testing::Values(Load{"LogNormal", DrawLogNormal},
                                           Load{"HeavyTailed", DrawHeavyTailed},
                                           Load{"Bimodal", DrawBimodal},
                                           Load{"Drifting", DrawDrifting}),
                         [](const auto& row) { return row.param.name; });

INSTANTIATE_TEST_SUITE_P(Loads, RunTimesSamplingTest,
                         ::testing::Values(Load{"LogNormal", DrawLogNormal},
                                           Load{"HeavyTailed", DrawHeavyTailed},
                                           Load{"Bimodal", DrawBimodal}),
                         [](const auto& row) { return row.param.name; });

class RunTimesTest : public ::testing::Test {
 protected:
  void Observe(const RunTimeKey& key, milliseconds duration, int times,
               milliseconds stated = kStated) {
    for (int i = 0; i < times; ++i) {
      this->run_times.Observe(key, stated, duration);
    }
  }

  RunTimes run_times;
};

// Guards against a new leader that behaves unlike the release without learned
// durations.
TEST_F(RunTimesTest, Query_FewSamples_IsTheStatedEstimate) {
  const RunTimeKey key = MakeKey(1);
  this->Observe(key, milliseconds(300), 29);
  EXPECT_FALSE(this->run_times.Knows(key));
  EXPECT_EQ(this->run_times.Expected(key, kStated), kStated);
  EXPECT_EQ(this->run_times.Quantile(key, 0.95, kStated), kStated);
  EXPECT_EQ(this->run_times.Remaining(key, kStated, milliseconds(400)),
            milliseconds(600));
  EXPECT_EQ(this->run_times.Remaining(key, kStated, milliseconds(4'000)),
            milliseconds(0));
  EXPECT_EQ(this->run_times.Version(), 0U);
  this->Observe(key, milliseconds(300), 1);
  EXPECT_TRUE(this->run_times.Knows(key));
  EXPECT_EQ(this->run_times.Expected(key, kStated), milliseconds(300));
}

TEST_F(RunTimesTest, Query_OtherStepOrQueue_IsThatOfTheNextLevel) {
  this->Observe(MakeKey(1), milliseconds(2'000), 40);
  EXPECT_EQ(this->run_times.Expected(MakeKey(2), kStated), milliseconds(2'000));
  EXPECT_EQ(this->run_times.Expected(MakeKey(3, 1'001), kStated),
            milliseconds(2'000));
  EXPECT_EQ(this->run_times.Expected(MakeKey(3, 1'001, 2'001), kStated),
            kStated);
  this->Observe(MakeKey(2), milliseconds(500), 40);
  EXPECT_EQ(this->run_times.Expected(MakeKey(1), kStated), milliseconds(2'000));
  EXPECT_EQ(this->run_times.Expected(MakeKey(2), kStated), milliseconds(500));
}

// Guards against work that an absurd duration of one queue keeps from being
// placed for good.
TEST_F(RunTimesTest, Query_FarFromTheEstimate_IsClamped) {
  this->Observe(MakeKey(1), milliseconds(1), 200);
  EXPECT_EQ(this->run_times.Expected(MakeKey(1), kStated), milliseconds(100));
  this->Observe(MakeKey(2), std::chrono::hours(24), 200);
  EXPECT_EQ(this->run_times.Expected(MakeKey(2), kStated),
            milliseconds(10'000));
  EXPECT_EQ(this->run_times.Quantile(MakeKey(2), 0.95, kStated),
            milliseconds(10'000));
  EXPECT_EQ(this->run_times.Remaining(MakeKey(2), kStated, milliseconds(50)),
            milliseconds(10'000));
  EXPECT_EQ(this->run_times.Expected(MakeKey(2), milliseconds(0)),
            milliseconds(0));
}

// Guards against the use of estimates whose error is larger than the spread of
// the durations: then the queue's own durations tell more.
TEST_F(RunTimesTest, Expected_EstimatesAreNoise_ErrorIsFarBelowTheirs) {
  std::mt19937_64 random(7);
  std::uniform_real_distribution<double> durations(540, 800);
  std::uniform_real_distribution<double> errors(0.1, 1.9);
  double stated_error = 0;
  double learned_error = 0;
  for (int i = 0; i < 1'000; ++i) {
    const double duration = durations(random);
    const milliseconds stated = Rounded(duration * errors(random));
    if (i >= 200) {
      stated_error += std::abs(static_cast<double>(stated.count()) - duration);
      learned_error +=
          std::abs(static_cast<double>(
                       this->run_times.Expected(MakeKey(1), stated).count()) -
                   duration);
    }
    this->run_times.Observe(MakeKey(1), stated, Rounded(duration));
  }
  EXPECT_LT(learned_error, stated_error / 3);
}

// Guards against the loss of what estimates tell: those of a queue with short
// and long tasks are off by a factor, but ordered.
TEST_F(RunTimesTest, Expected_EstimatesAreBiasedAndOrdered_FollowsTheOrder) {
  for (int i = 0; i < 200; ++i) {
    const milliseconds stated(i % 2 == 0 ? 300 : 3'000);
    this->run_times.Observe(MakeKey(1), stated, 2 * stated);
  }
  EXPECT_NEAR(
      static_cast<double>(
          this->run_times.Expected(MakeKey(1), milliseconds(300)).count()),
      600, 30);
  EXPECT_NEAR(
      static_cast<double>(
          this->run_times.Expected(MakeKey(1), milliseconds(3'000)).count()),
      6'000, 300);
  // Outside of the range of the samples.
  EXPECT_NEAR(
      static_cast<double>(
          this->run_times.Expected(MakeKey(1), milliseconds(30'000)).count()),
      60'000, 3'000);
}

// Guards against estimates that are too short at the start of a load peak, when
// only the shortest runs have ended.
TEST_F(RunTimesTest, Observe_LongRunsAreInProgress_TheyCountAsLowerBounds) {
  for (int i = 0; i < 40; ++i) {
    this->run_times.ForgetRunning();
    for (int running = 0; running < 120; ++running) {
      this->run_times.ObserveRunning(MakeKey(1), kStated, milliseconds(900));
    }
    this->Observe(MakeKey(1), milliseconds(400), 1);
  }
  // Three of four runs take longer than 900 ms.
  EXPECT_GE(this->run_times.Quantile(MakeKey(1), 0.5, kStated),
            milliseconds(890));
  EXPECT_NEAR(static_cast<double>(
                  this->run_times.Quantile(MakeKey(1), 0.2, kStated).count()),
              400, 10);
}

TEST_F(RunTimesTest, Remaining_RunOutlivesMost_IsThatOfTheLongerOnes) {
  for (int i = 0; i < 160; ++i) {
    this->Observe(MakeKey(1), milliseconds(i % 10 == 0 ? 5'000 : 500), 1);
  }
  EXPECT_NEAR(
      static_cast<double>(
          this->run_times.Remaining(MakeKey(1), kStated, milliseconds(600))
              .count()),
      4'400, 50);
  // No sample is as long.
  EXPECT_EQ(this->run_times.Remaining(MakeKey(1), kStated, milliseconds(6'000)),
            milliseconds(6'000));
}

TEST_F(RunTimesTest, Observe_ValueChanges_ReportsModerateAndLargeChanges) {
  const auto observe = [this](milliseconds duration) {
    RunSamples::Change largest = RunSamples::Change::kNone;
    for (int i = 0; i < 160; ++i) {
      largest = std::max(
          largest, this->run_times.Observe(MakeKey(1), kStated, duration));
    }
    return largest;
  };
  EXPECT_EQ(observe(milliseconds(1'000)), RunSamples::Change::kLarge);
  const std::uint64_t version = this->run_times.Version();
  EXPECT_EQ(observe(milliseconds(1'200)), RunSamples::Change::kNone);
  EXPECT_EQ(this->run_times.Version(), version);
  EXPECT_EQ(observe(milliseconds(1'400)), RunSamples::Change::kModerate);
  EXPECT_GT(this->run_times.Version(), version);
  EXPECT_EQ(observe(milliseconds(1'600)), RunSamples::Change::kLarge);
}

// Guards against memory that grows with the number of queues and images that
// clients name.
TEST(RunTimesBoundTest, Observe_MoreKeysThanAllowed_ForgetsTheOldestKey) {
  RunTimes run_times(RunTimes::Config{.min_samples = 1, .max_keys = 30});
  for (std::uint64_t i = 0; i < 1'000; ++i) {
    run_times.Observe(MakeKey(i, i + 10'000, 20'000), kStated,
                      milliseconds(500));
    EXPECT_LE(run_times.Keys(), 30U);
  }
  EXPECT_EQ(run_times.Expected(MakeKey(999, 1, 1), kStated), milliseconds(500));
  EXPECT_FALSE(run_times.Knows(MakeKey(1, 10'001, 1)));
  // The pool's key was observed each time.
  EXPECT_TRUE(run_times.Knows(MakeKey(1, 10'001, 20'000)));
  EXPECT_LE(sizeof(RunSamples), 2'048U);
}

// Guards against durations of one queue, step or image that are counted for
// another.
TEST(RunTimeKeyTest, MakeRunTimeKey_DifferentFields_DiffersAtItsLevels) {
  Queue queue;
  queue.host = "host";
  queue.path_prefix = "/a/";
  queue.pool = "pool";
  const RunTimeKey key = MakeRunTimeKey(queue, 0, "image");
  const RunTimeKey step = MakeRunTimeKey(queue, 1, "image");
  EXPECT_NE(step.step, key.step);
  EXPECT_EQ(step.queue, key.queue);
  const RunTimeKey image = MakeRunTimeKey(queue, 0, "other");
  EXPECT_NE(image.step, key.step);
  EXPECT_NE(image.queue, key.queue);
  EXPECT_EQ(image.pool, key.pool);
  queue.path_prefix = "/b/";
  const RunTimeKey other = MakeRunTimeKey(queue, 0, "image");
  EXPECT_NE(other.step, key.step);
  EXPECT_NE(other.queue, key.queue);
  EXPECT_EQ(other.pool, key.pool);
}

// Guards against values of clients that overflow or aren't numbers.
TEST(RunTimesOddValuesTest, Observe_ExtremeValues_StaysWithinTheClamp) {
  RunTimes run_times(RunTimes::Config{.min_samples = 1});
  const milliseconds longest = std::chrono::hours(24 * 365 * 200);
  for (const milliseconds stated :
       {milliseconds(0), milliseconds(-5), milliseconds(1), longest}) {
    for (const milliseconds duration :
         {milliseconds(0), milliseconds(-5), milliseconds(1), longest}) {
      run_times.Observe(MakeKey(1), stated, duration);
      for (const milliseconds elapsed : {milliseconds(0), longest}) {
        run_times.ObserveRunning(MakeKey(1), stated, elapsed);
        const milliseconds remaining =
            run_times.Remaining(MakeKey(1), longest, elapsed);
        EXPECT_GE(remaining, milliseconds(0));
        EXPECT_LE(remaining, longest);
      }
      EXPECT_GE(run_times.Expected(MakeKey(1), longest), longest / 10);
      EXPECT_LE(run_times.Expected(MakeKey(1), longest), longest);
      EXPECT_LE(run_times.Expected(MakeKey(1), milliseconds(1)),
                milliseconds(10));
    }
  }
}

}  // namespace
}  // namespace mimosastage::jobs
