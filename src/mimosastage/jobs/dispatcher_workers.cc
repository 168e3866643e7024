#include <algorithm>

#include "mimosastage/jobs/dispatcher.h"

namespace mimosastage::jobs {

std::vector<const Worker*> Dispatcher::WorkersLike(const Worker& worker) const {
  const WorkerTable& known = this->state.WorkersByPlace();
  std::vector<const Worker*> alike = known.AtAddress(worker.address);
  if (const auto same = known.All().find(worker.id);
      same != known.All().end()) {
    alike.push_back(&same->second);
  }
  if (!worker.machine.empty()) {
    const WorkerTable::Group& on_instance = known.OnInstance(worker.machine);
    alike.insert(alike.end(), on_instance.begin(), on_instance.end());
  }
  std::sort(alike.begin(), alike.end(),
            [](const Worker* a, const Worker* b) { return a->id < b->id; });
  alike.erase(std::unique(alike.begin(), alike.end()), alike.end());
  return alike;
}

}  // namespace mimosastage::jobs
