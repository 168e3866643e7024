#ifndef MIMOSASTAGE_HTTP_INPUT_BUDGET_H_
#define MIMOSASTAGE_HTTP_INPUT_BUDGET_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "mimosastage/base/time.h"

namespace mimosastage {

/// Bounds what the clients of all listeners of a process make it hold: bytes of
/// requests that aren't complete, of accepted requests and of answers that
/// weren't read, and the number of connections. When a bound is reached, the
/// connections that have held unfinished bytes for longest are closed first.
/// Does no I/O. Thread-safe.
class InputBudget {
 public:
  struct Limits {
    std::size_t max_bytes = 256U << 20U;
    std::size_t max_connections = 20'000;
  };
  using ConnectionId = std::uint64_t;
  using ListenerId = std::size_t;
  /// Closes a connection because of `reason`, a stable identifier. Called on
  /// any thread and with the budget locked, so it must only post.
  using Close = std::function<void(const char* reason)>;

  /// Reasons.
  static constexpr const char* kBytes = "bytes_held";
  static constexpr const char* kConnections = "connections_open";

  struct Usage {
    std::string listener;
    std::size_t bytes = 0;
    std::size_t connections = 0;
  };

  /// Bytes of an accepted request, counted until the object is destroyed.
  class Charge {
   public:
    Charge(std::shared_ptr<InputBudget> budget, ListenerId listener,
           std::size_t bytes);
    ~Charge();
    Charge(const Charge&) = delete;
    Charge& operator=(const Charge&) = delete;

   private:
    std::shared_ptr<InputBudget> budget;
    ListenerId listener;
    std::size_t bytes;
  };

  explicit InputBudget(Limits limits);

  ListenerId AddListener(std::string name);

  /// Counts a connection that was accepted at `now`. Closes the one that has
  /// waited for its client longest if there are too many.
  ConnectionId Open(ListenerId listener, Close close, TimePoint now);
  /// `close` isn't called after the return.
  void Remove(ConnectionId connection);

  /// Sets the bytes that the connection holds for a request that isn't complete
  /// and for answers that its client hasn't read. Closes other connections if
  /// there is no room. False if this connection must be closed, whose `close`
  /// isn't called then.
  [[nodiscard]] bool Hold(ConnectionId connection, std::size_t bytes,
                          TimePoint now);
  /// As Hold, but never closes this connection, whose request was run: its
  /// answer is held for a moment even if there is no room. False if the
  /// connection was told to close before.
  [[nodiscard]] bool HoldAnswer(ConnectionId connection, std::size_t bytes,
                                TimePoint now);
  /// A connection with an accepted request that isn't answered doesn't wait for
  /// its client, so it isn't closed for the number of connections.
  void SetBusy(ConnectionId connection, bool busy, TimePoint now);

  std::size_t HeldBytes() const;
  std::vector<Usage> UsageByListener() const;

 private:
  struct Connection {
    ListenerId listener = 0;
    Close close;
    std::size_t bytes = 0;
    /// When it began to hold bytes, or to wait for its client.
    TimePoint since{};
    bool busy = false;
    /// Its memory is about to be freed, so it isn't counted.
    bool closing = false;
  };
  using Order = std::set<std::pair<TimePoint, ConnectionId>>;

  void AddAccepted(ListenerId listener, std::size_t bytes);
  void RemoveAccepted(ListenerId listener, std::size_t bytes);
  /// The order in which the connection is listed, or null.
  Order* OrderOf(const Connection& connection);
  void Unlist(ConnectionId id, const Connection& connection);
  void List(ConnectionId id, const Connection& connection);
  void AddBytes(ListenerId listener, std::size_t bytes);
  void RemoveBytes(ListenerId listener, std::size_t bytes);
  /// Marks the connection as closing and returns its `close`.
  Close BeginClosing(ConnectionId id, Connection& connection);
  enum class Own : std::uint8_t { kMayClose, kKeep };
  bool SetBytes(ConnectionId connection, std::size_t bytes, TimePoint now,
                Own own);
  /// Closes connections until the bytes fit, `id` only if `own` allows it.
  /// Never calls the `close` of `id`.
  void CloseForBytes(ConnectionId id, Own own);

  const Limits limits;
  mutable std::mutex mutex;
  std::vector<Usage> listeners;
  std::unordered_map<ConnectionId, Connection> connections;
  /// Connections that hold bytes.
  Order holding;
  /// Connections that hold none and wait for their client.
  Order idle;
  ConnectionId last_id = 0;
  std::size_t held_bytes = 0;
  std::size_t open_connections = 0;
};

/// The part of a process's memory, and the number of its connections, that its
/// clients may occupy if it may use `memory_mb` MiB and have `max_connections`
/// connections open. One request with a body of `largest_body` bytes always
/// fits.
InputBudget::Limits MakeInputLimits(std::size_t memory_mb,
                                    std::size_t max_connections,
                                    std::uint64_t largest_body);

}  // namespace mimosastage

#endif  // MIMOSASTAGE_HTTP_INPUT_BUDGET_H_
