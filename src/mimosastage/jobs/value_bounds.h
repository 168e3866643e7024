#ifndef MIMOSASTAGE_JOBS_VALUE_BOUNDS_H_
#define MIMOSASTAGE_JOBS_VALUE_BOUNDS_H_

#include <chrono>
#include <cstdint>

#include "mimosastage/jobs/records.h"

/// Bounds on values that callers and workers have sent. A record in the log was
/// accepted by the checks of the release that wrote it, so the bounds apply
/// wherever a value is used, and the records themselves stay as they are.
namespace mimosastage::jobs {

/// Largest amount of one resource: 134,217 CPUs, or 128 TiB of memory. With it,
/// sums over all tasks of all jobs don't overflow.
inline constexpr std::int64_t kMaxAmount = std::int64_t{1} << 27U;
/// Latest Unix time, clock of a worker and duration: 200 years. In nanoseconds
/// it fits into 64 bits.
inline constexpr std::chrono::milliseconds kLongestTime =
    std::chrono::hours(24 * 365 * 200);
/// Largest number of an end on a worker: 1,000 ends a second for 31 years.
inline constexpr std::uint64_t kMaxEndNumber = 1'000'000'000'000;

/// Resources that a task of the step needs. An absent or negative need counts
/// as none, and one above kMaxAmount as more than any worker has.
Amount NeedOf(const Step& step);
/// Resources of the worker; none if an amount is negative or above kMaxAmount.
Amount CapacityOf(const Worker& worker);
/// Upper limit of the team; 0 means no limit, and a negative one admits
/// nothing.
Amount UpperLimitOf(const Team& team);

/// True if the capacity and the start of the worker can be true.
bool IsPlausible(const Worker& worker);
/// True if a worker can have started at this Unix time.
bool IsPlausibleStart(std::int64_t born_ms);

/// The time or duration, at most kLongestTime in either direction.
std::chrono::milliseconds BoundedTime(std::int64_t time_ms);
std::chrono::milliseconds BoundedTime(std::uint64_t time_ms);

}  // namespace mimosastage::jobs

#endif  // MIMOSASTAGE_JOBS_VALUE_BOUNDS_H_
