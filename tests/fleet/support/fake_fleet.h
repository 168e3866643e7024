#ifndef MIMOSASTAGE_TESTS_FLEET_SUPPORT_FAKE_FLEET_H_
#define MIMOSASTAGE_TESTS_FLEET_SUPPORT_FAKE_FLEET_H_

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "mimosastage/fleet/command_fence.h"
#include "mimosastage/fleet/fleet_view.h"
#include "mimosastage/fleet/instance_mover.h"
#include "mimosastage/fleet/maintenance_planner.h"
#include "mimosastage/fleet/worker_directory.h"

namespace mimosastage {

/// Simulates workers, the replicated log and the leader around one
/// MaintenancePlanner and one InstanceMover. Depending on the options, reports
/// and commands are delayed or lost, commands are duplicated, workers crash and
/// the leader changes, all derived from the seed. One step is one second.
class FakeFleet {
 public:
  struct Worker {
    /// The instance at the start of the simulation.
    FleetInstance initial;
    std::unique_ptr<CommandFence> fence;
    PoolName pool;
    std::uint64_t epoch = 0;
    std::uint64_t boot_id = 1;
    bool draining = false;
    int down_until = 0;
    int down_since = 0;
    int reboots = 0;
    int drains = 0;
    int crashes = 0;
    /// The second at which each running task ends.
    std::map<std::string, int> tasks;
  };

  struct Options {
    int pools = 2;
    int instances_per_pool = 8;
    std::uint32_t budget = 2;
    int reboot_seconds = 20;
    double crash_chance = 0;
    double rack_crash_chance = 0;
    double leader_change_chance = 0;
    double loss_chance = 0;
    /// Probability per second that a move of a random instance is attempted.
    double move_chance = 0;
    MaintenancePlanner::Config config;
  };

  FakeFleet(const Options& options, std::uint64_t seed)
      : options(options), random(seed) {
    const int total = this->options.pools * this->options.instances_per_pool;
    for (int i = 0; i < total; ++i) this->AddWorker(i);
    this->wave.name = "w";
    for (const auto& [name, worker] : this->workers) {
      this->wave.targets.insert(name);
    }
    this->Elect();
  }

  TimePoint Now() const {
    return TimePoint(std::chrono::seconds(this->second));
  }
  bool Chance(double chance) {
    return std::uniform_real_distribution<>(0, 1)(this->random) < chance;
  }
  int Draw(int low, int high) {
    return std::uniform_int_distribution<>(low, high)(this->random);
  }

  /// Simulates one second: failures, reports, one planning round, commits.
  void Step() {
    ++this->second;
    this->InjectCrashes();
    for (auto& [name, worker] : this->workers) this->RunWorker(worker);
    this->DeliverReports();
    if (this->Chance(this->options.leader_change_chance)) this->ChangeLeader();
    this->last = this->planner->Plan(this->Now());
    this->EnqueueActions(this->last);
    this->StartMove();
    this->EnqueueActions(this->mover->Plan(this->Now()));
    this->DeliverCommands();
    const auto count = this->Draw(0, static_cast<int>(this->log.size()));
    this->Commit(static_cast<std::size_t>(count));
  }

  void Crash(Worker& worker, int seconds) {
    if (worker.down_until > this->second) return;
    worker.down_since = this->second;
    worker.down_until = this->second + seconds;
    worker.tasks.clear();
    ++worker.crashes;
  }

  bool Up(const Worker& worker) const {
    return worker.down_until <= this->second;
  }

  Options options;
  std::mt19937_64 random;
  int second = 1'000;
  std::map<InstanceName, Worker> workers;
  /// The latest committed transition of each instance.
  std::map<InstanceName, InstanceTransition> committed;
  WaveProgress wave;
  std::unique_ptr<FleetView> fleet;
  std::unique_ptr<WorkerDirectory> directory;
  std::unique_ptr<MaintenancePlanner> planner;
  std::unique_ptr<InstanceMover> mover;
  int pool_changes = 0;
  FleetActions last;
  /// Description of the last invariant violation; empty if there was none.
  std::string violation;

 private:
  void EnqueueActions(const FleetActions& actions) {
    for (const auto& transition : actions.transitions) {
      this->CheckProposal(transition);
      this->log.push_back(transition);
    }
    for (const auto& command : actions.commands) this->SendCommand(command);
  }

