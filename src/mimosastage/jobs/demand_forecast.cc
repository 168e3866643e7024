#include "mimosastage/jobs/demand_forecast.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <set>

namespace mimosastage::jobs {
namespace {

using std::chrono::milliseconds;
using Trend = DemandOutlook::Trend;

/// An onset needs more jobs than the preceding rate gives by chance. With four
/// deviations, one in five queues had a false onset within four minutes of
/// constant arrivals.
constexpr double kOnsetDeviations = 5;
/// Added to the expected number of jobs, so that five jobs of an otherwise idle
/// queue aren't an onset.
constexpr double kExpectedJobsAllowance = 0.8;
/// A smaller part of the rate of the pool's last peak isn't an onset.
constexpr double kOnsetPartOfLastPeak = 0.25;
/// A smaller increase needs no forecast: the headroom and the measured rate
/// cover it.
constexpr double kOnsetFactor = 2;
/// A peak has ended once a window has less than this part of its arrivals.
constexpr double kEndFraction = 1.0 / 3;
/// Jobs that a window must be expected to have so that less than a third of
/// them arrive by chance only once in some 500 windows.
constexpr double kJobsToDetectEnd = 12;

double Seconds(Duration time) {
  return std::chrono::duration<double>(time).count();
}

void AddTo(Occupation& sum, const Occupation& amount, double factor) {
  sum.millicores += amount.millicores * factor;
  sum.memory_mb += amount.memory_mb * factor;
}

}  // namespace

void DemandForecast::Arrivals::Add(const Arrivals& other) {
  this->jobs += other.jobs;
  AddTo(this->mean, other.mean, 1);
  AddTo(this->work, other.work, 1);
}

std::int64_t DemandForecast::SlotAt(TimePoint time, milliseconds width) {
  return time.time_since_epoch() / width;
}

TimePoint DemandForecast::SlotBegin(std::int64_t arrival_slot) {
  return TimePoint(arrival_slot * kArrivalSlot);
}

void DemandForecast::Advance(PoolHistory& pool, TimePoint now) {
  const auto arrival_size = static_cast<std::int64_t>(kArrivalSlots);
  const std::int64_t arrival_slot = SlotAt(now, kArrivalSlot);
  for (std::int64_t i =
           std::max(pool.arrival_slot, arrival_slot - arrival_size) + 1;
       i <= arrival_slot; ++i) {
    pool.arrivals[static_cast<std::size_t>(i % arrival_size)] = {};
  }
  pool.arrival_slot = std::max(pool.arrival_slot, arrival_slot);
  const auto size = static_cast<std::int64_t>(kOccupationSlots);
  const std::int64_t next = SlotAt(now, kOccupationSlot);
  for (std::int64_t i = std::max(pool.occupation_slot, next - size); i < next;
       ++i) {
    pool.occupation[static_cast<std::size_t>(i % size)] = {};
  }
  pool.occupation_slot = std::max(pool.occupation_slot, next);
}

DemandForecast::Arrivals DemandForecast::ArrivalsSince(const PoolHistory& pool,
                                                       TimePoint since) {
  Arrivals sum;
  const auto size = static_cast<std::int64_t>(kArrivalSlots);
  for (std::int64_t i =
           std::max(SlotAt(since, kArrivalSlot), pool.arrival_slot - size + 1);
       i <= pool.arrival_slot; ++i) {
    sum.Add(pool.arrivals[static_cast<std::size_t>(i % size)]);
  }
  return sum;
}

DemandForecast::PoolHistory& DemandForecast::HistoryOf(const std::string& pool,
                                                       TimePoint now) {
  if (const auto found = this->pools.find(pool); found != this->pools.end()) {
    return found->second;
  }
  if (this->pools.size() >= kMaxPools) {
    this->pools.erase(std::min_element(this->pools.begin(), this->pools.end(),
                                       [](const auto& a, const auto& b) {
                                         return a.second.last_arrival <
                                                b.second.last_arrival;
                                       }));
  }
  PoolHistory& added = this->pools[pool];
  added.arrival_slot = SlotAt(now, kArrivalSlot);
  added.occupation_slot = SlotAt(now, kOccupationSlot);
  // No job has arrived for the pool since the start.
  added.rate_since = this->start;
  return added;
}

void DemandForecast::OnAccepted(const std::string& pool,
                                const AcceptedWork& work, TimePoint now) {
  PoolHistory& history = this->HistoryOf(pool, now);
  Advance(history, now);
  history.last_arrival = now;
  const milliseconds duration =
      std::clamp(work.duration, kOccupationSlot,
                 kOccupationSlot * static_cast<int>(kOccupationSlots - 1));
  Arrivals arrival;
  arrival.jobs = 1;
  arrival.mean = work.mean;
  AddTo(arrival.work, work.mean, Seconds(duration));
  history
      .arrivals[static_cast<std::size_t>(history.arrival_slot) % kArrivalSlots]
      .Add(arrival);
  if (history.trend == Trend::kPeak) {
    history.peak.arrivals.Add(arrival);
  }
  const std::int64_t end = SlotAt(now + duration, kOccupationSlot);
  for (std::int64_t i = history.occupation_slot; i < end; ++i) {
    AddTo(history.occupation[static_cast<std::size_t>(i) % kOccupationSlots],
          work.mean, 1);
  }
}

void DemandForecast::Update(TimePoint now) {
  while (!this->onsets.empty() &&
         now - this->onsets.front().at > this->config.longest_memory) {
    this->onsets.pop_front();
  }
  for (auto& [name, pool] : this->pools) {
    Advance(pool, now);
    if (pool.trend == Trend::kPeak) {
      this->DetectEnd(pool, now);
    } else {
      this->DetectOnset(name, pool, now);
    }
    if (pool.trend == Trend::kFalling) {
      this->DetectResumption(pool, now);
    }
    if (pool.trend == Trend::kFalling &&
        now - pool.peak.ended >= this->config.falling_time) {
      pool.trend = Trend::kSteady;
    }
  }
}

std::optional<TimePoint> DemandForecast::FindOnset(const PoolHistory& pool,
                                                   Duration window_length,
                                                   TimePoint now) const {
  // Arrivals are summed over whole slots.
  const TimePoint window = SlotBegin(SlotAt(now - window_length, kArrivalSlot));
  const TimePoint since = SlotBegin(
      SlotAt(std::max(pool.rate_since, window - this->config.rate_window),
             kArrivalSlot));
  if (window - since < this->config.long_window) {
    return std::nullopt;
  }
  const double recent = ArrivalsSince(pool, window).jobs;
  const double before = ArrivalsSince(pool, since).jobs - recent;
  const double ratio = Seconds(now - window) / Seconds(window - since);
  const double expected = before * ratio + kExpectedJobsAllowance;
  // Both numbers of jobs vary by chance.
  const double deviation = std::sqrt(expected * (1 + ratio));
  double threshold = std::max(expected + kOnsetDeviations * deviation,
                              expected * kOnsetFactor);
  if (const auto& last = pool.last_peak; last.has_value()) {
    threshold = std::max(threshold, kOnsetPartOfLastPeak * last->arrivals.jobs *
                                        Seconds(now - window) /
                                        Seconds(last->ended - last->began));
  }
  if (recent <= threshold) {
    return std::nullopt;
  }
  return MostLikelyChange(pool, window, expected / Seconds(now - window), now);
}

TimePoint DemandForecast::MostLikelyChange(const PoolHistory& pool,
                                           TimePoint since,
                                           double jobs_per_second_before,
                                           TimePoint now) {
  TimePoint best = since;
  double best_likelihood = 0;
  double jobs = 0;
  for (std::int64_t slot = pool.arrival_slot; SlotBegin(slot) >= since;
       --slot) {
    jobs += pool.arrivals[static_cast<std::size_t>(slot) % kArrivalSlots].jobs;
    const double expected =
        jobs_per_second_before * Seconds(now - SlotBegin(slot));
    // Logarithm of the likelihood ratio of a Poisson process whose rate changed
    // at the slot to one whose rate didn't.
    const double likelihood =
        jobs > expected && expected > 0
            ? jobs * std::log(jobs / expected) - (jobs - expected)
            : 0;
    if (likelihood > best_likelihood) {
      best_likelihood = likelihood;
      best = SlotBegin(slot);
    }
  }
  return best;
}

void DemandForecast::DetectOnset(const std::string& name, PoolHistory& pool,
                                 TimePoint now) {
  auto onset = this->FindOnset(pool, this->config.onset_window, now);
  if (!onset.has_value()) {
    onset = this->FindOnset(pool, this->config.long_window, now);
  }
  if (!onset.has_value()) {
    return;
  }
  pool.trend = Trend::kPeak;
  pool.peak = Peak{};
  pool.peak.began = *onset;
  pool.peak.arrivals = ArrivalsSince(pool, *onset);
  pool.rate_since = *onset;
  if (this->onsets.size() >= kMaxOnsets) {
    this->onsets.pop_front();
  }
  this->onsets.push_back(Onset{name, *onset});
}

void DemandForecast::DetectResumption(PoolHistory& pool, TimePoint now) const {
  const Duration since_end = now - pool.peak.ended;
  if (since_end > this->config.rate_window) {
    return;
  }
  const Duration window = this->EndWindow(
      pool.peak.arrivals.jobs / Seconds(pool.peak.ended - pool.peak.began));
  const Duration peak_length = pool.peak.ended - pool.peak.began;
  if (ArrivalsSince(pool, now - window).jobs <
      pool.peak.arrivals.jobs * (Seconds(window) / Seconds(peak_length)) *
          (1 - kEndFraction)) {
    return;
  }
  pool.trend = Trend::kPeak;
  pool.peak.arrivals.Add(ArrivalsSince(pool, pool.peak.ended));
  pool.rate_since = pool.peak.began;
}

Duration DemandForecast::EndWindow(double jobs_per_second) const {
  return std::clamp<Duration>(
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
          kJobsToDetectEnd / std::max(jobs_per_second, 1e-3))),
      this->config.onset_window, this->config.long_window);
}

