#ifndef MIMOSASTAGE_JOBS_ORDER_CARRIERS_H_
#define MIMOSASTAGE_JOBS_ORDER_CARRIERS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "mimosastage/base/names.h"
#include "mimosastage/base/time.h"
#include "mimosastage/jobs/carried_messages.h"
#include "mimosastage/jobs/worker_order.h"

namespace mimosastage::jobs {

/// Hands the leader's orders for workers to other voters, the carriers, which
/// exchange them with the workers. Gives exactly one result for each order and
/// sends each order at most once. docs/platform.md, section 8, shows why leases
/// and single runs stay safe. Lives for one term of leadership and does no I/O.
/// Not thread-safe.
class OrderCarriers {
 public:
  struct Config {
    /// Shortest interval between two batches. A batch costs the leader a few
    /// system calls, whatever it holds.
    std::chrono::milliseconds batch_interval{8};
    /// In a new term, how long orders wait after the first notice, so that the
    /// first holds, one for each worker, don't all go to one voter.
    std::chrono::milliseconds further_notices_wait{20};
    /// How long they wait for the first notice. The leader can't open
    /// connections to hundreds of workers within the time to send an order.
    std::chrono::milliseconds first_notice_wait{100};
    /// A voter whose last notice is older carries nothing, and its orders are
    /// given up. Notices answer the leader's messages, which are sent every 200
    /// ms.
    std::chrono::milliseconds notice_validity{500};
    /// If Flush wasn't called for this long, the leader was frozen or busy, and
    /// the silence of carriers is measured anew.
    std::chrono::milliseconds own_delay{100};
    /// Added to the order's time to send and timeout before an order is given
    /// up. Covers the link, batches, and waits in the carrier's process.
    std::chrono::milliseconds answer_margin{150};
    /// How long a carrier is avoided that left an order unanswered or couldn't
    /// begin it in time.
    std::chrono::milliseconds avoid_time{1'000};
    /// A larger order is sent by the leader itself.
    std::size_t max_order_bytes = 64U << 10U;
    /// Limits of one batch. Well below Links::kMaxMessageBytes.
    std::size_t max_batch_bytes = 256U << 10U;
    std::size_t max_batch_orders = 256;
    /// A worker goes back to its first carrier this long after an order to it
    /// failed on the way. A cut between instances lasts for some seconds, and
    /// the leader must not keep the workers of which it carries the orders.
    std::chrono::milliseconds move_time{10'000};
    /// A worker changes its carrier after this many failures in a row. Single
    /// answers are lost without a cut, and a change costs a connection.
    std::size_t failures_until_move = 2;
    /// Workers with failed orders that are remembered.
    std::size_t max_moved_workers = 4'096;
  };

  struct Hooks {
    std::function<void(DaemonId carrier, OrderBatch batch)> send_batch;
    /// Sends an order from this daemon. Its reply must be passed to OnOwnReply.
    std::function<void(WorkerOrder order)> send_order;
    std::function<void(const WorkerReply& reply, TimePoint now)> on_reply;
    std::function<void(const char* event, const std::string& id,
                       const std::string& detail)>
        report;
    std::function<void(const char* reason)> count_retry;
  };

  /// `fence` is that of the term.
  OrderCarriers(Config config, Hooks hooks, DaemonId self, std::uint64_t fence)
      : config(config), hooks(std::move(hooks)), self(self), fence(fence) {}

  /// Queues an order until the next Flush.
  void Submit(WorkerOrder order) { this->queue.push_back(std::move(order)); }
  /// Sends the queued orders if a batch is due, and gives up the orders without
  /// a result in time. Must be called only while the leader has authority.
  void Flush(TimePoint now);
  /// When Flush must run next; orders are given up at its first call after
  /// their time.
  TimePoint NextDue() const;

  /// `now` must not be earlier than the arrival of the message.
  void OnNotice(DaemonId from, const CarrierNotice& notice, TimePoint now);
  void OnReplies(DaemonId from, std::vector<CarriedReply> replies,
                 TimePoint now);
  /// The link broke: the carrier's orders are unanswered.
  void OnLinkDown(DaemonId peer, TimePoint now);
  void OnOwnReply(const WorkerReply& reply, TimePoint now);

 private:
  struct Carrier {
    std::uint64_t session = 0;
    /// The carrier's clock in its last notice, and when that was received.
    TimePoint clock{};
    TimePoint heard_at{};
    TimePoint avoid_until{};
  };

  struct InHand {
    DaemonId carrier{};
    std::string worker;
    TimePoint give_up_at{};
  };

  void GiveUpOverdue(TimePoint now);
  void DropSilentCarriers(TimePoint now);
  /// Returns the voters that should carry orders now.
  std::vector<DaemonId> UsableCarriers(TimePoint now) const;
  DaemonId ChooseCarrier(const std::string& worker,
                         const std::vector<DaemonId>& usable, TimePoint now);
  void SendBatches(DaemonId to, std::vector<WorkerOrder> orders);
  /// Ends orders without a result as unanswered.
  void EndWithout(const std::vector<std::uint64_t>& numbers, TimePoint now);
  void Finish(WorkerReply reply, TimePoint now);
  /// Changes the worker's carrier if orders to it have failed repeatedly.
  void CountFailure(const std::string& worker, TimePoint now);
  void Avoid(DaemonId carrier, const char* reason, TimePoint now);

  Config config;
  Hooks hooks;
  DaemonId self;
  std::uint64_t fence;
  /// No order leaves before. Set by the first Flush with an order, because the
  /// start of a term takes the leader some time.
  std::optional<TimePoint> first_batch;
  TimePoint last_flush{};
  /// When DropSilentCarriers last ran, and from when on it drops carriers.
  TimePoint last_check{};
  TimePoint drop_from{};
  std::vector<WorkerOrder> queue;
  /// Voters with an open link that sent a notice for this term.
  std::map<DaemonId, Carrier> carriers;
  /// Orders that were sent and have no result yet, by number.
  std::unordered_map<std::uint64_t, InHand> in_hand;
  /// The orders in hand of other carriers, by when they are given up.
  std::set<std::pair<TimePoint, std::uint64_t>> give_up;
  struct Moved {
    /// Orders in a row that failed on the way.
    std::size_t failures = 0;
    /// How often the carrier was changed.
    std::size_t times = 0;
    /// The last failure.
    TimePoint last{};
  };
  std::unordered_map<std::string, Moved> moved_workers;
};

}  // namespace mimosastage::jobs

#endif  // MIMOSASTAGE_JOBS_ORDER_CARRIERS_H_
