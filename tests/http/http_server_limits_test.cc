#include <gtest/gtest.h>
#include <sys/socket.h>
#include <sys/time.h>

#include <asio.hpp>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "mimosastage/http/http_server.h"

namespace mimosastage {
namespace {

using asio::ip::tcp;

constexpr std::uint64_t kMaxBodyBytes = 64U << 10U;
constexpr std::size_t kMaxHeldBytes = 1U << 20U;

/// A blocking connection to the server under test.
class Client {
 public:
  Client(asio::io_context& io, std::uint16_t port) : socket(io) {
    this->socket.connect({asio::ip::make_address("127.0.0.1"), port});
    const timeval limit{10, 0};
    setsockopt(this->socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit,
               sizeof(limit));
  }

  void Send(const std::string& bytes) {
    asio::error_code ignored;
    asio::write(this->socket, asio::buffer(bytes), ignored);
  }

  /// Reads until the server closes the connection, or for ten seconds.
  std::string ReadToEnd() {
    std::string bytes(4'096, '\0');
    std::string all;
    while (true) {
      const ssize_t count =
          recv(this->socket.native_handle(), bytes.data(), bytes.size(), 0);
      if (count <= 0) {
        return all;
      }
      all.append(bytes, 0, static_cast<std::size_t>(count));
    }
  }

 private:
  tcp::socket socket;
};

class HttpServerLimitsTest : public ::testing::Test {
 protected:
  HttpServerLimitsTest() {
    HttpServer::Settings settings;
    settings.max_body_bytes = kMaxBodyBytes;
    settings.budget = this->budget;
    HttpServer::Hooks hooks;
    hooks.on_request = [this](HttpRequest&& request) {
      HttpAnswer answer;
      answer.body = std::to_string(request.body.size());
      {
        std::unique_lock lock(this->mutex);
        ++this->requests;
        this->changed.notify_all();
        this->changed.wait(lock, [this] { return !this->blocked; });
      }
      this->server->Answer(request.id, std::move(answer));
    };
    hooks.on_limit = [this](std::string_view reason) {
      const std::lock_guard lock(this->mutex);
      ++this->limits[std::string(reason)];
    };
    this->server =
        std::make_unique<HttpServer>(std::move(settings), std::move(hooks));
    const auto started = this->server->Start();
    EXPECT_TRUE(started.has_value());
    this->port = *started;
  }
  ~HttpServerLimitsTest() override { this->server->Stop(); }

  std::string Exchange(const std::string& bytes) {
    Client client(this->io, this->port);
    client.Send(bytes);
    return client.ReadToEnd();
  }

  int LimitCount(const std::string& reason) {
    const std::lock_guard lock(this->mutex);
    return this->limits[reason];
  }

