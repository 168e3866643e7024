#ifndef MIMOSASTAGE_TESTS_JOBS_SUPPORT_SCHEDULE_WORKER_H_
#define MIMOSASTAGE_TESTS_JOBS_SUPPORT_SCHEDULE_WORKER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "mimosastage/base/time.h"
#include "mimosastage/jobs/worker_order.h"
#include "tests/jobs/support/run_rules.h"

namespace mimosastage::jobs {

/// One incarnation of a simulated worker, which follows the worker's side of
/// the protocol exactly: fencing token, lease by its own clock, numbered ends,
/// refused runs, holds that wait for an end. Reports what it does to RunRules.
class ScheduleWorker {
 public:
  using RunKey = RunRules::RunKey;

  struct Behaviour {
    /// Rejects a start that doesn't fit, rather than to carry it out.
    bool guards_capacity = false;
    /// Rate of the worker's clock relative to real time.
    double clock_rate = 1;
    std::chrono::milliseconds clock_origin{0};
    /// One in this many runs fails; 1 for a worker that fails all.
    std::uint64_t failure_interval = 50;
    /// One in this many runs lasts several times as long as others; 0 for none.
    std::uint64_t straggler_interval = 0;
    /// Answers to starts and stops contain the start of the incarnation as
    /// well.
    bool always_says_born = false;
  };

  struct Run {
    const Step* step = nullptr;
    TimePoint began{};
    /// When the work is done, if it isn't stopped before; unset while a member
    /// of a gang waits for the others.
    std::optional<TimePoint> finish;
    RunOutcome outcome = RunOutcome::kDone;
    std::optional<TimePoint> stops_at;
    std::string checkpoint;
    std::uint32_t saved = 0;
  };

  ScheduleWorker(Worker record, Behaviour behaviour, RunRules& rules,
                 std::mt19937_64& random, TimePoint now);

  /// Executes an order that was given at `ordered`. The answer to a hold lists
  /// nothing; see List.
  WorkerReply Execute(const WorkerOrder& order, TimePoint ordered,
                      TimePoint now);
  /// Ends the runs that are due.
  void Advance(TimePoint now);
  /// True if a hold with this `last_durable_end` has an end to tell of.
  bool HasEndAfter(std::uint64_t last_durable_end) const;
  void List(WorkerReply& reply, TimePoint now) const;
  void EndRun(const RunKey& key, RunOutcome outcome, TimePoint now);
  /// The process ends, with everything that it runs.
  void Exit(TimePoint now);

  std::chrono::milliseconds Clock(TimePoint now) const;
  std::map<RunKey, Run>& Runs() { return this->runs; }
  RunRules::Life Life() const { return this->life; }

  Worker record;
  bool up = true;
  std::uint64_t sequence = 0;

 private:
  OrderResult Start(const StartOrder& start, TimePoint ordered, TimePoint now);
  void Stop(const StopOrder& stop, TimePoint now);
  void ExtendLease(std::chrono::milliseconds deadline, TimePoint now);
  std::chrono::milliseconds DrawMilliseconds(std::uint64_t bound) {
    return std::chrono::milliseconds(this->random() % bound);
  }

  Behaviour behaviour;
  RunRules& rules;
  std::mt19937_64& random;
  TimePoint born;
  RunRules::Life life;
  std::uint64_t token = 0;
  /// On the worker's clock; unset before the first order and after a lapse.
  std::optional<std::chrono::milliseconds> deadline;
  std::map<RunKey, Run> runs;
  /// The highest run of each task that was stopped or has ended here.
  std::map<TaskId, std::uint32_t> refused_up_to;
  std::vector<EndedRun> ended;
  std::uint64_t last_end = 0;
};

}  // namespace mimosastage::jobs

#endif  // MIMOSASTAGE_TESTS_JOBS_SUPPORT_SCHEDULE_WORKER_H_
