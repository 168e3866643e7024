#ifndef MIMOSASTAGE_BASE_LINK_ADDRESS_H_
#define MIMOSASTAGE_BASE_LINK_ADDRESS_H_

#include <cstdint>
#include <string>

#include "mimosastage/base/names.h"

namespace mimosastage {

/// Address on which a daemon accepts links from other daemons.
struct LinkAddress {
  DaemonId daemon{};
  /// Numeric IP address, not a host name.
  std::string address;
  std::uint16_t port = 0;

  bool operator==(const LinkAddress&) const = default;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_BASE_LINK_ADDRESS_H_
