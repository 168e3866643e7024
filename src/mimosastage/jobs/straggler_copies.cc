#include "mimosastage/jobs/straggler_copies.h"

#include <algorithm>
#include <tuple>

namespace mimosastage::jobs {

std::size_t StragglerCopies::Room(std::size_t running,
                                  std::size_t copied) const {
  const std::size_t most =
      running / std::max<std::size_t>(1, this->config.divisor);
  return most - std::min(most, copied);
}

std::vector<StragglerCopies::RunningOriginal> StragglerCopies::Select(
    std::vector<RunningOriginal> originals) {
  std::erase_if(originals, [](const RunningOriginal& original) {
    return original.elapsed <= original.tail ||
           original.remaining <= original.expected;
  });
  std::sort(originals.begin(), originals.end(),
            [](const RunningOriginal& a, const RunningOriginal& b) {
              return std::tie(b.remaining, a.task) <
                     std::tie(a.remaining, b.task);
            });
  return originals;
}

std::optional<std::size_t> StragglerCopies::ChooseWorker(
    const Step& step, const RunningOriginal& original,
    const std::map<std::string, std::size_t>& on_worker,
    const std::vector<CandidateWorker>& candidates) {
  const auto may_run = [&](const CandidateWorker& candidate) {
    if (candidate.suspect || candidate.id == original.worker ||
        candidate.Rack().empty() || original.rack.empty() ||
        candidate.Rack() == original.rack || !Fits(step, candidate.free)) {
      return false;
    }
    if (!step.required_label.empty() &&
        std::find(candidate.labels.begin(), candidate.labels.end(),
                  step.required_label) == candidate.labels.end()) {
      return false;
    }
    const auto count = on_worker.find(candidate.id);
    return step.most_per_worker == 0 || count == on_worker.end() ||
           count->second < step.most_per_worker;
  };
  std::optional<std::size_t> best;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (may_run(candidates[i]) &&
        (!best.has_value() ||
         candidates[i].free.millicores < candidates[*best].free.millicores)) {
      best = i;
    }
  }
  return best;
}

}  // namespace mimosastage::jobs
