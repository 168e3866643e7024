#include "mimosastage/base/timer_service.h"

namespace mimosastage {

TimerService::Subscription::Subscription(TimerService* service,
                                         std::uint64_t id)
    : service(service), id(id) {}

TimerService::Subscription::Subscription(Subscription&& other) noexcept
    : service(std::exchange(other.service, nullptr)), id(other.id) {}

TimerService::Subscription& TimerService::Subscription::operator=(
    Subscription&& other) noexcept {
  if (this != &other) {
    this->Cancel();
    this->service = std::exchange(other.service, nullptr);
    this->id = other.id;
  }
  return *this;
}

TimerService::Subscription::~Subscription() { this->Cancel(); }

void TimerService::Subscription::Cancel() {
  if (auto* owner = std::exchange(this->service, nullptr); owner != nullptr) {
    owner->Remove(this->id);
  }
}

TimerService::Subscription TimerService::At(TimePoint due, Callback callback) {
  return this->Add(due, Duration::zero(), std::move(callback));
}

TimerService::Subscription TimerService::Every(TimePoint first, Duration period,
                                               Callback callback) {
  return this->Add(first, period, std::move(callback));
}

int TimerService::RunDue(TimePoint now) {
  int ran = 0;
  while (!this->timers.empty() && this->timers.begin()->first <= now) {
    auto first = this->timers.begin();
    // Keeps the callback alive when it cancels its own subscription.
    std::shared_ptr<Timer> timer = first->second;
    this->timers.erase(first);
    if (timer->period > Duration::zero()) {
      this->timer_positions[timer->id] =
          this->timers.emplace(now + timer->period, timer);
    } else {
      this->timer_positions.erase(timer->id);
    }
    timer->callback(now);
    ++ran;
  }
  return ran;
}

std::optional<TimePoint> TimerService::NextDue() const {
  if (this->timers.empty()) {
    return std::nullopt;
  }
  return this->timers.begin()->first;
}

TimerService::Subscription TimerService::Add(TimePoint due, Duration period,
                                             Callback callback) {
  const std::uint64_t id = this->next_id++;
  auto timer = std::make_shared<Timer>(Timer{id, period, std::move(callback)});
  this->timer_positions[id] = this->timers.emplace(due, std::move(timer));
  return Subscription(this, id);
}

void TimerService::Remove(std::uint64_t id) {
  if (auto found = this->timer_positions.find(id);
      found != this->timer_positions.end()) {
    this->timers.erase(found->second);
    this->timer_positions.erase(found);
  }
}

}  // namespace mimosastage
