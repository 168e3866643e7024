#ifndef MIMOSASTAGE_STORAGE_STORAGE_ERROR_H_
#define MIMOSASTAGE_STORAGE_STORAGE_ERROR_H_

#include <system_error>

namespace mimosastage {

/// Why a data folder can't be used; the messages name the remedy.
enum class StorageError {
  kNotEmpty = 1,
  /// The folder belongs to another cluster or voter, or has no identity file.
  kForeignFolder,
  kDamaged,
  kInputOutput,
  kAlreadyOpen,
  /// A record is intact but unknown to this release.
  kUnknownRecord
};

const std::error_category& StorageCategory() noexcept;
std::error_code make_error_code(StorageError error) noexcept;

}  // namespace mimosastage

template <>
struct std::is_error_code_enum<mimosastage::StorageError> : std::true_type {};

#endif  // MIMOSASTAGE_STORAGE_STORAGE_ERROR_H_
