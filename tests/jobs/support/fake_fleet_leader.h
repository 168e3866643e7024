#ifndef MIMOSASTAGE_TESTS_JOBS_SUPPORT_FAKE_FLEET_LEADER_H_
#define MIMOSASTAGE_TESTS_JOBS_SUPPORT_FAKE_FLEET_LEADER_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "mimosastage/jobs/dispatcher.h"
#include "mimosastage/jobs/fleet_state.h"

namespace mimosastage::jobs {

/// A simulated worker that executes orders immediately; a silent one neither
/// executes nor answers them.
struct FakeWorker {
  Worker record;
  bool silent = false;
  /// The incarnation has ended; connections to it are refused.
  bool ended_without_notice = false;
  /// The incarnation has ended, and one with another id lives at its address.
  bool replaced = false;
  std::uint64_t token = 0;
  std::int64_t deadline = 0;
  std::map<std::pair<TaskId, std::uint32_t>, std::int64_t> running;
  std::set<std::pair<TaskId, std::uint32_t>> refused;
  std::vector<EndedRun> ended;
  std::uint64_t last_end_number = 0;
};

/// A Dispatcher with simulated workers, simulated time and a log whose commits
/// can be stalled. Time advances in steps of 10 ms.
class FakeFleetLeader {
 public:
  explicit FakeFleetLeader(Dispatcher::Config config = {});

  /// Adds a pool and its queue "queue-POOL". Must precede BeginTerm.
  void AddPool(const std::string& pool, bool standby = false,
               bool advised = false);
  /// Adds a team; a limit of 0 means none.
  void AddTeam(const std::string& team, std::int64_t most_millicores,
               double weight = 1);
  FakeWorker& AddWorker(const std::string& id, const std::string& pool,
                        std::int64_t millicores, const std::string& zone = "");
  /// Starts a new term with a new Dispatcher. Pending callbacks and orders are
  /// lost; the state remains.
  void BeginTerm();
  void Submit(const std::string& id, const std::string& pool,
              std::vector<Step> steps, const std::string& team = "");
  void Cancel(const std::string& id);
  void Evacuate(const std::string& zone);
  void WithdrawEvacuation(const std::string& zone);
  void Advance(std::chrono::milliseconds time);
  /// Makes the proposed commands durable, unless the log is stalled.
  void Commit();
  /// Ends the task's run on the worker.
  void EndRun(const std::string& worker, const TaskId& task, RunOutcome outcome,
              const std::string& checkpoint = "");
  /// Ends the worker without notice. Another incarnation on its instance
  /// announces itself after `restart_delay`.
  void Crash(const std::string& worker);
  /// Ends the worker without notice. Another incarnation, which knows nothing,
  /// lives under its id and at its address from now on, and hasn't announced
  /// itself yet.
  void ReplaceUnderItsId(const std::string& worker);
  void Announce(const std::string& worker);
  /// Executes an order that was held back, and answers it if `answered`.
  void ExecuteHeldBack(const WorkerOrder& order, bool answered);

  const Job& JobOf(const std::string& id) { return *this->state.FindJob(id); }
  /// Returns the workers that currently run the task.
  std::vector<std::string> WorkersOf(const TaskId& task) const;
  /// Returns the number of running tasks of all workers.
  std::size_t RunningTasks() const;

  Dispatcher::Config config;
  FleetState state;
  std::unique_ptr<Dispatcher> dispatcher;
  std::map<std::string, FakeWorker> workers;
  /// While true, no proposed command becomes durable.
  bool log_stalled = false;
  /// While true, start orders are executed but their answers are lost.
  bool lose_start_answers = false;
  /// While true, a worker delays its answer to a hold by the requested wait, or
  /// until a run ends.
  bool delay_hold_answers = false;
  /// How many orders the leader's process can send in 10 ms. Orders that wait
  /// for longer than `max_send_wait` are never started.
  std::size_t orders_per_tick = std::numeric_limits<std::size_t>::max();
  std::chrono::milliseconds max_send_wait{250};
  /// If set and true for an order, the leader's process can't send it.
  std::function<bool(const WorkerOrder& order)> waits_to_be_sent;
  /// How far the time that the leader passes along with answers is behind, as
  /// after a freeze or CPU starvation.
  std::chrono::milliseconds leader_lag{0};
  /// How many orders were answered as not started.
  int not_started_orders = 0;
  /// How often each event was reported.
  std::map<std::string, int> reports;
  std::vector<InstanceRequest> instance_requests;
  std::vector<StartOrder> starts;
  /// Tasks that crash each worker 10 ms after it has started them.
  std::set<TaskId> crashing;
  std::chrono::milliseconds restart_delay{3'000};
  /// How many workers have crashed while they ran each task.
  std::map<TaskId, int> crashes_under;
  int crashes = 0;
  /// Runs whose start was proposed to the log.
  std::vector<RunStart> proposed_starts;
  std::vector<AdviceRequest> advice_requests;
  /// If set, changes each answer before the leader gets it.
  std::function<void(const WorkerOrder& order, WorkerReply& reply)>
      change_reply;
  /// If set and true for an order, the order isn't executed, and is unanswered
  /// after its timeout.
  std::function<bool(const WorkerOrder& order)> hold_back;
  std::uint64_t fence = 0;
  TimePoint now{std::chrono::hours(1)};
  std::chrono::milliseconds wall{1'000'000};

 private:
  void ChangeEvacuation(const std::string& zone, bool withdrawn);
  WorkerReply Execute(const WorkerOrder& order);
  /// Takes the orders that the leader's process can send in this tick, and
  /// answers those that have waited for too long.
  std::deque<WorkerOrder> TakeSentOrders();
  void AdvanceOneTick();
  /// Crashes the workers of crashing tasks, and announces the incarnations that
  /// are due.
  void CrashAndRestartWorkers();

  Configuration configuration;
  std::deque<std::function<void(TimePoint)>> commit_callbacks;
  /// Orders that wait to be sent, with the time at which they were given.
  std::deque<std::pair<TimePoint, WorkerOrder>> orders;
  /// Delayed holds with the time of their answer.
  std::deque<std::pair<TimePoint, WorkerOrder>> waiting_holds;
  /// Orders that were held back, with the time at which they are unanswered.
  std::deque<std::pair<TimePoint, std::uint64_t>> held_back;
  /// Incarnations that announce themselves at a later time.
  std::deque<std::pair<TimePoint, Worker>> restarting;
};

/// Makes a step of `tasks` tasks that need `millicores` each.
Step MakeStep(std::uint32_t tasks, std::int64_t millicores);

}  // namespace mimosastage::jobs

#endif  // MIMOSASTAGE_TESTS_JOBS_SUPPORT_FAKE_FLEET_LEADER_H_
