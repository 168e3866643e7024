#ifndef MIMOSASTAGE_JOBS_START_WINDOWS_H_
#define MIMOSASTAGE_JOBS_START_WINDOWS_H_

#include <cstddef>
#include <map>
#include <optional>

#include "mimosastage/base/names.h"
#include "mimosastage/base/time.h"
#include "mimosastage/jobs/start_window.h"

namespace mimosastage::jobs {

/// A StartWindow for each carrier, so that the workers of a carrier that is cut
/// off or short of processor time don't keep tasks from starting on the workers
/// of the others. The open starts of all carriers together stay within
/// StartWindow::Config::max_size, because the leader logs all of them.
class StartWindows {
 public:
  explicit StartWindows(StartWindow::Config config) : config(config) {}

  /// Number of start orders that may be opened now.
  std::size_t Room() const;
  /// The same for the workers of each carrier that has had a start.
  std::map<DaemonId, std::size_t> Rooms() const;
  /// Number of start orders that may be open at once.
  std::size_t Size() const;
  /// True if little could be started now. A placement costs as much for one
  /// start as for many.
  bool IsNearlyFull() const { return this->Room() < this->Size() / 4; }
  void OnOpened(DaemonId carrier);
  void OnClosed(DaemonId carrier);
  /// Records how long an order waited before its carrier sent it, or until it
  /// was given up. Without a carrier the order never left this process, which
  /// all of them share.
  void OnWait(std::optional<DaemonId> carrier, Duration wait, TimePoint now);

 private:
  StartWindow& WindowOf(DaemonId carrier);

  StartWindow::Config config;
  /// One for each voter that has carried an order in this term.
  std::map<DaemonId, StartWindow> windows;
  std::size_t open = 0;
};

}  // namespace mimosastage::jobs

#endif  // MIMOSASTAGE_JOBS_START_WINDOWS_H_
