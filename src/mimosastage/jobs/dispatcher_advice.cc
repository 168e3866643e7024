#include <algorithm>
#include <utility>

#include "mimosastage/jobs/dispatcher.h"
#include "mimosastage/jobs/value_bounds.h"

namespace mimosastage::jobs {
namespace {

/// The service processes one call of a daemon at a time and refuses calls
/// beyond 32 in its queue. Further calls would only wait in that queue, in an
/// order that no longer matches the urgency of the steps.
constexpr std::size_t kMaxOpenCalls = 8;
/// The duration of a call grows with the number of workers named.
constexpr std::size_t kWorkersPerCall = 30;
/// Minimum remaining validity of a ticket, so that the start can be logged and
/// sent before it expires.
constexpr std::chrono::milliseconds kTicketMargin{300};
constexpr std::chrono::milliseconds kAdviceRetryDelay{300};
/// An unanswered call counts as lost after this time.
constexpr std::chrono::milliseconds kAdviceTimeout{6'000};
constexpr std::chrono::milliseconds kCleanupInterval{5'000};

}  // namespace

std::string Dispatcher::StepName(const TaskId& task) {
  return task.job + "." + std::to_string(task.occurrence) + "." +
         std::to_string(task.step);
}

void Dispatcher::ApplyAdvice(const std::string& pool,
                             const std::vector<CandidateWorker>& candidates,
                             TimePoint now) {
  this->waiting_steps.VisitAdvised(pool, [&](WaitingStep& waiting) {
    const std::string step = StepName(waiting.demand.first);
    Advice& known = this->advice[step];
    if (now + kTicketMargin < known.valid_until && !known.approved.empty()) {
      waiting.demand.approved = &known.approved;
      return;
    }
    waiting.demand.approved = nullptr;
    if (now >= known.next_attempt) {
      this->AskAdvice(step, known, candidates, now);
    }
  });
}

void Dispatcher::AskAdvice(const std::string& step, Advice& advice,
                           const std::vector<CandidateWorker>& candidates,
                           TimePoint now) {
  if (this->advice_requests.size() >= kMaxOpenCalls || candidates.empty()) {
    return;
  }
  AdviceRequest request;
  request.number = this->next_number++;
  request.step = step;
  const std::size_t count = std::min(kWorkersPerCall, candidates.size());
  for (std::size_t i = 0; i < count; ++i) {
    request.workers.push_back(
        candidates[(advice.offset + i) % candidates.size()].id);
  }
  advice.offset += count;
  advice.open = true;
  advice.next_attempt = now + kAdviceTimeout;
  this->advice_requests.emplace(request.number, step);
  this->hooks.ask_advice(std::move(request));
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
    this->hooks.count_retry("advice_unanswered");
    return;
  }
  known.approved = reply.approved;
  known.valid_until = now + BoundedTime(reply.validity.count());
  if (!known.approved.empty()) {
    // The service may be called again as soon as the tickets expire.
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
