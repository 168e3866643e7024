#include "mimosastage/jobs/start_copies.h"

#include <algorithm>

namespace mimosastage::jobs {

void StartCopies::OnSent(const TaskId& task, std::uint32_t run,
                         std::uint64_t order, TimePoint now) {
  this->copies[task].push_back(Copy{run, order, now + this->execution_delay});
}

void StartCopies::OnRefused(const TaskId& task, std::uint64_t order) {
  this->Erase(task, [&](const Copy& copy) { return copy.order == order; });
}

void StartCopies::OnConfirmed(const TaskId& task, std::uint64_t order) {
  const auto found = this->copies.find(task);
  if (found == this->copies.end()) {
    return;
  }
  const auto confirmed =
      std::find_if(found->second.begin(), found->second.end(),
                   [&](const Copy& copy) { return copy.order == order; });
  if (confirmed == found->second.end()) {
    return;
  }
  for (Copy& copy : found->second) {
    copy.may_be_surplus = copy.may_be_surplus || copy.run == confirmed->run;
  }
  this->Erase(task, [&](const Copy& copy) { return copy.order == order; });
}

void StartCopies::OnUnanswered(const TaskId& task, std::uint64_t order) {
  const auto found = this->copies.find(task);
  if (found == this->copies.end()) {
    return;
  }
  for (const Copy& copy : found->second) {
    if (copy.order == order) {
      this->unanswered.push_back(UnansweredCopy{copy.latest_execution, task});
    }
  }
}

void StartCopies::AddForeign(const TaskId& task, std::uint32_t run,
                             TimePoint latest_execution) {
  this->copies[task].push_back(Copy{run, 0, latest_execution, true});
  this->unanswered.push_back(UnansweredCopy{latest_execution, task});
}

void StartCopies::OnListed(const TaskId& task, std::uint32_t run) {
  const auto found = this->copies.find(task);
  if (found == this->copies.end()) {
    return;
  }
  std::vector<Copy*> of_run;
  for (Copy& copy : found->second) {
    if (copy.run == run) {
      of_run.push_back(&copy);
    }
  }
  if (of_run.size() == 1 && !of_run.front()->may_be_surplus) {
    this->Erase(task, [&](const Copy& copy) { return copy.run == run; });
    return;
  }
  for (Copy* const copy : of_run) {
    copy->may_be_surplus = true;
  }
}

std::optional<TimePoint> StartCopies::LatestExecution(const TaskId& task,
                                                      TimePoint now) const {
  std::optional<TimePoint> latest;
  if (const auto found = this->copies.find(task); found != this->copies.end()) {
    for (const Copy& copy : found->second) {
      if (copy.latest_execution > now) {
        latest = std::max(latest.value_or(now), copy.latest_execution);
      }
    }
  }
  return latest;
}

bool StartCopies::MayBeExecuted(const TaskId& task, std::uint32_t run,
                                TimePoint now) const {
  const auto found = this->copies.find(task);
  return found != this->copies.end() &&
         std::any_of(found->second.begin(), found->second.end(),
                     [&](const Copy& copy) {
                       return copy.run == run && copy.latest_execution > now;
                     });
}

void StartCopies::ForgetExpired(TimePoint now) {
  while (!this->unanswered.empty() &&
         this->unanswered.front().latest_execution <= now) {
    this->Erase(this->unanswered.front().task,
                [&](const Copy& copy) { return copy.latest_execution <= now; });
    this->unanswered.pop_front();
  }
}

template <class Predicate>
void StartCopies::Erase(const TaskId& task, const Predicate& predicate) {
  const auto found = this->copies.find(task);
  if (found == this->copies.end()) {
    return;
  }
  std::erase_if(found->second, predicate);
  if (found->second.empty()) {
    this->copies.erase(found);
  }
}

}  // namespace mimosastage::jobs
