#ifndef MIMOSASTAGE_BENCH_SERVING_SERVING_DRIVER_H_
#define MIMOSASTAGE_BENCH_SERVING_SERVING_DRIVER_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "mimosastage/admission/allowance_holder.h"
#include "mimosastage/admission/allowance_ledger.h"
#include "mimosastage/admission/allowance_lender.h"
#include "mimosastage/admission/allowance_messages.h"
#include "mimosastage/admission/fair_queue.h"

namespace mimosastage::bench {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// One request of the driver's load.
struct LoadRequest {
  int entry = 0;
  int pool = 0;
  int team = 0;
  int client = 0;
  bool urgent = false;
  Duration service{};
  Duration deadline{};
};

/// Results of one team.
struct TeamResult {
  std::uint64_t started = 0;
  std::uint64_t useful = 0;
  std::uint64_t refused = 0;
  double slot_seconds = 0;
};

struct DriverOptions {
  int entries = 9;
  int pools = 1;
  int servers_per_pool = 12;
  std::uint32_t slots = 8;
  int zones = 1;
  std::vector<Team> teams;
  /// Fraction of the messages that are lost, and bounds of their delay.
  /// Messages can be reordered.
  double loss = 0;
  Duration min_delay = std::chrono::microseconds(500);
  Duration max_delay = milliseconds(2);
  Duration longest_deadline = seconds(30);
  std::uint64_t seed = 1;
  FairQueue::Settings queue;
  /// Encodes and decodes each message.
  bool encode = false;
};

/// Simulates a ledger, a lender, holders and queues against a virtual clock,
/// with delayed and lost messages. It counts running requests independently of
/// these classes and reports each one started above a team's limit or a
/// server's slots.
class ServingDriver {
 public:
  explicit ServingDriver(DriverOptions options)
      : options(std::move(options)),
        random(this->options.seed),
        ledger([this](const std::string& team) { return this->Limit(team); }),
        results(this->options.teams.size()),
        team_running(this->options.teams.size()),
        team_cap(this->options.teams.size()),
        server_running(static_cast<std::size_t>(
            this->options.pools * this->options.servers_per_pool)) {
    for (std::size_t i = 0; i < this->options.teams.size(); ++i) {
      this->team_index[this->options.teams[i].name] = static_cast<int>(i);
      this->team_cap[i] = this->options.teams[i].upper_limit;
    }
    this->entries.resize(static_cast<std::size_t>(this->options.entries));
    for (int i = 0; i < this->options.entries; ++i) {
      this->StartEntry(i);
    }
    this->StartLeader();
  }

  TimePoint now() const { return this->time; }
  const TeamResult& Result(int team) const {
    return this->results[static_cast<std::size_t>(team)];
  }
  std::uint32_t Running(int team) const {
    return this->team_running[static_cast<std::size_t>(team)];
  }
  /// Requests of all teams started at an entry.
  std::uint64_t StartedAt(int entry) { return this->EntryAt(entry).started; }
  AllowanceLedger& Ledger() { return this->ledger; }
  const AllowanceHolder& Holder(int entry) {
    return *this->EntryAt(entry).holder;
  }
  const std::vector<std::string>& violations() const {
    return this->violation_messages;
  }
  std::uint64_t moves() const { return this->move_count; }
  /// Duration of each of the lender's rounds in seconds, measured by
  /// `stopwatch`.
  std::vector<double> round_seconds;
  std::function<double()> stopwatch;

  void At(TimePoint at, std::function<void()> action) {
    this->events.push(
        {std::max(at, this->time), this->next_event++, std::move(action)});
  }

  void RunUntil(TimePoint end) {
    while (!this->events.empty() && this->events.top().at <= end) {
      Event event = this->events.top();
      this->events.pop();
      this->time = event.at;
      event.action();
      this->StartPending();
    }
    this->time = end;
  }

