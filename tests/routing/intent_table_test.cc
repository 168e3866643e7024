#include "mimosastage/routing/intent_table.h"

#include <gtest/gtest.h>

#include <map>
#include <random>

namespace mimosastage {
namespace {

/// Reference model: the same rules as IntentTable, without indexes.
class NaiveIntents {
 public:
  IntentBeginOutcome Begin(const IntentBegin& command) {
    auto found = this->records.find(command.key);
    const bool may_start = found == this->records.end() ||
                           (found->second.fingerprint == command.fingerprint &&
                            found->second.state == IntentState::kNotRun);
    if (may_start) {
      this->records[command.key] = {command.key,         command.session,
                                    command.fingerprint, command.at,
                                    IntentState::kBegun, {}};
      return {IntentBeginResult::kStarted, {}};
    }
    const IntentRecord& record = found->second;
    if (record.fingerprint != command.fingerprint) {
      return {IntentBeginResult::kFingerprintDiffers, {}};
    }
    if (record.state == IntentState::kCompleted) {
      return {IntentBeginResult::kCompleted, record.answer};
    }
    return {record.state == IntentState::kBegun ? IntentBeginResult::kInProgress
                                                : IntentBeginResult::kUnknown,
            {}};
  }

  IntentEndResult End(const IntentEnd& command) {
    auto found = this->records.find(command.key);
    if (found == this->records.end()) {
      return IntentEndResult::kNotFound;
    }
    IntentRecord& record = found->second;
    if (record.session != command.session) {
      return IntentEndResult::kNotOwner;
    }
    if (record.state != IntentState::kBegun) {
      return IntentEndResult::kAlreadyEnded;
    }
    static const std::map<IntentOutcome, IntentState> kStates = {
        {IntentOutcome::kCompleted, IntentState::kCompleted},
        {IntentOutcome::kNotRun, IntentState::kNotRun},
        {IntentOutcome::kUnknown, IntentState::kUnknown}};
    record.state = kStates.at(command.outcome);
    if (record.state == IntentState::kCompleted) {
      record.answer = command.answer;
    }
    return IntentEndResult::kEnded;
  }

  std::size_t EndSession(const Session& session) {
    std::size_t count = 0;
    for (auto& [key, record] : this->records) {
      const bool open = record.state == IntentState::kBegun;
      if (open && record.session == session) {
        record.state = IntentState::kUnknown;
        ++count;
      }
    }
    return count;
  }

  std::size_t Expire(const IntentExpiry& command) {
    return std::erase_if(this->records, [&](const auto& entry) {
      return entry.second.state != IntentState::kBegun &&
             entry.second.at < command.before;
    });
  }

  std::vector<IntentRecord> Records() const {
    std::vector<IntentRecord> all;
    for (const auto& [key, record] : this->records) {
      all.push_back(record);
    }
    return all;
  }

 private:
  std::map<IntentKey, IntentRecord> records;
};

class IntentTableTest : public ::testing::Test {
 protected:
  static IntentKey Key(std::uint64_t number) {
    return {TeamName("team"), "key-" + std::to_string(number)};
  }
  static Session SessionOf(std::uint64_t number) {
    return {DaemonId{static_cast<std::uint16_t>(number)}, SessionId{number}};
  }

  std::uint64_t Below(std::uint64_t bound) { return this->random() % bound; }

  StoredAnswer RandomAnswer() {
    return {static_cast<std::uint16_t>(200 + this->Below(4)), "text/plain",
            std::string(this->Below(9), 'x'), true};
  }

  /// Applies one random command to both and compares the results.
  void Step(IntentTable& table, NaiveIntents& naive, std::uint64_t time) {
    const IntentKey key = Key(this->Below(6));
    const Session session = SessionOf(this->Below(3));
    switch (this->Below(8)) {
      case 0:
        EXPECT_EQ(table.EndSession(session), naive.EndSession(session));
        return;
      case 1: {
        const IntentExpiry expiry{WallTime(time - this->Below(20))};
        EXPECT_EQ(table.Expire(expiry), naive.Expire(expiry));
        return;
      }
      case 2:
      case 3:
      case 4: {
        const IntentBegin begin{key, session, this->Below(8) == 0 ? 1U : 0U,
                                WallTime(time)};
        EXPECT_EQ(table.Begin(begin), naive.Begin(begin));
        return;
      }
      default: {
        const auto outcome = static_cast<IntentOutcome>(this->Below(3));
        const IntentEnd end{key, session, outcome, this->RandomAnswer()};
        EXPECT_EQ(table.End(end), naive.End(end));
      }
    }
  }

  std::mt19937_64 random;
};

// Guards against a request that runs twice because the table violates the rules
// for intents, also after a snapshot was restored.
TEST_F(IntentTableTest, Commands_RandomSchedules_EqualPlainMap) {
  constexpr int kSchedules = 3'000;
  constexpr int kSteps = 120;
  for (int seed = 0; seed < kSchedules && !this->HasFailure(); ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    this->random.seed(seed);
    IntentTable table;
    NaiveIntents naive;
    for (int step = 0; step < kSteps; ++step) {
      this->Step(table, naive, 100 + step);
      if (this->Below(10) == 0) {
        EXPECT_EQ(table.Records(), naive.Records());
        IntentTable restored;
        restored.Restore(table.Records());
        EXPECT_EQ(restored.StoredBytes(), table.StoredBytes());
        table = std::move(restored);
      }
    }
    EXPECT_EQ(table.Records(), naive.Records());
  }
}

// Guards against state that grows without bound, and against a full table that
// loses intents or can't end them.
TEST_F(IntentTableTest, Begin_TableFull_RefusesNewAndKeepsAnswersWithinBound) {
  IntentTable table;
  const Session session = SessionOf(1);
  for (std::uint64_t i = 0; i < IntentTable::kMaxIntents; ++i) {
    ASSERT_EQ(table.Begin({Key(i), session, 0, WallTime(i)}).result,
              IntentBeginResult::kStarted);
  }
  const std::uint64_t more = IntentTable::kMaxIntents;
  EXPECT_EQ(table.Begin({Key(more), session, 0, WallTime(0)}).result,
            IntentBeginResult::kFull);
  const StoredAnswer large{200, "", std::string(kMaxStoredBody, 'x'), true};
  const std::uint64_t fitting = IntentTable::kMaxStoredBytes / kMaxStoredBody;
  for (std::uint64_t i = 0; i <= fitting; ++i) {
    ASSERT_EQ(table.End({Key(i), session, IntentOutcome::kCompleted, large}),
              IntentEndResult::kEnded);
    const auto answer = table.Begin({Key(i), session, 0, WallTime(0)}).answer;
    EXPECT_EQ(answer.body_kept, i < fitting);
    EXPECT_EQ(answer.status, 200);
  }
  EXPECT_EQ(table.StoredBytes(), IntentTable::kMaxStoredBytes);
  EXPECT_EQ(table.Expire({WallTime(fitting + 1)}), fitting + 1);
  EXPECT_EQ(table.StoredBytes(), 0U);
  EXPECT_EQ(table.Begin({Key(more), session, 0, WallTime(0)}).result,
            IntentBeginResult::kStarted);
}

}  // namespace
}  // namespace mimosastage
