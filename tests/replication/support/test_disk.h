#ifndef MIMOSASTAGE_TESTS_REPLICATION_SUPPORT_TEST_DISK_H_
#define MIMOSASTAGE_TESTS_REPLICATION_SUPPORT_TEST_DISK_H_

#include <algorithm>
#include <cstddef>
#include <optional>

#include "mimosastage/replication/durable_state.h"

namespace mimosastage {

/// The simulated disk of one voter: the synced state and the write in progress.
struct TestDisk {
  DurableImage synced;
  std::optional<DurableWrite> unsynced;
};

/// Applies `write` to `image` as DataFolder does to its files.
inline void ApplyToImage(DurableImage& image, DaemonId self,
                         const DurableWrite& write,
                         bool snapshot_only = false) {
  const auto end = [&] { return image.snapshot_index + image.entries.size(); };
  if (write.snapshot.has_value()) {
    const LogIndex index = write.snapshot_index;
    const bool fits = index <= end() && index > image.snapshot_index &&
                      image.entries[index - image.snapshot_index - 1].view ==
                          write.snapshot_view;
    const auto keep_from =
        fits ? image.entries.begin() +
                   static_cast<std::ptrdiff_t>(index - image.snapshot_index)
             : image.entries.end();
    image.entries.erase(image.entries.begin(), keep_from);
    image.snapshot = write.snapshot;
    image.snapshot_index = index;
    image.snapshot_view = write.snapshot_view;
  }
  if (snapshot_only) {
    return;
  }
  if (write.truncate_from.has_value()) {
    while (!image.entries.empty() && end() >= *write.truncate_from) {
      image.entries.pop_back();
    }
  }
  for (const LogEntry& entry : write.entries) {
    image.entries.push_back(entry);
  }
  image.view = write.view.value_or(image.view);
  image.last_normal_view =
      write.last_normal_view.value_or(image.last_normal_view);
  image.intact = write.intact.value_or(image.intact);
  for (const auto& change : write.incarnations) {
    if (change.first == self) {
      image.starts = {change.second};
      continue;
    }
    std::erase_if(image.incarnations,
                  [&](const auto& item) { return item.first == change.first; });
    image.incarnations.push_back(change);
  }
}

}  // namespace mimosastage

#endif  // MIMOSASTAGE_TESTS_REPLICATION_SUPPORT_TEST_DISK_H_
