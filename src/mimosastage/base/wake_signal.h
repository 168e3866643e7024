#ifndef MIMOSASTAGE_BASE_WAKE_SIGNAL_H_
#define MIMOSASTAGE_BASE_WAKE_SIGNAL_H_

#include <atomic>
#include <condition_variable>
#include <mutex>

#include "mimosastage/base/time.h"

namespace mimosastage {

/// Wakes a thread that waits for items in its rings. Notifications that arrive
/// before the thread's next Wait are merged into one.
class WakeSignal {
 public:
  /// May be called from any thread.
  void Notify() {
    if (this->pending.exchange(true)) {
      return;
    }
    const std::lock_guard lock(this->mutex);
    this->notified.notify_one();
  }

  /// Returns after a Notify or after `timeout`.
  void Wait(Duration timeout) {
    std::unique_lock lock(this->mutex);
    this->notified.wait_for(lock, timeout,
                            [this] { return this->pending.load(); });
    this->pending.store(false);
  }

 private:
  std::mutex mutex;
  std::condition_variable notified;
  std::atomic<bool> pending{false};
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_BASE_WAKE_SIGNAL_H_
