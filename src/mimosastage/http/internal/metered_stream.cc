#include "mimosastage/http/internal/metered_stream.h"

#include <sys/socket.h>

#include <chrono>

namespace mimosastage::internal {
namespace {

/// How long, and for how many bytes, a refused client may go on sending. A
/// connection that is closed while bytes arrive is reset, and the client may
/// lose the refusal.
constexpr std::chrono::seconds kLingerTime{1};
constexpr std::size_t kMaxLingerBytes = 8U << 20U;

constexpr const char* kHeadersTooLarge = "headers_too_large";
constexpr const char* kBodyTooLarge = "body_too_large";

}  // namespace

asio::execution_context::id MeteredListener::id;

MeteredListener::MeteredListener(asio::execution_context& context)
    : asio::execution_context::service(context),
      io(static_cast<asio::io_context&>(context)) {}

void MeteredListener::Configure(Settings new_settings) {
  this->settings = std::move(new_settings);
}

void MeteredListener::OnAccepted(std::uint64_t connection) {
  this->accepted = connection;
}

void MeteredListener::OnClosed(std::uint64_t connection) {
  const auto found = this->connections.find(connection);
  if (found == this->connections.end()) {
    return;
  }
  found->second->OnClosed();
  this->connections.erase(found);
}

std::shared_ptr<MeteredConnection> MeteredListener::BeginConnection(
    asio::ip::tcp::socket* socket) {
  auto connection = std::make_shared<MeteredConnection>(*this, socket);
  connection->OpenInBudget();
  this->connections[this->accepted] = connection;
  return connection;
}

std::shared_ptr<MeteredConnection> MeteredListener::Find(
    std::uint64_t connection) const {
  const auto found = this->connections.find(connection);
  return found == this->connections.end() ? nullptr : found->second;
}

void MeteredListener::RemoveAll() {
  for (const auto& [number, connection] : this->connections) {
    connection->OnClosed();
  }
  this->connections.clear();
}

MeteredConnection::MeteredConnection(MeteredListener& listener,
                                     asio::ip::tcp::socket* socket)
    : listener(listener), socket(socket), meter(listener.Get().limits) {}

void MeteredConnection::OpenInBudget() {
  InputBudget::Close close =
      [self = this->weak_from_this(),
       &io = this->listener.Context()](const char* reason) {
        asio::post(io, [self, reason] {
          if (const auto connection = self.lock(); connection != nullptr) {
            connection->Evict(reason);
          }
        });
      };
  const MeteredListener::Settings& shared = this->listener.Get();
  this->budget_id =
      shared.budget->Open(shared.listener, std::move(close), LeaseClock::now());
}

MeteredConnection::Verdict MeteredConnection::OnBytes(std::string_view bytes) {
  const RequestMeter::Finding finding = this->meter.Read(bytes);
  for (const std::size_t size : this->meter.TakeCompleted()) {
    this->completed.push_back(size);
    ++this->open_requests;
  }
  if (finding == RequestMeter::Finding::kHeadersTooLarge) {
    return this->Refuse("431 Request Header Fields Too Large", kHeadersTooLarge,
                        "the headers are too large")
               ? Verdict::kLinger
               : Verdict::kEnd;
  }
  if (finding == RequestMeter::Finding::kBodyTooLarge) {
    return this->Refuse("413 Payload Too Large", kBodyTooLarge,
                        "the body is too large")
               ? Verdict::kLinger
               : Verdict::kEnd;
  }
  if (!this->UpdateBudget()) {
    return this->Refuse("503 Service Unavailable", InputBudget::kBytes,
                        "too many bytes of other requests are held")
               ? Verdict::kLinger
               : Verdict::kEnd;
  }
  return Verdict::kPass;
}

void MeteredConnection::OnClosed() {
  this->ended = true;
  this->socket = nullptr;
  this->linger_timer.reset();
  this->listener.Get().budget->Remove(this->budget_id);
}

std::shared_ptr<InputBudget::Charge> MeteredConnection::TakeAccepted() {
  std::size_t bytes = 0;
  if (!this->completed.empty()) {
    bytes = this->completed.front();
    this->completed.pop_front();
  }
  return this->ChargeCopy(bytes);
}

std::shared_ptr<InputBudget::Charge> MeteredConnection::ChargeCopy(
    std::size_t bytes) const {
  const MeteredListener::Settings& shared = this->listener.Get();
  return std::make_shared<InputBudget::Charge>(shared.budget, shared.listener,
                                               bytes);
}

void MeteredConnection::OnAnswer(std::size_t bytes) {
  this->unread_answer_bytes += bytes;
  this->UpdateAnswerBytes();
}

void MeteredConnection::OnAnswerWritten(std::size_t bytes) {
  this->unread_answer_bytes -= bytes;
  --this->open_requests;
  this->UpdateAnswerBytes();
}

void MeteredConnection::UpdateAnswerBytes() {
  if (this->socket == nullptr) {
    return;
  }
  const TimePoint now = LeaseClock::now();
  InputBudget& budget = *this->listener.Get().budget;
  budget.SetBusy(this->budget_id, this->open_requests > 0, now);
  if (!budget.HoldAnswer(this->budget_id,
                         this->meter.HeldBytes() + this->unread_answer_bytes,
                         now)) {
    this->Shutdown();
  }
}

bool MeteredConnection::Lingers(std::size_t bytes) {
  this->lingered_bytes += bytes;
  return this->socket != nullptr && this->linger_timer.has_value() &&
         this->lingered_bytes <= kMaxLingerBytes;
}

void MeteredConnection::BeginLinger() {
  if (this->socket == nullptr) {
    return;
  }
  asio::error_code ignored;
  this->socket->shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  this->linger_timer.emplace(this->listener.Context(), kLingerTime);
  this->linger_timer->async_wait(
      [weak = this->weak_from_this()](const asio::error_code& error) {
        const auto self = weak.lock();
        if (!error && self != nullptr) {
          self->linger_timer.reset();
          self->Shutdown();
        }
      });
}

void MeteredConnection::Evict(const char* reason) {
  if (this->socket == nullptr) {
    return;
  }
  if (!this->ended && this->meter.HeldBytes() > 0) {
    this->Refuse("503 Service Unavailable", reason,
                 "other requests need the memory");
  } else if (!this->ended) {
    this->ended = true;
    this->listener.Get().on_limit(reason);
  }
  this->linger_timer.reset();
  this->Shutdown();
}

bool MeteredConnection::UpdateBudget() {
  const TimePoint now = LeaseClock::now();
  InputBudget& budget = *this->listener.Get().budget;
  budget.SetBusy(this->budget_id, this->open_requests > 0, now);
  return budget.Hold(this->budget_id,
                     this->meter.HeldBytes() + this->unread_answer_bytes, now);
}

bool MeteredConnection::Refuse(std::string_view status, const char* reason,
                               std::string_view title) {
  this->ended = true;
  this->listener.Get().on_limit(reason);
  if (this->open_requests > 0 || this->socket == nullptr) {
    return false;
  }
  std::string body = R"({"type":"about:blank","title":")";
  body.append(title).append(R"(","status":)").append(status.substr(0, 3));
  body.append(R"(,"reason":")").append(reason);
  body += R"(","outcome":"not_run"})";
  std::string answer = "HTTP/1.1 ";
  answer.append(status).append(
      "\r\nConnection: close\r\nContent-Type: application/problem+json\r\n");
  if (status.starts_with("503")) {
    answer += "Retry-After: 1\r\n";
  }
  answer += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  answer += body;
  // RESTinio writes only answers to complete requests. No answer is waiting, so
  // the socket has room unless the client doesn't read; the refusal is lost
  // then.
  const ssize_t sent = send(this->socket->native_handle(), answer.data(),
                            answer.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
  return sent == static_cast<ssize_t>(answer.size());
}

