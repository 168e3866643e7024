#ifndef MIMOSASTAGE_TESTS_JOBS_SUPPORT_WORKER_SCHEDULE_H_
#define MIMOSASTAGE_TESTS_JOBS_SUPPORT_WORKER_SCHEDULE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "mimosastage/jobs/dispatcher.h"
#include "mimosastage/jobs/fleet_state.h"
#include "tests/jobs/support/run_rules.h"
#include "tests/jobs/support/schedule_worker.h"

namespace mimosastage::jobs {

/// Leaders that follow one another over one log, simulated workers, a network
/// that loses, delays and reorders, a platform that moves instances, and
/// clients that submit and cancel jobs. Each leader is composed as JobNode does
/// it: a working copy of the state, a log with a delay until commit, and
/// effects that run once their entry is committed. Simulated time, no threads;
/// deterministic for a given seed.
class WorkerSchedule {
 public:
  /// What can go wrong. Part of them is switched on by each seed.
  struct Faults {
    /// One in this many orders is lost, late or without an answer; 0 for none.
    std::uint64_t order_interval = 0;
    /// One in this many announcements is late; 0 for none.
    std::uint64_t announcement_interval = 0;
    bool leaders_change = false;
    bool leaders_pause = false;
    bool log_stalls = false;
    bool workers_crash = false;
    /// A new incarnation may have the id of the one before.
    bool ids_return = false;
    /// An order may reach a later incarnation than the one that was there when
    /// it was sent.
    bool orders_outlive_workers = false;
    bool workers_are_cut = false;
    bool workers_freeze = false;
    bool workers_drain = false;
    bool workers_fail_all = false;
    bool jobs_are_cancelled = false;
    /// Waves of upkeep, moves between pools, and a platform that is slow or
    /// doesn't answer.
    bool platform_acts = false;
    /// One in ten runs lasts several times as long as others. Steps without
    /// checkpoints are speculative, and the leader copies such runs.
    bool runs_straggle = false;
    /// The leader applies shares of teams and stops runs for urgent work.
    bool shares_and_preemption = false;
  };

  explicit WorkerSchedule(std::uint64_t seed);
  WorkerSchedule(std::uint64_t seed, Faults faults);

  /// Returns a description of the failures, or an empty string.
  std::string Run();

  const RunRules& Rules() const { return this->rules; }
  std::size_t Terms() const { return this->terms; }
  /// How many runs were stopped for urgent work.
  std::size_t Preemptions() const { return this->preemptions; }

 private:
  struct Term {
    FleetState working;
    std::unique_ptr<Dispatcher> dispatcher;
    Batch batch;
    std::vector<std::function<void(TimePoint)>> batch_effects;
    TimePoint last_entry{};
  };

  /// An entry that was proposed and isn't committed yet.
  struct Entry {
    TimePoint commit_at{};
    std::string bytes;
    std::vector<std::function<void(TimePoint)>> effects;
  };

  struct Machine {
    std::string name;
    std::string pool;
    std::string rack;
    InstanceStatus state = InstanceStatus::kUp;
    std::int64_t millicores = 0;
    std::int64_t memory_mb = 0;
    std::string address;
    std::unique_ptr<ScheduleWorker> worker;
    TimePoint next_announcement{};
    std::optional<TimePoint> next_birth;
    TimePoint cut_until{};
    TimePoint frozen_until{};
    bool draining = false;
    std::optional<TimePoint> exits_at;
    std::set<std::uint64_t> upkeep_done;
  };

  struct WaitingHold {
    std::size_t machine = 0;
    RunRules::Life life = 0;
    std::uint64_t last_durable_end = 0;
    TimePoint answer_at{};
    WorkerReply reply;
    std::function<void(WorkerReply)> answer;
  };

  struct SubmittedJob {
    std::shared_ptr<const JobRequest> request;
    bool acknowledged = false;
    bool cancel_wanted = false;
    bool cancelled = false;
    TimePoint next_call{};
  };

  struct PresentGang {
    TimePoint first_seen{};
    std::optional<TimePoint> finish;
  };

  static Faults DrawFaults(std::mt19937_64& random);
  std::uint64_t Draw(std::uint64_t bound) { return this->random() % bound; }
  bool OneIn(std::uint64_t interval) {
    return interval > 0 && this->Draw(interval) == 0;
  }
  std::chrono::milliseconds DrawTime(std::uint64_t low_ms,
                                     std::uint64_t high_ms) {
    return std::chrono::milliseconds(low_ms + this->Draw(high_ms - low_ms));
  }
  void At(TimePoint when, std::function<void()> event) {
    this->events.emplace(when, std::move(event));
  }
  std::chrono::milliseconds Wall() const;
  void Trace(const std::string& line) const;

  // The group of daemons.
  void BeginTerm();
  void EndTerm();
  void Propose(Command command, std::function<void(TimePoint)> committed);
  void FlushBatch();
  void Commit();
  void AdvanceLeader();

  // The network.
  void SendOrder(WorkerOrder order);
  void DeliverOrder(const WorkerOrder& order, RunRules::Life sent_to,
                    TimePoint ordered,
                    const std::function<void(WorkerReply)>& answer);
  void AnswerHolds();
  void SendInstanceRequest(const InstanceRequest& request);
  InstanceReply ExecuteInstanceRequest(const InstanceRequest& request);

  // Workers.
  void Bear(Machine& machine, const std::string& id);
  void Announce(Machine& machine);
  void EndProcess(Machine& machine, std::chrono::milliseconds until_birth);
  void AdvanceWorkers();
  void AdvanceGangs();
  Machine* MachineAt(const std::string& address);

  // Clients.
  void Configure();
  std::shared_ptr<JobRequest> DrawJob();
  std::unique_ptr<Step> DrawStep(std::uint32_t number);
  void SubmitJobs();
  void CallLeader();

  void InjectFault();
  void Heal();
  void Step5Milliseconds(bool faulty);
  std::string Unfinished() const;

  std::mt19937_64 random;
  Faults faults;
  bool verbose = false;
  TimePoint now{std::chrono::hours(1)};
  TimePoint end_of_faults{};
  RunRules rules;
  FleetState committed;
  std::deque<Entry> entries;
  std::unique_ptr<Term> term;
  std::size_t terms = 0;
  std::size_t preemptions = 0;
  TimePoint next_term{};
  TimePoint paused_until{};
  TimePoint log_stalled_until{};
  std::multimap<TimePoint, std::function<void()>> events;
  std::vector<Machine> machines;
  std::uint64_t lives = 0;
  std::vector<WaitingHold> holds;
  std::map<std::string, SubmittedJob> jobs;
  std::map<std::tuple<std::string, std::uint32_t, std::uint32_t>, PresentGang>
      gangs;
  TimePoint next_job{};
  TimePoint next_fault{};
  std::uint64_t next_wave = 1;
};

}  // namespace mimosastage::jobs

#endif  // MIMOSASTAGE_TESTS_JOBS_SUPPORT_WORKER_SCHEDULE_H_
