#include "mimosastage/base/daemon_id.h"

#include <arpa/inet.h>

#include <array>

namespace mimosastage {
namespace {

constexpr unsigned kPortBits = 16;
/// Legacy ids are below this.
constexpr std::uint32_t kLegacyIdCount = 0x8000;

std::string AddressText(DaemonId daemon) {
  const in_addr address{htonl(static_cast<std::uint32_t>(
      static_cast<std::uint64_t>(daemon) >> kPortBits))};
  std::array<char, INET_ADDRSTRLEN> text{};
  inet_ntop(AF_INET, &address, text.data(), text.size());
  return text.data();
}

}  // namespace

std::optional<DaemonId> DaemonIdFromAddress(std::string_view ip,
                                            std::uint16_t port) {
  in_addr address{};
  if (inet_pton(AF_INET, std::string(ip).c_str(), &address) != 1 ||
      address.s_addr == 0) {
    return std::nullopt;
  }
  return DaemonId{
      (static_cast<std::uint64_t>(ntohl(address.s_addr)) << kPortBits) | port};
}

std::optional<DaemonId> LegacyDaemonId(DaemonId daemon) {
  if (daemon < kFirstAddressId) {
    return std::nullopt;
  }
  // FNV-1a.
  std::uint32_t hash = 2'166'136'261U;
  for (const char byte : AddressText(daemon)) {
    hash = (hash ^ static_cast<unsigned char>(byte)) * 16'777'619U;
  }
  return DaemonId{(hash ^ (hash >> 16U)) % kLegacyIdCount};
}

std::string DaemonIdText(DaemonId daemon) {
  const auto number = static_cast<std::uint64_t>(daemon);
  if (daemon < kFirstAddressId) {
    return std::to_string(number);
  }
  return AddressText(daemon) + ":" +
         std::to_string(static_cast<std::uint16_t>(number));
}

DaemonIdFields ToDaemonIdFields(DaemonId daemon) {
  const auto number = static_cast<std::uint64_t>(daemon);
  return daemon < kFirstAddressId
             ? DaemonIdFields{static_cast<std::uint16_t>(number), 0}
             : DaemonIdFields{0, number};
}

DaemonId FromDaemonIdFields(std::uint16_t number, std::uint64_t address_id) {
  return DaemonId{address_id != 0 ? address_id : number};
}

}  // namespace mimosastage
