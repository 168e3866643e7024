#ifndef MIMOSASTAGE_TESTS_SYSTEM_SUPPORT_FLOOD_H_
#define MIMOSASTAGE_TESTS_SYSTEM_SUPPORT_FLOOD_H_

#include <sys/types.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace mimosastage::testing {

/// The bytes that each connection of a Flood sends: `start`, then `block`
/// `blocks` times.
struct FloodPayload {
  std::string start;
  std::string block;
  std::size_t blocks = 0;
};

/// Many TCP connections that send the same bytes at the same time, read nothing
/// and stay open until the flood is destroyed.
class Flood {
 public:
  /// `endpoint` is an IPv4 address and a port, as in "127.0.0.1:80".
  Flood(const std::string& endpoint, std::size_t connections,
        FloodPayload payload);
  ~Flood();
  Flood(const Flood&) = delete;
  Flood& operator=(const Flood&) = delete;

  /// Returns one second after each connection has sent everything or was
  /// closed, or none has sent a byte for two seconds. Calls `sample` now and
  /// then.
  void Send(const std::function<void()>& sample);

 private:
  struct Connection {
    int descriptor = -1;
    bool started = false;
    std::size_t blocks_sent = 0;
    std::size_t sent_of_part = 0;
    bool done = false;
  };

  void SendAll(const std::function<void()>& sample);
  /// Sends what the socket takes; returns the number of bytes.
  std::size_t SendSome(Connection& connection) const;

  FloodPayload payload;
  std::vector<Connection> connections;
};

/// Accepts connections on an address and answers each request with the start of
/// an answer that never ends.
class EndlessAnswerServer {
 public:
  /// Sends `bytes` of the body of each answer.
  EndlessAnswerServer(const std::string& address, std::size_t bytes);
  ~EndlessAnswerServer();
  EndlessAnswerServer(const EndlessAnswerServer&) = delete;
  EndlessAnswerServer& operator=(const EndlessAnswerServer&) = delete;

  std::uint16_t Port() const { return this->port; }

 private:
  void Run();

  std::size_t bytes;
  int listener = -1;
  int stop_event = -1;
  std::uint16_t port = 0;
  std::thread thread;
};

/// The most memory that the process has had resident since its start, or since
/// the last reset.
std::size_t PeakResidentBytes(pid_t process);
void ResetPeakResidentBytes(pid_t process);
std::size_t OpenDescriptors(pid_t process);

}  // namespace mimosastage::testing

#endif  // MIMOSASTAGE_TESTS_SYSTEM_SUPPORT_FLOOD_H_
