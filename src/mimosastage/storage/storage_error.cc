#include "mimosastage/storage/storage_error.h"

#include <string>

namespace mimosastage {
namespace {

class Category : public std::error_category {
 public:
  const char* name() const noexcept override { return "storage"; }

  std::string message(int value) const override {
    switch (static_cast<StorageError>(value)) {
      case StorageError::kNotEmpty:
        return "the data folder is not empty; name an empty folder, or start "
               "without --format_data_dir if it is already formatted";
      case StorageError::kForeignFolder:
        return "the data folder belongs to another cluster or voter; correct "
               "the setting, or move the folder's files away so that the voter "
               "recovers from the other voters";
      case StorageError::kDamaged:
        return "a file in the data folder is damaged; check the disk, then "
               "move the folder's files away so that the voter recovers from "
               "the other voters";
      case StorageError::kInputOutput:
        return "the data folder can't be read or written; check the disk, its "
               "free space and the folder's permissions";
      case StorageError::kAlreadyOpen:
        return "another process uses the data folder; stop it first";
      case StorageError::kUnknownRecord:
        return "the data folder has a record that this release can't read; "
               "install the release that wrote it";
    }
    return "unknown storage error " + std::to_string(value);
  }
};

}  // namespace

const std::error_category& StorageCategory() noexcept {
  static const Category category;
  return category;
}

std::error_code make_error_code(StorageError error) noexcept {
  return {static_cast<int>(error), StorageCategory()};
}

}  // namespace mimosastage
