#ifndef MIMOSASTAGE_STORAGE_INTERNAL_NUMBERED_FILES_H_
#define MIMOSASTAGE_STORAGE_INTERNAL_NUMBERED_FILES_H_

#include <cstdint>
#include <filesystem>
#include <map>
#include <string>
#include <string_view>

#include "mimosastage/storage/internal/file_system.h"

namespace mimosastage::internal {

/// "<prefix><number>", zero-padded so that names sort by number.
std::string NumberedName(std::string_view prefix, std::uint64_t number);

/// The files in `folder` whose names have the form of NumberedName, by number.
std::map<std::uint64_t, std::filesystem::path> NumberedFiles(
    FileSystem& file_system, const std::filesystem::path& folder,
    std::string_view prefix);

}  // namespace mimosastage::internal

#endif  // MIMOSASTAGE_STORAGE_INTERNAL_NUMBERED_FILES_H_
