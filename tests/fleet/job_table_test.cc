#include "mimosastage/fleet/job_table.h"

#include <gtest/gtest.h>

#include <memory>
#include <random>

#include "mimosastage/fleet/command_fence.h"
#include "mimosastage/fleet/fleet_error.h"
#include "mimosastage/fleet/worker_directory.h"

namespace mimosastage {
namespace {

using std::chrono::seconds;

constexpr int kSeeds = 1'000;
constexpr int kJobs = 60;
constexpr int kWorkers = 12;
constexpr int kSlots = 4;
PoolName TestPool() { return PoolName("p"); }

/// Simulates workers that run tasks under leases, and the leader's JobTable.
/// With `inject_faults`, workers are cut off, messages are delayed and lost and
/// the leader changes, all derived from the seed. One step is one second.
class FakeTaskFleet {
 public:
  struct Task {
    std::uint64_t lease = 0;
    TaskState state = TaskState::kRunning;
    int ends = 0;
    /// The second at which the worker stops the task unless the lease is
    /// renewed.
    int lease_ends = 0;
  };

  struct Worker {
    InstanceName name;
    CommandFence fence;
    /// Fails every task that it runs.
    bool black_hole = false;
    int partitioned_until = 0;
    std::map<JobName, Task> tasks;
  };

  FakeTaskFleet(std::uint64_t seed, int black_holes, bool inject_faults)
      : random(seed), inject_faults(inject_faults) {
    for (int i = 0; i < kWorkers; ++i) {
      const InstanceName name("w" + std::to_string(i));
      this->workers.push_back(
          {name, CommandFence(name, 0, 1), i < black_holes});
    }
    this->Elect();
    for (int i = 0; i < kJobs; ++i) {
      JobSpec spec;
      // The first two jobs fail wherever they run.
      spec.name = JobName((i < 2 ? "bad" : "good") + std::to_string(i));
      spec.pool = TestPool();
      this->specs.push_back(spec);
      this->committed[spec.name].job = spec.name;
      EXPECT_FALSE(this->table->Submit(spec, this->Now()));
    }
  }

  TimePoint Now() const { return TimePoint(seconds(this->second)); }
  int Draw(int low, int high) {
    return std::uniform_int_distribution<>(low, high)(this->random);
  }
  bool Chance(int percent) { return this->Draw(1, 100) <= percent; }

