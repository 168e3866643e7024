#ifndef MIMOSASTAGE_JOBS_RUN_TIMES_H_
#define MIMOSASTAGE_JOBS_RUN_TIMES_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <unordered_map>
#include <vector>

#include "mimosastage/jobs/records.h"

namespace mimosastage::jobs {

/// Identifies the runs whose durations are alike, at three levels. Each field
/// is a hash: two names with the same hash share their samples, which makes an
/// estimate worse and breaks no rule.
struct RunTimeKey {
  /// Queue, step number and image.
  std::uint64_t step = 0;
  /// Queue and image.
  std::uint64_t queue = 0;
  std::uint64_t pool = 0;
};

RunTimeKey MakeRunTimeKey(const Queue& queue, std::uint32_t step,
                          const std::string& image);

/// The latest samples of one level of a key, and a model of them: the logarithm
/// of a duration is a linear function of the logarithm of the stated estimate,
/// plus a residual whose distribution is that of the samples. The slope is 1 if
/// the estimates are off by a constant factor, and 0 if they say nothing.
class RunSamples {
 public:
  /// With 160 samples, the 0.95 quantile has a standard error of 0.017 in rank.
  /// At 50 ends per second they cover the last 3 s.
  static constexpr std::size_t kWindow = 160;
  static constexpr std::size_t kMaxRunning = 64;
  /// Stragglers are the runs above this quantile.
  static constexpr double kTailQuantile = 0.95;

  /// How far the model's duration at a fixed estimate has moved.
  enum class Change : std::uint8_t {
    kNone,
    /// By a third since the last change of this kind or the next.
    kModerate,
    /// It was fitted for the first time, or has changed by a factor of 1.5
    /// since the last change of this kind.
    kLarge
  };

  /// Adds a sample. The model is first fitted to `min_samples` samples.
  Change Add(std::chrono::milliseconds stated,
             std::chrono::milliseconds duration, std::size_t min_samples);
  void ForgetRunning();
  /// Adds a run in progress. It counts until the window is full: up to then,
  /// the samples are all runs that have ended, and the short ones end first.
  /// Later the samples are the ends of a period, and adding the runs that are
  /// in progress would count the long ones twice.
  void AddRunning(std::chrono::milliseconds stated,
                  std::chrono::milliseconds elapsed);

  bool IsFitted() const { return this->model.fitted; }
  double Mean(std::chrono::milliseconds stated) const;
  /// Returns the duration in milliseconds that the given part of the runs
  /// doesn't exceed.
  double Quantile(double part, std::chrono::milliseconds stated) const;
  /// Returns the mean time in milliseconds until the end of a run that has
  /// taken `elapsed` so far.
  double Remaining(std::chrono::milliseconds stated,
                   std::chrono::milliseconds elapsed) const;

 private:
  struct Sample {
    float stated_log = 0;
    float duration_log = 0;
  };

  struct Model {
    bool fitted = false;
    double slope = 1;
    double intercept = 0;
    /// Range of the logarithms of the stated estimates. Outside of it, the
    /// duration is proportional to the estimate.
    double lowest = 0;
    double highest = 0;
    /// Mean duration relative to the prediction.
    double mean_factor = 1;
    double median_residual = 0;
    double tail_residual = 0;
  };

  /// A residual that a run ends with, and its probability.
  struct Outcome {
    double residual = 0;
    double probability = 0;
  };

  void Fit();
  double Predict(double stated_log) const;
  /// Returns the distribution of the residuals in ascending order, by the
  /// estimator of Kaplan and Meier; the runs in progress are censored samples.
  std::vector<Outcome> Residuals() const;
  static double QuantileOf(const std::vector<Outcome>& residuals, double part);
  Change TakeChange();

  std::array<Sample, kWindow> samples{};
  std::array<Sample, kMaxRunning> running{};
  std::uint32_t count = 0;
  std::uint32_t next = 0;
  std::uint32_t until_fit = 0;
  /// Number of runs in progress. Of more than kMaxRunning, an evenly drawn part
  /// is kept.
  std::uint32_t running_total = 0;
  Model model;
  /// The logarithm of an estimate, and of the duration that the model had for
  /// it at the last moderate and at the last large change.
  double compared_at = 0;
  double moderate_value = 0;
  double large_value = 0;
};

/// Learns the durations of runs from those that have ended. The results lie
/// between a tenth and ten times the stated estimate. A key without enough
/// samples at any level has the stated estimate. State of one leader; not
/// thread-safe.
class RunTimes {
 public:
  struct Config {
    /// At 50 to 100 ends per second, a queue has this many samples within half
    /// a second. Its median then has a standard error of 0.09 in rank.
    std::size_t min_samples = 30;
    /// Bounds the memory to 8 MB. Beyond it, the key that was observed least
    /// recently is forgotten.
    std::size_t max_keys = 4'096;
  };

  /// Largest factor between a stated estimate and a learned duration.
  static constexpr std::int64_t kMaxFactor = 10;

  RunTimes() : RunTimes(Config{}) {}
  explicit RunTimes(Config config) : config(config) {}

  /// Adds the duration of a run that has completed its task. Without a stated
  /// estimate nothing is learned. Returns how the learned duration of the key's
  /// step has changed.
  RunSamples::Change Observe(const RunTimeKey& key,
                             std::chrono::milliseconds stated,
                             std::chrono::milliseconds duration);
  /// Forgets the runs in progress. Must precede ObserveRunning for each of
  /// those that are in progress now.
  void ForgetRunning();
  void ObserveRunning(const RunTimeKey& key, std::chrono::milliseconds stated,
                      std::chrono::milliseconds elapsed);

  /// True if there are enough samples for the key at any level.
  bool Knows(const RunTimeKey& key) const {
    return this->FindFitted(key) != nullptr;
  }
  /// Mean duration.
  std::chrono::milliseconds Expected(const RunTimeKey& key,
                                     std::chrono::milliseconds stated) const;
  /// The duration that the given part of the runs doesn't exceed.
  std::chrono::milliseconds Quantile(const RunTimeKey& key, double part,
                                     std::chrono::milliseconds stated) const;
  /// Mean time until the end of a run that has taken `elapsed` so far.
  std::chrono::milliseconds Remaining(const RunTimeKey& key,
                                      std::chrono::milliseconds stated,
                                      std::chrono::milliseconds elapsed) const;

  /// Increases whenever a learned duration at any level has changed by a third.
  std::uint64_t Version() const { return this->version; }
  std::uint64_t Samples() const { return this->observed; }
  std::size_t Keys() const { return this->rows.size(); }

 private:
  struct Row {
    std::uint64_t key = 0;
    RunSamples samples;
  };

  RunSamples& Touch(std::uint64_t key);
  RunSamples* Find(std::uint64_t key);
  /// Returns the most specific level with a model, or null.
  const RunSamples* FindFitted(const RunTimeKey& key) const;

  Config config;
  /// The row that was observed last comes first.
  std::list<Row> rows;
  std::unordered_map<std::uint64_t, std::list<Row>::iterator> index;
  std::uint64_t version = 0;
  std::uint64_t observed = 0;
};

}  // namespace mimosastage::jobs

#endif  // MIMOSASTAGE_JOBS_RUN_TIMES_H_
