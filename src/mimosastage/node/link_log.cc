#include "mimosastage/node/link_log.h"

#include "mimosastage/telemetry/log.h"

namespace mimosastage {

void LinkLog::OnState(DaemonId peer, bool up, TimePoint now) {
  this->WriteSummaries(now);
  if (this->limiter.Allow(peer, up, now)) {
    LogEvent(LogSeverity::kInfo, up ? events::kLinkOpened : events::kLinkClosed,
             up ? "link to another daemon is open"
                : "link to another daemon is closed")
        .With("peer", this->name_of(peer));
  }
}

void LinkLog::OnIdConflict(const DaemonIdConflict& conflict) const {
  LogEvent(LogSeverity::kError, events::kDaemonIdInUse,
           "two daemons have one id, and the second one is refused; stop it, "
           "or give it its own address and an empty data folder")
      .With("peer", this->name_of(conflict.daemon))
      .With("first", conflict.first)
      .With("second", conflict.second)
      .With("refused_links", conflict.refusals);
}

void LinkLog::WriteSummaries(TimePoint now) {
  for (const auto& summary : this->limiter.TakeSummaries(now)) {
    LogEvent(LogSeverity::kWarning, events::kLinkUnstable,
             "link to another daemon opened and closed repeatedly")
        .With("peer", this->name_of(summary.peer))
        .With("unreported_changes", summary.changes)
        .With("open", summary.up);
  }
}

}  // namespace mimosastage
