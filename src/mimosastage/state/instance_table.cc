#include "mimosastage/state/instance_table.h"

#include <algorithm>
#include <set>
#include <string>
#include <utility>

namespace mimosastage {

void InstanceTable::UpdateFromPools(const TableSet& tables) {
  std::set<InstanceName> listed;
  for (const auto& [name, pool] : tables.AllPools()) {
    listed.insert(pool.instances.begin(), pool.instances.end());
  }
  std::erase_if(this->instances, [&](const auto& item) {
    if (listed.contains(item.first)) {
      return false;
    }
    this->epoch_floor = std::max(this->epoch_floor, item.second.epoch);
    return true;
  });
  for (const auto& [name, pool] : tables.AllPools()) {
    for (const InstanceName& instance : pool.instances) {
      this->instances.try_emplace(
          instance,
          Instance{pool.name, this->epoch_floor + 1, InstanceState::kServing});
    }
  }
}

ChangeRefusal InstanceTable::Apply(const InstanceTransition& transition,
                                   const TableSet& tables) {
  const auto found = this->instances.find(transition.instance);
  if (found == this->instances.end()) {
    return {StateError::kUnknownInstance, "no pool lists instance " +
                                              transition.instance.str() +
                                              "; add it to a pool first"};
  }
  if (tables.FindPool(transition.pool.str()) == nullptr) {
    return {StateError::kUnknownPool,
            "pool " + transition.pool.str() +
                " does not exist; name a pool of the table"};
  }
  Instance& current = found->second;
  if (ChangeRefusal refusal = this->CheckMembership(transition, current);
      refusal.error) {
    return refusal;
  }
  if (ChangeRefusal refusal = this->CheckDrain(transition, current, tables);
      refusal.error) {
    return refusal;
  }
  current = {transition.pool, transition.epoch, transition.state};
  return {};
}

ChangeRefusal InstanceTable::CheckMembership(
    const InstanceTransition& transition, const Instance& current) const {
  const std::string name = transition.instance.str();
  if (transition.epoch < current.epoch) {
    return {StateError::kStaleEpoch,
            "instance " + name + " is at epoch " +
                std::to_string(current.epoch) + ", the command has epoch " +
                std::to_string(transition.epoch) + "; use the one in force"};
  }
  if (transition.pool == current.pool) {
    return {};
  }
  if (transition.epoch == current.epoch) {
    return {StateError::kEpochMustRise, "instance " + name + " is in pool " +
                                            current.pool.str() + " at epoch " +
                                            std::to_string(current.epoch) +
                                            "; raise the epoch to move it"};
  }
  if (current.state == InstanceState::kServing) {
    return {StateError::kInstanceInService,
            "instance " + name + " serves pool " + current.pool.str() +
                "; drain it before the move"};
  }
  return {};
}

ChangeRefusal InstanceTable::CheckDrain(const InstanceTransition& transition,
                                        const Instance& current,
                                        const TableSet& tables) const {
  if (current.state != InstanceState::kServing ||
      transition.state == InstanceState::kServing ||
      transition.state == InstanceState::kFailed) {
    return {};
  }
  const Pool* pool = tables.FindPool(current.pool.str());
  if (pool == nullptr) {
    return {};
  }
  const std::size_t out = this->CountOutOfService(current.pool);
  if (out < pool->availability_budget) {
    return {};
  }
  return {StateError::kBudgetSpent,
          "drain of " + transition.instance.str() + " waits: budget of pool " +
              current.pool.str() + " is " +
              std::to_string(pool->availability_budget) + ", " +
              std::to_string(out) + " of its instances are out of service"};
}

std::size_t InstanceTable::CountOutOfService(const PoolName& pool) const {
  return std::count_if(this->instances.begin(), this->instances.end(),
                       [&](const auto& item) {
                         return item.second.pool == pool &&
                                item.second.state != InstanceState::kServing;
                       });
}

const Instance* InstanceTable::Find(const InstanceName& name) const {
  const auto found = this->instances.find(name);
  return found == this->instances.end() ? nullptr : &found->second;
}

void InstanceTable::Restore(Instances instances, std::uint64_t epoch_floor) {
  this->instances = std::move(instances);
  this->epoch_floor = epoch_floor;
}

}  // namespace mimosastage
