#ifndef MIMOSASTAGE_ROUTING_BACKEND_SERVER_PICKER_H_
#define MIMOSASTAGE_ROUTING_BACKEND_SERVER_PICKER_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <span>
#include <unordered_map>
#include <vector>

#include "mimosastage/base/names.h"
#include "mimosastage/base/time.h"
#include "mimosastage/routing/backend_server_directory.h"
#include "mimosastage/routing/ejection.h"

namespace mimosastage {

/// Chooses the backend server of an attempt and counts this entry's requests
/// in progress at each one.
class BackendServerPicker {
 public:
  struct Settings {
    /// This entry's zone.
    AvailabilityZone availability_zone;
    std::uint32_t entry_count = 1;
    std::uint64_t seed = 0;
  };

  struct Hooks {
    /// Free slots of the server among those lent to this entry.
    std::function<std::uint32_t(const BackendServerName&)> free_lent_slots;
  };

  struct Choice {
    BackendServerName name;
    bool probe = false;
  };

  /// `directory` and `ejection` must outlive the picker.
  BackendServerPicker(Settings settings, Hooks hooks,
                      const BackendServerDirectory& directory,
                      Ejection& ejection);

  void SetEntryCount(std::uint32_t entry_count);

  /// Chooses a server of the pool that is present, not departing, not ejected,
  /// not in `excluded`, has a free lent slot and is within this entry's
  /// connection quota. Empty if there is none. A server whose probe is due is
  /// preferred if `excluded` is empty; retries are never probes. A choice isn't
  /// counted as in progress until OnStart.
  std::optional<Choice> Pick(const PoolName& pool,
                             std::span<const BackendServerName> excluded,
                             TimePoint now);

  /// True if Pick would find a server for a first attempt.
  bool CanPick(const PoolName& pool, TimePoint now) const;

  /// The attempt on a chosen server begins; a probe is marked as started.
  void OnStart(const Choice& choice);
  /// The attempt has ended with any result. Called once for each OnStart.
  void OnEnd(const BackendServerName& name);

  std::uint32_t InProgress(const BackendServerName& name) const;

  /// This entry's quota of the server's connections: connections / entries, at
  /// least 1.
  std::uint32_t ConnectionQuota(const Announcement& server) const;

 private:
  bool HasCapacity(const Announcement& server) const;
  /// Power of two choices: of two random candidates, the one with fewer
  /// requests in progress.
  const Announcement& PickLessLoaded(
      const std::vector<const Announcement*>& from);

  Settings settings;
  Hooks hooks;
  const BackendServerDirectory& directory;
  Ejection& ejection;
  std::mt19937_64 random;
  std::unordered_map<BackendServerName, std::uint32_t> in_progress;
  // Scratch space of Pick; members so that their memory is reused.
  std::vector<const Announcement*> same_zone_candidates;
  std::vector<const Announcement*> other_zone_candidates;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_ROUTING_BACKEND_SERVER_PICKER_H_
