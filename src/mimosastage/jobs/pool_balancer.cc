#include "mimosastage/jobs/pool_balancer.h"

#include <algorithm>
#include <cmath>

namespace mimosastage::jobs {

std::map<std::string, PoolBalancer::PoolBalance> PoolBalancer::ComputeBalances(
    const std::vector<PoolDemand>& demands,
    const std::vector<PooledInstance>& instances, TimePoint now) {
  std::erase_if(this->pending_moves,
                [&](const auto& row) { return now >= row.second.until; });
  std::map<std::string, PoolBalance> balances;
  std::map<std::string, TimePoint> idle;
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
    ++found->second.have;
    if (instance.empty) {
      const auto known = this->idle_since.find(instance.instance);
      idle[instance.instance] =
          known == this->idle_since.end() ? now : known->second;
      found->second.empty.push_back(instance.instance);
    }
  }
  this->idle_since = std::move(idle);
  for (const auto& [instance, move] : this->pending_moves) {
    ++balances[move.pool].have;
  }
  for (const PoolDemand& demand : demands) {
    PoolBalance& row = balances[demand.pool];
    row.wanted = row.standby ? 0 : this->WantedInstances(demand, largest);
    // Longest idle last, as instances are taken from the back.
    std::sort(row.empty.begin(), row.empty.end(),
              [this](const std::string& a, const std::string& b) {
                return this->idle_since.at(a) > this->idle_since.at(b);
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
  return std::max(
      {this->config.min_instances, demand.anti_affinity_instances, wanted});
}

std::string PoolBalancer::TakeDonor(
    std::map<std::string, PoolBalance>& balances) {
  PoolBalance* donor = nullptr;
  for (auto& [pool, row] : balances) {
    // An idle instance of an active pool is preferred because it already costs
    // money, unlike one in standby.
    const bool better = donor == nullptr || (donor->standby && !row.standby) ||
                        (donor->standby == row.standby &&
                         row.have - row.wanted > donor->have - donor->wanted);
    if (!row.empty.empty() && row.have > row.wanted && better) {
      donor = &row;
    }
  }
  if (donor == nullptr) {
    return "";
  }
  std::string instance = donor->empty.back();
  donor->empty.pop_back();
  --donor->have;
  return instance;
}

void PoolBalancer::AddMove(const std::string& instance, const std::string& pool,
                           TimePoint now, std::vector<InstanceMove>& moves) {
  this->pending_moves[instance] =
      PendingMove{pool, now + this->config.arrival_window};
  moves.push_back(InstanceMove{instance, pool});
}

std::vector<InstanceMove> PoolBalancer::Plan(
    const std::vector<PoolDemand>& demands,
    const std::vector<PooledInstance>& instances, TimePoint now) {
  std::map<std::string, PoolBalance> balances =
      this->ComputeBalances(demands, instances, now);
  std::vector<InstanceMove> moves;
  while (moves.size() < this->config.moves_per_round) {
    const auto neediest = std::max_element(
        balances.begin(), balances.end(), [](const auto& a, const auto& b) {
          const auto missing = [](const PoolBalance& row) {
            return static_cast<std::int64_t>(row.wanted) -
                   static_cast<std::int64_t>(row.have);
          };
          return missing(a.second) < missing(b.second);
        });
    if (neediest == balances.end() ||
        neediest->second.wanted <= neediest->second.have) {
      break;
    }
    const std::string donor = TakeDonor(balances);
    if (donor.empty()) {
      break;
    }
    ++neediest->second.have;
    this->AddMove(donor, neediest->first, now, moves);
  }
  const auto standby =
      std::find_if(balances.begin(), balances.end(),
                   [](const auto& row) { return row.second.standby; });
  if (standby == balances.end()) {
    return moves;
  }
  for (auto& [pool, row] : balances) {
    while (!row.standby && row.have > row.wanted && !row.empty.empty() &&
           moves.size() < this->config.moves_per_round &&
           now - this->idle_since.at(row.empty.back()) >=
               this->config.idle_before_standby) {
      this->AddMove(row.empty.back(), standby->first, now, moves);
      row.empty.pop_back();
      --row.have;
    }
  }
  return moves;
}

}  // namespace mimosastage::jobs
