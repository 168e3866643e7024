#ifndef MIMOSASTAGE_JOBS_INTERNAL_WIRE_H_
#define MIMOSASTAGE_JOBS_INTERNAL_WIRE_H_

// Suppresses clang-tidy in the code that flatc generates, which follows other
// naming rules.
#pragma GCC system_header
#include "mimosastage/jobs/internal/records_generated.h"

#endif  // MIMOSASTAGE_JOBS_INTERNAL_WIRE_H_
