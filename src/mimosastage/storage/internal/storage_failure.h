#ifndef MIMOSASTAGE_STORAGE_INTERNAL_STORAGE_FAILURE_H_
#define MIMOSASTAGE_STORAGE_INTERNAL_STORAGE_FAILURE_H_

#include <string>

#include "mimosastage/storage/storage_error.h"

namespace mimosastage::internal {

/// The exception of this package; DataFolder converts it to an error code.
struct StorageFailure {
  StorageError error = StorageError::kInputOutput;
  /// The file, the offset, what was found and the remedy.
  std::string detail;
};

}  // namespace mimosastage::internal

#endif  // MIMOSASTAGE_STORAGE_INTERNAL_STORAGE_FAILURE_H_
