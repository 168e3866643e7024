#include "mimosastage/jobs/order_carriers.h"

#include <algorithm>

#include "mimosastage/base/daemon_id.h"

namespace mimosastage::jobs {
namespace {

/// Mixes the bits of a number (SplitMix64).
std::uint64_t Mix(std::uint64_t bits) {
  bits += 0x9e37'79b9'7f4a'7c15ULL;
  bits = (bits ^ (bits >> 30U)) * 0xbf58'476d'1ce4'e5b9ULL;
  bits = (bits ^ (bits >> 27U)) * 0x94d0'49bb'1331'11ebULL;
  return bits ^ (bits >> 31U);
}

WorkerReply MakeReply(std::uint64_t number, OrderResult result, TimePoint now) {
  WorkerReply reply;
  reply.number = number;
  reply.result = result;
  reply.read_at = now;
  return reply;
}

/// The way to the worker may be cut, rather than the worker be at fault.
bool FailedOnTheWay(OrderResult result) {
  return result == OrderResult::kUnanswered || result == OrderResult::kNotSent;
}

}  // namespace

void OrderCarriers::OnNotice(DaemonId from, const CarrierNotice& notice,
                             TimePoint now) {
  if (notice.fence != this->fence) {
    return;
  }
  if (this->carriers.empty()) {
    const TimePoint complete = now + this->config.further_notices_wait;
    this->first_batch =
        std::min(this->first_batch.value_or(complete), complete);
  }
  Carrier& carrier = this->carriers[from];
  carrier.session = notice.session;
  carrier.clock = notice.clock;
  carrier.heard_at = now;
}

void OrderCarriers::Flush(TimePoint now) {
  this->GiveUpOverdue(now);
  this->DropSilentCarriers(now);
  if (this->queue.empty()) {
    return;
  }
  if (!this->first_batch.has_value()) {
    this->first_batch = now + this->config.first_notice_wait;
  }
  if (now < this->NextDue()) {
    return;
  }
  this->last_flush = now;
  const std::vector<DaemonId> usable = this->UsableCarriers(now);
  std::map<DaemonId, std::vector<WorkerOrder>> batches;
  std::vector<std::uint64_t> late;
  for (WorkerOrder& order : std::exchange(this->queue, {})) {
    if (now >= order.send_before) {
      late.push_back(order.number);
      continue;
    }
    const DaemonId carrier =
        EncodedSize(order) > this->config.max_order_bytes
            ? this->self
            : this->ChooseCarrier(order.worker, usable, now);
    InHand entry{carrier, order.worker, TimePoint::max()};
    if (carrier != this->self) {
      entry.give_up_at =
          order.send_before + order.timeout + this->config.answer_margin;
      this->give_up.emplace(entry.give_up_at, order.number);
    }
    this->in_hand.insert_or_assign(order.number, std::move(entry));
    batches[carrier].push_back(std::move(order));
  }
  for (auto& [carrier, orders] : batches) {
    if (carrier == this->self) {
      for (WorkerOrder& order : orders) {
        this->hooks.send_order(std::move(order));
      }
    } else {
      this->SendBatches(carrier, std::move(orders));
    }
  }
  for (const std::uint64_t number : late) {
    this->hooks.on_reply(MakeReply(number, OrderResult::kNotStarted, now), now);
  }
}

TimePoint OrderCarriers::NextDue() const {
  if (this->queue.empty()) {
    return TimePoint::max();
  }
  return std::max(this->first_batch.value_or(TimePoint{}),
                  this->last_flush + this->config.batch_interval);
}

std::vector<DaemonId> OrderCarriers::UsableCarriers(TimePoint now) const {
  std::vector<DaemonId> in_touch;
  std::vector<DaemonId> usable;
  for (const auto& [daemon, carrier] : this->carriers) {
    if (now - carrier.heard_at < this->config.notice_validity) {
      in_touch.push_back(daemon);
      if (now >= carrier.avoid_until) {
        usable.push_back(daemon);
      }
    }
  }
  // While all carriers are short of processor time, the leader must not take
  // the work of all of them.
  return usable.empty() ? in_touch : usable;
}

DaemonId OrderCarriers::ChooseCarrier(const std::string& worker,
                                      const std::vector<DaemonId>& usable,
                                      TimePoint now) {
  if (usable.empty()) {
    return this->self;
  }
  const std::uint64_t worker_hash = std::hash<std::string>()(worker);
  std::vector<std::pair<std::uint64_t, DaemonId>> ranking;
  ranking.reserve(usable.size());
  for (const DaemonId daemon : usable) {
    ranking.emplace_back(
        Mix(worker_hash ^ Mix(static_cast<std::uint64_t>(daemon))), daemon);
  }
  std::sort(ranking.rbegin(), ranking.rend());
  const auto moved = this->moved_workers.find(worker);
  if (moved == this->moved_workers.end()) {
    return ranking.front().second;
  }
  if (now - moved->second.last >= this->config.move_time) {
    this->moved_workers.erase(moved);
    return ranking.front().second;
  }
  // The leader itself is the last of the ranking.
  const std::size_t place = moved->second.times % (ranking.size() + 1);
  return place < ranking.size() ? ranking[place].second : this->self;
}

void OrderCarriers::SendBatches(DaemonId to, std::vector<WorkerOrder> orders) {
  const Carrier& carrier = this->carriers.at(to);
  OrderBatch batch{carrier.session, {}};
  std::size_t bytes = 0;
  const auto send = [&] {
    this->hooks.send_batch(
        to, std::exchange(batch, OrderBatch{carrier.session, {}}));
    bytes = 0;
  };
  for (WorkerOrder& order : orders) {
    const std::size_t size = EncodedSize(order);
    if (!batch.orders.empty() &&
        (bytes + size > this->config.max_batch_bytes ||
         batch.orders.size() >= this->config.max_batch_orders)) {
      send();
    }
    bytes += size;
    // The notice was on its way before it was received, so the carrier's clock
    // is at least this much ahead, and the limit can only be too early.
    order.send_before = carrier.clock + (order.send_before - carrier.heard_at);
    batch.orders.push_back(std::move(order));
  }
  send();
}

void OrderCarriers::OnReplies(DaemonId from, std::vector<CarriedReply> replies,
                              TimePoint now) {
  for (CarriedReply& carried : replies) {
    WorkerReply& reply = carried.reply;
    const auto found = this->in_hand.find(reply.number);
    if (found == this->in_hand.end() || found->second.carrier != from) {
      // Given up earlier, or an order of a former term.
      continue;
    }
    // Later than the worker read its clock, as WorkerLease requires.
    reply.read_at = now;
    reply.started_at = now - carried.since_start;
    if (reply.result == OrderResult::kNotStarted) {
      this->Avoid(from, "it didn't begin an order in time", now);
    }
    this->Finish(std::move(reply), now);
  }
}

void OrderCarriers::OnOwnReply(const WorkerReply& reply, TimePoint now) {
  if (this->in_hand.contains(reply.number)) {
    this->Finish(reply, now);
  }
}

void OrderCarriers::OnLinkDown(DaemonId peer, TimePoint now) {
  this->carriers.erase(peer);
  std::vector<std::uint64_t> lost;
  for (const auto& [number, entry] : this->in_hand) {
    if (entry.carrier == peer) {
      lost.push_back(number);
    }
  }
  std::sort(lost.begin(), lost.end());
  this->EndWithout(lost, now);
}

void OrderCarriers::GiveUpOverdue(TimePoint now) {
  std::vector<std::uint64_t> overdue;
  for (const auto& [at, number] : this->give_up) {
    if (at > now) {
      break;
    }
    overdue.push_back(number);
    this->Avoid(this->in_hand.at(number).carrier,
                "it left an order without a result", now);
  }
  this->EndWithout(overdue, now);
}

void OrderCarriers::DropSilentCarriers(TimePoint now) {
  if (now - this->last_check > this->config.own_delay) {
    this->drop_from = now + this->config.notice_validity;
  }
  this->last_check = now;
  if (now < this->drop_from) {
    return;
  }
  std::vector<DaemonId> silent;
  for (const auto& [daemon, carrier] : this->carriers) {
    if (now - carrier.heard_at >= this->config.notice_validity) {
      silent.push_back(daemon);
    }
  }
  for (const DaemonId daemon : silent) {
    this->hooks.report("carrier_silent", DaemonIdText(daemon),
                       "its orders are given up");
    this->OnLinkDown(daemon, now);
  }
}

void OrderCarriers::EndWithout(const std::vector<std::uint64_t>& numbers,
                               TimePoint now) {
  for (const std::uint64_t number : numbers) {
    this->hooks.count_retry("carrier_unanswered");
    WorkerReply reply = MakeReply(number, OrderResult::kUnanswered, now);
    // How long it waited isn't known, and must not count as a wait.
    reply.started_at = TimePoint{};
    this->Finish(std::move(reply), now);
  }
}

void OrderCarriers::Finish(WorkerReply reply, TimePoint now) {
  const auto found = this->in_hand.find(reply.number);
  const InHand entry = std::move(found->second);
  this->in_hand.erase(found);
  this->give_up.erase({entry.give_up_at, reply.number});
  const bool carrier_is_gone =
      entry.carrier != this->self && !this->carriers.contains(entry.carrier);
  if (FailedOnTheWay(reply.result)) {
    if (!carrier_is_gone) {
      this->CountFailure(entry.worker, now);
    }
  } else if (const auto moved = this->moved_workers.find(entry.worker);
             moved != this->moved_workers.end() &&
             reply.result != OrderResult::kNotStarted) {
    moved->second.failures = 0;
  }
  reply.carrier = entry.carrier;
  this->hooks.on_reply(reply, now);
}

void OrderCarriers::CountFailure(const std::string& worker, TimePoint now) {
  if (this->moved_workers.size() >= this->config.max_moved_workers &&
      !this->moved_workers.contains(worker)) {
    this->moved_workers.clear();
  }
  Moved& moved = this->moved_workers[worker];
  moved.last = now;
  if (++moved.failures >= this->config.failures_until_move) {
    moved.failures = 0;
    ++moved.times;
  }
}

void OrderCarriers::Avoid(DaemonId carrier, const char* reason, TimePoint now) {
  const auto found = this->carriers.find(carrier);
  if (found == this->carriers.end()) {
    return;
  }
  if (now >= found->second.avoid_until) {
    this->hooks.report("carrier_avoided", DaemonIdText(carrier), reason);
  }
  found->second.avoid_until = now + this->config.avoid_time;
}

}  // namespace mimosastage::jobs
