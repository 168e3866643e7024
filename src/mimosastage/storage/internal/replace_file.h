#ifndef MIMOSASTAGE_STORAGE_INTERNAL_REPLACE_FILE_H_
#define MIMOSASTAGE_STORAGE_INTERNAL_REPLACE_FILE_H_

#include <filesystem>
#include <string>
#include <string_view>

#include "mimosastage/storage/internal/file_system.h"

namespace mimosastage::internal {

/// Atomically replaces the file `name` in `folder`; after a crash it has either
/// the old or the new content. Writes and syncs a temporary file, renames it
/// and syncs the folder.
void ReplaceFile(FileSystem& file_system, const std::filesystem::path& folder,
                 const std::string& name, std::string_view content);

/// Suffix of temporary files, which are removed when a data folder is opened.
inline constexpr std::string_view kTemporarySuffix = ".tmp";

}  // namespace mimosastage::internal

#endif  // MIMOSASTAGE_STORAGE_INTERNAL_REPLACE_FILE_H_
