#ifndef MIMOSASTAGE_ADMISSION_ALLOWANCE_LEDGER_H_
#define MIMOSASTAGE_ADMISSION_ALLOWANCE_LEDGER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "mimosastage/state/commands.h"

namespace mimosastage {

/// Totals of one resource and session. The session holds the units lent and not
/// yet returned.
struct AllowanceHolding {
  Resource resource;
  Session session;
  std::uint64_t lent_total = 0;
  std::uint64_t returned_total = 0;
  /// Size of the resource if it is the slots of a backend server, otherwise 0.
  std::uint32_t slots = 0;

  std::uint32_t Held() const {
    return static_cast<std::uint32_t>(this->lent_total - this->returned_total);
  }

  bool operator==(const AllowanceHolding&) const = default;
};

/// Records how many units of each resource each session holds. Part of the
/// replicated state: deterministic, and equal on every replica after the same
/// commands. The units lent of a resource never rise above its size. After the
/// size was lowered, the excess stays lent until it is returned.
class AllowanceLedger {
 public:
  /// Upper limit of a team by the table in force; 0 for an unknown team.
  using TeamLimit = std::function<std::uint32_t(const std::string& team)>;

  struct Totals {
    std::uint64_t lent_total = 0;
    std::uint64_t returned_total = 0;

    std::uint32_t Held() const {
      return static_cast<std::uint32_t>(this->lent_total -
                                        this->returned_total);
    }
  };
  using SessionTotals = std::map<Session, Totals>;

  explicit AllowanceLedger(TeamLimit team_limit);

  /// Applies the moves in order. A move has no effect at all if its session
  /// isn't alive or if it would lend above the resource's size. A returned
  /// total is capped at the total lent before the move.
  void Apply(const AllowanceMoves& moves);

  /// Idempotent.
  void StartSession(Session session);
  /// Frees all units of the session. Idempotent.
  void EndSession(Session session);
  bool IsAlive(Session session) const;
  const std::set<Session>& Sessions() const { return this->sessions; }

  std::uint32_t Held(const Resource& resource, Session session) const;
  std::uint32_t Lent(const Resource& resource) const;
  std::uint32_t Size(const Resource& resource) const;
  /// Totals by session; empty if the resource has no holdings.
  const SessionTotals& TotalsOf(const Resource& resource) const;

  /// Holdings of one session: those that `moves` names, or all of them. They
  /// are passed to the session's AllowanceHolder after each applied command.
  std::vector<AllowanceHolding> HoldingsOf(Session session,
                                           const AllowanceMoves& moves) const;
  std::vector<AllowanceHolding> HoldingsOf(Session session) const;

  /// For snapshots: all holdings in order of resource and session. Holdings
  /// with the default session carry the slots of a backend server that has no
  /// holding.
  std::vector<AllowanceHolding> Holdings() const;
  /// Replaces the whole state. Sessions with a holding become alive; the caller
  /// adds those without one by StartSession.
  void Restore(const std::vector<AllowanceHolding>& holdings);

 private:
  struct Account {
    std::uint32_t slots = 0;
    std::uint64_t lent = 0;
    SessionTotals sessions;
  };

  std::uint32_t SizeOf(const Resource& resource, const Account& account) const;
  void ApplyMove(const AllowanceMove& move);

  TeamLimit team_limit;
  std::set<Session> sessions;
  std::map<Resource, Account> accounts;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_ADMISSION_ALLOWANCE_LEDGER_H_
