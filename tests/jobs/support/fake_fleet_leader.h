#ifndef MIMOSASTAGE_TESTS_JOBS_SUPPORT_FAKE_FLEET_LEADER_H_
#define MIMOSASTAGE_TESTS_JOBS_SUPPORT_FAKE_FLEET_LEADER_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "mimosastage/jobs/dispatcher.h"
#include "mimosastage/jobs/fleet_state.h"

namespace mimosastage::jobs {

/// A worker that carries out orders at once. It can be silent, and it can keep
/// the answer to an order.
struct FakeWorker {
  Worker record;
  bool silent = false;
  std::uint64_t fence = 0;
  std::int64_t deadline = 0;
  std::map<std::pair<TaskId, std::uint32_t>, std::int64_t> running;
  std::set<std::pair<TaskId, std::uint32_t>> refused;
  std::vector<EndedRun> ended;
  std::uint64_t ends = 0;
};

/// One Dispatcher around a log that commits when told to, and fake workers with
/// a clock of their own. Time moves in steps of 10 ms.
class FakeFleetLeader {
 public:
  using Log = std::vector<std::string>;

  explicit FakeFleetLeader(Dispatcher::Config config = {});

  /// Adds a pool and its queue "queue-POOL"; must precede Begin.
  void AddPool(const std::string& pool, bool standby = false,
               bool advised = false);
  void AddTeam(const std::string& team, std::int64_t most_millicores);
  FakeWorker& AddWorker(const std::string& id, const std::string& pool,
                        std::int64_t millicores);
  /// A new term of a leader, with the state as committed.
  void BeginTerm();
  void Submit(const std::string& id, const std::string& pool,
              std::vector<Step> steps, const std::string& team = "");
  void Cancel(const std::string& id);
  void Advance(std::chrono::milliseconds time);
  /// Ends a run at its worker.
  void EndRun(const std::string& worker, const TaskId& task, RunOutcome outcome,
              const std::string& checkpoint = "");

  const Job& JobOf(const std::string& id) { return *this->state.FindJob(id); }
  /// Workers that run the task now.
  std::vector<std::string> WorkersOf(const TaskId& task) const;
  std::size_t Running() const;

  Dispatcher::Config config;
  FleetState state;
  std::unique_ptr<Dispatcher> dispatcher;
  std::map<std::string, FakeWorker> workers;
  /// While true, nothing that is proposed becomes durable.
  bool log_stalled = false;
  /// While true, answers to starts are lost; the orders are carried out.
  bool lose_start_answers = false;
  /// Holds are answered after the wait that they ask for, or at an end.
  bool delay_hold_answers = false;
  /// The leader handles answers with a time that is so old, as after a freeze
  /// or without processor time.
  std::chrono::milliseconds leader_lag{0};
  std::vector<InstanceRequest> instance_requests;
  std::vector<StartOrder> starts;
  std::vector<AdviceRequest> advice_requests;
  std::uint64_t fence = 0;
  TimePoint now{std::chrono::hours(1)};
  std::chrono::milliseconds wall{1'000'000};

 private:
  WorkerReply Execute(const WorkerOrder& order);
  void AdvanceOneTick();

  Configuration configuration;
  std::deque<std::function<void(TimePoint)>> commit_callbacks;
  std::deque<WorkerOrder> orders;
  /// Holds that wait, with the time of their answer.
  std::deque<std::pair<TimePoint, WorkerOrder>> waiting_holds;
};

/// A step of `tasks` tasks that need `millicores` each.
Step MakeStep(std::uint32_t tasks, std::int64_t millicores);

}  // namespace mimosastage::jobs

#endif  // MIMOSASTAGE_TESTS_JOBS_SUPPORT_FAKE_FLEET_LEADER_H_
