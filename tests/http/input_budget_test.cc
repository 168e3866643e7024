#include "mimosastage/http/input_budget.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace mimosastage {
namespace {

using ::testing::ElementsAre;
using ::testing::IsEmpty;

class InputBudgetTest : public ::testing::Test {
 protected:
  static constexpr std::size_t kMaxBytes = 100;
  static constexpr std::size_t kMaxConnections = 3;

  /// Opens a connection one millisecond after the last change.
  InputBudget::ConnectionId Open(std::size_t listener = 0) {
    const InputBudget::ConnectionId expected = ++this->opened;
    const auto id = this->budget->Open(
        listener,
        [this, expected](const char* reason) {
          this->closed.push_back(std::to_string(expected) + " " + reason);
        },
        this->Tick());
    EXPECT_EQ(id, expected);
    return id;
  }

  TimePoint Tick() {
    this->now += std::chrono::milliseconds(1);
    return this->now;
  }

  TimePoint now{};
  InputBudget::ConnectionId opened = 0;
  std::vector<std::string> closed;
  std::shared_ptr<InputBudget> budget = std::make_shared<InputBudget>(
      InputBudget::Limits{kMaxBytes, kMaxConnections});
  InputBudget::ListenerId listener = this->budget->AddListener("one");
  InputBudget::ListenerId other = this->budget->AddListener("other");
};

// Guards against a client that sends slowly and keeps its bytes while others
// are refused.
TEST_F(InputBudgetTest, Hold_OverBytes_ClosesLongestHolderOfAnyListener) {
  const auto first = this->Open(this->other);
  const auto second = this->Open();
  const auto third = this->Open();
  EXPECT_TRUE(this->budget->Hold(second, 40, this->Tick()));
  EXPECT_TRUE(this->budget->Hold(first, 40, this->Tick()));
  EXPECT_TRUE(this->budget->Hold(second, 50, this->Tick()));
  EXPECT_TRUE(this->budget->Hold(third, 20, this->Tick()));
  EXPECT_THAT(this->closed, ElementsAre("2 bytes_held"));
  EXPECT_EQ(this->budget->HeldBytes(), 60U);
  EXPECT_FALSE(this->budget->Hold(second, 10, this->Tick()));
  EXPECT_EQ(this->budget->HeldBytes(), 60U);
}

TEST_F(InputBudgetTest, Hold_OwnBytesOverBudget_IsRefusedWithoutClose) {
  const auto first = this->Open();
  EXPECT_FALSE(this->budget->Hold(first, kMaxBytes + 1, this->Tick()));
  EXPECT_THAT(this->closed, IsEmpty());
  EXPECT_EQ(this->budget->HeldBytes(), 0U);
}

// Guards against a request that was run and whose answer is dropped because
// other requests fill the budget.
TEST_F(InputBudgetTest, HoldAnswer_NoRoom_ClosesOthersAndKeepsOwn) {
  const auto first = this->Open();
  const auto second = this->Open();
  const InputBudget::Charge charge(this->budget, this->other, kMaxBytes - 10);
  EXPECT_TRUE(this->budget->HoldAnswer(first, 20, this->Tick()));
  EXPECT_THAT(this->closed, IsEmpty());
  EXPECT_TRUE(this->budget->HoldAnswer(second, 5, this->Tick()));
  EXPECT_THAT(this->closed, ElementsAre("1 bytes_held"));
  EXPECT_FALSE(this->budget->HoldAnswer(first, 0, this->Tick()));
}

// Guards against a budget that counts a request no more once it is complete,
// while it waits for its answer.
TEST_F(InputBudgetTest, Charge_OverBytes_ClosesHolderAndCountsUntilDestroyed) {
  const auto first = this->Open();
  EXPECT_TRUE(this->budget->Hold(first, 60, this->Tick()));
  auto charge =
      std::make_unique<InputBudget::Charge>(this->budget, this->other, 70);
  EXPECT_THAT(this->closed, ElementsAre("1 bytes_held"));
  EXPECT_EQ(this->budget->HeldBytes(), 70U);
  EXPECT_EQ(this->budget->UsageByListener()[this->other].bytes, 70U);
  charge.reset();
  EXPECT_EQ(this->budget->HeldBytes(), 0U);
}

// Guards against idle connections that keep others out, and against closing one
// whose request is being handled.
TEST_F(InputBudgetTest, Open_TooMany_ClosesLongestWaitingThatIsNotBusy) {
  const auto first = this->Open();
  const auto second = this->Open();
  const auto third = this->Open();
  this->budget->SetBusy(first, true, this->Tick());
  EXPECT_TRUE(this->budget->Hold(third, 1, this->Tick()));
  this->Open();
  this->Open();
  EXPECT_THAT(this->closed,
              ElementsAre("2 connections_open", "3 connections_open"));
  this->budget->SetBusy(first, false, this->Tick());
  this->Open();
  EXPECT_THAT(this->closed,
              ElementsAre("2 connections_open", "3 connections_open",
                          "4 connections_open"));
  this->budget->Remove(second);
  EXPECT_EQ(this->budget->UsageByListener()[0].connections, kMaxConnections);
}

TEST_F(InputBudgetTest, Remove_HoldingConnection_FreesItsRoom) {
  const auto first = this->Open();
  EXPECT_TRUE(this->budget->Hold(first, 60, this->Tick()));
  this->budget->Remove(first);
  this->budget->Remove(first);
  EXPECT_EQ(this->budget->HeldBytes(), 0U);
  EXPECT_EQ(this->budget->UsageByListener()[0].connections, 0U);
}

/// Keeps all connections in a list and searches it.
struct NaiveConnection {
  std::size_t bytes = 0;
  TimePoint since{};
  bool busy = false;
};

// Guards against counts that drift in a long sequence of operations.
TEST_F(InputBudgetTest, AnyOperations_AgreeWithNaiveReference) {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    SCOPED_TRACE(seed);
    std::mt19937_64 random(seed);
    const auto draw = [&](std::size_t bound) { return random() % bound; };
    this->budget = std::make_shared<InputBudget>(InputBudget::Limits{1'000, 8});
    this->budget->AddListener("one");
    this->opened = 0;
    std::map<InputBudget::ConnectionId, NaiveConnection> model;
    const auto held = [&] {
      std::size_t bytes = 0;
      for (const auto& [id, connection] : model) {
        bytes += connection.bytes;
      }
      return bytes;
    };
    const auto oldest = [&](bool holding_only) {
      std::optional<InputBudget::ConnectionId> found;
      for (const auto& [id, connection] : model) {
        const bool eligible =
            connection.bytes > 0 || (!holding_only && !connection.busy);
        if (eligible &&
            (!found.has_value() || connection.since < model.at(*found).since)) {
          found = id;
        }
      }
      return found;
    };
    for (int step = 0; step < 2'000; ++step) {
      this->closed.clear();
      std::vector<std::string> expected;
      const TimePoint time = this->Tick();
      const auto id = this->opened == 0 ? 0 : 1 + draw(this->opened);
      switch (draw(6)) {
        case 0: {
          if (model.size() >= 8) {
            if (const auto victim = oldest(false); victim.has_value()) {
              expected.push_back(std::to_string(*victim) + " connections_open");
              model.erase(*victim);
            }
          }
          const auto opened_id = this->Open();
          model[opened_id] = NaiveConnection{0, this->now, false};
          break;
        }
        case 1:
          this->budget->Remove(id);
          model.erase(id);
          break;
        case 2: {
          const bool busy = draw(2) == 0;
          this->budget->SetBusy(id, busy, time);
          if (model.contains(id) && model[id].busy != busy) {
            model[id].busy = busy;
            if (model[id].bytes == 0) {
              model[id].since = time;
            }
          }
          break;
        }
        default: {
          const std::size_t bytes = draw(3) == 0 ? 0 : draw(400);
          const bool kept = this->budget->Hold(id, bytes, time);
          const bool known = model.contains(id);
          if (known) {
            if ((model[id].bytes == 0) != (bytes == 0)) {
              model[id].since = time;
            }
            model[id].bytes = bytes;
            while (held() > 1'000) {
              const auto victim = oldest(true);
              if (*victim != id) {
                expected.push_back(std::to_string(*victim) + " bytes_held");
              }
              model.erase(*victim);
            }
          }
          ASSERT_EQ(kept, model.contains(id));
        }
      }
      ASSERT_EQ(this->closed, expected);
      ASSERT_EQ(this->budget->HeldBytes(), held());
      ASSERT_EQ(this->budget->UsageByListener()[0].connections, model.size());
    }
  }
}

}  // namespace
}  // namespace mimosastage
