#ifndef MIMOSASTAGE_JOBS_QUEUE_TABLE_H_
#define MIMOSASTAGE_JOBS_QUEUE_TABLE_H_

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

#include "mimosastage/jobs/records.h"

namespace mimosastage::jobs {

/// The queues of a configuration, and the rule that binds a job to one of them.
class QueueTable {
 public:
  /// Host and path prefix, which are unique in a configuration.
  using Location = std::pair<std::string, std::string>;

  static Location LocationOf(const Queue& queue) {
    return {queue.host, queue.path_prefix};
  }

  /// Replaces all queues by those of the configuration.
  void Assign(const Configuration& configuration);

  /// Returns null if there is no such queue.
  std::shared_ptr<const Queue> FindByName(std::string_view name) const;

  /// Returns the queue of `host` with the longest prefix that matches `path`,
  /// or null. Valid until the next call of Assign.
  const Queue* ForCall(std::string_view host, std::string_view path) const;

  /// Returns the queue that holds the job. Its clients know it by its location,
  /// so the queue there comes first, whatever its name; the queue that has
  /// moved elsewhere under the name of `last` comes second. Without either it
  /// is `last`, the queue that held the job before, or null: an accepted job
  /// must run to its end although its queue was removed.
  std::shared_ptr<const Queue> HolderOf(
      const JobRequest& job, std::shared_ptr<const Queue> last) const;

  /// True if the configuration has this queue at its location.
  bool Contains(const Queue& queue) const;

 private:
  std::map<Location, std::shared_ptr<const Queue>> by_location;
  std::unordered_map<std::string, std::shared_ptr<const Queue>> by_name;
};

}  // namespace mimosastage::jobs

#endif  // MIMOSASTAGE_JOBS_QUEUE_TABLE_H_
