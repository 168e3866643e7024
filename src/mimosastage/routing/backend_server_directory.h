#ifndef MIMOSASTAGE_ROUTING_BACKEND_SERVER_DIRECTORY_H_
#define MIMOSASTAGE_ROUTING_BACKEND_SERVER_DIRECTORY_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <system_error>
#include <unordered_map>
#include <vector>

#include "mimosastage/base/names.h"
#include "mimosastage/base/result.h"
#include "mimosastage/base/time.h"
#include "mimosastage/routing/announcement.h"

namespace mimosastage {

/// The backend servers of the fleet, as announced to this daemon or to another
/// one. Absent servers are kept for an hour, so that a renewal without the full
/// announcement is enough to restore them after this daemon was suspended.
class BackendServerDirectory {
 public:
  struct Settings {
    std::chrono::milliseconds min_interval{1'000};
    /// Target maximum of announcements to this daemon per second.
    std::uint32_t announcements_per_second = 8;
    /// Intervals without renewal after which a server is absent.
    std::uint32_t intervals_until_absent = 3;
    std::chrono::seconds forget_after{3'600};
    std::size_t max_servers = 4'096;
  };

  struct DeltaCounts {
    /// Announcements refused with one of the errors of OnAnnouncement.
    std::size_t refused = 0;
    /// Renewals of servers that this daemon doesn't know.
    std::size_t unknown = 0;
  };

  BackendServerDirectory() : BackendServerDirectory(Settings()) {}
  explicit BackendServerDirectory(Settings settings);

  /// A backend server announced itself to this daemon. Returns the announcement
  /// interval for the answer. Errors: kInvalidField, kOldEpoch, kOtherPool (a
  /// move to another pool needs a higher epoch), kDirectoryFull.
  Result<std::chrono::milliseconds> OnAnnouncement(
      const Announcement& announcement, TimePoint now);

  /// Applies another daemon's delta. A server in `gone` becomes absent only if
  /// that daemon was the last one to renew it.
  DeltaCounts OnDelta(DaemonId from, const AnnouncementDelta& delta,
                      TimePoint now);

  /// Sets the committed membership of an instance. Announcements of a lower
  /// epoch or of another pool are refused from now on.
  void RequireMembership(const BackendServerName& name, const PoolName& pool,
                         std::uint64_t instance_epoch);

  /// Removes all committed memberships, before they are set again.
  void ForgetMemberships();

  /// Announcements to this daemon since the last call, to be sent on all links.
  /// Call Expire first, so that expired servers are in the delta.
  AnnouncementDelta TakeDelta(TimePoint now);
  /// True if a delta should be sent without waiting for the next heartbeat.
  bool HasUrgentChanges() const;
  /// All servers that announce themselves to this daemon, for a new link.
  AnnouncementDelta FullDelta(TimePoint now) const;

  /// Makes servers absent that weren't renewed in time and returns their names.
  std::vector<BackendServerName> Expire(TimePoint now);

  /// Servers of the pool that may get new work: present and not departing.
  /// Valid until the next call of a member that isn't const.
  std::span<const Announcement* const> ServersOf(const PoolName& pool) const;

  /// Null if the server isn't present; departing ones are found.
  const Announcement* Find(const BackendServerName& name) const;

  /// All present servers, departing ones too, in the order of their names.
  std::vector<const Announcement*> All() const;

  /// Announcement interval that keeps the rate at this daemon within
  /// `announcements_per_second`.
  std::chrono::milliseconds NextInterval() const;

 private:
  struct Server {
    Announcement announcement;
    TimePoint expires{};
    /// End of the time for which the server counts as announced to this daemon
    /// directly.
    TimePoint direct_until{};
    /// Daemon that renewed the server last; empty if that was this daemon.
    std::optional<DaemonId> last_renewed_by;
    std::uint32_t renewals_since_full = 0;
    bool present = false;
    bool announced_directly = false;
  };
  struct Membership {
    PoolName pool;
    std::uint64_t instance_epoch = 0;
  };

  struct Accepted {
    Server* server = nullptr;
    /// True if it was unknown, absent or different before.
    bool changed = false;
  };

  std::error_code CheckAnnouncement(const Announcement& announcement) const;
  Result<Accepted> Accept(const Announcement& announcement);
  bool EnsureCapacity();
  void Renew(Server& server, std::chrono::milliseconds interval, TimePoint now);
  void MakeAbsent(Server& server);
  void Erase(const BackendServerName& name);
  void ExpireDirect(Server& server, TimePoint now);
  static void AddToDelta(Server& server, AnnouncementDelta& delta);
  void Index(const Server& server);
  void Unindex(const Server& server);

  Settings settings;
  std::unordered_map<BackendServerName, Server> servers;
  std::unordered_map<BackendServerName, Membership> memberships;
  std::unordered_map<PoolName, std::vector<const Announcement*>> by_pool;
  std::set<BackendServerName> changed;
  std::set<BackendServerName> renewed;
  std::set<BackendServerName> gone;
  std::size_t direct_count = 0;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_ROUTING_BACKEND_SERVER_DIRECTORY_H_
