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

/// Outlier ejection: takes backend servers that fail or are slow out of use,
/// for a time that grows with each ejection, and returns them after one
/// successful probe.
class Ejection {
 public:
  struct Settings {
    std::uint32_t consecutive_failures = 5;
    std::chrono::milliseconds base_ejection_time{5'000};
    std::chrono::milliseconds max_ejection_time{300'000};
    /// A server is slow if its smoothed latency is above `slow_factor` times
    /// the median of its pool and at least `min_slow_margin` above that median.
    double slow_factor = 4;
    std::chrono::milliseconds min_slow_margin{50};
    /// Minimum number of answers before a server's latency is compared.
    std::uint32_t min_answers = 20;
    /// Maximum percentage of a pool that is ejected at once; 33 means exactly a
    /// third.
    std::uint32_t max_ejection_percent = 33;
  };

  enum class State : std::uint8_t {
    kInUse,
    kEjected,
    /// The ejection time is over; the next request may be the probe.
    kProbeDue,
    kProbing,
  };

  enum class Reason : std::uint8_t { kFailures, kLatency };

  Ejection() : Ejection(Settings()) {}
  explicit Ejection(Settings settings);

  void SetMaxEjectionPercent(std::uint32_t percent);

  /// Records the end of an attempt. A status of 500 or more counts as a
  /// failure. An answer that is too large and an attempt that was cancelled or
  /// not started don't count. A stall on a reused connection counts only once a
  /// fresh connection has failed too. `pool_size` is the number of usable
  /// servers of the pool. Returns the reason if this attempt caused an
  /// ejection.
  std::optional<Reason> OnAttemptEnd(const BackendServerName& name,
                                     const PoolName& pool,
                                     std::size_t pool_size, AttemptEnd end,
                                     std::uint16_t status, Duration latency,
                                     TimePoint now);

  State StateOf(const BackendServerName& name, TimePoint now) const;

  /// The server's probe was started. Its end is passed to OnAttemptEnd.
  void OnProbeStarted(const BackendServerName& name);

  /// True after a stall on a reused connection until an attempt succeeds, or
  /// fails in a way that counts.
  bool NeedsFreshConnection(const BackendServerName& name) const;

  /// Removes the state of an absent server.
  void Forget(const BackendServerName& name);

  std::size_t EjectedIn(const PoolName& pool) const;

 private:
  struct Server {
    PoolName pool;
    std::uint32_t failures = 0;
    /// Stalls on reused connections that don't count as failures yet.
    std::uint32_t pending_stalls = 0;
    std::uint32_t ejections = 0;
    std::uint32_t answers = 0;
    Duration latency{};
    State state = State::kInUse;
    TimePoint ejected_until{};
    TimePoint in_use_since{};
  };

  static void CountSuccess(Server& server, Duration latency);
  static void CountFailure(Server& server);
  std::optional<Reason> EndProbe(Server& server, bool succeeded, bool failed,
                                 TimePoint now);
  std::optional<Reason> ReasonToEject(const Server& server) const;
  bool IsSlow(const Server& server) const;
  std::size_t MaxEjected(std::size_t pool_size) const;
  void Eject(Server& server, TimePoint now) const;

  Settings settings;
  std::unordered_map<BackendServerName, Server> servers;
};

std::string_view EjectionReasonName(Ejection::Reason reason);

}  // namespace mimosastage

#endif  // MIMOSASTAGE_ROUTING_EJECTION_H_
