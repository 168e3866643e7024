#ifndef MIMOSASTAGE_ADMISSION_ALLOWANCE_LENDER_H_
#define MIMOSASTAGE_ADMISSION_ALLOWANCE_LENDER_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "mimosastage/admission/allowance_ledger.h"
#include "mimosastage/admission/allowance_messages.h"
#include "mimosastage/base/names.h"
#include "mimosastage/base/time.h"
#include "mimosastage/state/commands.h"
#include "mimosastage/state/tables.h"

namespace mimosastage {

/// A backend server whose slots are lent.
struct LendableServer {
  BackendServerName name;
  PoolName pool;
  AvailabilityZone zone;
  std::uint32_t slots = 8;
  /// False while it departs: its units are recalled and not lent again.
  bool accepts_work = true;

  bool operator==(const LendableServer&) const = default;
};

/// What the leader does after one round.
struct LenderRound {
  /// One command, if units move. Until the caller reports its end with
  /// MovesFinished, later rounds propose no further moves.
  std::optional<AllowanceMoves> moves;
  /// Sessions whose units are free again; each is a command of its own.
  std::vector<SessionEnd> ended;
  std::vector<LenderNotice> notices;
};

/// Decides on the leader which entry holds how many units of each resource.
/// Work in a round grows with the teams and pools whose demand or size
/// changed, not with the fleet.
class AllowanceLender {
 public:
  struct Settings {
    /// How long an entry may serve after its last renewal.
    Duration lease = std::chrono::seconds(2);
    /// Limits up to this size rotate as a whole between waiting entries.
    std::uint32_t rotated_limit = 8;
    /// How long an entry keeps a rotated limit while others wait.
    Duration rotation = std::chrono::seconds(1);
    /// Units above or below the exact target that are left alone. Above 0.5,
    /// so that a unit moved to the next whole number doesn't move back.
    double hysteresis = 0.75;
    /// Repeats requests for full reports and recalls that may be lost.
    Duration repeat = std::chrono::seconds(1);
  };

  /// `leader_since`: start of this leadership. Sessions count as last heard
  /// then until SessionHeard names them.
  AllowanceLender(Settings settings, TimePoint leader_since);

  /// Rows in force.
  void SetTeams(const std::vector<Team>& teams);
  /// Longest deadline of the routes in force.
  void SetLongestDeadline(Duration longest_deadline);
  /// Announced backend servers.
  void SetServer(const LendableServer& server);
  void RemoveServer(const BackendServerName& name);
  /// Zone of a daemon, from its settings.
  void SetZone(DaemonId daemon, const AvailabilityZone& zone);

  /// The session asked for a lease or sent a report.
  void SessionHeard(Session session);
  /// The session isn't heard any more; `at` is when its last lease was granted
  /// or later.
  void SessionLapsed(Session session, TimePoint at);
  /// False once a SessionEnd of the session was proposed. The leader then
  /// grants it no lease, because its units may be lent to others.
  bool MayServe(Session session) const;

  void HandleReport(const DemandReport& report);
  /// The command of the last round was applied to the ledger, or has failed.
  void MovesFinished();

  /// One round; the caller runs it every 100 ms. `ledger` is the leader's
  /// applied state.
  LenderRound Round(const AllowanceLedger& ledger, TimePoint now);

 private:
  struct ResourceReport {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint64_t returned_total = 0;
    std::uint64_t recalled_total = 0;
    TimePoint recalled_at{};
  };
  struct Entry {
    Session session;
    bool heard = false;
    bool ending = false;
    TimePoint lapsed_at{};
    std::uint64_t last_report = 0;
    bool needs_full = true;
    TimePoint full_requested_at{};
    std::map<Resource, ResourceReport> resources;
  };
  struct PoolTeam {
    std::map<Session, TeamDemand> demand;
    std::map<Session, std::uint32_t> fractions;
  };
  struct PoolState {
    std::set<BackendServerName> servers;
    std::map<TeamName, PoolTeam> teams;
  };
  struct TeamState {
    std::uint32_t share = 1;
    std::uint32_t limit = 0;
    std::set<PoolName> pools;
    /// Entries in the order of their next turn, for rotated limits.
    Session turn;
    TimePoint turn_since{};
    /// Units that each entry should hold.
    std::map<Session, double> targets;
  };
  /// One entry's side of a resource, or of a pool's slots.
  struct Position {
    Entry* entry = nullptr;
    double target = 0;
    double held = 0;
    double demand = 0;
  };
  struct RoundContext;

  void MergeReport(Entry& entry, const DemandReport& report);
  void SetPoolDemand(Session session, const TeamDemand& demand);
  void ClearDemand(Session session);
  void SyncSessions(RoundContext& context);
  void EndLapsed(RoundContext& context);
  void PlanTeam(RoundContext& context, const std::string& name);
  void PlanPool(RoundContext& context, const PoolName& name);
  std::vector<Position> TeamPositions(RoundContext& context,
                                      const Resource& resource);
  void SetTeamTargets(RoundContext& context, TeamState& team,
                      std::vector<Position>& positions);
  void RotateTurn(RoundContext& context, TeamState& team,
                  const std::vector<Position>& positions);
  std::map<TeamName, double> Entitlements(const PoolState& pool,
                                          double capacity) const;
  void AddPoolTargets(RoundContext& context, const PoolName& name,
                      PoolState& pool, double capacity,
                      std::map<Session, Position>& positions);
  void UpdateFractions(RoundContext& context, const PoolName& pool,
                       const TeamName& team, PoolTeam& state,
                       const std::map<Session, double>& parts);
  void Lend(RoundContext& context, const Resource& resource, Session session,
            std::uint32_t units);
  std::uint32_t RecallUnits(RoundContext& context, const Resource& resource,
                            Entry& entry, std::uint32_t units);
  void AddReturns(RoundContext& context, const Resource& resource);
  LenderNotice& NoticeFor(RoundContext& context, Session session);

  Settings settings;
  TimePoint leader_since;
  Duration longest_deadline = std::chrono::seconds(30);
  std::map<TeamName, TeamState> teams;
  std::map<BackendServerName, LendableServer> servers;
  std::map<PoolName, PoolState> pools;
  std::map<DaemonId, AvailabilityZone> zones;
  std::map<Session, Entry> entries;
  std::set<TeamName> dirty_teams;
  std::set<PoolName> dirty_pools;
  bool moves_in_progress = false;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_ADMISSION_ALLOWANCE_LENDER_H_
