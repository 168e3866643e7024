#include "mimosastage/jobs/configuration_check.h"

#include <algorithm>
#include <set>
#include <utility>

#include "mimosastage/jobs/fleet_state.h"

namespace mimosastage::jobs {
namespace {

constexpr std::size_t kMaxSpecificationBytes = 4'000;
constexpr std::size_t kMaxSteps = 256;

std::optional<std::string> FindProblem(const Queue& queue,
                                       const std::set<std::string>& pools) {
  if (!pools.contains(queue.pool)) {
    return "queue " + queue.name + " names the unknown pool " + queue.pool +
           "; add the pool or correct the name";
  }
  if (queue.timeout_ms == 0) {
    return "queue " + queue.name + " has a timeout of 0; set a longer one";
  }
  return std::nullopt;
}

}  // namespace

std::optional<std::string> FindProblem(const Configuration& configuration) {
  if (configuration.version == 0) {
    return "the version is 0; versions start at 1";
  }
  std::set<std::string> pools;
  for (const auto& pool : configuration.pools) {
    if (!pools.insert(pool->name).second) {
      return "the pool " + pool->name + " occurs twice; remove one";
    }
  }
  std::set<std::string> names;
  std::set<std::pair<std::string, std::string>> locations;
  for (const auto& queue : configuration.queues) {
    if (auto problem = FindProblem(*queue, pools); problem.has_value()) {
      return problem;
    }
    if (!names.insert(queue->name).second) {
      return "the queue " + queue->name + " occurs twice; remove one";
    }
    if (!locations.emplace(queue->host, queue->path_prefix).second) {
      return "two queues share the host " + queue->host + " and the prefix " +
             queue->path_prefix + "; change one";
    }
  }
  std::set<std::string> teams;
  std::set<std::string> keys;
  for (const auto& team : configuration.teams) {
    if (!teams.insert(team->name).second) {
      return "the team " + team->name + " occurs twice; remove one";
    }
    for (const std::string& key : team->keys) {
      if (!keys.insert(key).second) {
        return "two teams share a key, one of them " + team->name +
               "; give each its own";
      }
    }
  }
  return std::nullopt;
}

std::optional<std::string> FindProblem(const JobRequest& job,
                                       std::size_t max_tasks) {
  if (job.specification.size() > kMaxSpecificationBytes) {
    return "the specification is longer than 4,000 bytes";
  }
  if (job.steps.empty() || job.steps.size() > kMaxSteps) {
    return "a job must have 1 to 256 steps";
  }
  for (std::size_t i = 0; i < job.steps.size(); ++i) {
    const Step& step = *job.steps[i];
    const bool earlier_only =
        std::all_of(step.after.begin(), step.after.end(),
                    [&](std::uint32_t earlier) { return earlier < i; });
    if (step.tasks == 0 || !earlier_only) {
      return "step " + std::to_string(i) +
             " has no tasks, or depends on itself or a later step";
    }
    if (step.need == nullptr || step.need->millicores < 0 ||
        step.need->memory_mb < 0 || step.need->accelerators < 0) {
      return "step " + std::to_string(i) +
             " needs a negative amount; use 0 or more";
    }
  }
  if (FleetState::TaskCount(job) > max_tasks) {
    return "the job has more than " + std::to_string(max_tasks) +
           " tasks; split it";
  }
  return std::nullopt;
}

}  // namespace mimosastage::jobs
