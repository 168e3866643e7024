#ifndef MIMOSASTAGE_JOBS_CARRIED_MESSAGES_H_
#define MIMOSASTAGE_JOBS_CARRIED_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "mimosastage/base/time.h"
#include "mimosastage/jobs/records.h"
#include "mimosastage/jobs/worker_order.h"

/// Messages between the leader and the voters that carry its orders for
/// workers; see docs/platform.md, section 8.
namespace mimosastage::jobs {

/// Orders for one carrier. All have the same fence.
struct OrderBatch {
  /// The session of the carrier's notices.
  std::uint64_t session = 0;
  /// WorkerOrder::send_before is a time on the carrier's clock.
  std::vector<WorkerOrder> orders;
};

/// The result of an order. `reply.read_at` and `reply.started_at` are times of
/// the carrier and aren't encoded.
struct CarriedReply {
  WorkerReply reply;
  /// From when the carrier began to send the order to when it sent this
  /// message; 0 if it didn't begin.
  Duration since_start{};
};

/// Tells the leader of the term with this fence that the sender accepts its
/// orders.
struct CarrierNotice {
  std::uint64_t fence = 0;
  /// Random number of the process, which tells its restarts apart.
  std::uint64_t session = 0;
  /// The sender's clock when it sent the notice.
  TimePoint clock{};
};

/// Encoded messages, to be decoded with DecodeMessage.
std::string EncodeOrderBatch(const OrderBatch& batch);
std::string EncodeReplyBatch(const std::vector<CarriedReply>& replies);
std::string EncodeCarrierNotice(const CarrierNotice& notice);

/// Returns nullopt if the batch has an unknown kind of order, or a negative
/// time.
std::optional<OrderBatch> FromWire(const jobs_wire::OrderBatchT& wire);
/// Returns nullopt if the batch has an unknown result or outcome, or a negative
/// time.
std::optional<std::vector<CarriedReply>> FromWire(
    const jobs_wire::ReplyBatchT& wire);
CarrierNotice FromWire(const jobs_wire::CarrierNoticeT& wire);

/// Approximate size of the encoded order or reply in bytes, rounded up.
std::size_t EncodedSize(const WorkerOrder& order);
std::size_t EncodedSize(const WorkerReply& reply);

}  // namespace mimosastage::jobs

#endif  // MIMOSASTAGE_JOBS_CARRIED_MESSAGES_H_