  /// Returns the request's id.
  std::uint64_t Submit(const LoadRequest& load) {
    const std::uint64_t id = this->next_request++;
    Entry& entry = this->EntryAt(load.entry);
    const TimePoint deadline = this->time + load.deadline;
    this->requests[id] = {load, deadline, entry.session, false, {}, 0};
    const QueuedRequest queued{id, this->TeamAt(load.team).name,
                               ClientName("c" + std::to_string(load.client)),
                               load.urgent, deadline};
    if (this->time >= entry.lease_until ||
        entry.queues[static_cast<std::size_t>(load.pool)]->Enqueue(
            queued, this->time)) {
      this->RefuseRequest(id);
      return id;
    }
    this->QueueStart(load.entry, load.pool);
    return id;
  }

  /// Cancels the request if it waits or runs.
  void Cancel(std::uint64_t id) {
    const auto found = this->requests.find(id);
    if (found == this->requests.end()) {
      return;
    }
    Request& request = found->second;
    Entry& entry = this->EntryAt(request.load.entry);
    if (request.session == entry.session &&
        entry.queues[static_cast<std::size_t>(request.load.pool)]->Cancel(id)) {
      this->requests.erase(found);
      return;
    }
    if (request.running) {
      this->End(id, true);
    }
  }

  /// The entry restarts without its state; its running requests continue on the
  /// servers.
  void Restart(int index) { this->StartEntry(index); }

  void SetPartitioned(int index, bool partitioned) {
    this->EntryAt(index).partitioned = partitioned;
    if (!partitioned) {
      this->Deliver(index);
    }
  }

  /// There is no leader for `gap`; proposed commands may be lost.
  void ChangeLeader(Duration gap) {
    ++this->leader_epoch;
    this->lender.reset();
    this->At(this->time + gap, [this] { this->StartLeader(); });
  }

  void SetLimit(int team, std::uint32_t limit) {
    Team& row = this->options.teams[static_cast<std::size_t>(team)];
    const std::uint32_t before = row.upper_limit;
    row.upper_limit = limit;
    const auto index = static_cast<std::size_t>(team);
    this->team_cap[index] = std::max(this->team_cap[index], limit);
    if (limit < before) {
      // Requests started under the old limit may run until their deadline.
      this->At(this->time + seconds(2) + this->options.longest_deadline,
               [this, index] {
                 this->team_cap[index] = this->options.teams[index].upper_limit;
               });
    }
    if (this->lender) {
      this->lender->SetTeams(this->options.teams);
    }
  }

  void SetLoss(double loss) { this->options.loss = loss; }

  AllowanceLender* Lender() { return this->lender.get(); }
  std::size_t Waiting(int entry, int pool) {
    return this->EntryAt(entry)
        .queues[static_cast<std::size_t>(pool)]
        ->waiting();
  }

 private:
  struct Event {
    TimePoint at;
    std::uint64_t number = 0;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return std::tie(other.at, other.number) <
             std::tie(this->at, this->number);
    }
  };
  struct Request {
    LoadRequest load;
    TimePoint deadline;
    Session session;
    bool running = false;
    TimePoint started;
    int server = 0;
  };
  struct Entry {
    Session session;
    bool partitioned = false;
    TimePoint lease_until{};
    std::size_t applied = 0;
    std::uint64_t started = 0;
    std::unique_ptr<AllowanceHolder> holder;
    std::vector<std::unique_ptr<FairQueue>> queues;
    std::vector<bool> may_have_slots;
    std::vector<int> cursor;
  };

