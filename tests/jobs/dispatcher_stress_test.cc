#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "mimosastage/jobs/dispatcher.h"
#include "mimosastage/jobs/fleet_state.h"
#include "tests/jobs/support/fake_fleet_leader.h"

namespace mimosastage::jobs {
namespace {

using std::chrono::milliseconds;

constexpr int kStepsPerSeed = 1'500;
constexpr int kDefaultSeeds = 300;
/// Requests that may still be answered, or answered again.
constexpr std::size_t kMaxRemembered = 300;

int NumberOfSeeds() {
  const char* const seeds = std::getenv("MIMOSASTAGE_SCHEDULES");
  return seeds == nullptr ? kDefaultSeeds : std::atoi(seeds);
}

/// Terms of a Dispatcher in which everything that it hears is drawn at random:
/// answers are late, repeated, of former terms, or list the runs of other
/// workers. It can't decide right on such answers, but must survive them.
class DispatcherStressTest : public ::testing::Test {
 protected:
  void RunSeeds() {
    for (int seed = 1; seed <= NumberOfSeeds(); ++seed) {
      this->dispatcher.reset();
      this->state = FleetState();
      this->effects.clear();
      this->orders.clear();
      this->instance_requests.clear();
      this->advice_requests.clear();
      this->runs.clear();
      this->Run(static_cast<std::uint64_t>(seed));
      ASSERT_FALSE(this->HasFailure());
    }
    EXPECT_GT(this->started, 20 * NumberOfSeeds());
  }

  void Run(std::uint64_t seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    this->random.seed(seed);
    this->Configure();
    this->BeginTerm();
    for (int i = 0; i < kStepsPerSeed && !this->HasFailure(); ++i) {
      this->Step();
      this->CheckState();
    }
  }

  struct StartedRun {
    TaskId task;
    std::uint32_t run = 0;
    std::string worker;
  };

  std::uint64_t Draw(std::uint64_t limit) {
    return std::uniform_int_distribution<std::uint64_t>(
        0, limit - 1)(this->random);
  }
  bool DrawPercent(std::uint64_t percent) { return this->Draw(100) < percent; }
  template <class Items>
  const auto& DrawFrom(const Items& items) {
    return items[this->Draw(items.size())];
  }

  void Propose(const Command& command) { this->state.Apply(command); }

  /// Adds a version with some of the pools and queues.
  void Configure() {
    Command command;
    command.configuration = std::make_unique<Configuration>();
    Configuration& next = *command.configuration;
    next.version = this->state.Config().version + 1;
    for (const char* const name : {"a", "b", "c"}) {
      if (next.version > 1 && this->DrawPercent(20)) {
        continue;
      }
      next.pools.push_back(std::make_unique<Pool>());
      next.pools.back()->name = name;
      next.pools.back()->standby = std::string(name) == "c";
      next.queues.push_back(std::make_unique<Queue>());
      Queue& queue = *next.queues.back();
      queue.name = std::string("queue-") + name;
      queue.host = "host";
      queue.path_prefix = std::string("/") + name + "/";
      queue.pool = name;
      queue.max_attempts = 2;
      queue.stretch = 2;
      queue.timeout_ms = 3'000;
      queue.target_ms = 600;
      queue.advised = std::string(name) == "b" && this->DrawPercent(50);
    }
    next.teams.push_back(std::make_unique<Team>());
    next.teams.back()->name = "team";
    next.teams.back()->upper_limit = std::make_unique<Amount>();
    next.teams.back()->upper_limit->millicores = 6'000;
    this->Propose(command);
    if (this->dispatcher != nullptr) {
      this->dispatcher->OnChange("", this->now);
    }
  }

