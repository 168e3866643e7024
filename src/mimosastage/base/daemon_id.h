#ifndef MIMOSASTAGE_BASE_DAEMON_ID_H_
#define MIMOSASTAGE_BASE_DAEMON_ID_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "mimosastage/base/names.h"

namespace mimosastage {

/// Ids from here on are made of an address and a port. Smaller ones are
/// positions in a list of daemons, legacy ids, or numbers of anonymous links.
inline constexpr DaemonId kFirstAddressId{0x1'0000};

/// The id of the daemon that accepts links at an IPv4 address and port. The
/// address is in bits 16 to 47 and the port in bits 0 to 15, so daemons at
/// different addresses never have the same id. std::nullopt if `ip` isn't an
/// IPv4 address in dotted form, or is 0.0.0.0.
std::optional<DaemonId> DaemonIdFromAddress(std::string_view ip,
                                            std::uint16_t port);

/// The id that earlier releases gave to the daemon at the same address: a hash
/// of 15 bits, which differs from address to address only by chance.
/// std::nullopt if the id wasn't made of an address. Needed only to read data
/// folders of those releases.
std::optional<DaemonId> LegacyDaemonId(DaemonId daemon);

/// "10.1.0.19:7000", or the number of an id that wasn't made of an address.
std::string DaemonIdText(DaemonId daemon);

/// A daemon id as the fields of a message or record. `number` has the ids that
/// fit into 16 bits, as in earlier releases, and `address_id` all others.
struct DaemonIdFields {
  std::uint16_t number = 0;
  /// 0 if the id is in `number`.
  std::uint64_t address_id = 0;
};
DaemonIdFields ToDaemonIdFields(DaemonId daemon);
DaemonId FromDaemonIdFields(std::uint16_t number, std::uint64_t address_id);

}  // namespace mimosastage

#endif  // MIMOSASTAGE_BASE_DAEMON_ID_H_
