#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <random>

#include "tests/system/support/cluster.h"

namespace mimosastage::testing {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// A blocking TCP connection that sends arbitrary bytes, valid HTTP or not.
class RawConnection {
 public:
  /// `endpoint` is an IPv4 address and a port, as in "127.0.0.1:80".
  explicit RawConnection(const std::string& endpoint)
      : descriptor(socket(AF_INET, SOCK_STREAM, 0)) {
    const auto colon = endpoint.find(':');
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(std::stoi(endpoint.substr(colon + 1)));
    inet_pton(AF_INET, endpoint.substr(0, colon).c_str(), &address.sin_addr);
    this->SetTimeout(seconds(5));
    this->connected =
        connect(this->descriptor, reinterpret_cast<sockaddr*>(&address),
                sizeof(address)) == 0;
  }
  ~RawConnection() { close(this->descriptor); }
  RawConnection(const RawConnection&) = delete;
  RawConnection& operator=(const RawConnection&) = delete;

  bool Connected() const { return this->connected; }

  /// False if the daemon has closed the connection.
  bool Send(const std::string& bytes) const {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
      const ssize_t count = send(this->descriptor, bytes.data() + sent,
                                 bytes.size() - sent, MSG_NOSIGNAL);
      if (count <= 0) {
        return false;
      }
      sent += static_cast<std::size_t>(count);
    }
    return true;
  }

  void ShutdownWrite() const { shutdown(this->descriptor, SHUT_WR); }

  /// Reads until the daemon closes the connection; false if `timeout` passes
  /// without a byte.
  bool ReadToEnd(milliseconds timeout, std::string& bytes) const {
    this->SetTimeout(timeout);
    std::string part(4096, '\0');
    while (true) {
      const ssize_t count = recv(this->descriptor, part.data(), part.size(), 0);
      if (count > 0) {
        bytes.append(part, 0, static_cast<std::size_t>(count));
        continue;
      }
      return count == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
    }
  }

 private:
  void SetTimeout(milliseconds time) const {
    const timeval value{time.count() / 1000, time.count() % 1000 * 1000};
    setsockopt(this->descriptor, SOL_SOCKET, SO_RCVTIMEO, &value,
               sizeof(value));
    setsockopt(this->descriptor, SOL_SOCKET, SO_SNDTIMEO, &value,
               sizeof(value));
  }

  int descriptor;
  bool connected = false;
};

/// Status code of the first HTTP response in `bytes`; 0 if there is none.
int FirstStatus(const std::string& bytes) {
  return bytes.starts_with("HTTP/1.1 ") ? std::atoi(bytes.c_str() + 9) : 0;
}

class RandomInput {
 public:
  explicit RandomInput(std::uint64_t seed) : random(seed) {}

  /// A random number below `bound`.
  std::size_t Draw(std::size_t bound) { return this->random() % bound; }

  std::string RandomString(std::size_t max_length) {
    std::string bytes(this->Draw(max_length), '\0');
    for (char& byte : bytes) {
      byte = static_cast<char>(this->Draw(256));
    }
    return bytes;
  }

  /// Applies up to 8 mutations: replaces a byte, or erases, duplicates, inserts
  /// or truncates at a random position.
  std::string Mutate(std::string bytes) {
    for (std::size_t i = 1 + this->Draw(8); i > 0 && !bytes.empty(); --i) {
      const std::size_t at = this->Draw(bytes.size());
      switch (this->Draw(5)) {
        case 0:
          bytes[at] = static_cast<char>(this->Draw(256));
          break;
        case 1:
          bytes.erase(at, 1 + this->Draw(16));
          break;
        case 2:
          bytes.insert(at, bytes.substr(this->Draw(bytes.size()), 32));
          break;
        case 3:
          bytes.insert(at, this->RandomString(16));
          break;
        default:
          bytes.resize(at);
      }
    }
    return bytes;
  }

 private:
  std::mt19937_64 random;
};

std::uint64_t Seed() {
  const char* text = std::getenv("MIMOSASTAGE_HARDENING_SEED");
  const std::uint64_t seed =
      text == nullptr ? 1 : std::strtoull(text, nullptr, 10);
  std::cout << "seed " << seed << "\n";
  return seed;
}

