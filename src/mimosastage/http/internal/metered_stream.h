#ifndef MIMOSASTAGE_HTTP_INTERNAL_METERED_STREAM_H_
#define MIMOSASTAGE_HTTP_INTERNAL_METERED_STREAM_H_

#include <array>
#include <asio.hpp>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

#include "mimosastage/http/input_budget.h"
#include "mimosastage/http/internal/request_meter.h"

namespace mimosastage::internal {

class MeteredConnection;

/// What the streams of one listener share; attached to the listener's
/// io_context, because RESTinio creates the streams. Used on the listener's
/// thread only.
class MeteredListener : public asio::execution_context::service {
 public:
  using key_type = MeteredListener;  // NOLINT: Asio requires this name.
  struct Settings {
    RequestMeter::Limits limits;
    std::shared_ptr<InputBudget> budget;
    InputBudget::ListenerId listener = 0;
    /// A request or connection was refused, or cut off, for `reason`.
    std::function<void(const char* reason)> on_limit;
  };

  explicit MeteredListener(asio::execution_context& context);

  void Configure(Settings settings);
  const Settings& Get() const { return this->settings; }
  asio::io_context& Context() { return this->io; }

  /// RESTinio has accepted this connection and begins to read from it next.
  void OnAccepted(std::uint64_t connection);
  void OnClosed(std::uint64_t connection);
  /// Creates the state of the connection that was accepted last.
  std::shared_ptr<MeteredConnection> BeginConnection(
      asio::ip::tcp::socket* socket);
  /// Null if the connection is closed.
  std::shared_ptr<MeteredConnection> Find(std::uint64_t connection) const;
  /// Removes all connections from the budget.
  void RemoveAll();

  /// Receives bytes that nobody reads.
  asio::mutable_buffer Discarded() { return asio::buffer(this->discarded); }

  static asio::execution_context::id id;

 private:
  void shutdown() noexcept override {}

  asio::io_context& io;
  Settings settings;
  std::uint64_t accepted = 0;
  std::unordered_map<std::uint64_t, std::shared_ptr<MeteredConnection>>
      connections;
  std::array<char, 16U << 10U> discarded{};
};

/// Counts what one connection holds, and refuses what exceeds the limits.
class MeteredConnection
    : public std::enable_shared_from_this<MeteredConnection> {
 public:
  enum class Verdict : std::uint8_t {
    /// The server may read the bytes.
    kPass,
    /// The server must see the end of the connection.
    kEnd,
    /// As kEnd, once the client has had time to read the refusal.
    kLinger,
  };

  MeteredConnection(MeteredListener& listener, asio::ip::tcp::socket* socket);

  /// Counts the connection; called once.
  void OpenInBudget();
  Verdict OnBytes(std::string_view bytes);
  bool Ended() const { return this->ended; }
  /// The socket is about to be destroyed.
  void OnClosed();

  /// The charge for a request that was completed and not taken yet.
  std::shared_ptr<InputBudget::Charge> TakeAccepted();
  /// A charge for `bytes` that were copied from an accepted request.
  std::shared_ptr<InputBudget::Charge> ChargeCopy(std::size_t bytes) const;
  void OnAnswer(std::size_t bytes);
  void OnAnswerWritten(std::size_t bytes);

  /// Ends the linger time; returns whether it lasts.
  bool Lingers(std::size_t bytes);
  void BeginLinger();

 private:
  /// Closes the connection because another one needs its room.
  void Evict(const char* reason);
  bool UpdateBudget();
  /// After a change of the answers that are held.
  void UpdateAnswerBytes();
  /// Sends an answer that says that the request wasn't run, unless an earlier
  /// request is still open.
  bool Refuse(std::string_view status, const char* reason,
              std::string_view title);
  void Shutdown() const;

  MeteredListener& listener;
  asio::ip::tcp::socket* socket;
  RequestMeter meter;
  InputBudget::ConnectionId budget_id = 0;
  /// Requests that are complete and whose answer isn't written yet.
  std::size_t open_requests = 0;
  std::size_t unread_answer_bytes = 0;
  std::deque<std::size_t> completed;
  bool ended = false;
  std::size_t lingered_bytes = 0;
  std::optional<asio::steady_timer> linger_timer;
};

/// A socket that shows what it reads to a MeteredConnection first. RESTinio
/// uses it in place of the socket.
class MeteredStream : public asio::ip::tcp::socket {
 public:
  using Base = asio::ip::tcp::socket;
  using ReadHandler = std::function<void(const asio::error_code&, std::size_t)>;

  explicit MeteredStream(asio::io_context& io)
      : Base(io), listener(&asio::use_service<MeteredListener>(io)) {}
  MeteredStream(MeteredStream&&) = default;
  MeteredStream& operator=(MeteredStream&&) = default;
  MeteredStream(const MeteredStream&) = delete;
  MeteredStream& operator=(const MeteredStream&) = delete;
  ~MeteredStream() {
    if (this->connection != nullptr) {
      this->connection->OnClosed();
    }
  }

  // NOLINTBEGIN(readability-identifier-naming): Asio requires this name.
  template <class Buffers, class Handler>
  void async_read_some(const Buffers& buffers, Handler&& handler) {
    this->Read(*asio::buffer_sequence_begin(buffers),
               ReadHandler(std::forward<Handler>(handler)));
  }
  // NOLINTEND(readability-identifier-naming)

 private:
  void Read(asio::mutable_buffer buffer, ReadHandler handler);
  void Discard(ReadHandler handler);

  MeteredListener* listener;
  std::shared_ptr<MeteredConnection> connection;
};

}  // namespace mimosastage::internal

#endif  // MIMOSASTAGE_HTTP_INTERNAL_METERED_STREAM_H_
