#include "mimosastage/jobs/carried_messages.h"

#include <algorithm>
#include <chrono>
#include <memory>
#include <utility>
#include <variant>

#include "mimosastage/jobs/value_bounds.h"

namespace mimosastage::jobs {
namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

/// Indices of the alternatives in WorkerOrder::body.
enum class OrderKind : std::uint8_t { kStart, kStop, kHold, kPace };

/// Bytes of the fields of fixed size and of the offsets to the others.
constexpr std::size_t kFixedOrderBytes = 256;
constexpr std::size_t kFixedReplyBytes = 96;
constexpr std::size_t kFixedRowBytes = 96;

std::int64_t ToMicroseconds(TimePoint time) {
  return duration_cast<microseconds>(time.time_since_epoch()).count();
}

TimePoint FromMicroseconds(std::int64_t time) {
  constexpr microseconds kMost = kLongestTime;
  return TimePoint(std::clamp(microseconds(time), -kMost, kMost));
}

template <class Row>
void SetTask(const TaskId& task, std::uint32_t run, Row& row) {
  row.job = task.job;
  row.occurrence = task.occurrence;
  row.step = task.step;
  row.index = task.index;
  row.run = run;
}

template <class Row>
TaskId GetTask(const Row& row) {
  return TaskId{row.job, row.occurrence, row.step, row.index};
}

template <class Duration>
flatbuffers::Optional<std::int64_t> ToCount(
    const std::optional<Duration>& time) {
  return time.has_value() ? flatbuffers::Optional<std::int64_t>(time->count())
                          : flatbuffers::nullopt;
}

std::optional<milliseconds> ToTime(
    const flatbuffers::Optional<std::int64_t>& count) {
  return count.has_value() ? std::optional(milliseconds(*count)) : std::nullopt;
}

/// Sets the fields that depend on the kind of order.
struct BodyWriter {
  jobs_wire::CarriedOrderT& row;

  void operator()(const StartOrder& start) const {
    SetTask(start.task, start.run, this->row);
    this->row.specification = start.specification;
    this->row.checkpoint = start.checkpoint;
    this->row.ticket = start.ticket;
    this->row.deadline_ms = start.deadline.count();
  }
  void operator()(const StopOrder& stop) const {
    SetTask(stop.task, stop.run, this->row);
  }
  void operator()(const HoldOrder& hold) const {
    this->row.deadline_ms = ToCount(hold.deadline);
    this->row.last_durable_end = hold.last_durable_end;
    this->row.wait_ms = static_cast<std::uint32_t>(hold.wait.count());
  }
  void operator()(const PaceOrder& pace) const {
    SetTask(pace.task, pace.run, this->row);
    this->row.percent = pace.percent;
  }
};

std::unique_ptr<jobs_wire::CarriedOrderT> ToWire(const WorkerOrder& order) {
  auto row = std::make_unique<jobs_wire::CarriedOrderT>();
  row->number = order.number;
  row->worker = order.worker;
  row->address = order.address;
  row->kind = static_cast<std::uint8_t>(order.body.index());
  std::visit(BodyWriter{*row}, order.body);
  row->timeout_ms = static_cast<std::uint32_t>(order.timeout.count());
  row->fresh_connection = order.fresh_connection;
  row->send_before_us = ToMicroseconds(order.send_before);
  row->token = order.token;
  return row;
}

std::optional<WorkerOrder> ReadOrder(const jobs_wire::CarriedOrderT& row,
                                     std::uint64_t fence) {
  WorkerOrder order;
  order.number = row.number;
  order.worker = row.worker;
  order.address = row.address;
  order.fence = fence;
  order.token = row.token == 0 ? fence : row.token;
  order.timeout = milliseconds(row.timeout_ms);
  order.fresh_connection = row.fresh_connection;
  order.send_before = FromMicroseconds(row.send_before_us);
  switch (static_cast<OrderKind>(row.kind)) {
    case OrderKind::kStart: {
      const auto deadline = ToTime(row.deadline_ms);
      if (!deadline.has_value()) {
        return std::nullopt;
      }
      order.body = StartOrder{GetTask(row),   row.run,   row.specification,
                              row.checkpoint, *deadline, row.ticket};
      return order;
    }
    case OrderKind::kStop:
      order.body = StopOrder{GetTask(row), row.run};
      return order;
    case OrderKind::kHold:
      order.body = HoldOrder{ToTime(row.deadline_ms), row.last_durable_end,
                             milliseconds(row.wait_ms)};
      return order;
    case OrderKind::kPace:
      order.body = PaceOrder{GetTask(row), row.run, row.percent};
      return order;
  }
  return std::nullopt;
}

std::unique_ptr<jobs_wire::CarriedReplyT> ToWire(const CarriedReply& carried) {
  const WorkerReply& reply = carried.reply;
  auto row = std::make_unique<jobs_wire::CarriedReplyT>();
  row->number = reply.number;
  row->result = static_cast<std::uint8_t>(reply.result);
  row->clock_ms = ToCount(reply.clock);
  if (reply.born_ms.has_value()) {
    row->born_ms = *reply.born_ms;
  }
  row->since_start_us =
      duration_cast<microseconds>(carried.since_start).count();
  row->running.reserve(reply.running.size());
  for (const RunningTask& task : reply.running) {
    auto listed = std::make_unique<jobs_wire::ListedTaskT>();
    SetTask(task.task, task.run, *listed);
    listed->checkpoint = task.checkpoint;
    listed->percent = task.percent;
    listed->load = task.load;
    row->running.push_back(std::move(listed));
  }
  row->ended.reserve(reply.ended.size());
  for (const EndedRun& run : reply.ended) {
    auto listed = std::make_unique<jobs_wire::ListedEndT>();
    listed->number = run.number;
    SetTask(run.task, run.run, *listed);
    listed->outcome = static_cast<std::uint8_t>(run.outcome);
    listed->checkpoint = run.checkpoint;
    row->ended.push_back(std::move(listed));
  }
  return row;
}

std::optional<CarriedReply> ReadReply(const jobs_wire::CarriedReplyT& row) {
  CarriedReply carried;
  WorkerReply& reply = carried.reply;
  if (row.result > static_cast<std::uint8_t>(OrderResult::kUnanswered) ||
      row.since_start_us < 0 ||
      microseconds(row.since_start_us) > kLongestTime) {
    return std::nullopt;
  }
  reply.number = row.number;
  reply.result = static_cast<OrderResult>(row.result);
  reply.clock = ToTime(row.clock_ms);
  if (row.born_ms.has_value()) {
    reply.born_ms = *row.born_ms;
  }
  carried.since_start = microseconds(row.since_start_us);
  reply.running.reserve(row.running.size());
  for (const auto& listed : row.running) {
    reply.running.push_back(RunningTask{GetTask(*listed), listed->run,
                                        listed->checkpoint, listed->percent,
                                        listed->load});
  }
  reply.ended.reserve(row.ended.size());
  for (const auto& listed : row.ended) {
    if (listed->outcome > static_cast<std::uint8_t>(RunOutcome::kLost)) {
      return std::nullopt;
    }
    reply.ended.push_back(
        EndedRun{listed->number, GetTask(*listed), listed->run,
                 static_cast<RunOutcome>(listed->outcome), listed->checkpoint});
  }
  return carried;
}

}  // namespace

