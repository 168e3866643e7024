#include "bench/fleet/capacity_run.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <random>

#include "mimosastage/fleet/instance_mover.h"
#include "mimosastage/fleet/maintenance_planner.h"
#include "mimosastage/fleet/pool_sizer.h"

namespace mimosastage::bench {
namespace {

using std::chrono::seconds;

// Work that would wait for longer is refused at admission.
constexpr double kMaxQueueSeconds = 3;

std::vector<LeasedTask> NoTasks(const InstanceName&) { return {}; }

class CapacityRun {
 public:
  CapacityRun(const Deployment& deployment, const CapacityOptions& options)
      : deployment(deployment), options(options) {
    AddPoolsAndInstances(deployment, this->fleet);
    for (const auto& [name, instance] : this->fleet.instances()) {
      this->workers[name] = {.pool = instance.pool};
      this->order.push_back(name);
    }
    for (const int size : deployment.pool_sizes) {
      this->means.push_back(0.35 * size * kSlots);
    }
    this->backlog.resize(this->means.size());
  }

  CapacityResults Run() {
    for (; this->second < this->options.seconds; ++this->second) {
      this->RunWorkers();
      if (this->options.demand) this->ServeDemand();
      if (this->second == this->options.wave_at) this->StartWave();
      this->PlanRound();
      if (this->WaveEnded() && !this->options.demand) break;
    }
    this->FinishResults();
    return this->results;
  }

 private:
  struct Worker {
    PoolName pool;
    std::uint64_t epoch = 0;
    std::uint64_t boot_id = 1;
    std::int64_t drained_at = 0;
    std::int64_t down_until = 0;
    bool draining = false;
  };

  TimePoint Now() const { return this->start + seconds(this->second); }

  void RunWorkers() {
    const double chance = this->options.failures_per_day / 86'400 /
                          static_cast<double>(this->workers.size());
    std::uniform_real_distribution<> draw(0, 1);
    for (auto& [name, worker] : this->workers) {
      if (chance > 0 && draw(this->random) < chance &&
          this->second >= worker.down_until) {
        this->TakeDown(worker, 120);
      }
      if (this->second < worker.down_until) continue;
      WorkerReport report;
      report.worker = name;
      report.pool = worker.pool;
      report.epoch = worker.epoch;
      report.boot_id = worker.boot_id;
      report.measured_at = seconds(this->second);
      if (worker.draining) {
        report.state = this->second < worker.drained_at ? WorkerState::kDraining
                                                        : WorkerState::kDrained;
      }
      this->directory.Handle(report, this->Now());
    }
  }

  void TakeDown(Worker& worker, std::int64_t length) const {
    worker.down_until = this->second + length;
    worker.draining = false;
    ++worker.boot_id;
  }

  void ServeDemand() {
    for (std::size_t p = 0; p < this->means.size(); ++p) {
      const auto& pool = *this->fleet.FindPool(PoolAt(static_cast<int>(p)));
      const double hours = static_cast<double>(this->second) / 3'600;
      const double drift =
          1 + 0.3 * std::sin(3.14159 * hours + static_cast<double>(p));
      const auto factor = SurgeFactor(static_cast<int>(p), this->second);
      const double offered = this->means[p] * drift * factor + this->backlog[p];
      const double capacity = static_cast<double>(
          (pool.instances.size() - pool.out_of_service.size()) * kSlots);
      const double served = std::min(offered, capacity);
      // The queue holds what the pool serves in kMaxQueueSeconds; the rest is
      // refused.
      this->backlog[p] =
          std::min(offered - served, capacity * kMaxQueueSeconds);
      this->results.served_slot_seconds += served;
      this->results.refused_slot_seconds += offered - served - this->backlog[p];
      const auto owned = static_cast<double>(pool.instances.size() * kSlots);
      this->results.fleet_idle_slot_seconds += owned - served;
      if (!pool.spare) this->results.idle_slot_seconds += owned - served;
      this->sizer.Observe(PoolAt(static_cast<int>(p)), offered, this->Now());
      if (this->options.naive && !pool.spare) this->Resize(p, offered);
    }
  }

  // Reactive sizing: resizes the pool to the current demand.
  void Resize(std::size_t p, double offered) {
    const auto name = PoolAt(static_cast<int>(p));
    const auto spare = PoolAt(this->deployment.spare_pools.front());
    const int wanted =
        std::max(1, static_cast<int>(std::ceil(offered / kSlots)));
    const int size =
        static_cast<int>(this->fleet.FindPool(name)->instances.size() +
                         this->mover.Joining(name)) -
        static_cast<int>(this->mover.Leaving(name));
    const auto& from = wanted > size ? spare : name;
    const auto& to = wanted > size ? name : spare;
    int missing = std::abs(wanted - size);
    const auto members = this->fleet.FindPool(from)->instances;
    for (const auto& instance : members) {
      if (missing == 0 || this->fleet.FindPool(from)->instances.size() < 2) {
        return;
      }
      const auto started = this->mover.Start(instance, to, this->Now());
      if (!started) continue;
      this->Commit(*started);
      --missing;
    }
  }

