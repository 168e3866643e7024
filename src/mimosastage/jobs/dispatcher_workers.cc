#include <algorithm>

#include "mimosastage/jobs/dispatcher.h"

namespace mimosastage::jobs {

std::vector<const Worker*> Dispatcher::WorkersLike(const Worker& worker) {
  const auto& known = this->state.Workers();
  if (this->addressed_workers_version != this->state.WorkersVersion()) {
    this->addressed_workers_version = this->state.WorkersVersion();
    this->workers_by_address.clear();
    this->workers_by_instance.clear();
    for (const auto& [id, record] : known) {
      this->workers_by_address.emplace(record.address, &record);
      this->workers_by_instance.emplace(record.machine, &record);
    }
  }
  std::vector<const Worker*> alike;
  if (const auto same = known.find(worker.id); same != known.end()) {
    alike.push_back(&same->second);
  }
  const auto add_all = [&](const auto& rows) {
    for (auto row = rows.first; row != rows.second; ++row) {
      alike.push_back(row->second);
    }
  };
  add_all(this->workers_by_address.equal_range(worker.address));
  if (!worker.machine.empty()) {
    add_all(this->workers_by_instance.equal_range(worker.machine));
  }
  std::sort(alike.begin(), alike.end(),
            [](const Worker* a, const Worker* b) { return a->id < b->id; });
  alike.erase(std::unique(alike.begin(), alike.end()), alike.end());
  return alike;
}

}  // namespace mimosastage::jobs
