#include "mimosastage/daemons/link_change_limiter.h"

namespace mimosastage {

bool LinkChangeLimiter::Allow(DaemonId peer, bool up, TimePoint now) {
  Link& link = this->links.try_emplace(peer, Link{now, 0, up}).first->second;
  ++link.changes;
  link.up = up;
  return link.changes <= this->config.max_reports;
}

std::vector<LinkChangeLimiter::Summary> LinkChangeLimiter::TakeSummaries(
    TimePoint now) {
  std::vector<Summary> summaries;
  std::erase_if(this->links, [&](const auto& item) {
    const auto& [peer, link] = item;
    if (now - link.interval_start < this->config.interval) {
      return false;
    }
    if (link.changes > this->config.max_reports) {
      summaries.push_back(
          Summary{peer, link.changes - this->config.max_reports, link.up});
    }
    return true;
  });
  return summaries;
}

}  // namespace mimosastage