  Entry& EntryAt(int index) {
    return this->entries[static_cast<std::size_t>(index)];
  }
  const Team& TeamAt(int index) const {
    return this->options.teams[static_cast<std::size_t>(index)];
  }
  std::uint32_t Limit(const std::string& team) const {
    const auto found = this->team_index.find(TeamName(team));
    return found == this->team_index.end()
               ? 0
               : this->TeamAt(found->second).upper_limit;
  }
  static std::string ServerName(int server) {
    return "server-" + std::to_string(server);
  }
  Resource SlotsOf(int server) const {
    return {ResourceKind::kBackendServerSlots, ServerName(server)};
  }
  Resource LimitOf(int team) const {
    return {ResourceKind::kTeamLimit, this->TeamAt(team).name.str()};
  }

  Duration Delay() {
    std::uniform_int_distribution<Duration::rep> delay(
        this->options.min_delay.count(), this->options.max_delay.count());
    return Duration(delay(this->random));
  }
  bool Lost() {
    return std::bernoulli_distribution(this->options.loss)(this->random);
  }

  void StartEntry(int index) {
    Entry& entry = this->EntryAt(index);
    entry.session = {DaemonId{static_cast<std::uint16_t>(index)},
                     SessionId{++this->next_session}};
    entry.lease_until = {};
    entry.applied = this->log.size();
    const auto pools = static_cast<std::size_t>(this->options.pools);
    entry.may_have_slots.assign(pools, true);
    entry.cursor.assign(pools, index);
    entry.holder = std::make_unique<AllowanceHolder>(
        AllowanceHolder::Settings{}, entry.session,
        [this, index](const Resource& resource) {
          this->OnAvailable(index, resource);
        });
    entry.queues.clear();
    for (int pool = 0; pool < this->options.pools; ++pool) {
      entry.queues.push_back(this->MakeQueue(index, pool));
    }
    const Session session = entry.session;
    this->Commit([this, session] {
      this->ledger.StartSession(session);
      this->log.emplace_back();
    });
    this->At(this->time,
             [this, index, session] { this->Renew(index, session); });
    this->At(this->time,
             [this, index, session] { this->Report(index, session); });
  }

  std::unique_ptr<FairQueue> MakeQueue(int index, int pool) {
    FairQueue::Hooks hooks;
    hooks.team_may_start = [this, index](const TeamName& team) {
      return this->EntryAt(index).holder->Available(
                 {ResourceKind::kTeamLimit, team.str()}) > 0;
    };
    hooks.slots = [this, index, pool] { return this->HeldSlots(index, pool); };
    hooks.on_refused = [this](std::uint64_t id, const Refusal&) {
      this->RefuseRequest(id);
    };
    const PoolName name = PoolAt(pool);
    hooks.on_demand = [this, index, name](const TeamName& team,
                                          std::uint32_t waiting,
                                          std::uint32_t running) {
      this->EntryAt(index).holder->SetDemand(name, team, waiting, running);
    };
    auto queue = std::make_unique<FairQueue>(this->options.queue, hooks);
    for (const Team& team : this->options.teams) {
      queue->SetShare(team.name, team.share);
    }
    return queue;
  }

  static PoolName PoolAt(int pool) {
    return PoolName("pool-" + std::to_string(pool));
  }

  std::uint32_t HeldSlots(int index, int pool) {
    Entry& entry = this->EntryAt(index);
    auto& queue = *entry.queues[static_cast<std::size_t>(pool)];
    std::uint32_t free = 0;
    const int count = this->options.servers_per_pool;
    if (entry.may_have_slots[static_cast<std::size_t>(pool)]) {
      for (int i = pool * count; i < (pool + 1) * count; ++i) {
        free += entry.holder->Available(this->server_slots[i]);
      }
    }
    return free + static_cast<std::uint32_t>(queue.running());
  }

  void OnAvailable(int index, const Resource& resource) {
    Entry& entry = this->EntryAt(index);
    if (resource.kind == ResourceKind::kTeamLimit) {
      for (int pool = 0; pool < this->options.pools; ++pool) {
        entry.queues[static_cast<std::size_t>(pool)]->TeamAvailable(
            TeamName(resource.name));
        this->QueueStart(index, pool);
      }
      return;
    }
    const int server = std::stoi(resource.name.substr(7));
    const int pool = server / this->options.servers_per_pool;
    entry.may_have_slots[static_cast<std::size_t>(pool)] = true;
    this->QueueStart(index, pool);
  }

