#include "mimosastage/fleet/demand_history.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace mimosastage {
namespace {

constexpr auto kMinute = std::chrono::minutes(1);
constexpr std::size_t kRecentMinutes = 30;
constexpr std::size_t kMinutesOfPart = 10;
constexpr std::size_t kPartsOfDay = 144;

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
    this->last = now;
    this->minute_start = now;
  }
  while (now - this->minute_start >= kMinute) {
    const auto end = this->minute_start + kMinute;
    this->sum += this->current * Seconds(end - this->last);
    this->last = end;
    this->minute_start = end;
    this->CloseMinute();
  }
  this->sum += this->current * Seconds(now - this->last);
  this->last = now;
  this->current = slots;
}

double DemandHistory::Need(double quantile) const {
  return std::max(Quantile(this->recent, quantile), Quantile(this->day, 0.5));
}

void DemandHistory::CloseMinute() {
  const double mean = this->sum / Seconds(kMinute);
  this->sum = 0;
  this->recent.push_back(mean);
  if (this->recent.size() > kRecentMinutes) this->recent.pop_front();
  this->open_sum += mean;
  if (++this->open_count < kMinutesOfPart) return;
  this->day.push_back(this->open_sum / kMinutesOfPart);
  if (this->day.size() > kPartsOfDay) this->day.pop_front();
  this->open_sum = 0;
  this->open_count = 0;
}

}  // namespace mimosastage
