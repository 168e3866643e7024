#include "mimosastage/jobs/placement.h"

#include <algorithm>
#include <limits>
#include <tuple>
#include <utility>

#include "mimosastage/jobs/value_bounds.h"

namespace mimosastage::jobs {
namespace {

const std::string kNoRack;

bool HasLabel(const CandidateWorker& candidate, const std::string& label) {
  return label.empty() ||
         std::find(candidate.labels.begin(), candidate.labels.end(), label) !=
             candidate.labels.end();
}

/// False if the worker isn't approved for the step or runs as many of its tasks
/// as it may.
bool Admits(const StepDemand& demand, const CandidateWorker& candidate,
            const std::map<std::string, std::size_t>& on_worker) {
  if (demand.approved != nullptr && !demand.approved->contains(candidate.id)) {
    return false;
  }
  if (demand.step->most_per_worker == 0) {
    return true;
  }
  const auto found = on_worker.find(candidate.id);
  return found == on_worker.end() ||
         found->second < demand.step->most_per_worker;
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
             TeamQuota* team, std::vector<Assignment>& assignments)
      : demand(demand),
        candidates(candidates),
        team(team),
        assignments(assignments),
        first(assignments.size()) {
    if (demand.step->most_per_worker > 0) {
      this->on_worker = demand.on_worker;
    }
  }

  StepPlacement Run(std::size_t limit) {
    bool reached = false;
    for (const std::uint32_t index : this->demand.waiting) {
      reached = !this->demand.step->gang &&
                this->assignments.size() - this->first >= limit;
      if (reached || !this->PlaceOne(index)) {
        break;
      }
    }
    const std::size_t placed = this->assignments.size() - this->first;
    if (this->demand.step->gang && placed < this->demand.waiting.size()) {
      this->Undo();
      // The resources that made the gang fail are free again.
      return this->no_room && placed == 0 ? StepPlacement::kNoRoom
                                          : StepPlacement::kTried;
    }
    return this->no_room && !reached ? StepPlacement::kNoRoom
                                     : StepPlacement::kTried;
  }

 private:
  bool CarrierHasRoom(const CandidateWorker& candidate) const {
    return candidate.starts_left == nullptr || *candidate.starts_left > 0 ||
           this->demand.step->gang;
  }

  /// Returns the best candidate for a task, or null.
  CandidateWorker* FindBest() {
    const Step& step = *this->demand.step;
    CandidateWorker* best = nullptr;
    decltype(Preference(this->demand, *best, *this->rack)) most;
    this->no_room = true;
    for (CandidateWorker& candidate : this->candidates) {
      if (!Fits(step, candidate.free) ||
          !HasLabel(candidate, step.required_label) ||
          !this->CarrierHasRoom(candidate)) {
        continue;
      }
      this->no_room = false;
      if (!Admits(this->demand, candidate, this->on_worker)) {
        continue;
      }
      const auto preference = Preference(this->demand, candidate, *this->rack);
      if (best == nullptr || most < preference) {
        best = &candidate;
        most = preference;
      }
    }
    return best;
  }

  bool PlaceOne(std::uint32_t index) {
    const Step& step = *this->demand.step;
    if (this->team != nullptr && !this->team->Admits(NeedOf(step))) {
      this->no_room = true;
      return false;
    }
    // The worker of the previous task stays the best one while it has room: its
    // rack is the preferred one, and it only becomes fuller.
    const bool is_still_best =
        this->latest != nullptr && Fits(step, this->latest->free) &&
        this->CarrierHasRoom(*this->latest) &&
        Admits(this->demand, *this->latest, this->on_worker);
    CandidateWorker* const candidate =
        is_still_best ? this->latest : this->FindBest();
    this->latest = candidate;
    if (candidate == nullptr) {
      return false;
    }
    Subtract(candidate->free, Charge(step));
    candidate->fillers += step.filler ? 1 : 0;
    candidate->serving += IsServing(step) ? 1 : 0;
    if (this->team != nullptr) {
      Subtract(this->team->free, NeedOf(step));
    }
    if (candidate->starts_left != nullptr && !step.gang) {
      --*candidate->starts_left;
    }
    if (step.most_per_worker > 0) {
      ++this->on_worker[candidate->id];
    }
    if (this->rack->empty()) {
      this->rack = &candidate->Rack();
    }
    TaskId task = this->demand.first;
    task.index = index;
    this->assignments.push_back(Assignment{
        std::move(task),
        static_cast<std::size_t>(candidate - this->candidates.data())});
    return true;
  }

