#ifndef MIMOSASTAGE_NODE_AUTHORITY_WATCH_H_
#define MIMOSASTAGE_NODE_AUTHORITY_WATCH_H_

#include <chrono>
#include <optional>

#include "mimosastage/base/time.h"

namespace mimosastage {

/// Watches whether a leader has the authority to decide, which it lacks while a
/// quorum hasn't answered its latest heartbeats. Lives for one term of
/// leadership and does no I/O. Not thread-safe.
class AuthorityWatch {
 public:
  /// Must be called in each turn of the leader. Returns how long the leader
  /// lacked authority if it has regained it in this turn.
  std::optional<Duration> OnTurn(bool has_authority, TimePoint now);

  /// How long the leader has lacked authority without a break; zero if it has
  /// it.
  Duration Gap(TimePoint now) const {
    return this->since.has_value() ? now - *this->since : Duration(0);
  }

  /// How long the leader has lacked authority in all; each time with authority
  /// makes up for as much time without it.
  Duration Lacked() const { return this->lacked; }

 private:
  std::optional<TimePoint> last_turn;
  std::optional<TimePoint> since;
  Duration lacked{0};
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_NODE_AUTHORITY_WATCH_H_
