#include <gtest/gtest.h>

#include <random>
#include <vector>

#include "bench/serving/serving_driver.h"

namespace mimosastage::bench {
namespace {

Team MakeTeam(const std::string& name, std::uint32_t share,
              std::uint32_t limit) {
  return {TeamName(name), share, limit};
}

class ServingFleetTest : public ::testing::Test {
 protected:
  int Draw(int end) {
    return std::uniform_int_distribution<int>(0, end - 1)(this->random);
  }

  /// Adds random load for `length`. In half of the runs requests are cancelled
  /// up to twice, around their start or their end.
  void AddLoad(ServingDriver& driver, int teams, seconds length) {
    const bool with_cancels = this->Draw(2) == 0;
    const int requests = 100 + this->Draw(300);
    for (int i = 0; i < requests; ++i) {
      const milliseconds at(
          this->Draw(static_cast<int>(milliseconds(length).count())));
      const LoadRequest load{this->Draw(9),
                             0,
                             this->Draw(teams),
                             this->Draw(3),
                             this->Draw(5) == 0,
                             milliseconds(1 + this->Draw(600)),
                             milliseconds(100 + this->Draw(900))};
      const int cancels = with_cancels ? this->Draw(3) : 0;
      const milliseconds cancel_after(this->Draw(300));
      driver.At(driver.now() + at, [&driver, load, cancels, cancel_after] {
        const std::uint64_t id = driver.Submit(load);
        for (int k = 0; k < cancels; ++k) {
          driver.At(driver.now() + cancel_after,
                    [&driver, id] { driver.Cancel(id); });
        }
      });
    }
  }

  void AddFaults(ServingDriver& driver, seconds length) {
    const int faults = this->Draw(8);
    for (int i = 0; i < faults; ++i) {
      const milliseconds at(
          this->Draw(static_cast<int>(milliseconds(length).count())));
      const int entry = this->Draw(9);
      const milliseconds gap(600 + this->Draw(6000));
      switch (this->Draw(4)) {
        case 0:
          driver.At(driver.now() + at,
                    [&driver, entry] { driver.Restart(entry); });
          break;
        case 1:
          driver.At(driver.now() + at,
                    [&driver, entry] { driver.SetPartitioned(entry, true); });
          driver.At(driver.now() + at + gap,
                    [&driver, entry] { driver.SetPartitioned(entry, false); });
          break;
        case 2:
          driver.At(driver.now() + at, [&driver, gap] {
            if (driver.Lender() != nullptr) {
              driver.ChangeLeader(gap / 4);
            }
          });
          break;
        default:
          driver.At(driver.now() + at, [&driver, limit = 1 + this->Draw(12)] {
            driver.SetLimit(0, static_cast<std::uint32_t>(limit));
          });
      }
    }
  }

  /// Keeps requests of the team waiting at one entry for `length`. Returns the
  /// maximum number that ran at once in the last second.
  static std::uint32_t LoneTeamPeak(ServingDriver& driver, int entry, int team,
                                    seconds length) {
    std::uint32_t peak = 0;
    const TimePoint end = driver.now() + length;
    for (TimePoint at = driver.now(); at < end; at += milliseconds(20)) {
      driver.At(at, [&driver, &peak, entry, team, at, end] {
        for (int i = 0; i < 40 && driver.Waiting(entry, 0) < 40; ++i) {
          driver.Submit({entry, 0, team, 0, false, milliseconds(100),
                         milliseconds(1000)});
        }
        if (at > end - seconds(1)) {
          peak = std::max(peak, driver.Running(team));
        }
      });
    }
    driver.RunUntil(end + seconds(2));
    return peak;
  }

