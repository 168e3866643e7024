#ifndef MIMOSASTAGE_JOBS_CONFIGURATION_CHECK_H_
#define MIMOSASTAGE_JOBS_CONFIGURATION_CHECK_H_

#include <optional>
#include <string>

#include "mimosastage/jobs/records.h"

namespace mimosastage::jobs {

/// Why the configuration can't be in force, with the remedy, or nothing.
std::optional<std::string> FindProblem(const Configuration& configuration);

/// Why the job can't be accepted, or nothing. `most_tasks` bounds the tasks of
/// all occurrences together.
std::optional<std::string> FindProblem(const JobRequest& job,
                                       std::size_t max_tasks);

}  // namespace mimosastage::jobs

#endif  // MIMOSASTAGE_JOBS_CONFIGURATION_CHECK_H_
