#ifndef MIMOSASTAGE_STATE_TABLES_H_
#define MIMOSASTAGE_STATE_TABLES_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "mimosastage/base/names.h"

namespace mimosastage {

/// A named entry point through which callers reach the service that a pool
/// hosts.
struct Route {
  RouteName name;
  PoolName pool;
  /// Open to callers without a key.
  bool open = false;
  /// A request may be sent again although an earlier attempt may have run.
  bool repeatable = false;
  bool urgent = false;
  /// Time from the arrival of a request to the end of its answer, unless the
  /// caller asks for less.
  std::chrono::milliseconds deadline{30'000};
  std::uint64_t max_body_bytes = 1U << 20U;

  bool operator==(const Route&) const = default;
};

/// Weights of the goals by which a pool is sized; only their ratios matter.
struct PoolWeights {
  /// Little idle capacity.
  std::uint32_t buffer = 1;
  std::uint32_t share = 1;
  /// Few moves of instances.
  std::uint32_t moves = 1;
  /// Short maintenance waves.
  std::uint32_t roll_out = 1;

  bool operator==(const PoolWeights&) const = default;
};

/// A named set of instances that host one kind of work.
struct Pool {
  PoolName name;
  /// Instances that may be out of service at once, planned or not.
  std::uint32_t availability_budget = 1;
  /// Other pools may take instances from a spare pool.
  bool spare = false;
  std::uint32_t slots_per_instance = 8;
  std::uint32_t connections_per_instance = 64;
  PoolWeights weights;
  std::vector<InstanceName> instances;

  bool operator==(const Pool&) const = default;
};

/// A client account with its keys, share and upper limit.
struct Team {
  TeamName name;
  /// Relative weight of the team when a pool is full.
  std::uint32_t share = 1;
  /// Maximum number of requests and tasks that run at once in the whole fleet.
  std::uint32_t upper_limit = 1;

  bool operator==(const Team&) const = default;
};

/// Fleet-wide settings that operators change while the system runs. The table
/// has one row, named "default".
struct Policy {
  std::string name = "default";
  /// Maximum number of retries for each 100 first attempts of a pool.
  std::uint32_t retry_percent = 8;
  /// Backend servers of a pool that may be ejected at once, in percent.
  std::uint32_t ejection_percent = 33;
  /// How long a drain waits for jobs to end or checkpoint.
  std::chrono::seconds drain_patience{600};

  bool operator==(const Policy&) const = default;
};

enum class TableKind : std::uint8_t { kRoutes, kPools, kTeams, kPolicy };

using Row = std::variant<Route, Pool, Team, Policy>;

/// The row's unique name in its table.
inline const std::string& RowName(const Row& row) {
  return std::visit(
      [](const auto& value) -> const std::string& {
        if constexpr (requires { value.name.str(); }) {
          return value.name.str();
        } else {
          return value.name;
        }
      },
      row);
}

}  // namespace mimosastage

#endif  // MIMOSASTAGE_STATE_TABLES_H_
