#ifndef MIMOSASTAGE_NODE_LINK_LOG_H_
#define MIMOSASTAGE_NODE_LINK_LOG_H_

#include <functional>
#include <string>

#include "mimosastage/base/time.h"
#include "mimosastage/daemons/link_change_limiter.h"
#include "mimosastage/daemons/links.h"

namespace mimosastage {

/// Writes the log lines about links. Must be used on the links' thread.
class LinkLog {
 public:
  /// `name_of` returns the name of a peer in the log.
  explicit LinkLog(std::function<std::string(DaemonId)> name_of)
      : name_of(std::move(name_of)) {}

  void OnState(DaemonId peer, bool up, TimePoint now);
  void OnIdConflict(const DaemonIdConflict& conflict) const;
  /// Writes the number of changes that OnState left out, if it is due.
  void WriteSummaries(TimePoint now);

 private:
  std::function<std::string(DaemonId)> name_of;
  LinkChangeLimiter limiter;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_NODE_LINK_LOG_H_
