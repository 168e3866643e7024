// Compares ways to size pools on a model of four pools and a standby pool under
// load peaks that take turns. Prints one JSON line for each load and balancer:
// the share of jobs in time, late and unfinished, instance-seconds per second,
// moves per second, and the cost with a move counted as 1.1 instance-seconds.
// Balancers: "ahead" is PoolBalancer with DemandForecast, "former" is
// PoolBalancer without an outlook, and "naive" sizes a pool by the work
// accepted within the last second and knows neither late work nor releases.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>
#include <iostream>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "mimosastage/jobs/demand_forecast.h"
#include "mimosastage/jobs/pool_balancer.h"

ABSL_FLAG(int, seeds, 5, "number of simulated days for each load");
ABSL_FLAG(int, seconds, 34, "simulated duration");
ABSL_FLAG(double, estimate_error, 0.5,
          "largest relative error of the stated run times");

namespace {

using mimosastage::Duration;
using mimosastage::TimePoint;
using mimosastage::jobs::AcceptedWork;
using mimosastage::jobs::DemandForecast;
using mimosastage::jobs::DemandOutlook;
using mimosastage::jobs::InstanceMove;
using mimosastage::jobs::Occupation;
using mimosastage::jobs::PoolBalancer;
using mimosastage::jobs::PoolDemand;
using mimosastage::jobs::PooledInstance;
using mimosastage::jobs::PoolPlan;
using std::chrono::milliseconds;

constexpr int kPools = 4;
constexpr int kInstances = 350;
constexpr int kInitialPoolSize = 25;
constexpr std::int64_t kMillicores = 32'000;
constexpr std::int64_t kTaskMillicores = 4'500;
constexpr int kTasksPerStep = 8;
constexpr double kMeanJobsPerSecond = 23;
constexpr milliseconds kTurn{4'500};
constexpr milliseconds kStep{10};
constexpr milliseconds kBalanceInterval{100};
constexpr milliseconds kMove{1'700};
constexpr milliseconds kWarmup{3'000};
constexpr double kCostOfMove = 1.1;

struct JobModel {
  int pool = 0;
  TimePoint accepted{};
  milliseconds estimate{0};
  Duration objective{0};
  int steps_left = 0;
  int waiting = 0;
  int open = 0;
  std::vector<milliseconds> durations;

  milliseconds StepTime() const {
    return this->durations[static_cast<std::size_t>(this->steps_left - 1)];
  }
  bool IsLate(TimePoint now) const {
    return now + this->estimate * this->steps_left >
           this->accepted + this->objective;
  }
};

struct RunModel {
  JobModel* job = nullptr;
  TimePoint started{};
  TimePoint ends{};
  bool late = false;
};

struct InstanceModel {
  std::string name;
  /// kPools is the standby pool.
  int pool = kPools;
  bool released = false;
  bool lost = false;
  TimePoint arrives{};
  std::vector<RunModel> runs;

  std::int64_t Used() const {
    return static_cast<std::int64_t>(this->runs.size()) * kTaskMillicores;
  }
};

struct Result {
  double jobs = 0;
  double in_time = 0;
  double late = 0;
  double instance_seconds = 0;
  double moves = 0;
};

std::string PoolName(int pool) { return "pool-" + std::to_string(pool); }

enum class Balancer : std::uint8_t { kAhead, kFormer, kNaive };

/// The jobs per second of a pool.
double RateOf(const std::string& load, int pool, Duration time) {
  const auto turn = static_cast<int>(time / kTurn);
  bool peak = turn % kPools == pool;
  if (load == "never_again" && pool == 2 && turn >= kPools) {
    peak = false;
  }
  double factor = peak ? 5 : 0.05;
  if (load == "shift" && pool == 0 && time > std::chrono::seconds(12)) {
    factor = std::max(factor, 2.0);
  }
  // A team sends more than usual to a queue that isn't at its peak.
  if (load == "bursts" && ((pool == 3 && time % std::chrono::seconds(17) <
                                             std::chrono::seconds(6)) ||
                           (pool == 1 && time > std::chrono::seconds(25)))) {
    factor += 1.5;
  }
  return kMeanJobsPerSecond * factor;
}

/// Four pools, their instances and their jobs. Time advances in steps of 10 ms.
class Fleet {
 public:
  Fleet(std::string load, Balancer balancer, unsigned seed)
      : load(std::move(load)), kind(balancer), random(seed) {
    for (int i = 0; i < kInstances; ++i) {
      InstanceModel& instance = this->instances.emplace_back();
      instance.name = "instance-" + std::to_string(1'000 + i);
      instance.pool = std::min(i / kInitialPoolSize, kPools);
    }
  }

  Result Run(std::chrono::seconds duration) {
    const TimePoint begin = this->now + kWarmup;
    const TimePoint end = begin + duration;
    // Jobs that arrive near the end may complete.
    for (; this->now < end + std::chrono::seconds(4); this->now += kStep) {
      if (this->now >= begin && this->now < end) {
        this->Submit(this->now - begin);
      }
      if (this->load == "lost_zone" &&
          this->now == begin + std::chrono::seconds(15)) {
        this->LoseZone();
      }
      this->EndRuns();
      if (this->now.time_since_epoch() % kBalanceInterval == Duration(0)) {
        this->Balance();
      }
      this->Place();
      if (this->now >= begin && this->now < end) {
        for (const InstanceModel& instance : this->instances) {
          this->result.instance_seconds +=
              instance.pool < kPools && !instance.lost ? 0.01 : 0;
        }
      }
    }
    return this->result;
  }

 private:
  void Submit(Duration time) {
    for (int pool = 0; pool < kPools; ++pool) {
      const double mean = RateOf(this->load, pool, time) * 0.01;
      for (int n = std::poisson_distribution<int>(mean)(this->random); n > 0;
           --n) {
        this->SubmitJob(pool);
      }
    }
  }

  void SubmitJob(int pool) {
    const auto uniform = [this](double from, double to) {
      return std::uniform_real_distribution<double>(from, to)(this->random);
    };
    const double error = absl::GetFlag(FLAGS_estimate_error);
    auto job = std::make_unique<JobModel>();
    job->pool = pool;
    job->accepted = this->now;
    job->steps_left = uniform(0, 1) < 0.6 ? 2 : 1;
    const double mean_ms = uniform(540, 800);
    job->estimate =
        milliseconds(static_cast<int>(mean_ms * uniform(1 - error, 1 + error)));
    for (int i = 0; i < job->steps_left; ++i) {
      job->durations.emplace_back(static_cast<int>(mean_ms));
    }
    const milliseconds chain = job->estimate * job->steps_left;
    job->objective = chain * 8 / 5 + milliseconds(600);
    job->waiting = job->open = kTasksPerStep;
    this->forecast.OnAccepted(
        PoolName(pool),
        AcceptedWork{Occupation{kTasksPerStep * kTaskMillicores, 0}, chain},
        this->now);
    this->accepted_work.emplace_back(
        this->now, pool,
        kTasksPerStep * kTaskMillicores *
            std::chrono::duration<double>(chain).count());
    this->result.jobs += 1;
    this->waiting[pool].push_back(job.get());
    this->jobs.push_back(std::move(job));
  }

  void LoseZone() {
    for (std::size_t i = 0; i < this->instances.size(); i += 4) {
      InstanceModel& instance = this->instances[i];
      instance.lost = true;
      for (const RunModel& run : instance.runs) {
        std::vector<JobModel*>& steps = this->waiting[run.job->pool];
        if (std::find(steps.begin(), steps.end(), run.job) == steps.end()) {
          steps.push_back(run.job);
        }
        ++run.job->waiting;
      }
      instance.runs.clear();
    }
  }

  void EndRuns() {
    for (InstanceModel& instance : this->instances) {
      std::erase_if(instance.runs, [this](const RunModel& run) {
        if (run.ends > this->now) {
          return false;
        }
        this->EndTask(*run.job);
        return true;
      });
    }
  }

  void EndTask(JobModel& job) {
    if (--job.open > 0) {
      return;
    }
    if (--job.steps_left > 0) {
      job.waiting = job.open = kTasksPerStep;
      this->waiting[job.pool].push_back(&job);
      return;
    }
    const bool in_time = this->now <= job.accepted + job.objective;
    (in_time ? this->result.in_time : this->result.late) += 1;
  }

  /// Starts waiting tasks, those in time first by their deadline.
  void Place() {
    for (auto& [pool, steps] : this->waiting) {
      std::erase_if(steps,
                    [](const JobModel* job) { return job->waiting == 0; });
      std::stable_sort(steps.begin(), steps.end(),
                       [this](const JobModel* a, const JobModel* b) {
                         return std::tuple(a->IsLate(this->now),
                                           a->accepted + a->objective) <
                                std::tuple(b->IsLate(this->now),
                                           b->accepted + b->objective);
                       });
      std::size_t next = 0;
      for (InstanceModel& instance : this->instances) {
        if (instance.pool != pool || instance.lost || instance.released ||
            this->now < instance.arrives) {
          continue;
        }
        while (next < steps.size() &&
               instance.Used() + kTaskMillicores <= kMillicores) {
          JobModel& job = *steps[next];
          instance.runs.push_back(RunModel{&job, this->now,
                                           this->now + job.StepTime(),
                                           job.IsLate(this->now)});
          next += --job.waiting == 0 ? 1 : 0;
        }
      }
    }
  }

  std::vector<PoolDemand> Demands() {
    std::vector<PoolDemand> demands(kPools + 1);
    this->forecast.Update(this->now);
    for (int pool = 0; pool <= kPools; ++pool) {
      PoolDemand& demand = demands[static_cast<std::size_t>(pool)];
      demand.pool = PoolName(pool);
      demand.standby = pool == kPools;
      for (const JobModel* job : this->waiting[pool]) {
        const std::int64_t amount = job->waiting * kTaskMillicores;
        demand.waiting_millicores += amount;
        demand.late_millicores += job->IsLate(this->now) ? amount : 0;
      }
      if (this->kind == Balancer::kAhead && !demand.standby) {
        DemandOutlook outlook = this->forecast.OutlookOf(demand.pool, this->now,
                                                         milliseconds(1'800));
        if (outlook.trend == DemandOutlook::Trend::kFalling) {
          outlook.expected =
              this->forecast
                  .OutlookOf(demand.pool, this->now, milliseconds(500))
                  .expected;
        }
        demand.outlook = outlook;
        demand.promised_soon =
            this->forecast
                .OutlookOf(demand.pool, this->now,
                           milliseconds(1'800) + milliseconds(1'000))
                .promised;
      }
    }
    for (const InstanceModel& instance : this->instances) {
      PoolDemand& demand = demands[static_cast<std::size_t>(instance.pool)];
      for (const RunModel& run : instance.runs) {
        demand.used_millicores += kTaskMillicores;
        demand.late_millicores += run.late ? kTaskMillicores : 0;
        demand.late_used_millicores += run.late ? kTaskMillicores : 0;
      }
    }
    return demands;
  }

  void Balance() {
    std::vector<PooledInstance> listed;
    for (const InstanceModel& instance : this->instances) {
      if (!instance.lost && this->now >= instance.arrives) {
        listed.push_back(PooledInstance{instance.name, PoolName(instance.pool),
                                        kMillicores, instance.runs.empty(), 0});
      }
    }
    const PoolPlan plan =
        this->kind == Balancer::kNaive
            ? this->PlanNaively(listed)
            : this->balancer.Plan(this->Demands(), listed, this->now);
    this->Release(plan.releases);
    for (const InstanceMove& move : plan.moves) {
      const auto instance = std::find_if(
          this->instances.begin(), this->instances.end(),
          [&](const InstanceModel& row) { return row.name == move.instance; });
      for (int pool = 0; pool <= kPools; ++pool) {
        if (PoolName(pool) == move.to_pool) {
          instance->pool = pool;
        }
      }
      instance->arrives = this->now + kMove;
      this->result.moves += 1;
    }
  }

  /// Moves empty instances, at most 16 at a time, so that each pool has what
  /// the work accepted within the last second needs.
  PoolPlan PlanNaively(const std::vector<PooledInstance>& listed) {
    std::map<std::string, double> wanted;
    for (int pool = 0; pool < kPools; ++pool) {
      wanted[PoolName(pool)] = 5;
    }
    while (!this->accepted_work.empty() &&
           this->now - std::get<0>(this->accepted_work.front()) >
               std::chrono::seconds(1)) {
      this->accepted_work.pop_front();
    }
    for (const auto& [time, pool, work] : this->accepted_work) {
      wanted[PoolName(pool)] += work * 1.25 / static_cast<double>(kMillicores);
    }
    wanted[PoolName(kPools)] = kInstances;
    for (const InstanceModel& instance : this->instances) {
      wanted[PoolName(instance.pool)] -= instance.lost ? 0 : 1;
    }
    PoolPlan plan;
    for (const PooledInstance& instance : listed) {
      const auto neediest = std::max_element(
          wanted.begin(), std::prev(wanted.end()),
          [](const auto& a, const auto& b) { return a.second < b.second; });
      const std::string to =
          neediest->second >= 1 ? neediest->first : PoolName(kPools);
      if (instance.empty && instance.pool != to &&
          (instance.pool == PoolName(kPools) || wanted[instance.pool] <= -1) &&
          plan.moves.size() < 16) {
        plan.moves.push_back(InstanceMove{instance.instance, to});
        wanted[to] -= 1;
        wanted[instance.pool] += 1;
      }
    }
    return plan;
  }

  void Release(const std::map<std::string, std::size_t>& releases) {
    std::map<int, std::vector<std::tuple<bool, Duration, InstanceModel*>>>
        candidates;
    for (InstanceModel& instance : this->instances) {
      Duration vacancy{0};
      for (const RunModel& run : instance.runs) {
        const Duration elapsed = this->now - run.started;
        vacancy = std::max({vacancy, run.job->estimate - elapsed,
                            elapsed - Duration(run.job->estimate)});
      }
      candidates[instance.pool].emplace_back(!instance.released, vacancy,
                                             &instance);
      instance.released = false;
    }
    for (auto& [pool, rows] : candidates) {
      const auto release = releases.find(PoolName(pool));
      if (release == releases.end()) {
        continue;
      }
      std::sort(rows.begin(), rows.end());
      rows.resize(std::min(rows.size(), release->second));
      for (const auto& row : rows) {
        std::get<2>(row)->released = true;
      }
    }
  }

  std::string load;
  Balancer kind;
  std::mt19937 random;
  TimePoint now{std::chrono::hours(1)};
  std::vector<InstanceModel> instances;
  std::vector<std::unique_ptr<JobModel>> jobs;
  std::map<int, std::vector<JobModel*>> waiting;
  std::deque<std::tuple<TimePoint, int, double>> accepted_work;
  DemandForecast forecast{DemandForecast::Config{}, this->now};
  PoolBalancer balancer{PoolBalancer::Config{}};
  Result result;
};

}  // namespace

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  const std::vector<std::pair<Balancer, std::string>> balancers{
      {Balancer::kAhead, "ahead"},
      {Balancer::kFormer, "former"},
      {Balancer::kNaive, "naive"}};
  for (const std::string load :
       {"rotation", "bursts", "never_again", "shift", "lost_zone"}) {
    for (const auto& [balancer, name] : balancers) {
      Result sum;
      for (int seed = 1; seed <= absl::GetFlag(FLAGS_seeds); ++seed) {
        const Result day =
            Fleet(load, balancer, static_cast<unsigned>(seed))
                .Run(std::chrono::seconds(absl::GetFlag(FLAGS_seconds)));
        sum.jobs += day.jobs;
        sum.in_time += day.in_time;
        sum.late += day.late;
        sum.instance_seconds += day.instance_seconds;
        sum.moves += day.moves;
      }
      const double seconds =
          absl::GetFlag(FLAGS_seconds) * absl::GetFlag(FLAGS_seeds);
      std::cout << "{\"load\":\"" << load << "\",\"balancer\":\"" << name
                << "\",\"jobs\":" << sum.jobs
                << ",\"in_time\":" << sum.in_time / sum.jobs
                << ",\"late\":" << sum.late / sum.jobs << ",\"unfinished\":"
                << (sum.jobs - sum.in_time - sum.late) / sum.jobs
                << ",\"instances\":" << sum.instance_seconds / seconds
                << ",\"moves_per_second\":" << sum.moves / seconds
                << ",\"cost_per_second\":"
                << (sum.instance_seconds + kCostOfMove * sum.moves) / seconds
                << "}\n";
    }
  }
  return 0;
}
