#ifndef MIMOSASTAGE_FLEET_WORKER_DIRECTORY_H_
#define MIMOSASTAGE_FLEET_WORKER_DIRECTORY_H_

#include <cstdint>
#include <map>
#include <optional>

#include "mimosastage/base/names.h"
#include "mimosastage/base/time.h"
#include "mimosastage/fleet/worker_report.h"

namespace mimosastage {

/// Holds the last report of each worker.
class WorkerDirectory {
 public:
  struct Entry {
    WorkerReport report;
    TimePoint received{};
    /// Boot ID of the worker's previous run, whose late reports are ignored.
    std::optional<std::uint64_t> previous_boot_id;
  };

  /// `start` is when this leader started. Time before it doesn't count as
  /// silence.
  explicit WorkerDirectory(TimePoint start);

  /// Stores a report. Returns false and ignores it if a newer report of the
  /// worker has already arrived.
  bool Handle(const WorkerReport& report, TimePoint now);

  /// Returns nullptr if the worker hasn't reported to this leader.
  const Entry* Find(const InstanceName& worker) const;

  /// Time since the worker's last report, or since `start` if there is none.
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
