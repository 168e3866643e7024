#ifndef MIMOSASTAGE_FLEET_WAVE_PROGRESS_H_
#define MIMOSASTAGE_FLEET_WAVE_PROGRESS_H_

#include <set>
#include <string>

#include "mimosastage/base/names.h"
#include "mimosastage/state/commands.h"

namespace mimosastage {

/// A maintenance wave and the instances of it that have been rebooted. It
/// changes only by committed transitions, so that every replica computes the
/// same progress and a new leader continues where the previous one stopped.
struct WaveProgress {
  std::string name;
  std::set<InstanceName> targets;
  /// Targets whose reboot is committed. They aren't drained again.
  std::set<InstanceName> rebooted;

  void Apply(const InstanceTransition& transition) {
    if (transition.state != InstanceState::kRebooting) return;
    if (!this->targets.contains(transition.instance)) return;
    this->rebooted.insert(transition.instance);
  }

  /// True if the instance still has to be drained and rebooted.
  bool Pending(const InstanceName& instance) const {
    return this->targets.contains(instance) &&
           !this->rebooted.contains(instance);
  }

  bool AllRebooted() const {
    return this->rebooted.size() == this->targets.size();
  }

  bool operator==(const WaveProgress&) const = default;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_FLEET_WAVE_PROGRESS_H_
