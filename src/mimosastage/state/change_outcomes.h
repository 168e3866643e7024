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

/// Outcomes of the most recent changes by change id, so that a change that is
/// resent after its answer was lost gets its first outcome.
class ChangeOutcomes {
 public:
  static constexpr std::size_t kMaxChanges = 4'096;

  using Record = std::pair<std::string, Outcome>;

  /// Null if the id isn't among the last kMaxChanges changes.
  const Outcome* Find(const std::string& change_id) const;

  /// Adds the outcome of a new change id; evicts the oldest one beyond
  /// kMaxChanges.
  void Add(const std::string& change_id, Outcome outcome);

  /// All outcomes, oldest first.
  std::vector<Record> Records() const;
  void Restore(const std::vector<Record>& records);

 private:
  std::map<std::string, Outcome> outcomes;
  std::deque<std::string> order;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_STATE_CHANGE_OUTCOMES_H_
