#ifndef MIMOSASTAGE_JOBS_WORKER_ORDER_H_
#define MIMOSASTAGE_JOBS_WORKER_ORDER_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "mimosastage/base/names.h"
#include "mimosastage/base/time.h"
#include "mimosastage/jobs/records.h"

namespace mimosastage::jobs {

/// Starts one run of a task. The worker refuses it after `deadline`, a time on
/// the worker's steady clock.
struct StartOrder {
  TaskId task;
  std::uint32_t run = 0;
  std::string specification;
  std::string checkpoint;
  std::chrono::milliseconds deadline{0};
  /// Issued by the advisory service for queues that require it; otherwise
  /// empty.
  std::string ticket;
};

/// Stops a run. If its start order arrives later, the worker refuses it.
struct StopOrder {
  TaskId task;
  std::uint32_t run = 0;
};

/// Extends the worker's lease and requests its running tasks and ended runs.
struct HoldOrder {
  std::optional<std::chrono::milliseconds> deadline;
  /// Run ends up to this number are durable in the log, so that the worker may
  /// drop them.
  std::uint64_t last_durable_end = 0;
  /// How long the worker may delay its answer while no run ends.
  std::chrono::milliseconds wait{0};
};

/// Limits a task to a percentage of its CPU.
struct PaceOrder {
  TaskId task;
  std::uint32_t run = 0;
  std::uint32_t percent = 100;
};

struct WorkerOrder {
  std::uint64_t number = 0;
  /// Id of the worker incarnation that must execute the order.
  std::string worker;
  /// "IP:PORT".
  std::string address;
  /// Increases with each term. Carriers refuse batches with a lower one.
  std::uint64_t fence = 0;
  /// Fencing token, which also increases within a term; see WorkerToken. The
  /// worker refuses orders with a lower one than the highest that it has seen.
  std::uint64_t token = 0;
  std::variant<StartOrder, StopOrder, HoldOrder, PaceOrder> body;
  std::chrono::milliseconds timeout{1'000};
  bool fresh_connection = false;
  /// The order isn't sent at or after this time. On the clock of the daemon
  /// that sends it.
  TimePoint send_before = TimePoint::max();
};

struct RunningTask {
  TaskId task;
  std::uint32_t run = 0;
  std::string checkpoint;
  std::uint32_t percent = 0;
  /// Tail latency in milliseconds for a serving task; CPU usage in millicores
  /// for any other.
  std::int64_t load = 0;
};

struct EndedRun {
  /// Position in the incarnation's list of run ends.
  std::uint64_t number = 0;
  TaskId task;
  std::uint32_t run = 0;
  RunOutcome outcome = RunOutcome::kDone;
  std::string checkpoint;
};

enum class OrderResult : std::uint8_t {
  kOk,
  /// The worker has seen an order of a later leader.
  kFenced,
  /// This run, or a later one of the task, was stopped or has ended there.
  kOldRun,
  /// The order arrived after its deadline.
  kLate,
  kNoCapacity,
  kNoTicket,
  kInvalid,
  /// The worker is unhealthy and did nothing.
  kUnhealthy,
  /// Another incarnation of the worker runs at the address.
  kOtherIncarnation,
  /// The connection was refused because no process listens there.
  kRefused,
  /// The connection failed before the order was sent.
  kNotSent,
  /// This daemon didn't begin to send the order in time. Says nothing about the
  /// worker.
  kNotStarted,
  /// No complete answer was received; the order may still be executed.
  kUnanswered
};

/// Name of the result in logs and metrics.
const char* NameOf(OrderResult result);

struct WorkerReply {
  std::uint64_t number = 0;
  OrderResult result = OrderResult::kUnanswered;
  std::optional<std::chrono::milliseconds> clock;
  /// When the answer was read from the connection, or when it arrived from the
  /// voter that carried the order; the worker's clock was at `clock` or later
  /// by then. The leader may process the answer much later.
  TimePoint read_at{};
  /// When the daemon, or the voter that carried the order, began to send it.
  TimePoint started_at{};
  /// Start of the incarnation in Unix milliseconds, if the answer contains it.
  std::optional<std::int64_t> born_ms;
  /// The voter that the order was given to; nullopt if it never left the
  /// leader's queue.
  std::optional<DaemonId> carrier;
  std::vector<RunningTask> running;
  std::vector<EndedRun> ended;
};

/// A request to the platform that manages the instances.
struct InstanceRequest {
  enum class Kind : std::uint8_t { kList, kMove, kUpkeep };

  std::uint64_t number = 0;
  Kind kind = Kind::kList;
  std::string instance;
  std::string pool;
  std::uint64_t wave = 0;
  std::string page;
  /// Name of this daemon and its fencing token. The platform checks them for
  /// each instance separately.
  std::string holder;
  std::uint64_t fence = 0;
};

enum class InstanceStatus : std::uint8_t { kUp, kMoving, kUpkeep, kDown };

struct InstanceListEntry {
  std::string instance;
  std::string pool;
  InstanceStatus state = InstanceStatus::kDown;
  /// Id of the worker that runs there, or empty.
  std::string worker;
  /// Empty if the list doesn't tell.
  std::string availability_zone;
};

struct InstanceReply {
  enum class Result : std::uint8_t {
    kOk,
    /// The instance isn't up, or is about to leave.
    kBusy,
    /// The instance isn't part of that wave.
    kWrongWave,
    kFenced,
    kInvalid,
    kThrottled,
    kUnanswered
  };

  std::uint64_t number = 0;
  Result result = Result::kUnanswered;
  std::vector<InstanceListEntry> instances;
  std::string next_page;
  /// The answer holds no page of the list, or the next page can't be requested.
  /// Says nothing about a move or an upkeep.
  bool list_unreadable = false;
};

/// Asks the advisory service which workers may run a step.
struct AdviceRequest {
  std::uint64_t number = 0;
  /// "JOB.OCCURRENCE.STEP".
  std::string step;
  std::vector<std::string> workers;
};

struct AdviceReply {
  std::uint64_t number = 0;
  /// False if no complete answer was received or the service is overloaded.
  bool answered = false;
  /// Ticket of each approved worker.
  std::map<std::string, std::string> approved;
  std::chrono::milliseconds validity{0};
};

}  // namespace mimosastage::jobs

#endif  // MIMOSASTAGE_JOBS_WORKER_ORDER_H_
