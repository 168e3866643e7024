#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "mimosastage/backend_servers/exchange_client.h"

namespace mimosastage {
namespace {

using std::chrono::milliseconds;
using SteadyClock = std::chrono::steady_clock;

constexpr std::size_t kMaxAnswerBytes = 64U << 10U;
/// Header of a request that the server repeats in the body of its answer.
constexpr std::string_view kIdHeader = "X-Id: ";

/// A server on 127.0.0.1 that answers each request in a way that is drawn at
/// random, most of them faulty. A process of its own, so that its descriptors
/// never have the numbers of sockets that the client has just closed.
class FaultyServer {
 public:
  explicit FaultyServer(std::uint64_t seed) : random(seed) {
    this->listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    auto* const any = reinterpret_cast<sockaddr*>(&address);
    EXPECT_EQ(bind(this->listener, any, size), 0);
    EXPECT_EQ(listen(this->listener, 512), 0);
    EXPECT_EQ(getsockname(this->listener, any, &size), 0);
    this->port = ntohs(address.sin_port);
    this->process = fork();
    if (this->process == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      this->Run();
    }
    close(this->listener);
  }
  ~FaultyServer() {
    kill(this->process, SIGKILL);
    waitpid(this->process, nullptr, 0);
  }
  FaultyServer(const FaultyServer&) = delete;
  FaultyServer& operator=(const FaultyServer&) = delete;

  std::uint16_t Port() const { return this->port; }

 private:
  enum class End : std::uint8_t { kKeep, kClose, kReset };

  struct Connection {
    std::string input;
    /// Bytes to send, each not before its time.
    std::deque<std::pair<SteadyClock::time_point, std::string>> output;
    End end = End::kKeep;
    /// The rest of the input is ignored.
    bool silent = false;
  };

  std::uint64_t Draw(std::uint64_t limit) {
    return std::uniform_int_distribution<std::uint64_t>(
        0, limit - 1)(this->random);
  }

  [[noreturn]] void Run() {
    while (true) {
      std::vector<pollfd> sockets{{this->listener, POLLIN, 0}};
      for (const auto& [descriptor, connection] : this->connections) {
        sockets.push_back({descriptor, POLLIN, 0});
      }
      // Short, because answers are due at any time.
      poll(sockets.data(), sockets.size(), 1);
      this->AcceptAll();
      for (std::size_t i = 1; i < sockets.size(); ++i) {
        if (sockets[i].revents != 0) {
          this->Read(sockets[i].fd);
        }
      }
      this->WriteDue();
    }
  }

  void AcceptAll() {
    int descriptor = -1;
    while ((descriptor = accept4(this->listener, nullptr, nullptr,
                                 SOCK_NONBLOCK)) >= 0) {
      if (this->Draw(20) == 0) {
        Close(descriptor, this->Draw(2) == 0);
      } else {
        this->connections.emplace(descriptor, Connection());
      }
    }
  }

  static void Close(int descriptor, bool reset) {
    if (reset) {
      const linger at_once{1, 0};
      setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
    }
    close(descriptor);
  }

  void Read(int descriptor) {
    Connection& connection = this->connections.at(descriptor);
    std::array<char, 16'384> buffer{};
    const ssize_t count = read(descriptor, buffer.data(), buffer.size());
    if (count <= 0) {
      close(descriptor);
      this->connections.erase(descriptor);
      return;
    }
    if (connection.silent) {
      return;
    }
    connection.input.append(buffer.data(), static_cast<std::size_t>(count));
    while (const auto id = TakeRequest(connection.input)) {
      this->Answer(connection, *id);
    }
  }

  /// Removes one whole request from the input and returns its id.
  static std::optional<std::string> TakeRequest(std::string& input) {
    const std::size_t end = input.find("\r\n\r\n");
    if (end == std::string::npos) {
      return std::nullopt;
    }
    const std::string_view head{input.data(), end + 2};
    const auto value_of = [&](std::string_view name) {
      const std::size_t at = head.find(name);
      return at == std::string_view::npos
                 ? std::string()
                 : std::string(
                       head.substr(at + name.size(),
                                   head.find("\r\n", at) - at - name.size()));
    };
    const std::string length = value_of("Content-Length: ");
    const std::size_t size =
        end + 4 + (length.empty() ? 0 : std::stoul(length));
    if (input.size() < size) {
      return std::nullopt;
    }
    const std::string id = value_of(kIdHeader);
    input.erase(0, size);
    return id;
  }