/// A voter, which receives the invalid input, and a second daemon linked to it.
class HardeningTest : public ::testing::Test {
 protected:
  void SetUp() override {
    this->cluster.StartAllDaemons();
    this->cluster.StartBackendServer("p");
    ASSERT_TRUE(this->cluster.WaitReady());
    this->key = this->cluster.ApplyDefaultTables();
    ASSERT_FALSE(this->key.empty());
    const json settings =
        json::parse(std::ifstream(this->cluster.SettingsPath(0)));
    this->callers_endpoint = settings["callers_listen"];
    this->operators_endpoint = settings["operators_listen"];
    this->link_endpoint = settings["daemons"][0]["link"];
    this->operator_key = settings["operator_key"];
    this->platform_key = settings["platform_key"];
    ASSERT_TRUE(
        Eventually([this] { return this->StatusOfValidRequest(0) == 200; }));
    ASSERT_TRUE(
        Eventually([this] { return this->StatusOfValidRequest(1) == 200; }));
  }

  int StatusOfValidRequest(int daemon) {
    return this->cluster
        .SendCallerRequest(daemon, "/r/r/x",
                           {"Authorization: Bearer " + this->key})
        .status;
  }

  /// Expects that the daemon still runs, is ready and serves a valid request
  /// without a retry.
  void ExpectServing() {
    ASSERT_TRUE(this->cluster.Daemon(0).Running())
        << "exit status " << *this->cluster.Daemon(0).Poll();
    EXPECT_TRUE(this->cluster.Ready(0));
    EXPECT_EQ(this->StatusOfValidRequest(0), 200);
    EXPECT_EQ(this->StatusOfValidRequest(1), 200);
  }

  /// Sends `bytes` and expects a response or a closed connection. A 2xx status
  /// is allowed, since a mutated request may still be valid. The daemon treats
  /// a half-closed connection as disconnected, so the test waits briefly for a
  /// response before it shuts down its sending side.
  void ExpectAnswerOrClose(const std::string& endpoint,
                           const std::string& bytes) {
    RawConnection connection(endpoint);
    ASSERT_TRUE(connection.Connected());
    connection.Send(bytes);
    std::string answer;
    if (!connection.ReadToEnd(milliseconds(20), answer)) {
      connection.ShutdownWrite();
      EXPECT_TRUE(connection.ReadToEnd(seconds(15), answer));
    }
    if (const int status = FirstStatus(answer); status != 0) {
      // The daemon returns 501 for an operation that it doesn't support.
      EXPECT_TRUE(status < 500 ||
                  (status == 501 &&
                   answer.find("\"not_supported\"") != std::string::npos))
          << answer;
    } else {
      EXPECT_EQ(answer, "");
    }
  }

  std::int64_t ResidentBytes() {
    std::ifstream file(
        "/proc/" + std::to_string(this->cluster.Daemon(0).Pid()) + "/statm");
    std::int64_t size = 0;
    std::int64_t resident = 0;
    file >> size >> resident;
    return resident * sysconf(_SC_PAGESIZE);
  }

  std::string CallerRequest() const {
    return "POST /r/r/x HTTP/1.1\r\nHost: a\r\nConnection: "
           "close\r\nAuthorization: Bearer " +
           this->key +
           "\r\nIdempotency-Key: k\r\nMimosastage-Deadline-Ms: 500\r\n"
           "Content-Length: 5\r\n\r\nhello";
  }

  static std::string Post(const std::string& path, const std::string& key,
                          const std::string& body) {
    return "POST " + path +
           " HTTP/1.1\r\nHost: a\r\nConnection: close\r\nAuthorization: "
           "Bearer " +
           key + "\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
  }

  Cluster cluster{2, 1};
  std::string key;
  std::string callers_endpoint;
  std::string operators_endpoint;
  std::string link_endpoint;
  std::string operator_key;
  std::string platform_key;
};

// Guards against random bytes on any port that crash or block the daemon.
TEST_F(HardeningTest, Ports_RandomBytes_AnswerOrCloseAndServeOn) {
  RandomInput random(Seed());
  for (int i = 0; i < 200; ++i) {
    for (const auto& endpoint :
         {this->callers_endpoint, this->operators_endpoint}) {
      this->ExpectAnswerOrClose(endpoint, random.RandomString(600));
    }
    RawConnection link(this->link_endpoint);
    ASSERT_TRUE(link.Connected());
    link.Send(random.RandomString(2000));
    link.ShutdownWrite();
    std::string ignored;
    EXPECT_TRUE(link.ReadToEnd(seconds(5), ignored));
  }
  this->ExpectServing();
}

