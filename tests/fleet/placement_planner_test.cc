#include "mimosastage/fleet/placement_planner.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <random>

namespace mimosastage {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kSeeds = 1'000;
constexpr int kWorkers = 8;
constexpr std::int64_t kSlots = 4;

/// Simulates one pool whose workers report once a second, and a log that
/// commits immediately. One step is 100 ms.
class PlacementPlannerTest : public ::testing::Test {
 protected:
  struct Task {
    TaskReport report;
    TimePoint ends{};
    std::optional<TimePoint> checkpoint_at;
  };

  void SetUp() override { this->Reset(); }

  void Reset() {
    this->now = TimePoint(seconds(100));
    this->limits.clear();
    this->shares.clear();
    this->tasks.clear();
    this->started.clear();
    this->protected_stops = 0;
    this->fleet = std::make_unique<FleetView>();
    Pool row;
    row.name = this->pool;
    this->fleet->SetPool(row);
    for (int i = 0; i < kWorkers; ++i) {
      FleetInstance instance;
      instance.name = InstanceName("w" + std::to_string(i));
      instance.pool = this->pool;
      instance.rack = RackName("r" + std::to_string(i / 2));
      instance.zone = AvailabilityZone("z" + std::to_string(i / 4));
      this->fleet->AddInstance(instance);
    }
    this->workers = std::make_unique<WorkerDirectory>(this->now);
    this->health = std::make_unique<WorkerHealth>(
        WorkerHealth::Config{}, [](const auto&) { return kWorkers; });
    this->jobs = std::make_unique<JobTable>(JobTable::Config{}, *this->health,
                                            1, this->now);
    const PlacementPlanner::Hooks hooks{
        .share = [this](const auto& team) { return this->Share(team); },
        .free_units =
            [this](const auto& team) {
              const auto running = this->jobs->NumPlaced(team);
              return this->Limit(team) - static_cast<std::uint32_t>(running);
            },
        .lent_slots = [](const auto&) { return 0; }};
    this->planner = std::make_unique<PlacementPlanner>(
        PlacementPlanner::Config{}, hooks, *this->fleet, *this->workers,
        *this->health, *this->jobs);
    this->Report();
  }

  std::uint32_t Share(const TeamName& team) {
    return this->shares.try_emplace(team, 1).first->second;
  }
  std::uint32_t Limit(const TeamName& team) {
    return this->limits.try_emplace(team, 100).first->second;
  }

