#ifndef MIMOSASTAGE_STATE_INTERNAL_ROW_CHECK_H_
#define MIMOSASTAGE_STATE_INTERNAL_ROW_CHECK_H_

#include "mimosastage/state/table_set.h"
#include "mimosastage/state/tables.h"

namespace mimosastage {

/// Checks what can be said of a row without the other rows.
ChangeRefusal CheckRow(const Row& row);

}  // namespace mimosastage

#endif  // MIMOSASTAGE_STATE_INTERNAL_ROW_CHECK_H_
