#include <gtest/gtest.h>

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string>

#include "platform/wire_text.h"

namespace mimosastage::platform {
namespace {

using nlohmann::json;

/// Longest body that the voters' listener takes.
constexpr std::size_t kLongestBody = 4U << 20U;

class BodyValuesTest : public ::testing::Test {
 protected:
  /// A body of the greatest length that consists of `value`s.
  static std::string BodyOf(const std::string& value) {
    std::string body = "[" + value;
    while (body.size() + value.size() + 2 <= kLongestBody) {
      body += "," + value;
    }
    return body + "]";
  }
};

// Guards against a body within its limit that ends the process, because it
// takes many times its length once it is parsed.
TEST_F(BodyValuesTest, BodyOfTinyValues_IsDiscarded) {
  for (const char* value : {"{}", "[]", "0", "\"\"", "{\"\":0}", "[0]"}) {
    const std::string body = BodyOf(value);
    EXPECT_TRUE(ParseMessage(body).is_discarded()) << value;
    EXPECT_TRUE(ParseReadableParts(body).value.is_discarded()) << value;
    // Lacks its end, so that it has to be repaired first.
    EXPECT_TRUE(ParseReadableParts(body.substr(0, body.size() - 1) + ",nil]")
                    .value.is_discarded())
        << value;
  }
}

// Guards against a limit that refuses a large configuration.
TEST_F(BodyValuesTest, ConfigurationOfTheGreatestLength_IsParsed) {
  const json route{{"name", "r-4jcda9r"},
                   {"host", "cuzi25.example"},
                   {"path_prefix", "/kafi706/"},
                   {"kind", "non_idempotent"},
                   {"timeout_ms", 3'000},
                   {"target_duration_ms", 600},
                   {"priority", 1},
                   {"service", "lovo22d"},
                   {"max_attempts", 2},
                   {"stretch", 1.6},
                   {"public", false}};
  const std::string body = BodyOf(route.dump());
  EXPECT_GT(body.size(), kLongestBody - 1'000);
  EXPECT_FALSE(ParseMessage(body).is_discarded());
}

// Guards against a limit that refuses a client's body of many small steps.
TEST_F(BodyValuesTest, StepsOfTheGreatestClientLength_AreParsed) {
  const std::string body =
      BodyOf(R"({"count":1,"cpu":1,"after":[0,1,2,3]})").substr(0, 1U << 20U);
  const std::string whole = body.substr(0, body.rfind("},") + 1) + "]";
  EXPECT_FALSE(ParseMessage(whole).is_discarded());
}

}  // namespace
}  // namespace mimosastage::platform
