#ifndef MIMOSASTAGE_ADMISSION_ALLOWANCE_LENDER_H_
#define MIMOSASTAGE_ADMISSION_ALLOWANCE_LENDER_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
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
    Duration repeat = std::chrono::milliseconds(300);
    /// Shortest time between two fractions for a team, pool and entry.
    Duration fraction_interval = std::chrono::milliseconds(500);
    /// Teams and pools in which nothing waits are planned at this interval.
    Duration calm_interval = std::chrono::seconds(1);
    /// Bounds of the work in one round; the rest follows in the next rounds.
    std::size_t teams_per_round = 128;
    std::size_t pools_per_round = 24;
  };

  /// `leader_since`: start of this leadership. Sessions count as last heard
  /// then until SessionHeard names them.
  AllowanceLender(Settings settings, TimePoint leader_since);

  /// Rows in force.
  void SetTeams(const std::vector<Team>& teams);
  /// Longest deadline of the routes in force. No session is ended before the
  /// first call. A lower value than before has no
  /// effect on this leader, because requests under the earlier one may run.
  void SetLongestDeadline(Duration longest_deadline);
  /// Announced backend servers.
  void SetServer(const LendableServer& server);
  void RemoveServer(const BackendServerName& name);
  /// Zone of a daemon, from its settings.
  void SetZone(DaemonId daemon, const AvailabilityZone& zone);

  /// The session asked for a serving lease at `at` by the leader's clock; its
  /// request was sent earlier, so the lease ends before `at` + lease. A session
  /// that isn't heard for the length of a lease has lapsed.
  void SessionHeard(Session session, TimePoint at);
  /// The caller knows earlier that the session has ended, for example because
  /// its daemon runs under a new one. `at` is when it was last heard or later.
  void SessionLapsed(Session session, TimePoint at);
  /// False before the first round that finds the session in the ledger and
  /// once its SessionEnd was proposed. The leader then grants it no lease,
  /// because its units may be lent to others.
  bool MayServe(Session session) const;

  void HandleReport(const DemandReport& report);
  /// The command of the last round was applied to the ledger, or has failed.
  void MovesFinished(bool applied);

  /// One round; the caller runs it every 100 ms. `ledger` is the leader's
  /// applied state.
  LenderRound Round(const AllowanceLedger& ledger, TimePoint now);

 private:
  struct ResourceHash {
    std::size_t operator()(const Resource& resource) const noexcept;
  };
  /// What an entry reported about a resource, and what was recalled from it.
  struct Use {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint64_t returned_total = 0;
    std::uint64_t recalled_total = 0;
    TimePoint recalled_at{};
  };
  struct Entry {
    Session session;
    AvailabilityZone zone;
    /// The ledger knows the session.
    bool alive = false;
    bool heard = false;
    /// When it was last heard, or the start of the leadership.
    TimePoint heard_at{};
    /// When a SessionEnd was last proposed.
    std::optional<TimePoint> ended_at;
    std::uint64_t last_report = 0;
    bool needs_full = true;
    int unknown_rounds = 0;
    std::optional<TimePoint> full_requested_at;
    std::unordered_map<Resource, Use, ResourceHash> uses;

    bool MayBorrow() const { return this->alive && this->heard; }
  };
  struct SentFraction {
    std::uint32_t millionths = 0;
    TimePoint at{};
  };
  struct PoolTeam {
    std::map<Session, TeamDemand> demand;
    std::map<Session, SentFraction> fractions;
    /// Raises or lowers the fractions by what the team received.
    double correction = 1;
  };
  struct PoolState {
    std::set<BackendServerName> servers;
    std::map<TeamName, PoolTeam> teams;
  };
  struct TeamState {
    std::uint32_t share = 1;
    std::uint32_t limit = 0;
    /// Pools in which the team has demand.
    std::set<PoolName> pools;
    /// The entry whose turn it is, for rotated limits.
    Session turn;
    TimePoint turn_since{};
    /// Units that each entry should hold.
    std::map<Session, double> targets;
  };
  struct Server {
    LendableServer row;
    bool removed = false;
  };
  /// One entry's side of a team's limit or of a pool's slots, in units.
  struct Position {
    Entry* entry = nullptr;
    double target = 0;
    double held = 0;
    double demand = 0;

    bool Starves() const { return this->demand > this->held; }
  };
  /// A server's slots during the planning of its pool.
  struct SlotView {
    const Server* server = nullptr;
    Resource resource;
    const AllowanceLedger::SessionTotals* totals = nullptr;
    std::uint32_t free = 0;
  };
  struct Plan;

  Entry& FindEntry(Session session);
  void MergeReport(Entry& entry, const DemandReport& report);
  void MergeUse(Entry& entry, const ResourceDemand& demand);
  void MergeTeam(Session session, const TeamDemand& demand);
  void ClearDemand(Session session);
  void MarkTeam(const TeamName& name, bool soon);
  void MarkPool(const PoolName& name, bool soon);
  void MarkAll();

  void SyncSessions(Plan& plan);
  void Lapse(Entry& entry, TimePoint at);
  void EndLapsed(Plan& plan);
  void RequestFullReports(Plan& plan);
  void RepeatRecalls(Plan& plan);
  void AddReturns(Plan& plan);

  void PlanTeam(Plan& plan, const TeamName& name);
  void SetTeamTargets(Plan& plan, const TeamName& name, double limit,
                      std::vector<Position>& positions);
  /// True if more than one entry has demand, so that the turn passes on.
  bool SetRotatedTargets(Plan& plan, TeamState& team, double limit,
                         std::vector<Position>& positions);
  static void SetSharedTargets(double limit, std::vector<Position>& positions);
  /// Starving entries first, then by distance below the target.
  static std::vector<Position*> NeediestFirst(std::vector<Position>& positions);
  std::uint32_t UnitsToRecall(double size,
                              const std::vector<Position>& positions) const;
  static double TotalHeld(const std::vector<Position>& positions);
  void BalanceTeam(Plan& plan, const Resource& resource, double limit,
                   std::vector<Position>& positions);

  void PlanPool(Plan& plan, const PoolName& name);
  std::vector<SlotView> ViewSlots(Plan& plan, PoolState& pool);
  void BalancePool(Plan& plan, std::vector<SlotView>& slots, double capacity,
                   std::vector<Position>& positions);
  void SetPoolTargets(Plan& plan, const PoolName& name, PoolState& pool,
                      double capacity, std::vector<Position>& positions);
  void SetTeamParts(Plan& plan, const PoolName& pool, const TeamName& name,
                    PoolTeam& team, double entitlement,
                    std::map<Session, double>& targets);
  void SetFractions(Plan& plan, const PoolName& pool, const TeamName& name,
                    PoolTeam& team, const std::map<Session, double>& parts);
  static void Correct(PoolTeam& team, double entitlement);
  double TeamLimit(const TeamName& name) const;
  static std::uint32_t LendSlots(Plan& plan, std::vector<SlotView>& slots,
                                 const Position& position, std::uint32_t units);
  std::uint32_t RecallSlots(Plan& plan, const std::vector<SlotView>& slots,
                            const Position& position, std::uint32_t units);
  void ForgetRemoved(const Plan& plan, PoolState& pool);
  void RecallExcess(Plan& plan, const Resource& resource, std::uint32_t excess);
  void FinishRemoval(Plan& plan, const Server& server,
                     const Resource& resource);

  /// Units that the entry holds and that aren't recalled, before this round.
  static std::uint32_t HeldBefore(const AllowanceLedger::SessionTotals& totals,
                                  const Resource& resource, const Entry& entry);
  static std::uint32_t Free(const Plan& plan, const Resource& resource,
                            std::uint32_t size);
  static void Lend(Plan& plan, const Resource& resource, Session session,
                   std::uint32_t units);
  std::uint32_t Recall(Plan& plan, const Resource& resource, Entry& entry,
                       std::uint32_t units);
  std::uint32_t Whole(double units) const;

  Settings settings;
  TimePoint leader_since;
  std::optional<Duration> longest_deadline;
  std::map<TeamName, TeamState> teams;
  std::map<BackendServerName, Server> servers;
  std::map<PoolName, PoolState> pools;
  std::map<DaemonId, AvailabilityZone> zones;
  std::map<Session, Entry> entries;

  /// To be planned in the next round, or at the next calm time. Without anyone
  /// waiting, units need not follow each change of demand.
  std::set<TeamName> soon_teams;
  TeamName last_team;
  PoolName last_pool;
  std::set<PoolName> soon_pools;
  std::set<TeamName> calm_teams;
  std::set<PoolName> calm_pools;
  TimePoint last_calm{};
  /// Reported returns that the ledger doesn't have yet, and recalls whose
  /// units haven't come back.
  std::set<std::pair<Session, Resource>> pending_returns;
  std::set<std::pair<Session, Resource>> pending_recalls;
  bool moves_in_progress = false;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_ADMISSION_ALLOWANCE_LENDER_H_
