#include "mimosastage/jobs/pool_balancer.h"

#include <algorithm>
#include <cmath>

namespace mimosastage::jobs {

PoolBalancer::Balances PoolBalancer::ComputeBalances(
    const std::vector<PoolDemand>& demands,
    const std::vector<PooledInstance>& instances, TimePoint now) {
  std::erase_if(this->pending_moves,
                [&](const auto& row) { return now >= row.second.until; });
  Balances balances;
  ++this->round;
  InstanceSize largest;
  for (const PoolDemand& demand : demands) {
    balances[demand.pool].standby = demand.standby;
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
      found->second.empty.push_back(
          IdleInstance{idle.since, &instance.instance});
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
    balance.desired_size =
        balance.standby ? 0 : this->WantedInstances(demand, largest);
    PoolDemand in_time = demand;
    in_time.waiting_millicores -= demand.late_millicores;
    in_time.waiting_memory_mb -= demand.late_memory_mb;
    balance.size_in_time =
        balance.standby ? 0 : this->WantedInstances(in_time, largest);
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

std::string PoolBalancer::TakeSurplusInstance(
    Balances& balances, std::size_t PoolBalance::*target) {
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
        better) {
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
  moves.push_back(InstanceMove{instance, pool});
}

void PoolBalancer::FillDeficits(Balances& balances,
                                std::size_t PoolBalance::*target, TimePoint now,
                                std::vector<InstanceMove>& moves) {
  while (moves.size() < this->config.moves_per_round) {
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
    const std::string donor = TakeSurplusInstance(balances, target);
    if (donor.empty()) {
      return;
    }
    ++largest_deficit->second.current_size;
    this->AddMove(donor, largest_deficit->first, now, moves);
  }
}

std::map<std::string, std::size_t> PoolBalancer::PlanReleases(
    const Balances& balances) {
  std::size_t missing = 0;
  std::size_t surplus = 0;
  for (const auto& [pool, balance] : balances) {
    if (balance.standby) {
      continue;
    }
    missing += balance.size_in_time -
               std::min(balance.size_in_time, balance.current_size);
    surplus += balance.current_size -
               std::min(balance.size_in_time, balance.current_size);
  }
  std::map<std::string, std::size_t> releases;
  for (const auto& [pool, balance] : balances) {
    if (balance.standby || balance.current_size <= balance.size_in_time) {
      continue;
    }
    // Each pool gives in proportion to what it has beyond its need.
    const std::size_t own = balance.current_size - balance.size_in_time;
    if (const std::size_t count =
            (own * std::min(missing, surplus) + surplus - 1) / surplus;
        count > 0) {
      releases[pool] = count;
    }
  }
  return releases;
}

PoolPlan PoolBalancer::Plan(const std::vector<PoolDemand>& demands,
                            const std::vector<PooledInstance>& instances,
                            TimePoint now) {
  Balances balances = this->ComputeBalances(demands, instances, now);
  PoolPlan plan;
  this->FillDeficits(balances, &PoolBalance::size_in_time, now, plan.moves);
  plan.releases = PlanReleases(balances);
  this->FillDeficits(balances, &PoolBalance::desired_size, now, plan.moves);
  const auto standby =
      std::find_if(balances.begin(), balances.end(),
                   [](const auto& row) { return row.second.standby; });
  if (standby == balances.end()) {
    return plan;
  }
  for (auto& [pool, balance] : balances) {
    while (!balance.standby && balance.current_size > balance.desired_size &&
           !balance.empty.empty() &&
           plan.moves.size() < this->config.moves_per_round &&
           now - balance.empty.back().since >=
               this->config.idle_before_standby) {
      this->AddMove(*balance.empty.back().instance, standby->first, now,
                    plan.moves);
      balance.empty.pop_back();
      --balance.current_size;
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
