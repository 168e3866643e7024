#include "mimosastage/storage/internal/frame.h"

#include <xxhash.h>

#include "mimosastage/storage/internal/bytes.h"

namespace mimosastage::internal {
namespace {

constexpr std::uint32_t kMagic = 0x4C47534DU;  // "MSGL"
constexpr std::size_t kLengthOffset = 4;
constexpr std::size_t kChecksumOffset = 8;
constexpr std::size_t kSequenceOffset = 16;

}  // namespace

std::string EncodeFrame(std::uint64_t checksum_seed, std::uint64_t sequence,
                        std::string_view payload) {
  std::string checked;
  PutNumber(checked, sequence);
  checked += payload;
  std::string frame;
  PutNumber(frame, kMagic);
  PutNumber(frame, static_cast<std::uint32_t>(payload.size()));
  PutNumber(frame, Checksum(checked, checksum_seed));
  return frame + checked;
}

std::optional<Frame> FrameAt(std::string_view bytes, std::size_t offset,
                             std::uint64_t checksum_seed) {
  if (bytes.size() < offset + kFrameHeaderBytes ||
      NumberAt<std::uint32_t>(bytes, offset) != kMagic) {
    return std::nullopt;
  }
  const std::size_t length =
      NumberAt<std::uint32_t>(bytes, offset + kLengthOffset);
  if (bytes.size() - offset - kFrameHeaderBytes < length) {
    return std::nullopt;
  }
  const std::string_view checked = bytes.substr(
      offset + kSequenceOffset, kFrameHeaderBytes - kSequenceOffset + length);
  if (Checksum(checked, checksum_seed) !=
      NumberAt<std::uint64_t>(bytes, offset + kChecksumOffset)) {
    return std::nullopt;
  }
  return Frame{NumberAt<std::uint64_t>(bytes, offset + kSequenceOffset),
               bytes.substr(offset + kFrameHeaderBytes, length),
               kFrameHeaderBytes + length};
}

std::optional<std::size_t> FindFrameAfter(std::string_view bytes,
                                          std::size_t offset,
                                          std::uint64_t checksum_seed) {
  std::string magic;
  PutNumber(magic, kMagic);
  for (std::size_t at = bytes.find(magic, offset + 1);
       at != std::string_view::npos; at = bytes.find(magic, at + 1)) {
    if (FrameAt(bytes, at, checksum_seed).has_value()) {
      return at;
    }
  }
  return std::nullopt;
}

std::uint64_t Checksum(std::string_view bytes, std::uint64_t seed) {
  return XXH64(bytes.data(), bytes.size(), seed);
}

}  // namespace mimosastage::internal
