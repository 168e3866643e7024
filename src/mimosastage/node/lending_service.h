#ifndef MIMOSASTAGE_NODE_LENDING_SERVICE_H_
#define MIMOSASTAGE_NODE_LENDING_SERVICE_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "mimosastage/admission/allowance_lender.h"
#include "mimosastage/base/time.h"
#include "mimosastage/routing/backend_server_directory.h"
#include "mimosastage/state/commands.h"

namespace mimosastage {

/// Runs the AllowanceLender while this daemon leads: passes sessions, tables
/// and backend servers to it, and proposes the moves that it decides.
class LendingService {
 public:
  struct Settings {
    AllowanceLender::Settings lender;
    /// Availability zone of each daemon, indexed by daemon id.
    std::vector<AvailabilityZone> availability_zones;
  };

  struct Hooks {
    std::function<void(const AllowanceMoves& moves,
                       std::function<void(bool applied)> finished)>
        propose_moves;
    std::function<void(const SessionEnd& command)> propose_end;
    std::function<void(const LenderNotice& notice)> send_notice;
  };

  LendingService(Settings settings, Hooks hooks);

  /// Starts lending when this daemon becomes the leader, and ends it when it no
  /// longer leads.
  void SetLeader(bool leader, TimePoint now);
  void OnTablesChanged(const std::vector<Team>& teams,
                       Duration longest_deadline);
  /// Passes added, changed and removed backend servers to the lender.
  void OnDirectoryChange(const BackendServerDirectory& directory,
                         const std::map<PoolName, std::uint32_t>& pool_slots);

  /// False if the session must get no lease because its units may already be
  /// lent to others. Call for each lease request that arrives.
  bool OnLeaseRequest(Session session, TimePoint now);
  void OnReport(const DemandReport& report, TimePoint now);

  /// Runs one round; the owner calls it every 100 ms. Does nothing on a daemon
  /// that doesn't lead.
  void Round(const AllowanceLedger& ledger, TimePoint now);

 private:
  void ResetLender(TimePoint now);

  Settings settings;
  Hooks hooks;
  std::optional<AllowanceLender> lender;
  std::vector<Team> teams;
  Duration longest_deadline{};
  std::map<BackendServerName, LendableServer> servers;
  /// Incremented when leadership is gained or lost, so that the outcome of
  /// moves proposed in an earlier leadership is ignored.
  std::uint64_t leadership_epoch = 0;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_NODE_LENDING_SERVICE_H_
