#include "mimosastage/fleet/usage_estimate.h"

#include <algorithm>

namespace mimosastage {
namespace {

// Limit on the tracked kinds of jobs. Further kinds use their declared sizes.
constexpr std::size_t kMaxKinds = 4'096;

double RatioOf(std::int64_t used, std::int64_t declared) {
  if (declared <= 0) return 1;
  return static_cast<double>(used) / static_cast<double>(declared);
}

std::int64_t Scale(std::int64_t declared, double ratio) {
  return static_cast<std::int64_t>(static_cast<double>(declared) * ratio);
}

}  // namespace

void UsageEstimate::Observe(const JobSpec& spec, const Resources& usage) {
  const bool known = this->by_kind.contains(spec.kind);
  if (!known && this->by_kind.size() >= kMaxKinds) return;
  auto& ratio = this->by_kind[spec.kind];
  const auto factor = static_cast<double>(this->config.max_deviation_factor);
  const auto update_average = [&](double& value, double sample) {
    const double bounded = std::clamp(sample, 1 / factor, factor);
    value += this->config.learning_rate * (bounded - value);
  };
  update_average(ratio.millicores,
                 RatioOf(usage.millicores, spec.declared.millicores));
  update_average(ratio.memory,
                 RatioOf(usage.memory_bytes, spec.declared.memory_bytes));
}

Resources UsageEstimate::Expected(const JobSpec& spec) const {
  auto expected = spec.declared;
  if (const auto it = this->by_kind.find(spec.kind);
      it != this->by_kind.end()) {
    expected.millicores = Scale(expected.millicores, it->second.millicores);
    expected.memory_bytes = Scale(expected.memory_bytes, it->second.memory);
  }
  return expected;
}

Resources UsageEstimate::Effective(const JobSpec& spec,
                                   const std::optional<Resources>& usage,
                                   Duration age) const {
  auto effective = this->Expected(spec);
  if (!usage) return effective;
  const auto millicores =
      this->ClampToDeclared(usage->millicores, spec.declared.millicores);
  const auto memory =
      this->ClampToDeclared(usage->memory_bytes, spec.declared.memory_bytes);
  if (age > this->config.max_age) {
    effective.millicores = std::max(effective.millicores, millicores);
    effective.memory_bytes = std::max(effective.memory_bytes, memory);
    return effective;
  }
  effective.millicores = millicores;
  effective.memory_bytes = memory;
  return effective;
}

std::int64_t UsageEstimate::ClampToDeclared(std::int64_t value,
                                            std::int64_t declared) const {
  return std::clamp(value, declared / this->config.max_deviation_factor,
                    declared * this->config.max_deviation_factor);
}

}  // namespace mimosastage
