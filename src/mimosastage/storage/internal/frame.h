#ifndef MIMOSASTAGE_STORAGE_INTERNAL_FRAME_H_
#define MIMOSASTAGE_STORAGE_INTERNAL_FRAME_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace mimosastage::internal {

/// The unit that one sync appends to a log segment: magic number, payload
/// length, checksum (xxHash64), sequence number, payload. Each frame is synced
/// before the next one is written, so a crash can tear only the last frame.
struct Frame {
  std::uint64_t sequence = 0;
  std::string_view payload;
  /// Size of the frame with its header, in bytes.
  std::size_t size = 0;
};

inline constexpr std::size_t kFrameHeaderBytes = 24;

/// `checksum_seed` is the same for all frames of a segment and differs between
/// voters and segments, so that a misplaced frame isn't accepted.
std::string EncodeFrame(std::uint64_t checksum_seed, std::uint64_t sequence,
                        std::string_view payload);

/// Decodes the frame at `offset`; nothing if it is torn or corrupted.
std::optional<Frame> FrameAt(std::string_view bytes, std::size_t offset,
                             std::uint64_t checksum_seed);

/// Offset of the first valid frame after `offset`, or nothing. Tells corruption
/// in the middle of a segment from a torn tail.
std::optional<std::size_t> FindFrameAfter(std::string_view bytes,
                                          std::size_t offset,
                                          std::uint64_t checksum_seed);

/// xxHash64.
std::uint64_t Checksum(std::string_view bytes, std::uint64_t seed);

}  // namespace mimosastage::internal

#endif  // MIMOSASTAGE_STORAGE_INTERNAL_FRAME_H_
