#include "mimosastage/state/declaration.h"

#include <gtest/gtest.h>

#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>

#include "mimosastage/state/command_codec.h"
#include "tests/state/support/random_commands.h"

namespace mimosastage {
namespace {

class DeclarationTest : public testing::Test {
 protected:
  static std::string ReadExample(const std::string& deployment) {
    std::ifstream stream(std::string(MIMOSASTAGE_SOURCE_DIR) + "/examples/" +
                         deployment + "/declaration.json");
    return std::string(std::istreambuf_iterator<char>(stream), {});
  }

  static Declaration DeclarationOf(const TableSet& tables) {
    Declaration declaration;
    for (const TableKind table : {TableKind::kRoutes, TableKind::kPools,
                                  TableKind::kTeams, TableKind::kPolicy}) {
      declaration.tables[table] = tables.Rows(table);
    }
    return declaration;
  }

  /// Tables after some random changes.
  static TableSet RandomTables(RandomCommands* random) {
    TableSet tables;
    for (int i = 0; i < 25; ++i) {
      TableChange change = random->RandomChange();
      change.change_id = "x";
      change.base_version = tables.VersionOf(change.table);
      tables.Apply(change);
    }
    return tables;
  }
};

// Guards against example declarations that can't be applied.
TEST_F(DeclarationTest, Parse_EachExample_AppliesToEmptyTables) {
  for (const char* deployment : {"vergara", "cancha-serena"}) {
    std::vector<Problem> problems;
    const auto declaration =
        ParseDeclaration(ReadExample(deployment), &problems);
    for (const Problem& problem : problems) {
      ADD_FAILURE() << deployment << ": " << problem.Message();
    }
    ASSERT_TRUE(declaration);
    TableSet tables;
    for (const TableChange& change : Diff(*declaration, tables, "example")) {
      const ChangeRefusal refusal = tables.Apply(change);
      EXPECT_FALSE(refusal.error) << refusal.detail;
    }
    EXPECT_EQ(tables.AllPools().size(), 5U);
    EXPECT_TRUE(Diff(*declaration, tables, "again").empty());
  }
}

// Guards against a step that violates a constraint between tables, and against
// a difference that Diff misses.
TEST_F(DeclarationTest, Diff_RandomTables_StepsLeadToTheDeclaredTables) {
  std::size_t steps = 0;
  for (std::uint64_t seed = 1; seed <= 2'000; ++seed) {
    RandomCommands random(seed);
    TableSet tables = RandomTables(&random);
    const TableSet goal = RandomTables(&random);
    const Declaration declaration = DeclarationOf(goal);
    for (const TableChange& change : Diff(declaration, tables, "change")) {
      ++steps;
      EXPECT_FALSE(DescribeChange(change, tables).empty());
      const ChangeRefusal refusal = tables.Apply(change);
      ASSERT_FALSE(refusal.error) << "seed " << seed << ": " << refusal.detail;
    }
    for (const auto& [table, rows] : declaration.tables) {
      ASSERT_EQ(tables.Rows(table), rows) << "seed " << seed;
    }
  }
  EXPECT_GT(steps, 2'000U);
}

// Guards against a field that is lost in the JSON form.
TEST_F(DeclarationTest, ToJson_RandomTables_ReadsBackEqual) {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    RandomCommands random(seed);
    const TableSet tables = RandomTables(&random);
    for (const auto& [table, rows] : DeclarationOf(tables).tables) {
      std::vector<Problem> problems;
      const auto view = TableFromJson(TableToJson(tables, table), &problems);
      ASSERT_TRUE(view);
      EXPECT_EQ(view->rows, rows);
      EXPECT_EQ(view->version, tables.VersionOf(table));
      const TableChange change{"id", table, 3, rows, {"a"}};
      const auto read = ChangeFromJson(ChangeToJson(change), table, &problems);
      ASSERT_TRUE(read);
      EXPECT_EQ(EncodeCommand(*read), EncodeCommand(change));
    }
  }
  const Row row = Route{RouteName("r"),
                        PoolName("p"),
                        true,
                        true,
                        true,
                        std::chrono::milliseconds(1'500),
                        99};
  std::vector<Problem> problems;
  EXPECT_EQ(RowFromJson(RowToJson(row), TableKind::kRoutes, "", &problems),
            row);
}

// Guards against a mistake in a declaration that is accepted or reported for
// the wrong field.
TEST_F(DeclarationTest, Parse_BadDeclaration_NamesFieldAndKind) {
  struct BadCase {
    const char* text;
    std::error_code kind;
    const char* field;
  };
  const BadCase cases[] = {
      {"{", JsonError::kNotJson, ""},
      {"[]", JsonError::kWrongType, ""},
      {R"({"route": []})", JsonError::kUnknownField, "route"},
      {R"({"routes": {}})", JsonError::kWrongType, "routes"},
      {R"({"routes": [1]})", JsonError::kWrongType, "routes[0]"},
      {R"({"routes": [{"name": "r"}]})", JsonError::kMissingField,
       "routes[0].pool"},
      {R"({"routes": [{"name": "r", "pool": "p", "deadline": 30}]})",
       JsonError::kWrongUnit, "routes[0].deadline"},
      {R"({"routes": [{"name": "r", "pool": "p", "deadline": "0s"}]})",
       StateError::kBadRow, "routes[0]"},
      {R"({"routes": [{"name": "r/1", "pool": "p"}]})", StateError::kBadRow,
       "routes[0]"},
      {R"({"pools": [{"name": "p", "availability_budget": 0,
           "instances": [1]}]})",
       JsonError::kWrongType, "pools[0].instances"},
      {R"({"pools": [{"name": "p", "availability_budget": 0, "instances": [],
           "weights": {"move": 1}}]})",
       JsonError::kUnknownField, "pools[0].weights.move"},
      {R"({"pools": [{"name": "p", "availability_budget": 0,
           "instances": ["w", "w"]}]})",
       StateError::kBadRow, "pools[0]"},
      {R"({"teams": [{"name": "t", "share": 0, "upper_limit": 1}]})",
       StateError::kBadRow, "teams[0]"},
      {R"({"teams": [{"name": "t", "share": 1, "upper_limit": 1},
           {"name": "t", "share": 1, "upper_limit": 1}]})",
       StateError::kBadChange, "teams"},
      {R"({"policy": {"drain_patience": "1500ms"}})", JsonError::kWrongUnit,
       "policy.drain_patience"},
      {R"({"policy": {"retry_percent": 101}})", StateError::kBadRow, "policy"},
  };
  for (const BadCase& bad : cases) {
    SCOPED_TRACE(bad.text);
    std::vector<Problem> problems;
    EXPECT_FALSE(ParseDeclaration(bad.text, &problems));
    EXPECT_EQ(problems.size(), 1U);
    if (!problems.empty()) {
      EXPECT_EQ(problems[0].kind, bad.kind) << problems[0].Message();
      EXPECT_EQ(problems[0].field, bad.field);
      EXPECT_FALSE(problems[0].remedy.empty());
    }
  }
}

}  // namespace
}  // namespace mimosastage
