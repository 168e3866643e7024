#include "mimosastage/state/internal/row_check.h"

#include <set>

namespace mimosastage {
namespace {

using std::chrono::milliseconds;

// The HTTP server closes a connection whose request has no answer by then.
constexpr milliseconds kMaxDeadline = std::chrono::hours(1);
constexpr std::uint64_t kMaxBodyBytes = 64U << 20U;
constexpr std::uint32_t kMaxSlots = 1'024;
constexpr std::uint32_t kMaxConnections = 65'535;
// Prevents overflow in products of shares and unit counts.
constexpr std::uint32_t kMaxShare = 1'000'000;
constexpr std::uint32_t kMaxUpperLimit = 1'000'000;
// One third, rounded down: if the measurements are faulty, ejecting more
// backend servers would cause an outage.
constexpr std::uint32_t kMaxEjectionPercent = 33;

ChangeRefusal BadRow(const Row& row, const std::string& text) {
  const std::string table = TableName(TableOf(row));
  return {StateError::kBadRow,
          table + " row \"" + RowName(row) + "\": " + text};
}

ChangeRefusal Check(const Row& row, const Route& route) {
  if (!IsName(route.pool.str())) {
    return BadRow(row,
                  "pool is not a name; name the pool that hosts the service");
  }
  if (route.deadline < milliseconds(1) || route.deadline > kMaxDeadline) {
    return BadRow(row, "deadline is " + std::to_string(route.deadline.count()) +
                           " ms; use 1ms to 1h");
  }
  if (route.max_body_bytes == 0 || route.max_body_bytes > kMaxBodyBytes) {
    return BadRow(row, "max_body_bytes is " +
                           std::to_string(route.max_body_bytes) +
                           "; use 1 to 67108864");
  }
  return {};
}

ChangeRefusal CheckInstances(const Row& row, const Pool& pool) {
  if (pool.instances.size() > TableSet::kMaxRows) {
    return BadRow(row, "it has " + std::to_string(pool.instances.size()) +
                           " instances; use at most 4096");
  }
  std::set<InstanceName> seen;
  for (const InstanceName& instance : pool.instances) {
    if (!IsName(instance.str())) {
      return BadRow(row,
                    "an instance has no valid name; use 1 to 128 letters, "
                    "digits, dots, dashes and underscores");
    }
    if (!seen.insert(instance).second) {
      return BadRow(
          row, "instance " + instance.str() + " is listed twice; list it once");
    }
  }
  return {};
}

ChangeRefusal Check(const Row& row, const Pool& pool) {
  if (pool.slots_per_instance == 0 || pool.slots_per_instance > kMaxSlots) {
    return BadRow(row, "slots_per_instance is " +
                           std::to_string(pool.slots_per_instance) +
                           "; use 1 to 1024");
  }
  if (pool.connections_per_instance == 0 ||
      pool.connections_per_instance > kMaxConnections) {
    return BadRow(row, "connections_per_instance is " +
                           std::to_string(pool.connections_per_instance) +
                           "; use 1 to 65535");
  }
  const PoolWeights& weights = pool.weights;
  for (const std::uint32_t weight :
       {weights.buffer, weights.share, weights.moves, weights.roll_out}) {
    if (weight > kMaxShare) {
      return BadRow(row,
                    "a weight is above 1000000; only the ratios count, so "
                    "divide all by a common factor");
    }
  }
  if (weights == PoolWeights{0, 0, 0, 0}) {
    return BadRow(row, "all weights are 0; give at least one measure a weight");
  }
  return CheckInstances(row, pool);
}

ChangeRefusal Check(const Row& row, const Team& team) {
  if (team.share == 0 || team.share > kMaxShare) {
    return BadRow(
        row, "share is " + std::to_string(team.share) + "; use 1 to 1000000");
  }
  if (team.upper_limit == 0 || team.upper_limit > kMaxUpperLimit) {
    return BadRow(row, "upper_limit is " + std::to_string(team.upper_limit) +
                           "; use 1 to 1000000");
  }
  return {};
}

ChangeRefusal Check(const Row& row, const Policy& policy) {
  if (policy.name != "default") {
    return BadRow(row, "the table has one row; name it \"default\"");
  }
  if (policy.retry_percent > 100) {
    return BadRow(row, "retry_percent is " +
                           std::to_string(policy.retry_percent) +
                           "; use 0 to 100");
  }
  if (policy.ejection_percent > kMaxEjectionPercent) {
    return BadRow(row, "ejection_percent is " +
                           std::to_string(policy.ejection_percent) +
                           "; use 0 to 33");
  }
  if (policy.drain_patience < std::chrono::seconds(0) ||
      policy.drain_patience > std::chrono::hours(24 * 7)) {
    return BadRow(row, "drain_patience is " +
                           std::to_string(policy.drain_patience.count()) +
                           " s; use 0s to 168h");
  }
  return {};
}

}  // namespace

ChangeRefusal CheckRow(const Row& row) {
  if (!IsName(RowName(row))) {
    return BadRow(row,
                  "the name is not valid; use 1 to 128 letters, digits, dots, "
                  "dashes and underscores");
  }
  return std::visit([&](const auto& value) { return Check(row, value); }, row);
}

}  // namespace mimosastage
