#ifndef MIMOSASTAGE_JOBS_DUE_QUEUE_H_
#define MIMOSASTAGE_JOBS_DUE_QUEUE_H_

#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "mimosastage/base/time.h"

namespace mimosastage::jobs {

/// Keys by the time at which each is due, so that the cost of a visit follows
/// the number of keys that are due and not the number of all keys. `Key` is
/// cheap to copy, hash and compare.
template <class Key>
class DueQueue {
 public:
  /// Makes the key due at `at`, unless it is due earlier.
  void Add(const Key& key, TimePoint at) {
    const auto [row, is_new] = this->times.try_emplace(key, at);
    if (!is_new) {
      if (row->second <= at) {
        return;
      }
      this->order.erase({row->second, key});
      row->second = at;
    }
    this->order.emplace(at, key);
  }

  void Remove(const Key& key) {
    if (const auto row = this->times.find(key); row != this->times.end()) {
      this->order.erase({row->second, key});
      this->times.erase(row);
    }
  }

  /// Removes and returns the keys that are due at `now`, the earliest first.
  std::vector<Key> TakeDue(TimePoint now) {
    std::vector<Key> due;
    while (!this->order.empty() && this->order.begin()->first <= now) {
      due.push_back(this->order.begin()->second);
      this->times.erase(due.back());
      this->order.erase(this->order.begin());
    }
    return due;
  }

  /// When the key is due; TimePoint::max() if it isn't in the queue.
  TimePoint DueOf(const Key& key) const {
    const auto row = this->times.find(key);
    return row == this->times.end() ? TimePoint::max() : row->second;
  }

  /// When the first key is due; TimePoint::max() if the queue is empty.
  TimePoint NextDue() const {
    return this->order.empty() ? TimePoint::max() : this->order.begin()->first;
  }

 private:
  std::set<std::pair<TimePoint, Key>> order;
  std::unordered_map<Key, TimePoint> times;
};

}  // namespace mimosastage::jobs

#endif  // MIMOSASTAGE_JOBS_DUE_QUEUE_H_
