#include "mimosastage/daemons/links.h"

#include <gtest/gtest.h>

#include <asio.hpp>
#include <condition_variable>
#include <map>
#include <mutex>
#include <vector>

#include "mimosastage/daemons/frame_seal.h"
#include "mimosastage/daemons/message_codec.h"

namespace mimosastage {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kGenerous{30};

class FrameSealTest : public ::testing::Test {
 protected:
  LinkEnd a{DaemonId{0}, MakeLinkNonce()};
  LinkEnd b{DaemonId{1}, MakeLinkNonce()};
  FrameSeal sender{"secret", this->a, this->b};
  FrameSeal receiver{"secret", this->a, this->b};
};

// Guards against injected, changed, replayed and reordered frames.
TEST_F(FrameSealTest, FrameSeal_ForgedOrReplayedFrame_IsRefused) {
  const std::string first = this->sender.NextTag("one");
  const std::string second = this->sender.NextTag("two");
  EXPECT_FALSE(this->receiver.VerifyNext("two", second));
  EXPECT_FALSE(this->receiver.VerifyNext("0ne", first));
  EXPECT_TRUE(this->receiver.VerifyNext("one", first));
  EXPECT_FALSE(this->receiver.VerifyNext("one", first));
  EXPECT_TRUE(this->receiver.VerifyNext("two", second));
  FrameSeal stranger("guess", this->a, this->b);
  EXPECT_FALSE(this->receiver.VerifyNext("three", stranger.NextTag("three")));
}

/// A Links object with a log of what it received.
class Peer {
 public:
  explicit Peer(Links::Settings settings)
      : links(std::move(settings),
              {[this](DaemonId, std::string&& message) {
                 const std::lock_guard lock(this->mutex);
                 this->received.push_back(std::move(message));
                 this->changed.notify_all();
               },
               [this](DaemonId, bool up) {
                 const std::lock_guard lock(this->mutex);
                 this->up = up;
                 this->ups += up ? 1 : 0;
                 this->changed.notify_all();
               },
               [this](std::string_view reason) {
                 const std::lock_guard lock(this->mutex);
                 ++this->drops[std::string(reason)];
                 this->changed.notify_all();
               },
               [](std::size_t, std::size_t) {},
               [this] { this->SendPending(); }}) {}

  template <class Condition>
  bool WaitFor(Condition condition) {
    std::unique_lock lock(this->mutex);
    return this->changed.wait_for(lock, kGenerous, condition);
  }

  void SendLater(DaemonId to, std::string message) {
    {
      const std::lock_guard lock(this->mutex);
      this->pending.emplace_back(to, std::move(message));
    }
    this->links.Wake();
  }

  std::mutex mutex;
  std::condition_variable changed;
  std::vector<std::string> received;
  std::vector<std::pair<DaemonId, std::string>> pending;
  std::map<std::string, int> drops;
  bool up = false;
  int ups = 0;
  Links links;

 private:
  void SendPending() {
    std::vector<std::pair<DaemonId, std::string>> batch;
    {
      const std::lock_guard lock(this->mutex);
      batch.swap(this->pending);
    }
    for (auto& [to, message] : batch) {
      this->links.Send(to, std::move(message));
    }
  }
};

/// Forwards bytes between a dialling peer and a target, or swallows them.
class SwallowingProxy {
 public:
  explicit SwallowingProxy(std::uint16_t target) : target(target) {
    this->Accept();
    this->thread = std::thread([this] { this->io.run(); });
  }
  ~SwallowingProxy() {
    asio::post(this->io, [this] { this->io.stop(); });
    this->thread.join();
  }
  std::uint16_t Port() const { return this->acceptor.local_endpoint().port(); }

  /// Connections that are open now go silent for good; new ones work.
  void SwallowOpenConnections() {
    asio::post(this->io, [this] {
      for (auto& flag : this->swallowing) {
        *flag = true;
      }
    });
  }

 private:
  using Socket = std::shared_ptr<asio::ip::tcp::socket>;

  void Accept() {
    this->acceptor.async_accept([this](asio::error_code error,
                                       asio::ip::tcp::socket accepted) {
      if (error) {
        return;
      }
      auto near = std::make_shared<asio::ip::tcp::socket>(std::move(accepted));
      auto far = std::make_shared<asio::ip::tcp::socket>(this->io);
      asio::error_code failed;
      far->connect({asio::ip::address_v4::loopback(), this->target}, failed);
      auto swallow = std::make_shared<bool>(false);
      this->swallowing.push_back(swallow);
      this->Pump(near, far, swallow);
      this->Pump(far, near, swallow);
      this->Accept();
    });
  }

  void Pump(const Socket& from, const Socket& to,
            const std::shared_ptr<bool>& swallow) {
    auto buffer = std::make_shared<std::array<char, 4096>>();
    from->async_read_some(
        asio::buffer(*buffer), [this, from, to, swallow, buffer](
                                   asio::error_code error, std::size_t size) {
          if (error) {
            asio::error_code ignored;
            if (!*swallow) {
              to->close(ignored);
            }
            return;
          }
          asio::error_code ignored;
          if (!*swallow) {
            asio::write(*to, asio::buffer(*buffer, size), ignored);
          }
          this->Pump(from, to, swallow);
        });
  }

