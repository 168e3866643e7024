#include <algorithm>

#include "mimosastage/jobs/dispatcher.h"

namespace mimosastage::jobs {
namespace {

using std::chrono::milliseconds;

/// Runs that one log line names; a worker can hold hundreds.
constexpr std::size_t kRunsPerLine = 12;

}  // namespace

std::optional<milliseconds> Dispatcher::AgeOf(const Session& session,
                                              const Run& run) {
  if (!run.running_since.has_value()) {
    return std::nullopt;
  }
  const TimePoint until =
      session.unanswered_orders > 0 ? session.alive_until : session.last_answer;
  return std::chrono::floor<milliseconds>(
      std::max(Duration::zero(), until - *run.running_since));
}

bool Dispatcher::EndWasPlanned(const std::string& id,
                               const Session& session) const {
  if (session.draining || session.leaving) {
    return true;
  }
  const auto worker = this->state.Workers().find(id);
  if (worker == this->state.Workers().end()) {
    return false;
  }
  // A move or an upkeep ends the worker. Its answer may be lost, or an earlier
  // leader may have ordered it.
  const auto ordered = this->state.OrderedAt().find(worker->second.machine);
  return ordered != this->state.OrderedAt().end() &&
         ordered->second >= session.born_ms &&
         this->hooks.wall_time() - milliseconds(ordered->second) <
             this->config.instance_lease + this->config.clock_tolerance;
}

void Dispatcher::OnWorkerCrashed(const std::string& id, const Session& session,
                                 const char* reason) {
  std::string detail = std::string(reason) + "; it held " +
                       std::to_string(session.runs.size()) + " runs:";
  std::size_t named = 0;
  for (const auto& [key, run] : session.runs) {
    if (run.stage == RunStage::kLogging || named == kRunsPerLine) {
      continue;
    }
    ++named;
    const auto age = AgeOf(session, run);
    detail += " " + ToString(key.first) + " run " + std::to_string(key.second) +
              (age.has_value() ? " age " + std::to_string(age->count()) + " ms"
                               : " unconfirmed");
  }
  this->hooks.report("worker_crashed", id, detail);
}

}  // namespace mimosastage::jobs
