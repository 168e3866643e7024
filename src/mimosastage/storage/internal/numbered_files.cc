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
    const std::filesystem::path& folder, std::string_view prefix) {
  std::map<std::uint64_t, std::filesystem::path> files;
  for (const auto& item : std::filesystem::directory_iterator(folder)) {
    const std::string name = item.path().filename().string();
    if (!name.starts_with(prefix)) {
      continue;
    }
    std::uint64_t number = 0;
    const char* end = name.data() + name.size();
    const auto [stop, error] =
        std::from_chars(name.data() + prefix.size(), end, number);
    if (error == std::errc() && stop == end) {
      files[number] = item.path();
    }
  }
  return files;
}

}  // namespace mimosastage::internal
