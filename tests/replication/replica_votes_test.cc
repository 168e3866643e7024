#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "mimosastage/replication/replica.h"

namespace mimosastage {
namespace {

using std::chrono::milliseconds;

/// One voter whose messages and writes the test handles explicitly, to cover
/// orders of events that random schedules reach too rarely.
class ReplicaVotesTest : public ::testing::Test {
 protected:
  void Begin(std::uint16_t self, std::uint16_t voters, DurableImage image) {
    ReplicaConfig config;
    config.self = DaemonId{self};
    for (std::uint16_t i = 0; i < voters; ++i) {
      config.voters.push_back(DaemonId{i});
    }
    Replica::Hooks hooks;
    hooks.send = [this](DaemonId to, ReplicationMessage message) {
      this->sent.emplace_back(to, std::move(message));
    };
    hooks.persist = [this](DurableWrite write) {
      this->writes.push_back(std::move(write));
    };
    hooks.apply = [this](LogIndex index, const std::string&) {
      this->applied = index;
    };
    hooks.install_snapshot = [](const std::string&) {};
    hooks.take_snapshot = [] { return std::string(); };
    this->replica = std::make_unique<Replica>(config, std::move(hooks));
    this->incarnation = AddStart(image.starts, 7);
    image.incarnation = this->incarnation;
    this->replica->Start(std::move(image), this->now);
  }

  /// An intact disk with entries 1 to `end` of view 0.
  static DurableImage Intact(LogIndex end) {
    DurableImage image;
    image.intact = true;
    for (LogIndex index = 1; index <= end; ++index) {
      image.entries.push_back({index, 0, "c"});
    }
    return image;
  }

  void Receive(std::uint16_t from, const ReplicationMessage& message) {
    this->replica->Handle(DaemonId{from}, message, this->now);
  }

  void Sync() {
    while (!this->writes.empty()) {
      const std::uint64_t ticket = this->writes.front().ticket;
      this->writes.erase(this->writes.begin());
      this->replica->StorageSynced(ticket, this->now);
    }
  }

  /// The latest sent message of this type; nullptr if there is none.
  template <class Message>
  const Message* Last() const {
    for (auto item = this->sent.rbegin(); item != this->sent.rend(); ++item) {
      if (const auto* found = std::get_if<Message>(&item->second)) {
        return found;
      }
    }
    return nullptr;
  }

  RecoveryResponse Response(ViewNumber view, bool normal) const {
    RecoveryResponse response;
    response.nonce = this->Last<Recovery>()->nonce;
    response.view = view;
    response.normal = normal;
    response.known_incarnation = this->Last<Recovery>()->incarnation;
    return response;
  }

