#include "mimosastage/backend_servers/announcement_json.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <string>

namespace mimosastage {
namespace {

using nlohmann::json;

class AnnouncementJsonTest : public ::testing::Test {
 protected:
  static std::string Body(const std::string& field, const std::string& text) {
    json body{{"name", "server"}, {"address", "10.0.0.1"}, {"port", 80},
              {"pool", "pool"},   {"zone", "zone"},        {"epoch", 1},
              {"slots", 4},       {"connections", 8}};
    body.erase(field);
    std::string start = body.dump();
    start.pop_back();
    return start + ",\"" + field + "\":" + text + "}";
  }
};

// Guards against a number out of its range that becomes another one: with an
// epoch of 1e300, no later announcement of the instance would count.
TEST_F(AnnouncementJsonTest, Parse_NumberOutOfRange_IsRefused) {
  for (const char* field : {"port", "epoch", "slots", "connections"}) {
    EXPECT_TRUE(ParseAnnouncement(Body(field, "7")).has_value()) << field;
    for (const char* odd : {"-1", "1e300", "1e400", "0.5",
                            "99999999999999999999", "\"1\"", "null", "[7]"}) {
      EXPECT_FALSE(ParseAnnouncement(Body(field, odd)).has_value())
          << field << " " << odd;
    }
  }
  EXPECT_FALSE(ParseAnnouncement(Body("port", "99999")).has_value());
  // 2^32 + 1 would become 1.
  EXPECT_FALSE(ParseAnnouncement(Body("slots", "4294967297")).has_value());
  EXPECT_FALSE(
      ParseAnnouncement(Body("connections", "4294967297")).has_value());
  EXPECT_TRUE(
      ParseAnnouncement(Body("epoch", "18446744073709551615")).has_value());
}

// Guards against a nested text that ends the process.
TEST_F(AnnouncementJsonTest, Parse_NestedDeeply_IsHandled) {
  constexpr std::size_t kDepth = 400'000;
  const std::string nested =
      std::string(kDepth, '[') + std::string(kDepth, ']');
  EXPECT_FALSE(ParseAnnouncement(nested).has_value());
  EXPECT_FALSE(ParseAnnouncement(Body("name", nested)).has_value());
  EXPECT_TRUE(ParseAnnouncement(Body("labels", nested)).has_value());
}

}  // namespace
}  // namespace mimosastage