void DemandForecast::DetectEnd(PoolHistory& pool, TimePoint now) const {
  const Duration elapsed = now - pool.peak.began;
  if (elapsed > this->config.longest_peak) {
    pool.trend = Trend::kSteady;
    return;
  }
  const double jobs_per_second =
      pool.peak.arrivals.jobs / std::max(Seconds(elapsed), 1e-3);
  const Duration window = this->EndWindow(jobs_per_second);
  if (elapsed < window ||
      ArrivalsSince(pool, now - window).jobs >=
          jobs_per_second * Seconds(window) * kEndFraction) {
    return;
  }
  // About two thirds of the window must be without arrivals until the end is
  // noticed.
  pool.peak.ended = std::max(
      pool.peak.began + this->config.onset_window,
      now - std::chrono::duration_cast<Duration>(window * (1 - kEndFraction)));
  pool.last_peak = pool.peak;
  pool.trend = Trend::kFalling;
  pool.rate_since = pool.peak.ended;
}

DemandForecast::Rate DemandForecast::RateOf(const Peak& peak) {
  const double seconds = std::max(Seconds(peak.ended - peak.began), 0.1);
  Rate rate;
  AddTo(rate.mean, peak.arrivals.mean, 1 / seconds);
  AddTo(rate.work, peak.arrivals.work, 1 / seconds);
  return rate;
}

