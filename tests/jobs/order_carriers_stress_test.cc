#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "mimosastage/jobs/carried_orders.h"
#include "mimosastage/jobs/order_carriers.h"

namespace mimosastage::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kDefaultSeeds = 100;
constexpr milliseconds kSendWindow{250};
constexpr milliseconds kOrderTimeout{600};
/// An order has its result this long after it was submitted: the wait for the
/// first notice of a term, and the time after which it is given up.
constexpr milliseconds kLongestOrder{2'000};

int NumberOfSeeds() {
  const char* const seeds = std::getenv("MIMOSASTAGE_SCHEDULES");
  return seeds == nullptr ? kDefaultSeeds : std::atoi(seeds);
}

/// A leader of several terms and three carriers with clocks of their own. Links
/// break and lose what is on its way; carriers freeze and restart; results
/// arrive late, twice, from other voters and for orders of former terms.
class OrderCarriersStressTest : public ::testing::Test {
 protected:
  static constexpr DaemonId kLeader{1};
  static constexpr std::size_t kCarriers = 3;

  struct Voter {
    std::unique_ptr<CarriedOrders> carried;
    std::uint64_t session = 0;
    /// Its clock minus the leader's.
    Duration clock_offset{};
    bool link_up = true;
    /// Counts the breaks of the link; a message is lost if one came between.
    std::uint64_t link = 0;
    TimePoint frozen_until{};
  };

  std::uint64_t Draw(std::uint64_t limit) {
    return std::uniform_int_distribution<std::uint64_t>(
        0, limit - 1)(this->random);
  }
  bool DrawPercent(std::uint64_t percent) { return this->Draw(100) < percent; }
  static DaemonId IdOf(std::size_t voter) {
    return DaemonId{static_cast<std::uint16_t>(voter + 2)};
  }

  void Later(milliseconds delay, std::function<void()> action) {
    this->events.emplace(this->now + delay, std::move(action));
  }

  /// Delivers over the voter's link, unless it breaks before.
  void Deliver(std::size_t voter, std::function<void()> action) {
    if (!this->voters[voter].link_up) {
      return;
    }
    const std::uint64_t link = this->voters[voter].link;
    this->Later(milliseconds(this->Draw(DrawPercent(5) ? 400 : 3)),
                [this, voter, link, action = std::move(action)] {
                  if (this->voters[voter].link == link) {
                    action();
                  }
                });
  }

  void BeginTerm() {
    // Answers to the orders of the former term have nobody to go to.
    this->open.clear();
    ++this->fence;
    OrderCarriers::Hooks hooks;
    hooks.send_batch = [this](DaemonId to, const OrderBatch& batch) {
      const std::size_t voter = static_cast<std::size_t>(to) - 2;
      const DaemonId from = this->DrawPercent(2) ? IdOf(0) : kLeader;
      this->Deliver(voter, [this, voter, batch, from] {
        this->GiveBatch(voter, batch, from);
      });
    };
    hooks.send_order = [this](const WorkerOrder& order) {
      this->CountSent(order, Duration::zero());
      this->Later(milliseconds(this->Draw(700)), [this, number = order.number] {
        this->carriers->OnOwnReply(this->MakeReply(number), this->now);
      });
    };
    hooks.on_reply = [this](const WorkerReply& reply, TimePoint) {
      EXPECT_EQ(this->open.erase(reply.number), 1U)
          << "order " << reply.number << " has a second result";
    };
    hooks.report = [](const char*, const std::string&, const std::string&) {};
    hooks.count_retry = [](const char*) {};
    this->carriers = std::make_unique<OrderCarriers>(
        OrderCarriers::Config{}, std::move(hooks), kLeader, this->fence);
  }

  void StartVoter(std::size_t voter) {
    Voter& started = this->voters[voter];
    started.session = ++this->last_session;
    started.clock_offset = seconds(this->Draw(2'000));
    CarriedOrders::Hooks hooks;
    hooks.send_order = [this, voter,
                        session = started.session](const WorkerOrder& order) {
      this->CountSent(order, this->voters[voter].clock_offset);
      this->Later(milliseconds(this->Draw(700)), [this, voter, session,
                                                  number = order.number] {
        Voter& now_there = this->voters[voter];
        if (now_there.session == session) {
          now_there.carried->OnReply(this->MakeReply(number),
                                     this->now + now_there.clock_offset);
        }
      });
    };
    hooks.send_replies = [this, voter](DaemonId,
                                       const std::vector<CarriedReply>& list) {
      for (int copies = this->DrawPercent(10) ? 2 : 1; copies > 0; --copies) {
        const DaemonId from =
            this->DrawPercent(2) ? IdOf(this->Draw(kCarriers)) : IdOf(voter);
        this->Deliver(voter, [this, from, list] {
          this->carriers->OnReplies(from, list, this->now);
        });
      }
    };
    hooks.count_drop = [](const char*) {};
    started.carried = std::make_unique<CarriedOrders>(
        CarriedOrders::Config{}, std::move(hooks), started.session);
  }

  void GiveBatch(std::size_t voter, const OrderBatch& batch, DaemonId from) {
    Voter& carrier = this->voters[voter];
    if (this->now < carrier.frozen_until) {
      this->events.emplace(carrier.frozen_until, [this, voter, batch, from] {
        this->GiveBatch(voter, batch, from);
      });
      return;
    }
    carrier.carried->OnBatch(from, batch, kLeader, this->fence,
                             this->now + carrier.clock_offset);
  }

  /// `offset` is the sender's clock minus the leader's.
  void CountSent(const WorkerOrder& order, Duration offset) {
    EXPECT_TRUE(this->sent.insert(order.number).second)
        << "order " << order.number << " was sent twice";
    EXPECT_LT(this->now + offset, order.send_before);
    EXPECT_LT(this->now, this->submitted.at(order.number) + kSendWindow);
  }

  WorkerReply MakeReply(std::uint64_t number) {
    WorkerReply reply;
    reply.number = number;
    reply.result =
        this->DrawPercent(70)
            ? OrderResult::kOk
            : static_cast<OrderResult>(this->Draw(
                  static_cast<std::uint64_t>(OrderResult::kUnanswered) + 1));
    reply.running.resize(this->Draw(3));
    return reply;
  }

  void Submit() {
    WorkerOrder order;
    order.number = ++this->last_number;
    order.worker = "worker-" + std::to_string(this->Draw(30));
    order.fence = this->fence;
    order.body = HoldOrder{};
    if (this->DrawPercent(1)) {
      order.body = StartOrder{{}, 1, std::string(80'000, 'x'), "", {}, ""};
    }
    order.timeout = kOrderTimeout;
    order.send_before = this->now + kSendWindow;
    this->submitted[order.number] = this->now;
    this->open[order.number] = this->now;
    this->carriers->Submit(std::move(order));
  }

  void DisturbOne() {
    const std::size_t chosen = this->Draw(kCarriers);
    Voter& voter = this->voters[chosen];
    switch (this->Draw(5)) {
      case 0:
        voter.link_up = !voter.link_up;
        ++voter.link;
        if (!voter.link_up) {
          this->carriers->OnLinkDown(IdOf(chosen), this->now);
        }
        break;
      case 1:
        voter.frozen_until = this->now + milliseconds(this->Draw(1'500));
        break;
      case 2:
        ++voter.link;
        this->carriers->OnLinkDown(IdOf(chosen), this->now);
        this->StartVoter(chosen);
        break;
      case 3:
        // The leader is frozen; everything arrives afterwards.
        this->now += milliseconds(this->Draw(600));
        for (auto& [number, since] : this->open) {
          since = this->now;
        }
        break;
      default:
        if (this->DrawPercent(20)) {
          this->BeginTerm();
        }
    }
  }

  void Run(std::uint64_t seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    this->random.seed(seed);
    for (std::size_t voter = 0; voter < kCarriers; ++voter) {
      this->StartVoter(voter);
    }
    this->BeginTerm();
    const TimePoint end = this->now + seconds(8);
    while (this->now < end && !this->HasFailure()) {
      this->now += milliseconds(1 + this->Draw(3));
      this->Advance();
      if (this->DrawPercent(1)) {
        this->DisturbOne();
      }
    }
  }

  void Advance() {
    while (!this->events.empty() && this->events.begin()->first <= this->now) {
      const auto action = std::move(this->events.begin()->second);
      this->events.erase(this->events.begin());
      action();
    }
    for (std::size_t i = 0; i < kCarriers; ++i) {
      Voter& voter = this->voters[i];
      if (this->now < voter.frozen_until) {
        continue;
      }
      voter.carried->Flush(this->now + voter.clock_offset);
      if (this->DrawPercent(2)) {
        const CarrierNotice notice = voter.carried->MakeNotice(
            this->DrawPercent(95) ? this->fence : this->fence - 1,
            this->now + voter.clock_offset);
        this->Deliver(i, [this, i, notice] {
          this->carriers->OnNotice(IdOf(i), notice, this->now);
        });
      }
    }
    for (std::uint64_t orders = this->Draw(4); orders > 0; --orders) {
      this->Submit();
    }
    this->carriers->Flush(this->now);
    if (!this->open.empty()) {
      const auto& [number, since] = *this->open.begin();
      EXPECT_LT(this->now, since + kLongestOrder)
          << "order " << number << " has no result";
    }
  }

  std::mt19937_64 random;
  TimePoint now{std::chrono::hours(1)};
  std::multimap<TimePoint, std::function<void()>> events;
  std::array<Voter, kCarriers> voters;
  std::unique_ptr<OrderCarriers> carriers;
  std::uint64_t fence = 0;
  std::uint64_t last_session = 0;
  std::uint64_t last_number = 0;
  std::map<std::uint64_t, TimePoint> submitted;
  /// Orders of the term without a result, and when their time began.
  std::map<std::uint64_t, TimePoint> open;
  std::set<std::uint64_t> sent;
};

// Guards against an order that is sent twice or too late, or that has no result
// or several, while links, carriers and terms end at any moment.
TEST_F(OrderCarriersStressTest, LinksAndTermsEnd_EachOrderHasOneResult) {
  for (int seed = 1; seed <= NumberOfSeeds(); ++seed) {
    this->events.clear();
    this->open.clear();
    this->submitted.clear();
    this->sent.clear();
    this->Run(static_cast<std::uint64_t>(seed));
    ASSERT_FALSE(this->HasFailure());
  }
}

}  // namespace
}  // namespace mimosastage::jobs
