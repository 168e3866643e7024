#ifndef MIMOSASTAGE_BASE_WAKE_SIGNAL_H_
#define MIMOSASTAGE_BASE_WAKE_SIGNAL_H_

#include <atomic>
#include <condition_variable>
#include <mutex>

#include "mimosastage/base/time.h"

namespace mimosastage {

/// Wakes a thread that waits for its rings. Signals that come before the
/// thread looked are merged.
class WakeSignal {
 public:
  /// From any thread.
  void Notify() {
    if (this->pending.exchange(true)) {
      return;
    }
    const std::lock_guard lock(this->mutex);
    this->changed.notify_one();
  }

  /// Returns after a Notify, or after `longest`.
  void Wait(Duration longest) {
    std::unique_lock lock(this->mutex);
    this->changed.wait_for(lock, longest,
                           [this] { return this->pending.load(); });
    this->pending.store(false);
  }

 private:
  std::mutex mutex;
  std::condition_variable changed;
  std::atomic<bool> pending{false};
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_BASE_WAKE_SIGNAL_H_
