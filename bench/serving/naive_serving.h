#ifndef MIMOSASTAGE_BENCH_SERVING_NAIVE_SERVING_H_
#define MIMOSASTAGE_BENCH_SERVING_NAIVE_SERVING_H_

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <queue>
#include <vector>

#include "bench/serving/serving_driver.h"

namespace mimosastage::bench {

/// Naive version: one counter for each limit and one FIFO queue for each pool,
/// both shared by all entries without delay. A pool starts the request of the
/// team with the fewest running requests per share. It ignores clients and
/// drops a request only when its deadline has passed or the queue is full.
class NaiveServing {
 public:
  explicit NaiveServing(const DriverOptions& options)
      : options(options),
        results(options.teams.size()),
        running(options.teams.size()),
        pools(static_cast<std::size_t>(options.pools)) {
    const int slots =
        options.servers_per_pool * static_cast<int>(options.slots);
    for (Pool& pool : this->pools) {
      pool.free = slots;
      pool.waiting.resize(options.teams.size());
      pool.running.resize(options.teams.size());
    }
  }

  TimePoint now() const { return this->time; }
  const TeamResult& Result(int team) const {
    return this->results[static_cast<std::size_t>(team)];
  }
  std::uint32_t Running(int team) const {
    return this->running[static_cast<std::size_t>(team)];
  }

  void At(TimePoint at, std::function<void()> action) {
    this->events.push({at, this->next_event++, std::move(action)});
  }

  void RunUntil(TimePoint end) {
    while (!this->events.empty() && this->events.top().at <= end) {
      const Event event = this->events.top();
      this->events.pop();
      this->time = event.at;
      event.action();
    }
    this->time = end;
  }

  std::size_t Waiting(int /*entry*/, int pool) const {
    return this->pools[static_cast<std::size_t>(pool)].count;
  }

  void Submit(const LoadRequest& load) {
    Pool& pool = this->pools[static_cast<std::size_t>(load.pool)];
    const auto team = static_cast<std::size_t>(load.team);
    if (pool.count >= this->options.queue.max_waiting) {
      ++this->results[team].refused;
      return;
    }
    ++pool.count;
    pool.waiting[team].push_back({load, this->time + load.deadline});
    this->StartRequests(pool);
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
  struct Waiter {
    LoadRequest load;
    TimePoint deadline;
  };
  struct Pool {
    int free = 0;
    std::size_t count = 0;
    std::vector<std::deque<Waiter>> waiting;
    std::vector<std::uint32_t> running;
  };

  void StartRequests(Pool& pool) {
    while (pool.free > 0 && pool.count > 0) {
      const int team = this->NextTeam(pool);
      if (team < 0) {
        return;
      }
      auto& waiting = pool.waiting[static_cast<std::size_t>(team)];
      const Waiter next = waiting.front();
      waiting.pop_front();
      --pool.count;
      if (next.deadline <= this->time) {
        ++this->results[static_cast<std::size_t>(team)].refused;
        continue;
      }
      this->Start(pool, next);
    }
  }

  int NextTeam(const Pool& pool) const {
    int best = -1;
    double best_level = 0;
    for (std::size_t i = 0; i < pool.waiting.size(); ++i) {
      const Team& team = this->options.teams[i];
      if (pool.waiting[i].empty() || this->running[i] >= team.upper_limit) {
        continue;
      }
      const double level = static_cast<double>(pool.running[i]) / team.share;
      if (best < 0 || level < best_level) {
        best = static_cast<int>(i);
        best_level = level;
      }
    }
    return best;
  }

  void Start(Pool& pool, const Waiter& next) {
    const auto team = static_cast<std::size_t>(next.load.team);
    --pool.free;
    ++pool.running[team];
    ++this->running[team];
    const TimePoint full = this->time + next.load.service;
    const TimePoint end = std::min(full, next.deadline);
    const std::chrono::duration<double> ran = end - this->time;
    const bool useful = full <= next.deadline;
    this->At(end, [this, &pool, team, ran, useful] {
      this->results[team].slot_seconds += ran.count();
      this->results[team].useful += useful ? 1 : 0;
      ++pool.free;
      --pool.running[team];
      --this->running[team];
      this->StartRequests(pool);
    });
  }

  DriverOptions options;
  TimePoint time{seconds(1000)};
  std::priority_queue<Event> events;
  std::uint64_t next_event = 0;
  std::vector<TeamResult> results;
  std::vector<std::uint32_t> running;
  std::vector<Pool> pools;
};

}  // namespace mimosastage::bench

#endif  // MIMOSASTAGE_BENCH_SERVING_NAIVE_SERVING_H_
