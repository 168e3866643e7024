// Compares admission with a naive version. Prints one JSON object per line:
// {"bench", "size", "measure", "ours", "naive", "unit"}. "naive" is null if the
// naive version has no such figure.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <iostream>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <vector>

#include "bench/serving/naive_serving.h"
#include "bench/serving/serving_driver.h"

ABSL_FLAG(std::string, size, "", "run only this size");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the load");

namespace mimosastage::bench {
namespace {

struct Size {
  std::string name;
  int entries = 0;
  int pools = 0;
  int servers_per_pool = 0;
  int teams = 0;
  int zones = 1;
  Duration delay{};

  int PoolSlots() const { return this->servers_per_pool * 8; }
};

const std::vector<Size>& Sizes() {
  static const std::vector<Size> sizes = {
      {"vergara", 9, 5, 10, 6, 1, std::chrono::microseconds(500)},
      {"cancha_serena", 8, 5, 10, 6, 3, std::chrono::microseconds(500)},
      {"target", 24, 76, 25, 310, 4, milliseconds(2)},
  };
  return sizes;
}

double Now() {
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration<double>(now).count();
}

void Print(const Size& size, const std::string& measure, double ours,
           const nlohmann::json& naive, const std::string& unit) {
  const nlohmann::json line = {{"bench", "serving"}, {"size", size.name},
                               {"measure", measure}, {"ours", ours},
                               {"naive", naive},     {"unit", unit}};
  std::cout << line.dump() << std::endl;
}

DriverOptions MakeOptions(const Size& size) {
  DriverOptions options;
  options.entries = size.entries;
  options.pools = size.pools;
  options.servers_per_pool = size.servers_per_pool;
  options.zones = size.zones;
  options.min_delay = size.delay / 2;
  options.max_delay = size.delay * 2;
  options.seed = absl::GetFlag(FLAGS_seed);
  const auto fleet = static_cast<std::uint32_t>(size.PoolSlots() * size.pools);
  for (int i = 0; i < size.teams; ++i) {
    options.teams.push_back({TeamName("team-" + std::to_string(i)),
                             static_cast<std::uint32_t>(1 + i % 5), fleet});
  }
  return options;
}

/// Pools in which a team has requests: all of up to five pools, otherwise two.
std::vector<int> PoolsOf(const Size& size, int team) {
  if (size.pools <= 5) {
    return {0, 1, 2, 3, 4};
  }
  return {team % size.pools, (team * 7 + 3) % size.pools};
}

/// Offers `load_factor` times the capacity of each of the first `pools` pools
/// from `from` to `to`. A third of the teams use only a third of the entries;
/// one client of six sends 60% of a team's requests.
template <class Serving>
void OfferLoad(Serving& serving, const Size& size, double load_factor,
               TimePoint from, TimePoint to, Duration deadline, int pools) {
  std::vector<std::vector<int>> teams(static_cast<std::size_t>(size.pools));
  for (int team = 0; team < size.teams; ++team) {
    for (const int pool : PoolsOf(size, team)) {
      teams[static_cast<std::size_t>(pool)].push_back(team);
    }
  }
  auto random =
      std::make_shared<std::mt19937_64>(absl::GetFlag(FLAGS_seed) + 7);
  for (int pool = 0; pool < pools; ++pool) {
    const auto& users = teams[static_cast<std::size_t>(pool)];
    const double rate = load_factor * size.PoolSlots() / 0.1;
    const Duration gap(static_cast<Duration::rep>(1e9 / rate));
    auto next = std::make_shared<std::function<void()>>();
    *next = [&serving, size, users, random, pool, gap, to, deadline,
             weak = std::weak_ptr(next)] {
      const auto draw = [&](int end) {
        return static_cast<int>((*random)() % static_cast<std::uint64_t>(end));
      };
      const int team =
          users[static_cast<std::size_t>(draw(static_cast<int>(users.size())))];
      const int entries = team % 3 == 0 ? size.entries / 3 : size.entries;
      const int client = draw(10) < 6 ? 0 : 1 + draw(5);
      serving.Submit({draw(entries), pool, team, client, false,
                      milliseconds(50 + draw(101)), deadline});
      if (const auto self = weak.lock(); self && serving.now() < to) {
        serving.At(serving.now() + gap, [self] { (*self)(); });
      }
    };
    serving.At(from, [next] { (*next)(); });
  }
}

/// Largest relative difference of a team's slot time from its share while all
/// pools are overloaded.
template <class Serving>
double ShareDistance(Serving& serving, const Size& size, Duration length) {
  const TimePoint start = serving.now() + seconds(1);
  OfferLoad(serving, size, 2.5, start, start + length, seconds(2), size.pools);
  serving.RunUntil(start + length / 2);
  std::vector<double> before;
  before.reserve(static_cast<std::size_t>(size.teams));
  for (int team = 0; team < size.teams; ++team) {
    before.push_back(serving.Result(team).slot_seconds);
  }
  serving.RunUntil(start + length);
  std::vector<double> shares(static_cast<std::size_t>(size.pools));
  for (int team = 0; team < size.teams; ++team) {
    for (const int pool : PoolsOf(size, team)) {
      shares[static_cast<std::size_t>(pool)] += 1 + team % 5;
    }
  }
  const double window = std::chrono::duration<double>(length / 2).count();
  double distance = 0;
  for (int team = 0; team < size.teams; ++team) {
    double entitled = 0;
    for (const int pool : PoolsOf(size, team)) {
      entitled += size.PoolSlots() * window * (1 + team % 5) /
                  shares[static_cast<std::size_t>(pool)];
    }
    const double received = serving.Result(team).slot_seconds -
                            before[static_cast<std::size_t>(team)];
    distance = std::max(distance, std::abs(received / entitled - 1));
  }
  return distance;
}

/// Requests answered before their deadline in a surge of 4 s at 2.5 times the
/// capacity of pool 0, as a fraction of that capacity. Before the surge the
/// load is half the capacity.
template <class Serving>
double SurgeGoodput(Serving& serving, const Size& size) {
  const TimePoint start = serving.now() + seconds(1);
  const TimePoint surge = start + seconds(4);
  const seconds deadline(1);
  OfferLoad(serving, size, 0.5, start, surge, deadline, 1);
  OfferLoad(serving, size, 2.5, surge, surge + seconds(4), deadline, 1);
  const auto useful = [&] {
    std::uint64_t sum = 0;
    for (int team = 0; team < size.teams; ++team) {
      sum += serving.Result(team).useful;
    }
    return static_cast<double>(sum);
  };
  serving.RunUntil(surge);
  const double before = useful();
  serving.RunUntil(surge + seconds(4));
  return (useful() - before) / (4 * size.PoolSlots() / 0.1);
}

/// Fraction of its limit that a team reaches within 2 s if it alone sends
/// requests, through one entry.
template <class Serving>
double LoneTeam(Serving& serving, std::uint32_t limit) {
  std::uint32_t peak = 0;
  const TimePoint start = serving.now() + seconds(2);
  for (int i = 0; i < 200; ++i) {
    serving.At(start + milliseconds(10 * i), [&serving, &peak, limit] {
      for (std::uint32_t k = 0; k < 2 * limit; ++k) {
        if (serving.Waiting(1, 0) < 2 * limit) {
          serving.Submit({1, 0, 0, 0, false, milliseconds(100), seconds(9)});
        }
      }
      peak = std::max(peak, serving.Running(0));
    });
  }
  serving.RunUntil(start + seconds(2));
  return static_cast<double>(peak) / limit;
}

double Quantile(std::vector<double> values, double q) {
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(
      q * static_cast<double>(values.size() - 1))];
}

/// Microseconds for one Enqueue, one Next and one Finish with `waiting`
/// requests of `teams` teams in the queue.
double QueueDecision(int teams, int waiting) {
  FairQueue::Hooks hooks{[](const TeamName&) { return true; },
                         [] { return 200U; },
                         [](std::uint64_t, const Refusal&) {},
                         [](const TeamName&, std::uint32_t, std::uint32_t) {}};
  FairQueue queue({.max_waiting = 100'000}, hooks);
  const TimePoint now{seconds(5)};
  std::uint64_t id = 0;
  const auto add = [&] {
    ++id;
    queue.Enqueue({id, TeamName("team-" + std::to_string(id % teams)),
                   ClientName(std::to_string(id % 6)), false,
                   now + std::chrono::hours(9)},
                  now);
  };
  while (id < static_cast<std::uint64_t>(waiting)) {
    add();
  }
  const double before = Now();
  constexpr int kDecisions = 20'000;
  for (int i = 0; i < kDecisions; ++i) {
    queue.Finish(queue.Next(now)->id, now);
    add();
  }
  return (Now() - before) / kDecisions * 1e6;
}

/// The same with one FIFO queue that is sorted by each team's use for each
/// start.
double NaiveQueueDecision(int teams, int waiting) {
  struct Item {
    std::uint64_t order = 0;
    int team = 0;
  };
  std::vector<double> used(static_cast<std::size_t>(teams));
  std::vector<Item> fifo;
  std::uint64_t order = 0;
  const auto add = [&] {
    ++order;
    fifo.push_back(
        {order, static_cast<int>(order % static_cast<std::uint64_t>(teams))});
  };
  while (order < static_cast<std::uint64_t>(waiting)) {
    add();
  }
  const double before = Now();
  constexpr int kDecisions = 200;
  for (int i = 0; i < kDecisions; ++i) {
    std::stable_sort(fifo.begin(), fifo.end(),
                     [&](const Item& a, const Item& b) {
                       return used[static_cast<std::size_t>(a.team)] <
                              used[static_cast<std::size_t>(b.team)];
                     });
    used[static_cast<std::size_t>(fifo.front().team)] += 0.1;
    fifo.erase(fifo.begin());
    add();
  }
  return (Now() - before) / kDecisions * 1e6;
}

void RunShares(const Size& size) {
  const DriverOptions options = MakeOptions(size);
  const seconds length(size.pools > 5 ? 6 : 16);
  ServingDriver ours(options);
  ours.stopwatch = Now;
  const double distance = ShareDistance(ours, size, length);
  NaiveServing naive(options);
  Print(size, "share_distance", distance, ShareDistance(naive, size, length),
        "ratio");
  Print(size, "violations", static_cast<double>(ours.violations().size()),
        nullptr, "count");
  Print(size, "lender_round_p50", Quantile(ours.round_seconds, 0.5) * 1e3,
        nullptr, "ms");
  Print(size, "lender_round_p99", Quantile(ours.round_seconds, 0.99) * 1e3,
        nullptr, "ms");
}

/// Rounds of a fleet without demand, compared with a lender that schedules
/// everything in each round and plans as much as its limits allow.
void RunIdleRounds(const Size& size) {
  const auto median = [&](bool replan) {
    const DriverOptions options = MakeOptions(size);
    ServingDriver driver(options);
    driver.stopwatch = Now;
    driver.RunUntil(driver.now() + seconds(2));
    driver.round_seconds.clear();
    for (int i = 0; replan && i < 30; ++i) {
      driver.At(driver.now() + milliseconds(100 * i),
                [&] { driver.Lender()->SetTeams(options.teams); });
    }
    driver.RunUntil(driver.now() + seconds(3));
    return Quantile(driver.round_seconds, 0.5) * 1e3;
  };
  Print(size, "lender_idle_round_p50", median(false), median(true), "ms");
}

void RunLoneTeams(const Size& size) {
  const auto pool = static_cast<std::uint32_t>(size.PoolSlots());
  for (const std::uint32_t limit : {1U, 8U, pool / 2, pool}) {
    DriverOptions options = MakeOptions(size);
    options.pools = 1;
    options.teams.resize(6);
    options.teams[0].upper_limit = limit;
    ServingDriver ours(options);
    NaiveServing naive(options);
    Print(size, "lone_team_limit_" + std::to_string(limit),
          LoneTeam(ours, limit), LoneTeam(naive, limit), "ratio");
  }
}

void RunSize(const Size& size) {
  RunLoneTeams(size);
  {
    ServingDriver ours(MakeOptions(size));
    NaiveServing naive(MakeOptions(size));
    const double goodput = SurgeGoodput(ours, size);
    Print(size, "surge_goodput", goodput, SurgeGoodput(naive, size), "ratio");
  }
  Print(size, "queue_decision", QueueDecision(size.teams, 4096),
        NaiveQueueDecision(size.teams, 4096), "us");
  RunIdleRounds(size);
  RunShares(size);
}

}  // namespace
}  // namespace mimosastage::bench

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  for (const auto& size : mimosastage::bench::Sizes()) {
    const std::string only = absl::GetFlag(FLAGS_size);
    if (only.empty() || only == size.name) {
      mimosastage::bench::RunSize(size);
    }
  }
  return 0;
}
