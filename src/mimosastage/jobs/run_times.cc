#include "mimosastage/jobs/run_times.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <string>

#include "mimosastage/jobs/value_bounds.h"

namespace mimosastage::jobs {
namespace {

using std::chrono::milliseconds;

/// Weight of the assumption that the durations are proportional to the
/// estimates: as much as four samples at a factor of 1.65 from the mean.
constexpr double kProportionalWeight = 1;
/// A slope outside of this range is noise: estimates are ordered.
constexpr double kMaxSlope = 2;
/// A fit costs some microseconds, and fewer samples hardly change it.
constexpr std::uint32_t kSamplesPerFit = 8;
/// The factors of RunSamples::Change.
constexpr double kModerateFactor = 4.0 / 3;
constexpr double kLargeFactor = 1.5;
/// Allowance for rounding in sums of probabilities.
constexpr double kRounding = 1e-9;

static_assert(sizeof(RunSamples) <= 2'048 - 64,
              "a key has at most 2 KB, with its rows in the tables");

float LogOf(milliseconds time) {
  return static_cast<float>(
      std::log(std::max(1.0, static_cast<double>(time.count()))));
}

std::uint64_t HashOf(const std::string& text, std::uint64_t level) {
  return XXH64(text.data(), text.size(), level);
}

/// Limits a learned duration by the stated estimate.
milliseconds Clamp(double learned, milliseconds stated) {
  if (stated.count() <= 0) {
    return stated;
  }
  const auto low = static_cast<double>(stated.count()) / RunTimes::kMaxFactor;
  const auto high = static_cast<double>(stated.count()) * RunTimes::kMaxFactor;
  return BoundedTime(
      static_cast<std::int64_t>(std::llround(std::clamp(learned, low, high))));
}

}  // namespace

RunTimeKey MakeRunTimeKey(const Queue& queue, std::uint32_t step,
                          const std::string& image) {
  std::string text;
  text.reserve(queue.host.size() + queue.path_prefix.size() + image.size() +
               16);
  text.append(queue.host).push_back('\0');
  text.append(queue.path_prefix).push_back('\0');
  text.append(image);
  RunTimeKey key;
  key.queue = HashOf(text, 2);
  text.push_back('\0');
  text.append(std::to_string(step));
  key.step = HashOf(text, 1);
  key.pool = HashOf(queue.pool, 3);
  return key;
}

RunSamples::Change RunSamples::Add(milliseconds stated, milliseconds duration,
                                   std::size_t min_samples) {
  this->samples[this->next] = Sample{LogOf(stated), LogOf(duration)};
  this->next = (this->next + 1) % kWindow;
  this->count = std::min<std::uint32_t>(this->count + 1, kWindow);
  if (this->count < min_samples || this->until_fit > 0) {
    this->until_fit -= this->until_fit > 0 ? 1 : 0;
    return Change::kNone;
  }
  this->until_fit = kSamplesPerFit - 1;
  this->Fit();
  return this->TakeChange();
}

void RunSamples::ForgetRunning() { this->running_total = 0; }

void RunSamples::AddRunning(milliseconds stated, milliseconds elapsed) {
  if (this->count == kWindow) {
    return;
  }
  std::size_t slot = this->running_total++;
  if (slot >= kMaxRunning) {
    // Reservoir sampling. Multiplication by a large odd constant scatters the
    // numbers, and the result is the same in each run.
    constexpr std::uint64_t kScatter = 0x9E3779B97F4A7C15;
    slot = ((this->running_total * kScatter) >> 32U) % this->running_total;
  }
  if (slot < kMaxRunning) {
    this->running[slot] = Sample{LogOf(stated), LogOf(elapsed)};
  }
}

double RunSamples::Predict(double stated_log) const {
  const double inside =
      std::clamp(stated_log, this->model.lowest, this->model.highest);
  return this->model.intercept + this->model.slope * inside +
         (stated_log - inside);
}

void RunSamples::Fit() {
  const auto end = this->samples.begin() + this->count;
  double stated_sum = 0;
  double duration_sum = 0;
  this->model.lowest = this->samples[0].stated_log;
  this->model.highest = this->model.lowest;
  for (auto sample = this->samples.begin(); sample != end; ++sample) {
    stated_sum += sample->stated_log;
    duration_sum += sample->duration_log;
    this->model.lowest =
        std::min<double>(this->model.lowest, sample->stated_log);
    this->model.highest =
        std::max<double>(this->model.highest, sample->stated_log);
  }
  const double stated_mean = stated_sum / this->count;
  const double duration_mean = duration_sum / this->count;
  double variance = kProportionalWeight;
  double covariance = kProportionalWeight;
  for (auto sample = this->samples.begin(); sample != end; ++sample) {
    const double distance = sample->stated_log - stated_mean;
    variance += distance * distance;
    covariance += distance * (sample->duration_log - duration_mean);
  }
  this->model.slope = std::clamp(covariance / variance, 0.0, kMaxSlope);
  this->model.intercept = duration_mean - this->model.slope * stated_mean;
  const std::vector<Outcome> residuals = this->Residuals();
  this->model.mean_factor = 0;
  for (const Outcome& outcome : residuals) {
    this->model.mean_factor += outcome.probability * std::exp(outcome.residual);
  }
  this->model.median_residual = QuantileOf(residuals, 0.5);
  this->model.tail_residual = QuantileOf(residuals, kTailQuantile);
  if (!this->model.fitted) {
    this->compared_at = stated_mean;
  }
}

RunSamples::Change RunSamples::TakeChange() {
  const double value =
      this->Predict(this->compared_at) + this->model.median_residual;
  const auto has_changed = [&](double since, double factor) {
    return std::abs(value - since) >= std::log(factor);
  };
  if (!this->model.fitted || has_changed(this->large_value, kLargeFactor)) {
    this->model.fitted = true;
    this->large_value = value;
    this->moderate_value = value;
    return Change::kLarge;
  }
  if (has_changed(this->moderate_value, kModerateFactor)) {
    this->moderate_value = value;
    return Change::kModerate;
  }
  return Change::kNone;
}

std::vector<RunSamples::Outcome> RunSamples::Residuals() const {
  struct Point {
    double residual = 0;
    bool ended = false;
    double weight = 1;
  };
  const std::size_t kept =
      this->count == kWindow
          ? 0
          : std::min<std::size_t>(this->running_total, kMaxRunning);
  std::vector<Point> points;
  points.reserve(this->count + kept);
  for (std::size_t i = 0; i < this->count; ++i) {
    const Sample& sample = this->samples[i];
    points.push_back(
        Point{sample.duration_log - this->Predict(sample.stated_log), true});
  }
  for (std::size_t i = 0; i < kept; ++i) {
    const Sample& sample = this->running[i];
    points.push_back(Point{
        sample.duration_log - this->Predict(sample.stated_log), false,
        static_cast<double>(this->running_total) / static_cast<double>(kept)});
  }
  std::sort(points.begin(), points.end(), [](const Point& a, const Point& b) {
    return a.residual < b.residual ||
           (a.residual == b.residual && a.ended && !b.ended);
  });
  double at_risk = this->count + (kept > 0 ? this->running_total : 0);
  double surviving = 1;
  std::vector<Outcome> outcomes;
  outcomes.reserve(this->count + 1);
  for (const Point& point : points) {
    if (point.ended) {
      const double part = surviving / at_risk;
      outcomes.push_back(Outcome{point.residual, part});
      surviving -= part;
    }
    at_risk -= point.weight;
  }
  if (surviving > kRounding) {
    // The longest runs are still in progress.
    outcomes.push_back(Outcome{points.back().residual, surviving});
  }
  return outcomes;
}

double RunSamples::QuantileOf(const std::vector<Outcome>& residuals,
                              double part) {
  double sum = 0;
  for (const Outcome& outcome : residuals) {
    sum += outcome.probability;
    if (sum + kRounding >= part) {
      return outcome.residual;
    }
  }
  return residuals.empty() ? 0 : residuals.back().residual;
}

double RunSamples::Mean(milliseconds stated) const {
  return std::exp(this->Predict(LogOf(stated))) * this->model.mean_factor;
}

double RunSamples::Quantile(double part, milliseconds stated) const {
  double residual = 0;
  if (part == 0.5) {
    residual = this->model.median_residual;
  } else if (part == kTailQuantile) {
    residual = this->model.tail_residual;
  } else {
    residual = QuantileOf(this->Residuals(), part);
  }
  return std::exp(this->Predict(LogOf(stated)) + residual);
}

double RunSamples::Remaining(milliseconds stated, milliseconds elapsed) const {
  const double predicted = std::exp(this->Predict(LogOf(stated)));
  const auto so_far = static_cast<double>(elapsed.count());
  double probability = 0;
  double sum = 0;
  for (const Outcome& outcome : this->Residuals()) {
    const double duration = predicted * std::exp(outcome.residual);
    if (duration > so_far) {
      probability += outcome.probability;
      sum += outcome.probability * (duration - so_far);
    }
  }
  // No sample is longer: the elapsed time is the only known measure.
  return probability > 0 ? sum / probability : so_far;
}

RunSamples& RunTimes::Touch(std::uint64_t key) {
  if (const auto found = this->index.find(key); found != this->index.end()) {
    this->rows.splice(this->rows.begin(), this->rows, found->second);
  } else {
    if (this->rows.size() >= this->config.max_keys) {
      this->index.erase(this->rows.back().key);
      this->rows.pop_back();
    }
    this->rows.emplace_front().key = key;
    this->index.emplace(key, this->rows.begin());
  }
  return this->rows.front().samples;
}

RunSamples* RunTimes::Find(std::uint64_t key) {
  const auto found = this->index.find(key);
  return found == this->index.end() ? nullptr : &found->second->samples;
}

const RunSamples* RunTimes::FindFitted(const RunTimeKey& key) const {
  for (const std::uint64_t level : {key.step, key.queue, key.pool}) {
    if (const auto found = this->index.find(level);
        found != this->index.end() && found->second->samples.IsFitted()) {
      return &found->second->samples;
    }
  }
  return nullptr;
}

RunSamples::Change RunTimes::Observe(const RunTimeKey& key, milliseconds stated,
                                     milliseconds duration) {
  if (stated.count() <= 0 || duration.count() < 0) {
    return RunSamples::Change::kNone;
  }
  ++this->observed;
  RunSamples::Change of_step = RunSamples::Change::kNone;
  for (const std::uint64_t level : {key.pool, key.queue, key.step}) {
    of_step =
        this->Touch(level).Add(stated, duration, this->config.min_samples);
    this->version += of_step == RunSamples::Change::kNone ? 0 : 1;
  }
  return of_step;
}

void RunTimes::ForgetRunning() {
  for (Row& row : this->rows) {
    row.samples.ForgetRunning();
  }
}

void RunTimes::ObserveRunning(const RunTimeKey& key, milliseconds stated,
                              milliseconds elapsed) {
  if (stated.count() <= 0 || elapsed.count() < 0) {
    return;
  }
  for (const std::uint64_t level : {key.step, key.queue, key.pool}) {
    if (RunSamples* const samples = this->Find(level); samples != nullptr) {
      samples->AddRunning(stated, elapsed);
    }
  }
}

milliseconds RunTimes::Expected(const RunTimeKey& key,
                                milliseconds stated) const {
  const RunSamples* const samples = this->FindFitted(key);
  return samples == nullptr ? stated : Clamp(samples->Mean(stated), stated);
}

milliseconds RunTimes::Quantile(const RunTimeKey& key, double part,
                                milliseconds stated) const {
  const RunSamples* const samples = this->FindFitted(key);
  return samples == nullptr ? stated
                            : Clamp(samples->Quantile(part, stated), stated);
}

milliseconds RunTimes::Remaining(const RunTimeKey& key, milliseconds stated,
                                 milliseconds elapsed) const {
  const RunSamples* const samples = this->FindFitted(key);
  if (samples == nullptr) {
    return std::max(milliseconds(0), stated - elapsed);
  }
  return std::clamp(Clamp(samples->Remaining(stated, elapsed), stated),
                    milliseconds(0), kLongestTime);
}

}  // namespace mimosastage::jobs
