#ifndef MIMOSASTAGE_REPLICATION_INTERNAL_WIRE_H_
#define MIMOSASTAGE_REPLICATION_INTERNAL_WIRE_H_

// Keeps clang-tidy off flatc's output, which follows other naming rules.
#pragma GCC system_header
#include "mimosastage/replication/replication_generated.h"

#endif  // MIMOSASTAGE_REPLICATION_INTERNAL_WIRE_H_
