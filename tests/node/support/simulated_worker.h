#ifndef MIMOSASTAGE_TESTS_NODE_SUPPORT_SIMULATED_WORKER_H_
#define MIMOSASTAGE_TESTS_NODE_SUPPORT_SIMULATED_WORKER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "mimosastage/jobs/records.h"
#include "mimosastage/jobs/worker_order.h"
#include "tests/node/support/event_queue.h"
#include "tests/node/support/job_rules.h"

namespace mimosastage {

/// One life of a worker that doesn't guard its capacity: executes the orders of
/// daemons under a lease on its own clock, which may be slow, keeps the ends of
/// runs until a hold covers them, and tells the rules what happens.
class SimulatedWorker {
 public:
  /// Specification of tasks that don't end by themselves.
  static constexpr const char* kLasting = "lasting";

  using Reply = std::function<void(jobs::WorkerReply reply)>;

  struct Settings {
    jobs::Worker record;
    /// Rate of the worker's clock, which is 0 at its birth.
    double clock_rate = 1;
    std::uint64_t seed = 0;
  };

  SimulatedWorker(Settings settings, EventQueue& events, JobRules& rules);
  SimulatedWorker(const SimulatedWorker&) = delete;
  SimulatedWorker& operator=(const SimulatedWorker&) = delete;

  const jobs::Worker& Record() const { return this->settings.record; }
  JobRules::WorkerLife Life() const {
    return {this->settings.record.id, this->settings.record.born_ms};
  }
  /// Executes an order that has arrived. `reply` runs at once, for a hold that
  /// waits later, and never once the worker has died. `ordered_at` is when the
  /// order left its daemon.
  void Execute(const jobs::WorkerOrder& order, Duration ordered_at,
               const Reply& reply);
  /// Ends without notice.
  void Die();
  bool Alive() const { return this->alive; }
  /// The number of the next announcement.
  std::uint64_t NextSequence() { return ++this->sequence; }

 private:
  using RunKey = std::pair<jobs::TaskId, std::uint32_t>;

  struct WaitingHold {
    jobs::WorkerReply reply;
    Reply answer;
  };

  std::chrono::milliseconds Clock() const;
  /// When the worker's clock shows `clock`.
  Duration TimeOf(std::chrono::milliseconds clock) const;
  bool PassesFence(std::uint64_t fence);
  void Start(const jobs::StartOrder& start, Duration ordered_at,
             jobs::WorkerReply& reply);
  void Stop(const jobs::StopOrder& stop);
  void Hold(const jobs::WorkerOrder& order, const jobs::HoldOrder& hold,
            jobs::WorkerReply reply, const Reply& answer);
  void ExtendLease(std::chrono::milliseconds deadline);
  void CheckLease();
  void EndRun(const RunKey& key, jobs::RunOutcome outcome);
  /// Fills in the lists and answers.
  void AnswerHold(WaitingHold hold);

  Settings settings;
  EventQueue& events;
  JobRules& rules;
  std::mt19937_64 random;
  /// Events that were scheduled check this before they use the worker.
  std::shared_ptr<bool> present = std::make_shared<bool>(true);
  Duration born_at{};
  bool alive = true;
  std::uint64_t sequence = 0;
  std::uint64_t highest_fence = 0;
  std::optional<std::chrono::milliseconds> lease;
  /// The runs here, and whether each is being stopped.
  std::map<RunKey, bool> running;
  /// The jobs here whose tasks don't end by themselves.
  std::set<std::string> lasting;
  /// The highest run of each task that was stopped or has ended here.
  std::map<jobs::TaskId, std::uint32_t> highest_refused;
  std::vector<jobs::EndedRun> ended;
  std::uint64_t last_end = 0;
  std::map<std::uint64_t, WaitingHold> waiting;
  std::uint64_t next_waiting = 0;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_TESTS_NODE_SUPPORT_SIMULATED_WORKER_H_
