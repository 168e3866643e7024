#ifndef MIMOSASTAGE_JOBS_CONFIGURATION_CHECK_H_
#define MIMOSASTAGE_JOBS_CONFIGURATION_CHECK_H_

#include <optional>
#include <string>

#include "mimosastage/jobs/records.h"

namespace mimosastage::jobs {

/// Returns why the configuration is invalid and how to correct it, or nullopt
/// if it is valid.
std::optional<std::string> FindProblem(const Configuration& configuration);

/// Returns why the job is invalid, or nullopt if it is valid. `max_tasks`
/// limits the total number of tasks of all occurrences.
std::optional<std::string> FindProblem(const JobRequest& job,
                                       std::size_t max_tasks);

}  // namespace mimosastage::jobs

#endif  // MIMOSASTAGE_JOBS_CONFIGURATION_CHECK_H_
