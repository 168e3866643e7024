#include "mimosastage/fleet/command_fence.h"

#include <algorithm>
#include <utility>

#include "mimosastage/fleet/fleet_error.h"

namespace mimosastage {
namespace {

// Commands that are remembered to recognize repeats. A worker has 8 slots, and
// each task takes at most a start, a checkpoint, a throttle and a stop; a
// repeat comes within the answers of a few reports.
constexpr std::size_t kMaxRemembered = 256;

}  // namespace

CommandFence::CommandFence(InstanceName instance, std::uint64_t epoch,
                           std::uint64_t boot_id)
    : instance(std::move(instance)), current_epoch(epoch), boot_id(boot_id) {}

Result<FenceVerdict> CommandFence::Admit(const PlatformCommand& command,
                                         TimePoint report_sent_at,
                                         TimePoint now) {
  if (const auto error = this->Check(command, report_sent_at, now)) {
    return error;
  }
  this->highest_view = command.view;
  if (this->IsRepeat(command)) return FenceVerdict::kRepeat;
  this->current_epoch = command.epoch;
  this->Remember(command);
  return FenceVerdict::kExecute;
}

std::error_code CommandFence::Check(const PlatformCommand& command,
                                    TimePoint report_sent_at,
                                    TimePoint now) const {
  if (command.instance != this->instance) return FleetError::kWrongInstance;
  if (command.view < this->highest_view) return FleetError::kOldView;
  if (command.epoch < this->current_epoch) return FleetError::kOldEpoch;
  if (const auto* reboot = std::get_if<RebootInstance>(&command.body);
      reboot != nullptr && reboot->boot_id != this->boot_id) {
    return FleetError::kWrongRun;
  }
  if (const auto* start = std::get_if<StartTask>(&command.body);
      start != nullptr && now >= report_sent_at + start->lease_length) {
    return FleetError::kLeaseEnded;
  }
  return {};
}

bool CommandFence::IsRepeat(const PlatformCommand& command) const {
  // A throttle may go back to an earlier value; executing it twice is harmless.
  if (std::holds_alternative<ThrottleTask>(command.body)) return false;
  // A new leader repeats the commands of the former one under its own view.
  return std::any_of(this->executed.begin(), this->executed.end(),
                     [&](const PlatformCommand& earlier) {
                       return earlier.epoch == command.epoch &&
                              earlier.body == command.body;
                     });
}

void CommandFence::Remember(const PlatformCommand& command) {
  this->executed.push_back(command);
  if (this->executed.size() > kMaxRemembered) this->executed.pop_front();
}

}  // namespace mimosastage
