#include "mimosastage/state/declaration_check.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "tests/state/support/random_commands.h"

namespace mimosastage {
namespace {

constexpr TableKind kAllTables[] = {TableKind::kRoutes, TableKind::kPools,
                                    TableKind::kTeams, TableKind::kPolicy};

Declaration Parse(const std::string& text) {
  std::vector<Problem> problems;
  auto declaration = ParseDeclaration(text, &problems);
  EXPECT_TRUE(problems.empty()) << problems.front().Message();
  return declaration.value_or(Declaration{});
}

/// "error KIND" or "warning KIND" of each finding.
std::vector<std::string> KindsOf(
    const std::vector<DeclarationFinding>& findings) {
  std::vector<std::string> kinds;
  kinds.reserve(findings.size());
  for (const DeclarationFinding& finding : findings) {
    kinds.push_back((finding.is_error ? "error " : "warning ") + finding.kind);
  }
  return kinds;
}

std::vector<std::string> KindsOf(const std::string& text) {
  return KindsOf(CheckDeclaration(Parse(text), TableSet(), {}));
}

using Kinds = std::vector<std::string>;

// Guards against findings about declarations that are right.
TEST(DeclarationCheckTest, Check_Example_FindsNothing) {
  std::ifstream stream(std::string(MIMOSASTAGE_SOURCE_DIR) +
                       "/examples/vergara/declaration.json");
  EXPECT_EQ(KindsOf(std::string(std::istreambuf_iterator<char>(stream), {})),
            Kinds{});
}

// Guards against a check that stops at the first error, so that an operator
// corrects one after the other.
TEST(DeclarationCheckTest, Check_SeveralErrors_FindsAll) {
  EXPECT_EQ(KindsOf(R"({
    "routes": [{"name": "a", "pool": "absent"}, {"name": "b", "pool": "gone"},
               {"name": "c", "pool": "p"}, {"name": "d", "pool": "q"}],
    "pools": [{"name": "p", "availability_budget": 3, "instances": ["i"]},
              {"name": "q", "availability_budget": 1, "instances": ["i"]}]})"),
            (Kinds{"error budget_too_large", "error instance_in_two_pools",
                   "error unknown_pool", "error unknown_pool"}));
}

// Guards against entries that are accepted and never used.
TEST(DeclarationCheckTest, Check_UselessEntries_Warns) {
  EXPECT_EQ(
      KindsOf(R"({
    "routes": [{"name": "a", "pool": "empty"}],
    "pools": [{"name": "empty", "availability_budget": 0, "instances": []},
              {"name": "lost", "availability_budget": 1, "instances": ["i"]},
              {"name": "spare", "availability_budget": 1, "spare": true,
               "instances": ["j"]}]})"),
      (Kinds{"warning route_without_instances", "warning pool_without_route"}));
}

// Guards against limits that are valid each but not together.
TEST(DeclarationCheckTest, Check_LimitsContradict_Warns) {
  EXPECT_EQ(KindsOf(R"({
    "routes": [{"name": "a", "pool": "p"}],
    "pools": [{"name": "p", "availability_budget": 0, "instances": ["i"],
               "slots_per_instance": 8, "connections_per_instance": 4}]})"),
            (Kinds{"warning budget_forbids_upkeep",
                   "warning slots_without_connections"}));
}

// Guards against errors about tables that a partial declaration leaves as they
// are.
TEST(DeclarationCheckTest, Check_PartOfTheTables_UsesThoseInForce) {
  const std::string routes = R"({"routes": [{"name": "a", "pool": "p"}]})";
  EXPECT_EQ(KindsOf(routes), Kinds{});
  const TableSet in_force =
      TablesAfter(Parse(R"({"pools": [{"name": "p", "availability_budget": 1,
                           "instances": ["i"]},
                          {"name": "q", "availability_budget": 1,
                           "instances": ["j"]}]})"),
                  TableSet());
  EXPECT_EQ(KindsOf(CheckDeclaration(Parse(routes), in_force, {})),
            (Kinds{"warning pool_without_route"}));
  EXPECT_EQ(
      KindsOf(CheckDeclaration(
          Parse(R"({"routes": [{"name": "a", "pool": "x"}]})"), in_force, {})),
      (Kinds{"error unknown_pool", "warning pool_without_route",
             "warning pool_without_route"}));
}

// Guards against a team that can't be deleted because it has keys.
TEST(DeclarationCheckTest, Check_KeyOfRemovedTeam_IsAnError) {
  const Declaration declaration =
      Parse(R"({"teams": [{"name": "t", "share": 1, "upper_limit": 5}]})");
  EXPECT_EQ(KindsOf(CheckDeclaration(declaration, TableSet(),
                                     {{"key-1", "t"}, {"key-2", "u"}})),
            (Kinds{"error team_in_use"}));
}

// Guards against rules that differ from those of the daemons: a declaration has
// an error exactly if the daemons refuse one of its steps.
TEST(DeclarationCheckTest, Check_RandomDeclarations_AgreesWithTheDaemons) {
  RandomCommands random(3);
  int refused = 0;
  int accepted = 0;
  for (int round = 0; round < 2'000; ++round) {
    TableSet wanted;
    std::vector<Row> rows;
    for (int i = 0; i < 12; ++i) {
      const TableChange change = random.RandomChange();
      for (const Row& row : change.upserts) {
        // A row that is wrong by itself isn't a part of any declaration.
        std::vector<Problem> problems;
        if (RowFromJson(RowToJson(row), TableOf(row), "row", &problems)) {
          rows.push_back(row);
        }
      }
    }
    wanted.Restore({}, rows);
    Declaration declaration;
    for (const TableKind table : kAllTables) {
      declaration.tables[table] = wanted.Rows(table);
    }
    TableSet tables;
    bool is_refused = false;
    for (const TableChange& step : Diff(declaration, TableSet(), "x")) {
      is_refused = is_refused || tables.Apply(step).error;
    }
    const auto kinds = KindsOf(CheckDeclaration(declaration, TableSet(), {}));
    const bool has_error = std::any_of(
        kinds.begin(), kinds.end(),
        [](const std::string& kind) { return kind.starts_with("error"); });
    (is_refused ? refused : accepted) += 1;
    ASSERT_EQ(has_error, is_refused) << "round " << round;
  }
  EXPECT_GT(refused, 50);
  EXPECT_GT(accepted, 50);
}

}  // namespace
}  // namespace mimosastage
