#ifndef MIMOSASTAGE_BASE_RING_H_
#define MIMOSASTAGE_BASE_RING_H_

#include <boost/lockfree/spsc_queue.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <thread>
#include <utility>

namespace mimosastage {

/// Bounded queue from one thread to one other. Push never blocks: a full ring
/// refuses, and the caller counts and reports the refusal. Items are copied in,
/// because the queue can't move them.
template <class T>
class Ring {
 public:
  /// `wake` tells the reading thread that the ring has something; it is called
  /// on the writing thread after each push.
  Ring(std::size_t capacity, std::function<void()> wake)
      : items(capacity), wake(std::move(wake)) {}

  /// False if the ring is full.
  bool Push(const T& item) {
    if (!this->items.push(item)) {
      return false;
    }
    this->wake();
    return true;
  }

  /// Waits while the ring is full, for items that must not be lost. The reading
  /// thread must never wait for the writing one.
  void PushOrWait(const T& item) {
    constexpr std::chrono::microseconds kPause{50};
    while (!this->items.push(item)) {
      std::this_thread::sleep_for(kPause);
    }
    this->wake();
  }

  /// Hands at most `limit` items to `consume`; returns how many there were.
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
