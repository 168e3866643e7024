#include "mimosastage/jobs/order_carriers.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "mimosastage/jobs/worker_lease.h"

namespace mimosastage::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// The leader's side without links: batches are collected, and the test answers
/// for the carriers.
class OrderCarriersTest : public ::testing::Test {
 protected:
  static constexpr DaemonId kSelf{1};
  static constexpr std::uint64_t kFence = 7;
  static constexpr milliseconds kSendWindow{250};

  OrderCarriersTest() {
    OrderCarriers::Hooks hooks;
    hooks.send_batch = [this](DaemonId to, const OrderBatch& batch) {
      this->batches.emplace_back(to, batch);
      for (const WorkerOrder& order : batch.orders) {
        this->sent[order.number].push_back(to);
      }
    };
    hooks.send_order = [this](const WorkerOrder& order) {
      this->sent[order.number].push_back(kSelf);
    };
    hooks.on_reply = [this](const WorkerReply& reply, TimePoint) {
      this->replies[reply.number].push_back(reply);
    };
    hooks.report = [](const char*, const std::string&, const std::string&) {};
    hooks.count_retry = [](const char*) {};
    this->carriers = std::make_unique<OrderCarriers>(
        OrderCarriers::Config{}, std::move(hooks), kSelf, kFence);
  }

  void Notice(DaemonId from, std::uint64_t fence = kFence) {
    this->carriers->OnNotice(
        from, CarrierNotice{fence, 100 + static_cast<std::uint64_t>(from), {}},
        this->now);
  }

  void NoticesOf(const std::vector<DaemonId>& voters) {
    for (const DaemonId voter : voters) {
      this->Notice(voter);
    }
  }

  /// Lets the wait at the start of the term pass with notices of `voters`.
  void BeginTerm(const std::vector<DaemonId>& voters) {
    this->NoticesOf(voters);
    this->now += milliseconds(20);
    this->NoticesOf(voters);
  }

  /// Submits an order and flushes it; returns its number.
  std::uint64_t Order(const std::string& worker = "worker") {
    WorkerOrder order;
    order.number = this->next_number++;
    order.worker = worker;
    order.fence = kFence;
    order.body = HoldOrder{};
    order.timeout = milliseconds(600);
    order.send_before = this->now + kSendWindow;
    const std::uint64_t number = order.number;
    this->carriers->Submit(std::move(order));
    this->now += OrderCarriers::Config{}.batch_interval;
    this->carriers->Flush(this->now);
    return number;
  }

  DaemonId CarrierOf(std::uint64_t number) const {
    return this->sent.at(number).front();
  }

  void Reply(DaemonId from, std::uint64_t number, OrderResult result) {
    CarriedReply carried;
    carried.reply.number = number;
    carried.reply.result = result;
    this->carriers->OnReplies(from, {carried}, this->now);
  }

  /// Lets time pass with notices of `voters`.
  void Wait(milliseconds time, const std::vector<DaemonId>& voters) {
    const TimePoint end = this->now + time;
    while (this->now < end) {
      this->now += std::min<Duration>(milliseconds(50), end - this->now);
      this->NoticesOf(voters);
      this->carriers->Flush(this->now);
    }
  }

  TimePoint now{std::chrono::hours(1)};
  std::unique_ptr<OrderCarriers> carriers;
  std::uint64_t next_number = 1;
  std::vector<std::pair<DaemonId, OrderBatch>> batches;
  /// Who was given each order.
  std::map<std::uint64_t, std::vector<DaemonId>> sent;
  std::map<std::uint64_t, std::vector<WorkerReply>> replies;
  const DaemonId a{2};
  const DaemonId b{3};
};

// Guards against a leader that does the work itself, and against connections
// that are opened anew because workers change their carriers.
TEST_F(OrderCarriersTest, OthersInTouch_ShareTheWorkers_EachKeepsItsCarrier) {
  this->BeginTerm({this->a, this->b});
  std::map<DaemonId, int> shares;
  for (int i = 0; i < 100; ++i) {
    const std::string worker = "worker-" + std::to_string(i);
    const DaemonId first = this->CarrierOf(this->Order(worker));
    EXPECT_EQ(this->CarrierOf(this->Order(worker)), first);
    ++shares[first];
    this->NoticesOf({this->a, this->b});
  }
  EXPECT_EQ(shares.size(), 2U);
  EXPECT_FALSE(shares.contains(kSelf));
  EXPECT_GT(shares[this->a], 30);
  EXPECT_GT(shares[this->b], 30);
}

