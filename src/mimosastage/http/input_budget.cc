#include "mimosastage/http/input_budget.h"

#include <algorithm>

namespace mimosastage {
namespace {

/// A quarter of the memory is for the bytes held. A decoded request takes
/// several times its text while it is handled, and connections that are told to
/// close hold their bytes until their thread runs.
constexpr std::size_t kMemoryPerHeldByte = 4;
/// A body takes up to twice its size as it was received, and once more as it is
/// passed on; the rest is for the headers and other requests.
constexpr std::size_t kCopiesOfBody = 3;
constexpr std::size_t kBytesBesideBody = 1U << 20U;
/// A connection takes about 8 KiB besides what it holds. With this number they
/// take an eighth of the memory.
constexpr std::size_t kConnectionsPerMb = 16;

}  // namespace

InputBudget::Limits MakeInputLimits(std::size_t memory_mb,
                                    std::size_t max_connections,
                                    std::uint64_t largest_body) {
  InputBudget::Limits limits;
  limits.max_bytes = std::max((memory_mb << 20U) / kMemoryPerHeldByte,
                              kCopiesOfBody * largest_body + kBytesBesideBody);
  limits.max_connections =
      std::min(max_connections, memory_mb * kConnectionsPerMb);
  return limits;
}

InputBudget::Charge::Charge(std::shared_ptr<InputBudget> budget,
                            ListenerId listener, std::size_t bytes)
    : budget(std::move(budget)), listener(listener), bytes(bytes) {
  this->budget->AddAccepted(listener, bytes);
}

InputBudget::Charge::~Charge() {
  this->budget->RemoveAccepted(this->listener, this->bytes);
}

InputBudget::InputBudget(Limits limits) : limits(limits) {}

InputBudget::ListenerId InputBudget::AddListener(std::string name) {
  const std::lock_guard lock(this->mutex);
  this->listeners.push_back(Usage{std::move(name)});
  return this->listeners.size() - 1;
}

InputBudget::ConnectionId InputBudget::Open(ListenerId listener, Close close,
                                            TimePoint now) {
  const std::lock_guard lock(this->mutex);
  while (this->open_connections >= this->limits.max_connections) {
    const bool holds_longest =
        !this->holding.empty() &&
        (this->idle.empty() || *this->holding.begin() < *this->idle.begin());
    const Order& order = holds_longest ? this->holding : this->idle;
    if (order.empty()) {
      break;
    }
    const ConnectionId oldest = order.begin()->second;
    this->BeginClosing(oldest, this->connections.at(oldest))(kConnections);
  }
  const ConnectionId id = ++this->last_id;
  Connection& connection = this->connections[id];
  connection.listener = listener;
  connection.close = std::move(close);
  connection.since = now;
  ++this->open_connections;
  ++this->listeners[listener].connections;
  this->List(id, connection);
  return id;
}

void InputBudget::Remove(ConnectionId id) {
  const std::lock_guard lock(this->mutex);
  const auto found = this->connections.find(id);
  if (found == this->connections.end()) {
    return;
  }
  if (!found->second.closing) {
    this->BeginClosing(id, found->second);
  }
  this->connections.erase(found);
}

bool InputBudget::Hold(ConnectionId id, std::size_t bytes, TimePoint now) {
  const std::lock_guard lock(this->mutex);
  return this->SetBytes(id, bytes, now, Own::kMayClose);
}

bool InputBudget::HoldAnswer(ConnectionId id, std::size_t bytes,
                             TimePoint now) {
  const std::lock_guard lock(this->mutex);
  return this->SetBytes(id, bytes, now, Own::kKeep);
}

bool InputBudget::SetBytes(ConnectionId id, std::size_t bytes, TimePoint now,
                           Own own) {
  const auto found = this->connections.find(id);
  if (found == this->connections.end() || found->second.closing) {
    return false;
  }
  Connection& connection = found->second;
  if (bytes == connection.bytes) {
    return true;
  }
  const bool relist = (bytes == 0) != (connection.bytes == 0);
  if (relist) {
    this->Unlist(id, connection);
    connection.since = now;
  }
  this->RemoveBytes(connection.listener, connection.bytes);
  connection.bytes = bytes;
  this->AddBytes(connection.listener, bytes);
  if (relist) {
    this->List(id, connection);
  }
  this->CloseForBytes(id, own);
  return !connection.closing;
}

void InputBudget::SetBusy(ConnectionId id, bool busy, TimePoint now) {
  const std::lock_guard lock(this->mutex);
  const auto found = this->connections.find(id);
  if (found == this->connections.end() || found->second.busy == busy ||
      found->second.closing) {
    return;
  }
  Connection& connection = found->second;
  this->Unlist(id, connection);
  connection.busy = busy;
  if (connection.bytes == 0) {
    connection.since = now;
  }
  this->List(id, connection);
}

std::size_t InputBudget::HeldBytes() const {
  const std::lock_guard lock(this->mutex);
  return this->held_bytes;
}

std::vector<InputBudget::Usage> InputBudget::UsageByListener() const {
  const std::lock_guard lock(this->mutex);
  return this->listeners;
}

void InputBudget::AddAccepted(ListenerId listener, std::size_t bytes) {
  const std::lock_guard lock(this->mutex);
  this->AddBytes(listener, bytes);
  this->CloseForBytes(0, Own::kMayClose);
}

void InputBudget::RemoveAccepted(ListenerId listener, std::size_t bytes) {
  const std::lock_guard lock(this->mutex);
  this->RemoveBytes(listener, bytes);
}

InputBudget::Order* InputBudget::OrderOf(const Connection& connection) {
  if (connection.bytes > 0) {
    return &this->holding;
  }
  return connection.busy ? nullptr : &this->idle;
}

void InputBudget::Unlist(ConnectionId id, const Connection& connection) {
  if (Order* const order = this->OrderOf(connection); order != nullptr) {
    order->erase({connection.since, id});
  }
}

void InputBudget::List(ConnectionId id, const Connection& connection) {
  if (Order* const order = this->OrderOf(connection); order != nullptr) {
    order->insert({connection.since, id});
  }
}

void InputBudget::AddBytes(ListenerId listener, std::size_t bytes) {
  this->held_bytes += bytes;
  this->listeners[listener].bytes += bytes;
}

void InputBudget::RemoveBytes(ListenerId listener, std::size_t bytes) {
  this->held_bytes -= bytes;
  this->listeners[listener].bytes -= bytes;
}

InputBudget::Close InputBudget::BeginClosing(ConnectionId id,
                                             Connection& connection) {
  this->Unlist(id, connection);
  this->RemoveBytes(connection.listener, connection.bytes);
  connection.bytes = 0;
  connection.closing = true;
  --this->open_connections;
  --this->listeners[connection.listener].connections;
  return std::move(connection.close);
}

void InputBudget::CloseForBytes(ConnectionId id, Own own) {
  auto next = this->holding.begin();
  while (this->held_bytes > this->limits.max_bytes &&
         next != this->holding.end()) {
    const ConnectionId oldest = next->second;
    ++next;
    if (oldest == id && own == Own::kKeep) {
      continue;
    }
    const Close close =
        this->BeginClosing(oldest, this->connections.at(oldest));
    if (oldest != id) {
      close(kBytes);
    }
  }
}

}  // namespace mimosastage
