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

/// Sent in the hello by a daemon without an id of its own, which the other
/// daemons don't list: it follows the leader and has no vote. The accepting
/// daemon assigns each connection of such a daemon an id of kFirstAnonymousId
/// or above.
inline constexpr DaemonId kAnonymousDaemon{0xffff};
inline constexpr DaemonId kFirstAnonymousId{0x8000};

/// Two processes connected with the same id.
struct DaemonIdConflict {
  DaemonId daemon{};
  /// IP:PORT of the daemon that keeps its link.
  std::string first;
  /// IP:PORT of the daemon whose links are refused.
  std::string second;
  /// Links refused since the last report.
  std::size_t refusals = 0;
};

/// Authenticated TCP connections to all other daemons, on one thread. Messages
/// may be lost when a connection breaks or a queue is full, but are never
/// modified, duplicated or reordered within one connection. Of each pair of
/// daemons the one with the higher id connects. An anonymous daemon, and one
/// with Settings::dial_all, connects to all its peers, because peers that don't
/// list it never connect to it.
///
/// A daemon whose id another process uses is refused, and its connections are
/// closed before it counts as connected. Its id is free again once the link of
/// the other process is closed.
class Links {
 public:
  struct Settings {
    std::string cluster;
    LinkAddress own;
    std::vector<LinkAddress> peers;
    /// Shared by all daemons of the cluster; never logged.
    std::string link_key;
    std::chrono::milliseconds heartbeat{500};
    /// A link on which nothing is received for this long is closed. Also limits
    /// the duration of a connection attempt.
    std::chrono::milliseconds silence_limit{1'500};
    std::chrono::milliseconds min_reconnect_delay{50};
    std::chrono::milliseconds max_reconnect_delay{2'000};
    std::size_t max_queued_frames = 1'024;
    /// A link that has more bytes queued than this, not counting its longest
    /// message, is closed at the next message. Two messages more than this may
    /// be queued.
    std::size_t max_queued_bytes = 4U << 20U;
    std::uint64_t seed = 0;
    /// Accepts connections of daemons that send kAnonymousDaemon.
    bool accept_anonymous = false;
    /// Accepts daemons that have an id and know the link key but aren't among
    /// the peers.
    bool accept_unlisted = false;
    /// Connects to all peers, including those with a higher id, which would
    /// connect to this daemon if they listed it.
    bool dial_all = false;
  };

  /// All hooks are called on the links' thread, except that Start may call
  /// on_drop.
  struct Hooks {
    std::function<void(DaemonId from, std::string&& message)> on_message;
    std::function<void(DaemonId peer, bool up)> on_state;
    /// A message or connection was dropped; `reason` is a stable identifier.
    std::function<void(std::string_view reason)> on_drop;
    /// Reports the bytes of frames written to or read from a connection.
    std::function<void(std::size_t sent, std::size_t received)> on_bytes;
    /// Called after Wake.
    std::function<void()> on_wake;
    /// A process was refused because another one that is alive has its id. Not
    /// called for a restarted daemon whose former link isn't closed yet. Called
    /// at most once in kConflictReportInterval for each id. Optional.
    std::function<void(const DaemonIdConflict& conflict)> on_id_conflict;
  };

  Links(Settings settings, Hooks hooks);
  ~Links();
  Links(const Links&) = delete;
  Links& operator=(const Links&) = delete;

  /// Starts to listen and starts the thread. Returns the port, or the error if
  /// the daemon can't listen.
  Result<std::uint16_t> Start();
  void Stop();

  /// Makes the links' thread call on_wake soon. Can be called from any thread.
  void Wake();

  /// Replaces the peers and connects to new ones. Links to former peers stay
  /// open until they break. Must be called from within a hook.
  void SetPeers(std::vector<LinkAddress> peers, bool dial_all);

  /// Sends a message of at most kMaxMessageBytes. Must be called from within a
  /// hook.
  void Send(DaemonId to, std::string&& message);

  /// Holds a log entry of ReplicationLimits::command_bytes.
  static constexpr std::size_t kMaxMessageBytes = 16U << 20U;
  static constexpr std::chrono::seconds kConflictReportInterval{60};

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_DAEMONS_LINKS_H_
