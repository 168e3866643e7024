#include "mimosastage/state/replicated_state.h"

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <vector>

#include "mimosastage/state/command_codec.h"
#include "mimosastage/state/key_secret.h"
#include "mimosastage/state/state_error.h"
#include "tests/state/support/naive_state.h"
#include "tests/state/support/random_commands.h"

namespace mimosastage {
namespace {

/// Applies random commands to two replicas and to the naive state and compares
/// them after each. Now and then a replica is restored from a snapshot.
class Schedule {
 public:
  explicit Schedule(std::uint64_t seed) : random(seed) {}

  void Run() {
    for (int step = 0; step < 60 && !testing::Test::HasFailure(); ++step) {
      this->RunStep(step);
    }
  }

 private:
  static std::string SecretOf(const std::string& change_id) {
    return "secret of " + change_id;
  }

  Command NextCommand(int step) {
    if (!this->sent.empty() && this->random.OneIn(5)) {
      return this->sent[this->random.Below(this->sent.size())];
    }
    const std::string change_id = "change-" + std::to_string(step);
    if (this->random.OneIn(5)) {
      KeyGrant grant = this->random.RandomGrant();
      grant.change_id = change_id;
      grant.hash = HashKeySecret(SecretOf(change_id));
      return grant;
    }
    if (this->random.OneIn(6)) {
      return KeyRevoke{change_id, this->random.PickName("key-", 6)};
    }
    TableChange change = this->random.RandomChange();
    change.change_id = change_id;
    // Most changes are based on the current version. Some are based on an older
    // one, like those of operators who change the same table concurrently.
    const std::uint64_t version = this->state->Tables().VersionOf(change.table);
    change.base_version =
        this->random.OneIn(6) && version > 0 ? version - 1 : version;
    return change;
  }

  NaiveState::Answer ApplyToNaive(const Command& command) {
    if (const auto* change = std::get_if<TableChange>(&command)) {
      return this->naive.Change(*change);
    }
    if (const auto* grant = std::get_if<KeyGrant>(&command)) {
      return this->naive.Grant(*grant);
    }
    return this->naive.Revoke(std::get<KeyRevoke>(command));
  }

  void RunStep(int step) {
    const Command command = this->NextCommand(step);
    this->sent.push_back(command);
    const Command decoded = *DecodeCommand(EncodeCommand(command));
    ++this->index;
    const Outcome outcome = this->state->Apply(this->index, decoded);
    const Outcome other = this->replica->Apply(this->index, decoded);
    ASSERT_EQ(outcome.error, other.error);
    ASSERT_EQ(outcome.detail, other.detail);
    const NaiveState::Answer expected = this->ApplyToNaive(command);
    const NaiveState::Answer found{
        !outcome.error, outcome.error == StateError::kVersionConflict,
        outcome.version};
    ASSERT_EQ(found, expected) << outcome.detail;
    ASSERT_EQ(outcome.error != std::error_code(), !outcome.detail.empty());
    this->CompareTables();
    this->CompareKeys();
    if (this->random.OneIn(10)) {
      this->ReplaceReplica();
    }
  }

  void CompareTables() {
    for (const TableKind table : {TableKind::kRoutes, TableKind::kPools,
                                  TableKind::kTeams, TableKind::kPolicy}) {
      std::vector<Row> expected;
      for (const auto& [name, row] : this->naive.Rows(table)) {
        expected.push_back(row);
      }
      ASSERT_EQ(this->state->Tables().Rows(table), expected);
    }
  }

  void CompareKeys() {
    ASSERT_EQ(this->state->Keys().Keys().size(), this->naive.Keys().size());
    for (const auto& [key_id, grant] : this->naive.Keys()) {
      const Key* key =
          this->state->Keys().FindBySecret(SecretOf(grant.change_id));
      ASSERT_NE(key, nullptr);
      ASSERT_EQ(key->key_id, key_id);
      ASSERT_EQ(key->team, grant.team);
      ASSERT_EQ(key->client, grant.client);
    }
    for (const Command& command : this->sent) {
      const auto* grant = std::get_if<KeyGrant>(&command);
      if (grant == nullptr) {
        continue;
      }
      const auto in_force = this->naive.Keys().find(grant->key_id);
      const bool granted = in_force != this->naive.Keys().end() &&
                           in_force->second.change_id == grant->change_id;
      const Key* key =
          this->state->Keys().FindBySecret(SecretOf(grant->change_id));
      ASSERT_EQ(key != nullptr, granted);
    }
  }

