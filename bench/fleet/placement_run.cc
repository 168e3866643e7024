#include "bench/fleet/placement_run.h"

#include <algorithm>
#include <chrono>
#include <memory>
#include <random>

#include "mimosastage/fleet/placement_planner.h"

namespace mimosastage::bench {
namespace {

using std::chrono::seconds;

class PlacementRun {
 public:
  PlacementRun(const Deployment& deployment, bool naive)
      : deployment(deployment), naive(naive) {
    AddPoolsAndInstances(deployment, this->fleet);
  }

  PlacementResults Run(int length) {
    for (; this->second < length; ++this->second) {
      this->Submit();
      this->Report();
      this->Place();
      this->MeasureShares();
    }
    this->Finish();
    return this->results;
  }

 private:
  struct Task {
    TaskReport report;
    std::int64_t ends = 0;
  };

  TimePoint Now() const { return this->start + seconds(this->second); }
  int TeamsPerPool() const { return std::min(this->deployment.teams, 6); }

  // Distributes the teams of a large deployment over its pools.
  TeamName TeamAt(int pool, int team) const {
    const int index =
        (pool * this->TeamsPerPool() + team) % this->deployment.teams;
    return TeamName("t" + std::to_string(1'000 + index));
  }

  static std::uint32_t Share(const TeamName& team) {
    return 1 + static_cast<std::uint32_t>(team.str().back() - '0') % 3;
  }

  void Submit() {
    for (int p = 0; p < static_cast<int>(this->deployment.pool_sizes.size());
         ++p) {
      const double slots = this->deployment.pool_sizes[p] * kSlots;
      for (int t = 0; t < this->TeamsPerPool(); ++t) {
        // Jobs take 10 s on average and the mean load is 60% of the pool. The
        // teams' demands differ independently of their shares.
        const double part =
            2.0 * (t + 1) / (this->TeamsPerPool() * (this->TeamsPerPool() + 1));
        const double rate =
            0.6 * slots * part / 10 * SurgeFactor(p, this->second);
        std::poisson_distribution<> draw(rate);
        for (int n = draw(this->random); n > 0; --n) this->SubmitOne(p, t);
      }
    }
  }

  void SubmitOne(int pool, int team) {
    JobSpec spec;
    spec.name = JobName("j" + std::to_string(10'000'000 + this->next_job++));
    spec.team = this->TeamAt(pool, team);
    spec.pool = PoolAt(pool);
    spec.urgent = this->next_job % 50 == 0;
    if (this->jobs.Submit(spec, this->Now())) return;
    if (spec.urgent) this->urgent.emplace(spec.name, this->second);
  }

  void Report() {
    for (const auto& [name, instance] : this->fleet.instances()) {
      WorkerReport report;
      report.worker = name;
      report.pool = instance.pool;
      report.boot_id = 1;
      report.measured_at = seconds(this->second);
      report.capacity = {kSlots, 16'000, 64'000, 0};
      auto& tasks = this->running[name];
      for (auto& [job, task] : tasks) {
        const bool runs = !IsEnded(task.report.state);
        if (runs && this->second >= task.ends) {
          task.report.state = TaskState::kSucceeded;
        }
        report.tasks.push_back(task.report);
      }
      this->directory.Handle(report, this->Now());
      auto result = this->jobs.Handle(report, true, this->Now());
      for (const auto& transition : result.transitions) {
        this->jobs.Apply(transition, this->Now());
      }
      this->Execute(tasks, result.answer);
    }
  }

  void Execute(std::map<JobName, Task>& tasks, const ReportAnswer& answer) {
    for (const auto& command : answer.commands) {
      if (const auto* start = std::get_if<StartTask>(&command.body)) {
        const int length = std::uniform_int_distribution<>(5, 15)(this->random);
        tasks[start->job] = {
            {start->job, start->lease, TaskState::kRunning, {}, true},
            this->second + length};
        this->RecordUrgentWait(start->job);
      } else if (const auto* stop = std::get_if<StopTask>(&command.body)) {
        tasks[stop->job].report.state = TaskState::kStopped;
      }
    }
    for (const auto& ack : answer.acknowledged) tasks.erase(ack.job);
  }

  void RecordUrgentWait(const JobName& job) {
    const auto it = this->urgent.find(job);
    if (it == this->urgent.end()) return;
    this->waits.push_back(static_cast<double>(this->second - it->second));
    this->urgent.erase(it);
  }

  void Place() {
    const auto before = std::chrono::steady_clock::now();
    std::vector<JobTransition> placements;
    if (this->naive) {
      this->FirstFit(placements);
    } else {
      placements = this->planner.Plan(this->Now()).placements;
    }
    const auto passed = std::chrono::steady_clock::now() - before;
    this->rounds.push_back(
        std::chrono::duration<double, std::micro>(passed).count());
    for (const auto& placement : placements) {
      this->jobs.Apply(placement, this->Now());
    }
  }

  void FirstFit(std::vector<JobTransition>& placements) {
    const auto waiting = this->jobs.waiting();
    for (const auto& [submitted, name] : waiting) {
      const auto& pool = this->jobs.Find(name)->spec.pool;
      for (const auto& worker : this->fleet.FindPool(pool)->instances) {
        if (this->jobs.PlacedOn(worker).size() >= kSlots) continue;
        const auto placed = this->jobs.Place(name, worker, 0, this->Now());
        if (placed) placements.push_back(*placed);
        break;
      }
    }
  }

  void MeasureShares() {
    std::map<PoolName, std::map<TeamName, double>> used;
    std::map<PoolName, std::map<TeamName, double>> wanted;
    for (const auto& [submitted, name] : this->jobs.waiting()) {
      const auto& spec = this->jobs.Find(name)->spec;
      ++wanted[spec.pool][spec.team];
    }
    for (const auto& [name, instance] : this->fleet.instances()) {
      for (const auto& job : this->jobs.PlacedOn(name)) {
        ++used[instance.pool][this->jobs.Find(job)->spec.team];
      }
    }
    for (auto& [pool, waiting] : wanted) {
      for (const auto& [team, slots] : used[pool]) waiting[team] += slots;
      this->distance_sum += Distance(used[pool], waiting);
      ++this->distance_count;
    }
  }

  // Computes max-min fair entitlements by water filling: capacity that a team
  // doesn't want is divided among the others.
  static double Distance(std::map<TeamName, double>& used,
                         std::map<TeamName, double> wanted) {
    double left = 0;
    for (const auto& [team, slots] : used) left += slots;
    if (left == 0) return 0;
    const double total = left;
    double distance = 0;
    while (!wanted.empty()) {
      double shares = 0;
      for (const auto& [team, slots] : wanted) shares += Share(team);
      const double level = left / shares;
      auto it =
          std::find_if(wanted.begin(), wanted.end(), [&](const auto& entry) {
            return entry.second <= level * Share(entry.first);
          });
      const bool satisfied = it != wanted.end();
      if (!satisfied) it = wanted.begin();
      const double entitled = satisfied ? it->second : level * Share(it->first);
      distance += std::abs(used[it->first] - entitled);
      left -= entitled;
      wanted.erase(it);
    }
    return distance / 2 / total;
  }

  void Finish() {
    std::sort(this->rounds.begin(), this->rounds.end());
    std::sort(this->waits.begin(), this->waits.end());
    this->results.share_distance =
        this->distance_sum / std::max(1, this->distance_count);
    if (!this->waits.empty()) {
      this->results.urgent_wait_median_s = this->waits[this->waits.size() / 2];
      this->results.urgent_wait_worst_s = this->waits.back();
    }
    this->results.urgent_unstarted = static_cast<int>(this->urgent.size());
    this->results.round_median_us = this->rounds[this->rounds.size() / 2];
    this->results.round_worst_us = this->rounds.back();
  }

  Deployment deployment;
  bool naive;
  TimePoint start{seconds(1'000)};
  std::int64_t second = 0;
  std::mt19937_64 random{1};
  FleetView fleet;
  WorkerDirectory directory{this->start};
  WorkerHealth health{{}, [](const auto&) { return 10U; }};
  JobTable jobs{{.max_jobs = 200'000}, this->health, 1, this->start};
  PlacementPlanner planner{{},
                           {.share = Share,
                            .free_units = [](const auto&) { return 1'000U; },
                            .lent_slots = [](const auto&) { return 0; }},
                           this->fleet,
                           this->directory,
                           this->health,
                           this->jobs};
  std::map<InstanceName, std::map<JobName, Task>> running;
  std::map<JobName, std::int64_t> urgent;
  int next_job = 0;
  double distance_sum = 0;
  int distance_count = 0;
  std::vector<double> waits;
  std::vector<double> rounds;
  PlacementResults results;
};

}  // namespace

PlacementResults RunPlacement(const Deployment& deployment, int seconds,
                              bool naive) {
  return std::make_unique<PlacementRun>(deployment, naive)->Run(seconds);
}

}  // namespace mimosastage::bench
