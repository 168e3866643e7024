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

#include "mimosastage/daemons/frame_seal.h"
#include "mimosastage/daemons/links.h"

namespace mimosastage::internal {

/// One TCP connection to another daemon: says hello, then exchanges sealed
/// frames and heartbeats until it fails or falls silent.
class Link : public std::enable_shared_from_this<Link> {
 public:
  struct Hooks {
    /// The peer has proved that it knows the link key.
    std::function<void(const std::shared_ptr<Link>&)> on_up;
    std::function<void(DaemonId from, std::string&& message)> on_message;
    std::function<void(const std::shared_ptr<Link>&)> on_closed;
    std::function<void(std::string_view reason)> on_drop;
    std::function<void(std::size_t sent, std::size_t received)> on_bytes;
  };

  /// `expected` is the peer that was dialled; an accepted connection learns its
  /// peer from the hello.
  Link(asio::ip::tcp::socket socket, const Links::Settings& settings,
       std::optional<DaemonId> expected, Hooks hooks);

  void Start();
  void Close();
  void Send(std::string_view message);
  /// The peer as the owner knows it.
  DaemonId Peer() const { return this->guest_id.value_or(this->peer.daemon); }
  bool IsGuest() const { return this->peer.daemon == kGuest; }
  void NameGuest(DaemonId id) { this->guest_id = id; }

 private:
  void SendHello();
  void ReadHeader();
  void ReadBody(std::size_t size);
  void OnFrame();
  bool OnHello();
  bool OnSealed();
  void Enqueue(std::string frame);
  void MakeRoomFor(std::size_t size);
  void WriteNext();
  void OnBeat();

  asio::ip::tcp::socket socket;
  const Links::Settings& settings;
  std::optional<DaemonId> expected;
  Hooks hooks;
  asio::steady_timer beat;
  std::chrono::steady_clock::time_point last_received;
  LinkEnd self;
  LinkEnd peer;
  std::optional<DaemonId> guest_id;
  std::optional<FrameSeal> sending;
  std::optional<FrameSeal> receiving;
  bool up = false;
  bool closed = false;
  std::array<unsigned char, 4> header{};
  std::string body;
  std::deque<std::string> queue;
  std::size_t queued_bytes = 0;
  bool writing = false;
  /// A frame was queued since the last beat.
  bool sent_frame = false;
};

}  // namespace mimosastage::internal

#endif  // MIMOSASTAGE_DAEMONS_INTERNAL_LINK_H_
