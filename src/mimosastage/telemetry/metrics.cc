#include "mimosastage/telemetry/metrics.h"

#include <algorithm>
#include <array>
#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <charconv>
#include <map>
#include <mutex>
#include <vector>

namespace mimosastage {
namespace {

constexpr std::string_view kOverflowLabelValue = "other";

// The bounds around 0.5 ms and 3 ms resolve the targets for added latency; the
// last one is the longest usual deadline.
constexpr std::array<double, 18> kBucketBoundsSeconds{
    0,   0.0005, 0.001, 0.002, 0.003, 0.005, 0.01, 0.02, 0.05,
    0.1, 0.2,    0.5,   1,     2,     5,     10,   30,   60};

using BucketAxis = boost::histogram::axis::variable<
    double, boost::histogram::use_default,
    boost::histogram::axis::option::overflow_t>;

BucketAxis MakeBucketAxis() {
  return BucketAxis(kBucketBoundsSeconds.begin(), kBucketBoundsSeconds.end());
}

struct HistogramSeries {
  decltype(boost::histogram::make_histogram_with(std::vector<std::uint64_t>(),
                                                 MakeBucketAxis())) bins =
      boost::histogram::make_histogram_with(std::vector<std::uint64_t>(),
                                            MakeBucketAxis());
  double sum = 0;
};

template <class Series>
struct Family {
  std::string_view label;
  std::string_view help;
  std::map<std::string, Series, std::less<>> series;
};

template <class Series>
using Families = std::map<std::string_view, Family<Series>>;

std::string FormatNumber(double value) {
  std::array<char, 32> text{};
  const auto [end, error] =
      std::to_chars(text.data(), text.data() + text.size(), value);
  return {text.data(), end};
}

std::string EscapeLabelValue(std::string_view value) {
  std::string text;
  for (const char c : value) {
    if (c == '\n') {
      text += "\\n";
      continue;
    }
    if (c == '\\' || c == '"') {
      text += '\\';
    }
    text += c;
  }
  return text;
}

/// `{label="value",le="bound"}`, or an empty text without labels.
std::string FormatLabels(std::string_view label, std::string_view value,
                         std::string_view bound = "") {
  std::string text;
  if (!label.empty()) {
    text = std::string(label) + "=\"" + EscapeLabelValue(value) + "\"";
  }
  if (!bound.empty()) {
    text += (text.empty() ? "" : ",") + ("le=\"" + std::string(bound) + "\"");
  }
  return text.empty() ? "" : "{" + text + "}";
}

template <class Series>
void AppendHeader(std::string_view name, const Family<Series>& family,
                  std::string_view type, std::string* text) {
  *text += "# HELP " + std::string(name) + " " + std::string(family.help) +
           "\n# TYPE " + std::string(name) + " " + std::string(type) + "\n";
}

void AppendHistogramSeries(std::string_view name, std::string_view label,
                           std::string_view value,
                           const HistogramSeries& series, std::string* text) {
  const std::string prefix(name);
  std::uint64_t total = 0;
  const int bins = series.bins.axis().size();
  for (int i = 0; i < bins; ++i) {
    total += series.bins.at(i);
    const std::string bound = FormatNumber(series.bins.axis().bin(i).upper());
    *text += prefix + "_bucket" + FormatLabels(label, value, bound) + " " +
             std::to_string(total) + "\n";
  }
  total += series.bins.at(bins);
  *text += prefix + "_bucket" + FormatLabels(label, value, "+Inf") + " " +
           std::to_string(total) + "\n";
  *text += prefix + "_sum" + FormatLabels(label, value) + " " +
           FormatNumber(series.sum) + "\n";
  *text += prefix + "_count" + FormatLabels(label, value) + " " +
           std::to_string(total) + "\n";
}

}  // namespace

struct Metrics::Impl {
  template <class Series, class MetricName>
  Series& FindOrCreate(Families<Series>* families, const MetricName& metric,
                       std::string_view label_value) {
    Family<Series>& family = (*families)[metric.name];
    family.label = metric.label;
    family.help = metric.help;
    if (auto found = family.series.find(label_value);
        found != family.series.end()) {
      return found->second;
    }
    // One place is reserved for the series "other".
    if (family.series.size() + 1 >= kMaxSeries) {
      this->CountMergedSample(metric.name);
      return family.series[std::string(kOverflowLabelValue)];
    }
    return family.series[std::string(label_value)];
  }

  void CountMergedSample(std::string_view metric) {
    const CounterName& merged = metrics::kSeriesMerged;
    Family<std::uint64_t>& family = this->counters[merged.name];
    family.label = merged.label;
    family.help = merged.help;
    ++family.series[std::string(metric)];
  }

  mutable std::mutex mutex;
  Families<std::uint64_t> counters;
  Families<double> gauges;
  Families<HistogramSeries> histograms;
};

Metrics::Metrics() : impl(std::make_unique<Impl>()) {}
Metrics::~Metrics() = default;

void Metrics::Add(const CounterName& counter, std::string_view label_value,
                  std::uint64_t count) {
  const std::lock_guard<std::mutex> lock(this->impl->mutex);
  this->impl->FindOrCreate(&this->impl->counters, counter, label_value) +=
      count;
}

void Metrics::Set(const GaugeName& gauge, double value,
                  std::string_view label_value) {
  const std::lock_guard<std::mutex> lock(this->impl->mutex);
  this->impl->FindOrCreate(&this->impl->gauges, gauge, label_value) = value;
}

void Metrics::Observe(const HistogramName& histogram, Duration value,
                      std::string_view label_value) {
  const double seconds = std::chrono::duration<double>(value).count();
  const std::lock_guard<std::mutex> lock(this->impl->mutex);
  HistogramSeries& series =
      this->impl->FindOrCreate(&this->impl->histograms, histogram, label_value);
  // The histogram has no underflow bin: count a negative duration, an error of
  // the caller, in the first bucket, so that _count includes all samples.
  series.bins(std::max(seconds, 0.0));
  series.sum += seconds;
}

std::uint64_t Metrics::Count(const CounterName& counter,
                             std::string_view label_value) const {
  const std::lock_guard<std::mutex> lock(this->impl->mutex);
  const auto family = this->impl->counters.find(counter.name);
  if (family == this->impl->counters.end()) {
    return 0;
  }
  const auto series = family->second.series.find(label_value);
  return series == family->second.series.end() ? 0 : series->second;
}

std::string Metrics::PrometheusText() const {
  std::string text;
  const std::lock_guard<std::mutex> lock(this->impl->mutex);
  for (const auto& [name, family] : this->impl->counters) {
    AppendHeader(name, family, "counter", &text);
    for (const auto& [value, count] : family.series) {
      text += std::string(name) + FormatLabels(family.label, value) + " " +
              std::to_string(count) + "\n";
    }
  }
  for (const auto& [name, family] : this->impl->gauges) {
    AppendHeader(name, family, "gauge", &text);
    for (const auto& [value, number] : family.series) {
      text += std::string(name) + FormatLabels(family.label, value) + " " +
              FormatNumber(number) + "\n";
    }
  }
  for (const auto& [name, family] : this->impl->histograms) {
    AppendHeader(name, family, "histogram", &text);
    for (const auto& [value, series] : family.series) {
      AppendHistogramSeries(name, family.label, value, series, &text);
    }
  }
  return text;
}

}  // namespace mimosastage
