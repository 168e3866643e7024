#include "mimosastage/base/daemon_id.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace mimosastage {
namespace {

class DaemonIdTest : public ::testing::Test {};

// Guards against daemons at different addresses that share an id: as 15-bit
// hashes, the ids of each of these pairs were equal.
TEST_F(DaemonIdTest, FromAddress_LegacyIdsAreEqual_IdsDiffer) {
  const std::pair<const char*, const char*> pairs[] = {
      {"10.1.0.19", "10.3.0.39"},
      {"10.1.0.45", "10.3.0.65"},
      {"10.1.0.47", "10.3.0.67"}};
  for (const auto& [first, second] : pairs) {
    const auto a = DaemonIdFromAddress(first, 7000);
    const auto b = DaemonIdFromAddress(second, 7000);
    ASSERT_TRUE(a.has_value() && b.has_value());
    EXPECT_NE(*a, *b);
    EXPECT_EQ(LegacyDaemonId(*a), LegacyDaemonId(*b));
  }
  EXPECT_EQ(LegacyDaemonId(*DaemonIdFromAddress("10.1.0.19", 7000)),
            DaemonId{25023});
}

// Guards against an id that loses a part of the address or port.
RC_GTEST_PROP(DaemonIdProperties, FromAddress_AnyAddress_TextNamesIt,
              (std::uint32_t address, std::uint16_t port)) {
  RC_PRE(address != 0);
  std::string ip;
  for (int shift = 24; shift >= 0; shift -= 8) {
    ip += (ip.empty() ? "" : ".") + std::to_string((address >> shift) & 0xffU);
  }
  const auto id = DaemonIdFromAddress(ip, port);
  RC_ASSERT(id.has_value());
  RC_ASSERT(*id >= kFirstAddressId);
  RC_ASSERT(DaemonIdText(*id) == ip + ":" + std::to_string(port));
  const DaemonIdFields fields = ToDaemonIdFields(*id);
  RC_ASSERT(FromDaemonIdFields(fields.number, fields.address_id) == *id);
}

TEST_F(DaemonIdTest, FromAddress_NoIpv4Address_GivesNoId) {
  for (const char* text : {"", "host", "::1", "10.0.0", "10.0.0.256",
                           "10.0.0.1:7000", "0.0.0.0"}) {
    EXPECT_FALSE(DaemonIdFromAddress(text, 7000).has_value()) << text;
  }
}

// Guards against a change of what earlier releases read and write.
TEST_F(DaemonIdTest, Fields_IdFitsIntoSixteenBits_IsInNumber) {
  for (const std::uint16_t number : {0, 4, 25023, 0xffff}) {
    const DaemonIdFields fields = ToDaemonIdFields(DaemonId{number});
    EXPECT_EQ(fields.number, number);
    EXPECT_EQ(fields.address_id, 0U);
    EXPECT_EQ(FromDaemonIdFields(number, 0), DaemonId{number});
    EXPECT_EQ(LegacyDaemonId(DaemonId{number}), std::nullopt);
  }
}

}  // namespace
}  // namespace mimosastage
