#include "mimosastage/jobs/worker_table.h"

#include <algorithm>

namespace mimosastage::jobs {

const WorkerTable::Group& WorkerTable::OnInstance(
    const std::string& instance) const {
  return Find(this->by_instance, instance);
}

const WorkerTable::Group& WorkerTable::AtAddress(
    const std::string& address) const {
  return Find(this->by_address, address);
}

void WorkerTable::Put(const Worker& worker) {
  const auto [row, is_new] = this->rows.try_emplace(worker.id);
  Worker& record = row->second;
  if (!is_new) {
    RemoveFrom(this->by_instance, record.machine, record);
    RemoveFrom(this->by_address, record.address, record);
  }
  record = worker;
  AddTo(this->by_instance, record.machine, record);
  AddTo(this->by_address, record.address, record);
}

bool WorkerTable::Remove(const std::string& id, std::int64_t born_ms) {
  const auto row = this->rows.find(id);
  if (row == this->rows.end() || row->second.born_ms != born_ms) {
    return false;
  }
  RemoveFrom(this->by_instance, row->second.machine, row->second);
  RemoveFrom(this->by_address, row->second.address, row->second);
  this->rows.erase(row);
  return true;
}

void WorkerTable::AddTo(Index& index, const std::string& key,
                        const Worker& worker) {
  Group& group = index[key];
  const auto after = std::upper_bound(
      group.begin(), group.end(), &worker,
      [](const Worker* a, const Worker* b) { return a->id < b->id; });
  group.insert(after, &worker);
}

void WorkerTable::RemoveFrom(Index& index, const std::string& key,
                             const Worker& worker) {
  const auto group = index.find(key);
  std::erase(group->second, &worker);
  if (group->second.empty()) {
    index.erase(group);
  }
}

const WorkerTable::Group& WorkerTable::Find(const Index& index,
                                            const std::string& key) {
  static const Group kNone;
  const auto group = index.find(key);
  return group == index.end() ? kNone : group->second;
}

}  // namespace mimosastage::jobs
