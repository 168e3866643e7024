#ifndef MIMOSASTAGE_ROUTING_RETRY_BUDGET_H_
#define MIMOSASTAGE_ROUTING_RETRY_BUDGET_H_

#include <cstdint>
#include <unordered_map>

#include "mimosastage/base/names.h"

namespace mimosastage {

/// Token bucket for each pool. Each first attempt adds `retry_percent`
/// hundredths of a token and each retry takes one token. In a full outage the
/// attempts are thus at most (1 + retry_percent / 100) times the requests, plus
/// kMaxTokens.
class RetryBudget {
 public:
  static constexpr std::uint32_t kMaxTokens = 10;

  explicit RetryBudget(std::uint32_t retry_percent = 8);

  void SetRetryPercent(std::uint32_t retry_percent);
  void OnFirstAttempt(const PoolName& pool);
  /// Takes a token. False if the pool has no whole token; the retry must then
  /// not be made.
  bool TryTake(const PoolName& pool);
  /// Removes the pool's bucket. A new bucket starts with kMaxTokens.
  void Forget(const PoolName& pool);

 private:
  std::uint32_t& HundredthsOf(const PoolName& pool);

  std::uint32_t retry_percent = 0;
  std::unordered_map<PoolName, std::uint32_t> hundredths;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_ROUTING_RETRY_BUDGET_H_
