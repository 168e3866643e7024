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

/// The backend servers of the fleet, as they announced themselves to this
/// daemon or to another one. Servers that are absent stay known for an hour,
/// so that a renewal alone brings them back after this daemon was frozen.
class BackendServerDirectory {
 public:
  struct Settings {
    std::chrono::milliseconds shortest_interval{1'000};
    /// Announcements that this daemon wants to receive each second at most.
    std::uint32_t announcements_per_second = 8;
    /// Intervals without renewal after which a server is absent.
    std::uint32_t intervals_until_absent = 3;
    std::chrono::seconds forget_after{3'600};
    std::size_t max_servers = 4'096;
  };

  struct DeltaCounts {
    /// Announcements refused: invalid, of an old epoch, or of another pool.
    std::size_t refused = 0;
    /// Renewals of servers that this daemon doesn't know.
    std::size_t unknown = 0;
  };

  BackendServerDirectory() : BackendServerDirectory(Settings()) {}
  explicit BackendServerDirectory(Settings settings);

  /// A backend server announced itself to this daemon. Returns the interval to
  /// name in the answer. Errors: kInvalidField, kOldEpoch, kOtherPool (a move
  /// to another pool needs a higher epoch), kDirectoryFull.
  Result<std::chrono::milliseconds> OnAnnouncement(
      const Announcement& announcement, TimePoint now);

  /// Another daemon's delta. `gone` counts only for servers that were last
  /// heard through that daemon.
  DeltaCounts OnDelta(DaemonId from, const AnnouncementDelta& delta,
                      TimePoint now);

  /// The committed membership of an instance. Announcements of a lower epoch,
  /// or of another pool, are refused from now on.
  void RequireMembership(const BackendServerName& name, const PoolName& pool,
                         std::uint64_t instance_epoch);

  /// No instance has a committed membership; before all are set anew.
  void ForgetMemberships();

  /// What this daemon heard since the last call, for all links. Call Expire
  /// before, so that servers that went silent are in the delta.
  AnnouncementDelta TakeDelta(TimePoint now);
  /// True if a delta should be sent without waiting for the next heartbeat.
  bool HasUrgentChanges() const;
  /// Everything this daemon hears itself, for a link that was just opened.
  AnnouncementDelta FullDelta(TimePoint now) const;

  /// Makes servers absent that weren't renewed in time. Returns their names.
  std::vector<BackendServerName> Expire(TimePoint now);

  /// Servers of the pool that may get new work: present and not departing.
  /// Valid until the next call of a member that isn't const.
  std::span<const Announcement* const> ServersOf(const PoolName& pool) const;

  /// Null if the server isn't present; departing ones are found.
  const Announcement* Find(const BackendServerName& name) const;

  /// All present servers, departing ones too, in the order of their names.
  std::vector<const Announcement*> All() const;

  /// Interval that keeps what this daemon receives within the limit.
  std::chrono::milliseconds NextInterval() const;

 private:
  struct Server {
    Announcement announcement;
    TimePoint expires{};
    /// Until when this daemon counts as one that hears the server itself.
    TimePoint heard_until{};
    /// Daemon that renewed last; nothing if the server announced to this one.
    std::optional<DaemonId> last_from;
    std::uint32_t renewals_since_full = 0;
    bool present = false;
    bool heard_directly = false;
  };
  struct Membership {
    PoolName pool;
    std::uint64_t instance_epoch = 0;
  };

  struct Accepted {
    Server* server = nullptr;
    /// New, changed, or absent before.
    bool changed = false;
  };

  std::error_code Check(const Announcement& announcement) const;
  Result<Accepted> Accept(const Announcement& announcement);
  bool MakeRoom();
  void Renew(Server& server, std::chrono::milliseconds interval, TimePoint now);
  void MakeAbsent(Server& server);
  void Erase(const BackendServerName& name);
  void ExpireHeard(Server& server, TimePoint now);
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
  std::size_t heard_directly = 0;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_ROUTING_BACKEND_SERVER_DIRECTORY_H_
