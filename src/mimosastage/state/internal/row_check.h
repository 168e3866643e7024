#ifndef MIMOSASTAGE_STATE_INTERNAL_ROW_CHECK_H_
#define MIMOSASTAGE_STATE_INTERNAL_ROW_CHECK_H_

#include "mimosastage/state/table_set.h"
#include "mimosastage/state/tables.h"

namespace mimosastage {

/// Checks the constraints of a single row that don't depend on other rows.
ChangeRefusal CheckRow(const Row& row);

}  // namespace mimosastage

#endif  // MIMOSASTAGE_STATE_INTERNAL_ROW_CHECK_H_
