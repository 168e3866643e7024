#include <algorithm>
#include <utility>

#include "mimosastage/jobs/dispatcher.h"

namespace mimosastage::jobs {
namespace {

/// The service handles one call of a daemon at a time and refuses beyond 32;
/// more calls than these would only wait there in an order of the past.
constexpr std::size_t kMaxOpenCalls = 8;
/// A call takes a time for each worker named.
constexpr std::size_t kWorkersPerCall = 30;
/// Left of a ticket's validity for the start to be logged and sent.
constexpr std::chrono::milliseconds kTicketMargin{300};
constexpr std::chrono::milliseconds kAdviceRetryDelay{300};
/// A call without an answer counts as lost after this.
constexpr std::chrono::milliseconds kAdviceTimeout{6'000};
constexpr std::chrono::milliseconds kCleanupInterval{5'000};

}  // namespace

std::string Dispatcher::StepName(const TaskId& task) {
  return task.job + "." + std::to_string(task.occurrence) + "." +
         std::to_string(task.step);
}

void Dispatcher::ApplyAdvice(std::vector<RankedDemand>& ranked,
                             const std::vector<CandidateWorker>& candidates,
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
      this->AskAdvice(step, known, candidates, now);
    }
    return true;
  });
}

void Dispatcher::AskAdvice(const std::string& step, Advice& advice,
                           const std::vector<CandidateWorker>& candidates,
                           TimePoint now) {
  if (this->advice_requests.size() >= kMaxOpenCalls || candidates.empty()) {
    return;
  }
  AdviceRequest order;
  order.number = this->next_number++;
  order.step = step;
  const std::size_t count = std::min(kWorkersPerCall, candidates.size());
  for (std::size_t i = 0; i < count; ++i) {
    order.workers.push_back(
        candidates[(advice.offset + i) % candidates.size()].id);
  }
  advice.offset += count;
  advice.open = true;
  advice.next_attempt = now + kAdviceTimeout;
  this->advice_requests.emplace(order.number, step);
  this->hooks.ask_advice(std::move(order));
}

void Dispatcher::OnAdvice(const AdviceReply& reply, TimePoint now) {
  const auto open = this->advice_requests.find(reply.number);
  if (open == this->advice_requests.end()) {
    return;
  }
  Advice& known = this->advice[open->second];
  this->advice_requests.erase(open);
  known.open = false;
  known.next_attempt = now + kAdviceRetryDelay;
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
  this->placement_needed = true;
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
