#ifndef MIMOSASTAGE_ADMISSION_ALLOWANCE_HOLDER_H_
#define MIMOSASTAGE_ADMISSION_ALLOWANCE_HOLDER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "mimosastage/admission/allowance_ledger.h"
#include "mimosastage/admission/allowance_messages.h"
#include "mimosastage/base/names.h"
#include "mimosastage/base/time.h"

namespace mimosastage {

/// Tracks the units lent to this entry's session and the requests that use
/// them.
class AllowanceHolder {
 public:
  struct Settings {
    /// Minimum time between two reports.
    Duration report_interval = std::chrono::milliseconds(100);
    /// A report is sent after this time even if nothing changed, so that the
    /// leader notices that an earlier one was lost.
    Duration max_report_interval = std::chrono::seconds(1);
    /// Minimum time between reports of slot use. The lender distributes slots
    /// by the demand of teams, so that slot use can be reported late, which
    /// keeps reports small under load.
    Duration slot_use_interval = std::chrono::seconds(1);
  };
  /// Called when a resource has free units after it had none.
  using OnAvailable = std::function<void(const Resource& resource)>;

  AllowanceHolder(Settings settings, Session session, OnAvailable on_available);

  Session session() const { return this->current_session; }
  /// Starts a new session, which holds nothing. Units that requests of the old
  /// session still use are dropped here; the ledger frees them when that
  /// session ends.
  void StartSession(Session session);

  /// Updates the holdings to the ledger's totals after the command at
  /// `applied`; holdings of other sessions are ignored. Also used after a
  /// snapshot, with all holdings of this session.
  void Update(LogIndex applied, const std::vector<AllowanceHolding>& holdings);

  /// Number of free units that requests could acquire.
  std::uint32_t Available(const Resource& resource) const;
  /// Acquires one unit for the request. False if none is free or if the request
  /// already holds one of this resource.
  bool Acquire(std::uint64_t request, const Resource& resource);
  /// Releases the request's unit; false if it holds none, so that a repeated
  /// call frees nothing.
  bool Release(std::uint64_t request, const Resource& resource);
  /// Releases all units of the request and returns their number.
  int ReleaseAll(std::uint64_t request);

  /// Returns units to the lender: idle ones at once, busy ones when their
  /// request ends.
  void Recall(const RecallRequest& recall);
  /// Recalls all units, for a planned stop.
  void RecallAll();
  /// True if the session has returned all units lent to it.
  bool HoldsNothing() const;

  /// Sets the current demand of a team in a pool. Waiting requests of all pools
  /// count as demand for the team's limit.
  void SetDemand(const PoolName& pool, const TeamName& team,
                 std::uint32_t waiting, std::uint32_t running);

  /// Makes the next report a full one and due as soon as `report_interval`
  /// allows. Used for a new leader and when a LenderNotice asks for it.
  void RequestFullReport();
  /// Returns the report that is due at `now`, if any.
  std::optional<DemandReport> TakeReport(TimePoint now);

 private:
  struct Units {
    std::uint64_t lent_total = 0;
    std::uint64_t returned_total = 0;
    std::uint64_t recalled_total = 0;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;

    std::uint32_t Held() const;
    std::uint32_t Free() const;
  };
  using UnitsMap = std::map<Resource, Units>;
  using ResourceUnits = UnitsMap::value_type;

  ResourceUnits& Find(const Resource& resource);
  void ReturnRecalled(ResourceUnits& resource_units);
  void ReleaseUnit(ResourceUnits& resource_units);
  void MarkChanged(const ResourceUnits& resource_units, bool only_use_changed);
  void AddTeams(DemandReport& report);
  void AddResources(DemandReport& report, TimePoint now);
  bool SlotUseDue(TimePoint now) const;

  Settings settings;
  Session current_session;
  OnAvailable on_available;
  LogIndex applied = 0;
  UnitsMap units;
  std::unordered_map<std::uint64_t, std::vector<ResourceUnits*>> requests;
  std::map<std::pair<PoolName, TeamName>, TeamDemand> demand;

  std::set<Resource> changed;
  std::set<Resource> changed_slot_use;
  std::set<std::pair<PoolName, TeamName>> changed_teams;
  bool full_report = true;
  std::uint64_t report_number = 0;
  TimePoint last_report{};
  TimePoint last_slot_use{};
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_ADMISSION_ALLOWANCE_HOLDER_H_
