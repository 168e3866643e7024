#ifndef MIMOSASTAGE_JOBS_WORKER_TOKEN_H_
#define MIMOSASTAGE_JOBS_WORKER_TOKEN_H_

#include <algorithm>
#include <cstdint>

namespace mimosastage::jobs {

/// The fencing token of orders to one worker. Those of a later term are higher.
/// Within a term, the leader raises the token before an order that must keep
/// earlier ones from being executed if they arrive after it, also at the next
/// incarnation under the worker's id.
class WorkerToken {
 public:
  /// A token must stay below 2^53, because JSON numbers may be read as
  /// floating-point numbers. That leaves 2^25 terms.
  static constexpr unsigned kStepBits = 28;
  static constexpr std::uint32_t kMaxStep = (1U << kStepBits) - 1;

  WorkerToken(std::uint64_t fence, std::uint32_t step)
      : fence(fence), step(std::min(step, kMaxStep)) {}

  std::uint64_t Value() const {
    return (this->fence << kStepBits) | this->step;
  }
  std::uint32_t Step() const { return this->step; }
  /// After months of one term, the last step is kept.
  void Raise() { this->step = std::min(this->step + 1, kMaxStep); }

 private:
  std::uint64_t fence;
  std::uint32_t step;
};

}  // namespace mimosastage::jobs

#endif  // MIMOSASTAGE_JOBS_WORKER_TOKEN_H_