// Guards against a nearly valid request that passes the HTTP parser and crashes
// the code that reads headers, JSON or table rows.
TEST_F(HardeningTest, Ports_MutatedRequests_AnswerOrCloseAndServeOn) {
  RandomInput random(Seed());
  const json change = {{"change_id", "mutated"},
                       {"base_version", 0},
                       {"upserts", {{{"name", "b"}, {"share", 1}}}}};
  const json announcement = {{"name", "other"},  {"address", "127.0.0.1"},
                             {"port", 9},        {"pool", "none"},
                             {"zone", "zone-1"}, {"epoch", 1},
                             {"slots", 4},       {"connections", 4}};
  for (int i = 0; i < 150; ++i) {
    this->ExpectAnswerOrClose(this->callers_endpoint,
                              random.Mutate(this->CallerRequest()));
    // Base version 0 is outdated, so no mutated change is accepted.
    this->ExpectAnswerOrClose(
        this->operators_endpoint,
        random.Mutate(
            Post("/v1/tables/teams", this->operator_key, change.dump())));
    // Only the body is mutated, so the JSON parser receives all of it.
    this->ExpectAnswerOrClose(this->operators_endpoint,
                              Post("/v1/tables/teams", this->operator_key,
                                   random.Mutate(change.dump())));
    this->ExpectAnswerOrClose(this->operators_endpoint,
                              Post("/v1/announcements", this->platform_key,
                                   random.Mutate(announcement.dump())));
    this->ExpectAnswerOrClose(
        this->operators_endpoint,
        Post("/v1/workers/other/report", this->platform_key,
             random.Mutate(R"({"name":"other","epoch":1})")));
  }
  this->ExpectServing();
}

// Guards against an uncaught exception on a number beyond the range of double:
// the JSON library throws another exception for it than its parse error.
TEST_F(HardeningTest, Operators_NumberBeyondDouble_Is4xxAndServesOn) {
  for (const char* path : {"/v1/tables/teams", "/v1/keys"}) {
    const Reply reply = this->cluster.SendOperatorRequest(
        0, "POST", path, R"({"base_version": 1e999})");
    EXPECT_EQ(reply.status / 100, 4) << path << reply.body;
  }
  this->ExpectServing();
}

