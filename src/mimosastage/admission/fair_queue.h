#ifndef MIMOSASTAGE_ADMISSION_FAIR_QUEUE_H_
#define MIMOSASTAGE_ADMISSION_FAIR_QUEUE_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

#include "mimosastage/admission/refusal.h"
#include "mimosastage/base/names.h"
#include "mimosastage/base/time.h"

namespace mimosastage {

/// A request that waits for a slot of the queue's pool.
struct QueuedRequest {
  /// Unique among the requests of the entry.
  std::uint64_t id = 0;
  /// Empty for open routes, which are scheduled together as one team.
  TeamName team;
  ClientName client;
  bool urgent = false;
  /// The answer must be complete by then.
  TimePoint deadline{};
};

/// Queue of one pool at one entry. Weighted fair queueing of slot time between
/// teams by share, and with equal weights between the clients of a team
/// (start-time fair queueing, Goyal, Vin and Cheng 1997). Work-conserving.
class FairQueue {
 public:
  struct Settings {
    /// Maximum number of waiting requests of the pool at this entry.
    std::size_t max_waiting = 4096;
    /// Maximum number of waiting requests of one client.
    std::size_t max_waiting_per_client = 1024;
    /// Assumed service time until requests have been measured.
    Duration initial_service_time = std::chrono::milliseconds(100);
    /// Maximum expected wait as a fraction of the time to the deadline less the
    /// measured service time. The rest absorbs errors of the estimate: goodput
    /// in a 5x surge is 97% to 98% with 0.5, and 95% to 97% with 0.7.
    double max_wait_fraction = 0.5;
  };

  struct Hooks {
    /// True if a unit of the team's limit is free.
    std::function<bool(const TeamName& team)> team_may_start;
    /// Slots of the pool that the entry holds, to estimate waiting times.
    std::function<std::uint32_t()> slots;
    /// A waiting request was refused after it had been accepted.
    std::function<void(std::uint64_t id, const Refusal& refusal)> on_refused;
    /// A team's number of waiting or running requests changed; for
    /// AllowanceHolder::SetDemand.
    std::function<void(const TeamName& team, std::uint32_t waiting,
                       std::uint32_t running)>
        on_demand;
  };

  FairQueue(Settings settings, Hooks hooks);

  /// Sets a team's share by the table in force; 1 until set.
  void SetShare(const TeamName& team, std::uint32_t share);
  /// Sets the fraction of the team's entitlement assigned to this entry, from
  /// LenderNotice.
  void SetFraction(const TeamName& team, std::uint32_t millionths);

  /// Queues the request, or returns the reason for its refusal. In a full queue
  /// it displaces a request of the team with the most waiting requests per
  /// weight, unless its own team would then have as many.
  std::optional<Refusal> Enqueue(const QueuedRequest& request, TimePoint now);

  /// Removes a waiting request; O(log n). False if no such request waits, so
  /// that a repeated call has no effect. A running request isn't affected.
  bool Cancel(std::uint64_t id);

  /// Removes and returns the request that starts next; call when a slot is
  /// free. Requests with too little time left are refused, and teams without a
  /// free unit are skipped until TeamAvailable is called.
  std::optional<QueuedRequest> Next(TimePoint now);
  /// A unit of the team's limit became free.
  void TeamAvailable(const TeamName& team);

  /// A request that Next returned has ended. `measured` is false if its
  /// duration isn't a service time, because it was cancelled or never sent.
  /// Idempotent.
  bool Finish(std::uint64_t id, TimePoint now, bool measured = true);

  /// Refuses the waiting requests that have too little time left.
  void Expire(TimePoint now);
  /// Refuses all waiting requests, for example when the serving lease is lost.
  void RefuseAll(AdmissionError reason);
  /// The same for the waiting requests of one team.
  void RefuseTeam(const TeamName& name, AdmissionError reason);

