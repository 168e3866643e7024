#ifndef MIMOSASTAGE_BASE_LINK_ADDRESS_H_
#define MIMOSASTAGE_BASE_LINK_ADDRESS_H_

#include <cstdint>
#include <string>

#include "mimosastage/base/names.h"

namespace mimosastage {

/// Where a daemon listens for links.
struct LinkAddress {
  DaemonId daemon{};
  /// An IP number.
  std::string address;
  std::uint16_t port = 0;

  bool operator==(const LinkAddress&) const = default;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_BASE_LINK_ADDRESS_H_
