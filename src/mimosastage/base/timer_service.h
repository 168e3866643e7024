#ifndef MIMOSASTAGE_BASE_TIMER_SERVICE_H_
#define MIMOSASTAGE_BASE_TIMER_SERVICE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <utility>

#include "mimosastage/base/time.h"

namespace mimosastage {

/// One-shot and periodic timers. It reads no clock: the owner passes the time
/// to RunDue, so that tests can control it. Not thread-safe; each thread that
/// needs timers owns one.
class TimerService {
 public:
  using Callback = std::function<void(TimePoint now)>;

  /// Cancels the timer when destroyed. Must not outlive the service.
  class Subscription {
   public:
    Subscription() = default;
    Subscription(Subscription&& other) noexcept;
    Subscription& operator=(Subscription&& other) noexcept;
    Subscription(const Subscription&) = delete;
    Subscription& operator=(const Subscription&) = delete;
    ~Subscription();

    void Cancel();

   private:
    friend class TimerService;
    Subscription(TimerService* service, std::uint64_t id);

    TimerService* service = nullptr;
    std::uint64_t id = 0;
  };

  /// Calls `callback` once at `due` or later.
  [[nodiscard]] Subscription At(TimePoint due, Callback callback);

  /// Calls `callback` every `period`, first at `first`. Missed periods are
  /// skipped: the next call is due `period` after the time of the late one.
  [[nodiscard]] Subscription Every(TimePoint first, Duration period,
                                   Callback callback);

  /// Runs all callbacks that are due at `now`; returns the number of calls.
  int RunDue(TimePoint now);

  /// Time of the next callback, or nullopt without timers.
  std::optional<TimePoint> NextDue() const;

 private:
  struct Timer {
    std::uint64_t id = 0;
    Duration period{};
    Callback callback;
  };

  Subscription Add(TimePoint due, Duration period, Callback callback);
  void Remove(std::uint64_t id);

  std::multimap<TimePoint, std::shared_ptr<Timer>> timers;
  std::map<std::uint64_t,
           std::multimap<TimePoint, std::shared_ptr<Timer>>::iterator>
      timer_positions;
  std::uint64_t next_id = 1;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_BASE_TIMER_SERVICE_H_
