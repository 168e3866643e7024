#include <gtest/gtest.h>

#include <sstream>

#include "mimosastage/state/command_codec.h"
#include "mimosastage/state/replicated_state.h"
#include "mimosastage/state/state_error.h"
#include "tests/state/support/random_commands.h"

namespace mimosastage {
namespace {

void Append(std::ostream& text, const Session& session) {
  text << static_cast<int>(session.daemon) << "/"
       << static_cast<std::uint64_t>(session.id) << ";";
}

/// Prints all fields of a command except the rows, which have operator==.
struct Describer {
  std::ostream& text;

  void operator()(const Noop& /*noop*/) const {}
  void operator()(const TableChange& change) const {
    this->text << change.change_id << ";" << static_cast<int>(change.table)
               << ";" << change.base_version << ";" << change.upserts.size()
               << ";";
    for (const std::string& name : change.deletes) {
      this->text << name << ";";
    }
  }
  void operator()(const KeyGrant& grant) const {
    this->text << grant.change_id << ";" << grant.key_id << ";"
               << grant.team.str() << ";" << grant.client.str() << ";"
               << std::string(grant.hash.begin(), grant.hash.end());
  }
  void operator()(const KeyRevoke& revoke) const {
    this->text << revoke.change_id << ";" << revoke.key_id;
  }
  void operator()(const SessionStart& start) const {
    Append(this->text, start.session);
  }
  void operator()(const SessionEnd& end) const {
    Append(this->text, end.session);
  }
  void operator()(const AllowanceMoves& moves) const {
    for (const auto& [name, slots] : moves.backend_server_slots) {
      this->text << name << ";" << slots << ";";
    }
    for (const AllowanceMove& move : moves.moves) {
      Append(this->text, move.session);
      this->text << static_cast<int>(move.resource.kind) << move.resource.name
                 << ";" << move.lend << ";" << move.returned_total << ";";
    }
  }
  void operator()(const IntentBegin& begin) const {
    Append(this->text, begin.session);
    this->text << begin.key.team.str() << ";" << begin.key.idempotency_key
               << ";" << begin.fingerprint << ";" << begin.at.count();
  }
  void operator()(const IntentEnd& end) const {
    Append(this->text, end.session);
    this->text << end.key.team.str() << ";" << end.key.idempotency_key << ";"
               << static_cast<int>(end.outcome) << ";" << end.answer.status
               << ";" << end.answer.content_type << ";" << end.answer.body
               << ";" << end.answer.body_kept;
  }
  void operator()(const IntentExpiry& expiry) const {
    this->text << expiry.before.count();
  }
  void operator()(const InstanceTransition& transition) const {
    this->text << transition.instance.str() << ";" << transition.pool.str()
               << ";" << transition.epoch << ";"
               << static_cast<int>(transition.state);
  }
};

std::string Describe(const Command& command) {
  std::ostringstream text;
  std::visit(Describer{text}, command);
  return text.str();
}

class CodecTest : public testing::Test {
 protected:
  /// Changes, truncates or extends the bytes at random.
  static std::string Mutate(std::string bytes, RandomCommands* random) {
    for (auto flips = random->Below(4); flips > 0; --flips) {
      char& byte = bytes[random->Below(bytes.size())];
      byte = static_cast<char>(byte ^ static_cast<char>(random->Below(256)));
    }
    if (random->OneIn(4)) {
      bytes.resize(random->Below(bytes.size() + 8));
    }
    return bytes;
  }

  RandomCommands random{11};
};

// Guards against a field that is lost in encoding or decoding, and against
// out-of-bounds reads of corrupted bytes (build with MIMOSASTAGE_ASAN).
TEST_F(CodecTest, Decode_RandomAndMutatedCommands_RoundTripsAndNeverCrashes) {
  std::size_t refused = 0;
  for (int i = 0; i < 20'000; ++i) {
    const Command command = this->random.RandomCommand();
    const std::string bytes = EncodeCommand(command);
    // An unaligned address, as within a log segment.
    const std::string shifted = "x" + bytes;
    const auto decoded = DecodeCommand(std::string_view{shifted}.substr(1));
    ASSERT_TRUE(decoded.has_value());
    ASSERT_EQ(decoded->index(), command.index());
    ASSERT_EQ(Describe(*decoded), Describe(command));
    ASSERT_EQ(EncodeCommand(*decoded), bytes);
    const auto mutated = DecodeCommand(Mutate(bytes, &this->random));
    if (!mutated) {
      ++refused;
      EXPECT_EQ(mutated.error(), StateError::kUndecodable);
    } else {
      EncodeCommand(*mutated);
    }
  }
  EXPECT_GT(refused, 1'000U);
}

// Guards against fields that both the encoder and the decoder leave out, which
// a comparison of encoded bytes doesn't find.
TEST_F(CodecTest, Decode_ChangeWithAllFields_GivesEqualRows) {
  Route route{RouteName("r"),
              PoolName("p"),
              true,
              true,
              true,
              std::chrono::milliseconds(7),
              99};
  Pool pool{PoolName("p"),
            2,
            true,
            3,
            4,
            {5, 6, 7, 8},
            {InstanceName("w1"), InstanceName("w2")}};
  const Team team{TeamName("t"), 9, 10};
  const Policy policy{"default", 11, 12, std::chrono::seconds(13)};
  TableChange change{
      "id", TableKind::kPools, 5, {route, pool, team, policy}, {"a", "b"}};
  const auto decoded = DecodeCommand(EncodeCommand(change));
  ASSERT_TRUE(decoded.has_value());
  const auto& result = std::get<TableChange>(*decoded);
  EXPECT_EQ(result.upserts, change.upserts);
  EXPECT_EQ(result.deletes, change.deletes);
  EXPECT_EQ(result.table, change.table);
  EXPECT_EQ(result.base_version, 5U);
  EXPECT_EQ(result.change_id, "id");
}

// Guards against a corrupted snapshot that crashes a starting daemon or
// replaces only a part of the state.
TEST_F(CodecTest,
       Restore_MutatedSnapshot_NeverCrashesAndRefusalChangesNothing) {
  ReplicatedState state;
  LogIndex index = 0;
  for (int i = 0; i < 300; ++i) {
    TableChange change = this->random.RandomChange();
    change.change_id = std::to_string(i);
    change.base_version = state.Tables().VersionOf(change.table);
    state.Apply(++index, change);
    state.Apply(++index, this->random.RandomCommand());
  }
  const std::string snapshot = state.Snapshot();
  std::size_t refused = 0;
  for (int i = 0; i < 3'000; ++i) {
    ReplicatedState other;
    other.Apply(1, SessionStart{this->random.RandomSession()});
    const std::string before = other.Snapshot();
    if (other.Restore(Mutate(snapshot, &this->random))) {
      ++refused;
      ASSERT_EQ(other.Snapshot(), before);
    }
  }
  EXPECT_GT(refused, 500U);
  ReplicatedState copy;
  ASSERT_FALSE(copy.Restore(snapshot));
  EXPECT_EQ(copy.Snapshot(), snapshot);
}

}  // namespace
}  // namespace mimosastage