  void StartMove() {
    if (!this->Chance(this->options.move_chance)) return;
    const auto last = static_cast<int>(this->workers.size()) - 1;
    const auto it = std::next(this->workers.begin(), this->Draw(0, last));
    const PoolName to("p" +
                      std::to_string(this->Draw(0, this->options.pools - 1)));
    if (const auto started = this->mover->Start(it->first, to, this->Now())) {
      this->EnqueueActions({.transitions = {*started}});
    }
  }

  // Checks that an instance changes pool only with a new epoch and without
  // running tasks.
  void CheckPoolChange(const InstanceTransition& transition) {
    const auto& worker = this->workers[transition.instance];
    const auto& current = this->committed[transition.instance];
    if (current.pool == transition.pool) return;
    if (transition.epoch != current.epoch + 1) {
      this->violation = "a change of pool without a new epoch";
    }
    if (!worker.tasks.empty()) {
      this->violation = "a task runs in the old pool after the change";
    }
    ++this->pool_changes;
  }

  struct Delayed {
    int due = 0;
    PlatformCommand command;
  };

  void AddWorker(int i) {
    const InstanceName name("i" + std::to_string(100 + i));
    auto& worker = this->workers[name];
    worker.initial.name = name;
    worker.initial.pool =
        PoolName("p" + std::to_string(i % this->options.pools));
    worker.initial.rack = RackName("r" + std::to_string(i / 4));
    worker.initial.zone = AvailabilityZone("z" + std::to_string(i / 8));
    worker.pool = worker.initial.pool;
    worker.fence = std::make_unique<CommandFence>(name, 0, worker.boot_id);
    this->committed[name] = {name, worker.pool, 0, InstanceState::kServing};
  }

  void Elect() {
    ++this->view;
    this->fleet = std::make_unique<FleetView>();
    for (int i = 0; i < this->options.pools; ++i) {
      Pool pool;
      pool.name = PoolName("p" + std::to_string(i));
      pool.availability_budget = this->options.budget;
      this->fleet->SetPool(pool);
    }
    for (const auto& [name, transition] : this->committed) {
      auto instance = this->workers[name].initial;
      instance.pool = transition.pool;
      instance.epoch = transition.epoch;
      instance.state = transition.state;
      this->fleet->AddInstance(instance);
    }
    this->directory = std::make_unique<WorkerDirectory>(this->Now());
    const MaintenancePlanner::Hooks hooks{
        .tasks_on = [this](const auto& name) { return this->TasksOn(name); },
        .quarantined = [](const auto&) { return false; },
        .moving =
            [this](const auto& name) { return this->mover->IsMoving(name); }};
    this->planner = std::make_unique<MaintenancePlanner>(
        this->options.config, hooks, *this->fleet, *this->directory, this->view,
        this->Now());
    this->planner->SetWave(this->wave);
    this->mover = std::make_unique<InstanceMover>(
        InstanceMover::Config{.drain_timeout =
                                  this->options.config.drain_timeout},
        *this->fleet, *this->directory, hooks.tasks_on, this->view);
  }

  void ChangeLeader() {
    // The new leader commits a prefix of its predecessor's proposals; the rest
    // is lost.
    const auto kept = this->Draw(0, static_cast<int>(this->log.size()));
    this->Commit(static_cast<std::size_t>(kept));
    this->log.clear();
    this->Elect();
  }

  std::vector<LeasedTask> TasksOn(const InstanceName& name) {
    std::vector<LeasedTask> tasks;
    for (const auto& [job, end] : this->workers[name].tasks) {
      tasks.push_back({JobName(job), 1, job.starts_with("protected"), false});
    }
    return tasks;
  }

  void InjectCrashes() {
    for (auto& [name, worker] : this->workers) {
      if (this->Chance(this->options.crash_chance)) {
        this->Crash(worker, this->Draw(5, 200));
      }
    }
    if (!this->Chance(this->options.rack_crash_chance)) return;
    const auto rack = RackName("r" + std::to_string(this->Draw(0, 3)));
    for (auto& [name, worker] : this->workers) {
      if (worker.initial.rack == rack) this->Crash(worker, this->Draw(60, 120));
    }
  }

  void RunWorker(Worker& worker) {
    if (worker.down_until == this->second) {
      worker.draining = false;
      ++worker.boot_id;
      worker.fence = std::make_unique<CommandFence>(
          worker.initial.name, worker.epoch, worker.boot_id);
    }
    if (!this->Up(worker)) return;
    std::erase_if(worker.tasks, [this](const auto& task) {
      return task.second <= this->second;
    });
    const bool starts =
        !worker.draining && worker.tasks.size() < 2 &&
        this->committed[worker.initial.name].state == InstanceState::kServing;
    if (starts && this->Chance(0.05)) {
      const std::string kind = this->Chance(0.3) ? "protected" : "plain";
      worker.tasks[kind + std::to_string(this->second)] =
          this->second + this->Draw(5, 60);
    }
    if (this->Chance(this->options.loss_chance)) return;
    const int delay = this->options.loss_chance > 0 ? this->Draw(0, 3) : 0;
    this->reports.emplace(this->second + delay, this->Report(worker));
  }

