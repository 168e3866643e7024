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

/// Actions of the leader after one round.
struct LenderRound {
  /// One command, if units move. Until the caller reports its end with
  /// MovesFinished, later rounds propose no further moves.
  std::optional<AllowanceMoves> moves;
  /// Sessions to end, which frees their units. Each is a separate command.
  std::vector<SessionEnd> ended;
  std::vector<LenderNotice> notices;
};

/// Decides on the leader how many units of each resource each entry holds. The
/// work in a round grows with the number of teams and pools whose demand or
/// size changed, not with the size of the fleet.
class AllowanceLender {
 public:
  struct Settings {
    /// How long an entry may serve after its last renewal.
    Duration lease = std::chrono::seconds(2);
    /// Team limits up to this size go to one waiting entry after another
    /// instead of being divided between them. Counts without the units of
    /// lapsed sessions.
    std::uint32_t max_rotated_limit = 8;
    /// How long an entry keeps a rotated limit while other entries wait.
    Duration rotation_time = std::chrono::seconds(1);
    /// Difference from the exact target, in units, below which no unit moves.
    /// Above 0.5, so that a unit that moves because of rounding doesn't move
    /// back in the next round.
    double hysteresis = 0.75;
    /// Interval at which requests for full reports, recalls and session ends
    /// are repeated, because any of them may be lost.
    Duration repeat_interval = std::chrono::milliseconds(300);
    /// Minimum time between two fractions for the same team, pool and entry.
    Duration fraction_interval = std::chrono::milliseconds(500);
    /// Interval at which teams and pools without waiting requests are planned.
    Duration deferred_interval = std::chrono::seconds(1);
    /// Limits on the work in one round; the rest is planned in later rounds.
    std::size_t teams_per_round = 128;
    std::size_t pools_per_round = 24;
  };

  /// `leader_since`: start of this leadership. Sessions count as last seen then
  /// until SessionSeen is called for them.
  AllowanceLender(Settings settings, TimePoint leader_since);

  /// Sets the team rows in force.
  void SetTeams(const std::vector<Team>& teams);
  /// Sets the longest deadline of the routes in force. No session is ended
  /// before the first call. A lower value than before has no effect on this
  /// leader, because requests with the earlier deadline may still run.
  void SetLongestDeadline(Duration longest_deadline);
  /// Adds or updates an announced backend server.
  void SetServer(const LendableServer& server);
  void RemoveServer(const BackendServerName& name);
  /// Sets the zone of a daemon, from its settings.
  void SetZone(DaemonId daemon, const AvailabilityZone& zone);

  /// A lease request or a report of the session arrived at `at` by the leader's
  /// clock. A lease request was sent earlier, so the lease ends before `at` +
  /// lease. A session that isn't seen for the length of a lease has lapsed.
  void SessionSeen(Session session, TimePoint at);
  /// Marks the session as lapsed before its lease has run out, for example
  /// because its daemon has started a new session. `at` is when it was last
  /// seen, or later.
  void SessionLapsed(Session session, TimePoint at);
  /// False until a round has found the session in the ledger, and again once
  /// its SessionEnd was proposed. The leader then grants it no lease, because
  /// its units may be lent to others.
  bool MayServe(Session session) const;

  void HandleReport(const DemandReport& report);
  /// The command of the last round was applied to the ledger, or has failed.
  void MovesFinished(bool applied);

  /// Runs one round; the caller does so every 100 ms. `ledger` is the leader's
  /// applied state.
  LenderRound Round(const AllowanceLedger& ledger, TimePoint now);

