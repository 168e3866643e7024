#ifndef MIMOSASTAGE_JOBS_WORKER_ORDER_H_
#define MIMOSASTAGE_JOBS_WORKER_ORDER_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "mimosastage/jobs/records.h"

namespace mimosastage::jobs {

/// Starts one run of a task. The worker refuses it after `deadline`, which is
/// on its own steady clock.
struct StartOrder {
  TaskId task;
  std::uint32_t run = 0;
  std::string specification;
  std::string checkpoint;
  std::chrono::milliseconds deadline{0};
  /// Of the advisory service, for queues that need one; else empty.
  std::string ticket;
};

/// Stops a run; one that hasn't arrived yet is refused when it does.
struct StopOrder {
  TaskId task;
  std::uint32_t run = 0;
};

/// Extends the lease and asks for what runs and what has ended.
struct HoldOrder {
  std::optional<std::chrono::milliseconds> deadline;
  /// Ends up to this number are recorded durably and may be forgotten.
  std::uint64_t last_seen = 0;
  /// How long the worker may wait for an end before it answers.
  std::chrono::milliseconds wait{0};
};

/// Sets the share of its processors that a task may use.
struct PaceOrder {
  TaskId task;
  std::uint32_t run = 0;
  std::uint32_t percent = 100;
};

struct WorkerOrder {
  std::uint64_t number = 0;
  /// Id of the intended incarnation.
  std::string worker;
  /// "IP:PORT".
  std::string address;
  /// Rises with each leader.
  std::uint64_t fence = 0;
  std::variant<StartOrder, StopOrder, HoldOrder, PaceOrder> body;
  std::chrono::milliseconds timeout{1'000};
  bool fresh_connection = false;
};

struct RunningTask {
  TaskId task;
  std::uint32_t run = 0;
  std::string checkpoint;
  std::uint32_t percent = 0;
  /// Tail of the response times in milliseconds for a task that serves;
  /// thousandths of a processor in use for any other.
  std::int64_t load = 0;
};

struct EndedRun {
  /// Position in the incarnation's list of ends.
  std::uint64_t number = 0;
  TaskId task;
  std::uint32_t run = 0;
  RunOutcome outcome = RunOutcome::kDone;
  std::string checkpoint;
};

enum class OrderResult : std::uint8_t {
  kOk,
  /// A later leader has been there.
  kFenced,
  /// The run, or a later one, was stopped or has ended there.
  kOldRun,
  /// After the deadline.
  kLate,
  kNoCapacity,
  kNoTicket,
  kInvalid,
  /// The worker is unhealthy and did nothing.
  kUnhealthy,
  /// Another incarnation lives at the address.
  kOtherIncarnation,
  /// The connection was refused: no process listens there.
  kRefused,
  /// Not sent.
  kNotSent,
  /// No whole answer: the order may be carried out, now or later.
  kUnanswered
};

struct WorkerReply {
  std::uint64_t number = 0;
  OrderResult result = OrderResult::kUnanswered;
  std::optional<std::chrono::milliseconds> clock;
  /// When the answer was read; `clock` is no later than the worker's clock
  /// then. The leader may handle the answer much later.
  TimePoint read_at{};
  /// Unix milliseconds of the incarnation's start, where the answer says it.
  std::optional<std::int64_t> born_ms;
  std::vector<RunningTask> running;
  std::vector<EndedRun> ended;
};

/// A call to the platform that owns the instances.
struct InstanceRequest {
  enum class Kind : std::uint8_t { kList, kMove, kUpkeep };

  std::uint64_t number = 0;
  Kind kind = Kind::kList;
  std::string instance;
  std::string pool;
  std::uint64_t wave = 0;
  std::string page;
  /// Name of this daemon and its token; they apply to each machine separately.
  std::string holder;
  std::uint64_t fence = 0;
};

enum class InstanceStatus : std::uint8_t { kUp, kMoving, kUpkeep, kDown };

struct InstanceListEntry {
  std::string instance;
  std::string pool;
  InstanceStatus state = InstanceStatus::kDown;
  /// Id of the worker that lives there, or empty.
  std::string worker;
};

struct InstanceReply {
  enum class Result : std::uint8_t {
    kOk,
    /// Not up, or about to leave.
    kBusy,
    /// Not a machine of that wave.
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
  /// False without a whole answer, or if the service has too many calls.
  bool answered = false;
  /// Tickets by worker.
  std::map<std::string, std::string> approved;
  std::chrono::milliseconds validity{0};
};

}  // namespace mimosastage::jobs

#endif  // MIMOSASTAGE_JOBS_WORKER_ORDER_H_
