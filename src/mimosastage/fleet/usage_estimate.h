#ifndef MIMOSASTAGE_FLEET_USAGE_ESTIMATE_H_
#define MIMOSASTAGE_FLEET_USAGE_ESTIMATE_H_

#include <map>
#include <optional>
#include <string>

#include "mimosastage/base/time.h"
#include "mimosastage/fleet/job.h"
#include "mimosastage/fleet/resources.h"

namespace mimosastage {

/// Estimates the actual resource usage of tasks. Measured CPU and memory
/// replace the declared values, clamped to between a quarter and four times the
/// declared size. Slots and accelerators are always as declared.
class UsageEstimate {
 public:
  struct Config {
    /// Maximum ratio between measured and declared usage, in either direction.
    std::int64_t max_deviation_factor = 4;
    /// An older measurement no longer lowers the estimate.
    Duration max_age = std::chrono::seconds(60);
    /// Weight of a new measurement in the moving average of the job's kind.
    double learning_rate = 0.1;
  };

  explicit UsageEstimate(Config config) : config(config) {}

  /// Updates the ratio of measured to declared usage for the job's kind.
  void Observe(const JobSpec& spec, const Resources& usage);

  /// Estimates the usage of a job without a measurement of its own.
  Resources Expected(const JobSpec& spec) const;

  /// Estimates the usage of a running task. `age` is the time since its
  /// measurement arrived.
  Resources Effective(const JobSpec& spec,
                      const std::optional<Resources>& usage,
                      Duration age) const;

 private:
  struct Ratio {
    double millicores = 1;
    double memory = 1;
  };

  std::int64_t ClampToDeclared(std::int64_t value, std::int64_t declared) const;

  Config config;
  std::map<std::string, Ratio> by_kind;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_FLEET_USAGE_ESTIMATE_H_
