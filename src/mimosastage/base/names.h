#ifndef MIMOSASTAGE_BASE_NAMES_H_
#define MIMOSASTAGE_BASE_NAMES_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace mimosastage {

/// Name of an object as a distinct type for each tag, so that a team's name
/// can't be passed where a pool's is expected.
template <class Tag>
class Name {
 public:
  Name() = default;
  explicit Name(std::string text) : text(std::move(text)) {}

  const std::string& str() const { return this->text; }
  bool empty() const { return this->text.empty(); }

  // clang-tidy mistakes the literal 0 of the comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const Name&) const = default;

 private:
  std::string text;
};

using TeamName = Name<struct TeamTag>;
using PoolName = Name<struct PoolTag>;
using RouteName = Name<struct RouteTag>;
/// An instance of the fleet; a worker is an instance that runs tasks.
using InstanceName = Name<struct InstanceTag>;
/// Name from a backend server's announcement.
using BackendServerName = Name<struct BackendServerTag>;
using AvailabilityZone = Name<struct AvailabilityZoneTag>;
using RackName = Name<struct RackTag>;
using JobName = Name<struct JobTag>;
/// A client of a team, identified by its key.
using ClientName = Name<struct ClientTag>;

/// Tells the daemons of a cluster apart: the position in the list of daemons in
/// the settings, or the daemon's address and port; see base/daemon_id.h.
enum class DaemonId : std::uint64_t {};

/// Random number chosen at each start of a daemon, to tell its restarts apart.
enum class SessionId : std::uint64_t {};

}  // namespace mimosastage

template <class Tag>
struct std::hash<mimosastage::Name<Tag>> {
  std::size_t operator()(const mimosastage::Name<Tag>& name) const noexcept {
    return std::hash<std::string>{}(name.str());
  }
};

#endif  // MIMOSASTAGE_BASE_NAMES_H_
