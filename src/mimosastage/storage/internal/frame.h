#ifndef MIMOSASTAGE_STORAGE_INTERNAL_FRAME_H_
#define MIMOSASTAGE_STORAGE_INTERNAL_FRAME_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace mimosastage::internal {

/// What one sync writes to a log segment: mark, length, checksum (xxHash64),
/// sequence number, payload. Because a segment is synced before the next frame
/// is written, a crash can tear the last frame only.
struct Frame {
  std::uint64_t sequence = 0;
  std::string_view payload;
  /// Bytes of the whole frame.
  std::size_t size = 0;
};

inline constexpr std::size_t kFrameHeader = 24;

/// `salt` is the same for all frames of a segment.
std::string EncodeFrame(std::uint64_t salt, std::uint64_t sequence,
                        std::string_view payload);

/// The frame at `offset`, or nothing if it is torn or damaged.
std::optional<Frame> FrameAt(std::string_view bytes, std::size_t offset,
                             std::uint64_t salt);

/// Offset of the first whole frame after `offset`.
std::optional<std::size_t> FindFrameAfter(std::string_view bytes,
                                          std::size_t offset,
                                          std::uint64_t salt);

/// xxHash64.
std::uint64_t Checksum(std::string_view bytes, std::uint64_t seed);

}  // namespace mimosastage::internal

#endif  // MIMOSASTAGE_STORAGE_INTERNAL_FRAME_H_
