#ifndef MIMOSASTAGE_STATE_CHANGE_OUTCOMES_H_
#define MIMOSASTAGE_STATE_CHANGE_OUTCOMES_H_

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "mimosastage/state/commands.h"

namespace mimosastage {

/// First outcomes of the last changes, by change id. A change that is sent
/// again because its answer was lost gets the outcome that it had.
class ChangeOutcomes {
 public:
  static constexpr std::size_t kMaxChanges = 4'096;

  using Record = std::pair<std::string, Outcome>;

  /// Null if the id isn't among the last changes.
  const Outcome* Find(const std::string& change_id) const;

  /// Forgets the oldest change beyond the bound. The id must be new.
  void Add(const std::string& change_id, Outcome outcome);

  /// Oldest first.
  std::vector<Record> Records() const;
  void Restore(const std::vector<Record>& records);

 private:
  std::map<std::string, Outcome> outcomes;
  std::deque<std::string> order;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_STATE_CHANGE_OUTCOMES_H_
