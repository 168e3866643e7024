#ifndef MIMOSASTAGE_DAEMONS_LINKS_H_
#define MIMOSASTAGE_DAEMONS_LINKS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "mimosastage/base/link_address.h"
#include "mimosastage/base/names.h"
#include "mimosastage/base/result.h"

namespace mimosastage {

/// Introduces a daemon that the others don't list: it follows the leader and
/// has no vote. Each of its connections is given an id of its own, from
/// kFirstGuest on.
inline constexpr DaemonId kGuest{0xffff};
inline constexpr DaemonId kFirstGuest{0x8000};

/// Authenticated TCP connections to all other daemons, on one thread. Messages
/// may be lost when a connection breaks or a queue is full, and are never
/// changed, repeated or reordered within one connection. Of each pair the
/// daemon with the higher id connects; one that the other doesn't list connects
/// too (Settings::dial_all).
class Links {
 public:
  struct Settings {
    std::string cluster;
    LinkAddress own;
    std::vector<LinkAddress> peers;
    /// Shared by all daemons of the cluster; never logged.
    std::string link_key;
    std::chrono::milliseconds heartbeat{500};
    /// A link that was silent for so long is closed and replaced.
    std::chrono::milliseconds silence_limit{1'500};
    std::chrono::milliseconds reconnect_least{50};
    std::chrono::milliseconds reconnect_most{2'000};
    std::size_t max_queued_frames = 1'024;
    std::size_t max_queued_bytes = 4U << 20U;
    std::uint64_t seed = 0;
    /// Accepts connections of guests.
    bool accept_guests = false;
    /// Accepts daemons that prove the link key and aren't among the peers.
    bool accept_unlisted = false;
    /// Connects to all peers, also to those that would connect by themselves
    /// if they knew this daemon.
    bool dial_all = false;
  };

  /// All hooks run on the links' thread.
  struct Hooks {
    std::function<void(DaemonId from, std::string&& message)> on_message;
    std::function<void(DaemonId peer, bool up)> on_state;
    /// A message or connection was dropped; `reason` is a stable name.
    std::function<void(std::string_view reason)> on_drop;
    /// Bytes of frames written to or read from a connection.
    std::function<void(std::size_t sent, std::size_t received)> on_bytes;
    /// Runs after Wake.
    std::function<void()> on_wake;
  };

  Links(Settings settings, Hooks hooks);
  ~Links();
  Links(const Links&) = delete;
  Links& operator=(const Links&) = delete;

  /// Binds and starts the thread; returns the port, or the error of bind.
  Result<std::uint16_t> Start();
  void Stop();

  /// Asks the links' thread to run on_wake soon; from any thread.
  void Wake();

  /// Replaces the peers, and connects to new ones. Links to former peers stay
  /// until they break. Only from within a hook.
  void SetPeers(std::vector<LinkAddress> peers, bool dial_all);

  /// Sends a message of at most kMaxMessage bytes. Only from within a hook.
  void Send(DaemonId to, std::string&& message);

  static constexpr std::size_t kMaxMessage = 1U << 20U;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_DAEMONS_LINKS_H_