  void QueueStart(int entry, int pool) {
    this->pending_starts.emplace_back(entry, pool);
  }

  void StartPending() {
    while (!this->pending_starts.empty()) {
      const auto [entry, pool] = this->pending_starts.back();
      this->pending_starts.pop_back();
      this->StartRequests(entry, pool);
    }
  }

  void StartRequests(int index, int pool) {
    Entry& entry = this->EntryAt(index);
    FairQueue& queue = *entry.queues[static_cast<std::size_t>(pool)];
    if (this->time >= entry.lease_until) {
      queue.RefuseAll(AdmissionError::kNotServing);
      return;
    }
    while (queue.waiting() > 0) {
      const int server = this->PickServer(entry, pool);
      if (server < 0) {
        return;
      }
      const auto next = queue.Next(this->time);
      if (!next) {
        return;
      }
      this->Start(index, next->id, server);
    }
  }

  int PickServer(Entry& entry, int pool) {
    const auto index = static_cast<std::size_t>(pool);
    if (!entry.may_have_slots[index]) {
      return -1;
    }
    const int count = this->options.servers_per_pool;
    for (int i = 0; i < count; ++i) {
      entry.cursor[index] = (entry.cursor[index] + 1) % count;
      const int server = pool * count + entry.cursor[index];
      if (entry.holder->Available(this->server_slots[server]) > 0) {
        return server;
      }
    }
    entry.may_have_slots[index] = false;
    return -1;
  }

  void Start(int index, std::uint64_t id, int server) {
    Entry& entry = this->EntryAt(index);
    Request& request = this->requests.at(id);
    const int team = request.load.team;
    if (!entry.holder->Acquire(id, this->LimitOf(team)) ||
        !entry.holder->Acquire(id, this->SlotsOf(server))) {
      this->violation_messages.push_back("request started without a unit");
    }
    ++entry.started;
    request.running = true;
    request.started = this->time;
    request.server = server;
    const auto t = static_cast<std::size_t>(team);
    ++this->results[t].started;
    if (++this->team_running[t] > this->team_cap[t]) {
      this->violation_messages.push_back("team above its limit");
    }
    if (++this->server_running[static_cast<std::size_t>(server)] >
        this->options.slots) {
      this->violation_messages.push_back("server above its slots");
    }
    const TimePoint end =
        std::min(this->time + request.load.service, request.deadline);
    this->At(end, [this, id] { this->End(id, false); });
  }

  void End(std::uint64_t id, bool cancelled) {
    const auto found = this->requests.find(id);
    if (found == this->requests.end()) {
      return;
    }
    const Request request = found->second;
    this->requests.erase(found);
    const auto team = static_cast<std::size_t>(request.load.team);
    --this->team_running[team];
    --this->server_running[static_cast<std::size_t>(request.server)];
    const Duration ran = this->time - request.started;
    this->results[team].slot_seconds +=
        std::chrono::duration<double>(ran).count();
    Entry& entry = this->EntryAt(request.load.entry);
    if (entry.session != request.session) {
      return;
    }
    const bool complete = !cancelled && ran >= request.load.service;
    this->results[team].useful += complete ? 1 : 0;
    auto& queue = *entry.queues[static_cast<std::size_t>(request.load.pool)];
    if (entry.holder->ReleaseAll(id) != 2 ||
        !queue.Finish(id, this->time, !cancelled)) {
      this->violation_messages.push_back(
          "units of a request were released before its end");
    }
    if (entry.holder->ReleaseAll(id) != 0 || queue.Finish(id, this->time)) {
      this->violation_messages.push_back(
          "units of a request were released twice");
    }
    this->QueueStart(request.load.entry, request.load.pool);
  }

