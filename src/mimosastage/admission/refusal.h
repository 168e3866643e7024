#ifndef MIMOSASTAGE_ADMISSION_REFUSAL_H_
#define MIMOSASTAGE_ADMISSION_REFUSAL_H_

#include <chrono>
#include <system_error>

namespace mimosastage {

/// Reason why admission refused a request, which then has not run, or rejected
/// a message.
enum class AdmissionError {
  /// The pool's queue at this entry is full.
  kQueueFull = 1,
  /// The client has its maximum number of waiting requests in this pool.
  kClientQueueFull,
  /// At the current service rate the request could not end before its deadline.
  kDeadlineTooShort,
  /// The deadline passed, or too little time was left, while it waited.
  kDeadlinePassed,
  /// Removed from a full queue in favour of a team further below its share.
  kDisplaced,
  /// All units that it needs are held by sessions that have ended, until their
  /// requests have certainly ended too.
  kNoUnits,
  /// The entry may not serve at the moment.
  kNotServing,
  /// A message between daemons doesn't have the expected form.
  kMalformedMessage,
};

/// Category "mimosastage.admission". Its messages say what the caller can do.
const std::error_category& AdmissionCategory() noexcept;

std::error_code make_error_code(AdmissionError error) noexcept;

/// A refused request; it has not run.
struct Refusal {
  AdmissionError reason = AdmissionError::kQueueFull;
  /// Suggested wait before the next attempt; at least 1 s, because
  /// Retry-After counts in whole seconds.
  std::chrono::seconds retry_after{1};

  bool operator==(const Refusal&) const = default;
};

}  // namespace mimosastage

template <>
struct std::is_error_code_enum<mimosastage::AdmissionError> : std::true_type {};

#endif  // MIMOSASTAGE_ADMISSION_REFUSAL_H_
