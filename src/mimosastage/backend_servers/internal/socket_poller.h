#ifndef MIMOSASTAGE_BACKEND_SERVERS_INTERNAL_SOCKET_POLLER_H_
#define MIMOSASTAGE_BACKEND_SERVERS_INTERNAL_SOCKET_POLLER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <unordered_map>

namespace mimosastage::internal {

struct SocketEvent {
  int socket = -1;
  bool readable = false;
  bool writable = false;
};

/// Waits for the sockets of one thread with epoll. Makes few system calls: a
/// socket that isn't watched any more stays registered until it reports
/// something, because the next exchange on its connection watches it again.
class SocketPoller {
 public:
  /// Throws std::system_error if the process has no free file descriptors.
  SocketPoller();
  ~SocketPoller();
  SocketPoller(const SocketPoller&) = delete;
  SocketPoller& operator=(const SocketPoller&) = delete;

  /// Replaces what the socket is watched for; with neither, it isn't watched.
  void Watch(int socket, bool read, bool write);

  /// Must be called before the socket is closed, or before a new socket with
  /// its number is watched.
  void Forget(int socket);

  using Handler = std::function<void(const SocketEvent& event)>;

  /// Waits until a watched socket is ready, Interrupt is called or `timeout`
  /// has passed; nullopt means no timeout. Calls `handle` for each ready
  /// socket, but not for one that an earlier call of `handle` has closed. A
  /// socket with an error is ready for what it is watched for.
  void Wait(std::optional<std::chrono::steady_clock::duration> timeout,
            const Handler& handle);

  /// Ends the current or else the next Wait. May be called from any thread.
  void Interrupt() const;

 private:
  struct Entry {
    std::uint32_t wanted = 0;
    /// 0 if the socket isn't registered.
    std::uint32_t registered = 0;
    /// Tells the events of this registration from those of an earlier socket
    /// with the same number.
    std::uint32_t registration = 0;
  };

  void Register(int socket, Entry& entry);
  void Unregister(int socket, Entry& entry) const;

  int epoll;
  int interrupt;
  std::uint32_t last_registration = 0;
  std::unordered_map<int, Entry> entries;
};

}  // namespace mimosastage::internal

#endif  // MIMOSASTAGE_BACKEND_SERVERS_INTERNAL_SOCKET_POLLER_H_