  TimePoint now{std::chrono::seconds(100)};
  std::unique_ptr<Replica> replica;
  Incarnation incarnation = 0;
  std::vector<std::pair<DaemonId, ReplicationMessage>> sent;
  std::vector<DurableWrite> writes;
  LogIndex applied = 0;
};

// Guards against a commit that counts a copy of the log which a later view
// change can still replace, because the voter's normal status in the view isn't
// synced yet.
TEST_F(ReplicaVotesTest, Acknowledge_ViewNotSynced_StaysBelowViewStart) {
  this->Begin(2, 3, Intact(5));
  this->Receive(0, this->Response(0, false));
  this->Sync();
  Prepare heartbeat;
  heartbeat.view = 1;
  heartbeat.previous_index = 5;
  heartbeat.view_start = 5;
  this->Receive(1, heartbeat);
  ASSERT_NE(this->Last<PrepareOk>(), nullptr);
  EXPECT_LT(this->Last<PrepareOk>()->synced, 5);
  this->Sync();
  EXPECT_EQ(this->Last<PrepareOk>()->synced, 5);
}

// Guards against a new view that counts a DoViewChange which a voter sent
// before it lost its disk. Entries that the voter acknowledged after its
// recovery would be lost.
TEST_F(ReplicaVotesTest, DoViewChange_FromBeforeLostDisk_IsNotCounted) {
  this->Begin(1, 5, Intact(0));
  this->Receive(0, this->Response(0, false));
  this->Receive(2, this->Response(0, false));
  this->Sync();
  const Incarnation before = MakeIncarnation(1, 1);
  const Incarnation after = MakeIncarnation(2, 2);
  DoViewChange old;
  old.view = 1;
  old.incarnations = {{DaemonId{2}, before}};
  this->Receive(2, old);
  this->Sync();
  DoViewChange other;
  other.view = 1;
  other.incarnations = {{DaemonId{3}, before}, {DaemonId{2}, after}};
  this->Receive(3, other);
  this->Sync();
  EXPECT_FALSE(this->replica->IsLeader());
  old.incarnations = {{DaemonId{2}, after}};
  this->Receive(2, old);
  EXPECT_TRUE(this->replica->IsLeader());
}

// Guards against a recovery from a stale leader when the others are already in
// a later view.
TEST_F(ReplicaVotesTest, LostDisk_OneResponse_StaysRecovering) {
  this->Begin(0, 3, DurableImage());
  this->Receive(1, this->Response(1, true));
  this->Sync();
  EXPECT_EQ(this->replica->Status(), ReplicaStatus::kRecovering);
  this->Receive(2, this->Response(2, true));
  EXPECT_EQ(this->replica->View(), 2);
  EXPECT_EQ(this->replica->Status(), ReplicaStatus::kNormal);
}

// Guards against the confirmation of a voter on an old copy of its disk that
// restarts until its counter exceeds the incarnation that the others have
// recorded, and against a confirmation that is sent before it is synced and
// would be lost in a crash.
TEST_F(ReplicaVotesTest, Recovery_StartsLackTheKnownOne_IsRefused) {
  this->Begin(1, 3, Intact(0));
  Recovery start;
  start.starts = {MakeIncarnation(1, 1), MakeIncarnation(2, 2)};
  start.incarnation = start.starts.back();
  this->Receive(0, start);
  EXPECT_EQ(this->Last<RecoveryResponse>(), nullptr);
  this->Sync();
  ASSERT_NE(this->Last<RecoveryResponse>(), nullptr);
  EXPECT_EQ(this->Last<RecoveryResponse>()->known_incarnation,
            start.incarnation);
  Recovery copy;
  copy.starts = {MakeIncarnation(1, 1), MakeIncarnation(2, 3),
                 MakeIncarnation(3, 4)};
  copy.incarnation = copy.starts.back();
  this->Receive(0, copy);
  this->Sync();
  EXPECT_EQ(this->Last<RecoveryResponse>()->known_incarnation,
            start.incarnation);
}

// Guards against a new incarnation that is sent to the others before it is
// synced, and against a renewal that never happens.
TEST_F(ReplicaVotesTest, Incarnation_RenewalDue_IsSentOnceSynced) {
  this->Begin(2, 3, Intact(0));
  this->Receive(0, this->Response(1, true));
  this->Receive(1, this->Response(1, true));
  this->Sync();
  this->now += std::chrono::minutes(10);
  this->replica->Tick(this->now);
  EXPECT_EQ(this->Last<Recovery>()->incarnation, this->incarnation);
  ASSERT_FALSE(this->writes.empty());
  const auto renewed = this->writes.back().incarnations;
  this->Sync();
  ASSERT_EQ(renewed.size(), 1);
  EXPECT_EQ(this->Last<Recovery>()->incarnation, renewed[0].second);
  EXPECT_EQ(this->Last<Recovery>()->starts,
            std::vector<Incarnation>{renewed[0].second});
}

// Guards against a voter that keeps its log although another voter has recorded
// a later incarnation of it.
TEST_F(ReplicaVotesTest, RecoveryResponse_KnowsAnotherStart_RecoversAsLost) {
  this->Begin(2, 3, Intact(5));
  RecoveryResponse response = this->Response(1, true);
  response.known_incarnation = MakeIncarnation(9, 9);
  this->Receive(1, response);
  EXPECT_EQ(this->replica->LogEnd(), 0);
  EXPECT_FALSE(this->Last<Recovery>()->disk_intact);
  EXPECT_GT(IncarnationCounter(this->Last<Recovery>()->incarnation), 9);
  this->Sync();
  EXPECT_EQ(this->replica->Status(), ReplicaStatus::kRecovering);
}

}  // namespace
}  // namespace mimosastage
