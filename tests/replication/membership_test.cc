#include "mimosastage/replication/membership.h"

#include <gtest/gtest.h>

#include <chrono>
#include <map>

#include "mimosastage/replication/internal/membership_log.h"
#include "mimosastage/replication/membership_planner.h"

namespace mimosastage {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

Member At(std::uint16_t daemon) {
  return Member{DaemonId{daemon}, "10.0.0." + std::to_string(daemon), 7000};
}

class MembershipTest : public ::testing::Test {
 protected:
  Membership group{3, {At(1), At(2), At(3)}};

  Membership With(std::size_t slot, const Member& member) const {
    Membership next = this->group;
    ++next.version;
    next.slots[slot] = member;
    return next;
  }
};

// Guards against daemons that compute different slots or quorums because their
// settings list the founders in another order, or list fewer than the group has
// slots.
TEST_F(MembershipTest, Founding_FewerFoundersThanSlots_OthersAreVacant) {
  const Membership five = FoundingMembership({At(3), At(1), At(2)}, 2);
  ASSERT_EQ(five.slots.size(), 5U);
  EXPECT_EQ(five, FoundingMembership({At(2), At(3), At(1)}, 2));
  EXPECT_EQ(five.slots[0], At(1));
  EXPECT_EQ(five.slots[4], VacantSlot());
  EXPECT_FALSE(five.Contains(kNoVoter));
  EXPECT_EQ(FoundingMembership({At(1), At(2)}, 0).slots.size(), 3U);
}

// Replacing the occupant of a slot in one change would allow two disjoint
// quorums.
TEST_F(MembershipTest, Successor_OccupantIsReplaced_IsRefused) {
  EXPECT_TRUE(IsValidSuccessor(this->group, this->With(2, VacantSlot())));
  EXPECT_FALSE(IsValidSuccessor(this->group, this->With(2, At(4))));
  const Membership vacant = this->With(2, VacantSlot());
  Membership filled = vacant;
  ++filled.version;
  filled.slots[2] = At(4);
  EXPECT_TRUE(IsValidSuccessor(vacant, filled));
  filled.slots[2] = At(1);
  EXPECT_FALSE(IsValidSuccessor(vacant, filled))
      << "a daemon must not occupy two slots";
}

TEST_F(MembershipTest, Successor_TwoSlotsOrAnotherSize_IsRefused) {
  Membership next = this->With(0, VacantSlot());
  next.slots[1] = VacantSlot();
  EXPECT_FALSE(IsValidSuccessor(this->group, next));
  next = this->With(0, VacantSlot());
  next.slots.push_back(At(4));
  EXPECT_FALSE(IsValidSuccessor(this->group, next));
  next = this->With(0, VacantSlot());
  ++next.version;
  EXPECT_FALSE(IsValidSuccessor(this->group, next));
}

// Guards against a daemon whose vote counts as two, in a quorum that doesn't
// overlap with others.
TEST_F(MembershipTest, Successor_TwoSlotsHaveOneDaemon_IsRefused) {
  Membership equal{0, {At(1), At(2), At(2)}};
  Membership first = equal;
  first.version = 1;
  EXPECT_FALSE(equal.HasDistinctVoters());
  EXPECT_FALSE(IsValidSuccessor(equal, first))
      << "the founders must not come into the log";
  equal.slots[1].address = "10.0.0.9";
  EXPECT_FALSE(equal.HasDistinctVoters()) << "the address doesn't matter";
  EXPECT_TRUE(
      (Membership{1, {VacantSlot(), At(2), VacantSlot()}}).HasDistinctVoters());
}

TEST_F(MembershipTest, Founding_FounderIsListedTwice_HasOneSlot) {
  const Membership founding =
      FoundingMembership({At(2), At(1), At(2), At(3)}, 1);
  EXPECT_EQ(founding, FoundingMembership({At(1), At(2), At(3)}, 1));
}

TEST_F(MembershipTest, Codec_TwoSlotsHaveOneDaemon_IsNoMembership) {
  const Membership equal{4, {At(1), At(2), At(2)}};
  EXPECT_FALSE(DecodeMembership(EncodeMembership(equal)).has_value());
  const std::string snapshot = WrapSnapshot(equal, "state");
  EXPECT_FALSE(UnwrapSnapshot(snapshot).membership.has_value());
  EXPECT_EQ(UnwrapSnapshot(snapshot).state, "state");
}

TEST_F(MembershipTest, Codec_EntryAndSnapshot_RoundTrip) {
  const Membership vacant = this->With(1, VacantSlot());
  EXPECT_EQ(DecodeMembership(EncodeMembership(vacant)), vacant);
  const std::string snapshot = WrapSnapshot(vacant, "state");
  const auto unwrapped = UnwrapSnapshot(snapshot);
  EXPECT_EQ(unwrapped.membership, vacant);
  EXPECT_EQ(unwrapped.state, "state");
}

// Data folders of earlier releases contain snapshots and commands without a
// membership.
TEST_F(MembershipTest, Codec_PlainBytes_AreNoMembership) {
  EXPECT_FALSE(DecodeMembership("command").has_value());
  const auto unwrapped = UnwrapSnapshot("state");
  EXPECT_FALSE(unwrapped.membership.has_value());
  EXPECT_EQ(unwrapped.state, "state");
  const std::string whole = EncodeMembership(this->group);
  for (std::size_t size = 0; size < whole.size(); ++size) {
    EXPECT_FALSE(DecodeMembership(whole.substr(0, size)).has_value());
  }
}

// A membership whose entry a later view truncates must not stay in force.
TEST_F(MembershipTest, Log_EntryIsTruncated_EarlierOneIsInForce) {
  internal::MembershipLog log;
  log.Reset(0, this->group);
  log.Append(5, this->With(2, VacantSlot()));
  EXPECT_EQ(log.InForce().version, 4U);
  EXPECT_EQ(log.Committed(4).version, 3U);
  EXPECT_EQ(log.Committed(5).version, 4U);
  log.TruncateFrom(5);
  EXPECT_EQ(log.InForce(), this->group);
}

TEST_F(MembershipTest, Log_CommittedOneIsLearned_OverridesAnUncommittedOne) {
  internal::MembershipLog log;
  log.Reset(0, this->group);
  log.Append(5, this->With(2, VacantSlot()));
  const Membership other = this->With(0, VacantSlot());
  log.LearnMembership(other);
  EXPECT_EQ(log.InForce(), other);
}

// Guards against a voter that goes back to replaced voters: its snapshot has a
// membership that it learned before the entry, and the log then adds the older
// entries after the snapshot.
TEST_F(MembershipTest, Log_OlderEntryAfterSnapshot_NewerOneStaysInForce) {
  const Membership vacant = this->With(2, VacantSlot());
  Membership filled = vacant;
  ++filled.version;
  filled.slots[2] = At(4);
  internal::MembershipLog log;
  log.Reset(5, filled);
  log.Append(6, vacant);
  EXPECT_EQ(log.InForce(), filled);
  EXPECT_EQ(log.Committed(6), filled);
  log.Reset(6, vacant);
  EXPECT_EQ(log.InForce(), filled);
  Membership next = filled;
  ++next.version;
  next.slots[0] = VacantSlot();
  log.Append(8, next);
  EXPECT_EQ(log.InForce(), next);
  log.TruncateFrom(8);
  EXPECT_EQ(log.InForce(), filled);
}

class MembershipPlannerTest : public MembershipTest {
 protected:
  std::optional<Membership> Plan() {
    return this->planner.Plan(
        this->group, DaemonId{1},
        [this](DaemonId voter) { return this->silence[voter]; }, this->now);
  }

