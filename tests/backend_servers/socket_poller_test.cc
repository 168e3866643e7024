#include "mimosastage/backend_servers/internal/socket_poller.h"

#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <thread>
#include <vector>

namespace mimosastage::internal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Two connected sockets, closed by the destructor.
class SocketPair {
 public:
  SocketPair() {
    EXPECT_EQ(
        socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, this->ends.data()),
        0);
  }
  ~SocketPair() {
    close(this->ends[0]);
    close(this->ends[1]);
  }
  SocketPair(const SocketPair&) = delete;
  SocketPair& operator=(const SocketPair&) = delete;

  int Socket() const { return this->ends[0]; }
  void SendToSocket() const { EXPECT_EQ(write(this->ends[1], "x", 1), 1); }
  void ShutDownPeer() const {
    EXPECT_EQ(shutdown(this->ends[1], SHUT_RDWR), 0);
  }

 private:
  std::array<int, 2> ends{};
};

std::vector<SocketEvent> Wait(SocketPoller& poller, milliseconds timeout) {
  std::vector<SocketEvent> events;
  poller.Wait(timeout,
              [&](const SocketEvent& event) { events.push_back(event); });
  return events;
}

// Guards against an event that reaches the new owner of a socket number, which
// would take it for its own.
TEST(SocketPollerTest, Wait_HandlerReplacesOtherReadySocket_NoEventForNewOne) {
  SocketPoller poller;
  const SocketPair one;
  const SocketPair other;
  for (const SocketPair* pair : {&one, &other}) {
    poller.Watch(pair->Socket(), true, false);
    pair->SendToSocket();
  }
  const SocketPair unused;
  int calls = 0;
  poller.Wait(seconds(1), [&](const SocketEvent& event) {
    calls += 1;
    const int replaced =
        event.socket == one.Socket() ? other.Socket() : one.Socket();
    poller.Forget(replaced);
    ASSERT_EQ(dup2(unused.Socket(), replaced), replaced);
    poller.Watch(replaced, true, false);
  });
  EXPECT_EQ(calls, 1);
  EXPECT_TRUE(Wait(poller, milliseconds(0)).size() == 1);
}

// Guards against a busy loop on an idle connection that the server closed.
TEST(SocketPollerTest, Wait_PeerOfUnwatchedSocketCloses_WaitsForTimeout) {
  SocketPoller poller;
  const SocketPair pair;
  poller.Watch(pair.Socket(), true, false);
  poller.Watch(pair.Socket(), false, false);
  pair.ShutDownPeer();
  EXPECT_TRUE(Wait(poller, milliseconds(100)).empty());
  const auto start = std::chrono::steady_clock::now();
  EXPECT_TRUE(Wait(poller, milliseconds(100)).empty());
  EXPECT_GE(std::chrono::steady_clock::now() - start, milliseconds(100));
  // The next exchange on the connection learns that it was closed.
  poller.Watch(pair.Socket(), true, false);
  EXPECT_EQ(Wait(poller, milliseconds(100)).size(), 1U);
}

// Guards against an exchange that waits for its timeout because the end of its
// connection isn't reported, and against one that is told of what it doesn't
// wait for.
TEST(SocketPollerTest, Wait_PeerCloses_ReportsOnlyWhatIsWatched) {
  SocketPoller poller;
  const SocketPair pair;
  pair.ShutDownPeer();
  for (const bool read : {true, false}) {
    poller.Watch(pair.Socket(), read, !read);
    const std::vector<SocketEvent> events = Wait(poller, seconds(1));
    ASSERT_EQ(events.size(), 1U);
    EXPECT_EQ(events[0].readable, read);
    EXPECT_EQ(events[0].writable, !read);
  }
}

// Guards against a request that waits until the next socket event, because the
// interrupt came before the wait.
TEST(SocketPollerTest, Interrupt_BeforeOrDuringWait_EndsIt) {
  SocketPoller poller;
  for (const milliseconds delay : {milliseconds(0), milliseconds(50)}) {
    std::thread thread([&] {
      std::this_thread::sleep_for(delay);
      poller.Interrupt();
    });
    if (delay.count() == 0) {
      thread.join();
    }
    const auto start = std::chrono::steady_clock::now();
    EXPECT_TRUE(Wait(poller, seconds(30)).empty());
    EXPECT_LT(std::chrono::steady_clock::now() - start, seconds(20));
    if (thread.joinable()) {
      thread.join();
    }
  }
}

}  // namespace
}  // namespace mimosastage::internal