  void RefuseRequest(std::uint64_t id) {
    const auto node = this->requests.extract(id);
    ++this->results[static_cast<std::size_t>(node.mapped().load.team)].refused;
  }

  /// Requests a serving lease every 500 ms. A lease counts from the time at
  /// which its request was sent.
  void Renew(int index, Session session) {
    Entry& entry = this->EntryAt(index);
    if (entry.session != session) {
      return;
    }
    for (auto& queue : entry.queues) {
      queue->Expire(this->time);
    }
    const TimePoint sent = this->time;
    if (!entry.partitioned && !this->Lost()) {
      this->At(sent + this->Delay(), [this, index, session, sent] {
        this->Grant(index, session, sent);
      });
    }
    this->At(sent + milliseconds(500),
             [this, index, session] { this->Renew(index, session); });
  }

  void Grant(int index, Session session, TimePoint sent) {
    if (!this->lender) {
      return;
    }
    this->lender->SessionSeen(session, this->time);
    Entry& entry = this->EntryAt(index);
    if (!this->lender->MayServe(session) || !this->ledger.IsAlive(session)) {
      const bool ended = this->ended.contains(session);
      if (ended && entry.session == session && !entry.partitioned) {
        this->StartEntry(index);
      }
      return;
    }
    this->At(this->time + this->Delay(), [this, index, session, sent] {
      Entry& granted_to = this->EntryAt(index);
      if (granted_to.session == session && !granted_to.partitioned) {
        this->Deliver(index);
        granted_to.lease_until =
            std::max(granted_to.lease_until, sent + seconds(2));
      }
    });
  }

  void Report(int index, Session session) {
    Entry& entry = this->EntryAt(index);
    if (entry.session != session) {
      return;
    }
    if (auto report = entry.holder->TakeReport(this->time);
        report && !entry.partitioned && !this->Lost()) {
      if (this->options.encode) {
        report = DecodeDemandReport(EncodeDemandReport(*report)).value();
      }
      this->At(this->time + this->Delay(), [this, sent = *report] {
        if (this->lender) {
          this->lender->HandleReport(sent);
        }
      });
    }
    this->At(this->time + milliseconds(20),
             [this, index, session] { this->Report(index, session); });
  }

  void StartLeader() {
    ++this->leader_epoch;
    this->lender = std::make_unique<AllowanceLender>(
        AllowanceLender::Settings{}, this->time);
    this->lender->SetTeams(this->options.teams);
    this->lender->SetLongestDeadline(this->options.longest_deadline);
    const int count = this->options.servers_per_pool;
    for (int i = 0; i < this->options.pools * count; ++i) {
      this->server_slots[i] = this->SlotsOf(i);
      this->lender->SetServer({BackendServerName(ServerName(i)),
                               PoolAt(i / count), Zone(i), this->options.slots,
                               true});
    }
    for (int i = 0; i < this->options.entries; ++i) {
      this->lender->SetZone(DaemonId{static_cast<std::uint16_t>(i)}, Zone(i));
      this->EntryAt(i).holder->RequestFullReport();
    }
    this->Round(this->leader_epoch);
  }

  AvailabilityZone Zone(int i) const {
    return AvailabilityZone("zone-" + std::to_string(i % this->options.zones));
  }

  void Round(std::uint64_t epoch) {
    if (epoch != this->leader_epoch) {
      return;
    }
    const double before = this->stopwatch ? this->stopwatch() : 0;
    LenderRound round = this->lender->Round(this->ledger, this->time);
    if (this->stopwatch) {
      this->round_seconds.push_back(this->stopwatch() - before);
    }
    this->CarryOut(epoch, std::move(round));
    this->At(this->time + milliseconds(100),
             [this, epoch] { this->Round(epoch); });
  }

