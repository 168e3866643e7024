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

/// A blocking TCP connection for bytes that no HTTP client would send.
class RawConnection {
 public:
  /// `listen` is an IPv4 number and a port.
  explicit RawConnection(const std::string& listen)
      : descriptor(socket(AF_INET, SOCK_STREAM, 0)) {
    const auto colon = listen.find(':');
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(std::stoi(listen.substr(colon + 1)));
    inet_pton(AF_INET, listen.substr(0, colon).c_str(), &address.sin_addr);
    this->SetTimeout(seconds(5));
    this->connected =
        connect(this->descriptor, reinterpret_cast<sockaddr*>(&address),
                sizeof(address)) == 0;
  }
  ~RawConnection() { close(this->descriptor); }
  RawConnection(const RawConnection&) = delete;
  RawConnection& operator=(const RawConnection&) = delete;

  bool Connected() const { return this->connected; }

  /// False once the daemon has closed.
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

  void EndSending() const { shutdown(this->descriptor, SHUT_WR); }

  /// Reads to the end or for `longest` without a byte; true at the end.
  bool ReadToEnd(milliseconds longest, std::string& bytes) const {
    this->SetTimeout(longest);
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

/// Status of the first answer in `bytes`; 0 if there is none.
int FirstStatus(const std::string& bytes) {
  return bytes.starts_with("HTTP/1.1 ") ? std::atoi(bytes.c_str() + 9) : 0;
}

class RandomBytes {
 public:
  explicit RandomBytes(std::uint64_t seed) : random(seed) {}

  std::size_t Draw(std::size_t bound) { return this->random() % bound; }

  std::string Next(std::size_t longest) {
    std::string bytes(this->Draw(longest), '\0');
    for (char& byte : bytes) {
      byte = static_cast<char>(this->Draw(256));
    }
    return bytes;
  }

  /// Flips, removes, repeats and inserts at up to 8 places.
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
          bytes.insert(at, this->Next(16));
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

/// A voter, which gets the bad input, and a second daemon linked to it.
class HardeningTest : public ::testing::Test {
 protected:
  void SetUp() override {
    this->cluster.StartAllDaemons();
    this->cluster.StartBackendServer("p");
    ASSERT_TRUE(this->cluster.WaitReady());
    this->key = this->cluster.ApplyBasics();
    ASSERT_FALSE(this->key.empty());
    const json settings = json::parse(std::ifstream(this->cluster.Settings(0)));
    this->callers = settings["callers_listen"];
    this->operators = settings["operators_listen"];
    this->links = settings["daemons"][0]["link"];
    this->operator_key = settings["operator_key"];
    this->platform_key = settings["platform_key"];
    ASSERT_TRUE(Eventually([this] { return this->GoodStatus(0) == 200; }));
    ASSERT_TRUE(Eventually([this] { return this->GoodStatus(1) == 200; }));
  }

  int GoodStatus(int daemon) {
    return this->cluster
        .Request(daemon, "/r/r/x", {"Authorization: Bearer " + this->key})
        .status;
  }

  /// The daemon must still run, be ready and serve at the first try.
  void ExpectServing() {
    ASSERT_TRUE(this->cluster.Daemon(0).Running())
        << "exit status " << *this->cluster.Daemon(0).Poll();
    EXPECT_TRUE(this->cluster.Ready(0));
    EXPECT_EQ(this->GoodStatus(0), 200);
    EXPECT_EQ(this->GoodStatus(1), 200);
  }

  /// Sends and expects an answer or the end. 2xx is right where a change left
  /// the request valid. The daemon takes the end of sending for a disconnect,
  /// so an answer gets a moment to come before.
  void ExpectAnswerOrClose(const std::string& listen,
                           const std::string& bytes) {
    RawConnection connection(listen);
    ASSERT_TRUE(connection.Connected());
    connection.Send(bytes);
    std::string answer;
    if (!connection.ReadToEnd(milliseconds(20), answer)) {
      connection.EndSending();
      EXPECT_TRUE(connection.ReadToEnd(seconds(15), answer));
    }
    if (const int status = FirstStatus(answer); status != 0) {
      // 501 is the answer of an operation that the daemon doesn't have.
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
  std::string callers;
  std::string operators;
  std::string links;
  std::string operator_key;
  std::string platform_key;
};

// Guards against random bytes on any port that stop or block the daemon.
TEST_F(HardeningTest, Ports_RandomBytes_AnswerOrCloseAndServeOn) {
  RandomBytes random(Seed());
  for (int i = 0; i < 200; ++i) {
    for (const auto& listen : {this->callers, this->operators}) {
      this->ExpectAnswerOrClose(listen, random.Next(600));
    }
    RawConnection link(this->links);
    ASSERT_TRUE(link.Connected());
    link.Send(random.Next(2000));
    link.EndSending();
    std::string ignored;
    EXPECT_TRUE(link.ReadToEnd(seconds(5), ignored));
  }
  this->ExpectServing();
}

// Guards against a nearly valid request that passes the HTTP parser and fails
// in a reader of headers, JSON or rows.
TEST_F(HardeningTest, Ports_MutatedRequests_AnswerOrCloseAndServeOn) {
  RandomBytes random(Seed());
  const json change = {{"change_id", "mutated"},
                       {"base_version", 0},
                       {"upserts", {{{"name", "b"}, {"share", 1}}}}};
  const json announcement = {{"name", "other"},  {"address", "127.0.0.1"},
                             {"port", 9},        {"pool", "none"},
                             {"zone", "zone-1"}, {"epoch", 1},
                             {"slots", 4},       {"connections", 4}};
  for (int i = 0; i < 150; ++i) {
    this->ExpectAnswerOrClose(this->callers,
                              random.Mutate(this->CallerRequest()));
    // Version 0 isn't in force, so that no change of a table is accepted.
    this->ExpectAnswerOrClose(
        this->operators,
        random.Mutate(
            Post("/v1/tables/teams", this->operator_key, change.dump())));
    // The body alone is changed, so that the parser gets all of it.
    this->ExpectAnswerOrClose(this->operators,
                              Post("/v1/tables/teams", this->operator_key,
                                   random.Mutate(change.dump())));
    this->ExpectAnswerOrClose(this->operators,
                              Post("/v1/announcements", this->platform_key,
                                   random.Mutate(announcement.dump())));
    this->ExpectAnswerOrClose(
        this->operators, Post("/v1/workers/other/report", this->platform_key,
                              random.Mutate(R"({"name":"other","epoch":1})")));
  }
  this->ExpectServing();
}

// Guards against a number beyond double, which the JSON library refuses with
// an exception other than its parse error.
TEST_F(HardeningTest, Operators_NumberBeyondDouble_Is4xxAndServesOn) {
  for (const char* path : {"/v1/tables/teams", "/v1/keys"}) {
    const Reply reply =
        this->cluster.Operate(0, "POST", path, R"({"base_version": 1e999})");
    EXPECT_EQ(reply.status / 100, 4) << path << reply.body;
  }
  this->ExpectServing();
}

// Guards against an exception of the JSON library that ends the node thread:
// text that isn't UTF-8, and deep nesting.
TEST_F(HardeningTest, Ports_TextThatJsonLibraryRefuses_Is4xxAndServesOn) {
  const std::string high = "\xff\xfe\x80";
  std::string deep(100'000, '[');
  for (const auto& body :
       {R"({"change_id": ")" + high + R"("})", deep,
        std::string(R"({"change_id": "\ud800"})"), std::string("\0\0", 2)}) {
    for (const char* path : {"/v1/tables/teams", "/v1/keys", "/v1/waves"}) {
      this->ExpectAnswerOrClose(this->operators,
                                Post(path, this->operator_key, body));
    }
    for (const char* path : {"/v1/announcements", "/v1/workers/w/report"}) {
      this->ExpectAnswerOrClose(this->operators,
                                Post(path, this->platform_key, body));
    }
    ASSERT_TRUE(this->cluster.Daemon(0).Running()) << body.substr(0, 40);
  }
  for (const std::string& path :
       {"/v1/" + high, "/v1/tables/" + high, "/v1/keys/" + high,
        std::string("/v1/"), std::string("/"), "/v1/keys/a?change_id=" + high,
        std::string("//v1//keys//")}) {
    for (const char* method : {"GET", "POST", "DELETE"}) {
      this->ExpectAnswerOrClose(this->operators,
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
      this->ExpectAnswerOrClose(this->callers, request);
    }
  }
  this->ExpectServing();
}

// Guards against limits of section 10 that don't hold.
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
    RawConnection connection(this->callers);
    ASSERT_TRUE(connection.Connected());
    connection.Send(bytes);
    std::string answer;
    EXPECT_TRUE(connection.ReadToEnd(seconds(15), answer));
    const int status = FirstStatus(answer);
    EXPECT_TRUE(status == 0 || status / 100 == 4) << answer;
    if (std::string_view(name) == "60 KiB of headers") {
      EXPECT_EQ(status, 431)
          << "a sum of small fields is refused with a reason";
    }
  }
  this->ExpectServing();
}

// Guards against slow senders and half-open connections that are kept for
// ever, or that keep others from being served.
TEST_F(HardeningTest, Connections_SlowOrHalfOpen_AreClosedInTime) {
  std::vector<std::unique_ptr<RawConnection>> open;
  const std::string whole = this->CallerRequest();
  for (int i = 0; i < 100; ++i) {
    for (const auto& listen : {this->callers, this->operators, this->links}) {
      open.push_back(std::make_unique<RawConnection>(listen));
      ASSERT_TRUE(open.back()->Connected());
    }
    open[open.size() - 3]->Send(whole.substr(0, 1 + i % (whole.size() - 1)));
  }
  this->ExpectServing();
  const auto start = std::chrono::steady_clock::now();
  // A byte each 200 ms mustn't extend the time that a request may take.
  RawConnection slow(this->callers);
  std::size_t sent = 0;
  while (sent < whole.size() && slow.Send(whole.substr(sent, 1))) {
    ++sent;
    SleepFor(milliseconds(200));
  }
  EXPECT_LT(sent, whole.size());
  EXPECT_LT(std::chrono::steady_clock::now() - start, seconds(20));
  for (std::size_t i = 0; i < open.size(); ++i) {
    std::string ignored;
    EXPECT_TRUE(open[i]->ReadToEnd(seconds(5), ignored)) << "connection " << i;
  }
  this->ExpectServing();
}

// Guards against memory or descriptors that each connection leaves behind.
TEST_F(HardeningTest, Ports_ThousandsOfShortConnections_MemoryStaysBounded) {
  RandomBytes random(Seed());
  const auto round = [&] {
    for (int i = 0; i < 1000; ++i) {
      for (const auto& listen : {this->callers, this->operators, this->links}) {
        const RawConnection connection(listen);
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
  // 12,000 connections that keep 1 KiB each would exceed it.
  EXPECT_LT(growth, 12'000 * 1024);
}

}  // namespace
}  // namespace mimosastage::testing
