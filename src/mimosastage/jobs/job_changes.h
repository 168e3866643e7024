#ifndef MIMOSASTAGE_JOBS_JOB_CHANGES_H_
#define MIMOSASTAGE_JOBS_JOB_CHANGES_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>

namespace mimosastage::jobs {

/// A change of one step, or of a whole job.
struct JobChange {
  struct StepNumber {
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
  };

  std::string job;
  /// Empty if any step of the job may have changed.
  std::optional<StepNumber> step;
};

/// The latest changes of jobs, so that a reader can update what it derives from
/// the jobs without visiting all of them. Of bounded length.
class JobChanges {
 public:
  void Add(JobChange change);
  /// Records that any job may have changed.
  void AddAll();

  /// Passes the changes after `position` to `visit` in their order, and
  /// advances `position`. Returns false without a visit if some of them aren't
  /// known any more, or if any job may have changed.
  bool ReadSince(std::uint64_t& position,
                 const std::function<void(const JobChange&)>& visit) const;

 private:
  /// Number of the first change in `changes`. Starts at 1, so that position 0
  /// is before every change.
  std::uint64_t first = 1;
  std::deque<JobChange> changes;
};

}  // namespace mimosastage::jobs

#endif  // MIMOSASTAGE_JOBS_JOB_CHANGES_H_
