#include "mimosastage/fleet/worker_directory.h"

namespace mimosastage {

WorkerDirectory::WorkerDirectory(TimePoint start) : start(start) {}

bool WorkerDirectory::Handle(const WorkerReport& report, TimePoint now) {
  auto [it, added] = this->by_worker.try_emplace(report.worker);
  auto& entry = it->second;
  if (!added) {
    const auto& last = entry.report;
    if (report.boot_id == entry.previous_boot_id) return false;
    if (report.boot_id == last.boot_id &&
        report.measured_at < last.measured_at) {
      return false;
    }
    if (report.boot_id != last.boot_id) entry.previous_boot_id = last.boot_id;
  }
  entry.report = report;
  entry.received = now;
  return true;
}

const WorkerDirectory::Entry* WorkerDirectory::Find(
    const InstanceName& worker) const {
  const auto it = this->by_worker.find(worker);
  return it == this->by_worker.end() ? nullptr : &it->second;
}

Duration WorkerDirectory::Silence(const InstanceName& worker,
                                  TimePoint now) const {
  const auto* entry = this->Find(worker);
  return now - (entry == nullptr ? this->start : entry->received);
}

}  // namespace mimosastage
