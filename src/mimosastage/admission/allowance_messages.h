#ifndef MIMOSASTAGE_ADMISSION_ALLOWANCE_MESSAGES_H_
#define MIMOSASTAGE_ADMISSION_ALLOWANCE_MESSAGES_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "mimosastage/base/names.h"
#include "mimosastage/base/result.h"
#include "mimosastage/replication/messages.h"
#include "mimosastage/state/commands.h"

namespace mimosastage {

/// An entry's use of one resource. Counts are units at the time of the report.
struct ResourceDemand {
  Resource resource;
  std::uint32_t held = 0;
  std::uint32_t running = 0;
  /// Requests that wait for a unit of a team's limit; 0 for slots, whose
  /// demand is in TeamDemand.
  std::uint32_t waiting = 0;
  /// Units returned since the session started.
  std::uint64_t returned_total = 0;

  bool operator==(const ResourceDemand&) const = default;
};

/// Requests of one team in one pool at an entry. Open routes count as the team
/// with the empty name.
struct TeamDemand {
  PoolName pool;
  TeamName team;
  std::uint32_t waiting = 0;
  std::uint32_t running = 0;

  bool operator==(const TeamDemand&) const = default;
};

/// Sent by an entry to the leader: the changes since the last report, or the
/// whole state.
struct DemandReport {
  Session session;
  /// Sequence number within the session, from 1. The leader ignores old reports
  /// and detects lost ones by it.
  std::uint64_t number = 0;
  /// Last log index that the entry had applied.
  LogIndex applied = 0;
  /// Resources and teams that a full report doesn't name have no demand.
  bool full = false;
  std::vector<ResourceDemand> resources;
  std::vector<TeamDemand> teams;

  bool operator==(const DemandReport&) const = default;
};

/// Asks an entry to return units of one resource.
struct RecallRequest {
  Resource resource;
  /// The entry returns units until its returned total reaches this value. It is
  /// a total rather than a difference, so that a repeated or reordered request
  /// recalls nothing twice.
  std::uint64_t recalled_total = 0;

  bool operator==(const RecallRequest&) const = default;
};

/// The fraction of a team's entitlement in a pool that is assigned to this
/// entry. The entry multiplies the team's share by it.
struct TeamFraction {
  PoolName pool;
  TeamName team;
  /// 1,000,000 is the whole entitlement; higher if the team received less than
  /// its entitlement so far.
  std::uint32_t millionths = 1'000'000;

  bool operator==(const TeamFraction&) const = default;
};

/// Sent by the leader to an entry, at most once a round.
struct LenderNotice {
  Session session;
  /// The leader missed a report and needs a full one.
  bool wants_full_report = false;
  std::vector<RecallRequest> recalls;
  std::vector<TeamFraction> fractions;
  /// Teams whose limit, and pools whose slots, are held completely by sessions
  /// that have ended. The entry refuses its waiting requests for them.
  std::vector<TeamName> exhausted_teams;
  std::vector<PoolName> exhausted_pools;

  bool operator==(const LenderNotice&) const = default;
};

/// FlatBuffers bytes (schema internal/allowance.fbs).
std::string EncodeDemandReport(const DemandReport& report);
std::string EncodeLenderNotice(const LenderNotice& notice);

/// Fail with AdmissionError::kMalformedMessage if the verifier rejects `bytes`.
Result<DemandReport> DecodeDemandReport(std::string_view bytes);
Result<LenderNotice> DecodeLenderNotice(std::string_view bytes);

}  // namespace mimosastage

#endif  // MIMOSASTAGE_ADMISSION_ALLOWANCE_MESSAGES_H_