  JobName Submit(const std::string& team, Resources size,
                 seconds length = seconds(1'000), bool urgent = false,
                 bool is_protected = false) {
    JobSpec spec;
    spec.name = JobName("j" + std::to_string(10'000 + this->next_job++));
    spec.team = TeamName(team);
    spec.pool = this->pool;
    spec.declared = size;
    spec.urgent = urgent;
    spec.is_protected = is_protected;
    EXPECT_FALSE(this->jobs->Submit(spec, this->now));
    this->lengths[spec.name] = length;
    return spec.name;
  }

  void Commit(const std::vector<JobTransition>& transitions) {
    for (const auto& transition : transitions) {
      this->jobs->Apply(transition, this->now);
    }
  }

  PlacementPlanner::Round Plan() {
    auto round = this->planner->Plan(this->now);
    this->Commit(round.placements);
    return round;
  }

  void Report() {
    for (const auto& [name, instance] : this->fleet->instances()) {
      this->ReportOf(name);
    }
  }

  void ReportOf(const InstanceName& name) {
    WorkerReport report;
    report.worker = name;
    report.pool = this->pool;
    report.measured_at =
        std::chrono::duration_cast<milliseconds>(this->now.time_since_epoch());
    report.capacity = {kSlots, 16'000, 64'000, 1};
    for (const auto& [job, task] : this->tasks[name]) {
      report.tasks.push_back(task.report);
    }
    const bool accepted = this->workers->Handle(report, this->now);
    const auto result = this->jobs->Handle(report, accepted, this->now);
    this->Commit(result.transitions);
    this->Execute(name, result.answer);
  }

  void Execute(const InstanceName& name, const ReportAnswer& answer) {
    auto& running = this->tasks[name];
    for (const auto& command : answer.commands) {
      if (const auto* start = std::get_if<StartTask>(&command.body)) {
        running[start->job] = {
            {start->job, start->lease, TaskState::kRunning, {}, true},
            this->now + this->lengths[start->job],
            {}};
        this->started.emplace(start->job, this->now);
      } else if (const auto* stop = std::get_if<StopTask>(&command.body)) {
        const auto& spec = this->jobs->Find(stop->job)->spec;
        this->protected_stops += spec.is_protected ? 1 : 0;
        running[stop->job].report.state = TaskState::kStopped;
      }
    }
    for (const auto& ack : answer.acknowledged) running.erase(ack.job);
  }

  void Step() {
    this->now += milliseconds(100);
    const auto tick = this->now.time_since_epoch() / milliseconds(100);
    for (auto& [name, running] : this->tasks) {
      for (auto& [job, task] : running) {
        if (this->now < task.ends || IsEnded(task.report.state)) continue;
        task.report.state = TaskState::kSucceeded;
      }
    }
    for (int i = 0; i < kWorkers; ++i) {
      if (tick % 10 != i) continue;
      this->ReportOf(InstanceName("w" + std::to_string(i)));
    }
    if (tick % 5 == 0) this->last = this->Plan();
  }

  // Returns a waiting job that first fit by declared sizes would place, or "".
  std::string JobFirstFitWouldPlace() {
    const auto& all = this->jobs->waiting();
    // With an urgent job waiting, room may be reserved for it.
    const bool reserved =
        std::any_of(all.begin(), all.end(), [this](const auto& waiting) {
          return this->jobs->Find(waiting.second)->spec.urgent;
        });
    if (reserved) return "";
    for (const auto& [submitted, name] : this->jobs->waiting()) {
      const auto& spec = this->jobs->Find(name)->spec;
      if (this->jobs->NumPlaced(spec.team) >= this->Limit(spec.team)) continue;
      if (spec.is_protected || spec.urgent) continue;
      for (const auto& [worker, entry] : this->workers->entries()) {
        auto free = entry.report.capacity;
        for (const auto& other : this->jobs->PlacedOn(worker)) {
          free -= this->jobs->Find(other)->spec.declared;
        }
        if (spec.declared.FitsIn(free)) return name.str();
      }
    }
    return "";
  }

  std::string BrokenInvariant() {
    for (const auto& [worker, entry] : this->workers->entries()) {
      Resources used{};
      for (const auto& name : this->jobs->PlacedOn(worker)) {
        used += this->jobs->Find(name)->spec.declared;
      }
      if (!used.FitsIn(entry.report.capacity)) return worker.str() + " is full";
    }
    for (const auto& [team, limit] : this->limits) {
      std::size_t running = 0;
      for (const auto& [name, job] : this->jobs->jobs()) {
        const bool placed = job.committed.state == JobState::kPlaced;
        running += placed && job.spec.team == team ? 1 : 0;
      }
      if (running > limit) return team.str() + " exceeds its limit";
    }
    return this->protected_stops > 0 ? "a protected task was stopped" : "";
  }

  std::map<InstanceName, std::map<JobName, Task>> tasks;
  std::map<JobName, seconds> lengths;
  std::map<JobName, TimePoint> started;
  std::map<TeamName, std::uint32_t> limits;
  std::map<TeamName, std::uint32_t> shares;
  int next_job = 0;
  int protected_stops = 0;
  PoolName pool{"p"};
  TimePoint now;
  PlacementPlanner::Round last;
  std::unique_ptr<FleetView> fleet;
  std::unique_ptr<WorkerDirectory> workers;
  std::unique_ptr<WorkerHealth> health;
  std::unique_ptr<JobTable> jobs;
  std::unique_ptr<PlacementPlanner> planner;
};

// Guards against an overcommitted worker, a team above its upper limit, a
// stopped protected task, and a job that waits although first fit would place
// it.
TEST_F(PlacementPlannerTest, RandomJobs_EachStep_KeepLimitsAndBlockNobody) {
  for (int seed = 1; seed <= kSeeds; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    this->Reset();
    std::mt19937_64 random(static_cast<std::uint64_t>(seed));
    const auto draw = [&](int low, int high) {
      return std::uniform_int_distribution<>(low, high)(random);
    };
    for (int team = 0; team < 4; ++team) {
      this->limits[TeamName(std::to_string(team))] =
          static_cast<std::uint32_t>(draw(1, 12));
    }
    for (int step = 0; step < 200; ++step) {
      for (int i = draw(0, 20) - 16; i > 0; --i) {
        const Resources size{draw(1, 2), draw(100, 20'000), draw(1'000, 70'000),
                             draw(0, 12) / 6};
        this->Submit(std::to_string(draw(0, 3)), size, seconds(draw(1, 12)),
                     draw(1, 20) == 1, draw(1, 5) == 1);
      }
      this->Step();
      ASSERT_EQ(this->BrokenInvariant(), "");
      this->Plan();
      ASSERT_EQ(this->JobFirstFitWouldPlace(), "");
    }
  }
}

// Guards against urgent jobs that wait longer than 8.4 s for the tasks of a
// team that uses more than its share (a borrower), and against giving the freed
// room to the borrower's next job.
TEST_F(PlacementPlannerTest, Urgent_PoolFullOfBorrowers_StartsWithin8400Ms) {
  for (int offset = 0; offset < 50; ++offset) {
    SCOPED_TRACE("offset " + std::to_string(offset));
    this->Reset();
    for (int i = 0; i < 60; ++i) this->Submit("borrower", {1, 100, 100, 0});
    for (int i = 0; i < 30 + offset; ++i) this->Step();
    ASSERT_EQ(this->jobs->NumPlaced(TeamName("borrower")),
              static_cast<std::size_t>(kWorkers * kSlots));
    const auto submitted = this->now;
    std::vector<JobName> urgent;
    urgent.reserve(10);
    for (int i = 0; i < 10; ++i) {
      urgent.push_back(
          this->Submit("urgent", {1, 100, 100, 0}, seconds(100), true));
    }
    for (int i = 0; i < 84; ++i) this->Step();
    for (const auto& name : urgent) {
      ASSERT_TRUE(this->started.contains(name)) << name.str();
      ASSERT_LE(this->started[name] - submitted, milliseconds(8'400));
    }
    ASSERT_EQ(this->jobs->NumPlaced(TeamName("borrower")),
              static_cast<std::size_t>(kWorkers * kSlots - 10));
  }
}

// Guards against urgent jobs that preempt tasks within another team's share or
// protected tasks.
TEST_F(PlacementPlannerTest, Urgent_NoBorrowers_StopsNobodyElse) {
  for (int i = 0; i < 20; ++i) {
    this->Submit("a", {1, 100, 100, 0}, seconds(1'000), false, true);
    this->Submit("b", {1, 100, 100, 0});
  }
  for (int i = 0; i < 30; ++i) this->Step();
  this->Submit("a", {1, 100, 100, 0}, seconds(10), true);
  for (int i = 0; i < 100; ++i) {
    this->Step();
    ASSERT_TRUE(this->last.stops.empty());
  }
}

// Guards against placement by order of arrival instead of by the teams' shares.
TEST_F(PlacementPlannerTest, FullPool_SharesOneToThree_AreKept) {
  this->shares[TeamName("small")] = 1;
  this->shares[TeamName("large")] = 3;
  for (int i = 0; i < 60; ++i) this->Submit("small", {1, 100, 100, 0});
  for (int i = 0; i < 60; ++i) this->Submit("large", {1, 100, 100, 0});
  this->Plan();
  EXPECT_EQ(this->jobs->NumPlaced(TeamName("small")), 8U);
  EXPECT_EQ(this->jobs->NumPlaced(TeamName("large")), 24U);
}

// Guards against placing a team's tasks in one zone or rack while others are
// empty.
TEST_F(PlacementPlannerTest, EmptyPool_OneTeam_IsSpreadOverZonesAndRacks) {
  std::map<AvailabilityZone, int> zones;
  std::map<RackName, int> racks;
  for (int i = 0; i < 4; ++i) this->Submit("a", {1, 100, 100, 0});
  for (const auto& placed : this->Plan().placements) {
    const auto* instance = this->fleet->Find(placed.worker);
    ++zones[instance->zone];
    ++racks[instance->rack];
  }
  EXPECT_EQ(zones[AvailabilityZone("z0")], 2);
  EXPECT_EQ(zones[AvailabilityZone("z1")], 2);
  EXPECT_EQ(racks.size(), 4U);
}

// Guards against a job that fits on no worker and blocks the jobs behind it, or
// is held without a reason.
TEST_F(PlacementPlannerTest, ImpossibleJob_IsPassedOver_WithReason) {
  this->Submit("a", {1, 100, 100, 5});
  const auto possible = this->Submit("a", {1, 100, 100, 1});
  const auto round = this->Plan();
  ASSERT_EQ(round.placements.size(), 1U);
  EXPECT_EQ(round.placements[0].job, possible);
  ASSERT_EQ(round.held.size(), 1U);
  EXPECT_EQ(round.held[0].reason,
            "job j10000 waits: none of 8 available workers of pool p is large "
            "enough for 1 slots, 100 millicores, 100 bytes and 5 accelerators; "
            "declare smaller resources or add larger workers");
}

// Guards against unbounded trust in a measurement, and against an old
// measurement that frees room which may be in use again.
TEST_F(PlacementPlannerTest, Usage_MeasuredFarOff_IsBounded) {
  const UsageEstimate usage({});
  JobSpec spec;
  spec.declared = {1, 1'000, 8'000, 1};
  const Resources high{9, 90'000, 90'000, 9};
  const Resources low{0, 0, 100, 0};
  EXPECT_EQ(usage.Effective(spec, high, {}), (Resources{1, 4'000, 32'000, 1}));
  EXPECT_EQ(usage.Effective(spec, low, {}), (Resources{1, 250, 2'000, 1}));
  EXPECT_EQ(usage.Effective(spec, low, seconds(61)), spec.declared);
}

}  // namespace
}  // namespace mimosastage
