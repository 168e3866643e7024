#include "mimosastage/fleet/demand_history.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace mimosastage {
namespace {

constexpr auto kMinute = std::chrono::minutes(1);
constexpr std::size_t kRecentMinutes = 30;
constexpr std::size_t kMinutesPerPeriod = 10;
constexpr std::size_t kPeriodsPerDay = 144;

double Quantile(const std::deque<double>& values, double quantile) {
  if (values.empty()) return 0;
  std::vector<double> sorted(values.begin(), values.end());
  std::sort(sorted.begin(), sorted.end());
  const auto last = static_cast<double>(sorted.size() - 1);
  return sorted[static_cast<std::size_t>(std::lround(quantile * last))];
}

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

void DemandHistory::Observe(double slots, TimePoint now) {
  if (!this->started) {
    this->started = true;
    this->last_update = now;
    this->minute_start = now;
  }
  while (now - this->minute_start >= kMinute) {
    const auto end = this->minute_start + kMinute;
    this->slot_seconds +=
        this->current_slots * Seconds(end - this->last_update);
    this->last_update = end;
    this->minute_start = end;
    this->CloseMinute();
  }
  this->slot_seconds += this->current_slots * Seconds(now - this->last_update);
  this->last_update = now;
  this->current_slots = slots;
}

double DemandHistory::RequiredSlots(double quantile) const {
  return std::max(Quantile(this->per_minute, quantile),
                  Quantile(this->per_period, 0.5));
}

void DemandHistory::CloseMinute() {
  const double mean = this->slot_seconds / Seconds(kMinute);
  this->slot_seconds = 0;
  this->per_minute.push_back(mean);
  if (this->per_minute.size() > kRecentMinutes) this->per_minute.pop_front();
  this->period_sum += mean;
  if (++this->period_minutes < kMinutesPerPeriod) return;
  this->per_period.push_back(this->period_sum / kMinutesPerPeriod);
  if (this->per_period.size() > kPeriodsPerDay) this->per_period.pop_front();
  this->period_sum = 0;
  this->period_minutes = 0;
}

}  // namespace mimosastage
