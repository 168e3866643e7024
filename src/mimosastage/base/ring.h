#ifndef MIMOSASTAGE_BASE_RING_H_
#define MIMOSASTAGE_BASE_RING_H_

#include <boost/lockfree/spsc_queue.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <thread>
#include <utility>

namespace mimosastage {

/// Bounded queue with one writing and one reading thread. Push never blocks: it
/// returns false if the ring is full, and the caller counts and reports the
/// dropped item. Items are copied in, because spsc_queue can't move them.
template <class T>
class Ring {
 public:
  /// `wake` must wake the reading thread; it is called on the writing thread
  /// after each successful push.
  Ring(std::size_t capacity, std::function<void()> wake)
      : items(capacity), wake(std::move(wake)) {}

  /// Returns false if the ring is full.
  bool Push(const T& item) {
    if (!this->items.push(item)) {
      return false;
    }
    this->wake();
    return true;
  }

  /// Blocks while the ring is full, for items that must not be lost. To avoid a
  /// deadlock, the reading thread must never wait for the writing one.
  void PushOrWait(const T& item) {
    this->PushUnless(item, [] { return false; });
  }

  /// Like PushOrWait, but drops the item and returns false if the ring is full
  /// and `abandoned` returns true, because the reading thread has ended.
  template <class Abandoned>
  bool PushUnless(const T& item, Abandoned&& abandoned) {
    constexpr std::chrono::microseconds kRetryInterval{50};
    while (!this->items.push(item)) {
      if (abandoned()) {
        return false;
      }
      std::this_thread::sleep_for(kRetryInterval);
    }
    this->wake();
    return true;
  }

  /// Passes at most `limit` items to `consume`; returns the number of items.
  template <class Consume>
  std::size_t Drain(Consume&& consume, std::size_t limit) {
    std::size_t taken = 0;
    while (taken < limit && this->items.consume_one(
                                [&](T& item) { consume(std::move(item)); })) {
      ++taken;
    }
    return taken;
  }

 private:
  boost::lockfree::spsc_queue<T> items;
  std::function<void()> wake;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_BASE_RING_H_
