#ifndef MIMOSASTAGE_STORAGE_INTERNAL_BYTES_H_
#define MIMOSASTAGE_STORAGE_INTERNAL_BYTES_H_

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace mimosastage::internal {

/// Appends `value` in little-endian order.
template <std::unsigned_integral Number>
void PutNumber(std::string& bytes, Number value) {
  for (std::size_t i = 0; i < sizeof(Number); ++i) {
    bytes.push_back(static_cast<char>(value & 0xFFU));
    value = static_cast<Number>(static_cast<std::uint64_t>(value) >> 8U);
  }
}

/// Reads the little-endian number at `offset`; all its bytes must be within
/// `bytes`.
template <std::unsigned_integral Number>
Number NumberAt(std::string_view bytes, std::size_t offset) {
  std::uint64_t value = 0;
  for (std::size_t i = sizeof(Number); i > 0; --i) {
    value = (value << 8U) | static_cast<std::uint8_t>(bytes[offset + i - 1]);
  }
  return static_cast<Number>(value);
}

/// Reads values sequentially from a byte string. Each Take function returns
/// nothing if fewer bytes are left than it needs.
class ByteReader {
 public:
  explicit ByteReader(std::string_view bytes) : bytes(bytes) {}

  bool AtEnd() const { return this->bytes.empty(); }

  template <std::unsigned_integral Number>
  std::optional<Number> Take() {
    if (this->bytes.size() < sizeof(Number)) {
      return std::nullopt;
    }
    const Number value = NumberAt<Number>(this->bytes, 0);
    this->bytes.remove_prefix(sizeof(Number));
    return value;
  }

  std::optional<std::string> TakeString(std::size_t size) {
    if (this->bytes.size() < size) {
      return std::nullopt;
    }
    std::string text(this->bytes.substr(0, size));
    this->bytes.remove_prefix(size);
    return text;
  }

 private:
  std::string_view bytes;
};

}  // namespace mimosastage::internal

#endif  // MIMOSASTAGE_STORAGE_INTERNAL_BYTES_H_