  /// Starts the next term. Effects that wait for the log are lost; answers to
  /// orders of former terms still arrive.
  void BeginTerm() {
    this->dispatcher.reset();
    this->effects.clear();
    if (this->DrawPercent(50)) {
      ASSERT_TRUE(this->state.Restore(this->state.Snapshot()));
    }
    Dispatcher::Hooks hooks;
    hooks.propose = [this](const Command& command,
                           std::function<void(TimePoint)> committed) {
      this->state.Apply(command);
      if (command.start != nullptr) {
        ++this->started;
        const RunStart& start = *command.start;
        this->Remember(this->runs,
                       StartedRun{TaskId{start.job, start.occurrence,
                                         start.step, start.index},
                                  start.run, start.worker});
      }
      if (committed) {
        this->effects.push_back(std::move(committed));
      }
    };
    hooks.send = [this](WorkerOrder order) {
      this->Remember(this->orders, std::move(order));
    };
    hooks.send_instance_request = [this](InstanceRequest request) {
      this->Remember(this->instance_requests, std::move(request));
    };
    hooks.ask_advice = [this](AdviceRequest request) {
      this->Remember(this->advice_requests, std::move(request));
    };
    hooks.wall_time = [this] { return this->wall; };
    hooks.report = [](const char*, const std::string&, const std::string&) {};
    hooks.count_retry = [](const char*) {};
    this->dispatcher = std::make_unique<Dispatcher>(
        this->config, std::move(hooks), this->state, "leader", ++this->fence,
        this->now);
  }

  template <class Item>
  void Remember(std::deque<Item>& items, Item item) {
    items.push_back(std::move(item));
    if (items.size() > kMaxRemembered) {
      items.pop_front();
    }
  }

  void Step() {
    switch (this->Draw(36)) {
      case 0:
      case 1:
        this->Announce();
        break;
      case 2:
      case 3:
        this->Submit();
        break;
      case 4:
        this->Cancel();
        break;
      case 5:
        if (this->DrawPercent(20)) {
          this->Configure();
        }
        break;
      case 6:
        if (this->DrawPercent(30)) {
          this->BeginTerm();
        }
        break;
      case 7:
        this->dispatcher->OnWorkerLeaving(this->DrawWorkerId(), this->now);
        break;
      case 8:
        this->StartWave();
        break;
      case 9:
      case 10:
        this->AnswerInstanceRequest();
        break;
      case 11:
        this->AnswerAdvice();
        break;
      case 12:
      case 13:
        this->RunEffects();
        break;
      case 14:
      case 15:
      case 16:
        this->AdvanceTime();
        break;
      default:
        this->AnswerOrder();
    }
  }

  std::string DrawWorkerId() {
    return "worker-" + std::to_string(this->Draw(8));
  }

  void Announce() {
    Worker worker;
    worker.id = this->DrawWorkerId();
    const std::string place =
        this->DrawPercent(90) ? worker.id : this->DrawWorkerId();
    worker.machine = this->DrawPercent(95) ? "instance-" + place : "";
    worker.address = place + ":80";
    worker.pool = this->DrawFrom(std::vector<std::string>{"a", "a", "b", "c"});
    worker.availability_zone = "zone-" + std::to_string(this->Draw(2));
    worker.labels = {"kind", "rack-" + std::to_string(this->Draw(2))};
    worker.born_ms = 1'000 + static_cast<std::int64_t>(this->Draw(3));
    if (const auto known = this->state.Workers().find(worker.id);
        known != this->state.Workers().end()) {
      worker.born_ms = known->second.born_ms + (this->DrawPercent(20) ? 1 : 0);
    }
    worker.capacity = std::make_unique<Amount>();
    worker.capacity->millicores = this->DrawPercent(80) ? 4'000 : 1'000;
    worker.capacity->memory_mb = 4'000;
    worker.draining = this->DrawPercent(3);
    this->dispatcher->Announce(worker, this->Draw(20), this->now, [] {});
  }

