#ifndef MIMOSASTAGE_NODE_EXCHANGE_INBOX_H_
#define MIMOSASTAGE_NODE_EXCHANGE_INBOX_H_

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <utility>
#include <vector>

#include "mimosastage/backend_servers/exchange_client.h"
#include "mimosastage/base/ring.h"

namespace mimosastage {

/// Results of exchanges on their way to the node thread: those that the
/// exchange client's thread delivers, and those of requests that the client
/// refused because its own ring is full.
class ExchangeInbox {
 public:
  /// `wake` wakes the node thread; it is called on the client's thread.
  ExchangeInbox(std::size_t capacity, std::function<void()> wake)
      : ring(capacity, std::move(wake)) {}

  /// Called on the client's thread. Blocks while the inbox is full, because a
  /// result must not be lost; drops the result after Close.
  void Deliver(const ExchangeResult& result) {
    this->ring.PushUnless(result, [this] { return this->closed.load(); });
  }

  /// Called on the node thread, for a request that wasn't sent. Never blocks:
  /// the node thread is the only reader, so waiting for room would wait for
  /// itself. The next Drain passes the result on.
  void AddRefused(std::uint64_t exchange) {
    ExchangeResult result;
    result.id = exchange;
    result.end = AttemptEnd::kNotStarted;
    this->refused.push_back(std::move(result));
  }

  /// Called on the node thread. Passes the refused exchanges and at most
  /// `limit` delivered results to `consume`; returns the number of both.
  /// Exchanges that are refused during the call wait for the next one.
  template <class Consume>
  std::size_t Drain(Consume&& consume, std::size_t limit) {
    std::vector<ExchangeResult> refused_before = std::move(this->refused);
    this->refused.clear();
    for (ExchangeResult& result : refused_before) {
      consume(std::move(result));
    }
    return refused_before.size() + this->ring.Drain(consume, limit);
  }

  /// Must be called when no thread drains any more, so that the client's thread
  /// doesn't wait for a reader that has ended.
  void Close() { this->closed.store(true); }

 private:
  Ring<ExchangeResult> ring;
  std::atomic<bool> closed{false};
  /// Used by the node thread only.
  std::vector<ExchangeResult> refused;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_NODE_EXCHANGE_INBOX_H_
