#include "mimosastage/jobs/carried_orders.h"

#include <algorithm>

namespace mimosastage::jobs {

void CarriedOrders::OnBatch(DaemonId from, OrderBatch batch,
                            std::optional<DaemonId> leader,
                            std::uint64_t min_fence, TimePoint now) {
  const std::uint64_t fence =
      batch.orders.empty() ? 0 : batch.orders.front().fence;
  const bool accepted = from == leader && batch.session == this->session &&
                        fence >= std::max(min_fence, this->highest_fence);
  if (!accepted) {
    this->hooks.count_drop("order_batch_refused");
  } else {
    this->highest_fence = fence;
  }
  for (WorkerOrder& order : batch.orders) {
    if (!accepted || now >= order.send_before ||
        this->in_hand.size() >= this->config.max_in_hand) {
      this->Refuse(from, order.number);
    } else if (this->in_hand.emplace(order.number, from).second) {
      this->hooks.send_order(std::move(order));
    }
  }
}

void CarriedOrders::Refuse(DaemonId leader, std::uint64_t number) {
  Result result;
  result.reply.number = number;
  result.reply.result = OrderResult::kNotStarted;
  this->results[leader].push_back(std::move(result));
}

bool CarriedOrders::OnReply(const WorkerReply& reply, TimePoint now) {
  const auto found = this->in_hand.find(reply.number);
  if (found == this->in_hand.end()) {
    return false;
  }
  Result result{reply, std::nullopt};
  if (reply.result != OrderResult::kNotStarted) {
    result.started_at = std::min(reply.started_at, now);
  }
  this->results[found->second].push_back(std::move(result));
  this->in_hand.erase(found);
  return true;
}

void CarriedOrders::Flush(TimePoint now) {
  if (this->results.empty() || now < this->NextDue()) {
    return;
  }
  this->last_flush = now;
  for (auto& [leader, list] : std::exchange(this->results, {})) {
    std::vector<CarriedReply> batch;
    std::size_t bytes = 0;
    for (Result& result : list) {
      const std::size_t size = EncodedSize(result.reply);
      if (!batch.empty() && bytes + size > this->config.max_batch_bytes) {
        this->hooks.send_replies(leader, std::exchange(batch, {}));
        bytes = 0;
      }
      bytes += size;
      const Duration since_start = result.started_at.has_value()
                                       ? now - *result.started_at
                                       : Duration::zero();
      batch.push_back(CarriedReply{std::move(result.reply), since_start});
    }
    this->hooks.send_replies(leader, std::move(batch));
  }
}

TimePoint CarriedOrders::NextDue() const {
  return this->results.empty() ? TimePoint::max()
                               : this->last_flush + this->config.batch_interval;
}

}  // namespace mimosastage::jobs
