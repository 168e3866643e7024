#include "mimosastage/jobs/placement.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace mimosastage::jobs {
namespace {

bool HasLabel(const WorkerRoom& room, const std::string& label) {
  return label.empty() || std::find(room.labels.begin(), room.labels.end(),
                                    label) != room.labels.end();
}

bool MayTake(const StepDemand& demand, const WorkerRoom& room,
             const std::map<std::string, std::size_t>& on_worker) {
  const Step& step = *demand.step;
  if (!Fits(step, room.free) || !HasLabel(room, step.required_label)) {
    return false;
  }
  if (demand.approved != nullptr && !demand.approved->contains(room.id)) {
    return false;
  }
  const auto found = on_worker.find(room.id);
  return step.most_per_worker == 0 || found == on_worker.end() ||
         found->second < step.most_per_worker;
}

/// Larger is better. The near rack comes first; then the fullest worker.
auto Preference(const StepDemand& demand, const WorkerRoom& room,
                const std::string& rack) {
  const Step& step = *demand.step;
  const bool near =
      (!step.data_rack.empty() && room.Rack() == step.data_rack) ||
      (step.same_rack && !rack.empty() && room.Rack() == rack);
  const std::int64_t apart =
      step.filler ? -static_cast<std::int64_t>(room.serving)
                  : -static_cast<std::int64_t>(
                        step.tail_target_ms > 0 ? room.fillers : 0);
  // Tasks fill few workers, so that the others can be moved and wide steps find
  // room.
  return std::make_tuple(!room.doubtful, near, apart, -room.free.millicores);
}

/// Places the members of one step; nothing stays taken if `whole` and not all
/// fit.
class StepPlacer {
 public:
  StepPlacer(const StepDemand& demand, std::vector<WorkerRoom>& rooms,
             TeamRoom* team)
      : demand(demand), rooms(rooms), team(team), on_worker(demand.on_worker) {}

  std::vector<Assignment> Run() {
    for (const std::uint32_t index : this->demand.waiting) {
      if (!this->PlaceOne(index)) {
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
    std::size_t best = this->rooms.size();
    for (std::size_t i = 0; i < this->rooms.size(); ++i) {
      if (MayTake(this->demand, this->rooms[i], this->on_worker) &&
          (best == this->rooms.size() ||
           Preference(this->demand, this->rooms[best], this->rack) <
               Preference(this->demand, this->rooms[i], this->rack))) {
        best = i;
      }
    }
    if (best == this->rooms.size()) {
      return false;
    }
    WorkerRoom& room = this->rooms[best];
    Subtract(room.free, need);
    room.fillers += step.filler ? 1 : 0;
    room.serving += step.tail_target_ms > 0 && !step.filler ? 1 : 0;
    if (this->team != nullptr) {
      Subtract(this->team->free, *step.need);
    }
    ++this->on_worker[room.id];
    if (this->rack.empty()) {
      this->rack = room.Rack();
    }
    TaskId task = this->demand.first;
    task.index = index;
    this->placed.push_back(Assignment{std::move(task), best});
    return true;
  }

  void Undo() {
    const Step& step = *this->demand.step;
    for (const Assignment& assignment : this->placed) {
      WorkerRoom& room = this->rooms[assignment.room];
      Add(room.free, Charge(step));
      room.fillers -= step.filler ? 1 : 0;
      room.serving -= step.tail_target_ms > 0 && !step.filler ? 1 : 0;
      if (this->team != nullptr) {
        Add(this->team->free, *step.need);
      }
    }
    this->placed.clear();
  }

  const StepDemand& demand;
  std::vector<WorkerRoom>& rooms;
  TeamRoom* team;
  std::map<std::string, std::size_t> on_worker;
  std::string rack;
  std::vector<Assignment> placed;
};

}  // namespace

bool Fits(const Step& step, const Amount& room) {
  const Amount& need = *step.need;
  return (step.filler || need.millicores <= room.millicores) &&
         need.memory_mb <= room.memory_mb &&
         need.accelerators <= room.accelerators;
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

std::string WorkerRoom::Rack() const {
  return this->labels.size() > 1 ? this->labels[1] : "";
}

bool TeamRoom::Admits(const Amount& need) const {
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
                              std::vector<WorkerRoom>& rooms,
                              std::map<std::string, TeamRoom>& teams) {
  std::vector<Assignment> all;
  for (const StepDemand& demand : demands) {
    const auto team = teams.find(demand.team);
    StepPlacer placer(demand, rooms,
                      team == teams.end() ? nullptr : &team->second);
    for (Assignment& assignment : placer.Run()) {
      all.push_back(std::move(assignment));
    }
  }
  return all;
}

bool Before(const StepUrgency& a, const StepUrgency& b) {
  const auto rank = [](const StepUrgency& step) {
    const bool late = step.slack.count() < 0;
    return std::make_tuple(!step.long_running, step.priority, late, step.slack);
  };
  return rank(a) < rank(b);
}

}  // namespace mimosastage::jobs