// Guards against an exception of the JSON library that terminates the node
// thread: on text that isn't valid UTF-8, and on deep nesting.
TEST_F(HardeningTest, Ports_TextThatJsonLibraryRefuses_Is4xxAndServesOn) {
  const std::string high = "\xff\xfe\x80";
  std::string deep(100'000, '[');
  for (const auto& body :
       {R"({"change_id": ")" + high + R"("})", deep,
        std::string(R"({"change_id": "\ud800"})"), std::string("\0\0", 2)}) {
    for (const char* path : {"/v1/tables/teams", "/v1/keys", "/v1/waves"}) {
      this->ExpectAnswerOrClose(this->operators_endpoint,
                                Post(path, this->operator_key, body));
    }
    for (const char* path : {"/v1/announcements", "/v1/workers/w/report"}) {
      this->ExpectAnswerOrClose(this->operators_endpoint,
                                Post(path, this->platform_key, body));
    }
    ASSERT_TRUE(this->cluster.Daemon(0).Running()) << body.substr(0, 40);
  }
  for (const std::string& path :
       {"/v1/" + high, "/v1/tables/" + high, "/v1/keys/" + high,
        std::string("/v1/"), std::string("/"), "/v1/keys/a?change_id=" + high,
        std::string("//v1//keys//")}) {
    for (const char* method : {"GET", "POST", "DELETE"}) {
      this->ExpectAnswerOrClose(this->operators_endpoint,
                                std::string(method) + " " + path +
                                    " HTTP/1.1\r\nHost: a\r\nConnection: "
                                    "close\r\nAuthorization: Bearer " +
                                    this->operator_key + "\r\n\r\n");
    }
  }
  const std::string caller_headers =
      " HTTP/1.1\r\nHost: a\r\nConnection: close\r\nAuthorization: Bearer " +
      this->key + "\r\nX: " + high + "\r\n\r\n";
  for (const std::string& target :
       {"/r/" + high, "/r/r/" + high, "/requests/" + high, "/" + high}) {
    for (const char* method : {"GET ", "DELETE "}) {
      std::string request = method;
      request.append(target).append(caller_headers);
      this->ExpectAnswerOrClose(this->callers_endpoint, request);
    }
  }
  this->ExpectServing();
}

// Guards against limits on header, target and body size that aren't enforced
// (section 10).
TEST_F(HardeningTest, Callers_OversizedInput_Is4xxOrClosed) {
  const std::string start =
      "POST /r/r/x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n";
  const std::string auth = "Authorization: Bearer " + this->key + "\r\n";
  std::string fields;
  for (int i = 0; i < 60; ++i) {
    fields += "X-" + std::to_string(i) + ": " + std::string(1000, 'v') + "\r\n";
  }
  std::string chunks;
  for (int i = 0; i < 40; ++i) {
    chunks += "10000\r\n" + std::string(0x10000, 'b') + "\r\n";
  }
  const std::vector<std::pair<const char*, std::string>> inputs = {
      {"one header field of 64 KiB",
       start + auth + "X: " + std::string(64U << 10U, 'v') + "\r\n\r\n"},
      {"60 KiB of headers", start + auth + fields + "\r\n"},
      {"1,000 header fields", start + auth +
                                  [] {
                                    std::string all;
                                    for (int i = 0; i < 1000; ++i) {
                                      all +=
                                          "X" + std::to_string(i) + ": v\r\n";
                                    }
                                    return all;
                                  }() +
                                  "\r\n"},
      {"target of 64 KiB", "GET /r/r/" + std::string(64U << 10U, 'x') +
                               " HTTP/1.1\r\nHost: a\r\nConnection: close\r\n" +
                               auth + "\r\n"},
      {"body of 1.5 MiB", start + auth + "Content-Length: 1572864\r\n\r\n" +
                              std::string(1572864, 'b')},
      {"body of 3 MiB", start + auth + "Content-Length: 3145728\r\n\r\n" +
                            std::string(3145728, 'b')},
      {"chunked body of 2.5 MiB", start + auth +
                                      "Transfer-Encoding: chunked\r\n\r\n" +
                                      chunks + "0\r\n\r\n"},
      {"length beyond 64 bits",
       start + auth + "Content-Length: 99999999999999999999999\r\n\r\n"},
      {"negative length", start + auth + "Content-Length: -1\r\n\r\n"},
  };
  for (const auto& [name, bytes] : inputs) {
    SCOPED_TRACE(name);
    RawConnection connection(this->callers_endpoint);
    ASSERT_TRUE(connection.Connected());
    connection.Send(bytes);
    std::string answer;
    EXPECT_TRUE(connection.ReadToEnd(seconds(15), answer));
    const int status = FirstStatus(answer);
    EXPECT_TRUE(status == 0 || status / 100 == 4) << answer;
    if (std::string_view(name) == "60 KiB of headers") {
      EXPECT_EQ(status, 431)
          << "header fields over the total limit must be refused with a status";
    }
  }
  this->ExpectServing();
}

// Guards against slow senders and half-open connections that stay open forever
// or keep other requests from being served.
TEST_F(HardeningTest, Connections_SlowOrHalfOpen_AreClosedInTime) {
  std::vector<std::unique_ptr<RawConnection>> connections;
  const std::string whole = this->CallerRequest();
  for (int i = 0; i < 100; ++i) {
    for (const auto& endpoint :
         {this->callers_endpoint, this->operators_endpoint,
          this->link_endpoint}) {
      connections.push_back(std::make_unique<RawConnection>(endpoint));
      ASSERT_TRUE(connections.back()->Connected());
    }
    connections[connections.size() - 3]->Send(
        whole.substr(0, 1 + i % (whole.size() - 1)));
  }
  this->ExpectServing();
  const auto start = std::chrono::steady_clock::now();
  // One byte every 200 ms mustn't extend the time limit of a request.
  RawConnection slow(this->callers_endpoint);
  std::size_t sent = 0;
  while (sent < whole.size() && slow.Send(whole.substr(sent, 1))) {
    ++sent;
    SleepFor(milliseconds(200));
  }
  EXPECT_LT(sent, whole.size());
  EXPECT_LT(std::chrono::steady_clock::now() - start, seconds(20));
  for (std::size_t i = 0; i < connections.size(); ++i) {
    std::string ignored;
    EXPECT_TRUE(connections[i]->ReadToEnd(seconds(5), ignored))
        << "connection " << i;
  }
  this->ExpectServing();
}

// Guards against leaking memory or file descriptors with each connection.
TEST_F(HardeningTest, Ports_ThousandsOfShortConnections_MemoryStaysBounded) {
  RandomInput random(Seed());
  const auto round = [&] {
    for (int i = 0; i < 1000; ++i) {
      for (const auto& endpoint :
           {this->callers_endpoint, this->operators_endpoint,
            this->link_endpoint}) {
        const RawConnection connection(endpoint);
        ASSERT_TRUE(connection.Connected());
        connection.Send(random.Mutate(this->CallerRequest()));
      }
    }
  };
  round();
  this->ExpectServing();
  const std::int64_t before = this->ResidentBytes();
  for (int i = 0; i < 4; ++i) {
    round();
  }
  this->ExpectServing();
  const std::int64_t growth = this->ResidentBytes() - before;
  std::cout << "resident " << before << " bytes, growth " << growth << "\n";
  // 12,000 connections that leak 1 KiB each exceed this.
  EXPECT_LT(growth, 12'000 * 1024);
}

}  // namespace
}  // namespace mimosastage::testing