  std::size_t waiting() const { return this->requests.size(); }
  std::size_t running() const { return this->running_requests.size(); }

 private:
  struct Client {
    ClientName name;
    double virtual_time = 0;
    /// Ids of waiting requests by order of arrival.
    std::map<std::uint64_t, std::uint64_t> waiting;
  };
  /// Ties are broken by name, so that the order is deterministic.
  struct ByVirtualTime {
    template <class T>
    bool operator()(const T* a, const T* b) const {
      return std::tie(a->virtual_time, a->name) <
             std::tie(b->virtual_time, b->name);
    }
  };
  /// Waiting requests of a team with the same urgency.
  struct Lane {
    std::map<ClientName, Client> clients;
    /// Clients with waiting requests.
    std::set<Client*, ByVirtualTime> ready;
    double virtual_time = 0;
    std::uint32_t waiting = 0;
    /// Number of clients at which idle ones are removed.
    std::size_t purge_at = 64;
  };
  struct TeamState {
    TeamName name;
    std::uint32_t share = 1;
    std::optional<std::uint32_t> millionths;
    double virtual_time = 0;
    /// Waits for a unit of the team's limit.
    bool blocked_by_limit = false;
    /// Weight that this team adds to `waiting_weight`.
    double counted_weight = 0;
    /// Urgent requests, then the others.
    std::array<Lane, 2> lanes;
    std::uint32_t running = 0;
    std::optional<double> service_seconds;
    TimePoint measured_at{};

    std::uint32_t Waiting() const;
  };
  struct Waiting {
    QueuedRequest request;
    TeamState* team = nullptr;
    Client* client = nullptr;
    std::uint64_t order = 0;
    TimePoint latest_start{};
  };
  struct Running {
    TeamState* team = nullptr;
    ClientName client;
    bool urgent = false;
    TimePoint started{};
    double charged_seconds = 0;
  };

  static Lane& LaneOf(TeamState& team, bool urgent);
  TeamState& FindOrAddTeam(const TeamName& name);
  double Weight(const TeamState& team) const;
  void UpdateWaitingWeight(TeamState& team);
  double ServiceSeconds(const TeamState& team) const;
  double MeasuredSeconds(const TeamState& team, TimePoint now) const;
  std::optional<Refusal> CheckAdmission(const QueuedRequest& request,
                                        TeamState& team, TimePoint now);
  double ExpectedWait(const TeamState& team, bool urgent) const;
  bool DisplaceFor(const TeamState& arriving);
  TeamState* TeamMostOverShare();
  void Insert(const QueuedRequest& request, TeamState& team, TimePoint now);
  void Remove(std::uint64_t id);
  void Refuse(std::uint64_t id, AdmissionError reason);
  void SetReady(TeamState& team);
  std::uint64_t NextRequestId(TeamState& team);
  bool CanMeetDeadline(const Waiting& waiting, TimePoint now) const;
  QueuedRequest Start(std::uint64_t id, TimePoint now);
  void ChargeTeam(TeamState& team, double seconds);
  static void ChargeClient(Lane& lane, const ClientName& name, double seconds);
  void Measure(TeamState& team, double seconds, TimePoint now);
  void ReportDemand(const TeamState& team);

  Settings settings;
  Hooks hooks;
  std::map<TeamName, TeamState> teams;
  /// Teams with waiting requests that aren't blocked by their limit.
  std::set<TeamState*, ByVirtualTime> ready;
  double waiting_weight = 0;
  double virtual_time = 0;
  std::uint64_t fraction_sum = 0;
  std::uint64_t fraction_count = 0;
  std::unordered_map<std::uint64_t, Waiting> requests;
  std::set<std::pair<TimePoint, std::uint64_t>> by_latest_start;
  std::unordered_map<std::uint64_t, Running> running_requests;
  std::uint64_t next_order = 1;
  double service_seconds;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_ADMISSION_FAIR_QUEUE_H_
