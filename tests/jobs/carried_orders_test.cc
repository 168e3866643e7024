#include "mimosastage/jobs/carried_orders.h"

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

namespace mimosastage::jobs {
namespace {

using std::chrono::milliseconds;

/// A carrier without links and workers.
class CarriedOrdersTest : public ::testing::Test {
 protected:
  static constexpr DaemonId kLeader{1};
  static constexpr DaemonId kOther{3};
  static constexpr std::uint64_t kSession = 42;
  static constexpr std::uint64_t kFence = 7;

  CarriedOrdersTest() {
    CarriedOrders::Hooks hooks;
    hooks.send_order = [this](const WorkerOrder& order) {
      this->sent.push_back(order);
    };
    hooks.send_replies = [this](DaemonId leader,
                                const std::vector<CarriedReply>& replies) {
      ++this->messages;
      for (const CarriedReply& carried : replies) {
        this->returned[leader].push_back(carried);
      }
    };
    hooks.count_drop = [](const char*) {};
    this->carried = std::make_unique<CarriedOrders>(CarriedOrders::Config{},
                                                    std::move(hooks), kSession);
  }

  OrderBatch Batch(const std::vector<std::uint64_t>& numbers,
                   std::uint64_t fence = kFence) const {
    OrderBatch batch;
    batch.session = kSession;
    for (const std::uint64_t number : numbers) {
      WorkerOrder order;
      order.number = number;
      order.worker = "worker";
      order.fence = fence;
      order.body = HoldOrder{};
      order.send_before = this->now + milliseconds(250);
      batch.orders.push_back(std::move(order));
    }
    return batch;
  }

  void Answer(std::uint64_t number) {
    WorkerReply reply;
    reply.number = number;
    reply.result = OrderResult::kOk;
    reply.started_at = this->now - milliseconds(3);
    EXPECT_TRUE(this->carried->OnReply(reply, this->now));
  }

  /// Expects that the batch is refused without an order being sent.
  void ExpectRefused(DaemonId from, OrderBatch batch) {
    const std::size_t orders = batch.orders.size();
    this->carried->OnBatch(from, std::move(batch), kLeader, kFence, this->now);
    EXPECT_TRUE(this->sent.empty());
    this->carried->Flush(this->now);
    ASSERT_EQ(this->returned[from].size(), orders);
    for (const CarriedReply& carried : this->returned[from]) {
      EXPECT_EQ(carried.reply.result, OrderResult::kNotStarted);
    }
    EXPECT_TRUE(this->carried->IsIdle());
  }

