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

/// Units that this entry's session holds, and which of its requests use them.
class AllowanceHolder {
 public:
  struct Settings {
    /// Shortest time between two reports.
    Duration report_interval = std::chrono::milliseconds(100);
    /// A report is sent after this time even if nothing changed, so that the
    /// leader notices that an earlier one was lost.
    Duration longest_silence = std::chrono::seconds(1);
    /// Changes of a slot's use alone wait this long. The lender decides slots
    /// by the demand of teams, and this keeps reports small under load.
    Duration slot_use_interval = std::chrono::seconds(1);
  };
  /// Called when units of a resource became free after none were.
  using OnAvailable = std::function<void(const Resource& resource)>;

  AllowanceHolder(Settings settings, Session session, OnAvailable on_available);

  Session session() const { return this->own; }
  /// Begins a new session, which holds nothing. Units that requests of the old
  /// session still use are forgotten here; the ledger frees them.
  void StartSession(Session session);

  /// Takes the ledger's totals after the command at `applied` was applied;
  /// holdings of other sessions are ignored. Also used after a snapshot, with
  /// all holdings of the own session.
  void Update(LogIndex applied, const std::vector<AllowanceHolding>& holdings);

  /// Free units that a request could take.
  std::uint32_t Available(const Resource& resource) const;
  /// Takes one unit for the request. False if none is free or if the request
  /// has one of this resource already.
  bool Take(std::uint64_t request, const Resource& resource);
  /// Gives the request's unit back; false if it has none, so that a repeated
  /// call frees nothing.
  bool GiveBack(std::uint64_t request, const Resource& resource);
  /// Gives back all units of the request; returns how many there were.
  int GiveBackAll(std::uint64_t request);

  /// Sets units aside for return: idle ones at once, busy ones when their
  /// request ends.
  void Recall(const RecallRequest& recall);
  /// For a planned stop: recalls everything.
  void RecallAll();
  /// True if the session holds no unit that isn't returned.
  bool HoldsNothing() const;

  /// Present demand of a team in a pool; waiting requests of all pools count
  /// for the team's limit.
  void SetDemand(const PoolName& pool, const TeamName& team,
                 std::uint32_t waiting, std::uint32_t running);

  /// The next report is a full one and is due at once; for a new leader or a
  /// LenderNotice that wants it.
  void RequestFullReport();
  /// The report that is due at `now`, if any.
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
  using Entry = UnitsMap::value_type;

  Entry& Find(const Resource& resource);
  void SetAside(Entry& entry);
  void Release(Entry& entry);
  void MarkChanged(const Entry& entry, bool use_only);
  void AddTeams(DemandReport& report);
  void AddResources(DemandReport& report, TimePoint now);
  bool SlotUseDue(TimePoint now) const;

  Settings settings;
  Session own;
  OnAvailable on_available;
  LogIndex applied = 0;
  UnitsMap units;
  std::unordered_map<std::uint64_t, std::vector<Entry*>> requests;
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
