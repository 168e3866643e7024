#ifndef MIMOSASTAGE_TELEMETRY_METRICS_H_
#define MIMOSASTAGE_TELEMETRY_METRICS_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "mimosastage/base/time.h"

namespace mimosastage {

/// Counter with at most one label; `label` is empty if it has none.
struct CounterName {
  std::string_view name;
  std::string_view label;
  std::string_view help;
};

struct GaugeName {
  std::string_view name;
  std::string_view label;
  std::string_view help;
};

/// Histogram of durations in seconds, with at most one label.
struct HistogramName {
  std::string_view name;
  std::string_view label;
  std::string_view help;
};

namespace metrics {

inline constexpr CounterName kRequests{"mimosastage_requests_total", "status",
                                       "Answers to callers by status."};
inline constexpr CounterName kRefusals{"mimosastage_refusals_total", "reason",
                                       "Requests refused without being run."};
inline constexpr CounterName kRetries{"mimosastage_retries_total", "reason",
                                      "Attempts after the first."};
inline constexpr CounterName kDrops{"mimosastage_drops_total", "reason",
                                    "Messages and items dropped at a bound."};
inline constexpr CounterName kInputLimits{
    "mimosastage_input_limits_total", "limit",
    "Requests and connections refused or cut off at a limit, by "
    "LISTENER.REASON."};
inline constexpr CounterName kLinkBytes{
    "mimosastage_link_bytes_total", "direction",
    "Bytes of frames exchanged with other daemons."};
inline constexpr CounterName kEjections{"mimosastage_ejections_total", "reason",
                                        "Backend servers ejected."};
inline constexpr CounterName kLeaseLapses{"mimosastage_lease_lapses_total", "",
                                          "Times the serving lease ran out."};
inline constexpr CounterName kViewChanges{"mimosastage_view_changes_total", "",
                                          "Views that this daemon entered."};
inline constexpr CounterName kChanges{"mimosastage_changes_total", "outcome",
                                      "Changes by operators, by outcome."};
inline constexpr CounterName kStorageFailures{
    "mimosastage_storage_failures_total", "reason",
    "Failures of the data folder; the voter doesn't vote after one."};
inline constexpr CounterName kSeriesMerged{
    "mimosastage_metric_series_merged_total", "metric",
    "Samples that went to the series \"other\" because of the bound."};

inline constexpr GaugeName kReady{"mimosastage_ready", "",
                                  "1 while the daemon may serve callers."};
inline constexpr GaugeName kView{"mimosastage_view", "", "Current view."};
inline constexpr GaugeName kCommitIndex{"mimosastage_commit_index", "",
                                        "Last log index applied."};
inline constexpr GaugeName kQueueLength{"mimosastage_queue_length", "pool",
                                        "Requests that wait."};
inline constexpr GaugeName kRunning{"mimosastage_running_requests", "pool",
                                    "Requests at backend servers."};
inline constexpr GaugeName kBackendServers{
    "mimosastage_backend_servers", "pool", "Backend servers that announce."};
inline constexpr GaugeName kInputBytes{
    "mimosastage_input_bytes", "listener",
    "Bytes held for incomplete and accepted requests and unread answers."};
inline constexpr GaugeName kInputConnections{"mimosastage_input_connections",
                                             "listener", "Open connections."};

inline constexpr HistogramName kWaitTime{
    "mimosastage_wait_seconds", "route",
    "From arrival of a request to its first attempt."};
inline constexpr HistogramName kServiceTime{
    "mimosastage_service_seconds", "route",
    "From the first attempt to the end of the answer."};
inline constexpr HistogramName kAnswerWait{
    "mimosastage_answer_wait_seconds", "",
    "From when an answer was read to when the node thread handled it."};

}  // namespace metrics

/// The metrics of one daemon. All operations may be called from any thread.
class Metrics {
 public:
  /// Maximum number of label values per metric, including "other". Samples with
  /// further values go to the series "other" and are counted in kSeriesMerged.
  static constexpr std::size_t kMaxSeries = 4'096;

  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  void Add(const CounterName& counter, std::string_view label_value = "",
           std::uint64_t count = 1);
  void Set(const GaugeName& gauge, double value,
           std::string_view label_value = "");
  void Observe(const HistogramName& histogram, Duration value,
               std::string_view label_value = "");

  /// The value of one series of a counter, or 0 if nothing was added.
  std::uint64_t Count(const CounterName& counter,
                      std::string_view label_value = "") const;

  /// All metrics in the Prometheus text format, version 0.0.4.
  std::string PrometheusText() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_TELEMETRY_METRICS_H_
