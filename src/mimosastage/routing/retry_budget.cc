#include "mimosastage/routing/retry_budget.h"

#include <algorithm>

namespace mimosastage {
namespace {

constexpr std::uint32_t kHundredths = 100;

}  // namespace

RetryBudget::RetryBudget(std::uint32_t retry_percent)
    : retry_percent(retry_percent) {}

void RetryBudget::SetRetryPercent(std::uint32_t percent) {
  this->retry_percent = percent;
}

void RetryBudget::OnFirstAttempt(const PoolName& pool) {
  std::uint32_t& saved = this->HundredthsOf(pool);
  saved = std::min(saved + this->retry_percent, kMaxTokens * kHundredths);
}

bool RetryBudget::TryTake(const PoolName& pool) {
  std::uint32_t& saved = this->HundredthsOf(pool);
  if (saved < kHundredths) {
    return false;
  }
  saved -= kHundredths;
  return true;
}

void RetryBudget::Forget(const PoolName& pool) { this->hundredths.erase(pool); }

std::uint32_t& RetryBudget::HundredthsOf(const PoolName& pool) {
  return this->hundredths.try_emplace(pool, kMaxTokens * kHundredths)
      .first->second;
}

}  // namespace mimosastage