  asio::io_context io{1};
  std::uint16_t target;
  asio::ip::tcp::acceptor acceptor{this->io,
                                   {asio::ip::address_v4::loopback(), 0}};
  std::vector<std::shared_ptr<bool>> swallowing;
  std::thread thread;
};

class LinksTest : public ::testing::Test {
 protected:
  static Links::Settings SettingsFor(std::uint16_t own, std::uint16_t other,
                                     std::uint16_t other_port) {
    Links::Settings settings;
    settings.cluster = "test";
    settings.own = {DaemonId{own}, "127.0.0.1", 0};
    settings.peers = {{DaemonId{other}, "127.0.0.1", other_port}};
    settings.link_key = "secret";
    settings.heartbeat = milliseconds(50);
    settings.silence_limit = milliseconds(1000);
    return settings;
  }
};

// Guards against messages that get lost, changed or reordered on a whole link.
TEST_F(LinksTest, Links_BothEndsKnowKey_MessagesArriveInOrder) {
  Peer low(SettingsFor(0, 1, 0));
  const auto port = low.links.Start();
  ASSERT_TRUE(port.has_value());
  Peer high(SettingsFor(1, 0, *port));
  ASSERT_TRUE(high.links.Start().has_value());
  ASSERT_TRUE(high.WaitFor([&] { return high.up; }));
  ASSERT_TRUE(low.WaitFor([&] { return low.up; }));
  std::vector<std::string> sent;
  for (std::size_t i = 0; i < 100; ++i) {
    sent.push_back(std::to_string(i) + std::string(97UL * i, 'x'));
    high.SendLater(DaemonId{0}, sent.back());
  }
  ASSERT_TRUE(low.WaitFor([&] { return low.received.size() == sent.size(); }));
  EXPECT_EQ(low.received, sent);
}

// Guards against a stranger on the network who injects messages.
TEST_F(LinksTest, Links_PeerHasWrongKey_NeverComesUp) {
  Peer low(SettingsFor(0, 1, 0));
  const auto port = low.links.Start();
  ASSERT_TRUE(port.has_value());
  Links::Settings wrong = SettingsFor(1, 0, *port);
  wrong.link_key = "guess";
  Peer high(wrong);
  ASSERT_TRUE(high.links.Start().has_value());
  EXPECT_TRUE(low.WaitFor([&] { return low.drops["bad_frame_tag"] > 1; }));
  EXPECT_EQ(low.ups, 0);
}

// Guards against a connection that goes silent for good and is kept, although
// a new one would work.
TEST_F(LinksTest, Links_ConnectionSwallowsBytes_IsReplaced) {
  Peer low(SettingsFor(0, 1, 0));
  const auto port = low.links.Start();
  ASSERT_TRUE(port.has_value());
  SwallowingProxy proxy(*port);
  Peer high(SettingsFor(1, 0, proxy.Port()));
  ASSERT_TRUE(high.links.Start().has_value());
  ASSERT_TRUE(high.WaitFor([&] { return high.up; }));
  proxy.SwallowOpenConnections();
  ASSERT_TRUE(high.WaitFor([&] { return high.ups >= 2 && high.up; }));
  EXPECT_GT(high.drops["link_silent"], 0);
  ASSERT_TRUE(low.WaitFor([&] { return low.up; }));
  high.SendLater(DaemonId{0}, "after");
  EXPECT_TRUE(low.WaitFor(
      [&] { return !low.received.empty() && low.received.back() == "after"; }));
}

// Entries that the voters' settings don't list must reach the leader, and two
// of them must not be taken for one.
TEST_F(LinksTest, Links_TwoGuests_EachHasAnIdOfItsOwn) {
  Links::Settings open = SettingsFor(0, 1, 0);
  open.accept_guests = true;
  Peer voter(open);
  const auto port = voter.links.Start();
  ASSERT_TRUE(port.has_value());
  Links::Settings entry = SettingsFor(0, 0, *port);
  entry.own.daemon = kGuest;
  Peer one(entry);
  Peer two(entry);
  ASSERT_TRUE(one.links.Start().has_value());
  ASSERT_TRUE(two.links.Start().has_value());
  ASSERT_TRUE(voter.WaitFor([&] { return voter.ups == 2; }));
  // A message that is sent before its sender's end is proved is dropped.
  ASSERT_TRUE(one.WaitFor([&] { return one.up; }));
  ASSERT_TRUE(two.WaitFor([&] { return two.up; }));
  one.SendLater(DaemonId{0}, "one");
  two.SendLater(DaemonId{0}, "two");
  EXPECT_TRUE(voter.WaitFor([&] { return voter.received.size() == 2; }));
}

TEST_F(LinksTest, Links_GuestsAreNotAccepted_NeverComesUp) {
  Peer voter(SettingsFor(0, 1, 0));
  const auto port = voter.links.Start();
  ASSERT_TRUE(port.has_value());
  Links::Settings entry = SettingsFor(0, 0, *port);
  entry.own.daemon = kGuest;
  Peer guest(entry);
  ASSERT_TRUE(guest.links.Start().has_value());
  EXPECT_TRUE(voter.WaitFor([&] { return voter.drops["unknown_daemon"] > 1; }));
  EXPECT_EQ(voter.ups, 0);
}

class MessageCodecTest : public ::testing::Test {};

// Guards against a decoder that reads outside its input or takes a cut message
// for another one. A message without its trailing padding is still whole.
TEST_F(MessageCodecTest, MessageCodec_CutBytes_DecodeToTheSameOrNotAtAll) {
  const Proposal proposal{{DaemonId{3}, SessionId{77}}, 5, "command"};
  const std::string bytes = EncodeMessage(proposal);
  ASSERT_TRUE(DecodeMessage(bytes).has_value());
  for (std::size_t size = 0; size <= bytes.size(); ++size) {
    const auto decoded = DecodeMessage(bytes.substr(0, size));
    if (decoded.has_value()) {
      EXPECT_EQ(std::get<Proposal>(*decoded), proposal) << size;
      EXPECT_GT(size + 8, bytes.size());
    }
  }
}

}  // namespace
}  // namespace mimosastage
