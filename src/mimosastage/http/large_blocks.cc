#include "mimosastage/http/large_blocks.h"

#include <malloc.h>

namespace mimosastage {

void MapLargeBlocks() {
  mallopt(M_MMAP_THRESHOLD, static_cast<int>(kLargeBlockBytes));
}

}  // namespace mimosastage
