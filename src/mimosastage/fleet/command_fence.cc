#include "mimosastage/fleet/command_fence.h"

#include <algorithm>
#include <utility>

#include "mimosastage/fleet/fleet_error.h"

namespace mimosastage {
namespace {

// Executed commands kept to detect duplicates. A worker has 8 slots, each task
// needs at most a start, a checkpoint, a throttle and a stop, and a duplicate
// arrives within the answers to the next few reports.
constexpr std::size_t kMaxExecutedCommands = 256;

}  // namespace

CommandFence::CommandFence(InstanceName instance, std::uint64_t epoch,
                           std::uint64_t boot_id)
    : instance(std::move(instance)), current_epoch(epoch), boot_id(boot_id) {}

Result<FenceDecision> CommandFence::Admit(const PlatformCommand& command,
                                          TimePoint report_sent_at,
                                          TimePoint now) {
  if (const auto error = this->Check(command, report_sent_at, now)) {
    return error;
  }
  this->highest_view = command.view;
  if (this->IsRepeat(command)) return FenceDecision::kRepeat;
  this->current_epoch = command.epoch;
  this->RecordExecuted(command);
  return FenceDecision::kExecute;
}

std::error_code CommandFence::Check(const PlatformCommand& command,
                                    TimePoint report_sent_at,
                                    TimePoint now) const {
  if (command.instance != this->instance) return FleetError::kWrongInstance;
  if (command.view < this->highest_view) return FleetError::kOldView;
  if (command.epoch < this->current_epoch) return FleetError::kOldEpoch;
  if (const auto* reboot = std::get_if<RebootInstance>(&command.body);
      reboot != nullptr && reboot->boot_id != this->boot_id) {
    return FleetError::kWrongBootId;
  }
  if (const auto* start = std::get_if<StartTask>(&command.body);
      start != nullptr && now >= report_sent_at + start->lease_length) {
    return FleetError::kLeaseEnded;
  }
  return {};
}

bool CommandFence::IsRepeat(const PlatformCommand& command) const {
  // A throttle may return to an earlier value, and executing it twice has no
  // further effect.
  if (std::holds_alternative<ThrottleTask>(command.body)) return false;
  // The view isn't compared: a new leader resends the commands of its
  // predecessor under its own view.
  return std::any_of(this->executed.begin(), this->executed.end(),
                     [&](const PlatformCommand& earlier) {
                       return earlier.epoch == command.epoch &&
                              earlier.body == command.body;
                     });
}

void CommandFence::RecordExecuted(const PlatformCommand& command) {
  this->executed.push_back(command);
  if (this->executed.size() > kMaxExecutedCommands) this->executed.pop_front();
}

}  // namespace mimosastage
