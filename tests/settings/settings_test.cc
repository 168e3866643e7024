#include "mimosastage/settings/settings.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <random>

namespace mimosastage {
namespace {

constexpr const char* kKey = "a-key-that-must-not-be-printed";

class SettingsTest : public testing::Test {
 protected:
  void SetUp() override {
    std::string pattern = testing::TempDir() + "settings-XXXXXX";
    this->folder = mkdtemp(pattern.data());
    std::filesystem::create_directory(this->folder / "keys");
    for (const char* name : {"link", "operator", "platform"}) {
      std::ofstream(this->folder / "keys" / (std::string(name) + ".key"))
          << kKey << "\n";
    }
  }
  void TearDown() override { std::filesystem::remove_all(this->folder); }

  static nlohmann::json Example() {
    std::ifstream stream(std::string(MIMOSASTAGE_SOURCE_DIR) +
                         "/examples/vergara/entry-1.json");
    return nlohmann::json::parse(stream);
  }

  SettingsResult Load(const nlohmann::json& value) const {
    return ParseSettings(value.dump(), this->folder / "entry-1.json");
  }

  std::filesystem::path folder;
};

// Guards against examples that the daemon refuses.
TEST_F(SettingsTest, Load_EachExample_HasNoProblem) {
  for (const char* deployment : {"vergara", "cancha-serena"}) {
    const std::filesystem::path source =
        std::filesystem::path(MIMOSASTAGE_SOURCE_DIR) / "examples" /
        deployment / "entry-1.json";
    const std::filesystem::path file =
        this->folder / (std::string(deployment) + ".json");
    std::filesystem::copy_file(source, file);
    const SettingsResult result = LoadSettings(file);
    for (const SettingsProblem& problem : result.problems) {
      ADD_FAILURE() << problem.Message();
    }
    ASSERT_TRUE(result.settings);
    EXPECT_EQ(result.settings->daemons.size(), 9U);
    EXPECT_EQ(result.settings->Voters().size(), 3U);
    EXPECT_EQ(result.settings->Self().name, "entry-1");
    EXPECT_EQ(result.settings->link_key.Reveal(), kKey);
  }
}

struct InvalidField {
  const char* pointer;
  const char* value;
  std::error_code kind;
  const char* field;
};

// Guards against a bad value that is accepted, or reported without its file,
// field, value and remedy, or together with a key.
TEST_F(SettingsTest, Parse_OneInvalidValue_ReportsFileFieldAndKind) {
  const InvalidField cases[] = {
      {"/clustre", "1", JsonError::kUnknownField, "clustre"},
      {"/limits/queue", "1", JsonError::kUnknownField, "limits.queue"},
      {"/daemons/1/zone", "1", JsonError::kUnknownField, "daemons[1].zone"},
      {"/cluster", "7", JsonError::kWrongType, "cluster"},
      {"/cluster", "\"\"", JsonError::kOutOfRange, "cluster"},
      {"/daemons", "{}", JsonError::kWrongType, "daemons"},
      {"/daemons", "[]", JsonError::kOutOfRange, "daemons"},
      {"/daemons/0", "3", JsonError::kWrongType, "daemons[0]"},
      {"/daemons/2/voter", "1", JsonError::kWrongType, "daemons[2].voter"},
      {"/timing/lease", "2000", JsonError::kWrongUnit, "timing.lease"},
      {"/timing/lease", "\"2\"", JsonError::kWrongUnit, "timing.lease"},
      {"/timing/lease", "\"2 s\"", JsonError::kWrongUnit, "timing.lease"},
      {"/timing/lease", "\"1h\"", JsonError::kOutOfRange, "timing.lease"},
      {"/timing/heartbeat", "\"-9ms\"", JsonError::kWrongUnit,
       "timing.heartbeat"},
      {"/limits/max_body_bytes", "\"1\"", JsonError::kWrongType,
       "limits.max_body_bytes"},
      {"/limits/max_body_bytes", "-1", JsonError::kOutOfRange,
       "limits.max_body_bytes"},
      {"/limits/max_body_bytes", "1.5", JsonError::kWrongType,
       "limits.max_body_bytes"},
      {"/callers_listen", "\"localhost:80\"", SettingsError::kBadAddress,
       "callers_listen"},
      {"/callers_listen", "\"10.20.1.1:99999\"", SettingsError::kBadAddress,
       "callers_listen"},
      {"/daemons/1/link", "\"10.20.2.1:0\"", SettingsError::kBadAddress,
       "daemons[1].link"},
      {"/daemons/1/link", "\"10.20.1.1:7400\"",
       SettingsError::kDuplicateAddress, "daemons[1].link"},
      {"/operators_listen", "\"10.20.1.1:8080\"",
       SettingsError::kDuplicateAddress, "operators_listen"},
      {"/callers_listen", "\"10.20.1.1:7400\"",
       SettingsError::kDuplicateAddress, "callers_listen"},
      {"/daemons/1/name", "\"entry-1\"", SettingsError::kDuplicateName,
       "daemons[1].name"},
      {"/daemon", "\"entry-10\"", SettingsError::kNotInDaemons, "daemon"},
      {"/availability_zone", "\"other\"", SettingsError::kZoneMismatch,
       "availability_zone"},
      {"/daemons/3/voter", "true", SettingsError::kVoterCount, "daemons"},
      {"/daemon", "\"entry-4\"", SettingsError::kDataDir, "data_dir"},
      {"/operator_key", "\"short-key\"", SettingsError::kBadKey,
       "operator_key"},
      {"/operator_key", "\"a key that must not be printed\"",
       SettingsError::kBadKey, "operator_key"},
      {"/operator_key/file", "\"absent\"", SettingsError::kFileNotReadable,
       "operator_key.file"},
  };
  for (const InvalidField& invalid : cases) {
    SCOPED_TRACE(std::string(invalid.pointer) + " = " + invalid.value);
    nlohmann::json value = Example();
    value[nlohmann::json::json_pointer(invalid.pointer)] =
        nlohmann::json::parse(invalid.value);
    const SettingsResult result = this->Load(value);
    EXPECT_FALSE(result.settings);
    EXPECT_EQ(result.problems.size(), 1U);
    if (result.problems.empty()) {
      continue;
    }
    const SettingsProblem& problem = result.problems.front();
    EXPECT_EQ(problem.problem.kind, invalid.kind) << problem.Message();
    EXPECT_EQ(problem.problem.field, invalid.field);
    EXPECT_FALSE(problem.problem.remedy.empty());
    EXPECT_NE(problem.Message().find("entry-1.json"), std::string::npos);
    for (const char* key : {kKey, "short-key", "a key that"}) {
      EXPECT_EQ(problem.Message().find(key), std::string::npos);
    }
  }
}

// Guards against a missing field or a repeated name that passes unnoticed.
TEST_F(SettingsTest, Parse_MissingOrRepeatedField_IsReported) {
  const nlohmann::json example = Example();
  for (const auto& [name, field] : example.items()) {
    if (name == "limits" || name == "timing") {
      continue;
    }
    nlohmann::json value = example;
    value.erase(name);
    const SettingsResult result = this->Load(value);
    ASSERT_FALSE(result.problems.empty()) << name;
    EXPECT_EQ(result.problems.front().problem.field, name);
  }
  const std::string text = R"({"cluster": "a", "cluster": "b"})";
  const SettingsResult result = ParseSettings(text, "file");
  ASSERT_EQ(result.problems.size(), 1U);
  EXPECT_EQ(result.problems.front().problem.kind, JsonError::kNotJson);
}

// Guards against a number that the JSON library refuses with an exception
// other than its parse error.
TEST_F(SettingsTest, Parse_NumberBeyondDouble_IsReported) {
  const SettingsResult result = ParseSettings(R"({"cluster": 1e999})", "file");
  EXPECT_FALSE(result.settings);
  ASSERT_EQ(result.problems.size(), 1U);
  EXPECT_EQ(result.problems.front().problem.kind, JsonError::kNotJson);
}

// Guards against a damaged file that crashes the reader, gives neither
// settings nor a problem, or a problem without a remedy.
TEST_F(SettingsTest, Parse_MutatedExample_SettingsOrTypedProblem) {
  const std::string example = Example().dump();
  // Unlike random bytes, JSON fragments often pass the parser, and so test the
  // readers of the fields.
  const std::vector<std::string> json_fragments = {
      "null",    "-1",   "18446744073709551616",
      "1.5",     "\"\"", "[]",
      "{}",      "true", "\"9s\"",
      "\\ud800", "\xff", "[[[["};
  for (std::uint64_t seed = 1; seed <= 3000; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    std::mt19937_64 random(seed);
    std::string text = example;
    for (std::uint64_t i = 1 + random() % 4; i > 0 && !text.empty(); --i) {
      const std::size_t at = random() % text.size();
      switch (random() % 4) {
        case 0:
          text[at] = static_cast<char>(random());
          break;
        case 1:
          text.erase(at, 1 + random() % 20);
          break;
        case 2:
          text.insert(at, json_fragments[random() % json_fragments.size()]);
          break;
        default:
          if (const std::size_t colon = text.find(':', at);
              colon != std::string::npos) {
            const std::size_t end = text.find_first_of(",}", colon);
            text.replace(colon + 1, std::min(end, text.size()) - colon - 1,
                         json_fragments[random() % json_fragments.size()]);
          }
      }
    }
    const SettingsResult result =
        ParseSettings(text, this->folder / "entry-1.json");
    EXPECT_NE(result.settings.has_value(), !result.problems.empty()) << text;
    for (const SettingsProblem& problem : result.problems) {
      EXPECT_TRUE(problem.problem.kind) << text;
      EXPECT_FALSE(problem.problem.remedy.empty()) << text;
      EXPECT_EQ(problem.Message().find(kKey), std::string::npos);
    }
  }
}

// Guards against a start that fails later, after the settings were accepted.
TEST_F(SettingsTest, CheckEnvironment_UsedPortAndBadFolder_AreReported) {
  const int listener = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  ASSERT_EQ(bind(listener, generic, size), 0);
  ASSERT_EQ(listen(listener, 1), 0);
  ASSERT_EQ(getsockname(listener, generic, &size), 0);

  Settings settings;
  settings.daemons.resize(1);
  settings.data_dir = this->folder;
  settings.callers_listen = {"127.0.0.1", 0};
  settings.operators_listen = {"127.0.0.1", ntohs(address.sin_port)};
  settings.daemons[0].link = {"127.0.0.1", 0};
  auto problems = CheckEnvironment(settings, "file");
  ASSERT_EQ(problems.size(), 1U);
  EXPECT_EQ(problems[0].problem.kind, SettingsError::kAddressNotUsable);
  EXPECT_EQ(problems[0].problem.field, "operators_listen");
  close(listener);
  EXPECT_TRUE(CheckEnvironment(settings, "file").empty());

  settings.data_dir = this->folder / "absent";
  problems = CheckEnvironment(settings, "file");
  ASSERT_EQ(problems.size(), 1U);
  EXPECT_EQ(problems[0].problem.kind, SettingsError::kDataDir);
}

}  // namespace
}  // namespace mimosastage
