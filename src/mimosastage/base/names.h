#ifndef MIMOSASTAGE_BASE_NAMES_H_
#define MIMOSASTAGE_BASE_NAMES_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace mimosastage {

/// A string that names one kind of thing, so that a team's name can't be
/// passed where a pool's is expected.
template <class Kind>
class Name {
 public:
  Name() = default;
  explicit Name(std::string text) : text(std::move(text)) {}

  const std::string& str() const { return this->text; }
  bool empty() const { return this->text.empty(); }

  // clang-tidy takes the comparison's literal 0 for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const Name&) const = default;

 private:
  std::string text;
};

using TeamName = Name<struct TeamKind>;
using PoolName = Name<struct PoolKind>;
using RouteName = Name<struct RouteKind>;
/// An instance of the fleet; a worker is an instance that runs tasks.
using InstanceName = Name<struct InstanceKind>;
/// A backend server, as it announced itself.
using BackendServerName = Name<struct BackendServerKind>;
using AvailabilityZone = Name<struct AvailabilityZoneKind>;
using RackName = Name<struct RackKind>;
using JobName = Name<struct JobKind>;
/// One caller of a team, as told by its key.
using ClientName = Name<struct ClientKind>;

/// Index of a daemon in the settings' list of daemons.
enum class DaemonId : std::uint16_t {};

/// Number drawn at each start of a daemon; two runs of one daemon differ.
enum class SessionId : std::uint64_t {};

}  // namespace mimosastage

template <class Kind>
struct std::hash<mimosastage::Name<Kind>> {
  std::size_t operator()(const mimosastage::Name<Kind>& name) const noexcept {
    return std::hash<std::string>{}(name.str());
  }
};

#endif  // MIMOSASTAGE_BASE_NAMES_H_