std::string EncodeOrderBatch(const OrderBatch& batch) {
  jobs_wire::OrderBatchT wire;
  wire.fence = batch.orders.empty() ? 0 : batch.orders.front().fence;
  wire.session = batch.session;
  wire.orders.reserve(batch.orders.size());
  for (const WorkerOrder& order : batch.orders) {
    wire.orders.push_back(ToWire(order));
  }
  return EncodeBody(wire);
}

std::string EncodeReplyBatch(const std::vector<CarriedReply>& replies) {
  jobs_wire::ReplyBatchT wire;
  wire.replies.reserve(replies.size());
  for (const CarriedReply& reply : replies) {
    wire.replies.push_back(ToWire(reply));
  }
  return EncodeBody(wire);
}

std::string EncodeCarrierNotice(const CarrierNotice& notice) {
  jobs_wire::CarrierNoticeT wire;
  wire.fence = notice.fence;
  wire.session = notice.session;
  wire.clock_us = ToMicroseconds(notice.clock);
  return EncodeBody(wire);
}

std::optional<OrderBatch> FromWire(const jobs_wire::OrderBatchT& wire) {
  OrderBatch batch;
  batch.session = wire.session;
  batch.orders.reserve(wire.orders.size());
  for (const auto& row : wire.orders) {
    auto order = ReadOrder(*row, wire.fence);
    if (!order.has_value()) {
      return std::nullopt;
    }
    batch.orders.push_back(*std::move(order));
  }
  return batch;
}

std::optional<std::vector<CarriedReply>> FromWire(
    const jobs_wire::ReplyBatchT& wire) {
  std::vector<CarriedReply> replies;
  replies.reserve(wire.replies.size());
  for (const auto& row : wire.replies) {
    auto reply = ReadReply(*row);
    if (!reply.has_value()) {
      return std::nullopt;
    }
    replies.push_back(*std::move(reply));
  }
  return replies;
}

CarrierNotice FromWire(const jobs_wire::CarrierNoticeT& wire) {
  return CarrierNotice{wire.fence, wire.session,
                       FromMicroseconds(wire.clock_us)};
}

std::size_t EncodedSize(const WorkerOrder& order) {
  std::size_t size =
      kFixedOrderBytes + order.worker.size() + order.address.size();
  if (const auto* start = std::get_if<StartOrder>(&order.body);
      start != nullptr) {
    size += start->task.job.size() + start->specification.size() +
            start->checkpoint.size() + start->ticket.size();
  } else if (const auto* stop = std::get_if<StopOrder>(&order.body);
             stop != nullptr) {
    size += stop->task.job.size();
  } else if (const auto* pace = std::get_if<PaceOrder>(&order.body);
             pace != nullptr) {
    size += pace->task.job.size();
  }
  return size;
}

std::size_t EncodedSize(const WorkerReply& reply) {
  std::size_t size = kFixedReplyBytes;
  for (const RunningTask& task : reply.running) {
    size += kFixedRowBytes + task.task.job.size() + task.checkpoint.size();
  }
  for (const EndedRun& run : reply.ended) {
    size += kFixedRowBytes + run.task.job.size() + run.checkpoint.size();
  }
  return size;
}

}  // namespace mimosastage::jobs
