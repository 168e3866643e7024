#include "mimosastage/jobs/placement.h"

#include <gtest/gtest.h>

#include "tests/jobs/support/fake_fleet_leader.h"

namespace mimosastage::jobs {
namespace {

using std::chrono::milliseconds;

class PlacementTest : public ::testing::Test {
 protected:
  void AddWorker(const std::string& id, std::int64_t millicores,
                 const std::string& rack = "rack-1") {
    CandidateWorker candidate;
    candidate.id = id;
    candidate.labels = {"kind", rack};
    candidate.free.millicores = millicores;
    candidate.free.memory_mb = 10'000;
    this->candidates.push_back(std::move(candidate));
  }

  std::vector<Assignment> PlaceStep(const Step& step) {
    StepDemand demand;
    demand.team = "team";
    demand.first = TaskId{"job", 0, 0, 0};
    demand.step = &step;
    for (std::uint32_t i = 0; i < step.tasks; ++i) {
      demand.waiting.push_back(i);
    }
    return Place({demand}, this->candidates, this->teams);
  }

  std::vector<CandidateWorker> candidates;
  std::map<std::string, TeamQuota> teams;
};

// Spreading tasks would leave no worker empty, so that no instance could be
// moved to a pool whose load rises.
TEST_F(PlacementTest, Place_RoomOnManyWorkers_FillsFew) {
  for (int i = 0; i < 4; ++i) {
    this->AddWorker("worker-" + std::to_string(i), 4'000);
  }
  const auto placed = this->PlaceStep(MakeStep(4, 1'000));
  ASSERT_EQ(placed.size(), 4U);
  for (const Assignment& assignment : placed) {
    EXPECT_EQ(assignment.candidate, placed.front().candidate);
  }
}

TEST_F(PlacementTest, Place_LimitPerWorker_SpreadsTasks) {
  this->AddWorker("worker-0", 4'000);
  this->AddWorker("worker-1", 4'000);
  Step step = MakeStep(4, 1'000);
  step.most_per_worker = 1;
  const auto placed = this->PlaceStep(step);
  ASSERT_EQ(placed.size(), 2U);
  EXPECT_NE(placed[0].candidate, placed[1].candidate);
}

TEST_F(PlacementTest, Place_GangDoesNotFitWhole_TakesNothing) {
  this->AddWorker("worker-0", 2'000);
  Step step = MakeStep(3, 1'000);
  step.gang = true;
  EXPECT_TRUE(this->PlaceStep(step).empty());
  EXPECT_EQ(this->candidates[0].free.millicores, 2'000);
}

TEST_F(PlacementTest, Place_FillerOnFullWorker_NeedsMemoryOnly) {
  this->AddWorker("worker-0", 0);
  Step step = MakeStep(1, 1'000);
  EXPECT_TRUE(this->PlaceStep(step).empty());
  step.filler = true;
  EXPECT_EQ(this->PlaceStep(step).size(), 1U);
}

TEST_F(PlacementTest, Place_RequiredLabel_OnlyWorkersThatHaveIt) {
  this->AddWorker("worker-0", 4'000);
  Step step = MakeStep(1, 1'000);
  step.required_label = "other";
  EXPECT_TRUE(this->PlaceStep(step).empty());
}

TEST_F(PlacementTest, Place_DataRack_IsPreferred) {
  this->AddWorker("worker-0", 1'000);
  this->AddWorker("worker-1", 9'000, "rack-2");
  Step step = MakeStep(1, 1'000);
  step.data_rack = "rack-2";
  const auto placed = this->PlaceStep(step);
  ASSERT_EQ(placed.size(), 1U);
  EXPECT_EQ(placed[0].candidate, 1U);
}

TEST_F(PlacementTest, Place_TeamLimit_LeavesTheRest) {
  this->AddWorker("worker-0", 9'000);
  TeamQuota team;
  team.limit.millicores = 2'000;
  team.free = team.limit;
  this->teams["team"] = team;
  EXPECT_EQ(this->PlaceStep(MakeStep(5, 1'000)).size(), 2U);
}

// Guards against late jobs delaying the others: under a load peak more jobs
// wait than can complete in time, and placing late ones first makes the rest
// late too.
TEST_F(PlacementTest, PlacedBefore_JobIsLate_ComesAfterOnesThatCanBeInTime) {
  StepUrgency late;
  late.slack = milliseconds(-100);
  StepUrgency urgent;
  urgent.slack = milliseconds(10);
  StepUrgency calm;
  calm.slack = milliseconds(900);
  EXPECT_TRUE(PlacedBefore(urgent, calm));
  EXPECT_TRUE(PlacedBefore(calm, late));
  EXPECT_FALSE(PlacedBefore(late, urgent));
}

}  // namespace
}  // namespace mimosastage::jobs
