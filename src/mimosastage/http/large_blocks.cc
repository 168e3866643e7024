#include "mimosastage/http/large_blocks.h"

#include <malloc.h>

namespace mimosastage {
namespace {

/// Free memory that each arena keeps at its end. Setting the threshold for
/// mapped blocks turns off the allocator's own adjustment, which would leave
/// 128 KiB: less than one batch of orders, so that a busy leader would return
/// and request memory all the time.
constexpr int kKeptFreeBytes = 2 << 20;

}  // namespace

void MapLargeBlocks() {
  mallopt(M_MMAP_THRESHOLD, static_cast<int>(kLargeBlockBytes));
  mallopt(M_TRIM_THRESHOLD, kKeptFreeBytes);
}

}  // namespace mimosastage