  /// Waits until nothing is held any more.
  bool BudgetEmpties() const {
    for (int i = 0; i < 500; ++i) {
      if (this->budget->HeldBytes() == 0 &&
          this->budget->UsageByListener()[0].connections == 0) {
        return true;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return false;
  }

  static std::string Post(const std::string& framing, const std::string& body) {
    return "POST /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n" + framing +
           "\r\n\r\n" + body;
  }

  asio::io_context io;
  std::shared_ptr<InputBudget> budget =
      std::make_shared<InputBudget>(InputBudget::Limits{kMaxHeldBytes, 1'000});
  std::mutex mutex;
  std::condition_variable changed;
  /// The server's thread waits in the next request while this is set.
  bool blocked = false;
  int requests = 0;
  std::map<std::string, int> limits;
  std::uint16_t port = 0;
  std::unique_ptr<HttpServer> server;
};

// Guards against a body that is read in full only to be refused.
TEST_F(HttpServerLimitsTest, AnnouncedBodyOverLimit_Is413BeforeTheBody) {
  const std::string answer = this->Exchange(
      Post("Content-Length: " + std::to_string(kMaxBodyBytes + 1), ""));
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 413 ")) << answer;
  EXPECT_NE(answer.find("\"not_run\""), std::string::npos) << answer;
  EXPECT_EQ(this->LimitCount("body_too_large"), 1);
  EXPECT_EQ(this->requests, 0);
}

// Guards against a refusal that is lost because the client still sends.
TEST_F(HttpServerLimitsTest, ChunkedBodyOverLimit_Is413WhileClientSends) {
  std::string body;
  for (int i = 0; i < 200; ++i) {
    body += "1000\r\n" + std::string(0x1000, 'x') + "\r\n";
  }
  const std::string answer =
      this->Exchange(Post("Transfer-Encoding: chunked", body));
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 413 ")) << answer;
  EXPECT_EQ(this->requests, 0);
  EXPECT_TRUE(this->BudgetEmpties());
}

TEST_F(HttpServerLimitsTest, HeadersOverLimit_Is431) {
  std::string fields;
  for (int i = 0; i < 20; ++i) {
    fields += "X: " + std::string(1'000, 'x') + "\r\n";
  }
  const std::string answer =
      this->Exchange("GET / HTTP/1.1\r\nHost: a\r\n" + fields);
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 431 ")) << answer;
}

TEST_F(HttpServerLimitsTest, LargestBodies_AreServedInBothFramings) {
  const std::string body(kMaxBodyBytes, 'x');
  for (const std::string& request :
       {Post("Content-Length: 65536", body),
        Post("Transfer-Encoding: chunked",
             "10000\r\n" + body + "\r\n0\r\n\r\n")}) {
    const std::string answer = this->Exchange(request);
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 200 ")) << answer;
    EXPECT_TRUE(answer.ends_with("65536")) << answer;
  }
  EXPECT_TRUE(this->BudgetEmpties());
}

// Guards against a request that runs although its client was told that it
// wasn't: the rest of it was received, and not read yet, when it was refused.
TEST_F(HttpServerLimitsTest, RestArrivesBeforeRefusal_RequestNeverRuns) {
  Client refused(this->io, this->port);
  refused.Send(Post("Content-Length: 10", "123456789"));
  while (this->budget->HeldBytes() == 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  {
    const std::lock_guard lock(this->mutex);
    this->blocked = true;
  }
  Client other(this->io, this->port);
  other.Send(Post("Content-Length: 1", "x"));
  {
    std::unique_lock lock(this->mutex);
    this->changed.wait(lock, [this] { return this->requests == 1; });
  }
  refused.Send("0");
  std::this_thread::sleep_for(std::chrono::milliseconds(50));
  auto charge =
      std::make_unique<InputBudget::Charge>(this->budget, 0, kMaxHeldBytes + 1);
  {
    const std::lock_guard lock(this->mutex);
    this->blocked = false;
  }
  this->changed.notify_all();
  const std::string answer = refused.ReadToEnd();
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 503 ")) << answer;
  EXPECT_TRUE(other.ReadToEnd().starts_with("HTTP/1.1 200 "));
  charge.reset();
  EXPECT_TRUE(this->BudgetEmpties());
  const std::lock_guard lock(this->mutex);
  EXPECT_EQ(this->requests, 1);
}

// Guards against a newcomer that is refused while a client that never ends its
// request keeps its room.
TEST_F(HttpServerLimitsTest, BudgetReached_LongestHolderGets503) {
  const std::string start =
      Post("Content-Length: 65536", std::string(kMaxBodyBytes - 1, 'x'));
  std::vector<std::unique_ptr<Client>> clients;
  for (int i = 0; i < 40; ++i) {
    clients.push_back(std::make_unique<Client>(this->io, this->port));
    clients.back()->Send(start);
  }
  for (int i = 0; i < 500 && this->LimitCount("bytes_held") == 0; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  clients[0]->Send("x");
  const std::string answer = clients[0]->ReadToEnd();
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 503 ")) << answer;
  EXPECT_NE(answer.find("\"not_run\""), std::string::npos) << answer;
  EXPECT_LE(this->budget->HeldBytes(), kMaxHeldBytes);
  EXPECT_EQ(this->requests, 0);
  EXPECT_TRUE(this->Exchange(Post("Content-Length: 1", "x"))
                  .starts_with("HTTP/1.1 200"));
  clients.clear();
  EXPECT_TRUE(this->BudgetEmpties());
}

// Guards against bytes for which the server and the meter disagree on where a
// request ends: the budget would keep or lose some for good.
TEST_F(HttpServerLimitsTest, MutatedRequests_BudgetIsEmptyAfterwards) {
  constexpr std::uint64_t kSeed = 1;
  std::mt19937_64 random(kSeed);
  const auto draw = [&](std::size_t bound) { return random() % bound; };
  // NOLINTBEGIN(bugprone-suspicious-missing-comma): one text over two lines.
  const std::vector<std::string> parts{
      "GET / HTTP/1.1\r\nHost: a\r\n\r\n",
      "POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nhello",
      "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n"
      "T: t\r\n\r\n",
      "GET / HTTP/1.1\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n",
      "HEAD / HTTP/1.0\r\n\r\n",
      "CONNECT a:1 HTTP/1.1\r\n\r\n"};
  // NOLINTEND(bugprone-suspicious-missing-comma)
  for (int i = 0; i < 1'000; ++i) {
    std::string bytes;
    for (std::size_t part = 1 + draw(5); part > 0; --part) {
      bytes += parts[draw(parts.size())];
    }
    for (std::size_t change = draw(3); change > 0; --change) {
      const std::size_t at = draw(bytes.size());
      if (draw(2) == 0) {
        bytes[at] = static_cast<char>(draw(256));
      } else {
        bytes.erase(at, 1 + draw(8));
      }
    }
    Client client(this->io, this->port);
    const std::size_t split = draw(bytes.size() + 1);
    client.Send(bytes.substr(0, split));
    client.Send(bytes.substr(split));
  }
  EXPECT_TRUE(this->Exchange(Post("Content-Length: 1", "x"))
                  .starts_with("HTTP/1.1 200"));
  EXPECT_TRUE(this->BudgetEmpties()) << this->budget->HeldBytes();
}

}  // namespace
}  // namespace mimosastage
