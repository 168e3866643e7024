#include "mimosastage/replication/message_codec.h"

#include <gtest/gtest.h>

#include <random>
#include <string>
#include <vector>

#include "mimosastage/replication/replication_error.h"

namespace mimosastage {
namespace {

std::vector<ReplicationMessage> OneOfEach() {
  const std::vector<LogEntry> entries{{7, 3, std::string("a\0b", 3)},
                                      {8, 4, ""}};
  const std::vector<std::pair<DaemonId, std::uint64_t>> incarnations{
      {DaemonId{2}, 77}};
  return {Prepare{1, 2, 3, 4, 5, 6, entries},
          PrepareOk{1, 2, 3, false},
          StartViewChange{9},
          DoViewChange{1, 2, 3, 4, entries, incarnations},
          StartView{1, 2, 3, entries},
          Recovery{1, 2, true, {5, 6}},
          RecoveryResponse{1, 2, true, 3, 4, 5, incarnations},
          GetState{1, 2, 3, 4},
          NewState{1, 2, entries},
          SnapshotPart{1, 2, 3, 4, 10, "part"},
          StreamEntries{1, 2, entries},
          LeaseRequest{1, SessionId{2}, 3},
          LeaseGrant{1, 2, 3}};
}

class MessageCodecTest : public ::testing::Test {};

// Guards against a field that is lost or swapped on the wire. A decoded message
// must encode to the same bytes. No two fields of a sample have the same value,
// so that a swap changes the bytes.
TEST_F(MessageCodecTest, Decode_EachMessage_RoundTrips) {
  for (const ReplicationMessage& message : OneOfEach()) {
    const std::string bytes = Encode(message);
    const auto decoded = Decode(bytes);
    ASSERT_TRUE(decoded.has_value()) << "kind " << message.index();
    EXPECT_EQ(decoded->index(), message.index());
    EXPECT_EQ(Encode(*decoded), bytes);
  }
  const auto prepare = Decode(Encode(OneOfEach()[0]));
  const auto& fields = std::get<Prepare>(*prepare);
  EXPECT_EQ(fields.view, 1);
  EXPECT_EQ(fields.previous_index, 2);
  EXPECT_EQ(fields.previous_view, 3);
  EXPECT_EQ(fields.commit, 4);
  EXPECT_EQ(fields.view_start, 5);
  EXPECT_EQ(fields.round, 6);
  EXPECT_EQ(fields.entries[0].command, std::string("a\0b", 3));
}

// Guards against a crash or an out-of-bounds read on corrupt bytes from a peer.
TEST_F(MessageCodecTest, Decode_DamagedBytes_NeverCrashes) {
  std::mt19937_64 random(1);
  for (int i = 0; i < 200'000; ++i) {
    const auto messages = OneOfEach();
    std::string bytes = Encode(messages[random() % messages.size()]);
    bytes.resize(bytes.size() - random() % 2 * (random() % bytes.size()));
    for (std::uint64_t flips = 1 + random() % 4; flips > 0; --flips) {
      bytes[random() % bytes.size()] = static_cast<char>(random());
    }
    if (const auto decoded = Decode(bytes); decoded.has_value()) {
      Encode(*decoded);
    } else {
      EXPECT_EQ(decoded.error(), ReplicationError::kMalformedMessage);
    }
  }
}

// Guards against entries with gaps or index 0, which the log can't handle.
TEST_F(MessageCodecTest, Decode_EntriesNotContiguous_IsMalformed) {
  for (const std::vector<LogEntry>& entries :
       {std::vector<LogEntry>{{0, 1, "a"}},
        std::vector<LogEntry>{{1, 1, "a"}, {3, 1, "b"}}}) {
    EXPECT_EQ(Decode(Encode(NewState{1, 1, entries})).error(),
              ReplicationError::kMalformedMessage);
  }
}

}  // namespace
}  // namespace mimosastage
