#include "mimosastage/routing/backend_server_directory.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <random>

namespace mimosastage {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class BackendServerDirectoryTest : public ::testing::Test {
 protected:
  static Announcement Make(int number, const char* pool = "p",
                           std::uint64_t epoch = 1, bool departing = false) {
    return {BackendServerName("server-" + std::to_string(number)),
            "127.0.0.1",
            static_cast<std::uint16_t>(1 + number),
            PoolName(pool),
            AvailabilityZone("zone"),
            epoch,
            8,
            64,
            departing};
  }

  std::error_code Announce(const Announcement& announcement) {
    const auto result = this->directory.OnAnnouncement(announcement, this->now);
    return result ? std::error_code() : result.error();
  }

  AnnouncementDelta TakeDelta(BackendServerDirectory& of) const {
    of.Expire(this->now);
    return of.TakeDelta(this->now);
  }

  TimePoint now{seconds(1'000)};
  BackendServerDirectory directory;
};

// Guards against an instance that two pools use after a move, and against an
// invalid announcement that is forwarded to all daemons.
TEST_F(BackendServerDirectoryTest, OnAnnouncement_ContradictsEpoch_IsRefused) {
  ASSERT_FALSE(this->Announce(Make(1, "old", 3)));
  EXPECT_EQ(this->Announce(Make(1, "new", 3)), AnnouncementError::kOtherPool);
  EXPECT_EQ(this->Announce(Make(1, "old", 2)), AnnouncementError::kOldEpoch);
  EXPECT_FALSE(this->Announce(Make(1, "new", 4)));
  EXPECT_TRUE(this->directory.ServersOf(PoolName("old")).empty());
  EXPECT_EQ(this->directory.ServersOf(PoolName("new")).size(), 1U);
  this->directory.RequireMembership(Make(1).name, PoolName("other"), 5);
  EXPECT_EQ(this->directory.Find(Make(1).name), nullptr);
  EXPECT_EQ(this->Announce(Make(1, "new", 4)), AnnouncementError::kOldEpoch);
  EXPECT_EQ(this->Announce(Make(1, "new", 9)), AnnouncementError::kOtherPool);
  EXPECT_FALSE(this->Announce(Make(1, "other", 5)));
  Announcement invalid = Make(2);
  invalid.address = "localhost";
  EXPECT_EQ(this->Announce(invalid), AnnouncementError::kInvalidField);
}

// Guards against new requests for a departing or expired server, and against a
// server that stays absent after this daemon was suspended.
TEST_F(BackendServerDirectoryTest, ServersOf_DepartingOrAbsent_LeavesThemOut) {
  this->Announce(Make(1));
  this->Announce(Make(2));
  this->Announce(Make(2, "p", 1, true));
  ASSERT_EQ(this->directory.ServersOf(PoolName("p")).size(), 1U);
  this->now += milliseconds(2'999);
  EXPECT_TRUE(this->directory.Expire(this->now).empty());
  this->now += milliseconds(1);
  this->directory.TakeDelta(this->now);
  EXPECT_EQ(this->directory.Expire(this->now).size(), 2U);
  EXPECT_TRUE(this->directory.ServersOf(PoolName("p")).empty());
  EXPECT_EQ(this->directory.TakeDelta(this->now).gone.size(), 2U);
  this->directory.OnDelta(DaemonId{1}, {{}, {Make(1).name}, {}}, this->now);
  EXPECT_EQ(this->directory.ServersOf(PoolName("p")).size(), 1U);
}

// Guards against the removal of servers that still announce themselves to
// another daemon, because one daemon lost its connection to them.
TEST_F(BackendServerDirectoryTest, OnDelta_GoneFromOtherDaemon_IsIgnored) {
  const Announcement server = Make(1);
  this->directory.OnDelta(DaemonId{1}, {{server}, {}, {}}, this->now);
  this->directory.OnDelta(DaemonId{2}, {{}, {server.name}, {}}, this->now);
  this->directory.OnDelta(DaemonId{1}, {{}, {}, {server.name}}, this->now);
  EXPECT_NE(this->directory.Find(server.name), nullptr);
  this->directory.OnDelta(DaemonId{2}, {{}, {}, {server.name}}, this->now);
  EXPECT_EQ(this->directory.Find(server.name), nullptr);
}

// Guards against more than 8 announcements per second at one daemon.
TEST_F(BackendServerDirectoryTest, NextInterval_ManyServers_Grows) {
  for (int i = 0; i < 80; ++i) {
    this->Announce(Make(i));
  }
  EXPECT_EQ(this->directory.NextInterval(), seconds(10));
  this->now += seconds(31);
  this->directory.Expire(this->now);
  EXPECT_EQ(this->directory.NextInterval(), seconds(1));
}

// Guards against directories that differ permanently after deltas were lost: a
// departing server would go on getting requests from one of the daemons.
TEST_F(BackendServerDirectoryTest, Deltas_LostAtRandom_DirectoriesConverge) {
  constexpr int kDaemons = 3;
  for (std::uint64_t seed = 0; seed < 200; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    std::mt19937_64 random(seed);
    std::array<BackendServerDirectory, kDaemons> daemons;
    std::vector<Announcement> servers;
    servers.reserve(10);
    for (int i = 0; i < 10; ++i) {
      servers.push_back(Make(i));
    }
    for (int second = 0; second < 60; ++second) {
      const bool lossy = second < 40;
      this->now += seconds(1);
      for (Announcement& server : servers) {
        const std::uint64_t change = lossy ? random() % 20 : 20;
        server.departing = change == 0 ? !server.departing : server.departing;
        server.instance_epoch += change == 1 ? 1 : 0;
        server.pool = change == 1 ? PoolName("q") : server.pool;
        const std::size_t daemon = server.port % kDaemons;
        EXPECT_TRUE(daemons[daemon].OnAnnouncement(server, this->now));
      }
      for (int from = 0; from < kDaemons; ++from) {
        const std::string bytes =
            EncodeAnnouncementDelta(TakeDelta(daemons[from]));
        const AnnouncementDelta delta = *DecodeAnnouncementDelta(bytes);
        for (int to = 0; to < kDaemons; ++to) {
          if (to != from && !(lossy && random() % 3 == 0)) {
            daemons[to].OnDelta(DaemonId{static_cast<std::uint16_t>(from)},
                                delta, this->now);
          }
        }
      }
    }
    for (const BackendServerDirectory& daemon : daemons) {
      for (const Announcement& server : servers) {
        ASSERT_NE(daemon.Find(server.name), nullptr);
        EXPECT_EQ(*daemon.Find(server.name), server);
        const auto of_pool = daemon.ServersOf(server.pool);
        EXPECT_EQ(std::count(of_pool.begin(), of_pool.end(),
                             daemon.Find(server.name)),
                  server.departing ? 0 : 1);
      }
    }
  }
}

// Guards against corrupted messages that crash a daemon or cause out-of-bounds
// reads.
TEST_F(BackendServerDirectoryTest, Decode_DamagedBytes_ErrorOrSafeValue) {
  const AnnouncementDelta delta{
      {Make(1), Make(2)}, {Make(3).name}, {Make(4).name}, seconds(2)};
  const std::string bytes = EncodeAnnouncementDelta(delta);
  EXPECT_EQ(*DecodeAnnouncementDelta(bytes), delta);
  std::mt19937_64 random(3);
  int refused = 0;
  for (int i = 0; i < 20'000; ++i) {
    std::string damaged = bytes.substr(0, 1 + random() % bytes.size());
    damaged[random() % damaged.size()] = static_cast<char>(random());
    refused += DecodeAnnouncementDelta(damaged) ? 0 : 1;
  }
  EXPECT_GT(refused, 0);
  EXPECT_FALSE(DecodeAnnouncementDelta(""));
}

}  // namespace
}  // namespace mimosastage
