#include "mimosastage/node/authority_watch.h"

#include <gtest/gtest.h>

#include <chrono>
#include <optional>

namespace mimosastage {
namespace {

using std::chrono::milliseconds;

class AuthorityWatchTest : public ::testing::Test {
 protected:
  static constexpr milliseconds kTurn{10};

  /// Turns for `time`; returns the gap that ended last.
  std::optional<Duration> Turn(bool has_authority, milliseconds time) {
    std::optional<Duration> ended;
    for (milliseconds passed{0}; passed < time; passed += kTurn) {
      this->now += kTurn;
      if (const auto gap = this->watch.OnTurn(has_authority, this->now);
          gap.has_value()) {
        ended = gap;
      }
    }
    return ended;
  }

  AuthorityWatch watch;
  TimePoint now{std::chrono::hours(1)};
};

TEST_F(AuthorityWatchTest, AuthorityIsKept_NothingLacks) {
  EXPECT_EQ(this->Turn(true, milliseconds(500)), std::nullopt);
  EXPECT_EQ(this->watch.Gap(this->now), Duration(0));
  EXPECT_EQ(this->watch.Lacked(), Duration(0));
}

TEST_F(AuthorityWatchTest, AuthorityIsRegained_GapIsTold) {
  this->Turn(true, milliseconds(100));
  this->Turn(false, milliseconds(300));
  EXPECT_EQ(this->watch.Gap(this->now), milliseconds(290));
  EXPECT_EQ(this->Turn(true, milliseconds(10)), milliseconds(300));
  EXPECT_EQ(this->watch.Gap(this->now), Duration(0));
}

TEST_F(AuthorityWatchTest, GapsWithShortBreaks_AddUp) {
  for (int i = 0; i < 4; ++i) {
    this->Turn(false, milliseconds(250));
    this->Turn(true, milliseconds(50));
  }
  EXPECT_EQ(this->watch.Gap(this->now), Duration(0));
  EXPECT_GE(this->watch.Lacked(), milliseconds(750));
  EXPECT_LE(this->watch.Lacked(), milliseconds(850));
}

TEST_F(AuthorityWatchTest, GapsWithLongBreaks_DoNotAddUp) {
  for (int i = 0; i < 20; ++i) {
    this->Turn(false, milliseconds(250));
    this->Turn(true, milliseconds(300));
  }
  EXPECT_EQ(this->watch.Lacked(), Duration(0));
}

// A process that stood still can't have lacked an answer meanwhile.
TEST_F(AuthorityWatchTest, NoTurnsForALongTime_LacksNothing) {
  this->Turn(true, milliseconds(100));
  this->now += std::chrono::seconds(5);
  this->Turn(false, milliseconds(100));
  EXPECT_LE(this->watch.Lacked(), milliseconds(100));
}

}  // namespace
}  // namespace mimosastage
