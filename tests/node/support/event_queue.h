#ifndef MIMOSASTAGE_TESTS_NODE_SUPPORT_EVENT_QUEUE_H_
#define MIMOSASTAGE_TESTS_NODE_SUPPORT_EVENT_QUEUE_H_

#include <cstdint>
#include <functional>
#include <queue>
#include <tuple>
#include <utility>
#include <vector>

#include "mimosastage/base/time.h"

namespace mimosastage {

/// Runs actions in the order of their times on a simulated clock. Actions of
/// one time run in the order in which they were added.
class EventQueue {
 public:
  Duration Now() const { return this->now; }

  void At(Duration at, std::function<void()> action) {
    this->events.push(
        Event{std::max(at, this->now), this->next_order++, std::move(action)});
  }
  void After(Duration delay, std::function<void()> action) {
    this->At(this->now + delay, std::move(action));
  }

  /// Runs the actions up to `end`.
  void RunUntil(Duration end) {
    while (!this->events.empty() && this->events.top().at <= end) {
      const Event event = this->events.top();
      this->events.pop();
      this->now = event.at;
      event.action();
    }
    this->now = std::max(this->now, end);
  }

 private:
  struct Event {
    Duration at{};
    std::uint64_t order = 0;
    std::function<void()> action;
    bool operator>(const Event& other) const {
      return std::tie(this->at, this->order) > std::tie(other.at, other.order);
    }
  };

  std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
  std::uint64_t next_order = 0;
  Duration now{};
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_TESTS_NODE_SUPPORT_EVENT_QUEUE_H_
