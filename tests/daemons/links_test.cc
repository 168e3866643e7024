#include "mimosastage/daemons/links.h"

#include <gtest/gtest.h>

#include <asio.hpp>
#include <condition_variable>
#include <map>
#include <mutex>
#include <vector>

#include "mimosastage/base/daemon_id.h"
#include "mimosastage/daemons/frame_authenticator.h"
#include "mimosastage/daemons/link_change_limiter.h"
#include "mimosastage/daemons/message_codec.h"

namespace mimosastage {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kWaitTimeout{30};

class FrameAuthenticatorTest : public ::testing::Test {
 protected:
  LinkEndpoint a{DaemonId{0}, GenerateLinkNonce()};
  LinkEndpoint b{DaemonId{1}, GenerateLinkNonce()};
  FrameAuthenticator sender{"secret", this->a, this->b};
  FrameAuthenticator receiver{"secret", this->a, this->b};
};

// Guards against injected, modified, replayed and reordered frames.
TEST_F(FrameAuthenticatorTest,
       FrameAuthenticator_ForgedOrReplayedFrame_IsRefused) {
  const std::string first = this->sender.NextTag("one");
  const std::string second = this->sender.NextTag("two");
  EXPECT_FALSE(this->receiver.VerifyNext("two", second));
  EXPECT_FALSE(this->receiver.VerifyNext("0ne", first));
  EXPECT_TRUE(this->receiver.VerifyNext("one", first));
  EXPECT_FALSE(this->receiver.VerifyNext("one", first));
  EXPECT_TRUE(this->receiver.VerifyNext("two", second));
  FrameAuthenticator other_key_sender("guess", this->a, this->b);
  EXPECT_FALSE(
      this->receiver.VerifyNext("three", other_key_sender.NextTag("three")));
}

// Guards against tags that daemons of other releases refuse.
TEST_F(FrameAuthenticatorTest, NextTag_KnownKeyAndNonces_IsTheTagOfTheFormat) {
  LinkNonce nonce{};
  nonce.fill('n');
  FrameAuthenticator known("secret", LinkEndpoint{DaemonId{1}, nonce},
                           LinkEndpoint{DaemonId{2}, nonce});
  const auto hex = [](const std::string& tag) {
    std::string text;
    for (const char byte : tag) {
      constexpr std::string_view kDigits = "0123456789abcdef";
      text += kDigits[static_cast<unsigned char>(byte) >> 4U];
      text += kDigits[static_cast<unsigned char>(byte) & 15U];
    }
    return text;
  };
  EXPECT_EQ(hex(known.NextTag("one")), "1ae438a40c0beb99af4f0872393e19b3");
  EXPECT_EQ(hex(known.NextTag("")), "b275ecf206979bc2fa0fc82a78408d3b");
}

/// A Links object that records what its hooks report.
class TestPeer {
 public:
  explicit TestPeer(Links::Settings settings)
      : links(std::move(settings),
              {[this](DaemonId, std::string&& message) {
                 const std::lock_guard lock(this->mutex);
                 this->received.push_back(std::move(message));
                 this->changed.notify_all();
               },
               [this](DaemonId, bool up) {
                 const std::lock_guard lock(this->mutex);
                 this->up = up;
                 this->up_count += up ? 1 : 0;
                 this->changed.notify_all();
               },
               [this](std::string_view reason) {
                 const std::lock_guard lock(this->mutex);
                 ++this->drop_counts[std::string(reason)];
                 this->changed.notify_all();
               },
               [](std::size_t, std::size_t) {}, [this] { this->SendPending(); },
               [this](const DaemonIdConflict& conflict) {
                 const std::lock_guard lock(this->mutex);
                 this->conflicts.push_back(conflict);
                 this->changed.notify_all();
               }}) {}

  template <class Condition>
  bool WaitFor(Condition condition) {
    std::unique_lock lock(this->mutex);
    return this->changed.wait_for(lock, kWaitTimeout, condition);
  }

