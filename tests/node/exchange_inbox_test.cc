#include "mimosastage/node/exchange_inbox.h"

#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <future>
#include <thread>
#include <vector>

namespace mimosastage {
namespace {

using std::chrono::seconds;

constexpr std::size_t kCapacity = 8;

ExchangeResult Delivered(std::uint64_t id) {
  ExchangeResult result;
  result.id = id;
  return result;
}

class ExchangeInboxTest : public ::testing::Test {
 protected:
  std::vector<std::uint64_t> DrainIds(std::size_t limit = 100) {
    std::vector<std::uint64_t> ids;
    this->inbox->Drain(
        [&](ExchangeResult&& result) { ids.push_back(result.id); }, limit);
    return ids;
  }

  void Fill() {
    for (std::size_t i = 0; i < kCapacity; ++i) {
      this->inbox->Deliver(Delivered(i));
    }
  }

  /// Whether `run` ends soon on a thread of its own. A thread that doesn't is
  /// left behind, with the inbox that it uses.
  static bool Ends(const std::function<void()>& run) {
    std::promise<void> ended;
    std::future<void> future = ended.get_future();
    std::thread([run, ended = std::move(ended)]() mutable {
      run();
      ended.set_value();
    }).detach();
    return future.wait_for(seconds(5)) == std::future_status::ready;
  }

  std::shared_ptr<ExchangeInbox> inbox =
      std::make_shared<ExchangeInbox>(kCapacity, [] {});
};

// Guards against a node thread that waits for room in the ring that only itself
// reads: the daemon did nothing any more.
TEST_F(ExchangeInboxTest, AddRefused_RingFull_DoesNotBlock) {
  this->Fill();
  ASSERT_TRUE(Ends([inbox = this->inbox] { inbox->AddRefused(100); }));
  const std::vector<std::uint64_t> ids = this->DrainIds();
  EXPECT_EQ(ids.size(), kCapacity + 1);
  EXPECT_EQ(ids.front(), 100U);
}

// Guards against an endless turn of a node that repeats a refused exchange.
TEST_F(ExchangeInboxTest, AddRefused_WhileDraining_WaitsForNextDrain) {
  this->inbox->AddRefused(1);
  std::size_t handled = this->inbox->Drain(
      [&](ExchangeResult&& result) {
        EXPECT_EQ(result.end, AttemptEnd::kNotStarted);
        this->inbox->AddRefused(result.id + 1);
      },
      100);
  EXPECT_EQ(handled, 1U);
  EXPECT_EQ(this->DrainIds(), std::vector<std::uint64_t>{2});
}

// Guards against a stop that waits forever: the client's thread reports the
// exchanges that it cancels after the node thread has ended.
TEST_F(ExchangeInboxTest, Deliver_ClosedAndFull_DoesNotBlock) {
  this->Fill();
  this->inbox->Close();
  EXPECT_TRUE(Ends([inbox = this->inbox] { inbox->Deliver(Delivered(9)); }));
}

// Guards against a ring with two writers, which loses or repeats results. Run
// it under the thread sanitizer too.
TEST_F(ExchangeInboxTest, TwoThreads_DeliverAndRefuse_EachResultOnce) {
  constexpr std::uint64_t kResults = 20'000;
  std::thread client([&] {
    for (std::uint64_t id = 0; id < kResults; ++id) {
      this->inbox->Deliver(Delivered(id));
    }
  });
  std::vector<int> counts(2 * kResults, 0);
  std::uint64_t refused = kResults;
  std::uint64_t total = 0;
  const auto limit = std::chrono::steady_clock::now() + seconds(60);
  while (total < 2 * kResults && std::chrono::steady_clock::now() < limit) {
    if (refused < 2 * kResults) {
      this->inbox->AddRefused(refused++);
    }
    total += this->inbox->Drain(
        [&](ExchangeResult&& result) { ++counts.at(result.id); }, 4);
  }
  client.join();
  EXPECT_EQ(counts, std::vector<int>(2 * kResults, 1));
}

}  // namespace
}  // namespace mimosastage
