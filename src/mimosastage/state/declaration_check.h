#ifndef MIMOSASTAGE_STATE_DECLARATION_CHECK_H_
#define MIMOSASTAGE_STATE_DECLARATION_CHECK_H_

#include <string>
#include <utility>
#include <vector>

#include "mimosastage/state/declaration.h"
#include "mimosastage/state/table_set.h"

namespace mimosastage {

/// A fault in a declaration, and its remedy.
struct DeclarationFinding {
  /// An error is refused by the daemons; a warning isn't, but can't be meant.
  bool is_error = false;
  /// Identifier in snake_case, such as "unknown_pool".
  std::string kind;
  std::string text;

  bool operator==(const DeclarationFinding&) const = default;
};

/// A key in force: its id and its team.
using KeyOwner = std::pair<std::string, std::string>;

/// The tables after the declaration is applied to `tables`, without checks.
TableSet TablesAfter(const Declaration& declaration, const TableSet& tables);

/// Returns what is wrong with the tables that the declaration leaves in force:
/// first what the daemons would refuse, then entries that can never be used and
/// limits that contradict each other. Constraints on a table that neither the
/// declaration nor `tables` has aren't checked.
std::vector<DeclarationFinding> CheckDeclaration(
    const Declaration& declaration, const TableSet& tables,
    const std::vector<KeyOwner>& keys);

}  // namespace mimosastage

#endif  // MIMOSASTAGE_STATE_DECLARATION_CHECK_H_
