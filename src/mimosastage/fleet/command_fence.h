#ifndef MIMOSASTAGE_FLEET_COMMAND_FENCE_H_
#define MIMOSASTAGE_FLEET_COMMAND_FENCE_H_

#include <cstddef>
#include <cstdint>
#include <deque>

#include "mimosastage/base/names.h"
#include "mimosastage/base/result.h"
#include "mimosastage/base/time.h"
#include "mimosastage/fleet/platform_command.h"

namespace mimosastage {

enum class FenceDecision : std::uint8_t {
  kExecute,
  /// A duplicate of a command that the worker has already executed.
  kRepeat
};

/// Filters the commands that a worker receives: rejects commands from earlier
/// leaders and for earlier epochs, and detects duplicates.
class CommandFence {
 public:
  CommandFence(InstanceName instance, std::uint64_t epoch,
               std::uint64_t boot_id);

  /// `report_sent_at` is the worker's clock reading from before it sent the
  /// report that the command answers. Errors: kWrongInstance, kOldView,
  /// kOldEpoch, kWrongBootId, kLeaseEnded.
  Result<FenceDecision> Admit(const PlatformCommand& command,
                              TimePoint report_sent_at, TimePoint now);

  ViewNumber view() const { return this->highest_view; }
  std::uint64_t epoch() const { return this->current_epoch; }

 private:
  std::error_code Check(const PlatformCommand& command,
                        TimePoint report_sent_at, TimePoint now) const;
  bool IsRepeat(const PlatformCommand& command) const;
  void RecordExecuted(const PlatformCommand& command);

  InstanceName instance;
  std::uint64_t current_epoch;
  std::uint64_t boot_id;
  ViewNumber highest_view = 0;
  std::deque<PlatformCommand> executed;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_FLEET_COMMAND_FENCE_H_
