#ifndef MIMOSASTAGE_TESTS_STATE_SUPPORT_NAIVE_STATE_H_
#define MIMOSASTAGE_TESTS_STATE_SUPPORT_NAIVE_STATE_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "mimosastage/state/commands.h"

namespace mimosastage {

/// Reference model of ReplicatedState for tables and keys. It tells whether a
/// change is accepted, not why it is refused.
class NaiveState {
 public:
  struct Answer {
    bool accepted = false;
    bool conflict = false;
    std::uint64_t version = 0;

    bool operator==(const Answer&) const = default;
  };

  Answer Change(const TableChange& change);
  Answer Grant(const KeyGrant& grant);
  Answer Revoke(const KeyRevoke& revoke);

  /// Rows by table and name.
  const std::map<std::string, Row>& Rows(TableKind table) const {
    return this->rows.at(table);
  }
  /// Granted keys by key id.
  const std::map<std::string, KeyGrant>& Keys() const { return this->keys; }

 private:
  bool Valid(
      const TableChange& change,
      const std::map<TableKind, std::map<std::string, Row>>& after) const;

  std::map<TableKind, std::map<std::string, Row>> rows{
      {TableKind::kRoutes, {}},
      {TableKind::kPools, {}},
      {TableKind::kTeams, {}},
      {TableKind::kPolicy, {{"default", Policy{}}}}};
  std::map<TableKind, std::uint64_t> versions;
  std::map<std::string, KeyGrant> keys;
  /// First answer to each change id. Unbounded, because the tests send fewer
  /// changes than ChangeOutcomes::kMaxChanges.
  std::map<std::string, Answer> first_answers;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_TESTS_STATE_SUPPORT_NAIVE_STATE_H_
