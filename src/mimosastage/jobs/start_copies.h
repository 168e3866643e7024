#ifndef MIMOSASTAGE_JOBS_START_COPIES_H_
#define MIMOSASTAGE_JOBS_START_COPIES_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "mimosastage/base/time.h"
#include "mimosastage/jobs/records.h"

namespace mimosastage::jobs {

/// The copies of start orders that may still be executed. A worker refuses a
/// copy once the run has ended there, but its next incarnation under the same
/// id knows neither the run nor the fencing token of the order. Not
/// thread-safe.
class StartCopies {
 public:
  /// An order is executed at most `execution_delay` after it was sent.
  explicit StartCopies(std::chrono::milliseconds execution_delay)
      : execution_delay(execution_delay) {}

  /// Records a copy that is sent at `now`. `order` is unique.
  void OnSent(const TaskId& task, std::uint32_t run, std::uint64_t order,
              TimePoint now);
  /// A worker has refused the copy, or it was never sent.
  void OnRefused(const TaskId& task, std::uint64_t order);
  /// A worker has confirmed the copy. It may have executed another one before.
  void OnConfirmed(const TaskId& task, std::uint64_t order);
  /// The copy got no answer within its timeout.
  void OnUnanswered(const TaskId& task, std::uint64_t order);
  /// An earlier leader has sent a copy that may be unanswered and be executed
  /// until `latest_execution`.
  void AddForeign(const TaskId& task, std::uint32_t run,
                  TimePoint latest_execution);
  /// A worker has listed the run, so it has executed one of the copies.
  void OnListed(const TaskId& task, std::uint32_t run);

  /// Returns until when a copy of a start of the task may be executed; nullopt
  /// if none is left.
  std::optional<TimePoint> LatestExecution(const TaskId& task,
                                           TimePoint now) const;
  /// True if a copy of this run's start may be executed.
  bool MayBeExecuted(const TaskId& task, std::uint32_t run,
                     TimePoint now) const;

  /// Removes the unanswered copies that can't be executed any more.
  void ForgetExpired(TimePoint now);
  /// Number of tasks with a copy.
  std::size_t Size() const { return this->copies.size(); }

 private:
  struct Copy {
    std::uint32_t run = 0;
    /// 0 for a copy of an earlier leader.
    std::uint64_t order = 0;
    TimePoint latest_execution{};
    /// The run is known to have begun, but not by which copy.
    bool may_be_surplus = false;
  };
  struct UnansweredCopy {
    TimePoint latest_execution{};
    TaskId task;
  };

  /// Erases the task's copies for which the predicate is true.
  template <class Predicate>
  void Erase(const TaskId& task, const Predicate& predicate);

  std::chrono::milliseconds execution_delay;
  std::map<TaskId, std::vector<Copy>> copies;
  /// Approximately by time, because timeouts differ little.
  std::deque<UnansweredCopy> unanswered;
};

}  // namespace mimosastage::jobs

#endif  // MIMOSASTAGE_JOBS_START_COPIES_H_
