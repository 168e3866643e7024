#include "mimosastage/jobs/demand_forecast.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace mimosastage::jobs {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Trend = DemandOutlook::Trend;

constexpr milliseconds kStep{10};
/// A job occupies 36 cores for 1 s.
const AcceptedWork kWork{Occupation{36'000, 8'000}, milliseconds(1'000)};
constexpr milliseconds kHorizon{1'800};
constexpr milliseconds kTurn{4'500};

/// Submits jobs as a Poisson process for each pool.
class DemandForecastTest : public ::testing::Test {
 protected:
  void Run(Duration time, const std::map<std::string, double>& jobs_per_second,
           const AcceptedWork& work = kWork) {
    const TimePoint end = this->now + time;
    while (this->now < end) {
      for (const auto& [pool, rate] : jobs_per_second) {
        const double mean = rate * std::chrono::duration<double>(kStep).count();
        for (int n = std::poisson_distribution<int>(mean)(this->random); n > 0;
             --n) {
          this->forecast.OnAccepted(pool, work, this->now);
        }
      }
      this->now += kStep;
      if (this->now.time_since_epoch() % milliseconds(100) == Duration(0)) {
        this->forecast.Update(this->now);
      }
    }
  }

  /// Gives each of the pools in turn a peak.
  void Rotate(const std::vector<std::string>& turns, Duration length = kTurn) {
    for (const std::string& turn : turns) {
      this->RunTurn(turn, length);
    }
  }

  void RunTurn(const std::string& turn, Duration length) {
    std::map<std::string, double> rates;
    for (const std::string& pool : this->pools) {
      rates[pool] = pool == turn ? this->peak_rate : 1;
    }
    this->Run(length, rates);
  }

  DemandOutlook Outlook(const std::string& pool) const {
    return this->forecast.OutlookOf(pool, this->now, kHorizon);
  }

  double ExpectedCores(const std::string& pool) const {
    return this->Outlook(pool).expected.millicores / 1'000;
  }

  double PromisedCores(const std::string& pool) const {
    return this->Outlook(pool).promised.millicores / 1'000;
  }

  /// Time from now until the predicted onset, or the longest time.
  milliseconds TimeToOnset(const std::string& pool) const {
    const auto onset = this->forecast.PredictedOnset(pool, this->now);
    return onset.has_value() ? duration_cast<milliseconds>(*onset - this->now)
                             : milliseconds::max();
  }

  std::mt19937 random{7};
  TimePoint now{std::chrono::hours(1)};
  double peak_rate = 100;
  std::vector<std::string> pools{"a", "b", "c", "d"};
  DemandForecast forecast{DemandForecast::Config{}, this->now};
};

TEST_F(DemandForecastTest, Outlook_ConstantArrivals_IsRateTimesWork) {
  this->Run(seconds(10), {{"a", 20}});
  EXPECT_EQ(this->Outlook("a").trend, Trend::kSteady);
  // 20 jobs a second of 36 core-seconds, and three standard deviations of the
  // 40 jobs that are counted.
  EXPECT_NEAR(this->ExpectedCores("a"), 720, 340);
  EXPECT_NEAR(this->Outlook("a").expected.memory_mb, 160'000, 76'000);
  EXPECT_EQ(this->PromisedCores("a"), 0);
}

// Guards against a pool that grows only once tasks wait: with a move of 1.5 s
// the instances would arrive after a third of the peak.
TEST_F(DemandForecastTest, Outlook_ArrivalsRise_ExpectsThePeakWithin400Ms) {
  this->Run(seconds(5), {{"a", 1}});
  this->Run(milliseconds(400), {{"a", 100}});
  EXPECT_EQ(this->Outlook("a").trend, Trend::kPeak);
  // Three standard deviations of 40 jobs.
  EXPECT_NEAR(this->ExpectedCores("a"), 3'600, 1'700);
}

// The same for a queue whose peak has five jobs in 300 ms.
TEST_F(DemandForecastTest, Outlook_FewLargeJobs_PeakIsDetectedWithin1S) {
  const AcceptedWork large{Occupation{80'000, 8'000}, milliseconds(3'500)};
  this->Run(seconds(5), {{"a", 0.2}}, large);
  this->Run(seconds(1), {{"a", 17}}, large);
  EXPECT_EQ(this->Outlook("a").trend, Trend::kPeak);
  this->Run(seconds(3), {{"a", 17}}, large);
  EXPECT_EQ(this->Outlook("a").trend, Trend::kPeak);
}

// Guards against instances that a pool keeps after its peak until another pool
// misses them.
TEST_F(DemandForecastTest, Outlook_ArrivalsStop_FallsWithin400Ms) {
  this->Run(seconds(5), {{"a", 1}});
  this->Run(kTurn, {{"a", 100}});
  this->Run(milliseconds(400), {{"a", 1}});
  EXPECT_EQ(this->Outlook("a").trend, Trend::kFalling);
  EXPECT_LT(this->ExpectedCores("a"), 360);
  const auto in_200_ms =
      this->forecast.OutlookOf("a", this->now, milliseconds(200));
  // The jobs of the peak's last 400 ms still run; three standard deviations of
  // 40 jobs.
  EXPECT_NEAR(in_200_ms.expected.millicores / 1'000, 1'440, 700);
  this->Run(seconds(6), {{"a", 1}});
  EXPECT_EQ(this->Outlook("a").trend, Trend::kSteady);
}

// Guards against false onsets and ends by the chance of single arrivals, each
// of which moves instances.
TEST_F(DemandForecastTest, Outlook_ConstantArrivals_NoChangeIsDetected) {
  for (const double rate : {0.2, 1.4, 17.0, 100.0}) {
    DemandForecast steady(DemandForecast::Config{}, this->now);
    std::swap(this->forecast, steady);
    for (int i = 0; i < 600; ++i) {
      this->Run(milliseconds(100), {{"a", rate}});
      ASSERT_NE(this->Outlook("a").trend, Trend::kPeak) << rate << " " << i;
      ASSERT_NE(this->Outlook("a").trend, Trend::kFalling) << rate;
    }
  }
}

// Guards against a pool that gives its instances away in the middle of a peak
// because clients paused for a moment.
TEST_F(DemandForecastTest, Outlook_ShortPauseInPeak_PeakGoesOn) {
  this->Run(seconds(5), {{"a", 1}});
  this->Run(seconds(2), {{"a", 100}});
  this->Run(milliseconds(400), {{"a", 0}});
  EXPECT_EQ(this->Outlook("a").trend, Trend::kFalling);
  this->Run(milliseconds(400), {{"a", 100}});
  EXPECT_EQ(this->Outlook("a").trend, Trend::kPeak);
}

TEST_F(DemandForecastTest, Outlook_NewLeader_IsUnknown) {
  this->Run(milliseconds(1'500), {{"a", 50}});
  EXPECT_EQ(this->Outlook("a").trend, Trend::kUnknown);
  EXPECT_EQ(this->Outlook("never seen").trend, Trend::kUnknown);
}

// Guards against a permanent increase that counts as a peak: each later
// increase would go unnoticed.
TEST_F(DemandForecastTest, Outlook_IncreaseLasts_BecomesSteady) {
  this->Run(seconds(5), {{"a", 4}});
  this->Run(seconds(17), {{"a", 40}});
  EXPECT_EQ(this->Outlook("a").trend, Trend::kSteady);
  // Three standard deviations of 80 jobs.
  EXPECT_NEAR(this->ExpectedCores("a"), 1'440, 480);
  this->Run(milliseconds(500), {{"a", 200}});
  EXPECT_EQ(this->Outlook("a").trend, Trend::kPeak);
}

// Guards against a second turn that is as short of instances as the first one:
// a day has only two turns of each queue.
TEST_F(DemandForecastTest, Promise_AllPoolsHadOneTurn_FirstPoolIsNext) {
  this->RunTurn("", seconds(3));
  this->Rotate({"a", "b", "c"});
  EXPECT_EQ(this->TimeToOnset("a"), milliseconds::max());
  this->RunTurn("d", seconds(3));
  EXPECT_NEAR(static_cast<double>(this->TimeToOnset("a").count()), 1'500, 300);
  EXPECT_EQ(this->TimeToOnset("b"), milliseconds::max());
  EXPECT_NEAR(this->PromisedCores("a"), 1'800, 1'000);
  this->RunTurn("d", milliseconds(1'200));
  EXPECT_NEAR(this->PromisedCores("a"), 3'600, 700);
}

TEST_F(DemandForecastTest, Promise_SecondRotation_FollowsTheOrder) {
  this->RunTurn("", seconds(3));
  this->Rotate({"a", "b", "c", "d", "a"});
  EXPECT_LT(std::abs(this->TimeToOnset("b").count()), 300);
  EXPECT_NEAR(static_cast<double>(this->TimeToOnset("c").count()), 4'500, 300);
  EXPECT_NEAR(static_cast<double>(this->TimeToOnset("d").count()), 9'000, 300);
  EXPECT_GT(this->PromisedCores("b"), 2'900);
  EXPECT_EQ(this->PromisedCores("c"), 0);
  this->RunTurn("b", milliseconds(600));
  EXPECT_EQ(this->Outlook("b").trend, Trend::kPeak);
  // What has arrived replaces what was promised.
  EXPECT_EQ(this->PromisedCores("b"), 0);
  EXPECT_NEAR(this->ExpectedCores("b"), 3'600, 700);
}

// Guards against instances that are kept for a queue that never rises again.
TEST_F(DemandForecastTest, Promise_OnsetFailsToCome_IsDroppedAfterHalfATurn) {
  this->RunTurn("", seconds(3));
  this->Rotate({"a", "b", "c", "d", "a"});
  this->RunTurn("", seconds(2));
  EXPECT_GT(this->PromisedCores("b"), 2'900);
  this->RunTurn("", milliseconds(700));
  EXPECT_EQ(this->PromisedCores("b"), 0);
  // The others keep their order.
  EXPECT_NEAR(static_cast<double>(this->TimeToOnset("c").count()), 1'800, 300);
}

// A queue that never rises again leaves the order once it was left out.
TEST_F(DemandForecastTest, Promise_PoolLeavesTheRotation_OthersFollow) {
  this->RunTurn("", seconds(3));
  this->Rotate({"a", "b", "c", "d", "a", "", "c", "d", "a"});
  EXPECT_EQ(this->TimeToOnset("b"), milliseconds::max());
  EXPECT_NEAR(static_cast<double>(this->TimeToOnset("c").count()), 4'500, 400);
}

// Guards against memory that grows with names of pools or with time.
TEST_F(DemandForecastTest, OnAccepted_ManyPools_LeastRecentOneIsForgotten) {
  this->Run(seconds(3), {{"old", 20}});
  for (int i = 0; i < 100; ++i) {
    this->now += milliseconds(1);
    this->forecast.OnAccepted("pool-" + std::to_string(i), kWork, this->now);
  }
  this->forecast.Update(this->now);
  EXPECT_EQ(this->Outlook("old").trend, Trend::kUnknown);
  EXPECT_EQ(this->Outlook("pool-99").trend, Trend::kSteady);
}

// Guards against times and amounts that callers choose: they must not index
// outside of the slots.
TEST_F(DemandForecastTest, OnAccepted_ExtremeEstimates_AreBounded) {
  this->Run(seconds(3), {{"a", 1}});
  const AcceptedWork longest{Occupation{1e17, 1e17},
                             std::chrono::hours(24 * 365 * 200)};
  this->forecast.OnAccepted("a", longest, this->now);
  this->forecast.OnAccepted(
      "a", AcceptedWork{Occupation{0, 0}, milliseconds(0)}, this->now);
  this->forecast.Update(this->now);
  EXPECT_GT(this->ExpectedCores("a"), 1e13);
  this->now += std::chrono::hours(1);
  this->forecast.Update(this->now);
  EXPECT_EQ(this->ExpectedCores("a"), 0);
}

}  // namespace
}  // namespace mimosastage::jobs
