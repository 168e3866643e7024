#ifndef MIMOSASTAGE_JOBS_START_WINDOW_H_
#define MIMOSASTAGE_JOBS_START_WINDOW_H_

#include <chrono>
#include <cstddef>

#include "mimosastage/base/time.h"

namespace mimosastage::jobs {

/// Limits how many start orders are open at once, so that the orders of a
/// leader that is short of processor time don't queue up inside its process and
/// delay the renewal of leases. Additive increase, multiplicative decrease on
/// the time that orders wait before they are sent.
class StartWindow {
 public:
  struct Config {
    std::size_t min_size = 8;
    std::size_t max_size = 512;
    /// Wait above which the window shrinks. An order that waits for over 250 ms
    /// is not sent, and leases have a margin of seconds.
    std::chrono::milliseconds target_wait{60};
    /// Factor by which the window shrinks.
    double decrease = 0.7;
    /// Shortest time between two decreases. The orders that were sent before a
    /// decrease don't show its effect yet.
    std::chrono::milliseconds decrease_interval{120};
    /// After this long without a decrease, the window grows by one with each
    /// order until it has the size after the first of the latest decreases; 0
    /// turns that off. Disturbances last for some seconds, and a job waits
    /// about a second before it is late, while additive growth alone takes tens
    /// of seconds.
    std::chrono::milliseconds recovery_delay{0};
  };

  explicit StartWindow(Config config)
      : config(config),
        size(static_cast<double>(config.max_size)),
        former_size(this->size) {}

  /// Number of start orders that may be opened now.
  std::size_t Room() const;
  /// True if little could be started now. A placement costs as much for one
  /// start as for many.
  bool IsNearlyFull() const { return this->Room() < this->Size() / 4; }
  std::size_t Size() const { return static_cast<std::size_t>(this->size); }
  void OnOpened() { ++this->open; }
  void OnClosed() { --this->open; }
  /// Records how long an order waited inside this process before it was sent,
  /// or until it was given up.
  void OnWait(Duration wait, TimePoint now);

 private:
  bool IsRecovering(TimePoint now) const;

  Config config;
  double size;
  /// The size up to which the window recovers.
  double former_size;
  std::size_t open = 0;
  TimePoint last_decrease{};
};

}  // namespace mimosastage::jobs

#endif  // MIMOSASTAGE_JOBS_START_WINDOW_H_
