#ifndef MIMOSASTAGE_FLEET_USAGE_ESTIMATE_H_
#define MIMOSASTAGE_FLEET_USAGE_ESTIMATE_H_

#include <map>
#include <optional>
#include <string>

#include "mimosastage/base/time.h"
#include "mimosastage/fleet/job.h"
#include "mimosastage/fleet/resources.h"

namespace mimosastage {

/// Estimates what tasks really use. Measured processors and memory take
/// precedence over declared ones, within a quarter and four times the declared
/// size; slots and accelerators are always as declared.
class UsageEstimate {
 public:
  struct Config {
    std::int64_t trust_factor = 4;
    /// An older measurement doesn't lower the estimate any more.
    Duration max_age = std::chrono::seconds(60);
    /// Weight of a new measurement in the average of the job's kind.
    double learning_rate = 0.1;
  };

  explicit UsageEstimate(Config config) : config(config) {}

  /// Learns how much jobs of this kind use of what they declare.
  void Observe(const JobSpec& spec, const Resources& usage);

  /// For a job that hasn't been measured.
  Resources Expected(const JobSpec& spec) const;

  /// For a running task. `age` is the time since its measurement arrived.
  Resources Effective(const JobSpec& spec,
                      const std::optional<Resources>& usage,
                      Duration age) const;

 private:
  struct Ratio {
    double millicores = 1;
    double memory = 1;
  };

  std::int64_t Bound(std::int64_t value, std::int64_t declared) const;

  Config config;
  std::map<std::string, Ratio> by_kind;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_FLEET_USAGE_ESTIMATE_H_