// Guards against a single voter, or the only one in touch, that orders nothing.
TEST_F(OrderCarriersTest, NoOtherInTouch_LeaderSendsItself) {
  const std::uint64_t number = this->Order();
  this->Wait(milliseconds(100), {});
  EXPECT_EQ(this->CarrierOf(number), kSelf);
  WorkerReply reply;
  reply.number = number;
  reply.result = OrderResult::kOk;
  this->carriers->OnOwnReply(reply, this->now);
  ASSERT_EQ(this->replies[number].size(), 1U);
  EXPECT_EQ(this->replies[number].front().result, OrderResult::kOk);
}

// Guards against orders given to a voter that follows another leader.
TEST_F(OrderCarriersTest, NoticeOfAnotherTerm_VoterCarriesNothing) {
  this->Notice(this->a, kFence - 1);
  this->Notice(this->b, kFence + 1);
  const std::uint64_t number = this->Order();
  this->Wait(milliseconds(100), {});
  EXPECT_EQ(this->CarrierOf(number), kSelf);
}

/// A term that has just begun: no voter has reported yet.
class OrderCarriersNewTermTest : public OrderCarriersTest {
 protected:
  OrderCarriersNewTermTest() {
    // The leader may need this long to begin its term.
    this->now += milliseconds(500);
  }

  void SubmitHolds() {
    for (std::uint64_t i = 1; i <= 50; ++i) {
      WorkerOrder order;
      order.number = i;
      order.worker = "worker-" + std::to_string(i);
      order.send_before = this->now + kSendWindow;
      this->carriers->Submit(order);
    }
    this->carriers->Flush(this->now);
  }
};

// Guards against a new leader that holds hundreds of workers itself, which
// takes it longer than the time to send an order, and against first holds that
// all go to the voter that reports first.
TEST_F(OrderCarriersNewTermTest, VotersReportLater_TheyShareTheFirstHolds) {
  this->SubmitHolds();
  EXPECT_TRUE(this->sent.empty());
  this->now += milliseconds(80);
  this->Notice(this->a);
  this->carriers->Flush(this->now);
  EXPECT_TRUE(this->sent.empty());
  this->now += milliseconds(10);
  this->Notice(this->b);
  this->now = this->carriers->NextDue();
  this->carriers->Flush(this->now);
  ASSERT_EQ(this->sent.size(), 50U);
  std::map<DaemonId, int> shares;
  for (const auto& [number, to] : this->sent) {
    ++shares[to.front()];
  }
  EXPECT_GT(shares[this->a], 10);
  EXPECT_GT(shares[this->b], 10);
  EXPECT_EQ(shares[kSelf], 0);
}

// Guards against a leader that waits for voters that never report.
TEST_F(OrderCarriersNewTermTest, NobodyReports_LeaderSendsTheFirstHolds) {
  this->SubmitHolds();
  this->now += milliseconds(99);
  this->carriers->Flush(this->now);
  EXPECT_TRUE(this->sent.empty());
  this->now = this->carriers->NextDue();
  this->carriers->Flush(this->now);
  ASSERT_EQ(this->sent.size(), 50U);
  EXPECT_EQ(this->CarrierOf(1), kSelf);
}

// Guards against an order that never ends, or that ends as "not started"
// although the carrier may have executed it: the link drops the batch, or the
// carrier dies or freezes with it.
TEST_F(OrderCarriersTest, BatchIsLost_OrderIsUnansweredOnceItsTimeHasPassed) {
  this->BeginTerm({this->a});
  const std::uint64_t number = this->Order();
  ASSERT_EQ(this->CarrierOf(number), this->a);
  // 250 ms to send, 600 ms timeout and 150 ms margin, less a batch interval
  // until Flush.
  this->Wait(milliseconds(990), {this->a});
  EXPECT_TRUE(this->replies[number].empty());
  this->Wait(milliseconds(10), {this->a});
  ASSERT_EQ(this->replies[number].size(), 1U);
  EXPECT_EQ(this->replies[number].front().result, OrderResult::kUnanswered);
  this->Wait(seconds(3), {this->a});
  EXPECT_EQ(this->replies[number].size(), 1U);
  EXPECT_EQ(this->sent[number].size(), 1U) << "sent twice";
}

