#include "mimosastage/jobs/team_shares.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <functional>
#include <iostream>
#include <limits>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "mimosastage/jobs/call_handler.h"
#include "mimosastage/jobs/placement.h"
#include "tests/jobs/support/fake_fleet_leader.h"

namespace mimosastage::jobs {
namespace {

using std::chrono::milliseconds;

Amount Cores(std::int64_t cores, std::int64_t memory_mb = 0) {
  Amount amount;
  amount.millicores = 1'000 * cores;
  amount.memory_mb = memory_mb;
  return amount;
}

class TeamSharesTest : public ::testing::Test {
 protected:
  /// A pool of 100 cores and 1,000 MB in which teams "a", "b" and "c" of the
  /// given weights have waiting work.
  void Begin(std::map<std::string, double> weights) {
    std::set<std::string> waiting;
    Amount free = Cores(100, 1'000);
    for (const auto& [team, weight] : weights) {
      waiting.insert(team);
      free.millicores -= this->shares.UsedBy(team).millicores;
      free.memory_mb -= this->shares.UsedBy(team).memory_mb;
    }
    this->shares.BeginRound(free, waiting, [&](const std::string& team) {
      return weights.at(team);
    });
  }

  TeamShares shares;
};

// Guards against weights that don't decide how a short pool is divided.
TEST_F(TeamSharesTest, RankOf_WeightsDiffer_SharesFollowThem) {
  this->shares.OnUse("a", Cores(30));
  this->shares.OnUse("b", Cores(30));
  this->Begin({{"a", 3}, {"b", 1}});
  EXPECT_FALSE(this->shares.RankOf("a").over_share);
  EXPECT_TRUE(this->shares.RankOf("b").over_share);
  EXPECT_EQ(this->shares.ShareOf("a").millicores, 75'000);
  EXPECT_EQ(this->shares.TasksWithinShare("a", Cores(4)), 11U);
  EXPECT_EQ(this->shares.TasksWithinShare("b", Cores(4)), 0U);
}

// Guards against a team that holds little CPU but most of the memory and
// counts as one within its share.
TEST_F(TeamSharesTest, RankOf_MemoryIsDominant_CountsMemory) {
  this->shares.OnUse("a", Cores(1, 600));
  this->shares.OnUse("b", Cores(40, 100));
  this->Begin({{"a", 1}, {"b", 1}});
  EXPECT_TRUE(this->shares.RankOf("a").over_share);
  EXPECT_FALSE(this->shares.RankOf("b").over_share);
}

// Guards against capacity beyond the shares that goes to whoever has most.
TEST_F(TeamSharesTest, RankOf_TwoTeamsOverShare_LowerUseByWeightComesFirst) {
  this->shares.OnUse("a", Cores(50));
  this->shares.OnUse("b", Cores(35));
  this->Begin({{"a", 1}, {"b", 1}, {"c", 2}});
  EXPECT_LT(this->shares.RankOf("c"), this->shares.RankOf("b"));
  EXPECT_LT(this->shares.RankOf("b"), this->shares.RankOf("a"));
}

// Guards against a placement that gives a team its share several times because
// the work that it has just placed doesn't count.
TEST_F(TeamSharesTest, OnAssigned_ShareIsReached_RankRisesUntilTheEnd) {
  this->Begin({{"a", 1}, {"b", 1}});
  EXPECT_FALSE(this->shares.RankOf("a").over_share);
  this->shares.OnAssigned("a", Cores(50));
  EXPECT_TRUE(this->shares.RankOf("a").over_share);
  this->shares.EndRound();
  EXPECT_FALSE(this->shares.RankOf("a").over_share);
}

// Guards against shares that are kept for teams without any work, so that the
// others count as over their share while the pool is idle.
TEST_F(TeamSharesTest, BeginRound_TeamHasNoWorkAnyMore_OthersGetItsShare) {
  this->shares.OnUse("c", Cores(10));
  this->Begin({{"a", 1}, {"b", 1}, {"c", 2}});
  EXPECT_EQ(this->shares.ShareOf("a").millicores, 25'000);
  this->shares.OnUse("c", Cores(-10));
  this->Begin({{"a", 1}, {"b", 1}});
  EXPECT_EQ(this->shares.ShareOf("a").millicores, 50'000);
  EXPECT_EQ(this->shares.Teams(), 2U);
}

// Guards against weights that make a rank undefined or a sum infinite: the
// platform sends them.
TEST_F(TeamSharesTest, BeginRound_OddWeights_EntitleToNothing) {
  const double infinite = std::numeric_limits<double>::infinity();
  this->Begin(
      {{"a", -1}, {"b", std::nan("")}, {"c", 0}, {"d", infinite}, {"e", 1}});
  for (const char* team : {"a", "b", "c"}) {
    EXPECT_TRUE(this->shares.RankOf(team).over_share) << team;
    EXPECT_EQ(this->shares.RankOf(team), this->shares.RankOf("c")) << team;
  }
  EXPECT_FALSE(this->shares.RankOf("d").over_share);
  EXPECT_FALSE(this->shares.RankOf("e").over_share);
}

// Guards against ranks computed with a capacity of nothing, as after the loss
// of all workers of a pool.
TEST_F(TeamSharesTest, BeginRound_NoCapacity_UsersAreOverTheirShare) {
  this->shares.OnUse("a", Cores(4));
  this->shares.BeginRound(Cores(-4), {"a", "b"},
                          [](const std::string&) { return 1.0; });
  EXPECT_TRUE(this->shares.RankOf("a").over_share);
  EXPECT_FALSE(this->shares.RankOf("b").over_share);
}

// Guards against an order that differs from the table of cases in
// docs/design/fair-shares.md.
TEST(PlacedBeforeTest, Shares_AllCases_FollowTheTable) {
  const ShareRank within;
  const ShareRank over{true, 0.2};
  const ShareRank far_over{true, 0.9};
  const auto step = [](ShareRank share, int slack_ms, std::int32_t priority = 0,
                       bool begun = false, bool long_running = false) {
    StepUrgency urgency;
    urgency.share = share;
    urgency.slack = milliseconds(slack_ms);
    urgency.priority = priority;
    urgency.begun = begun;
    urgency.long_running = long_running;
    return urgency;
  };
  const std::vector<StepUrgency> ordered = {
      // Long-running steps, whatever their team uses.
      step(far_over, 900, 0, false, true),
      step(within, 1'000, 0, false, true),
      // In time within the share: begun, then by slack.
      step(within, 800, 0, true),
      step(within, 100),
      step(within, 200),
      // In time over the share: the team with the lower use first.
      step(over, 700, 0, true),
      step(over, 600),
      step(far_over, 0, 0, true),
      // Late within the share, then over it.
      step(within, -200),
      step(within, -100),
      step(over, -100),
      step(far_over, -900),
      // A queue of lower priority.
      step(within, 0, 1, true),
      step(far_over, -900, 1),
  };
  for (std::size_t i = 0; i < ordered.size(); ++i) {
    for (std::size_t k = 0; k < ordered.size(); ++k) {
      EXPECT_EQ(PlacedBefore(ordered[i], ordered[k]), i < k) << i << " " << k;
    }
  }
}

// Guards against a team that is refused jobs although it sends no more than
// what is owed to it.
TEST(OwedJobsTest, IsOwed_RateIsTheWeight_AllAre) {
  OwedJobs owed;
  for (int job = 0; job < 100; ++job) {
    const milliseconds wall(1'000 + job * 250);
    EXPECT_TRUE(owed.IsOwed("a", 4, wall));
    owed.OnAccepted("a", 4, wall);
  }
}

// Guards against a peak that counts as owed.
TEST(OwedJobsTest, IsOwed_SixTimesTheWeight_OnlyTheWeightIs) {
  OwedJobs owed;
  int owed_jobs = 0;
  for (int job = 0; job < 24 * 10; ++job) {
    const milliseconds wall(1'000 + job * 1'000 / 24);
    owed_jobs += owed.IsOwed("a", 4, wall) ? 1 : 0;
    owed.OnAccepted("a", 4, wall);
  }
  EXPECT_LE(owed_jobs, 4 * 11);
}

// Guards against a clock that is set back and makes all jobs of a team owed, or
// none.
TEST(OwedJobsTest, IsOwed_ClockIsSetBack_BalanceStays) {
  OwedJobs owed;
  for (int job = 0; job < 4; ++job) {
    owed.OnAccepted("a", 4, milliseconds(10'000));
  }
  EXPECT_FALSE(owed.IsOwed("a", 4, milliseconds(5'000)));
  owed.OnAccepted("a", 4, milliseconds(5'000));
  EXPECT_TRUE(owed.IsOwed("a", 4, milliseconds(6'000)));
}

// Guards against weights below one job a second that are owed none, and against
// a weight of 0 that is owed one.
TEST(OwedJobsTest, IsOwed_SmallWeights_OnlyZeroIsOwedNothing) {
  OwedJobs owed;
  EXPECT_TRUE(owed.IsOwed("a", 0.25, milliseconds(0)));
  owed.OnAccepted("a", 0.25, milliseconds(0));
  EXPECT_FALSE(owed.IsOwed("a", 0.25, milliseconds(3'000)));
  EXPECT_TRUE(owed.IsOwed("a", 0.25, milliseconds(4'000)));
  EXPECT_FALSE(owed.IsOwed("b", 0, milliseconds(0)));
}

/// Three teams of equal weight whose jobs arrive faster than one pool can run
/// them.
class FairSharesTest : public ::testing::Test {
 protected:
  static constexpr int kWorkers = 12;
  static constexpr std::int64_t kMillicoresOfWorker = 16'000;
  static constexpr milliseconds kTaskDuration{500};
  /// The fake queue allows twice the chain and 600 ms.
  static constexpr milliseconds kObjective{1'600};
  static constexpr milliseconds kLength{6'000};

  struct Load {
    std::string team;
    double jobs_per_second = 0;
    std::uint32_t tasks = 4;
    std::int64_t millicores = 4'000;
  };

  struct Served {
    int submitted = 0;
    int in_time = 0;
    int refused = 0;
  };

  static Dispatcher::Config WithShares(bool fair_shares) {
    Dispatcher::Config config;
    config.fair_shares = fair_shares;
    return config;
  }

  /// Runs the load, and counts the jobs that are completed in time. With
  /// `refuses`, jobs are refused as the leader demands.
  static std::map<std::string, Served> Serve(FakeFleetLeader& fleet,
                                             const std::vector<Load>& loads,
                                             bool refuses = false) {
    struct Submitted {
      std::string team;
      TimePoint at;
      bool counted = false;
    };
    std::map<std::string, Submitted> jobs;
    std::map<std::string, Served> served;
    const milliseconds tick(10);
    for (milliseconds at(0); at < kLength + kObjective; at += tick) {
      for (const Load& load : loads) {
        Served& team = served[load.team];
        while (at < kLength &&
               team.submitted * 1'000.0 <
                   static_cast<double>(at.count()) * load.jobs_per_second) {
          const std::string id =
              load.team + "-" + std::to_string(team.submitted++);
          Step step = MakeStep(load.tasks, load.millicores);
          step.estimate_ms = kTaskDuration.count();
          JobRequest request;
          request.team = load.team;
          request.steps.push_back(std::make_unique<Step>(step));
          const auto queue = fleet.state.Queues().FindByName("queue-render");
          if (refuses &&
              fleet.dispatcher->ShareDelay(request, load.team, *queue)) {
            ++team.refused;
            continue;
          }
          fleet.dispatcher->OnAccepted(request, *queue, fleet.now);
          std::vector<Step> steps;
          steps.push_back(std::move(step));
          fleet.Submit(id, "render", std::move(steps), load.team);
          jobs[id] = Submitted{load.team, fleet.now};
        }
      }
      fleet.Advance(tick);
      EndRunsAfter(fleet, kTaskDuration);
      for (auto& [id, job] : jobs) {
        if (!job.counted && fleet.now - job.at <= kObjective &&
            fleet.JobOf(id).phase == JobPhase::kCompleted) {
          job.counted = true;
          ++served[job.team].in_time;
        }
      }
    }
    return served;
  }

  static void EndRunsAfter(FakeFleetLeader& fleet, milliseconds duration) {
    const auto now =
        std::chrono::duration_cast<milliseconds>(fleet.now.time_since_epoch());
    for (auto& [id, worker] : fleet.workers) {
      std::vector<TaskId> due;
      for (const auto& [key, began] : worker.running) {
        if (now.count() - began >= duration.count()) {
          due.push_back(key.first);
        }
      }
      for (const TaskId& task : due) {
        fleet.EndRun(id, task, RunOutcome::kDone);
      }
    }
  }

  static void SetUpFleet(FakeFleetLeader& fleet) {
    fleet.AddPool("render");
    for (const char* team : {"one", "two", "three"}) {
      // The pool runs 24 jobs a second.
      fleet.AddTeam(team, 0, 8);
    }
    for (int i = 0; i < kWorkers; ++i) {
      fleet.AddWorker("worker-" + std::to_string(i), "render",
                      kMillicoresOfWorker);
    }
    fleet.BeginTerm();
    fleet.Advance(milliseconds(50));
  }
};

// Guards against a team that sends six times its usual load and takes the room
// of teams that send no more than their share: the pool runs 24 jobs a second,
// 8 for each team.
TEST_F(FairSharesTest, OneTeamAtSixTimesItsLoad_OthersAreServedInTime) {
  const std::vector<Load> loads = {{"one", 36}, {"two", 6}, {"three", 6}};
  FakeFleetLeader fleet(WithShares(true));
  SetUpFleet(fleet);
  const auto served = Serve(fleet, loads);
  EXPECT_GE(served.at("two").in_time, 0.95 * served.at("two").submitted);
  EXPECT_GE(served.at("three").in_time, 0.95 * served.at("three").submitted);
  // The rest of the pool isn't left idle: 12 jobs a second for 6 s.
  EXPECT_GE(served.at("one").in_time, 0.75 * 12 * 6);
  EXPECT_GT(fleet.reports["team_shares_applied"], 0);

  FakeFleetLeader former(WithShares(false));
  SetUpFleet(former);
  const auto before = Serve(former, loads);
  std::cout << "others in time: " << served.at("two").in_time << " and "
            << served.at("three").in_time << " of "
            << served.at("two").submitted << " each with shares, "
            << before.at("two").in_time << " and " << before.at("three").in_time
            << " without; the team with the peak " << served.at("one").in_time
            << " and " << before.at("one").in_time << "\n";
  EXPECT_EQ(former.reports["team_shares_applied"], 0);
}

// Guards against the refusal of jobs of teams within their share, and against
// accepted jobs that can't be in time because of their own team's backlog.
TEST_F(FairSharesTest, Refusal_OneTeamAtSixTimesItsLoad_OnlyItsJobsAreRefused) {
  const std::vector<Load> loads = {{"one", 48}, {"two", 8}, {"three", 8}};
  FakeFleetLeader fleet(WithShares(true));
  SetUpFleet(fleet);
  const auto served = Serve(fleet, loads, true);
  for (const char* team : {"two", "three"}) {
    EXPECT_EQ(served.at(team).refused, 0) << team;
    EXPECT_GE(served.at(team).in_time, 0.95 * served.at(team).submitted);
  }
  const Served& one = served.at("one");
  std::cout << one.refused << " of " << one.submitted << " refused, "
            << one.in_time << " in time\n";
  EXPECT_GT(one.refused, 0);
  // What is owed to it, 8 jobs a second for 6 s, is accepted.
  EXPECT_GE(one.submitted - one.refused, 8 * 6);
  EXPECT_GE(one.in_time, 0.75 * 8 * 6);
}

// Guards against the refusal of jobs of a team that holds less than its share,
// however much of its work waits: here for workers with a label.
TEST_F(FairSharesTest, Refusal_TeamIsWithinItsShare_IsNotRefused) {
  FakeFleetLeader fleet(WithShares(true));
  SetUpFleet(fleet);
  JobRequest request;
  const auto submit = [&](const std::string& team, int number,
                          const std::string& label) {
    Step step = MakeStep(4, 4'000);
    step.required_label = label;
    request = JobRequest();
    request.team = team;
    request.steps.push_back(std::make_unique<Step>(step));
    fleet.dispatcher->OnAccepted(
        request, *fleet.state.Queues().FindByName("queue-render"), fleet.now);
    std::vector<Step> steps;
    steps.push_back(std::move(step));
    fleet.Submit(team + std::to_string(number), "render", std::move(steps),
                 team);
  };
  for (int i = 0; i < 60; ++i) {
    submit("one", i, "");
    submit("two", i, "absent");
  }
  // Two placements. The next job is owed to a team after 125 ms.
  fleet.Advance(milliseconds(120));
  const auto queue = fleet.state.Queues().FindByName("queue-render");
  EXPECT_TRUE(fleet.dispatcher->ShareDelay(request, "one", *queue));
  EXPECT_FALSE(fleet.dispatcher->ShareDelay(request, "two", *queue));
}

// Guards against refusals without the flag.
TEST_F(FairSharesTest, Refusal_SharesAreOff_NoneIsRefused) {
  FakeFleetLeader fleet(WithShares(false));
  SetUpFleet(fleet);
  const auto served =
      Serve(fleet, {{"one", 48}, {"two", 8}, {"three", 8}}, true);
  for (const auto& [team, jobs] : served) {
    EXPECT_EQ(jobs.refused, 0) << team;
  }
}

// Guards against a refused job that is stored, a refusal without Retry-After,
// and a repeated submission of an accepted job that is refused.
TEST_F(FairSharesTest, Submit_TeamOverItsShare_IsRefusedAndNotStored) {
  FakeFleetLeader fleet(WithShares(true));
  SetUpFleet(fleet);
  FleetState committed;
  committed.Restore(fleet.state.Snapshot());
  std::map<std::string, int> refusals;
  CallHandler::Hooks hooks;
  hooks.propose = [&](const Command& command,
                      const std::function<void(TimePoint)>& done) {
    fleet.state.Apply(command);
    committed.Apply(command);
    if (done) {
      done(fleet.now);
    }
  };
  hooks.wall_time = [&] { return fleet.wall; };
  hooks.report = [](const char*, const std::string&, const std::string&) {};
  hooks.count_refusal = [&](const char* reason) { ++refusals[reason]; };
  hooks.log_is_full = [] { return false; };
  CallHandler handler(std::move(hooks), fleet.state, committed,
                      *fleet.dispatcher);
  Answer answer;
  const auto submit = [&](const std::string& team, const std::string& id) {
    Call call;
    call.kind = static_cast<std::uint8_t>(CallKind::kSubmit);
    call.host = "host";
    call.path = "/render/" + id;
    call.key = "key-" + team;
    call.job = std::make_unique<JobRequest>();
    call.job->steps.push_back(std::make_unique<Step>(MakeStep(4, 4'000)));
    handler.Handle(call, fleet.now,
                   [&](Answer next) { answer = std::move(next); });
    return static_cast<CallOutcome>(answer.outcome);
  };
  ASSERT_EQ(submit("two", "first"), CallOutcome::kOk);
  // The pool has room for 12 such jobs at once.
  for (int i = 0; i < 60; ++i) {
    ASSERT_EQ(submit("one", "burst-" + std::to_string(i)), CallOutcome::kOk);
  }
  fleet.Advance(milliseconds(200));
  // The team is owed 8 jobs a second, so one again after 125 ms.
  EXPECT_EQ(submit("one", "owed"), CallOutcome::kOk);
  EXPECT_EQ(submit("one", "refused"), CallOutcome::kOverloaded);
  EXPECT_EQ(answer.text, "team_over_share");
  EXPECT_GT(answer.retry_after_ms, 0U);
  EXPECT_EQ(refusals["team_over_share"], 1);
  EXPECT_EQ(fleet.state.FindJob("refused"), nullptr);
  EXPECT_EQ(submit("one", "burst-59"), CallOutcome::kOk);
  EXPECT_EQ(submit("two", "second"), CallOutcome::kOk);
}

// Guards against an order by shares in a pool that isn't short.
TEST_F(FairSharesTest, PoolIsNotShort_FormerOrderApplies) {
  FakeFleetLeader fleet(WithShares(true));
  SetUpFleet(fleet);
  const auto served = Serve(fleet, {{"one", 14}, {"two", 2}, {"three", 2}});
  for (const auto& [team, jobs] : served) {
    EXPECT_EQ(jobs.in_time, jobs.submitted) << team;
  }
  EXPECT_EQ(fleet.reports["team_shares_applied"], 0);
}

// Guards against a team whose own upper limit makes a pool count as short, and
// against starts of a team that runs more than its lowered limit.
TEST_F(FairSharesTest, UpperLimitIsLowered_TeamWaitsAndPoolIsNotShort) {
  FakeFleetLeader fleet(WithShares(true));
  SetUpFleet(fleet);
  const auto submit = [&](const std::string& team, const std::string& id) {
    Step step = MakeStep(4, 4'000);
    step.estimate_ms = 5'000;
    std::vector<Step> steps;
    steps.push_back(std::move(step));
    fleet.Submit(id, "render", std::move(steps), team);
  };
  for (int i = 0; i < 6; ++i) {
    submit("one", "one-" + std::to_string(i));
  }
  fleet.Advance(milliseconds(200));
  ASSERT_EQ(fleet.RunningTasks(), 24U);
  Command command;
  command.configuration = std::make_unique<Configuration>(fleet.state.Config());
  ++command.configuration->version;
  for (auto& team : command.configuration->teams) {
    if (team->name == "one") {
      team->upper_limit->millicores = 32'000;
    }
  }
  fleet.state.Apply(command);
  fleet.dispatcher->OnChange("", fleet.now);
  for (int i = 6; i < 9; ++i) {
    submit("one", "one-" + std::to_string(i));
    submit("two", "two-" + std::to_string(i));
  }
  fleet.Advance(milliseconds(300));
  // The 24 tasks of "one" from before, and 12 of "two".
  EXPECT_EQ(fleet.RunningTasks(), 36U);
  EXPECT_EQ(fleet.reports["team_shares_applied"], 0);
}

// Guards against a new leader that takes all teams to be within their share
// because it counts only the runs that it has started itself.
TEST_F(FairSharesTest, NewLeader_CountsTheRunsThatItAdopts) {
  FakeFleetLeader fleet(WithShares(true));
  SetUpFleet(fleet);
  const auto submit = [&](const std::string& team, const std::string& id) {
    Step step = MakeStep(4, 4'000);
    step.estimate_ms = 5'000;
    std::vector<Step> steps;
    steps.push_back(std::move(step));
    fleet.Submit(id, "render", std::move(steps), team);
  };
  // 10 of the 12 jobs for which the pool has room.
  for (int i = 0; i < 10; ++i) {
    submit("one", "one-" + std::to_string(i));
  }
  fleet.Advance(milliseconds(200));
  fleet.BeginTerm();
  fleet.Advance(milliseconds(200));
  ASSERT_EQ(fleet.RunningTasks(), 40U);
  // Each placement fills the pool; the first one finds that it is short.
  submit("one", "more-0");
  submit("one", "more-1");
  submit("one", "more-2");
  fleet.Advance(milliseconds(200));
  ASSERT_EQ(fleet.RunningTasks(), 48U);
  submit("two", "two");
  for (std::uint32_t index = 0; index < 4; ++index) {
    const TaskId task{"one-0", 0, 0, index};
    for (const std::string& worker : fleet.WorkersOf(task)) {
      fleet.EndRun(worker, task, RunOutcome::kDone);
    }
  }
  fleet.Advance(milliseconds(200));
  // "more-2" has less slack, but its team holds the whole pool.
  EXPECT_EQ(fleet.WorkersOf(TaskId{"two", 0, 0, 0}).size(), 1U);
  EXPECT_TRUE(fleet.WorkersOf(TaskId{"more-2", 0, 0, 0}).empty());
}

// Guards against a step with many tasks that takes the whole pool at once,
// because a team within its share places steps whole.
TEST_F(FairSharesTest, TeamWithFewLargeJobs_TakesNoMoreThanItsShare) {
  FakeFleetLeader fleet(WithShares(true));
  SetUpFleet(fleet);
  const auto served =
      Serve(fleet, {{"one", 1, 200, 4'000}, {"two", 7}, {"three", 7}});
  EXPECT_GE(served.at("two").in_time, 0.9 * served.at("two").submitted);
  EXPECT_GE(served.at("three").in_time, 0.9 * served.at("three").submitted);
}

// Guards against the long-running tasks of a team that count as use of its
// share, so that its short jobs starve for as long as the service runs.
TEST_F(FairSharesTest, TeamRunsService_ItsShortJobsKeepTheirShare) {
  FakeFleetLeader fleet(WithShares(true));
  SetUpFleet(fleet);
  Step service = MakeStep(kWorkers, 8'000);
  service.long_running = true;
  service.estimate_ms = 3'600'000;
  std::vector<Step> steps;
  steps.push_back(std::move(service));
  fleet.Submit("service", "render", std::move(steps), "two");
  fleet.Advance(milliseconds(100));
  // Half of the pool is left, 12 jobs a second.
  std::map<std::string, int> ended;
  for (int round = 0; round < 30; ++round) {
    for (const char* team : {"one", "two"}) {
      for (int i = 0; i < 4; ++i) {
        Step step = MakeStep(4, 4'000);
        step.estimate_ms = 500;
        std::vector<Step> short_step;
        short_step.push_back(std::move(step));
        fleet.Submit(
            std::string(team) + std::to_string(round) + "-" + std::to_string(i),
            "render", std::move(short_step), team);
      }
    }
    for (int tick = 0; tick < 20; ++tick) {
      fleet.Advance(milliseconds(10));
      const auto now = std::chrono::duration_cast<milliseconds>(
          fleet.now.time_since_epoch());
      for (auto& [id, worker] : fleet.workers) {
        std::vector<TaskId> due;
        for (const auto& [key, began] : worker.running) {
          if (key.first.job != "service" && now.count() - began >= 500) {
            due.push_back(key.first);
          }
        }
        for (const TaskId& task : due) {
          ++ended[fleet.JobOf(task.job).request->team];
          fleet.EndRun(id, task, RunOutcome::kDone);
        }
      }
    }
  }
  EXPECT_GE(ended["two"], 0.45 * (ended["one"] + ended["two"]));
}

}  // namespace
}  // namespace mimosastage::jobs
