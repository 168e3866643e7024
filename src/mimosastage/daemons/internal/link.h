#ifndef MIMOSASTAGE_DAEMONS_INTERNAL_LINK_H_
#define MIMOSASTAGE_DAEMONS_INTERNAL_LINK_H_

#include <array>
#include <asio.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "mimosastage/daemons/frame_authenticator.h"
#include "mimosastage/daemons/links.h"

namespace mimosastage::internal {

/// One TCP connection to another daemon. After a hello in each direction, both
/// ends exchange authenticated frames and heartbeats until the connection fails
/// or nothing is received within the silence limit.
class Link : public std::enable_shared_from_this<Link> {
 public:
  struct Hooks {
    /// Called with the peer's hello. If false, the link doesn't come up.
    std::function<bool(const Link&)> may_come_up;
    /// The peer of a link that may not come up has proved its knowledge of the
    /// link key. The link closes then.
    std::function<void(const Link&)> on_refused;
    /// The peer has proved its knowledge of the link key.
    std::function<void(const std::shared_ptr<Link>&)> on_up;
    std::function<void(DaemonId from, std::string&& message)> on_message;
    std::function<void(const std::shared_ptr<Link>&)> on_closed;
    std::function<void(std::string_view reason)> on_drop;
    std::function<void(std::size_t sent, std::size_t received)> on_bytes;
  };

  /// `session` identifies this process. `expected_peer` is the peer that was
  /// dialled. An accepted connection has none and learns its peer from the
  /// hello.
  Link(asio::ip::tcp::socket socket, const Links::Settings& settings,
       std::uint64_t session, std::optional<DaemonId> expected_peer,
       Hooks hooks);

  void Start();
  void Close();
  void Send(std::string_view message);
  /// The peer's id, or the id assigned to an anonymous peer.
  DaemonId Peer() const {
    return this->assigned_id.value_or(this->peer.daemon);
  }
  bool IsAnonymous() const { return this->peer.daemon == kAnonymousDaemon; }
  void AssignId(DaemonId id) { this->assigned_id = id; }
  /// Identifies the peer's process; 0 if its release doesn't send it.
  std::uint64_t PeerSession() const { return this->peer_session; }
  /// IP:PORT of the other end of the connection.
  const std::string& RemoteAddress() const { return this->remote_address; }
  /// When the last authenticated frame was received.
  std::chrono::steady_clock::time_point LastReceived() const {
    return this->last_received;
  }

 private:
  void SendHello();
  void ReadHeader();
  void ReadBody(std::size_t size);
  /// Reads the rest of a frame of `size` bytes.
  void ReadRest(std::size_t size);
  void OnFrame();
  bool OnHello();
  bool OnMessageFrame();
  void Enqueue(std::string frame);
  void CloseIfQueueFull();
  bool HasTooManyQueuedBytes() const;
  void WriteNext();
  void OnHeartbeatTimer();

  asio::ip::tcp::socket socket;
  const Links::Settings& settings;
  std::uint64_t session;
  std::optional<DaemonId> expected_peer;
  Hooks hooks;
  std::string remote_address;
  asio::steady_timer heartbeat_timer;
  std::chrono::steady_clock::time_point last_received;
  LinkEndpoint self;
  LinkEndpoint peer;
  std::optional<DaemonId> assigned_id;
  std::uint64_t peer_session = 0;
  /// The link may not come up. It sends nothing, so that the peer doesn't count
  /// it as up, and closes once the peer is authenticated.
  bool refused = false;
  std::optional<FrameAuthenticator> send_authenticator;
  std::optional<FrameAuthenticator> receive_authenticator;
  bool up = false;
  bool closed = false;
  std::array<unsigned char, 4> header{};
  std::string body;
  std::deque<std::string> queue;
  std::size_t queued_bytes = 0;
  bool writing = false;
  /// True if a frame was queued since the heartbeat timer last fired.
  bool queued_since_heartbeat = false;
};

}  // namespace mimosastage::internal

#endif  // MIMOSASTAGE_DAEMONS_INTERNAL_LINK_H_
