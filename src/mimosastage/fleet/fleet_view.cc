#include "mimosastage/fleet/fleet_view.h"

namespace mimosastage {
namespace {

// Instances listed in one message; the others are only counted.
constexpr std::size_t kMaxListedNames = 4;

std::string JoinNames(const std::set<InstanceName>& names) {
  std::string text;
  std::size_t count = 0;
  for (const auto& name : names) {
    if (++count > kMaxListedNames) {
      return text + " and " + std::to_string(names.size() - kMaxListedNames) +
             " more";
    }
    if (!text.empty()) text += ", ";
    text += name.str();
  }
  return text;
}

}  // namespace

void FleetView::SetPool(const Pool& pool) {
  auto& entry = this->pools_by_name[pool.name];
  entry.budget = pool.availability_budget;
  entry.spare = pool.spare;
  entry.slots_per_instance = pool.slots_per_instance;
  entry.weights = pool.weights;
}

void FleetView::AddInstance(const FleetInstance& instance) {
  if (const auto it = this->all.find(instance.name); it != this->all.end()) {
    this->RemoveFromPool(it->second);
  }
  this->all[instance.name] = instance;
  this->AddToPool(instance);
}

void FleetView::SetLocation(const InstanceName& name, const RackName& rack,
                            const AvailabilityZone& zone) {
  if (const auto it = this->all.find(name); it != this->all.end()) {
    it->second.rack = rack;
    it->second.zone = zone;
  }
}

void FleetView::SetUnavailable(const InstanceName& name, bool unavailable) {
  const auto it = this->all.find(name);
  if (it == this->all.end() || it->second.unavailable == unavailable) return;
  this->RemoveFromPool(it->second);
  it->second.unavailable = unavailable;
  this->AddToPool(it->second);
}

void FleetView::Apply(const InstanceTransition& transition) {
  auto [it, added] = this->all.try_emplace(transition.instance);
  auto& instance = it->second;
  if (!added && transition.epoch < instance.epoch) return;
  if (!added) this->RemoveFromPool(instance);
  instance.name = transition.instance;
  instance.pool = transition.pool;
  instance.epoch = transition.epoch;
  instance.state = transition.state;
  instance.proposed = false;
  this->AddToPool(instance);
}

void FleetView::MarkProposed(const InstanceName& name) {
  const auto it = this->all.find(name);
  if (it == this->all.end()) return;
  this->RemoveFromPool(it->second);
  it->second.proposed = true;
  this->AddToPool(it->second);
}

void FleetView::Reject(const InstanceName& name) {
  const auto it = this->all.find(name);
  if (it == this->all.end()) return;
  this->RemoveFromPool(it->second);
  it->second.proposed = false;
  this->AddToPool(it->second);
}

std::optional<std::string> FleetView::DrainRefusal(
    const InstanceName& name) const {
  const auto* instance = this->Find(name);
  if (instance == nullptr) {
    return "drain of " + name.str() + " waits: the instance is in no pool";
  }
  const auto& pool = this->pools_by_name.at(instance->pool);
  const bool adds = !instance->OutOfService();
  const auto out_after = pool.out_of_service.size() + (adds ? 1 : 0);
  if (out_after <= pool.budget) return std::nullopt;
  return "drain of " + name.str() + " waits: budget of pool " +
         instance->pool.str() + " is " + std::to_string(pool.budget) +
         ", used by " + JoinNames(pool.out_of_service);
}

const FleetInstance* FleetView::Find(const InstanceName& name) const {
  const auto it = this->all.find(name);
  return it == this->all.end() ? nullptr : &it->second;
}

const FleetView::PoolEntry* FleetView::FindPool(const PoolName& name) const {
  const auto it = this->pools_by_name.find(name);
  return it == this->pools_by_name.end() ? nullptr : &it->second;
}

void FleetView::RemoveFromPool(const FleetInstance& instance) {
  auto& pool = this->pools_by_name[instance.pool];
  pool.instances.erase(instance.name);
  pool.out_of_service.erase(instance.name);
  pool.failed.erase(instance.name);
}

void FleetView::AddToPool(const FleetInstance& instance) {
  auto& pool = this->pools_by_name[instance.pool];
  pool.instances.insert(instance.name);
  if (instance.OutOfService()) pool.out_of_service.insert(instance.name);
  if (instance.state == InstanceState::kFailed || instance.unavailable) {
    pool.failed.insert(instance.name);
  }
}

}  // namespace mimosastage