  TimePoint now{std::chrono::hours(1)};
  std::unique_ptr<CarriedOrders> carried;
  std::vector<WorkerOrder> sent;
  std::map<DaemonId, std::vector<CarriedReply>> returned;
  int messages = 0;
};

TEST_F(CarriedOrdersTest, BatchOfTheLeader_IsSent_ResultsReturn) {
  this->carried->OnBatch(kLeader, this->Batch({1, 2}), kLeader, kFence,
                         this->now);
  ASSERT_EQ(this->sent.size(), 2U);
  EXPECT_FALSE(this->carried->IsIdle());
  this->Answer(1);
  this->now += milliseconds(2);
  this->carried->Flush(this->now);
  ASSERT_EQ(this->returned[kLeader].size(), 1U);
  EXPECT_EQ(this->returned[kLeader].front().reply.result, OrderResult::kOk);
  EXPECT_EQ(this->returned[kLeader].front().since_start, milliseconds(5));
  this->Answer(2);
  const milliseconds interval = CarriedOrders::Config{}.batch_interval;
  EXPECT_EQ(this->carried->NextDue(), this->now + interval);
  this->now += interval;
  this->carried->Flush(this->now);
  EXPECT_EQ(this->returned[kLeader].size(), 2U);
  EXPECT_TRUE(this->carried->IsIdle());
}

// Guards against orders of a former leader that are sent after the next one has
// begun to give orders.
TEST_F(CarriedOrdersTest, SenderIsNotTheLeader_OrdersAreRefused) {
  this->ExpectRefused(kOther, this->Batch({1, 2}));
}

TEST_F(CarriedOrdersTest, FenceIsBelowTheKnownTerm_OrdersAreRefused) {
  this->ExpectRefused(kLeader, this->Batch({1, 2}, kFence - 1));
}

// Guards against orders of an earlier term of a daemon that leads again.
TEST_F(CarriedOrdersTest, FenceIsBelowAnAcceptedOne_OrdersAreRefused) {
  this->carried->OnBatch(kOther, this->Batch({9}, kFence + 1), kOther, kFence,
                         this->now);
  this->Answer(9);
  this->sent.clear();
  this->now += milliseconds(10);
  this->ExpectRefused(kLeader, this->Batch({1, 2}));
}

// Guards against orders for the process before a restart: their times are on a
// clock that may have been reset.
TEST_F(CarriedOrdersTest, BatchForAnotherSession_OrdersAreRefused) {
  OrderBatch batch = this->Batch({1});
  batch.session = kSession + 1;
  this->ExpectRefused(kLeader, std::move(batch));
}

// Guards against orders that are sent after a freeze of the carrier.
TEST_F(CarriedOrdersTest, OrdersArriveLate_AreRefused) {
  OrderBatch batch = this->Batch({1});
  this->now += milliseconds(250);
  this->ExpectRefused(kLeader, std::move(batch));
}

// Guards against results of a former leader's orders that reach the next one,
// and against orders in hand that block those of the next leader.
TEST_F(CarriedOrdersTest, LeaderChanges_ResultsGoToWhoGaveTheOrder) {
  this->carried->OnBatch(kLeader, this->Batch({1}), kLeader, kFence, this->now);
  this->carried->OnBatch(kOther, this->Batch({2}, kFence + 1), kOther,
                         kFence + 1, this->now);
  EXPECT_EQ(this->sent.size(), 2U);
  this->Answer(1);
  this->Answer(2);
  this->carried->Flush(this->now);
  ASSERT_EQ(this->returned[kLeader].size(), 1U);
  EXPECT_EQ(this->returned[kLeader].front().reply.number, 1U);
  ASSERT_EQ(this->returned[kOther].size(), 1U);
  EXPECT_EQ(this->returned[kOther].front().reply.number, 2U);
}

// Guards against an order that is sent twice.
TEST_F(CarriedOrdersTest, OrderArrivesTwice_IsSentOnce) {
  this->carried->OnBatch(kLeader, this->Batch({1}), kLeader, kFence, this->now);
  this->carried->OnBatch(kLeader, this->Batch({1}), kLeader, kFence, this->now);
  EXPECT_EQ(this->sent.size(), 1U);
}

// Guards against a table of orders that grows without bound.
TEST_F(CarriedOrdersTest, TooManyOrdersInHand_FurtherOnesAreRefused) {
  std::vector<std::uint64_t> numbers(3'000);
  for (std::size_t i = 0; i < numbers.size(); ++i) {
    numbers[i] = i + 1;
  }
  this->carried->OnBatch(kLeader, this->Batch(numbers), kLeader, kFence,
                         this->now);
  EXPECT_EQ(this->sent.size(), 2'048U);
  this->carried->Flush(this->now);
  EXPECT_EQ(this->returned[kLeader].size(), 3'000U - 2'048U);
}

// Guards against messages that a link refuses.
TEST_F(CarriedOrdersTest, LargeResults_AreSplit) {
  this->carried->OnBatch(kLeader, this->Batch({1, 2, 3}), kLeader, kFence,
                         this->now);
  for (std::uint64_t number = 1; number <= 3; ++number) {
    WorkerReply reply;
    reply.number = number;
    reply.result = OrderResult::kOk;
    reply.ended.resize(1'500);
    this->carried->OnReply(reply, this->now);
  }
  this->carried->Flush(this->now);
  EXPECT_EQ(this->messages, 3);
}

TEST_F(CarriedOrdersTest, OnReply_OwnOrderOfThisDaemon_IsNotTaken) {
  WorkerReply reply;
  reply.number = 5;
  EXPECT_FALSE(this->carried->OnReply(reply, this->now));
}

}  // namespace
}  // namespace mimosastage::jobs