// Guards against a second result for one order, which would end or confirm a
// run that the first result left open.
TEST_F(OrderCarriersTest, AnswerArrivesAfterTheOrderWasGivenUp_IsDropped) {
  this->BeginTerm({this->a});
  const std::uint64_t number = this->Order();
  this->Wait(milliseconds(1'100), {this->a});
  ASSERT_EQ(this->replies[number].size(), 1U);
  this->Reply(this->a, number, OrderResult::kOk);
  EXPECT_EQ(this->replies[number].size(), 1U);
}

// Guards against new orders for a carrier that left one without a result.
TEST_F(OrderCarriersTest, CarrierLeavesAnOrder_IsAvoidedForASecond) {
  this->BeginTerm({this->a, this->b});
  const std::uint64_t lost = this->Order();
  const DaemonId silent = this->CarrierOf(lost);
  this->Wait(milliseconds(1'100), {this->a, this->b});
  for (int i = 0; i < 20; ++i) {
    const std::uint64_t next = this->Order("worker-" + std::to_string(i));
    EXPECT_NE(this->CarrierOf(next), silent);
    this->Reply(this->CarrierOf(next), next, OrderResult::kOk);
  }
  this->Wait(milliseconds(1'000), {this->a, this->b});
  std::set<DaemonId> used;
  for (int i = 0; i < 20; ++i) {
    used.insert(this->CarrierOf(this->Order("worker-" + std::to_string(i))));
  }
  EXPECT_TRUE(used.contains(silent));
}

// Guards against orders for a frozen or cut-off carrier until the first of them
// has timed out.
TEST_F(OrderCarriersTest, CarrierIsSilent_NewOrdersGoElsewhere) {
  this->BeginTerm({this->a, this->b});
  this->Wait(milliseconds(650), {this->b});
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(this->CarrierOf(this->Order("worker-" + std::to_string(i))),
              this->b);
  }
}

// Guards against workers that stay silent for up to 2 s because a frozen or
// cut-off carrier has their hold in hand.
TEST_F(OrderCarriersTest, CarrierIsSilent_ItsOrdersAreUnanswered) {
  this->BeginTerm({this->a});
  const std::uint64_t number = this->Order();
  this->Wait(milliseconds(450), {});
  EXPECT_TRUE(this->replies[number].empty());
  this->Wait(milliseconds(100), {});
  ASSERT_EQ(this->replies[number].size(), 1U);
  EXPECT_EQ(this->replies[number].front().result, OrderResult::kUnanswered);
}

// Guards against a leader that takes its own freeze for the silence of all
// carriers, and all workers for silent.
TEST_F(OrderCarriersTest, LeaderWasFrozen_CarriersKeepTheirOrders) {
  this->BeginTerm({this->a});
  const std::uint64_t number = this->Order();
  this->now += milliseconds(550);
  this->Wait(milliseconds(250), {});
  EXPECT_TRUE(this->replies[number].empty());
  this->Wait(milliseconds(50), {this->a});
  this->Reply(this->a, number, OrderResult::kOk);
  ASSERT_EQ(this->replies[number].size(), 1U);
  EXPECT_EQ(this->replies[number].front().result, OrderResult::kOk);
}

// Guards against workers that wait for the time-out of a dead carrier, and
// against an answer that is counted after the link is up again.
TEST_F(OrderCarriersTest, LinkBreaks_OrdersAreUnansweredAtOnce) {
  this->BeginTerm({this->a});
  const std::uint64_t number = this->Order();
  this->carriers->OnLinkDown(this->a, this->now);
  ASSERT_EQ(this->replies[number].size(), 1U);
  EXPECT_EQ(this->replies[number].front().result, OrderResult::kUnanswered);
  this->NoticesOf({this->a});
  this->Reply(this->a, number, OrderResult::kOk);
  EXPECT_EQ(this->replies[number].size(), 1U);
}

// Guards against a refused order that counts as silence of its worker, and
// against giving it to the same carrier again at once.
TEST_F(OrderCarriersTest, CarrierRefuses_OrderIsNotStarted_CarrierIsAvoided) {
  this->BeginTerm({this->a, this->b});
  const std::uint64_t number = this->Order();
  const DaemonId refusing = this->CarrierOf(number);
  this->Reply(refusing, number, OrderResult::kNotStarted);
  ASSERT_EQ(this->replies[number].size(), 1U);
  EXPECT_EQ(this->replies[number].front().result, OrderResult::kNotStarted);
  EXPECT_NE(this->CarrierOf(this->Order()), refusing);
}

// Guards against a leader that takes over all work when all carriers are short
// of processor time.
TEST_F(OrderCarriersTest, AllCarriersRefuse_TheyAreUsedAllTheSame) {
  this->BeginTerm({this->a, this->b});
  for (int i = 0; i < 20; ++i) {
    const std::uint64_t number = this->Order("worker-" + std::to_string(i));
    ASSERT_NE(this->CarrierOf(number), kSelf);
    this->Reply(this->CarrierOf(number), number, OrderResult::kNotStarted);
  }
}

// Guards against a worker that stays out of reach because one carrier is cut
// off from it.
TEST_F(OrderCarriersTest, OrdersFailOnTheWay_WorkerMovesOn_AtLastToTheLeader) {
  this->BeginTerm({this->a, this->b});
  std::vector<DaemonId> tried;
  for (int i = 0; i < 4; ++i) {
    const std::uint64_t number = this->Order();
    tried.push_back(this->CarrierOf(number));
    this->Reply(tried.back(), number,
                i % 2 == 0 ? OrderResult::kNotSent : OrderResult::kUnanswered);
  }
  EXPECT_EQ(tried[0], tried[1]);
  EXPECT_EQ(tried[2], tried[3]);
  EXPECT_EQ((std::set<DaemonId>{tried[0], tried[2]}),
            (std::set<DaemonId>{this->a, this->b}));
  EXPECT_EQ(this->CarrierOf(this->Order()), kSelf);
}

// Guards against connections that are opened anew, and against a leader that
// gathers workers, because answers are lost now and then.
TEST_F(OrderCarriersTest, SingleOrdersFail_WorkerKeepsItsCarrier) {
  this->BeginTerm({this->a, this->b});
  const DaemonId first = this->CarrierOf(this->Order());
  for (int i = 0; i < 10; ++i) {
    const std::uint64_t number = this->Order();
    ASSERT_EQ(this->CarrierOf(number), first);
    this->Reply(first, number,
                i % 2 == 0 ? OrderResult::kUnanswered : OrderResult::kOk);
  }
}

// Guards against a leader that keeps the workers to which orders have once
// failed.
TEST_F(OrderCarriersTest, OrdersFailedLongAgo_WorkerIsBackAtItsCarrier) {
  this->BeginTerm({this->a, this->b});
  const DaemonId first = this->CarrierOf(this->Order());
  for (int i = 0; i < 2; ++i) {
    this->Reply(first, this->Order(), OrderResult::kUnanswered);
  }
  EXPECT_NE(this->CarrierOf(this->Order()), first);
  this->Wait(seconds(11), {this->a, this->b});
  EXPECT_EQ(this->CarrierOf(this->Order()), first);
}

// Guards against workers that change their carrier, and their connection, twice
// because another voter was gone for a moment.
TEST_F(OrderCarriersTest, CarrierWasGone_ItsWorkersAreBackAtIt) {
  this->BeginTerm({this->a, this->b});
  const std::uint64_t number = this->Order();
  const DaemonId first = this->CarrierOf(number);
  this->carriers->OnLinkDown(first, this->now);
  EXPECT_NE(this->CarrierOf(this->Order()), first);
  this->NoticesOf({this->a, this->b});
  EXPECT_EQ(this->CarrierOf(this->Order()), first);
}

// Guards against orders that a leader sends after it was frozen or without
// authority, when another may lead.
TEST_F(OrderCarriersTest, OrderWaitsTooLong_NeverLeaves_IsNotStarted) {
  this->BeginTerm({this->a});
  WorkerOrder order;
  order.number = 1;
  order.send_before = this->now + kSendWindow;
  this->carriers->Submit(order);
  this->now += kSendWindow;
  this->Notice(this->a);
  this->carriers->Flush(this->now);
  EXPECT_TRUE(this->sent.empty());
  ASSERT_EQ(this->replies[1].size(), 1U);
  EXPECT_EQ(this->replies[1].front().result, OrderResult::kNotStarted);
}

// Guards against a result that another voter reports for an order that it
// doesn't have.
TEST_F(OrderCarriersTest, ReplyOfAVoterWithoutTheOrder_IsDropped) {
  this->BeginTerm({this->a});
  const std::uint64_t number = this->Order();
  this->Reply(this->b, number, OrderResult::kNotStarted);
  EXPECT_TRUE(this->replies[number].empty());
}

// Guards against an order that a carrier sends long after the decision: the
// carrier's clock has nothing to do with the leader's, and its notice was on
// its way for some time.
TEST_F(OrderCarriersTest, CarriersClockDiffers_LimitIsNotAfterTheLeaders) {
  const auto carrier_clock = [&](TimePoint time) {
    return time - seconds(2'000);
  };
  const milliseconds way(80);
  this->carriers->OnNotice(this->a,
                           CarrierNotice{kFence, 5, carrier_clock(this->now)},
                           this->now + way);
  this->now += milliseconds(400);
  const TimePoint decided = this->now;
  this->Order();
  ASSERT_EQ(this->batches.size(), 1U);
  EXPECT_EQ(this->batches.front().second.session, 5U);
  EXPECT_EQ(this->batches.front().second.orders.front().send_before,
            carrier_clock(decided + kSendWindow - way));
}

// Guards against a lease that counts as expired while tasks can still run: the
// answer was long on its way to the leader.
TEST_F(OrderCarriersTest, AnswerIsLongOnItsWay_LeaseEstimateIsNotTooHigh) {
  this->BeginTerm({this->a});
  const std::uint64_t number = this->Order();
  // The worker's clock shows 0 at `started`, and is 2% slow.
  const TimePoint started = this->now;
  const auto worker_clock = [&](TimePoint time) {
    return std::chrono::duration_cast<milliseconds>((time - started) * 0.98);
  };
  CarriedReply carried;
  carried.reply.number = number;
  carried.reply.result = OrderResult::kOk;
  carried.reply.clock = worker_clock(this->now + milliseconds(10));
  // Times of the carrier, which mean nothing to the leader.
  carried.reply.read_at = TimePoint(seconds(5));
  carried.since_start = milliseconds(20);
  this->now += milliseconds(700);
  this->carriers->OnReplies(this->a, {carried}, this->now);
  const WorkerReply& reply = this->replies[number].front();
  EXPECT_EQ(reply.read_at, this->now);
  EXPECT_EQ(reply.started_at, this->now - milliseconds(20));
  WorkerLease lease(WorkerLease::Config{}, started);
  lease.OnClock(*reply.clock, reply.read_at);
  const milliseconds deadline = *lease.HoldDeadline(this->now);
  EXPECT_LE(deadline, worker_clock(this->now) + milliseconds(4'500))
      << "the delay may only make it shorter";
  for (int i = 0; i < 700; ++i) {
    this->now += milliseconds(10);
    EXPECT_FALSE(lease.Expired(this->now) && worker_clock(this->now) < deadline)
        << "expired " << i * 10 << " ms after the answer";
  }
  EXPECT_TRUE(lease.Expired(this->now));
}

// Guards against messages that a link refuses, or that fill its queue.
TEST_F(OrderCarriersTest, ManyLargeOrders_BatchesAreBounded) {
  this->BeginTerm({this->a});
  StartOrder start;
  start.specification = std::string(4'000, 'x');
  for (std::uint64_t i = 1; i <= 400; ++i) {
    WorkerOrder order;
    order.number = i;
    order.body = start;
    order.send_before = this->now + kSendWindow;
    this->carriers->Submit(order);
  }
  start.specification = std::string(2U << 20U, 'x');
  WorkerOrder large;
  large.number = 1'000;
  large.body = start;
  large.send_before = this->now + kSendWindow;
  this->carriers->Submit(large);
  this->carriers->Flush(this->now);
  EXPECT_EQ(this->CarrierOf(1'000), kSelf);
  EXPECT_EQ(this->sent.size(), 401U);
  EXPECT_GT(this->batches.size(), 1U);
  for (const auto& [to, batch] : this->batches) {
    EXPECT_LE(batch.orders.size(), 256U);
    EXPECT_LE(EncodeOrderBatch(batch).size(), 512U << 10U);
  }
}

// Guards against a leader that pays for a message with each order of a busy
// moment, and against orders of an idle one that wait.
TEST_F(OrderCarriersTest, Flush_Idle_SendsAtOnce_BusyOnceAnInterval) {
  this->BeginTerm({this->a});
  WorkerOrder order;
  order.send_before = this->now + kSendWindow;
  order.number = 1;
  this->carriers->Submit(order);
  this->carriers->Flush(this->now);
  EXPECT_EQ(this->batches.size(), 1U);
  for (std::uint64_t i = 2; i <= 4; ++i) {
    order.number = i;
    this->carriers->Submit(order);
    this->now += milliseconds(1);
    this->carriers->Flush(this->now);
  }
  EXPECT_EQ(this->batches.size(), 1U);
  this->now = this->carriers->NextDue();
  this->carriers->Flush(this->now);
  ASSERT_EQ(this->batches.size(), 2U);
  EXPECT_EQ(this->batches.back().second.orders.size(), 3U);
}

}  // namespace
}  // namespace mimosastage::jobs
