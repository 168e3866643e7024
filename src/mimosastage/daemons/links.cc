#include "mimosastage/daemons/links.h"

#include <asio.hpp>
#include <atomic>
#include <cstring>
#include <map>
#include <random>
#include <set>
#include <thread>
#include <utility>

#include "mimosastage/daemons/internal/link.h"
#include "mimosastage/telemetry/fatal_log.h"

namespace mimosastage {
namespace {

using asio::ip::tcp;
using internal::Link;

/// Maximum number of connections that aren't authenticated yet; further ones
/// are closed at once.
constexpr std::size_t kMaxUnauthenticatedLinks = 64;
constexpr std::chrono::milliseconds kAcceptRetryDelay{100};
/// Ids for which conflicts are reported at the same time. Refused links of
/// further ids are only counted.
constexpr std::size_t kMaxConflicts = 64;

std::uint64_t DrawSession() {
  const LinkNonce nonce = GenerateLinkNonce();
  std::uint64_t session = 0;
  std::memcpy(&session, nonce.data(), sizeof(session));
  return session | 1U;
}

}  // namespace

struct Links::Impl {
  Impl(Settings settings, Hooks hooks)
      : settings(std::move(settings)),
        hooks(std::move(hooks)),
        acceptor(this->io),
        accept_retry_timer(this->io),
        random(this->settings.seed) {}

