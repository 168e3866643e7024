#ifndef MIMOSASTAGE_STATE_INTERNAL_FLAT_VALUES_H_
#define MIMOSASTAGE_STATE_INTERNAL_FLAT_VALUES_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include "mimosastage/state/commands.h"
#include "mimosastage/state/internal/state_generated.h"
#include "mimosastage/state/tables.h"

namespace mimosastage {

/// Conversions between the values of the state and the objects that flatc
/// generates. FromFlat returns nothing for values that are out of range.
std::unique_ptr<flat::RowHolderT> ToFlat(const Row& row);
std::optional<Row> FromFlat(const flat::RowHolderT& holder);

flat::Session ToFlat(const Session& session);
Session FromFlat(const flat::Session& session);

std::unique_ptr<flat::StoredAnswerT> ToFlat(const StoredAnswer& answer);
StoredAnswer FromFlat(const flat::StoredAnswerT& answer);

flat::KeyGrantT ToFlat(const KeyGrant& grant);
std::optional<KeyGrant> FromFlat(const flat::KeyGrantT& grant);

flat::InstanceTransitionT ToFlat(const InstanceTransition& transition);
std::optional<InstanceTransition> FromFlat(
    const flat::InstanceTransitionT& transition);

/// Converts `value` to an enumerator; nothing if it is above `last`.
template <class Enum>
std::optional<Enum> EnumFrom(std::uint8_t value, Enum last) {
  if (value > static_cast<std::uint8_t>(last)) {
    return std::nullopt;
  }
  return static_cast<Enum>(value);
}

/// Bytes at an 8-byte aligned address, as FlatBuffers requires. Copies the
/// given bytes only if their address isn't aligned.
class AlignedBytes {
 public:
  explicit AlignedBytes(std::string_view bytes);

  const std::uint8_t* data() const { return this->start; }
  std::size_t size() const { return this->length; }

 private:
  std::vector<std::uint64_t> copy;
  const std::uint8_t* start;
  std::size_t length;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_STATE_INTERNAL_FLAT_VALUES_H_
