#ifndef MIMOSASTAGE_BACKEND_SERVERS_ANSWER_CHARGE_H_
#define MIMOSASTAGE_BACKEND_SERVERS_ANSWER_CHARGE_H_

#include <atomic>
#include <cstddef>
#include <memory>
#include <utility>

namespace mimosastage {

/// Counts the bytes of one answer in a total until the object is destroyed. The
/// total may be read on any thread.
class AnswerCharge {
 public:
  using Total = std::atomic<std::size_t>;

  explicit AnswerCharge(std::shared_ptr<Total> total)
      : total(std::move(total)) {}
  ~AnswerCharge() { this->total->fetch_sub(this->bytes); }
  AnswerCharge(const AnswerCharge&) = delete;
  AnswerCharge& operator=(const AnswerCharge&) = delete;

  void Add(std::size_t count) {
    this->bytes += count;
    this->total->fetch_add(count);
  }

 private:
  std::shared_ptr<Total> total;
  std::size_t bytes = 0;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_BACKEND_SERVERS_ANSWER_CHARGE_H_