  asio::error_code Listen() {
    asio::error_code error;
    const auto address =
        asio::ip::make_address(this->settings.own.address, error);
    if (error) {
      return error;
    }
    const tcp::endpoint endpoint(address, this->settings.own.port);
    this->acceptor.open(endpoint.protocol(), error);
    if (!error) {
      this->acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    }
    if (!error) {
      this->acceptor.bind(endpoint, error);
    }
    if (!error) {
      this->acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    return error;
  }

  void Accept() {
    this->acceptor.async_accept(
        [this](asio::error_code error, tcp::socket socket) {
          if (error == asio::error::operation_aborted) {
            return;
          }
          if (error) {
            // Without a delay the thread would loop at full load while the
            // process has no free file descriptors.
            this->accept_retry_timer.expires_after(kAcceptRetryDelay);
            this->accept_retry_timer.async_wait(
                [this](asio::error_code) { this->Accept(); });
            return;
          }
          if (this->unauthenticated_links.size() < kMaxUnauthenticatedLinks) {
            this->StartLink(std::move(socket), std::nullopt);
          } else {
            this->hooks.on_drop("too_many_unproved_links");
          }
          this->Accept();
        });
  }

  void StartLink(tcp::socket socket, std::optional<DaemonId> expected) {
    Link::Hooks link_hooks;
    link_hooks.may_come_up = [this](const Link& link) {
      return !this->IsIdInUse(link);
    };
    link_hooks.on_refused = [this](const Link& link) { this->OnRefused(link); };
    link_hooks.on_up = [this](const std::shared_ptr<Link>& link) {
      this->OnUp(link);
    };
    link_hooks.on_message = this->hooks.on_message;
    link_hooks.on_drop = this->hooks.on_drop;
    link_hooks.on_bytes = this->hooks.on_bytes;
    link_hooks.on_closed = [this, expected](const std::shared_ptr<Link>& link) {
      this->OnClosed(link, expected);
    };
    auto link =
        std::make_shared<Link>(std::move(socket), this->settings, this->session,
                               expected, std::move(link_hooks));
    this->unauthenticated_links.insert(link);
    link->Start();
  }

  void OnUp(const std::shared_ptr<Link>& link) {
    this->unauthenticated_links.erase(link);
    if (link->IsAnonymous()) {
      link->AssignId(this->NextAnonymousId());
    } else if (this->IsIdInUse(*link)) {
      // Another process with this id came up after this link's hello.
      this->OnRefused(*link);
      link->Close();
      return;
    }
    this->backoff.erase(link->Peer());
    auto& current = this->authenticated_links[link->Peer()];
    const std::shared_ptr<Link> previous = std::exchange(current, link);
    if (previous != nullptr) {
      previous->Close();
    } else {
      this->hooks.on_state(link->Peer(), true);
    }
  }

  /// True if another process has the id of the link's peer: this one, or one
  /// with an open link.
  bool IsIdInUse(const Link& link) const {
    if (link.IsAnonymous()) {
      return false;
    }
    if (link.Peer() == this->settings.own.daemon) {
      return true;
    }
    const auto current = this->authenticated_links.find(link.Peer());
    return current != this->authenticated_links.end() &&
           current->second->PeerSession() != link.PeerSession();
  }

  void OnRefused(const Link& link) {
    this->hooks.on_drop("daemon_id_in_use");
    const DaemonId daemon = link.Peer();
    if (!this->hooks.on_id_conflict ||
        (this->conflicts.size() >= kMaxConflicts &&
         !this->conflicts.contains(daemon))) {
      return;
    }
    Conflict& conflict = this->conflicts[daemon];
    ++conflict.refusals;
    conflict.second = link.RemoteAddress();
    if (!conflict.check_pending) {
      conflict.check_pending = true;
      this->CheckConflictLater(daemon);
    }
  }

  /// Reports the conflict if the first daemon is still heard some time after
  /// the second one was refused. A daemon that was restarted isn't, although
  /// its former link may still be open. An idle daemon sends a frame at least
  /// every second heartbeat interval.
  void CheckConflictLater(DaemonId daemon) {
    const auto refused_at = std::chrono::steady_clock::now();
    auto timer = std::make_shared<asio::steady_timer>(this->io);
    timer->expires_after(3 * this->settings.heartbeat);
    timer->async_wait([this, timer, daemon, refused_at](asio::error_code) {
      this->conflicts[daemon].check_pending = false;
      const auto first = this->authenticated_links.find(daemon);
      if (first != this->authenticated_links.end() &&
          first->second->LastReceived() >
              refused_at + this->settings.heartbeat) {
        this->ReportConflict(daemon, first->second->RemoteAddress());
      }
    });
  }

  void ReportConflict(DaemonId daemon, std::string first) {
    Conflict& conflict = this->conflicts[daemon];
    const auto now = std::chrono::steady_clock::now();
    if (conflict.reported.has_value() &&
        now - *conflict.reported < Links::kConflictReportInterval) {
      return;
    }
    conflict.reported = now;
    this->hooks.on_id_conflict({daemon, std::move(first), conflict.second,
                                std::exchange(conflict.refusals, 0)});
  }

  DaemonId NextAnonymousId() {
    constexpr auto kFirst = static_cast<std::uint16_t>(kFirstAnonymousId);
    constexpr auto kLast = static_cast<std::uint16_t>(kAnonymousDaemon) - 1;
    do {
      this->last_anonymous_id =
          this->last_anonymous_id >= kLast
              ? kFirst
              : static_cast<std::uint16_t>(this->last_anonymous_id + 1);
    } while (
        this->authenticated_links.contains(DaemonId{this->last_anonymous_id}));
    return DaemonId{this->last_anonymous_id};
  }

  void OnClosed(const std::shared_ptr<Link>& link,
                std::optional<DaemonId> dialled) {
    this->unauthenticated_links.erase(link);
    if (auto found = this->authenticated_links.find(link->Peer());
        found != this->authenticated_links.end() && found->second == link) {
      this->authenticated_links.erase(found);
      this->hooks.on_state(link->Peer(), false);
    }
    if (dialled.has_value() && !this->stopping) {
      this->ScheduleDial(*dialled);
    }
  }

  /// Returns the peer, or null if this daemon must not connect to it.
  const LinkAddress* FindPeerToDial(DaemonId daemon) const {
    const Settings& link_settings = this->settings;
    const DaemonId own = link_settings.own.daemon;
    // No daemon lists an anonymous one, so it connects to all its peers.
    const bool dials =
        daemon < own || own == kAnonymousDaemon || link_settings.dial_all;
    if (daemon == own || !dials) {
      return nullptr;
    }
    for (const LinkAddress& peer : link_settings.peers) {
      if (peer.daemon == daemon) {
        return &peer;
      }
    }
    return nullptr;
  }

  void DialPeers() {
    for (const LinkAddress& peer : this->settings.peers) {
      if (this->FindPeerToDial(peer.daemon) != nullptr &&
          this->dialling.insert(peer.daemon).second) {
        this->Dial(peer.daemon);
      }
    }
  }

  void Dial(DaemonId daemon) {
    const LinkAddress* const peer = this->FindPeerToDial(daemon);
    if (peer == nullptr) {
      this->dialling.erase(daemon);
      return;
    }
    if (this->authenticated_links.contains(daemon)) {
      // The peer has connected to this daemon in the meantime.
      this->ScheduleDial(daemon);
      return;
    }
    const LinkAddress address = *peer;
    asio::error_code error;
    const auto ip = asio::ip::make_address(address.address, error);
    if (error) {
      this->hooks.on_drop("bad_peer_address");
      return;
    }
    auto socket = std::make_shared<tcp::socket>(this->io);
    // Bounds a connection attempt to a peer whose packets are dropped silently.
    auto timer = std::make_shared<asio::steady_timer>(this->io);
    timer->expires_after(this->settings.silence_limit);
    timer->async_wait([socket](asio::error_code aborted) {
      asio::error_code ignored;
      if (!aborted) {
        socket->close(ignored);
      }
    });
    socket->async_connect(
        tcp::endpoint(ip, address.port),
        [this, socket, timer, daemon](asio::error_code failed) {
          timer->cancel();
          if (this->stopping) {
            return;
          }
          if (failed || !socket->is_open()) {
            this->ScheduleDial(daemon);
            return;
          }
          this->StartLink(std::move(*socket), daemon);
        });
  }

  void ScheduleDial(DaemonId daemon) {
    auto& delay = this->backoff[daemon];
    delay = std::clamp(2 * delay, this->settings.min_reconnect_delay,
                       this->settings.max_reconnect_delay);
    std::uniform_int_distribution<std::int64_t> jitter(delay.count() / 2,
                                                       delay.count());
    auto timer = std::make_shared<asio::steady_timer>(this->io);
    timer->expires_after(std::chrono::milliseconds(jitter(this->random)));
    timer->async_wait([this, timer, daemon](asio::error_code error) {
      if (!error && !this->stopping) {
        this->Dial(daemon);
      }
    });
  }

  void Shutdown() {
    this->stopping = true;
    asio::error_code ignored;
    this->acceptor.close(ignored);
    const auto links = this->authenticated_links;
    for (const auto& [daemon, link] : links) {
      link->Close();
    }
    this->io.stop();
  }

  Settings settings;
  Hooks hooks;
  /// Identifies this process in its hellos.
  const std::uint64_t session = DrawSession();
  asio::io_context io{1};
  tcp::acceptor acceptor;
  asio::steady_timer accept_retry_timer;
  std::thread thread;
  std::atomic<bool> wake_pending{false};
  // The members below are used by the links' thread only.
  std::mt19937_64 random;
  bool stopping = false;
  std::uint16_t last_anonymous_id =
      static_cast<std::uint16_t>(kFirstAnonymousId);
  struct Conflict {
    /// Links refused since the last report.
    std::size_t refusals = 0;
    /// IP:PORT of the daemon that was refused last.
    std::string second;
    bool check_pending = false;
    std::optional<std::chrono::steady_clock::time_point> reported;
  };
  std::map<DaemonId, Conflict> conflicts;
  std::set<std::shared_ptr<Link>> unauthenticated_links;
  std::map<DaemonId, std::shared_ptr<Link>> authenticated_links;
  std::map<DaemonId, std::chrono::milliseconds> backoff;
  /// Peers that this daemon connects to, now or after a delay.
  std::set<DaemonId> dialling;
};

Links::Links(Settings settings, Hooks hooks)
    : impl(std::make_unique<Impl>(std::move(settings), std::move(hooks))) {}

Links::~Links() { this->Stop(); }

Result<std::uint16_t> Links::Start() {
  Impl& self = *this->impl;
  if (auto error = self.Listen(); error) {
    return std::error_code(error);
  }
  self.Accept();
  self.DialPeers();
  const std::uint16_t port = self.acceptor.local_endpoint().port();
  self.thread = std::thread([&self] {
    const ThreadDuty duty("links");
    self.io.run();
  });
  return port;
}

void Links::Stop() {
  Impl& self = *this->impl;
  if (!self.thread.joinable()) {
    return;
  }
  asio::post(self.io, [&self] { self.Shutdown(); });
  self.thread.join();
}

void Links::Wake() {
  Impl& self = *this->impl;
  if (self.wake_pending.exchange(true)) {
    return;
  }
  asio::post(self.io, [&self] {
    self.wake_pending.store(false);
    self.hooks.on_wake();
  });
}

void Links::SetPeers(std::vector<LinkAddress> peers, bool dial_all) {
  Impl& self = *this->impl;
  self.settings.peers = std::move(peers);
  self.settings.dial_all = dial_all;
  self.DialPeers();
}

void Links::Send(DaemonId to, std::string&& message) {
  Impl& self = *this->impl;
  if (auto found = self.authenticated_links.find(to);
      found != self.authenticated_links.end()) {
    found->second->Send(message);
  } else {
    self.hooks.on_drop("link_down");
  }
}

}  // namespace mimosastage
