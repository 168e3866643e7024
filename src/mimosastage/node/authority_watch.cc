#include "mimosastage/node/authority_watch.h"

#include <algorithm>
#include <utility>

namespace mimosastage {

std::optional<Duration> AuthorityWatch::OnTurn(bool has_authority,
                                               TimePoint now) {
  const Duration elapsed =
      now - std::exchange(this->last_turn, now).value_or(now);
  this->lacked = this->since.has_value()
                     ? this->lacked + elapsed
                     : std::max(Duration(0), this->lacked - elapsed);
  if (!has_authority) {
    this->since = this->since.value_or(now);
    return std::nullopt;
  }
  if (!this->since.has_value()) {
    return std::nullopt;
  }
  return now - *std::exchange(this->since, std::nullopt);
}

}  // namespace mimosastage
