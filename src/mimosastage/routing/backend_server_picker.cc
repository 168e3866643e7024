#include "mimosastage/routing/backend_server_picker.h"

#include <algorithm>
#include <utility>

namespace mimosastage {

BackendServerPicker::BackendServerPicker(
    Settings settings, Hooks hooks, const BackendServerDirectory& directory,
    Ejection& ejection)
    : settings(std::move(settings)),
      hooks(std::move(hooks)),
      directory(directory),
      ejection(ejection),
      random(this->settings.seed) {}

void BackendServerPicker::SetEntryCount(std::uint32_t entry_count) {
  this->settings.entry_count = entry_count;
}

std::optional<BackendServerPicker::Choice> BackendServerPicker::Pick(
    const PoolName& pool, std::span<const BackendServerName> excluded,
    TimePoint now) {
  this->same_zone_candidates.clear();
  this->other_zone_candidates.clear();
  for (const Announcement* server : this->directory.ServersOf(pool)) {
    const bool is_excluded = std::find(excluded.begin(), excluded.end(),
                                       server->name) != excluded.end();
    if (is_excluded || !this->HasCapacity(*server)) {
      continue;
    }
    const Ejection::State state = this->ejection.StateOf(server->name, now);
    if (state == Ejection::State::kProbeDue && excluded.empty()) {
      return Choice{server->name, true};
    }
    if (state == Ejection::State::kInUse) {
      const bool same_zone =
          server->availability_zone == this->settings.availability_zone;
      (same_zone ? this->same_zone_candidates : this->other_zone_candidates)
          .push_back(server);
    }
  }
  // Each candidate has a free slot, so that preferring the same zone causes no
  // waiting.
  const auto& candidates = this->same_zone_candidates.empty()
                               ? this->other_zone_candidates
                               : this->same_zone_candidates;
  if (candidates.empty()) {
    return std::nullopt;
  }
  return Choice{this->PickLessLoaded(candidates).name, false};
}

bool BackendServerPicker::CanPick(const PoolName& pool, TimePoint now) const {
  const auto servers = this->directory.ServersOf(pool);
  return std::any_of(
      servers.begin(), servers.end(), [&](const Announcement* server) {
        const Ejection::State state = this->ejection.StateOf(server->name, now);
        const bool usable = state == Ejection::State::kInUse ||
                            state == Ejection::State::kProbeDue;
        return usable && this->HasCapacity(*server);
      });
}

void BackendServerPicker::OnStart(const Choice& choice) {
  this->in_progress[choice.name] += 1;
  if (choice.probe) {
    this->ejection.OnProbeStarted(choice.name);
  }
}

void BackendServerPicker::OnEnd(const BackendServerName& name) {
  auto found = this->in_progress.find(name);
  if (found == this->in_progress.end()) {
    return;
  }
  found->second -= 1;
  if (found->second == 0) {
    this->in_progress.erase(found);
  }
}

std::uint32_t BackendServerPicker::InProgress(
    const BackendServerName& name) const {
  auto found = this->in_progress.find(name);
  return found == this->in_progress.end() ? 0 : found->second;
}

std::uint32_t BackendServerPicker::ConnectionQuota(
    const Announcement& server) const {
  const std::uint32_t entries = std::max(1U, this->settings.entry_count);
  return std::max(1U, server.connections / entries);
}

bool BackendServerPicker::HasCapacity(const Announcement& server) const {
  const std::uint32_t limit =
      std::min(server.slots, this->ConnectionQuota(server));
  if (this->InProgress(server.name) >= limit) {
    return false;
  }
  return this->hooks.free_lent_slots(server.name) > 0;
}

const Announcement& BackendServerPicker::PickLessLoaded(
    const std::vector<const Announcement*>& from) {
  std::uniform_int_distribution<std::size_t> any(0, from.size() - 1);
  const Announcement& one = *from[any(this->random)];
  const Announcement& other = *from[any(this->random)];
  return this->InProgress(other.name) < this->InProgress(one.name) ? other
                                                                   : one;
}

}  // namespace mimosastage
