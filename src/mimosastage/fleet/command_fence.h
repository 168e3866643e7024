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

enum class FenceVerdict : std::uint8_t {
  kExecute,
  /// The worker has executed this command; answering again is harmless.
  kRepeat
};

/// The worker's side of the commands: refuses those of earlier leaders and
/// memberships, and recognizes repeats.
class CommandFence {
 public:
  CommandFence(InstanceName instance, std::uint64_t epoch,
               std::uint64_t boot_id);

  /// `report_sent_at` is the worker's clock before it sent the report that the
  /// command answers. Errors: kWrongInstance, kOldView, kOldEpoch, kWrongRun,
  /// kLeaseEnded.
  Result<FenceVerdict> Admit(const PlatformCommand& command,
                             TimePoint report_sent_at, TimePoint now);

  ViewNumber view() const { return this->highest_view; }
  std::uint64_t epoch() const { return this->current_epoch; }

 private:
  std::error_code Check(const PlatformCommand& command,
                        TimePoint report_sent_at, TimePoint now) const;
  bool IsRepeat(const PlatformCommand& command) const;
  void Remember(const PlatformCommand& command);

  InstanceName instance;
  std::uint64_t current_epoch;
  std::uint64_t boot_id;
  ViewNumber highest_view = 0;
  std::deque<PlatformCommand> executed;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_FLEET_COMMAND_FENCE_H_