  static std::string WholeAnswer(const std::string& body) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
  }

  void Answer(Connection& connection, const std::string& id) {
    const std::string whole = WholeAnswer(id);
    auto at = SteadyClock::now();
    const auto send = [&](std::string bytes) {
      connection.output.emplace_back(at, std::move(bytes));
    };
    const auto end = [&](End how) {
      connection.end = how;
      connection.silent = true;
    };
    const End broken = this->Draw(2) == 0 ? End::kClose : End::kReset;
    switch (this->Draw(24)) {
      case 0:
        end(broken);
        return;
      case 1:
        connection.silent = true;
        return;
      case 2:
        send(whole.substr(0, this->Draw(whole.size())));
        end(broken);
        return;
      case 3:
        send(whole.substr(0, this->Draw(whole.size())));
        connection.silent = true;
        return;
      case 4:
        send("HTTP/9 none\r\n\r\n" + std::string(this->Draw(200), '\xff'));
        end(End::kClose);
        return;
      case 5:
        send("HTTP/1.1 200 OK\r\nX: " + std::string(100'000, 'x') + "\r\n\r\n");
        return;
      case 6:
        send(WholeAnswer(std::string(kMaxAnswerBytes + 1, 'x')));
        return;
      case 7:
        at += milliseconds(5 + this->Draw(80));
        send(whole);
        return;
      case 8:
        send(whole + whole);
        return;
      case 9:
        for (int i = 0; i < 30; ++i) {
          send("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n");
        }
        send(whole);
        return;
      case 10:
        send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
             std::string(this->Draw(2) == 0 ? "zz" : "fffffffffffffffff") +
             "\r\nx\r\n");
        return;
      case 11:
        send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
             std::to_string(id.size()) + "\r\n");
        at += milliseconds(this->Draw(10));
        send(id + "\r\n0\r\n\r\n");
        return;
      case 12:
        send("HTTP/1.1 200 OK\r\n\r\n" + id);
        end(End::kClose);
        return;
      case 13:
        for (const char byte : whole) {
          send(std::string(1, byte));
          at += milliseconds(this->Draw(2));
        }
        return;
      case 14:
        send("HTTP/1.1 200 OK\r\nContent-Length: " +
             std::string(this->Draw(2) == 0 ? "-1" : "99999999999999999999") +
             "\r\n\r\n" + id);
        return;
      case 15:
        send(whole);
        end(broken);
        return;
      default:
        send(whole);
    }
  }

  void WriteDue() {
    const auto now = SteadyClock::now();
    std::vector<std::pair<int, bool>> ended;
    for (auto& [descriptor, connection] : this->connections) {
      while (!connection.output.empty() &&
             connection.output.front().first <= now) {
        std::string& bytes = connection.output.front().second;
        const ssize_t sent =
            ::send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent < 0) {
          connection.output.clear();
          break;
        }
        bytes.erase(0, static_cast<std::size_t>(sent));
        if (!bytes.empty()) {
          break;
        }
        connection.output.pop_front();
      }
      if (connection.output.empty() && connection.end != End::kKeep) {
        ended.emplace_back(descriptor, connection.end == End::kReset);
      }
    }
    for (const auto& [descriptor, reset] : ended) {
      Close(descriptor, reset);
      this->connections.erase(descriptor);
    }
  }

  std::mt19937_64 random;
  int listener = -1;
  std::uint16_t port = 0;
  pid_t process = -1;
  std::map<int, Connection> connections;
};

class ExchangeClientStressTest : public ::testing::Test {
 protected:
  static constexpr std::uint64_t kExchanges = 2'500;

  std::uint64_t Draw(std::uint64_t limit) {
    return std::uniform_int_distribution<std::uint64_t>(
        0, limit - 1)(this->random);
  }