  MembershipPlanner planner{MembershipPlanner::Config{}};
  std::map<DaemonId, Duration> silence;
  TimePoint now{seconds(100)};
};

TEST_F(MembershipPlannerTest, Plan_NoCandidate_SilentVoterKeepsItsSlot) {
  this->silence[DaemonId{2}] = seconds(60);
  EXPECT_FALSE(this->Plan().has_value());
}

TEST_F(MembershipPlannerTest, Plan_VoterIsGone_SlotIsVacatedThenFilled) {
  this->planner.OnCandidate(At(4), this->now);
  this->silence[DaemonId{2}] = milliseconds(2'400);
  EXPECT_FALSE(this->Plan().has_value()) << "the voter may be restarting";
  this->silence[DaemonId{2}] = milliseconds(2'600);
  const auto vacated = this->Plan();
  ASSERT_TRUE(vacated.has_value());
  EXPECT_EQ(vacated->slots[1], VacantSlot());
  EXPECT_TRUE(IsValidSuccessor(this->group, *vacated));
  this->group = *vacated;
  const auto filled = this->Plan();
  ASSERT_TRUE(filled.has_value());
  EXPECT_EQ(filled->slots[1], At(4));
}

// A slot must not be vacated for a candidate that has disappeared.
TEST_F(MembershipPlannerTest, Plan_CandidateFellSilent_NothingChanges) {
  this->planner.OnCandidate(At(4), this->now);
  this->silence[DaemonId{3}] = seconds(60);
  this->now += milliseconds(1'100);
  EXPECT_FALSE(this->Plan().has_value());
}

TEST_F(MembershipPlannerTest, Plan_CandidateIsMember_NothingChanges) {
  this->planner.OnCandidate(At(3), this->now);
  this->silence[DaemonId{2}] = seconds(60);
  EXPECT_FALSE(this->Plan().has_value());
}

}  // namespace
}  // namespace mimosastage