  void ReplaceReplica() {
    const std::string snapshot = this->state->Snapshot();
    ASSERT_EQ(this->replica->Snapshot(), snapshot);
    this->replica = std::make_unique<ReplicatedState>();
    ASSERT_FALSE(this->replica->Restore(snapshot));
    ASSERT_EQ(this->replica->Snapshot(), snapshot);
    std::swap(this->state, this->replica);
  }

  RandomCommands random;
  NaiveState naive;
  std::unique_ptr<ReplicatedState> state = std::make_unique<ReplicatedState>();
  std::unique_ptr<ReplicatedState> replica =
      std::make_unique<ReplicatedState>();
  LogIndex index = 0;
  std::vector<Command> sent;
};

class ReplicatedStateTest : public testing::Test {
 protected:
  Outcome Apply(const Command& command) {
    return this->state.Apply(++this->index, command);
  }

  Outcome Change(TableKind table, std::vector<Row> upserts,
                 std::vector<std::string> deletes = {}) {
    return this->Apply(TableChange{"change-" + std::to_string(this->index),
                                   table, this->state.Tables().VersionOf(table),
                                   std::move(upserts), std::move(deletes)});
  }

  ReplicatedState state;
  LogIndex index = 0;
};

// Guards against two concurrent changes that both succeed, a resent change that
// is applied twice or gets another outcome, rows that violate a constraint,
// keys that still work after their revocation, and replicas that differ after a
// snapshot.
TEST_F(ReplicatedStateTest, Apply_SeededSchedules_AgreesWithNaiveState) {
  for (std::uint64_t seed = 1; seed <= 3'000; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    Schedule(seed).Run();
    if (HasFailure()) {
      return;
    }
  }
}

// Guards against an instance in two pools, an epoch that decreases, and a drain
// that exceeds the availability budget.
TEST_F(ReplicatedStateTest, Apply_RandomTransitions_KeepsMembershipRules) {
  RandomCommands random(5);
  std::size_t accepted = 0;
  std::map<InstanceName, std::uint64_t> highest;
  for (int step = 0; step < 20'000; ++step) {
    const InstanceTable::Instances before = this->state.Instances().All();
    InstanceTransition transition;
    Outcome outcome;
    if (random.OneIn(10)) {
      this->Change(TableKind::kPools, {random.RandomRow(TableKind::kPools)});
    } else {
      transition = random.RandomTransition();
      const auto current = before.find(transition.instance);
      if (current != before.end() && !random.OneIn(5)) {
        transition.epoch = current->second.epoch + random.Below(2);
      }
      outcome = this->Apply(transition);
      accepted += outcome.error ? 0 : 1;
    }
    for (const auto& [name, now] : this->state.Instances().All()) {
      const auto old = before.find(name);
      if (old == before.end()) {
        // An instance that returns is fenced from its earlier membership.
        ASSERT_GT(now.epoch, highest[name]);
      } else if (now.pool != old->second.pool) {
        ASSERT_GT(now.epoch, old->second.epoch);
        ASSERT_NE(old->second.state, InstanceState::kServing);
      }
      ASSERT_GE(now.epoch, highest[name]);
      highest[name] = now.epoch;
      if (old == before.end() || now == old->second) {
        continue;
      }
      const bool drain = old->second.state == InstanceState::kServing &&
                         now.state != InstanceState::kServing &&
                         now.state != InstanceState::kFailed;
      if (const Pool* pool = this->state.Tables().FindPool(now.pool.str());
          drain && pool != nullptr) {
        std::size_t out = 0;
        for (const auto& [other, instance] : this->state.Instances().All()) {
          out += instance.pool == now.pool &&
                         instance.state != InstanceState::kServing
                     ? 1
                     : 0;
        }
        ASSERT_LE(out, pool->availability_budget);
      }
    }
  }
  EXPECT_GT(accepted, 1'000U);
}

// Guards against sessions, units and intents that differ between replicas or
// after a snapshot.
TEST_F(ReplicatedStateTest, Apply_RandomLentUnitsAndIntents_ReplicasAgree) {
  RandomCommands random(9);
  auto replica = std::make_unique<ReplicatedState>();
  std::map<StateError, int> errors;
  const auto apply = [&](const Command& command) {
    const Outcome outcome = this->Apply(command);
    const Outcome other = replica->Apply(this->index, command);
    ASSERT_EQ(outcome.error, other.error);
    ASSERT_EQ(outcome.answer, other.answer);
    ++errors[AsStateError(outcome.error)];
  };
  apply(TableChange{
      "t", TableKind::kTeams, 0, {Team{TeamName("team-0"), 1, 5}}, {}});
  for (int step = 0; step < 4'000; ++step) {
    const Session session = random.RandomSession();
    const IntentKey key{TeamName("team-0"), random.PickName("intent-", 12)};
    const WallTime at{step};
    switch (random.Below(6)) {
      case 0:
        apply(SessionStart{session});
        break;
      case 1:
        random.OneIn(3) ? apply(SessionEnd{session})
                        : apply(IntentExpiry{at - WallTime(400)});
        break;
      case 2:
        apply(AllowanceMoves{{{"server-0", 8}},
                             {{{ResourceKind::kTeamLimit, "team-0"},
                               session,
                               static_cast<std::uint32_t>(random.Below(4)),
                               random.Below(40)},
                              {{ResourceKind::kBackendServerSlots, "server-0"},
                               session,
                               1,
                               0}}});
        break;
      case 3:
        apply(IntentEnd{key,
                        session,
                        static_cast<IntentOutcome>(random.Below(3)),
                        {200, "text/plain", "stored", true}});
        break;
      default:
        apply(IntentBegin{key, session, random.OneIn(6) ? 1U : 0U, at});
    }
    ASSERT_FALSE(HasFailure()) << "step " << step;
    const Resource limit{ResourceKind::kTeamLimit, "team-0"};
    ASSERT_LE(this->state.Allowances().Lent(limit), 5U);
    if (random.OneIn(50)) {
      const std::string snapshot = this->state.Snapshot();
      ASSERT_EQ(replica->Snapshot(), snapshot);
      replica = std::make_unique<ReplicatedState>();
      ASSERT_FALSE(replica->Restore(snapshot));
      ASSERT_EQ(replica->Snapshot(), snapshot);
    }
  }
  for (const StateError seen :
       {StateError{}, StateError::kSessionNotAlive,
        StateError::kIntentInProgress, StateError::kIntentCompleted,
        StateError::kIntentUnknown, StateError::kIntentDiffers,
        StateError::kIntentNotOwner, StateError::kIntentNotFound}) {
    EXPECT_GT(errors[seen], 0) << ReasonOf(seen);
  }
}

// Guards against an intent that stays in progress after its session ended, and
// against more than kMaxSessions sessions.
TEST_F(ReplicatedStateTest, Apply_SessionEnd_IntentsBecomeUnknown) {
  const Session first{DaemonId{0}, SessionId{1}};
  const IntentKey key{TeamName("t"), "k"};
  EXPECT_EQ(this->Apply(IntentBegin{key, first, 1}).error,
            StateError::kSessionNotAlive);
  this->Apply(SessionStart{first});
  EXPECT_FALSE(this->Apply(IntentBegin{key, first, 1}).error);
  this->Apply(SessionEnd{first});
  for (std::uint64_t i = 0; i < ReplicatedState::kMaxSessions; ++i) {
    const Session session{DaemonId{1}, SessionId{i}};
    EXPECT_FALSE(this->Apply(SessionStart{session}).error);
  }
  EXPECT_EQ(this->Apply(SessionStart{first}).error, StateError::kSessionsFull);
  const Session alive{DaemonId{1}, SessionId{1}};
  EXPECT_FALSE(this->Apply(SessionStart{alive}).error);
  EXPECT_EQ(this->Apply(IntentBegin{key, alive, 1}).error,
            StateError::kIntentUnknown);
}

struct RefusedChange {
  const char* name;
  TableKind table;
  std::vector<Row> upserts;
  std::vector<std::string> deletes;
  StateError error;
};

// Guards against a refusal with the wrong error code.
TEST_F(ReplicatedStateTest, Apply_BadChange_NamesItsReason) {
  const Pool pool{PoolName("a"), 1, false, 8, 64, {}, {InstanceName("w1")}};
  const Route route{RouteName("r"), PoolName("a")};
  const Team team{TeamName("t"), 1, 5};
  ASSERT_FALSE(this->Change(TableKind::kPools, {pool}).error);
  ASSERT_FALSE(this->Change(TableKind::kRoutes, {route}).error);
  ASSERT_FALSE(this->Change(TableKind::kTeams, {team}).error);
  ASSERT_FALSE(
      this->Apply(KeyGrant{"g", "key", {}, team.name, ClientName("c")}).error);
  Pool duplicate = pool;
  duplicate.name = PoolName("b");
  Pool over_budget = pool;
  over_budget.availability_budget = 2;
  Route without_pool = route;
  without_pool.pool = PoolName("b");
  Team over_limit{TeamName("t"), 1, 2'000'000};
  Policy policy;
  policy.ejection_percent = 34;
  const RefusedChange cases[] = {
      {"empty", TableKind::kRoutes, {}, {}, StateError::kBadChange},
      {"wrong table", TableKind::kRoutes, {team}, {}, StateError::kBadChange},
      {"twice", TableKind::kTeams, {team, team}, {}, StateError::kBadChange},
      {"policy", TableKind::kPolicy, {}, {"default"}, StateError::kBadChange},
      {"row", TableKind::kTeams, {over_limit}, {}, StateError::kBadRow},
      {"ejection", TableKind::kPolicy, {policy}, {}, StateError::kBadRow},
      {"delete", TableKind::kTeams, {}, {"x"}, StateError::kUnknownRow},
      {"pool",
       TableKind::kRoutes,
       {without_pool},
       {},
       StateError::kUnknownPool},
      {"in use", TableKind::kPools, {}, {"a"}, StateError::kPoolInUse},
      {"budget",
       TableKind::kPools,
       {over_budget},
       {},
       StateError::kBudgetTooLarge},
      {"two",
       TableKind::kPools,
       {duplicate},
       {},
       StateError::kInstanceInTwoPools},
      {"keys", TableKind::kTeams, {}, {"t"}, StateError::kTeamInUse},
  };
  for (const RefusedChange& bad : cases) {
    const Outcome outcome = this->Change(bad.table, bad.upserts, bad.deletes);
    EXPECT_EQ(outcome.error, bad.error) << bad.name << ": " << outcome.detail;
    EXPECT_EQ(outcome.version, bad.table == TableKind::kPolicy ? 0U : 1U);
  }
  EXPECT_EQ(this->Apply(KeyRevoke{"", "key"}).error, StateError::kBadChange);
  EXPECT_EQ(this->state.Apply(1, Noop{}).error, StateError::kAlreadyApplied);
}

// Guards against recorded change outcomes that grow without bound or are
// evicted too early.
TEST_F(ReplicatedStateTest, Apply_MoreChangesThanRemembered_ForgetsTheOldest) {
  const auto change = [](std::size_t number) {
    return TableChange{"change-" + std::to_string(number),
                       TableKind::kTeams,
                       number,
                       {Team{TeamName("t"), 1, 5}},
                       {}};
  };
  for (std::size_t i = 0; i <= ChangeOutcomes::kMaxChanges; ++i) {
    ASSERT_FALSE(this->Apply(change(i)).error);
  }
  EXPECT_EQ(this->state.FindChange("change-0"), nullptr);
  EXPECT_FALSE(this->Apply(change(1)).error);
  EXPECT_EQ(this->Apply(change(1)).version, 2U);
  EXPECT_EQ(this->Apply(change(0)).error, StateError::kVersionConflict);
}

}  // namespace
}  // namespace mimosastage
