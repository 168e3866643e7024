#include "mimosastage/routing/backend_server_directory.h"

#include <algorithm>
#include <utility>

namespace mimosastage {
namespace {

/// Renewals of a server between two full announcements in deltas. A daemon that
/// lost a delta or started later knows the server after at most this many
/// intervals.
constexpr std::uint32_t kRenewalsUntilFull = 16;

/// Upper bound of the interval in another daemon's delta. With a longer one, a
/// server would stay present long after its end.
constexpr std::chrono::milliseconds kMaxInterval{300'000};

/// Error if the announcement contradicts the known pool and epoch.
std::error_code CheckAgainstKnown(const Announcement& announcement,
                                  const PoolName& known_pool,
                                  std::uint64_t known_epoch) {
  if (announcement.instance_epoch < known_epoch) {
    return AnnouncementError::kOldEpoch;
  }
  if (announcement.instance_epoch == known_epoch &&
      announcement.pool != known_pool) {
    return AnnouncementError::kOtherPool;
  }
  return {};
}

}  // namespace

BackendServerDirectory::BackendServerDirectory(Settings settings)
    : settings(settings) {}

Result<std::chrono::milliseconds> BackendServerDirectory::OnAnnouncement(
    const Announcement& announcement, TimePoint now) {
  const Result<Accepted> accepted = this->Accept(announcement);
  if (!accepted) {
    return accepted.error();
  }
  Server& server = *accepted->server;
  if (!server.announced_directly) {
    server.announced_directly = true;
    this->direct_count += 1;
  }
  const std::chrono::milliseconds interval = this->NextInterval();
  this->Renew(server, interval, now);
  server.direct_until = server.expires;
  server.last_renewed_by.reset();
  this->gone.erase(announcement.name);
  (accepted->changed ? this->changed : this->renewed).insert(announcement.name);
  return interval;
}

BackendServerDirectory::DeltaCounts BackendServerDirectory::OnDelta(
    DaemonId from, const AnnouncementDelta& delta, TimePoint now) {
  DeltaCounts counts;
  const std::chrono::milliseconds interval =
      std::clamp(delta.interval, this->settings.min_interval, kMaxInterval);
  for (const Announcement& announcement : delta.changed) {
    if (const Result<Accepted> accepted = this->Accept(announcement)) {
      this->Renew(*accepted->server, interval, now);
      accepted->server->last_renewed_by = from;
    } else {
      counts.refused += 1;
    }
  }
  for (const BackendServerName& name : delta.renewed) {
    if (auto found = this->servers.find(name); found != this->servers.end()) {
      this->Renew(found->second, interval, now);
      found->second.last_renewed_by = from;
    } else {
      counts.unknown += 1;
    }
  }
  for (const BackendServerName& name : delta.gone) {
    auto found = this->servers.find(name);
    const bool applies = found != this->servers.end() &&
                         found->second.last_renewed_by == from &&
                         found->second.direct_until <= now;
    if (applies) {
      this->MakeAbsent(found->second);
    }
  }
  return counts;
}

void BackendServerDirectory::RequireMembership(const BackendServerName& name,
                                               const PoolName& pool,
                                               std::uint64_t instance_epoch) {
  this->memberships[name] = {pool, instance_epoch};
  auto found = this->servers.find(name);
  if (found == this->servers.end()) {
    return;
  }
  if (this->CheckAnnouncement(found->second.announcement)) {
    this->Erase(name);
  }
}

void BackendServerDirectory::ForgetMemberships() { this->memberships.clear(); }

std::error_code BackendServerDirectory::CheckAnnouncement(
    const Announcement& announcement) const {
  if (const std::error_code error = ValidateAnnouncement(announcement)) {
    return error;
  }
  if (auto found = this->memberships.find(announcement.name);
      found != this->memberships.end()) {
    const auto& [pool, epoch] = found->second;
    // Another pool is refused even with a higher epoch, because a move is
    // committed before the server can know its new epoch.
    if (announcement.instance_epoch < epoch) {
      return AnnouncementError::kOldEpoch;
    }
    if (announcement.pool != pool) {
      return AnnouncementError::kOtherPool;
    }
  }
  if (auto found = this->servers.find(announcement.name);
      found != this->servers.end()) {
    const Announcement& known = found->second.announcement;
    return CheckAgainstKnown(announcement, known.pool, known.instance_epoch);
  }
  return {};
}

Result<BackendServerDirectory::Accepted> BackendServerDirectory::Accept(
    const Announcement& announcement) {
  if (const std::error_code error = this->CheckAnnouncement(announcement)) {
    return error;
  }
  auto found = this->servers.find(announcement.name);
  if (found == this->servers.end()) {
    if (!this->EnsureCapacity()) {
      return make_error_code(AnnouncementError::kDirectoryFull);
    }
    found = this->servers.emplace(announcement.name, Server()).first;
  }
  Server& server = found->second;
  const bool changed = !server.present || server.announcement != announcement;
  if (changed) {
    this->Unindex(server);
    server.announcement = announcement;
    server.present = true;
    this->Index(server);
  }
  return Accepted{&server, changed};
}

bool BackendServerDirectory::EnsureCapacity() {
  if (this->servers.size() < this->settings.max_servers) {
    return true;
  }
  const Server* oldest = nullptr;
  for (const auto& [name, server] : this->servers) {
    const bool older =
        !server.present &&
        (oldest == nullptr ||
         std::pair(server.expires, name) <
             std::pair(oldest->expires, oldest->announcement.name));
    if (older) {
      oldest = &server;
    }
  }
  if (oldest == nullptr) {
    return false;
  }
  this->Erase(BackendServerName(oldest->announcement.name));
  return true;
}

void BackendServerDirectory::Renew(Server& server,
                                   std::chrono::milliseconds interval,
                                   TimePoint now) {
  if (!server.present) {
    server.present = true;
    this->Index(server);
  }
  // Another daemon may have given the server a longer interval.
  server.expires = std::max(
      server.expires, now + interval * this->settings.intervals_until_absent);
}

void BackendServerDirectory::MakeAbsent(Server& server) {
  this->Unindex(server);
  server.present = false;
  this->changed.erase(server.announcement.name);
  this->renewed.erase(server.announcement.name);
}

void BackendServerDirectory::Erase(const BackendServerName& name) {
  auto found = this->servers.find(name);
  this->Unindex(found->second);
  this->direct_count -= found->second.announced_directly ? 1 : 0;
  this->changed.erase(name);
  this->renewed.erase(name);
  this->servers.erase(found);
}

AnnouncementDelta BackendServerDirectory::TakeDelta(TimePoint) {
  AnnouncementDelta delta;
  delta.interval = this->NextInterval();
  for (const BackendServerName& name : this->changed) {
    Server& server = this->servers.at(name);
    server.renewals_since_full = kRenewalsUntilFull;
    AddToDelta(server, delta);
    this->renewed.erase(name);
  }
  for (const BackendServerName& name : this->renewed) {
    AddToDelta(this->servers.at(name), delta);
  }
  delta.gone.assign(this->gone.begin(), this->gone.end());
  this->changed.clear();
  this->renewed.clear();
  this->gone.clear();
  return delta;
}

void BackendServerDirectory::AddToDelta(Server& server,
                                        AnnouncementDelta& delta) {
  server.renewals_since_full += 1;
  // A departing server is always sent in full, because a daemon that lost the
  // delta with the change would otherwise go on sending it new requests.
  const bool full = server.announcement.departing ||
                    server.renewals_since_full >= kRenewalsUntilFull;
  if (!full) {
    delta.renewed.push_back(server.announcement.name);
    return;
  }
  server.renewals_since_full = 0;
  delta.changed.push_back(server.announcement);
}

bool BackendServerDirectory::HasUrgentChanges() const {
  return !this->changed.empty() || !this->gone.empty();
}

AnnouncementDelta BackendServerDirectory::FullDelta(TimePoint now) const {
  AnnouncementDelta delta;
  delta.interval = this->NextInterval();
  for (const Announcement* announcement : this->All()) {
    const Server& server = this->servers.at(announcement->name);
    if (server.announced_directly && server.direct_until > now) {
      delta.changed.push_back(*announcement);
    }
  }
  return delta;
}

std::vector<BackendServerName> BackendServerDirectory::Expire(TimePoint now) {
  std::vector<BackendServerName> absent;
  std::vector<BackendServerName> forgotten;
  for (auto& [name, server] : this->servers) {
    this->ExpireDirect(server, now);
    if (server.present && server.expires <= now) {
      this->MakeAbsent(server);
      absent.push_back(name);
      if (!server.last_renewed_by) {
        this->gone.insert(name);
      }
    } else if (server.expires + this->settings.forget_after <= now) {
      forgotten.push_back(name);
    }
  }
  for (const BackendServerName& name : forgotten) {
    this->Erase(name);
  }
  std::sort(absent.begin(), absent.end());
  return absent;
}

void BackendServerDirectory::ExpireDirect(Server& server, TimePoint now) {
  if (server.announced_directly && server.direct_until <= now) {
    server.announced_directly = false;
    this->direct_count -= 1;
  }
}

std::span<const Announcement* const> BackendServerDirectory::ServersOf(
    const PoolName& pool) const {
  auto found = this->by_pool.find(pool);
  if (found == this->by_pool.end()) {
    return {};
  }
  return found->second;
}

const Announcement* BackendServerDirectory::Find(
    const BackendServerName& name) const {
  auto found = this->servers.find(name);
  const bool present = found != this->servers.end() && found->second.present;
  return present ? &found->second.announcement : nullptr;
}

std::vector<const Announcement*> BackendServerDirectory::All() const {
  std::vector<const Announcement*> all;
  for (const auto& [name, server] : this->servers) {
    if (server.present) {
      all.push_back(&server.announcement);
    }
  }
  std::sort(all.begin(), all.end(), [](const auto* one, const auto* other) {
    return one->name < other->name;
  });
  return all;
}

std::chrono::milliseconds BackendServerDirectory::NextInterval() const {
  const auto needed = std::chrono::milliseconds(
      this->direct_count * 1'000 / this->settings.announcements_per_second);
  return std::max(this->settings.min_interval, needed);
}

void BackendServerDirectory::Index(const Server& server) {
  if (server.present && !server.announcement.departing) {
    this->by_pool[server.announcement.pool].push_back(&server.announcement);
  }
}

void BackendServerDirectory::Unindex(const Server& server) {
  auto found = this->by_pool.find(server.announcement.pool);
  if (found == this->by_pool.end()) {
    return;
  }
  std::erase(found->second, &server.announcement);
  if (found->second.empty()) {
    this->by_pool.erase(found);
  }
}

}  // namespace mimosastage
