#ifndef MIMOSASTAGE_JOBS_CALL_HANDLER_H_
#define MIMOSASTAGE_JOBS_CALL_HANDLER_H_

#include <chrono>
#include <functional>
#include <map>
#include <string>

#include "mimosastage/base/time.h"
#include "mimosastage/jobs/dispatcher.h"
#include "mimosastage/jobs/fleet_state.h"

namespace mimosastage::jobs {

/// Serves calls on the leader. Reads return committed state, and a write is
/// answered once it is committed.
class CallHandler {
 public:
  using Reply = std::function<void(Answer answer)>;

  struct Hooks {
    /// See Dispatcher::Hooks::propose.
    std::function<void(Command command,
                       std::function<void(TimePoint now)> committed)>
        propose;
    std::function<std::chrono::milliseconds()> wall_time;
    std::function<void(const char* event, const std::string& id,
                       const std::string& detail)>
        report;
    std::function<void(const char* reason)> count_refusal;
    /// True while the log takes no entries because too many wait for a quorum.
    /// Changes of state are refused meanwhile, so that those that wait for the
    /// log stay bounded.
    std::function<bool()> log_is_full;
    /// True if the deployment has the availability zone. If not set, any name
    /// counts as one.
    std::function<bool(const std::string& zone)> knows_zone;
  };

  /// `working` includes proposed commands, `committed` only durable ones. All
  /// references must outlive the handler.
  CallHandler(Hooks hooks, const FleetState& working,
              const FleetState& committed, Dispatcher& dispatcher);

  /// Calls `reply` exactly once, during this call or later, but not after the
  /// handler is destroyed.
  void Handle(const Call& call, TimePoint now, const Reply& reply);

 private:
  /// What a call to the path of a queue or job is for.
  struct Target {
    /// The queue in force with the longest prefix that matches the path.
    const Queue* queue = nullptr;
    /// The job that was submitted at the path, whatever queue holds it; null if
    /// there is none.
    const Job* submitted_here = nullptr;
    /// The job's id; empty for the path of a queue.
    std::string id;
  };

  void HandleQueueCall(const Call& call, TimePoint now, const Reply& reply);
  /// True if calls for the target need no key.
  static bool IsOpen(const Target& target);
  /// True if clients find the job with the target's id at the target's path.
  bool Holds(const Target& target, const Job& job) const;
  void Submit(const Call& call, const Target& target, const Team* team,
              TimePoint now, const Reply& reply);
  void ShowJob(const Target& target, const Reply& reply) const;
  void Cancel(const Target& target, TimePoint now, const Reply& reply);
  void ShowQueue(const Queue& queue, const Reply& reply) const;
  void Configure(const Call& call, TimePoint now, const Reply& reply);
  /// Reports the queues that only open jobs keep.
  void ReportRemovedQueues() const;
  void StartWave(const Call& call, const Reply& reply);
  void ShowWave(const Call& call, const Reply& reply) const;
  /// Evacuates an availability zone, or withdraws its evacuation.
  void ChangeEvacuation(const Call& call, bool withdraw, TimePoint now,
                        const Reply& reply);
  /// True if the call may have been sent before the zone's latest change, so
  /// that it must not undo it. Its daemon sends it again if it is still open.
  bool IsOutdated(const Call& call, TimePoint now);
  void ShowEvacuations(const Reply& reply) const;
  void Refuse(CallOutcome outcome, const char* reason, const Reply& reply);
  /// Refuses a new job for overload: it isn't stored and may be sent again
  /// after `delay`.
  void RefuseJob(const std::string& job, const char* reason,
                 std::chrono::milliseconds delay, const Reply& reply);
  /// If the log is full, lets the daemon that was called send the call again,
  /// and returns true. Unlike a refusal, this is allowed for a change that may
  /// be stored already.
  bool PostponesChange(const Reply& reply);

  Hooks hooks;
  const FleetState& working;
  const FleetState& committed;
  Dispatcher& dispatcher;
  /// When each availability zone was last evacuated, or its evacuation was
  /// withdrawn, in this term. Without old changes.
  std::map<std::string, TimePoint> zone_changes;
};

}  // namespace mimosastage::jobs

#endif  // MIMOSASTAGE_JOBS_CALL_HANDLER_H_
