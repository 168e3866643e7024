#include "mimosastage/jobs/queue_table.h"

namespace mimosastage::jobs {

void QueueTable::Assign(const Configuration& configuration) {
  this->by_location.clear();
  this->by_name.clear();
  for (const auto& queue : configuration.queues) {
    // A copy, so that a job that keeps a removed queue doesn't keep the whole
    // configuration.
    const auto copy = std::make_shared<const Queue>(*queue);
    this->by_location[LocationOf(*queue)] = copy;
    this->by_name[queue->name] = copy;
  }
}

std::shared_ptr<const Queue> QueueTable::FindByName(
    std::string_view name) const {
  const auto found = this->by_name.find(std::string(name));
  return found == this->by_name.end() ? nullptr : found->second;
}

const Queue* QueueTable::ForCall(std::string_view host,
                                 std::string_view path) const {
  const Queue* best = nullptr;
  for (auto row = this->by_location.lower_bound({std::string(host), ""});
       row != this->by_location.end() && row->first.first == host; ++row) {
    const std::string& prefix = row->first.second;
    if (path.starts_with(prefix) &&
        (best == nullptr || prefix.size() > best->path_prefix.size())) {
      best = row->second.get();
    }
  }
  return best;
}

std::shared_ptr<const Queue> QueueTable::HolderOf(
    const JobRequest& job, std::shared_ptr<const Queue> last) const {
  if (const auto found = this->by_location.find({job.host, job.path_prefix});
      found != this->by_location.end()) {
    return found->second;
  }
  if (auto moved = this->FindByName(last == nullptr ? job.queue : last->name);
      moved != nullptr) {
    return moved;
  }
  return last;
}

bool QueueTable::Contains(const Queue& queue) const {
  const auto found = this->by_location.find(LocationOf(queue));
  return found != this->by_location.end() && found->second->name == queue.name;
}

}  // namespace mimosastage::jobs
