#ifndef MIMOSASTAGE_HTTP_LARGE_BLOCKS_H_
#define MIMOSASTAGE_HTTP_LARGE_BLOCKS_H_

#include <cstddef>

namespace mimosastage {

/// Blocks of at least this size are mapped one by one after
/// MapLargeBlocks.
inline constexpr std::size_t kLargeBlockBytes = 256U << 10U;

/// Makes the allocator return large blocks to the system when they are freed.
/// By default glibc raises the size from which it does so to that of the
/// largest freed block, up to 32 MiB. Space that the HTTP server reserves for
/// an announced body then lies on pages of earlier bodies and is resident
/// before a byte of it has arrived. Call it before other threads start.
void MapLargeBlocks();

}  // namespace mimosastage

#endif  // MIMOSASTAGE_HTTP_LARGE_BLOCKS_H_
