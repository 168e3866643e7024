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
  /// Empty for open routes, which together form a team of their own.
  TeamName team;
  ClientName client;
  bool urgent = false;
  /// The answer must be complete by then.
  TimePoint deadline{};
};

/// Queue of one pool at one entry: weighted fair queueing between teams by
/// share and between the clients of a team, in slot time (start-time fair
/// queueing, Goyal, Vin and Cheng 1997). Work conserving.
class FairQueue {
 public:
  struct Settings {
    /// Waiting requests of the pool at this entry.
    std::size_t max_waiting = 4096;
    /// Waiting requests of one client.
    std::size_t max_waiting_per_client = 1024;
    /// Assumed service time until requests have been measured.
    Duration initial_service_time = std::chrono::milliseconds(100);
    /// Part of the time to the deadline that a request may be expected to
    /// wait. The rest absorbs errors of the estimate: with 0.7 the goodput of a
    /// 5x surge was 95% to 97%, with 0.5 it is 97% to 98%.
    double wait_part = 0.5;
  };

  struct Hooks {
    /// True if a unit of the team's limit is free.
    std::function<bool(const TeamName& team)> team_may_start;
    /// Slots of the pool that the entry holds, for the estimate of waits.
    std::function<std::uint32_t()> slots;
    /// A waiting request was refused after it had been accepted.
    std::function<void(std::uint64_t id, const Refusal& refusal)> on_refused;
    /// The numbers of a team changed; for AllowanceHolder::SetDemand.
    std::function<void(const TeamName& team, std::uint32_t waiting,
                       std::uint32_t running)>
        on_demand;
  };

  FairQueue(Settings settings, Hooks hooks);

  /// Share of a team by the table in force; 1 until set.
  void SetShare(const TeamName& team, std::uint32_t share);
  /// Part of the team's entitlement that falls to this entry, from
  /// LenderNotice.
  void SetFraction(const TeamName& team, std::uint32_t millionths);

  /// Accepts the request, or says why not. A request of a team below its share
  /// displaces one of the team furthest above when the queue is full.
  std::optional<Refusal> Enqueue(const QueuedRequest& request, TimePoint now);

  /// Removes a waiting request; O(log n). False if it doesn't wait (any more),
  /// so that a repeated call has no effect. A running request isn't touched.
  bool Cancel(std::uint64_t id);

  /// Takes the request that starts next; call when a slot is free. Requests
  /// with too little time left are refused, and teams without a free unit are
  /// passed over until TeamAvailable.
  std::optional<QueuedRequest> Next(TimePoint now);
  /// A unit of the team's limit became free.
  void TeamAvailable(const TeamName& team);

  /// A request that Next returned has ended. `measured` is false if its time
  /// says nothing about the service time (cancelled or never sent). Idempotent.
  bool Finish(std::uint64_t id, TimePoint now, bool measured = true);

  /// Refuses the waiting requests that have too little time left.
  void Expire(TimePoint now);
  /// Refuses all waiting requests, for example without a serving lease.
  void RefuseAll(AdmissionError reason);

  std::size_t waiting() const { return this->requests.size(); }
  std::size_t running() const { return this->running_requests.size(); }

 private:
  struct Client {
    ClientName name;
    double virtual_time = 0;
    /// Ids of waiting requests by order of arrival.
    std::map<std::uint64_t, std::uint64_t> waiting;
  };
  /// The name breaks ties, so that equal runs give equal orders.
  struct ByVirtualTime {
    template <class T>
    bool operator()(const T* a, const T* b) const {
      return std::tie(a->virtual_time, a->name) <
             std::tie(b->virtual_time, b->name);
    }
  };
  /// Requests of one urgency in a team.
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
    bool parked = false;
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
  TeamState& FindTeam(const TeamName& name);
  double Weight(const TeamState& team) const;
  void CountWeight(TeamState& team);
  double ServiceSeconds(const TeamState& team) const;
  double MeasuredSeconds(const TeamState& team, TimePoint now) const;
  std::optional<Refusal> Check(const QueuedRequest& request, TeamState& team,
                               TimePoint now);
  double ExpectedWait(const TeamState& team, bool urgent) const;
  bool MakeRoom(const TeamState& arriving);
  TeamState* FurthestAbove();
  void Insert(const QueuedRequest& request, TeamState& team, TimePoint now);
  void Remove(std::uint64_t id);
  void Refuse(std::uint64_t id, AdmissionError reason);
  void SetReady(TeamState& team);
  std::uint64_t Head(TeamState& team);
  bool HasTime(const Waiting& waiting, TimePoint now) const;
  QueuedRequest Start(std::uint64_t id, TimePoint now);
  void ChargeTeam(TeamState& team, double seconds);
  static void ChargeClient(Lane& lane, const ClientName& name, double seconds);
  void Measure(TeamState& team, double seconds, TimePoint now);
  void TellDemand(const TeamState& team);

  Settings settings;
  Hooks hooks;
  std::map<TeamName, TeamState> teams;
  /// Teams with waiting requests that aren't parked.
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
