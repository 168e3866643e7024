#ifndef MIMOSASTAGE_DAEMONS_LINK_CHANGE_LIMITER_H_
#define MIMOSASTAGE_DAEMONS_LINK_CHANGE_LIMITER_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <vector>

#include "mimosastage/base/names.h"
#include "mimosastage/base/time.h"

namespace mimosastage {

/// Limits the log lines about a link that opens and closes repeatedly: beyond
/// the first changes in an interval, only their number is reported.
class LinkChangeLimiter {
 public:
  struct Config {
    /// Changes of one link in an interval that are reported one by one.
    std::size_t max_reports = 4;
    std::chrono::milliseconds interval{10'000};
  };
  struct Summary {
    DaemonId peer{};
    /// Changes that weren't reported one by one.
    std::size_t changes = 0;
    bool up = false;
  };

  LinkChangeLimiter() = default;
  explicit LinkChangeLimiter(Config config) : config(config) {}

  /// True if the change is to be reported by itself.
  bool Allow(DaemonId peer, bool up, TimePoint now);
  /// The unreported changes of each link whose interval has ended.
  std::vector<Summary> TakeSummaries(TimePoint now);

 private:
  struct Link {
    TimePoint interval_start{};
    std::size_t changes = 0;
    bool up = false;
  };

  Config config;
  std::map<DaemonId, Link> links;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_DAEMONS_LINK_CHANGE_LIMITER_H_
