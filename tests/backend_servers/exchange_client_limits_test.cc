#include <gtest/gtest.h>

#include <algorithm>
#include <asio.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "mimosastage/backend_servers/exchange_client.h"

namespace mimosastage {
namespace {

using asio::ip::tcp;

/// Answers each request with `bytes` of a body that never ends.
class EndlessServer {
 public:
  explicit EndlessServer(std::size_t bytes)
      : bytes(bytes),
        acceptor(this->io, {asio::ip::make_address("127.0.0.1"), 0}) {
    this->Accept();
    this->thread = std::thread([this] { this->io.run(); });
  }
  ~EndlessServer() {
    this->io.stop();
    this->thread.join();
  }
  EndlessServer(const EndlessServer&) = delete;
  EndlessServer& operator=(const EndlessServer&) = delete;

  std::uint16_t Port() { return this->acceptor.local_endpoint().port(); }

 private:
  struct Peer {
    explicit Peer(tcp::socket socket) : socket(std::move(socket)) {}
    tcp::socket socket;
    std::string request = std::string(4'096, '\0');
    std::string answer;
  };

  void Accept() {
    this->acceptor.async_accept(
        [this](asio::error_code error, tcp::socket socket) {
          if (!error) {
            this->Serve(std::make_shared<Peer>(std::move(socket)));
          }
          this->Accept();
        });
  }

  void Serve(const std::shared_ptr<Peer>& peer) const {
    peer->socket.async_read_some(
        asio::buffer(peer->request),
        [this, peer](asio::error_code error, std::size_t) {
          if (error) {
            return;
          }
          peer->answer =
              "HTTP/1.1 200 OK\r\nContent-Length: 1000000000\r\n\r\n" +
              std::string(this->bytes, 'x');
          asio::async_write(peer->socket, asio::buffer(peer->answer),
                            [this, peer](asio::error_code, std::size_t) {
                              this->Serve(peer);
                            });
        });
  }

  std::size_t bytes;
  asio::io_context io;
  tcp::acceptor acceptor;
  std::thread thread;
};

class ExchangeClientLimitsTest : public ::testing::Test {
 protected:
  static constexpr std::size_t kMaxHeldBytes = 2U << 20U;
  /// libcurl reads at most 100 buffers of 16 KiB from a socket at once.
  static constexpr std::size_t kReadAtOnce = 1'638'400;

  ExchangeClientLimitsTest() {
    ExchangeClient::Settings settings;
    settings.expect_request_id = false;
    settings.max_answer_bytes = 4U << 20U;
    settings.max_held_answer_bytes = kMaxHeldBytes;
    ExchangeClient::Hooks hooks;
    hooks.on_result = [this](ExchangeResult&& result) {
      const std::lock_guard lock(this->mutex);
      this->most_held =
          std::max(this->most_held, this->client->HeldAnswerBytes());
      this->results.push_back(std::move(result));
    };
    hooks.on_limit = [this](std::string_view reason) {
      const std::lock_guard lock(this->mutex);
      this->reasons.emplace_back(reason);
    };
    this->client =
        std::make_unique<ExchangeClient>(std::move(settings), std::move(hooks));
    this->client->Start();
  }
  ~ExchangeClientLimitsTest() override { this->client->Stop(); }

  void Submit(std::uint64_t id, std::uint16_t port,
              std::chrono::milliseconds timeout) {
    ExchangeRequest request;
    request.id = id;
    request.address = "127.0.0.1";
    request.port = port;
    request.method = "GET";
    request.target = "/";
    request.timeout = timeout;
    EXPECT_TRUE(this->client->Submit(std::move(request)));
  }

  std::size_t WaitForResults(std::size_t count) {
    for (int i = 0; i < 3'000; ++i) {
      {
        const std::lock_guard lock(this->mutex);
        if (this->results.size() >= count) {
          break;
        }
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    const std::lock_guard lock(this->mutex);
    return this->results.size();
  }

  std::mutex mutex;
  std::vector<ExchangeResult> results;
  std::vector<std::string> reasons;
  std::size_t most_held = 0;
  std::unique_ptr<ExchangeClient> client;
};

// Guards against servers that together make the client hold any number of
// bytes, each below the limit for one answer.
TEST_F(ExchangeClientLimitsTest, ManyEndlessAnswers_HeldBytesStayBounded) {
  constexpr std::size_t kExchanges = 16;
  EndlessServer server(1U << 20U);
  for (std::uint64_t id = 1; id <= kExchanges; ++id) {
    this->Submit(id, server.Port(), std::chrono::seconds(3));
  }
  EXPECT_EQ(this->WaitForResults(kExchanges), kExchanges);
  const std::lock_guard lock(this->mutex);
  EXPECT_LE(this->most_held, kMaxHeldBytes + kReadAtOnce);
  EXPECT_GE(std::count(this->reasons.begin(), this->reasons.end(),
                       "answer_bytes_held"),
            1);
  for (const ExchangeResult& result : this->results) {
    EXPECT_NE(result.end, AttemptEnd::kWholeAnswer);
  }
  EXPECT_EQ(this->client->HeldAnswerBytes(), 0U);
}

TEST_F(ExchangeClientLimitsTest, OneAnswerOverLimit_IsTooLargeAndCounted) {
  EndlessServer server(5U << 20U);
  this->Submit(1, server.Port(), std::chrono::seconds(20));
  ASSERT_EQ(this->WaitForResults(1), 1U);
  const std::lock_guard lock(this->mutex);
  EXPECT_EQ(this->results[0].end, AttemptEnd::kTooLarge);
  EXPECT_EQ(this->reasons.size(), 1U);
}

}  // namespace
}  // namespace mimosastage