  ExchangeRequest MakeRequest(std::uint64_t id, std::uint16_t port) {
    ExchangeRequest request;
    request.id = id;
    request.address = "127.0.0.1";
    request.port = port;
    if (this->Draw(30) == 0) {
      constexpr std::array kUnusable = {"", "::1", "300.1.1.1", "no address",
                                        "127.0.0.1/x"};
      request.address = kUnusable.at(this->Draw(kUnusable.size()));
    } else if (this->Draw(30) == 0) {
      request.port = static_cast<std::uint16_t>(this->Draw(2));
    }
    constexpr std::array kMethods = {"POST", "GET", "HEAD", "PUT"};
    request.method = kMethods.at(this->Draw(kMethods.size()));
    request.target = "/order";
    request.headers.emplace_back("X-Id", std::to_string(id));
    if (this->Draw(20) == 0) {
      request.headers.emplace_back("X-Odd", "a\r\nb");
    }
    if (request.method == "POST" || request.method == "PUT") {
      request.body = std::string(
          this->Draw(10) == 0 ? this->Draw(200'000) : this->Draw(300), 'b');
    }
    request.timeout = milliseconds(1 + this->Draw(150));
    request.repeatable = this->Draw(4) != 0;
    request.fresh_connection = this->Draw(6) == 0;
    if (this->Draw(3) == 0) {
      request.reused_stall_limit = milliseconds(1 + this->Draw(50));
    }
    if (this->Draw(3) == 0) {
      request.start_before =
          LeaseClock::now() + milliseconds(this->Draw(100)) - milliseconds(5);
    }
    return request;
  }

  /// Makes the exchanges of one client, which is stopped while some are open.
  void Run(std::uint64_t seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    this->random.seed(seed);
    this->results.clear();
    this->submitted.clear();
    FaultyServer server(seed);
    ExchangeClient::Settings settings;
    settings.request_id_prefix = "stress";
    settings.expect_request_id = false;
    settings.connect_timeout = milliseconds(50);
    settings.max_answer_bytes = kMaxAnswerBytes;
    settings.max_idle_connections = 1 + this->Draw(40);
    settings.max_connections_per_server = 1 + this->Draw(40);
    settings.ring_capacity = 64;
    ExchangeClient client(
        settings, ExchangeClient::Hooks{[this](ExchangeResult&& result) {
          this->Check(result);
        }});
    client.Start();
    for (std::uint64_t id = 1; id <= kExchanges; ++id) {
      const bool repeats_id = this->Draw(50) == 0;
      ExchangeRequest request = this->MakeRequest(
          repeats_id ? 1 + this->Draw(id) : id, server.Port());
      const std::uint64_t submitted_id = request.id;
      if (client.Submit(std::move(request))) {
        const std::lock_guard lock(this->mutex);
        ++this->submitted[submitted_id];
      } else {
        std::this_thread::sleep_for(milliseconds(1));
      }
      if (this->Draw(5) == 0) {
        client.Cancel(1 + this->Draw(id));
      }
      if (this->Draw(20) == 0) {
        std::this_thread::sleep_for(milliseconds(this->Draw(10)));
      }
    }
    client.Stop();
    for (const auto& [id, count] : this->submitted) {
      // A request with the id of an open exchange has no result.
      EXPECT_GE(this->results[id], 1) << "exchange " << id;
      EXPECT_LE(this->results[id], count) << "exchange " << id;
    }
  }

  void Check(const ExchangeResult& result) {
    const std::lock_guard lock(this->mutex);
    ++this->results[result.id];
    if (result.end == AttemptEnd::kWholeAnswer) {
      ++this->whole_answers;
      const std::string& body = result.answer.body;
      EXPECT_TRUE(body.empty() || body == std::to_string(result.id))
          << "exchange " << result.id << " has the answer " << body;
    }
  }

  std::mt19937_64 random;
  std::mutex mutex;
  std::map<std::uint64_t, int> submitted;
  std::map<std::uint64_t, int> results;
  std::uint64_t whole_answers = 0;
};

// Guards against a process that ends, an exchange without a result or with
// several, and the answer of another exchange, while servers break each rule of
// HTTP and exchanges are cancelled, time out and share ids.
TEST_F(ExchangeClientStressTest, ServersAreFaulty_EachExchangeHasOneResult) {
  const char* const seed = std::getenv("MIMOSASTAGE_SEED");
  const std::uint64_t first =
      seed == nullptr ? 1 : std::strtoull(seed, nullptr, 10);
  for (std::uint64_t i = first; i < first + 4 && !this->HasFailure(); ++i) {
    this->Run(i);
  }
  EXPECT_GT(this->whole_answers, kExchanges / 10);
}

}  // namespace
}  // namespace mimosastage
