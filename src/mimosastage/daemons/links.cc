#include "mimosastage/daemons/links.h"

#include <asio.hpp>
#include <atomic>
#include <map>
#include <random>
#include <set>
#include <thread>
#include <utility>

#include "mimosastage/daemons/internal/link.h"

namespace mimosastage {
namespace {

using asio::ip::tcp;
using internal::Link;

/// Connections that haven't yet proved the link key; more are closed at once.
constexpr std::size_t kMaxUnproved = 64;
constexpr std::chrono::milliseconds kAcceptPause{100};

}  // namespace

struct Links::Impl {
  Impl(Settings settings, Hooks hooks)
      : settings(std::move(settings)),
        hooks(std::move(hooks)),
        acceptor(this->io),
        accept_pause(this->io),
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
            // Without a pause a lack of file descriptors would spin the thread.
            this->accept_pause.expires_after(kAcceptPause);
            this->accept_pause.async_wait(
                [this](asio::error_code) { this->Accept(); });
            return;
          }
          if (this->unproved.size() < kMaxUnproved) {
            this->StartLink(std::move(socket), std::nullopt);
          } else {
            this->hooks.on_drop("too_many_unproved_links");
          }
          this->Accept();
        });
  }

  void StartLink(tcp::socket socket, std::optional<DaemonId> expected) {
    Link::Hooks link_hooks;
    link_hooks.on_up = [this](const std::shared_ptr<Link>& link) {
      this->OnUp(link);
    };
    link_hooks.on_message = this->hooks.on_message;
    link_hooks.on_drop = this->hooks.on_drop;
    link_hooks.on_bytes = this->hooks.on_bytes;
    link_hooks.on_closed = [this, expected](const std::shared_ptr<Link>& link) {
      this->OnClosed(link, expected);
    };
    auto link = std::make_shared<Link>(std::move(socket), this->settings,
                                       expected, std::move(link_hooks));
    this->unproved.insert(link);
    link->Start();
  }

  void OnUp(const std::shared_ptr<Link>& link) {
    this->unproved.erase(link);
    if (link->IsGuest()) {
      link->NameGuest(this->NextGuest());
    }
    this->backoff.erase(link->Peer());
    auto& current = this->proved[link->Peer()];
    const std::shared_ptr<Link> previous = std::exchange(current, link);
    if (previous != nullptr) {
      previous->Close();
    } else {
      this->hooks.on_state(link->Peer(), true);
    }
  }

  DaemonId NextGuest() {
    constexpr auto kFirst = static_cast<std::uint16_t>(kFirstGuest);
    constexpr auto kLast = static_cast<std::uint16_t>(kGuest) - 1;
    do {
      this->last_guest = this->last_guest >= kLast
                             ? kFirst
                             : static_cast<std::uint16_t>(this->last_guest + 1);
    } while (this->proved.contains(DaemonId{this->last_guest}));
    return DaemonId{this->last_guest};
  }

  void OnClosed(const std::shared_ptr<Link>& link,
                std::optional<DaemonId> dialled) {
    this->unproved.erase(link);
    if (auto found = this->proved.find(link->Peer());
        found != this->proved.end() && found->second == link) {
      this->proved.erase(found);
      this->hooks.on_state(link->Peer(), false);
    }
    if (dialled.has_value() && !this->stopping) {
      this->DialLater(*dialled);
    }
  }

  /// The peer, if this daemon is to connect to it.
  const LinkAddress* ToDial(DaemonId daemon) const {
    const Settings& given = this->settings;
    if (daemon == given.own.daemon ||
        (daemon >= given.own.daemon && !given.dial_all)) {
      return nullptr;
    }
    for (const LinkAddress& peer : given.peers) {
      if (peer.daemon == daemon) {
        return &peer;
      }
    }
    return nullptr;
  }

  void DialPeers() {
    for (const LinkAddress& peer : this->settings.peers) {
      if (this->ToDial(peer.daemon) != nullptr &&
          this->dialling.insert(peer.daemon).second) {
        this->Dial(peer.daemon);
      }
    }
  }

  void Dial(DaemonId daemon) {
    const LinkAddress* const peer = this->ToDial(daemon);
    if (peer == nullptr) {
      this->dialling.erase(daemon);
      return;
    }
    if (this->proved.contains(daemon)) {
      // The peer has connected by itself.
      this->DialLater(daemon);
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
    // A connection attempt to a peer that swallows packets must end too.
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
            this->DialLater(daemon);
            return;
          }
          this->StartLink(std::move(*socket), daemon);
        });
  }

  void DialLater(DaemonId daemon) {
    auto& wait = this->backoff[daemon];
    wait = std::clamp(2 * wait, this->settings.reconnect_least,
                      this->settings.reconnect_most);
    std::uniform_int_distribution<std::int64_t> jitter(wait.count() / 2,
                                                       wait.count());
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
    const auto links = this->proved;
    for (const auto& [daemon, link] : links) {
      link->Close();
    }
    this->io.stop();
  }

  Settings settings;
  Hooks hooks;
  asio::io_context io{1};
  tcp::acceptor acceptor;
  asio::steady_timer accept_pause;
  std::thread thread;
  std::atomic<bool> wake_pending{false};
  // Used by the links' thread only.
  std::mt19937_64 random;
  bool stopping = false;
  std::uint16_t last_guest = static_cast<std::uint16_t>(kFirstGuest);
  std::set<std::shared_ptr<Link>> unproved;
  std::map<DaemonId, std::shared_ptr<Link>> proved;
  std::map<DaemonId, std::chrono::milliseconds> backoff;
  /// Peers that are connected to, or will be after a pause.
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
  self.thread = std::thread([&self] { self.io.run(); });
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
  if (auto found = self.proved.find(to); found != self.proved.end()) {
    found->second->Send(message);
  } else {
    self.hooks.on_drop("link_down");
  }
}

}  // namespace mimosastage