  void StartWave() {
    WaveProgress wave;
    wave.name = "w";
    wave.targets.insert(this->order.begin(), this->order.end());
    this->ComputeRollOutBound();
    if (!this->options.naive) this->planner.SetWave(wave);
    this->wave = wave;
  }

  // A pool is maintained in groups as large as its budget; each group takes one
  // drain and one reboot.
  void ComputeRollOutBound() {
    for (const auto& [name, pool] : this->fleet.pools()) {
      const auto parts =
          (pool.instances.size() + pool.budget - 1) / pool.budget;
      const int bound =
          static_cast<int>(parts) *
          (this->options.drain_seconds + this->options.reboot_seconds);
      this->results.roll_out_bound_seconds =
          std::max(this->results.roll_out_bound_seconds, bound);
    }
  }

  // Starts a wave of the next single instance once the previous one is done.
  void StartNextNaiveWave() {
    if (!this->wave) return;
    if (const auto& one = this->planner.wave();
        one && !this->planner.WaveDone()) {
      return;
    }
    if (this->naive_next == this->order.size()) return;
    WaveProgress one;
    one.name = "naive";
    one.targets.insert(this->order[this->naive_next++]);
    this->planner.SetWave(one);
  }

  bool WaveEnded() {
    const bool all =
        !this->options.naive || this->naive_next == this->order.size();
    const bool ended = this->wave && all && this->planner.WaveDone();
    if (ended && this->results.roll_out_seconds < 0) {
      this->results.roll_out_seconds =
          static_cast<int>(this->second - this->options.wave_at);
    }
    return ended;
  }

  void PlanRound() {
    if (this->options.naive) this->StartNextNaiveWave();
    const auto before = std::chrono::steady_clock::now();
    const auto maintenance = this->planner.Plan(this->Now());
    const auto moves = this->mover.Plan(this->Now());
    PoolSizer::Round sizes;
    if (!this->options.naive) sizes = this->sizer.Plan(this->Now());
    const auto passed = std::chrono::steady_clock::now() - before;
    this->rounds.push_back(
        std::chrono::duration<double, std::micro>(passed).count());
    for (const auto& actions : {maintenance, moves}) {
      for (const auto& transition : actions.transitions) {
        this->Commit(transition);
      }
      for (const auto& command : actions.commands) this->Execute(command);
    }
    for (const auto& transition : sizes.transitions) this->Commit(transition);
  }

  void Commit(const InstanceTransition& transition) {
    if (this->fleet.Find(transition.instance)->pool != transition.pool) {
      ++this->results.moves;
    }
    this->planner.Apply(transition, this->Now());
    this->mover.Apply(transition, this->Now());
  }

  void Execute(const PlatformCommand& command) {
    auto& worker = this->workers[command.instance];
    if (this->second < worker.down_until) return;
    if (std::holds_alternative<DrainInstance>(command.body)) {
      if (worker.draining) return;
      worker.draining = true;
      worker.drained_at = this->second + this->options.drain_seconds;
    } else if (std::holds_alternative<RebootInstance>(command.body)) {
      this->TakeDown(worker, this->options.reboot_seconds);
    } else if (const auto* move = std::get_if<MoveInstance>(&command.body)) {
      worker.pool = move->pool;
      worker.epoch = command.epoch;
      worker.draining = false;
    }
  }

  void FinishResults() {
    std::sort(this->rounds.begin(), this->rounds.end());
    this->results.round_median_us = this->rounds[this->rounds.size() / 2];
    this->results.round_worst_us = this->rounds.back();
  }

  Deployment deployment;
  CapacityOptions options;
  TimePoint start{seconds(1'000)};
  std::int64_t second = 0;
  std::mt19937_64 random{1};
  FleetView fleet;
  WorkerDirectory directory{this->start};
  InstanceMover mover{{}, this->fleet, this->directory, NoTasks, 1};
  MaintenancePlanner planner{
      {},
      {.tasks_on = NoTasks,
       .quarantined = [](const auto&) { return false; },
       .moving =
           [this](const auto& name) { return this->mover.IsMoving(name); }},
      this->fleet,
      this->directory,
      1,
      this->start};
  PoolSizer sizer{{}, this->fleet, this->mover, NoTasks};
  std::map<InstanceName, Worker> workers;
  std::vector<InstanceName> order;
  std::vector<double> means;
  std::vector<double> backlog;
  std::optional<WaveProgress> wave;
  std::size_t naive_next = 0;
  std::vector<double> rounds;
  CapacityResults results;
};

}  // namespace

CapacityResults RunCapacity(const Deployment& deployment,
                            const CapacityOptions& options) {
  return CapacityRun(deployment, options).Run();
}

}  // namespace mimosastage::bench
