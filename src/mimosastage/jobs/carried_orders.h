#ifndef MIMOSASTAGE_JOBS_CARRIED_ORDERS_H_
#define MIMOSASTAGE_JOBS_CARRIED_ORDERS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "mimosastage/base/names.h"
#include "mimosastage/base/time.h"
#include "mimosastage/jobs/carried_messages.h"
#include "mimosastage/jobs/worker_order.h"

namespace mimosastage::jobs {

/// On a voter: sends the leader's orders to workers and returns the results in
/// batches. The counterpart of OrderCarriers. Does no I/O. Not thread-safe.
class CarriedOrders {
 public:
  struct Config {
    /// Shortest interval between two batches of results. Each batch costs the
    /// leader a turn, whatever it holds.
    std::chrono::milliseconds batch_interval{10};
    /// Further orders are refused as not started.
    std::size_t max_in_hand = 2'048;
    /// Limit of one batch. Well below Links::kMaxMessageBytes.
    std::size_t max_batch_bytes = 256U << 10U;
  };

  struct Hooks {
    /// Sends an order to its worker, unless its `send_before` has passed when
    /// the connection is ready. Must cause one call to OnReply.
    std::function<void(WorkerOrder order)> send_order;
    std::function<void(DaemonId leader, std::vector<CarriedReply> replies)>
        send_replies;
    std::function<void(const char* reason)> count_drop;
  };

  /// `session` must be different for each start of the process.
  CarriedOrders(Config config, Hooks hooks, std::uint64_t session)
      : config(config), hooks(std::move(hooks)), session(session) {}

  CarrierNotice MakeNotice(std::uint64_t fence, TimePoint now) const {
    return CarrierNotice{fence, this->session, now};
  }

  /// Handles orders of `from`. They are refused as not started unless `from` is
  /// `leader`, the daemon that this one takes for the leader and for which it
  /// can carry orders, if any, and their fence is at least `min_fence` and not
  /// below that of any batch accepted earlier.
  void OnBatch(DaemonId from, OrderBatch batch, std::optional<DaemonId> leader,
               std::uint64_t min_fence, TimePoint now);
  /// Returns false if the reply isn't that of a carried order.
  bool OnReply(const WorkerReply& reply, TimePoint now);
  /// Sends the results if a batch is due.
  void Flush(TimePoint now);
  /// When Flush must run next.
  TimePoint NextDue() const;
  /// True if no order is in hand and no result waits.
  bool IsIdle() const { return this->in_hand.empty() && this->results.empty(); }

 private:
  struct Result {
    WorkerReply reply;
    /// Unset if the order wasn't begun.
    std::optional<TimePoint> started_at;
  };

  void Refuse(DaemonId leader, std::uint64_t number);

  Config config;
  Hooks hooks;
  std::uint64_t session;
  /// The highest fence of an accepted batch.
  std::uint64_t highest_fence = 0;
  /// The daemon that gave each order that was sent and has no result yet.
  std::unordered_map<std::uint64_t, DaemonId> in_hand;
  std::map<DaemonId, std::vector<Result>> results;
  TimePoint last_flush{};
};

}  // namespace mimosastage::jobs

#endif  // MIMOSASTAGE_JOBS_CARRIED_ORDERS_H_
