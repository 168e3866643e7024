// Measures the cost of learned run times: processor time per call, bytes per
// key, and the errors of the mean, the median and the 0.95 quantile for
// log-normal, heavy-tailed, bimodal and drifting durations. Prints one JSON
// line for the calls and one for each kind of durations.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <ctime>
#include <functional>
#include <iostream>
#include <random>
#include <string>
#include <vector>

#include "mimosastage/jobs/run_times.h"

ABSL_FLAG(int, calls, 300'000, "number of calls of each kind");
ABSL_FLAG(int, runs, 200, "number of seeded runs for each kind of durations");

namespace {

using mimosastage::jobs::MakeRunTimeKey;
using mimosastage::jobs::Queue;
using mimosastage::jobs::RunSamples;
using mimosastage::jobs::RunTimeKey;
using mimosastage::jobs::RunTimes;
using std::chrono::milliseconds;

constexpr milliseconds kStated{1'000};
constexpr std::uint32_t kSteps = 20;
constexpr int kSamplesPerRun = 1'000;

double ProcessorSeconds() {
  timespec cpu_time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &cpu_time);
  return static_cast<double>(cpu_time.tv_sec) +
         static_cast<double>(cpu_time.tv_nsec) * 1e-9;
}

/// Returns the processor time of one call in nanoseconds.
double Measure(int calls, const std::function<void(int)>& call) {
  const double began = ProcessorSeconds();
  for (int i = 0; i < calls; ++i) {
    call(i);
  }
  return (ProcessorSeconds() - began) * 1e9 / calls;
}

void MeasureCalls(int calls) {
  Queue queue;
  queue.host = "host.example";
  queue.path_prefix = "/queues/short/";
  queue.pool = "render";
  std::mt19937_64 random(1);
  std::lognormal_distribution<double> durations(6.5, 0.4);
  RunTimes run_times;
  std::int64_t sum = 0;
  const auto key = [&](int i) {
    return MakeRunTimeKey(queue, static_cast<std::uint32_t>(i) % kSteps, "");
  };
  const double key_ns = Measure(calls, [&](int i) {
    sum += static_cast<std::int64_t>(key(i).step & 1U);
  });
  const double observe_ns = Measure(calls, [&](int i) {
    run_times.Observe(key(i), kStated,
                      milliseconds(std::llround(durations(random))));
  });
  const double median_ns = Measure(calls, [&](int i) {
    sum += run_times.Quantile(key(i), 0.5, kStated).count();
  });
  const double other_quantile_ns = Measure(calls / 10, [&](int i) {
    sum += run_times.Quantile(key(i), 0.8, kStated).count();
  });
  const double remaining_ns = Measure(calls / 10, [&](int i) {
    sum +=
        run_times.Remaining(key(i), kStated, milliseconds(i % 2'000)).count();
  });
  const double running_ns = Measure(calls, [&](int i) {
    run_times.ObserveRunning(key(i), kStated, milliseconds(i % 2'000));
  });
  std::cout << "{\"bench\":\"run_times\",\"bytes_per_key\":"
            << sizeof(RunSamples) << ",\"make_key_ns\":" << key_ns
            << ",\"observe_ns\":" << observe_ns
            << ",\"median_ns\":" << median_ns
            << ",\"other_quantile_ns\":" << other_quantile_ns
            << ",\"remaining_ns\":" << remaining_ns
            << ",\"observe_running_ns\":" << running_ns
            << ",\"checksum\":" << sum << "}\n";
}

using Draw = std::function<double(std::mt19937_64&, int)>;

struct Errors {
  double mean = 0;
  double median = 0;
  double tail = 0;
};

/// Adds the mean absolute error relative to the sorted samples of the given
/// number of last durations.
void MeasureErrors(const std::string& name, const Draw& draw, int runs,
                   std::size_t reference) {
  Errors errors;
  for (int run = 1; run <= runs; ++run) {
    std::mt19937_64 random(static_cast<std::uint64_t>(run));
    RunTimes run_times;
    const RunTimeKey key{1, 2, 3};
    std::vector<double> all;
    for (int i = 0; i < kSamplesPerRun; ++i) {
      const double duration = std::max(1.0, std::round(draw(random, i)));
      run_times.Observe(key, kStated,
                        milliseconds(static_cast<std::int64_t>(duration)));
      all.push_back(duration);
    }
    all.erase(all.begin(), all.end() - static_cast<std::ptrdiff_t>(reference));
    std::sort(all.begin(), all.end());
    double mean = 0;
    for (const double duration : all) {
      mean += duration / static_cast<double>(all.size());
    }
    const auto error = [](milliseconds learned, double exact) {
      return std::abs(static_cast<double>(learned.count()) - exact) / exact;
    };
    errors.mean += error(run_times.Expected(key, kStated), mean) / runs;
    errors.median +=
        error(run_times.Quantile(key, 0.5, kStated), all[all.size() / 2]) /
        runs;
    errors.tail += error(run_times.Quantile(key, 0.95, kStated),
                         all[all.size() * 95 / 100]) /
                   runs;
  }
  std::cout << "{\"bench\":\"run_times_errors\",\"durations\":\"" << name
            << "\",\"reference_samples\":" << reference
            << ",\"mean\":" << errors.mean << ",\"median\":" << errors.median
            << ",\"quantile_95\":" << errors.tail << "}\n";
}

}  // namespace

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  MeasureCalls(absl::GetFlag(FLAGS_calls));
  const int runs = absl::GetFlag(FLAGS_runs);
  MeasureErrors(
      "log_normal",
      [](std::mt19937_64& random, int) {
        return std::lognormal_distribution<double>(6.5, 0.4)(random);
      },
      runs, kSamplesPerRun);
  MeasureErrors(
      "heavy_tailed",
      [](std::mt19937_64& random, int) {
        const double base =
            std::uniform_real_distribution<double>(540, 800)(random);
        return random() % 100 < 3 ? 7 * base : base;
      },
      runs, kSamplesPerRun);
  MeasureErrors(
      "bimodal",
      [](std::mt19937_64& random, int) {
        return std::normal_distribution<double>(random() % 10 < 4 ? 2'500 : 400,
                                                40)(random);
      },
      runs, kSamplesPerRun);
  // The reference is the last 50 samples, since older ones are out of date.
  MeasureErrors(
      "drifting",
      [](std::mt19937_64& random, int number) {
        return std::normal_distribution<double>(500 + number, 50)(random);
      },
      runs, 50);
}
