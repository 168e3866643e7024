#ifndef MIMOSASTAGE_JOBS_PREEMPTION_H_
#define MIMOSASTAGE_JOBS_PREEMPTION_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "mimosastage/base/time.h"
#include "mimosastage/jobs/records.h"

namespace mimosastage::jobs {

/// Most stops for the work of one team in `kPreemptionWindow`, and so most runs
/// that one preemption stops. It bounds what wrong estimates can destroy.
inline constexpr std::size_t kMaxPreemptions = 2;
inline constexpr std::chrono::milliseconds kPreemptionWindow{1'000};

/// Tasks of a step in time that fit nowhere.
struct PreemptionDemand {
  /// What one task reserves.
  Amount need;
  /// Number of tasks that must start for the step to be in time.
  std::size_t tasks = 0;
  /// Work that is lost if the step is late, in millicores times milliseconds.
  double saved_work = 0;
};

/// A run that may be stopped.
struct PreemptionCandidate {
  /// What it reserves.
  Amount charge;
  /// Work that a stop discards, in millicores times milliseconds.
  double lost_work = 0;
};

/// The runs to stop on one worker, as indices into its candidates.
struct PreemptionChoice {
  std::vector<std::size_t> stops;
  double lost_work = 0;
};

/// Returns the at most `max_stops` candidates of one worker whose end makes
/// room for all tasks of `demand` beside what is free, with the least lost
/// work. Returns nullopt if there are none, or if the saved work isn't more
/// than twice the lost work.
std::optional<PreemptionChoice> ChoosePreemption(
    const PreemptionDemand& demand, const Amount& free,
    const std::vector<PreemptionCandidate>& candidates, std::size_t max_stops);

/// Limits the stops for the work of each team to `kMaxPreemptions` in
/// `kPreemptionWindow`.
class PreemptionLimiter {
 public:
  /// How many runs may be stopped for the team now.
  std::size_t Left(const std::string& team, TimePoint now);
  void OnStop(const std::string& team, TimePoint now);

 private:
  /// Forgets the stops that no longer count, and teams without others.
  void ForgetOld(TimePoint now);

  std::map<std::string, std::deque<TimePoint>> stops;
};

}  // namespace mimosastage::jobs

#endif  // MIMOSASTAGE_JOBS_PREEMPTION_H_
