#include <gtest/gtest.h>

#include <set>

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

/// `message` with `deep` in place of each of its values in turn.
std::vector<std::string> WithValueReplaced(const json& message,
                                           const std::string& deep) {
  std::vector<std::string> texts{deep};
  const json flat = message.flatten();
  std::set<json::json_pointer> places;
  for (const auto& [path, value] : flat.items()) {
    for (json::json_pointer place(path); !place.empty();
         place = place.parent_pointer()) {
      places.insert(place);
    }
  }
  constexpr char kMark[] = "replaced by the nested value";
  for (const json::json_pointer& place : places) {
    json marked = message;
    marked[place] = kMark;
    std::string text = marked.dump();
    const std::string quoted = json(kMark).dump();
    text.replace(text.find(quoted), quoted.size(), deep);
    texts.push_back(std::move(text));
  }
  return texts;
}

class NestedValuesTest : public ::testing::TestWithParam<Decoder> {};

// Guards against a message of any sender that ends the process: parsing was
// iterative, but a copy of a deeply nested value called itself for each level
// until the stack was exhausted (status 139).
TEST_P(NestedValuesTest, Decode_AnyValueNestsDeeply_ProcessGoesOn) {
  for (const std::string& deep : {DeepArray(), DeepObject()}) {
    for (const std::string& text :
         WithValueReplaced(this->GetParam().sound_message(), deep)) {
      this->GetParam().decode(text);
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
