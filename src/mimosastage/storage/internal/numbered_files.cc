#include "mimosastage/storage/internal/numbered_files.h"

#include <charconv>
#include <iomanip>
#include <sstream>

namespace mimosastage::internal {

std::string NumberedName(std::string_view prefix, std::uint64_t number) {
  constexpr int kDigits = 20;
  std::ostringstream name;
  name << prefix << std::setw(kDigits) << std::setfill('0') << number;
  return name.str();
}

std::map<std::uint64_t, std::filesystem::path> NumberedFiles(
    FileSystem& file_system, const std::filesystem::path& folder,
    std::string_view prefix) {
  std::map<std::uint64_t, std::filesystem::path> files;
  for (const std::string& name : file_system.FileNames(folder)) {
    if (!name.starts_with(prefix)) {
      continue;
    }
    std::uint64_t number = 0;
    const char* end = name.data() + name.size();
    const auto [stop, error] =
        std::from_chars(name.data() + prefix.size(), end, number);
    if (error == std::errc() && stop == end) {
      files[number] = folder / name;
    }
  }
  return files;
}

}  // namespace mimosastage::internal
