#include "mimosastage/jobs/pool_balancer.h"

#include <algorithm>
#include <cmath>

namespace mimosastage::jobs {
namespace {

/// Bounds the number that a demand is converted to; far more than any fleet
/// has.
constexpr double kMostInstances = 1e6;
/// Spare capacity beyond the expected demand, as a fraction of it. In
/// pool_demand_bench and a trial with larger jobs, Config::headroom instead
/// costs 3 to 10 percent more for half a percent more jobs in time.
constexpr double kHeadroomAhead = 0.1;

/// True if the pool is sized by its outlook. One that is unknown plans as
/// without an outlook.
bool IsSizedAhead(const PoolDemand& demand) {
  return !demand.standby && demand.outlook.has_value() &&
         demand.outlook->trend != DemandOutlook::Trend::kUnknown;
}

}  // namespace

PoolBalancer::Balances PoolBalancer::ComputeBalances(
    const std::vector<PoolDemand>& demands,
    const std::vector<PooledInstance>& instances, TimePoint now) {
  std::erase_if(this->pending_moves,
                [&](const auto& row) { return now >= row.second.until; });
  Balances balances;
  ++this->round;
  InstanceSize largest;
  std::erase_if(this->stays,
                [&](const auto& row) { return now >= row.second.until; });
  for (const PoolDemand& demand : demands) {
    PoolBalance& balance = balances[demand.pool];
    balance.standby = demand.standby;
    if (IsSizedAhead(demand)) {
      balance.falling = demand.outlook->trend == DemandOutlook::Trend::kFalling;
      balance.keeps_arrivals =
          !balance.falling &&
          demand.used_millicores + demand.waiting_millicores > 0;
    }
  }
  for (const PooledInstance& instance : instances) {
    largest.millicores = std::max(largest.millicores, instance.millicores);
    largest.memory_mb = std::max(largest.memory_mb, instance.memory_mb);
    const auto found = balances.find(instance.pool);
    if (found == balances.end() ||
        this->pending_moves.contains(instance.instance)) {
      continue;
    }
    if (instance.evacuated) {
      if (instance.empty) {
        found->second.evacuated.push_back(&instance.instance);
      }
      continue;
    }
    ++found->second.current_size;
    if (instance.empty) {
      IdleSince& idle =
          this->idle_since.try_emplace(instance.instance, IdleSince{now})
              .first->second;
      idle.round = this->round;
      const auto stay = this->stays.find(instance.instance);
      if (!found->second.keeps_arrivals || stay == this->stays.end() ||
          stay->second.pool != instance.pool ||
          now - idle.since >= this->config.idle_before_standby) {
        found->second.empty.push_back(
            IdleInstance{idle.since, &instance.instance});
      }
    }
  }
  std::erase_if(this->idle_since, [this](const auto& row) {
    return row.second.round != this->round;
  });
  for (const auto& [instance, move] : this->pending_moves) {
    ++balances[move.pool].current_size;
  }
  for (const PoolDemand& demand : demands) {
    PoolBalance& balance = balances[demand.pool];
    if (IsSizedAhead(demand)) {
      this->SetSizesAhead(demand, largest, balance);
    } else {
      balance.desired_size =
          balance.standby ? 0 : this->WantedInstances(demand, largest);
      PoolDemand in_time = demand;
      in_time.waiting_millicores -= demand.late_millicores;
      in_time.waiting_memory_mb -= demand.late_memory_mb;
      balance.size_in_time =
          balance.standby ? 0 : this->WantedInstances(in_time, largest);
      balance.promised_size = balance.size_in_time;
      balance.size_soon = balance.size_in_time;
    }
    std::sort(balance.empty.begin(), balance.empty.end(),
              [](const IdleInstance& a, const IdleInstance& b) {
                return a.since > b.since;
              });
  }
  return balances;
}

std::size_t PoolBalancer::WantedInstances(const PoolDemand& demand,
                                          const InstanceSize& largest) const {
  const auto instances = [this](std::int64_t amount, std::int64_t of_one) {
    return static_cast<std::size_t>(
        std::ceil(static_cast<double>(amount) * (1 + this->config.headroom) /
                  static_cast<double>(of_one)));
  };
  std::size_t wanted = instances(
      demand.used_millicores + demand.waiting_millicores, largest.millicores);
  if (largest.memory_mb > 1) {
    wanted = std::max(
        wanted, instances(demand.used_memory_mb + demand.waiting_memory_mb,
                          largest.memory_mb));
  }
  return std::max({this->config.min_instances,
                   demand.instances_for_anti_affine_tasks, wanted});
}

double PoolBalancer::NeedInTime(DemandOutlook::Trend trend,
                                const ResourceDemand& demand) const {
  const double factor = 1 + this->config.headroom;
  const double present = demand.used + demand.waiting - demand.late;
  const double waiting =
      std::max(demand.waiting - (demand.late - demand.late_used), 0.0);
  const double ahead =
      (demand.expected + demand.long_running) * (1 + kHeadroomAhead);
  switch (trend) {
    case DemandOutlook::Trend::kPeak:
      return std::max(ahead, demand.used - demand.late_used +
                                 waiting * this->config.waiting_part_in_peak);
    case DemandOutlook::Trend::kFalling: {
      const double ending =
          demand.used - demand.late_used - demand.long_running;
      return std::max(ahead,
                      demand.long_running * factor + waiting * factor +
                          std::max(ending, 0.0) * this->config.followed_part);
    }
    default:
      return std::max(ahead, present * factor);
  }
}

void PoolBalancer::SetSizesAhead(const PoolDemand& demand,
                                 const InstanceSize& largest,
                                 PoolBalance& balance) const {
  const DemandOutlook& outlook = *demand.outlook;
  const auto number = [](std::int64_t amount) {
    return static_cast<double>(amount);
  };
  const ResourceDemand processors{number(demand.used_millicores),
                                  number(demand.waiting_millicores),
                                  number(demand.late_millicores),
                                  number(demand.late_used_millicores),
                                  number(demand.long_running_millicores),
                                  outlook.expected.millicores,
                                  outlook.promised.millicores};
  const ResourceDemand memory{number(demand.used_memory_mb),
                              number(demand.waiting_memory_mb),
                              number(demand.late_memory_mb),
                              number(demand.late_used_memory_mb),
                              number(demand.long_running_memory_mb),
                              outlook.expected.memory_mb,
                              outlook.promised.memory_mb};
  const auto instances = [&](double millicores, double memory_mb) {
    double wanted = millicores / number(largest.millicores);
    if (largest.memory_mb > 1) {
      wanted = std::max(wanted, memory_mb / number(largest.memory_mb));
    }
    return std::max({this->config.min_instances,
                     demand.instances_for_anti_affine_tasks,
                     static_cast<std::size_t>(
                         std::ceil(std::clamp(wanted, 0.0, kMostInstances)))});
  };
  balance.late_work_may_start_instances = false;
  double millicores = this->NeedInTime(outlook.trend, processors);
  double memory_mb = this->NeedInTime(outlook.trend, memory);
  balance.size_in_time = instances(millicores, memory_mb);
  const double factor = 1 + kHeadroomAhead;
  millicores += processors.promised * factor;
  memory_mb += memory.promised * factor;
  balance.promised_size = instances(millicores, memory_mb);
  balance.desired_size =
      instances(millicores + processors.late, memory_mb + memory.late);
  balance.size_soon =
      std::max(balance.promised_size,
               instances(demand.promised_soon.millicores * factor,
                         demand.promised_soon.memory_mb * factor));
}

std::string PoolBalancer::TakeSurplusInstance(Balances& balances,
                                              std::size_t PoolBalance::*target,
                                              bool from_standby) {
  PoolBalance* donor = nullptr;
  for (auto& [pool, balance] : balances) {
    // An idle instance of an active pool is preferred because it already costs
    // money, unlike one in standby.
    const bool better = donor == nullptr ||
                        (donor->standby && !balance.standby) ||
                        (donor->standby == balance.standby &&
                         balance.current_size - balance.*target >
                             donor->current_size - donor->*target);
    if (!balance.empty.empty() && balance.current_size > balance.*target &&
        (from_standby || !balance.standby) && better) {
      donor = &balance;
    }
  }
  if (donor == nullptr) {
    return "";
  }
  std::string instance = *donor->empty.back().instance;
  donor->empty.pop_back();
  --donor->current_size;
  return instance;
}

void PoolBalancer::AddMove(const std::string& instance, const std::string& pool,
                           TimePoint now, std::vector<InstanceMove>& moves) {
  this->pending_moves[instance] =
      PendingMove{pool, now + this->config.arrival_window};
  this->stays[instance] = PendingMove{pool, now + this->config.min_stay};
  moves.push_back(InstanceMove{instance, pool});
}

void PoolBalancer::FillDeficits(Balances& balances,
                                std::size_t PoolBalance::*target,
                                std::size_t limit, TimePoint now,
                                std::vector<InstanceMove>& moves) {
  while (moves.size() < limit) {
    const auto largest_deficit = std::max_element(
        balances.begin(), balances.end(), [&](const auto& a, const auto& b) {
          const auto missing = [&](const PoolBalance& balance) {
            return static_cast<std::int64_t>(balance.*target) -
                   static_cast<std::int64_t>(balance.current_size);
          };
          return missing(a.second) < missing(b.second);
        });
    if (largest_deficit == balances.end() ||
        largest_deficit->second.*target <=
            largest_deficit->second.current_size) {
      return;
    }
    const std::string donor = TakeSurplusInstance(
        balances, target,
        target != &PoolBalance::desired_size ||
            largest_deficit->second.late_work_may_start_instances);
    if (donor.empty()) {
      return;
    }
    ++largest_deficit->second.current_size;
    this->AddMove(donor, largest_deficit->first, now, moves);
  }
}

std::size_t PoolBalancer::SpareInstances(const Balances& balances,
                                         std::size_t PoolBalance::*target) {
  std::size_t idle = 0;
  std::size_t needed_soon = 0;
  for (const auto& [pool, balance] : balances) {
    if (balance.standby) {
      continue;
    }
    idle += std::min(
        balance.empty.size(),
        balance.current_size - std::min(balance.current_size, balance.*target));
    needed_soon += balance.size_soon -
                   std::min(balance.size_soon, std::max(balance.current_size,
                                                        balance.promised_size));
  }
  return idle - std::min(idle, needed_soon);
}

std::map<std::string, std::size_t> PoolBalancer::PlanReleases(
    const Balances& balances) {
  std::size_t missing = 0;
  std::size_t surplus = 0;
  for (const auto& [pool, balance] : balances) {
    if (balance.standby) {
      continue;
    }
    missing += balance.promised_size -
               std::min(balance.promised_size, balance.current_size);
    surplus += balance.current_size -
               std::min(balance.promised_size, balance.current_size);
  }
  std::map<std::string, std::size_t> releases;
  for (const auto& [pool, balance] : balances) {
    if (balance.standby || balance.current_size <= balance.promised_size) {
      continue;
    }
    // Each pool gives in proportion to what it has beyond its need.
    const std::size_t own = balance.current_size - balance.promised_size;
    if (const std::size_t count =
            (own * std::min(missing, surplus) + surplus - 1) / surplus;
        count > 0) {
      releases[pool] = count;
    }
  }
  for (const auto& [pool, balance] : balances) {
    // Its tasks are spread over more workers than they need, and would keep all
    // of them from moving.
    if (balance.falling && balance.current_size > balance.desired_size) {
      std::size_t& count = releases[pool];
      count = std::max(count, balance.current_size - balance.desired_size);
    }
  }
  return releases;
}

PoolPlan PoolBalancer::Plan(const std::vector<PoolDemand>& demands,
                            const std::vector<PooledInstance>& instances,
                            TimePoint now) {
  Balances balances = this->ComputeBalances(demands, instances, now);
  PoolPlan plan;
  const bool is_ahead =
      std::any_of(demands.begin(), demands.end(), IsSizedAhead);
  const std::size_t all = is_ahead ? this->config.moves_per_round_ahead
                                   : this->config.moves_per_round;
  this->FillDeficits(balances, &PoolBalance::size_in_time, all, now,
                     plan.moves);
  this->FillDeficits(balances, &PoolBalance::promised_size, all, now,
                     plan.moves);
  plan.releases = PlanReleases(balances);
  const std::size_t for_late_work =
      is_ahead ? std::min(all, plan.moves.size() +
                                   SpareInstances(balances,
                                                  &PoolBalance::desired_size))
               : all;
  this->FillDeficits(balances, &PoolBalance::desired_size, for_late_work, now,
                     plan.moves);
  const auto standby =
      std::find_if(balances.begin(), balances.end(),
                   [](const auto& row) { return row.second.standby; });
  if (standby == balances.end()) {
    return plan;
  }
  std::size_t spare =
      is_ahead ? SpareInstances(balances, &PoolBalance::desired_size) : all;
  for (auto& [pool, balance] : balances) {
    while (!balance.standby && balance.current_size > balance.desired_size &&
           !balance.empty.empty() && spare > 0 &&
           plan.moves.size() < this->config.moves_per_round &&
           now - balance.empty.back().since >=
               this->config.idle_before_standby) {
      this->AddMove(*balance.empty.back().instance, standby->first, now,
                    plan.moves);
      balance.empty.pop_back();
      --balance.current_size;
      --spare;
    }
    for (const std::string* instance : balance.evacuated) {
      if (!balance.standby &&
          plan.moves.size() < this->config.moves_per_round) {
        this->AddMove(*instance, standby->first, now, plan.moves);
      }
    }
  }
  return plan;
}

}  // namespace mimosastage::jobs
