#ifndef MIMOSASTAGE_FLEET_RESOURCES_H_
#define MIMOSASTAGE_FLEET_RESOURCES_H_

#include <cstdint>

namespace mimosastage {

/// Resources that a worker offers or a task uses.
struct Resources {
  std::int64_t slots = 0;
  /// Thousandths of a CPU.
  std::int64_t millicores = 0;
  std::int64_t memory_bytes = 0;
  std::int64_t accelerators = 0;

  bool operator==(const Resources&) const = default;

  Resources& operator+=(const Resources& other) {
    this->slots += other.slots;
    this->millicores += other.millicores;
    this->memory_bytes += other.memory_bytes;
    this->accelerators += other.accelerators;
    return *this;
  }

  Resources& operator-=(const Resources& other) {
    this->slots -= other.slots;
    this->millicores -= other.millicores;
    this->memory_bytes -= other.memory_bytes;
    this->accelerators -= other.accelerators;
    return *this;
  }

  /// True if no component exceeds that of `room`.
  bool FitsIn(const Resources& room) const {
    return this->slots <= room.slots && this->millicores <= room.millicores &&
           this->memory_bytes <= room.memory_bytes &&
           this->accelerators <= room.accelerators;
  }
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_FLEET_RESOURCES_H_