DemandForecast::Rate DemandForecast::RateOf(const PoolHistory& pool,
                                            TimePoint now) const {
  const TimePoint since =
      std::max(pool.rate_since, now - this->config.rate_window);
  Arrivals sum = ArrivalsSince(pool, since);
  double seconds =
      std::max(Seconds(now - since), Seconds(this->config.onset_window));
  if (pool.trend == Trend::kPeak && pool.last_peak.has_value()) {
    const Rate last = RateOf(*pool.last_peak);
    const double weight = Seconds(this->config.history_weight);
    AddTo(sum.mean, last.mean, weight);
    AddTo(sum.work, last.work, weight);
    seconds += weight;
  }
  Rate rate;
  AddTo(rate.mean, sum.mean, 1 / seconds);
  AddTo(rate.work, sum.work, 1 / seconds);
  return rate;
}

Occupation DemandForecast::OccupationAfter(const Rate& rate, Duration time) {
  const double seconds = std::max(Seconds(time), 0.0);
  // Jobs that end within the time are replaced by later ones.
  return Occupation{
      std::min(rate.mean.millicores * seconds, rate.work.millicores),
      std::min(rate.mean.memory_mb * seconds, rate.work.memory_mb)};
}

DemandOutlook DemandForecast::OutlookOf(const std::string& pool, TimePoint now,
                                        milliseconds horizon) const {
  DemandOutlook outlook;
  const auto found = this->pools.find(pool);
  if (found == this->pools.end() ||
      now - this->start < this->config.rate_window) {
    return outlook;
  }
  const PoolHistory& history = found->second;
  outlook.trend = history.trend;
  const std::int64_t slot = SlotAt(now + horizon, kOccupationSlot);
  if (slot <
      history.occupation_slot + static_cast<std::int64_t>(kOccupationSlots)) {
    outlook.expected =
        history.occupation[static_cast<std::size_t>(slot) % kOccupationSlots];
  }
  AddTo(outlook.expected, OccupationAfter(this->RateOf(history, now), horizon),
        1);
  if (const auto onset = this->PredictedOnset(pool, now); onset.has_value()) {
    outlook.promised = OccupationAfter(
        RateOf(*history.last_peak),
        now + horizon - (*onset - this->config.onset_tolerance));
  }
  return outlook;
}

