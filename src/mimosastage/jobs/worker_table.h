#ifndef MIMOSASTAGE_JOBS_WORKER_TABLE_H_
#define MIMOSASTAGE_JOBS_WORKER_TABLE_H_

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "mimosastage/jobs/records.h"

namespace mimosastage::jobs {

/// The records of workers by id, indexed by their instance and address. Several
/// may share an instance or an address until the earlier ones are removed.
class WorkerTable {
 public:
  using Rows = std::map<std::string, Worker>;
  /// Ordered by id.
  using Group = std::vector<const Worker*>;

  WorkerTable() = default;
  ~WorkerTable() = default;
  WorkerTable(const WorkerTable&) = delete;
  WorkerTable& operator=(const WorkerTable&) = delete;
  WorkerTable(WorkerTable&&) = default;
  WorkerTable& operator=(WorkerTable&&) = default;

  const Rows& All() const { return this->rows; }
  const Group& OnInstance(const std::string& instance) const;
  const Group& AtAddress(const std::string& address) const;
  /// Adds the record, or replaces the one with its id.
  void Put(const Worker& worker);
  /// Removes the record if it is of the incarnation born at `born_ms`.
  bool Remove(const std::string& id, std::int64_t born_ms);

 private:
  using Index = std::unordered_map<std::string, Group>;

  static void AddTo(Index& index, const std::string& key, const Worker& worker);
  static void RemoveFrom(Index& index, const std::string& key,
                         const Worker& worker);
  static const Group& Find(const Index& index, const std::string& key);

  Rows rows;
  Index by_instance;
  Index by_address;
};

}  // namespace mimosastage::jobs

#endif  // MIMOSASTAGE_JOBS_WORKER_TABLE_H_