  void CarryOut(std::uint64_t epoch, LenderRound round) {
    for (const SessionEnd& end : round.ended) {
      this->Commit([this, end] {
        this->ledger.EndSession(end.session);
        this->ended[end.session] = true;
        this->log.emplace_back();
      });
    }
    for (LenderNotice& notice : round.notices) {
      this->Notify(notice);
    }
    if (round.moves) {
      this->move_count += round.moves->moves.size();
      this->Commit([this, epoch, moves = *round.moves] {
        const bool current = epoch == this->leader_epoch;
        if (!current && this->Delay().count() % 2 == 0) {
          return;  // The command was lost with the leader.
        }
        this->ledger.Apply(moves);
        auto& touched = this->log.emplace_back();
        for (const Session session : this->ledger.Sessions()) {
          const auto holdings = this->ledger.HoldingsOf(session, moves);
          touched.insert(touched.end(), holdings.begin(), holdings.end());
        }
        if (current && this->lender) {
          this->lender->MovesFinished(true);
        }
      });
    }
  }

  void Notify(LenderNotice notice) {
    const int index = static_cast<int>(notice.session.daemon);
    if (this->EntryAt(index).partitioned || this->Lost()) {
      return;
    }
    if (this->options.encode) {
      notice = DecodeLenderNotice(EncodeLenderNotice(notice)).value();
    }
    this->At(this->time + this->Delay(), [this, index, notice] {
      Entry& entry = this->EntryAt(index);
      if (entry.session != notice.session) {
        return;
      }
      for (const RecallRequest& recall : notice.recalls) {
        entry.holder->Recall(recall);
      }
      for (const TeamFraction& part : notice.fractions) {
        const int pool = std::stoi(part.pool.str().substr(5));
        entry.queues[static_cast<std::size_t>(pool)]->SetFraction(
            part.team, part.millionths);
      }
      if (notice.wants_full_report) {
        entry.holder->RequestFullReport();
      }
    });
  }

  /// Runs `apply` in log order after the commit delay, then delivers the log to
  /// the entries.
  void Commit(std::function<void()> apply) {
    this->last_commit =
        std::max(this->last_commit, this->time + 2 * this->Delay());
    this->At(this->last_commit, [this, apply = std::move(apply)] {
      apply();
      for (int i = 0; i < this->options.entries; ++i) {
        if (!this->Lost()) {
          this->At(this->time + this->Delay(), [this, i] { this->Deliver(i); });
        }
      }
    });
  }

  /// Delivers the rest of the log to an entry.
  void Deliver(int index) {
    Entry& entry = this->EntryAt(index);
    for (; !entry.partitioned && entry.applied < this->log.size();
         ++entry.applied) {
      entry.holder->Update(entry.applied + 1, this->log[entry.applied]);
    }
  }

  DriverOptions options;
  std::mt19937_64 random;
  TimePoint time{seconds(1000)};
  std::priority_queue<Event> events;
  std::uint64_t next_event = 0;
  std::uint64_t next_request = 1;
  std::uint64_t next_session = 0;
  AllowanceLedger ledger;
  std::vector<std::vector<AllowanceHolding>> log;
  TimePoint last_commit{};
  std::unique_ptr<AllowanceLender> lender;
  std::uint64_t leader_epoch = 0;
  std::map<Session, bool> ended;
  std::vector<Entry> entries;
  std::unordered_map<std::uint64_t, Request> requests;
  std::vector<std::pair<int, int>> pending_starts;
  std::map<TeamName, int> team_index;
  std::unordered_map<int, Resource> server_slots;
  std::vector<TeamResult> results;
  std::vector<std::uint32_t> team_running;
  std::vector<std::uint32_t> team_cap;
  std::vector<std::uint32_t> server_running;
  std::vector<std::string> violation_messages;
  std::uint64_t move_count = 0;
};

}  // namespace mimosastage::bench

#endif  // MIMOSASTAGE_BENCH_SERVING_SERVING_DRIVER_H_
