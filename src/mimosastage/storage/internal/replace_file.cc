#include "mimosastage/storage/internal/replace_file.h"

namespace mimosastage::internal {

void ReplaceFile(FileSystem& file_system, const std::filesystem::path& folder,
                 const std::string& name, std::string_view content) {
  const std::filesystem::path temporary =
      folder / (name + std::string(kTemporarySuffix));
  const auto file = file_system.CreateEmpty(temporary);
  file->Write(content);
  file->Sync();
  file_system.Rename(temporary, folder / name);
  file_system.SyncFolder(folder);
}

}  // namespace mimosastage::internal