 private:
  struct ResourceHash {
    std::size_t operator()(const Resource& resource) const noexcept;
  };
  /// Use of a resource that an entry reported, and the units recalled from it.
  struct ResourceUse {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint64_t returned_total = 0;
    std::uint64_t recalled_total = 0;
    TimePoint recalled_at{};
  };
  struct Entry {
    Session session;
    AvailabilityZone zone;
    /// The session is in the ledger.
    bool alive = false;
    bool reachable = false;
    /// When it was last seen, or the start of the leadership if that is later.
    TimePoint seen_at{};
    /// When a SessionEnd was last proposed.
    std::optional<TimePoint> end_proposed_at;
    std::uint64_t last_report = 0;
    bool needs_full_report = true;
    /// Rounds since the session was first seen without being in the ledger.
    int rounds_before_start = 0;
    std::optional<TimePoint> full_requested_at;
    std::unordered_map<Resource, ResourceUse, ResourceHash> uses;

    bool MayBorrow() const { return this->alive && this->reachable; }
  };
  struct SentFraction {
    std::uint32_t millionths = 0;
    TimePoint at{};
  };
  struct PoolTeam {
    std::map<Session, TeamDemand> demand;
    std::map<Session, SentFraction> fractions;
    /// Factor on the fractions that makes up for slots the team received above
    /// or below its entitlement.
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
    /// Entry that currently receives the rotated limit.
    Session rotation_holder;
    TimePoint rotation_since{};
    /// Target in units for each entry.
    std::map<Session, double> targets;
  };
  struct Server {
    LendableServer announced;
    bool removed = false;
  };
  /// One entry's part of a team's limit or of a pool's slots, in units.
  struct Allocation {
    Entry* entry = nullptr;
    double target = 0;
    double held = 0;
    double demand = 0;

    bool HasUnmetDemand() const { return this->demand > this->held; }
    /// Whole units that the entry holds above its demand.
    std::uint32_t Idle() const;
  };
  /// A server's slots during the planning of its pool.
  struct SlotView {
    const Server* server = nullptr;
    Resource resource;
    const AllowanceLedger::SessionTotals* totals = nullptr;
    std::uint32_t free = 0;
  };
  struct Plan;

  Entry& FindOrAddEntry(Session session);
  void MergeReport(Entry& entry, const DemandReport& report);
  void MergeUse(Entry& entry, const ResourceDemand& demand);
  void MergeTeam(Session session, const TeamDemand& demand);
  void ClearDemand(Session session);
  void ScheduleTeam(const TeamName& name, bool next_round);
  void SchedulePool(const PoolName& name, bool next_round);
  void ScheduleAll();

  void SyncSessions(Plan& plan);
  void MarkLapsed(Entry& entry, TimePoint at);
  /// True if the session can't return its units: it wasn't seen for a lease,
  /// or another session of its daemon was seen.
  bool IsGone(const Entry& entry, TimePoint now) const;
  /// Units of one resource that unreachable sessions hold, and gone ones of
  /// them.
  struct LapsedUnits {
    std::uint64_t unreachable = 0;
    std::uint64_t gone = 0;
  };
  LapsedUnits CountLapsedUnits(const Plan& plan,
                               const Resource& resource) const;
  /// Tells the entries with waiting requests if gone sessions hold all units of
  /// the team's limit or of the pool's slots.
  void CheckExhausted(Plan& plan, const TeamName& name, const TeamState& team);
  void CheckExhausted(Plan& plan, const PoolName& name, const PoolState& pool,
                      const std::vector<SlotView>& slots);
  void EndLapsed(Plan& plan);
  void RequestFullReports(Plan& plan);
  void RepeatRecalls(Plan& plan);
  void AddReturns(Plan& plan);

  void PlanTeam(Plan& plan, const TeamName& name);
  void SetTeamTargets(Plan& plan, const TeamName& name, double limit,
                      std::vector<Allocation>& allocations);
  /// True if more than one entry has demand, so that the limit must rotate.
  bool SetRotatedTargets(Plan& plan, TeamState& team, double limit,
                         std::vector<Allocation>& allocations);
  static void SetSharedTargets(double limit,
                               std::vector<Allocation>& allocations);
  /// Entries with unmet demand first, then by distance below the target.
  static std::vector<Allocation*> OrderByUnmetDemand(
      std::vector<Allocation>& allocations);
  std::uint32_t UnitsToRecall(double size,
                              const std::vector<Allocation>& allocations) const;
  /// Like UnitsToRecall, but for units that requests wait for, without spare
  /// ones.
  std::uint32_t UnitsToRecallForDemand(
      double size, const std::vector<Allocation>& allocations) const;
  static double TotalHeld(const std::vector<Allocation>& allocations);
  void BalanceTeam(Plan& plan, const Resource& resource, double limit,
                   std::vector<Allocation>& allocations);