  WorkerReport Report(const Worker& worker) const {
    WorkerReport report;
    report.worker = worker.initial.name;
    report.pool = worker.pool;
    report.epoch = worker.epoch;
    report.boot_id = worker.boot_id;
    report.measured_at = std::chrono::seconds(this->second);
    if (worker.draining) {
      report.state =
          worker.tasks.empty() ? WorkerState::kDrained : WorkerState::kDraining;
    }
    return report;
  }

  void DeliverReports() {
    while (!this->reports.empty() &&
           this->reports.begin()->first <= this->second) {
      this->directory->Handle(this->reports.begin()->second, this->Now());
      this->reports.erase(this->reports.begin());
    }
  }

  void SendCommand(const PlatformCommand& command) {
    if (this->Chance(this->options.loss_chance)) return;
    const int copies = this->Chance(this->options.loss_chance) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      const int delay = this->options.loss_chance > 0 ? this->Draw(0, 10) : 0;
      this->commands.push_back({this->second + delay, command});
    }
  }

  void DeliverCommands() {
    for (const auto& delayed : this->commands) {
      if (delayed.due <= this->second) this->Execute(delayed.command);
    }
    std::erase_if(this->commands, [this](const auto& delayed) {
      return delayed.due <= this->second;
    });
  }

  void Execute(const PlatformCommand& command) {
    auto& worker = this->workers[command.instance];
    if (!this->Up(worker)) return;
    const auto decision =
        worker.fence->Admit(command, this->Now(), this->Now());
    if (!decision || *decision == FenceDecision::kRepeat) return;
    worker.epoch = command.epoch;
    if (std::holds_alternative<DrainInstance>(command.body)) {
      worker.draining = true;
    } else if (const auto* move = std::get_if<MoveInstance>(&command.body)) {
      worker.pool = move->pool;
      worker.draining = false;
    } else if (const auto* stop = std::get_if<StopTask>(&command.body)) {
      if (stop->job.str().starts_with("protected")) {
        this->violation = "a protected job was stopped";
      }
      worker.tasks.erase(stop->job.str());
    } else if (std::holds_alternative<RebootInstance>(command.body)) {
      if (!worker.tasks.empty()) this->violation = "a reboot ended a task";
      ++worker.reboots;
      worker.down_since = this->second;
      worker.down_until = this->second + this->options.reboot_seconds;
    }
  }

  void Commit(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
      const auto transition = this->log.front();
      this->log.pop_front();
      this->CheckPoolChange(transition);
      auto& current = this->committed[transition.instance];
      if (transition.state == InstanceState::kDraining) {
        ++this->workers[transition.instance].drains;
      }
      current = transition;
      this->wave.Apply(transition);
      this->planner->Apply(transition, this->Now());
      this->mover->Apply(transition, this->Now());
    }
  }

  // Checks a drain against the budget, using the committed states and the
  // simulated workers rather than the planner's own FleetView.
  void CheckProposal(const InstanceTransition& transition) {
    if (transition.state != InstanceState::kDraining) return;
    std::uint32_t out = 0;
    for (const auto& [name, other] : this->committed) {
      if (other.pool != transition.pool) continue;
      const auto& worker = this->workers[name];
      const bool proposed =
          std::any_of(this->log.begin(), this->log.end(),
                      [&subject = name](const auto& earlier) {
                        return earlier.instance == subject &&
                               earlier.state != InstanceState::kServing;
                      });
      // The leader knows that a worker is down after the silence limit (10 s)
      // plus the maximum delay of a report (3 s).
      const bool known_down =
          !this->Up(worker) && this->second - worker.down_since > 13;
      if (other.state != InstanceState::kServing || proposed || known_down ||
          name == transition.instance) {
        ++out;
      }
    }
    if (out > this->options.budget) {
      this->violation = "a drain exceeded the budget: " + std::to_string(out);
    }
  }

  ViewNumber view = 0;
  std::deque<InstanceTransition> log;
  std::multimap<int, WorkerReport> reports;
  std::vector<Delayed> commands;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_TESTS_FLEET_SUPPORT_FAKE_FLEET_H_
