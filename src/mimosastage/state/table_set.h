#ifndef MIMOSASTAGE_STATE_TABLE_SET_H_
#define MIMOSASTAGE_STATE_TABLE_SET_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

#include "mimosastage/state/commands.h"
#include "mimosastage/state/state_error.h"
#include "mimosastage/state/tables.h"

namespace mimosastage {

/// Why a change is refused; no error means that it is accepted.
struct ChangeRefusal {
  std::error_code error;
  /// What was found and the remedy.
  std::string detail;
};

/// The tables in force, each with its version. A version counts the accepted
/// changes of its table.
class TableSet {
 public:
  static constexpr std::size_t kMaxRows = 4'096;
  static constexpr std::size_t kMaxNameBytes = 128;

  using Routes = std::map<std::string, Route, std::less<>>;
  using Pools = std::map<std::string, Pool, std::less<>>;
  using Teams = std::map<std::string, Team, std::less<>>;

  /// Applies a change atomically: a refused change has no effect. The base
  /// version is checked before the content.
  ChangeRefusal Apply(const TableChange& change);

  std::uint64_t VersionOf(TableKind table) const;
  const Routes& AllRoutes() const { return this->routes; }
  const Pools& AllPools() const { return this->pools; }
  const Teams& AllTeams() const { return this->teams; }
  const Policy& CurrentPolicy() const { return this->policy; }

  /// Null if no row has this name; valid until the next change.
  const Route* FindRoute(std::string_view name) const;
  const Pool* FindPool(std::string_view name) const;
  const Team* FindTeam(std::string_view name) const;

  /// Returns all violations of the constraints between rows; Apply refuses a
  /// change for the first one that it causes.
  std::vector<ChangeRefusal> FindViolations() const;

  /// The rows of one table, sorted by name.
  std::vector<Row> Rows(TableKind table) const;

  /// Replaces all rows and versions with those of a snapshot, without checks.
  void Restore(const std::array<std::uint64_t, 4>& versions,
               const std::vector<Row>& rows);

  bool operator==(const TableSet&) const = default;

 private:
  ChangeRefusal CheckWellFormed(const TableChange& change) const;
  ChangeRefusal ApplyRows(const TableChange& change);
  ChangeRefusal Delete(TableKind table, const std::string& name);
  void Put(const Row& row);
  ChangeRefusal CheckConstraints(TableKind table) const;
  /// Refuses a table with more than kMaxRows rows.
  ChangeRefusal CheckSize(TableKind table) const;
  std::vector<ChangeRefusal> FindPoolViolations() const;
  std::vector<ChangeRefusal> FindRouteViolations() const;

  std::array<std::uint64_t, 4> versions{};
  Routes routes;
  Pools pools;
  Teams teams;
  Policy policy;
};

/// "routes", "pools", "teams" or "policy".
const char* TableName(TableKind table);

/// The table that holds rows of this kind.
TableKind TableOf(const Row& row);

/// True for 1 to 128 letters, digits, dots, dashes and underscores; such a name
/// is valid in a URL path, a metric label and a file name.
bool IsName(std::string_view text);

}  // namespace mimosastage

#endif  // MIMOSASTAGE_STATE_TABLE_SET_H_