  void PlanPool(Plan& plan, const PoolName& name);
  std::vector<SlotView> CollectSlots(Plan& plan, PoolState& pool);
  void BalancePool(Plan& plan, std::vector<SlotView>& slots, double capacity,
                   std::vector<Allocation>& allocations);
  /// Lends each entry that holds slots of a single server one of another server
  /// of that zone, in exchange for one if it holds several. An entry can send a
  /// refused request only to a server of which it holds a slot.
  void SpreadSlots(Plan& plan, const PoolName& name,
                   std::vector<SlotView>& slots,
                   std::vector<Allocation>& allocations);
  void SetPoolTargets(Plan& plan, const PoolName& name, PoolState& pool,
                      double capacity, std::vector<Allocation>& allocations);
  void AllocateTeamSlots(Plan& plan, const PoolName& pool, const TeamName& name,
                         PoolTeam& team, double entitlement,
                         std::map<Session, double>& targets);
  void SetFractions(Plan& plan, const PoolName& pool, const TeamName& name,
                    PoolTeam& team, const std::map<Session, double>& allocated);
  static void UpdateCorrection(PoolTeam& team, double entitlement);
  double TeamLimit(const TeamName& name) const;
  static std::uint32_t LendSlots(Plan& plan, std::vector<SlotView>& slots,
                                 const Allocation& allocation,
                                 std::uint32_t units);
  std::uint32_t RecallSlots(Plan& plan, const std::vector<SlotView>& slots,
                            const Allocation& allocation, std::uint32_t units);
  void ForgetRemoved(const Plan& plan, PoolState& pool);
  void RecallExcess(Plan& plan, const Resource& resource, std::uint32_t excess);
  void FinishRemoval(Plan& plan, const Server& server,
                     const Resource& resource);

  /// Units that the entry holds at the start of the round and that aren't
  /// recalled.
  static std::uint32_t UnrecalledUnits(
      const AllowanceLedger::SessionTotals& totals, const Resource& resource,
      const Entry& entry);
  static std::uint32_t Free(const Plan& plan, const Resource& resource,
                            std::uint32_t size);
  static void Lend(Plan& plan, const Resource& resource, Session session,
                   std::uint32_t units);
  std::uint32_t Recall(Plan& plan, const Resource& resource, Entry& entry,
                       std::uint32_t units);
  std::uint32_t RoundWithHysteresis(double units) const;

  Settings settings;
  TimePoint leader_since;
  std::optional<Duration> longest_deadline;
  std::map<TeamName, TeamState> teams;
  std::map<BackendServerName, Server> servers;
  std::map<PoolName, PoolState> pools;
  std::map<DaemonId, AvailabilityZone> zones;
  std::map<Session, Entry> entries;

  /// `due_*` are planned in the next round, `deferred_*` at the next deferred
  /// interval: without waiting requests, units need not follow each change of
  /// demand.
  std::set<TeamName> due_teams;
  TeamName last_planned_team;
  PoolName last_planned_pool;
  std::set<PoolName> due_pools;
  std::set<TeamName> deferred_teams;
  std::set<PoolName> deferred_pools;
  TimePoint last_deferred_at{};
  /// Reported returns that aren't in the ledger yet, and recalls whose units
  /// haven't been returned.
  std::set<std::pair<Session, Resource>> pending_returns;
  std::set<std::pair<Session, Resource>> pending_recalls;
  bool moves_in_progress = false;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_ADMISSION_ALLOWANCE_LENDER_H_
