#include "mimosastage/base/json_reader.h"

#include <gtest/gtest.h>
#include <pthread.h>
#include <rapidcheck/gtest.h>

#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace mimosastage {
namespace {

/// Runs a function on a thread with a small stack, where a recursion that grows
/// with the text ends the process.
void RunOnSmallStack(const std::function<void()>& function) {
  constexpr std::size_t kStackBytes = 262'144;
  pthread_attr_t attributes;
  ASSERT_EQ(pthread_attr_init(&attributes), 0);
  ASSERT_EQ(pthread_attr_setstacksize(&attributes, kStackBytes), 0);
  pthread_t thread{};
  ASSERT_EQ(pthread_create(
                &thread, &attributes,
                [](void* run) -> void* {
                  (*static_cast<const std::function<void()>*>(run))();
                  return nullptr;
                },
                const_cast<std::function<void()>*>(&function)),
            0);
  pthread_join(thread, nullptr);
  pthread_attr_destroy(&attributes);
}

class JsonReaderTest : public ::testing::Test {};

// Guards against a nested text that ends the process, because its value is
// copied or freed by recursion.
TEST_F(JsonReaderTest, ParseJson_NestedDeeply_OneProblem) {
  constexpr std::size_t kDepth = 200'000;
  std::string objects;
  for (std::size_t i = 0; i < kDepth; ++i) {
    objects += R"({"a":)";
  }
  const std::string open(kDepth, '[');
  const std::string close(kDepth, ']');
  std::string field = R"({"version":1,"rows":)";
  field.append(open).append(close).append("}");
  for (const std::string& text :
       {open, open + close, objects, objects + "1" + std::string(kDepth, '}'),
        field}) {
    std::vector<Problem> problems;
    RunOnSmallStack([&] {
      const nlohmann::json value = ParseJson(text, &problems);
      EXPECT_TRUE(value.is_null());
    });
    EXPECT_EQ(problems.size(), 1U);
  }
}

// Guards against a number that no double can hold and that ends the process.
TEST_F(JsonReaderTest, ParseJson_NumberTooLarge_OneProblem) {
  for (const char* text : {"1e400", "[-1e400]", R"({"port":1e999})"}) {
    std::vector<Problem> problems;
    EXPECT_TRUE(ParseJson(text, &problems).is_null());
    EXPECT_EQ(problems.size(), 1U) << text;
  }
}

// Guards against any other text that ends the process.
RC_GTEST_FIXTURE_PROP(JsonReaderTest, ParseJson_AnyText_ValueOrProblem, ()) {
  const auto parts = *rc::gen::container<std::vector<std::string>>(
      rc::gen::element<std::string>(
          "{", "}", "[", "]", ",", ":", "\"a\"", "\"\\ud800\"", "\xff", "1",
          "-1", "1e300", "1e400", "99999999999999999999", "true", "null", "\"",
          "\\", std::string("\0", 1), "/*", " "));
  std::string text;
  for (const std::string& part : parts) {
    text += part;
  }
  std::vector<Problem> problems;
  const nlohmann::json value = ParseJson(text, &problems);
  for (const Problem& problem : problems) {
    problem.Message();
  }
  ShortText(value);
}

}  // namespace
}  // namespace mimosastage