  std::mt19937 random;
};

// Guards against a team above its limit, a server above its slots, units that
// are released twice and units that are lost permanently, under delayed, lost
// and reordered messages, restarts, partitioned entries, leader changes,
// changed limits and many cancellations. The driver counts running requests
// independently, with one counter for each team and server.
TEST_F(ServingFleetTest, RandomFaults_ManySeeds_KeepLimitsAndLoseNoUnit) {
  for (std::uint64_t seed = 0; seed < 2000; ++seed) {
    this->random.seed(seed);
    DriverOptions options;
    options.servers_per_pool = 3;
    options.zones = 3;
    options.seed = seed;
    options.loss = this->Draw(3) * 0.1;
    options.max_delay = milliseconds(2 + this->Draw(150));
    options.longest_deadline = seconds(1);
    options.encode = seed % 10 == 0;
    options.teams = {MakeTeam("a", 1, 1 + this->Draw(12)),
                     MakeTeam("b", 2, 1 + this->Draw(8)), MakeTeam("c", 3, 24)};
    ServingDriver driver(options);
    this->AddLoad(driver, 3, seconds(10));
    this->AddFaults(driver, seconds(10));
    driver.RunUntil(driver.now() + seconds(20));
    ASSERT_TRUE(driver.violations().empty())
        << "seed " << seed << ": " << driver.violations().front();
    // Without message loss, one entry can use the whole limit. With loss, a
    // session may end and be replaced at any time.
    driver.SetLoss(0);
    const int entry = this->Draw(9);
    ASSERT_EQ(LoneTeamPeak(driver, entry, 2, seconds(8)), 24U)
        << "seed " << seed;
    ASSERT_TRUE(driver.violations().empty()) << "seed " << seed;
  }
}

// Guards against units of a small limit that stay at an idle entry while
// another entry needs them.
TEST_F(ServingFleetTest, LoneTeam_AnyLimitFromAnyEntry_ReachesItsLimit) {
  DriverOptions options;
  for (std::uint32_t limit = 1; limit <= 8; ++limit) {
    options.teams.push_back(MakeTeam("t" + std::to_string(limit), 1, limit));
  }
  options.teams.push_back(MakeTeam("large", 1, 60));
  ServingDriver driver(options);
  driver.RunUntil(driver.now() + seconds(2));
  for (int team = 0; team < 9; ++team) {
    for (const int entry : {team % 9, (team + 4) % 9}) {
      EXPECT_EQ(LoneTeamPeak(driver, entry, team, seconds(3)),
                options.teams[static_cast<std::size_t>(team)].upper_limit)
          << "entry " << entry;
    }
  }
}

// Guards against an entry that keeps the unit of a limit of 1 while the others
// wait for it.
TEST_F(ServingFleetTest, LimitOfOne_AllEntriesWait_EachIsServed) {
  DriverOptions options;
  options.teams = {MakeTeam("one", 1, 1)};
  ServingDriver driver(options);
  for (int entry = 0; entry < 9; ++entry) {
    for (int i = 0; i < 1500; ++i) {
      driver.At(driver.now() + seconds(1) + milliseconds(20 * i), [&driver,
                                                                   entry] {
        if (driver.Waiting(entry, 0) < 5) {
          driver.Submit({entry, 0, 0, 0, false, milliseconds(50), seconds(30)});
        }
      });
    }
  }
  driver.RunUntil(driver.now() + seconds(31));
  for (int entry = 0; entry < 9; ++entry) {
    EXPECT_GT(driver.StartedAt(entry), 20U) << entry;
  }
  // 600 requests of 50 ms fit into 30 s if moving the unit between entries
  // takes no time.
  EXPECT_GT(driver.Result(0).useful, 360U);
}

// Guards against shares that depend on the number of entries that a team uses
// or on its number of clients. Tolerance: 10%.
TEST_F(ServingFleetTest, FullPool_TeamsAtDifferentEntries_ReachTheirShares) {
  DriverOptions options;
  options.teams = {MakeTeam("one_entry", 1, 96), MakeTeam("all", 1, 96),
                   MakeTeam("three", 2, 96), MakeTeam("modest", 4, 10)};
  const std::vector<int> spread = {1, 9, 3, 9};
  ServingDriver driver(options);
  this->random.seed(5);
  for (int i = 0; i < 60'000; ++i) {
    const int team = i % 4;
    const LoadRequest load{this->Draw(spread[static_cast<std::size_t>(team)]),
                           0,
                           team,
                           this->Draw(6),
                           false,
                           milliseconds(50 + this->Draw(100)),
                           seconds(4)};
    driver.At(driver.now() + seconds(1) + std::chrono::microseconds(i * 300),
              [&driver, load] { driver.Submit(load); });
  }
  driver.RunUntil(driver.now() + seconds(6));
  std::vector<double> before;
  before.reserve(4);
  for (int team = 0; team < 4; ++team) {
    before.push_back(driver.Result(team).slot_seconds);
  }
  driver.RunUntil(driver.now() + seconds(10));
  // 96 slots for 10 s are 960 slot seconds: "modest" gets 100 by its limit of
  // 10, the rest is shared 1:1:2.
  const std::vector<double> entitled = {215, 215, 430, 100};
  for (std::size_t team = 0; team < 4; ++team) {
    const double received =
        driver.Result(static_cast<int>(team)).slot_seconds - before[team];
    EXPECT_NEAR(received / entitled[team], 1, 0.1)
        << options.teams[team].name.str();
  }
  EXPECT_TRUE(driver.violations().empty());
}

}  // namespace
}  // namespace mimosastage::bench
