#include "mimosastage/routing/ejection.h"

#include <algorithm>
#include <utility>

namespace mimosastage {
namespace {

/// Weight of a new latency in the smoothed one.
constexpr std::int64_t kSmoothing = 8;

/// A latency is compared with its pool's median once in so many answers,
/// because the comparison reads all servers.
constexpr std::uint32_t kAnswersPerComparison = 16;

/// A median of fewer servers says nothing about which one is slow.
constexpr std::size_t kMinServersForMedian = 3;

/// Percentage that stands for exactly a third.
constexpr std::uint32_t kThirdPercent = 33;

enum class Verdict : std::uint8_t { kSuccess, kFailure, kSuspicion, kNothing };

Verdict VerdictOf(AttemptEnd end, std::uint16_t status) {
  switch (end) {
    case AttemptEnd::kWholeAnswer:
      return status >= 500 ? Verdict::kFailure : Verdict::kSuccess;
    case AttemptEnd::kStalledReused:
      return Verdict::kSuspicion;
    case AttemptEnd::kTooLarge:
    case AttemptEnd::kCancelled:
    case AttemptEnd::kNotStarted:
      return Verdict::kNothing;
    default:
      return Verdict::kFailure;
  }
}

}  // namespace

Ejection::Ejection(Settings settings) : settings(settings) {}

void Ejection::SetCapPercent(std::uint32_t percent) {
  this->settings.cap_percent = percent;
}

std::optional<Ejection::Reason> Ejection::OnAttemptEnd(
    const BackendServerName& name, const PoolName& pool, std::size_t pool_size,
    AttemptEnd end, std::uint16_t status, Duration latency, TimePoint now) {
  Server& server = this->servers[name];
  server.pool = pool;
  const Verdict verdict = VerdictOf(end, status);
  if (verdict == Verdict::kSuccess) {
    CountSuccess(server, latency);
  } else if (verdict == Verdict::kFailure) {
    CountFailure(server);
  } else if (verdict == Verdict::kSuspicion) {
    server.suspected += 1;
  }
  if (server.state == State::kProbing) {
    const bool failed = verdict == Verdict::kFailure;
    return this->EndProbe(server, verdict == Verdict::kSuccess, failed, now);
  }
  if (server.state != State::kIn) {
    return std::nullopt;
  }
  const std::optional<Reason> reason = this->ReasonToEject(server);
  if (!reason || this->EjectedIn(pool) >= this->Cap(pool_size)) {
    return std::nullopt;
  }
  this->Eject(server, now);
  return reason;
}

void Ejection::CountSuccess(Server& server, Duration latency) {
  server.failures = 0;
  server.suspected = 0;
  server.answers += 1;
  if (server.answers == 1) {
    server.latency = latency;
  } else {
    server.latency += (latency - server.latency) / kSmoothing;
  }
}

void Ejection::CountFailure(Server& server) {
  server.failures += 1 + std::exchange(server.suspected, 0);
}

std::optional<Ejection::Reason> Ejection::EndProbe(Server& server,
                                                   bool succeeded, bool failed,
                                                   TimePoint now) {
  if (failed) {
    this->Eject(server, now);
    return Reason::kFailures;
  }
  if (succeeded) {
    server.state = State::kIn;
    server.in_since = now;
    // The old latency may be the reason of the ejection.
    server.answers = 0;
  } else {
    server.state = State::kOut;
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
                        other.state == State::kIn &&
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
         server.latency >= *middle + this->settings.slow_by;
}

std::size_t Ejection::Cap(std::size_t pool_size) const {
  if (this->settings.cap_percent == kThirdPercent) {
    return pool_size / 3;
  }
  return pool_size * this->settings.cap_percent / 100;
}

void Ejection::Eject(Server& server, TimePoint now) const {
  const bool long_in = server.state == State::kIn &&
                       now - server.in_since > this->settings.longest_time;
  if (long_in) {
    server.ejections = 0;
  }
  Duration time = this->settings.first_time;
  for (std::uint32_t i = 0;
       i < server.ejections && time < this->settings.longest_time; ++i) {
    time *= 2;
  }
  server.out_until =
      now + std::min<Duration>(time, this->settings.longest_time);
  server.ejections += 1;
  server.failures = 0;
  server.state = State::kOut;
}

Ejection::State Ejection::StateOf(const BackendServerName& name,
                                  TimePoint now) const {
  auto found = this->servers.find(name);
  if (found == this->servers.end()) {
    return State::kIn;
  }
  const Server& server = found->second;
  const bool due = server.state == State::kOut && server.out_until <= now;
  return due ? State::kProbeDue : server.state;
}

void Ejection::OnProbeStarted(const BackendServerName& name) {
  this->servers[name].state = State::kProbing;
}

bool Ejection::NeedsFreshConnection(const BackendServerName& name) const {
  auto found = this->servers.find(name);
  return found != this->servers.end() && found->second.suspected > 0;
}

void Ejection::Forget(const BackendServerName& name) {
  this->servers.erase(name);
}

std::size_t Ejection::EjectedIn(const PoolName& pool) const {
  return std::count_if(
      this->servers.begin(), this->servers.end(), [&](const auto& entry) {
        return entry.second.pool == pool && entry.second.state != State::kIn;
      });
}

std::string_view EjectionReasonName(Ejection::Reason reason) {
  return reason == Ejection::Reason::kFailures ? "failures" : "latency";
}

}  // namespace mimosastage