  void Step() {
    ++this->second;
    for (auto& worker : this->workers) this->RunWorker(worker);
    if (this->inject_faults && this->Chance(1)) this->ChangeLeader();
    this->DeliverReports();
    this->AppendToLog(this->table->Expire(this->Now()));
    this->PlaceWaitingJobs();
    this->DeliverAnswers();
    this->Commit(this->inject_faults ? this->Draw(0, 4) : 1'000);
    this->Check();
  }

  bool Settled() const {
    return std::all_of(this->committed.begin(), this->committed.end(),
                       [](const auto& entry) {
                         return entry.second.state == JobState::kSucceeded ||
                                entry.second.state == JobState::kSetAside;
                       });
  }

  std::mt19937_64 random;
  bool inject_faults;
  int second = 1'000;
  std::vector<Worker> workers;
  std::vector<JobSpec> specs;
  std::map<JobName, JobTransition> committed;
  std::unique_ptr<WorkerHealth> health;
  std::unique_ptr<JobTable> table;
  std::string violation;

 private:
  struct Answer {
    std::size_t worker = 0;
    int report_sent = 0;
    ReportAnswer body;
  };
  struct Sent {
    std::size_t worker = 0;
    int sent = 0;
    WorkerReport body;
  };

  void Elect() {
    ++this->view;
    this->health = std::make_unique<WorkerHealth>(
        WorkerHealth::Config{.first_probe = seconds(20)},
        [](const auto&) { return kWorkers; });
    this->table = std::make_unique<JobTable>(JobTable::Config{}, *this->health,
                                             this->view, this->Now());
    this->directory = std::make_unique<WorkerDirectory>(this->Now());
    for (const auto& spec : this->specs) {
      this->table->Restore(spec, this->committed[spec.name]);
    }
  }

  void ChangeLeader() {
    this->Commit(this->Draw(0, static_cast<int>(this->log.size())));
    this->log.clear();
    this->Elect();
  }

  void RunWorker(Worker& worker) {
    for (auto& [job, task] : worker.tasks) {
      if (task.state != TaskState::kRunning) continue;
      const bool fails = worker.black_hole || job.str().starts_with("bad");
      if (fails || this->second >= task.ends) {
        task.state = fails ? TaskState::kFailed : TaskState::kSucceeded;
      } else if (this->second >= task.lease_ends) {
        task.state = TaskState::kStopped;
      }
    }
    if (this->inject_faults && this->Chance(1)) {
      worker.partitioned_until = this->second + this->Draw(5, 40);
    }
    if (this->second < worker.partitioned_until) return;
    Sent report{static_cast<std::size_t>(&worker - this->workers.data()),
                this->second};
    report.body.worker = worker.name;
    report.body.pool = TestPool();
    report.body.boot_id = 1;
    report.body.measured_at = seconds(this->second);
    for (const auto& [job, task] : worker.tasks) {
      report.body.tasks.push_back({job, task.lease, task.state, {}, true});
    }
    this->reports.emplace(this->second + this->MessageDelay(), report);
  }

  int MessageDelay() { return this->inject_faults ? this->Draw(0, 4) : 0; }

  void DeliverReports() {
    while (!this->reports.empty() &&
           this->reports.begin()->first <= this->second) {
      const auto report = this->reports.begin()->second;
      this->reports.erase(this->reports.begin());
      if (this->inject_faults && this->Chance(5)) continue;
      const bool accepted = this->directory->Handle(report.body, this->Now());
      auto result = this->table->Handle(report.body, accepted, this->Now());
      this->AppendToLog(result.transitions);
      this->answers.emplace(
          this->second + this->MessageDelay(),
          Answer{report.worker, report.sent, std::move(result.answer)});
    }
  }

  void DeliverAnswers() {
    while (!this->answers.empty() &&
           this->answers.begin()->first <= this->second) {
      const auto answer = this->answers.begin()->second;
      this->answers.erase(this->answers.begin());
      auto& worker = this->workers[answer.worker];
      if (this->second < worker.partitioned_until) continue;
      this->Execute(worker, answer);
    }
  }

  void Execute(Worker& worker, const Answer& answer) {
    const TimePoint sent{seconds(answer.report_sent)};
    for (const auto& command : answer.body.commands) {
      const auto decision = worker.fence.Admit(command, sent, this->Now());
      if (!decision || *decision == FenceDecision::kRepeat) continue;
      const auto* start = std::get_if<StartTask>(&command.body);
      if (start == nullptr) continue;
      auto& task = worker.tasks[start->job];
      if (task.lease >= start->lease) continue;
      task = {start->lease, TaskState::kRunning,
              this->second + this->Draw(1, 40), answer.report_sent + 15};
    }
    for (const auto& renewal : answer.body.renewals) {
      auto& task = worker.tasks[renewal.job];
      if (task.lease != renewal.lease) continue;
      task.lease_ends = std::max(task.lease_ends, answer.report_sent + 15);
    }
    for (const auto& ack : answer.body.acknowledged) {
      const auto it = worker.tasks.find(ack.job);
      if (it != worker.tasks.end() && it->second.lease == ack.lease) {
        worker.tasks.erase(it);
      }
    }
  }

  // Places waiting jobs first-fit on workers that aren't quarantined, starting
  // from a random worker.
  void PlaceWaitingJobs() {
    const auto waiting = this->table->waiting();
    for (const auto& [submitted, job] : waiting) {
      const auto first = static_cast<std::size_t>(this->Draw(0, kWorkers - 1));
      for (std::size_t i = 0; i < this->workers.size(); ++i) {
        const auto& name = this->workers[(first + i) % kWorkers].name;
        const auto eligibility = this->health->EligibilityOf(name, this->Now());
        if (eligibility == WorkerHealth::Eligibility::kQuarantined) continue;
        if (this->table->PlacedOn(name).size() >= kSlots) continue;
        if (eligibility == WorkerHealth::Eligibility::kProbe) {
          this->health->ProbeStarted(name, this->Now());
        }
        if (const auto placed = this->table->Place(job, name, 0, this->Now())) {
          this->AppendToLog({*placed});
        }
        break;
      }
    }
  }

  void AppendToLog(const std::vector<JobTransition>& transitions) {
    this->log.insert(this->log.end(), transitions.begin(), transitions.end());
  }

  void Commit(int count) {
    for (; count > 0 && !this->log.empty(); --count) {
      this->committed[this->log.front().job] = this->log.front();
      this->table->Apply(this->log.front(), this->Now());
      this->log.pop_front();
    }
  }

  void Check() {
    std::map<JobName, int> running;
    for (const auto& worker : this->workers) {
      for (const auto& [job, task] : worker.tasks) {
        const bool valid =
            task.state == TaskState::kRunning && this->second < task.lease_ends;
        if (valid && ++running[job] > 1) {
          this->violation = job.str() + " runs twice";
        }
      }
    }
    if (this->health->QuarantinedIn(TestPool()) > kWorkers / 3) {
      this->violation = "quarantine exceeds a third of the pool";
    }
  }

  ViewNumber view = 0;
  std::unique_ptr<WorkerDirectory> directory;
  std::deque<JobTransition> log;
  std::multimap<int, Sent> reports;
  std::multimap<int, Answer> answers;
};

class JobTableTest : public ::testing::Test {};

// Guards against a job that runs on two workers at once, a quarantine of more
// than a third of a pool, and lost jobs, while workers are cut off, messages
// are delayed or lost, and the leader changes.
TEST_F(JobTableTest, Jobs_SeededFailures_RunAtMostOnceAtATimeAndEnd) {
  for (int seed = 1; seed <= kSeeds; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    FakeTaskFleet fake(static_cast<std::uint64_t>(seed), seed % 7, true);
    int steps = 0;
    while (!fake.Settled() && fake.violation.empty() && steps < 5'000) {
      fake.Step();
      ++steps;
    }
    ASSERT_EQ(fake.violation, "");
    ASSERT_TRUE(fake.Settled());
  }
}

// Guards against failures attributed to the wrong side: jobs that always fail
// must not quarantine healthy workers, and workers that fail every task must
// not cause good jobs to be set aside.
TEST_F(JobTableTest, BlackHolesAndBadJobs_SteadyLeader_AreToldApart) {
  for (int seed = 1; seed <= kSeeds; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    const int black_holes = seed % 4;
    FakeTaskFleet fake(static_cast<std::uint64_t>(seed), black_holes, false);
    // Long enough for probes to end quarantines and for good jobs that were set
    // aside to be placed again.
    for (int i = 0; i < 600; ++i) fake.Step();
    for (const auto& [job, transition] : fake.committed) {
      const bool bad = job.str().starts_with("bad");
      ASSERT_EQ(transition.state,
                bad ? JobState::kSetAside : JobState::kSucceeded)
          << job.str();
    }
    for (int i = black_holes; i < kWorkers; ++i) {
      ASSERT_FALSE(fake.health->Quarantined(fake.workers[i].name)) << i;
    }
  }
}

// Guards against placing the job of a silent worker again before its lease and
// the margin have passed.
TEST_F(JobTableTest, SilentWorker_PlacementWaitsForLeaseAndMargin) {
  WorkerHealth health({}, [](const auto&) { return 9U; });
  const TimePoint start{seconds(10)};
  JobTable table({}, health, 1, start);
  JobSpec spec;
  spec.name = JobName("j");
  ASSERT_FALSE(table.Submit(spec, start));
  table.Apply(table.Place(spec.name, InstanceName("w"), 0, start).value(),
              start);
  EXPECT_TRUE(table.Expire(start + seconds(16)).empty());
  EXPECT_TRUE(table.Place(spec.name, InstanceName("v"), 0, start).error() ==
              FleetError::kJobNotWaiting);
  const auto expired = table.Expire(start + seconds(17));
  ASSERT_EQ(expired.size(), 1U);
  table.Apply(expired[0], start + seconds(17));
  const auto placed =
      table.Place(spec.name, InstanceName("v"), 0, start + seconds(17));
  ASSERT_TRUE(placed.has_value());
  EXPECT_EQ(placed->lease, 2U);
}

// Guards against a drain that never ends: a start command that a draining
// worker refuses must not be resent, because each resend extends the job's
// lease.
TEST_F(JobTableTest, DrainingWorker_StartNotSeen_LeaseEnds) {
  WorkerHealth health({}, [](const auto&) { return 9U; });
  TimePoint now{seconds(10)};
  JobTable table({}, health, 1, now);
  JobSpec spec;
  spec.name = JobName("j");
  ASSERT_FALSE(table.Submit(spec, now));
  table.Apply(table.Place(spec.name, InstanceName("w"), 0, now).value(), now);
  WorkerReport report;
  report.worker = InstanceName("w");
  report.state = WorkerState::kDrained;
  for (int i = 0; i < 17; ++i, now += seconds(1)) {
    EXPECT_TRUE(table.Handle(report, true, now).answer.commands.empty());
  }
  EXPECT_EQ(table.Expire(now).size(), 1U);
}

class WorkerHealthTest : public ::testing::Test {
 protected:
  void Fail(const std::string& worker, const std::string& jobs) {
    for (const char job : jobs) {
      this->health.RecordTaskFailure(JobName(std::string(1, job)),
                                     InstanceName(worker), TestPool(),
                                     this->now);
    }
  }
  bool Quarantined(const std::string& worker) const {
    return this->health.Quarantined(InstanceName(worker));
  }
  WorkerHealth health{{}, [](const auto&) { return 9U; }};
  TimePoint now{seconds(100)};
};

// Guards against counting failures against a worker if the job fails
// everywhere, and against not counting them if the job has succeeded elsewhere.
TEST_F(WorkerHealthTest, Worker_FailsJobs_IsBlamedUnlessTheyFailElsewhere) {
  this->Fail("v", "ab");
  this->Fail("w", "abcd");
  EXPECT_FALSE(this->Quarantined("w"));
  this->health.RecordTaskSuccess(JobName("a"), InstanceName("u"), this->now);
  this->Fail("w", "a");
  EXPECT_TRUE(this->Quarantined("w"));
  EXPECT_FALSE(this->Quarantined("v"));
}

// Guards against setting a job aside for failures on quarantined workers, and
// against retrying a failing job forever.
TEST_F(WorkerHealthTest, Job_FailsOnQuarantinedWorkers_IsNotSetAside) {
  this->Fail("w", "xab");
  EXPECT_TRUE(this->Quarantined("w"));
  this->Fail("t", "x");
  this->Fail("u", "x");
  EXPECT_FALSE(this->health.SetAsideReason(JobName("x")));
  this->Fail("v", "x");
  EXPECT_EQ(this->health.SetAsideReason(JobName("x")),
            "job x is set aside: it failed on 3 workers (t, u, v); correct it "
            "and submit it again");
}

// Guards against a quarantine of more than a third of the pool, and against a
// quarantine that no successful probe ends.
TEST_F(WorkerHealthTest, Quarantine_CapAndProbe_LimitIt) {
  this->Fail("s", "abc");
  this->Fail("t", "def");
  this->Fail("u", "ghi");
  this->Fail("v", "jkl");
  EXPECT_TRUE(this->Quarantined("u"));
  EXPECT_FALSE(this->Quarantined("v"));
  const InstanceName worker("s");
  using Eligibility = WorkerHealth::Eligibility;
  EXPECT_EQ(this->health.EligibilityOf(worker, this->now),
            Eligibility::kQuarantined);
  this->now += seconds(60);
  EXPECT_EQ(this->health.EligibilityOf(worker, this->now), Eligibility::kProbe);
  this->health.ProbeStarted(worker, this->now);
  EXPECT_EQ(this->health.EligibilityOf(worker, this->now),
            Eligibility::kQuarantined);
  this->Fail("s", "m");
  EXPECT_EQ(this->health.EligibilityOf(worker, this->now + seconds(119)),
            Eligibility::kQuarantined);
  this->health.RecordTaskSuccess(JobName("n"), worker,
                                 this->now + seconds(120));
  EXPECT_FALSE(this->Quarantined("s"));
}

}  // namespace
}  // namespace mimosastage