  void Submit() {
    Command command;
    command.job = std::make_unique<JobRequest>();
    JobRequest& job = *command.job;
    job.id = "job-" + std::to_string(this->Draw(60));
    job.queue = this->DrawFrom(
        std::vector<std::string>{"queue-a", "queue-a", "queue-b", "queue-c"});
    job.team = this->DrawPercent(30) ? "team" : "";
    job.accepted_ms = this->wall.count();
    const std::size_t steps = 1 + this->Draw(2);
    for (std::size_t i = 0; i < steps; ++i) {
      jobs::Step step =
          MakeStep(1 + static_cast<std::uint32_t>(this->Draw(3)),
                   500 * static_cast<std::int64_t>(this->Draw(4)));
      step.estimate_ms = this->Draw(2'000);
      if (i > 0 && this->DrawPercent(60)) {
        step.after.push_back(static_cast<std::uint32_t>(this->Draw(i)));
      }
      step.gang = this->DrawPercent(20);
      step.long_running = this->DrawPercent(15);
      step.filler = this->DrawPercent(15);
      step.tail_target_ms = this->DrawPercent(15) ? 50 : 0;
      step.checkpoints = this->DrawPercent(30);
      step.speculative = this->DrawPercent(10);
      step.most_per_worker = this->DrawPercent(20) ? 1 : 0;
      job.steps.push_back(std::make_unique<jobs::Step>(std::move(step)));
    }
    if (this->DrawPercent(10)) {
      job.occurrences = 1 + static_cast<std::uint32_t>(this->Draw(3));
      job.first_due_ms = job.accepted_ms + 100;
      job.interval_ms = 500;
    }
    const std::string id = job.id;
    this->Propose(command);
    this->dispatcher->OnChange(id, this->now);
  }

  void Cancel() {
    Command command;
    command.cancelled_job = "job-" + std::to_string(this->Draw(60));
    const std::string id = command.cancelled_job;
    this->Propose(command);
    this->dispatcher->OnChange(id, this->now);
  }

  void StartWave() {
    Command command;
    command.wave = std::make_unique<Wave>();
    command.wave->number = this->Draw(5);
    command.wave->most_at_once = 1 + static_cast<std::uint32_t>(this->Draw(2));
    for (int i = 0; i < 3; ++i) {
      command.wave->machines.push_back("instance-" + this->DrawWorkerId());
    }
    this->Propose(command);
  }

  void AnswerOrder() {
    if (this->orders.empty()) {
      return;
    }
    // Mostly one of the latest orders, so that workers stay in use.
    const std::size_t latest = std::min<std::size_t>(this->orders.size(), 12);
    const WorkerOrder order =
        this->DrawPercent(80)
            ? this->orders[this->orders.size() - 1 - this->Draw(latest)]
            : this->DrawFrom(this->orders);
    WorkerReply reply;
    reply.number = order.number;
    reply.result =
        this->DrawPercent(75)
            ? OrderResult::kOk
            : static_cast<OrderResult>(this->Draw(
                  static_cast<std::uint64_t>(OrderResult::kUnanswered) + 1));
    if (this->DrawPercent(90)) {
      reply.clock = milliseconds(this->Draw(100'000));
    }
    reply.read_at = this->now;
    reply.started_at = this->now - milliseconds(this->Draw(300));
    const std::size_t rows = this->runs.empty() ? 0 : this->Draw(4);
    for (std::size_t i = 0; i < rows; ++i) {
      const StartedRun& run = this->DrawFrom(this->runs);
      if (this->own_runs_only && run.worker != order.worker) {
        continue;
      }
      if (this->DrawPercent(50)) {
        reply.running.push_back(RunningTask{
            run.task, run.run, "", static_cast<std::uint32_t>(this->Draw(110)),
            static_cast<std::int64_t>(this->Draw(100))});
        continue;
      }
      reply.ended.push_back(EndedRun{
          this->Draw(40), run.task, run.run,
          this->DrawPercent(50)
              ? RunOutcome::kDone
              : static_cast<RunOutcome>(this->Draw(
                    static_cast<std::uint64_t>(RunOutcome::kLost) + 1)),
          "checkpoint"});
      if (!this->own_runs_only && this->DrawPercent(5)) {
        reply.ended.back().task.index += 1'000;
      }
    }
    this->dispatcher->OnReply(reply, this->now);
  }

  void AnswerInstanceRequest() {
    if (this->instance_requests.empty()) {
      return;
    }
    InstanceReply reply;
    reply.number = this->DrawFrom(this->instance_requests).number;
    reply.result = this->DrawPercent(70)
                       ? InstanceReply::Result::kOk
                       : static_cast<InstanceReply::Result>(this->Draw(
                             static_cast<std::uint64_t>(
                                 InstanceReply::Result::kUnanswered) +
                             1));
    for (int i = 0; i < 8; ++i) {
      reply.instances.push_back(InstanceListEntry{
          "instance-worker-" + std::to_string(i),
          this->DrawFrom(std::vector<std::string>{"a", "b", "c", "unknown"}),
          static_cast<InstanceStatus>(this->Draw(4)), ""});
    }
    this->dispatcher->OnInstanceReply(reply, this->now);
  }

  void AnswerAdvice() {
    if (this->advice_requests.empty()) {
      return;
    }
    const AdviceRequest request = this->DrawFrom(this->advice_requests);
    AdviceReply reply;
    reply.number = request.number;
    reply.answered = this->DrawPercent(90);
    for (const std::string& worker : request.workers) {
      if (this->DrawPercent(70)) {
        reply.approved[worker] = "ticket";
      }
    }
    reply.validity = milliseconds(this->Draw(4'000));
    this->dispatcher->OnAdvice(reply, this->now);
  }

  void RunEffects() {
    for (std::size_t left = this->Draw(this->effects.size() + 1); left > 0;
         --left) {
      const auto effect = std::move(this->effects.front());
      this->effects.pop_front();
      effect(this->now);
    }
  }

  void AdvanceTime() {
    milliseconds step(1 + this->Draw(60));
    if (this->DrawPercent(3)) {
      // Leases expire and upkeeps end.
      step = milliseconds(7'000);
    } else if (this->DrawPercent(1)) {
      // Ended jobs are forgotten.
      step = milliseconds(140'000);
    }
    this->now += step;
    this->wall += this->DrawPercent(1) ? -milliseconds(2'000) : step;
    this->dispatcher->Tick(this->now);
    EXPECT_GE(this->dispatcher->NextDue(this->now), this->now);
  }

  void CheckState() {
    for (const auto& [id, job] : this->state.Jobs()) {
      std::size_t active = 0;
      for (const Task& task : job.tasks) {
        active += task.active.size();
      }
      EXPECT_EQ(active, job.active_runs) << id;
      EXPECT_TRUE(!job.tasks.empty() || job.Ended()) << id;
    }
  }

  std::mt19937_64 random;
  Dispatcher::Config config;
  FleetState state;
  std::unique_ptr<Dispatcher> dispatcher;
  std::deque<std::function<void(TimePoint)>> effects;
  std::deque<WorkerOrder> orders;
  std::deque<InstanceRequest> instance_requests;
  std::deque<AdviceRequest> advice_requests;
  std::deque<StartedRun> runs;
  /// Workers list no runs that were started on others.
  bool own_runs_only = false;
  std::uint64_t fence = 0;
  int started = 0;
  TimePoint now{std::chrono::hours(1)};
  milliseconds wall{1'000'000};
};

// Guards against a leader that reads memory that was freed, or outside of a
// list, because workers end, come back and answer late.
TEST_F(DispatcherStressTest, AnswersAreLateAndRepeated_LeaderSurvives) {
  this->own_runs_only = true;
  this->RunSeeds();
}

// Guards against the same in the shares of teams, which refer to the sessions
// of workers, and in the choice of runs that are stopped for urgent work.
TEST_F(DispatcherStressTest, SharesAndPreemption_LeaderSurvives) {
  this->config.fair_shares = true;
  this->config.preempt = true;
  this->RunSeeds();
}

// Guards against the same because a worker lists the runs of another one. The
// leader ended then, and each next leader after it got the same answers.
TEST_F(DispatcherStressTest, WorkersListRunsOfOthers_LeaderSurvives) {
  this->RunSeeds();
}

// Guards against the same while durations are learned from such answers and
// stragglers are copied.
TEST_F(DispatcherStressTest, DurationsAreLearned_LeaderSurvives) {
  this->config.learn_run_times = true;
  this->config.copy_stragglers = true;
  this->RunSeeds();
}

}  // namespace
}  // namespace mimosastage::jobs
