#include <algorithm>
#include <utility>

#include "mimosastage/jobs/dispatcher.h"

namespace mimosastage::jobs {
namespace {

/// The service handles one call of a daemon at a time and refuses beyond 32;
/// more calls than these would only wait there in an order of the past.
constexpr std::size_t kMostOpenCalls = 8;
/// A call takes a time for each worker named.
constexpr std::size_t kWorkersPerCall = 30;
/// Left of a ticket's validity for the start to be logged and sent.
constexpr std::chrono::milliseconds kTicketMargin{300};
constexpr std::chrono::milliseconds kAdviceRetry{300};
/// A call without an answer counts as lost after this.
constexpr std::chrono::milliseconds kAdvicePatience{6'000};
constexpr std::chrono::milliseconds kCleanupInterval{5'000};

}  // namespace

std::string Dispatcher::StepName(const TaskId& task) {
  return task.job + "." + std::to_string(task.occurrence) + "." +
         std::to_string(task.step);
}

void Dispatcher::ApplyAdvice(std::vector<RankedDemand>& ranked,
                             const std::vector<WorkerRoom>& rooms,
                             TimePoint now) {
  std::erase_if(ranked, [&](RankedDemand& row) {
    if (!row.advised) {
      return false;
    }
    const std::string step = StepName(row.demand.first);
    Advice& known = this->advice[step];
    if (now + kTicketMargin < known.valid_until && !known.approved.empty()) {
      row.demand.approved = &known.approved;
      return false;
    }
    if (now >= known.next_attempt) {
      this->AskAdvice(step, known, rooms, now);
    }
    return true;
  });
}

void Dispatcher::AskAdvice(const std::string& step, Advice& advice,
                           const std::vector<WorkerRoom>& rooms,
                           TimePoint now) {
  if (this->advice_orders.size() >= kMostOpenCalls || rooms.empty()) {
    return;
  }
  AdviceOrder order;
  order.number = this->next_number++;
  order.step = step;
  const std::size_t count = std::min(kWorkersPerCall, rooms.size());
  for (std::size_t i = 0; i < count; ++i) {
    order.workers.push_back(rooms[(advice.offset + i) % rooms.size()].id);
  }
  advice.offset += count;
  advice.open = true;
  advice.next_attempt = now + kAdvicePatience;
  this->advice_orders.emplace(order.number, step);
  this->hooks.ask_advice(std::move(order));
}

void Dispatcher::OnAdvice(const AdviceReply& reply, TimePoint now) {
  const auto open = this->advice_orders.find(reply.number);
  if (open == this->advice_orders.end()) {
    return;
  }
  Advice& known = this->advice[open->second];
  this->advice_orders.erase(open);
  known.open = false;
  known.next_attempt = now + kAdviceRetry;
  if (!reply.answered) {
    this->hooks.count("advice_unanswered");
    return;
  }
  known.approved = reply.approved;
  known.valid_until = now + reply.validity;
  if (!known.approved.empty()) {
    // The next call may follow as soon as the tickets end.
    known.next_attempt = now;
  }
  this->dirty = true;
}

void Dispatcher::ForgetAdvice(TimePoint now) {
  if (now < this->next_advice_cleanup) {
    return;
  }
  this->next_advice_cleanup = now + kCleanupInterval;
  std::erase_if(this->advice, [&](const auto& row) {
    return !row.second.open && now > row.second.valid_until + kCleanupInterval;
  });
}

}  // namespace mimosastage::jobs
