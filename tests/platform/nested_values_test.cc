#include <gtest/gtest.h>

#include "tests/platform/support/wire_messages.h"

namespace mimosastage::platform {
namespace {

using nlohmann::json;

/// Deep enough to exhaust the 8 MiB stack of a thread with one call a level.
constexpr std::size_t kDeepLevels = 400'000;

std::string DeepArray() {
  return std::string(kDeepLevels, '[') + std::string(kDeepLevels, ']');
}

std::string DeepObject() {
  std::string text;
  for (std::size_t i = 0; i < kDeepLevels; ++i) {
    text += R"({"a":)";
  }
  return text + "0" + std::string(kDeepLevels, '}');
}

class NestedValuesTest : public ::testing::TestWithParam<Decoder> {};

// Guards against a message of any sender that ends the process: parsing was
// iterative, but a copy of a deeply nested value called itself for each level
// until the stack was exhausted (status 139).
TEST_P(NestedValuesTest, Decode_AnyValueNestsDeeply_ProcessGoesOn) {
  const json message = this->GetParam().sound_message();
  for (const std::string& deep : {DeepArray(), DeepObject()}) {
    this->GetParam().decode(deep);
    for (const json::json_pointer& place : PlacesIn(message)) {
      this->GetParam().decode(WithTextAt(message, place, deep));
    }
  }
}

INSTANTIATE_TEST_SUITE_P(AllDecoders, NestedValuesTest,
                         ::testing::ValuesIn(AllDecoders()),
                         [](const auto& info) {
                           return std::string(info.param.name);
                         });

}  // namespace
}  // namespace mimosastage::platform
