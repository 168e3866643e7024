#ifndef MIMOSASTAGE_JOBS_DEMAND_FORECAST_H_
#define MIMOSASTAGE_JOBS_DEMAND_FORECAST_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "mimosastage/base/time.h"

namespace mimosastage::jobs {

/// Resources that work occupies, as a mean over its duration.
struct Occupation {
  double millicores = 0;
  double memory_mb = 0;
};

/// The work of an accepted job: the mean resources that its tasks occupy for
/// `duration`, the estimated duration of its longest chain of steps.
struct AcceptedWork {
  Occupation mean;
  std::chrono::milliseconds duration{0};
};

/// What the forecast says about the demand of a pool.
struct DemandOutlook {
  enum class Trend : std::uint8_t {
    /// Arrivals haven't been observed for long enough.
    kUnknown,
    kSteady,
    /// A load peak is in progress.
    kPeak,
    /// A peak has ended; what it has left is being completed.
    kFalling
  };

  Trend trend = Trend::kUnknown;
  /// What the accepted jobs and those that go on arriving at the present rate
  /// will occupy at the end of the horizon.
  Occupation expected;
  /// What a peak that is predicted from earlier ones will occupy in addition.
  Occupation promised;
};

/// Forecasts the resources that the jobs of each pool will occupy, from the
/// jobs that are accepted. By Little's law the steady occupation is the arrival
/// rate times the mean work of a job, so it is known as soon as the arrivals
/// rise, before tasks wait and before instances that are ordered can arrive.
/// Load peaks that recur in the same order are predicted from the order and the
/// spacing of their onsets. Does no I/O and keeps a bounded amount of data.
/// Not thread-safe.
class DemandForecast {
 public:
  struct Config {
    /// Time over which a change of the arrival rate is detected.
    std::chrono::milliseconds onset_window{300};
    /// The same for queues with so few jobs that a shorter window often has
    /// none of them by chance.
    std::chrono::milliseconds long_window{1'000};
    /// Time over which the arrival rate is measured: long enough for 30 jobs of
    /// the queues with the fewest jobs, and shorter than half of a peak of
    /// 4.5 s.
    std::chrono::milliseconds rate_window{2'000};
    /// How much measured time the rate of the last peak counts for in the next
    /// one, whose first arrivals vary by chance.
    std::chrono::milliseconds history_weight{500};
    /// A peak that lasts longer is a permanent increase.
    std::chrono::milliseconds longest_peak{15'000};
    /// How long a pool counts as falling after its peak; a job of a peak ends
    /// within that time even if it is late.
    std::chrono::milliseconds falling_time{5'000};
    /// Instances are promised this long before the predicted onset, because
    /// onsets are detected with a resolution of about this time.
    std::chrono::milliseconds onset_tolerance{200};
    /// Longest spacing of two onsets that is remembered.
    std::chrono::milliseconds longest_memory{60'000};
    /// Largest ratio of two spacings of onsets that count as equal. Only used
    /// until the first peak recurs.
    double max_spacing_ratio = 1.3;
  };

  /// Arrivals are observed from `start` on.
  DemandForecast(Config config, TimePoint start)
      : config(config), start(start) {}

  /// Records an accepted job. A submission that is refused must not be
  /// recorded, so that a job that is sent again counts once.
  void OnAccepted(const std::string& pool, const AcceptedWork& work,
                  TimePoint now);
  /// Detects the onsets and the ends of peaks. Must be called about every
  /// 100 ms.
  void Update(TimePoint now);
  /// Returns the outlook for the time `horizon` after `now`, as of the last
  /// update.
  DemandOutlook OutlookOf(const std::string& pool, TimePoint now,
                          std::chrono::milliseconds horizon) const;
  /// Returns when the next peak of the pool is predicted to begin, or nullopt
  /// if none is predicted. A prediction is dropped if the peak doesn't begin
  /// within half of its length.
  std::optional<TimePoint> PredictedOnset(const std::string& pool,
                                          TimePoint now) const;

 private:
  static constexpr std::chrono::milliseconds kArrivalSlot{50};
  static constexpr std::size_t kArrivalSlots = 64;
  static constexpr std::chrono::milliseconds kOccupationSlot{100};
  /// Jobs count for at most 6.3 s, several times the horizon.
  static constexpr std::size_t kOccupationSlots = 64;
  static constexpr std::size_t kMaxPools = 64;
  static constexpr std::size_t kMaxOnsets = 16;

  /// Sums over jobs that were accepted.
  struct Arrivals {
    double jobs = 0;
    Occupation mean;
    /// Millicore-seconds and MB-seconds.
    Occupation work;

    void Add(const Arrivals& other);
  };

  struct Peak {
    TimePoint began{};
    TimePoint ended{};
    Arrivals arrivals;
  };

  struct PoolHistory {
    /// Number of the slot that is current, of either kind.
    std::int64_t arrival_slot = 0;
    std::int64_t occupation_slot = 0;
    std::array<Arrivals, kArrivalSlots> arrivals{};
    /// What the accepted jobs will occupy, from the current slot on.
    std::array<Occupation, kOccupationSlots> occupation{};
    /// Since when the arrival rate is that of the present trend.
    TimePoint rate_since{};
    DemandOutlook::Trend trend = DemandOutlook::Trend::kSteady;
    /// The peak in progress.
    Peak peak;
    std::optional<Peak> last_peak;
    TimePoint last_arrival{};
  };

  struct Onset {
    std::string pool;
    TimePoint at{};
  };

  /// Mean arrivals of a second.
  struct Rate {
    Occupation mean;
    Occupation work;
  };

  static std::int64_t SlotAt(TimePoint time, std::chrono::milliseconds width);
  static TimePoint SlotBegin(std::int64_t arrival_slot);
  /// Makes the slots of `now` current and clears those that become free.
  static void Advance(PoolHistory& pool, TimePoint now);
  /// Sums over the arrivals from `since` on, which is rounded to whole slots.
  static Arrivals ArrivalsSince(const PoolHistory& pool, TimePoint since);
  PoolHistory& HistoryOf(const std::string& pool, TimePoint now);
  /// Returns when a peak began that the arrivals within `window_length` show,
  /// or nullopt.
  std::optional<TimePoint> FindOnset(const PoolHistory& pool,
                                     Duration window_length,
                                     TimePoint now) const;
  /// Returns the slot since which a changed rate explains the arrivals best.
  static TimePoint MostLikelyChange(const PoolHistory& pool, TimePoint since,
                                    double jobs_per_second_before,
                                    TimePoint now);
  void DetectOnset(const std::string& name, PoolHistory& pool, TimePoint now);
  void DetectEnd(PoolHistory& pool, TimePoint now) const;
  /// Continues a peak that was taken for ended because few jobs arrived by
  /// chance.
  void DetectResumption(PoolHistory& pool, TimePoint now) const;
  /// Time within which the end of a peak with this rate is detected.
  Duration EndWindow(double jobs_per_second) const;
  Rate RateOf(const PoolHistory& pool, TimePoint now) const;
  static Rate RateOf(const Peak& peak);
  /// What jobs that arrive at the rate from now on occupy after `time`.
  static Occupation OccupationAfter(const Rate& rate, Duration time);
  std::optional<TimePoint> NextOnset(const std::string& pool) const;
  /// The time between the onsets of successive pools if all pools have had one
  /// peak at equal spacings, the given one first.
  std::optional<Duration> SpacingOfFirstRotation(const std::string& pool) const;

  Config config;
  TimePoint start;
  std::map<std::string, PoolHistory> pools;
  /// The latest onsets of all pools, in their order.
  std::deque<Onset> onsets;
};

}  // namespace mimosastage::jobs

#endif  // MIMOSASTAGE_JOBS_DEMAND_FORECAST_H_