  void QueueMessage(DaemonId to, std::string message) {
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
  std::map<std::string, int> drop_counts;
  std::vector<DaemonIdConflict> conflicts;
  bool up = false;
  int up_count = 0;
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

/// A TCP proxy that forwards bytes between a dialling peer and a target, or
/// discards them without closing the connection.
class BlackholeProxy {
 public:
  explicit BlackholeProxy(std::uint16_t target) : target(target) {
    this->Accept();
    this->thread = std::thread([this] { this->io.run(); });
  }
  ~BlackholeProxy() {
    asio::post(this->io, [this] { this->io.stop(); });
    this->thread.join();
  }
  std::uint16_t Port() const { return this->acceptor.local_endpoint().port(); }

  /// Discards all further bytes on the connections that are open now. New
  /// connections are forwarded.
  void BlackholeOpenConnections() {
    asio::post(this->io, [this] {
      for (auto& flag : this->discard_flags) {
        *flag = true;
      }
    });
  }

 private:
  using Socket = std::shared_ptr<asio::ip::tcp::socket>;

  void Accept() {
    this->acceptor.async_accept(
        [this](asio::error_code error, asio::ip::tcp::socket accepted) {
          if (error) {
            return;
          }
          auto client =
              std::make_shared<asio::ip::tcp::socket>(std::move(accepted));
          auto server = std::make_shared<asio::ip::tcp::socket>(this->io);
          asio::error_code connect_error;
          server->connect({asio::ip::address_v4::loopback(), this->target},
                          connect_error);
          auto discard = std::make_shared<bool>(false);
          this->discard_flags.push_back(discard);
          this->Forward(client, server, discard);
          this->Forward(server, client, discard);
          this->Accept();
        });
  }

  void Forward(const Socket& from, const Socket& to,
               const std::shared_ptr<bool>& discard) {
    auto buffer = std::make_shared<std::array<char, 4096>>();
    from->async_read_some(
        asio::buffer(*buffer), [this, from, to, discard, buffer](
                                   asio::error_code error, std::size_t size) {
          if (error) {
            asio::error_code ignored;
            if (!*discard) {
              to->close(ignored);
            }
            return;
          }
          asio::error_code ignored;
          if (!*discard) {
            asio::write(*to, asio::buffer(*buffer, size), ignored);
          }
          this->Forward(from, to, discard);
        });
  }

  asio::io_context io{1};
  std::uint16_t target;
  asio::ip::tcp::acceptor acceptor{this->io,
                                   {asio::ip::address_v4::loopback(), 0}};
  std::vector<std::shared_ptr<bool>> discard_flags;
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

// Guards against lost, modified or reordered messages on a working link.
TEST_F(LinksTest, Links_BothEndsKnowKey_MessagesArriveInOrder) {
  TestPeer low(SettingsFor(0, 1, 0));
  const auto port = low.links.Start();
  ASSERT_TRUE(port.has_value());
  TestPeer high(SettingsFor(1, 0, *port));
  ASSERT_TRUE(high.links.Start().has_value());
  ASSERT_TRUE(high.WaitFor([&] { return high.up; }));
  ASSERT_TRUE(low.WaitFor([&] { return low.up; }));
  std::vector<std::string> sent;
  for (std::size_t i = 0; i < 100; ++i) {
    sent.push_back(std::to_string(i) + std::string(97UL * i, 'x'));
    high.QueueMessage(DaemonId{0}, sent.back());
  }
  ASSERT_TRUE(low.WaitFor([&] { return low.received.size() == sent.size(); }));
  EXPECT_EQ(low.received, sent);
}

// Guards against a link that is closed because a message of the largest size
// still waits when the next one is sent. The peer would receive it again after
// the reconnect, and the link would be closed again.
TEST_F(LinksTest, Links_LargestMessageBeforeOthers_AllArriveOnOneLink) {
  TestPeer low(SettingsFor(0, 1, 0));
  const auto port = low.links.Start();
  ASSERT_TRUE(port.has_value());
  TestPeer high(SettingsFor(1, 0, *port));
  ASSERT_TRUE(high.links.Start().has_value());
  ASSERT_TRUE(high.WaitFor([&] { return high.up; }));
  ASSERT_TRUE(low.WaitFor([&] { return low.up; }));
  std::vector<std::string> sent{"before",
                                std::string(Links::kMaxMessageBytes, 'x')};
  for (int i = 0; i < 100; ++i) {
    sent.push_back(std::to_string(i));
  }
  for (const std::string& message : sent) {
    high.QueueMessage(DaemonId{0}, message);
  }
  EXPECT_TRUE(low.WaitFor([&] { return low.received.size() >= sent.size(); }));
  EXPECT_TRUE(low.received == sent);
  EXPECT_EQ(high.drop_counts["peer_too_slow"], 0);
  EXPECT_EQ(high.up_count, 1);
}

// Guards against a frame that is cut or overwritten where its space is
// extended.
TEST_F(LinksTest, Links_MessagesAroundTheReadStep_ArriveUnchanged) {
  TestPeer low(SettingsFor(0, 1, 0));
  const auto port = low.links.Start();
  ASSERT_TRUE(port.has_value());
  TestPeer high(SettingsFor(1, 0, *port));
  ASSERT_TRUE(high.links.Start().has_value());
  ASSERT_TRUE(high.WaitFor([&] { return high.up; }));
  ASSERT_TRUE(low.WaitFor([&] { return low.up; }));
  std::vector<std::string> sent;
  for (const std::size_t steps : {1U, 2U, 3U, 4U}) {
    for (std::size_t less = 0; less <= 40; less += 4) {
      std::string message((steps << 16U) - less, '\0');
      for (std::size_t i = 0; i < message.size(); ++i) {
        message[i] = static_cast<char>(i * 31 >> 8U);
      }
      sent.push_back(std::move(message));
    }
  }
  // One by one, because all together exceed the queue of a link.
  for (std::size_t i = 0; i < sent.size(); ++i) {
    high.QueueMessage(DaemonId{0}, sent[i]);
    ASSERT_TRUE(low.WaitFor([&] { return low.received.size() > i; }));
  }
  EXPECT_TRUE(low.received == sent);
  EXPECT_EQ(low.up_count, 1);
}

// Guards against messages from a sender that doesn't know the link key.
TEST_F(LinksTest, Links_PeerHasWrongKey_NeverComesUp) {
  TestPeer low(SettingsFor(0, 1, 0));
  const auto port = low.links.Start();
  ASSERT_TRUE(port.has_value());
  Links::Settings wrong_key_settings = SettingsFor(1, 0, *port);
  wrong_key_settings.link_key = "guess";
  TestPeer high(wrong_key_settings);
  ASSERT_TRUE(high.links.Start().has_value());
  EXPECT_TRUE(
      low.WaitFor([&] { return low.drop_counts["bad_frame_tag"] > 1; }));
  EXPECT_EQ(low.up_count, 0);
}

// Guards against a connection that is kept although it no longer delivers any
// bytes and a new one would work.
TEST_F(LinksTest, Links_ConnectionSwallowsBytes_IsReplaced) {
  TestPeer low(SettingsFor(0, 1, 0));
  const auto port = low.links.Start();
  ASSERT_TRUE(port.has_value());
  BlackholeProxy proxy(*port);
  TestPeer high(SettingsFor(1, 0, proxy.Port()));
  ASSERT_TRUE(high.links.Start().has_value());
  ASSERT_TRUE(high.WaitFor([&] { return high.up; }));
  proxy.BlackholeOpenConnections();
  ASSERT_TRUE(high.WaitFor([&] { return high.up_count >= 2 && high.up; }));
  EXPECT_GT(high.drop_counts["link_silent"], 0);
  ASSERT_TRUE(low.WaitFor([&] { return low.up; }));
  high.QueueMessage(DaemonId{0}, "after");
  EXPECT_TRUE(low.WaitFor(
      [&] { return !low.received.empty() && low.received.back() == "after"; }));
}

// Guards against entries that can't connect because the voters' settings don't
// list them, and against two such entries being treated as one.
TEST_F(LinksTest, Links_TwoAnonymousDaemons_GetDistinctIds) {
  Links::Settings voter_settings = SettingsFor(0, 1, 0);
  voter_settings.accept_anonymous = true;
  TestPeer voter(voter_settings);
  const auto port = voter.links.Start();
  ASSERT_TRUE(port.has_value());
  Links::Settings entry_settings = SettingsFor(0, 0, *port);
  entry_settings.own.daemon = kAnonymousDaemon;
  TestPeer first_entry(entry_settings);
  TestPeer second_entry(entry_settings);
  ASSERT_TRUE(first_entry.links.Start().has_value());
  ASSERT_TRUE(second_entry.links.Start().has_value());
  ASSERT_TRUE(voter.WaitFor([&] { return voter.up_count == 2; }));
  // A message sent before the sender has authenticated the voter is dropped.
  ASSERT_TRUE(first_entry.WaitFor([&] { return first_entry.up; }));
  ASSERT_TRUE(second_entry.WaitFor([&] { return second_entry.up; }));
  first_entry.QueueMessage(DaemonId{0}, "one");
  second_entry.QueueMessage(DaemonId{0}, "two");
  EXPECT_TRUE(voter.WaitFor([&] { return voter.received.size() == 2; }));
}

// Guards against an entry that leaves the connection to a voter whose id is
// higher than that of all anonymous daemons.
TEST_F(LinksTest, Links_AnonymousDaemonAndAddressId_ComesUp) {
  const DaemonId voter_id = *DaemonIdFromAddress("127.0.0.1", 7000);
  Links::Settings voter_settings = SettingsFor(0, 1, 0);
  voter_settings.own.daemon = voter_id;
  voter_settings.accept_anonymous = true;
  TestPeer voter(voter_settings);
  const auto port = voter.links.Start();
  ASSERT_TRUE(port.has_value());
  Links::Settings entry_settings = SettingsFor(0, 0, *port);
  entry_settings.own.daemon = kAnonymousDaemon;
  entry_settings.peers[0].daemon = voter_id;
  TestPeer entry(entry_settings);
  ASSERT_TRUE(entry.links.Start().has_value());
  EXPECT_TRUE(entry.WaitFor([&] { return entry.up; }));
  EXPECT_TRUE(voter.WaitFor([&] { return voter.up; }));
}

TEST_F(LinksTest, Links_AnonymousDaemonsNotAccepted_NeverComesUp) {
  TestPeer voter(SettingsFor(0, 1, 0));
  const auto port = voter.links.Start();
  ASSERT_TRUE(port.has_value());
  Links::Settings entry_settings = SettingsFor(0, 0, *port);
  entry_settings.own.daemon = kAnonymousDaemon;
  TestPeer anonymous(entry_settings);
  ASSERT_TRUE(anonymous.links.Start().has_value());
  EXPECT_TRUE(
      voter.WaitFor([&] { return voter.drop_counts["unknown_daemon"] > 1; }));
  EXPECT_EQ(voter.up_count, 0);
}

// Guards against a second daemon with copied settings that takes the links of
// the first one, over and over.
TEST_F(LinksTest, Links_SecondProcessWithOneId_IsRefusedAndReportedOnce) {
  TestPeer low(SettingsFor(0, 1, 0));
  const auto port = low.links.Start();
  ASSERT_TRUE(port.has_value());
  TestPeer first(SettingsFor(1, 0, *port));
  ASSERT_TRUE(first.links.Start().has_value());
  ASSERT_TRUE(low.WaitFor([&] { return low.up; }));
  ASSERT_TRUE(first.WaitFor([&] { return first.up; }));
  TestPeer second(SettingsFor(1, 0, *port));
  ASSERT_TRUE(second.links.Start().has_value());
  ASSERT_TRUE(low.WaitFor([&] { return !low.conflicts.empty(); }));
  ASSERT_TRUE(
      low.WaitFor([&] { return low.drop_counts["daemon_id_in_use"] > 3; }));
  first.QueueMessage(DaemonId{0}, "first");
  ASSERT_TRUE(low.WaitFor([&] { return low.received.size() == 1; }));
  {
    const std::lock_guard lock(low.mutex);
    EXPECT_EQ(low.up_count, 1) << "the first link must not be replaced";
    ASSERT_EQ(low.conflicts.size(), 1U);
    EXPECT_EQ(low.conflicts[0].daemon, DaemonId{1});
    EXPECT_TRUE(low.conflicts[0].first.starts_with("127.0.0.1:"));
    EXPECT_TRUE(low.conflicts[0].second.starts_with("127.0.0.1:"));
    EXPECT_NE(low.conflicts[0].first, low.conflicts[0].second);
    EXPECT_GT(low.conflicts[0].refusals, 0U);
  }
  {
    const std::lock_guard lock(second.mutex);
    EXPECT_EQ(second.up_count, 0);
  }
  first.links.Stop();
  ASSERT_TRUE(second.WaitFor([&] { return second.up; }))
      << "the id is free again";
}

// Guards against an error line about a daemon that was only restarted, and
// against a restarted daemon that stays refused because nothing closed its
// former connection.
TEST_F(LinksTest, Links_RestartAfterSilentLink_ComesUpWithoutReport) {
  TestPeer low(SettingsFor(0, 1, 0));
  const auto port = low.links.Start();
  ASSERT_TRUE(port.has_value());
  BlackholeProxy proxy(*port);
  {
    TestPeer before(SettingsFor(1, 0, proxy.Port()));
    ASSERT_TRUE(before.links.Start().has_value());
    ASSERT_TRUE(low.WaitFor([&] { return low.up; }));
    proxy.BlackholeOpenConnections();
  }
  TestPeer after(SettingsFor(1, 0, *port));
  ASSERT_TRUE(after.links.Start().has_value());
  ASSERT_TRUE(after.WaitFor([&] { return after.up; }));
  ASSERT_TRUE(low.WaitFor([&] { return low.up_count == 2; }));
  const std::lock_guard lock(low.mutex);
  EXPECT_TRUE(low.conflicts.empty());
}

class LinkChangeLimiterTest : public ::testing::Test {};

// Guards against one log line for each change of a link that flaps.
TEST_F(LinkChangeLimiterTest, Allow_LinkFlaps_RestIsOneSummary) {
  LinkChangeLimiter limiter;
  TimePoint now{seconds(100)};
  int allowed = 0;
  for (int i = 0; i < 99; ++i) {
    allowed += limiter.Allow(DaemonId{1}, i % 2 == 0, now) ? 1 : 0;
    now += milliseconds(50);
  }
  EXPECT_EQ(allowed, 4);
  EXPECT_TRUE(limiter.Allow(DaemonId{2}, true, now)) << "another link";
  EXPECT_TRUE(limiter.TakeSummaries(now).empty());
  now += seconds(10);
  const auto summaries = limiter.TakeSummaries(now);
  ASSERT_EQ(summaries.size(), 1U);
  EXPECT_EQ(summaries[0].peer, DaemonId{1});
  EXPECT_EQ(summaries[0].changes, 95U);
  EXPECT_TRUE(summaries[0].up);
  EXPECT_TRUE(limiter.Allow(DaemonId{1}, false, now));
  EXPECT_TRUE(limiter.TakeSummaries(now + seconds(11)).empty());
}

class MessageCodecTest : public ::testing::Test {};

// Guards against a decoder that reads beyond its input or decodes a truncated
// message to a different one. A message without its trailing padding is valid.
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
