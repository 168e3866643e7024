#include "mimosastage/routing/ejection.h"

#include <algorithm>
#include <utility>

namespace mimosastage {
namespace {

/// Inverse of a new latency's weight in the smoothed latency.
constexpr std::int64_t kLatencySmoothing = 8;

/// Answers of a server between two comparisons of its latency with its pool's
/// median, because the comparison reads all servers.
constexpr std::uint32_t kAnswersPerComparison = 16;

/// The median of fewer servers doesn't show which one is slow.
constexpr std::size_t kMinServersForMedian = 3;

/// Percentage that stands for exactly a third.
constexpr std::uint32_t kThirdPercent = 33;

enum class AttemptEffect : std::uint8_t {
  kSuccess,
  kFailure,
  kPendingStall,
  kNothing
};

AttemptEffect EffectOf(AttemptEnd end, std::uint16_t status) {
  switch (end) {
    case AttemptEnd::kWholeAnswer:
      return status >= 500 ? AttemptEffect::kFailure : AttemptEffect::kSuccess;
    case AttemptEnd::kStalledReused:
      return AttemptEffect::kPendingStall;
    case AttemptEnd::kTooLarge:
    case AttemptEnd::kCancelled:
    case AttemptEnd::kNotStarted:
      return AttemptEffect::kNothing;
    default:
      return AttemptEffect::kFailure;
  }
}

}  // namespace

Ejection::Ejection(Settings settings) : settings(settings) {}

void Ejection::SetMaxEjectionPercent(std::uint32_t percent) {
  this->settings.max_ejection_percent = percent;
}

std::optional<Ejection::Reason> Ejection::OnAttemptEnd(
    const BackendServerName& name, const PoolName& pool, std::size_t pool_size,
    AttemptEnd end, std::uint16_t status, Duration latency, TimePoint now) {
  Server& server = this->servers[name];
  server.pool = pool;
  const AttemptEffect effect = EffectOf(end, status);
  if (effect == AttemptEffect::kSuccess) {
    CountSuccess(server, latency);
  } else if (effect == AttemptEffect::kFailure) {
    CountFailure(server);
  } else if (effect == AttemptEffect::kPendingStall) {
    server.pending_stalls += 1;
  }
  if (server.state == State::kProbing) {
    const bool failed = effect == AttemptEffect::kFailure;
    return this->EndProbe(server, effect == AttemptEffect::kSuccess, failed,
                          now);
  }
  if (server.state != State::kInUse) {
    return std::nullopt;
  }
  const std::optional<Reason> reason = this->ReasonToEject(server);
  if (!reason || this->EjectedIn(pool) >= this->MaxEjected(pool_size)) {
    return std::nullopt;
  }
  this->Eject(server, now);
  return reason;
}

void Ejection::CountSuccess(Server& server, Duration latency) {
  server.failures = 0;
  server.pending_stalls = 0;
  server.answers += 1;
  if (server.answers == 1) {
    server.latency = latency;
  } else {
    server.latency += (latency - server.latency) / kLatencySmoothing;
  }
}

void Ejection::CountFailure(Server& server) {
  server.failures += 1 + std::exchange(server.pending_stalls, 0);
}

std::optional<Ejection::Reason> Ejection::EndProbe(Server& server,
                                                   bool succeeded, bool failed,
                                                   TimePoint now) {
  if (failed) {
    this->Eject(server, now);
    return Reason::kFailures;
  }
  if (succeeded) {
    server.state = State::kInUse;
    server.in_use_since = now;
    // The old latency may be the reason for the ejection.
    server.answers = 0;
  } else {
    server.state = State::kEjected;
  }
  return std::nullopt;
}

std::optional<Ejection::Reason> Ejection::ReasonToEject(
    const Server& server) const {
  if (server.failures >= this->settings.consecutive_failures) {
    return Reason::kFailures;
  }
  const bool compare = server.failures == 0 &&
                       server.answers >= this->settings.min_answers &&
                       server.answers % kAnswersPerComparison == 0;
  if (compare && this->IsSlow(server)) {
    return Reason::kLatency;
  }
  return std::nullopt;
}

bool Ejection::IsSlow(const Server& server) const {
  std::vector<Duration> latencies;
  for (const auto& [name, other] : this->servers) {
    const bool counts = other.pool == server.pool &&
                        other.state == State::kInUse &&
                        other.answers >= this->settings.min_answers;
    if (counts) {
      latencies.push_back(other.latency);
    }
  }
  if (latencies.size() < kMinServersForMedian) {
    return false;
  }
  const auto middle = latencies.begin() +
                      static_cast<std::ptrdiff_t>((latencies.size() - 1) / 2);
  std::nth_element(latencies.begin(), middle, latencies.end());
  const auto limit = std::chrono::duration_cast<Duration>(
      *middle * this->settings.slow_factor);
  return server.latency > limit &&
         server.latency >= *middle + this->settings.min_slow_margin;
}

std::size_t Ejection::MaxEjected(std::size_t pool_size) const {
  if (this->settings.max_ejection_percent == kThirdPercent) {
    return pool_size / 3;
  }
  return pool_size * this->settings.max_ejection_percent / 100;
}

void Ejection::Eject(Server& server, TimePoint now) const {
  const bool stable =
      server.state == State::kInUse &&
      now - server.in_use_since > this->settings.max_ejection_time;
  if (stable) {
    server.ejections = 0;
  }
  Duration time = this->settings.base_ejection_time;
  for (std::uint32_t i = 0;
       i < server.ejections && time < this->settings.max_ejection_time; ++i) {
    time *= 2;
  }
  server.ejected_until =
      now + std::min<Duration>(time, this->settings.max_ejection_time);
  server.ejections += 1;
  server.failures = 0;
  server.state = State::kEjected;
}

Ejection::State Ejection::StateOf(const BackendServerName& name,
                                  TimePoint now) const {
  auto found = this->servers.find(name);
  if (found == this->servers.end()) {
    return State::kInUse;
  }
  const Server& server = found->second;
  const bool due =
      server.state == State::kEjected && server.ejected_until <= now;
  return due ? State::kProbeDue : server.state;
}

void Ejection::OnProbeStarted(const BackendServerName& name) {
  this->servers[name].state = State::kProbing;
}

bool Ejection::NeedsFreshConnection(const BackendServerName& name) const {
  auto found = this->servers.find(name);
  return found != this->servers.end() && found->second.pending_stalls > 0;
}

void Ejection::Forget(const BackendServerName& name) {
  this->servers.erase(name);
}

std::size_t Ejection::EjectedIn(const PoolName& pool) const {
  return std::count_if(
      this->servers.begin(), this->servers.end(), [&](const auto& entry) {
        return entry.second.pool == pool && entry.second.state != State::kInUse;
      });
}

std::string_view EjectionReasonName(Ejection::Reason reason) {
  return reason == Ejection::Reason::kFailures ? "failures" : "latency";
}

}  // namespace mimosastage
