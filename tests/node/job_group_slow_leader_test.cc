#include <gtest/gtest.h>

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>

#include "tests/node/support/job_group.h"
#include "tests/node/support/job_traffic.h"

namespace mimosastage {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A group whose leader gets the answers to its heartbeats later than its
/// authority lasts, and sooner than a voter takes another one for lost.
class JobGroupSlowLeaderTest : public ::testing::Test {
 protected:
  /// One way; authority lasts 270 ms from the sending of a heartbeat, and a
  /// voter suspects a leader after 600 ms or more.
  static constexpr milliseconds kDelay{200};

  JobGroupSlowLeaderTest() {
    this->settings.voters = 3;
    this->settings.workers = 6;
    this->settings.seed = 1;
    this->settings.trace = [this](const std::string& line) {
      this->lapses += line.find(" run_ended ") != std::string::npos &&
                              line.find("outcome 3") != std::string::npos
                          ? 1
                          : 0;
    };
  }

  JobGroup::Settings settings;
  std::size_t lapses = 0;
};

// Guards against a leader that may not decide and isn't replaced: no worker's
// lease is renewed, no task starts and no call is served, until it is faster.
TEST_F(JobGroupSlowLeaderTest, HeartbeatsAreAnsweredLate_AnotherLeaderServes) {
  JobGroup group(this->settings);
  JobTraffic::Settings traffic_settings;
  traffic_settings.seed = 1;
  traffic_settings.job_interval = milliseconds(300);
  JobTraffic traffic(traffic_settings, group);
  group.Run(seconds(10));
  const std::optional<std::size_t> slow = group.Leader();
  ASSERT_TRUE(slow.has_value());
  group.DelayLinks(*slow, kDelay);
  group.Run(seconds(3));
  const std::size_t starts = group.rules.Starts();
  group.Run(seconds(7));
  EXPECT_NE(group.Leader(), slow);
  EXPECT_GT(group.rules.Starts(), starts);
  EXPECT_EQ(this->lapses, 0U);
  traffic.EndSubmissions();
  group.Run(seconds(30));
  EXPECT_EQ(group.rules.Violation(), "");
  for (const auto& [id, job] : group.rules.Jobs()) {
    EXPECT_FALSE(JobRules::IsOpen(job)) << id;
  }
}

// Guards against a leader that regains its authority for moments only, so that
// it is never replaced, and hardly renews a lease or serves a call (AVAIL).
TEST_F(JobGroupSlowLeaderTest, AuthorityIsLackedMostly_AnotherLeaderServes) {
  JobGroup group(this->settings);
  group.Run(seconds(10));
  const std::optional<std::size_t> slow = group.Leader();
  ASSERT_TRUE(slow.has_value());
  for (int i = 0; i < 16; ++i) {
    group.DelayLinks(*slow, kDelay);
    group.Run(milliseconds(500));
    group.DelayLinks(*slow, milliseconds(0));
    group.Run(milliseconds(200));
  }
  EXPECT_NE(group.Leader(), slow);
  EXPECT_EQ(group.rules.Violation(), "");
}

}  // namespace
}  // namespace mimosastage
