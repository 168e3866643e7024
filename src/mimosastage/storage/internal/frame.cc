#include "mimosastage/storage/internal/frame.h"

#include <xxhash.h>

#include "mimosastage/storage/internal/bytes.h"

namespace mimosastage::internal {
namespace {

constexpr std::uint32_t kMark = 0x4C47534DU;  // "MSGL"
constexpr std::size_t kLengthOffset = 4;
constexpr std::size_t kChecksumOffset = 8;
constexpr std::size_t kSequenceOffset = 16;

}  // namespace

std::string EncodeFrame(std::uint64_t salt, std::uint64_t sequence,
                        std::string_view payload) {
  std::string checked;
  PutNumber(checked, sequence);
  checked += payload;
  std::string frame;
  PutNumber(frame, kMark);
  PutNumber(frame, static_cast<std::uint32_t>(payload.size()));
  PutNumber(frame, Checksum(checked, salt));
  return frame + checked;
}

std::optional<Frame> FrameAt(std::string_view bytes, std::size_t offset,
                             std::uint64_t salt) {
  if (bytes.size() < offset + kFrameHeader ||
      NumberAt<std::uint32_t>(bytes, offset) != kMark) {
    return std::nullopt;
  }
  const std::size_t length =
      NumberAt<std::uint32_t>(bytes, offset + kLengthOffset);
  if (bytes.size() - offset - kFrameHeader < length) {
    return std::nullopt;
  }
  const std::string_view checked = bytes.substr(
      offset + kSequenceOffset, kFrameHeader - kSequenceOffset + length);
  if (Checksum(checked, salt) !=
      NumberAt<std::uint64_t>(bytes, offset + kChecksumOffset)) {
    return std::nullopt;
  }
  return Frame{NumberAt<std::uint64_t>(bytes, offset + kSequenceOffset),
               bytes.substr(offset + kFrameHeader, length),
               kFrameHeader + length};
}

std::optional<std::size_t> FindFrameAfter(std::string_view bytes,
                                          std::size_t offset,
                                          std::uint64_t salt) {
  std::string mark;
  PutNumber(mark, kMark);
  for (std::size_t at = bytes.find(mark, offset + 1);
       at != std::string_view::npos; at = bytes.find(mark, at + 1)) {
    if (FrameAt(bytes, at, salt).has_value()) {
      return at;
    }
  }
  return std::nullopt;
}

std::uint64_t Checksum(std::string_view bytes, std::uint64_t seed) {
  return XXH64(bytes.data(), bytes.size(), seed);
}

}  // namespace mimosastage::internal
