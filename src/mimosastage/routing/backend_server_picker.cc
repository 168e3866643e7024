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
  this->near_candidates.clear();
  this->far_candidates.clear();
  for (const Announcement* server : this->directory.ServersOf(pool)) {
    const bool is_excluded = std::find(excluded.begin(), excluded.end(),
                                       server->name) != excluded.end();
    if (is_excluded || !this->HasRoom(*server)) {
      continue;
    }
    const Ejection::State state = this->ejection.StateOf(server->name, now);
    if (state == Ejection::State::kProbeDue && excluded.empty()) {
      return Choice{server->name, true};
    }
    if (state == Ejection::State::kIn) {
      const bool near =
          server->availability_zone == this->settings.availability_zone;
      (near ? this->near_candidates : this->far_candidates).push_back(server);
    }
  }
  // A near candidate has a free slot, so that nothing waits for it.
  const auto& candidates = this->near_candidates.empty()
                               ? this->far_candidates
                               : this->near_candidates;
  if (candidates.empty()) {
    return std::nullopt;
  }
  return Choice{this->ChooseOf(candidates).name, false};
}

bool BackendServerPicker::CanPick(const PoolName& pool, TimePoint now) const {
  const auto servers = this->directory.ServersOf(pool);
  return std::any_of(
      servers.begin(), servers.end(), [&](const Announcement* server) {
        const Ejection::State state = this->ejection.StateOf(server->name, now);
        const bool usable = state == Ejection::State::kIn ||
                            state == Ejection::State::kProbeDue;
        return usable && this->HasRoom(*server);
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

std::uint32_t BackendServerPicker::ConnectionPart(
    const Announcement& server) const {
  const std::uint32_t entries = std::max(1U, this->settings.entry_count);
  return std::max(1U, server.connections / entries);
}

bool BackendServerPicker::HasRoom(const Announcement& server) const {
  const std::uint32_t limit =
      std::min(server.slots, this->ConnectionPart(server));
  if (this->InProgress(server.name) >= limit) {
    return false;
  }
  return this->hooks.free_lent_slots(server.name) > 0;
}

const Announcement& BackendServerPicker::ChooseOf(
    const std::vector<const Announcement*>& from) {
  std::uniform_int_distribution<std::size_t> any(0, from.size() - 1);
  const Announcement& one = *from[any(this->random)];
  const Announcement& other = *from[any(this->random)];
  return this->InProgress(other.name) < this->InProgress(one.name) ? other
                                                                   : one;
}

}  // namespace mimosastage
