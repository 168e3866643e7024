#include "mimosastage/node/job_node.h"

#include <gtest/gtest.h>

#include <chrono>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "mimosastage/daemons/message_codec.h"
#include "mimosastage/replication/message_codec.h"

namespace mimosastage {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Runs one JobNode without any other daemon.
class JobNodeTest : public ::testing::Test {
 protected:
  JobNodeTest() {
    this->config.name = "entry-1";
    this->config.self = DaemonId{1};
    this->config.own_member = Member{DaemonId{1}, "10.0.0.1", 7000};
    this->hooks.send = [this](DaemonId to, const std::string&) {
      ++this->sent[to];
    };
    this->hooks.persist = [](const DurableWrite&) {};
    this->hooks.on_members = [this](const Membership& members, bool) {
      this->reported_members = members;
    };
    this->hooks.answer = [this](std::uint64_t request, jobs::CallKind,
                                const jobs::Answer& answer) {
      this->answers[request] = static_cast<jobs::CallOutcome>(answer.outcome);
    };
    this->hooks.wall_time = [] { return milliseconds(1'700'000'000'000); };
    this->hooks.report = [](const char*, const std::string&,
                            const std::string&) {};
    this->hooks.count_refusal = [](const char*) {};
    this->hooks.count_retry = [](const char*) {};
    this->hooks.count_drop = [](const char*) {};
  }

  void Start() {
    this->node = std::make_unique<JobNode>(this->config, this->hooks);
    this->node->Start(std::nullopt, this->now);
  }

  /// Advances the node until it has stopped and returns the time this took.
  Duration RunUntilStopped() {
    const TimePoint began = this->now;
    while (!this->node->Stopped(this->now) && this->now - began < seconds(20)) {
      this->now += milliseconds(20);
      this->node->Advance(this->now);
    }
    return this->now - began;
  }

  jobs::Call Submit() const {
    jobs::Call call;
    call.kind = static_cast<std::uint8_t>(jobs::CallKind::kSubmit);
    return call;
  }

