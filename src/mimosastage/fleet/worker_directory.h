#ifndef MIMOSASTAGE_FLEET_WORKER_DIRECTORY_H_
#define MIMOSASTAGE_FLEET_WORKER_DIRECTORY_H_

#include <cstdint>
#include <map>
#include <optional>

#include "mimosastage/base/names.h"
#include "mimosastage/base/time.h"
#include "mimosastage/fleet/worker_report.h"

namespace mimosastage {

/// The last report of each worker.
class WorkerDirectory {
 public:
  struct Entry {
    WorkerReport report;
    TimePoint received{};
    /// The run before this one; its late reports are ignored.
    std::optional<std::uint64_t> previous_boot_id;
  };

  /// `start` is when this leader began; silence before it isn't counted.
  explicit WorkerDirectory(TimePoint start);

  /// Takes over a report. Returns false, and ignores it, if a newer one of this
  /// worker has arrived.
  bool Handle(const WorkerReport& report, TimePoint now);

  /// Nothing if the worker hasn't reported to this leader.
  const Entry* Find(const InstanceName& worker) const;

  /// Time since the last report, or since the start without one.
  Duration Silence(const InstanceName& worker, TimePoint now) const;

  const std::map<InstanceName, Entry>& entries() const {
    return this->by_worker;
  }

 private:
  TimePoint start;
  std::map<InstanceName, Entry> by_worker;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_FLEET_WORKER_DIRECTORY_H_
