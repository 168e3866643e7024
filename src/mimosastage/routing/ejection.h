#ifndef MIMOSASTAGE_ROUTING_EJECTION_H_
#define MIMOSASTAGE_ROUTING_EJECTION_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "mimosastage/base/names.h"
#include "mimosastage/base/time.h"
#include "mimosastage/routing/attempt.h"

namespace mimosastage {

/// Takes backend servers that fail or are slow out of use for a growing time,
/// and brings them back after one successful probe.
class Ejection {
 public:
  struct Settings {
    std::uint32_t consecutive_failures = 5;
    std::chrono::milliseconds first_time{5'000};
    std::chrono::milliseconds longest_time{300'000};
    /// A server is slow if its smoothed latency is more than this many times
    /// the median of its pool, and at least `slow_by` above it.
    double slow_factor = 4;
    std::chrono::milliseconds slow_by{50};
    /// Answers that a latency needs before it is compared.
    std::uint32_t min_answers = 20;
    /// Share of a pool that may be out at once; 33 stands for a third.
    std::uint32_t cap_percent = 33;
  };

  enum class State : std::uint8_t {
    kIn,
    kOut,
    /// The time is over; the next request may go there as the probe.
    kProbeDue,
    kProbing,
  };

  enum class Reason : std::uint8_t { kFailures, kLatency };

  Ejection() : Ejection(Settings()) {}
  explicit Ejection(Settings settings);

  void SetCapPercent(std::uint32_t percent);

  /// Feeds the end of an attempt. A status of 500 or more counts as a failure,
  /// a cancelled attempt or one that wasn't started counts as nothing. A stall
  /// on a reused connection counts only after a fresh connection has failed
  /// too. `pool_size` is the number of servers of the pool that could be used.
  /// Returns the reason if this attempt caused an ejection.
  std::optional<Reason> OnAttemptEnd(const BackendServerName& name,
                                     const PoolName& pool,
                                     std::size_t pool_size, AttemptEnd end,
                                     std::uint16_t status, Duration latency,
                                     TimePoint now);

  State StateOf(const BackendServerName& name, TimePoint now) const;

  /// The server's probe was started. Its end arrives at OnAttemptEnd.
  void OnProbeStarted(const BackendServerName& name);

  /// True after a stall on a reused connection until a fresh one was tried.
  bool NeedsFreshConnection(const BackendServerName& name) const;

  /// The server is absent; a later one of the same name starts anew.
  void Forget(const BackendServerName& name);

  std::size_t EjectedIn(const PoolName& pool) const;

 private:
  struct Server {
    PoolName pool;
    std::uint32_t failures = 0;
    /// Stalls on reused connections that don't count yet.
    std::uint32_t suspected = 0;
    std::uint32_t ejections = 0;
    std::uint32_t answers = 0;
    Duration latency{};
    State state = State::kIn;
    TimePoint out_until{};
    TimePoint in_since{};
  };

  static void CountSuccess(Server& server, Duration latency);
  static void CountFailure(Server& server);
  std::optional<Reason> EndProbe(Server& server, bool succeeded, bool failed,
                                 TimePoint now);
  std::optional<Reason> ReasonToEject(const Server& server) const;
  bool IsSlow(const Server& server) const;
  std::size_t Cap(std::size_t pool_size) const;
  void Eject(Server& server, TimePoint now) const;

  Settings settings;
  std::unordered_map<BackendServerName, Server> servers;
};

std::string_view EjectionReasonName(Ejection::Reason reason);

}  // namespace mimosastage

#endif  // MIMOSASTAGE_ROUTING_EJECTION_H_