  JobNode::Config config;
  JobNode::Hooks hooks;
  std::unique_ptr<JobNode> node;
  std::map<std::uint64_t, jobs::CallOutcome> answers;
  std::map<DaemonId, int> sent;
  /// The membership last passed to on_members.
  Membership reported_members;
  TimePoint now{seconds(1'000)};
};

// Guards against a planned stop that closes connections without an answer: a
// call arrives late in the stop, and no leader is known.
TEST_F(JobNodeTest, Stop_CallsWithoutLeader_AreAnsweredBeforeTheEnd) {
  this->Start();
  this->node->OnCall(1, this->Submit(), seconds(8), this->now);
  this->node->BeginShutdown(this->now);
  this->now += seconds(3);
  this->node->OnCall(2, this->Submit(), seconds(8), this->now);
  this->node->Advance(this->now);
  EXPECT_TRUE(this->answers.empty()) << "a leader may still be found";
  this->RunUntilStopped();
  ASSERT_EQ(this->answers.size(), 2U);
  EXPECT_EQ(this->answers.at(1), jobs::CallOutcome::kUnavailable);
  EXPECT_EQ(this->answers.at(2), jobs::CallOutcome::kUnavailable);
}

// Guards against a restarted voter that connects to no other: its seeds name
// none, and it waits for the committed membership, which only the others know.
TEST_F(JobNodeTest, Restart_SeedsNameNobodyElse_LinksAreToldOfTheLoggedVoters) {
  const Membership logged{1,
                          {Member{DaemonId{1}, "10.0.0.1", 7000},
                           Member{DaemonId{2}, "10.0.0.2", 7000},
                           Member{DaemonId{3}, "10.0.0.3", 7000}}};
  this->config.is_voter = true;
  this->config.founding_membership =
      FoundingMembership({Member{DaemonId{1}, "10.0.0.1", 7000}}, 1);
  DurableImage image;
  image.intact = true;
  image.incarnation = AddStart(image.starts, 7);
  image.entries.push_back(LogEntry{1, 0, EncodeMembership(logged)});
  this->node = std::make_unique<JobNode>(this->config, this->hooks);
  this->node->Start(std::move(image), this->now);
  EXPECT_EQ(this->reported_members, logged);
}

// Guards against a false refusal: a former leader refuses a call for overload
// after the call was sent to the next leader, which may store it.
TEST_F(JobNodeTest, FormerLeaderRefuses_CallIsAtTheNextOne_StaysOpen) {
  this->Start();
  const auto lead = [this](std::uint16_t leader, std::uint64_t view) {
    this->node->OnLinkState(DaemonId{leader}, true, this->now);
    jobs::Leadership notice;
    notice.leader = leader;
    notice.view = view;
    notice.serving = true;
    this->node->OnMessage(
        DaemonId{leader},
        EncodeMessage(JobsBytes{jobs::EncodeLeadership(notice)}), this->now);
    this->now += milliseconds(60);
    this->node->Advance(this->now);
  };
  const auto refuse = [this](std::uint16_t leader) {
    jobs::Answer answer;
    answer.number = 1;
    answer.outcome = static_cast<std::uint8_t>(jobs::CallOutcome::kOverloaded);
    this->node->OnMessage(DaemonId{leader},
                          EncodeMessage(JobsBytes{jobs::EncodeAnswer(answer)}),
                          this->now);
  };
  lead(2, 1);
  this->node->OnCall(1, this->Submit(), seconds(8), this->now);
  lead(3, 2);
  refuse(2);
  EXPECT_TRUE(this->answers.empty());
  refuse(3);
  ASSERT_EQ(this->answers.size(), 1U);
  EXPECT_EQ(this->answers.at(1), jobs::CallOutcome::kOverloaded);
}

/// A daemon whose only link is to a voter that doesn't lead.
class JobNodeWithFollowerTest : public JobNodeTest {
 protected:
  static constexpr DaemonId kFollower{1};

  /// Starts the node under test with the id `self` and exchanges messages with
  /// the follower for a second.
  void LinkToFollower(DaemonId self, std::optional<DurableImage> own_image) {
    std::vector<std::string> to_node;
    JobNode::Config follower_config = this->config;
    follower_config.is_voter = true;
    JobNode::Hooks follower_hooks = this->hooks;
    follower_hooks.on_members = [](const Membership&, bool) {};
    follower_hooks.send = [&](DaemonId to, const std::string& message) {
      if (to == self) {
        to_node.push_back(message);
      }
    };
    DurableImage image;
    image.intact = true;
    image.incarnation = AddStart(image.starts, 7);
    image.snapshot = WrapSnapshot(this->logged, jobs::FleetState().Snapshot());
    image.snapshot_index = 1;
    JobNode follower(follower_config, follower_hooks);
    follower.Start(std::move(image), this->now);
    this->config.self = self;
    this->config.is_voter = own_image.has_value();
    this->node = std::make_unique<JobNode>(this->config, this->hooks);
    this->node->Start(std::move(own_image), this->now);
    this->node->OnLinkState(kFollower, true, this->now);
    follower.OnLinkState(self, true, this->now);
    for (int i = 0; i < 50; ++i) {
      this->now += milliseconds(20);
      follower.Advance(this->now);
      for (const std::string& message : std::exchange(to_node, {})) {
        this->node->OnMessage(kFollower, message, this->now);
      }
      this->node->Advance(this->now);
    }
  }

  const Membership logged{1,
                          {Member{kFollower, "10.0.0.1", 7000},
                           Member{DaemonId{2}, "10.0.0.2", 7000},
                           Member{DaemonId{3}, "10.0.0.3", 7000}}};
};

// Guards against a restarted entry that serves nobody: its seeds name voters of
// which none leads, and only the leader told the entries who votes.
TEST_F(JobNodeWithFollowerTest, EntryRestarts_LearnsTheOtherVoters) {
  this->LinkToFollower(DaemonId{0x8000}, std::nullopt);
  EXPECT_EQ(this->reported_members, this->logged);
  EXPECT_FALSE(this->node->Ready(this->now)) << "a follower isn't a leader";
}

// Guards against a new voter, or one that has lost its disk, that never finds
// the leader, for the same reason.
TEST_F(JobNodeWithFollowerTest, VoterHasNoDisk_LearnsTheOtherVoters) {
  DurableImage empty;
  empty.incarnation = AddStart(empty.starts, 7);
  this->LinkToFollower(DaemonId{4}, empty);
  EXPECT_EQ(this->reported_members, this->logged);
  this->reported_members = Membership();
  this->LinkToFollower(DaemonId{2}, std::move(empty));
  EXPECT_EQ(this->reported_members, this->logged);
}

// Guards against a restarted voter with older members that drops the messages
// of a voter that was added while it was down, when no leader is left that
// could name the members.
TEST_F(JobNodeWithFollowerTest, VoterHasOlderMembers_AsksTheAddedVoter) {
  this->config.founding_membership =
      FoundingMembership({Member{DaemonId{2}, "10.0.0.2", 7000},
                          Member{DaemonId{3}, "10.0.0.3", 7000},
                          Member{DaemonId{9}, "10.0.0.9", 7000}},
                         1);
  int asked = 0;
  this->hooks.send = [&](DaemonId to, const std::string& bytes) {
    const auto message = DecodeMessage(bytes);
    ASSERT_TRUE(message.has_value());
    const auto* replication = std::get_if<ReplicationBytes>(&*message);
    if (to != kFollower || replication == nullptr) {
      return;
    }
    const auto decoded = Decode(replication->bytes);
    ASSERT_TRUE(decoded.has_value());
    asked += std::holds_alternative<Recovery>(*decoded) ? 1 : 0;
  };
  DurableImage image;
  image.intact = true;
  image.incarnation = AddStart(image.starts, 7);
  this->LinkToFollower(DaemonId{2}, std::move(image));
  EXPECT_EQ(this->reported_members, this->logged);
  EXPECT_GT(asked, 0);
}

}  // namespace
}  // namespace mimosastage
