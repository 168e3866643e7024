#include "mimosastage/jobs/placement.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace mimosastage::jobs {
namespace {

bool HasLabel(const CandidateWorker& candidate, const std::string& label) {
  return label.empty() ||
         std::find(candidate.labels.begin(), candidate.labels.end(), label) !=
             candidate.labels.end();
}

bool CanTake(const StepDemand& demand, const CandidateWorker& candidate,
             const std::map<std::string, std::size_t>& on_worker) {
  const Step& step = *demand.step;
  if (!Fits(step, candidate.free) ||
      !HasLabel(candidate, step.required_label)) {
    return false;
  }
  if (demand.approved != nullptr && !demand.approved->contains(candidate.id)) {
    return false;
  }
  const auto found = on_worker.find(candidate.id);
  return step.most_per_worker == 0 || found == on_worker.end() ||
         found->second < step.most_per_worker;
}

/// Sort key of a candidate; larger is better. Healthy workers come first, then
/// those in the preferred rack, then those with the least interference between
/// fillers and serving tasks, then the fullest ones.
auto Preference(const StepDemand& demand, const CandidateWorker& candidate,
                const std::string& rack) {
  const Step& step = *demand.step;
  const bool near =
      (!step.data_rack.empty() && candidate.Rack() == step.data_rack) ||
      (step.same_rack && !rack.empty() && candidate.Rack() == rack);
  const std::int64_t interference =
      step.filler ? -static_cast<std::int64_t>(candidate.serving)
                  : -static_cast<std::int64_t>(
                        step.tail_target_ms > 0 ? candidate.fillers : 0);
  // Packing tasks onto few workers keeps the others free to be moved to another
  // pool or to take large tasks.
  return std::make_tuple(!candidate.suspect, near, interference,
                         -candidate.free.millicores);
}

/// Places the waiting tasks of one step. If the step is a gang and not all of
/// its tasks fit, all reservations are undone.
class StepPlacer {
 public:
  StepPlacer(const StepDemand& demand, std::vector<CandidateWorker>& candidates,
             TeamQuota* team)
      : demand(demand),
        candidates(candidates),
        team(team),
        on_worker(demand.on_worker) {}

  /// Places at most `limit` tasks. A gang is placed as a whole, so it may
  /// exceed the limit.
  std::vector<Assignment> Run(std::size_t limit) {
    for (const std::uint32_t index : this->demand.waiting) {
      const bool reached =
          !this->demand.step->gang && this->placed.size() >= limit;
      if (reached || !this->PlaceOne(index)) {
        break;
      }
    }
    if (this->demand.step->gang &&
        this->placed.size() < this->demand.waiting.size()) {
      this->Undo();
    }
    return std::move(this->placed);
  }

 private:
  bool PlaceOne(std::uint32_t index) {
    const Step& step = *this->demand.step;
    const Amount need = Charge(step);
    if (this->team != nullptr && !this->team->Admits(*step.need)) {
      return false;
    }
    std::size_t best = this->candidates.size();
    for (std::size_t i = 0; i < this->candidates.size(); ++i) {
      if (CanTake(this->demand, this->candidates[i], this->on_worker) &&
          (best == this->candidates.size() ||
           Preference(this->demand, this->candidates[best], this->rack) <
               Preference(this->demand, this->candidates[i], this->rack))) {
        best = i;
      }
    }
    if (best == this->candidates.size()) {
      return false;
    }
    CandidateWorker& candidate = this->candidates[best];
    Subtract(candidate.free, need);
    candidate.fillers += step.filler ? 1 : 0;
    candidate.serving += step.tail_target_ms > 0 && !step.filler ? 1 : 0;
    if (this->team != nullptr) {
      Subtract(this->team->free, *step.need);
    }
    ++this->on_worker[candidate.id];
    if (this->rack.empty()) {
      this->rack = candidate.Rack();
    }
    TaskId task = this->demand.first;
    task.index = index;
    this->placed.push_back(Assignment{std::move(task), best});
    return true;
  }

  void Undo() {
    const Step& step = *this->demand.step;
    for (const Assignment& assignment : this->placed) {
      CandidateWorker& candidate = this->candidates[assignment.candidate];
      Add(candidate.free, Charge(step));
      candidate.fillers -= step.filler ? 1 : 0;
      candidate.serving -= step.tail_target_ms > 0 && !step.filler ? 1 : 0;
      if (this->team != nullptr) {
        Add(this->team->free, *step.need);
      }
    }
    this->placed.clear();
  }

  const StepDemand& demand;
  std::vector<CandidateWorker>& candidates;
  TeamQuota* team;
  std::map<std::string, std::size_t> on_worker;
  std::string rack;
  std::vector<Assignment> placed;
};

}  // namespace

bool Fits(const Step& step, const Amount& free) {
  const Amount& need = *step.need;
  return (step.filler || need.millicores <= free.millicores) &&
         need.memory_mb <= free.memory_mb &&
         need.accelerators <= free.accelerators;
}

Amount Charge(const Step& step) {
  Amount need = *step.need;
  if (step.filler) {
    need.millicores = 0;
  }
  return need;
}

void Add(Amount& to, const Amount& amount) {
  to.millicores += amount.millicores;
  to.memory_mb += amount.memory_mb;
  to.accelerators += amount.accelerators;
}

void Subtract(Amount& from, const Amount& amount) {
  from.millicores -= amount.millicores;
  from.memory_mb -= amount.memory_mb;
  from.accelerators -= amount.accelerators;
}

std::string CandidateWorker::Rack() const {
  return this->labels.size() > 1 ? this->labels[1] : "";
}

bool TeamQuota::Admits(const Amount& need) const {
  const auto admits = [](std::int64_t limit, std::int64_t free,
                         std::int64_t part) {
    return limit == 0 || part <= free;
  };
  return admits(this->limit.millicores, this->free.millicores,
                need.millicores) &&
         admits(this->limit.memory_mb, this->free.memory_mb, need.memory_mb) &&
         admits(this->limit.accelerators, this->free.accelerators,
                need.accelerators);
}

std::vector<Assignment> Place(const std::vector<StepDemand>& demands,
                              std::vector<CandidateWorker>& candidates,
                              std::map<std::string, TeamQuota>& teams,
                              std::size_t limit) {
  std::vector<Assignment> all;
  for (const StepDemand& demand : demands) {
    if (all.size() >= limit) {
      break;
    }
    const auto team = teams.find(demand.team);
    StepPlacer placer(demand, candidates,
                      team == teams.end() ? nullptr : &team->second);
    for (Assignment& assignment : placer.Run(limit - all.size())) {
      all.push_back(std::move(assignment));
    }
  }
  return all;
}

bool PlacedBefore(const StepUrgency& a, const StepUrgency& b) {
  const auto rank = [](const StepUrgency& step) {
    const bool late = step.slack.count() < 0;
    return std::make_tuple(!step.long_running, step.priority, late, step.slack);
  };
  return rank(a) < rank(b);
}

}  // namespace mimosastage::jobs
