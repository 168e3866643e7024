#include "mimosastage/replication/replica.h"

#include <gtest/gtest.h>

#include <chrono>

#include "tests/replication/support/replication_group.h"

namespace mimosastage {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class ReplicaTest : public ::testing::Test {
 protected:
  bool CommitEverywhere(int count) {
    const LogIndex target = this->group.Accepted() + count;
    for (int i = 0; i < count; ++i) {
      this->group.RunUntil([this] { return this->group.Leader().has_value(); },
                           seconds(10));
      this->group.Propose(*this->group.Leader());
      this->group.Run(milliseconds(5));
    }
    return this->group.RunUntil(
        [&] {
          for (std::size_t i = 0; i < this->group.Size(); ++i) {
            if (this->group.Running(i) && this->group.Applied(i) < target) {
              return false;
            }
          }
          return true;
        },
        seconds(10));
  }

  ReplicationGroup group{3, 2, 1};
};

// Guards against a group that elects no leader or commits nothing.
TEST_F(ReplicaTest, Propose_NoFaults_ReachesEveryDaemon) {
  EXPECT_TRUE(this->CommitEverywhere(100));
  EXPECT_EQ(this->group.Violation(), "");
  for (std::size_t i = 0; i < this->group.Size(); ++i) {
    EXPECT_TRUE(this->group.LeaseValid(i)) << "daemon " << i;
  }
}

// Guards against a leader that never has the authority to answer reads or send
// orders.
TEST_F(ReplicaTest, HasAuthority_NoFaults_OneVoterHasIt) {
  ASSERT_TRUE(this->CommitEverywhere(10));
  std::size_t holders = 0;
  for (std::size_t i = 0; i < this->group.Voters(); ++i) {
    holders += this->group.HasAuthority(i) ? 1 : 0;
  }
  EXPECT_EQ(holders, 1U);
}

// A partitioned leader must stop answering reads before another is elected.
TEST_F(ReplicaTest, HasAuthority_LeaderIsCutOff_EndsWithin300Ms) {
  ASSERT_TRUE(this->CommitEverywhere(10));
  const std::size_t leader = *this->group.Leader();
  for (std::size_t i = 0; i < this->group.Size(); ++i) {
    if (i != leader) {
      this->group.Partition(leader, i, true);
    }
  }
  this->group.Run(milliseconds(300));
  EXPECT_FALSE(this->group.HasAuthority(leader));
}

// Guards against a planned stop after which the others wait for the whole view
// change timeout.
TEST_F(ReplicaTest, Resign_OtherVotersHearNothing_NextLeaderWithin600Ms) {
  ASSERT_TRUE(this->CommitEverywhere(10));
  const std::size_t leader = *this->group.Leader();
  this->group.Resign(leader);
  EXPECT_TRUE(this->group.RunUntil(
      [&] {
        const auto next = this->group.Leader();
        return next.has_value() && *next != leader;
      },
      milliseconds(600)));
}

// Guards against a view change that takes longer than the limit of 1.5 s.
TEST_F(ReplicaTest, Leader_Crashes_ReplacedWithin1500Ms) {
  ASSERT_TRUE(this->CommitEverywhere(10));
  this->group.Crash(*this->group.Leader());
  EXPECT_TRUE(this->group.RunUntil(
      [this] { return this->group.Leader().has_value(); }, milliseconds(1500)));
  EXPECT_TRUE(this->CommitEverywhere(10));
  EXPECT_EQ(this->group.Violation(), "");
}

// Guards against an interruption of serving while the leader is replaced: the
// leases of the other daemons must stay valid until the new leader grants new
// ones.
TEST_F(ReplicaTest, Lease_LeaderCrashes_StaysValidOnOthers) {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    ReplicationGroup group(3, 3, seed);
    const auto all_valid = [&] {
      for (std::size_t i = 0; i < group.Size(); ++i) {
        if (group.Running(i) && !group.LeaseValid(i)) {
          return false;
        }
      }
      return true;
    };
    ASSERT_TRUE(group.RunUntil(all_valid, seconds(5)));
    group.Run(milliseconds(1000 + seed * 7 % 500));
    group.Crash(*group.Leader());
    EXPECT_FALSE(group.RunUntil([&] { return !all_valid(); }, seconds(5)))
        << "seed " << seed;
  }
}

// Guards against a leader that stays leader without a quorum.
TEST_F(ReplicaTest, Leader_LosesQuorum_StepsDown) {
  ASSERT_TRUE(this->CommitEverywhere(1));
  const std::size_t leader = *this->group.Leader();
  for (std::size_t i = 0; i < this->group.Size(); ++i) {
    this->group.Partition(leader, i, i != leader);
  }
  this->group.Run(milliseconds(1000));
  EXPECT_FALSE(this->group.VoterAt(leader)->IsLeader());
  EXPECT_FALSE(this->group.Propose(leader));
}

// Guards against a voter that returns from a long partition and forces a view
// change although the leader is healthy.
TEST_F(ReplicaTest, Voter_ReturnsFromLongPartition_LeaderStays) {
  ASSERT_TRUE(this->CommitEverywhere(1));
  const std::size_t leader = *this->group.Leader();
  const ViewNumber view = this->group.VoterAt(leader)->View();
  const std::size_t away = (leader + 1) % 3;
  for (int round = 0; round < 20; ++round) {
    for (std::size_t i = 0; i < this->group.Size(); ++i) {
      this->group.Partition(away, i, i != away);
    }
    this->group.Run(milliseconds(5000 + 7 * round));
    this->group.Heal();
    ASSERT_TRUE(this->CommitEverywhere(1));
  }
  EXPECT_EQ(this->group.Leader(), leader);
  EXPECT_EQ(this->group.VoterAt(leader)->View(), view);
}

class SingleVoterTest : public ::testing::Test {};

// Guards against an out-of-bounds access in a group of one voter.
TEST_F(SingleVoterTest, Propose_AloneAndRestarted_Commits) {
  ReplicationGroup group(1, 1, 1);
  for (LogIndex count = 1; count <= 3; ++count) {
    ASSERT_TRUE(
        group.RunUntil([&] { return group.Leader().has_value(); }, seconds(3)));
    EXPECT_TRUE(group.Propose(0));
    EXPECT_TRUE(
        group.RunUntil([&] { return group.Applied(1) == count; }, seconds(3)));
    EXPECT_TRUE(
        group.RunUntil([&] { return group.LeaseValid(1); }, seconds(3)));
    group.Crash(0);
    group.Restart(0);
  }
  EXPECT_EQ(group.Violation(), "");
}

}  // namespace
}  // namespace mimosastage