std::optional<TimePoint> DemandForecast::PredictedOnset(const std::string& pool,
                                                        TimePoint now) const {
  const auto found = this->pools.find(pool);
  if (found == this->pools.end() || found->second.trend == Trend::kPeak ||
      !found->second.last_peak.has_value()) {
    return std::nullopt;
  }
  const Peak& last = *found->second.last_peak;
  const auto onset = this->NextOnset(pool);
  if (!onset.has_value() || now > *onset + (last.ended - last.began) / 2) {
    return std::nullopt;
  }
  return onset;
}

std::optional<TimePoint> DemandForecast::NextOnset(
    const std::string& pool) const {
  if (this->onsets.empty()) {
    return std::nullopt;
  }
  const Onset& newest = this->onsets.back();
  const auto previous =
      std::find_if(this->onsets.rbegin() + 1, this->onsets.rend(),
                   [&](const Onset& row) { return row.pool == newest.pool; });
  if (previous == this->onsets.rend()) {
    const auto spacing = this->SpacingOfFirstRotation(pool);
    return spacing.has_value() ? std::optional<TimePoint>(newest.at + *spacing)
                               : std::nullopt;
  }
  // The onsets that followed the newest pool's previous one recur.
  for (auto row = previous.base(); row != std::prev(this->onsets.end());
       ++row) {
    if (row->pool == pool) {
      return newest.at + (row->at - previous->at);
    }
  }
  // The newest pool's own next peak follows after all others.
  return pool == newest.pool
             ? std::optional<TimePoint>(newest.at + (newest.at - previous->at))
             : std::nullopt;
}

std::optional<Duration> DemandForecast::SpacingOfFirstRotation(
    const std::string& pool) const {
  std::set<std::string> seen;
  Duration shortest = Duration::max();
  Duration longest{0};
  for (std::size_t i = 0; i < this->onsets.size(); ++i) {
    seen.insert(this->onsets[i].pool);
    if (i > 0) {
      const Duration spacing = this->onsets[i].at - this->onsets[i - 1].at;
      shortest = std::min(shortest, spacing);
      longest = std::max(longest, spacing);
    }
  }
  // A pool that has had no peak yet may have the next one.
  if (this->onsets.size() < 3 || this->onsets.front().pool != pool ||
      seen.size() != this->onsets.size() || seen.size() != this->pools.size() ||
      Seconds(longest) > this->config.max_spacing_ratio * Seconds(shortest)) {
    return std::nullopt;
  }
  return (this->onsets.back().at - this->onsets.front().at) /
         static_cast<std::int64_t>(this->onsets.size() - 1);
}

}  // namespace mimosastage::jobs