void MeteredConnection::Shutdown() const {
  if (this->socket != nullptr) {
    asio::error_code ignored;
    this->socket->shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
  }
}

void MeteredStream::Read(asio::mutable_buffer buffer, ReadHandler handler) {
  if (this->connection == nullptr) {
    this->connection = this->listener->BeginConnection(this);
  }
  Base::async_read_some(buffer, [this, state = this->connection, buffer,
                                 handler = std::move(handler)](
                                    const asio::error_code& error,
                                    std::size_t count) mutable {
    if (error) {
      handler(error, count);
      return;
    }
    // Bytes that were received before the connection was ended mustn't
    // complete a request that was refused.
    if (state->Ended()) {
      handler(asio::error::eof, 0);
      return;
    }
    switch (state->OnBytes({static_cast<const char*>(buffer.data()), count})) {
      case MeteredConnection::Verdict::kPass:
        handler(error, count);
        return;
      case MeteredConnection::Verdict::kEnd:
        handler(asio::error::eof, 0);
        return;
      case MeteredConnection::Verdict::kLinger:
        state->BeginLinger();
        this->Discard(std::move(handler));
    }
  });
}

void MeteredStream::Discard(ReadHandler handler) {
  Base::async_read_some(
      this->listener->Discarded(),
      [this, state = this->connection, handler = std::move(handler)](
          const asio::error_code& error, std::size_t count) mutable {
        if (error) {
          handler(error, 0);
        } else if (!state->Lingers(count)) {
          handler(asio::error::eof, 0);
        } else {
          this->Discard(std::move(handler));
        }
      });
}

}  // namespace mimosastage::internal