  void Undo() {
    const Step& step = *this->demand.step;
    for (std::size_t i = this->first; i < this->assignments.size(); ++i) {
      CandidateWorker& candidate =
          this->candidates[this->assignments[i].candidate];
      Add(candidate.free, Charge(step));
      candidate.fillers -= step.filler ? 1 : 0;
      candidate.serving -= IsServing(step) ? 1 : 0;
      if (this->team != nullptr) {
        Add(this->team->free, NeedOf(step));
      }
    }
    this->assignments.resize(this->first);
  }

  const StepDemand& demand;
  std::vector<CandidateWorker>& candidates;
  TeamQuota* team;
  std::vector<Assignment>& assignments;
  /// Number of assignments that were made for earlier steps.
  std::size_t first;
  std::map<std::string, std::size_t> on_worker;
  const std::string* rack = &kNoRack;
  /// The worker of the latest placed task.
  CandidateWorker* latest = nullptr;
  bool no_room = false;
};

}  // namespace

bool Fits(const Step& step, const Amount& free) {
  const Amount need = NeedOf(step);
  return (step.filler || need.millicores <= free.millicores) &&
         need.memory_mb <= free.memory_mb &&
         need.accelerators <= free.accelerators;
}

Amount Charge(const Step& step) {
  Amount need = NeedOf(step);
  if (step.filler) {
    need.millicores = 0;
  }
  return need;
}

bool IsServing(const Step& step) {
  return step.tail_target_ms > 0 && !step.filler;
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

Amount MostFree(const std::vector<CandidateWorker>& candidates) {
  Amount most;
  most.millicores = most.memory_mb = most.accelerators =
      std::numeric_limits<std::int64_t>::min();
  for (const CandidateWorker& candidate : candidates) {
    if (candidate.starts_left == nullptr || *candidate.starts_left > 0) {
      most.millicores = std::max(most.millicores, candidate.free.millicores);
      most.memory_mb = std::max(most.memory_mb, candidate.free.memory_mb);
      most.accelerators =
          std::max(most.accelerators, candidate.free.accelerators);
    }
  }
  return most;
}

const std::string& CandidateWorker::Rack() const {
  return this->labels.size() > 1 ? this->labels[1] : kNoRack;
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

StepPlacement PlaceStep(const StepDemand& demand,
                        std::vector<CandidateWorker>& candidates,
                        TeamQuota* team, std::vector<Assignment>& assignments,
                        std::size_t limit) {
  return StepPlacer(demand, candidates, team, assignments).Run(limit);
}

std::vector<Assignment> Place(const std::vector<StepDemand>& demands,
                              std::vector<CandidateWorker>& candidates,
                              std::map<std::string, TeamQuota>& teams) {
  std::vector<Assignment> all;
  for (const StepDemand& demand : demands) {
    const auto team = teams.find(demand.team);
    PlaceStep(demand, candidates, team == teams.end() ? nullptr : &team->second,
              all);
  }
  return all;
}

bool PlacedBefore(const StepUrgency& a, const StepUrgency& b) {
  const auto rank = [](const StepUrgency& step) {
    const bool late = step.slack.count() < 0;
    // Long-running steps come first whatever their team uses.
    const ShareRank share = step.long_running ? ShareRank{} : step.share;
    return std::make_tuple(!step.long_running, step.priority, late, share,
                           !late && !step.begun, step.slack);
  };
  return rank(a) < rank(b);
}

}  // namespace mimosastage::jobs
